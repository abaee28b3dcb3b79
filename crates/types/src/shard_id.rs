//! Ids of the shards and incarnations of an entry instance.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{InstanceId, ParseError};

/// Incarnation number of an instance; later incarnations have larger numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from its number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = |_| ParseError::BadForm {
            what: "incarnation",
            text: text.to_owned(),
            expected: "a whole number",
        };
        text.parse().map(Self).map_err(invalid)
    }
}

/// A holder of claims and leases: one incarnation of an instance, written `instance/incarnation`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

impl FromStr for Holder {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (instance, incarnation) = split_pair("holder", text)?;
        Ok(Self { instance: instance.parse()?, incarnation: incarnation.parse()? })
    }
}

/// Id of a shard of an instance, written `instance/shard`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// The instance.
    pub instance: InstanceId,
    /// Index of the shard in the instance, from 0.
    pub shard: u32,
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.shard)
    }
}

impl FromStr for ShardId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (instance, shard) = split_pair("shard id", text)?;
        let invalid = |_| ParseError::BadForm {
            what: "shard id",
            text: text.to_owned(),
            expected: "instance/shard",
        };
        Ok(Self { instance: instance.parse()?, shard: shard.parse().map_err(invalid)? })
    }
}

fn split_pair<'a>(what: &'static str, text: &'a str) -> Result<(&'a str, &'a str), ParseError> {
    text.split_once('/').ok_or_else(|| ParseError::BadForm {
        what,
        text: text.to_owned(),
        expected: "two parts joined by '/'",
    })
}
