//! Parameters of a plan.

use crate::Pattern;

/// Parameters that determine a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Workload {
    /// Pattern of arrivals.
    pub pattern: Pattern,
    /// Number of slots of all workers.
    pub slots: u32,
    /// Mean share of busy slots in percent.
    pub percent: u32,
    /// Time span of the arrivals in seconds.
    pub seconds: u32,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Maximum factor by which declared run times are too short or too long.
    pub error: u32,
    /// Share of idempotent jobs, in percent.
    pub idempotent: u32,
}

impl Workload {
    /// Creates a workload of 30 s that uses 70 % of the slots, with declared run times that are off by
    /// a factor of up to ten.
    #[must_use]
    pub const fn new(pattern: Pattern, slots: u32) -> Self {
        Self { pattern, slots, percent: 70, seconds: 30, seed: 1, error: 10, idempotent: 50 }
    }

    /// Sets the mean share of busy slots in percent.
    #[must_use]
    pub const fn percent(mut self, percent: u32) -> Self {
        self.percent = percent;
        self
    }

    /// Sets the time span of the arrivals in seconds.
    #[must_use]
    pub const fn seconds(mut self, seconds: u32) -> Self {
        self.seconds = seconds;
        self
    }

    /// Sets the seed.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
