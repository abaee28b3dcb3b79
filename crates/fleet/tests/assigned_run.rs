//! Guards against long tasks that are stopped again and again, and against runs on workers that
//! stand still that are waited for; against restarts from which no job gains.

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

/// A run that is expected to take 500 ms and is at work since the epoch.
fn held(stalls: u32, percent: u32, due_ms: u32) -> AssignedRun {
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
    let mut held = AssignedRun::new(front, &start, Time::ZERO).expect("a start");
    held.stage = RunStage::Running { since: Time::ZERO };
    held.percent = percent;
    held
}

#[test]
fn a_run_is_stopped_only_when_another_worker_would_be_faster() {
    // Tasks that are expected to run 500 ms.
    let cases = [
        Case { name: "on time", ran: 400, percent: 80, stalls: 0, stalled: false },
        Case {
            name: "no progress, not judged yet",
            ran: 700,
            percent: 0,
            stalls: 0,
            stalled: false,
        },
        Case { name: "no progress", ran: 900, percent: 0, stalls: 0, stalled: true },
        Case {
            name: "half done, long by itself",
            ran: 900,
            percent: 51,
            stalls: 0,
            stalled: false,
        },
        Case { name: "3.4 times as long", ran: 850, percent: 50, stalls: 0, stalled: false },
        Case { name: "six times slow", ran: 850, percent: 28, stalls: 0, stalled: true },
        Case { name: "slow after a stop", ran: 850, percent: 28, stalls: 1, stalled: false },
        Case { name: "no progress after a stop", ran: 2_400, percent: 0, stalls: 1, stalled: true },
    ];
    for Case { name, ran, percent, stalls, stalled } in cases {
        let held = held(stalls, percent, 0);
        assert_eq!(held.is_stalled(Time::from_ms(ran)), stalled, "{name}");
    }
}

#[test]
fn a_late_run_is_started_again_only_if_its_job_gains() {
    // Guards also against workers whose runs report no progress and are all taken for slow.
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
        case("five times slow, time for another", 240, 10, 0, 1_000, true),
        case("five times slow, no time for another", 400, 16, 0, 1_000, false),
        case("the objective cannot be met or is not known", 240, 10, 0, 0, false),
        case("in time although slow", 240, 10, 0, 3_000, false),
        case("not judged yet", 150, 5, 0, 1_000, false),
        case("on time", 240, 48, 0, 1_000, false),
        case("twice as long by itself", 240, 24, 0, 900, false),
        case("slow again after a stop", 240, 10, 1, 1_000, false),
        case("no progress reported yet", 240, 0, 0, 1_000, false),
        case("one percent reported", 240, 1, 0, 1_000, true),
    ];
    for Case { name, ran, percent, stalls, due_ms, gains } in cases {
        let found = held(stalls, percent, due_ms).gains_from_restart(Time::from_ms(ran));
        assert_eq!(found, gains, "{name}");
    }
}

#[test]
fn restarts_are_a_tenth_of_the_starts() {
    // Guards against expected run times that are all too short, so that every run seems late.
    let mut budget = RestartBudget::default();
    let spent = (0..1_000).filter(|_| {
        budget.earn();
        budget.spend()
    });
    assert_eq!(spent.count(), 100);
    (0..1_000).for_each(|_| budget.earn());
    assert_eq!((0..1_000).filter(|_| budget.spend()).count(), 5, "only a few are saved up");
}

#[test]
fn the_rest_of_a_run_follows_its_progress() {
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
        let mut held = held(0, percent, 0);
        held.progressed_at = Time::from_ms(seen);
        assert_eq!(held.remaining(Time::from_ms(now)), Span::from_ms(left), "{name}");
    }
}
