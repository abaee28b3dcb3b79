//! Guards against runs that outlast their lost front beside a longer lease, and against first starts
//! of idle fronts that are delayed or refused because of that.

mod common;
mod world;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, Incarnation, LogEvent, Member, Members, Message, Outcome, Output, Owner, PollResponse,
    PollResult, StartRefusal, WorkerList, WorkerStatus,
};
use cranberryhatch_schema::fleet::{How, Run, Start, Stop};
use cranberryhatch_types::{Count, InstanceId, Span, Time};
use world::World;

const NOW: Time = Time::from_ms(20_000);
/// Age of a heartbeat with which a start beside a full lease is deferred, in milliseconds.
const OLD: u64 = 400;
/// Age from which a start is refused.
const TOO_OLD: u64 = 1_000;

/// An owner of one worker with a run of front `f-1`, which holds a full lease.
struct Fixture {
    owner: Owner,
    members: Members,
    listing: WorkerList,
    token: u64,
}

/// What an owner has sent.
#[derive(Debug, PartialEq, Eq)]
struct Sent {
    starts: usize,
    ends: Vec<How>,
    refusals: Vec<StartRefusal>,
}

const NOTHING: Sent = Sent { starts: 0, ends: Vec::new(), refusals: Vec::new() };

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn run(job: &str) -> Run {
    Run { job: job.to_owned(), step: 0, task: 0, run: 1 }
}

fn sent(out: Output) -> Sent {
    let mut sent = NOTHING;
    for command in out.commands {
        match command {
            Command::StartRun { .. } => sent.starts += 1,
            Command::Send { message: Message::Ended(ended), .. } => sent.ends.push(ended.how()),
            Command::Log(LogEvent::StartRefused { cause, .. }) => sent.refusals.push(cause),
            _ => {}
        }
    }
    sent
}

impl Fixture {
    fn new() -> Self {
        let me = Member {
            id: id("e-1"),
            incarnation: 1,
            zone: "a".parse().expect("a zone"),
            cores: 250,
            draining: false,
            core: true,
            joined: true,
            version: 0,
        };
        let members = Members::new(me);
        let mut listing = WorkerList::default();
        listing.replace(vec![listed("w", "a", 32_000)], NOW);
        let mut owner = Owner::new(id("e-1"));
        owner.set_scheduler(Some(id("s")));
        owner.assign(&listing, &members.owners(1), 0, NOW);
        let mut fixture = Self { owner, members, listing, token: 0 };
        let mut out = Output::default();
        fixture.tick(NOW, &mut out);
        let token = |command: &Command| match command {
            Command::Poll { token, .. } => Some(*token),
            _ => None,
        };
        fixture.token = out.commands.iter().find_map(token).expect("a poll");
        let status = WorkerStatus {
            clock: NOW.as_ms(),
            incarnation: Incarnation::UNKNOWN,
            running: Vec::new(),
            ended: Vec::new(),
        };
        let response = PollResponse::Status(Box::new(status));
        let worker = "w".parse().expect("an id");
        let result = PollResult { worker, token: fixture.token, sent: NOW, response };
        fixture.owner.handle_poll_result(result, &fixture.members, NOW, &mut out);
        assert_eq!(fixture.start("f-1", "i", 0), Sent { starts: 1, ..NOTHING });
        fixture
    }

    /// Requests a start of a front that has read a heartbeat of this age.
    fn start(&mut self, front: &str, job: &str, age: u64) -> Sent {
        self.start_run(front, run(job), age)
    }

    fn start_run(&mut self, front: &str, run: Run, age: u64) -> Sent {
        let request = Start {
            run: Some(run),
            worker: "w".to_owned(),
            service: "svc".to_owned(),
            need: Some((&need(14_000)).into()),
            run_ms: 100,
            kind: "k".to_owned(),
            token: self.token,
            seen_ms: (NOW - Span::from_ms(age)).as_ms(),
            ..Start::default()
        };
        let mut out = Output::default();
        self.owner.start(&id(front), request, NOW, &mut out);
        sent(out)
    }

    fn tick(&mut self, now: Time, out: &mut Output) {
        let owners = self.members.owners(1);
        self.owner.tick(&self.listing, &owners, 0, now, out);
    }

    fn retry(&mut self, now: Time) -> Sent {
        let mut out = Output::default();
        self.owner.retry_deferred_starts(now, &mut out);
        sent(out)
    }
}

#[test]
fn deferred_start_follows_the_echo_of_its_front() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.start("f-2", "j", OLD), NOTHING);
    assert_eq!(fixture.start("f-2", "j", OLD), NOTHING, "the same request again");
    assert!(
        fixture.owner.awaits_heartbeat(&id("f-2")) && !fixture.owner.awaits_heartbeat(&id("f-1"))
    );
    assert_eq!(
        fixture.owner.fronts(),
        [id("f-1"), id("f-2")],
        "fronts that get frequent heartbeats"
    );
    let now = NOW + Span::from_ms(5);
    fixture.owner.heartbeat_seen(&id("f-1"), now, now);
    assert_eq!(fixture.retry(now), NOTHING, "a heartbeat of another front");
    fixture.owner.heartbeat_seen(&id("f-2"), NOW, now);
    assert_eq!(fixture.retry(now), Sent { starts: 1, ..NOTHING });
    assert_eq!(fixture.retry(now), NOTHING, "it starts once");
    assert!(!fixture.owner.has_deferred_starts());
}

#[test]
fn deferred_start_holds_its_capacity() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.start("f-2", "j", OLD), NOTHING);
    let refused = fixture.start("f-3", "k", 0);
    assert_eq!(refused.refusals, [StartRefusal::NoRoom]);
    let refused = fixture.start_run("f-3", Run { run: 2, ..run("j") }, 0);
    assert_eq!(refused.refusals, [StartRefusal::OtherRun]);
}

#[test]
fn deferred_start_that_is_no_longer_wanted_never_runs() {
    struct Case {
        name: &'static str,
        end: fn(&mut Owner, &mut Output),
        how: How,
    }
    let cases = [
        Case {
            name: "stopped by its front",
            end: |owner, out| {
                let stop = Stop { run: Some(run("j")), worker: "w".to_owned(), ..Stop::default() };
                owner.stop(&id("f-2"), &stop, NOW, out);
            },
            how: How::NotStarted,
        },
        Case {
            name: "submitted again at another front",
            end: |owner, out| owner.stop_superseded("j", &id("f-2"), NOW, out),
            how: How::NotStarted,
        },
        Case {
            name: "the link to its front broke",
            end: |owner, out| {
                owner.front_link_lost(&id("f-2"));
                owner.retry_deferred_starts(NOW, out);
            },
            how: How::NoRoom,
        },
        Case {
            name: "its front is unreachable",
            end: |owner, out| {
                owner.front_unreachable(&id("f-2"), NOW, out);
                owner.retry_deferred_starts(NOW, out);
            },
            how: How::NoRoom,
        },
        Case {
            name: "its front has echoed no heartbeat in time",
            end: |owner, out| {
                owner.retry_deferred_starts(NOW + Span::from_ms(TOO_OLD - OLD), out);
            },
            how: How::NoRoom,
        },
        Case {
            name: "the worker restarted",
            end: |owner, out| {
                let list = WorkerList::default();
                owner.update_listed(&list);
                let members = Fixture::new().members;
                let worker = "w".parse().expect("an id");
                let result = PollResult {
                    worker,
                    token: Fixture::new().token,
                    sent: NOW,
                    response: PollResponse::OtherIncarnation,
                };
                owner.send_polls(NOW, &mut Output::default());
                owner.handle_poll_result(result, &members, NOW, out);
            },
            how: How::NoRoom,
        },
    ];
    for Case { name, end, how } in cases {
        let mut fixture = Fixture::new();
        assert_eq!(fixture.start("f-2", "j", OLD), NOTHING, "{name}");
        let mut out = Output::default();
        end(&mut fixture.owner, &mut out);
        let to_front =
            |command: &Command| matches!(command, Command::Send { to, .. } if *to == id("f-2"));
        out.commands.retain(to_front);
        assert_eq!(sent(out).ends, [how], "{name}");
        assert!(!fixture.owner.has_deferred_starts(), "{name}");
        let later = NOW + Span::from_ms(50);
        fixture.owner.heartbeat_seen(&id("f-2"), later, later);
        assert_eq!(fixture.retry(later).starts, 0, "{name}");
    }
}

#[test]
fn polls_do_not_postpone_a_deferred_start() {
    // Guards against a lease that each poll extends past the lifetime of a run whose front answers
    // slowly.
    let mut fixture = Fixture::new();
    assert_eq!(fixture.start("f-2", "j", OLD), NOTHING);
    let now = NOW + Span::from_ms(300);
    fixture.owner.heartbeat_seen(&id("f-1"), now, now);
    fixture.owner.send_polls(now, &mut Output::default());
    fixture.owner.heartbeat_seen(&id("f-2"), NOW, now);
    assert_eq!(fixture.retry(now), Sent { starts: 1, ..NOTHING });
}

/// Run time of tasks, in milliseconds.
const RUN_TIME: u64 = 600;
/// Mean and longest delay of a message between two instances, in milliseconds.
const MEAN_DELAY: u64 = 5;
const LONGEST_DELAY: u64 = 40;
/// Messages to the scheduler, to the front and to the owner, and a round trip between the latter
/// two.
const HOPS: u64 = 5;
/// Number of jobs of a seed; each instance gets one every few seconds.
const JOBS: u64 = 60;

#[test]
fn first_starts_of_idle_fronts_beside_other_runs_take_a_round_trip() {
    let mut delays = Vec::new();
    for seed in 1..=20 {
        let mut world = World::new(seed, 1, 12, 3);
        for worker in &mut world.workers {
            worker.listed.capacity.memory = Count::new(65_536);
        }
        world.publish_workers();
        for name in 1..=JOBS {
            world.request(name, 1, 4_000, RUN_TIME, false);
            world.run_until(world.now + 150);
        }
        world.run_until(world.now + 2_000);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        let completed = |request: &world::Request| request.outcome == Some(Outcome::Completed);
        assert!(world.requests.iter().all(completed), "seed {seed}");
        assert_eq!(world.sent_starts.len(), world.requests.len(), "seed {seed}: starts");
        delays.extend(world.sent_starts.iter().map(|start| {
            let is_of = |request: &&world::Request| request.job.name == start.run.task.job;
            let request = world.requests.iter().find(is_of).expect("its request");
            start.at - request.job.arrived.as_ms()
        }));
    }
    delays.sort_unstable();
    let mean = delays.iter().sum::<u64>() / delays.len() as u64;
    let (median, most) = (delays[delays.len() / 2], delays[delays.len() - 1]);
    println!("{} starts: mean {mean}, median {median}, longest {most} ms", delays.len());
    assert!(mean <= HOPS * MEAN_DELAY && most <= HOPS * LONGEST_DELAY, "{mean} and {most} ms");
}
