//! Runs the same load under several policies and compares them with the ideal.

use std::{
    fmt::Write as _,
    fs,
    path::{Path, PathBuf},
    process::Command,
    time::Duration,
};

use anyhow::{Context, Result, ensure};
use clap::Args;
use cranberryhatch_standin::{Happening, read_record};
use serde::{Deserialize, Serialize};
use serde_json::json;
use strum::{Display, EnumString};

use crate::{Fleet, Shape, statsd::Statsd};

/// What is compared.
#[derive(Args, Clone, Debug)]
pub struct ExperimentArgs {
    /// Deployment: popisek or guadalajara.
    #[arg(long, default_value = "popisek")]
    pub deployment: String,
    /// Scenario: steady, burst, small, large, faulty.
    #[arg(long, default_value_t = Scenario::Steady)]
    pub scenario: Scenario,
    /// Policies, by comma: full, no-borrowing, random, round-robin, two-choices, first-come.
    #[arg(long, value_delimiter = ',', default_value = "full")]
    pub policies: Vec<Policy>,
    /// Length of the arrivals in seconds.
    #[arg(long, default_value_t = 20)]
    pub seconds: u32,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where keys come from: own or issued.
    #[arg(long, default_value = "own")]
    pub keys: String,
    /// Folder for the reports and the plot.
    #[arg(long)]
    pub output: Option<PathBuf>,
}

/// Load and faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// 70 % of the slots.
    Steady,
    /// Three times the slots for 5 s.
    Burst,
    /// Single requests only.
    Small,
    /// Jobs of 1,900 tasks only.
    Large,
    /// One worker fails everything, one is ten times slow, one dies.
    Faulty,
}

/// Settings under which a load runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Everything as delivered.
    Full,
    /// Each shard uses only its own workers.
    NoBorrowing,
    /// Workers picked at random.
    Random,
    /// Workers picked in turn.
    RoundRobin,
    /// The freer of two random workers.
    TwoChoices,
    /// No fair queueing between teams.
    FirstCome,
}

/// Figures of one policy.
#[derive(Debug, Serialize, Deserialize)]
struct Row {
    policy: String,
    report: serde_json::Value,
    started: usize,
    duplicates: usize,
    refused: usize,
    settled: usize,
    late: i64,
    forwards: i64,
    wasted_per_thousand: f64,
}

impl Policy {
    /// Settings that differ from those of the deployment.
    const fn overlay(self) -> &'static str {
        match self {
            Self::Full => "",
            Self::NoBorrowing => "[root]\nborrow.enabled = off\n",
            Self::Random => "[root]\nplacement.policy = random\n",
            Self::RoundRobin => "[root]\nplacement.policy = round-robin\n",
            Self::TwoChoices => "[root]\nplacement.policy = two-choices\n",
            Self::FirstCome => "[root]\nfair.enabled = off\n",
        }
    }
}

/// Runs the load once under each policy and prints a table.
///
/// # Errors
/// When a process fails or a task was started twice.
pub fn run(root: &Path, bin: &Path, args: &ExperimentArgs) -> Result<()> {
    let path = root.join("examples").join(format!("{}.ini", args.deployment));
    let settings = fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let mut rows = Vec::new();
    for policy in &args.policies {
        let settings = format!("{settings}\n{}", policy.overlay());
        rows.push(run_policy(bin, args, *policy, &settings)?);
        println!("{}", line_of(rows.last().context("no row")?));
    }
    if let Some(folder) = &args.output {
        fs::create_dir_all(folder)?;
        let name = format!("{}-{}.json", args.deployment, args.scenario);
        fs::write(folder.join(name), serde_json::to_string_pretty(&rows)?)?;
    }
    println!("{}", table(&rows));
    ensure!(rows.iter().all(|row| row.duplicates == 0), "a task started twice");
    Ok(())
}

fn run_policy(bin: &Path, args: &ExperimentArgs, policy: Policy, settings: &str) -> Result<Row> {
    let deployment = crate::demo::deployment(&args.deployment)?;
    let zones = deployment.zones.iter().map(ToString::to_string).collect();
    let statsd = Statsd::start()?;
    let shape = Shape {
        zones,
        entries: 3,
        workers: 16,
        slots: 8,
        statsd: Some(statsd.addr),
        links: false,
        list_lag_ms: 0,
    };
    let mut fleet = Fleet::start(bin, shape, settings)?;
    // Instances learn of workers and of each other before the load starts.
    std::thread::sleep(Duration::from_secs(3));
    let slots = 3 * 16 * 8;
    let pattern = match args.scenario {
        Scenario::Faulty => Scenario::Steady,
        scenario => scenario,
    };
    let output = fleet.folder.path().join("report.json");
    let mut load = Command::new(bin.join("cranberryhatch-load"));
    for entry in &fleet.entries {
        load.args(["--entry", &entry.process.addr.to_string()]);
    }
    load.args([
        "--token",
        deployment.token,
        "--pattern",
        &pattern.to_string(),
        "--slots",
        &slots.to_string(),
    ])
    .args(["--seconds", &args.seconds.to_string(), "--seed", &args.seed.to_string()])
    .args(["--keys", &args.keys, "--deadline", "60"])
    .arg("--output")
    .arg(&output)
    .stdout(std::process::Stdio::null());
    if args.scenario == Scenario::Faulty {
        load.args(["--capacity", &format!("5000:{}", slots - 8)]);
    }
    let mut load = load.spawn().context("start the load")?;
    if args.scenario == Scenario::Faulty {
        std::thread::sleep(Duration::from_secs(5));
        fleet.post(
            fleet.endpoints[0].process.addr,
            "/control/switch",
            &json!({"fault": "fail-tasks"}),
        )?;
        fleet.post(
            fleet.endpoints[20].process.addr,
            "/control/switch",
            &json!({"fault": "straggle"}),
        )?;
        fleet.endpoints[40].process.kill();
    }
    let status = load.wait()?;
    ensure!(status.success(), "the load ended with {status}");
    let report = serde_json::from_str(&fs::read_to_string(&output)?)?;
    // The last counters are still on their way.
    std::thread::sleep(Duration::from_millis(500));
    let sums = |name: &str| statsd.sum(name);
    let (late, forwards) = (sums("answers-late"), sums("forwards-sent"));
    fleet.stop_all();
    row_of(policy, report, fleet.folder.path(), late, forwards)
}

fn row_of(
    policy: Policy,
    report: serde_json::Value,
    folder: &Path,
    late: i64,
    forwards: i64,
) -> Result<Row> {
    let mut started = Vec::new();
    let (mut refused, mut settled) = (0, 0);
    for file in fs::read_dir(folder)? {
        let path = file?.path();
        if path.extension().is_none_or(|extension| extension != "record") {
            continue;
        }
        for entry in read_record(&path)? {
            match entry.what {
                Happening::Started => {
                    let task = entry.name.rsplit_once('/').map(|(task, _)| task.to_owned());
                    started.push(task.unwrap_or(entry.name));
                }
                Happening::Refused => refused += 1,
                Happening::Settled => settled += 1,
                _ => {}
            }
        }
    }
    let total = started.len();
    started.sort_unstable();
    started.dedup();
    let duplicates = total - started.len();
    let wasted = (refused + settled + duplicates) as f64 + late as f64 + forwards as f64;
    Ok(Row {
        policy: policy.to_string(),
        report,
        started: total,
        duplicates,
        refused,
        settled,
        late,
        forwards,
        wasted_per_thousand: wasted * 1_000.0 / total.max(1) as f64,
    })
}

fn line_of(row: &Row) -> String {
    let ratio = &row.report["ratio"];
    format!(
        "{:<14} p50 {:>6.3}  p99 {:>7.3}  worst {:>8.3}  wasted/1000 {:>7.2}  \
         (refused {}, settled {}, late {}, forwards {})  outcomes {} codes {}",
        row.policy,
        ratio["p50"].as_f64().unwrap_or(0.0),
        ratio["p99"].as_f64().unwrap_or(0.0),
        ratio["worst"].as_f64().unwrap_or(0.0),
        row.wasted_per_thousand,
        row.refused,
        row.settled,
        row.late,
        row.forwards,
        row.report["outcomes"],
        row.report["codes"],
    )
}

fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| policy | p50 | p99 | worst | wasted per 1,000 | started |\n|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let ratio = &row.report["ratio"];
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {:.2} | {} |",
            row.policy,
            ratio["p50"],
            ratio["p99"],
            ratio["worst"],
            row.wasted_per_thousand,
            row.started,
        );
    }
    text
}
