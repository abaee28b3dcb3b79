//! Guards against starts in a drained zone: after a grant that is older than the drain, after a
//! pause or a start of the process, without access to the store, and after reads in any order.

mod world;

use cranberryhatch_fleet::{DrainRead, NotRunCause, Outcome, ZoneChange, ZoneDrains};
use world::World;

/// Time from a drain until each linked instance knows of it.
const PROPAGATION: u64 = 400;

fn change(zone: &str, drained: bool, version: u64) -> ZoneChange {
    ZoneChange { zone: zone.to_owned(), drained, version }
}

fn complete_read(version: u64, zones: &[&str]) -> DrainRead {
    let changes = zones.iter().map(|zone| change(zone, true, 0)).collect();
    DrainRead { complete: true, version, changes }
}

fn change_read(version: u64, changes: &[ZoneChange]) -> DrainRead {
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
            name: "a complete list",
            reads: vec![complete_read(5, &["b", "a"])],
            version: 5,
            zones: &["a", "b"],
        },
        Case {
            name: "a second drain",
            reads: vec![complete_read(5, &["a"]), change_read(9, &[change("b", true, 8)])],
            version: 8,
            zones: &["a", "b"],
        },
        Case {
            name: "a drain that is reverted",
            reads: vec![complete_read(5, &["a", "b"]), change_read(9, &[change("a", false, 9)])],
            version: 9,
            zones: &["b"],
        },
        Case {
            name: "reverted and repeated in one read",
            reads: vec![
                complete_read(5, &["a"]),
                change_read(9, &[change("a", false, 6), change("a", true, 7)]),
            ],
            version: 7,
            zones: &["a"],
        },
        Case {
            name: "an old change after a newer list",
            reads: vec![complete_read(9, &[]), change_read(8, &[change("a", true, 7)])],
            version: 9,
            zones: &[],
        },
        Case {
            name: "an old list after a newer one",
            reads: vec![complete_read(9, &["a"]), complete_read(8, &[])],
            version: 9,
            zones: &["a"],
        },
        Case {
            name: "no changes",
            reads: vec![complete_read(5, &["a"]), change_read(30, &[])],
            version: 5,
            zones: &["a"],
        },
        Case {
            name: "a store without versions of rows",
            reads: vec![complete_read(5, &["a"]), change_read(9, &[change("b", true, 0)])],
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

/// Sends jobs for a while and returns the times of the starts in drained zones.
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
    assert!(
        starts.iter().all(|at| *at < drained + PROPAGATION),
        "drained at {drained}: {starts:?}"
    );
    world.drain_zone(2, true);
    let both = world.now;
    let starts = load(&mut world, 2_000, 2_000);
    assert!(starts.iter().all(|at| *at < both + PROPAGATION), "two drains overlap: {starts:?}");
    world.drain_zone(1, false);
    let opened = world.starts.len();
    let starts = load(&mut world, 3_000, 1_000);
    assert_eq!(starts, Vec::<u64>::new(), "the other drain stays in force");
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
fn instances_without_the_store_learn_drains_from_peers() {
    let mut world = World::new(2, 3, 6, 9);
    (0..6).filter(|node| *node != 2).for_each(|node| world.refuse_store(node, true));
    load(&mut world, 1, 1_000);
    let drained = world.now;
    world.drain_zone(0, true);
    let starts = load(&mut world, 1_000, 3_000);
    assert!(
        starts.iter().all(|at| *at < drained + PROPAGATION),
        "drained at {drained}: {starts:?}"
    );
}

#[test]
fn a_drain_during_a_pause_or_before_a_start_is_obeyed() {
    struct Case {
        name: &'static str,
        refused: bool,
        fault: fn(&mut World),
    }
    let pause: fn(&mut World) = |world| (0..6).for_each(|node| world.pause(node, 2_000));
    let kill: fn(&mut World) = |world| (0..6).for_each(|node| world.kill(node, true, 1_000));
    let cases = [
        Case { name: "all paused", refused: false, fault: pause },
        Case { name: "all paused, the store serves one", refused: true, fault: pause },
        Case { name: "all started again", refused: false, fault: kill },
        Case { name: "all started again, the store serves one", refused: true, fault: kill },
    ];
    for Case { name, refused, fault } in cases {
        let mut world = World::new(3, 3, 6, 9);
        load(&mut world, 1, 500);
        if refused {
            (1..6).for_each(|node| world.refuse_store(node, true));
        }
        fault(&mut world);
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
fn no_task_starts_after_a_pause_until_a_slow_store_has_answered() {
    // Longer than the second for which an instance does not schedule after a pause; without a check
    // of the drains it would start tasks with outdated ones.
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
fn isolated_instance_starts_tasks_after_a_timeout() {
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
    world.run_until(world.now + PROPAGATION);
    let refused = world.request(2, 1, 8_000, 100, false);
    world.run_until(world.now + 5);
    let found = world.requests[refused].attempts[0].answer;
    assert!(
        matches!(found, Some(Outcome::NotRun { cause: NotRunCause::Drained, .. })),
        "refused with its cause: {found:?}"
    );
    world.run_until(world.now + 3_000);
    assert_eq!(world.requests[long].outcome, Some(Outcome::Completed), "running tasks continue");
    world.restore_zones();
    world.run_until(world.now + PROPAGATION);
    let again = world.request(3, 1, 8_000, 100, false);
    world.run_until(world.now + 500);
    assert_eq!(world.requests[again].outcome, Some(Outcome::Completed), "restored as quickly");
}

#[test]
fn running_job_is_not_refused_when_resubmitted() {
    // Guards against the answer "not run" for a job whose tasks run in a zone that was drained
    // later.
    let mut world = World::new(5, 2, 1, 4);
    world.request(1, 2, 8_000, 1_000, false);
    world.run_until(world.now + 200);
    assert_eq!(world.starts.len(), 2, "both tasks are running");
    world.drain_zone(0, true);
    world.drain_zone(1, true);
    world.run_until(world.now + PROPAGATION);
    let again = world.request(1, 2, 8_000, 1_000, false);
    world.run_until(world.now + 5);
    let found = world.requests[again].attempts[0].answer;
    assert!(!matches!(found, Some(Outcome::NotRun { .. })), "its tasks run: {found:?}");
    world.run_until(world.now + 3_000);
    assert_eq!(world.requests[again].outcome, Some(Outcome::Completed));
}
