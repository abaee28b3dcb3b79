//! Bodies of callers' submissions.

use cranberryhatch_core::{JobSpec, Need, TaskSpec};
use cranberryhatch_types::{Accels, Bytes, Cores, JobKey, Kind, Span, Time};
use serde::Deserialize;
use sha2::{Digest, Sha256};

/// Declared run time of a task that states none.
const DEFAULT_RUN_MS: u64 = 300;

/// Body of a job's submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    kind: Kind,
    label: Option<String>,
    #[serde(default)]
    idempotent: bool,
    deadline_ms: Option<u64>,
    tasks: Vec<Task>,
}

/// Body of a single request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Single {
    kind: Kind,
    label: Option<String>,
    #[serde(default)]
    idempotent: bool,
    deadline_ms: Option<u64>,
    task: Task,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Task {
    payload: String,
    run_ms: Option<u64>,
    #[serde(default)]
    cores_milli: u32,
    #[serde(default)]
    memory_mb: u64,
    #[serde(default)]
    accels: u32,
}

impl From<Single> for Submission {
    fn from(single: Single) -> Self {
        Self {
            kind: single.kind,
            label: single.label,
            idempotent: single.idempotent,
            deadline_ms: single.deadline_ms,
            tasks: vec![single.task],
        }
    }
}

impl Submission {
    /// The kind of job.
    pub const fn kind(&self) -> &Kind {
        &self.kind
    }

    /// The deadline that the caller states.
    pub fn deadline(&self) -> Option<Span> {
        self.deadline_ms.map(Span::from_ms)
    }

    /// The job for the core.
    pub fn into_spec(self, key: JobKey, body: &[u8], deadline: Time) -> JobSpec {
        let task = |task: Task| TaskSpec {
            payload: task.payload.into_bytes().into(),
            run: Span::from_ms(task.run_ms.unwrap_or(DEFAULT_RUN_MS)),
            need: Need {
                cores: Cores::new(task.cores_milli),
                memory: Bytes::from_mib(task.memory_mb),
                accels: Accels::new(task.accels),
            },
        };
        JobSpec {
            key,
            digest: Sha256::digest(body).into(),
            kind: self.kind,
            label: self.label,
            idempotent: self.idempotent,
            deadline,
            tasks: self.tasks.into_iter().map(task).collect(),
        }
    }
}
