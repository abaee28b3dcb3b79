//! How much longer runs take away from the rack of their data.

/// Factor before any run was seen; the users say two to three.
const FACTOR: f64 = 2.5;
/// Weight of that, in runs.
const PRIOR_RUNS: f64 = 4.0;
/// Most runs behind the estimate, so that it follows a change.
const MEMORY: f64 = 50.0;
/// Largest logarithm of the factor.
const LOG_MAX: f64 = 1.6;

/// The learnt factor.
#[derive(Clone, Copy, Debug)]
pub struct RackSlowdown {
    log: f64,
    runs: f64,
}

impl Default for RackSlowdown {
    fn default() -> Self {
        Self { log: FACTOR.ln(), runs: PRIOR_RUNS }
    }
}

impl RackSlowdown {
    /// Learns from a run away from the rack: the logarithm of its time against that near the data.
    pub fn learn(&mut self, sample: f64) {
        self.log += (sample - self.log) / (self.runs + 1.0);
        self.log = self.log.clamp(0.0, LOG_MAX);
        self.runs = (self.runs + 1.0).min(MEMORY);
    }

    /// Logarithm of the factor.
    #[must_use]
    pub const fn log(&self) -> f64 {
        self.log
    }

    /// Times as long as near its data that a run takes.
    #[must_use]
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }
}
