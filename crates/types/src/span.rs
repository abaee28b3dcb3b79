//! Durations in milliseconds.

use std::{
    fmt,
    ops::{Add, Div, Mul},
    str::FromStr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// A duration in milliseconds, written with a unit: `250ms`, `10s`, `5m`, `24h`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Span(u64);

/// Units and their lengths in milliseconds, largest unit first.
const UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

impl Span {
    /// A duration of 0 ms.
    pub const ZERO: Self = Self(0);

    /// Creates a span of `ms` milliseconds.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Creates a span of `secs` seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// Returns the duration in milliseconds.
    #[must_use]
    pub const fn as_ms(self) -> u64 {
        self.0
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Self::from_millis(span.0)
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Mul<u64> for Span {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Div<u64> for Span {
    type Output = Self;

    fn div(self, divisor: u64) -> Self {
        Self(self.0 / divisor)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |(_, ms): &&(&str, u64)| self.0 != 0 && self.0.is_multiple_of(*ms);
        let (unit, ms) = UNITS.iter().find(divides).unwrap_or(&UNITS[3]);
        write!(f, "{}{unit}", self.0 / ms)
    }
}

impl FromStr for Span {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let (_, ms) = UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(|| {
            ParseError::BadUnit { what: "span", text: text.to_owned(), expected: "ms, s, m, h" }
        })?;
        let invalid = || ParseError::BadForm {
            what: "span",
            text: text.to_owned(),
            expected: "a whole number and a unit, such as 250ms",
        };
        let number: u64 = number.parse().map_err(|_| invalid())?;
        number.checked_mul(*ms).map(Self).ok_or_else(invalid)
    }
}
