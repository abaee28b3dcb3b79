//! Guards against long tasks that are stopped again and again, against waiting for runs on workers
//! that have hung, and against restarts from which no job gains.

mod common;

use cranberryhatch_fleet::{AssignedRun, RestartBudget, RunStage};
use cranberryhatch_schema::fleet::{Need, Run, Start};
use cranberryhatch_types::{Span, Time};

struct Case {
    name: &'static str,
    ran: u64,
    percent: u32,
    stalls: u32,
    stalled: bool,
}

/// Creates a run that is expected to take 500 ms and has been running since time 0.
fn run(stalls: u32, percent: u32, due_ms: u32) -> AssignedRun {
    let run = Run { job: "j".to_owned(), step: 0, task: 0, run: 1 };
    let start = Start {
        run: Some(run),
        need: Some(Need::default()),
        run_ms: 500,
        stalls,
        due_ms,
        ..Start::default()
    };
    let front = "e-1".parse().expect("a name");
    let mut run = AssignedRun::new(front, &start, Time::ZERO).expect("a start");
    run.stage = RunStage::Running { since: Time::ZERO, last_poll: 0 };
    run.percent = percent;
    run
}

#[test]
fn run_is_stalled_only_when_another_worker_would_be_faster() {
    // The expected run time is 500 ms.
    let cases = [
        Case { name: "on time", ran: 400, percent: 80, stalls: 0, stalled: false },
        Case {
            name: "no progress, not checked yet",
            ran: 700,
            percent: 0,
            stalls: 0,
            stalled: false,
        },
        Case { name: "no progress", ran: 900, percent: 0, stalls: 0, stalled: true },
        Case { name: "half done, a long task", ran: 900, percent: 51, stalls: 0, stalled: false },
        Case { name: "3.4 times as long", ran: 850, percent: 50, stalls: 0, stalled: false },
        Case { name: "six times slower", ran: 850, percent: 28, stalls: 0, stalled: true },
        Case { name: "slow after a stop", ran: 850, percent: 28, stalls: 1, stalled: false },
        Case { name: "no progress after a stop", ran: 2_400, percent: 0, stalls: 1, stalled: true },
    ];
    for Case { name, ran, percent, stalls, stalled } in cases {
        let run = run(stalls, percent, 0);
        assert_eq!(run.is_stalled(Time::from_ms(ran)), stalled, "{name}");
    }
}

#[test]
fn late_run_is_restarted_only_if_its_job_gains() {
    // Also guards against workers that all count as slow because their runs report no progress.
    struct Case {
        name: &'static str,
        ran: u64,
        percent: u32,
        stalls: u32,
        due_ms: u32,
        gains: bool,
    }
    let case = |name, ran, percent, stalls, due_ms, gains| Case {
        name,
        ran,
        percent,
        stalls,
        due_ms,
        gains,
    };
    let cases = [
        case("five times slower, enough time for a restart", 240, 10, 0, 1_000, true),
        case("five times slower, no time for a restart", 400, 16, 0, 1_000, false),
        case("the latency target is unknown or cannot be met", 240, 10, 0, 0, false),
        case("on time although slow", 240, 10, 0, 3_000, false),
        case("not checked yet", 150, 5, 0, 1_000, false),
        case("on time", 240, 48, 0, 1_000, false),
        case("a task that takes twice as long", 240, 24, 0, 900, false),
        case("slow again after a stop", 240, 10, 1, 1_000, false),
        case("no progress reported yet", 240, 0, 0, 1_000, false),
        case("one percent reported", 240, 1, 0, 1_000, true),
    ];
    for Case { name, ran, percent, stalls, due_ms, gains } in cases {
        let found = run(stalls, percent, due_ms).gains_from_restart(Time::from_ms(ran));
        assert_eq!(found, gains, "{name}");
    }
}

#[test]
fn restarts_are_limited_to_a_tenth_of_the_starts() {
    // Guards against many restarts when all expected run times are too short.
    let mut budget = RestartBudget::default();
    let spent = (0..1_000).filter(|_| {
        budget.earn();
        budget.spend()
    });
    assert_eq!(spent.count(), 100);
    (0..1_000).for_each(|_| budget.earn());
    assert_eq!((0..1_000).filter(|_| budget.spend()).count(), 5, "the budget is capped");
}

#[test]
fn remaining_run_time_follows_progress() {
    struct Case {
        name: &'static str,
        seen: u64,
        percent: u32,
        now: u64,
        left: u64,
    }
    let cases = [
        Case { name: "no progress seen", seen: 0, percent: 0, now: 100, left: 400 },
        Case { name: "slow by its progress", seen: 100, percent: 10, now: 200, left: 800 },
        Case { name: "fast by its progress", seen: 150, percent: 50, now: 200, left: 100 },
        Case { name: "overdue", seen: 0, percent: 0, now: 900, left: 100 },
    ];
    for Case { name, seen, percent, now, left } in cases {
        let mut run = run(0, percent, 0);
        run.progressed_at = Time::from_ms(seen);
        assert_eq!(run.remaining(Time::from_ms(now)), Span::from_ms(left), "{name}");
    }
}
