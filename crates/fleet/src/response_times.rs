//! Time for the answer to an order, learnt from the answers to earlier ones.

use cranberryhatch_types::Span;

/// Share of a new sample in the mean, as in RFC 6298.
const MEAN_GAIN: f64 = 0.125;
/// Share of a new sample in the variation, as in RFC 6298.
const VARIATION_GAIN: f64 = 0.25;
/// Times the variation that is added to the mean, as in RFC 6298.
const VARIATION_FACTOR: f64 = 4.0;
/// Answers that are needed before the estimate is used.
const MIN_SAMPLES: u32 = 8;
/// Unanswered orders in a row, on any workers, that do not make the time longer.
const TOLERATED_TIMEOUTS: u32 = 2;
/// Answers in a row after which the time is no longer doubled.
const RESET_RESPONSES: u32 = 8;
/// Share of unanswered orders over all workers from which answers count as late and the time is doubled;
/// 8 % of the orders were seen to get lost.
const LATE_SHARE: f64 = 1.0 / 3.0;
/// Doublings of the time at most.
const MAX_DOUBLINGS: u32 = 4;
/// Share of a new order in the share of lost ones.
const LOSS_GAIN: f64 = 1.0 / 64.0;
/// Share of lost orders from which looks wait for a shorter time.
const LOSSY_SHARE: f64 = 0.02;

/// Times from orders to their answers over all workers of an instance.
///
/// An answer that comes after its time is not seen, so a slow instance would take all orders for lost and
/// never learn better. The time therefore doubles with each order that gets no answer while none at all
/// gets one, or while more get none than lost orders explain. It stays doubled until several answers in a
/// row came in time, as in Karn's algorithm: a single one may be a short one among many late ones.
///
/// ```
/// use cranberryhatch_fleet::ResponseTimes;
/// use cranberryhatch_types::Span;
///
/// let mut times = ResponseTimes::default();
/// let most = Span::from_ms(200);
/// assert_eq!(times.timeout(most), most);
/// (0..20).for_each(|_| times.answered(Some(Span::from_ms(2))));
/// assert_eq!(times.timeout(most), Span::from_ms(30));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTimes {
    mean: f64,
    variation: f64,
    samples: u32,
    missed_polls: u32,
    in_time: u32,
    doublings: u32,
    loss: f64,
}

impl ResponseTimes {
    /// Shortest time for an answer; an instance with a small share of a core reads answers some ten
    /// milliseconds late.
    pub const MIN_TIMEOUT: Span = Span::from_ms(30);

    /// Learns from an answer; the time is none if the worker waited before it answered.
    pub fn record_response(&mut self, took: Option<Span>) {
        self.missed_polls = 0;
        self.in_time = self.in_time.saturating_add(1);
        if self.in_time >= RESET_RESPONSES {
            self.doublings = 0;
        }
        self.loss -= LOSS_GAIN * self.loss;
        let Some(took) = took else { return };
        let ms = f64::from(u32::try_from(took.as_ms()).unwrap_or(u32::MAX));
        if self.samples == 0 {
            (self.mean, self.variation) = (ms, ms / 2.0);
        } else {
            self.variation += VARIATION_GAIN * ((self.mean - ms).abs() - self.variation);
            self.mean += MEAN_GAIN * (ms - self.mean);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Learns that an order got no answer; `counts` tells whether it says something about losses, which
    /// a further one on a silent worker does not.
    pub fn record_timeout(&mut self, counts: bool) {
        self.missed_polls = self.missed_polls.saturating_add(1);
        if counts {
            self.loss += LOSS_GAIN * (1.0 - self.loss);
            self.in_time = 0;
        }
        if self.missed_polls > TOLERATED_TIMEOUTS || self.loss >= LATE_SHARE {
            self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        }
    }

    /// Time for an answer, `most` at most.
    #[must_use]
    pub fn timeout(&self, most: Span) -> Span {
        if self.samples < MIN_SAMPLES {
            return most;
        }
        let ms = self.mean + VARIATION_FACTOR * self.variation;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let span = Span::from_ms(ms.ceil() as u64).max(Self::MIN_TIMEOUT);
        (span * (1 << self.doublings)).min(most)
    }

    /// Whether orders get lost.
    #[must_use]
    pub fn is_lossy(&self) -> bool {
        self.loss >= LOSSY_SHARE
    }
}
