//! Generates the code of the schema crate from `peer.proto` and `settings.ini`.
//!
//! It depends on no other crate of the workspace, so it builds even if the generated code does not. `cargo xtask generate` runs it.

mod generate;

use std::path::PathBuf;

use anyhow::Result;
use clap::Parser;

/// Generates the code of the schema crate.
#[derive(Parser)]
struct Args {
    /// Folder of the workspace.
    #[arg(long)]
    root: PathBuf,
    /// Only checks that the committed code is up to date.
    #[arg(long)]
    check: bool,
}

fn main() -> Result<()> {
    let args = Args::parse();
    generate::run(&args.root, args.check)
}
