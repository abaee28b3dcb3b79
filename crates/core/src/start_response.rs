//! Responses of endpoints about attempts.

use strum::{Display, EnumIter, EnumString};

use crate::Payload;

/// Why an endpoint did not run an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRun {
    /// All slots are in use.
    Busy,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint failed before the task started.
    StartFailed,
    /// The holder was fenced.
    Fenced,
    /// The request could not be sent.
    Unreachable,
}

/// Response of an endpoint to a start request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartResponse {
    /// The task ran and returned a result.
    Done(Payload),
    /// The task ran and failed.
    Failed(String),
    /// The task was not run.
    NotRun(NotRun),
    /// An attempt with this name was started before; this request started nothing.
    Duplicate,
    /// No response arrived: the task may have run.
    Lost,
}

/// Response of an endpoint to a status query about an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The task ran and returned a result.
    Done(Payload),
    /// The task ran and failed, or was stopped.
    Failed(String),
    /// The task is running.
    Running,
    /// The task was not started and never will be: the endpoint refuses later starts of this
    /// attempt.
    NeverStarted,
    /// The endpoint restarted after the attempt was sent and does not know it; the task may have
    /// run.
    Forgotten,
    /// The endpoint did not answer the query.
    Unreachable,
}
