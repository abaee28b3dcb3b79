//! Slots that this shard has borrowed from other shards.

use cranberryhatch_types::{Incarnation, ShardId, Time};

use crate::WorkerNo;

/// A loan from the borrower's point of view.
///
/// A loan that has ended is kept until its last lease has expired, so that a duplicated message
/// doesn't revive it.
#[derive(Clone, Debug)]
pub(crate) struct Loan {
    /// The worker whose slots are lent.
    pub(crate) worker: WorkerNo,
    /// Number of the loan in this shard.
    pub(crate) key: u64,
    /// The lending shard.
    pub(crate) lender: ShardId,
    /// Incarnation of the lender.
    pub(crate) incarnation: Incarnation,
    /// Number of the loan at the lender.
    pub(crate) number: u64,
    /// Slots that may be used; never increases.
    pub(crate) slots: u32,
    /// Slots in use.
    pub(crate) used: u32,
    /// Slots that the lender accounts for, according to the last message sent to it.
    pub(crate) reported: u32,
    /// Time from which no new task may start on the loan.
    pub(crate) end: Time,
    /// Pending renewal request and the time at which it was sent.
    pub(crate) renewal: Option<(u64, Time)>,
}

impl Loan {
    /// Returns the number of slots on which a task may start.
    pub(crate) fn free(&self, now: Time) -> u32 {
        if now < self.end { self.slots.saturating_sub(self.used) } else { 0 }
    }
}
