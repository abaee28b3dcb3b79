//! Counters of a shard.

use strum::{Display, EnumIter, EnumString};

/// Something that a shard counts; the name is the metric's name.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Counter {
    /// Jobs accepted.
    JobsAccepted,
    /// Unfinished jobs taken over from holders that are gone.
    JobsAdopted,
    /// Jobs refused as not run.
    JobsRefused,
    /// Jobs that were not run because every zone with endpoints is drained.
    JobsRefusedDrained,
    /// Jobs that completed.
    JobsComplete,
    /// Jobs that failed.
    JobsFailed,
    /// Jobs that ended with unknown outcome.
    JobsUnknown,
    /// Attempts started.
    TasksStarted,
    /// Attempts that an endpoint refused.
    StartsRefused,
    /// Questions about attempts.
    TasksSettled,
    /// Answers that nobody waited for.
    AnswersLate,
    /// Resubmissions of a known key.
    Resubmissions,
    /// Invariants found broken.
    InvariantsBroken,
}
