//! Event rates.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// A rate in events per second, written `300/s`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rate(u32);

impl Rate {
    /// Creates a rate of `events` per second.
    #[must_use]
    pub const fn per_second(events: u32) -> Self {
        Self(events)
    }

    /// Returns the number of events per second.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number = text.strip_suffix("/s").ok_or_else(|| ParseError::BadUnit {
            what: "rate",
            text: text.to_owned(),
            expected: "/s",
        })?;
        let invalid = |_| ParseError::BadForm {
            what: "rate",
            text: text.to_owned(),
            expected: "a whole number and /s, such as 300/s",
        };
        number.parse().map(Self).map_err(invalid)
    }
}
