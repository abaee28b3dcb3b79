//! Slots that this shard has borrowed.

use cranberryhatch_types::{Incarnation, ShardId, Time};

use crate::WorkerNo;

/// A loan as its borrower sees it.
///
/// A loan that has ended is kept until its last lease has passed, so that a repeated message does
/// not revive it.
#[derive(Clone, Debug)]
pub(crate) struct Loan {
    /// The worker.
    pub(crate) worker: WorkerNo,
    /// Number of the loan in this shard.
    pub(crate) key: u64,
    /// Who lends.
    pub(crate) lender: ShardId,
    /// Its life.
    pub(crate) incarnation: Incarnation,
    /// Number of the loan at the lender.
    pub(crate) number: u64,
    /// Slots that may be used; never rises.
    pub(crate) slots: u32,
    /// Slots in use.
    pub(crate) used: u32,
    /// Slots that the lender accounts for, by the last message sent to it.
    pub(crate) reported: u32,
    /// When no new task may start on it.
    pub(crate) end: Time,
    /// Request for renewal under way, and when it was sent.
    pub(crate) renewal: Option<(u64, Time)>,
}

impl Loan {
    /// Slots on which a task may start.
    pub(crate) fn free(&self, now: Time) -> u32 {
        if now < self.end { self.slots.saturating_sub(self.used) } else { 0 }
    }
}
