//! Errors of HTTP requests, which distinguish whether the peer may have processed the request.

use std::net::SocketAddr;

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection could not be opened; the request was not sent.
    #[error("no connection to {addr}: {source}")]
    Connect {
        /// The peer.
        addr: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The limit on connections to the peer is reached; the request was not sent.
    #[error("no free connection to {addr}")]
    Exhausted {
        /// The peer.
        addr: SocketAddr,
    },
    /// The connection was closed before the request was written; the request was not sent.
    #[error("connection to {addr} closed before the request was written")]
    NotSent {
        /// The peer.
        addr: SocketAddr,
    },
    /// The connection failed after the request may have been sent.
    #[error("connection to {addr} lost: {source}")]
    Lost {
        /// The peer.
        addr: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
    /// The response did not arrive in time; the peer may have processed the request.
    #[error("no response from {addr} within {ms} ms")]
    TimedOut {
        /// The peer.
        addr: SocketAddr,
        /// The timeout, in milliseconds.
        ms: u128,
    },
    /// The response body is larger than the limit.
    #[error("response of {addr} larger than {limit} bytes")]
    TooLarge {
        /// The peer.
        addr: SocketAddr,
        /// The limit, in bytes.
        limit: usize,
    },
}

impl ClientError {
    /// Returns whether the peer refused the connection: no process listens at its address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        let refused = std::io::ErrorKind::ConnectionRefused;
        matches!(self, Self::Connect { source, .. } if source.kind() == refused)
    }

    /// Returns `true` if the request was not sent, so that the peer cannot have processed it.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Exhausted { .. } | Self::NotSent { .. })
    }
}
