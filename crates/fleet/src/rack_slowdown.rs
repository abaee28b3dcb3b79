//! Slowdown of runs outside the rack of their data, learned from run times.

/// Initial slowdown; users report two to three.
const INITIAL_FACTOR: f64 = 2.5;
/// Weight of the initial slowdown, in runs.
const INITIAL_WEIGHT: f64 = 4.0;
/// Maximum weight of past runs, which lets the estimate follow a change.
const MAX_WEIGHT: f64 = 50.0;
/// Maximum logarithm of the slowdown.
const MAX_LOG: f64 = 1.6;

/// Learned slowdown of runs outside the rack of their data.
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
    /// Learns from a run outside the rack; `sample` is the logarithm of its run time relative to a
    /// run near the data.
    pub fn learn(&mut self, sample: f64) {
        self.log += (sample - self.log) / (self.weight + 1.0);
        self.log = self.log.clamp(0.0, MAX_LOG);
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
    }

    /// Returns the logarithm of the slowdown.
    #[must_use]
    pub const fn log(&self) -> f64 {
        self.log
    }

    /// Returns the slowdown as a multiple of the run time near the data.
    #[must_use]
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }
}
