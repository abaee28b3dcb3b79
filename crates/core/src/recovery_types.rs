//! Types exchanged with the platform and the endpoints during a takeover.

use std::sync::Arc;

use cranberryhatch_types::{Holder, TaskName, WorkerId, ZoneId};

use crate::{AttemptStatus, JobSpec};

/// A row of the platform's table of holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderRow {
    /// The holder.
    pub holder: Holder,
    /// Number of renewals; increased by a live holder.
    pub renewals: u64,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version of the row, for compare-and-set.
    pub version: u64,
    /// Holders that took over the row, in order; the last one is responsible for the unfinished
    /// jobs.
    pub successors: Vec<Holder>,
}

/// Status of a fenced holder's task at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedTask {
    /// Name of the attempt.
    pub name: TaskName,
    /// The worker on which it was started.
    pub worker: WorkerId,
    /// What became of the attempt.
    pub state: AttemptStatus,
}

/// An unfinished job of a lost holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adoption {
    /// The job, with its deadline on this shard's clock.
    pub job: Arc<JobSpec>,
    /// What the endpoints reported about its tasks.
    pub tasks: Vec<FencedTask>,
    /// Whether every endpoint answered, so that a task unknown to all of them certainly did not
    /// start.
    pub all_answered: bool,
}
