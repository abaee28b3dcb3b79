//! Answers of endpoints.

use bytes::Bytes;
use cranberryhatch_core::{AttemptStatus, Endpoint, FencedTask, StartResponse};
use cranberryhatch_http::Problem;
use cranberryhatch_types::{Accels, Cores, RackId, Slots, Span, TaskName, Time, WorkerId, ZoneId};
use http::{Response, StatusCode};
use serde::Deserialize;

/// Answer to a heartbeat.
#[derive(Deserialize)]
pub(super) struct Beat {
    worker: WorkerId,
    zone: ZoneId,
    rack: RackId,
    slots: Slots,
    free: Slots,
    leaving: bool,
    cores: u32,
    memory_mb: u64,
    accels: Accels,
}

impl Beat {
    /// The endpoint as it answered a heartbeat that was sent at a time.
    pub(super) fn into_endpoint(self, asked: Time) -> Endpoint {
        Endpoint {
            worker: self.worker,
            zone: self.zone,
            rack: self.rack,
            slots: self.slots,
            free: self.free,
            leaving: self.leaving,
            cores: Cores::new(self.cores.saturating_mul(1_000)),
            memory: cranberryhatch_types::Bytes::from_mib(self.memory_mb),
            accels: self.accels,
            heartbeat_sent: asked,
        }
    }
}

/// What became of a task.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state", content = "result")]
pub(super) enum Fate {
    Running,
    Done(String),
    Failed(String),
    Never,
}

impl From<Fate> for AttemptStatus {
    fn from(fate: Fate) -> Self {
        match fate {
            Fate::Running => Self::Running,
            Fate::Done(result) => Self::Done(result.into_bytes().into()),
            Fate::Failed(detail) => Self::Failed(detail),
            Fate::Never => Self::NeverStarted,
        }
    }
}

/// A task in the answer to a fence.
#[derive(Deserialize)]
pub(super) struct Fenced {
    task: String,
    fate: Fate,
}

impl Fenced {
    /// The task; none when its name cannot be read, which makes the whole answer unusable.
    pub(super) fn into_task(self, worker: &WorkerId) -> Option<FencedTask> {
        let name = self.task.parse().ok()?;
        Some(FencedTask { name, worker: worker.clone(), state: self.fate.into() })
    }
}

/// How long the endpoint that gave a response has remembered attempts.
pub(super) fn age(response: &Response<Bytes>) -> Option<Span> {
    let age = response.headers().get("x-age-ms")?.to_str().ok()?;
    age.parse().ok().map(Span::from_ms)
}

/// Whether a response belongs to an attempt; an endpoint may repeat the name of the attempt.
pub(super) fn is_for(response: &Response<Bytes>, name: &TaskName) -> bool {
    let Some(said) = response.headers().get("x-task") else { return true };
    said.to_str().is_ok_and(|said| said == name.to_string())
}

/// Reads the answer to a start.
pub(super) fn task_answer(response: &Response<Bytes>) -> StartResponse {
    if response.status() == StatusCode::OK {
        return StartResponse::Done(response.body().clone());
    }
    let Ok(problem) = serde_json::from_slice::<Problem>(response.body()) else {
        return StartResponse::Lost;
    };
    match problem.code.as_str() {
        "task-failed" => StartResponse::Failed(problem.detail),
        "duplicate" => StartResponse::Duplicate,
        code => match code.parse() {
            Ok(reason) => StartResponse::NotRun(reason),
            Err(_) => StartResponse::Lost,
        },
    }
}
