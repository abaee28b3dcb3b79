//! Guards against costs of an instance that grow with the fleet instead of its own share.

mod world;

use world::World;

/// A deployment: a few large instances a zone, the others small.
struct Size {
    zones: usize,
    instances: usize,
    /// Large instances in a zone.
    large: usize,
    workers: usize,
}

const GROWN: Size = Size { zones: 3, instances: 36, large: 2, workers: 350 };
const LARGE: Size = Size { zones: 5, instances: 147, large: 3, workers: 1_100 };

/// Messages that arrive at an instance in the mean.
#[derive(Debug)]
struct Costs {
    /// Until 2.5 s after the start of all.
    start: f64,
    /// In a second without jobs.
    idle: f64,
    /// In 1.6 s from the end of a cut of a zone.
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
        // Several periods of the slowest signs of life.
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
fn four_times_the_instances_send_an_instance_hardly_more() {
    let (grown, large) = (GROWN.costs(), LARGE.costs());
    println!("{grown:?} {large:?}");
    // The ratios that issue 24 names.
    assert!(large.idle <= 1.5 * grown.idle, "idle: {grown:?} {large:?}");
    assert!(large.start <= 2.0 * grown.start, "start: {grown:?} {large:?}");
    assert!(large.heal <= 2.0 * grown.heal, "heal: {grown:?} {large:?}");
}

#[test]
fn a_large_fleet_that_starts_opens_each_worker_once() {
    let world = LARGE.start(2);
    assert_eq!(world.fences, Vec::<u64>::new(), "workers taken from owners that live");
    let mut opened: Vec<_> = world.opened.iter().map(|(_, worker)| worker).collect();
    opened.sort();
    let count = opened.len();
    opened.dedup();
    assert_eq!((count, opened.len()), (LARGE.workers, LARGE.workers));
}
