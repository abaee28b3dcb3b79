//! HTTP interface for callers and operators.

mod admin;
mod answer_body;
mod query;
mod settings_write;
mod submission;

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use bytes::Bytes;
use cranberryhatch_core::{Answer, Event, JobSubmission};
use cranberryhatch_http::{Problem, reply_json};
use cranberryhatch_types::{Holder, JobKey, KeyName, Span, TeamId, Time, ZoneId};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use serde::Deserialize;
use serde_json::json;

pub use answer_body::AnswerBody;
pub use submission::{Single, Submission};

use crate::{
    clock::Clock,
    endpoints::Endpoints,
    peers::{Peers, Roster},
    reach::Store,
    replies::{Replies, Waiting},
    settings_store::{Current, SettingsStore},
    shards::Shards,
    telemetry::{IoCounter, Metrics},
};

/// Most keys handed out in one request.
const KEYS_LIMIT: u64 = 10_000;
/// Longest wait for an answer in one request.
const WAIT_LIMIT_MS: u64 = 60_000;
/// When a caller that was refused for lack of settings or room should come back.
const RETRY_MS: u64 = 1_000;

/// Interface for callers and operators.
pub struct Api {
    /// Clock of the process.
    pub clock: Clock,
    /// This life of the instance.
    pub holder: Holder,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The shards.
    pub shards: Arc<Shards>,
    /// Requests that wait.
    pub replies: Arc<Replies>,
    /// Settings in force.
    pub settings: Arc<SettingsStore>,
    /// The platform, for operators.
    pub store: Store,
    /// Endpoints, for operators.
    pub endpoints: Arc<Endpoints>,
    /// Heartbeats of peers, for operators.
    pub roster: Arc<Roster>,
    /// Peers, to announce settings.
    pub peers: Arc<Peers>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Whether the instance takes new work.
    pub ready: Arc<AtomicBool>,
    /// Whether all that the instance needs to serve is there or was given up; see
    /// [`crate::readiness`].
    pub settled: Arc<AtomicBool>,
    /// Number of the next key to be handed out.
    pub next: AtomicU64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeysRequest {
    count: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CancelRequest {
    label: String,
}

/// A request that a shard was asked to answer; a caller that goes away frees what it holds.
struct Asked<'a> {
    waiting: Waiting<'a>,
    shards: &'a Shards,
    shard: usize,
}

impl Asked<'_> {
    /// Time for which the request may wait for the end of its job.
    const fn span(&self, ms: u64) -> Span {
        if self.waiting.is_late() { Span::ZERO } else { Span::from_ms(ms) }
    }
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        if self.waiting.forget() {
            // With a full inbox the shard finds out when it replies.
            self.shards
                .try_send(self.shard, Event::CallerDisconnected { ticket: self.waiting.ticket });
        }
    }
}

/// What a caller's path names.
enum Route<'a> {
    Jobs,
    Requests,
    Keys,
    Cancel,
    Job(&'a str),
    Answer(&'a str),
}

impl<'a> Route<'a> {
    fn of(path: &'a str) -> Option<Self> {
        Some(match path {
            "/v1/jobs" => Self::Jobs,
            "/v1/requests" => Self::Requests,
            "/v1/keys" => Self::Keys,
            "/v1/cancel" => Self::Cancel,
            _ => {
                let rest = path.strip_prefix("/v1/jobs/")?;
                match rest.strip_suffix("/answer") {
                    Some(name) => Self::Answer(name),
                    None => Self::Job(rest),
                }
            }
        })
    }

    const fn methods(&self) -> &'static str {
        match self {
            Self::Jobs | Self::Requests | Self::Keys | Self::Cancel => "POST",
            Self::Job(_) => "GET, DELETE",
            Self::Answer(_) => "GET",
        }
    }
}

impl Api {
    /// Answers one request.
    pub async fn answer(&self, request: Request<Bytes>) -> Response<Bytes> {
        let mut response = match self.route(request).await {
            Ok(response) => response,
            Err(problem) => problem.response(),
        };
        // A balancer sends new connections elsewhere, but not the requests of those that are open.
        if self.is_stopping() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn is_stopping(&self) -> bool {
        !self.ready.load(Ordering::Relaxed)
    }

    async fn route(&self, request: Request<Bytes>) -> Result<Response<Bytes>, Problem> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/healthz" => {
                allow(&request, "GET")?;
                return Ok(reply_json(StatusCode::OK, "ok"));
            }
            "/readyz" => {
                allow(&request, "GET")?;
                return self.readiness();
            }
            _ => {}
        }
        if let Some(rest) = path.strip_prefix("/v1/admin/") {
            return self.admin(rest, &request).await;
        }
        let unknown = || Problem::new(StatusCode::NOT_FOUND, "no-such-path", path.as_str());
        let route = Route::of(&path).ok_or_else(unknown)?;
        allow(&request, route.methods())?;
        let current = self.current()?;
        let team = current.tokens.team(bearer(&request)?).ok_or_else(wrong_token)?.clone();
        match route {
            Route::Jobs => {
                let submission = parse(request.body())?;
                self.submit(&request, &current, team, submission, 0).await
            }
            Route::Requests => {
                let single: Single = parse(request.body())?;
                self.submit(&request, &current, team, single.into(), WAIT_LIMIT_MS).await
            }
            Route::Keys => self.hand_out(&team, &parse(request.body())?),
            Route::Cancel => {
                let cancel: CancelRequest = parse(request.body())?;
                self.shards.send_all(&Event::CancelLabel { team, label: cancel.label });
                Ok(reply_json(StatusCode::ACCEPTED, &json!({})))
            }
            Route::Answer(name) => {
                let wait = query::wait_ms(&request, 0, WAIT_LIMIT_MS)?;
                let key = job_key(team, name)?;
                self.wait(key, wait).await
            }
            Route::Job(name) => {
                let key = job_key(team, name)?;
                if *request.method() == Method::DELETE {
                    return self.cancel(key).await;
                }
                self.wait(key, 0).await
            }
        }
    }

    fn readiness(&self) -> Result<Response<Bytes>, Problem> {
        if self.ready.load(Ordering::Relaxed) && self.settled.load(Ordering::Relaxed) {
            return Ok(reply_json(StatusCode::OK, "ready"));
        }
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Err(Problem::new(status, "not-ready", "takes no new work").retry_after_ms(RETRY_MS))
    }

    fn current(&self) -> Result<Arc<Current>, Problem> {
        self.settings.current().ok_or_else(|| {
            let detail = "not run: no settings yet";
            Problem::new(StatusCode::SERVICE_UNAVAILABLE, "settings-unavailable", detail)
                .retry_after_ms(RETRY_MS)
        })
    }

    fn open(&self, shard: usize) -> Result<Asked<'_>, Problem> {
        let waiting = self.replies.open().ok_or_else(|| {
            self.metrics.count_io(IoCounter::RequestsRefused, 1);
            let detail = "not run: too many requests wait";
            Problem::new(StatusCode::SERVICE_UNAVAILABLE, "too-many-waiting", detail)
                .retry_after_ms(RETRY_MS)
        })?;
        Ok(Asked { waiting, shards: &self.shards, shard })
    }

    fn hand_out(&self, team: &TeamId, request: &KeysRequest) -> Result<Response<Bytes>, Problem> {
        if request.count == 0 || request.count > KEYS_LIMIT {
            let detail = format!("count must be from 1 to {KEYS_LIMIT}");
            return Err(Problem::new(StatusCode::BAD_REQUEST, "bad-count", detail));
        }
        // No other instance can serve them.
        if self.is_stopping() {
            let detail = "the instance is stopping, and its keys would end with it";
            return Err(Problem::new(StatusCode::SERVICE_UNAVAILABLE, "draining", detail)
                .retry_after_ms(RETRY_MS));
        }
        let first = self.next.fetch_add(request.count, Ordering::Relaxed);
        let time = self.clock.wall();
        let keys: Vec<String> = (first..first + request.count)
            .map(|number| KeyName::Issued { time, holder: self.holder.clone(), number }.to_string())
            .collect();
        Ok(reply_json(StatusCode::OK, &json!({ "team": team, "keys": keys })))
    }

    async fn submit(
        &self,
        request: &Request<Bytes>,
        current: &Current,
        team: TeamId,
        submission: Submission,
        default_wait: u64,
    ) -> Result<Response<Bytes>, Problem> {
        let missing =
            || Problem::new(StatusCode::BAD_REQUEST, "key-missing", "Idempotency-Key is required");
        let name = request.headers().get("idempotency-key").ok_or_else(missing)?;
        let key = job_key(team, name.to_str().unwrap_or_default())?;
        let wait = query::wait_ms(request, default_wait, WAIT_LIMIT_MS)?;
        let now = self.clock.now();
        let values = current.settings.of(&key.team, submission.kind());
        let deadline = submission.deadline().unwrap_or(values.deadline_default);
        let deadline = now + deadline.min(values.deadline_max);
        let job = Arc::new(submission.into_spec(key, request.body(), deadline));
        let shard = self.shards.of(&job.key);
        let asked = self.open(shard)?;
        let until = now + asked.span(wait);
        let ticket = asked.waiting.ticket;
        let first = request.headers().get("idempotency-first").is_some_and(|v| v == "true");
        let submit = JobSubmission { ticket, wall: self.clock.wall(), until, first, job };
        if !self.shards.try_send(shard, Event::Submit(submit)) {
            let detail = "not run: the inbox of the shard is full";
            return Err(Problem::new(StatusCode::TOO_MANY_REQUESTS, "queue-full", detail)
                .retry_after_ms(RETRY_MS));
        }
        finish(asked.waiting.reply().await)
    }

    async fn wait(&self, key: JobKey, wait: u64) -> Result<Response<Bytes>, Problem> {
        let shard = self.shards.of(&key);
        let asked = self.open(shard)?;
        let until: Time = self.clock.now() + asked.span(wait);
        self.shards.send(shard, Event::Wait { ticket: asked.waiting.ticket, key, until });
        finish(asked.waiting.reply().await)
    }

    async fn cancel(&self, key: JobKey) -> Result<Response<Bytes>, Problem> {
        let shard = self.shards.of(&key);
        let asked = self.open(shard)?;
        self.shards.send(shard, Event::Cancel { ticket: asked.waiting.ticket, key });
        finish(asked.waiting.reply().await)
    }
}

fn finish(answer: Option<Answer>) -> Result<Response<Bytes>, Problem> {
    let stopped = || {
        let detail = "the instance stopped; the job may have run";
        Problem::new(StatusCode::SERVICE_UNAVAILABLE, "stopped", detail).retry_after_ms(RETRY_MS)
    };
    Ok(answer_body::response(&answer.ok_or_else(stopped)?))
}

fn job_key(team: TeamId, name: &str) -> Result<JobKey, Problem> {
    let bad = |error: cranberryhatch_types::ParseError| {
        Problem::new(StatusCode::BAD_REQUEST, "bad-key", error.to_string())
    };
    Ok(JobKey { team, name: name.parse().map_err(bad)? })
}

fn wrong_token() -> Problem {
    Problem::new(StatusCode::UNAUTHORIZED, "wrong-token", "the token does not open this")
}

/// The token of the `authorization` header.
fn bearer(request: &Request<Bytes>) -> Result<&str, Problem> {
    let value = request.headers().get("authorization").and_then(|value| value.to_str().ok());
    value.and_then(|value| value.strip_prefix("Bearer ")).ok_or_else(wrong_token)
}

/// Checks that the method is one of those allowed.
fn allow(request: &Request<Bytes>, methods: &'static str) -> Result<(), Problem> {
    let method = request.method().as_str();
    if methods.split(", ").any(|allowed| allowed == method) {
        return Ok(());
    }
    let detail = format!("allowed here: {methods}");
    Err(Problem::new(StatusCode::METHOD_NOT_ALLOWED, "bad-method", detail).allow(methods))
}

fn parse<T: for<'a> Deserialize<'a>>(body: &Bytes) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|error| {
        let detail = error.to_string();
        let code = if detail.starts_with("unknown field") { "unknown-field" } else { "bad-json" };
        Problem::new(StatusCode::BAD_REQUEST, code, detail)
    })
}
