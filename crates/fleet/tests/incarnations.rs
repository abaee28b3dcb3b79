//! Guards against a worker that restarts under its id: runs of the earlier incarnation that count as held, runs
//! of the later one that are lost or run twice, ends that are swallowed, and leases of a wrong clock.

mod common;
mod world;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, End, Incarnation, LEASE, LogEvent, Member, Members, Message, Outcome, Output, Owner,
    PollResponse, PollResult, RunEnd, RunKey, Running, StartResponse, WorkerList, WorkerStatus,
};
use cranberryhatch_schema::fleet::{How, Run, Start};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};
use world::World;

const START: Time = Time::from_ms(10_000);
/// Clock of the worker's first incarnation at `START`; the later one begins at 0.
const CLOCK: u64 = 5_000_000;
const FIRST: Incarnation = Incarnation::new(1_000);
const SECOND: Incarnation = Incarnation::new(2_000);

/// An owner of one worker, and what the worker status to its looks.
struct Fixture {
    owner: Owner,
    members: Members,
    listing: WorkerList,
    worker: WorkerId,
    now: Time,
}

/// A look that was sent.
#[derive(Clone, Copy, Debug)]
struct SentPoll {
    token: u64,
    acked: u64,
    lease: Option<u64>,
}

impl Fixture {
    /// An owner whose worker is open in its first incarnation.
    fn new() -> Self {
        let me = Member {
            id: "e-1".parse().expect("a name"),
            incarnation: 1,
            zone: "a".parse().expect("a zone"),
            cores: 250,
            draining: false,
            core: true,
            joined: true,
            version: 0,
        };
        let members = Members::new(me.clone());
        let mut listing = WorkerList::default();
        listing.replace(vec![listed("w", "a", 32_000)], START);
        let mut owner = Owner::new(me.id);
        owner.assign(&listing, &members.owners(1), 0, START);
        let worker = "w".parse().expect("an id");
        let mut fixture = Self { owner, members, listing, worker, now: START };
        fixture.poll(&status(FIRST, &[], &[]), &mut Output::default());
        fixture
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now + Span::from_ms(ms);
    }

    /// Sends the look that is due, if there is one, and answers it.
    fn poll(&mut self, seen: &WorkerStatus, out: &mut Output) -> Option<SentPoll> {
        let (asked, result) = self.ask(seen)?;
        self.owner.handle_poll_result(result, &self.members, self.now, out);
        Some(asked)
    }

    fn ask(&mut self, seen: &WorkerStatus) -> Option<(SentPoll, PollResult)> {
        let mut polls = Output::default();
        self.owner.send_polls(self.now, &mut polls);
        self.asked_in(polls, seen)
    }

    /// The same after the time that fronts have to claim runs.
    fn poll_after_claims(&mut self, seen: &WorkerStatus, out: &mut Output) {
        self.wait(400);
        let mut ticked = Output::default();
        self.owner.tick(&self.listing, &self.members.owners(1), 0, self.now, &mut ticked);
        let (_, result) = self.asked_in(ticked, seen).expect("a look");
        self.owner.handle_poll_result(result, &self.members, self.now, out);
    }

    fn asked_in(&self, polls: Output, seen: &WorkerStatus) -> Option<(SentPoll, PollResult)> {
        polls.commands.into_iter().find_map(|command| {
            let Command::Poll { worker, token, acked, lease, .. } = command else { return None };
            let response = PollResponse::Status(Box::new(seen.clone()));
            let result = PollResult { worker: worker.id, token, sent: self.now, response };
            Some((SentPoll { token, acked, lease: lease.map(|lease| lease.until) }, result))
        })
    }

    /// Orders a run; the token of the worker must be right.
    fn start(&mut self, task: u32, token: u64) -> (RunKey, Option<u64>) {
        let order = Start {
            run: Some(Run { job: "j".to_owned(), step: 0, task, run: 1 }),
            worker: "w".to_owned(),
            service: "svc".to_owned(),
            need: Some((&need(4_000)).into()),
            run_ms: 100,
            kind: "k".to_owned(),
            token,
            seen_ms: self.now.as_ms(),
            ..Start::default()
        };
        let run = RunKey::from(order.run.as_ref().expect("a run"));
        let mut out = Output::default();
        self.owner.start(&front(), order, self.now, &mut out);
        let lease = out.commands.iter().find_map(|command| match command {
            Command::StartRun { lease, .. } => Some(lease.until),
            _ => None,
        });
        (run, lease)
    }

    fn respond(
        &mut self,
        run: &RunKey,
        response: StartResponse,
        from: Option<(u64, Incarnation)>,
    ) -> Output {
        let mut out = Output::default();
        let worker = self.worker.clone();
        self.owner.handle_start_response_from(&worker, run, response, from, self.now, &mut out);
        out
    }

    /// Token of the worker.
    fn token(&mut self) -> u64 {
        self.wait(3_000);
        let asked = self.poll(&status(FIRST, &[], &[]), &mut Output::default());
        asked.expect("a look at an idle worker").token
    }
}

fn front() -> InstanceId {
    "e-2".parse().expect("a name")
}

fn status(incarnation: Incarnation, runs: &[&RunKey], ends: &[(u64, &RunKey)]) -> WorkerStatus {
    let running = |run: &&RunKey| Running { run: (*run).clone(), percent: 10 };
    let end = |(number, run): &(u64, &RunKey)| {
        let run = (*run).clone();
        End { number: *number, run, how: RunEnd::Done }
    };
    WorkerStatus {
        clock: if incarnation == FIRST { CLOCK } else { 50 },
        incarnation,
        running: runs.iter().map(running).collect(),
        ended: ends.iter().map(end).collect(),
    }
}

/// What the front was told of a run.
fn told(out: &Output, run: &RunKey) -> Vec<How> {
    let told = |command: &Command| match command {
        Command::Send { to, message: Message::Ended(ended) } if *to == front() => {
            let same = ended.run.as_ref().map(RunKey::from).as_ref() == Some(run);
            same.then(|| ended.how())
        }
        _ => None,
    };
    out.commands.iter().filter_map(told).collect()
}

#[test]
fn runs_of_the_earlier_life_are_stopped_and_a_start_under_way_is_settled_by_the_later_one() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (at_work, _) = fixture.start(0, token);
    fixture.respond(&at_work, StartResponse::Started, Some((CLOCK, FIRST)));
    let (reached, _) = fixture.start(1, token);
    let (missed, _) = fixture.start(2, token);
    let (ended, _) = fixture.start(3, token);
    let (doubtful, _) = fixture.start(4, token);
    fixture.respond(&doubtful, StartResponse::NoResponse, None);
    fixture.wait(20);
    let mut out = Output::default();
    let before = status(SECOND, &[&reached], &[(1, &ended)]);
    assert_eq!(fixture.poll(&before, &mut out).expect("a look").token, token);
    assert_eq!(told(&out, &at_work), [How::Stopped], "it ended with its incarnation");
    assert_eq!(told(&out, &ended), [How::Done], "it ran in the later incarnation");
    for run in [&reached, &missed, &doubtful] {
        assert_eq!(
            told(&out, run),
            [],
            "neither incarnation has told of it under a token that voids it"
        );
    }
    assert!(
        out.commands.iter().any(|command| matches!(
            command,
            Command::Log(LogEvent::IncarnationEnded { incarnation, runs: 5, .. }) if *incarnation == SECOND
        )),
        "the end of the incarnation is noted"
    );
    let mut out = Output::default();
    let asked = fixture.poll(&status(SECOND, &[&reached], &[(1, &ended)]), &mut out);
    let asked = asked.expect("it is opened again at once");
    assert!(asked.token > token && asked.acked == 0 && asked.lease.is_none(), "{asked:?}");
    assert_eq!(told(&out, &missed), [How::Stopped]);
    assert_eq!(told(&out, &doubtful), [How::Stopped]);
    assert_eq!(told(&out, &reached), [], "it is at work");
    // The answer comes after all, and the end of it has the number 2 of the later incarnation.
    let out = fixture.respond(&reached, StartResponse::Started, Some((60, SECOND)));
    assert_eq!(told(&out, &reached), []);
    let mut out = Output::default();
    fixture.poll_after_claims(&status(SECOND, &[], &[(2, &reached)]), &mut out);
    assert_eq!(told(&out, &reached), [How::Done], "reported once");
}

#[test]
fn ends_that_are_numbered_from_1_again_are_not_swallowed() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (first, _) = fixture.start(0, token);
    fixture.respond(&first, StartResponse::Started, Some((CLOCK, FIRST)));
    fixture.wait(20);
    fixture.poll(&status(FIRST, &[], &[(57, &first)]), &mut Output::default());
    fixture.wait(3_000);
    fixture.poll(&status(SECOND, &[], &[]), &mut Output::default());
    let asked = fixture.poll(&status(SECOND, &[], &[]), &mut Output::default()).expect("a look");
    assert_eq!(asked.acked, 0);
    let (second, _) = fixture.start(1, asked.token);
    fixture.respond(&second, StartResponse::Started, Some((70, SECOND)));
    fixture.wait(20);
    let mut out = Output::default();
    fixture.poll(&status(SECOND, &[], &[(1, &second)]), &mut out);
    assert_eq!(told(&out, &second), [How::Done]);
}

#[test]
fn a_lease_is_by_the_clock_of_the_present_life() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (late, _) = fixture.start(0, token);
    fixture.poll(&status(SECOND, &[], &[]), &mut Output::default());
    let asked = fixture.poll(&status(SECOND, &[], &[]), &mut Output::default()).expect("a look");
    // An answer of the earlier incarnation comes late, and one that names no incarnation.
    fixture.respond(&late, StartResponse::Started, Some((CLOCK, FIRST)));
    fixture.respond(&late, StartResponse::Started, Some((CLOCK, Incarnation::UNKNOWN)));
    let (_, lease) = fixture.start(1, asked.token);
    assert!(lease.expect("a start") <= 50 + LEASE.as_ms(), "{lease:?}");
}

#[test]
fn a_late_answer_of_the_earlier_life_is_not_taken_for_the_present_one() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (run, _) = fixture.start(0, token);
    fixture.wait(20);
    // The look is on its way while the answer to the start tells of the later incarnation.
    let (_, late) = fixture.ask(&status(FIRST, &[], &[])).expect("a look");
    fixture.respond(&run, StartResponse::Started, Some((40, SECOND)));
    let mut out = Output::default();
    fixture.owner.handle_poll_result(late, &fixture.members, fixture.now, &mut out);
    assert!(out.commands.is_empty(), "{:?}", out.commands);
    fixture.poll(&status(SECOND, &[&run], &[]), &mut out).expect("a look at the later incarnation");
    assert_eq!(told(&out, &run), []);
}

#[test]
fn a_start_that_the_earlier_life_carried_out_is_over() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (run, _) = fixture.start(0, token);
    fixture.wait(20);
    fixture.poll(&status(SECOND, &[], &[]), &mut Output::default());
    let out = fixture.respond(&run, StartResponse::Started, Some((CLOCK, FIRST)));
    assert_eq!(told(&out, &run), [How::Stopped], "never: not run");
}

#[test]
fn a_start_that_the_later_life_refuses_for_its_new_token_costs_no_worker() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (run, _) = fixture.start(0, token);
    fixture.wait(20);
    fixture.poll(&status(SECOND, &[], &[]), &mut Output::default());
    let out = fixture.respond(&run, StartResponse::Fenced, Some((60, SECOND)));
    assert_eq!(told(&out, &run), [How::NoRoom], "it did not run");
    assert_eq!(fixture.owner.worker_counts().1, 1, "the worker is not given up");
}

#[test]
fn a_newer_entry_in_the_list_has_the_worker_looked_at_at_once() {
    let mut fixture = Fixture::new();
    fixture.token();
    fixture.wait(100);
    assert!(fixture.ask(&status(FIRST, &[], &[])).is_none(), "no look is due");
    let mut newer = listed("w", "a", 32_000);
    newer.incarnation = SECOND;
    fixture.listing.replace(vec![newer], fixture.now);
    fixture.owner.update_listed(&fixture.listing);
    assert!(fixture.ask(&status(SECOND, &[], &[])).is_some());
}

#[test]
fn jobs_complete_while_workers_restart() {
    struct Case {
        name: &'static str,
        trouble: fn(&mut World),
    }
    let cases = [
        Case { name: "within one look", trouble: |world| world.restart_worker(0, 0, false) },
        Case {
            name: "twice",
            trouble: |world| {
                world.restart_worker(0, 1, false);
                world.run_until(world.now + 3);
                world.restart_worker(0, 1, true);
            },
        },
        Case {
            name: "behind a cut",
            trouble: |world| {
                world.cut_worker(0, 1_500);
                world.restart_worker(0, 300, true);
            },
        },
        Case {
            name: "during a change of owner",
            trouble: |world| {
                (0..2).for_each(|node| world.kill(node, true, 3_000));
                world.restart_worker(0, 50, true);
                world.restart_worker(1, 900, false);
            },
        },
        Case {
            name: "all at once",
            trouble: |world| {
                (0..4).for_each(|worker| world.restart_worker(worker, 20, false));
            },
        },
    ];
    for Case { name, trouble } in cases {
        for seed in 0..20 {
            let mut world = World::new(seed, 1, 3, 4);
            let long: Vec<usize> =
                (1..=4).map(|job| world.request(job, 3, 8_000, 700, false)).collect();
            world.run_until(world.now + 100 + seed * 7);
            let late = world.request(9, 4, 8_000, 100, false);
            world.run_until(world.now + seed % 8);
            trouble(&mut world);
            world.run_until(world.now + 12_000);
            world.check_end();
            assert_eq!(world.violations, Vec::<String>::new(), "{name}, seed {seed}");
            for request in long.into_iter().chain([late]) {
                let found = world.requests[request].outcome;
                let refused = matches!(found, Some(Outcome::NotRun { .. }));
                assert!(found == Some(Outcome::Completed) || refused, "{name}, {seed}: {found:?}");
            }
        }
    }
}
