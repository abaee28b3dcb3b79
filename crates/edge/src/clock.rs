//! Clocks of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use cranberryhatch_types::Time;
use rustix::time::{ClockId, clock_gettime};

/// Steady time that goes on while the machine is suspended, and Unix time.
///
/// A caller's time limit passes while the machine is suspended, so the clock must count that time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Time since the machine started.
    #[must_use]
    pub fn now(self) -> Time {
        let time = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Time::from_ms(secs * 1_000 + nanos / 1_000_000)
    }

    /// Unix time in milliseconds; it may jump.
    #[must_use]
    pub fn wall_ms(self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
