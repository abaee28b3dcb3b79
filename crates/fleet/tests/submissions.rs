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
    report(&mut scheduler, "e-1");
    scheduler
}

/// Reports a free worker of `o`, and one of `p` with a run of a front, or of none if it is empty.
fn report(scheduler: &mut Scheduler, front: &str) {
    let mut list = WorkerList::default();
    list.replace(vec![listed("free", "a", 32_000), listed("busy", "a", 32_000)], NOW);
    let (run, need) = (Some(run()), Some((&need(14_000)).into()));
    let held = Held { run, need, left_ms: 3_000, front: front.to_owned(), age_ms: None };
    for (owner, worker, held) in [("o", "free", vec![]), ("p", "busy", vec![held])] {
        let room =
            Room { worker: worker.to_owned(), token: 1, held, open: true, ..Room::default() };
        let rooms = Rooms { rooms: vec![room], ..Rooms::default() };
        scheduler.update_workers(&id(owner), rooms, &list, NOW);
    }
}

/// Returns the report that the run of [`report`] was stopped.
fn stopped() -> Freed {
    let (run, worker) = (Some(run()), "busy".to_owned());
    Freed { run, worker, how: How::Stopped.into(), ..Freed::default() }
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
    scheduler.add_reachable(&id("e-1"));
    let mut out = Output::default();
    scheduler.handle_ask(&id("e-2"), ask(0), NOW, &mut out);
    let told = out.commands.iter().filter_map(|command| match command {
        Command::Send { to, message: Message::Superseded(_) } => Some(to.clone()),
        _ => None,
    });
    assert_eq!(told.collect::<Vec<_>>(), [id("e-2"), id("e-1"), id("p")]);
    assert_eq!(grants(&mut scheduler, NOW + Span::from_ms(500)), 0);
    let later = NOW + Span::from_ms(600);
    scheduler.run_ended(&stopped(), later);
    assert_eq!(grants(&mut scheduler, later), 0, "the front may start another run");
    scheduler.handle_yielded(&id("e-1"), "j", NOW);
    assert_eq!(grants(&mut scheduler, later), 1);
}

#[test]
fn queued_task_waits_for_a_run_of_an_earlier_submission_that_is_reported_later() {
    // Guards against a new scheduler that gets requests before the reports of the owners.
    for front in ["", "e-1"] {
        let mut scheduler = Scheduler::default();
        scheduler.add_reachable(&id("e-1"));
        scheduler.handle_ask(&id("e-2"), ask(0), NOW, &mut Output::default());
        report(&mut scheduler, front);
        let mut out = Output::default();
        scheduler.schedule(NOW, true, &mut out);
        let is_told = out.commands.iter().any(|command| {
            matches!(command, Command::Send { to, message: Message::Superseded(_) } if *to == id("e-1"))
        });
        assert_eq!(is_told, front == "e-1", "front {front:?}");
        assert_eq!(grants(&mut scheduler, NOW), 0, "front {front:?}");
        scheduler.run_ended(&stopped(), NOW);
        scheduler.handle_yielded(&id("e-1"), "j", NOW);
        assert_eq!(grants(&mut scheduler, NOW), 1, "front {front:?}");
    }
}

#[test]
fn new_scheduler_compares_submissions_with_those_of_its_predecessor() {
    struct Case {
        name: &'static str,
        // Whether the earlier front is reachable, and when it was last heard otherwise.
        reachable: bool,
        heard: Option<Time>,
        // When the later submission may start without an answer of the earlier front.
        free_at: Time,
    }
    let heard = NOW - Span::from_ms(400);
    let cases = [
        Case {
            name: "reachable",
            reachable: true,
            heard: None,
            free_at: NOW + Span::from_ms(15_000),
        },
        Case { name: "lost", reachable: false, heard: Some(heard), free_at: heard + RUN_EXPIRY },
        Case { name: "unknown", reachable: false, heard: None, free_at: NOW + RUN_EXPIRY },
    ];
    for Case { name, reachable, heard, free_at } in cases {
        let replica = || {
            let mut old = Scheduler::default();
            old.add_reachable(&id("new"));
            old.handle_ask(&id("e-1"), ask(1_500), NOW, &mut Output::default());
            let mut out = Output::default();
            old.replicate(&[id("new")], NOW, &mut out);
            let [Command::Send { to, message: Message::Submissions(message) }] =
                out.commands.as_slice()
            else {
                panic!("not replicated: {:?}", out.commands);
            };
            assert_eq!(*to, id("new"));
            let mut new = Scheduler::default();
            new.merge_submissions(message, NOW);
            if reachable {
                new.add_reachable(&id("e-1"));
            }
            if let Some(heard) = heard {
                new.remove_reachable(&id("e-1"), heard, NOW);
            }
            report(&mut new, "e-1");
            new.run_ended(&stopped(), NOW);
            new.handle_ask(&id("e-2"), ask(0), NOW, &mut Output::default());
            new
        };
        assert_eq!(grants(&mut replica(), free_at - Span::from_ms(1)), 0, "{name}");
        assert_eq!(grants(&mut replica(), free_at), 1, "{name}");
        let mut answered = replica();
        answered.handle_yielded(&id("e-1"), "j", NOW);
        assert_eq!(grants(&mut answered, NOW), 1, "{name}");
    }
}

#[test]
fn request_of_an_earlier_submission_than_that_of_a_reported_run_is_superseded() {
    // Guards against a new scheduler that knows the latest submission from a run only, and takes the
    // request of an earlier one for the latest.
    for (age, told) in [(3_000, true), (0, false)] {
        let mut scheduler = Scheduler::default();
        let mut list = WorkerList::default();
        list.replace(vec![listed("busy", "a", 32_000)], NOW);
        let (run, need) = (Some(run()), Some((&need(14_000)).into()));
        let (front, age_ms) = ("e-1".to_owned(), Some(1_300));
        let held = vec![Held { run, need, left_ms: 3_000, front, age_ms }];
        let room =
            Room { worker: "busy".to_owned(), token: 1, held, open: true, ..Room::default() };
        let rooms = Rooms { rooms: vec![room], ..Rooms::default() };
        scheduler.update_workers(&id("p"), rooms, &list, NOW);
        let mut out = Output::default();
        scheduler.handle_ask(&id("e-2"), ask(age), NOW, &mut out);
        let is_told = out.commands.iter().any(|command| {
            let Command::Send { to, message: Message::Superseded(superseded) } = command else {
                return false;
            };
            *to == id("e-2") && superseded.front == "e-2"
        });
        assert_eq!(is_told, told, "submitted {age} ms ago");
    }
}

#[test]
fn lost_front_that_is_back_is_asked_again() {
    // Guards against an earlier front on the other side of a partition, whose runs go on after it.
    let mut scheduler = scheduler();
    scheduler.add_reachable(&id("e-1"));
    scheduler.handle_ask(&id("e-2"), ask(0), NOW, &mut Output::default());
    scheduler.run_ended(&stopped(), NOW);
    scheduler.remove_reachable(&id("e-1"), NOW, NOW);
    let lost = NOW + RUN_EXPIRY;
    scheduler.review_superseded(lost, &mut Output::default());
    scheduler.add_reachable(&id("e-1"));
    let mut out = Output::default();
    scheduler.schedule(lost, true, &mut out);
    let is_told = out.commands.iter().any(|command| {
        matches!(command, Command::Send { to, message: Message::Superseded(_) } if *to == id("e-1"))
    });
    assert!(is_told, "it does not learn that it is superseded");
    assert_eq!(grants(&mut scheduler, lost), 0);
    scheduler.handle_yielded(&id("e-1"), "j", NOW);
    assert_eq!(grants(&mut scheduler, lost), 1);
}

#[test]
fn submissions_reach_replicas_that_join_later() {
    let mut scheduler = Scheduler::default();
    ["a", "b"].iter().for_each(|name| scheduler.add_reachable(&id(name)));
    let mut sent = |replicas: &[InstanceId], age: u64| {
        let mut out = Output::default();
        scheduler.replicate(replicas, NOW + Span::from_ms(age), &mut out);
        let receivers = out.commands.iter().map(|command| match command {
            Command::Send { to, message: Message::Submissions(message) } => {
                (to.to_string(), message.submissions.len())
            }
            other => panic!("{other:?}"),
        });
        let receivers: Vec<(String, usize)> = receivers.collect();
        let job = Ask { job: format!("job-{age}"), ..ask(0) };
        scheduler.handle_ask(&id("e-1"), job, NOW, &mut Output::default());
        receivers
    };
    let receiver = |name: &str, jobs: usize| (name.to_owned(), jobs);
    assert_eq!(sent(&[id("a")], 0), []);
    assert_eq!(sent(&[id("a")], 100), [receiver("a", 1)]);
    assert_eq!(sent(&[id("a")], 150), [], "changes are sent every 100 ms");
    assert_eq!(sent(&[id("a"), id("b")], 200), [receiver("a", 2), receiver("b", 3)]);
}

#[test]
fn task_of_a_later_submission_waits_for_runs_of_a_lost_owner_to_expire() {
    for lost_first in [false, true] {
        let mut scheduler = scheduler();
        if lost_first {
            scheduler.remove_instance(&id("p"), &[], NOW);
        }
        scheduler.handle_ask(&id("e-2"), ask(0), NOW, &mut Output::default());
        if !lost_first {
            scheduler.remove_instance(&id("p"), &[], NOW);
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
            order: SubmissionOrder::Latest { earlier: vec![by.clone()] },
        },
        Case {
            name: "later, same front",
            front: "e-1",
            age: 0,
            order: SubmissionOrder::Latest { earlier: Vec::new() },
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
