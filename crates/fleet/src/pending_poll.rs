//! A look that is under way.

use cranberryhatch_types::{Span, Time};

/// A look whose answer is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingPoll {
    /// When it was sent.
    pub sent_at: Time,
    /// Its number among the looks at the worker; a later look has a larger one.
    pub number: u64,
    /// Time that the worker may wait before it answers.
    pub wait: Span,
}
