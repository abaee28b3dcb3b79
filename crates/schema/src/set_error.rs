//! Errors of setting a value from text.

use std::str::FromStr;

use cranberryhatch_types::ParseError;

/// Error of a text that is not a valid value of a setting.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SetError {
    /// The text is malformed or has the wrong unit.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The value is out of its range.
    #[error("{value} is out of range; allowed is {min} to {max}")]
    OutOfRange {
        /// The value.
        value: String,
        /// Minimum.
        min: &'static str,
        /// Maximum.
        max: &'static str,
    },
    /// The value is not one of the allowed names.
    #[error("{value:?} is not one of: {allowed}")]
    NotAllowed {
        /// The value.
        value: String,
        /// The allowed names.
        allowed: &'static str,
    },
}

/// Parses a value and checks its range.
pub(crate) fn parse_in_range<T>(
    text: &str,
    min: &'static str,
    max: &'static str,
) -> Result<T, SetError>
where
    T: FromStr<Err = ParseError> + PartialOrd,
{
    let value: T = text.parse()?;
    let (low, high): (T, T) = (min.parse()?, max.parse()?);
    if value < low || value > high {
        return Err(SetError::OutOfRange { value: text.to_owned(), min, max });
    }
    Ok(value)
}

/// Parses `on` or `off`.
pub(crate) fn parse_flag(text: &str) -> Result<bool, SetError> {
    match text {
        "on" => Ok(true),
        "off" => Ok(false),
        _ => Err(SetError::NotAllowed { value: text.to_owned(), allowed: "on, off" }),
    }
}

/// Parses one of a few names.
pub(crate) fn parse_choice<T: FromStr>(text: &str, allowed: &'static str) -> Result<T, SetError> {
    text.parse().map_err(|_| SetError::NotAllowed { value: text.to_owned(), allowed })
}
