//! Cases of answers kept for resubmissions, and of keys that must not start again.

mod support;

use cranberryhatch_core::{Code, Outcome, StartResponse};
use cranberryhatch_types::{Span, Time};
use support::{HOLDER, Rig, issued, job, key, starts};

struct Case {
    guards: &'static str,
    settings: &'static str,
    /// Time from the end of the job to the resubmission, in milliseconds.
    after: u64,
    /// Jobs that end in between, each with a result of 100 kB.
    others: usize,
    fails: bool,
    expect: (Outcome, Option<Code>),
}

const CASES: &[Case] = &[
    Case {
        guards: "an answer is dropped before its time",
        settings: "[root]\nkeys.answers=10s\n",
        after: 9_900,
        others: 0,
        fails: false,
        expect: (Outcome::Complete, None),
    },
    Case {
        guards: "a job starts again when its answer is dropped by age",
        settings: "[root]\nkeys.answers=10s\n",
        after: 10_000,
        others: 0,
        fails: false,
        expect: (Outcome::Complete, Some(Code::AnswerExpired)),
    },
    Case {
        guards: "a dropped answer turns a failure into something else",
        settings: "[root]\nkeys.answers=10s\n",
        after: 10_000,
        others: 0,
        fails: true,
        expect: (Outcome::Failed, Some(Code::AnswerExpired)),
    },
    Case {
        guards: "answers take more memory than allowed",
        settings: "[root]\nkeys.memory=1MiB\n",
        after: 0,
        others: 11,
        fails: false,
        expect: (Outcome::Complete, Some(Code::AnswerExpired)),
    },
    Case {
        guards: "an answer is dropped although there is room",
        settings: "[root]\nkeys.memory=1MiB\n",
        after: 0,
        others: 8,
        fails: false,
        expect: (Outcome::Complete, None),
    },
];

#[test]
fn a_job_that_ended_never_starts_again() {
    for case in CASES {
        let mut rig = Rig::new(case.settings);
        rig.worker("w1", 4);
        let spec = job(&key("a"), 1);
        let (_, started) = rig.run(&spec);
        if case.fails {
            rig.answer(started[0].attempt, StartResponse::Failed("no".to_owned()));
        } else {
            rig.done(started[0].attempt);
        }
        for other in 0..case.others {
            let (_, started) = rig.run(&job(&key(&format!("other-{other}")), 1));
            rig.answer(started[0].attempt, StartResponse::Done(vec![0; 100_000].into()));
        }
        rig.pass(case.after);
        assert!(rig.shard.retained_bytes() <= 1 << 20, "{}", case.guards);
        let again = rig.submit(&spec);
        assert_eq!(rig.verdict(again), Some(case.expect), "{}", case.guards);
        assert!(starts(&rig.out).is_empty(), "{}", case.guards);
        let asked = rig.wait(&spec.key, 0);
        assert_eq!(rig.verdict(asked), Some(case.expect), "{}", case.guards);
        let mut other = spec.clone();
        other.digest = [7; 32];
        let reused = rig.submit(&other);
        assert_eq!(rig.verdict(reused), Some((Outcome::NotRun, Some(Code::KeyReused))));
    }
}

#[test]
fn keys_are_remembered_or_refused_under_any_number_of_jobs() {
    // Guards against a key that starts again because more jobs ended than records are kept, and
    // against a bound that refuses new keys.
    const JOBS: u64 = 450_000;
    let mut rig = Rig::new("[root]\nkeys.memory=1MiB\n");
    rig.worker("w1", 4);
    let make = |number: u64| {
        let text = format!("script/{}~praha-a-1~7~{number}", support::WALL + number / 1_000);
        let mut spec = job(&text.parse().expect("a key"), 1);
        spec.deadline = Time::from_ms(60_000);
        spec
    };
    for number in 0..JOBS {
        let (_, started) = rig.run(&make(number));
        assert_eq!(started.len(), 1, "a new key starts");
        rig.done(started[0].attempt);
    }
    for number in [0, 1, 20_000, 49_999, 50_000, 60_000, 449_999] {
        let ticket = rig.submit(&make(number));
        let (outcome, code) = rig.verdict(ticket).expect("an answer");
        assert!(starts(&rig.out).is_empty());
        match code {
            Some(Code::KeyExpired) => assert_eq!(outcome, Outcome::Unknown),
            _ => assert_eq!(outcome, Outcome::Complete),
        }
    }
}

#[test]
fn a_job_that_did_not_run_may_be_submitted_again() {
    // Guards against "not run" as the last word, and against attempt numbers that endpoints refuse.
    let mut rig = Rig::new("[root]\nretry.attempts=1\n");
    // A worker that refused gets a rest, so that the second submission needs another one.
    for worker in ["w1", "w2", "w3", "w4"] {
        rig.worker(worker, 4);
    }
    for spec in [job(&key("a"), 1), job(&issued(HOLDER, 1), 1)] {
        let (ticket, started) = rig.run(&spec);
        rig.refuse(started[0].attempt, cranberryhatch_core::NotRun::StartFailed);
        assert_eq!(rig.verdict(ticket), Some((Outcome::NotRun, Some(Code::RetriesExhausted))));
        assert!(support::releases(&rig.out, &spec.key));
        assert_eq!(support::records(&rig.out), 0);
        let (_, second) = rig.run(&spec);
        assert_eq!(second.len(), 1);
        assert!(second[0].name.attempt > started[0].name.attempt);
    }
}

#[test]
fn memory_of_answers_is_returned() {
    // Guards against kept answers that add up over time.
    let mut rig = Rig::new("[root]\nkeys.answers=1s\n");
    rig.worker("w1", 4);
    for round in 0..20 {
        let mut spec = job(&key(&format!("a-{round}")), 1);
        spec.deadline = rig.now + Span::from_secs(30);
        let (_, started) = rig.run(&spec);
        rig.done(started[0].attempt);
        rig.pass(500);
    }
    rig.pass(1_000);
    assert_eq!(rig.shard.retained_bytes(), 0);
}
