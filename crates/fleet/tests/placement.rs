//! Guards against room that is broken up, and against tasks on workers that may not or should not
//! run them.

mod common;

use common::{need, site, waiting};
use cranberryhatch_fleet::{PlacementDecision, QueuedTasks, TaskKey, WorkerPool, WorkerView};
use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{Span, Time};

const NOW: Time = Time::from_ms(10_000);

fn task(number: u32) -> TaskKey {
    TaskKey { job: "other".to_owned(), step: 0, task: number }
}

fn filled(mut site: WorkerView, cores: u32) -> WorkerView {
    site.grant(task(0), need(cores), NOW);
    site
}

struct Case {
    name: &'static str,
    sites: Vec<WorkerView>,
    waiting: QueuedTasks,
    chosen: Option<&'static str>,
}

#[test]
fn a_task_goes_where_it_leaves_least() {
    let plain = || waiting("job", 100, 400);
    let closed = || {
        let mut site = site("closed", "a", 32_000);
        site.open = false;
        site
    };
    let leaving = || {
        let mut site = site("leaving", "a", 32_000);
        site.listed.draining = true;
        site
    };
    let cases = [
        Case {
            name: "the half full worker before the empty one",
            sites: vec![site("empty", "a", 32_000), filled(site("half", "a", 32_000), 16_000)],
            waiting: plain(),
            chosen: Some("half"),
        },
        Case {
            name: "no worker has room",
            sites: vec![filled(site("full", "a", 32_000), 20_000)],
            waiting: plain(),
            chosen: None,
        },
        Case {
            name: "the own zone before one that leaves a little less",
            sites: vec![site("near", "a", 32_000), site("far", "b", 30_000)],
            waiting: plain(),
            chosen: Some("near"),
        },
        Case {
            name: "a closed and a leaving worker get nothing",
            sites: vec![closed(), leaving()],
            waiting: plain(),
            chosen: None,
        },
        Case {
            name: "a label that only one has",
            sites: vec![site("other", "b", 16_000), site("right", "a", 32_000)],
            waiting: QueuedTasks { label: "rack-a".to_owned(), ..plain() },
            chosen: Some("right"),
        },
        Case {
            name: "a worker on which the job failed only if there is no other",
            sites: vec![filled(site("failed", "a", 32_000), 16_000), site("other", "b", 32_000)],
            waiting: QueuedTasks { avoid: vec!["failed".to_owned()], ..plain() },
            chosen: Some("other"),
        },
        Case {
            name: "no more tasks of a step than its limit on one worker",
            sites: vec![filled(site("held", "a", 64_000), 14_000)],
            waiting: QueuedTasks { job: "other".to_owned(), spread: 1, ..plain() },
            chosen: None,
        },
    ];
    for Case { name, sites, waiting, chosen } in cases {
        let sites: WorkerPool = sites.into_iter().collect();
        let found = sites.choose(&waiting, NOW).map(|choice| choice.site.id().to_string());
        assert_eq!(found.as_deref(), chosen, "{name}");
    }
}

struct Behaviour {
    name: &'static str,
    ends: Vec<(How, u64)>,
    takes: bool,
}

#[test]
fn a_worker_that_misbehaves_gets_less() {
    let cases = [
        Behaviour { name: "runs as expected", ends: vec![(How::Done, 100); 5], takes: true },
        Behaviour {
            name: "one failure: one task at a time",
            ends: vec![(How::Failed, 10)],
            takes: false,
        },
        Behaviour {
            name: "a success after a failure",
            ends: vec![(How::Failed, 10), (How::Done, 100)],
            takes: true,
        },
        Behaviour {
            name: "a run that made no progress",
            ends: vec![(How::Stalled, 400)],
            takes: false,
        },
        Behaviour { name: "six times slower", ends: vec![(How::Done, 600); 3], takes: false },
        Behaviour { name: "stopped by its caller", ends: vec![(How::Stopped, 50); 5], takes: true },
    ];
    for Behaviour { name, ends, takes } in cases {
        let mut site = site("w", "a", 64_000);
        for (how, took) in ends {
            site.learn(how, Span::from_ms(took), Span::from_ms(100), true, NOW);
        }
        site.grant(task(0), need(14_000), NOW);
        assert_eq!(site.takes_tasks(NOW), takes, "{name}");
    }
}

/// What a worker costs a task by the rules of placing; none if it may not run it. It looks at every
/// worker, without the index.
fn cost(site: &WorkerView, waiting: &QueuedTasks) -> Option<u32> {
    let may = waiting.need.fits(site.free()) && site.takes_tasks(NOW);
    let left = site.free().cores.get().checked_sub(waiting.need.cores.get())?;
    let far = if site.listed.zone == waiting.zone { 0 } else { 3_000 };
    let avoided = waiting.avoid.iter().any(|avoided| avoided == site.id().as_str());
    may.then_some(left + far + if avoided { 100_000 } else { 0 })
}

#[test]
fn the_index_of_free_room_chooses_as_well_as_a_look_at_every_worker() {
    const WORKERS: usize = 60;
    for seed in 1..=200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let sites = (0..WORKERS).map(|number| {
            let zone = ["a", "b", "c"][number % 3];
            site(&format!("w-{number}"), zone, 16_000 * rng.u32(1..4))
        });
        let mut sites: WorkerPool = sites.collect();
        for number in 0..200 {
            let id = format!("w-{}", rng.usize(0..WORKERS)).parse().expect("an id");
            let cores = rng.u32(1_000..24_000);
            sites.change(&id, |site| match rng.usize(0..8) {
                0..4 => {
                    if need(cores).fits(site.free()) {
                        site.grant(task(number), need(cores), NOW);
                    }
                }
                4..6 => site.release(&task(rng.u32(0..=number))),
                6 => site.open = rng.bool(),
                _ => site.report(Vec::new(), NOW),
            });
            if rng.usize(0..40) == 0 {
                sites.retain(|site| site.id() != &id);
            }
            let waiting = QueuedTasks {
                need: need(rng.u32(1_000..30_000)),
                avoid: vec![format!("w-{}", rng.usize(0..WORKERS))],
                ..waiting("job", 100, 400)
            };
            let best = sites.iter().filter_map(|site| cost(site, &waiting)).min();
            let found = sites.choose(&waiting, NOW).map(|choice| cost(choice.site, &waiting));
            assert_eq!(found, best.map(Some), "seed {seed}, change {number}");
            let open = sites.iter().filter(|site| site.takes_tasks(NOW));
            let largest = open.map(|site| site.free().cores).max().unwrap_or_default();
            assert_eq!(sites.largest(NOW), largest, "seed {seed}, change {number}");
        }
    }
}

/// The choice as it was before speeds were known: the smallest cost in cores, the first of these in the
/// order of free cores and ids.
fn choice_by_room<'a>(sites: &'a WorkerPool, waiting: &QueuedTasks) -> Option<&'a WorkerView> {
    let with_cost =
        |site: &'a WorkerView| Some((cost(site, waiting)?, site.free().cores, site.id()));
    let best = sites.iter().filter_map(with_cost).min()?;
    sites.get(best.2)
}

/// A second times the exponential of a logarithm.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "near a second")]
fn span(log: f64) -> Span {
    Span::from_ms((log.exp() * 1_000.0) as u64)
}

/// Guards against new rules that change what is placed where on workers that are alike (R10).
#[test]
fn on_workers_that_are_alike_the_choice_is_by_room() {
    const WORKERS: usize = 60;
    /// Largest logarithm of a run time against the expected one.
    const SPREAD: f64 = 0.4;
    for seed in 1..=200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let sites = (0..WORKERS)
            .map(|number| site(&format!("w-{number}"), ["a", "b", "c"][number % 3], 48_000));
        let mut sites: WorkerPool = sites
            .map(|mut site| {
                site.listed.labels.truncate(1);
                site
            })
            .collect();
        for number in 0..200 {
            let id = format!("w-{}", rng.usize(0..WORKERS)).parse().expect("an id");
            let cores = rng.u32(1_000..24_000);
            sites.change(&id, |site| match rng.usize(0..8) {
                0..3 if need(cores).fits(site.free()) => site.grant(task(number), need(cores), NOW),
                3..5 => site.release(&task(rng.u32(0..=number))),
                _ => {
                    let log = (rng.f64() * 2.0 - 1.0) * SPREAD;
                    let took = span(log);
                    site.learn(How::Done, took, Span::from_ms(1_000), false, NOW);
                }
            });
            if number % 20 == 0 {
                sites.assess(NOW);
            }
            // Any time left, also none.
            let latest_start = Time::from_ms(rng.u64(9_000..12_000));
            let waiting = QueuedTasks {
                need: need(rng.u32(1_000..30_000)),
                avoid: vec![format!("w-{}", rng.usize(0..WORKERS))],
                latest_start,
                due: latest_start + Span::from_ms(100),
                useful_start: latest_start + Span::from_ms(500),
                ..waiting("job", 100, 400)
            };
            let before = choice_by_room(&sites, &waiting).map(WorkerView::id);
            let now = match sites.place(&waiting, NOW) {
                PlacementDecision::Run(choice) => Some(choice.site.id()),
                PlacementDecision::Wait(_) | PlacementDecision::Full => None,
            };
            assert_eq!(now, before, "seed {seed}, change {number}");
        }
    }
}

/// A worker with runs of this length where 100 ms were expected.
fn paced(id: &str, cores: u32, took: u64) -> WorkerView {
    let mut site = site(id, "a", cores);
    site.listed.labels = vec![format!("class-{took}")];
    for _ in 0..20 {
        site.learn(How::Done, Span::from_ms(took), Span::from_ms(100), false, NOW);
    }
    site
}

/// Guards against tasks that miss their objective on slow workers, and against fast workers that are
/// taken by tasks that meet it on slower ones too.
#[test]
fn a_task_goes_where_it_meets_its_objective() {
    struct Speeds {
        name: &'static str,
        // Run time on each class, in milliseconds, and whether its workers are full.
        classes: &'static [(u64, bool)],
        // Time to the objective, and to the end of any use.
        due: u64,
        useful_start: u64,
        chosen: Option<u64>,
    }
    let cases = [
        Speeds {
            name: "the slower one is good enough",
            classes: &[(100, false), (200, false)],
            due: 400,
            useful_start: 900,
            chosen: Some(200),
        },
        Speeds {
            name: "only the fast one is in time",
            classes: &[(100, false), (200, false)],
            due: 160,
            useful_start: 900,
            chosen: Some(100),
        },
        Speeds {
            name: "it waits for the fast one while that can be in time",
            classes: &[(100, true), (200, false)],
            due: 160,
            useful_start: 900,
            chosen: None,
        },
        Speeds {
            name: "it is late anyway",
            classes: &[(100, true), (200, false)],
            due: 60,
            useful_start: 900,
            chosen: Some(200),
        },
        Speeds {
            name: "the slow one is of no use, the fast one is",
            classes: &[(100, true), (800, false)],
            due: 60,
            useful_start: 400,
            chosen: None,
        },
        Speeds {
            name: "all are too slow for the objective: nothing to wait for",
            classes: &[(200, false), (200, true)],
            due: 60,
            useful_start: 900,
            chosen: Some(200),
        },
    ];
    for Speeds { name, classes, due, useful_start, chosen } in cases {
        let mut sites = WorkerPool::default();
        for (class, (took, full)) in classes.iter().enumerate() {
            for number in 0..4 {
                let mut site = paced(&format!("w-{class}-{number}"), 32_000, *took);
                if *full {
                    site.grant(task(number), need(32_000), NOW);
                }
                sites.insert(site);
            }
        }
        sites.assess(NOW);
        let due = NOW + Span::from_ms(due);
        let waiting = QueuedTasks {
            latest_start: due - Span::from_ms(100),
            due,
            useful_start: NOW + Span::from_ms(useful_start) - Span::from_ms(100),
            ..waiting("job", 100, 400)
        };
        let found = match sites.place(&waiting, NOW) {
            PlacementDecision::Run(choice) => Some(choice.site.listed.labels[0].clone()),
            PlacementDecision::Wait(_) | PlacementDecision::Full => None,
        };
        assert_eq!(found, chosen.map(|took| format!("class-{took}")), "{name}");
    }
}

/// Guards against workers that are closed for longer than what happened there tells.
#[test]
fn a_pause_is_as_long_as_the_evidence() {
    struct Pause {
        name: &'static str,
        ends: Vec<How>,
        // Whether it may take a task this long after the last end.
        takes: &'static [(u64, bool)],
    }
    let cases = [
        Pause {
            name: "one start without answer",
            ends: vec![How::Unanswered],
            takes: &[(0, true)],
        },
        Pause { name: "one run that was stopped", ends: vec![How::Stopped], takes: &[(0, true)] },
        Pause { name: "one failure", ends: vec![How::Failed], takes: &[(0, true)] },
        Pause {
            name: "two failures in a row",
            ends: vec![How::Failed; 2],
            takes: &[(0, false), (100, true)],
        },
        Pause {
            name: "one run without progress",
            ends: vec![How::Stalled],
            takes: &[(0, false), (100, true)],
        },
        Pause {
            name: "three starts in a row that the worker did not take",
            ends: vec![How::NotStarted; 3],
            takes: &[(300, false), (400, true)],
        },
        Pause {
            name: "a success between them",
            ends: vec![How::NotStarted, How::Done, How::NotStarted],
            takes: &[(0, false), (100, true)],
        },
    ];
    for Pause { name, ends, takes } in cases {
        let mut site = site("w", "a", 32_000);
        for how in ends {
            site.learn(how, Span::from_ms(100), Span::from_ms(100), true, NOW);
        }
        for (after, takes) in takes {
            let at = NOW + Span::from_ms(*after);
            assert_eq!(site.takes_tasks(at), *takes, "{name}, {after} ms later");
        }
    }
}

/// Guards against a service that loses most of its workers to pauses whose cause is elsewhere.
#[test]
fn pauses_of_many_workers_are_short() {
    for (bad, takes) in [(1, false), (3, false), (4, true), (9, true)] {
        let mut sites: WorkerPool = (0..9).map(|w| site(&format!("w-{w}"), "a", 32_000)).collect();
        for number in 0..bad {
            let id = format!("w-{number}").parse().expect("an id");
            for _ in 0..4 {
                let zero = Span::ZERO;
                sites.change(&id, |site| site.learn(How::NotStarted, zero, zero, false, NOW));
            }
            sites.limit_pauses("svc", NOW);
        }
        let soon = NOW + Span::from_ms(60);
        let found = sites.get(&"w-0".parse().expect("an id")).map(|site| site.takes_tasks(soon));
        assert_eq!(found, Some(takes), "{bad} of 9 workers");
    }
}
