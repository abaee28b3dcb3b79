//! Numbers of claims.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Identifies a claim within its shard; numbers ascend in the order in which they are requested.
///
/// The same key may be claimed more than once, so an answer names the number of its claim. An
/// answer that is delivered late or twice would otherwise be taken for the answer to a later claim,
/// whose row may not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClaimNo(u64);

impl ClaimNo {
    /// Creates a claim number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of the next claim.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ClaimNo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ClaimNo {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = |_| ParseError::BadForm {
            what: "claim number",
            text: text.to_owned(),
            expected: "a whole number",
        };
        text.parse().map(Self).map_err(invalid)
    }
}
