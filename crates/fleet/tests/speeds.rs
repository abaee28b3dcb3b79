//! Guards against workers that are excluded because of a single run, speed changes that are
//! detected late, and statistics that are lost or outlive their worker.

mod common;

use common::{listed, need, worker_view};
use cranberryhatch_fleet::{
    Command, Message, Output, RunStats, RunTimes, Scheduler, SpeedEstimate, WorkerList, WorkerPool,
    WorkerStats, WorkerView,
};
use cranberryhatch_schema::fleet::{Ask, Freed, How, KindTime, Room, Rooms, Run};
use cranberryhatch_types::{Span, Time};

const NOW: Time = Time::from_ms(1_000_000);
const EXPECTED: Span = Span::from_ms(100);

fn learn(worker: &mut WorkerView, took: u64, times: usize) {
    for _ in 0..times {
        worker.learn(How::Done, Span::from_ms(took), EXPECTED, false, NOW);
    }
}

#[test]
fn slow_workers_are_detected_from_their_runs() {
    struct Case {
        name: &'static str,
        // Run times in milliseconds and their numbers.
        runs: &'static [(u64, usize)],
        slow: bool,
        probation: bool,
    }
    let cases = [
        Case { name: "as expected", runs: &[(100, 16)], slow: false, probation: false },
        Case {
            name: "one run 1.5 times as long",
            runs: &[(100, 16), (150, 1)],
            slow: false,
            probation: false,
        },
        Case {
            name: "one run 2.5 times as long",
            runs: &[(100, 16), (250, 1)],
            slow: false,
            probation: false,
        },
        Case {
            name: "one run five times as long: uncertain",
            runs: &[(100, 16), (500, 1)],
            slow: true,
            probation: true,
        },
        Case {
            name: "one run five times as long, then one as expected",
            runs: &[(100, 16), (500, 1), (100, 1)],
            slow: false,
            probation: false,
        },
        Case {
            name: "two runs five times as long",
            runs: &[(100, 16), (500, 2)],
            slow: true,
            probation: true,
        },
        Case {
            name: "slow, then one as expected: on probation",
            runs: &[(500, 16), (100, 1)],
            slow: false,
            probation: true,
        },
        Case {
            name: "slow, then two as expected",
            runs: &[(500, 16), (100, 2)],
            slow: false,
            probation: false,
        },
        Case {
            name: "three times as long for four runs",
            runs: &[(100, 16), (300, 4)],
            slow: true,
            probation: true,
        },
    ];
    for Case { name, runs, slow, probation } in cases {
        let mut worker = worker_view("w", "a", 32_000);
        for (took, times) in runs {
            learn(&mut worker, *took, *times);
        }
        assert_eq!((worker.is_slow(), worker.is_on_probation()), (slow, probation), "{name}");
    }
}

#[test]
fn uncertainty_ends_and_samples_decay() {
    let mut doubtful = worker_view("w", "a", 32_000);
    learn(&mut doubtful, 100, 16);
    learn(&mut doubtful, 500, 1);
    doubtful.update_speed(NOW + Span::from_ms(2_000));
    assert!(
        !doubtful.is_slow() && doubtful.is_on_probation(),
        "one task at a time until another run"
    );
    let mut slow = worker_view("w", "a", 32_000);
    learn(&mut slow, 500, 16);
    slow.update_speed(NOW + Span::from_secs(30));
    assert!(slow.is_slow(), "a slow worker is not forgotten within 30 s");
    slow.update_speed(NOW + Span::from_secs(600));
    assert!(!slow.is_slow(), "nothing is known after ten minutes");
}

/// Guards against a slow class of workers that counts as faulty, and against new workers of a known
/// class that get the average slowness.
#[test]
fn new_workers_get_the_slowness_of_their_class() {
    let worker = |class: &str, number: usize, took: u64| {
        let mut worker = worker_view(&format!("{class}-{number}"), "a", 32_000);
        worker.listed.labels = vec![class.to_owned(), format!("rack-{number}")];
        learn(&mut worker, took, if number == 0 { 0 } else { 8 });
        worker
    };
    let mut pool = WorkerPool::default();
    for number in 0..8 {
        pool.add_rack(&format!("rack-{number}"));
        pool.insert(worker("fast", number, 100));
        pool.insert(worker("slow", number, 270));
    }
    pool.update_speeds(NOW);
    assert!(pool.slow_workers().is_empty(), "{:?} count as slow", pool.slow_workers());
    let level = |id: &str| pool.get(&id.parse().expect("an id")).map(WorkerView::slowness_level);
    assert_eq!(level("slow-0"), level("slow-1"), "a new worker has the level of its class");
    assert!(level("slow-0") > level("fast-0"));
}

#[test]
fn reported_statistics_replace_those_with_less_evidence() {
    struct Case {
        name: &'static str,
        // Runs that this scheduler saw, and those behind the report with its age in seconds.
        own: (u64, usize),
        reported: (u64, usize, u32),
        slow: bool,
    }
    let cases = [
        Case { name: "nothing is known here", own: (100, 0), reported: (500, 8, 0), slow: true },
        Case { name: "one run is known here", own: (100, 1), reported: (500, 8, 0), slow: true },
        Case { name: "more is known here", own: (100, 16), reported: (500, 8, 0), slow: false },
        Case {
            name: "a report from long ago",
            own: (100, 4),
            reported: (500, 8, 300),
            slow: false,
        },
        Case { name: "an uncertain worker", own: (100, 0), reported: (500, 1, 0), slow: true },
    ];
    for Case { name, own, reported, slow } in cases {
        let (mut speed, mut worker) = (SpeedEstimate::default(), worker_view("w", "a", 32_000));
        let sample = SpeedEstimate::sample(Span::from_ms(reported.0), EXPECTED);
        (0..reported.1).for_each(|_| speed.learn(sample, 0.0, NOW));
        learn(&mut worker, own.0, own.1);
        let mut standing = speed.report(0, 0, NOW);
        standing.age_ms = reported.2 * 1_000;
        worker.merge_reported_stats(WorkerStats::from_report(&standing, 0, NOW), NOW);
        assert_eq!(worker.is_slow(), slow, "{name}");
    }
}

/// Guards against a restarted worker that keeps the statistics of its previous incarnation.
#[test]
fn new_incarnation_starts_without_statistics() {
    for (before, after, slow) in [(1, 1, true), (0, 1, true), (1, 0, true), (1, 2, false)] {
        let mut worker = worker_view("w", "a", 32_000);
        worker.set_incarnation(before, NOW);
        learn(&mut worker, 500, 8);
        worker.set_incarnation(after, NOW);
        assert_eq!(worker.is_slow(), slow, "incarnation {before}, then {after}");
        let mut next = WorkerView::new(listed("w", "a", 32_000), "e-2".parse().expect("a name"), 2);
        next.set_incarnation(after, NOW);
        next.restore_stats(WorkerStats { born_ms: before, ..*worker.stats() }, NOW);
        assert_eq!(next.is_slow(), slow, "incarnation {before}, then {after} at another scheduler");
    }
}

/// Guards against run times that mix fast and slow workers, and against kinds whose jobs all
/// declare too much or too little.
#[test]
fn learned_run_times_refer_to_the_fastest_workers() {
    let ln = f64::ln;
    let mut times = RunTimes::default();
    for _ in 0..100 {
        times.learn("k", Span::from_ms(200), 0.0);
        times.learn("k", Span::from_ms(540), ln(2.7));
    }
    for declared in [0, 50, 200, 5_000] {
        let mut times = RunTimes::default();
        times.merge(&[KindTime { kind: "k".to_owned(), log_milli: 5_298, samples: 20 }]);
        for _ in 0..10 {
            let expected = times.estimate("k", Span::from_ms(declared)).as_ms();
            assert!((198..=202).contains(&expected), "declared {declared}: {expected} ms");
        }
    }
    let expected = times.estimate("k", Span::ZERO).as_ms();
    assert!((195..=205).contains(&expected), "{expected} ms");
}

/// Guards against periodic reports that are counted as new runs.
#[test]
fn reported_run_times_are_weighted_by_samples() {
    let report = |log_milli, samples| vec![KindTime { kind: "k".to_owned(), log_milli, samples }];
    let mut times = RunTimes::default();
    times.merge(&report(4_000, 15));
    times.merge(&report(6_000, 5));
    assert_eq!(times.report(), report(4_500, 20));
}

const WORKERS: usize = 12;
/// Run time of the kind on the fastest workers, in milliseconds.
const RUN_MS: u32 = 60;

/// Returns the workers that a scheduler grants to the first job; no step waits for a probe yet.
fn first_grant(scheduler: &mut Scheduler, declared_ms: u32) -> Vec<String> {
    let ask = Ask {
        job: "0000000000000001".to_owned(),
        tasks: (0..6).collect(),
        kind: "k".to_owned(),
        service: "svc".to_owned(),
        need: Some((&need(16_000)).into()),
        declared_ms,
        left_ms: 1_000,
        zone: "a".to_owned(),
        stretch: 1_600,
        slack_ms: 60,
        ..Ask::default()
    };
    let mut out = Output::default();
    scheduler.enqueue(&"front".parse().expect("a name"), ask, NOW);
    scheduler.schedule(NOW, true, &mut out);
    let places = out.commands.into_iter().flat_map(|command| match command {
        Command::Send { message: Message::Grant(grant), .. } => grant.places,
        _ => Vec::new(),
    });
    places.map(|place| place.worker).collect()
}

/// Guards against a new scheduler that has to relearn which workers are slow and how long a kind
/// runs.
#[test]
fn new_scheduler_grants_like_its_predecessor() {
    struct Case {
        name: &'static str,
        // Run time as a multiple of that on the fastest workers, by the number of the worker.
        factor: fn(usize) -> u32,
        // Whether the new scheduler has scheduled before and is elected again.
        again: bool,
    }
    let cases = [
        Case { name: "alike", factor: |_| 1, again: false },
        Case { name: "two classes", factor: |w| if w < 6 { 2 } else { 1 }, again: false },
        Case {
            name: "a third of the workers is slow",
            factor: |w| if w % 3 == 0 { 5 } else { 1 },
            again: false,
        },
        Case {
            name: "the same scheduler elected again",
            factor: |w| if w % 3 == 0 { 5 } else { 1 },
            again: true,
        },
    ];
    let owner = "owner".parse().expect("a name");
    for Case { name, factor, again } in cases {
        let workers: Vec<String> = (0..WORKERS).map(|w| format!("w-{w:02}")).collect();
        let mut listing = WorkerList::default();
        let entry = |(number, id): (usize, &String)| {
            let mut entry = listed(id, "a", 32_000);
            if name == "two classes" {
                entry.labels = vec![format!("class-{}", factor(number))];
            }
            entry
        };
        listing.replace(workers.iter().enumerate().map(entry).collect(), NOW);
        let rooms = |stats: &RunStats| {
            let room = |id: &String| Room {
                worker: id.clone(),
                token: 1,
                open: true,
                standing: stats.report(&id.parse().expect("an id"), NOW),
                ..Room::default()
            };
            Rooms {
                rooms: workers.iter().map(room).collect(),
                kinds: stats.report_kinds(),
                lost: Vec::new(),
            }
        };
        let mut stats = RunStats::default();
        let mut old = Scheduler::default();
        old.update_workers(&owner, rooms(&stats), &listing, NOW);
        old.schedule(NOW, true, &mut Output::default());
        for run in 0..8 {
            // Runs on fast workers end first, so that the kind is known when the slow ones end.
            for number in (0..WORKERS).rev() {
                let took = RUN_MS * factor(number);
                let freed = Freed {
                    run: Some(Run { job: "0".to_owned(), step: 0, task: run, run: 1 }),
                    worker: workers[number].clone(),
                    how: How::Done.into(),
                    took_ms: took,
                    expected_ms: RUN_MS,
                    kind: "k".to_owned(),
                };
                old.run_ended(&freed, NOW);
                let (took, expected) = (Span::from_ms(took.into()), Span::from_ms(RUN_MS.into()));
                let id = workers[number].parse().expect("an id");
                stats.learn(&id, How::Done, "k", took, expected, NOW);
            }
        }
        let mut new = Scheduler::default();
        if again {
            old.step_down();
            new = std::mem::take(&mut old);
            old.update_workers(&owner, rooms(&stats), &listing, NOW);
        }
        // A scheduler that was elected again has its own statistics and gets no report of them.
        let report = if again { rooms(&RunStats::default()) } else { rooms(&stats) };
        new.update_workers(&owner, report, &listing, NOW);
        let grants = [first_grant(&mut old, RUN_MS), first_grant(&mut new, RUN_MS)];
        assert_eq!(grants[0].len(), 6, "{name}: {grants:?}");
        assert_eq!(grants[0], grants[1], "{name}");
        let on_slow = grants[0].iter().filter(|id| {
            let number = workers.iter().position(|worker| worker == *id);
            factor(number.expect("a worker")) == 5
        });
        assert_eq!(on_slow.count(), 0, "{name}: {grants:?}");
    }
}
