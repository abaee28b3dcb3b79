//! Job submitted by a caller.

use cranberryhatch_types::{Accels, Bytes, Cores, JobKey, Kind, Span, Time};

use crate::Payload;

/// SHA-256 of a submission's body; distinguishes a resubmission from another job under the same
/// key.
pub type Digest = [u8; 32];

/// Resources that a task declares to need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Processor cores.
    pub cores: Cores,
    /// Memory.
    pub memory: Bytes,
    /// Accelerators.
    pub accels: Accels,
}

impl Need {
    /// Returns the smaller of both needs in each resource.
    #[must_use]
    pub fn smaller(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
            accels: self.accels.min(other.accels),
        }
    }
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSpec {
    /// Input of the task, passed to the endpoint.
    pub payload: Payload,
    /// Declared run time; may be inaccurate by a large factor.
    pub run: Span,
    /// Declared resources; may be inaccurate by a large factor.
    pub need: Need,
}

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Idempotency key.
    pub key: JobKey,
    /// Digest of the submission's body.
    pub digest: Digest,
    /// Kind of the job, which selects its settings.
    pub kind: Kind,
    /// Label by which groups of jobs are cancelled.
    pub label: Option<String>,
    /// Whether the caller allows a task to run more than once.
    pub idempotent: bool,
    /// Deadline for the answer, on the shard's clock.
    pub deadline: Time,
    /// Tasks, in the order of the results.
    pub tasks: Vec<TaskSpec>,
}
