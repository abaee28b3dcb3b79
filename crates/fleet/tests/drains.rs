//! Guards against starts in a drained zone: after a grant that is older than the drain, after a pause or
//! a start of the process, where the store does not serve an instance, and after reads in any order.

mod world;

use cranberryhatch_fleet::{DrainRead, NotRunCause, Outcome, ZoneChange, ZoneDrains};
use world::World;

/// Time from a drain until each instance that is linked has heard of it.
const HEARD: u64 = 400;

fn change(zone: &str, drained: bool, version: u64) -> ZoneChange {
    ZoneChange { zone: zone.to_owned(), drained, version }
}

fn whole(version: u64, zones: &[&str]) -> DrainRead {
    let changes = zones.iter().map(|zone| change(zone, true, 0)).collect();
    DrainRead { complete: true, version, changes }
}

fn feed(version: u64, changes: &[ZoneChange]) -> DrainRead {
    DrainRead { complete: false, version, changes: changes.to_vec() }
}

#[test]
fn reads_in_any_order_end_with_the_newest_drains() {
    struct Case {
        name: &'static str,
        reads: Vec<DrainRead>,
        version: u64,
        zones: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "a whole list",
            reads: vec![whole(5, &["b", "a"])],
            version: 5,
            zones: &["a", "b"],
        },
        Case {
            name: "a second drain",
            reads: vec![whole(5, &["a"]), feed(9, &[change("b", true, 8)])],
            version: 8,
            zones: &["a", "b"],
        },
        Case {
            name: "a drain that is withdrawn",
            reads: vec![whole(5, &["a", "b"]), feed(9, &[change("a", false, 9)])],
            version: 9,
            zones: &["b"],
        },
        Case {
            name: "withdrawn and asked again in one answer",
            reads: vec![whole(5, &["a"]), feed(9, &[change("a", false, 6), change("a", true, 7)])],
            version: 7,
            zones: &["a"],
        },
        Case {
            name: "an old change after a newer list",
            reads: vec![whole(9, &[]), feed(8, &[change("a", true, 7)])],
            version: 9,
            zones: &[],
        },
        Case {
            name: "an old list after a newer one",
            reads: vec![whole(9, &["a"]), whole(8, &[])],
            version: 9,
            zones: &["a"],
        },
        Case {
            name: "no changes",
            reads: vec![whole(5, &["a"]), feed(30, &[])],
            version: 5,
            zones: &["a"],
        },
        Case {
            name: "a store that tells no version of rows",
            reads: vec![whole(5, &["a"]), feed(9, &[change("b", true, 0)])],
            version: 9,
            zones: &["a", "b"],
        },
    ];
    for Case { name, reads, version, zones } in cases {
        let mut drains = ZoneDrains::default();
        for read in &reads {
            let next = drains.updated_by(read);
            drains.replace(next);
        }
        assert_eq!(
            (drains.version(), drains.zones()),
            (version, &zones.map_to_owned()[..]),
            "{name}"
        );
    }
}

trait MapToOwned {
    fn map_to_owned(&self) -> Vec<String>;
}

impl MapToOwned for [&str] {
    fn map_to_owned(&self) -> Vec<String> {
        self.iter().map(|zone| (*zone).to_owned()).collect()
    }
}

/// Sends jobs for a while; gives the times of starts in drained zones.
fn load(world: &mut World, first: u64, span: u64) -> Vec<u64> {
    world.store.starts.clear();
    let end = world.now + span;
    let mut name = first;
    while world.now < end {
        world.request(name, 1, 8_000, 100, false);
        name += 1;
        world.run_until(world.now + 60);
    }
    world.store.starts.iter().map(|(at, _)| *at).collect()
}

#[test]
fn a_drained_zone_gets_no_starts_until_it_is_restored() {
    let mut world = World::new(1, 3, 6, 9);
    load(&mut world, 1, 1_000);
    let drained = world.now;
    world.drain_zone(1, true);
    let starts = load(&mut world, 1_000, 3_000);
    assert!(starts.iter().all(|at| *at < drained + HEARD), "drained at {drained}: {starts:?}");
    world.drain_zone(2, true);
    let both = world.now;
    let starts = load(&mut world, 2_000, 2_000);
    assert!(starts.iter().all(|at| *at < both + HEARD), "two drains overlap: {starts:?}");
    world.drain_zone(1, false);
    let opened = world.starts.len();
    let starts = load(&mut world, 3_000, 1_000);
    assert_eq!(starts, Vec::<u64>::new(), "the other drain holds");
    let on = |world: &World, run: &cranberryhatch_fleet::RunKey| {
        let mut done = (0..9).filter(|worker| worker % 3 == 1);
        done.any(|worker| world.workers[worker].done.contains(run))
    };
    assert!(world.starts[opened..].iter().any(|run| on(&world, run)), "restored workers run tasks");
    world.restore_zones();
    world.run_until(world.now + 3_000);
    world.check_end();
    assert_eq!(world.violations, Vec::<String>::new());
    let completed = |request: &world::Request| request.outcome == Some(Outcome::Completed);
    assert!(world.requests.iter().all(completed), "nothing was refused, and what ran there ended");
}

#[test]
fn instances_that_the_store_refuses_obey_as_their_peers_tell() {
    let mut world = World::new(2, 3, 6, 9);
    (0..6).filter(|node| *node != 2).for_each(|node| world.refuse_store(node, true));
    load(&mut world, 1, 1_000);
    let drained = world.now;
    world.drain_zone(0, true);
    let starts = load(&mut world, 1_000, 3_000);
    assert!(starts.iter().all(|at| *at < drained + HEARD), "drained at {drained}: {starts:?}");
}

#[test]
fn a_drain_during_a_pause_or_before_a_start_is_obeyed() {
    struct Case {
        name: &'static str,
        refused: bool,
        trouble: fn(&mut World),
    }
    let freeze: fn(&mut World) = |world| (0..6).for_each(|node| world.pause(node, 2_000));
    let kill: fn(&mut World) = |world| (0..6).for_each(|node| world.kill(node, true, 1_000));
    let cases = [
        Case { name: "all paused", refused: false, trouble: freeze },
        Case { name: "all paused, the store serves one", refused: true, trouble: freeze },
        Case { name: "all started again", refused: false, trouble: kill },
        Case { name: "all started again, the store serves one", refused: true, trouble: kill },
    ];
    for Case { name, refused, trouble } in cases {
        let mut world = World::new(3, 3, 6, 9);
        load(&mut world, 1, 500);
        if refused {
            (1..6).for_each(|node| world.refuse_store(node, true));
        }
        trouble(&mut world);
        world.run_until(world.now + 500);
        world.drain_zone(1, true);
        world.store.starts.clear();
        world.run_until(world.now + 300);
        let starts = load(&mut world, 1_000, 5_000);
        // Instances that read only from peers follow once they are linked.
        if refused {
            assert!(starts.iter().all(|at| *at < world.now - 2_000), "{name}: {starts:?}");
        } else {
            assert_eq!(starts, Vec::<u64>::new(), "{name}");
        }
        let last = world.request(9_999, 2, 8_000, 100, false);
        world.run_until(world.now + 1_000);
        assert_eq!(world.requests[last].outcome, Some(Outcome::Completed), "{name}");
    }
}

#[test]
fn an_instance_starts_nothing_after_a_pause_until_a_slow_store_has_answered() {
    // With the time for which it does not schedule after a pause, 1 s, it would start on old knowledge.
    const SLOW: u64 = 1_500;
    let mut world = World::new(6, 2, 1, 4);
    load(&mut world, 1, 500);
    world.pause(0, 6_000);
    world.run_until(world.now + 500);
    world.drain_zone(1, true);
    world.store.latency = SLOW;
    world.run_until(world.now + 5_500);
    let starts = load(&mut world, 1_000, 3_000);
    assert_eq!(starts, Vec::<u64>::new());
    let last = world.request(9_999, 2, 8_000, 100, false);
    world.run_until(world.now + 1_000);
    assert_eq!(world.requests[last].outcome, Some(Outcome::Completed), "the other zone serves");
}

#[test]
fn an_instance_that_can_ask_nobody_goes_on_after_a_while() {
    let mut world = World::new(4, 1, 3, 3);
    (0..3).for_each(|node| world.refuse_store(node, true));
    (0..3).for_each(|node| world.kill(node, true, 500));
    world.run_until(world.now + 1_500);
    let early = world.request(1, 2, 8_000, 100, false);
    world.run_until(world.now + 500);
    assert_eq!(world.requests[early].outcome, None, "nothing starts before the drains are known");
    world.run_until(world.now + 2_000);
    let late = world.request(2, 2, 8_000, 100, false);
    world.run_until(world.now + 500);
    assert_eq!(world.requests[late].outcome, Some(Outcome::Completed));
}

#[test]
fn jobs_are_refused_at_once_when_all_workers_are_drained() {
    let mut world = World::new(5, 2, 4, 4);
    let long = world.request(1, 2, 8_000, 1_000, false);
    world.run_until(world.now + 200);
    world.drain_zone(0, true);
    world.drain_zone(1, true);
    world.run_until(world.now + HEARD);
    let refused = world.request(2, 1, 8_000, 100, false);
    world.run_until(world.now + 5);
    let found = world.requests[refused].attempts[0].answer;
    assert!(
        matches!(found, Some(Outcome::NotRun { cause: NotRunCause::Drained, .. })),
        "refused with its cause: {found:?}"
    );
    world.run_until(world.now + 3_000);
    assert_eq!(world.requests[long].outcome, Some(Outcome::Completed), "what runs goes on");
    world.restore_zones();
    world.run_until(world.now + HEARD);
    let again = world.request(3, 1, 8_000, 100, false);
    world.run_until(world.now + 500);
    assert_eq!(world.requests[again].outcome, Some(Outcome::Completed), "restored as fast");
}

#[test]
fn a_job_that_runs_is_not_refused_when_its_caller_sends_it_again() {
    // Guards against "not run" for a job whose tasks are at work in a zone that was drained since.
    let mut world = World::new(5, 2, 1, 4);
    world.request(1, 2, 8_000, 1_000, false);
    world.run_until(world.now + 200);
    assert_eq!(world.starts.len(), 2, "both tasks are at work");
    world.drain_zone(0, true);
    world.drain_zone(1, true);
    world.run_until(world.now + HEARD);
    let again = world.request(1, 2, 8_000, 1_000, false);
    world.run_until(world.now + 5);
    let found = world.requests[again].attempts[0].answer;
    assert!(!matches!(found, Some(Outcome::NotRun { .. })), "its tasks run: {found:?}");
    world.run_until(world.now + 3_000);
    assert_eq!(world.requests[again].outcome, Some(Outcome::Completed));
}
