//! Checks that CI runs.

use std::{
    path::{Path, PathBuf},
    process::Command,
};

use anyhow::{Context, Result, ensure};

use crate::{
    demo, setup,
    soak::{self, SoakArgs},
};

/// Start of the names of rules of the short soak in [`KNOWN_RED`].
const SOAK: &str = "soak/";
/// Tests that fail because of a fault that is not yet mended, each on a line `test: name`.
const KNOWN_RED: &str = "KNOWN-RED.txt";

/// Deployment that the demo shows.
const DEMO: &str = "popisek";

/// Runs every check, in the order of their cost, and the demo last, when nothing else runs.
///
/// # Errors
/// When a check fails.
pub fn run(root: &Path) -> Result<()> {
    setup::prepare()?;
    cargo(root, &["fmt", "--all", "--check"])?;
    generate(root, true)?;
    cargo(root, &["clippy", "--workspace", "--all-targets", "--", "-D", "warnings"])?;
    test(root)?;
    // With the assertions of other builds the job takes twice as long.
    let bin = build(root, true)?;
    demo::run(root, &bin, DEMO)
}

/// Generates code from the schema, or only checks that it is up to date.
///
/// # Errors
/// When the generator fails or finds a difference.
pub fn generate(root: &Path, check: bool) -> Result<()> {
    let folder = root.display().to_string();
    let mut args = vec!["run", "--quiet", "-p", "cranberryhatch-codegen", "--", "--root", &folder];
    if check {
        args.push("--check");
    }
    cargo(root, &args)
}

/// Runs all tests and a short soak whose verdict does not depend on the speed of the machine.
///
/// # Errors
/// When something is missing that cannot be installed, or a test fails.
pub fn test(root: &Path) -> Result<()> {
    setup::prepare()?;
    let red = known_red(root)?;
    if !red.is_empty() {
        println!("known to fail ({KNOWN_RED}), passed over: {}", red.join(", "));
    }
    let mut args = vec!["test", "--workspace"];
    let (rules, tests): (Vec<&str>, Vec<&str>) =
        red.iter().map(String::as_str).partition(|name| name.starts_with(SOAK));
    if !tests.is_empty() {
        args.extend(["--", "--exact"]);
        args.extend(tests.iter().flat_map(|name| ["--skip", name]));
    }
    cargo(root, &args)?;
    let bin = build(root, false)?;
    let mut soak = SoakArgs::short();
    soak.pass_over =
        rules.iter().filter_map(|name| name.strip_prefix(SOAK)?.parse().ok()).collect();
    ensure!(soak.pass_over.len() == rules.len(), "{KNOWN_RED}: no such rule of the soak");
    soak::run(root, &bin, &soak)
}

/// Names of the tests that fail because of a known fault.
fn known_red(root: &Path) -> Result<Vec<String>> {
    let path = root.join(KNOWN_RED);
    if !path.exists() {
        return Ok(Vec::new());
    }
    let text = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
    let names = text.lines().filter_map(|line| line.strip_prefix("test:"));
    Ok(names.map(|name| name.trim().to_owned()).collect())
}

/// Builds all binaries, optimised or not, and returns their folder.
///
/// # Errors
/// When something is missing that cannot be installed, or the build fails.
pub fn build(root: &Path, release: bool) -> Result<PathBuf> {
    setup::prepare()?;
    let mut args = vec!["build", "--quiet", "--workspace", "--bins"];
    args.extend(release.then_some("--release"));
    cargo(root, &args)?;
    let target =
        std::env::var_os("CARGO_TARGET_DIR").map_or_else(|| root.join("target"), PathBuf::from);
    Ok(target.join(if release { "release" } else { "debug" }))
}

fn cargo(root: &Path, args: &[&str]) -> Result<()> {
    println!("+ cargo {}", args.join(" "));
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let status = Command::new(cargo).args(args).current_dir(root).status();
    let status = status.with_context(|| format!("run cargo {}", args.join(" ")))?;
    ensure!(status.success(), "cargo {} failed", args.join(" "));
    Ok(())
}
