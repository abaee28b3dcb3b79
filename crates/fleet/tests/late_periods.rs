//! Guards against two runs of a task at a time, untrue answers and callers without an answer while
//! workers leave half of their requests unanswered for seconds and carry them out seconds later,
//! where leases count from the arrival of a request.
//!
//! Other seeds by hand: `FUZZ_PERIOD_SEEDS=1..200`.

mod world;

use world::{FaultRates, World};

/// Time for which requests are carried out late, four times in a row.
const PERIOD: u64 = 5_200;
const PERIODS: u64 = 4;
/// Time for everything to settle.
const SETTLING: u64 = 60_000;
/// Number of tasks of a job; each worker has room for two.
const TASKS: u32 = 30;
const WORKERS: usize = 15;
const INSTANCES: usize = 6;
const ZONES: usize = 2;

/// What fails beside the requests.
struct Case {
    name: &'static str,
    inject: fn(&mut World, &mut fastrand::Rng),
}

const CASES: [Case; 5] = [
    Case { name: "nothing", inject: |_, _| {} },
    Case {
        name: "workers are cut off and run on",
        inject: |world, rng| {
            if rng.u32(0..100) < 10 {
                world.cut_worker(rng.usize(0..WORKERS), rng.u64(1_000..6_000));
            }
        },
    },
    Case {
        name: "instances lose power or are killed",
        inject: |world, rng| {
            if rng.u32(0..100) < 3 {
                world.kill(rng.usize(0..INSTANCES), rng.bool(), rng.u64(200..5_000));
            }
        },
    },
    Case {
        name: "instances are paused",
        inject: |world, rng| {
            if rng.u32(0..100) < 4 {
                world.pause(rng.usize(0..INSTANCES), rng.u64(300..4_000));
            }
        },
    },
    Case {
        name: "callers leave",
        inject: |world, rng| {
            let count = world.requests.len();
            if rng.u32(0..100) < 2 && count > 0 {
                world.disconnect_caller(rng.usize(0..count));
            }
        },
    },
];

fn play(case: &Case, seed: u64) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut world = World::new(seed, ZONES, INSTANCES, WORKERS);
    world.workers.iter_mut().for_each(|worker| worker.lease_from_arrival = true);
    world.patience = 20_000;
    for period in 1..=PERIODS {
        world.fault_rates = FaultRates {
            request_late: *rng.choice(&[300, 500, 600]).expect("some"),
            poll_late: 1_000,
            late_limit: *rng.choice(&[2_001, 4_000, 12_000]).expect("some"),
            late_at_worker: true,
            ..FaultRates::default()
        };
        let end = world.now + PERIOD;
        world.run_until(world.now + 200);
        world.request(period, TASKS, 16_000, rng.u64(2_000..5_000), false);
        while world.now < end {
            world.run_until(world.now + rng.u64(5..120));
            (case.inject)(&mut world, &mut rng);
        }
        world.fault_rates = FaultRates::default();
        world.run_until(world.now + rng.u64(2_000..10_000));
        world.time_out_callers();
    }
    world.run_until(world.now + SETTLING);
    world.check_end();
    world.violations
}

fn play_seeds(case: &Case) {
    let range = std::env::var("FUZZ_PERIOD_SEEDS").unwrap_or_else(|_| "1..4".to_owned());
    let (from, to) = range.split_once("..").expect("FROM..TO");
    let (from, to): (u64, u64) = (from.parse().expect("a seed"), to.parse().expect("a seed"));
    let mut broken = 0;
    for seed in from..to {
        let found = play(case, seed);
        if !found.is_empty() {
            println!("{}, seed {seed}: {found:#?}", case.name);
            broken += 1;
        }
    }
    assert_eq!(broken, 0, "seeds with violations while {}", case.name);
}

#[test]
fn late_polls_start_no_second_run() {
    play_seeds(&CASES[0]);
}

#[test]
fn late_polls_start_no_second_run_while_workers_are_cut_off() {
    play_seeds(&CASES[1]);
}

#[test]
fn late_polls_start_no_second_run_while_instances_are_lost() {
    play_seeds(&CASES[2]);
}

#[test]
fn late_polls_start_no_second_run_while_instances_are_paused() {
    play_seeds(&CASES[3]);
}

#[test]
fn late_polls_start_no_second_run_while_callers_leave() {
    play_seeds(&CASES[4]);
}
