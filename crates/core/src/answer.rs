//! Answers to callers.

use cranberryhatch_types::{JobKey, Span};
use strum::{Display, EnumIter, EnumString};

use crate::Payload;

/// State or final outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The job has not ended.
    Pending,
    /// Every task ran; the results are complete.
    Complete,
    /// No task ran or will run.
    NotRun,
    /// The job ended without a complete answer, and no further task will start.
    Failed,
    /// The job ended, and some task may have run without its result being known.
    Unknown,
}

/// Why a job did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Code {
    /// No settings are in force yet.
    SettingsUnavailable,
    /// The key is older than the period for which keys are remembered.
    KeyExpired,
    /// The time of the key lies in the future.
    KeyFromFuture,
    /// The key was already used for another body.
    KeyReused,
    /// The key names this instance but was not issued by it.
    KeyNotIssued,
    /// No job with this key is known.
    KeyUnknown,
    /// The platform does not answer, so that a key chosen by the caller cannot be claimed.
    PlatformUnavailable,
    /// Another instance holds the job and does not answer.
    HolderUnreachable,
    /// The instance that held the job is lost.
    HolderLost,
    /// Too many tasks are waiting.
    QueueFull,
    /// The job has no tasks.
    NoTasks,
    /// The job has too many tasks.
    TooManyTasks,
    /// A payload is too large.
    PayloadTooLarge,
    /// A task needs more resources than any worker has.
    NeverFits,
    /// The deadline cannot be met or has passed.
    Deadline,
    /// The instance is stopping.
    Draining,
    /// Every availability zone with endpoints that the instance may use is drained.
    ZoneDrained,
    /// The caller cancelled the job.
    Cancelled,
    /// A task ran and failed.
    TaskFailed,
    /// A worker was lost while a task may have been running on it.
    WorkerLost,
    /// A task could not be started within the allowed number of attempts.
    RetriesExhausted,
    /// The job ended, and its answer is no longer retained.
    AnswerExpired,
}

/// Answer to a caller's request about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Key of the job.
    pub key: JobKey,
    /// State or outcome of the job.
    pub outcome: Outcome,
    /// Why it did not complete.
    pub code: Option<Code>,
    /// Human-readable explanation.
    pub detail: String,
    /// Suggested delay before the caller retries.
    pub retry_after: Option<Span>,
    /// Results in the order of the tasks; empty unless the job is complete.
    pub results: Vec<Payload>,
}

impl Answer {
    /// Creates an answer without results.
    #[must_use]
    pub const fn new(key: JobKey, outcome: Outcome) -> Self {
        Self {
            key,
            outcome,
            code: None,
            detail: String::new(),
            retry_after: None,
            results: Vec::new(),
        }
    }

    /// Creates an answer stating that no task ran or will run.
    #[must_use]
    pub const fn not_run(key: JobKey, code: Code) -> Self {
        Self::new(key, Outcome::NotRun).code(code)
    }

    /// Creates the refusal of a body that differs from the first one under the same key.
    #[must_use]
    pub fn reused(key: JobKey) -> Self {
        Self::not_run(key, Code::KeyReused).detail("this key was already used for another body")
    }

    /// Returns whether this is a final answer to a job of `tasks` tasks, with either all results or
    /// none.
    #[must_use]
    pub fn is_consistent(&self, tasks: usize) -> bool {
        match self.outcome {
            Outcome::Pending => false,
            Outcome::Complete if self.code == Some(Code::AnswerExpired) => self.results.is_empty(),
            Outcome::Complete => self.results.len() == tasks,
            Outcome::NotRun | Outcome::Failed | Outcome::Unknown => self.results.is_empty(),
        }
    }

    /// Creates an answer stating that this holder started no task. If `exclusive`, no other
    /// instance did either, and the outcome is certain.
    #[must_use]
    pub const fn unstarted(key: JobKey, code: Code, exclusive: bool) -> Self {
        let outcome = if exclusive { Outcome::NotRun } else { Outcome::Unknown };
        Self::new(key, outcome).code(code)
    }

    /// Sets the reason code.
    #[must_use]
    pub const fn code(mut self, code: Code) -> Self {
        self.code = Some(code);
        self
    }

    /// Sets the human-readable explanation.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Sets the suggested retry delay.
    #[must_use]
    pub const fn retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }
}
