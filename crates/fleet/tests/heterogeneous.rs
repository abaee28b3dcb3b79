//! Guards against jobs that miss their latency target on slow workers or far from their data while
//! better workers have capacity, against healthy workers that count as slow, and against a change
//! of the scheduler that loses statistics.

mod common;
mod simulation;

use simulation::{Kind, Outcome, SimJob, SimWorker, Simulation, ratio, sim_workers};

const ZONES: [&str; 3] = ["a", "b", "c"];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// End of the arrivals.
const END: u64 = 12_000;
/// When all jobs have ended.
const SETTLED: u64 = END + 6_000;
/// When a third of the workers becomes slow, and when they recover.
const FAULT: (u64, u64) = (3_000, 8_000);
/// When another scheduler takes over in the runs with a change.
const CHANGE: u64 = 6_000;
/// Slots of the fleet for tasks of 16 cores.
const SLOTS: f64 = 120.0;
const RACKS: [&str; 12] =
    ["r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8", "r9", "r10", "r11"];

fn kind(name: &'static str, priority: u32, tasks: u32, mean: f64, rate: f64) -> Kind {
    Kind {
        name,
        priority,
        tasks,
        cores: 16_000,
        mean,
        declared: 100,
        rack: "",
        zones: ZONES.map(|zone| (zone, 1.0)).to_vec(),
        rates: vec![(0, rate), (END, 0.0)],
    }
}

/// Creates three kinds that keep a share of all slots busy: a quarter of it urgent, a quarter
/// medium and half long.
fn kinds(share: f64) -> Vec<Kind> {
    let busy = share * SLOTS;
    vec![
        kind("urgent", 0, 8, 60.0, 0.25 * busy / 0.48),
        kind("middle", 1, 2, 200.0, 0.25 * busy / 0.40),
        kind("long", 2, 4, 900.0, 0.5 * busy / 3.6),
    ]
}

/// Creates the same kinds with 90 % of the data on four of twelve racks.
fn kinds_on_racks(share: f64) -> Vec<Kind> {
    let on = |kind: Kind, rack, part: f64| {
        let rates = kind.rates.iter().map(|(at, rate)| (*at, rate * part)).collect();
        Kind { rack, rates, ..kind }
    };
    let spread = |kind: Kind| {
        let racks = RACKS[..4].iter().map(move |rack| (*rack, 0.9 / 4.0)).chain([("", 0.1)]);
        racks.map(move |(rack, part)| on(kind.clone(), rack, part)).collect::<Vec<_>>()
    };
    kinds(share).into_iter().flat_map(spread).collect()
}

/// Creates 24 workers with capacity for two tasks and 24 with capacity for three.
fn fleet() -> Vec<SimWorker> {
    let mut fleet = sim_workers("small", 24, 32_000, &ZONES);
    fleet.extend(sim_workers("large", 24, 48_000, &ZONES));
    fleet
}

fn is_slow(worker: &SimWorker) -> bool {
    worker.slowdown.len() == 2
}

/// Creates a fleet in which a third of the workers takes five times as long for a while.
fn fleet_with_fault() -> Vec<SimWorker> {
    let mut fleet = fleet();
    for worker in fleet.iter_mut().step_by(3) {
        worker.slowdown = vec![(FAULT.0, 5.0), (FAULT.1, 1.0)];
    }
    fleet
}

/// Creates a fleet of three classes.
fn fleet_of_classes() -> Vec<SimWorker> {
    let mut fleet = fleet();
    for (number, worker) in fleet.iter_mut().enumerate() {
        let (class, factor) = [("fast", 1.0), ("mid", 1.6), ("slow", 2.7)][number / 2 % 3];
        worker.labels = vec![class.to_owned()];
        worker.slowdown = vec![(0, factor)];
    }
    fleet
}

fn fleet_on_racks() -> Vec<SimWorker> {
    let mut fleet = fleet();
    for (number, worker) in fleet.iter_mut().enumerate() {
        worker.labels.push(RACKS[number % RACKS.len()].to_owned());
    }
    fleet
}

/// Returns the mean value of the jobs that arrived between two times, from 0 to 1.
fn value(simulation: &Simulation, from: u64, to: u64) -> f64 {
    let jobs = || simulation.jobs.iter().filter(|job| (from..to).contains(&job.arrived));
    let ended = |wanted| {
        let same = |job: &&SimJob| job.end.is_some_and(|(_, outcome)| outcome == wanted);
        ratio(jobs().filter(same).count(), jobs().count())
    };
    ended(Outcome::InTime) + 0.2 * ended(Outcome::Late)
}

fn simulate(seed: u64, fleet: Vec<SimWorker>, kinds: Vec<Kind>, change: bool) -> Simulation {
    let mut simulation = Simulation::new(seed, fleet, kinds, END);
    if change {
        simulation.replace_at(CHANGE);
    }
    simulation.run_until(SETTLED);
    simulation
}

fn mean(values: &[f64]) -> f64 {
    let count = u32::try_from(values.len()).expect("few");
    values.iter().sum::<f64>() / f64::from(count)
}

#[test]
fn heterogeneous_workers_serve_nearly_as_much_as_identical_ones() {
    struct Case {
        name: &'static str,
        fleet: fn() -> Vec<SimWorker>,
        kinds: fn(f64) -> Vec<Kind>,
        /// Share of all slots that are busy on identical workers.
        share: f64,
        from: u64,
        to: u64,
        /// Minimum value relative to identical workers.
        bound: f64,
    }
    let cases = [
        Case {
            name: "a third of the workers is five times slower, 1 s after the change",
            fleet: fleet_with_fault,
            kinds,
            share: 0.48,
            from: FAULT.0 + 1_000,
            to: FAULT.1,
            bound: 0.97,
        },
        Case {
            name: "after the workers have recovered",
            fleet: fleet_with_fault,
            kinds,
            share: 0.48,
            from: FAULT.1 + 2_000,
            to: END,
            bound: 0.97,
        },
        Case {
            name: "workers of three classes, once run times are known",
            fleet: fleet_of_classes,
            kinds,
            share: 0.4,
            from: 2_000,
            to: END,
            bound: 0.95,
        },
        Case {
            name: "90 % of the jobs on four of twelve racks that have capacity for them",
            fleet: fleet_on_racks,
            kinds: kinds_on_racks,
            share: 0.12,
            from: 2_000,
            to: END,
            bound: 0.95,
        },
    ];
    let mut missed = Vec::new();
    for Case { name, fleet: heterogeneous, kinds: wanted, share, from, to, bound } in cases {
        for change in [false, true] {
            let part = |seed| {
                let identical = simulate(seed, fleet(), kinds(share), change);
                let heterogeneous = simulate(seed, heterogeneous(), wanted(share), change);
                value(&heterogeneous, from, to) / value(&identical, from, to)
            };
            let parts: Vec<f64> = SEEDS.map(part).collect();
            eprintln!("{name}, another scheduler: {change}: {parts:.3?}, mean {:.3}", mean(&parts));
            if mean(&parts) < bound {
                missed.push(format!("{name}, another scheduler: {change}: {parts:.3?} of {bound}"));
            }
        }
    }
    assert!(missed.is_empty(), "{}", missed.join("\n"));
}

/// Guards against workers that stay unused long after they have recovered.
#[test]
fn recovered_workers_are_used_again_within_two_seconds() {
    for change in [false, true] {
        for seed in SEEDS {
            let simulation = simulate(seed, fleet_with_fault(), kinds(0.48), change);
            let slow: Vec<&str> =
                simulation.workers.iter().filter(|m| is_slow(m)).map(|m| m.id.as_str()).collect();
            let used = |from: u64, to: u64| {
                let starts = simulation.starts.iter().filter(|(at, ..)| (from..to).contains(at));
                let there = starts.clone().filter(|(_, id, _)| slow.contains(&id.as_str()));
                ratio(there.count(), starts.count())
            };
            let (slow, back) = (used(FAULT.0 + 1_000, FAULT.1), used(FAULT.1 + 2_000, END));
            eprintln!(
                "seed {seed}, another scheduler: {change}: {slow:.3} of the starts, then {back:.3}"
            );
            assert!(slow < 0.05, "seed {seed}: {slow:.3} of the starts while they are slow");
            // They are a third of the workers, and placement prefers none of them.
            assert!(back > 0.15, "seed {seed}: {back:.3} of the starts after they recovered");
        }
    }
}
