//! Attempts in flight.

use cranberryhatch_types::{Span, TaskName, Time, WorkerId};

use crate::{JobNo, Slot};

/// Time to the first question about an attempt whose own answer was lost; only a question brings
/// its result.
const LOST_QUERY_INTERVAL: Span = Span::from_ms(100);
/// Longest time between two questions about an attempt whose own answer was lost.
const MAX_LOST_QUERY_INTERVAL: Span = Span::from_secs(1);

/// For whom an attempt runs.
#[derive(Clone, Debug)]
pub(crate) enum Owner {
    /// A job that has not ended.
    Job(JobNo),
    /// A job that ended; the attempt is waited for only because it uses a slot.
    Ended(TaskName),
}

/// Where an attempt runs.
#[derive(Clone, Debug)]
pub(crate) enum Location {
    /// On a slot of this shard.
    Slot(Slot),
    /// On a worker where another holder started it.
    Adopted(WorkerId),
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// For whom it runs.
    pub(crate) owner: Owner,
    /// Index of the task.
    pub(crate) index: u32,
    /// Number of this attempt at the task.
    pub(crate) number: u32,
    /// Attempts that count against the limit, with this one.
    pub(crate) tries: u32,
    /// Where it runs.
    pub(crate) location: Location,
    /// When it was sent or adopted.
    pub(crate) sent: Time,
    /// Lease of the task with its margin.
    pub(crate) lease: Span,
    /// When to ask the endpoint about it.
    pub(crate) next_query: Time,
    /// Time to the next question.
    pub(crate) interval: Span,
    /// Whether a question about it is under way.
    pub(crate) query_pending: bool,
    /// Whether a question about it was ever sent; the endpoint may then refuse this attempt alone.
    pub(crate) was_queried: bool,
    /// Whether the start's own answer was lost.
    pub(crate) response_lost: bool,
    /// Whether the endpoint said that it started.
    pub(crate) started: bool,
}

impl Attempt {
    /// Takes that no answer to the start itself will come.
    pub(crate) fn mark_response_lost(&mut self) {
        if !self.response_lost {
            self.response_lost = true;
            self.interval = LOST_QUERY_INTERVAL;
        }
    }

    /// Time to the next question, which grows with each.
    pub(crate) fn next_interval(&mut self, longest: Span) -> Span {
        let limit = if self.response_lost { MAX_LOST_QUERY_INTERVAL } else { longest };
        let interval = self.interval;
        self.interval = (interval * 2).min(limit);
        interval
    }
}
