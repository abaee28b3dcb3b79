//! Sizes of memory and of data.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// A size in bytes, written with a unit: `512B`, `4KiB`, `64MiB`, `2GiB`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Bytes(u64);

/// Units and their sizes in bytes, largest unit first.
const UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl Bytes {
    /// Creates a size of `bytes` bytes.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Creates a size of `mib` mebibytes.
    #[must_use]
    pub const fn from_mib(mib: u64) -> Self {
        Self(mib << 20)
    }

    /// Returns the size in bytes.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |(_, size): &&(&str, u64)| self.0 != 0 && self.0.is_multiple_of(*size);
        let (unit, size) = UNITS.iter().find(divides).unwrap_or(&UNITS[3]);
        write!(f, "{}{unit}", self.0 / size)
    }
}

impl FromStr for Bytes {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let (_, size) =
            UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(|| ParseError::BadUnit {
                what: "size",
                text: text.to_owned(),
                expected: "B, KiB, MiB, GiB",
            })?;
        let invalid = || ParseError::BadForm {
            what: "size",
            text: text.to_owned(),
            expected: "a whole number and a unit, such as 64MiB",
        };
        let number: u64 = number.parse().map_err(|_| invalid())?;
        number.checked_mul(*size).map(Self).ok_or_else(invalid)
    }
}
