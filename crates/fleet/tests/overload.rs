//! Guards against callers that wait long before they are refused in a sustained overload, and
//! against capacity that such an overload wastes.

mod common;
mod simulation;

use cranberryhatch_fleet::LogEvent;
use cranberryhatch_types::Span;
use simulation::{Kind, Outcome, SimJob, SimWorker, Simulation, ratio, sim_workers};

/// When the overload begins and ends.
const OVERLOAD: (u64, u64) = (3_000, 11_000);
/// Age up to which a refusal counts as immediate, in milliseconds.
const QUICK: u64 = 50;
/// Slack of the latency targets, by which a wait may exceed the forecast.
const SLACK: Span = Span::from_ms(60);
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Slots of 16 cores on the workers below.
const SLOTS: usize = 20 * 2 + 12 * 3;

fn workers() -> Vec<SimWorker> {
    let mut workers = sim_workers("small", 20, 32_000, &ZONES);
    workers.extend(sim_workers("large", 12, 48_000, &ZONES));
    workers
}

/// Creates the three kinds, from 1 s to 13 s, with `scale` times the rate from 3 s to 11 s.
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

/// Returns which jobs an offline plan with full knowledge serves in time: by priority and arrival,
/// each task in the earliest gap of the slots if the job meets its latency target.
fn plan(jobs: &[SimJob], kinds: &[Kind], slots: usize) -> Vec<bool> {
    let end = jobs.iter().map(|job| job.arrived + 3 * job.target).max().unwrap_or(0) + 1;
    let mut used = vec![0usize; usize::try_from(end).expect("short")];
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by_key(|job| (kinds[jobs[*job].kind].priority, jobs[*job].arrived));
    let mut served = vec![false; jobs.len()];
    for number in order {
        let job = &jobs[number];
        let (arrived, due) = (job.arrived, job.arrived + job.target);
        let mut times = job.times.clone();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let mut placed = Vec::new();
        for time in times {
            let gap = (arrived..=due.saturating_sub(time)).find_map(|start| {
                let span = start as usize..(start + time) as usize;
                used[span.clone()].iter().all(|used| *used < slots).then_some(span)
            });
            let Some(span) = gap else { break };
            used[span.clone()].iter_mut().for_each(|used| *used += 1);
            placed.push(span);
        }
        served[number] = placed.len() == job.times.len();
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
    fn count(&mut self, simulation: &Simulation, kind: usize, served: &[bool]) {
        for (job, planned) in simulation.jobs.iter().zip(served) {
            if job.kind != kind || !(OVERLOAD.0..OVERLOAD.1).contains(&job.arrived) {
                continue;
            }
            self.all += 1;
            self.planned += usize::from(*planned);
            self.in_time += usize::from(matches!(job.end, Some((_, Outcome::InTime))));
            if job.arrived >= OVERLOAD.0 + 1_000 {
                self.refused += job.refusals.len();
                self.quick += job.refusals.iter().filter(|(age, _)| *age <= QUICK).count();
            }
        }
    }
}

#[test]
fn sustained_overload_is_refused_at_once_and_the_rest_is_served_in_time() {
    // Guards against callers that wait for seconds and are then refused, against urgent jobs that
    // are delayed by others, and against refusals of servable jobs.
    let mut tallies: [Tally; 3] = Default::default();
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed, workers(), kinds(2.2), 13_000);
        simulation.run_until(25_000);
        let served = plan(&simulation.jobs, &simulation.kinds, SLOTS);
        for (kind, tally) in tallies.iter_mut().enumerate() {
            tally.count(&simulation, kind, &served);
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

/// Creates one kind of job for the crowd: 4 tasks of about 100 ms.
fn crowd(zones: Vec<(&'static str, f64)>, rates: Vec<(u64, f64)>) -> Vec<Kind> {
    let (name, rack) = ("crowd", "");
    let (priority, tasks, cores, mean, declared) = (1, 4, 16_000, 100.0, 100);
    vec![Kind { name, priority, tasks, cores, mean, declared, rack, zones, rates }]
}

#[test]
fn a_crowd_that_comes_back_when_told_is_served_in_order() {
    // Guards against a second wave of callers that were refused together and retry together. The
    // workers serve 190 jobs per second; about 400 arrive within 200 ms, and 60 per second after
    // them.
    for seed in SEEDS {
        let zones = vec![("a", 1.0), ("b", 1.0)];
        let rates = vec![(1_000, 3_000.0), (1_200, 60.0)];
        let mut simulation = Simulation::new(seed, workers(), crowd(zones, rates), 6_000);
        simulation.max_attempts = 3;
        simulation.run_until(15_000);
        let wave: Vec<&SimJob> = simulation.jobs_between(0, 1_000, 1_200).collect();
        let refused = wave.iter().filter(|job| !job.refusals.is_empty()).count();
        assert!(refused * 2 > wave.len(), "seed {seed}: not a crowd, {refused} refused");
        let again = wave.iter().filter(|job| job.refusals.len() > 1).count();
        assert!(again * 5 <= refused, "seed {seed}: {again} of {refused} refused again");
        let served = wave.iter().filter(|job| is_in_time(job)).count();
        assert!(served * 10 >= wave.len() * 9, "seed {seed}: {served} of {}", wave.len());
        // Callers that were served at their retry were served in the order of their refusals.
        let mut back: Vec<(u64, u64)> = wave
            .iter()
            .filter(|job| job.refusals.len() == 1 && is_in_time(job))
            .map(|job| (job.arrived + job.refusals[0].0, job.sent))
            .collect();
        back.sort_unstable();
        let pairs: Vec<_> = back.windows(2).filter(|pair| pair[0].0 < pair[1].0).collect();
        let ordered = pairs.iter().filter(|pair| pair[0].1 <= pair[1].1).count();
        assert!(ordered * 10 >= pairs.len() * 9, "seed {seed}: {ordered} of {}", pairs.len());
    }
}

#[test]
fn zone_with_more_demand_takes_no_capacity_from_others() {
    // Guards against zones that are served in proportion to what they send.
    struct Case {
        name: &'static str,
        weight: f64,
    }
    let cases = [
        Case { name: "equal demand", weight: 1.0 },
        Case { name: "twice the demand of the others", weight: 2.0 },
        Case { name: "four times the demand of the others", weight: 4.0 },
    ];
    for Case { name, weight } in cases {
        for seed in SEEDS {
            let zones = vec![("a", weight), ("b", 1.0), ("c", 1.0)];
            // 1.3 times what the workers can run.
            let rates = vec![(1_000, 250.0)];
            let mut simulation = Simulation::new(seed, workers(), crowd(zones, rates), 11_000);
            simulation.run_until(15_000);
            let served = ZONES.map(|zone| {
                let own = |job: &&SimJob| job.zone == zone;
                let all: Vec<&SimJob> =
                    simulation.jobs_between(0, 2_000, 11_000).filter(own).collect();
                (all.len(), all.iter().filter(|job| is_in_time(job)).count())
            });
            // Shares of equal weights: a zone that sends less than its share gets all of it.
            let sum: usize = served.iter().map(|(_, served)| served).sum();
            for (zone, (sent, served)) in ZONES.into_iter().zip(served) {
                let fair = sent.min(sum / 3);
                let got = ratio(served, fair);
                assert!(got >= 0.8, "{name}, seed {seed}, zone {zone}: {got} of its share");
            }
        }
    }
}

#[test]
fn a_zone_of_twice_the_weight_is_served_twice_as_much() {
    // Guards against weights that have no effect.
    for seed in SEEDS {
        let zones = vec![("a", 1.0), ("b", 1.0), ("c", 1.0)];
        let mut simulation =
            Simulation::new(seed, workers(), crowd(zones, vec![(1_000, 450.0)]), 8_000);
        simulation.scheduler.set_weights([("a".to_owned(), 2.0)]);
        simulation.run_until(12_000);
        let served = ZONES.map(|zone| {
            let own = |job: &&SimJob| job.zone == zone && is_in_time(job);
            simulation.jobs_between(0, 2_000, 8_000).filter(own).count()
        });
        let more = ratio(served[0] * 2, served[1] + served[2]);
        assert!((1.6..=2.4).contains(&more), "seed {seed}: {served:?}");
    }
}

#[test]
fn forecast_refuses_no_servable_job() {
    // Guards against forecasts that are worse than the actual waits. At 90 % of all slots, the plan
    // serves nearly all jobs.
    let (mut planned, mut in_time, mut refused) = (0, 0, 0);
    let (mut forecasts, mut kept) = (0, 0);
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed, workers(), kinds(1.4), 13_000);
        simulation.run_until(25_000);
        let served = plan(&simulation.jobs, &simulation.kinds, SLOTS);
        for (job, served) in simulation.jobs.iter().zip(served) {
            planned += usize::from(served);
            in_time += usize::from(is_in_time(job));
            refused += usize::from(served && !job.refusals.is_empty());
        }
        for (_, note) in &simulation.log_events {
            if let LogEvent::Granted { forecast: Some((expected, waited)), .. } = note {
                forecasts += 1;
                kept += usize::from(*waited <= *expected + SLACK);
            }
        }
    }
    assert!(ratio(refused, planned) <= 0.02, "{refused} of {planned} refused needlessly");
    assert!(ratio(in_time, planned) >= 0.95, "{in_time} of {planned} in time");
    assert!(ratio(kept, forecasts) >= 0.9, "{kept} of {forecasts} forecasts kept");
}

#[test]
fn large_jobs_of_a_kind_are_refused_hardly_more_often_than_small_ones() {
    // Guards against jobs that starve because all of their tasks need capacity at once.
    let mut refused = [(0, 0); 2];
    for seed in SEEDS {
        let zones = vec![("a", 1.0)];
        let mut kinds = crowd(zones.clone(), vec![(1_000, 300.0)]);
        kinds.extend(crowd(zones, vec![(1_000, 75.0)]));
        (kinds[0].tasks, kinds[1].tasks) = (2, 8);
        let mut simulation = Simulation::new(seed, workers(), kinds, 8_000);
        simulation.run_until(12_000);
        for (kind, (refused, all)) in refused.iter_mut().enumerate() {
            *refused += simulation
                .jobs_between(kind, 2_000, 8_000)
                .filter(|job| !job.refusals.is_empty())
                .count();
            *all += simulation.jobs_between(kind, 2_000, 8_000).count();
        }
    }
    let [small, large] = refused.map(|(refused, all)| ratio(refused, all));
    println!("refused of 2 tasks: {small}, of 8 tasks: {large}");
    assert!(large <= 1.5 * small, "refused of 2 tasks: {small}, of 8 tasks: {large}");
}

#[test]
fn arrivals_of_a_past_burst_are_forgotten() {
    // Guards against refusals because of arrivals that have ended.
    struct Case {
        name: &'static str,
        factor: f64,
        length: u64,
        /// Time after the burst from which nothing is refused.
        quiet: u64,
        /// Number of kinds for which this holds.
        kinds: usize,
    }
    let cases = [
        Case { name: "short", factor: 3.0, length: 300, quiet: 100, kinds: 3 },
        Case { name: "long, urgent kinds", factor: 4.0, length: 500, quiet: 100, kinds: 2 },
        Case { name: "long, all kinds", factor: 4.0, length: 500, quiet: 400, kinds: 3 },
    ];
    for Case { name, factor, length, quiet, kinds: count } in cases {
        for seed in SEEDS {
            let mut kinds = kinds(1.0);
            let end = 2_000 + length;
            for kind in &mut kinds {
                let rate = kind.rates[0].1;
                kind.rates = vec![(1_000, rate), (2_000, factor * rate), (end, rate)];
            }
            let mut simulation = Simulation::new(seed, workers(), kinds, 6_000);
            simulation.run_until(12_000);
            for job in simulation.jobs.iter().filter(|job| job.kind < count) {
                let at = job.refusals.first().map(|(age, _)| job.arrived + age);
                let name = format!("{name}, seed {seed}, {}", simulation.kinds[job.kind].name);
                assert!(at.is_none_or(|at| at < end + quiet), "{name}: refused at {at:?}");
            }
        }
    }
}

#[test]
fn replaced_scheduler_keeps_refusing_at_once() {
    // Guards against a new scheduler that refuses servable jobs before it knows the workers, or
    // that makes callers wait.
    let (mut quick, mut all) = (0, 0);
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed, workers(), kinds(2.2), 13_000);
        simulation.replace_at(7_000);
        simulation.run_until(25_000);
        let urgent = simulation.outcome_share(0, 7_000, 8_000, Outcome::InTime);
        assert!(urgent >= 0.95, "seed {seed}: {urgent} of the urgent jobs in time");
        for job in simulation.jobs.iter().filter(|job| (8_000..OVERLOAD.1).contains(&job.arrived)) {
            all += job.refusals.len();
            quick += job.refusals.iter().filter(|(age, _)| *age <= QUICK).count();
        }
    }
    // The new scheduler has learned the arrival rates by then.
    assert!(ratio(quick, all) >= 0.9, "{quick} of {all} within 50 ms");
}

fn is_in_time(job: &SimJob) -> bool {
    matches!(job.end, Some((_, Outcome::InTime)))
}
