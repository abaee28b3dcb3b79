//! Cases of the fair queue between teams.

mod support;

use cranberryhatch_core::{FairQueue, JobNo, Need, QueueEntry};
use cranberryhatch_types::{Accels, Cores, Span, TeamId};
use support::{Rig, job, key_of};

/// A team with its weight, the run time of its tasks and how many wait.
struct Team {
    name: &'static str,
    weight: u32,
    run: u64,
    tasks: u32,
    need: Need,
}

struct Case {
    guards: &'static str,
    fair: bool,
    teams: &'static [Team],
    /// Slots to be had, one after the other.
    slots: usize,
    /// Tasks started of each team.
    expect: &'static [usize],
}

const PLAIN: Need = need(0, 0);
const fn need(cores: u32, accels: u32) -> Need {
    Need {
        cores: Cores::new(cores),
        memory: cranberryhatch_types::Bytes::new(0),
        accels: Accels::new(accels),
    }
}

const CASES: &[Case] = &[
    Case {
        guards: "a team with many tasks keeps out a team with few",
        fair: true,
        teams: &[
            Team { name: "a", weight: 10, run: 100, tasks: 1_000, need: PLAIN },
            Team { name: "b", weight: 10, run: 100, tasks: 1_000, need: PLAIN },
        ],
        slots: 100,
        expect: &[50, 50],
    },
    Case {
        guards: "weights have no effect",
        fair: true,
        teams: &[
            Team { name: "a", weight: 30, run: 100, tasks: 1_000, need: PLAIN },
            Team { name: "b", weight: 10, run: 100, tasks: 1_000, need: PLAIN },
        ],
        slots: 120,
        expect: &[90, 30],
    },
    Case {
        guards: "a team with long tasks gets more slot time than its share",
        fair: true,
        teams: &[
            Team { name: "a", weight: 10, run: 400, tasks: 1_000, need: PLAIN },
            Team { name: "b", weight: 10, run: 100, tasks: 1_000, need: PLAIN },
        ],
        slots: 100,
        expect: &[20, 80],
    },
    Case {
        guards: "a share that a team does not use is lost",
        fair: true,
        teams: &[
            Team { name: "a", weight: 10, run: 100, tasks: 5, need: PLAIN },
            Team { name: "b", weight: 1, run: 100, tasks: 1_000, need: PLAIN },
        ],
        slots: 100,
        expect: &[5, 95],
    },
    Case {
        guards: "first come, first served is not kept when fairness is switched off",
        fair: false,
        teams: &[
            Team { name: "a", weight: 1, run: 100, tasks: 90, need: PLAIN },
            Team { name: "b", weight: 100, run: 100, tasks: 1_000, need: PLAIN },
        ],
        slots: 100,
        expect: &[90, 10],
    },
    Case {
        guards: "a task that finds no fitting slot blocks the other teams",
        fair: true,
        teams: &[
            Team { name: "a", weight: 10, run: 100, tasks: 10, need: need(0, 1) },
            Team { name: "b", weight: 10, run: 100, tasks: 100, need: PLAIN },
        ],
        slots: 50,
        expect: &[0, 50],
    },
    Case {
        guards: "a task that finds no fitting slot blocks the other teams, first come, first served",
        fair: false,
        teams: &[
            Team { name: "a", weight: 10, run: 100, tasks: 10, need: need(0, 1) },
            Team { name: "b", weight: 10, run: 100, tasks: 100, need: PLAIN },
        ],
        slots: 50,
        expect: &[0, 50],
    },
];

#[test]
fn teams_get_their_shares() {
    for case in CASES {
        let mut queue = FairQueue::default();
        queue.set_fair(case.fair);
        for (no, team) in case.teams.iter().enumerate() {
            let lane = queue.lane(&team.name.parse().expect("a team"), team.weight);
            let (job, run) = (JobNo(no as u64), Span::from_ms(team.run));
            queue.push(lane, QueueEntry { job, need: team.need, run, tasks: team.tasks });
        }
        let mut started = vec![0; case.teams.len()];
        let mut left = case.slots;
        while left > 0 {
            let Some(pick) = queue.pick() else { break };
            let no = usize::try_from(pick.job.0).expect("a small number");
            // The slots have no accelerators.
            if case.teams[no].need.accels.get() > 0 {
                queue.no_slot(case.teams[no].need);
                continue;
            }
            queue.started(pick, Some(case.teams[no].need));
            started[no] += 1;
            left -= 1;
        }
        assert_eq!(started, case.expect, "{}", case.guards);
    }
}

#[test]
fn a_team_over_its_quota_is_passed_over_until_it_frees_a_slot() {
    // Guards against a team at its quota that blocks the others, and that stays blocked.
    let mut queue = FairQueue::default();
    let teams: Vec<TeamId> = ["a", "b"].map(|team| team.parse().expect("a team")).into();
    let lanes: Vec<_> = teams.iter().map(|team| queue.lane(team, 10)).collect();
    for (no, lane) in lanes.iter().enumerate() {
        let (job, run) = (JobNo(no as u64), Span::from_ms(100));
        queue.push(*lane, QueueEntry { job, need: PLAIN, run, tasks: 10 });
    }
    queue.over_quota(lanes[0]);
    for _ in 0..10 {
        let pick = queue.pick().expect("a task of the other team");
        assert_eq!(pick.lane, lanes[1]);
        queue.started(pick, Some(PLAIN));
    }
    assert_eq!(queue.pick(), None);
    queue.slot_freed(&teams[1]);
    assert_eq!(queue.pick(), None);
    queue.slot_freed(&teams[0]);
    assert_eq!(queue.pick().map(|pick| pick.lane), Some(lanes[0]));
}

#[test]
fn a_job_that_does_not_fit_lets_a_later_one_of_its_team_pass() {
    // Guards against a team held up by one job with a rare need.
    let mut queue = FairQueue::default();
    let lane = queue.lane(&"a".parse().expect("a team"), 10);
    for (no, need) in [(0, need(8_000, 0)), (1, need(9_000, 0)), (2, need(1_000, 0))] {
        let run = Span::from_ms(100);
        queue.push(lane, QueueEntry { job: JobNo(no), need, run, tasks: 1 });
    }
    let pick = queue.pick().expect("a task");
    assert_eq!(pick.job, JobNo(0));
    queue.no_slot(need(8_000, 0));
    let pick = queue.pick().expect("a task");
    assert_eq!(pick.job, JobNo(2), "the larger need of job 1 is not tried");
    queue.started(pick, None);
    assert_eq!(queue.pick(), None);
    assert_eq!(queue.waiting(), 2);
}

#[test]
fn counts_follow_pushes_starts_and_removals() {
    // Guards against a wrong demand, by which a shard borrows too many slots or none.
    let seed = 0x5eed;
    println!("seed {seed}");
    let mut random = fastrand::Rng::with_seed(seed);
    let mut queue = FairQueue::default();
    let teams = ["a", "b", "c"].map(|team| team.parse::<TeamId>().expect("a team"));
    let mut jobs: Vec<(usize, JobNo, u32)> = Vec::new();
    for round in 0..20_000_u64 {
        match random.u32(0..4) {
            0 => {
                let team = random.usize(0..3);
                let lane = queue.lane(&teams[team], 10);
                let (job, tasks) = (JobNo(round), random.u32(1..20));
                let run = Span::from_ms(random.u64(1..500));
                queue.push(lane, QueueEntry { job, need: need(random.u32(0..3), 0), run, tasks });
                jobs.push((team, job, tasks));
            }
            1 if !jobs.is_empty() => {
                let (team, job, _) = jobs.swap_remove(random.usize(0..jobs.len()));
                let lane = queue.lane(&teams[team], 10);
                queue.remove(lane, job);
            }
            _ => {
                let Some(pick) = queue.pick() else { continue };
                queue.started(pick, Some(need(random.u32(0..3), 0)));
                let place = jobs.iter().position(|(_, job, _)| *job == pick.job);
                let place = place.expect("a job that waits");
                jobs[place].2 -= 1;
                if jobs[place].2 == 0 {
                    jobs.swap_remove(place);
                }
            }
        }
        let total: u64 = jobs.iter().map(|(_, _, tasks)| u64::from(*tasks)).sum();
        assert_eq!(queue.waiting(), total);
        if queue.take_changes() {
            for (team, count) in queue.counts() {
                let place = teams.iter().position(|other| other == team).expect("a team");
                let own = jobs.iter().filter(|(of, _, _)| *of == place);
                assert_eq!(*count, own.map(|(_, _, tasks)| tasks).sum::<u32>());
            }
        }
    }
    for _ in 0..queue.waiting() {
        let pick = queue.pick().expect("every waiting task gets its turn");
        queue.started(pick, Some(PLAIN));
    }
    assert_eq!(queue.pick(), None);
}

#[test]
fn a_large_job_does_not_keep_out_another_team() {
    // Guards against a burst of one team that starves the others in a shard.
    let mut rig = Rig::new("");
    rig.worker("w1", 10);
    let (_, mut open) = rig.run(&job(&key_of("big", "a"), 1_000));
    rig.run(&job(&key_of("small", "b"), 10));
    let mut small = 0;
    for _ in 0..40 {
        let start = open.remove(0);
        rig.done(start.attempt);
        for start in support::starts(&rig.out) {
            small += usize::from(start.name.job.team.as_str() == "small");
            open.push(start);
        }
    }
    assert_eq!(small, 10, "both teams have the same weight, so 20 starts of 40 are a share");
}
