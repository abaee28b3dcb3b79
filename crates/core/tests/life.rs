//! Cases of waits, cancellations and stops.

mod support;

use cranberryhatch_core::{
    Code, Command, Counter, Event, JobSpec, Outcome, StartResponse, StateChange,
};
use cranberryhatch_types::{Span, Time};
use support::{HOLDER, Rig, counted, issued, job, key, key_of, starts, stops};

#[test]
fn a_wait_ends_with_the_answer_or_in_time() {
    // Guards against requests that hang, and against an answer that reaches only one of them.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let (submitted, started) = rig.run(&job(&key("a"), 1));
    let at_once = rig.wait(&key("a"), 0);
    assert_eq!(rig.verdict(at_once), Some((Outcome::Pending, None)));
    let short = rig.wait(&key("a"), 100);
    let long = rig.wait(&key("a"), 1_000);
    rig.pass(100);
    assert_eq!(rig.verdict(short), Some((Outcome::Pending, None)));
    rig.done(started[0].attempt);
    assert_eq!(rig.verdict(short), None);
    for ticket in [submitted, long] {
        assert_eq!(rig.verdict(ticket), Some((Outcome::Complete, None)));
    }
    rig.pass(2_000);
    assert!(!rig.out.iter().any(|command| matches!(command, Command::Reply { .. })));
    let unknown = rig.wait(&key("b"), 1_000);
    assert_eq!(rig.verdict(unknown), Some((Outcome::Unknown, Some(Code::KeyUnknown))));
}

#[test]
fn a_caller_that_went_away_gets_no_reply_and_its_job_goes_on() {
    // Guards against replies kept for nobody, and against jobs that end with their connection.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let (ticket, started) = rig.run(&job(&key("a"), 1));
    rig.event(Event::CallerDisconnected { ticket });
    rig.done(started[0].attempt);
    assert_eq!(rig.reply(ticket), None);
    assert_eq!(counted(&rig.out, Counter::JobsComplete), 1);
}

struct Case {
    guards: &'static str,
    /// Tasks of the job; the worker has two slots.
    tasks: usize,
    /// Tasks that have run before the cancellation.
    done: usize,
    /// Tasks that another job has taken the slots for.
    taken: usize,
    expect: Outcome,
    stops: usize,
}

const CASES: &[Case] = &[
    Case {
        guards: "a job that did not start is said to be unknown",
        tasks: 3,
        done: 0,
        taken: 2,
        expect: Outcome::NotRun,
        stops: 0,
    },
    Case {
        guards: "a job whose tasks run is said not to have run",
        tasks: 3,
        done: 0,
        taken: 0,
        expect: Outcome::Unknown,
        stops: 2,
    },
    Case {
        guards: "a job that ran in part is said not to have run",
        tasks: 2,
        done: 1,
        taken: 1,
        expect: Outcome::Failed,
        stops: 0,
    },
    Case {
        guards: "a job that ended is cancelled after all",
        tasks: 1,
        done: 1,
        taken: 0,
        expect: Outcome::Complete,
        stops: 0,
    },
];

#[test]
fn cancellations_tell_the_truth() {
    for case in CASES {
        let mut rig = Rig::new("[root]\nfair.enabled=off\n");
        rig.worker("w1", 2);
        if case.taken > 0 {
            rig.run(&job(&key("taken"), case.taken));
        }
        let (_, mut started) = rig.run(&job(&key("a"), case.tasks));
        for _ in 0..case.done {
            // Another job's task takes the slot that comes free, so that the next one waits.
            if case.tasks > 1 {
                let mut first = job(&key("first"), 1);
                first.deadline = Time::from_ms(30_000);
                rig.run(&first);
            }
            let start = started.remove(0);
            rig.done(start.attempt);
            let next = starts(&rig.out);
            for start in next {
                // The second task of the job is refused, so that it waits.
                rig.refuse(start.attempt, cranberryhatch_core::NotRun::Busy);
            }
        }
        let ticket = rig.cancel(&key("a"));
        let answer = rig.reply(ticket).unwrap_or_else(|| panic!("no answer: {}", case.guards));
        assert_eq!(answer.outcome, case.expect, "{}", case.guards);
        let stopped: usize = stops(&rig.out).iter().map(|(_, count)| count).sum();
        assert_eq!(stopped, case.stops, "{}", case.guards);
        assert!(answer.results.is_empty() || answer.outcome == Outcome::Complete);
    }
}

#[test]
fn a_task_that_may_have_run_is_not_said_not_to_have_run() {
    // Guards against a false "not run" while an idempotent task waits for its next attempt after
    // the lease of one that may have run.
    let mut rig = Rig::new("[root]\nretry.lapsed=on\nlease.task=1s\nlease.margin=100ms\n");
    rig.worker("w1", 1);
    let spec = JobSpec { idempotent: true, ..job(&key("a"), 1) };
    let (_, started) = rig.run(&spec);
    rig.answer(started[0].attempt, StartResponse::Lost);
    rig.silence("w1");
    rig.pass(1_100);
    rig.settle(started[0].attempt, cranberryhatch_core::AttemptStatus::Unreachable);
    let again = starts(&rig.out);
    rig.refuse(again[0].attempt, cranberryhatch_core::NotRun::Busy);
    let ticket = rig.cancel(&key("a"));
    assert_eq!(rig.verdict(ticket), Some((Outcome::Unknown, Some(Code::Cancelled))));
}

#[test]
fn a_wave_of_cancellations_sends_one_stop_a_worker() {
    // Guards against a message for each task, and against jobs of other teams or labels.
    let mut rig = Rig::new("");
    for worker in ["w1", "w2", "w3"] {
        rig.worker(worker, 20);
    }
    let labelled = |team: &str, text: &str, label: &str| JobSpec {
        label: Some(label.to_owned()),
        ..job(&key_of(team, text), 3)
    };
    for no in 0..15 {
        rig.run(&labelled("script", &format!("a-{no}"), "night"));
    }
    let (other_label, _) = rig.run(&labelled("script", "b", "day"));
    let (other_team, _) = rig.run(&labelled("kiosk", "c", "night"));
    let team = "script".parse().expect("a team");
    rig.event(Event::CancelLabel { team, label: "night".to_owned() });
    let stops = stops(&rig.out);
    assert_eq!(stops.len(), 3, "one command a worker: {stops:?}");
    assert_eq!(stops.iter().map(|(_, count)| count).sum::<usize>(), 45);
    assert_eq!(counted(&rig.out, Counter::JobsUnknown), 15);
    assert_eq!((rig.reply(other_label), rig.reply(other_team)), (None, None));
}

#[test]
fn a_stop_finishes_what_was_accepted() {
    // Guards against requests that are cut off, and against an instance that never stops.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let (ticket, started) = rig.run(&job(&key("a"), 2));
    let drained = |rig: &Rig| rig.out.iter().any(|command| matches!(command, Command::Drained));
    rig.event(Event::Drain);
    assert!(rig.out.iter().any(|c| matches!(c, Command::State(StateChange::Draining))));
    let refused = rig.submit(&job(&issued(HOLDER, 1), 1));
    assert_eq!(rig.verdict(refused), Some((Outcome::NotRun, Some(Code::Draining))));
    assert!(!drained(&rig));
    rig.done(started[0].attempt);
    let second = starts(&rig.out);
    assert!(!drained(&rig));
    rig.done(second[0].attempt);
    assert_eq!(rig.verdict(ticket), Some((Outcome::Complete, None)));
    assert!(drained(&rig));
    rig.pass(100);
    assert!(!drained(&rig), "it is reported once");
}

#[test]
fn a_stop_waits_for_attempts_of_ended_jobs() {
    // Guards against a process that ends while its tasks still run under its lease.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let (_, started) = rig.run(&job(&key("a"), 1));
    rig.cancel(&key("a"));
    rig.event(Event::Drain);
    assert!(!rig.out.iter().any(|command| matches!(command, Command::Drained)));
    rig.answer(started[0].attempt, StartResponse::Failed("stopped".to_owned()));
    assert!(rig.out.iter().any(|command| matches!(command, Command::Drained)));
}

#[test]
fn a_superseded_holder_gives_up_its_jobs() {
    // Guards against answers about jobs that a successor runs, and against writes to its rows.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let (running, _) = rig.run(&job(&key("a"), 2));
    let claiming = rig.submit(&job(&key("b"), 1));
    rig.event(Event::Superseded);
    for ticket in [running, claiming] {
        assert_eq!(rig.verdict(ticket), Some((Outcome::Unknown, Some(Code::HolderLost))));
    }
    assert_eq!(support::records(&rig.out), 0);
    assert!(!support::releases(&rig.out, &key("b")));
    rig.claimed(&key("b"), cranberryhatch_core::ClaimOutcome::Granted);
    assert!(starts(&rig.out).is_empty() && !support::releases(&rig.out, &key("b")));
}

#[test]
fn many_waiting_tasks_cost_an_event_nothing() {
    // Guards against work in proportion to the queue: counted in steps, not in time, by a bound on
    // the commands that events cause while 100,000 tasks wait.
    let mut rig = Rig::new("[root]\nadmission.queue=200000\nadmission.early=off\n");
    rig.worker("w1", 4);
    for no in 0..100 {
        let mut spec = job(&issued(HOLDER, no), 1_000);
        spec.deadline = Time::from_ms(600_000);
        rig.submit(&spec);
    }
    assert_eq!((rig.shard.in_flight(), rig.shard.waiting()), (4, 99_996));
    let out = rig.pass(1_000);
    assert!(out.is_empty(), "{} commands", out.len());
    rig.now = rig.now + Span::from_ms(1);
}
