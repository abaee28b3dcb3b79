//! Description of a settings key.

use strum::{Display, EnumString};

use crate::Level;

/// Type of a setting's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ValueType {
    /// A length of time with a unit.
    Span,
    /// A size with a unit.
    Bytes,
    /// A whole number.
    Count,
    /// Events per second.
    Rate,
    /// A percentage.
    Ratio,
    /// `on` or `off`.
    Flag,
    /// One of a fixed set of names.
    Choice,
    /// Any text.
    Text,
}

/// Description of a key in the schema.
#[derive(Clone, Copy, Debug)]
pub struct KeySpec {
    /// Name in settings files, such as `lease.task`.
    pub name: &'static str,
    /// Type of the value.
    pub kind: ValueType,
    /// Value if no level sets it.
    pub default: &'static str,
    /// Minimum as text; empty for none.
    pub min: &'static str,
    /// Maximum as text; empty for none.
    pub max: &'static str,
    /// Levels at which it may be set.
    pub levels: &'static [Level],
    /// Documentation.
    pub doc: &'static str,
}
