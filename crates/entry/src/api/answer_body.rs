//! Responses that carry an answer.

use bytes::Bytes;
use cranberryhatch_core::{Answer, Code, Outcome, Payload};
use cranberryhatch_http::{Problem, reply_json};
use cranberryhatch_types::Span;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// When a caller should come back after a refusal that names no time.
const RETRY: Span = Span::from_secs(1);

/// Body of an answer.
#[derive(Debug, Serialize)]
pub struct AnswerBody {
    key: String,
    outcome: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    code: Option<String>,
    #[serde(skip_serializing_if = "String::is_empty")]
    detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    results: Vec<String>,
}

/// An answer that is an error too: the members of a problem and those of an answer.
#[derive(Serialize)]
struct Refusal {
    #[serde(flatten)]
    problem: Problem,
    key: String,
    outcome: String,
}

impl From<&Answer> for AnswerBody {
    fn from(answer: &Answer) -> Self {
        let text = |result: &Payload| String::from_utf8_lossy(result).into_owned();
        Self {
            key: answer.key.name.to_string(),
            outcome: answer.outcome.to_string(),
            code: answer.code.map(|code| code.to_string()),
            detail: answer.detail.clone(),
            retry_after_ms: answer.retry_after.map(Span::as_ms),
            results: answer.results.iter().map(text).collect(),
        }
    }
}

/// The response that carries an answer.
pub(super) fn response(answer: &Answer) -> Response<Bytes> {
    let status = status_of(answer);
    if status.is_success() {
        return reply_json(status, &AnswerBody::from(answer));
    }
    let code = answer.code.map_or_else(|| answer.outcome.to_string(), |code| code.to_string());
    let mut problem = Problem::new(status, code, answer.detail.clone());
    let again = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
    problem.retry_after_ms = answer.retry_after.or(again.then_some(RETRY)).map(Span::as_ms);
    let key = answer.key.name.to_string();
    let refusal = Refusal { problem, key, outcome: answer.outcome.to_string() };
    let mut response = reply_json(status, &refusal);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Some(ms) = refusal.problem.retry_after_ms {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1_000)));
    }
    response
}

fn status_of(answer: &Answer) -> StatusCode {
    match (answer.outcome, answer.code) {
        (Outcome::Pending, _) => StatusCode::ACCEPTED,
        (Outcome::Complete, _) => StatusCode::OK,
        (Outcome::NotRun, Some(code)) => refused_status(code),
        (Outcome::NotRun, None) => StatusCode::SERVICE_UNAVAILABLE,
        (Outcome::Unknown, Some(Code::KeyUnknown)) => StatusCode::NOT_FOUND,
        (Outcome::Unknown, Some(Code::KeyExpired)) => StatusCode::GONE,
        // Refusals of a key that may be known at another instance.
        (
            Outcome::Unknown,
            Some(
                code @ (Code::TooManyTasks
                | Code::PayloadTooLarge
                | Code::NeverFits
                | Code::QueueFull
                | Code::Draining
                | Code::ZoneDrained
                | Code::SettingsUnavailable
                | Code::PlatformUnavailable),
            ),
        ) => refused_status(code),
        (Outcome::Failed | Outcome::Unknown, _) => StatusCode::BAD_GATEWAY,
    }
}

fn refused_status(code: Code) -> StatusCode {
    match code {
        Code::KeyReused | Code::Cancelled => StatusCode::CONFLICT,
        Code::KeyFromFuture => StatusCode::GONE,
        Code::NoTasks | Code::TooManyTasks | Code::PayloadTooLarge | Code::NeverFits => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        Code::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
