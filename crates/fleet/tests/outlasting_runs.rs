//! Guards against a second run of a task whose owner was lost while a request without response may
//! still extend the lease of the first one.

mod common;

use std::sync::Arc;

use common::{kind_settings, listed, need};
use cranberryhatch_fleet::{
    Command, Front, Job, Message, OUTLASTING_EXPIRY, Output, OwnerRequests, RUN_EXPIRY, Scheduler,
    Step, WorkerList,
};
use cranberryhatch_schema::fleet::{Ask, Grant, Held, Place, Room, Rooms, Run, Takeover};
use cranberryhatch_types::{InstanceId, Span, Time};

const NOW: Time = Time::from_ms(20_000);
const TICK: Span = Span::from_ms(1);

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn run() -> Run {
    Run { job: "j".to_owned(), step: 0, task: 0, run: 1 }
}

/// Returns a front whose only task has been started on worker `w` of owner `o`.
fn front() -> Front {
    let mut out = Output::default();
    let mut front = Front::new(id("me"), "a".to_owned());
    front.set_scheduler(Some(id("s")), NOW, &mut out);
    let step = Step { tasks: 1, need: need(14_000), ..Step::default() };
    let job = Job {
        name: "j".to_owned(),
        settings: Arc::new(kind_settings()),
        payload: "x".into(),
        steps: vec![step],
        arrived: NOW,
        deadline: NOW + Span::from_secs(60),
    };
    front.submit(1, job, NOW, &mut out);
    let (worker, owner) = ("w".to_owned(), "o".to_owned());
    let place = Place { worker, owner, run_ms: 100, token: 7, ..Place::default() };
    let grant = Grant { job: "j".to_owned(), step: 0, places: vec![place] };
    front.granted(&id("s"), grant, |_| Some(NOW), NOW, &mut out);
    front
}

/// Returns whether a front has requested capacity for its task again by a time.
fn asks_again(front: &mut Front, now: Time) -> bool {
    let mut out = Output::default();
    front.tick(now, &mut out);
    let is_ask =
        |command: &Command| matches!(command, Command::Send { message: Message::Ask(_), .. });
    out.commands.iter().any(is_ask)
}

fn unanswered(workers: &[&str]) -> OwnerRequests {
    let unanswered = workers.iter().map(|worker| worker.parse().expect("an id")).collect();
    OwnerRequests { unanswered }
}

#[test]
fn run_of_a_lost_owner_is_kept_while_its_requests_may_outlast_it() {
    struct Case {
        name: &'static str,
        unanswered: &'static [&'static str],
        end: Time,
    }
    let cases = [
        Case { name: "all answered", unanswered: &[], end: NOW + RUN_EXPIRY },
        Case { name: "another worker", unanswered: &["v", "x"], end: NOW + RUN_EXPIRY },
        Case { name: "its worker", unanswered: &["v", "w"], end: NOW + OUTLASTING_EXPIRY },
    ];
    for Case { name, unanswered: workers, end } in cases {
        let mut front = front();
        front.owner_unreachable(&id("o"), &unanswered(workers), NOW, &mut Output::default());
        assert!(!asks_again(&mut front, end - TICK), "{name}: too soon");
        assert!(asks_again(&mut front, end), "{name}: too late");
    }
}

#[test]
fn run_of_a_closed_job_is_kept_while_its_worker_may_be_silent_and_extend_it() {
    // Guards against a job that is submitted again, and started again, while the owner still waits
    // for late requests to the silent worker of its earlier run.
    let mut front = front();
    let mut out = Output::default();
    front.caller_gone(1, NOW, &mut out);
    front.tick(NOW + OUTLASTING_EXPIRY, &mut out);
    assert!(front.contains("j"), "the owner has not reported the end of the run");
    front.tick(NOW + Span::from_secs(15), &mut out);
    assert!(!front.contains("j"), "the report was lost");
}

#[test]
fn next_owner_ends_the_wait_for_a_run_that_may_have_been_extended() {
    let mut front = front();
    let mut out = Output::default();
    front.owner_unreachable(&id("o"), &unanswered(&["w"]), NOW, &mut out);
    out.commands.clear();
    let found = Takeover { worker: "w".to_owned(), token: 8, ..Takeover::default() };
    front.takeover(&id("p"), &found, NOW, NOW, &mut out);
    let is_ask =
        |command: &Command| matches!(command, Command::Send { message: Message::Ask(_), .. });
    assert!(out.commands.iter().any(is_ask), "the run has ended there");
}

/// Returns a scheduler that reaches all instances and knows a free worker of `o` and, if `held`,
/// a run of `e-1` on one of `p`.
fn scheduler(held: bool) -> Scheduler {
    let mut scheduler = Scheduler::default();
    ["e-1", "e-2", "o", "p"].iter().for_each(|name| scheduler.add_reachable(&id(name)));
    report(&mut scheduler, "o", "free", None);
    let run = Held {
        run: Some(run()),
        need: Some((&need(14_000)).into()),
        left_ms: 3_000,
        front: "e-1".to_owned(),
        age_ms: Some(1_500),
    };
    report(&mut scheduler, "p", "busy", held.then_some(run));
    scheduler
}

fn report(scheduler: &mut Scheduler, owner: &str, worker: &str, held: Option<Held>) {
    let mut list = WorkerList::default();
    list.replace(vec![listed("free", "a", 32_000), listed("busy", "a", 32_000)], NOW);
    let held = held.into_iter().collect();
    let room = Room { worker: worker.to_owned(), token: 1, held, open: true, ..Room::default() };
    let rooms = Rooms { rooms: vec![room], ..Rooms::default() };
    scheduler.update_workers(&id(owner), rooms, &list, NOW);
}

fn ask(front: &str, age: u32) -> (InstanceId, Ask) {
    let ask = Ask {
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
        slack_ms: 20_000,
        ..Ask::default()
    };
    (id(front), ask)
}

fn is_granted(scheduler: &mut Scheduler, now: Time) -> bool {
    let mut out = Output::default();
    scheduler.review_superseded(now, &mut out);
    scheduler.schedule(now, true, &mut out);
    let is_grant =
        |command: &Command| matches!(command, Command::Send { message: Message::Grant(_), .. });
    out.commands.iter().any(is_grant)
}

#[test]
fn resubmitted_task_waits_while_requests_of_a_lost_owner_may_outlast_its_earlier_run() {
    struct Case {
        name: &'static str,
        /// Whether the scheduler knew the earlier run.
        held: bool,
        /// Whether a later owner opens the worker.
        opened: bool,
        end: Time,
    }
    let cases = [
        Case { name: "known run", held: true, opened: false, end: NOW + OUTLASTING_EXPIRY },
        Case { name: "new scheduler", held: false, opened: false, end: NOW + OUTLASTING_EXPIRY },
        Case { name: "opened", held: false, opened: true, end: NOW + RUN_EXPIRY },
    ];
    for Case { name, held, opened, end } in cases {
        let mut scheduler = scheduler(held);
        let (front, earlier) = ask("e-1", 1_500);
        scheduler.handle_ask(&front, earlier, NOW, &mut Output::default());
        // The front, which owned the worker as well, is lost.
        scheduler.remove_reachable(&id("e-1"), NOW, NOW);
        scheduler.remove_instance(&id("e-1"), &[], NOW);
        scheduler.remove_instance(&id("p"), &unanswered(&["busy"]).unanswered, NOW);
        let (front, later) = ask("e-2", 0);
        scheduler.handle_ask(&front, later, NOW, &mut Output::default());
        if opened {
            scheduler.worker_opened(&"busy".parse().expect("an id"));
        }
        assert!(!is_granted(&mut scheduler, end - TICK), "{name}: too soon");
        assert!(is_granted(&mut scheduler, end), "{name}: too late");
    }
}

#[test]
fn answer_of_a_restarted_front_does_not_cover_runs_of_its_earlier_process() {
    for (unanswered_workers, granted) in [(&[][..], true), (&["busy"][..], false)] {
        let mut scheduler = scheduler(false);
        let (front, earlier) = ask("e-1", 1_500);
        scheduler.handle_ask(&front, earlier, NOW, &mut Output::default());
        scheduler.remove_reachable(&id("e-1"), NOW, NOW);
        let workers = unanswered(unanswered_workers).unanswered;
        scheduler.remove_instance(&id("p"), &workers, NOW);
        scheduler.add_reachable(&id("e-1"));
        let (front, later) = ask("e-2", 0);
        scheduler.handle_ask(&front, later, NOW, &mut Output::default());
        let now = NOW + RUN_EXPIRY;
        scheduler.handle_yielded(&id("e-1"), "j", now);
        assert_eq!(is_granted(&mut scheduler, now), granted, "{unanswered_workers:?}");
    }
}
