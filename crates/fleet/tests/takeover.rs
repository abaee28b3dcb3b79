//! Guards against jobs that keep waiting for the end of a run that another owner has ended long
//! ago.

mod world;

use cranberryhatch_fleet::RUN_EXPIRY;
use world::World;

/// Number of instances and of workers.
const SIZE: usize = 4;
/// Run time of the only task, longer than the rest of the test.
const RUN: u64 = 3_000;

/// Events around the loss of a run's owner.
struct Case {
    name: &'static str,
    /// How long the front is paused right after it, in milliseconds.
    pause: u64,
    /// Whether the caller disconnects right before it.
    leaves: bool,
}

/// Returns the time from the end of the run until its front removes the job or starts the task
/// again, or `None` if the front is the owner too.
fn waits(seed: u64, case: &Case) -> Option<u64> {
    let mut world = World::new(seed, 1, SIZE, SIZE);
    let request = world.request(1, 1, 14_000, RUN, false);
    world.run_until(world.now + 60);
    let front = world.requests[request].attempts[0].node;
    let owner = world.instances[front].node.as_ref()?.front().owners().first()?.clone();
    let owner = (0..SIZE).find(|node| world.id(*node) == owner && *node != front)?;
    if case.leaves {
        world.disconnect_caller(request);
    }
    world.kill(owner, false, 60_000);
    world.run_until(world.now + 8);
    world.pause(front, case.pause);
    let mut ended = None;
    loop {
        let runs: usize = world.workers.iter().map(|worker| worker.runs.len()).sum();
        if runs == 0 {
            ended.get_or_insert(world.now);
        }
        let jobs = world.instances[front].node.as_ref()?.front().len();
        if jobs == 0 || world.starts.len() > 1 {
            return Some(world.now - ended.unwrap_or(world.now));
        }
        assert!(ended.is_none_or(|at| world.now < at + 20_000), "the job is never removed");
        world.run_until(world.now + 10);
    }
}

#[test]
fn end_of_an_unclaimed_run_reaches_its_front() {
    let cases = [
        Case { name: "the front reads the takeover late", pause: 450, leaves: false },
        Case { name: "the job has ended when its owner is lost", pause: 0, leaves: true },
    ];
    for case in &cases {
        let found: Vec<u64> = (1..=30).filter_map(|seed| waits(seed, case)).collect();
        assert!(found.len() > 10, "{}: {} cases", case.name, found.len());
        let bound = RUN_EXPIRY.as_ms();
        assert!(found.iter().all(|ms| *ms <= bound), "{}: {found:?}", case.name);
    }
}
