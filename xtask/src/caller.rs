//! A caller that notes what it sends and gets.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use cranberryhatch_http::{Client, ClientError};
use cranberryhatch_standin::{
    check::{Call, Journal, Note, Reply, Verb, expected_result},
    unix_ms,
};
use http::{Request, Response};
use serde_json::{Value, json};

/// Time that a caller waits for an answer beyond the wait it asked for.
const GRACE: Duration = Duration::from_secs(5);

/// A body larger than any instance takes, in bytes.
const TOO_LARGE: usize = 65 << 20;

/// An entry instance to be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its id.
    pub name: String,
    /// Its address.
    pub addr: SocketAddr,
}

/// A job as its caller knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Key without the team.
    pub key: String,
    /// Number of the body under this key.
    pub body: u64,
    /// Kind.
    pub kind: String,
    /// Run times of the tasks, in milliseconds.
    pub runs: Vec<u64>,
    /// Factor in percent between the true and the declared run time.
    pub declared: u64,
    /// Declared cores of each task, in thousandths.
    pub cores: u64,
    /// Whether the work is idempotent.
    pub idempotent: bool,
    /// Deadline, in milliseconds.
    pub deadline: u64,
    /// Label, to cancel by.
    pub label: Option<String>,
}

impl Job {
    /// A job with tasks that declare their true run time.
    #[must_use]
    pub fn new(key: impl Into<String>, runs: Vec<u64>) -> Self {
        Self {
            key: key.into(),
            body: 0,
            kind: "timing-pass".to_owned(),
            runs,
            declared: 100,
            cores: 0,
            idempotent: false,
            deadline: 30_000,
            label: None,
        }
    }
}

/// A caller of one team.
#[derive(Clone)]
pub struct Caller {
    /// Client of the chore.
    pub client: Client,
    /// Journal of what was sent and got.
    pub journal: Arc<Journal>,
    /// The team.
    pub team: String,
    /// Its token.
    pub token: String,
}

impl Caller {
    /// Submits a job and waits for its answer.
    pub async fn submit(&self, to: &Target, job: &Job, wait_ms: u64) -> Call {
        let full = format!("{}/{}", self.team, job.key);
        let task = |(index, run): (usize, &u64)| {
            let payload = json!({ "run_ms": run, "echo": expected_result(&full, index) });
            json!({
                "payload": payload.to_string(), "run_ms": (run * job.declared / 100).max(1),
                "cores_milli": job.cores,
            })
        };
        let body = json!({
            "kind": job.kind, "idempotent": job.idempotent, "deadline_ms": job.deadline,
            "label": job.label, "tasks": job.runs.iter().enumerate().map(task).collect::<Vec<_>>(),
        });
        let request = Request::post(format!("/v1/jobs?wait_ms={wait_ms}"))
            .header("idempotency-key", &job.key);
        self.exchange(to, job, Verb::Submit, request, body.to_string(), wait_ms).await
    }

    /// Asks for the answer of a job.
    pub async fn wait(&self, to: &Target, job: &Job, wait_ms: u64) -> Call {
        let path = format!("/v1/jobs/{}/answer?wait_ms={wait_ms}", job.key);
        self.exchange(to, job, Verb::Wait, Request::get(path), String::new(), wait_ms).await
    }

    /// Cancels a job.
    pub async fn cancel(&self, to: &Target, job: &Job) -> Call {
        let request = Request::delete(format!("/v1/jobs/{}", job.key));
        self.exchange(to, job, Verb::Cancel, request, String::new(), 0).await
    }

    /// Cancels all jobs with a label.
    pub async fn cancel_label(&self, to: &Target, label: &str) {
        let body = json!({ "label": label }).to_string();
        // The jobs' own answers show what the cancellation did.
        let _ = self.send(to, Request::post("/v1/cancel"), body, GRACE).await;
    }

    /// Gets a key from an instance.
    pub async fn key(&self, to: &Target) -> Option<String> {
        let body = json!({ "count": 1 }).to_string();
        let response = self.send(to, Request::post("/v1/keys"), body, GRACE).await.ok()?;
        let answer: Value = serde_json::from_slice(response.body()).ok()?;
        answer["keys"][0].as_str().map(str::to_owned)
    }

    /// Sends a request that must be refused; `number` chooses what is wrong with it.
    pub async fn bad_input(&self, to: &Target, number: usize) {
        let key = format!("{}-bad", unix_ms());
        let post = |path: &str| Request::post(path).header("idempotency-key", &key);
        let job = r#"{"kind":"timing-pass","tasks":[{"payload":"{}"}]}"#;
        let (what, request, body) = match number % 8 {
            0 => ("no JSON", post("/v1/jobs"), "{\"kind\":".to_owned()),
            1 => ("no key", Request::post("/v1/jobs"), job.to_owned()),
            2 => ("unknown field", post("/v1/jobs"), job.replace("kind", "kinds")),
            3 => ("no tasks", post("/v1/jobs"), r#"{"kind":"a","tasks":[]}"#.to_owned()),
            4 => ("body too large", post("/v1/jobs"), " ".repeat(TOO_LARGE)),
            5 => ("unknown path", Request::get("/v1/nothing"), String::new()),
            6 => ("bad count", Request::post("/v1/keys"), r#"{"count":0}"#.to_owned()),
            _ => {
                let request = Request::post("/v1/jobs").header("idempotency-key", "no time");
                ("bad key", request, job.to_owned())
            }
        };
        let ms = unix_ms();
        // A request that got no answer says nothing about errors.
        let Ok(response) = self.send(to, request, body, GRACE).await else { return };
        let problem: Value = serde_json::from_slice(response.body()).unwrap_or_default();
        self.journal.append(&Note::BadInput {
            ms,
            instance: to.name.clone(),
            what: what.to_owned(),
            status: response.status().as_u16(),
            code: problem["code"].as_str().unwrap_or_default().to_owned(),
        });
    }

    async fn exchange(
        &self,
        to: &Target,
        job: &Job,
        verb: Verb,
        request: http::request::Builder,
        body: String,
        wait_ms: u64,
    ) -> Call {
        let sent_ms = unix_ms();
        let limit = Duration::from_millis(wait_ms) + GRACE;
        let response = self.send(to, request, body, limit).await;
        let mut call = Call {
            sent_ms,
            got_ms: unix_ms(),
            via: to.name.clone(),
            verb,
            key: format!("{}/{}", self.team, job.key),
            body: job.body,
            tasks: job.runs.len(),
            idempotent: job.idempotent,
            reply: Reply::Lost,
            code: String::new(),
            results: Vec::new(),
        };
        match response {
            Ok(response) => read(&mut call, &response),
            Err(error) => {
                call.reply = if error.is_unsent() { Reply::Unsent } else { Reply::Lost };
                call.code = error.to_string();
            }
        }
        self.journal.append(&Note::Call(call.clone()));
        call
    }

    async fn send(
        &self,
        to: &Target,
        request: http::request::Builder,
        body: String,
        limit: Duration,
    ) -> Result<Response<Bytes>, ClientError> {
        let bearer = format!("Bearer {}", self.token);
        let request = request.header("authorization", bearer).body(Bytes::from(body));
        // Paths and headers are made of keys, which are plain ASCII.
        let request = request.unwrap_or_else(|_| Request::new(Bytes::new()));
        self.client.send_within(to.addr, request, limit).await
    }
}

fn read(call: &mut Call, response: &Response<Bytes>) {
    let answer: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    let text = |field: &str| answer[field].as_str().unwrap_or_default().to_owned();
    call.code = text("code");
    let results = answer["results"].as_array().map(Vec::as_slice).unwrap_or_default();
    call.results =
        results.iter().map(|result| result.as_str().unwrap_or_default().to_owned()).collect();
    call.reply = match text("outcome").as_str() {
        "complete" => Reply::Complete,
        "not-run" => Reply::NotRun,
        "failed" => Reply::Failed,
        "pending" => Reply::Pending,
        // An instance that does not know the key says nothing about the job.
        "unknown" if call.verb == Verb::Wait && call.code == "key-unknown" => Reply::Lost,
        "unknown" => Reply::Unknown,
        // A problem in place of an answer: the request was refused, but for an instance that
        // stopped while it worked.
        _ if call.verb == Verb::Submit && !call.code.is_empty() && call.code != "stopped" => {
            Reply::NotRun
        }
        _ => Reply::Lost,
    };
    if call.reply == Reply::Lost && call.code.is_empty() {
        call.code = format!("status {}", response.status().as_u16());
    }
}
