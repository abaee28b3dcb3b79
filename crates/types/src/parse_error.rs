//! The error of parsing a value from text.

/// Error returned when a text is not a valid value of the requested type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The text is empty.
    #[error("empty {what}")]
    Empty {
        /// Description of the requested value.
        what: &'static str,
    },
    /// The text is longer than allowed.
    #[error("{what} longer than {limit} characters")]
    TooLong {
        /// Description of the requested value.
        what: &'static str,
        /// Maximum length in characters.
        limit: usize,
    },
    /// The text contains a character that is not allowed.
    #[error("{what} contains {found:?}; letters, digits, '-', '_' and '.' are allowed")]
    BadCharacter {
        /// Description of the requested value.
        what: &'static str,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text does not have the expected format.
    #[error("invalid {what} {text:?}; expected {expected}")]
    BadForm {
        /// Description of the requested value.
        what: &'static str,
        /// The rejected text.
        text: String,
        /// The expected format.
        expected: &'static str,
    },
    /// The number has no unit or an unknown one.
    #[error("invalid {what} {text:?}: missing or unknown unit; expected one of {expected}")]
    BadUnit {
        /// Description of the requested value.
        what: &'static str,
        /// The rejected text.
        text: String,
        /// The allowed units.
        expected: &'static str,
    },
}
