//! Guards against start requests that are read after a pause and run a task twice.

mod world;

use cranberryhatch_fleet::{LEASE, PEER_TIMEOUT, RUN_EXPIRY};
use world::World;

/// Step between the lengths of pauses, in milliseconds; leases are renewed about as often.
const STEP: usize = 100;
/// Interval between jobs of three tasks each; the workers are half busy.
const EVERY: u64 = 25;
/// Number of jobs submitted right before a pause.
const BURST: u64 = 8;
/// Longest time from these jobs to the pause: the time of a request for capacity, a grant and a
/// start request.
const ON_WAY: u64 = 24;
/// Time within which all jobs are done and all leases have expired.
const SETTLING: u64 = 8_000;
/// Run time of a task, in milliseconds.
const RUN: u64 = 100;

/// Returns lengths of pauses, from less than the timeout of a link to more than the end of every
/// lease.
fn lengths() -> impl Iterator<Item = u64> {
    let (from, to) =
        (PEER_TIMEOUT.as_ms() / 2, (RUN_EXPIRY + LEASE).as_ms() + PEER_TIMEOUT.as_ms());
    (from..=to).step_by(STEP)
}

/// Pauses one instance under load, or all but one of them, and returns the violations.
fn pause(seed: u64, length: u64, most: bool, step: u64) -> Vec<String> {
    let mut world = World::new(seed, 1, 4, 6);
    let end = world.now + length + 3_000;
    let begin = world.now + 400 + seed * 7 % 100;
    let mut name = 1;
    let mut paused = false;
    while world.now < end {
        if !paused && world.now >= begin {
            paused = true;
            // Requests for these jobs are in flight when the pause begins.
            for _ in 0..BURST {
                world.request(name, 3, 8_000, RUN, false);
                name += 1;
            }
            world.run_until(world.now + seed % ON_WAY);
            for node in 0..if most { 3 } else { 1 } {
                world.pause(node, length + seed * 13 % 60);
                world.instances[node].clock_ahead = step;
            }
        }
        world.request(name, 3, 14_000, RUN, false);
        name += 1;
        world.run_until(world.now + EVERY);
    }
    world.run_until(world.now + SETTLING);
    world.check_end();
    world.violations
}

#[test]
fn starts_read_after_a_pause_run_no_task_twice() {
    struct Case {
        name: &'static str,
        most: bool,
        step: u64,
    }
    let cases = [
        Case { name: "one of four instances", most: false, step: 0 },
        Case { name: "three of four instances", most: true, step: 0 },
        Case { name: "its wall clock jumps meanwhile", most: false, step: 2_000 },
    ];
    let mut broken = Vec::new();
    for Case { name, most, step } in cases {
        for length in lengths() {
            for seed in 1..=8 {
                let faults = pause(seed, length, most, step);
                if !faults.is_empty() {
                    broken.push(format!("{name}, {length} ms, seed {seed}: {faults:?}"));
                }
            }
        }
    }
    assert!(broken.is_empty(), "{} pauses: {}", broken.len(), broken.join("\n"));
}
