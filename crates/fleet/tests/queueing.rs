//! Guards against late answers in a burst that the order of the queue could have avoided.

mod common;

use common::{waiting, work};
use cranberryhatch_fleet::{Backlog, Waiting, latest_starts};
use cranberryhatch_types::{Span, Time};

struct Case {
    name: &'static str,
    queued: Vec<Waiting>,
    now: u64,
    order: &'static [&'static str],
}

#[test]
fn the_queue_serves_what_can_still_be_on_time_first() {
    let cases = [
        Case {
            name: "a tight short job passes a long one with slack",
            queued: vec![waiting("long", 600, 4_000), waiting("short", 90, 300)],
            now: 10,
            order: &["short", "long"],
        },
        Case {
            name: "what cannot be on time gets the room that is left",
            queued: vec![waiting("late", 50, 400), waiting("timely", 200, 800)],
            now: 100,
            order: &["timely", "late"],
        },
        Case {
            name: "a job that has begun keeps its place when it is late",
            queued: vec![
                Waiting { begun: true, ..waiting("begun", 50, 400) },
                waiting("timely", 200, 800),
            ],
            now: 100,
            order: &["begun", "timely"],
        },
        Case {
            name: "a smaller priority comes first",
            queued: vec![
                waiting("second", 100, 800),
                Waiting { priority: 0, ..waiting("first", 200, 800) },
            ],
            now: 10,
            order: &["first", "second"],
        },
    ];
    for Case { name, queued, now, order } in cases {
        let mut backlog = Backlog::default();
        for waiting in queued {
            backlog.add(waiting, Time::ZERO);
        }
        backlog.age(Time::from_ms(now));
        let found: Vec<&str> = backlog.iter().map(|waiting| waiting.job.as_str()).collect();
        assert_eq!(found, order, "{name}");
    }
}

#[test]
fn latest_starts_end_with_the_callers_time_limit() {
    let (born, limit) = (Time::from_ms(1_000), Time::from_ms(1_500));
    let (on_time, useful) = latest_starts(born, limit, Span::from_ms(300), Span::from_ms(100));
    assert_eq!((on_time.as_ms(), useful.as_ms()), (1_200, 1_400));
}

#[test]
fn work_counts_tasks_cores_and_time() {
    assert_eq!(work(&waiting("job", 100, 400)), 2 * 14_000 * 100);
}
