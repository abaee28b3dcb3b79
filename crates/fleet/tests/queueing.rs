//! Guards against late answers in a burst that a better order of the backlog would avoid.

mod common;

use common::{queued, work};
use cranberryhatch_fleet::{Backlog, FairShare, QueuedTasks, latest_starts};
use cranberryhatch_types::{Span, Time};

struct Case {
    name: &'static str,
    queued: Vec<QueuedTasks>,
    now: u64,
    order: &'static [&'static str],
}

#[test]
fn timely_jobs_are_served_before_late_ones() {
    let cases = [
        Case {
            name: "a short job with a tight target before a long one with slack",
            queued: vec![queued("long", 600, 4_000), queued("short", 90, 300)],
            now: 10,
            order: &["short", "long"],
        },
        Case {
            name: "a late job after a timely one",
            queued: vec![queued("late", 50, 400), queued("timely", 200, 800)],
            now: 100,
            order: &["timely", "late"],
        },
        Case {
            name: "a late job that has started keeps its position",
            queued: vec![
                QueuedTasks { begun: true, ..queued("begun", 50, 400) },
                queued("timely", 200, 800),
            ],
            now: 100,
            order: &["begun", "timely"],
        },
        Case {
            name: "a smaller priority number comes first",
            queued: vec![
                queued("second", 100, 800),
                QueuedTasks { priority: 0, ..queued("first", 200, 800) },
            ],
            now: 10,
            order: &["first", "second"],
        },
        Case {
            name: "a smaller priority number comes first even if it is late",
            queued: vec![
                queued("second", 200, 800),
                QueuedTasks { priority: 0, ..queued("first", 50, 400) },
            ],
            now: 100,
            order: &["first", "second"],
        },
    ];
    for Case { name, queued, now, order } in cases {
        let mut backlog = Backlog::default();
        for queued in queued {
            backlog.add(queued, Time::ZERO);
        }
        backlog.demote_late(Time::from_ms(now));
        let found: Vec<&str> = backlog.iter().map(|queued| queued.job.as_str()).collect();
        assert_eq!(found, order, "{name}");
    }
}

#[test]
fn useful_start_is_limited_by_the_deadline() {
    let (arrived, deadline) = (Time::from_ms(1_000), Time::from_ms(1_500));
    let (latest_start, useful_start) =
        latest_starts(arrived, deadline, Span::from_ms(300), Span::from_ms(100));
    assert_eq!((latest_start.as_ms(), useful_start.as_ms()), (1_200, 1_400));
}

#[test]
fn work_counts_tasks_cores_and_time() {
    assert_eq!(work(&queued("job", 100, 400)), 2 * 14_000 * 100);
}

#[test]
fn zones_above_their_share_are_deferred_within_a_priority() {
    // Guards against zones that are served in proportion to what they send.
    let of = |job, zone: &str, latest_start| QueuedTasks {
        zone: zone.to_owned(),
        ..queued(job, latest_start, 900)
    };
    let mut backlog = Backlog::default();
    let mut fair_share = FairShare::default();
    let now = Time::from_ms(1_000);
    let served = of("served", "a", 100);
    fair_share.record_grant(&served, 1_000.0, now);
    fair_share.record_grant(&of("other", "b", 100), 500.0, now);
    for queued in [
        of("much", "a", 2_000),
        of("little", "b", 2_100),
        QueuedTasks { begun: true, ..of("begun", "a", 2_200) },
        QueuedTasks { priority: 2, ..of("long", "b", 2_000) },
    ] {
        backlog.add(queued, now);
    }
    let order = |backlog: &Backlog| -> Vec<String> {
        backlog.iter().map(|queued| queued.job.clone()).collect()
    };
    let overserved = fair_share.overserved_zones(now);
    backlog.defer_zones(|queued| overserved.contains(queued));
    assert_eq!(order(&backlog), ["begun", "much", "little", "long"], "nothing was refused");
    fair_share.record_refusal(&served, now);
    let overserved = fair_share.overserved_zones(now);
    backlog.defer_zones(|queued| overserved.contains(queued));
    assert_eq!(order(&backlog), ["begun", "little", "much", "long"], "capacity is scarce");
    let later = Time::from_ms(4_000);
    let overserved = fair_share.overserved_zones(later);
    backlog.defer_zones(|queued| overserved.contains(queued));
    assert_eq!(
        order(&backlog),
        ["begun", "much", "little", "long"],
        "nothing was refused recently"
    );
}

#[test]
fn without_a_shortage_the_order_is_by_priority_and_latest_start() {
    // Guards against changes of the order where nothing is refused and nothing is late.
    for seed in 1..=200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut backlog = Backlog::default();
        let mut fair_share = FairShare::default();
        let mut expected: Vec<QueuedTasks> = Vec::new();
        for number in 0..40 {
            let queued = QueuedTasks {
                priority: rng.u32(0..3),
                begun: rng.bool(),
                zone: ["a", "b", "c"][rng.usize(0..3)].to_owned(),
                ..queued(&number.to_string(), rng.u64(100..120), 900)
            };
            fair_share.record_grant(&queued, rng.f64() * 1_000.0, Time::ZERO);
            // The order without sharing between zones: each entry after all that do not come after
            // it.
            let key = |w: &QueuedTasks| (w.priority, !w.begun, w.latest_start);
            let place = expected.partition_point(|known| key(known) <= key(&queued));
            expected.insert(place, queued.clone());
            backlog.add(queued, Time::ZERO);
            let overserved = fair_share.overserved_zones(Time::ZERO);
            backlog.defer_zones(|queued| overserved.contains(queued));
        }
        let names: Vec<&str> = expected.iter().map(|queued| queued.job.as_str()).collect();
        let found: Vec<&str> = backlog.iter().map(|queued| queued.job.as_str()).collect();
        assert_eq!(found, names, "seed {seed}");
    }
}
