//! Error responses in the `application/problem+json` format (RFC 9457).

use bytes::Bytes;
use http::{Response, StatusCode, header};
use serde::{Deserialize, Serialize};

/// Error details sent to an HTTP client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// URI that identifies the type of error.
    #[serde(rename = "type", default)]
    pub uri: Box<str>,
    /// Stable error code for programs.
    pub code: String,
    /// HTTP status code.
    pub status: u16,
    /// Short summary for people.
    pub title: Box<str>,
    /// Explanation for this request.
    pub detail: String,
    /// Delay before a retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// Methods that the path allows, for the `Allow` header.
    #[serde(skip)]
    pub methods: Option<&'static str>,
}

impl Problem {
    /// Creates a problem whose title is the standard reason phrase of the status.
    #[must_use]
    pub fn new(status: StatusCode, code: impl Into<String>, detail: impl Into<String>) -> Self {
        let code = code.into();
        Self {
            uri: format!("urn:cranberryhatch:problem:{code}").into(),
            code,
            status: status.as_u16(),
            title: status.canonical_reason().unwrap_or("error").into(),
            detail: detail.into(),
            retry_after_ms: None,
            methods: None,
        }
    }

    /// Sets the delay before a retry, in milliseconds; also sent as `Retry-After`, in seconds.
    #[must_use]
    pub const fn retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Sets the methods of the `Allow` header.
    #[must_use]
    pub const fn allow(mut self, methods: &'static str) -> Self {
        self.methods = Some(methods);
        self
    }

    /// Returns the response with this problem as its body.
    #[must_use]
    pub fn response(&self) -> Response<Bytes> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = reply_json(status, self);
        let headers = response.headers_mut();
        let kind = header::HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, kind);
        if let Some(ms) = self.retry_after_ms {
            headers.insert(header::RETRY_AFTER, header::HeaderValue::from(ms.div_ceil(1000)));
        }
        if let Some(methods) = self.methods {
            headers.insert(header::ALLOW, header::HeaderValue::from_static(methods));
        }
        response
    }
}

/// Returns a response with a JSON body.
///
/// If the value cannot be serialized, the response is empty and has status 500.
pub fn reply_json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Response<Bytes> {
    let (status, body) = match serde_json::to_vec(value) {
        Ok(body) => (status, Bytes::from(body)),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
