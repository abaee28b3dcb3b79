//! Guards against a further run of a task whose end `done` was reported after its run had counted
//! as ended.

mod common;

use std::sync::Arc;

use common::{kind_settings, need};
use cranberryhatch_fleet::{
    Command, Front, Job, Message, Outcome, Output, OwnerRequests, RUN_EXPIRY, Step,
};
use cranberryhatch_schema::fleet::{Ended, Grant, How, Place, Run, Takeover};
use cranberryhatch_types::{InstanceId, Span, Time};

const NOW: Time = Time::from_ms(20_000);
const TOKEN: u64 = 7;

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

/// Grants a place on a worker of owner `o` and returns the number of starts that the front sends.
fn grant(front: &mut Front, worker: &str, now: Time, out: &mut Output) -> usize {
    let (worker, owner) = (worker.to_owned(), "o".to_owned());
    let place = Place { worker, owner, run_ms: 100, token: TOKEN, ..Place::default() };
    let grant = Grant { job: "j".to_owned(), step: 0, places: vec![place] };
    let before = starts(out);
    front.granted(&id("s"), grant, |_| Some(now), now, out);
    starts(out) - before
}

fn starts(out: &Output) -> usize {
    let is_start =
        |command: &&Command| matches!(command, Command::Send { message: Message::Start(_), .. });
    out.commands.iter().filter(is_start).count()
}

/// How a front comes to count a run as ended of which the end is on its way.
struct Case {
    name: &'static str,
    /// Lets the run count as ended, and returns the time.
    give_up: fn(&mut Front, &mut Output) -> Time,
}

fn expire(front: &mut Front, out: &mut Output) -> Time {
    front.owner_unreachable(&id("o"), &OwnerRequests::default(), NOW, out);
    let now = NOW + RUN_EXPIRY;
    front.tick(now, out);
    now
}

fn take_over(front: &mut Front, out: &mut Output) -> Time {
    let (worker, token) = ("w".to_owned(), TOKEN + 1);
    let found = Takeover { worker, token, ..Takeover::default() };
    let now = NOW + Span::from_ms(100);
    front.takeover(&id("p"), &found, now, now, out);
    now
}

#[test]
fn task_whose_end_is_reported_late_is_not_started_again() {
    let cases = [
        Case { name: "its owner was unreachable", give_up: expire },
        Case { name: "a new owner did not find it", give_up: take_over },
    ];
    let mut failed = Vec::new();
    for Case { name, give_up } in cases {
        let mut out = Output::default();
        let mut front = Front::new(id("me"), "a".to_owned());
        front.set_scheduler(Some(id("s")), NOW, &mut out);
        let job = Job {
            name: "j".to_owned(),
            settings: Arc::new(kind_settings()),
            payload: "x".into(),
            steps: vec![Step { tasks: 1, need: need(14_000), ..Step::default() }],
            arrived: NOW,
            deadline: NOW + Span::from_ms(60_000),
        };
        front.submit(1, job, NOW, &mut out);
        assert_eq!(grant(&mut front, "w", NOW, &mut out), 1, "{name}: the first run");
        let now = give_up(&mut front, &mut out);
        let run = Some(Run { job: "j".to_owned(), step: 0, task: 0, run: 1 });
        let ended = Ended {
            run,
            worker: "w".to_owned(),
            how: How::Done.into(),
            took_ms: 60,
            ..Ended::default()
        };
        front.ended(&id("o"), &ended, now, &mut out);
        let further = grant(&mut front, "v", now, &mut out);
        let is_completed = out
            .commands
            .iter()
            .any(|command| matches!(command, Command::Answer { outcome: Outcome::Completed, .. }));
        if further > 0 || !is_completed {
            failed.push(format!("{name}: {further} further starts, completed: {is_completed}"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("; "));
}

#[test]
fn task_whose_end_a_new_owner_finds_after_its_expiry_is_not_started_again() {
    let mut out = Output::default();
    let mut front = Front::new(id("me"), "a".to_owned());
    front.set_scheduler(Some(id("s")), NOW, &mut out);
    let job = Job {
        name: "j".to_owned(),
        settings: Arc::new(kind_settings()),
        payload: "x".into(),
        steps: vec![Step { tasks: 1, need: need(14_000), ..Step::default() }],
        arrived: NOW,
        deadline: NOW + Span::from_ms(60_000),
    };
    front.submit(1, job, NOW, &mut out);
    assert_eq!(grant(&mut front, "w", NOW, &mut out), 1, "the first run");
    let now = expire(&mut front, &mut out);
    let run = Some(Run { job: "j".to_owned(), step: 0, task: 0, run: 1 });
    let (worker, how) = ("w".to_owned(), How::Done.into());
    let ended = vec![Ended { run, worker: worker.clone(), how, ..Ended::default() }];
    let found = Takeover { worker, token: TOKEN + 1, ended, ..Takeover::default() };
    front.takeover(&id("p"), &found, now, now, &mut out);
    assert_eq!(grant(&mut front, "v", now, &mut out), 0, "the task is started again");
    let is_completed =
        |command: &Command| matches!(command, Command::Answer { outcome: Outcome::Completed, .. });
    assert!(out.commands.iter().any(is_completed), "the job is not answered");
}
