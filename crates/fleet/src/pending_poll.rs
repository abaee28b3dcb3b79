//! A poll of a worker that has no response yet.

use cranberryhatch_types::{Span, Time};

/// A pending poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingPoll {
    /// Time at which it was sent.
    pub sent_at: Time,
    /// Sequence number among the polls of the worker.
    pub number: u64,
    /// Time for which the worker may hold it open before it responds.
    pub wait: Span,
}
