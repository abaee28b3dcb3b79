//! A job's body as stored for a successor.

use cranberryhatch_core::{JobSpec, Need, TaskSpec};
use cranberryhatch_types::{Accels, Bytes, Cores, JobKey, Kind, Span, Time};
use serde::{Deserialize, Serialize};

/// Everything of a job but its key, digest and deadline, which the row holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredJob {
    kind: Kind,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    label: Option<String>,
    idempotent: bool,
    tasks: Vec<StoredTask>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredTask {
    payload: String,
    run_ms: u64,
    cores: u32,
    memory: u64,
    accels: u32,
}

impl From<&JobSpec> for StoredJob {
    fn from(spec: &JobSpec) -> Self {
        let task = |task: &TaskSpec| StoredTask {
            payload: String::from_utf8_lossy(&task.payload).into_owned(),
            run_ms: task.run.as_ms(),
            cores: task.need.cores.get(),
            memory: task.need.memory.get(),
            accels: task.need.accels.get(),
        };
        Self {
            kind: spec.kind.clone(),
            label: spec.label.clone(),
            idempotent: spec.idempotent,
            tasks: spec.tasks.iter().map(task).collect(),
        }
    }
}

impl StoredJob {
    /// The job for the core.
    #[must_use]
    pub fn into_spec(self, key: JobKey, digest: [u8; 32], deadline: Time) -> JobSpec {
        let task = |task: StoredTask| TaskSpec {
            payload: task.payload.into_bytes().into(),
            run: Span::from_ms(task.run_ms),
            need: Need {
                cores: Cores::new(task.cores),
                memory: Bytes::new(task.memory),
                accels: Accels::new(task.accels),
            },
        };
        JobSpec {
            key,
            digest,
            kind: self.kind,
            label: self.label,
            idempotent: self.idempotent,
            deadline,
            tasks: self.tasks.into_iter().map(task).collect(),
        }
    }
}
