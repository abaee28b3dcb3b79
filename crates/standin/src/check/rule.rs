//! Rules that the checker knows.

use strum::{Display, EnumIter, EnumString};

/// A rule that can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Rule {
    /// No task starts twice.
    StartedTwice,
    /// A task of non-idempotent work starts at most once.
    NonIdempotentTwice,
    /// Only tasks of submitted jobs start.
    StartedUnasked,
    /// A job answered as not run has no start.
    NotRunStarted,
    /// An answer is complete or has no results.
    PartialAnswer,
    /// Results belong to their own request.
    WrongResult,
    /// Every task of a complete answer ran to its end.
    ResultWithoutRun,
    /// A job is not answered as both complete and failed.
    TwoOutcomes,
    /// Every accepted submission gets a final outcome.
    Unanswered,
    /// A planned stop cuts off no request in flight.
    CutByStop,
    /// An instance cut off from the platform serves keys that it issued.
    CutOffIdle,
    /// Bad input is refused with a typed error.
    UntypedError,
    /// A leaving endpoint gets no new work later than 3 s.
    LateStart,
    /// The settings version of an instance never falls.
    VersionFell,
    /// No two operators are told that they made the same version.
    AcceptedTwice,
    /// A settings version is in force at every instance within 4 s.
    VersionLate,
}

impl Rule {
    /// Whether a machine that is too slow can break the rule.
    #[must_use]
    pub const fn is_timed(self) -> bool {
        matches!(self, Self::LateStart | Self::VersionLate | Self::CutOffIdle)
    }
}
