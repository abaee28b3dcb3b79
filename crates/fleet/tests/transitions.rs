//! Guards against work that is lost because owners and the scheduler change while all sides live.

mod world;

use cranberryhatch_fleet::Outcome;
use world::World;

const ZONES: usize = 3;
const INSTANCES: usize = 7;
const WORKERS: usize = 24;
/// Cores of a task, in thousandths; two fit on a worker.
const CORES: u32 = 14_000;
/// Run time of a task.
const RUN: u64 = 200;
/// Time between two jobs of two tasks of 250 ms in the mean: a zone alone has room for its callers.
const EVERY: u64 = 24;
/// Time around a change in which jobs are counted.
const WINDOW: u64 = 2_000;

/// A service under load.
struct Load {
    world: World,
    // Requests, and when they were sent.
    sent: Vec<(u64, usize)>,
}

impl Load {
    fn new(seed: u64) -> Self {
        Self { world: World::new(seed, ZONES, INSTANCES, WORKERS), sent: Vec::new() }
    }

    fn run_for(&mut self, span: u64) {
        let end = self.world.now + span;
        while self.world.now < end {
            let name = self.sent.len() as u64 + 1;
            let request = self.world.request(name, 2, CORES, RUN, false);
            self.sent.push((self.world.now, request));
            self.world.run_until(self.world.now + EVERY);
        }
    }

    /// Share of the jobs sent in a window that were completed within `limit` of their first sending.
    fn served(&self, from: u64, limit: u64) -> f64 {
        let window = from..from + WINDOW;
        let sent = || self.sent.iter().filter(|(at, _)| window.contains(at));
        let served = sent().filter(|(_, request)| {
            let request = &self.world.requests[*request];
            request.outcome == Some(Outcome::Completed)
                && request.took.is_some_and(|took| took <= limit)
        });
        let count = |n: usize| f64::from(u32::try_from(n).expect("few"));
        count(served.count()) / count(sent().count()).max(1.0)
    }
}

/// Load: four fifths of the workers are busy, and a zone that was cut off is in reach again.
#[test]
fn a_zone_that_is_back_takes_no_worker_from_its_owner() {
    for seed in 1..=10 {
        let mut load = Load::new(seed);
        load.run_for(1_500);
        load.world.cut_zone(0, 4_000);
        load.run_for(4_000);
        let healed = load.world.now;
        load.run_for(WINDOW);
        load.world.run_until(load.world.now + 3_000);
        let late: Vec<u64> =
            load.world.fences.iter().filter(|at| **at >= healed).copied().collect();
        assert!(late.is_empty(), "seed {seed}: {} workers taken from owners that live", late.len());
        // An ideal owner serves all of them: no run is on the other side.
        let served = load.served(healed, 3 * RUN + 60);
        assert!(served >= 0.97, "seed {seed}: {served} served after the cut");
        assert_eq!(load.world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

/// Load: all instances lose power at once, and callers send their jobs as soon as they are back.
#[test]
fn instances_that_start_together_open_each_worker_once() {
    for seed in 1..=10 {
        let mut load = Load::new(seed);
        load.run_for(500);
        for node in 0..INSTANCES {
            load.world.kill(node, true, 700);
        }
        load.world.run_until(load.world.now + 701);
        let started = load.world.now;
        load.run_for(WINDOW);
        load.world.run_until(load.world.now + 3_000);
        let fences = load.world.fences.iter().filter(|at| **at >= started).count();
        assert_eq!(fences, 0, "seed {seed}: workers taken from owners that live");
        // An ideal system serves all from the moment at which its links are up, some 200 ms later.
        let served = load.served(started, 3 * RUN + 60);
        assert!(served >= 0.97, "seed {seed}: {served} served after the start");
        assert_eq!(load.world.faults, Vec::<String>::new(), "seed {seed}");
    }
}

/// Load: short jobs come while the instance that grants room has lost power.
#[test]
fn short_jobs_do_not_wait_until_a_silent_scheduler_counts_as_gone() {
    /// Run time of a short task; the longest takes twice as long.
    const SHORT: u64 = 30;
    /// Longest time of a job: half of the 600 ms after which a peer counts as gone, two runs, and the
    /// way of the messages.
    const LIMIT: u64 = 300 + 2 * SHORT + 100;
    for seed in 1..=10 {
        let mut load = Load::new(seed);
        load.run_for(500);
        load.world.run_until(load.world.now + 1_000);
        let schedules = |node: &usize| {
            let node = load.world.instances[*node].node.as_ref();
            node.is_some_and(|node| node.load(cranberryhatch_types::Time::from_ms(0)).is_some())
        };
        let scheduler = (0..INSTANCES).find(schedules).expect("one schedules");
        load.world.kill(scheduler, true, 10_000);
        load.world.run_until(load.world.now + 20);
        let jobs: Vec<usize> =
            (0..20).map(|job| load.world.request(10_000 + job, 1, CORES, SHORT, false)).collect();
        load.world.run_until(load.world.now + 3_000);
        let lives = |job: &&usize| load.world.requests[**job].attempts.len() == 1;
        let took = jobs.iter().filter(lives).map(|job| load.world.requests[*job].took);
        let late: Vec<Option<u64>> =
            took.filter(|took| took.is_none_or(|took| took > LIMIT)).collect();
        // Runs on the workers of the lost instance are waited for by other rules.
        assert!(late.len() <= 5, "seed {seed}: {late:?}");
    }
}
