//! What is due when.

use cranberryhatch_types::Time;

use crate::{AttemptId, ChunkMap, JobNo};

/// Something that falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A job's deadline.
    Deadline(JobNo),
    /// The end of a wait for an answer.
    Waiter(u64),
    /// A question about an attempt without answer.
    StatusQuery(AttemptId),
    /// The end of a task's pause after a refused start.
    Retry(JobNo, u32),
    /// The end of a question's wait for a job that has not come.
    EarlyRequest(u64),
    /// The end of the time in which another holder should have replied.
    Forward(u64),
}

/// Points in time at which something falls due.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    entries: ChunkMap<(Time, Timer), ()>,
}

impl Timers {
    /// Arms a timer.
    pub(crate) fn set(&mut self, at: Time, timer: Timer) {
        self.entries.insert((at, timer), ());
    }

    /// Disarms a timer that was set for a time.
    pub(crate) fn clear(&mut self, at: Time, timer: Timer) {
        self.entries.remove(&(at, timer));
    }

    /// Takes the next timer that is due.
    pub(crate) fn pop(&mut self, now: Time) -> Option<Timer> {
        let ((at, _), ()) = self.entries.first()?;
        if *at > now {
            return None;
        }
        self.entries.pop_first().map(|((_, timer), ())| timer)
    }
}
