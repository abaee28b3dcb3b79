//! Stand-in for the endpoint on a worker.

use clap::Parser;
use cranberryhatch_standin::{EndpointArgs, EndpointStandin};

fn main() -> anyhow::Result<()> {
    EndpointStandin::run(EndpointArgs::parse())
}
