//! Load test: a third of the capacity is in use, and for seconds a fifth of the requests to workers
//! get no response and are carried out seconds later.

mod world;

use cranberryhatch_fleet::Outcome;
use world::{FaultRates, World};

/// Run time of a task, in milliseconds.
const RUN: u64 = 100;
/// Longest useful response time of a job: three times the latency target, which is 1.6 times the
/// longest run (twice the declared one here) plus 60 ms.
const USEFUL: u64 = 3 * (2 * RUN * 16 / 10 + 60);
/// Interval between jobs of two tasks each; six workers run twelve tasks at a time.
const EVERY: u64 = 60;

#[test]
fn two_of_three_callers_are_served_while_a_fifth_of_the_requests_is_late() {
    // Guards against ends that are not noticed while a response is awaited that never arrives, and
    // against capacity that is occupied for long by tasks that may or may not have started.
    let (mut submitted, mut served) = (0, 0);
    for seed in 1..=8 {
        let mut world = World::new(seed, 1, 3, 6);
        world.run_until(world.now + 3_000);
        world.fault_rates = FaultRates { request_late: 200, ..FaultRates::default() };
        for name in 1..=150 {
            world.request(name, 2, 14_000, RUN, false);
            world.run_until(world.now + EVERY);
        }
        world.fault_rates = FaultRates::default();
        world.run_until(world.now + 20_000);
        world.check_end();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        submitted += world.requests.len();
        let useful = |request: &&world::Request| {
            request.outcome == Some(Outcome::Completed)
                && request.took.is_some_and(|took| took <= USEFUL)
        };
        served += world.requests.iter().filter(useful).count();
    }
    assert!(served * 3 >= submitted * 2, "{served} of {submitted} callers got a useful answer");
}
