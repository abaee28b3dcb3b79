//! Prints the measured costs as a table and optionally writes them as JSON.

use std::path::PathBuf;

use clap::Parser;
use cranberryhatch_bench::{decisions_per_second, measure};

/// Measures how the costs of a shard grow.
#[derive(Parser)]
struct Args {
    /// File for the measured points as JSON.
    #[arg(long)]
    output: Option<PathBuf>,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    println!("| quantity | unit | points | slope | base | error |\n|---|---|---|---|---|---|");
    let series = measure();
    for one in &series {
        println!("{}", one.row());
    }
    println!("\ntasks started and answered per second of one core:");
    println!("{:.0} at 48 workers and 4 teams", decisions_per_second(48, 4));
    println!("{:.0} at 116 workers and 120 teams", decisions_per_second(116, 120));
    if let Some(path) = args.output {
        std::fs::write(path, serde_json::to_string_pretty(&series)?)?;
    }
    Ok(())
}
