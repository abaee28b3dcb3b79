//! Counts of resources and of other items.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ParseError;

macro_rules! count {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u32);

        impl $name {
            /// Creates a count from a number.
            #[must_use]
            pub const fn new(count: u32) -> Self {
                Self(count)
            }

            /// Returns the count as a number.
            #[must_use]
            pub const fn get(self) -> u32 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                let invalid = |_| ParseError::BadForm {
                    what: $what,
                    text: text.to_owned(),
                    expected: "a whole number",
                };
                text.parse().map(Self).map_err(invalid)
            }
        }
    };
}

count! {
    /// Processor capacity in thousandths of a core.
    Cores, "number of cores in thousandths"
}
count! {
    /// Number of task slots; each slot runs one task at a time.
    Slots, "number of slots"
}
count! {
    /// Number of accelerators.
    Accels, "number of accelerators"
}
count! {
    /// Number of items of any other kind.
    Count, "number"
}
