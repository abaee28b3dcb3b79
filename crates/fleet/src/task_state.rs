//! State of a task at the front of its job.

use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::{Incarnation, OwnerRequests, PreviousRun};

/// Progress of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It waits for earlier steps, or for capacity to be requested.
    #[default]
    Ready,
    /// Capacity was requested from the scheduler.
    Requested,
    /// A run was placed on a worker and may be running.
    Placed(Placed),
    /// It ended successfully.
    Done,
}

/// A run that was placed on a worker.
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
    /// Factor on the expected run time on this worker, in thousandths; 0 for a factor of 1.
    pub slowdown: u32,
    /// When the run has to end for the job to meet its latency target; none if it cannot be met.
    pub due: Option<Time>,
    /// When its start was requested.
    pub requested_at: Time,
    /// When the owner was last heard, or the start was requested if later; set while it is
    /// unreachable.
    pub lost_since: Option<Time>,
    /// Whether requests that the unreachable owner has sent may keep the run alive after its leases.
    pub outlasts: bool,
    /// Whether this owner found the run in a takeover and has not confirmed that it received the
    /// claim.
    pub claimed: bool,
    /// Incarnation of the worker as the scheduler knew it.
    pub incarnation: Incarnation,
    /// Number of the start among those of this front.
    pub start_number: u64,
}

/// One task of a job.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// Number of the last run, starting at 1; 0 before the first.
    pub run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Runs that were stopped because they made too little progress.
    pub stalls: u32,
    /// Current phase.
    pub phase: Phase,
    /// The last run, once it has ended without success and until the next one starts.
    pub previous: Option<Box<PreviousRun>>,
}

impl TaskState {
    /// Starts a further run: increments the run number and enters [`Phase::Placed`].
    pub fn place(&mut self, placed: Placed) {
        self.run += 1;
        self.phase = Phase::Placed(placed);
    }

    /// Returns whether this run is placed and may be running.
    #[must_use]
    pub const fn is_run(&self, run: u32) -> bool {
        self.run == run && matches!(self.phase, Phase::Placed(_))
    }

    /// Returns whether the run may outlast the leases of its unreachable owner.
    #[must_use]
    pub fn outlasts_owner(&self) -> bool {
        matches!(&self.phase, Phase::Placed(placed) if placed.outlasts)
    }

    /// Marks the run if its owner is the given unreachable one; returns whether it was not marked
    /// before. `requests` are those of the owner.
    pub fn mark_lost(&mut self, owner: &InstanceId, requests: &OwnerRequests, heard: Time) -> bool {
        match &mut self.phase {
            Phase::Placed(placed) if placed.owner == *owner && placed.lost_since.is_none() => {
                // The owner may have received the start after it was last heard.
                placed.lost_since = Some(heard.max(placed.requested_at));
                placed.outlasts = requests.may_outlast(placed);
                true
            }
            _ => false,
        }
    }
}
