//! Clocks of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use cranberryhatch_types::Time;

/// Monotonic time since the start of the process, and Unix time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Monotonic time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::from_ms(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Unix time.
    #[must_use]
    pub fn wall(&self) -> Time {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Time::from_ms(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    /// Unix time of a point in monotonic time.
    #[must_use]
    pub fn to_wall(&self, time: Time) -> Time {
        let now = self.now();
        if time >= now { self.wall() + time.since(now) } else { self.wall() - now.since(time) }
    }
}
