//! Guards against two submissions of a job that run its tasks at the same time.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, Message, Output, RUN_EXPIRY, Scheduler, Submission, SubmissionOrder, Submissions,
    WorkerList,
};
use cranberryhatch_schema::fleet::{Ask, Freed, Held, How, Room, Rooms, Run};
use cranberryhatch_types::{InstanceId, Span, Time};

const NOW: Time = Time::from_ms(20_000);

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn run() -> Run {
    Run { job: "j".to_owned(), step: 0, task: 0, run: 1 }
}

/// Returns the request of a front that accepted the job `age` milliseconds ago.
fn ask(age: u32) -> Ask {
    Ask {
        job: "j".to_owned(),
        tasks: vec![0],
        kind: "k".to_owned(),
        service: "svc".to_owned(),
        need: Some((&need(14_000)).into()),
        declared_ms: 100,
        age_ms: age,
        left_ms: 30_000,
        zone: "a".to_owned(),
        stretch: 1_600,
        slack_ms: 10_000,
        ..Ask::default()
    }
}

/// Returns a scheduler that knows a free worker of `o` and one of `p` with a run of front `e-1`.
fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::default();
    let mut list = WorkerList::default();
    list.replace(vec![listed("free", "a", 32_000), listed("busy", "a", 32_000)], NOW);
    let (run, need) = (Some(run()), Some((&need(14_000)).into()));
    let held = Held { run, need, left_ms: 3_000, front: "e-1".to_owned() };
    for (owner, worker, held) in [("o", "free", vec![]), ("p", "busy", vec![held])] {
        let room =
            Room { worker: worker.to_owned(), token: 1, held, open: true, ..Room::default() };
        let rooms = Rooms { rooms: vec![room], ..Rooms::default() };
        scheduler.update_workers(&id(owner), rooms, &list, NOW);
    }
    scheduler
}

fn grants(scheduler: &mut Scheduler, now: Time) -> usize {
    let mut out = Output::default();
    scheduler.schedule(now, true, &mut out);
    let is_grant = |c: &&Command| matches!(c, Command::Send { message: Message::Grant(_), .. });
    out.commands.iter().filter(is_grant).count()
}

#[test]
fn task_of_a_later_submission_waits_for_the_end_of_the_earlier_run() {
    let mut scheduler = scheduler();
    let mut out = Output::default();
    scheduler.handle_ask(&id("e-2"), ask(0), NOW, &mut out);
    let told = out.commands.iter().filter_map(|command| match command {
        Command::Send { to, message: Message::Superseded(_) } => Some(to.clone()),
        _ => None,
    });
    assert_eq!(told.collect::<Vec<_>>(), [id("e-1"), id("p")]);
    assert_eq!(grants(&mut scheduler, NOW + Span::from_ms(500)), 0);
    let (run, worker) = (Some(run()), "busy".to_owned());
    let freed = Freed { run, worker, how: How::Stopped.into(), ..Freed::default() };
    let later = NOW + Span::from_ms(600);
    scheduler.run_ended(&freed, later);
    assert_eq!(grants(&mut scheduler, later), 1);
}

#[test]
fn task_of_a_later_submission_waits_for_runs_of_a_lost_owner_to_expire() {
    for lost_first in [false, true] {
        let mut scheduler = scheduler();
        if lost_first {
            scheduler.remove_instance(&id("p"), NOW);
        }
        scheduler.handle_ask(&id("e-2"), ask(0), NOW, &mut Output::default());
        if !lost_first {
            scheduler.remove_instance(&id("p"), NOW);
        }
        let end = NOW + RUN_EXPIRY;
        assert_eq!(grants(&mut scheduler, end - Span::from_ms(1)), 0, "{lost_first}");
        assert_eq!(grants(&mut scheduler, end), 1, "{lost_first}");
    }
}

#[test]
fn submission_of_a_job_supersedes_earlier_ones_only() {
    struct Case {
        name: &'static str,
        front: &'static str,
        age: u64,
        order: SubmissionOrder,
    }
    let by = id("e-1");
    let arrived = NOW - Span::from_ms(1_000);
    let cases = [
        Case { name: "repeated", front: "e-1", age: 1_000, order: SubmissionOrder::Only },
        Case {
            name: "later, other front",
            front: "e-2",
            age: 0,
            order: SubmissionOrder::Latest { earlier: Some(by.clone()) },
        },
        Case {
            name: "later, same front",
            front: "e-1",
            age: 0,
            order: SubmissionOrder::Latest { earlier: None },
        },
        Case {
            name: "earlier",
            front: "e-2",
            age: 2_000,
            order: SubmissionOrder::Superseded { by, arrived },
        },
    ];
    for Case { name, front, age, order } in cases {
        let mut submissions = Submissions::default();
        let deadline = NOW + Span::from_ms(5_000);
        let first = Submission { front: id("e-1"), arrived, deadline };
        assert_eq!(submissions.record("j", first, NOW), SubmissionOrder::Only, "{name}");
        let arrived = NOW - Span::from_ms(age);
        let second = Submission { front: id(front), arrived, deadline };
        assert_eq!(submissions.record("j", second, NOW), order, "{name}");
    }
}

#[test]
fn submissions_are_forgotten_after_their_deadline() {
    let mut submissions = Submissions::default();
    let submission = Submission { front: id("e-1"), arrived: NOW, deadline: NOW };
    submissions.record("j", submission, NOW);
    for _ in 0..64 {
        submissions.remove_old(NOW + Span::from_ms(3_000));
    }
    assert!(submissions.is_empty());
}
