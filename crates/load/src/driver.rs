//! Open-loop driver: sends each job of a plan at its time, without waiting for answers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use cranberryhatch_http::Client;
use fastrand::Rng;
use http::{Request, Response};
use serde::Deserialize;
use serde_json::json;
use smol::{Executor, Timer};
use strum::{Display, EnumString};

use crate::{JournalEntry, Outcome, Plan, PlannedJob};

/// Number of keys fetched in one request.
const KEY_BLOCK: usize = 5_000;
/// Time after the deadline of a job for which its answer is awaited.
const RESPONSE_MARGIN: Duration = Duration::from_secs(5);

/// Source of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum KeySource {
    /// The caller generates them; each is claimed in the platform's table.
    #[default]
    Own,
    /// The instances issue them in blocks.
    Issued,
}

/// The system under load.
#[derive(Clone, Debug)]
pub struct Target {
    /// Addresses of entry instances; each job is sent to a random one, as by a load balancer.
    pub entries: Vec<SocketAddr>,
    /// Token of the team.
    pub token: String,
    /// Kind of job.
    pub kind: String,
    /// Deadline of a job.
    pub deadline: Duration,
    /// Source of idempotency keys.
    pub keys: KeySource,
}

/// Sends a plan and records the answers.
pub struct Driver {
    client: Client,
    executor: Arc<Executor<'static>>,
    target: Arc<Target>,
}

#[derive(Deserialize)]
struct Keys {
    keys: Vec<String>,
}

#[derive(Deserialize)]
struct Answer {
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    code: String,
    #[serde(default)]
    results: Vec<String>,
}

struct JobRequest {
    index: usize,
    entry: usize,
    key: String,
    job: PlannedJob,
    begin: Instant,
}

impl Driver {
    /// Creates a driver for a target.
    #[must_use]
    pub fn new(executor: Arc<Executor<'static>>, target: Target) -> Self {
        let client = Client::new(Arc::clone(&executor)).connections(8_192);
        Self { client, executor, target: Arc::new(target) }
    }

    /// Returns the shortest of several round trips to an entry instance, in microseconds.
    ///
    /// # Errors
    /// Returns an error if the instance does not answer.
    pub async fn round_trip(&self) -> anyhow::Result<u64> {
        let mut best = u64::MAX;
        for _ in 0..20 {
            let begin = Instant::now();
            let request = Request::get("/healthz").body(Bytes::new())?;
            self.client.send(self.target.entries[0], request).await?;
            best = best.min(micros(begin.elapsed()));
        }
        Ok(best)
    }

    /// Sends every job at its time and returns what the callers received.
    ///
    /// # Errors
    /// Returns an error if no keys can be fetched before the start.
    pub async fn run(&self, plan: &Plan, seed: u64) -> anyhow::Result<Vec<JournalEntry>> {
        let mut rng = Rng::with_seed(seed);
        let mut keys = self.create_keys(plan, &mut rng).await?;
        keys.reverse();
        let open = Arc::new(AtomicUsize::new(0));
        let (journal, entries) = async_channel::unbounded();
        let begin = Instant::now();
        for (index, job) in plan.jobs.iter().enumerate() {
            let wait = Duration::from_millis(job.at).saturating_sub(begin.elapsed());
            Timer::after(wait).await;
            let Some((entry, key)) = keys.pop() else { break };
            let request = JobRequest { index, entry, key, job: job.clone(), begin };
            let (client, target) = (self.client.clone(), Arc::clone(&self.target));
            let (journal, open) = (journal.clone(), Arc::clone(&open));
            open.fetch_add(1, Ordering::Relaxed);
            let task = async move {
                let result = send_job(&client, &target, request).await;
                open.fetch_sub(1, Ordering::Relaxed);
                // The receiver outlives all senders.
                let _ = journal.send(result).await;
            };
            self.executor.spawn(task).detach();
        }
        drop(journal);
        let mut lines = Vec::with_capacity(plan.jobs.len());
        while let Ok(line) = entries.recv().await {
            lines.push(line);
        }
        lines.sort_by_key(|line| line.index);
        Ok(lines)
    }

    async fn create_keys(
        &self,
        plan: &Plan,
        rng: &mut Rng,
    ) -> anyhow::Result<Vec<(usize, String)>> {
        let count = self.target.entries.len();
        let nonce = rng.u32(..);
        let own = |index: usize| format!("{}-{nonce:08x}.{index}", unix_ms());
        let mut issued: Vec<Vec<String>> = vec![Vec::new(); count];
        let mut keys = Vec::with_capacity(plan.jobs.len());
        for index in 0..plan.jobs.len() {
            let entry = rng.usize(0..count);
            let key = match self.target.keys {
                KeySource::Own => own(index),
                KeySource::Issued => {
                    if issued[entry].is_empty() {
                        issued[entry] = self.fetch_keys(entry).await?;
                    }
                    issued[entry].pop().unwrap_or_else(|| own(index))
                }
            };
            keys.push((entry, key));
        }
        Ok(keys)
    }

    async fn fetch_keys(&self, entry: usize) -> anyhow::Result<Vec<String>> {
        let request = Request::post("/v1/keys")
            .header("authorization", format!("Bearer {}", self.target.token))
            .body(Bytes::from(json!({ "count": KEY_BLOCK }).to_string()))?;
        let response = self.client.send(self.target.entries[entry], request).await?;
        anyhow::ensure!(response.status().is_success(), "no keys: {}", response.status());
        Ok(serde_json::from_slice::<Keys>(response.body())?.keys)
    }
}

async fn send_job(client: &Client, target: &Target, request: JobRequest) -> JournalEntry {
    let JobRequest { index, mut entry, key, job, begin } = request;
    let sent = micros(begin.elapsed()) / 1_000;
    let start = Instant::now();
    let body = Bytes::from(body_of(target, index, &job));
    let timeout = target.deadline + RESPONSE_MARGIN;
    let mut tries = 0;
    let response = loop {
        let Ok(request) = request_of(target, &key, body.clone()) else { break None };
        match client.send_within(target.entries[entry], request, timeout).await {
            Ok(response) => break Some(response),
            // A load balancer skips an instance that accepts no connection.
            Err(error) if error.is_unsent() && tries < target.entries.len() => {
                tries += 1;
                entry = (entry + 1) % target.entries.len();
            }
            Err(_) => break None,
        }
    };
    let response_us = micros(start.elapsed());
    let (outcome, code) = match response {
        Some(response) => judge(index, &job, &response),
        None => (Outcome::Lost, String::new()),
    };
    JournalEntry {
        index,
        key,
        sent,
        response: response_us,
        outcome,
        code,
        tasks: job.tasks.len(),
        idempotent: job.idempotent,
    }
}

fn request_of(target: &Target, key: &str, body: Bytes) -> http::Result<Request<Bytes>> {
    let wait = target.deadline.as_millis();
    Request::post(format!("/v1/jobs?wait_ms={wait}"))
        .header("authorization", format!("Bearer {}", target.token))
        .header("idempotency-key", key)
        .header("idempotency-first", "true")
        .body(body)
}

fn body_of(target: &Target, index: usize, job: &PlannedJob) -> Vec<u8> {
    let tasks: Vec<_> = job
        .tasks
        .iter()
        .enumerate()
        .map(|(task, planned)| {
            let payload = json!({ "run_ms": planned.run, "echo": echo(index, task) });
            json!({ "payload": payload.to_string(), "run_ms": planned.declared })
        })
        .collect();
    let deadline = u64::try_from(target.deadline.as_millis()).unwrap_or(u64::MAX);
    json!({
        "kind": target.kind, "idempotent": job.idempotent, "deadline_ms": deadline, "tasks": tasks,
    })
    .to_string()
    .into_bytes()
}

fn echo(job: usize, task: usize) -> String {
    format!("{job}.{task}")
}

fn judge(index: usize, job: &PlannedJob, response: &Response<Bytes>) -> (Outcome, String) {
    let Ok(answer) = serde_json::from_slice::<Answer>(response.body()) else {
        return (Outcome::Lost, response.status().to_string());
    };
    let outcome = match answer.outcome.as_str() {
        "complete" => {
            let right = answer.results.len() == job.tasks.len()
                && answer.results.iter().enumerate().all(|(task, r)| *r == echo(index, task));
            if right { Outcome::Complete } else { Outcome::Wrong }
        }
        "" if response.status().is_client_error() || response.status().as_u16() == 503 => {
            Outcome::NotRun
        }
        name => name.parse().unwrap_or(Outcome::Lost),
    };
    (outcome, answer.code)
}

fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
