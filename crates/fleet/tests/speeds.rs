//! Guards against a single run that closes a worker, a change of speed that is noticed late, and learnt
//! state that is lost or outlives its worker.

mod common;

use common::{listed, site};
use cranberryhatch_fleet::{Record, RunTimes, Site, Sites, Speed};
use cranberryhatch_schema::fleet::{How, KindTime};
use cranberryhatch_types::{Span, Time};

const NOW: Time = Time::from_ms(1_000_000);
const EXPECTED: Span = Span::from_ms(100);

fn learn(site: &mut Site, took: u64, times: usize) {
    for _ in 0..times {
        site.learn(How::Done, Span::from_ms(took), EXPECTED, false, NOW);
    }
}

#[test]
fn a_worker_is_slow_when_its_runs_show_it() {
    struct Case {
        name: &'static str,
        // Run times in milliseconds and how often.
        runs: &'static [(u64, usize)],
        slow: bool,
        suspect: bool,
    }
    let cases = [
        Case { name: "as expected", runs: &[(100, 16)], slow: false, suspect: false },
        Case {
            name: "one run half as long again",
            runs: &[(100, 16), (150, 1)],
            slow: false,
            suspect: false,
        },
        Case {
            name: "one run 2.5 times as long",
            runs: &[(100, 16), (250, 1)],
            slow: false,
            suspect: false,
        },
        Case {
            name: "one run five times as long: in doubt",
            runs: &[(100, 16), (500, 1)],
            slow: true,
            suspect: true,
        },
        Case {
            name: "and one as expected",
            runs: &[(100, 16), (500, 1), (100, 1)],
            slow: false,
            suspect: false,
        },
        Case {
            name: "two runs five times as long",
            runs: &[(100, 16), (500, 2)],
            slow: true,
            suspect: true,
        },
        Case {
            name: "slow, and one as expected: on trial",
            runs: &[(500, 16), (100, 1)],
            slow: false,
            suspect: true,
        },
        Case {
            name: "slow, and two as expected",
            runs: &[(500, 16), (100, 2)],
            slow: false,
            suspect: false,
        },
        Case {
            name: "three times as long all the time",
            runs: &[(100, 16), (300, 4)],
            slow: true,
            suspect: true,
        },
    ];
    for Case { name, runs, slow, suspect } in cases {
        let mut site = site("w", "a", 32_000);
        for (took, times) in runs {
            learn(&mut site, *took, *times);
        }
        assert_eq!((site.is_slow(), site.is_suspect()), (slow, suspect), "{name}");
    }
}

#[test]
fn doubt_ends_and_evidence_ages() {
    let mut doubtful = site("w", "a", 32_000);
    learn(&mut doubtful, 100, 16);
    learn(&mut doubtful, 500, 1);
    doubtful.assess(NOW + Span::from_ms(2_000));
    assert!(!doubtful.is_slow() && doubtful.is_suspect(), "one task at a time until another run");
    let mut slow = site("w", "a", 32_000);
    learn(&mut slow, 500, 16);
    slow.assess(NOW + Span::from_secs(30));
    assert!(slow.is_slow(), "a slow worker is not forgotten within 30 s");
    slow.assess(NOW + Span::from_secs(600));
    assert!(!slow.is_slow(), "nothing is known after ten minutes");
}

/// Guards against a fleet whose classes differ and whose slow class counts as faulty, and against new
/// workers of a known class that count as average ones.
#[test]
fn a_class_stands_for_its_workers() {
    let worker = |class: &str, number: usize, took: u64| {
        let mut worker = site(&format!("{class}-{number}"), "a", 32_000);
        worker.listed.labels = vec![class.to_owned(), format!("rack-{number}")];
        learn(&mut worker, took, if number == 0 { 0 } else { 8 });
        worker
    };
    let mut sites = Sites::default();
    for number in 0..8 {
        sites.learn_rack(&format!("rack-{number}"));
        sites.insert(worker("fast", number, 100));
        sites.insert(worker("slow", number, 270));
    }
    sites.assess(NOW);
    assert!(sites.slow().is_empty(), "{:?} count as faulty", sites.slow());
    let pace = |id: &str| sites.get(&id.parse().expect("an id")).map(Site::pace);
    assert_eq!(pace("slow-0"), pace("slow-1"), "a new worker has the pace of its class");
    assert!(pace("slow-0") > pace("fast-0"));
}

#[test]
fn what_owners_report_is_taken_by_a_scheduler_that_knows_less() {
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
        Case { name: "a worker in doubt", own: (100, 0), reported: (500, 1, 0), slow: true },
    ];
    for Case { name, own, reported, slow } in cases {
        let (mut speed, mut site) = (Speed::default(), site("w", "a", 32_000));
        let sample = Speed::sample(Span::from_ms(reported.0), EXPECTED);
        (0..reported.1).for_each(|_| speed.learn(sample, 0.0, NOW));
        learn(&mut site, own.0, own.1);
        let mut standing = speed.report(0, 0, NOW);
        standing.age_ms = reported.2 * 1_000;
        site.restore_report(Record::from_report(&standing, 0, NOW), NOW);
        assert_eq!(site.is_slow(), slow, "{name}");
    }
}

/// Guards against a restarted worker that is taken for what it was before.
#[test]
fn another_life_starts_without_a_past() {
    for (before, after, slow) in [(1, 1, true), (0, 1, true), (1, 0, true), (1, 2, false)] {
        let mut worker = site("w", "a", 32_000);
        worker.set_life(before, NOW);
        learn(&mut worker, 500, 8);
        worker.set_life(after, NOW);
        assert_eq!(worker.is_slow(), slow, "life {before}, then {after}");
        let mut next = Site::new(listed("w", "a", 32_000), "e-2".parse().expect("a name"), 2);
        next.set_life(after, NOW);
        next.restore(Record { born_ms: before, ..*worker.record() }, NOW);
        assert_eq!(next.is_slow(), slow, "life {before}, then {after} at another scheduler");
    }
}

/// Guards against run times that fast and slow workers mix, and against kinds whose jobs all declare too
/// much or too little.
#[test]
fn run_times_of_a_kind_are_those_of_the_fastest_workers() {
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
            let expected = times.expect("k", Span::from_ms(declared)).as_ms();
            assert!((198..=202).contains(&expected), "declared {declared}: {expected} ms");
        }
    }
    let expected = times.expect("k", Span::ZERO).as_ms();
    assert!((195..=205).contains(&expected), "{expected} ms");
}

/// Guards against reports that come every second and are counted as new runs.
#[test]
fn run_times_are_merged_by_their_samples() {
    let report = |log_milli, samples| vec![KindTime { kind: "k".to_owned(), log_milli, samples }];
    let mut times = RunTimes::default();
    times.merge(&report(4_000, 15));
    times.merge(&report(6_000, 5));
    assert_eq!(times.report(), report(4_500, 20));
}
