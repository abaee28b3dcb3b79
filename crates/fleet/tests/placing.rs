//! Guards against room that is broken up, and against tasks on workers that may not or should not
//! run them.

mod common;

use common::{need, site, waiting};
use cranberryhatch_fleet::{Site, Sites, TaskKey, Waiting};
use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{Span, Time};

const NOW: Time = Time::from_ms(10_000);

fn task(number: u32) -> TaskKey {
    TaskKey { job: "other".to_owned(), step: 0, task: number }
}

fn filled(mut site: Site, cores: u32) -> Site {
    site.grant(task(0), need(cores), NOW);
    site
}

struct Case {
    name: &'static str,
    sites: Vec<Site>,
    waiting: Waiting,
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
            waiting: Waiting { label: "rack-a".to_owned(), ..plain() },
            chosen: Some("right"),
        },
        Case {
            name: "a worker on which the job failed only if there is no other",
            sites: vec![filled(site("failed", "a", 32_000), 16_000), site("other", "b", 32_000)],
            waiting: Waiting { avoid: vec!["failed".to_owned()], ..plain() },
            chosen: Some("other"),
        },
        Case {
            name: "no more tasks of a step than its limit on one worker",
            sites: vec![filled(site("held", "a", 64_000), 14_000)],
            waiting: Waiting { job: "other".to_owned(), spread: 1, ..plain() },
            chosen: None,
        },
    ];
    for Case { name, sites, waiting, chosen } in cases {
        let sites: Sites = sites.into_iter().collect();
        let found = sites.choose(&waiting, NOW).map(|site| site.id().to_string());
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
fn cost(site: &Site, waiting: &Waiting) -> Option<u32> {
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
        let mut sites: Sites = sites.collect();
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
            let waiting = Waiting {
                need: need(rng.u32(1_000..30_000)),
                avoid: vec![format!("w-{}", rng.usize(0..WORKERS))],
                ..waiting("job", 100, 400)
            };
            let best = sites.iter().filter_map(|site| cost(site, &waiting)).min();
            let found = sites.choose(&waiting, NOW).map(|site| cost(site, &waiting));
            assert_eq!(found, best.map(Some), "seed {seed}, change {number}");
            let open = sites.iter().filter(|site| site.takes_tasks(NOW));
            let largest = open.map(|site| site.free().cores).max().unwrap_or_default();
            assert_eq!(sites.largest(NOW), largest, "seed {seed}, change {number}");
        }
    }
}
