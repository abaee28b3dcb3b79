//! Change of the settings tree by an operator.

use std::time::Duration;

use bytes::Bytes;
use cranberryhatch_http::{Problem, reply_json};
use cranberryhatch_schema::peer::{SettingsOffer, envelope::Body};
use cranberryhatch_settings::{Fault, FaultKind, Tree, TreeError};
use cranberryhatch_store::{Expect, Op, Txn, TxnResult};
use cranberryhatch_types::ShardId;
use http::{HeaderValue, Request, Response, StatusCode, header};
use serde::Serialize;
use serde_json::json;

use super::Api;
use crate::watch::{SETTINGS_TABLE, TREE_ROW, VERSION_ROW};

/// Table of changes.
pub const AUDIT_TABLE: &str = "audit";
/// Time for which a write is repeated until its result is known.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Longest reason, in bytes.
const REASON_LIMIT: usize = 1_000;

/// A problem with the list of faults of a tree.
#[derive(Serialize)]
struct Faulty {
    #[serde(flatten)]
    problem: Problem,
    faults: Vec<FaultView>,
}

#[derive(Serialize)]
struct FaultView {
    line: usize,
    section: String,
    key: String,
    code: &'static str,
    detail: String,
}

impl Api {
    /// Checks a tree and writes it with its audit row, unless another operator was first.
    pub(super) async fn write_settings(
        &self,
        operator: &str,
        request: &Request<Bytes>,
    ) -> Result<Response<Bytes>, Problem> {
        let from = if_match(request)?;
        let why = reason(request)?;
        let text = std::str::from_utf8(request.body()).map_err(|error| {
            Problem::new(StatusCode::BAD_REQUEST, "not-utf8", error.to_string())
        })?;
        let tree = match Tree::parse(text) {
            Ok(tree) => tree,
            Err(error) => return Ok(faults(&error)),
        };
        let when = self.clock.wall().as_ms();
        let audit = json!({ "who": operator, "when": when, "from": from, "why": why });
        let expect = if from == 0 { Expect::Absent } else { Expect::Version(from) };
        let number = self.next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let txn = Txn {
            id: format!("{}/s{number}", self.holder),
            ops: vec![
                Op::new(SETTINGS_TABLE, TREE_ROW, expect).put(text.into()),
                // The condition on the tree guards this row too: both are written or none.
                Op::new(SETTINGS_TABLE, VERSION_ROW, Expect::Any).put(json!({ "from": from })),
                Op::new(AUDIT_TABLE, audit_key(from), Expect::Absent).put(audit),
            ],
        };
        match self.store.write(&txn, WRITE_LIMIT).await {
            Ok(TxnResult::Written(version)) => Ok(self.in_force(version, text, &tree)),
            Ok(TxnResult::Conflicts(conflicts)) => {
                let row = conflicts.into_iter().find(|conflict| conflict.index == 0);
                let now = row.and_then(|conflict| conflict.row).map_or(0, |row| row.version);
                let detail = format!("the tree has version {now}, not {from}");
                Err(Problem::new(StatusCode::PRECONDITION_FAILED, "version-conflict", detail))
            }
            Err(error) => {
                let detail = format!("read the version before another try: {error}");
                Err(Problem::new(StatusCode::GATEWAY_TIMEOUT, "outcome-unknown", detail)
                    .retry_after_ms(super::RETRY_MS))
            }
        }
    }

    fn in_force(&self, version: u64, text: &str, tree: &Tree) -> Response<Bytes> {
        // The text was checked before it was written.
        let _ = self.settings.accept(version, text);
        for instance in self.peers.ids() {
            let offer = SettingsOffer { version, tree: text.to_owned() };
            self.peers.send(0, &ShardId { instance, shard: 0 }, Body::SettingsOffer(offer));
        }
        let warnings = self.warnings(tree);
        for warning in &warnings {
            log::warn!(version = version; "{warning}");
        }
        let body = json!({ "version": version, "warnings": warnings });
        let mut response = reply_json(StatusCode::OK, &body);
        response.headers_mut().insert(header::ETAG, etag(version));
        response
    }

    /// What an operator should know of an accepted tree. Drains are judged by the endpoints that
    /// this instance knows, or by the zones of the deployment where it knows none.
    fn warnings(&self, tree: &Tree) -> Vec<String> {
        let known = self.endpoints.zones();
        let occupied = if known.is_empty() { tree.zones() } else { known };
        let warning = |zone| {
            format!(
                "instances of zone {zone} refuse jobs as zone-drained: \
                 every zone whose endpoints they may use is drained"
            )
        };
        tree.stranded(&occupied).iter().map(warning).collect()
    }
}

/// Key of the audit row of the change that replaced a version; sorts by version.
pub(super) fn audit_key(from: u64) -> String {
    format!("{from:020}")
}

/// A version as an entity tag.
pub(super) fn etag(version: u64) -> HeaderValue {
    HeaderValue::from_str(&format!("\"{version}\"")).unwrap_or(HeaderValue::from_static("\"0\""))
}

fn if_match(request: &Request<Bytes>) -> Result<u64, Problem> {
    let value = request.headers().get(header::IF_MATCH).ok_or_else(|| {
        let detail = "If-Match must name the version that is replaced, 0 for none";
        Problem::new(StatusCode::PRECONDITION_REQUIRED, "version-missing", detail)
    })?;
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    text.parse().map_err(|_| {
        Problem::new(StatusCode::BAD_REQUEST, "bad-version", "If-Match must be a version")
    })
}

fn reason(request: &Request<Bytes>) -> Result<&str, Problem> {
    let Some(value) = request.headers().get("x-reason") else { return Ok("") };
    let text = std::str::from_utf8(value.as_bytes()).ok();
    text.filter(|text| text.len() <= REASON_LIMIT).ok_or_else(|| {
        let detail = format!("x-reason must be UTF-8 of at most {REASON_LIMIT} bytes");
        Problem::new(StatusCode::BAD_REQUEST, "bad-reason", detail)
    })
}

fn faults(error: &TreeError) -> Response<Bytes> {
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    let whole = |line, code| FaultView {
        line,
        section: String::new(),
        key: String::new(),
        code,
        detail: error.to_string(),
    };
    let faults = match error {
        TreeError::Syntax { line, .. } => vec![whole(*line, "syntax")],
        TreeError::TooLong { .. } => vec![whole(1, "too-long")],
        TreeError::Faults(faults) => faults.iter().map(view).collect(),
    };
    let problem = Problem::new(status, "settings-invalid", error.to_string());
    let mut response = reply_json(status, &Faulty { problem, faults });
    let kind = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn view(fault: &Fault) -> FaultView {
    FaultView {
        line: fault.line,
        section: fault.section.clone(),
        key: fault.key.clone(),
        code: fault_code(&fault.kind),
        detail: fault.kind.to_string(),
    }
}

const fn fault_code(kind: &FaultKind) -> &'static str {
    match kind {
        FaultKind::BadSection(_) => "bad-section",
        FaultKind::UnknownKey => "unknown-key",
        FaultKind::WrongLevel(_) => "wrong-level",
        FaultKind::Duplicate => "set-twice",
        FaultKind::BadValue(_) => "bad-value",
        FaultKind::BadToken => "bad-token",
        FaultKind::SharedToken(_) => "shared-token",
        FaultKind::UnknownZone(_) => "unknown-zone",
        FaultKind::BadZone(_) => "bad-zone",
        FaultKind::SecondDeployment => "second-deployment",
        FaultKind::OverParent { .. } => "over-parent",
    }
}
