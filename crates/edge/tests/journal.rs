//! Guards against a log volume that grows with the load.

use cranberryhatch_edge::EventLogger;
use cranberryhatch_fleet::{LogEvent, NotRunCause, Outcome, RefusalCause, RunKey, TaskKey};
use cranberryhatch_types::{Span, Time};

/// Maximum number of lines of one name in a second, as stated in docs/OPERATIONS.md.
const LIMIT: usize = 60;

fn refused(number: u64) -> LogEvent {
    LogEvent::Refused {
        job: format!("{number:016x}"),
        kind: "k".to_owned(),
        cause: RefusalCause::Behind,
        start: Some(Span::from_ms(9)),
        slots: 10,
        work: Span::from_ms(9),
        share: 0,
        retry: Span::from_ms(100),
    }
}

fn dropped(logger: &EventLogger, events: impl Iterator<Item = LogEvent>, now: Time) -> usize {
    events.filter(|event| logger.log(event, now)).count()
}

#[test]
fn lines_over_the_rate_limit_of_one_name_are_counted_and_do_not_affect_other_names() {
    let logger = EventLogger::default();
    let now = Time::from_ms(10_000);
    assert_eq!(dropped(&logger, (0..1_000).map(refused), now), 1_000 - LIMIT);
    let other = LogEvent::Paused { gap: Span::from_ms(900) };
    assert!(!logger.log(&other, now), "another name has its own limit");
    let later = now + Span::from_ms(1_000);
    assert!(!logger.log(&refused(1), later), "the limit starts anew in the next second");
}

#[test]
fn unknown_runs_are_logged_beyond_the_limit_of_other_lines() {
    // Stated in docs/OPERATIONS.md.
    const RESTART_LIMIT: usize = 600;
    let unknown = |number: u32| LogEvent::UnknownRun {
        run: RunKey { task: TaskKey { job: "j".to_owned(), step: 0, task: number }, run: 1 },
        worker: "w".parse().expect("an id"),
        polled: Span::from_ms(2),
        ended: None,
    };
    let logger = EventLogger::default();
    let now = Time::from_ms(10_000);
    assert_eq!(dropped(&logger, (0..1_000).map(unknown), now), 1_000 - RESTART_LIMIT);
}

#[test]
fn routine_events_are_logged_for_sampled_jobs_and_failures_for_all_jobs() {
    let answered = |number: u64, outcome: Outcome| LogEvent::Answered {
        job: format!("{number:016x}"),
        kind: "k".to_owned(),
        outcome,
        took: Span::from_ms(9),
        queued: None,
        runs: 1,
    };
    // Ten jobs per second stay below the rate limit, so that only sampling can leave lines out.
    let counted = |outcome: Outcome| {
        let logger = EventLogger::default();
        let mut seconds = 0..100_u64;
        let lost = seconds.by_ref().map(|second| {
            let now = Time::from_ms(10_000 + second * 1_000);
            dropped(&logger, (0..10).map(|job| answered(second * 10 + job, outcome)), now)
        });
        lost.sum::<usize>()
    };
    let cause = NotRunCause::Overload;
    assert_eq!(counted(Outcome::NotRun { cause, retry: Span::from_ms(100) }), 0);
    let completed = (0..1_600).filter(|number| {
        let LogEvent::Answered { job, .. } = answered(*number, Outcome::Completed) else {
            return false;
        };
        cranberryhatch_fleet::is_sampled(&job, 16)
    });
    let share = completed.count();
    assert!((50..=200).contains(&share), "one job in 16 of 1,600, not {share}");
}
