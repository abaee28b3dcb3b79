//! When refused callers come back.
//!
//! The load it answers is a crowd that was refused in one pass: with the same time for all, it would
//! come back as a second wave. Each caller gets a time after those that were sent away before it, by
//! the time that their work takes.

use cranberryhatch_types::{Span, Time};

use crate::VecMap;

/// Shortest time that a refused caller is asked to stay away.
const RETRY_MIN: Span = Span::from_ms(100);
/// Longest time that a refused caller is asked to stay away.
const RETRY_MAX: Span = Span::from_secs(4);
/// Distance of callers who come back when all times up to the longest one are booked: they are
/// spread over its second half.
const OVERFLOW_SPACING: Span = Span::from_ms(37);
/// Largest number of services and priorities with bookings.
const MAX_KEYS: usize = 256;

/// Times up to which callers were told to come back, by service and priority.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    // In microseconds.
    reserved: VecMap<(String, u32), u64>,
    // Callers for whom no time was left.
    overflow: u64,
}

impl RetrySchedule {
    /// Books the return of a caller whose work takes the slots that it will find for `work_us`
    /// microseconds; `room` is when the forecast has room for it, regardless of other returns.
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
