//! Ratios, written as percentages.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// A ratio in thousandths, written as a percentage: `10%`, `2.5%`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Ratio(u32);

impl Ratio {
    /// Creates a ratio of `thousandths` thousandths.
    #[must_use]
    pub const fn from_thousandths(thousandths: u32) -> Self {
        Self(thousandths)
    }

    /// Returns the ratio in thousandths.
    #[must_use]
    pub const fn thousandths(self) -> u32 {
        self.0
    }

    /// Returns this fraction of `whole`, rounded down.
    #[must_use]
    pub const fn of(self, whole: u64) -> u64 {
        whole.saturating_mul(self.0 as u64) / 1_000
    }
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, tenth) = (self.0 / 10, self.0 % 10);
        if tenth == 0 { write!(f, "{whole}%") } else { write!(f, "{whole}.{tenth}%") }
    }
}

impl FromStr for Ratio {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number = text.strip_suffix('%').ok_or_else(|| ParseError::BadUnit {
            what: "share",
            text: text.to_owned(),
            expected: "%",
        })?;
        let invalid = || ParseError::BadForm {
            what: "share",
            text: text.to_owned(),
            expected: "a percentage with at most one decimal, such as 2.5%",
        };
        let (whole, tenth) = number.split_once('.').unwrap_or((number, "0"));
        if tenth.len() != 1 {
            return Err(invalid());
        }
        let whole: u32 = whole.parse().map_err(|_| invalid())?;
        let tenth: u32 = tenth.parse().map_err(|_| invalid())?;
        let tens = whole.checked_mul(10).ok_or_else(invalid)?;
        tens.checked_add(tenth).map(Self).ok_or_else(invalid)
    }
}
