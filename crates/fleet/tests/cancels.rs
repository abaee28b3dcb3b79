//! Guards against tasks that start after their job was cancelled: at another instance than the job's,
//! while the scheduler changes, or because the request of the job arrives again.

mod world;

use cranberryhatch_fleet::{CancelOutcome, Outcome};
use world::World;

/// Instances; callers submit the jobs of a test at the first one.
const INSTANCES: usize = 4;
/// Run time of each task in milliseconds.
const RUN_TIME: u64 = 300;
/// Run time of a long task; it may take half as long.
const LONG_TIME: u64 = 30_000;
/// Time in which a cancel takes effect, in milliseconds: some heartbeats and a change of scheduler.
const CANCEL_TIME: u64 = 2_000;
/// Time for which a request may arrive again, in milliseconds.
const REPEAT_TIME: u64 = 10_000;

/// Time for which a removed instance is down, in milliseconds.
const NEVER: u64 = 1_000_000;

/// Submits a job of more tasks than the workers can run at a time; returns the request and its front.
fn begin(world: &mut World) -> (usize, usize) {
    let request = world.request(1, 60, 16_000, RUN_TIME, false);
    world.run_until(world.now + RUN_TIME / 2);
    (request, world.requests[request].attempts[0].node)
}

/// Submits a job of one long task, whose front asks for no further capacity; returns the request and
/// its front.
fn begin_long(world: &mut World) -> (usize, usize) {
    let request = world.request(1, 1, 16_000, LONG_TIME, false);
    world.run_until(world.now + RUN_TIME);
    (request, world.requests[request].attempts[0].node)
}

/// Returns the number of active runs.
fn runs(world: &World) -> usize {
    world.workers.iter().map(|worker| worker.runs.len()).sum()
}

fn scheduler(world: &World) -> usize {
    (0..INSTANCES).find(|node| world.schedules(*node)).expect("a scheduler")
}

/// Returns the number of starts of the request's job from now on.
fn starts_within(world: &mut World, time: u64) -> usize {
    let before = world.sent_starts.len();
    world.run_until(world.now + time);
    world.sent_starts.len() - before
}

#[test]
fn cancel_at_any_instance_ends_the_job() {
    for is_scheduler_lost in [false, true] {
        for seed in 0..40 {
            let mut world = World::new(seed, 2, INSTANCES, 4);
            let (request, front) = begin(&mut world);
            let lost = is_scheduler_lost.then(|| scheduler(&world));
            if lost == Some(front) {
                // The caller learns that its connection has broken.
                continue;
            }
            let is_free = |node: &usize| *node != front && Some(*node) != lost;
            let node = (0..INSTANCES).find(is_free).expect("another instance");
            if let Some(lost) = lost {
                world.kill(lost, true, 3_000);
            }
            world.cancel(request, node);
            world.run_until(world.now + CANCEL_TIME);
            let name = format!("scheduler lost: {is_scheduler_lost}, seed {seed}");
            assert_eq!(starts_within(&mut world, 5_000), 0, "{name}");
            assert_eq!(world.requests[request].outcome, Some(Outcome::Failed), "{name}");
        }
    }
}

#[test]
fn front_that_was_cut_off_learns_of_a_cancel() {
    // Guards against a job that runs on because its front had no link to the scheduler.
    for seed in 0..40 {
        let mut world = World::new(seed, 2, INSTANCES, 4);
        let (request, front) = begin_long(&mut world);
        let zone = world.instances[front].zone;
        world.cut_zone(zone, 3_000);
        world.run_until(world.now + 1_000);
        let node = (0..INSTANCES).find(|node| world.instances[*node].zone != zone);
        world.cancel(request, node.expect("an instance of the other zone"));
        world.run_until(world.now + 2_000 + CANCEL_TIME);
        assert_eq!(runs(&world), 0, "seed {seed}");
        assert_eq!(world.requests[request].outcome, Some(Outcome::Failed), "seed {seed}");
    }
}

#[test]
fn isolated_instance_confirms_only_cancels_of_its_own_jobs() {
    // Guards against a cancel that is acknowledged while the instances that run the job cannot know
    // of it.
    for seed in 0..40 {
        let mut world = World::new(seed, INSTANCES, INSTANCES, 4);
        let (request, front) = begin_long(&mut world);
        let isolated = (front + 1) % INSTANCES;
        world.cut_zone(world.instances[isolated].zone, 3_000);
        // Before and after its links have timed out.
        world.run_until(world.now + 20 * (seed % 50));
        let node = if seed % 2 == 0 { isolated } else { (front + 2) % INSTANCES };
        let expected =
            if node == isolated { CancelOutcome::Unconfirmed } else { CancelOutcome::Unknown };
        let ticket = world.cancel(request, node);
        world.run_until(world.now + CANCEL_TIME);
        assert_eq!(world.cancel_answer(ticket), Some(expected), "seed {seed}");
        assert_eq!(runs(&world), usize::from(node == isolated), "seed {seed}");
        world.run_until(world.now + 1_000 + CANCEL_TIME);
        assert_eq!(runs(&world), 0, "seed {seed}: after the partition");
        let own = world.request(2, 1, 16_000, LONG_TIME, false);
        let ticket = world.cancel(own, world.requests[own].attempts[0].node);
        assert_eq!(world.cancel_answer(ticket), Some(CancelOutcome::Ended), "seed {seed}");
    }
}

// Guards against a cancel that is acknowledged while the front of the job is cut off and goes on
// starting its tasks.
#[test]
fn cancel_is_confirmed_only_once_the_front_of_the_job_knows_it() {
    for seed in 0..40 {
        let mut world = World::new(seed, INSTANCES, INSTANCES, 4);
        let (request, front) = begin_long(&mut world);
        world.cut_zone(world.instances[front].zone, 5_000);
        // Before and after its links have timed out.
        world.run_until(world.now + 40 * (seed % 50));
        let other = (front + 1 + (seed as usize) % (INSTANCES - 1)) % INSTANCES;
        let ticket = world.cancel(request, other);
        world.run_until(world.now + CANCEL_TIME);
        let answer = world.cancel_answer(ticket);
        assert_eq!(answer, Some(CancelOutcome::Unconfirmed), "seed {seed}");
        world.run_until(world.now + 5_000);
        assert_eq!(runs(&world), 0, "seed {seed}: after the partition");
        let ticket = world.cancel(request, other);
        world.run_until(world.now + CANCEL_TIME);
        let answer = world.cancel_answer(ticket);
        assert_eq!(answer, Some(CancelOutcome::Unknown), "seed {seed}: after the partition");
    }
}

// Guards against a cancel that is confirmed by an instance that does not schedule yet, while the one
// that schedules is cut off with the job.
#[test]
fn cancel_is_not_confirmed_by_an_instance_that_does_not_schedule_yet() {
    for seed in [2_466].into_iter().chain(0..100) {
        let mut world = World::new(seed, INSTANCES, INSTANCES, 4);
        let (request, front) = begin_long(&mut world);
        world.cut_zone(world.instances[front].zone, 5_000);
        // Around the silence after which the scheduler is replaced.
        world.run_until(world.now + 240 + seed % 120);
        let other = (front + 1 + (seed as usize) % (INSTANCES - 1)) % INSTANCES;
        let ticket = world.cancel(request, other);
        world.run_until(world.now + CANCEL_TIME);
        let answer = world.cancel_answer(ticket);
        assert_eq!(answer, Some(CancelOutcome::Unconfirmed), "seed {seed}");
    }
}

// Guards against cancels that are never confirmed because instances that were removed for good count
// as cut off.
#[test]
fn cancels_are_confirmed_after_most_instances_were_removed() {
    struct Case {
        name: &'static str,
        /// Whether connections to a removed instance get no response instead of a refusal.
        silent: bool,
        /// Time since the last removal in milliseconds.
        after: u64,
    }
    let cases = [
        Case { name: "connections are refused", silent: false, after: 4_000 },
        Case { name: "connections get no response", silent: true, after: 31_000 },
    ];
    for Case { name, silent, after } in cases {
        for seed in 0..10 {
            let mut world = World::new(seed, 2, 8, 4);
            for removed in 0..5 {
                world.kill(removed, silent, NEVER);
                world.run_until(world.now + 2_000);
            }
            world.run_until(world.now + after);
            let (request, front) = begin_long(&mut world);
            let other = if front == 5 { 6 } else { 5 };
            let ticket = world.cancel(request, other);
            world.run_until(world.now + CANCEL_TIME);
            let answer = world.cancel_answer(ticket);
            assert_eq!(answer, Some(CancelOutcome::Unknown), "{name}, seed {seed}");
            assert_eq!(runs(&world), 0, "{name}, seed {seed}");
        }
    }
}

#[test]
fn cancels_that_reach_the_next_scheduler_early_are_forwarded() {
    // Guards against a job that runs on because the scheduler froze as it was cancelled, and the next
    // one learned of the cancel before it scheduled.
    for seed in 0..200 {
        let mut world = World::new(seed, 2, INSTANCES, 4);
        let (request, front) = begin_long(&mut world);
        let frozen = scheduler(&world);
        if frozen == front {
            continue;
        }
        world.pause(frozen, 2_000);
        world.run_until(world.now + 50);
        let others = (0..INSTANCES).filter(|node| *node != front && *node != frozen);
        let others: Vec<usize> = others.collect();
        world.cancel(request, others[usize::from(seed % 2 == 1)]);
        world.run_until(world.now + 2_000 + CANCEL_TIME);
        assert_eq!(runs(&world), 0, "seed {seed}");
        assert_eq!(world.requests[request].outcome, Some(Outcome::Failed), "seed {seed}");
    }
}

#[test]
fn request_of_a_cancelled_job_that_arrives_again_starts_nothing() {
    for seed in 0..40 {
        let mut world = World::new(seed, 2, INSTANCES, 4);
        let (request, front) = begin(&mut world);
        world.cancel(request, front);
        world.run_until(world.now + CANCEL_TIME);
        assert_eq!(world.requests[request].outcome, Some(Outcome::Failed), "seed {seed}");
        if seed % 2 == 1 {
            let scheduler = scheduler(&world);
            world.kill(scheduler, true, 500);
        }
        for node in 0..INSTANCES {
            world.run_until(world.now + REPEAT_TIME / INSTANCES as u64);
            world.deliver_again(request, node);
            assert_eq!(starts_within(&mut world, 1_000), 0, "seed {seed}, instance {node}");
            assert_eq!(world.requests[request].outcome, Some(Outcome::Failed), "seed {seed}");
        }
    }
}

#[test]
fn other_jobs_run_after_a_cancel() {
    let mut world = World::new(1, 2, INSTANCES, 4);
    let (request, front) = begin(&mut world);
    world.cancel(request, front);
    world.run_until(world.now + CANCEL_TIME);
    let other = world.request(2, 2, 8_000, RUN_TIME, false);
    world.run_until(world.now + 3_000);
    assert_eq!(world.requests[other].outcome, Some(Outcome::Completed));
}
