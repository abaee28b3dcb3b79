//! Guards against faults when a worker restarts under its id: runs of the earlier incarnation that
//! stay assigned, runs of the later one that are lost or run twice, ends that are dropped, and
//! leases by the wrong clock.

mod common;
mod world;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, End, Incarnation, LEASE, LogEvent, Member, Members, Message, Outcome, Output, Owner,
    PollResponse, PollResult, RunEnd, RunKey, Running, StartResponse, WorkerList, WorkerStatus,
};
use cranberryhatch_schema::fleet::{How, Run, Start};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};
use world::{WORKER_HEARTBEAT, World};

const START: Time = Time::from_ms(10_000);
/// Clock of the worker's first incarnation at `START`; the later one starts at 0.
const CLOCK: u64 = 5_000_000;
const FIRST: Incarnation = Incarnation::new(1_000);
const SECOND: Incarnation = Incarnation::new(2_000);
/// A later incarnation whose machine has had its time of day set back.
const SET_BACK: Incarnation = Incarnation::new(500);
const THIRD: Incarnation = Incarnation::new(1_500);

/// An owner of one worker.
struct Fixture {
    owner: Owner,
    members: Members,
    listing: WorkerList,
    worker: WorkerId,
    now: Time,
    /// Numbers of the start requests that were sent.
    requests: Vec<(RunKey, u64)>,
}

/// A poll that was sent.
#[derive(Clone, Copy, Debug)]
struct SentPoll {
    token: u64,
    acked: u64,
    lease: Option<u64>,
}

impl Fixture {
    /// Creates an owner whose worker is open in its first incarnation.
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
        let mut fixture =
            Self { owner, members, listing, worker, now: START, requests: Vec::new() };
        fixture.poll(&status(FIRST, &[], &[]), &mut Output::default());
        fixture
    }

    /// Reads the entry of the worker.
    fn list(&mut self, incarnation: Incarnation) {
        let mut entry = listed("w", "a", 32_000);
        entry.incarnation = incarnation;
        self.listing.replace(vec![entry], self.now);
        self.owner.assign(&self.listing, &self.members.owners(1), 0, self.now);
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now + Span::from_ms(ms);
    }

    /// Sends the poll that is due, if there is one, and responds to it.
    fn poll(&mut self, seen: &WorkerStatus, out: &mut Output) -> Option<SentPoll> {
        let (sent, result) = self.send_poll(seen)?;
        self.owner.handle_poll_result(result, &self.members, self.now, out);
        Some(sent)
    }

    fn send_poll(&mut self, seen: &WorkerStatus) -> Option<(SentPoll, PollResult)> {
        let mut polls = Output::default();
        self.owner.send_polls(self.now, &mut polls);
        self.sent_in(polls, seen)
    }

    fn tick(&mut self) -> Output {
        let mut out = Output::default();
        self.owner.tick(&self.listing, &self.members.owners(1), 0, self.now, &mut out);
        out
    }

    /// The same, after the time that fronts have to claim runs.
    fn poll_after_claims(&mut self, seen: &WorkerStatus, out: &mut Output) {
        self.wait(400);
        let ticked = self.tick();
        let (_, result) = self.sent_in(ticked, seen).expect("a poll");
        self.owner.handle_poll_result(result, &self.members, self.now, out);
    }

    fn sent_in(&self, polls: Output, seen: &WorkerStatus) -> Option<(SentPoll, PollResult)> {
        polls.commands.into_iter().find_map(|command| {
            let Command::Poll { worker, token, acked, lease, .. } = command else { return None };
            let response = PollResponse::Status(Box::new(seen.clone()));
            let result = PollResult { worker: worker.id, token, sent: self.now, response };
            Some((SentPoll { token, acked, lease: lease.map(|lease| lease.until) }, result))
        })
    }

    /// Starts a run; the token must be the worker's. Returns the run and the end of its lease.
    fn start(&mut self, task: u32, token: u64) -> (RunKey, Option<u64>) {
        let request = Start {
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
        let run = RunKey::from(request.run.as_ref().expect("a run"));
        let mut out = Output::default();
        self.owner.start(&front(), request, self.now, &mut out);
        let lease = out.commands.iter().find_map(|command| match command {
            Command::StartRun { number, lease, .. } => Some((*number, lease.until)),
            _ => None,
        });
        let lease = lease.map(|(number, lease)| {
            self.requests.push((run.clone(), number));
            lease
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
        let request = self.requests.iter().find(|(known, _)| known == run);
        let (_, number) = *request.expect("a start request");
        self.owner.handle_start_response_from(&worker, number, response, from, self.now, &mut out);
        out
    }

    /// Returns the token of the worker.
    fn token(&mut self) -> u64 {
        self.wait(3_000);
        let sent = self.poll(&status(FIRST, &[], &[]), &mut Output::default());
        sent.expect("a poll of an idle worker").token
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

/// Returns the ends of a run that were reported to the front.
fn reported_ends(out: &Output, run: &RunKey) -> Vec<How> {
    let reported_ends = |command: &Command| match command {
        Command::Send { to, message: Message::Ended(ended) } if *to == front() => {
            let same = ended.run.as_ref().map(RunKey::from).as_ref() == Some(run);
            same.then(|| ended.how())
        }
        _ => None,
    };
    out.commands.iter().filter_map(reported_ends).collect()
}

/// Returns whether a line with this name is logged.
fn logs(out: &Output, name: &str) -> bool {
    let is_line = |command: &Command| matches!(command, Command::Log(event) if <&'static str>::from(event) == name);
    out.commands.iter().any(is_line)
}

#[test]
fn restart_ends_active_runs_and_new_incarnation_resolves_starts_in_flight() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (running, _) = fixture.start(0, token);
    fixture.respond(&running, StartResponse::Started, Some((CLOCK, FIRST)));
    let (arrived, _) = fixture.start(1, token);
    let (missed, _) = fixture.start(2, token);
    let (ended, _) = fixture.start(3, token);
    let (unconfirmed, _) = fixture.start(4, token);
    fixture.respond(&unconfirmed, StartResponse::NoResponse, None);
    fixture.wait(20);
    let mut out = Output::default();
    let before = status(SECOND, &[&arrived], &[(1, &ended)]);
    assert_eq!(fixture.poll(&before, &mut out).expect("a poll").token, token);
    assert_eq!(reported_ends(&out, &running), [How::Crashed], "it ended with its incarnation");
    assert_eq!(reported_ends(&out, &ended), [How::Done], "it ran in the later incarnation");
    for run in [&arrived, &missed, &unconfirmed] {
        assert_eq!(reported_ends(&out, run), [], "not yet confirmed under the new token");
    }
    assert!(
        out.commands.iter().any(|command| matches!(
            command,
            Command::Log(LogEvent::IncarnationEnded { incarnation, runs: 5, .. }) if *incarnation == SECOND
        )),
        "the end of the incarnation is logged"
    );
    let mut out = Output::default();
    let sent = fixture.poll(&status(SECOND, &[&arrived], &[(1, &ended)]), &mut out);
    let sent = sent.expect("a poll with a new token is sent at once");
    assert!(sent.token > token && sent.acked == 0 && sent.lease.is_none(), "{sent:?}");
    assert_eq!(reported_ends(&out, &missed), [How::Lost]);
    assert_eq!(reported_ends(&out, &unconfirmed), [How::Lost]);
    assert_eq!(reported_ends(&out, &arrived), [], "it is running");
    // The response arrives after all; the run's end has the number 2 in the later incarnation.
    let out = fixture.respond(&arrived, StartResponse::Started, Some((60, SECOND)));
    assert_eq!(reported_ends(&out, &arrived), []);
    let mut out = Output::default();
    fixture.poll_after_claims(&status(SECOND, &[], &[(2, &arrived)]), &mut out);
    assert_eq!(reported_ends(&out, &arrived), [How::Done], "reported once");
}

#[test]
fn ends_are_not_dropped_when_numbering_restarts() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (first, _) = fixture.start(0, token);
    fixture.respond(&first, StartResponse::Started, Some((CLOCK, FIRST)));
    fixture.wait(20);
    fixture.poll(&status(FIRST, &[], &[(57, &first)]), &mut Output::default());
    fixture.wait(3_000);
    fixture.poll(&status(SECOND, &[], &[]), &mut Output::default());
    let sent = fixture.poll(&status(SECOND, &[], &[]), &mut Output::default()).expect("a poll");
    assert_eq!(sent.acked, 0);
    let (second, _) = fixture.start(1, sent.token);
    fixture.respond(&second, StartResponse::Started, Some((70, SECOND)));
    fixture.wait(20);
    let mut out = Output::default();
    fixture.poll(&status(SECOND, &[], &[(1, &second)]), &mut out);
    assert_eq!(reported_ends(&out, &second), [How::Done]);
}

#[test]
fn lease_uses_the_clock_of_the_current_incarnation() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (late, _) = fixture.start(0, token);
    fixture.poll(&status(SECOND, &[], &[]), &mut Output::default());
    let sent = fixture.poll(&status(SECOND, &[], &[]), &mut Output::default()).expect("a poll");
    // A response of the earlier incarnation arrives late, as does one without an incarnation.
    fixture.respond(&late, StartResponse::Started, Some((CLOCK, FIRST)));
    fixture.respond(&late, StartResponse::Started, Some((CLOCK, Incarnation::UNKNOWN)));
    let (_, lease) = fixture.start(1, sent.token);
    assert!(lease.expect("a start") <= 50 + LEASE.as_ms(), "{lease:?}");
}

#[test]
fn late_response_of_an_earlier_incarnation_is_ignored() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (run, _) = fixture.start(0, token);
    fixture.wait(20);
    // The poll is in flight while the response to the start request shows the later incarnation.
    let (_, late) = fixture.send_poll(&status(FIRST, &[], &[])).expect("a poll");
    fixture.respond(&run, StartResponse::Started, Some((40, SECOND)));
    let mut out = Output::default();
    fixture.owner.handle_poll_result(late, &fixture.members, fixture.now, &mut out);
    assert!(out.commands.is_empty(), "{:?}", out.commands);
    fixture.poll(&status(SECOND, &[&run], &[]), &mut out).expect("a poll of the later incarnation");
    assert_eq!(reported_ends(&out, &run), []);
}

#[test]
fn run_started_by_an_earlier_incarnation_has_ended() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (run, _) = fixture.start(0, token);
    fixture.wait(20);
    fixture.poll(&status(SECOND, &[], &[]), &mut Output::default());
    let out = fixture.respond(&run, StartResponse::Started, Some((CLOCK, FIRST)));
    assert_eq!(reported_ends(&out, &run), [How::Crashed], "it is not reported as never run");
}

#[test]
fn start_rejected_by_a_new_incarnation_does_not_drop_its_worker() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (run, _) = fixture.start(0, token);
    fixture.wait(20);
    fixture.poll(&status(SECOND, &[], &[]), &mut Output::default());
    let out = fixture.respond(&run, StartResponse::Fenced, Some((60, SECOND)));
    assert_eq!(reported_ends(&out, &run), [How::NoRoom], "it did not run");
    assert_eq!(fixture.owner.worker_counts().1, 1, "the worker is not dropped");
}

#[test]
fn run_is_not_blamed_for_a_restart_that_may_have_come_after_its_end() {
    struct Case {
        name: &'static str,
        /// Whether this instance ticks before it learns of the restart.
        ticks: bool,
        /// Time from the last status of the earlier incarnation to the first of the later one.
        silence: u64,
        how: How,
    }
    let cases = [
        Case { name: "a restart", ticks: true, silence: 240, how: How::Crashed },
        Case { name: "a pause of this instance", ticks: false, silence: 240, how: How::Lost },
        Case { name: "a restart after the lease", ticks: true, silence: 1_100, how: How::Lost },
    ];
    for Case { name, ticks, silence, how } in cases {
        let mut fixture = Fixture::new();
        let token = fixture.token();
        let (run, _) = fixture.start(0, token);
        fixture.respond(&run, StartResponse::Started, Some((CLOCK, FIRST)));
        let ticked = fixture.tick();
        let (_, result) = fixture.sent_in(ticked, &status(SECOND, &[], &[])).expect("a poll");
        for _ in 0..silence / 20 {
            fixture.wait(20);
            if ticks {
                fixture.tick();
            }
        }
        let mut out = Output::default();
        fixture.owner.handle_poll_result(result, &fixture.members, fixture.now, &mut out);
        assert_eq!(reported_ends(&out, &run), [how], "{name}");
    }
}

#[test]
fn newer_list_entry_triggers_a_poll() {
    for second in [SECOND, SET_BACK] {
        let mut fixture = Fixture::new();
        fixture.token();
        fixture.wait(100);
        assert!(fixture.send_poll(&status(FIRST, &[], &[])).is_none(), "no poll is due");
        let mut newer = listed("w", "a", 32_000);
        newer.incarnation = second;
        fixture.listing.replace(vec![newer], fixture.now);
        fixture.owner.update_listed(&fixture.listing);
        assert!(fixture.send_poll(&status(second, &[], &[])).is_some(), "{second:?}");
    }
}

#[test]
fn runs_of_an_incarnation_with_a_lower_start_time_are_kept() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (before, _) = fixture.start(0, token);
    fixture.respond(&before, StartResponse::Started, Some((CLOCK, FIRST)));
    fixture.wait(20);
    let mut out = Output::default();
    fixture.poll(&status(SET_BACK, &[], &[]), &mut out);
    assert_eq!(reported_ends(&out, &before), [How::Crashed], "it ended with its incarnation");
    let sent = fixture.poll(&status(SET_BACK, &[], &[]), &mut Output::default());
    let sent = sent.expect("a poll with a new token is sent at once");
    assert!(sent.token > token && sent.acked == 0, "{sent:?}");
    let (run, lease) = fixture.start(1, sent.token);
    assert!(lease.expect("a start") <= 50 + LEASE.as_ms(), "{lease:?}");
    let out = fixture.respond(&run, StartResponse::Started, Some((60, SET_BACK)));
    assert_eq!(reported_ends(&out, &run), [], "it is running");
    fixture.wait(20);
    let mut out = Output::default();
    fixture.poll(&status(SET_BACK, &[], &[(1, &run)]), &mut out);
    assert_eq!(reported_ends(&out, &run), [How::Done]);
}

#[test]
fn response_to_a_start_shows_a_restart_with_a_lower_start_time() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (running, _) = fixture.start(0, token);
    fixture.respond(&running, StartResponse::Started, Some((CLOCK, FIRST)));
    let (run, _) = fixture.start(1, token);
    fixture.wait(20);
    let (_, late) = fixture.send_poll(&status(FIRST, &[&running], &[])).expect("a poll");
    let mut out = fixture.respond(&run, StartResponse::Started, Some((40, SET_BACK)));
    assert_eq!(reported_ends(&out, &running), [How::Crashed], "it ended with its incarnation");
    fixture.owner.handle_poll_result(late, &fixture.members, fixture.now, &mut out);
    let sent = fixture.poll(&status(SET_BACK, &[&run], &[]), &mut out).expect("a poll");
    assert!(sent.token > token, "the delayed response is not of a later incarnation");
    assert_eq!(reported_ends(&out, &run), [], "it is running");
    fixture.poll_after_claims(&status(SET_BACK, &[], &[(1, &run)]), &mut out);
    assert_eq!(reported_ends(&out, &run), [How::Done]);
}

#[test]
fn run_started_before_a_restart_with_a_lower_start_time_has_ended() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (run, _) = fixture.start(0, token);
    fixture.wait(20);
    fixture.poll(&status(SET_BACK, &[], &[]), &mut Output::default());
    let out = fixture.respond(&run, StartResponse::Started, Some((CLOCK, FIRST)));
    assert_eq!(reported_ends(&out, &run), [How::Crashed], "it is not reported as never run");
}

#[test]
fn poll_settles_a_start_whose_incarnation_is_neither_the_first_nor_the_last() {
    struct Case {
        name: &'static str,
        seen: Incarnation,
        lists: bool,
        end: How,
    }
    let cases = [
        Case { name: "ended between both", seen: SECOND, lists: false, end: How::Lost },
        Case { name: "later than both", seen: THIRD, lists: true, end: How::Done },
    ];
    for Case { name, seen, lists, end } in cases {
        let mut fixture = Fixture::new();
        let token = fixture.token();
        let (run, _) = fixture.start(0, token);
        fixture.wait(20);
        fixture.poll(&status(SECOND, &[], &[]), &mut Output::default());
        let out = fixture.respond(&run, StartResponse::Started, Some((60, THIRD)));
        assert_eq!(reported_ends(&out, &run), [], "{name}: not known yet");
        let listed: Vec<&RunKey> = lists.then_some(&run).into_iter().collect();
        let mut out = Output::default();
        for _ in 0..2 {
            fixture.wait(1);
            fixture.poll(&status(seen, &listed, &[]), &mut out);
        }
        if lists {
            assert_eq!(reported_ends(&out, &run), [], "{name}: it is running");
            fixture.poll_after_claims(&status(seen, &[], &[(1, &run)]), &mut out);
        }
        assert_eq!(reported_ends(&out, &run), [end], "{name}");
    }
}

#[test]
fn jobs_complete_while_workers_restart() {
    struct Case {
        name: &'static str,
        fault: fn(&mut World),
    }
    let cases = [
        Case { name: "within one poll", fault: |world| world.restart_worker(0, 0, false) },
        Case {
            name: "twice",
            fault: |world| {
                world.restart_worker(0, 1, false);
                world.run_until(world.now + 3);
                world.restart_worker(0, 1, true);
            },
        },
        Case {
            name: "while cut off",
            fault: |world| {
                world.cut_worker(0, 1_500);
                world.restart_worker(0, 300, true);
            },
        },
        Case {
            name: "during a change of owner",
            fault: |world| {
                (0..2).for_each(|node| world.kill(node, true, 3_000));
                world.restart_worker(0, 50, true);
                world.restart_worker(1, 900, false);
            },
        },
        Case {
            name: "all at once",
            fault: |world| {
                (0..4).for_each(|worker| world.restart_worker(worker, 20, false));
            },
        },
    ];
    // Half of the seeds set back the time of day of the machines.
    for Case { name, fault } in cases {
        for seed in 0..40 {
            let mut world = World::new(seed, 1, 3, 4);
            let set_back = if seed < 20 { 0 } else { 500_000 };
            world.workers.iter_mut().for_each(|worker| worker.set_back = set_back);
            let long: Vec<usize> =
                (1..=4).map(|job| world.request(job, 3, 8_000, 700, false)).collect();
            world.run_until(world.now + 100 + seed * 7);
            let late = world.request(9, 4, 8_000, 100, false);
            world.run_until(world.now + seed % 8);
            fault(&mut world);
            world.run_until(world.now + WORKER_HEARTBEAT + 12_000);
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

#[test]
fn start_is_refused_while_the_entry_is_of_another_incarnation() {
    struct Case {
        name: &'static str,
        listed: Incarnation,
        responds: Incarnation,
        sent: bool,
    }
    let cases = [
        Case { name: "same incarnation", listed: FIRST, responds: FIRST, sent: true },
        Case { name: "restarted", listed: FIRST, responds: SECOND, sent: false },
        Case { name: "entry read before the answer", listed: SECOND, responds: FIRST, sent: false },
        Case { name: "both of the later one", listed: SECOND, responds: SECOND, sent: true },
        Case { name: "not listed", listed: Incarnation::UNKNOWN, responds: FIRST, sent: true },
    ];
    for Case { name, listed, responds, sent } in cases {
        let mut fixture = Fixture::new();
        fixture.wait(3_000);
        fixture.list(listed);
        let mut out = Output::default();
        let mut token = 0;
        while let Some(poll) = fixture.poll(&status(responds, &[], &[]), &mut out) {
            token = poll.token;
            fixture.wait(20);
        }
        let (_, lease) = fixture.start(0, token);
        assert_eq!(lease.is_some(), sent, "{name}");
        let outdated = fixture.tick();
        fixture.list(responds);
        let (_, lease) = fixture.start(1, token);
        assert!(lease.is_some(), "{name}: once the entry is read");
        fixture.wait(20);
        let current = fixture.tick();
        assert_eq!(logs(&outdated, "entry-outdated"), !sent, "{name}");
        assert_eq!(logs(&current, "entry-current"), !sent, "{name}");
    }
}

#[test]
fn start_that_is_not_sent_to_a_new_incarnation_shows_the_restart() {
    let mut fixture = Fixture::new();
    let token = fixture.token();
    let (run, _) = fixture.start(0, token);
    let out = fixture.respond(&run, StartResponse::Unsent, Some((50, SECOND)));
    assert_eq!(reported_ends(&out, &run), [How::NotStarted]);
    let sent = fixture.poll(&status(SECOND, &[], &[]), &mut Output::default());
    assert!(sent.expect("a poll at once").token > token, "it is opened again");
}
