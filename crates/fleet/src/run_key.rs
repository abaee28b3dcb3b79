//! Names of tasks and of their runs.

use cranberryhatch_schema::fleet;

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Name of the job.
    pub job: String,
    /// Number of the step, from 0.
    pub step: u32,
    /// Number of the task in its step, from 0.
    pub task: u32,
}

/// One run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey {
    /// The task.
    pub task: TaskKey,
    /// Number of the run; each later run of the task has a higher one.
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
