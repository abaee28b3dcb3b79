//! HTTP interface for operators.

use bytes::Bytes;
use cranberryhatch_core::{Answer, Dispatcher, Event};
use cranberryhatch_http::{Problem, reply_json};
use cranberryhatch_store::{RowName, Scan};
use cranberryhatch_types::{JobKey, Span, ZoneId};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use serde::Serialize;
use serde_json::{Value, json};

use super::{AnswerBody, Api, allow, bearer, query, settings_write::AUDIT_TABLE, wrong_token};
use crate::{
    claims::{self, ClaimRow},
    endpoints::ZoneView,
    peers::PeerShard,
    settings_store::Current,
    watch::{TREE_ROW, settings_row},
};

/// Entries in one page of the history unless the operator asks for fewer.
const PAGE: u64 = 100;
/// Time without heartbeat after which a peer is no longer shown.
const PEER_SILENCE: Span = Span::from_secs(10);

/// What is shown of an instance.
#[derive(Serialize)]
struct InstanceView {
    id: String,
    incarnation: u64,
    zone: String,
    version: u64,
    queued: u64,
    idle: Option<u64>,
    in_flight: Option<u64>,
    draining: bool,
    age_ms: u64,
}

impl Api {
    /// Answers an operator's request for a path below `/v1/admin/`.
    pub(super) async fn admin(
        &self,
        path: &str,
        request: &Request<Bytes>,
    ) -> Result<Response<Bytes>, Problem> {
        let keys = path.strip_prefix("keys/");
        let methods = match path {
            "settings" => "GET, PUT",
            "settings/history" | "instances" | "workers" | "zones" => "GET",
            _ if keys.is_some() => "GET",
            _ => return Err(Problem::new(StatusCode::NOT_FOUND, "no-such-path", path)),
        };
        allow(request, methods)?;
        let current = self.current()?;
        let operator = current.tokens.operator(bearer(request)?).ok_or_else(wrong_token)?;
        match path {
            "settings" if *request.method() == Method::PUT => {
                self.write_settings(operator, request).await
            }
            "settings" => self.settings_text().await,
            "settings/history" => self.history(request).await,
            "instances" => Ok(reply_json(StatusCode::OK, &self.instances())),
            "zones" => Ok(reply_json(StatusCode::OK, &self.zones(&current))),
            "workers" => Ok(reply_json(StatusCode::OK, &self.endpoints.views())),
            _ => self.key(keys.unwrap_or_default()).await,
        }
    }

    /// The newest tree that is known: that of the table, else the one in force.
    async fn settings_text(&self) -> Result<Response<Bytes>, Problem> {
        let read = self.store.read(&[settings_row(TREE_ROW)]).await.ok();
        let stored = read.and_then(|mut rows| rows.pop().flatten());
        let stored = stored.and_then(|row| Some((row.version, row.value.as_str()?.to_owned())));
        let (version, text) = match stored {
            Some(stored) => stored,
            None => {
                let current = self.current()?;
                (current.settings.version(), current.text.to_string())
            }
        };
        let mut response = Response::new(Bytes::from(text));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
        headers.insert(header::ETAG, super::settings_write::etag(version));
        Ok(response)
    }

    async fn history(&self, request: &Request<Bytes>) -> Result<Response<Bytes>, Problem> {
        let [after, limit] = query::numbers(request, ["after", "limit"])?;
        let limit = limit.unwrap_or(PAGE).clamp(1, PAGE);
        let scan = Scan {
            table: AUDIT_TABLE.to_owned(),
            prefix: String::new(),
            after: after.map_or_else(String::new, super::settings_write::audit_key),
            limit: usize::try_from(limit).unwrap_or(1),
        };
        let rows = self.store.scan(&scan).await.map_err(|error| unavailable(&error))?;
        let entry = |row: &cranberryhatch_store::ScannedRow| {
            let mut value = row.row.value.clone();
            // The row is written in the same transaction as the tree, so it has the same version.
            value["to"] = row.row.version.into();
            value
        };
        let next = rows.last().filter(|_| rows.len() as u64 == limit);
        let next = next.and_then(|row| row.key.parse::<u64>().ok());
        let entries: Vec<Value> = rows.iter().map(entry).collect();
        Ok(reply_json(StatusCode::OK, &json!({ "entries": entries, "next": next })))
    }

    fn instances(&self) -> Vec<InstanceView> {
        let now = self.clock.now();
        let sum = |count: Vec<usize>| count.into_iter().sum::<usize>() as u64;
        let mut views = vec![InstanceView {
            id: self.holder.instance.to_string(),
            incarnation: self.holder.incarnation.get(),
            zone: self.zone.to_string(),
            version: self.shards.version(),
            queued: self.shards.look_all(Dispatcher::waiting).iter().sum(),
            idle: None,
            in_flight: Some(sum(self.shards.look_all(Dispatcher::in_flight))),
            draining: !self.ready.load(std::sync::atomic::Ordering::Relaxed),
            age_ms: 0,
        }];
        for known in self.roster.all() {
            let age = now.since(known.at);
            if age <= PEER_SILENCE {
                add_peer(&mut views, &known, age);
            }
        }
        views.sort_by(|a, b| a.id.cmp(&b.id));
        views
    }

    /// Zones of the deployment, and others that have endpoints.
    fn zones(&self, current: &Current) -> Vec<ZoneView> {
        let mut zones = current.settings.tree().zones();
        zones.extend(self.endpoints.zones());
        zones.sort_unstable();
        zones.dedup();
        let drains = current.settings.drains();
        let view = |zone: ZoneId| {
            let drained = drains.has(&zone);
            self.endpoints.zone_view(zone, drained)
        };
        zones.into_iter().map(view).collect()
    }

    async fn key(&self, path: &str) -> Result<Response<Bytes>, Problem> {
        let key: JobKey = path.parse().map_err(|error: cranberryhatch_types::ParseError| {
            Problem::new(StatusCode::BAD_REQUEST, "bad-key", error.to_string())
        })?;
        let row: RowName = (claims::TABLE.to_owned(), key.to_string());
        let stored = match self.store.read(&[row]).await {
            Ok(mut rows) => json!(
                rows.pop().flatten().and_then(|row| ClaimRow::read(&row.value)).map(|mut claim| {
                    claim.body = None;
                    claim
                })
            ),
            Err(_) => json!({ "unavailable": true }),
        };
        let shard = self.shards.of(&key);
        let asked = self.open(shard)?;
        let until = self.clock.now();
        let event = Event::Wait { ticket: asked.waiting.ticket, key: key.clone(), until };
        self.shards.send(shard, event);
        let answer: Option<Answer> = asked.waiting.reply().await;
        let body = json!({
            "key": key.to_string(),
            "shard": shard,
            "answer": answer.as_ref().map(AnswerBody::from),
            "claim": stored,
        });
        Ok(reply_json(StatusCode::OK, &body))
    }
}

fn add_peer(views: &mut Vec<InstanceView>, known: &PeerShard, age: Span) {
    let id = known.shard.instance.to_string();
    let beat = &known.beat;
    match views.iter_mut().find(|view| view.id == id) {
        Some(view) => {
            view.version = view.version.min(beat.version);
            view.queued += u64::from(beat.queued);
            view.idle = view.idle.map(|idle| idle + u64::from(beat.idle));
            view.draining |= beat.draining;
            view.age_ms = view.age_ms.min(age.as_ms());
        }
        None => views.push(InstanceView {
            id,
            incarnation: known.holder.incarnation.get(),
            zone: beat.zone.clone(),
            version: beat.version,
            queued: beat.queued.into(),
            idle: Some(beat.idle.into()),
            in_flight: None,
            draining: beat.draining,
            age_ms: age.as_ms(),
        }),
    }
}

/// The problem when the platform does not answer a question.
pub(super) fn unavailable(error: &cranberryhatch_store::PlatformError) -> Problem {
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "platform-unavailable", error.to_string())
        .retry_after_ms(super::RETRY_MS)
}
