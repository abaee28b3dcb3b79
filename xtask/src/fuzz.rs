//! Long runs of the core's model.

use std::{path::Path, process::Command};

use anyhow::{Context, Result, ensure};
use clap::Args;

/// What to run.
#[derive(Args)]
pub struct FuzzArgs {
    /// Number of random sequences.
    #[arg(long, default_value_t = 10_000)]
    cases: u64,
    /// Seed from which the seed of each sequence follows.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Events in a sequence.
    #[arg(long, default_value_t = 200)]
    events: u64,
    /// Threads.
    #[arg(long, default_value_t = 12)]
    threads: u64,
    /// Repeats one sequence, as a failure prints it, instead.
    #[arg(long)]
    replay: Option<String>,
    /// Prints each event and command; for use with `--replay`.
    #[arg(long)]
    trace: bool,
}

/// Runs the model as a test binary that is told by its environment.
///
/// # Errors
/// When the build fails or a sequence breaks a promise.
pub fn run(root: &Path, args: &FuzzArgs) -> Result<()> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    command
        .current_dir(root)
        .args(["test", "--quiet", "--release", "-p", "cranberryhatch-core", "--test", "model"])
        .args(["--", "--exact", "--nocapture", "fuzz_as_told"])
        .env("RUST_BACKTRACE", "0")
        .env("FUZZ_CASES", args.cases.to_string())
        .env("FUZZ_SEED", args.seed.to_string())
        .env("FUZZ_EVENTS", args.events.to_string())
        .env("FUZZ_THREADS", args.threads.to_string());
    if let Some(replay) = &args.replay {
        command.env("FUZZ_REPLAY", replay);
    }
    if args.trace {
        command.env("FUZZ_TRACE", "1");
    }
    let status = command.status().context("run cargo test")?;
    ensure!(status.success(), "a sequence broke a promise; the command above repeats it");
    Ok(())
}
