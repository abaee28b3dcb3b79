//! Timers of a shard.

use cranberryhatch_types::Time;

use crate::{AttemptId, ChunkMap, JobNo};

/// An action that is due at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A job reaches its deadline.
    Deadline(JobNo),
    /// A caller's request for an answer times out.
    Waiter(u64),
    /// An attempt without a response is due for a status query.
    StatusQuery(AttemptId),
    /// The pause of a task after a refused start ends.
    Retry(JobNo, u32),
    /// A forwarded request that arrived before its job times out.
    EarlyRequest(u64),
    /// A request forwarded to another holder times out.
    Forward(u64),
}

/// Timers ordered by expiry.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    entries: ChunkMap<(Time, Timer), ()>,
}

impl Timers {
    /// Arms a timer.
    pub(crate) fn set(&mut self, at: Time, timer: Timer) {
        self.entries.insert((at, timer), ());
    }

    /// Cancels a timer that was armed for `at`.
    pub(crate) fn clear(&mut self, at: Time, timer: Timer) {
        self.entries.remove(&(at, timer));
    }

    /// Removes and returns the next timer that has expired.
    pub(crate) fn pop(&mut self, now: Time) -> Option<Timer> {
        let ((at, _), ()) = self.entries.first()?;
        if *at > now {
            return None;
        }
        self.entries.pop_first().map(|((_, timer), ())| timer)
    }
}
