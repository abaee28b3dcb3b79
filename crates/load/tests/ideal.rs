//! Tests of the ideal response times and of generated plans.

use cranberryhatch_load::{Pattern, Plan, PlannedJob, PlannedTask, Workload, ideal};
use strum::IntoEnumIterator;

struct Case {
    name: &'static str,
    jobs: &'static [(u64, &'static [u64])],
    capacity: &'static [(u64, u32)],
    responses: &'static [u64],
}

/// Guards against an ideal that is too slow, which would flatter every policy.
#[test]
fn one_central_queue() {
    let cases = [
        Case { name: "idle slot", jobs: &[(5, &[10])], capacity: &[(0, 1)], responses: &[10] },
        Case {
            name: "tasks run side by side",
            jobs: &[(0, &[10, 30, 20])],
            capacity: &[(0, 3)],
            responses: &[30],
        },
        Case {
            name: "the second job waits for the first",
            jobs: &[(0, &[10, 10]), (1, &[5])],
            capacity: &[(0, 1)],
            responses: &[20, 24],
        },
        Case {
            name: "a removed slot is not used again",
            jobs: &[(0, &[10, 10]), (12, &[10, 10])],
            capacity: &[(0, 2), (11, 1)],
            responses: &[10, 20],
        },
        Case {
            name: "an added slot is used at once",
            jobs: &[(0, &[10, 10])],
            capacity: &[(0, 1), (4, 2)],
            responses: &[14],
        },
    ];
    for case in cases {
        let jobs = case.jobs.iter().map(|(at, runs)| PlannedJob {
            at: *at,
            idempotent: true,
            tasks: runs.iter().map(|run| PlannedTask { run: *run, declared: *run }).collect(),
        });
        let plan = Plan { jobs: jobs.collect() };
        assert_eq!(ideal(&plan, case.capacity), case.responses, "{}", case.name);
    }
}

/// Guards against runs that cannot be repeated, and against loads far from the requested mean.
#[test]
fn plans_depend_on_the_seed_and_have_the_requested_load() {
    for pattern in Pattern::iter().filter(|pattern| *pattern != Pattern::Burst) {
        let workload = Workload::new(pattern, 384).seconds(600).seed(3);
        let plan = Plan::generate(&workload);
        assert_eq!(plan, Plan::generate(&workload), "{pattern}");
        assert_ne!(plan, Plan::generate(&workload.seed(4)), "{pattern}");
        let work: u64 = plan.jobs.iter().flat_map(|job| &job.tasks).map(|task| task.run).sum();
        let percent = work * 100 / (384 * 600_000);
        assert!((60..=80).contains(&percent), "{pattern}: {percent}");
        assert!(plan.jobs.is_sorted_by_key(|job| job.at), "{pattern}");
    }
}
