//! Failures of calls to the platform.

use cranberryhatch_http::ClientError;

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The exchange failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The platform refused the call.
    #[error("the platform answered with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The answer is not of the expected shape.
    #[error("the platform's answer cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The request could not be built.
    #[error("the request cannot be built: {0}")]
    BadRequest(#[from] http::Error),
}

impl PlatformError {
    /// Whether a write certainly did not take effect.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        match self {
            Self::Client(error) => error.is_unsent(),
            Self::Refused { status } => *status < 500,
            Self::BadRequest(_) => true,
            Self::Malformed(_) => false,
        }
    }

    /// Whether the platform understood the call and refused it, so that a repetition is useless.
    #[must_use]
    pub const fn is_refusal(&self) -> bool {
        match self {
            Self::Refused { status } => *status < 500,
            Self::BadRequest(_) => true,
            Self::Client(_) | Self::Malformed(_) => false,
        }
    }
}
