//! Stand-in for the platform.

use clap::Parser;
use cranberryhatch_standin::{PlatformArgs, PlatformStandin};

fn main() -> anyhow::Result<()> {
    PlatformStandin::run(&PlatformArgs::parse())
}
