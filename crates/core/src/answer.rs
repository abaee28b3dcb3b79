//! Answers to callers.

use cranberryhatch_types::{JobKey, Span};
use strum::{Display, EnumIter, EnumString};

use crate::Payload;

/// How a job ended, or that it has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// It has not ended.
    Pending,
    /// Every task ran; the results are whole.
    Complete,
    /// No task of it ran or will run.
    NotRun,
    /// It ended without a complete answer; no task of it will start any more.
    Failed,
    /// It ended, and some task may have run without its result being known.
    Unknown,
}

/// Why a job did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Code {
    /// No settings are known yet.
    SettingsUnavailable,
    /// The key is older than the time for which keys are remembered.
    KeyExpired,
    /// The key's time lies in the future.
    KeyFromFuture,
    /// The key was used for another body.
    KeyReused,
    /// The key names this instance but was not handed out by it.
    KeyNotIssued,
    /// No job with this key is known.
    KeyUnknown,
    /// The platform does not answer, so a caller's own key cannot be claimed.
    PlatformUnavailable,
    /// The job is held by another instance that does not answer.
    HolderUnreachable,
    /// The instance that held the job is gone.
    HolderLost,
    /// Too many tasks wait.
    QueueFull,
    /// The job has no task.
    NoTasks,
    /// The job has too many tasks.
    TooManyTasks,
    /// A payload is too large.
    PayloadTooLarge,
    /// A task needs more than any worker has.
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
    /// A worker was lost while a task may have run on it.
    WorkerLost,
    /// A task could not be started in the attempts allowed.
    RetriesExhausted,
    /// The job ended, and its answer is no longer kept.
    AnswerExpired,
}

/// Answer to a caller's request about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The job.
    pub key: JobKey,
    /// How it ended.
    pub outcome: Outcome,
    /// Why it did not complete.
    pub code: Option<Code>,
    /// What happened, for people.
    pub detail: String,
    /// When to come back.
    pub retry_after: Option<Span>,
    /// Results in the order of the tasks; empty unless complete.
    pub results: Vec<Payload>,
}

impl Answer {
    /// An answer without results.
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

    /// An answer that says that nothing ran.
    #[must_use]
    pub const fn not_run(key: JobKey, code: Code) -> Self {
        Self::new(key, Outcome::NotRun).code(code)
    }

    /// The refusal of another body under a key that is in use.
    #[must_use]
    pub fn reused(key: JobKey) -> Self {
        Self::not_run(key, Code::KeyReused).detail("this key was used for another body")
    }

    /// Whether this is a final answer to a job of `tasks` tasks, with all results or none.
    #[must_use]
    pub fn is_consistent(&self, tasks: usize) -> bool {
        match self.outcome {
            Outcome::Pending => false,
            Outcome::Complete if self.code == Some(Code::AnswerExpired) => self.results.is_empty(),
            Outcome::Complete => self.results.len() == tasks,
            Outcome::NotRun | Outcome::Failed | Outcome::Unknown => self.results.is_empty(),
        }
    }

    /// An answer that says that this holder started nothing; with `exclusive`, nobody else did either.
    #[must_use]
    pub const fn unstarted(key: JobKey, code: Code, exclusive: bool) -> Self {
        let outcome = if exclusive { Outcome::NotRun } else { Outcome::Unknown };
        Self::new(key, outcome).code(code)
    }

    /// Sets the reason.
    #[must_use]
    pub const fn code(mut self, code: Code) -> Self {
        self.code = Some(code);
        self
    }

    /// Sets the text for people.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Sets when to come back.
    #[must_use]
    pub const fn retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }
}
