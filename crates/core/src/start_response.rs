//! What endpoints say about attempts.

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
    /// The request was not sent.
    Unreachable,
}

/// Answer to the start of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartResponse {
    /// It ran; here is the result.
    Done(Payload),
    /// It ran and failed.
    Failed(String),
    /// It did not run.
    NotRun(NotRun),
    /// An attempt of this name was started before, and not again.
    Duplicate,
    /// No answer: it may have run.
    Lost,
}

/// Answer to the question what became of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// It ran; here is the result.
    Done(Payload),
    /// It ran and failed, or was stopped.
    Failed(String),
    /// It is running.
    Running,
    /// It did not start and never will.
    NeverStarted,
    /// The endpoint restarted after the attempt was sent and does not know it: it may have run.
    Forgotten,
    /// The endpoint did not answer the question.
    Unreachable,
}
