//! Guards against tasks that are granted on a restarted worker by the entry of its earlier
//! incarnation, which tells another service, other labels or another capacity.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, Incarnation, ListedWorker, Message, Output, Scheduler, WorkerList,
};
use cranberryhatch_schema::fleet::{Ask, Room, Rooms};
use cranberryhatch_types::{InstanceId, Span, Time};

const START: Time = Time::from_ms(20_000);
const FIRST: Incarnation = Incarnation::new(2_000);
const SECOND: Incarnation = Incarnation::new(1_000);

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

/// A scheduler of one worker.
struct Fixture {
    scheduler: Scheduler,
    list: WorkerList,
    token: u64,
    jobs: u32,
    now: Time,
}

impl Fixture {
    fn new(listed: Incarnation, labels: &[&str]) -> Self {
        let (scheduler, list) = (Scheduler::default(), WorkerList::default());
        let mut fixture = Self { scheduler, list, token: 0, jobs: 0, now: START };
        fixture.list(listed, labels);
        fixture
    }

    /// Reads the entry of the worker.
    fn list(&mut self, incarnation: Incarnation, labels: &[&str]) {
        let mut worker = listed("w", "a", 64_000);
        worker.incarnation = incarnation;
        worker.labels = labels.iter().map(|label| (*label).to_owned()).collect();
        self.list_entry(worker);
    }

    fn list_entry(&mut self, worker: ListedWorker) {
        self.list.replace(vec![worker], self.now);
        self.scheduler.update_listing(&self.list);
    }

    /// Reports that the worker is open in an incarnation.
    fn report(&mut self, incarnation: Incarnation) {
        self.token += 1;
        let room = Room {
            worker: "w".to_owned(),
            token: self.token,
            open: true,
            born_ms: incarnation.born_ms(),
            ..Room::default()
        };
        let rooms = Rooms { rooms: vec![room], lost: Vec::new(), kinds: Vec::new() };
        self.scheduler.update_workers(&id("o"), rooms, &self.list, self.now);
    }

    /// Returns whether a task that requires this label is granted.
    fn grants(&mut self, label: &str) -> bool {
        self.jobs += 1;
        self.now = self.now + Span::from_ms(20);
        let ask = Ask {
            job: format!("j-{}", self.jobs),
            tasks: vec![0],
            kind: "k".to_owned(),
            service: "svc".to_owned(),
            need: Some((&need(1_000)).into()),
            declared_ms: 100,
            left_ms: 30_000,
            zone: "a".to_owned(),
            stretch: 1_600,
            slack_ms: 10_000,
            label: label.to_owned(),
            ..Ask::default()
        };
        let mut out = Output::default();
        let job = ask.job.clone();
        self.scheduler.handle_ask(&id("e-1"), ask, self.now, &mut out);
        self.scheduler.schedule(self.now, true, &mut out);
        let is_grant = |command: &Command| matches!(command, Command::Send { message: Message::Grant(grant), .. } if grant.job == job);
        out.commands.iter().any(is_grant)
    }
}

#[test]
fn labels_of_an_earlier_incarnation_are_not_used() {
    struct Case {
        name: &'static str,
        listed: Incarnation,
        reported: Incarnation,
        granted: bool,
    }
    let cases = [
        Case { name: "same incarnation", listed: FIRST, reported: FIRST, granted: true },
        Case { name: "restarted", listed: FIRST, reported: SECOND, granted: false },
        Case { name: "entry of a later one", listed: SECOND, reported: FIRST, granted: false },
        Case { name: "not reported", listed: FIRST, reported: Incarnation::UNKNOWN, granted: true },
        Case { name: "not listed", listed: Incarnation::UNKNOWN, reported: FIRST, granted: true },
    ];
    for Case { name, listed, reported, granted } in cases {
        let mut fixture = Fixture::new(listed, &["k1"]);
        fixture.report(reported);
        assert_eq!(fixture.grants("k1"), granted, "{name}");
        assert_eq!(fixture.grants(""), granted, "{name}: a task that requires no label");
    }
}

#[test]
fn entry_of_a_new_incarnation_tells_its_labels() {
    for (label, granted) in [("k1", true), ("k2", false)] {
        let mut fixture = Fixture::new(FIRST, &["k1"]);
        fixture.report(FIRST);
        fixture.report(SECOND);
        fixture.list(SECOND, &[label]);
        assert_eq!(fixture.grants("k1"), granted, "{label}");
    }
}

#[test]
fn task_that_waits_for_the_labels_is_granted_once_they_are_known() {
    let mut fixture = Fixture::new(FIRST, &["k1"]);
    fixture.report(FIRST);
    fixture.report(SECOND);
    assert!(!fixture.grants("k1"));
    fixture.list(SECOND, &["k1"]);
    let mut out = Output::default();
    fixture.now = fixture.now + Span::from_ms(20);
    fixture.scheduler.schedule(fixture.now, true, &mut out);
    let is_grant = |c: &Command| matches!(c, Command::Send { message: Message::Grant(_), .. });
    assert!(out.commands.iter().any(is_grant));
}

#[test]
fn no_attribute_of_an_earlier_incarnation_is_used() {
    struct Case {
        name: &'static str,
        change: fn(&mut ListedWorker),
    }
    let cases = [
        Case { name: "service", change: |entry| entry.service = "other".to_owned() },
        Case { name: "capacity", change: |entry| entry.capacity = need(500) },
        Case { name: "draining", change: |entry| entry.draining = true },
    ];
    for Case { name, change } in cases {
        let mut entry = listed("w", "a", 64_000);
        entry.incarnation = FIRST;
        let mut fixture = Fixture::new(FIRST, &[]);
        fixture.report(FIRST);
        assert!(fixture.grants(""), "{name}: before the restart");
        fixture.report(SECOND);
        assert!(!fixture.grants(""), "{name}: by the entry of the earlier incarnation");
        entry.incarnation = SECOND;
        change(&mut entry);
        fixture.list_entry(entry);
        assert!(!fixture.grants(""), "{name}: by the entry of the later incarnation");
    }
}

#[test]
fn new_scheduler_uses_no_entry_of_an_earlier_incarnation() {
    let mut fixture = Fixture::new(FIRST, &["k1"]);
    fixture.report(SECOND);
    assert!(!fixture.grants(""));
    fixture.list(SECOND, &["k1"]);
    assert!(fixture.grants(""));
}
