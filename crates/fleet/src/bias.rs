//! Bias of expected run times: the ratio of actual to expected run times by kind.
//!
//! Kinds can declare run times that are wrong by a factor. Without a correction, a forecast that
//! sums the expected run times of many tasks would be wrong by the same factor.

use cranberryhatch_types::Span;

use crate::VecMap;

/// Number of runs over which the ratio is averaged.
const MAX_SAMPLES: u32 = 30;
/// Maximum ratio of one sample; longer runs say more about their worker than about their kind.
const MAX_RATIO: f64 = 5.0;
/// Maximum number of kinds; later ones are assumed to run as expected.
const MAX_KINDS: usize = 1_000;

/// Learned ratios by kind.
#[derive(Debug, Default)]
pub struct RunBias {
    // Ratio and number of samples.
    kinds: VecMap<String, (f64, u32)>,
}

impl RunBias {
    /// Learns from a run that ended successfully.
    pub fn learn(&mut self, kind: &str, took: Span, expected: Span) {
        if !self.kinds.contains(kind) {
            if self.kinds.len() >= MAX_KINDS {
                return;
            }
            self.kinds.insert(kind.to_owned(), (1.0, 0));
        }
        let Some((ratio, samples)) = self.kinds.get_mut(kind) else { return };
        let sample = (ms(took) / ms(expected).max(1.0)).min(MAX_RATIO);
        *samples = (*samples + 1).min(MAX_SAMPLES);
        *ratio += (sample - *ratio) / f64::from(*samples);
    }

    /// Returns the mean run time of runs of a kind that are expected to take `expected`.
    #[must_use]
    pub fn mean(&self, kind: &str, expected: Span) -> Span {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        Span::from_ms(self.mean_ms(kind, expected) as u64)
    }

    /// Returns the mean run time in milliseconds.
    #[must_use]
    pub fn mean_ms(&self, kind: &str, expected: Span) -> f64 {
        ms(expected).max(1.0) * self.kinds.get(kind).map_or(1.0, |(ratio, _)| *ratio)
    }
}

fn ms(span: Span) -> f64 {
    f64::from(u32::try_from(span.as_ms()).unwrap_or(u32::MAX))
}
