//! Guards against work lost to changes of owners and the scheduler while all instances run.

mod world;

use cranberryhatch_fleet::Outcome;
use cranberryhatch_types::Time;
use world::World;

const ZONES: usize = 3;
const INSTANCES: usize = 7;
const WORKERS: usize = 24;
/// Cores of a task, in thousandths; two fit on a worker.
const CORES: u32 = 14_000;
/// Run time of a task.
const RUN: u64 = 200;
/// Time between two jobs of two tasks of 250 ms on average; one zone alone has capacity for its
/// callers.
const EVERY: u64 = 24;
/// Length of the window around a change in which jobs are counted.
const WINDOW: u64 = 2_000;

/// A service under load.
struct Load {
    world: World,
    // Sending times and indices of the requests.
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

    /// Returns the share of jobs sent in the window from `from` that completed within `limit` of
    /// being sent first.
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

/// Load: four fifths of the workers are busy, and an isolated zone is connected again.
#[test]
fn reconnected_zone_takes_no_worker_from_its_owner() {
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
        assert!(late.is_empty(), "seed {seed}: {} workers taken from running owners", late.len());
        // An ideal system serves all of them: no run is on the other side of the partition.
        let served = load.served(healed, 3 * RUN + 60);
        assert!(served >= 0.97, "seed {seed}: {served} served after the cut");
        assert_eq!(load.world.violations, Vec::<String>::new(), "seed {seed}");
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
        assert_eq!(fences, 0, "seed {seed}: workers taken from running owners");
        // An ideal system serves all of them once its links are up, some 200 ms later.
        let served = load.served(started, 3 * RUN + 60);
        assert!(served >= 0.97, "seed {seed}: {served} served after the start");
        assert_eq!(load.world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Load: four fifths of the workers are busy, and half of all links are reset while all instances
/// run.
#[test]
fn reset_links_cost_no_worker_and_no_run() {
    for seed in 1..=10 {
        let mut load = Load::new(seed);
        load.run_for(1_000);
        let reset = load.world.now;
        for a in 0..INSTANCES {
            for b in 0..a {
                if load.world.rng.bool() {
                    load.world.reset_link(a, b);
                }
            }
        }
        load.run_for(WINDOW);
        load.world.run_until(load.world.now + 3_000);
        let fences = load.world.fences.iter().filter(|at| **at >= reset).count();
        assert_eq!(fences, 0, "seed {seed}: workers taken from running owners");
        let served = load.served(reset - 500, 3 * RUN + 60);
        assert!(served >= 0.97, "seed {seed}: {served} served around the resets");
        assert_eq!(load.world.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// A power loss of one instance.
struct Loss {
    name: &'static str,
    /// Whether the instance is the scheduler.
    schedules: bool,
    /// Time from the power loss until jobs arrive, in milliseconds.
    after: u64,
    /// Longest silence after which the instance is replaced in its role, in milliseconds.
    silence: u64,
}

/// Run time of a short task; the longest takes twice as long.
const SHORT: u64 = 30;
/// Time for the messages of one job, two of them slow ones of 40 ms, and two ticks.
const MESSAGES: u64 = 120;

/// Load: short jobs arrive while one instance has lost power; a peer times out after 600 ms.
#[test]
fn short_jobs_do_not_wait_for_the_timeout_of_a_silent_instance() {
    let cases = [
        Loss { name: "the scheduler", schedules: true, after: 20, silence: 300 },
        Loss { name: "an owner", schedules: false, after: 240, silence: 0 },
    ];
    for Loss { name, schedules, after, silence } in cases {
        for seed in 1..=10 {
            let mut load = Load::new(seed);
            load.run_for(500);
            load.world.run_until(load.world.now + 1_000);
            let grants = |node: &usize| {
                let node = load.world.instances[*node].node.as_ref();
                node.is_some_and(|node| node.load(Time::ZERO).is_some())
            };
            let victim = (0..INSTANCES).find(|node| grants(node) == schedules).expect("one");
            load.world.kill(victim, true, 10_000);
            load.world.run_until(load.world.now + after);
            let jobs = (0..20).map(|job| load.world.request(10_000 + job, 1, CORES, SHORT, false));
            let jobs: Vec<usize> = jobs.collect();
            load.world.run_until(load.world.now + 3_000);
            let limit = silence + 2 * SHORT + MESSAGES;
            let took = jobs.iter().map(|job| load.world.requests[*job].took);
            let late: Vec<Option<u64>> =
                took.filter(|took| took.is_none_or(|took| took > limit)).collect();
            assert!(late.is_empty(), "{name}, seed {seed}: {late:?}");
        }
    }
}

/// Load: short jobs arrive at all instances right after one of them was paused.
#[test]
fn paused_instance_serves_as_soon_as_its_links_are_up() {
    /// Longer than the peer timeout.
    const PAUSE: u64 = 1_500;
    /// Time until all links are up: a connection is tried every 200 ms.
    const LINKS: u64 = 400;
    for seed in 1..=10 {
        let mut load = Load::new(seed);
        load.run_for(200);
        load.world.run_until(load.world.now + 1_000);
        let paused = usize::try_from(seed).expect("small") % INSTANCES;
        load.world.pause(paused, PAUSE);
        load.world.run_until(load.world.now + PAUSE + LINKS);
        let jobs = (0..40).map(|job| load.world.request(10_000 + job, 1, CORES, SHORT, false));
        let jobs: Vec<usize> = jobs.collect();
        load.world.run_until(load.world.now + 3_000);
        let took = jobs.iter().map(|job| load.world.requests[*job].took);
        let late: Vec<Option<u64>> =
            took.filter(|took| took.is_none_or(|took| took > 2 * SHORT + MESSAGES)).collect();
        assert!(late.is_empty(), "seed {seed}: {late:?}");
    }
}
