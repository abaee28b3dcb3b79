//! Chores of the workspace: `cargo xtask <chore>`.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use xtask::{capacity, ci, demo, experiment, fuzz, setup, soak};

/// Chores of the workspace.
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    chore: Chore,
}

#[derive(Subcommand)]
enum Chore {
    /// Generates code from the schema.
    Generate {
        /// Only checks that the committed code is up to date.
        #[arg(long)]
        check: bool,
    },
    /// Runs a whole deployment on loopback and checks its promises.
    Demo {
        /// Deployment to show: popisek or guadalajara.
        #[arg(long, default_value = "popisek")]
        deployment: String,
    },
    /// Starts a deployment on loopback and keeps it until standard input ends.
    Up {
        /// Deployment to start: popisek or guadalajara.
        #[arg(long, default_value = "popisek")]
        deployment: String,
    },
    /// Runs the same load under several policies and compares them with the ideal.
    Experiment(experiment::ExperimentArgs),
    /// Runs random sequences against the model of a deployment around the core.
    Fuzz(fuzz::FuzzArgs),
    /// Runs a deployment under random faults and checks its promises.
    Soak(soak::SoakArgs),
    /// Measures costs against the rate of starts, for docs/CAPACITY.md.
    Capacity,
    /// Runs all tests and a short soak.
    Test,
    /// Runs the formatter, the linter, the check of generated code and the tests.
    Ci,
}

fn main() -> ExitCode {
    let Err(error) = run() else { return ExitCode::SUCCESS };
    // A backtrace is of no use to a user of a chore.
    eprintln!("error: {error:#}");
    if error.is::<setup::SetupError>() { setup::EXIT_CODE.into() } else { ExitCode::FAILURE }
}

fn run() -> Result<()> {
    let root = workspace_root()?;
    match Args::parse().chore {
        Chore::Generate { check } => ci::generate(&root, check),
        Chore::Demo { deployment } => {
            let bin = ci::build(&root, true)?;
            demo::run(&root, &bin, &deployment)
        }
        Chore::Up { deployment } => {
            let bin = ci::build(&root, true)?;
            demo::up(&root, &bin, &deployment)
        }
        Chore::Experiment(args) => {
            let bin = ci::build(&root, true)?;
            experiment::run(&root, &bin, &args)
        }
        Chore::Fuzz(args) => fuzz::run(&root, &args),
        Chore::Soak(args) => {
            let bin = ci::build(&root, !args.debug)?;
            soak::run(&root, &bin, &args)
        }
        Chore::Capacity => {
            let bin = ci::build(&root, true)?;
            capacity::run(&root, &bin)
        }
        Chore::Test => ci::test(&root),
        Chore::Ci => ci::run(&root),
    }
}

fn workspace_root() -> Result<PathBuf> {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    Ok(here.parent().context("xtask has no parent folder")?.to_owned())
}
