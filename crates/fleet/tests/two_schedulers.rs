//! Guards against starts beyond the limits of a step while two instances schedule: the scheduler is
//! cut off or paused for longer than its replacement takes, but for less time than its links last.

mod world;

use std::ops::Range;

use cranberryhatch_fleet::Outcome;
use world::{World, limits::LABEL};

/// Seeds in CI; others by hand: `FUZZ_LIMIT_SEEDS=1..2000`.
const SEEDS: Range<u64> = 1..7;
/// Around the silence after which a scheduler is replaced and the timeout of a link, in milliseconds.
const DISTURBANCE: Range<u64> = 300..600;
/// Number of disturbances of a seed.
const DISTURBANCES: usize = 12;
/// Longest time between two of them, in milliseconds.
const CALM: u64 = 1_500;
/// Time in which the last jobs end, in milliseconds.
const SETTLING: u64 = 20_000;

struct Case {
    disturb: fn(&mut World, usize, u64),
    /// Whether the scheduler loses workers during the disturbances.
    restarts: bool,
}

/// Plays a seed and returns the violations, and the numbers of completed and of all jobs.
fn play(seed: u64, case: &Case) -> (Vec<String>, usize, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut world = World::new(seed, 3, 6, 6);
    world.label_workers();
    world.patience = 6_000;
    let mut name = 0;
    for turn in 0..DISTURBANCES {
        // Each instance in turn, so that the scheduler is among them.
        (case.disturb)(&mut world, turn % 6, rng.u64(DISTURBANCE));
        if case.restarts && rng.bool() {
            world.restart_worker(rng.usize(0..6), rng.u64(0..200), rng.bool());
        }
        let end = world.now + DISTURBANCE.end + rng.u64(0..CALM);
        while world.now < end {
            name += 1;
            // More tasks than workers, so that some wait when two instances schedule.
            let (tasks, run_ms) = (rng.u32(16..32), rng.u64(100..200));
            match rng.u32(0..4) {
                0 => world.request_limited(name, tasks, run_ms, 0, LABEL),
                1 => world.request_limited(name, tasks / 2, run_ms, 1, LABEL),
                2 => world.request_limited(name, tasks, run_ms, 2, ""),
                _ => world.request_limited(name, tasks, run_ms, 1, ""),
            };
            world.run_until(world.now + rng.u64(150..350));
        }
    }
    world.run_until(world.now + SETTLING);
    world.check_end();
    let completed =
        world.requests.iter().filter(|job| job.outcome == Some(Outcome::Completed)).count();
    (world.violations, completed, world.requests.len())
}

fn check(case: &Case) {
    let range = std::env::var("FUZZ_LIMIT_SEEDS").ok();
    let seeds = range.map_or(SEEDS, |range| {
        let (from, to) = range.split_once("..").expect("FROM..TO");
        from.parse().expect("a seed")..to.parse().expect("a seed")
    });
    let (mut broken, mut completed, mut jobs) = (0, 0, 0);
    for seed in seeds {
        let (violations, seed_completed, seed_jobs) = play(seed, case);
        if !violations.is_empty() {
            println!("seed {seed}: {violations:#?}");
        }
        broken += u32::from(!violations.is_empty());
        completed += seed_completed;
        jobs += seed_jobs;
    }
    println!("{completed} of {jobs} jobs completed");
    assert_eq!(broken, 0, "seeds with violations");
}

// Guards against a step with more tasks on a worker than it allows, or on a worker without its label.
#[test]
fn limits_of_a_step_hold_while_instances_are_cut_off() {
    check(&Case { disturb: World::cut_instance, restarts: false });
}

// The same where a process that is paused goes on with what it knew.
#[test]
fn limits_of_a_step_hold_while_instances_are_paused() {
    check(&Case { disturb: World::pause, restarts: false });
}

// The same where workers restart meanwhile, which owners notice and the paused scheduler does not.
#[test]
fn limits_of_a_step_hold_while_instances_are_cut_off_and_workers_restart() {
    check(&Case { disturb: World::cut_instance, restarts: true });
}
