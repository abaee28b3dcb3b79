//! Schedule of the retries of refused callers.
//!
//! Callers that were refused together would come back together if all got the same retry time. Each
//! caller therefore gets a time after those that were refused before it, spaced by the time that
//! their work takes.

use cranberryhatch_types::{Span, Time};

use crate::VecMap;

/// Minimum time after which a refused caller is asked to retry.
const RETRY_MIN: Span = Span::from_ms(100);
/// Maximum time after which a refused caller is asked to retry.
const RETRY_MAX: Span = Span::from_secs(4);
/// Spacing of callers once all times up to the maximum are reserved; they are spread over the
/// second half of the range.
const OVERFLOW_SPACING: Span = Span::from_ms(37);
/// Maximum number of services and priorities with reservations.
const MAX_KEYS: usize = 256;

/// Time up to which retries are reserved, by service and priority.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    // In microseconds.
    reserved: VecMap<(String, u32), u64>,
    // Number of callers that found no free time.
    overflow: u64,
}

impl RetrySchedule {
    /// Reserves the retry of a caller and returns the time after which it should retry.
    ///
    /// Its work occupies the slots that it will find for `work_us` microseconds. `capacity_at` is
    /// when the forecast has capacity for it, regardless of other retries.
    pub fn reserve(
        &mut self,
        service: &str,
        priority: u32,
        capacity_at: Time,
        work_us: u64,
        now: Time,
    ) -> Span {
        let key = (service.to_owned(), priority);
        if self.reserved.len() >= MAX_KEYS && !self.reserved.contains(&key) {
            self.reserved.retain(|_, until| *until / 1_000 > now.as_ms());
        }
        let earliest = capacity_at.max(now + RETRY_MIN).as_ms() * 1_000;
        let at = earliest.max(self.reserved.get(&key).copied().unwrap_or_default());
        let retry = Time::from_ms(at.div_ceil(1_000)).since(now);
        if retry < RETRY_MAX {
            if self.reserved.len() < MAX_KEYS || self.reserved.contains(&key) {
                self.reserved.insert(key, at + work_us);
            }
            return retry;
        }
        self.overflow += 1;
        let offset = self.overflow * OVERFLOW_SPACING.as_ms() % (RETRY_MAX.as_ms() / 2);
        Span::from_ms(RETRY_MAX.as_ms() - offset)
    }
}
