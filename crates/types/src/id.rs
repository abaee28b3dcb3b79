//! Text ids of instances, workers, racks, zones, teams and kinds of job.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Maximum length of an id in bytes, which is also its length in characters, as ids are ASCII.
const ID_LIMIT: usize = 64;

/// Checks that `text` is a valid id: not empty, at most [`ID_LIMIT`] long, and made of ASCII
/// letters, digits, `-`, `_` and `.` only. `what` describes the id in the error.
pub(crate) fn check_id(what: &'static str, text: &str) -> Result<(), ParseError> {
    if text.is_empty() {
        return Err(ParseError::Empty { what });
    }
    if text.len() > ID_LIMIT {
        return Err(ParseError::TooLong { what, limit: ID_LIMIT });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(ParseError::BadCharacter { what, found }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the id as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                check_id($what, text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, ParseError> {
                check_id($what, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

text_id! {
    /// Id of an entry instance, which stays the same when the instance restarts.
    InstanceId, "instance id"
}
text_id! {
    /// Id of a worker and of the endpoint that runs on it.
    WorkerId, "worker id"
}
text_id! {
    /// Id of a rack of workers.
    RackId, "rack id"
}
text_id! {
    /// Id of an availability zone.
    ZoneId, "zone id"
}
text_id! {
    /// Id of a team of callers. Quotas are set per team.
    TeamId, "team id"
}
text_id! {
    /// Name of a kind of job. Kinds are the lowest level of the settings tree.
    Kind, "kind of job"
}
