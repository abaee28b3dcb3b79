//! Sends an open-loop load to entry instances and compares the answers with the ideal.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::{Context, ensure};
use clap::Parser;
use cranberryhatch_http::Runtime;
use cranberryhatch_load::{Driver, KeySource, Pattern, Plan, Report, Target, Workload, plot_cdf};

/// Open-loop load against entry instances.
#[derive(Parser)]
struct Args {
    /// HTTP address of an entry instance; repeat it for each.
    #[arg(long = "entry", required = true)]
    entries: Vec<SocketAddr>,
    /// Token of the team.
    #[arg(long)]
    token: String,
    /// Kind of job.
    #[arg(long, default_value = "timing-pass")]
    kind: String,
    /// Arrival pattern: steady, burst, small or large.
    #[arg(long, default_value_t = Pattern::Steady)]
    pattern: Pattern,
    /// Where keys come from: own or issued.
    #[arg(long, default_value_t = KeySource::Own)]
    keys: KeySource,
    /// Slots of all workers.
    #[arg(long)]
    slots: u32,
    /// Change of the live slots for the ideal, as MS:SLOTS; repeat it for each.
    #[arg(long = "capacity", value_parser = parse_capacity)]
    capacity: Vec<(u64, u32)>,
    /// Share of slots that the mean load keeps busy, in percent.
    #[arg(long, default_value_t = 70)]
    percent: u32,
    /// Length of the arrivals in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u32,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Deadline of a job in seconds.
    #[arg(long, default_value_t = 30)]
    deadline: u64,
    /// File for the report as JSON.
    #[arg(long)]
    output: Option<PathBuf>,
    /// File for the journal, one JSON object a line.
    #[arg(long)]
    journal: Option<PathBuf>,
    /// File for a plot as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
}

fn parse_capacity(text: &str) -> Result<(u64, u32), String> {
    let (at, slots) = text.split_once(':').ok_or("expected MS:SLOTS")?;
    let at = at.parse().map_err(|error| format!("{at}: {error}"))?;
    let slots = slots.parse().map_err(|error| format!("{slots}: {error}"))?;
    Ok((at, slots))
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let mut workload = Workload::new(args.pattern, args.slots);
    workload = workload.percent(args.percent).seconds(args.seconds).seed(args.seed);
    let plan = Plan::generate(&workload);
    ensure!(!plan.jobs.is_empty(), "the plan has no job: allow more seconds");
    let runtime = Runtime::new(4);
    let target = Target {
        entries: args.entries.clone(),
        token: args.token.clone(),
        kind: args.kind.clone(),
        deadline: Duration::from_secs(args.deadline),
        keys: args.keys,
    };
    let driver = Driver::new(runtime.executor(), target);
    let round_trip = runtime.block_on(driver.round_trip())?;
    let journal = runtime.block_on(driver.run(&plan, args.seed))?;
    let mut capacity = vec![(0, args.slots)];
    capacity.extend(&args.capacity);
    // One round trip to the entry instance and one to the endpoint.
    let report = Report::new(&plan, &journal, &capacity, 2 * round_trip);
    let text = serde_json::to_string_pretty(&report)?;
    println!("{text}");
    if let Some(path) = &args.output {
        std::fs::write(path, &text).with_context(|| format!("write {}", path.display()))?;
    }
    if let Some(path) = &args.journal {
        let lines: Result<Vec<String>, _> = journal.iter().map(serde_json::to_string).collect();
        std::fs::write(path, lines?.join("\n") + "\n")?;
    }
    if let Some(path) = &args.plot {
        let series = [("this run".to_owned(), report.ratios.clone())];
        plot_cdf(path, &format!("{} arrivals", args.pattern), &series)?;
    }
    Ok(())
}
