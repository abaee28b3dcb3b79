//! What is due when.

use cranberryhatch_types::Time;

use crate::{AttemptId, ChunkMap, JobNo};

/// Something that falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// A job's deadline.
    Deadline(JobNo),
    /// The end of a wait for an answer.
    Waiter(u64),
    /// A question about an attempt without answer.
    Check(AttemptId),
    /// The end of a task's pause after a refused start.
    Retry(JobNo, u32),
    /// The end of a question's wait for a job that has not come.
    Early(u64),
    /// The end of the time in which another holder should have replied.
    Forward(u64),
}

/// Points in time at which something falls due.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: ChunkMap<(Time, Due), ()>,
}

impl Timers {
    /// Arms a timer.
    pub(crate) fn set(&mut self, at: Time, due: Due) {
        self.due.insert((at, due), ());
    }

    /// Disarms a timer that was set for a time.
    pub(crate) fn clear(&mut self, at: Time, due: Due) {
        self.due.remove(&(at, due));
    }

    /// Takes the next timer that is due.
    pub(crate) fn pop(&mut self, now: Time) -> Option<Due> {
        let ((at, _), ()) = self.due.first()?;
        if *at > now {
            return None;
        }
        self.due.pop_first().map(|((_, due), ())| due)
    }
}
