//! The error of calls to the platform.

use cranberryhatch_http::ClientError;

/// Error returned when a call to the platform fails.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The request could not be sent or its response was not received.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The platform responded with an unexpected HTTP status.
    #[error("the platform responded with status {status}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// A body could not be decoded as, or encoded to, the expected JSON.
    #[error("invalid JSON in an exchange with the platform: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The request could not be built.
    #[error("cannot build the request to the platform: {0}")]
    BadRequest(#[from] http::Error),
}

impl PlatformError {
    /// Returns whether a write certainly did not take effect, because it was not sent or was
    /// rejected.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        match self {
            Self::Client(error) => error.is_unsent(),
            Self::Refused { status } => *status < 500,
            Self::BadRequest(_) => true,
            Self::Malformed(_) => false,
        }
    }

    /// Returns whether the request itself was rejected, so that a retry would fail again.
    #[must_use]
    pub const fn is_refusal(&self) -> bool {
        match self {
            Self::Refused { status } => *status < 500,
            Self::BadRequest(_) => true,
            Self::Client(_) | Self::Malformed(_) => false,
        }
    }
}
