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
        let response = status(self.now.as_ms(), runs, ended);
        let result = self.send_poll(&response).expect("a poll");
        self.read(result, out);
    }

    /// Starts the run for a front and returns the number of the request.
    fn start(&mut self, front: &str) -> u64 {
        let request = Start {
            run: Some((&run()).into()),
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

    fn respond(&mut self, number: u64, response: StartResponse, out: &mut Output) {
        self.owner.handle_start_response_from(&worker(), number, response, None, self.now, out);
    }
}

fn status(clock: u64, runs: &[RunKey], ended: Option<RunEnd>) -> PollResponse {
    let running = runs.iter().map(|run| Running { run: run.clone(), percent: 0 }).collect();
    let ended = ended.into_iter().map(|how| End { number: 1, run: run(), how }).collect();
    let incarnation = Incarnation::UNKNOWN;
    PollResponse::Status(Box::new(WorkerStatus { clock, incarnation, running, ended }))
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
        fixture.wait(Span::from_ms(10));
        let mut out = Output::default();
        fixture.poll(&[], Some(RunEnd::Stopped), &mut out);
        assert_eq!(ends(&out), [(id(EARLIER), How::Stopped)], "{response}: the earlier run");
        fixture.start(LATER);
        let mut out = Output::default();
        fixture.respond(earlier, response, &mut out);
        fixture.wait(Span::from_ms(10));
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
        fixture.wait(Span::from_ms(10));
        let fenced = fixture.send_poll(&PollResponse::Fenced).expect("a poll");
        fixture.read(fenced, &mut Output::default());
        fixture.wait(BACKOFF);
        fixture.open();
        let later = fixture.start(LATER);
        let mut out = Output::default();
        fixture.respond(later, response, &mut out);
        fixture.wait(Span::from_ms(10));
        if response == StartResponse::Started {
            fixture.poll(&[], None, &mut out);
        }
        assert_eq!(ends(&out), expected, "{response}");
        let mut out = Output::default();
        fixture.respond(earlier, StartResponse::Fenced, &mut out);
        assert_eq!(ends(&out), [(id(EARLIER), How::NoRoom)], "{response}: the earlier start");
    }
}
