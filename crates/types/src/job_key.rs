//! Idempotency keys of jobs.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{Holder, ParseError, TeamId, Time, id::check_id};

/// The idempotency key of a job as the caller sends it in the `Idempotency-Key` header.
///
/// A key made by the caller is written `<unix-ms>-<text>`, a key issued by an instance
/// `<unix-ms>~<instance>~<incarnation>~<n>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum KeyName {
    /// A key made by the caller.
    Own {
        /// Creation time, in Unix time.
        time: Time,
        /// Text that makes the key unique within its team.
        text: String,
    },
    /// A key issued by an instance through `/v1/keys`.
    Issued {
        /// Time of issue, in Unix time.
        time: Time,
        /// The issuer, which is the only holder that may run a job with this key.
        holder: Holder,
        /// Number that makes the key unique for its holder.
        number: u64,
    },
}

impl KeyName {
    /// Returns when the key was created or issued, in Unix time.
    #[must_use]
    pub const fn time(&self) -> Time {
        match self {
            Self::Own { time, .. } | Self::Issued { time, .. } => *time,
        }
    }
}

impl fmt::Display for KeyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Own { time, text } => write!(f, "{time}-{text}"),
            Self::Issued { time, holder, number } => {
                write!(f, "{time}~{}~{}~{number}", holder.instance, holder.incarnation)
            }
        }
    }
}

impl FromStr for KeyName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError::BadForm {
            what: "idempotency key",
            text: text.chars().take(100).collect(),
            expected: "<unix-ms>-<text>, or a key from /v1/keys",
        };
        let canonical_number = |part: &str| -> Result<u64, ParseError> {
            let number: u64 = part.parse().map_err(|_| invalid())?;
            // Rejects leading zeros and signs: two texts must never denote the same key.
            if number.to_string() == part { Ok(number) } else { Err(invalid()) }
        };
        if let Some((time, rest)) = text.split_once('~') {
            let time = Time::from_ms(canonical_number(time)?);
            let mut parts = rest.split('~');
            let (Some(instance), Some(incarnation), Some(number), None) =
                (parts.next(), parts.next(), parts.next(), parts.next())
            else {
                return Err(invalid());
            };
            let incarnation = crate::Incarnation::new(canonical_number(incarnation)?);
            let holder = Holder { instance: instance.parse()?, incarnation };
            return Ok(Self::Issued { time, holder, number: canonical_number(number)? });
        }
        let (time, text) = text.split_once('-').ok_or_else(invalid)?;
        check_id("idempotency key", text)?;
        Ok(Self::Own { time: Time::from_ms(canonical_number(time)?), text: text.to_owned() })
    }
}

impl TryFrom<String> for KeyName {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<KeyName> for String {
    fn from(name: KeyName) -> Self {
        name.to_string()
    }
}

/// Globally unique key of a job: its team and its idempotency key, written `team/name`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobKey {
    /// The team that submitted the job.
    pub team: TeamId,
    /// The idempotency key, unique within the team.
    pub name: KeyName,
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.name)
    }
}

impl FromStr for JobKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (team, name) = text.split_once('/').ok_or_else(|| ParseError::BadForm {
            what: "job key",
            text: text.chars().take(100).collect(),
            expected: "team/name",
        })?;
        Ok(Self { team: team.parse()?, name: name.parse()? })
    }
}
