//! Guards against second runs that leave no line in the log: each way to one is logged with what
//! was decided on.

mod common;

use std::sync::Arc;

use common::{kind_settings, listed, need};
use cranberryhatch_fleet::{
    Command, EndReport, Front, Incarnation, Job, LogEvent, Member, Members, Output, Owner,
    OwnerRequests, PollResponse, PollResult, PreviousRun, RUN_EXPIRY, RunEndCause, RunKey, Running,
    Scheduler, StartResponse, Step, StopCause, TaskKey, WorkerList, WorkerStatus,
};
use cranberryhatch_schema::fleet::{
    Ask, Ended, Grant, Held, How, Obeying, Place, Relinked, Room, Rooms, Run, Start, Takeover,
};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

const NOW: Time = Time::from_ms(20_000);
/// Longest time for which a front keeps an answered job with runs, in milliseconds.
const CLOSING_LIMIT: u64 = 15_000;
/// Names of the lines that this file is about.
const NAMES: [&str; 9] = [
    "run-missing",
    "unknown-run",
    "withheld",
    "superseded",
    "run-restarted",
    "run-expired",
    "resubmitted",
    "front-runs-stopped",
    "start-retried",
];

/// A decision and what is logged of it.
struct Case {
    name: &'static str,
    events: fn() -> Vec<LogEvent>,
    expected: Vec<LogEvent>,
}

fn check(cases: Vec<Case>) {
    for Case { name, events, expected } in cases {
        assert_eq!(events(), expected, "{name}");
    }
}

/// Returns the events of this file's names.
fn events(out: Output) -> Vec<LogEvent> {
    let events = out.commands.into_iter().filter_map(|command| match command {
        Command::Log(event) => Some(event).filter(|event| NAMES.contains(&event.into())),
        _ => None,
    });
    events.collect()
}

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn worker(name: &str) -> WorkerId {
    name.parse().expect("an id")
}

fn ms(ms: u64) -> Span {
    Span::from_ms(ms)
}

fn run() -> Run {
    Run { job: "j".to_owned(), step: 0, task: 0, run: 1 }
}

fn task() -> TaskKey {
    TaskKey { job: "j".to_owned(), step: 0, task: 0 }
}

/// Front `me`, whose job has one task.
struct FrontFixture {
    front: Front,
    out: Output,
}

impl FrontFixture {
    /// Creates a front whose run owner `o` has started on worker `w` under token 7.
    fn placed() -> Self {
        let front = Front::new(id("me"), "a".to_owned());
        let mut fixture = Self { front, out: Output::default() };
        fixture.front.set_scheduler(Some(id("s")), NOW, &mut fixture.out);
        fixture.submit(1, 0);
        fixture.grant("w", 0);
        fixture.out.commands.clear();
        fixture
    }

    fn submit(&mut self, ticket: u64, after: u64) {
        let job = Job {
            name: "j".to_owned(),
            settings: Arc::new(kind_settings()),
            payload: "x".into(),
            steps: vec![Step { tasks: 1, need: need(14_000), ..Step::default() }],
            arrived: NOW + ms(after),
            deadline: NOW + ms(60_000),
        };
        self.front.submit(ticket, job, NOW + ms(after), &mut self.out);
    }

    fn grant(&mut self, worker: &str, after: u64) {
        let (worker, owner) = (worker.to_owned(), "o".to_owned());
        let place = Place { worker, owner, run_ms: 100, token: 7, ..Place::default() };
        let grant = Grant { job: "j".to_owned(), step: 0, places: vec![place] };
        let now = NOW + ms(after);
        self.front.granted(&id("s"), grant, |_| Some(now), now, &mut self.out);
    }

    fn ended(&mut self, how: How, after: u64) {
        let (run, worker) = (Some(run()), "w".to_owned());
        let ended = Ended { run, worker, how: how.into(), took_ms: 9, ..Ended::default() };
        self.front.ended(&id("o"), &ended, NOW + ms(after), &mut self.out);
    }

    fn relinked(&mut self, ended: Vec<Ended>, after: u64) {
        let obeying = vec![Obeying { worker: "w".to_owned(), token: 7 }];
        let relinked = Relinked { running: Vec::new(), ended, obeying };
        self.front.owner_unreachable(&id("o"), &OwnerRequests::default(), NOW, &mut self.out);
        let now = NOW + ms(after);
        self.front.relinked(&id("o"), &relinked, NOW, now, &mut self.out);
    }

    fn takeover(&mut self, ended: Vec<Ended>, after: u64) {
        let worker = "w".to_owned();
        let found = Takeover { worker, running: Vec::new(), ended, token: 8, born_ms: 0 };
        let now = NOW + ms(after);
        self.front.takeover(&id("p"), &found, now, now, &mut self.out);
    }

    /// Lets the owner be silent until the run expires.
    fn expire(&mut self) {
        self.front.owner_unreachable(&id("o"), &OwnerRequests::default(), NOW, &mut self.out);
        self.front.tick(NOW + RUN_EXPIRY, &mut self.out);
    }

    /// Grants the task again on worker `v` after 2 s, and returns what was logged.
    fn granted_again(mut self) -> Vec<LogEvent> {
        self.grant("v", 2_000);
        events(self.out)
    }
}

/// Returns the end that an owner reports.
fn end(how: How) -> Ended {
    Ended {
        run: Some(run()),
        worker: "w".to_owned(),
        how: how.into(),
        took_ms: 9,
        ..Ended::default()
    }
}

/// Returns the earlier run, which counted as ended after some milliseconds.
fn previous(cause: RunEndCause, how: How, reporter: &str, after: u64) -> Box<PreviousRun> {
    Box::new(PreviousRun {
        start_number: 1,
        run: 1,
        worker: worker("w"),
        owner: id("o"),
        end: EndReport { cause, how, reporter: id(reporter), worker: "w".to_owned() },
        ended_at: NOW + ms(after),
    })
}

/// Returns the event of a second run, which is started after 2 s.
fn restarted(cause: RunEndCause, how: How, reporter: &str, after: u64) -> LogEvent {
    LogEvent::RunRestarted {
        run: RunKey { task: task(), run: 2 },
        worker: worker("v"),
        owner: id("o"),
        previous: previous(cause, how, reporter, after),
        since: ms(2_000 - after),
    }
}

fn retried(how: How, after: u64) -> LogEvent {
    LogEvent::StartRetried {
        run: RunKey { task: task(), run: 2 },
        worker: worker("v"),
        owner: id("o"),
        previous: previous(RunEndCause::Reported, how, "o", after),
        since: ms(2_000 - after),
    }
}

fn expired(silence: Option<Span>, closing: Option<Span>) -> LogEvent {
    LogEvent::RunExpired {
        run: RunKey::from(&run()),
        worker: worker("w"),
        owner: id("o"),
        silence,
        closing,
    }
}

#[test]
fn second_run_is_logged_with_the_end_of_the_first() {
    check(vec![
        Case {
            name: "first run",
            events: || {
                let mut fixture = FrontFixture::placed();
                fixture.ended(How::Done, 40);
                fixture.granted_again()
            },
            expected: Vec::new(),
        },
        Case {
            name: "its owner reported the end",
            events: || {
                let mut fixture = FrontFixture::placed();
                fixture.ended(How::Failed, 40);
                fixture.granted_again()
            },
            expected: vec![restarted(RunEndCause::Reported, How::Failed, "o", 40)],
        },
        Case {
            name: "listed as ended after a reconnect",
            events: || {
                let mut fixture = FrontFixture::placed();
                fixture.relinked(vec![end(How::Stalled)], 50);
                fixture.granted_again()
            },
            expected: vec![restarted(RunEndCause::ReconnectEnded, How::Stalled, "o", 50)],
        },
        Case {
            name: "not listed after a reconnect",
            events: || {
                let mut fixture = FrontFixture::placed();
                fixture.relinked(Vec::new(), 60);
                fixture.granted_again()
            },
            expected: vec![restarted(RunEndCause::ReconnectMissing, How::Stopped, "o", 60)],
        },
        Case {
            name: "found as ended by a new owner",
            events: || {
                let mut fixture = FrontFixture::placed();
                fixture.takeover(vec![end(How::Stopped)], 70);
                fixture.granted_again()
            },
            expected: vec![restarted(RunEndCause::TakeoverEnded, How::Stopped, "p", 70)],
        },
        Case {
            name: "not found by a new owner",
            events: || {
                let mut fixture = FrontFixture::placed();
                fixture.takeover(Vec::new(), 80);
                fixture.granted_again()
            },
            expected: vec![restarted(RunEndCause::TakeoverMissing, How::Stopped, "p", 80)],
        },
        Case {
            name: "its owner was silent for too long",
            events: || {
                let mut fixture = FrontFixture::placed();
                fixture.expire();
                fixture.granted_again()
            },
            expected: vec![
                expired(Some(RUN_EXPIRY), None),
                restarted(RunEndCause::Expired, How::Lost, "me", RUN_EXPIRY.as_ms()),
            ],
        },
        Case {
            name: "its start was refused",
            events: || {
                let mut fixture = FrontFixture::placed();
                fixture.ended(How::NoRoom, 90);
                fixture.granted_again()
            },
            expected: vec![retried(How::NoRoom, 90)],
        },
        Case {
            name: "it was not started",
            events: || {
                let mut fixture = FrontFixture::placed();
                fixture.ended(How::NotStarted, 90);
                fixture.granted_again()
            },
            expected: vec![retried(How::NotStarted, 90)],
        },
    ]);
}

#[test]
fn further_submission_is_logged_with_the_runs_of_the_first() {
    let resubmitted = |age, runs, closing| LogEvent::Resubmitted {
        job: "j".to_owned(),
        age: ms(age),
        runs,
        closing,
    };
    check(vec![
        Case {
            name: "at the same front",
            events: || {
                let mut fixture = FrontFixture::placed();
                fixture.submit(2, 1_300);
                events(fixture.out)
            },
            expected: vec![resubmitted(1_300, 1, None)],
        },
        Case {
            name: "at the same front, which is stopping the run",
            events: || {
                let mut fixture = FrontFixture::placed();
                fixture.front.caller_gone(1, NOW + ms(1_000), &mut fixture.out);
                fixture.submit(2, 1_300);
                events(fixture.out)
            },
            expected: vec![resubmitted(1_300, 1, Some(ms(300)))],
        },
        Case {
            name: "at the same front, which does not learn the end of the run",
            events: || {
                let mut fixture = FrontFixture::placed();
                fixture.front.caller_gone(1, NOW, &mut fixture.out);
                fixture.front.tick(NOW + ms(CLOSING_LIMIT), &mut fixture.out);
                fixture.submit(2, CLOSING_LIMIT);
                events(fixture.out)
            },
            expected: vec![expired(None, Some(ms(CLOSING_LIMIT)))],
        },
        Case {
            name: "at another front",
            events: || {
                let mut fixture = FrontFixture::placed();
                let by = id("e-2");
                fixture.front.superseded(
                    &id("s"),
                    "j",
                    &by,
                    ms(200),
                    NOW + ms(1_500),
                    &mut fixture.out,
                );
                events(fixture.out)
            },
            expected: vec![LogEvent::Superseded {
                job: "j".to_owned(),
                by: id("e-2"),
                age: ms(1_500),
                runs: 1,
            }],
        },
        Case {
            name: "at another front, before this one",
            events: || {
                let mut fixture = FrontFixture::placed();
                let by = id("e-2");
                fixture.front.superseded(
                    &id("s"),
                    "j",
                    &by,
                    ms(1_600),
                    NOW + ms(1_500),
                    &mut fixture.out,
                );
                events(fixture.out)
            },
            expected: Vec::new(),
        },
    ]);
}

/// Returns the request of a front that has accepted the job just now.
fn ask() -> Ask {
    Ask {
        job: "j".to_owned(),
        tasks: vec![0],
        kind: "k".to_owned(),
        service: "svc".to_owned(),
        need: Some((&need(14_000)).into()),
        declared_ms: 100,
        left_ms: 30_000,
        zone: "a".to_owned(),
        stretch: 1_600,
        slack_ms: 10_000,
        ..Ask::default()
    }
}

/// Returns what a scheduler logs of the request of a front. It knows a run of `e-1` if `held`.
fn requested(held: bool, front: &str, ask: Ask) -> Vec<LogEvent> {
    let mut scheduler = Scheduler::default();
    let mut list = WorkerList::default();
    list.replace(vec![listed("w", "a", 32_000)], NOW);
    let (run, need) = (Some(run()), Some((&need(14_000)).into()));
    let held =
        held.then(|| Held { run, need, left_ms: 3_000, front: "e-1".to_owned(), age_ms: None });
    let room = Room {
        worker: "w".to_owned(),
        token: 1,
        held: held.into_iter().collect(),
        open: true,
        ..Room::default()
    };
    let rooms = Rooms { rooms: vec![room], ..Rooms::default() };
    scheduler.update_workers(&id("o"), rooms, &list, NOW);
    let mut out = Output::default();
    scheduler.handle_ask(&id(front), ask, NOW, &mut out);
    events(out)
}

#[test]
fn withheld_task_is_logged_with_the_run_that_it_waits_for() {
    let withheld = |front: &str, earlier: Option<&str>, tasks| LogEvent::Withheld {
        task: task(),
        tasks,
        front: id(front),
        earlier: earlier.map(id),
        worker: Some(worker("w")),
    };
    check(vec![
        Case {
            name: "no other run",
            events: || requested(false, "e-2", ask()),
            expected: Vec::new(),
        },
        Case {
            name: "run of an earlier submission",
            events: || requested(true, "e-2", ask()),
            expected: vec![withheld("e-2", Some("e-1"), 1)],
        },
        Case {
            name: "run that its own front takes for ended",
            events: || requested(true, "e-1", Ask { begun: true, ..ask() }),
            expected: vec![withheld("e-1", None, 1)],
        },
    ]);
}

/// Starts a run for front `e-2`.
fn start(owner: &mut Owner, run: Run, token: u64) {
    let key = RunKey::from(&run);
    let request = Start {
        run: Some(run),
        worker: "w".to_owned(),
        service: "svc".to_owned(),
        need: Some((&need(14_000)).into()),
        run_ms: 100,
        kind: "k".to_owned(),
        token,
        seen_ms: NOW.as_ms(),
        ..Start::default()
    };
    let mut out = Output::default();
    owner.start(&id("e-2"), request, NOW, &mut out);
    let response = StartResponse::Started;
    owner.handle_start_response(&worker("w"), &key, response, None, NOW, &mut out);
}

/// Returns an owner with a run of front `e-2` on its worker.
fn owner_with_run() -> (Owner, Members, WorkerList) {
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
    let members = Members::new(me.clone());
    let mut list = WorkerList::default();
    list.replace(vec![listed("w", "a", 32_000)], NOW);
    let mut owner = Owner::new(me.id);
    owner.assign(&list, &members.owners(1), 0, NOW);
    let mut out = Output::default();
    owner.send_polls(NOW, &mut out);
    let token = out.commands.iter().find_map(|command| match command {
        Command::Poll { token, .. } => Some(*token),
        _ => None,
    });
    let token = token.expect("a poll");
    let status = WorkerStatus {
        clock: NOW.as_ms(),
        incarnation: Incarnation::UNKNOWN,
        ..WorkerStatus::default()
    };
    let response = PollResponse::Status(Box::new(status));
    let result = PollResult { worker: worker("w"), token, sent: NOW, response };
    owner.handle_poll_result(result, &members, NOW, &mut out);
    start(&mut owner, run(), token);
    assert_eq!(owner.run_count(), 1, "the start");
    (owner, members, list)
}

/// Returns what an owner logs of a front that does not confirm its runs 300 ms after a reconnect.
fn reconnected(front: &str) -> Vec<LogEvent> {
    let (mut owner, members, list) = owner_with_run();
    let mut out = Output::default();
    owner.front_link_lost(&id(front));
    owner.front_reconnected(&id(front), NOW, &mut out);
    owner.tick(&list, &members.owners(1), 0, NOW + ms(300), &mut out);
    events(out)
}

/// Returns what an owner logs of a front that is unreachable.
fn unreachable(front: &str) -> Vec<LogEvent> {
    let (mut owner, ..) = owner_with_run();
    let mut out = Output::default();
    owner.front_unreachable(&id(front), NOW, &mut out);
    events(out)
}

#[test]
fn stopped_runs_of_a_lost_front_are_logged_with_their_number_and_the_cause() {
    let stopped = |cause| LogEvent::FrontRunsStopped { front: id("e-2"), runs: 1, cause };
    check(vec![
        Case {
            name: "unreachable",
            events: || unreachable("e-2"),
            expected: vec![stopped(StopCause::Unreachable)],
        },
        Case {
            name: "unreachable, without runs",
            events: || unreachable("e-3"),
            expected: Vec::new(),
        },
        Case {
            name: "not confirmed after a reconnect",
            events: || reconnected("e-2"),
            expected: vec![stopped(StopCause::Unconfirmed)],
        },
        Case { name: "back, without runs", events: || reconnected("e-3"), expected: Vec::new() },
    ]);
}

/// Returns what an owner of two runs logs when its worker lists the second one and these, at
/// intervals of 10 ms.
fn listed_runs(lists: &[&[Run]]) -> Vec<LogEvent> {
    let (mut owner, members, _) = owner_with_run();
    let mut out = Output::default();
    let second = Run { task: 2, ..run() };
    let mut token = 0;
    for (running, number) in lists.iter().zip(1..) {
        let sent = NOW + ms(10 * number);
        let mut polls = Output::default();
        owner.send_polls(sent, &mut polls);
        for command in &polls.commands {
            if let Command::Poll { token: known, .. } = command {
                token = *known;
            }
        }
        if number == 1 {
            start(&mut owner, second.clone(), token);
        }
        let running = running.iter().chain([&second]);
        let running = running.map(|run| Running { run: RunKey::from(run), percent: 0 });
        let status = WorkerStatus {
            clock: sent.as_ms(),
            incarnation: Incarnation::UNKNOWN,
            running: running.collect(),
            ended: Vec::new(),
        };
        let response = PollResponse::Status(Box::new(status));
        let result = PollResult { worker: worker("w"), token, sent, response };
        owner.handle_poll_result(result, &members, sent + ms(2), &mut out);
    }
    events(out)
}

#[test]
fn run_that_its_worker_does_not_list_is_logged_and_so_is_one_that_nobody_knows() {
    let other = || Run { task: 1, ..run() };
    let unknown = |run: &Run, ended| LogEvent::UnknownRun {
        run: RunKey::from(run),
        worker: worker("w"),
        polled: ms(2),
        ended,
    };
    let missing = LogEvent::RunMissing {
        run: RunKey::from(&run()),
        worker: worker("w"),
        how: How::Stopped,
        confirmed: ms(12),
        polled: ms(2),
        lead: ms(10),
        front: Some(id("e-2")),
    };
    check(vec![
        Case {
            name: "listed",
            events: || listed_runs(&[&[run()], &[run()]]),
            expected: Vec::new(),
        },
        Case {
            name: "not listed",
            events: || listed_runs(&[&[]]),
            expected: vec![missing.clone()],
        },
        Case {
            name: "listed again",
            events: || listed_runs(&[&[], &[run()]]),
            expected: vec![missing, unknown(&run(), Some((How::Stopped, ms(10))))],
        },
        Case {
            name: "never started",
            events: || listed_runs(&[&[run(), Run { task: 1, ..run() }]]),
            expected: vec![unknown(&other(), None)],
        },
    ]);
}
