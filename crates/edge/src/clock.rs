//! Clocks of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use cranberryhatch_types::Time;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that includes time in suspend, and Unix time.
///
/// A caller's deadline keeps running while the machine is suspended, so that time must count.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Returns the time since boot, including time in suspend.
    #[must_use]
    pub fn now(self) -> Time {
        let time = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Time::from_ms(secs * 1_000 + nanos / 1_000_000)
    }

    /// Returns the Unix time in milliseconds; it may jump in both directions.
    #[must_use]
    pub fn wall_ms(self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
