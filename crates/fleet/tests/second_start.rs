//! Guards against second runs of a task beside its first, one way to a second start a test.

mod world;

use cranberryhatch_fleet::Outcome;
use world::World;

/// Run time of tasks that outlast the time after which a caller sends its job again.
const LONG_RUN: u64 = 4_000;

#[test]
fn job_resubmitted_while_its_half_open_front_lives_does_not_run_twice_at_once() {
    for seed in 1..=20 {
        let mut world = World::new(seed, 2, 4, 4);
        let request = world.request(1, 1, 14_000, LONG_RUN, false);
        world.run_until(world.now + 100);
        world.break_caller(request);
        world.run_until(world.now + 12_000);
        let [first, second] = world.requests[request].attempts.as_slice() else {
            panic!("seed {seed}: not submitted again");
        };
        assert_ne!(first.node, second.node, "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.requests[request].outcome, Some(Outcome::Completed), "seed {seed}");
    }
}
