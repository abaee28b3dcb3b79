//! Outcomes of jobs.

use cranberryhatch_types::Span;
use strum::Display;

/// Outcome of a job, sent to its caller as the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// All tasks ended successfully.
    Completed,
    /// A task used up the attempts that its kind allows, or the job was cancelled.
    Failed,
    /// No task was started, and none will be.
    NotRun {
        /// Why.
        cause: NotRunCause,
        /// Time after which the caller should retry.
        retry: Span,
    },
    /// The deadline passed, or the instance shut down, after tasks had started; all runs are
    /// stopped.
    GivenUp,
}

/// What an instance can tell a caller who cancels a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CancelOutcome {
    /// This instance had the job and has ended it.
    Ended,
    /// This instance does not have the job, and the others know of the cancel.
    Unknown,
    /// This instance does not have the job, and no other has confirmed the cancel: they may go on
    /// running it.
    Unconfirmed,
}

/// Why a job was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunCause {
    /// The backlog leaves no time for it before its deadline.
    Overload,
    /// All workers that can run it are in drained zones.
    Drained,
    /// Its deadline passed while it was queued.
    TimeLimit,
    /// The instance has no settings yet.
    NoSettings,
    /// The instance is shutting down.
    Stopping,
    /// The job uses a feature that is not supported.
    Unsupported,
    /// The settings have no such kind of job.
    UnknownKind,
    /// The request is malformed.
    Invalid,
}
