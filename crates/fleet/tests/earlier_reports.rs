//! Guards against reports about an earlier run of a task that end the present one, which then runs
//! beside its successor.

mod common;

use std::sync::Arc;

use common::{kind_settings, listed, need};
use cranberryhatch_fleet::{
    Command, Front, Incarnation, Job, Member, Members, Message, Output, Owner, PollResponse,
    PollResult, Step, WorkerList, WorkerStatus,
};
use cranberryhatch_schema::fleet::{Ended, Grant, How, Place, Run, Start, Stop};
use cranberryhatch_types::{InstanceId, Span, Time};

const NOW: Time = Time::from_ms(20_000);

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn job() -> Job {
    Job {
        name: "j".to_owned(),
        settings: Arc::new(kind_settings()),
        payload: "x".into(),
        steps: vec![Step { tasks: 1, need: need(14_000), ..Step::default() }],
        arrived: NOW,
        deadline: NOW + Span::from_ms(60_000),
    }
}

/// Messages and requests of interest.
#[derive(Debug, Default)]
struct Sent {
    starts: Vec<Start>,
    stops: Vec<Stop>,
    ends: Vec<Ended>,
    asks: usize,
    orders: usize,
}

fn sent(out: Output) -> Sent {
    let mut sent = Sent::default();
    for command in out.commands {
        match command {
            Command::Send { message: Message::Start(start), .. } => sent.starts.push(start),
            Command::Send { message: Message::Stop(stop), .. } => sent.stops.push(stop),
            Command::Send { message: Message::Ended(ended), .. } => sent.ends.push(ended),
            Command::Send { message: Message::Ask(_), .. } => sent.asks += 1,
            Command::StartRun { .. } => sent.orders += 1,
            _ => {}
        }
    }
    sent
}

/// Returns an owner of one worker, which it has not opened, and the result of its first poll.
fn unopened() -> (Owner, Members, PollResult) {
    let me = Member {
        id: id("o"),
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
    listing.replace(vec![listed("w", "a", 32_000)], NOW);
    let mut owner = Owner::new(me.id);
    owner.assign(&listing, &members.owners(1), 0, NOW);
    let mut polls = Output::default();
    owner.send_polls(NOW, &mut polls);
    let token = polls.commands.iter().find_map(|command| match command {
        Command::Poll { token, .. } => Some(*token),
        _ => None,
    });
    let token = token.expect("a poll");
    let status = WorkerStatus {
        clock: NOW.as_ms(),
        incarnation: Incarnation::UNKNOWN,
        running: Vec::new(),
        ended: Vec::new(),
    };
    let worker = "w".parse().expect("an id");
    let response = PollResponse::Status(Box::new(status));
    let result = PollResult { worker, token, sent: NOW, response };
    (owner, members, result)
}

/// Returns an owner of one open worker, and its token.
fn owner() -> (Owner, u64) {
    let (mut owner, members, result) = unopened();
    let token = result.token;
    owner.handle_poll_result(result, &members, NOW, &mut Output::default());
    (owner, token)
}

/// Grants the task of the job a place on the worker and returns what the front sends.
fn grant(front: &mut Front, token: u64) -> Sent {
    let (worker, owner) = ("w".to_owned(), "o".to_owned());
    let place = Place { worker, owner, run_ms: 100, token, ..Place::default() };
    let grant = Grant { job: "j".to_owned(), step: 0, places: vec![place] };
    let mut out = Output::default();
    front.granted(&id("s"), grant, |_| Some(NOW), NOW, &mut out);
    sent(out)
}

#[test]
fn response_to_the_stop_of_a_refused_run_does_not_end_the_run_of_the_next_submission() {
    let (mut owner, token) = owner();
    let mut out = Output::default();
    let mut front = Front::new(id("me"), "a".to_owned());
    front.set_scheduler(Some(id("s")), NOW, &mut out);
    front.submit(1, job(), NOW, &mut out);
    let first = grant(&mut front, token - 1).starts.pop().expect("a start with an earlier token");
    let mut out = Output::default();
    front.caller_gone(1, NOW, &mut out);
    front.submit(2, job(), NOW, &mut out);
    let stop = sent(out).stops.pop().expect("a stop");

    let mut out = Output::default();
    owner.start(&id("me"), first, NOW, &mut out);
    owner.stop(&id("me"), &stop, NOW, &mut out);
    let replies = sent(out).ends;
    let hows: Vec<How> = replies.iter().map(Ended::how).collect();
    assert_eq!(hows, [How::NoRoom, How::Stopped]);

    let mut out = Output::default();
    front.ended(&id("o"), &replies[0], NOW, &mut out);
    assert_eq!(sent(out).asks, 1, "the next submission");
    let second = grant(&mut front, token).starts.pop().expect("a start");
    let mut out = Output::default();
    front.ended(&id("o"), &replies[1], NOW, &mut out);
    let asks = sent(out).asks;
    let mut out = Output::default();
    owner.start(&id("me"), second, NOW, &mut out);
    assert_eq!(sent(out).orders, 1, "the run starts");
    assert_eq!(asks, 0, "the front takes it for ended and requests capacity for another run");
}

#[test]
fn repeated_end_of_a_run_does_not_end_the_next_run_on_its_worker() {
    for how in [How::Stopped, How::Lost, How::Failed, How::NoRoom, How::Unanswered] {
        let mut out = Output::default();
        let mut front = Front::new(id("me"), "a".to_owned());
        front.set_scheduler(Some(id("s")), NOW, &mut out);
        front.submit(1, job(), NOW, &mut out);
        assert_eq!(grant(&mut front, 7).starts.len(), 1);
        let run = Some(Run { job: "j".to_owned(), step: 0, task: 0, run: 1 });
        let ended = Ended { run, worker: "w".to_owned(), how: how.into(), ..Ended::default() };
        let mut out = Output::default();
        front.ended(&id("o"), &ended, NOW, &mut out);
        assert_eq!(sent(out).asks, 1, "{how:?}");
        assert_eq!(grant(&mut front, 7).starts.len(), 1, "{how:?}");
        let mut out = Output::default();
        front.ended(&id("o"), &ended, NOW, &mut out);
        assert_eq!(sent(out).asks, 0, "{how:?}: the second run is taken for ended");
    }
}

#[test]
fn run_on_a_worker_that_is_not_open_is_not_reported_as_stopped() {
    let (mut owner, members, result) = unopened();
    let run = Run { job: "j".to_owned(), step: 0, task: 0, run: 1 };
    let stop = Stop { run: Some(run), worker: "w".to_owned(), ..Stop::default() };
    let ends = |owner: &mut Owner| {
        let mut out = Output::default();
        owner.stop(&id("me"), &stop, NOW, &mut out);
        sent(out).ends.len()
    };
    assert_eq!(ends(&mut owner), 0, "the worker may have the run");
    owner.handle_poll_result(result, &members, NOW, &mut Output::default());
    assert_eq!(ends(&mut owner), 1);
}
