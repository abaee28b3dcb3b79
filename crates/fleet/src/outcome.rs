//! Answers to jobs.

use cranberryhatch_types::Span;
use strum::Display;

/// Final answer to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// All tasks ended successfully.
    Completed,
    /// A task failed as often as its kind allows.
    Failed,
    /// No task was started and none will be.
    NotRun {
        /// Why.
        cause: NotRunCause,
        /// When to come back.
        retry: Span,
    },
    /// The time limit passed after tasks had started; all runs are being stopped.
    GivenUp,
}

/// Why a job was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunCause {
    /// The work ahead of it leaves no time for it.
    Overload,
    /// All workers that may run it are draining, in zones that an operator drained.
    Drained,
    /// Its time limit passed while it waited.
    TimeLimit,
    /// The instance has no settings yet.
    NoSettings,
    /// The instance is stopping.
    Stopping,
    /// Kind of job that is not served.
    Unsupported,
    /// No settings name such a kind of job.
    UnknownKind,
    /// The request cannot be understood.
    Invalid,
}
