//! Guards against callers that get no answer because their instance shuts down.

mod common;
mod world;

use std::sync::Arc;

use common::{kind_settings, need};
use cranberryhatch_fleet::{
    ACCEPT_PERIOD, Command, Job, Member, Message, Node, NotRunCause, Outcome, Output, Shutdown,
    Step,
};
use cranberryhatch_schema::fleet::{Beat, Grant, Place};
use cranberryhatch_types::{InstanceId, Span, Time};
use world::World;

const REQUESTED: Time = Time::from_ms(10_000);
const TICK: u64 = 20;
/// Time that the process needs to write the answers and to flush the log, in milliseconds.
const WRITING: u64 = 400;

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn member(name: &str, cores: u32) -> Member {
    let (id, zone) = (id(name), "a".parse().expect("a zone"));
    Member {
        id,
        incarnation: 1,
        zone,
        cores,
        draining: false,
        core: true,
        joined: true,
        version: 0,
    }
}

fn job(name: &str, declared: &[(u64, Vec<u32>)], limit: Span) -> Job {
    let step = |(ms, after): &(u64, Vec<u32>)| Step {
        tasks: 1,
        need: need(14_000),
        declared: Span::from_ms(*ms),
        after: after.clone(),
        ..Step::default()
    };
    Job {
        name: name.to_owned(),
        settings: Arc::new(kind_settings()),
        payload: "x".into(),
        steps: declared.iter().map(step).collect(),
        arrived: REQUESTED,
        deadline: REQUESTED + limit,
    }
}

fn answers(out: Output) -> Vec<(u64, Outcome)> {
    let answer = |command| match command {
        Command::Answer { ticket, outcome } => Some((ticket, outcome)),
        _ => None,
    };
    out.commands.into_iter().filter_map(answer).collect()
}

#[test]
fn every_job_is_answered_before_the_end_of_any_grace_period() {
    let refused = Outcome::NotRun { cause: NotRunCause::Stopping, retry: Span::ZERO };
    for grace in [300, 1_000, 2_000, 6_000, 30_000] {
        let mut node = Node::new(Member { joined: false, ..member("e-1", 250) }, REQUESTED);
        let mut out = Output::default();
        node.link_up(member("s", 500), REQUESTED, &mut out);
        let minute = Span::from_secs(60);
        node.submit(1, job("begun", &[(100, vec![])], minute), REQUESTED, &mut out);
        node.submit(2, job("waits", &[(100, vec![])], minute), REQUESTED, &mut out);
        let (worker, owner) = ("w".to_owned(), "s".to_owned());
        let place =
            Place { task: 0, worker, owner, run_ms: 100, token: 7, due_ms: 0, ..Place::default() };
        let grant = Grant { job: "begun".to_owned(), step: 0, places: vec![place] };
        node.handle_message(&id("s"), Message::Grant(grant), REQUESTED, &mut out);
        node.begin_shutdown(Span::from_ms(grace), REQUESTED, &mut out);
        assert_eq!(answers(out), [], "{grace}: answered too soon");
        let mut found = Vec::new();
        let mut at = REQUESTED;
        while !node.is_stopped(at) {
            assert!(at.since(REQUESTED).as_ms() < grace, "{grace}: killed");
            at = at + Span::from_ms(TICK);
            let mut out = Output::default();
            // The scheduler and owner stays reachable.
            let beat = Beat { joined: true, next_ms: 140, ..Beat::default() };
            node.handle_message(&id("s"), Message::Beat(beat), at, &mut out);
            node.tick(0, at, &mut out);
            found.extend(answers(out));
        }
        found.sort_by_key(|(ticket, _)| *ticket);
        assert_eq!(found, [(1, Outcome::GivenUp), (2, refused)], "{grace}");
        let left = grace - at.since(REQUESTED).as_ms();
        assert!(left + TICK >= WRITING.min(grace / 2), "{grace}: {left} ms to write answers");
    }
}

#[test]
fn jobs_are_served_while_all_instances_shut_down() {
    // Guards against jobs that wait for a scheduler when all instances are shutting down.
    for (instances, running) in [(1, 0), (3, 0), (3, 1)] {
        let mut world = World::new(7, 1, instances, 4);
        for node in running..instances {
            world.drain(node, 6_000);
        }
        for name in 1..=20 {
            world.request(name, 2, 14_000, 60, false);
            world.run_until(world.now + 50);
        }
        world.run_until(world.now + 1_000);
        let completed = |request: &&world::Request| request.outcome == Some(Outcome::Completed);
        let served = world.requests.iter().filter(completed).count();
        assert_eq!(served, 20, "{running} of {instances} instances keep running");
        assert_eq!(world.violations, Vec::<String>::new());
    }
}

#[test]
fn stopping_instance_accepts_the_jobs_that_it_can_finish() {
    struct Case {
        name: &'static str,
        grace: u64,
        after: u64,
        steps: Vec<(u64, Vec<u32>)>,
        accepted: bool,
    }
    let short = || vec![(100, vec![])];
    let last = ACCEPT_PERIOD.as_ms();
    let cases = [
        Case { name: "at once", grace: 6_000, after: 0, steps: short(), accepted: true },
        Case {
            name: "routed by the load balancer",
            grace: 6_000,
            after: last - 1,
            steps: short(),
            accepted: true,
        },
        Case {
            name: "from an open connection",
            grace: 6_000,
            after: last,
            steps: short(),
            accepted: false,
        },
        Case { name: "long", grace: 6_000, after: 0, steps: vec![(5_400, vec![])], accepted: true },
        Case {
            name: "longer than the time left",
            grace: 6_000,
            after: 0,
            steps: vec![(5_600, vec![])],
            accepted: false,
        },
        Case {
            name: "sequential steps",
            grace: 6_000,
            after: 1_000,
            steps: vec![(2_000, vec![]), (1_000, vec![]), (3_000, vec![0, 1])],
            accepted: false,
        },
        Case {
            name: "parallel steps",
            grace: 6_000,
            after: 1_000,
            steps: vec![(2_000, vec![]), (3_000, vec![]), (1_000, vec![0])],
            accepted: true,
        },
        Case {
            name: "short grace period",
            grace: 1_000,
            after: 249,
            steps: short(),
            accepted: true,
        },
        Case {
            name: "half of it is left",
            grace: 1_000,
            after: 250,
            steps: short(),
            accepted: false,
        },
    ];
    for Case { name, grace, after, steps, accepted } in cases {
        let shutdown = Shutdown::new(Span::from_ms(grace), REQUESTED);
        let job = job("j", &steps, Span::from_secs(60));
        assert_eq!(shutdown.accepts(&job, REQUESTED + Span::from_ms(after)), accepted, "{name}");
    }
}
