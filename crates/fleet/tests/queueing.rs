//! Guards against late answers in a burst that the order of the queue could have avoided.

mod common;

use common::{waiting, work};
use cranberryhatch_fleet::{Backlog, FairShare, QueuedTasks, latest_starts};
use cranberryhatch_types::{Span, Time};

struct Case {
    name: &'static str,
    queued: Vec<QueuedTasks>,
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
                QueuedTasks { begun: true, ..waiting("begun", 50, 400) },
                waiting("timely", 200, 800),
            ],
            now: 100,
            order: &["begun", "timely"],
        },
        Case {
            name: "a smaller priority comes first",
            queued: vec![
                waiting("second", 100, 800),
                QueuedTasks { priority: 0, ..waiting("first", 200, 800) },
            ],
            now: 10,
            order: &["first", "second"],
        },
        Case {
            name: "a smaller priority comes first even if it is late",
            queued: vec![
                waiting("second", 200, 800),
                QueuedTasks { priority: 0, ..waiting("first", 50, 400) },
            ],
            now: 100,
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
    let (arrived, deadline) = (Time::from_ms(1_000), Time::from_ms(1_500));
    let (latest_start, useful_start) =
        latest_starts(arrived, deadline, Span::from_ms(300), Span::from_ms(100));
    assert_eq!((latest_start.as_ms(), useful_start.as_ms()), (1_200, 1_400));
}

#[test]
fn work_counts_tasks_cores_and_time() {
    assert_eq!(work(&waiting("job", 100, 400)), 2 * 14_000 * 100);
}

#[test]
fn a_zone_that_has_had_its_share_goes_behind_the_others_of_its_priority() {
    // Guards against zones that are served in proportion to what they send.
    let of = |job, zone: &str, latest_start| QueuedTasks {
        zone: zone.to_owned(),
        ..waiting(job, latest_start, 900)
    };
    let mut backlog = Backlog::default();
    let mut sharing = FairShare::default();
    let now = Time::from_ms(1_000);
    let served = of("served", "a", 100);
    sharing.count(&served, 1_000.0, now);
    sharing.count(&of("other", "b", 100), 500.0, now);
    for waiting in [
        of("much", "a", 2_000),
        of("little", "b", 2_100),
        QueuedTasks { begun: true, ..of("begun", "a", 2_200) },
        QueuedTasks { priority: 2, ..of("long", "b", 2_000) },
    ] {
        backlog.add(waiting, now);
    }
    let order = |backlog: &Backlog| -> Vec<String> {
        backlog.iter().map(|waiting| waiting.job.clone()).collect()
    };
    let above = sharing.above(now);
    backlog.share(|waiting| above.contains(waiting));
    assert_eq!(order(&backlog), ["begun", "much", "little", "long"], "nothing was refused");
    sharing.refused(&served, now);
    let above = sharing.above(now);
    backlog.share(|waiting| above.contains(waiting));
    assert_eq!(order(&backlog), ["begun", "little", "much", "long"], "capacity is short");
    let later = Time::from_ms(4_000);
    let above = sharing.above(later);
    backlog.share(|waiting| above.contains(waiting));
    assert_eq!(order(&backlog), ["begun", "much", "little", "long"], "nothing was refused lately");
}

#[test]
fn without_a_shortage_the_order_is_by_priority_and_latest_start() {
    // Guards against changes of the order where nothing is refused and nothing is late.
    for seed in 1..=200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut backlog = Backlog::default();
        let mut sharing = FairShare::default();
        let mut expected: Vec<QueuedTasks> = Vec::new();
        for number in 0..40 {
            let waiting = QueuedTasks {
                priority: rng.u32(0..3),
                begun: rng.bool(),
                zone: ["a", "b", "c"][rng.usize(0..3)].to_owned(),
                ..waiting(&number.to_string(), rng.u64(100..120), 900)
            };
            sharing.count(&waiting, rng.f64() * 1_000.0, Time::ZERO);
            // The order before zones were shared: each behind all that do not come after it.
            let key = |w: &QueuedTasks| (w.priority, !w.begun, w.latest_start);
            let place = expected.partition_point(|known| key(known) <= key(&waiting));
            expected.insert(place, waiting.clone());
            backlog.add(waiting, Time::ZERO);
            let above = sharing.above(Time::ZERO);
            backlog.share(|waiting| above.contains(waiting));
        }
        let names: Vec<&str> = expected.iter().map(|waiting| waiting.job.as_str()).collect();
        let found: Vec<&str> = backlog.iter().map(|waiting| waiting.job.as_str()).collect();
        assert_eq!(found, names, "seed {seed}");
    }
}
