//! Runs a whole deployment on loopback and checks its promises.

use std::{path::Path, sync::Arc, time::Duration};

use anyhow::{Context, Result, bail};
use cranberryhatch_load::{Plan, PlannedJob, PlannedTask, ideal};
use cranberryhatch_standin::{
    check::{Call, Journal, Reply},
    unix_ms,
};
use smol::Timer;
use thiserror::Error;

use crate::{Caller, Fleet, Job, Operator, Report, Shape, Target, operator::Change};

/// Tasks of the demo's job.
const TASKS: usize = 1_900;
/// Run time of each task of the job, in milliseconds.
const RUN_MS: u64 = 50;
/// Single requests.
const SINGLES: usize = 300;
/// Run time of a single request, in milliseconds.
const SINGLE_MS: u64 = 100;
/// Time between two single requests.
const GAP: Duration = Duration::from_millis(10);
/// Every so many single requests, one is submitted again elsewhere.
const AGAIN: usize = 10;
/// Most that the response to the job may take, as a multiple of the ideal. The aim is 1.5.
const RATIO_LIMIT: f64 = 3.0;
/// Longest wait for an answer, in milliseconds.
const WAIT_MS: u64 = 25_000;
/// Time within which a change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);

/// What a deployment looks like.
pub struct Deployment {
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// Its team.
    pub team: &'static str,
    /// The team's token.
    pub token: &'static str,
    /// Kind of its jobs.
    pub kind: &'static str,
    /// Whether its work is idempotent.
    pub idempotent: bool,
}

/// The deployment with a name.
///
/// # Errors
/// When there is none.
pub fn deployment(name: &str) -> Result<Deployment> {
    match name {
        "popisek" => Ok(Deployment {
            zones: ["praha-a", "praha-b", "kladno-c"],
            team: "script",
            token: "script-token",
            kind: "timing-pass",
            idempotent: true,
        }),
        "guadalajara" => Ok(Deployment {
            zones: ["hall-centro", "hall-zapopan", "hall-tlaque"],
            team: "kiosk",
            token: "kiosk-token",
            kind: "print",
            idempotent: false,
        }),
        _ => bail!("no deployment {name}: popisek or guadalajara"),
    }
}

/// Why a run is no success although every process ended well.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Shortfall {
    /// Rules of the checker are broken.
    #[error("{0} rules broken, 0 allowed")]
    Broken(usize),
    /// Submissions have other answers than complete.
    #[error("answers that are not complete, 0 allowed: {0}")]
    Answers(String),
    /// The job took too long.
    #[error("the job of {TASKS} took {0:.2} times the ideal, {RATIO_LIMIT:.1} allowed")]
    Slow(f64),
}

/// Judges the figures of a run on a machine that does nothing else: rules broken, answers to
/// submissions by their outcome, and the response to the job as a multiple of the ideal.
///
/// # Errors
/// The first figure that falls short.
pub fn judge(broken: usize, answers: &[(String, usize)], ratio: f64) -> Result<(), Shortfall> {
    if broken > 0 {
        return Err(Shortfall::Broken(broken));
    }
    let complete = Reply::Complete.to_string();
    let others = answers.iter().filter(|(name, _)| *name != complete);
    let others: Vec<_> = others.map(|(name, count)| format!("{count} {name}")).collect();
    if !others.is_empty() {
        return Err(Shortfall::Answers(others.join(", ")));
    }
    if ratio > RATIO_LIMIT {
        return Err(Shortfall::Slow(ratio));
    }
    Ok(())
}

/// Starts a deployment, runs a job and single requests, stops everything, prints figures and judges
/// them. The folder of a run that falls short is kept.
///
/// # Errors
/// When a process fails or a figure falls short.
pub fn run(root: &Path, bin: &Path, name: &str) -> Result<()> {
    let deployment = deployment(name)?;
    let mut fleet = start(root, bin, name, &deployment)?;
    let slots = fleet.shape.total_slots();
    println!("{} entry instances, {} endpoints", fleet.entries.len(), fleet.endpoints.len());
    let journal = Arc::new(Journal::open(&fleet.folder.path().join("caller.journal"))?);
    let show = Show::new(&fleet, &deployment, journal);
    let runtime = &fleet.runtime;
    let job = runtime.spawn(show.clone().whole_job());
    let singles = runtime.spawn(show.clone().single_requests());
    let change = fleet.runtime.block_on(show.clone().change());
    let calls = fleet.runtime.block_on(async {
        let mut calls = job.await;
        calls.extend(singles.await);
        calls
    });
    fleet.stop()?;
    let report = Report::read(fleet.folder.path())?;
    print!("{report}");
    let ratio = print_ratios(&calls, slots);
    println!("{}", change?);
    let verdict = judge(report.broken().len(), &report.answers(), ratio);
    if verdict.is_err() {
        println!("logs and records are kept in {}", fleet.folder.path().display());
        fleet.folder.keep();
    }
    Ok(verdict?)
}

/// Starts a deployment, prints how to reach it, and stops it when standard input ends.
///
/// # Errors
/// When a process fails.
pub fn up(root: &Path, bin: &Path, name: &str) -> Result<()> {
    let deployment = deployment(name)?;
    let mut fleet = start(root, bin, name, &deployment)?;
    let addrs = fleet.entries.iter().map(|entry| entry.process.addr.to_string());
    println!("export CRANBERRYHATCH_SERVER={}", addrs.collect::<Vec<_>>().join(","));
    println!("export CRANBERRYHATCH_TOKEN={}   # or operator-token", deployment.token);
    let folder = fleet.folder.path().display();
    println!("logs and records are in {folder}; end standard input to stop");
    std::io::copy(&mut std::io::stdin(), &mut std::io::sink())?;
    fleet.stop()
}

fn start(root: &Path, bin: &Path, name: &str, deployment: &Deployment) -> Result<Fleet> {
    let path = root.join("examples").join(format!("{name}.ini"));
    let settings =
        std::fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let shape = Shape {
        zones: deployment.zones.iter().map(ToString::to_string).collect(),
        entries: 3,
        workers: 16,
        slots: 8,
        statsd: None,
        links: false,
        list_lag_ms: 0,
    };
    Fleet::start(bin, shape, &settings)
}

#[derive(Clone)]
struct Show {
    caller: Caller,
    operator: Operator,
    targets: Arc<Vec<Target>>,
    kind: String,
    idempotent: bool,
}

impl Show {
    fn new(fleet: &Fleet, deployment: &Deployment, journal: Arc<Journal>) -> Self {
        let target = |entry: &crate::Member| Target {
            name: entry.process.name.clone(),
            addr: entry.process.addr,
        };
        Self {
            caller: Caller {
                client: fleet.client.clone(),
                journal: Arc::clone(&journal),
                team: deployment.team.to_owned(),
                token: deployment.token.to_owned(),
            },
            operator: Operator {
                client: fleet.client.clone(),
                journal,
                name: "demo".to_owned(),
                token: "operator-token".to_owned(),
            },
            targets: Arc::new(fleet.entries.iter().map(target).collect()),
            kind: deployment.kind.to_owned(),
            idempotent: deployment.idempotent,
        }
    }

    fn job(&self, key: String, runs: Vec<u64>) -> Job {
        Job { kind: self.kind.clone(), idempotent: self.idempotent, ..Job::new(key, runs) }
    }

    /// Runs the job of 1,900 tasks, which is submitted again elsewhere while it runs.
    async fn whole_job(self) -> Vec<(Call, Vec<u64>)> {
        let job = self.job(format!("{}-job", unix_ms()), vec![RUN_MS; TASKS]);
        let again = async {
            Timer::after(Duration::from_millis(RUN_MS)).await;
            self.caller.submit(&self.targets[1], &job, WAIT_MS).await
        };
        let first = self.caller.submit(&self.targets[0], &job, WAIT_MS);
        let (first, _) = smol::future::zip(first, again).await;
        vec![(first, job.runs)]
    }

    /// Sends single requests to all instances in turn, some of them to two.
    async fn single_requests(self) -> Vec<(Call, Vec<u64>)> {
        let mut tasks = Vec::new();
        for number in 0..SINGLES {
            let show = self.clone();
            tasks.push(smol::spawn(async move { show.single(number).await }));
            Timer::after(GAP).await;
        }
        let mut calls = Vec::new();
        for task in tasks {
            calls.push(task.await);
        }
        calls
    }

    async fn single(&self, number: usize) -> (Call, Vec<u64>) {
        let to = &self.targets[number % self.targets.len()];
        let other = &self.targets[(number + 1) % self.targets.len()];
        // Half of the requests have keys that the instance issued.
        let issued = if number.is_multiple_of(2) { self.caller.key(to).await } else { None };
        let key = issued.unwrap_or_else(|| format!("{}-s{number}", unix_ms()));
        let job = self.job(key, vec![SINGLE_MS]);
        let first = self.caller.submit(to, &job, WAIT_MS);
        let again = async {
            if number.is_multiple_of(AGAIN) {
                self.caller.submit(other, &job, WAIT_MS).await;
            }
        };
        (smol::future::zip(first, again).await.0, job.runs)
    }

    /// Changes a setting and waits until it is in force everywhere.
    async fn change(self) -> Result<String> {
        Timer::after(Duration::from_millis(500)).await;
        let (to, operator) = (&self.targets[2], &self.operator);
        let (over, text) = operator.read(to).await.context("no settings")?;
        let text = format!("{text}\n[root]\nkeys.answers = 11m\n");
        let change = operator.write(to, over, &text).await;
        let Change::Accepted(version) = change else { bail!("the change failed: {change:?}") };
        let start = std::time::Instant::now();
        while start.elapsed() < IN_FORCE {
            let mut behind = 0;
            for target in self.targets.iter() {
                let seen = operator.seen(target).await;
                behind += usize::from(seen.is_none_or(|seen| seen < version));
            }
            if behind == 0 {
                let ms = start.elapsed().as_millis();
                return Ok(format!("change in force everywhere after {ms} ms"));
            }
            Timer::after(Duration::from_millis(20)).await;
        }
        bail!("version {version} was not in force everywhere within 4 s")
    }
}

/// Prints response times against the ideal, and gives that of the job.
fn print_ratios(calls: &[(Call, Vec<u64>)], slots: usize) -> f64 {
    let mut calls: Vec<_> = calls.iter().collect();
    calls.sort_by_key(|(call, _)| call.sent_ms);
    let task = |run: &u64| PlannedTask { run: *run, declared: *run };
    let job = |(call, runs): &&(Call, Vec<u64>)| PlannedJob {
        at: call.sent_ms,
        idempotent: call.idempotent,
        tasks: runs.iter().map(task).collect(),
    };
    let plan = Plan { jobs: calls.iter().map(job).collect() };
    let slots = u32::try_from(slots).unwrap_or(u32::MAX);
    let mut ratios = Vec::new();
    let mut whole: f64 = 0.0;
    for ((call, runs), ideal) in calls.iter().zip(ideal(&plan, &[(0, slots)])) {
        let response = call.got_ms - call.sent_ms;
        let ratio = response as f64 / ideal.max(1) as f64;
        if runs.len() > 1 {
            whole = whole.max(ratio);
            println!("job of {}: {response} ms, ideal {ideal} ms, ratio {ratio:.2}", runs.len());
        } else {
            ratios.push(ratio);
        }
    }
    ratios.sort_by(f64::total_cmp);
    let at = |share: usize| ratios.get(ratios.len() * share / 100).copied().unwrap_or_default();
    println!(
        "{} single requests against the ideal: p50 {:.2}, p99 {:.2}",
        ratios.len(),
        at(50),
        at(99)
    );
    whole
}
