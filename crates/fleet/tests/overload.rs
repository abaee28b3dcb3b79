//! Guards against callers that are held and then refused in a lasting overload, and against capacity
//! that such an overload wastes.

mod common;
mod load;

use load::{Call, Kind, Load, Machine, Outcome, machines, ratio};

/// When the overload begins and ends.
const OVERLOAD: (u64, u64) = (3_000, 11_000);
/// Age up to which a refusal counts as immediate, in milliseconds.
const QUICK: u64 = 50;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Slots of 16 cores on the workers below.
const SLOTS: usize = 20 * 2 + 12 * 3;

fn workers() -> Vec<Machine> {
    let mut workers = machines("small", 20, 32_000, &ZONES);
    workers.extend(machines("large", 12, 48_000, &ZONES));
    workers
}

/// The three kinds, from 1 s to 13 s, with `scale` times the rate from 3 s to 11 s.
fn kinds(scale: f64) -> Vec<Kind> {
    let zones: Vec<(&'static str, f64)> = ZONES.iter().map(|zone| (*zone, 1.0)).collect();
    let kind = |name, priority, tasks, mean, declared, rate| Kind {
        name,
        priority,
        tasks,
        cores: 16_000,
        mean,
        declared,
        rack: "",
        zones: zones.clone(),
        rates: vec![(1_000, rate), (OVERLOAD.0, rate * scale), (OVERLOAD.1, rate)],
    };
    vec![
        kind("urgent", 0, 8, 60.0, 50, 28.0),
        kind("middle", 1, 2, 200.0, 280, 33.0),
        kind("long", 2, 4, 900.0, 700, 5.3),
    ]
}

/// Jobs that an offline plan with full knowledge serves in time: by priority and arrival, each task
/// in the earliest gap of the slots, if that meets the objective.
fn plan(calls: &[Call], kinds: &[Kind], slots: usize) -> Vec<bool> {
    let end = calls.iter().map(|call| call.born + 3 * call.objective).max().unwrap_or(0) + 1;
    let mut used = vec![0usize; usize::try_from(end).expect("short")];
    let mut order: Vec<usize> = (0..calls.len()).collect();
    order.sort_by_key(|call| (kinds[calls[*call].kind].priority, calls[*call].born));
    let mut served = vec![false; calls.len()];
    for number in order {
        let call = &calls[number];
        let (born, due) = (call.born, call.born + call.objective);
        let mut times = call.times.clone();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let mut placed = Vec::new();
        for time in times {
            let gap = (born..=due.saturating_sub(time)).find_map(|start| {
                let span = start as usize..(start + time) as usize;
                used[span.clone()].iter().all(|used| *used < slots).then_some(span)
            });
            let Some(span) = gap else { break };
            used[span.clone()].iter_mut().for_each(|used| *used += 1);
            placed.push(span);
        }
        served[number] = placed.len() == call.times.len();
        if !served[number] {
            placed.into_iter().flatten().for_each(|ms| used[ms] -= 1);
        }
    }
    served
}

/// Counts of one kind over the overload.
#[derive(Debug, Default)]
struct Tally {
    all: usize,
    planned: usize,
    in_time: usize,
    refused: usize,
    quick: usize,
}

impl Tally {
    fn count(&mut self, load: &Load, kind: usize, served: &[bool]) {
        for (call, planned) in load.calls.iter().zip(served) {
            if call.kind != kind || !(OVERLOAD.0..OVERLOAD.1).contains(&call.born) {
                continue;
            }
            self.all += 1;
            self.planned += usize::from(*planned);
            self.in_time += usize::from(matches!(call.end, Some((_, Outcome::InTime))));
            if call.born >= OVERLOAD.0 + 1_000 {
                self.refused += call.refusals.len();
                self.quick += call.refusals.iter().filter(|(age, _)| *age <= QUICK).count();
            }
        }
    }
}

#[test]
fn a_lasting_overload_is_refused_at_once_and_the_rest_is_served_in_time() {
    // Guards against callers that are held for seconds and then refused, against urgent jobs that
    // suffer from others, and against refusals of what could be served.
    let mut tallies: [Tally; 3] = Default::default();
    for seed in SEEDS {
        let mut load = Load::new(seed, workers(), kinds(2.2), 13_000);
        load.run_until(25_000);
        let served = plan(&load.calls, &load.kinds, SLOTS);
        for (kind, tally) in tallies.iter_mut().enumerate() {
            tally.count(&load, kind, &served);
        }
    }
    println!("{tallies:#?}");
    let sum = |of: fn(&Tally) -> usize| tallies.iter().map(of).sum::<usize>();
    let urgent = ratio(tallies[0].in_time, tallies[0].all);
    assert!(urgent >= 0.98, "urgent jobs in time: {urgent}");
    let quick = ratio(sum(|tally| tally.quick), sum(|tally| tally.refused));
    assert!(quick >= 0.9, "refusals within 50 ms: {quick}");
    let served = ratio(sum(|tally| tally.in_time), sum(|tally| tally.planned));
    assert!(served >= 0.95, "served in time, of the plan: {served}");
}
