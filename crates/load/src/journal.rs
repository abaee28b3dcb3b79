//! Records of jobs as seen by their callers.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// Outcome of a job for its caller.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// Complete answer with correct results.
    Complete,
    /// Complete answer with results of another job.
    Wrong,
    /// Refused; no task has run.
    NotRun,
    /// Failed answer.
    Failed,
    /// May have run.
    Unknown,
    /// No final answer before the deadline.
    Pending,
    /// No answer.
    Lost,
}

/// One job as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Index of the job in the plan.
    pub index: usize,
    /// Idempotency key.
    pub key: String,
    /// Time of sending in milliseconds after the start.
    pub sent: u64,
    /// Response time in microseconds.
    pub response: u64,
    /// Outcome.
    pub outcome: Outcome,
    /// Code of a refusal or failure.
    pub code: String,
    /// Number of tasks.
    pub tasks: usize,
    /// Whether the caller marked it as idempotent.
    pub idempotent: bool,
}
