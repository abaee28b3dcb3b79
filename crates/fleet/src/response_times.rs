//! Response timeouts, estimated from the response times of earlier requests.

use cranberryhatch_types::Span;

/// Gain of a new sample in the smoothed mean, as in RFC 6298.
const MEAN_GAIN: f64 = 0.125;
/// Gain of a new sample in the smoothed variation, as in RFC 6298.
const VARIATION_GAIN: f64 = 0.25;
/// Multiple of the variation that is added to the mean, as in RFC 6298.
const VARIATION_FACTOR: f64 = 4.0;
/// Number of samples from which the estimate is used.
const MIN_SAMPLES: u32 = 8;
/// Number of consecutive timeouts, over all workers, that do not lengthen the timeout.
const TOLERATED_TIMEOUTS: u32 = 2;
/// Number of consecutive responses in time after which the timeout is no longer doubled.
const RESET_RESPONSES: u32 = 8;
/// Share of timeouts over all workers from which responses count as late, not lost, and the timeout
/// doubles; a loss of 8 % of the requests occurs in practice.
const LATE_SHARE: f64 = 1.0 / 3.0;
/// Maximum number of doublings.
const MAX_DOUBLINGS: u32 = 4;
/// Gain of a new request in the smoothed share of lost requests.
const LOSS_GAIN: f64 = 1.0 / 64.0;
/// Share of lost requests from which workers hold polls open for a shorter time.
const LOSSY_SHARE: f64 = 0.02;

/// Smoothed response times of requests to all workers of an instance.
///
/// A response that arrives after the timeout is not seen, so a slow instance would take every
/// request for lost and never learn better. The timeout therefore doubles with each request that
/// times out while none gets a response at all, or while more time out than losses explain. It
/// stays doubled until several consecutive responses have arrived in time, as in Karn's algorithm:
/// a single one may be an exception among many late ones.
///
/// ```
/// use cranberryhatch_fleet::ResponseTimes;
/// use cranberryhatch_types::Span;
///
/// let mut times = ResponseTimes::default();
/// let most = Span::from_ms(200);
/// assert_eq!(times.timeout(most), most);
/// (0..20).for_each(|_| times.record_response(Some(Span::from_ms(2))));
/// assert_eq!(times.timeout(most), Span::from_ms(30));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTimes {
    mean: f64,
    variation: f64,
    samples: u32,
    timeouts: u32,
    in_time: u32,
    doublings: u32,
    loss: f64,
}

impl ResponseTimes {
    /// Shortest timeout; an instance with a small CPU share reads responses some ten milliseconds
    /// late.
    pub const MIN_TIMEOUT: Span = Span::from_ms(30);

    /// Records a response; `took` is `None` if the worker held the request open or the delay is not
    /// representative.
    pub fn record_response(&mut self, took: Option<Span>) {
        self.timeouts = 0;
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

    /// Records a timeout. `counts` is whether it is evidence of losses; a further timeout of an
    /// unresponsive worker is not.
    pub fn record_timeout(&mut self, counts: bool) {
        self.timeouts = self.timeouts.saturating_add(1);
        if counts {
            self.loss += LOSS_GAIN * (1.0 - self.loss);
            self.in_time = 0;
        }
        if self.timeouts > TOLERATED_TIMEOUTS || self.loss >= LATE_SHARE {
            self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        }
    }

    /// Returns the response timeout, `most` at most.
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

    /// Returns whether a relevant share of the requests gets lost.
    #[must_use]
    pub fn is_lossy(&self) -> bool {
        self.loss >= LOSSY_SHARE
    }
}
