//! Conditions on the current row of a write.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// Condition on the current row for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The row must not exist.
    Absent,
    /// No condition: the row may exist or not.
    Any,
    /// The row must have this version.
    Version(u64),
}

impl Serialize for Expect {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Absent => serializer.serialize_str("absent"),
            Self::Any => serializer.serialize_str("any"),
            Self::Version(version) => serializer.serialize_u64(*version),
        }
    }
}

impl<'de> Deserialize<'de> for Expect {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = serde_json::Value::deserialize(deserializer)?;
        match (value.as_str(), value.as_u64()) {
            (Some("absent"), _) => Ok(Self::Absent),
            (Some("any"), _) => Ok(Self::Any),
            (_, Some(version)) => Ok(Self::Version(version)),
            _ => Err(D::Error::custom("expected absent, any or a version")),
        }
    }
}
