//! Tells how long an instance has had a version of replicated state.

use cranberryhatch_types::{Span, Time};

/// Versions that were received recently.
#[derive(Debug, Default)]
pub(crate) struct VersionHistory {
    // Newest version that was received before the recent ones.
    settled: u64,
    // Versions with the time at which they were received, oldest first.
    recent: Vec<(Time, u64)>,
}

impl VersionHistory {
    /// Records a version that is newer than all earlier ones.
    pub(crate) fn record(&mut self, version: u64, now: Time) {
        self.recent.push((now, version));
    }

    /// Returns the newest version that was received at least `age` ago; 0 for none.
    ///
    /// Later calls must not use a larger `age`.
    pub(crate) fn settled(&mut self, age: Span, now: Time) -> u64 {
        let old = self.recent.partition_point(|(at, _)| now.since(*at) >= age);
        if let Some((_, version)) = self.recent.drain(..old).next_back() {
            self.settled = version;
        }
        self.settled
    }
}
