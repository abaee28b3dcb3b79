//! Attempts in flight and when to query their status.

use cranberryhatch_types::{Span, TaskName, Time, WorkerId};

use crate::{JobNo, Slot};

/// Time to the first status query after the response to a start was lost; only a query can then
/// return the result.
const LOST_QUERY_INTERVAL: Span = Span::from_ms(100);
/// Maximum interval between status queries after the response to a start was lost.
const MAX_LOST_QUERY_INTERVAL: Span = Span::from_secs(1);

/// On whose behalf an attempt runs.
#[derive(Clone, Debug)]
pub(crate) enum Owner {
    /// An unfinished job.
    Job(JobNo),
    /// A job that ended; the attempt is tracked only because it occupies a slot.
    Ended(TaskName),
}

/// Where an attempt runs.
#[derive(Clone, Debug)]
pub(crate) enum Location {
    /// On a slot of this shard.
    Slot(Slot),
    /// On a worker where a former holder started it.
    Adopted(WorkerId),
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// On whose behalf it runs.
    pub(crate) owner: Owner,
    /// Index of the task.
    pub(crate) index: u32,
    /// Number of the attempt at the task.
    pub(crate) number: u32,
    /// Attempts that count against the retry limit, including this one.
    pub(crate) tries: u32,
    /// Where it runs.
    pub(crate) location: Location,
    /// When it was sent or adopted.
    pub(crate) sent: Time,
    /// Lease of the task plus the lease margin.
    pub(crate) lease: Span,
    /// When to query its status next.
    pub(crate) next_query: Time,
    /// Time between the next status query and the one after it.
    pub(crate) interval: Span,
    /// Whether a status query is pending.
    pub(crate) query_pending: bool,
    /// Whether a status query was ever sent; the endpoint may then refuse just this attempt as
    /// fenced.
    pub(crate) was_queried: bool,
    /// Whether the response to the start was lost.
    pub(crate) response_lost: bool,
    /// Whether the endpoint confirmed that it started.
    pub(crate) started: bool,
}

impl Attempt {
    /// Records that no response to the start will arrive.
    pub(crate) fn mark_response_lost(&mut self) {
        if !self.response_lost {
            self.response_lost = true;
            self.interval = LOST_QUERY_INTERVAL;
        }
    }

    /// Returns the time to the next status query and doubles the interval, up to `longest`.
    pub(crate) fn next_interval(&mut self, longest: Span) -> Span {
        let limit = if self.response_lost { MAX_LOST_QUERY_INTERVAL } else { longest };
        let interval = self.interval;
        self.interval = (interval * 2).min(limit);
        interval
    }
}
