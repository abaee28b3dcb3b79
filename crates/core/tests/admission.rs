//! Cases of the admission of jobs.

mod support;

use cranberryhatch_core::{ClaimOutcome, Code, Event, JobSpec, Outcome};
use cranberryhatch_types::{Accels, Span, Time};
use support::{Rig, WALL, job, key, starts};

struct Case {
    /// The failure that the case guards against.
    guards: &'static str,
    settings: &'static str,
    change: fn(&mut JobSpec),
    expect: Option<(Outcome, Code)>,
}

const CASES: &[Case] = &[
    Case { guards: "a sound job is refused", settings: "", change: |_| {}, expect: None },
    Case {
        guards: "a key that may have run and is forgotten starts anew",
        settings: "[root]\nkeys.remember=1m\n",
        change: |job| job.key = old_key(61_001),
        expect: Some((Outcome::Unknown, Code::KeyExpired)),
    },
    Case {
        guards: "a key is refused before its time is over",
        settings: "[root]\nkeys.remember=1m\n",
        change: |job| job.key = old_key(60_000),
        expect: None,
    },
    Case {
        guards: "a key from the future outlives the time for which keys are remembered",
        settings: "",
        change: |job| {
            job.key = format!("script/{}-x", WALL + 1_000 + 60_001).parse().expect("a key");
        },
        expect: Some((Outcome::NotRun, Code::KeyFromFuture)),
    },
    Case {
        guards: "a job without tasks never ends",
        settings: "",
        change: |job| job.tasks.clear(),
        expect: Some((Outcome::NotRun, Code::NoTasks)),
    },
    Case {
        guards: "one job takes more than its share of memory by tasks",
        settings: "[root]\nadmission.tasks=1\n",
        change: |job| job.tasks.push(job.tasks[0].clone()),
        expect: Some((Outcome::NotRun, Code::TooManyTasks)),
    },
    Case {
        guards: "one job takes more than its share of memory by payload",
        settings: "[root]\nadmission.payload=10B\n",
        change: |job| job.tasks[0].payload = vec![b'x'; 11].into(),
        expect: Some((Outcome::NotRun, Code::PayloadTooLarge)),
    },
    Case {
        guards: "a job that can never run waits until its deadline",
        settings: "",
        change: |job| job.tasks[0].need.accels = Accels::new(1),
        expect: Some((Outcome::NotRun, Code::NeverFits)),
    },
    Case {
        guards: "the last task's need is not looked at",
        settings: "",
        change: |job| {
            let mut task = job.tasks[0].clone();
            task.need.accels = Accels::new(1);
            job.tasks.push(task);
        },
        expect: Some((Outcome::NotRun, Code::NeverFits)),
    },
    Case {
        guards: "the queue grows without bound",
        settings: "[root]\nadmission.queue=1\n",
        change: |job| job.tasks.push(job.tasks[0].clone()),
        expect: Some((Outcome::NotRun, Code::QueueFull)),
    },
    Case {
        guards: "a job whose deadline has passed is started",
        settings: "",
        change: |job| job.deadline = Time::from_ms(1_000),
        expect: Some((Outcome::NotRun, Code::Deadline)),
    },
];

fn old_key(age: u64) -> cranberryhatch_types::JobKey {
    format!("script/{}-x", WALL + 1_000 - age).parse().expect("a key")
}

#[test]
fn submissions_are_checked() {
    for case in CASES {
        let mut rig = Rig::new(case.settings);
        rig.worker("w1", 1);
        let mut spec = job(&key("a"), 1);
        (case.change)(&mut spec);
        let ticket = rig.submit(&spec);
        let expect = case.expect.map(|(outcome, code)| (outcome, Some(code)));
        assert_eq!(rig.verdict(ticket), expect, "{}", case.guards);
        assert!(starts(&rig.out).is_empty(), "{}", case.guards);
    }
}

#[test]
fn a_shard_that_cannot_work_refuses() {
    // Guards against work that is taken and then lost: without settings, and while stopping.
    let mut rig = Rig::unset();
    let ticket = rig.submit(&job(&key("a"), 1));
    assert_eq!(rig.verdict(ticket), Some((Outcome::NotRun, Some(Code::SettingsUnavailable))));
    let mut rig = Rig::new("");
    rig.event(Event::Drain);
    let ticket = rig.submit(&job(&key("a"), 1));
    assert_eq!(rig.verdict(ticket), Some((Outcome::NotRun, Some(Code::Draining))));
    let mut rig = Rig::new("");
    rig.event(Event::Superseded);
    let ticket = rig.submit(&job(&key("a"), 1));
    assert_eq!(rig.verdict(ticket), Some((Outcome::NotRun, Some(Code::HolderLost))));
}

#[test]
fn a_full_queue_tells_when_to_come_back_and_takes_work_again() {
    // Guards against callers that come back too early, and against a bound that stays reached.
    let mut rig = Rig::new("[root]\nadmission.queue=2\n");
    rig.worker("w1", 1);
    let (_, started) = rig.run(&job(&key("a"), 2));
    rig.submit(&job(&key("b"), 1));
    let ticket = rig.submit(&job(&key("c"), 1));
    let answer = rig.reply(ticket).expect("an answer");
    assert_eq!(answer.code, Some(Code::QueueFull));
    assert!(answer.retry_after.is_some_and(|retry| retry >= Span::from_ms(100)));
    rig.done(started[0].attempt);
    let ticket = rig.submit(&job(&key("c"), 1));
    assert_eq!(rig.verdict(ticket), None, "a task went from the queue into flight");
}

struct Early {
    guards: &'static str,
    settings: &'static str,
    /// Run time observed, in milliseconds; none to observe nothing.
    observed: Option<u64>,
    /// Tasks of another job that wait.
    ahead: usize,
    /// Time to the deadline, in milliseconds.
    left: u64,
    refused: bool,
}

const EARLY: &[Early] = &[
    Early {
        guards: "a job waits in vain behind a queue that is too long",
        settings: "",
        observed: Some(100),
        ahead: 40,
        left: 1_000,
        refused: true,
    },
    Early {
        guards: "a job that can meet its deadline is refused",
        settings: "",
        observed: Some(100),
        ahead: 40,
        left: 8_000,
        refused: false,
    },
    Early {
        guards: "a job whose run alone exceeds its deadline is started",
        settings: "",
        observed: Some(100),
        ahead: 0,
        left: 50,
        refused: true,
    },
    Early {
        guards: "declared run times, which are off up to ten times, get a job refused",
        settings: "",
        observed: None,
        ahead: 40,
        left: 200,
        refused: false,
    },
    Early {
        guards: "the check runs although it is switched off",
        settings: "[root]\nadmission.early=off\n",
        observed: Some(100),
        ahead: 40,
        left: 1_000,
        refused: false,
    },
];

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    for case in EARLY {
        let mut rig = Rig::new(case.settings);
        rig.worker("w1", 2);
        for round in 0..20 {
            let Some(run) = case.observed else { break };
            let (_, started) = rig.run(&job(&key(&format!("seen-{round}")), 1));
            rig.pass(run);
            rig.done(started[0].attempt);
        }
        if case.ahead > 0 {
            rig.run(&job(&key("ahead"), case.ahead + 2));
        }
        let mut spec = job(&key("late"), 1);
        spec.deadline = rig.now + Span::from_ms(case.left);
        let ticket = rig.submit(&spec);
        let refused = rig.verdict(ticket) == Some((Outcome::NotRun, Some(Code::Deadline)));
        assert_eq!(refused, case.refused, "{}", case.guards);
    }
}

#[test]
fn a_deadline_that_passes_ends_the_job_with_its_true_outcome() {
    // Guards against answers held back beyond the deadline, and against a false "not run".
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let mut waiting = job(&key("waiting"), 1);
    waiting.deadline = Time::from_ms(2_000);
    let mut running = job(&key("running"), 2);
    running.deadline = Time::from_ms(2_500);
    let mut claiming = job(&key("claiming"), 1);
    claiming.deadline = Time::from_ms(1_500);
    let (run, _) = rig.run(&running);
    let (wait, _) = rig.run(&waiting);
    let claim = rig.submit(&claiming);
    rig.pass(500);
    assert_eq!(rig.verdict(claim), Some((Outcome::NotRun, Some(Code::Deadline))));
    rig.pass(500);
    assert_eq!(rig.verdict(wait), Some((Outcome::NotRun, Some(Code::Deadline))));
    rig.pass(500);
    assert_eq!(rig.verdict(run), Some((Outcome::Unknown, Some(Code::Deadline))));
    // The claim that lands late is removed, and nothing starts.
    rig.claimed(&claiming.key, ClaimOutcome::Granted);
    assert!(support::releases(&rig.out, &claiming.key) && starts(&rig.out).is_empty());
}
