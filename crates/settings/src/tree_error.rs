//! Errors of parsing and validating a settings tree.

use cranberryhatch_schema::{Level, SetError};
use cranberryhatch_types::ParseError;

/// One fault in a settings tree, with its location.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: [{section}] {key}: {kind}")]
pub struct Fault {
    /// Line number, from 1.
    pub line: usize,
    /// Header of the section.
    pub section: String,
    /// Name of the key, empty if the fault is in the header.
    pub key: String,
    /// Type of the fault.
    pub kind: FaultKind,
}

/// Type of a fault in a settings tree.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultKind {
    /// The section header is not valid.
    #[error(transparent)]
    BadSection(ParseError),
    /// The schema has no such key.
    #[error("unknown key")]
    UnknownKey,
    /// The key cannot be set at this level.
    #[error("cannot be set at level {0}")]
    WrongLevel(Level),
    /// The key is set twice in one section.
    #[error("set twice")]
    Duplicate,
    /// The value is not valid.
    #[error(transparent)]
    BadValue(SetError),
    /// The token's digest is not 64 hexadecimal digits in lower case.
    #[error("a token must be given as its SHA-256 digest in 64 lowercase hexadecimal digits")]
    BadToken,
    /// Two sections have the same token.
    #[error("the same token is set at [{0}]")]
    SharedToken(String),
    /// The deployment has no such availability zone.
    #[error("the deployment's zones.names has no zone {0}")]
    UnknownZone(String),
    /// A name in the list of availability zones is not a valid id.
    #[error("zones.names: {0}")]
    BadZone(ParseError),
    /// The tree has more than one deployment.
    #[error("a settings tree has only one deployment")]
    SecondDeployment,
    /// A quota is larger than the quota of the level above.
    #[error("quota of {quota} exceeds the {parent} of {above}")]
    OverParent {
        /// The quota.
        quota: u32,
        /// Quota of the level above.
        parent: u32,
        /// The level above.
        above: String,
    },
}

/// Error returned for an invalid settings tree.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TreeError {
    /// The text is not valid INI.
    #[error("line {line}: not an INI file: {detail}")]
    Syntax {
        /// Line number, from 1.
        line: usize,
        /// Message of the INI parser.
        detail: String,
    },
    /// The text is too long.
    #[error("the text has {size} bytes, over the limit of {limit}")]
    TooLong {
        /// Size of the text, in bytes.
        size: usize,
        /// Largest size, in bytes.
        limit: usize,
    },
    /// All faults in the text; never empty.
    #[error("{} fault(s); first: {}", .0.len(), .0[0])]
    Faults(Vec<Fault>),
}
