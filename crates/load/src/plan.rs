//! Arrivals and run times of a run, generated in advance.

use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::{Pattern, Workload};

/// Maximum number of tasks of a job.
const LARGE_JOB: usize = 1_900;
/// Length of a burst in milliseconds.
const BURST_MS: u64 = 5_000;
/// Start of a burst after the first arrival, in milliseconds.
const BURST_START_MS: u64 = 5_000;

/// One task of a planned job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedTask {
    /// Run time in milliseconds.
    pub run: u64,
    /// Run time declared by the caller, in milliseconds.
    pub declared: u64,
}

/// A job and the time of its arrival.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedJob {
    /// Arrival in milliseconds after the start.
    pub at: u64,
    /// Whether the caller marks it as idempotent.
    pub idempotent: bool,
    /// Its tasks.
    pub tasks: Vec<PlannedTask>,
}

/// All arrivals of a run, in order of time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Jobs in order of arrival.
    pub jobs: Vec<PlannedJob>,
}

impl Plan {
    /// Generates the plan of a workload.
    #[must_use]
    pub fn generate(workload: &Workload) -> Self {
        let mut rng = Rng::with_seed(workload.seed);
        let end = u64::from(workload.seconds) * 1_000;
        let mut jobs = Vec::new();
        let mut at = 0.0_f64;
        loop {
            let job = planned_job(workload, &mut rng);
            let work: u64 = job.tasks.iter().map(|task| task.run).sum();
            // The gap before a job is proportional to its work, so that the mean load does not
            // depend on the sizes of jobs.
            let busy = f64::from(workload.slots * percent_at(workload, at)) / 100.0;
            at += work as f64 / busy * exponential(&mut rng);
            if at >= end as f64 {
                return Self { jobs };
            }
            jobs.push(PlannedJob { at: at as u64, ..job });
        }
    }

    /// Returns the number of tasks of all jobs.
    #[must_use]
    pub fn tasks(&self) -> usize {
        self.jobs.iter().map(|job| job.tasks.len()).sum()
    }
}

fn percent_at(workload: &Workload, at: f64) -> u32 {
    let burst = (BURST_START_MS as f64..(BURST_START_MS + BURST_MS) as f64).contains(&at);
    if workload.pattern == Pattern::Burst && burst { 300 } else { workload.percent }
}

fn planned_job(workload: &Workload, rng: &mut Rng) -> PlannedJob {
    let count = match (workload.pattern, rng.u32(0..100)) {
        (Pattern::Small, _) | (_, 0..60) => 1,
        (Pattern::Large, _) => LARGE_JOB,
        (_, 60..90) => rng.usize(2..=20),
        (_, 90..99) => rng.usize(20..=200),
        (_, _) => rng.usize(200..=LARGE_JOB),
    };
    let count = if workload.pattern == Pattern::Large { LARGE_JOB } else { count };
    let idempotent = rng.u32(0..100) < workload.idempotent;
    let tasks = (0..count).map(|_| planned_task(workload, rng)).collect();
    PlannedJob { at: 0, idempotent, tasks }
}

// Most tasks take 50 ms to 1 s, one in fifty takes several seconds.
fn planned_task(workload: &Workload, rng: &mut Rng) -> PlannedTask {
    let run = if rng.u32(0..50) == 0 {
        rng.u64(2_000..=5_000)
    } else {
        (50.0 * 20.0_f64.powf(rng.f64())) as u64
    };
    let error = f64::from(workload.error.max(1)).powf(2.0 * rng.f64() - 1.0);
    let declared = ((run as f64 * error) as u64).max(1);
    PlannedTask { run, declared }
}

fn exponential(rng: &mut Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}
