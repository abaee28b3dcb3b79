//! Arrival patterns.

use strum::{Display, EnumIter, EnumString};

/// Pattern of arrivals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Pattern {
    /// Mixed jobs at a constant mean rate.
    #[default]
    Steady,
    /// Like `Steady`, with five seconds in which jobs request three times the available slots.
    Burst,
    /// Single requests only.
    Small,
    /// Jobs of 1,900 tasks only.
    Large,
}
