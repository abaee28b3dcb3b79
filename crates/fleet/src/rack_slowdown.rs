//! How much longer runs take away from the rack of their data.

/// Factor before any run was seen; the users say two to three.
const INITIAL_FACTOR: f64 = 2.5;
/// Weight of that, in runs.
const INITIAL_WEIGHT: f64 = 4.0;
/// Most runs behind the estimate, so that it follows a change.
const MAX_WEIGHT: f64 = 50.0;
/// Largest logarithm of the factor.
const MAX_LOG: f64 = 1.6;

/// The learnt factor.
#[derive(Clone, Copy, Debug)]
pub struct RackSlowdown {
    log: f64,
    weight: f64,
}

impl Default for RackSlowdown {
    fn default() -> Self {
        Self { log: INITIAL_FACTOR.ln(), weight: INITIAL_WEIGHT }
    }
}

impl RackSlowdown {
    /// Learns from a run away from the rack: the logarithm of its time against that near the data.
    pub fn learn(&mut self, sample: f64) {
        self.log += (sample - self.log) / (self.weight + 1.0);
        self.log = self.log.clamp(0.0, MAX_LOG);
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
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
