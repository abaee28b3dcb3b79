//! Why the front of a job considers the earlier run of a task to have ended.

use cranberryhatch_schema::fleet::{Ended, How};
use cranberryhatch_types::{InstanceId, Time, WorkerId};

use crate::RunKey;

/// Evidence by which a front considers a run to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RunEndCause {
    /// An owner reported its end.
    Reported,
    /// An owner listed it as ended in its report after a reconnect.
    ReconnectEnded,
    /// The owner's report after a reconnect does not contain it.
    ReconnectMissing,
    /// A new owner found its end on the worker.
    TakeoverEnded,
    /// A new owner did not find it on the worker.
    TakeoverMissing,
    /// Its owner was unreachable for longer than any lease can last.
    Expired,
    /// Its end was not reported in time after the job had been answered.
    ClosingLimit,
}

/// End of a run as the front of its job learned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// Evidence.
    pub cause: RunEndCause,
    /// How it ended.
    pub how: How,
    /// Instance that reported it; the front itself if no report was received.
    pub reporter: InstanceId,
    /// Worker that the report names.
    pub worker: String,
}

/// The run of a task before its next one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreviousRun {
    /// Its number.
    pub run: u32,
    /// Worker on which it was placed.
    pub worker: WorkerId,
    /// Number of its start among those of the front.
    pub start_number: u64,
    /// Owner of that worker as the front last knew it.
    pub owner: InstanceId,
    /// Its end.
    pub end: EndReport,
    /// When it counted as ended.
    pub ended_at: Time,
}

impl PreviousRun {
    /// Returns whether the report of an end is about this run.
    #[must_use]
    pub fn is_of(&self, run: &RunKey, ended: &Ended) -> bool {
        self.run == run.run
            && self.worker.as_str() == ended.worker
            && (ended.start_number == 0 || ended.start_number == self.start_number)
    }

    /// Returns whether its start was refused, so that it cannot have run.
    #[must_use]
    pub const fn was_refused(&self) -> bool {
        matches!(self.end.how, How::NoRoom | How::NotStarted)
    }
}
