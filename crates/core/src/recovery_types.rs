//! Values that pass between a shard and its surroundings when a holder is gone.

use std::sync::Arc;

use cranberryhatch_types::{Holder, TaskName, WorkerId, ZoneId};

use crate::{AttemptStatus, JobSpec};

/// A row of the platform's table of holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderRow {
    /// The holder.
    pub holder: Holder,
    /// Number of renewals; a holder that lives raises it.
    pub renewals: u64,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version of the row, for compare-and-set.
    pub version: u64,
    /// Who took it over, in order; the last one is responsible for its unfinished jobs.
    pub successors: Vec<Holder>,
}

/// What an endpoint knows of a task of a fenced holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedTask {
    /// The attempt.
    pub name: TaskName,
    /// Where it was started.
    pub worker: WorkerId,
    /// What became of it.
    pub state: AttemptStatus,
}

/// An unfinished job of a holder that is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adoption {
    /// The job, with its deadline by this shard's clock.
    pub job: Arc<JobSpec>,
    /// What endpoints know of its tasks.
    pub tasks: Vec<FencedTask>,
    /// Whether every endpoint answered, so that a task that none knows did certainly not start.
    pub all_answered: bool,
}
