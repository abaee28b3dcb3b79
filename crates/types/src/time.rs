//! Points in time.

use std::{
    fmt,
    ops::{Add, Sub},
    str::FromStr,
};

use serde::{Deserialize, Serialize};

use crate::{ParseError, Span};

/// A point in time, in milliseconds since an epoch that depends on where the value is used.
///
/// The core uses a monotonic clock that starts at 0 with the process; idempotency keys use Unix
/// time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The epoch itself, 0 ms.
    pub const ZERO: Self = Self(0);
    /// The largest value, used for an event that never happens.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates the point in time `ms` milliseconds after the epoch.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the epoch.
    #[must_use]
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is after `self`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span::from_ms(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.as_ms()))
    }
}

impl Sub<Span> for Time {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.as_ms()))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Time {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = |_| ParseError::BadForm {
            what: "time",
            text: text.to_owned(),
            expected: "milliseconds as a whole number",
        };
        text.parse().map(Self).map_err(invalid)
    }
}
