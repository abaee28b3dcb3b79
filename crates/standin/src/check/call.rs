//! One exchange of a caller with an entry instance.

use serde::{Deserialize, Serialize};
use strum::Display;

/// What a caller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verb {
    /// To run a job.
    Submit,
    /// The state or answer of a job.
    Wait,
    /// To cancel a job.
    Cancel,
}

/// What a caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reply {
    /// Nothing: the request may have been processed.
    Lost,
    /// Nothing: the request was certainly not processed.
    Unsent,
    /// The job has not ended.
    Pending,
    /// Every task ran.
    Complete,
    /// No task ran or will run.
    NotRun,
    /// The job failed.
    Failed,
    /// Some task may have run.
    Unknown,
}

impl Reply {
    /// Whether it is the end of a job.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::NotRun | Self::Failed | Self::Unknown)
    }
}

/// One exchange of a caller with an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// When the request was sent, in Unix milliseconds.
    pub sent_ms: u64,
    /// When the answer arrived or was given up, in Unix milliseconds.
    pub got_ms: u64,
    /// The instance asked.
    pub via: String,
    /// What was asked.
    pub verb: Verb,
    /// Key of the job with its team, `team/name`.
    pub key: String,
    /// Number of the body under this key; another body has another number.
    pub body: u64,
    /// Number of tasks of the job.
    pub tasks: usize,
    /// Whether the work is idempotent.
    pub idempotent: bool,
    /// What came back.
    pub reply: Reply,
    /// Code of an answer that is not complete.
    pub code: String,
    /// Results.
    pub results: Vec<String>,
}

/// The result that a task of a job must give: its payload tells the endpoint to echo it.
#[must_use]
pub fn expected_result(key: &str, index: usize) -> String {
    format!("{key}/{index}")
}
