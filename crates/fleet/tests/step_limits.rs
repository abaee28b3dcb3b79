//! Guards against owners that carry out a grant beyond the limit of its step on a worker, or on a
//! worker without the label that the step requires.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, End, Incarnation, ListedWorker, LogEvent, Member, Members, Output, Owner,
    PollResponse, PollResult, RunEnd, RunKey, Running, StartRefusal, StartResponse, WorkerList,
    WorkerStatus,
};
use cranberryhatch_schema::fleet::{Claim, Run, Start, Stop};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

const NOW: Time = Time::from_ms(20_000);
/// Age of a heartbeat with which a start beside a full lease is deferred.
const OLD: Span = Span::from_ms(400);
/// A label that the worker has, and one that it does not have.
const LABEL: &str = "a";
const OTHER_LABEL: &str = "b";

/// An owner of one worker.
struct Fixture {
    owner: Owner,
    members: Members,
    listing: WorkerList,
    token: u64,
}

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn worker() -> WorkerId {
    "w".parse().expect("an id")
}

fn run(job: &str, step: u32, task: u32) -> Run {
    Run { job: job.to_owned(), step, task, run: 1 }
}

impl Fixture {
    /// Creates an owner that opens its worker, on which it finds these runs.
    fn new(found: &[Run]) -> Self {
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
        owner.assign(&listing, &members.owners(1), 0, NOW);
        let mut fixture = Self { owner, members, listing, token: 0 };
        fixture.poll(found, Vec::new(), NOW);
        // No front claims what was found, so it is stopped.
        let claim = Claim { worker: "w".to_owned(), runs: Vec::new() };
        fixture.owner.handle_claim(&id("e-1"), &claim, NOW, &mut Output::default());
        fixture
    }

    /// Answers the poll that is due with these runs and ends.
    fn poll(&mut self, running: &[Run], ended: Vec<End>, now: Time) {
        let mut out = Output::default();
        self.owner.send_polls(now, &mut out);
        let token = |command: &Command| match command {
            Command::Poll { token, .. } => Some(*token),
            _ => None,
        };
        self.token = out.commands.iter().find_map(token).expect("a poll");
        let running = running.iter().map(|run| Running { run: RunKey::from(run), percent: 0 });
        let status = WorkerStatus {
            clock: now.as_ms(),
            incarnation: Incarnation::UNKNOWN,
            running: running.collect(),
            ended,
        };
        let response = PollResponse::Status(Box::new(status));
        let result = PollResult { worker: worker(), token: self.token, sent: now, response };
        self.owner.handle_poll_result(result, &self.members, now, &mut out);
    }

    /// Requests the start of a run of a step that allows one task on a worker.
    fn start(&mut self, run: Run) -> Result<usize, StartRefusal> {
        self.request(Start { spread: 1, ..self.request_of(run) })
    }

    fn request_of(&self, run: Run) -> Start {
        Start {
            run: Some(run),
            worker: "w".to_owned(),
            service: "svc".to_owned(),
            need: Some((&need(1_000)).into()),
            run_ms: 100,
            kind: "k".to_owned(),
            token: self.token,
            seen_ms: NOW.as_ms(),
            ..Start::default()
        }
    }

    /// Returns the number of start requests that the worker gets, or why the start is refused.
    fn request(&mut self, start: Start) -> Result<usize, StartRefusal> {
        let mut out = Output::default();
        self.owner.start(&id("e-2"), start, NOW, &mut out);
        outcome(&out)
    }

    fn respond(&mut self, run: &Run, response: StartResponse) {
        let run = RunKey::from(run);
        let mut out = Output::default();
        self.owner.handle_start_response(&worker(), &run, response, None, NOW, &mut out);
    }

    fn relabel(&mut self, label: &str) {
        let entry = ListedWorker { labels: vec![label.to_owned()], ..listed("w", "a", 32_000) };
        self.listing.replace(vec![entry], NOW);
        self.owner.update_listed(&self.listing);
    }
}

fn outcome(out: &Output) -> Result<usize, StartRefusal> {
    let mut starts = 0;
    for command in &out.commands {
        match command {
            Command::StartRun { .. } => starts += 1,
            Command::Log(LogEvent::StartRefused { cause, .. }) => return Err(*cause),
            _ => {}
        }
    }
    Ok(starts)
}

// Guards against runs that an owner leaves out when it counts the tasks of a step on a worker.
#[test]
fn owner_counts_all_runs_of_a_step() {
    struct Case {
        name: &'static str,
        found: Vec<Run>,
        prepare: fn(&mut Fixture),
        result: Result<usize, StartRefusal>,
    }
    let none = |_: &mut Fixture| {};
    let cases = [
        Case { name: "an idle worker", found: Vec::new(), prepare: none, result: Ok(1) },
        Case {
            name: "another task of the step whose start has no response yet",
            found: Vec::new(),
            prepare: |fixture| assert_eq!(fixture.start(run("j", 0, 1)), Ok(1)),
            result: Err(StartRefusal::Spread),
        },
        Case {
            name: "a start without a response, which may still be carried out",
            found: Vec::new(),
            prepare: |fixture| {
                assert_eq!(fixture.start(run("j", 0, 1)), Ok(1));
                fixture.respond(&run("j", 0, 1), StartResponse::NoResponse);
            },
            result: Err(StartRefusal::Spread),
        },
        Case {
            name: "a run that is being stopped",
            found: Vec::new(),
            prepare: |fixture| {
                assert_eq!(fixture.start(run("j", 0, 1)), Ok(1));
                fixture.respond(&run("j", 0, 1), StartResponse::Started);
                let (run, worker) = (Some(run("j", 0, 1)), "w".to_owned());
                let stop = Stop { run, worker, ..Stop::default() };
                fixture.owner.stop(&id("e-2"), &stop, NOW, &mut Output::default());
            },
            result: Err(StartRefusal::Spread),
        },
        Case {
            name: "a deferred start",
            found: Vec::new(),
            prepare: |fixture| {
                assert_eq!(fixture.start(run("i", 0, 0)), Ok(1));
                let start = fixture.request_of(run("j", 0, 1));
                let seen_ms = (NOW - OLD).as_ms();
                assert_eq!(fixture.request(Start { seen_ms, spread: 1, ..start }), Ok(0));
            },
            result: Err(StartRefusal::Spread),
        },
        Case {
            name: "a run that this owner has found",
            found: vec![run("j", 0, 1)],
            prepare: none,
            result: Err(StartRefusal::Spread),
        },
        Case {
            name: "a run that has ended",
            found: vec![run("j", 0, 1)],
            prepare: |fixture| {
                let run = RunKey::from(&run("j", 0, 1));
                let end = End { number: 1, run, how: RunEnd::Stopped };
                fixture.poll(&[], vec![end], NOW + Span::from_ms(300));
            },
            result: Ok(1),
        },
        Case {
            name: "another step of the job, and another job",
            found: Vec::new(),
            prepare: |fixture| {
                assert_eq!(fixture.start(run("j", 1, 1)), Ok(1));
                assert_eq!(fixture.start(run("i", 0, 1)), Ok(1));
            },
            result: Ok(1),
        },
    ];
    for Case { name, found, prepare, result } in cases {
        let mut fixture = Fixture::new(&found);
        prepare(&mut fixture);
        assert_eq!(fixture.start(run("j", 0, 0)), result, "{name}");
    }
}

// Guards against limits other than that of the step, and against refusals of earlier versions' starts.
#[test]
fn step_runs_as_many_tasks_on_a_worker_as_it_allows() {
    for limit in [0_u32, 1, 2, 3] {
        let mut fixture = Fixture::new(&[]);
        let mut started = 0;
        for task in 0..5 {
            let start = fixture.request_of(run("j", 0, task));
            started += fixture.request(Start { spread: limit, ..start }).unwrap_or(0);
        }
        let expected = if limit == 0 { 5 } else { limit as usize };
        assert_eq!(started, expected, "limit {limit}");
    }
}

// Guards against a start on a worker that lost the required label after it was granted.
#[test]
fn owner_checks_the_label_by_the_current_entry() {
    let mut fixture = Fixture::new(&[]);
    let start = |fixture: &Fixture, task| {
        let start = fixture.request_of(run("j", 0, task));
        Start { label: LABEL.to_owned(), ..start }
    };
    let first = start(&fixture, 0);
    assert_eq!(fixture.request(first), Ok(1), "the worker has the label");
    let deferred = start(&fixture, 1);
    let seen_ms = (NOW - OLD).as_ms();
    assert_eq!(fixture.request(Start { seen_ms, ..deferred }), Ok(0), "it waits for an echo");
    fixture.relabel(OTHER_LABEL);
    let second = start(&fixture, 2);
    assert_eq!(fixture.request(second), Err(StartRefusal::Label));
    let mut out = Output::default();
    fixture.owner.heartbeat_seen(&id("e-2"), NOW, NOW);
    fixture.owner.retry_deferred_starts(NOW, &mut out);
    assert_eq!(outcome(&out), Err(StartRefusal::Label), "the deferred start");
    fixture.relabel(LABEL);
    let third = start(&fixture, 3);
    assert_eq!(fixture.request(third), Ok(1), "the label is back");
}
