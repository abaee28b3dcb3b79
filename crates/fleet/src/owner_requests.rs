//! What is known of the requests of an owner that became unreachable.

use cranberryhatch_types::WorkerId;

use crate::Placed;

/// Requests that an owner had sent to its workers, as of its last heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerRequests {
    /// Workers that have left requests with a lease unanswered which may start a run, or extend the
    /// leases of runs, after the loss of the owner, sorted.
    pub unanswered: Vec<WorkerId>,
}

impl OwnerRequests {
    /// Returns whether a run that was placed at the owner may outlast the owner's leases.
    #[must_use]
    pub fn may_outlast(&self, placed: &Placed) -> bool {
        self.unanswered.binary_search(&placed.worker).is_ok()
    }
}
