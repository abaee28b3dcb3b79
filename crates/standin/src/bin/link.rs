//! Links between processes that can be cut, silenced and delayed.

use clap::Parser;
use cranberryhatch_standin::{LinkArgs, LinkStandin};

fn main() -> anyhow::Result<()> {
    LinkStandin::run(&LinkArgs::parse())
}
