//! Guards against a stop request that ends a run which may still start or is being stopped: its
//! response counts for a later incarnation of the worker, or the status is older than it.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, Incarnation, Member, Members, Message, Output, Owner, PollResponse, PollResult,
    RunKey, StartResponse, WorkerList, WorkerStatus,
};
use cranberryhatch_schema::fleet::{How, Run, Start};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

const START: Time = Time::from_ms(10_000);
/// Clock of the worker's first incarnation; that of the second one starts at 0.
const CLOCK: u64 = 5_000_000;

fn front() -> InstanceId {
    "e-2".parse().expect("a name")
}

/// An owner of one worker that does not report its incarnation.
struct Fixture {
    owner: Owner,
    members: Members,
    worker: WorkerId,
    now: Time,
}

impl Fixture {
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
        Self { owner, members, worker: "w".parse().expect("an id"), now: START }
    }

    /// Sends the poll that is due and responds with an empty status; returns the poll's token.
    fn poll(&mut self, clock: u64, out: &mut Output) -> u64 {
        let (token, sent) = self.send_poll();
        self.respond(token, sent, clock, out);
        token
    }

    /// Sends the poll that is due; returns its token and the time.
    fn send_poll(&mut self) -> (u64, Time) {
        self.now = self.now + Span::from_ms(2);
        let mut polls = Output::default();
        self.owner.send_polls(self.now, &mut polls);
        let token = polls.commands.iter().find_map(|command| match command {
            Command::Poll { token, .. } => Some(*token),
            _ => None,
        });
        (token.expect("a poll"), self.now)
    }

    /// Responds to a poll with an empty status.
    fn respond(&mut self, token: u64, sent: Time, clock: u64, out: &mut Output) {
        let (running, ended) = (Vec::new(), Vec::new());
        let status = WorkerStatus { clock, incarnation: Incarnation::UNKNOWN, running, ended };
        let response = PollResponse::Status(Box::new(status));
        let result = PollResult { worker: self.worker.clone(), token, sent, response };
        self.owner.handle_poll_result(result, &self.members, self.now, out);
    }

    /// Starts a run whose start request gets no response.
    fn start(&mut self, token: u64, out: &mut Output) -> RunKey {
        let run = Run { job: "j".to_owned(), step: 0, task: 0, run: 1 };
        let key = RunKey::from(&run);
        let request = Start {
            run: Some(run),
            worker: "w".to_owned(),
            service: "svc".to_owned(),
            need: Some((&need(4_000)).into()),
            run_ms: 100,
            kind: "k".to_owned(),
            token,
            seen_ms: self.now.as_ms(),
            ..Start::default()
        };
        self.owner.start(&front(), request, self.now, out);
        let (worker, response) = (self.worker.clone(), StartResponse::NoResponse);
        self.owner.handle_start_response(&worker, &key, response, None, self.now, out);
        key
    }

    /// Responds to the stop request with this number, which the worker has accepted.
    fn accept_stop(&mut self, run: &RunKey, number: u64, out: &mut Output) {
        let worker = self.worker.clone();
        self.owner.handle_stop_response_to(&worker, run, number, true, self.now, out);
    }
}

/// Returns the numbers of the stop requests.
fn stops(out: &Output) -> Vec<u64> {
    let number = |command: &Command| match command {
        Command::StopRun { number, .. } => Some(*number),
        _ => None,
    };
    out.commands.iter().filter_map(number).collect()
}

fn ends(out: &Output) -> Vec<How> {
    let how = |command: &Command| match command {
        Command::Send { message: Message::Ended(ended), .. } => Some(ended.how()),
        _ => None,
    };
    out.commands.iter().filter_map(how).collect()
}

#[test]
fn stop_accepted_before_a_restart_does_not_end_a_run_that_may_start_after_it() {
    let mut fixture = Fixture::new();
    let mut out = Output::default();
    let token = fixture.poll(CLOCK, &mut out);
    let run = fixture.start(token, &mut out);
    fixture.poll(CLOCK + 4, &mut out);
    assert_eq!(stops(&out).len(), 1, "to the first incarnation");
    // The worker accepts the stop and restarts; the response to a poll overtakes that to the stop.
    fixture.poll(50, &mut out);
    let [first, second] = stops(&out)[..] else { panic!("no stop to the second incarnation") };
    fixture.accept_stop(&run, first, &mut out);
    fixture.poll(54, &mut out);
    assert_eq!(ends(&out), [], "the second incarnation may still carry out the start request");
    fixture.accept_stop(&run, second, &mut out);
    fixture.poll(58, &mut out);
    assert_eq!(ends(&out).len(), 1, "it has accepted the stop");
}

#[test]
fn status_of_a_poll_sent_before_a_stop_was_accepted_does_not_end_the_run() {
    let mut fixture = Fixture::new();
    let mut out = Output::default();
    let token = fixture.poll(CLOCK, &mut out);
    let run = fixture.start(token, &mut out);
    fixture.poll(CLOCK + 4, &mut out);
    let [stop] = stops(&out)[..] else { panic!("not one stop") };
    let (token, sent) = fixture.send_poll();
    // After its response to this poll, the worker carries out the start and then the stop.
    fixture.accept_stop(&run, stop, &mut out);
    fixture.respond(token, sent, CLOCK + 6, &mut out);
    assert_eq!(ends(&out), [], "the worker may be stopping the run");
    fixture.poll(CLOCK + 8, &mut out);
    assert_eq!(ends(&out), [How::Unanswered]);
}
