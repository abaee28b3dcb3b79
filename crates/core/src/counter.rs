//! Counters of a shard.

use strum::{Display, EnumIter, EnumString};

/// An event that a shard counts; its name is the name of the metric.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Counter {
    /// Jobs accepted.
    JobsAccepted,
    /// Unfinished jobs taken over from lost holders.
    JobsAdopted,
    /// Jobs refused without having been run.
    JobsRefused,
    /// Jobs refused because every zone with endpoints is drained.
    JobsRefusedDrained,
    /// Jobs that completed successfully.
    JobsComplete,
    /// Jobs that failed.
    JobsFailed,
    /// Jobs that ended with an unknown outcome.
    JobsUnknown,
    /// Attempts started.
    TasksStarted,
    /// Attempts that an endpoint refused.
    StartsRefused,
    /// Status queries about attempts.
    TasksSettled,
    /// Responses to starts that nobody waited for any more.
    AnswersLate,
    /// Answers to claims that nobody waited for any more.
    ClaimAnswersLate,
    /// Resubmissions of a known key.
    Resubmissions,
    /// Invariant violations.
    InvariantsBroken,
}
