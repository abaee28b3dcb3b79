//! Run times learnt for each kind of job.

use cranberryhatch_types::Span;

use crate::VecMap;

/// Share of a new sample in the learnt run time.
const SAMPLE_SHARE: f64 = 0.05;

/// Learnt run times.
///
/// Declared run times are off by factors in both directions, and so is the average of a kind for a
/// single job; the geometric mean of both is off by less than either.
#[derive(Debug, Default)]
pub struct RunTimes {
    // Mean of the logarithm of the run time in milliseconds.
    kinds: VecMap<String, f64>,
}

impl RunTimes {
    /// Learns from a run that ended successfully.
    pub fn learn(&mut self, kind: &str, took: Span) {
        let sample = log_ms(took);
        match self.kinds.get_mut(kind) {
            Some(mean) => *mean += SAMPLE_SHARE * (sample - *mean),
            None => {
                self.kinds.insert(kind.to_owned(), sample);
            }
        }
    }

    /// Run time to expect.
    #[must_use]
    pub fn expect(&self, kind: &str, declared: Span) -> Span {
        match self.kinds.get(kind) {
            Some(mean) if declared.as_ms() == 0 => exp_ms(*mean),
            Some(mean) => exp_ms(f64::midpoint(*mean, log_ms(declared))),
            None => declared.max(Span::from_ms(1)),
        }
    }
}

fn log_ms(span: Span) -> f64 {
    let ms = u32::try_from(span.as_ms().max(1)).unwrap_or(u32::MAX);
    f64::from(ms).ln()
}

fn exp_ms(log: f64) -> Span {
    let ms = log.exp().clamp(1.0, f64::from(u32::MAX));
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped above")]
    Span::from_ms(ms as u64)
}
