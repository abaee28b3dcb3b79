//! Guards against starts that reach their owner long after their grant: the scheduler gives up the
//! reservation of a grant that is not used in time, while the start may still be accepted.

mod common;

use common::{listed, need, worker_view};
use cranberryhatch_fleet::{
    Command, Incarnation, Member, Members, Message, Output, Owner, PEER_TIMEOUT, PollResponse,
    PollResult, RUN_EXPIRY, RUN_LIFETIME, Scheduler, TaskKey, WorkerList, WorkerStatus,
};
use cranberryhatch_schema::fleet::{Ask, Room, Rooms, Run, Start};
use cranberryhatch_types::{InstanceId, Span, Time};

const NOW: Time = Time::from_ms(20_000);
/// Interval between an owner's reports of all its workers, in milliseconds.
const REPORT_INTERVAL: u64 = 1_000;

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn after(ms: u64) -> Time {
    NOW + Span::from_ms(ms)
}

/// Returns a list of workers of which each can run one task.
fn listing(workers: &[&str]) -> WorkerList {
    let mut list = WorkerList::default();
    list.replace(workers.iter().map(|id| listed(id, "a", 20_000)).collect(), NOW);
    list
}

/// Returns the request of a front that has accepted the job just now.
fn ask(job: &str) -> Ask {
    Ask {
        job: job.to_owned(),
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

/// Reports the workers of owner `o`, which have no runs.
fn report(scheduler: &mut Scheduler, list: &WorkerList, now: Time) {
    let room = |worker: String| Room { worker, token: 1, open: true, ..Room::default() };
    let rooms = list.all().iter().map(|listed| room(listed.id.to_string())).collect();
    scheduler.update_workers(&id("o"), Rooms { rooms, ..Rooms::default() }, list, now);
}

/// Requests capacity for a job of a front and returns the number of grants.
fn grants(scheduler: &mut Scheduler, front: &str, job: &str, now: Time) -> usize {
    let mut out = Output::default();
    scheduler.handle_ask(&id(front), ask(job), now, &mut out);
    scheduler.schedule(now, true, &mut out);
    let is_grant = |c: &&Command| matches!(c, Command::Send { message: Message::Grant(_), .. });
    out.commands.iter().filter(is_grant).count()
}

/// Owner `o` of worker `w`.
struct Fixture {
    owner: Owner,
    token: u64,
}

impl Fixture {
    /// Creates an owner that has opened its worker at `NOW`.
    fn opened() -> Self {
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
        let mut owner = Owner::new(me.id);
        owner.assign(&listing(&["w"]), &members.owners(1), 0, NOW);
        let mut out = Output::default();
        owner.send_polls(NOW, &mut out);
        let token = out.commands.iter().find_map(|command| match command {
            Command::Poll { token, .. } => Some(*token),
            _ => None,
        });
        let token = token.expect("a poll");
        let (clock, incarnation) = (NOW.as_ms(), Incarnation::UNKNOWN);
        let status = WorkerStatus { clock, incarnation, ..WorkerStatus::default() };
        let response = PollResponse::Status(Box::new(status));
        let worker = "w".parse().expect("an id");
        let result = PollResult { worker, token, sent: NOW, response };
        owner.handle_poll_result(result, &members, NOW, &mut out);
        Self { owner, token }
    }

    /// Returns whether it accepts a start `at` whose front has read its heartbeat of `seen`.
    fn accepts(&mut self, job: &str, seen: Time, at: Time) -> bool {
        let start = Start {
            run: Some(Run { job: job.to_owned(), step: 0, task: 0, run: 1 }),
            worker: "w".to_owned(),
            service: "svc".to_owned(),
            need: Some((&need(14_000)).into()),
            kind: "k".to_owned(),
            token: self.token,
            seen_ms: seen.as_ms(),
            ..Start::default()
        };
        let mut out = Output::default();
        self.owner.start(&id("e-1"), start, at, &mut out);
        out.commands.iter().any(|command| matches!(command, Command::StartRun { .. }))
    }
}

#[test]
fn task_of_a_later_submission_waits_while_the_earlier_start_may_be_accepted() {
    // Guards against a second run beside that of a start that was on its way for so long that its
    // grant counted as unused. The grant itself may be delayed as well.
    const STEP: usize = 50;
    let list = listing(&["v", "w"]);
    for delay in [0, 300, PEER_TIMEOUT.as_ms()] {
        let accepted: Vec<u64> = (delay..=delay + RUN_EXPIRY.as_ms())
            .step_by(10)
            .filter(|at| Fixture::opened().accepts("j", after(delay), after(*at)))
            .collect();
        let last = *accepted.last().expect("a start without delay is accepted");
        for started in (delay..=last).step_by(STEP).chain([last]) {
            for at in (0..=started + REPORT_INTERVAL).step_by(STEP) {
                let mut scheduler = Scheduler::default();
                report(&mut scheduler, &list, NOW);
                assert_eq!(grants(&mut scheduler, "e-1", "j", NOW), 1, "first submission");
                // The owner reports until the start arrives, and once a second afterwards.
                for reported in (0..=at.min(started)).step_by(STEP) {
                    report(&mut scheduler, &list, after(reported));
                }
                let granted = grants(&mut scheduler, "e-2", "j", after(at));
                assert_eq!(
                    granted, 0,
                    "grant delayed by {delay} ms, start accepted after {started} ms, job sent \
                     again after {at} ms"
                );
            }
        }
    }
}

#[test]
fn unused_grant_is_forgotten_when_its_start_cannot_be_accepted_any_more() {
    // Guards against a later submission that waits for a start that was lost.
    let expiry = PEER_TIMEOUT.as_ms() + RUN_LIFETIME.as_ms();
    let task = TaskKey { job: "j".to_owned(), step: 0, task: 0 };
    for (reports, holds) in
        [(vec![700], true), (vec![700, expiry - 1], true), (vec![expiry], false)]
    {
        let mut worker = worker_view("w", "a", 20_000);
        worker.grant(task.clone(), need(14_000), NOW);
        for at in &reports {
            worker.apply_report(Vec::new(), after(*at));
        }
        assert_eq!(worker.holds(&task, true), holds, "reports without it after {reports:?} ms");
        assert!(!worker.holds(&task, false), "no run of it was reported");
        worker.release(&task);
        assert!(!worker.holds(&task, true), "returned");
    }
}

#[test]
fn unused_grant_does_not_keep_its_capacity() {
    let list = listing(&["w"]);
    for (at, granted) in [(600, 0), (700, 1)] {
        let mut scheduler = Scheduler::default();
        report(&mut scheduler, &list, NOW);
        assert_eq!(grants(&mut scheduler, "e-1", "j", NOW), 1);
        report(&mut scheduler, &list, after(at));
        assert_eq!(grants(&mut scheduler, "e-2", "other", after(at)), granted, "after {at} ms");
    }
}

#[test]
fn late_start_is_refused_where_its_capacity_was_granted_again() {
    // Guards against an overbooked worker: the capacity of an unused grant goes to another task.
    for (first, second) in [("j", "other"), ("other", "j")] {
        let mut fixture = Fixture::opened();
        assert!(fixture.accepts(first, after(650), after(700)), "{first}");
        assert!(!fixture.accepts(second, after(650), after(701)), "{second} beside {first}");
    }
}
