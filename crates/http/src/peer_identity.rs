//! Identity of the process at the other end of a connection.

use std::{fmt, num::ParseIntError, str::FromStr};

/// Identifies a process among those that listen at an address one after the other.
///
/// A connection ends with the process that accepted it, so all requests on a connection reach the
/// same process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerIdentity(u64);

impl PeerIdentity {
    /// Creates an identity from a number that each process at an address has for itself.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for PeerIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for PeerIdentity {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}
