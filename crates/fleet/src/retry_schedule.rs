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
const SPREAD: Span = Span::from_ms(37);
/// Largest number of services and priorities with bookings.
const BOOKINGS: usize = 256;

/// Times up to which callers were told to come back, by service and priority.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    // In microseconds.
    booked: VecMap<(String, u32), u64>,
    // Callers for whom no time was left.
    beyond: u64,
}

impl RetrySchedule {
    /// Books the return of a caller whose work takes the slots that it will find for `work_us`
    /// microseconds; `room` is when the forecast has room for it, regardless of other returns.
    pub fn book(
        &mut self,
        service: &str,
        priority: u32,
        room: Time,
        work_us: u64,
        now: Time,
    ) -> Span {
        let key = (service.to_owned(), priority);
        if self.booked.len() >= BOOKINGS && !self.booked.contains(&key) {
            self.booked.retain(|_, until| *until / 1_000 > now.as_ms());
        }
        let first = room.max(now + RETRY_MIN).as_ms() * 1_000;
        let at = first.max(self.booked.get(&key).copied().unwrap_or_default());
        let retry = Time::from_ms(at.div_ceil(1_000)).since(now);
        if retry < RETRY_MAX {
            if self.booked.len() < BOOKINGS || self.booked.contains(&key) {
                self.booked.insert(key, at + work_us);
            }
            return retry;
        }
        self.beyond += 1;
        let part = self.beyond * SPREAD.as_ms() % (RETRY_MAX.as_ms() / 2);
        Span::from_ms(RETRY_MAX.as_ms() - part)
    }
}
