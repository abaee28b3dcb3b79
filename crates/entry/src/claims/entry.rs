//! What is known and wanted of one row of the table of claims.

use std::sync::Arc;

use cranberryhatch_core::{Digest, JobSpec};
use cranberryhatch_types::{ClaimNo, Holder, Time};

use super::EndRow;

/// What a row is to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Want {
    /// An open claim.
    Open,
    /// The record of an ended job.
    Ended(EndRow),
    /// No row.
    Gone,
}

/// A row of this holder.
///
/// The writer compares what is wanted with what is known to be stored; changes that come while a
/// write is under way are written by the next one.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Holder that wrote the row, when it is not this one.
    pub holder: Option<Holder>,
    /// Digest of the job's body.
    pub digest: Digest,
    /// When the job is due, by the clock of the process.
    pub deadline: Time,
    /// The job, until its row is stored.
    pub spec: Option<Arc<JobSpec>>,
    /// Version of the stored row.
    pub version: Option<u64>,
    /// What the row is to be.
    pub want: Want,
    /// Whether a write of the row is under way.
    pub flying: bool,
    /// Whether the row's key is in a queue.
    pub queued: bool,
    /// Number of the claim that a shard waits for.
    pub asked: Option<ClaimNo>,
    /// Claim of the same key that came after this one was given up.
    pub next: Option<(Arc<JobSpec>, ClaimNo)>,
}

impl Entry {
    /// A row that is not stored yet.
    #[must_use]
    pub fn new(spec: Arc<JobSpec>, asked: Option<ClaimNo>) -> Self {
        Self {
            holder: None,
            digest: spec.digest,
            deadline: spec.deadline,
            spec: Some(spec),
            version: None,
            want: Want::Open,
            flying: false,
            queued: false,
            asked,
            next: None,
        }
    }

    /// Whether the stored row differs from the wanted one.
    #[must_use]
    pub fn is_dirty(&self) -> bool {
        !matches!((&self.want, self.version), (Want::Open, Some(_)) | (Want::Gone, None))
    }
}
