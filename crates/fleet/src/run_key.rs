//! Identifiers of tasks and runs.

use cranberryhatch_schema::fleet;

/// Identifies a task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Name of the job.
    pub job: String,
    /// Number of the step, from 0.
    pub step: u32,
    /// Number of the task in its step, from 0.
    pub task: u32,
}

/// Identifies one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey {
    /// Task that is run.
    pub task: TaskKey,
    /// Number of the run; later runs of the task have higher numbers.
    pub run: u32,
}

impl From<&fleet::Run> for RunKey {
    fn from(run: &fleet::Run) -> Self {
        let task = TaskKey { job: run.job.clone(), step: run.step, task: run.task };
        Self { task, run: run.run }
    }
}

impl From<&RunKey> for fleet::Run {
    fn from(key: &RunKey) -> Self {
        let TaskKey { job, step, task } = key.task.clone();
        Self { job, step, task, run: key.run }
    }
}
