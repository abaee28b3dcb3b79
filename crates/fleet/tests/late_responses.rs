//! Guards against a response that is taken for the response to another request of the same worker:
//! equal runs of several submissions, restarts of workers and polls of one millisecond are told
//! apart by numbers, not by names or times.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, End, Incarnation, Member, Members, Message, Output, Owner, PollResponse, PollResult,
    RunEnd, RunKey, Running, StartResponse, WorkerList, WorkerStatus,
};
use cranberryhatch_schema::fleet::{How, Run, Start};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

const START: Time = Time::from_ms(20_000);
/// Front of the earlier submission.
const EARLIER: &str = "e-2";
/// Front of the later submission.
const LATER: &str = "e-3";
/// Time after which an owner may take back a worker that another one has fenced.
const BACKOFF: Span = Span::from_ms(2_100);

/// Time between two steps of a test.
const STEP: Span = Span::from_ms(10);

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn worker() -> WorkerId {
    "w".parse().expect("an id")
}

/// The run of which both fronts have one of their own.
fn run() -> RunKey {
    RunKey::from(&Run { job: "j".to_owned(), step: 0, task: 0, run: 1 })
}

/// An owner of one worker whose clock shows the same time.
struct Fixture {
    owner: Owner,
    members: Members,
    listing: WorkerList,
    token: u64,
    now: Time,
}

impl Fixture {
    /// Creates an owner that has opened its worker.
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
        let members = Members::new(me.clone());
        let mut listing = WorkerList::default();
        listing.replace(vec![listed("w", "a", 32_000)], START);
        let owner = Owner::new(me.id);
        let mut fixture = Self { owner, members, listing, token: 0, now: START };
        fixture.open();
        fixture
    }

    fn open(&mut self) {
        let owners = self.members.owners(1);
        self.owner.assign(&self.listing, &owners, 0, self.now);
        self.poll(&[], None, &mut Output::default());
    }

    fn wait(&mut self, span: Span) {
        self.now = self.now + span;
    }

    /// Sends the poll that is due and returns its result with this response.
    fn send_poll(&mut self, response: &PollResponse) -> Option<PollResult> {
        let mut polls = Output::default();
        self.owner.send_polls(self.now, &mut polls);
        polls.commands.into_iter().find_map(|command| match command {
            Command::Poll { token, .. } => {
                self.token = token;
                let response = response.clone();
                Some(PollResult { worker: worker(), token, sent: self.now, response })
            }
            _ => None,
        })
    }

    fn read(&mut self, result: PollResult, out: &mut Output) {
        self.owner.handle_poll_result(result, &self.members, self.now, out);
    }

    /// Polls the worker, which reports these runs and perhaps the end of one.
    fn poll(&mut self, runs: &[RunKey], ended: Option<RunEnd>, out: &mut Output) {
        self.poll_as(Incarnation::UNKNOWN, self.now.as_ms(), runs, ended, out);
    }

    /// Polls an incarnation of the worker with this clock.
    fn poll_as(
        &mut self,
        incarnation: Incarnation,
        clock: u64,
        runs: &[RunKey],
        ended: Option<RunEnd>,
        out: &mut Output,
    ) {
        let result = self.send_poll(&status(incarnation, clock, runs, ended)).expect("a poll");
        self.read(result, out);
    }

    fn tick(&mut self, out: &mut Output) {
        let owners = self.members.owners(1);
        self.owner.tick(&self.listing, &owners, 0, self.now, out);
    }

    /// Starts the run for a front and returns the number of the request.
    fn start(&mut self, front: &str) -> u64 {
        self.start_task(0, front)
    }

    fn start_task(&mut self, task: u32, front: &str) -> u64 {
        let request = Start {
            run: Some(Run { task, ..Run::from(&run()) }),
            worker: "w".to_owned(),
            service: "svc".to_owned(),
            need: Some((&need(14_000)).into()),
            run_ms: 5_000,
            kind: "k".to_owned(),
            token: self.token,
            seen_ms: self.now.as_ms(),
            ..Start::default()
        };
        let mut out = Output::default();
        self.owner.start(&id(front), request, self.now, &mut out);
        let number = out.commands.iter().find_map(|command| match command {
            Command::StartRun { number, .. } => Some(*number),
            _ => None,
        });
        number.expect("a start request")
    }

    /// Starts the run for a front without a response, and returns the number of the request that
    /// stops it once a poll does not list it.
    fn start_unanswered(&mut self, front: &str, incarnation: Incarnation) -> u64 {
        let number = self.start(front);
        self.respond(number, StartResponse::NoResponse, &mut Output::default());
        self.wait(STEP);
        let mut out = Output::default();
        self.poll_as(incarnation, self.now.as_ms(), &[], None, &mut out);
        stop(&out).expect("a stop request")
    }

    fn accept_stop(&mut self, number: u64, out: &mut Output) {
        self.owner.handle_stop_response_to(&worker(), &run(), number, true, self.now, out);
    }

    fn respond(&mut self, number: u64, response: StartResponse, out: &mut Output) {
        self.owner.handle_start_response_from(&worker(), number, response, None, self.now, out);
    }
}

fn status(
    incarnation: Incarnation,
    clock: u64,
    runs: &[RunKey],
    ended: Option<RunEnd>,
) -> PollResponse {
    let running = runs.iter().map(|run| Running { run: run.clone(), percent: 0 }).collect();
    let ended = ended.into_iter().map(|how| End { number: 1, run: run(), how }).collect();
    PollResponse::Status(Box::new(WorkerStatus { clock, incarnation, running, ended }))
}

/// Returns the number of the last stop request.
fn stop(out: &Output) -> Option<u64> {
    out.commands.iter().rev().find_map(|command| match command {
        Command::StopRun { number, .. } => Some(*number),
        _ => None,
    })
}

/// Returns the ends that were reported to fronts.
fn ends(out: &Output) -> Vec<(InstanceId, How)> {
    let end = |command: &Command| match command {
        Command::Send { to, message: Message::Ended(ended) } => Some((to.clone(), ended.how())),
        _ => None,
    };
    out.commands.iter().filter_map(end).collect()
}

#[test]
fn late_response_to_a_start_does_not_resolve_an_equal_run_of_a_later_submission() {
    let responses = [
        StartResponse::Started,
        StartResponse::NoRoom,
        StartResponse::Superseded,
        StartResponse::NotStarted,
        StartResponse::Invalid,
        StartResponse::Fenced,
        StartResponse::OtherIncarnation,
        StartResponse::Unsent,
        StartResponse::NoResponse,
    ];
    for response in responses {
        let mut fixture = Fixture::new();
        let earlier = fixture.start(EARLIER);
        fixture.wait(STEP);
        let mut out = Output::default();
        fixture.poll(&[], Some(RunEnd::Stopped), &mut out);
        assert_eq!(ends(&out), [(id(EARLIER), How::Stopped)], "{response}: the earlier run");
        fixture.start(LATER);
        let mut out = Output::default();
        fixture.respond(earlier, response, &mut out);
        fixture.wait(STEP);
        fixture.poll(&[], None, &mut out);
        assert_eq!(ends(&out), [], "{response}: the later start may still be carried out");
        assert_eq!(fixture.owner.run_count(), 1, "{response}: the later run");
    }
}

#[test]
fn response_to_a_start_on_a_worker_that_was_taken_back_is_not_lost() {
    struct Case {
        response: StartResponse,
        /// Ends that are reported once the worker has been polled again.
        ends: Vec<(InstanceId, How)>,
    }
    let cases = [
        Case { response: StartResponse::NoRoom, ends: vec![(id(LATER), How::NoRoom)] },
        Case { response: StartResponse::NotStarted, ends: vec![(id(LATER), How::NotStarted)] },
        Case { response: StartResponse::Started, ends: vec![(id(LATER), How::Stopped)] },
    ];
    for Case { response, ends: expected } in cases {
        let mut fixture = Fixture::new();
        let earlier = fixture.start(EARLIER);
        fixture.wait(STEP);
        let fenced = fixture.send_poll(&PollResponse::Fenced).expect("a poll");
        fixture.read(fenced, &mut Output::default());
        fixture.wait(BACKOFF);
        fixture.open();
        let later = fixture.start(LATER);
        let mut out = Output::default();
        fixture.respond(later, response, &mut out);
        fixture.wait(STEP);
        if response == StartResponse::Started {
            fixture.poll(&[], None, &mut out);
        }
        assert_eq!(ends(&out), expected, "{response}");
        let mut out = Output::default();
        fixture.respond(earlier, StartResponse::Fenced, &mut out);
        assert_eq!(ends(&out), [(id(EARLIER), How::NoRoom)], "{response}: the earlier start");
    }
}

#[test]
fn late_response_to_a_stop_does_not_resolve_another_start() {
    struct Case {
        name: &'static str,
        /// Whether the worker restarts, as its clock shows; otherwise the run ends and a later
        /// submission starts an equal one.
        restarts: bool,
        /// End once the later stop is accepted.
        end: (InstanceId, How),
    }
    let cases = [
        Case { name: "restart", restarts: true, end: (id(EARLIER), How::Stopped) },
        Case { name: "equal run", restarts: false, end: (id(LATER), How::Unanswered) },
    ];
    for Case { name, restarts, end } in cases {
        let mut fixture = Fixture::new();
        let first = fixture.start_unanswered(EARLIER, Incarnation::UNKNOWN);
        fixture.wait(STEP);
        let second = if restarts {
            let mut out = Output::default();
            fixture.poll_as(Incarnation::UNKNOWN, 50, &[], None, &mut out);
            stop(&out).expect("a stop for the new incarnation")
        } else {
            fixture.poll(&[], Some(RunEnd::Stopped), &mut Output::default());
            fixture.start_unanswered(LATER, Incarnation::UNKNOWN)
        };
        let clock = |fixture: &Fixture| if restarts { 100 } else { fixture.now.as_ms() };
        let mut out = Output::default();
        fixture.accept_stop(first, &mut out);
        fixture.wait(STEP);
        let now = clock(&fixture);
        fixture.poll_as(Incarnation::UNKNOWN, now, &[], None, &mut out);
        assert_eq!(ends(&out), [], "{name}: the start may still be carried out");
        fixture.accept_stop(second, &mut out);
        fixture.wait(STEP);
        let now = clock(&fixture) + 1;
        fixture.poll_as(Incarnation::UNKNOWN, now, &[], None, &mut out);
        assert_eq!(ends(&out), [end], "{name}");
    }
}

#[test]
fn stop_that_an_earlier_incarnation_accepted_does_not_end_a_start_that_the_next_may_carry_out() {
    for read_after in [false, true] {
        let mut fixture = Fixture::new();
        let stop = fixture.start_unanswered(EARLIER, Incarnation::new(1));
        let mut out = Output::default();
        if !read_after {
            fixture.accept_stop(stop, &mut out);
        }
        let restarted = fixture.now;
        fixture.wait(STEP);
        fixture.poll_as(Incarnation::new(2), 50, &[], None, &mut out);
        if read_after {
            fixture.accept_stop(stop, &mut out);
        }
        fixture.wait(STEP);
        let lost = fixture.send_poll(&PollResponse::NoResponse).expect("a poll");
        fixture.read(lost, &mut out);
        fixture.now = restarted + Span::from_ms(2_000);
        fixture.tick(&mut out);
        assert_eq!(ends(&out), [], "read after the restart: {read_after}");
        fixture.now = restarted + Span::from_secs(14);
        fixture.tick(&mut out);
        assert_eq!(ends(&out), [(id(EARLIER), How::Lost)], "no request takes effect that late");
    }
}

#[test]
fn response_to_a_poll_is_not_taken_for_one_to_another_poll_of_the_same_millisecond() {
    struct Case {
        name: &'static str,
        /// Makes the owner forget its pending poll after a run was seen.
        forget: fn(&mut Fixture),
        incarnation: Incarnation,
        /// Clock of a status that was read before the run started, relative to that of the owner.
        clock: fn(u64) -> u64,
    }
    let cases = [
        Case {
            name: "a later incarnation is listed",
            forget: |fixture| {
                let mut worker = listed("w", "a", 32_000);
                worker.incarnation = Incarnation::new(2);
                fixture.listing.replace(vec![worker], fixture.now);
                fixture.owner.update_listed(&fixture.listing);
            },
            incarnation: Incarnation::new(1),
            clock: |now| now,
        },
        Case {
            name: "a start response shows a restart",
            forget: |fixture| {
                let number = fixture.start_task(1, EARLIER);
                let from = Some((50, Incarnation::UNKNOWN));
                let (response, mut out) = (StartResponse::Started, Output::default());
                fixture.owner.handle_start_response_from(
                    &worker(),
                    number,
                    response,
                    from,
                    fixture.now,
                    &mut out,
                );
            },
            incarnation: Incarnation::UNKNOWN,
            clock: |_| 49,
        },
    ];
    for Case { name, forget, incarnation, clock } in cases {
        let mut fixture = Fixture::new();
        let mut out = Output::default();
        fixture.wait(STEP);
        let known = fixture.now.as_ms();
        let number = fixture.start(EARLIER);
        fixture.poll_as(incarnation, known, &[], None, &mut out);
        fixture.wait(STEP);
        let read_before = status(incarnation, clock(fixture.now.as_ms()), &[], None);
        let earlier = fixture.send_poll(&read_before).expect("a poll");
        fixture.respond(number, StartResponse::Started, &mut out);
        forget(&mut fixture);
        fixture.send_poll(&read_before);
        fixture.read(earlier, &mut out);
        assert_eq!(ends(&out), [], "{name}: the response is to a poll that was forgotten");
        fixture.wait(STEP);
        assert!(fixture.send_poll(&read_before).is_some(), "{name}: another poll");
    }
}
