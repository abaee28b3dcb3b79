//! Guards against tasks that crash worker after worker, and against tasks that are given up although
//! their workers did not crash.

mod world;

use cranberryhatch_fleet::{Outcome, TaskKey};
use world::World;

const INSTANCES: usize = 6;
const WORKERS: usize = 12;
const SEEDS: u64 = 5;
/// Job whose first task is poisoned.
const POISONED: u64 = 0xdead;

fn poisoned_task() -> TaskKey {
    TaskKey { job: format!("{POISONED:016x}"), step: 0, task: 0 }
}

/// An instance that is lost while a poisoned task waits for its next start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lost {
    None,
    Front,
    Owner,
    Scheduler,
    FrontAndScheduler,
    AllButOne,
}

struct Case {
    lost: Lost,
    /// Crash after which the instance is lost, and the time from the crash to the loss.
    crash: usize,
    delay: u64,
    /// Whether crashed workers come back under their id.
    keeps_ids: bool,
    /// Whether the time of day of the machines is set back before the first crash.
    set_back: bool,
}

impl Case {
    /// Submits a poisoned job with a long time limit, and loses the instances.
    fn play(&self, seed: u64) -> World {
        let mut world = World::new(seed, 3, INSTANCES, WORKERS);
        world.keeps_ids = self.keeps_ids;
        let set_back = if self.set_back { 500_000 } else { 0 };
        world.workers.iter_mut().for_each(|worker| worker.set_back = set_back);
        world.patience = 40_000;
        let request = world.poisoned_request(POISONED, 4, 14_000, 60);
        let task = poisoned_task();
        let end = world.now + 45_000;
        let mut lost_at = None;
        let mut front = world.requests[request].attempts[0].node;
        while world.now < end {
            let now = world.now;
            world.run_until(now + 10);
            world.time_out_callers();
            if let Some(attempt) = world.requests[request].attempts.last() {
                front = attempt.node;
            }
            let crashes: Vec<_> = world.crashes.iter().filter(|c| c.task == task).collect();
            if let (None, Some(crash)) = (lost_at, crashes.get(self.crash)) {
                lost_at = Some((crash.at + self.delay, crash.worker));
            }
            if let Some((at, worker)) = lost_at.filter(|(at, _)| now < *at && *at <= now + 10) {
                debug_assert!(at > 0);
                for node in self.lost_instances(&world, front, worker) {
                    world.kill(node, true, 6_000);
                }
            }
        }
        world
    }

    fn lost_instances(&self, world: &World, front: usize, worker: usize) -> Vec<usize> {
        let scheduler = (0..INSTANCES).find(|node| world.schedules(*node));
        match self.lost {
            Lost::None => Vec::new(),
            Lost::Front => vec![front],
            Lost::Owner => world.owners_of(worker),
            Lost::Scheduler => scheduler.into_iter().collect(),
            Lost::FrontAndScheduler => scheduler.into_iter().chain([front]).collect(),
            Lost::AllButOne => (0..INSTANCES).filter(|node| *node != 3).collect(),
        }
    }
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for lost in [
        Lost::None,
        Lost::Front,
        Lost::Owner,
        Lost::Scheduler,
        Lost::FrontAndScheduler,
        Lost::AllButOne,
    ] {
        for (crash, delay) in [(0, 30), (0, 1_200), (1, 30), (1, 1_000), (1, 2_500)] {
            for keeps_ids in [false, true] {
                cases.push(Case { lost, crash, delay, keeps_ids, set_back: false });
            }
        }
    }
    cases
}

#[test]
fn poisoned_task_is_not_started_three_times_after_its_third_crash() {
    for case in cases() {
        for seed in 1..=SEEDS {
            let world = case.play(seed);
            let later = world.starts_after_third_crash(&poisoned_task());
            let Case { lost, crash, delay, keeps_ids, .. } = case;
            let name = format!("{lost:?} {crash} {delay} {keeps_ids} seed {seed}");
            assert!(later < 3, "{name}: {later} starts after the third crash");
            assert_eq!(world.violations, Vec::<String>::new(), "{name}");
        }
    }
}

#[test]
fn job_with_a_poisoned_task_fails_after_two_crashes() {
    for (keeps_ids, set_back) in [(false, false), (true, false), (true, true)] {
        for seed in 1..=SEEDS {
            let case = Case { lost: Lost::None, crash: 0, delay: 0, keeps_ids, set_back };
            let world = case.play(seed);
            let name = format!("keeps ids: {keeps_ids}, set back: {set_back}, seed {seed}");
            let crashes = world.crashes.iter().filter(|c| c.task == poisoned_task()).count();
            assert_eq!(crashes, 2, "{name}");
            assert_eq!(world.requests[0].outcome, Some(Outcome::Failed), "{name}");
        }
    }
}

#[test]
fn task_whose_workers_were_out_of_reach_is_not_given_up() {
    for seed in 1..=20 {
        let mut world = World::new(seed, 3, INSTANCES, WORKERS);
        world.patience = 20_000;
        let request = world.request(1, 1, 14_000, 900, false);
        for _ in 0..3 {
            world.run_until(world.now + 300);
            let runs = |worker: &usize| !world.workers[*worker].runs.is_empty();
            let busy: Vec<usize> = (0..WORKERS).filter(runs).collect();
            for worker in busy {
                world.cut_worker(worker, 3_000);
            }
            world.run_until(world.now + 1_500);
        }
        world.run_until(world.now + 20_000);
        assert_eq!(world.requests[request].outcome, Some(Outcome::Completed), "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn tasks_beside_poisoned_ones_are_not_given_up() {
    for seed in 1..=10 {
        let mut world = World::new(seed, 3, INSTANCES, 24);
        world.patience = 20_000;
        let mut innocent = Vec::new();
        for round in 0..150 {
            for job in 0..2 {
                innocent.push(world.request(1 + round * 2 + job, 4, 14_000, 150, false));
            }
            if round % 10 == 0 {
                world.poisoned_request(POISONED + round, 2, 14_000, 60);
            }
            world.run_until(world.now + 60);
        }
        world.run_until(world.now + 30_000);
        let failed = innocent
            .iter()
            .filter(|request| world.requests[**request].outcome == Some(Outcome::Failed));
        assert_eq!(failed.count(), 0, "seed {seed}: innocent jobs that were given up");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn tasks_with_a_crash_take_few_workers_at_a_time() {
    // A sixteenth of the workers; a crashed one takes tasks again after 4 s at the earliest.
    const WORKERS: usize = 32;
    const ALLOWED: usize = 2;
    for seed in 1..=SEEDS {
        let mut world = World::new(seed, 3, INSTANCES, WORKERS);
        world.patience = 20_000;
        for round in 0..40 {
            world.poisoned_request(POISONED + round, 1, 14_000, 60);
            world.run_until(world.now + 100);
        }
        world.run_until(world.now + 20_000);
        let mut crashed = Vec::new();
        let mut again = Vec::new();
        for crash in &world.crashes {
            if crashed.contains(&crash.task) {
                again.push(crash.at);
            }
            crashed.push(crash.task.clone());
        }
        assert!(again.len() > ALLOWED, "seed {seed}: {} second crashes", again.len());
        for crash in &again {
            let close = again.iter().filter(|at| (*crash..*crash + 4_000).contains(*at)).count();
            assert!(close <= ALLOWED, "seed {seed}: {close} crashes within 4 s of {crash}");
        }
    }
}
