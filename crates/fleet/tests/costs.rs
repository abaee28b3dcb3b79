//! Guards against message rates per instance that grow with the size of the fleet.

mod world;

use world::World;

/// Size of a deployment with a few large instances per zone; the others are small.
struct Size {
    zones: usize,
    instances: usize,
    /// Number of large instances per zone.
    large: usize,
    workers: usize,
}

const GROWN: Size = Size { zones: 3, instances: 36, large: 2, workers: 350 };
const LARGE: Size = Size { zones: 5, instances: 147, large: 3, workers: 1_100 };

/// Mean number of messages that an instance receives.
#[derive(Debug)]
struct Costs {
    /// Until 2.5 s after all instances start.
    start: f64,
    /// Per second without jobs.
    idle: f64,
    /// In the 1.6 s after a zone is connected again.
    heal: f64,
}

impl Size {
    fn start(&self, seed: u64) -> World {
        let cores = |index: usize| if index / self.zones < self.large { 500 } else { 120 };
        let cores: Vec<u32> = (0..self.instances).map(cores).collect();
        World::with_cores(seed, self.zones, &cores, self.workers)
    }

    fn costs(&self) -> Costs {
        let mut world = self.start(1);
        let instances = f64::from(u32::try_from(self.instances).expect("few"));
        let mut before = 0;
        let mut since = |world: &World| {
            let count = world.messages - std::mem::replace(&mut before, world.messages);
            f64::from(u32::try_from(count).expect("few")) / instances
        };
        let start = since(&world);
        world.run_until(world.now + 2_000);
        since(&world);
        // Several periods of the slowest heartbeats.
        world.run_until(world.now + 7_000);
        let idle = since(&world) / 7.0;
        world.cut_zone(0, 2_000);
        world.run_until(world.now + 2_000);
        since(&world);
        world.run_until(world.now + 1_600);
        Costs { start, idle, heal: since(&world) }
    }
}

#[test]
fn message_rate_per_instance_hardly_grows_with_the_fleet() {
    let (grown, large) = (GROWN.costs(), LARGE.costs());
    println!("{grown:?} {large:?}");
    // The ratios required by issue 24.
    assert!(large.idle <= 1.5 * grown.idle, "idle: {grown:?} {large:?}");
    assert!(large.start <= 2.0 * grown.start, "start: {grown:?} {large:?}");
    assert!(large.heal <= 2.0 * grown.heal, "heal: {grown:?} {large:?}");
}

#[test]
fn starting_a_large_fleet_opens_each_worker_once() {
    let world = LARGE.start(2);
    assert_eq!(world.fences, Vec::<u64>::new(), "workers taken from running owners");
    let mut opened: Vec<_> = world.opened.iter().map(|(_, worker)| worker).collect();
    opened.sort();
    let count = opened.len();
    opened.dedup();
    assert_eq!((count, opened.len()), (LARGE.workers, LARGE.workers));
}
