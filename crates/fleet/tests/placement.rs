//! Guards against fragmented capacity, and against tasks on workers that may not or should not run
//! them.

mod common;

use common::{need, queued, worker_view};
use cranberryhatch_fleet::{PlacementDecision, QueuedTasks, TaskKey, WorkerPool, WorkerView};
use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{Span, Time};

const NOW: Time = Time::from_ms(10_000);

fn task(number: u32) -> TaskKey {
    TaskKey { job: "other".to_owned(), step: 0, task: number }
}

fn filled(mut worker: WorkerView, cores: u32) -> WorkerView {
    worker.grant(task(0), need(cores), NOW);
    worker
}

struct Case {
    name: &'static str,
    pool: Vec<WorkerView>,
    queued: QueuedTasks,
    chosen: Option<&'static str>,
}

#[test]
fn tasks_are_placed_where_the_least_capacity_is_left_over() {
    let plain = || queued("job", 100, 400);
    let closed = || {
        let mut worker = worker_view("closed", "a", 32_000);
        worker.open = false;
        worker
    };
    let leaving = || {
        let mut worker = worker_view("leaving", "a", 32_000);
        worker.listed.draining = true;
        worker
    };
    let cases = [
        Case {
            name: "a half full worker before an empty one",
            pool: vec![
                worker_view("empty", "a", 32_000),
                filled(worker_view("half", "a", 32_000), 16_000),
            ],
            queued: plain(),
            chosen: Some("half"),
        },
        Case {
            name: "no worker has capacity",
            pool: vec![filled(worker_view("full", "a", 32_000), 20_000)],
            queued: plain(),
            chosen: None,
        },
        Case {
            name: "the caller's zone before a zone with slightly less capacity left over",
            pool: vec![worker_view("near", "a", 32_000), worker_view("far", "b", 30_000)],
            queued: plain(),
            chosen: Some("near"),
        },
        Case {
            name: "closed and draining workers get no tasks",
            pool: vec![closed(), leaving()],
            queued: plain(),
            chosen: None,
        },
        Case {
            name: "only the worker with the label",
            pool: vec![worker_view("other", "b", 16_000), worker_view("right", "a", 32_000)],
            queued: QueuedTasks { label: "rack-a".to_owned(), ..plain() },
            chosen: Some("right"),
        },
        Case {
            name: "a worker on which the job failed comes last",
            pool: vec![
                filled(worker_view("failed", "a", 32_000), 16_000),
                worker_view("other", "b", 32_000),
            ],
            queued: QueuedTasks { avoid: vec!["failed".to_owned()], ..plain() },
            chosen: Some("other"),
        },
        Case {
            name: "no more tasks of a step on one worker than its limit",
            pool: vec![filled(worker_view("held", "a", 64_000), 14_000)],
            queued: QueuedTasks { job: "other".to_owned(), spread: 1, ..plain() },
            chosen: None,
        },
    ];
    for Case { name, pool, queued, chosen } in cases {
        let pool: WorkerPool = pool.into_iter().collect();
        let found =
            pool.best_placement(&queued, NOW).map(|placement| placement.worker.id().to_string());
        assert_eq!(found.as_deref(), chosen, "{name}");
    }
}

struct FaultCase {
    name: &'static str,
    ends: Vec<(How, u64)>,
    takes: bool,
}

#[test]
fn faulty_workers_get_fewer_tasks() {
    let cases = [
        FaultCase { name: "runs as expected", ends: vec![(How::Done, 100); 5], takes: true },
        FaultCase {
            name: "one failure: one task at a time",
            ends: vec![(How::Failed, 10)],
            takes: false,
        },
        FaultCase {
            name: "a success after a failure",
            ends: vec![(How::Failed, 10), (How::Done, 100)],
            takes: true,
        },
        FaultCase { name: "a stalled run", ends: vec![(How::Stalled, 400)], takes: false },
        FaultCase { name: "six times slower", ends: vec![(How::Done, 600); 3], takes: false },
        FaultCase { name: "stopped by its caller", ends: vec![(How::Stopped, 50); 5], takes: true },
    ];
    for FaultCase { name, ends, takes } in cases {
        let mut worker = worker_view("w", "a", 64_000);
        for (how, took) in ends {
            worker.learn(how, Span::from_ms(took), Span::from_ms(100), true, NOW);
        }
        worker.grant(task(0), need(14_000), NOW);
        assert_eq!(worker.accepts_tasks(NOW), takes, "{name}");
    }
}

/// Returns the cost of a worker by the rules of placement, or `None` if it may not run the task.
/// Does not use the index.
fn cost(worker: &WorkerView, queued: &QueuedTasks) -> Option<u32> {
    let may = queued.need.fits(worker.free()) && worker.accepts_tasks(NOW);
    let left = worker.free().cores.get().checked_sub(queued.need.cores.get())?;
    let far = if worker.listed.zone == queued.zone { 0 } else { 3_000 };
    let avoided = queued.avoid.iter().any(|avoided| avoided == worker.id().as_str());
    may.then_some(left + far + if avoided { 100_000 } else { 0 })
}

#[test]
fn index_of_free_cores_finds_the_cheapest_worker() {
    const WORKERS: usize = 60;
    for seed in 1..=200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let pool = (0..WORKERS).map(|number| {
            let zone = ["a", "b", "c"][number % 3];
            worker_view(&format!("w-{number}"), zone, 16_000 * rng.u32(1..4))
        });
        let mut pool: WorkerPool = pool.collect();
        for number in 0..200 {
            let id = format!("w-{}", rng.usize(0..WORKERS)).parse().expect("an id");
            let cores = rng.u32(1_000..24_000);
            pool.update(&id, |worker| match rng.usize(0..8) {
                0..4 => {
                    if need(cores).fits(worker.free()) {
                        worker.grant(task(number), need(cores), NOW);
                    }
                }
                4..6 => worker.release(&task(rng.u32(0..=number))),
                6 => worker.open = rng.bool(),
                _ => worker.apply_report(Vec::new(), NOW),
            });
            if rng.usize(0..40) == 0 {
                pool.retain(|worker| worker.id() != &id);
            }
            let queued = QueuedTasks {
                need: need(rng.u32(1_000..30_000)),
                avoid: vec![format!("w-{}", rng.usize(0..WORKERS))],
                ..queued("job", 100, 400)
            };
            let best = pool.iter().filter_map(|worker| cost(worker, &queued)).min();
            let found =
                pool.best_placement(&queued, NOW).map(|placement| cost(placement.worker, &queued));
            assert_eq!(found, best.map(Some), "seed {seed}, change {number}");
            let open = pool.iter().filter(|worker| worker.accepts_tasks(NOW));
            let largest = open.map(|worker| worker.free().cores).max().unwrap_or_default();
            assert_eq!(pool.largest_free(NOW), largest, "seed {seed}, change {number}");
        }
    }
}

/// Returns the choice without speeds: the lowest cost in cores, and among these the first by free
/// cores and id.
fn choice_by_capacity<'a>(pool: &'a WorkerPool, queued: &QueuedTasks) -> Option<&'a WorkerView> {
    let with_cost =
        |worker: &'a WorkerView| Some((cost(worker, queued)?, worker.free().cores, worker.id()));
    let best = pool.iter().filter_map(with_cost).min()?;
    pool.get(best.2)
}

/// Returns a second times the exponential of a logarithm.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "near a second")]
fn span(log: f64) -> Span {
    Span::from_ms((log.exp() * 1_000.0) as u64)
}

/// Guards against rules that change the placement on identical workers.
#[test]
fn identical_workers_are_chosen_by_free_capacity() {
    const WORKERS: usize = 60;
    /// Largest logarithm of a run time relative to the expected run time.
    const SPREAD: f64 = 0.4;
    for seed in 1..=200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let pool = (0..WORKERS)
            .map(|number| worker_view(&format!("w-{number}"), ["a", "b", "c"][number % 3], 48_000));
        let mut pool: WorkerPool = pool
            .map(|mut worker| {
                worker.listed.labels.truncate(1);
                worker
            })
            .collect();
        for number in 0..200 {
            let id = format!("w-{}", rng.usize(0..WORKERS)).parse().expect("an id");
            let cores = rng.u32(1_000..24_000);
            pool.update(&id, |worker| match rng.usize(0..8) {
                0..3 if need(cores).fits(worker.free()) => {
                    worker.grant(task(number), need(cores), NOW);
                }
                3..5 => worker.release(&task(rng.u32(0..=number))),
                _ => {
                    let log = (rng.f64() * 2.0 - 1.0) * SPREAD;
                    let took = span(log);
                    worker.learn(How::Done, took, Span::from_ms(1_000), false, NOW);
                }
            });
            if number % 20 == 0 {
                pool.update_speeds(NOW);
            }
            // Any time left, including none.
            let latest_start = Time::from_ms(rng.u64(9_000..12_000));
            let queued = QueuedTasks {
                need: need(rng.u32(1_000..30_000)),
                avoid: vec![format!("w-{}", rng.usize(0..WORKERS))],
                latest_start,
                due: latest_start + Span::from_ms(100),
                useful_start: latest_start + Span::from_ms(500),
                ..queued("job", 100, 400)
            };
            let before = choice_by_capacity(&pool, &queued).map(WorkerView::id);
            let now = match pool.decide(&queued, NOW) {
                PlacementDecision::Run(placement) => Some(placement.worker.id()),
                PlacementDecision::Wait(_) | PlacementDecision::Full => None,
            };
            assert_eq!(now, before, "seed {seed}, change {number}");
        }
    }
}

/// Creates a worker whose runs took `took` ms where 100 ms were expected.
fn worker_with_run_time(id: &str, cores: u32, took: u64) -> WorkerView {
    let mut worker = worker_view(id, "a", cores);
    worker.listed.labels = vec![format!("class-{took}")];
    for _ in 0..20 {
        worker.learn(How::Done, Span::from_ms(took), Span::from_ms(100), false, NOW);
    }
    worker
}

/// Guards against tasks that miss their latency target on slow workers, and against fast workers
/// that are occupied by tasks that also meet it on slower ones.
#[test]
fn tasks_are_placed_where_they_meet_their_latency_target() {
    struct Case {
        name: &'static str,
        // Run time on each class, in milliseconds, and whether its workers are full.
        classes: &'static [(u64, bool)],
        // Time until the latency target, and until the result is no longer useful.
        due: u64,
        useful_start: u64,
        chosen: Option<u64>,
    }
    let cases = [
        Case {
            name: "the slower worker meets the target",
            classes: &[(100, false), (200, false)],
            due: 400,
            useful_start: 900,
            chosen: Some(200),
        },
        Case {
            name: "only the fast worker meets the target",
            classes: &[(100, false), (200, false)],
            due: 160,
            useful_start: 900,
            chosen: Some(100),
        },
        Case {
            name: "waits for the fast worker while it can meet the target there",
            classes: &[(100, true), (200, false)],
            due: 160,
            useful_start: 900,
            chosen: None,
        },
        Case {
            name: "it is late on both workers",
            classes: &[(100, true), (200, false)],
            due: 60,
            useful_start: 900,
            chosen: Some(200),
        },
        Case {
            name: "only the result of the fast worker is useful",
            classes: &[(100, true), (800, false)],
            due: 60,
            useful_start: 400,
            chosen: None,
        },
        Case {
            name: "all workers miss the target, so it does not wait",
            classes: &[(200, false), (200, true)],
            due: 60,
            useful_start: 900,
            chosen: Some(200),
        },
    ];
    for Case { name, classes, due, useful_start, chosen } in cases {
        let mut pool = WorkerPool::default();
        for (class, (took, full)) in classes.iter().enumerate() {
            for number in 0..4 {
                let mut worker =
                    worker_with_run_time(&format!("w-{class}-{number}"), 32_000, *took);
                if *full {
                    worker.grant(task(number), need(32_000), NOW);
                }
                pool.insert(worker);
            }
        }
        pool.update_speeds(NOW);
        let due = NOW + Span::from_ms(due);
        let queued = QueuedTasks {
            latest_start: due - Span::from_ms(100),
            due,
            useful_start: NOW + Span::from_ms(useful_start) - Span::from_ms(100),
            ..queued("job", 100, 400)
        };
        let found = match pool.decide(&queued, NOW) {
            PlacementDecision::Run(placement) => Some(placement.worker.listed.labels[0].clone()),
            PlacementDecision::Wait(_) | PlacementDecision::Full => None,
        };
        assert_eq!(found, chosen.map(|took| format!("class-{took}")), "{name}");
    }
}

/// Guards against pauses of a worker that are longer than its faults justify.
#[test]
fn pauses_grow_with_consecutive_faults() {
    struct Case {
        name: &'static str,
        ends: Vec<How>,
        // Whether it may get a task this many milliseconds after the last run.
        takes: &'static [(u64, bool)],
    }
    let cases = [
        Case {
            name: "one start without a response",
            ends: vec![How::Unanswered],
            takes: &[(0, true)],
        },
        Case { name: "one stopped run", ends: vec![How::Stopped], takes: &[(0, true)] },
        Case { name: "one failure", ends: vec![How::Failed], takes: &[(0, true)] },
        Case {
            name: "two failures in a row",
            ends: vec![How::Failed; 2],
            takes: &[(0, false), (100, true)],
        },
        Case {
            name: "one stalled run",
            ends: vec![How::Stalled],
            takes: &[(0, false), (100, true)],
        },
        Case {
            name: "three consecutive starts that the worker refused",
            ends: vec![How::NotStarted; 3],
            takes: &[(300, false), (400, true)],
        },
        Case {
            name: "a success between two faults",
            ends: vec![How::NotStarted, How::Done, How::NotStarted],
            takes: &[(0, false), (100, true)],
        },
    ];
    for Case { name, ends, takes } in cases {
        let mut worker = worker_view("w", "a", 32_000);
        for how in ends {
            worker.learn(how, Span::from_ms(100), Span::from_ms(100), true, NOW);
        }
        for (after, takes) in takes {
            let at = NOW + Span::from_ms(*after);
            assert_eq!(worker.accepts_tasks(at), *takes, "{name}, {after} ms later");
        }
    }
}

/// Guards against a service that loses most of its workers to pauses with a common cause.
#[test]
fn pauses_are_short_while_many_workers_are_paused() {
    for (bad, takes) in [(1, false), (3, false), (4, true), (9, true)] {
        let mut pool: WorkerPool =
            (0..9).map(|w| worker_view(&format!("w-{w}"), "a", 32_000)).collect();
        for number in 0..bad {
            let id = format!("w-{number}").parse().expect("an id");
            for _ in 0..4 {
                let zero = Span::ZERO;
                pool.update(&id, |worker| worker.learn(How::NotStarted, zero, zero, false, NOW));
            }
            pool.limit_pauses("svc", NOW);
        }
        let soon = NOW + Span::from_ms(60);
        let found =
            pool.get(&"w-0".parse().expect("an id")).map(|worker| worker.accepts_tasks(soon));
        assert_eq!(found, Some(takes), "{bad} of 9 workers");
    }
}
