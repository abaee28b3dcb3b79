//! Entry instance of the dispatcher.

use std::{
    path::PathBuf,
    process::ExitCode,
    sync::{Arc, atomic::AtomicBool},
};

use anyhow::Context;
use clap::Parser;
use cranberryhatch_entry::{Instance, telemetry::start_logs};
use cranberryhatch_settings::ProcessConfig;
use signal_hook::consts::{SIGINT, SIGTERM};

/// Entry instance of the dispatcher.
#[derive(Parser)]
struct Args {
    /// INI file of this process.
    #[arg(long)]
    config: PathBuf,
    /// Only checks the file and prints every fault in it.
    #[arg(long)]
    check: bool,
}

fn main() -> anyhow::Result<ExitCode> {
    let args = Args::parse();
    let text = std::fs::read_to_string(&args.config)
        .with_context(|| format!("read {}", args.config.display()))?;
    let config = match ProcessConfig::parse(&text) {
        Ok(config) => config,
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", args.config.display());
            }
            return Ok(ExitCode::FAILURE);
        }
    };
    if args.check {
        println!("{}: no faults", args.config.display());
        return Ok(ExitCode::SUCCESS);
    }
    start_logs(config.log);
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGINT, Arc::clone(&stop))?;
    Instance::run(&config, &stop)?;
    Ok(ExitCode::SUCCESS)
}
