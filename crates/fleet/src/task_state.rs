//! State of one task at its front.

use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

/// Where a task stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It waits, for earlier steps or to be asked for.
    #[default]
    Ready,
    /// The scheduler was asked for room.
    Requested,
    /// A run may be at work.
    Placed(Placed),
    /// It ended successfully.
    Done,
}

/// Where a run may be at work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placed {
    /// Instance that owns the worker.
    pub owner: InstanceId,
    /// Fencing token of the owner.
    pub token: u64,
    /// The worker.
    pub worker: WorkerId,
    /// Expected run time.
    pub expected: Span,
    /// Times that run time that a run takes on the worker, in thousandths; 0 for one.
    pub slowdown: u32,
    /// When the run has to end for the objective of its job; none if it cannot.
    pub due: Option<Time>,
    /// When the run was ordered.
    pub requested_at: Time,
    /// Last sign of the owner, if it is out of reach.
    pub lost_since: Option<Time>,
    /// Whether this owner found the run on the worker and has not said that it got the claim.
    pub claimed: bool,
}

/// One task of a job.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Number of the last run; 0 before the first.
    pub run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Runs that were stopped because they made too little progress.
    pub stalls: u32,
    /// Where it stands.
    pub phase: Phase,
}

impl TaskState {
    /// Orders a further run.
    pub fn place(&mut self, placed: Placed) {
        self.run += 1;
        self.phase = Phase::Placed(placed);
    }

    /// Whether this run may be at work.
    #[must_use]
    pub const fn is_run(&self, run: u32) -> bool {
        self.run == run && matches!(self.phase, Phase::Placed(_))
    }

    /// Marks a run whose owner is out of reach; whether it was not marked before.
    pub fn mark_lost(&mut self, owner: &InstanceId, heard: Time) -> bool {
        match &mut self.phase {
            Phase::Placed(placed) if placed.owner == *owner && placed.lost_since.is_none() => {
                // The owner may have got the order after its last sign of life.
                placed.lost_since = Some(heard.max(placed.requested_at));
                true
            }
            _ => false,
        }
    }
}
