//! Measures what entry instances cost against the rate of task starts.

use std::{
    fs,
    path::Path,
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use cranberryhatch_bench::Series;

use crate::{
    fleet::{Fleet, Shape},
    statsd::Statsd,
};

/// Loads in percent of the slots.
const PERCENTS: [u32; 4] = [10, 30, 50, 70];
/// Length of each load in seconds.
const SECONDS: u32 = 10;
/// Time after the start until instances know each other and their workers.
const SETTLE: Duration = Duration::from_secs(5);
/// Ticks of processor time per second, as the system counts them.
const TICKS: f64 = 100.0;
/// Entry instances of the deployment.
const INSTANCES: f64 = 9.0;

/// What the entry instances have used so far.
#[derive(Clone, Copy)]
struct Usage {
    at: Instant,
    cpu: f64,
    started: i64,
    messages: i64,
    bytes: i64,
    writes: i64,
}

/// Runs single requests at four rates and prints costs per instance with the lines through them.
///
/// # Errors
/// When a process fails.
pub fn run(root: &Path, bin: &Path) -> Result<()> {
    let deployment = crate::demo::deployment("popisek")?;
    let settings = fs::read_to_string(root.join("examples/popisek.ini"))?;
    let statsd = Statsd::start()?;
    let shape = Shape {
        zones: deployment.zones.iter().map(ToString::to_string).collect(),
        entries: 3,
        workers: 16,
        slots: 8,
        statsd: Some(statsd.addr),
        links: false,
        list_lag_ms: 0,
    };
    let mut fleet = Fleet::start(bin, shape, &settings)?;
    std::thread::sleep(SETTLE);
    let mut cpu = Series::new("processor time of an instance", "starts/s of an instance", "ms/s");
    let mut bytes = Series::new("bytes sent to peers", "starts/s of an instance", "B/s");
    let mut messages = Series::new("messages to peers", "starts/s of an instance", "1/s");
    let mut writes = Series::new("writes of claims of all instances", "requests/s", "1/s");
    let idle = measure(&fleet, &statsd, None)?;
    for percent in PERCENTS {
        let used = measure(&fleet, &statsd, Some((bin, percent, deployment.token)))?;
        let rate = used.started / INSTANCES;
        cpu = cpu.point(rate, used.cpu / INSTANCES * 1_000.0);
        bytes = bytes.point(rate, used.bytes / INSTANCES);
        messages = messages.point(rate, used.messages / INSTANCES);
        writes = writes.point(used.started, used.writes);
    }
    println!(
        "idle instance: {:.2} ms/s processor time, {:.0} B/s to peers",
        idle.cpu / INSTANCES * 1_000.0,
        idle.bytes / INSTANCES
    );
    println!("resident memory of an instance after the loads: {:.1} MB", resident(&fleet)? / 1e6);
    println!("| quantity | unit | points | slope | base | error |\n|---|---|---|---|---|---|");
    for series in [cpu, bytes, messages, writes] {
        println!("{}", series.row());
    }
    fleet.stop_all();
    Ok(())
}

/// Costs per second.
struct Rates {
    cpu: f64,
    started: f64,
    messages: f64,
    bytes: f64,
    writes: f64,
}

fn measure(fleet: &Fleet, statsd: &Statsd, load: Option<(&Path, u32, &str)>) -> Result<Rates> {
    let before = usage(fleet, statsd)?;
    match load {
        None => std::thread::sleep(Duration::from_secs(SECONDS.into())),
        Some((bin, percent, token)) => run_load(fleet, bin, percent, token)?,
    }
    let after = usage(fleet, statsd)?;
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let rate = |before: i64, after: i64| (after - before) as f64 / seconds;
    Ok(Rates {
        cpu: (after.cpu - before.cpu) / seconds,
        started: rate(before.started, after.started),
        messages: rate(before.messages, after.messages),
        bytes: rate(before.bytes, after.bytes),
        writes: rate(before.writes, after.writes),
    })
}

fn run_load(fleet: &Fleet, bin: &Path, percent: u32, token: &str) -> Result<()> {
    let mut load = Command::new(bin.join("cranberryhatch-load"));
    for entry in &fleet.entries {
        load.args(["--entry", &entry.process.addr.to_string()]);
    }
    let status = load
        .args(["--token", token, "--pattern", "small", "--slots", "384", "--deadline", "60"])
        .args(["--percent", &percent.to_string(), "--seconds", &SECONDS.to_string()])
        .stdout(Stdio::null())
        .status()
        .context("start the load")?;
    ensure!(status.success(), "the load ended with {status}");
    Ok(())
}

fn usage(fleet: &Fleet, statsd: &Statsd) -> Result<Usage> {
    let mut cpu = 0.0;
    for entry in &fleet.entries {
        let stat = fs::read_to_string(format!("/proc/{}/stat", entry.process.pid()))?;
        // Fields after the name in brackets; 12 and 13 are user and system ticks.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
        cpu += (ticks(12).unwrap_or(0.0) + ticks(13).unwrap_or(0.0)) / TICKS;
    }
    Ok(Usage {
        at: Instant::now(),
        cpu,
        started: statsd.sum("tasks-started"),
        messages: statsd.sum("peer-sent"),
        bytes: statsd.sum("peer-bytes-out"),
        writes: statsd.sum("claim-writes"),
    })
}

fn resident(fleet: &Fleet) -> Result<f64> {
    let mut sum = 0.0;
    for entry in &fleet.entries {
        let statm = fs::read_to_string(format!("/proc/{}/statm", entry.process.pid()))?;
        let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
        sum += pages.unwrap_or(0.0) * 4_096.0;
    }
    Ok(sum / fleet.entries.len().max(1) as f64)
}
