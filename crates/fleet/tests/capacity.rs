//! Guards against starts that exceed the capacity of a worker that has shrunk, and against capacity
//! that stays unused after a worker has grown.

mod common;
mod world;

use common::{listed, need};
use cranberryhatch_fleet::{Command, Message, Output, Scheduler, WorkerList};
use cranberryhatch_schema::fleet::{Ask, Held, Room, Rooms, Run};
use cranberryhatch_types::Time;
use world::World;

const NOW: Time = Time::from_ms(10_000);

/// A worker whose capacity changes while it runs tasks of 14 cores.
struct Case {
    name: &'static str,
    before: u32,
    running: u32,
    after: u32,
    /// Tasks of 14 cores that are granted capacity after the change.
    granted: usize,
}

impl Case {
    /// Returns the number of tasks that a scheduler grants right after the change, when the owner
    /// has not reported the worker again.
    fn grant(&self) -> usize {
        let owner = "e-1".parse().expect("a name");
        let mut listing = WorkerList::default();
        listing.replace(vec![listed("w", "a", self.before)], NOW);
        let mut scheduler = Scheduler::default();
        let held = |task| Held {
            run: Some(Run { job: "running".to_owned(), step: 0, task, run: 1 }),
            need: Some((&need(14_000)).into()),
            left_ms: 10_000,
            front: String::new(),
            age_ms: None,
        };
        let held = (0..self.running).map(held).collect();
        let room = Room { worker: "w".to_owned(), token: 1, held, open: true, ..Room::default() };
        let rooms = Rooms { rooms: vec![room], ..Rooms::default() };
        scheduler.update_workers(&owner, rooms, &listing, NOW);
        listing.replace(vec![listed("w", "a", self.after)], NOW);
        scheduler.update_listing(&listing);
        let ask = Ask {
            job: "waiting".to_owned(),
            tasks: vec![0, 1, 2],
            service: "svc".to_owned(),
            need: Some((&need(14_000)).into()),
            declared_ms: 100,
            left_ms: 60_000,
            stretch: 600_000,
            ..Ask::default()
        };
        scheduler.enqueue(&owner, ask, NOW);
        let mut out = Output::default();
        scheduler.schedule(NOW, true, &mut out);
        let places = |command: &Command| match command {
            Command::Send { message: Message::Grant(grant), .. } => Some(grant.places.len()),
            _ => None,
        };
        out.commands.iter().filter_map(places).sum()
    }
}

#[test]
fn grants_follow_a_change_of_the_capacity_at_once() {
    let cases = [
        Case { name: "unchanged", before: 32_000, running: 1, after: 32_000, granted: 1 },
        Case { name: "shrunk", before: 32_000, running: 0, after: 20_000, granted: 1 },
        Case {
            name: "shrunk below its runs",
            before: 32_000,
            running: 2,
            after: 20_000,
            granted: 0,
        },
        Case { name: "too small", before: 32_000, running: 0, after: 10_000, granted: 0 },
        Case { name: "grown", before: 14_000, running: 1, after: 32_000, granted: 1 },
    ];
    for case in cases {
        assert_eq!(case.grant(), case.granted, "{}", case.name);
    }
}

#[test]
fn workers_that_do_not_guard_their_capacity_are_not_overloaded_when_they_shrink() {
    for seed in 1..=10 {
        let mut world = World::new(seed, 3, 6, 6);
        world.workers.iter_mut().for_each(|worker| worker.guards = false);
        world.fault_rates.answer_lost = 20;
        let mut rng = fastrand::Rng::with_seed(seed);
        for round in 0..200 {
            let (tasks, cores) = (rng.u32(1..4), rng.u32(4_000..16_000));
            world.request(1 + round, tasks, cores, rng.u64(40..600), false);
            if rng.u32(0..10) == 0 {
                let (worker, cores) = (rng.usize(0..6), rng.u32(8..=32) * 1_000);
                world.set_capacity(worker, cores);
            }
            if rng.u32(0..50) == 0 {
                world.kill(rng.usize(0..6), rng.bool(), 2_000);
            }
            world.run_until(world.now + 60);
            world.time_out_callers();
        }
        world.run_until(world.now + 30_000);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}
