//! Long randomised runs: real processes, steady arrivals and faults, all from one seed.

mod args;
mod fault_kind;
mod injector;
mod load;
mod operators;
mod plan;

use std::{
    collections::BTreeMap,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use cranberryhatch_standin::check::{Journal, Violation};
use smol::Timer;

pub use args::SoakArgs;
pub use fault_kind::FaultKind;
pub use injector::Injector;
pub use load::{Load, Twist};
pub use operators::Operators;
pub use plan::{Step, plan};

use crate::{Caller, Fleet, Operator, Report, Shape, Target};

/// Time after the last fault in which every job must get its final answer.
const SETTLE: Duration = Duration::from_secs(120);
/// Time between two looks at the settings versions in force.
const LOOK: Duration = Duration::from_millis(250);

/// Runs a deployment under random faults and checks its promises.
///
/// # Errors
/// When a process fails or a promise is broken; the records are kept then.
pub fn run(root: &Path, bin: &Path, args: &SoakArgs) -> Result<()> {
    let kinds = args.kinds().context("unknown kind of fault")?;
    println!("seed {}, {} s, repeat with: {}", args.seed, args.length().as_secs(), args.command());
    let settings = std::fs::read_to_string(root.join("examples/popisek.ini"))?;
    let shape = Shape {
        zones: ["praha-a", "praha-b", "kladno-c"].map(ToOwned::to_owned).to_vec(),
        entries: plan::INSTANCES / 3,
        workers: 4,
        slots: 8,
        statsd: None,
        links: true,
        list_lag_ms: 1_000,
    };
    let mut fleet = Fleet::start(bin, shape, &settings)?;
    let verdict = drive(&mut fleet, args, &kinds, &settings);
    if verdict.is_err() {
        fleet.folder.keep();
        println!("records are in {}", fleet.folder.path().display());
        println!("repeat with: {}", args.command());
    }
    verdict
}

fn drive(fleet: &mut Fleet, args: &SoakArgs, kinds: &[FaultKind], settings: &str) -> Result<()> {
    let journal = Arc::new(Journal::open(&fleet.folder.path().join("caller.journal"))?);
    let executor = fleet.runtime.executor();
    let caller = Caller {
        client: fleet.client.clone(),
        journal: Arc::clone(&journal),
        team: "script".to_owned(),
        token: "script-token".to_owned(),
    };
    let operator = Operator {
        client: fleet.client.clone(),
        journal: Arc::clone(&journal),
        name: "watch".to_owned(),
        token: "operator-token".to_owned(),
    };
    let target = |entry: &crate::Member| Target {
        name: entry.process.name.clone(),
        addr: entry.process.addr,
    };
    let targets: Vec<Target> = fleet.entries.iter().map(target).collect();
    let load = Load::new(caller, targets.clone(), Arc::clone(&executor), args.seed);
    let operators = Operators::new(operator.clone(), settings, Arc::clone(&executor));
    let start = Instant::now();
    let watch = executor.spawn(watch(operator, targets));
    let arrivals = executor.spawn(Arc::clone(&load).arrive(args.rate, start + args.length()));
    let steps = plan(args.seed, args.length(), kinds);
    let mut injector = Injector {
        fleet,
        load: Arc::clone(&load),
        operators: operators.clone(),
        journal,
        active: Vec::new(),
        counts: BTreeMap::new(),
        problems: Vec::new(),
    };
    injector.run(start, &steps);
    while Instant::now() < start + args.length() {
        injector.end_due();
        std::thread::sleep(Duration::from_millis(20));
    }
    injector.heal();
    let (counts, problems) = (injector.counts, injector.problems);
    smol::block_on(arrivals);
    smol::block_on(load.finish(SETTLE));
    let (accepted, refused) = smol::block_on(operators.finish());
    smol::block_on(watch.cancel());
    fleet.stop()?;
    print_counts(&counts);
    println!("settings changes: {accepted} accepted, {refused} refused");
    let report = Report::read(fleet.folder.path())?;
    let report = if args.untimed { report.untimed() } else { report };
    print!("{report}");
    for problem in &problems {
        println!("problem: {problem}");
    }
    let decides = |found: &&Violation| !args.pass_over.contains(&found.rule);
    let broken = report.broken().iter().filter(decides).count();
    ensure!(broken == 0, "{broken} promises broken");
    ensure!(problems.is_empty(), "{} problems", problems.len());
    Ok(())
}

/// Notes the versions in force until it is cancelled.
async fn watch(operator: Operator, targets: Vec<Target>) {
    loop {
        for target in &targets {
            operator.seen(target).await;
        }
        Timer::after(LOOK).await;
    }
}

fn print_counts(counts: &BTreeMap<FaultKind, usize>) {
    println!("faults injected: {}", counts.values().sum::<usize>());
    for (kind, count) in counts {
        println!("  {count:>7} {kind}");
    }
}
