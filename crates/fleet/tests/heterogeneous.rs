//! Guards against jobs that miss their objective on slow workers or far from their data while better
//! workers have room, against healthy workers that are taken for slow, and against a change of the
//! scheduler that loses what was learnt.

mod common;
mod load;

use load::{Call, Kind, Load, Machine, Outcome, machines, ratio};

const ZONES: [&str; 3] = ["a", "b", "c"];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// End of the arrivals.
const END: u64 = 12_000;
/// When jobs have ended.
const SETTLED: u64 = END + 6_000;
/// When a third of the workers turns slow, and when they recover.
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

/// The three kinds of the users, which keep a share of all slots busy: a quarter of it urgent, a quarter
/// middle and half long.
fn kinds(share: f64) -> Vec<Kind> {
    let busy = share * SLOTS;
    vec![
        kind("urgent", 0, 8, 60.0, 0.25 * busy / 0.48),
        kind("middle", 1, 2, 200.0, 0.25 * busy / 0.40),
        kind("long", 2, 4, 900.0, 0.5 * busy / 3.6),
    ]
}

/// The same, 90 % of it with its data on four of twelve racks.
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

/// 24 workers with room for two tasks and 24 with room for three.
fn fleet() -> Vec<Machine> {
    let mut fleet = machines("small", 24, 32_000, &ZONES);
    fleet.extend(machines("large", 24, 48_000, &ZONES));
    fleet
}

fn is_slow(machine: &Machine) -> bool {
    machine.slow.len() == 2
}

/// A third of the workers takes five times as long for a while.
fn fleet_with_fault() -> Vec<Machine> {
    let mut fleet = fleet();
    for machine in fleet.iter_mut().step_by(3) {
        machine.slow = vec![(FAULT.0, 5.0), (FAULT.1, 1.0)];
    }
    fleet
}

/// Workers of three classes.
fn fleet_of_classes() -> Vec<Machine> {
    let mut fleet = fleet();
    for (number, machine) in fleet.iter_mut().enumerate() {
        let (class, factor) = [("fast", 1.0), ("mid", 1.6), ("slow", 2.7)][number / 2 % 3];
        machine.labels = vec![class.to_owned()];
        machine.slow = vec![(0, factor)];
    }
    fleet
}

fn fleet_on_racks() -> Vec<Machine> {
    let mut fleet = fleet();
    for (number, machine) in fleet.iter_mut().enumerate() {
        machine.labels.push(RACKS[number % RACKS.len()].to_owned());
    }
    fleet
}

/// Value of the jobs that were sent between two times, from 0 to 1.
fn value(load: &Load, from: u64, to: u64) -> f64 {
    let calls = || load.calls.iter().filter(|call| (from..to).contains(&call.born));
    let ended = |wanted| {
        let same = |call: &&Call| call.end.is_some_and(|(_, outcome)| outcome == wanted);
        ratio(calls().filter(same).count(), calls().count())
    };
    ended(Outcome::InTime) + 0.2 * ended(Outcome::Late)
}

fn play(seed: u64, fleet: Vec<Machine>, kinds: Vec<Kind>, change: bool) -> Load {
    let mut load = Load::new(seed, fleet, kinds, END);
    if change {
        load.replace_at(CHANGE);
    }
    load.run_until(SETTLED);
    load
}

fn mean(values: &[f64]) -> f64 {
    let count = u32::try_from(values.len()).expect("few");
    values.iter().sum::<f64>() / f64::from(count)
}

#[test]
fn uneven_workers_serve_nearly_as_much_as_even_ones() {
    struct Case {
        name: &'static str,
        fleet: fn() -> Vec<Machine>,
        kinds: fn(f64) -> Vec<Kind>,
        /// Share of all slots that are busy on workers that are alike.
        share: f64,
        from: u64,
        to: u64,
        /// Least part of the value on workers that are alike.
        bound: f64,
    }
    let cases = [
        Case {
            name: "a third of the workers is five times slower, from the second second on (R6)",
            fleet: fleet_with_fault,
            kinds,
            share: 0.48,
            from: FAULT.0 + 1_000,
            to: FAULT.1,
            bound: 0.97,
        },
        Case {
            name: "they have recovered",
            fleet: fleet_with_fault,
            kinds,
            share: 0.48,
            from: FAULT.1 + 2_000,
            to: END,
            bound: 0.97,
        },
        Case {
            name: "workers of three classes, once run times are known (R4)",
            fleet: fleet_of_classes,
            kinds,
            share: 0.4,
            from: 2_000,
            to: END,
            bound: 0.95,
        },
        Case {
            name: "90 % of the jobs on four of twelve racks that have room for them (R4)",
            fleet: fleet_on_racks,
            kinds: kinds_on_racks,
            share: 0.12,
            from: 2_000,
            to: END,
            bound: 0.95,
        },
    ];
    let mut missed = Vec::new();
    for Case { name, fleet: uneven, kinds: wanted, share, from, to, bound } in cases {
        for change in [false, true] {
            let part = |seed| {
                let even = play(seed, fleet(), kinds(share), change);
                let uneven = play(seed, uneven(), wanted(share), change);
                value(&uneven, from, to) / value(&even, from, to)
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
fn workers_that_recover_are_back_in_use_within_two_seconds() {
    for change in [false, true] {
        for seed in SEEDS {
            let load = play(seed, fleet_with_fault(), kinds(0.48), change);
            let slow: Vec<&str> =
                load.machines.iter().filter(|m| is_slow(m)).map(|m| m.id.as_str()).collect();
            let used = |from: u64, to: u64| {
                let starts = load.starts.iter().filter(|(at, ..)| (from..to).contains(at));
                let there = starts.clone().filter(|(_, id, _)| slow.contains(&id.as_str()));
                ratio(there.count(), starts.count())
            };
            let (slow, back) = (used(FAULT.0 + 1_000, FAULT.1), used(FAULT.1 + 2_000, END));
            eprintln!(
                "seed {seed}, another scheduler: {change}: {slow:.3} of the starts, then {back:.3}"
            );
            assert!(slow < 0.05, "seed {seed}: {slow:.3} of the starts while they are slow");
            // A third of the workers; placing prefers none of them.
            assert!(back > 0.15, "seed {seed}: {back:.3} of the starts after they recovered");
        }
    }
}
