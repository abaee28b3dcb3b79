//! An operator that changes settings and asks which version is in force.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cranberryhatch_http::Client;
use cranberryhatch_standin::{
    check::{Journal, Note},
    unix_ms,
};
use http::{Method, Request, Response, StatusCode, header};
use serde_json::Value;

use crate::Target;

/// Time allowed for a request of an operator.
const LIMIT: Duration = Duration::from_secs(5);
/// Time allowed for a look at the version in force.
const LOOK: Duration = Duration::from_secs(1);

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is accepted as this version.
    Accepted(u64),
    /// It was not accepted, or its answer was lost.
    Refused(String),
}

/// An operator.
#[derive(Clone)]
pub struct Operator {
    /// Client of the chore.
    pub client: Client,
    /// Journal of what was seen.
    pub journal: Arc<Journal>,
    /// Its name.
    pub name: String,
    /// Its token.
    pub token: String,
}

impl Operator {
    /// Reads the tree and its version.
    pub async fn read(&self, to: &Target) -> Option<(u64, String)> {
        let response = self.send(to, Method::GET, "/v1/admin/settings", None, "", LIMIT).await?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let version = version_of(&response)?;
        Some((version, String::from_utf8(response.body().to_vec()).ok()?))
    }

    /// Writes a tree in place of the version `over`.
    pub async fn write(&self, to: &Target, over: u64, tree: &str) -> Change {
        let response =
            self.send(to, Method::PUT, "/v1/admin/settings", Some(over), tree, LIMIT).await;
        let Some(response) = response else { return Change::Refused("no answer".to_owned()) };
        match response.status() {
            status if status.is_success() => match version_of(&response) {
                Some(version) => self.accepted(version),
                None => Change::Refused("accepted without a version".to_owned()),
            },
            status => Change::Refused(status.to_string()),
        }
    }

    fn accepted(&self, version: u64) -> Change {
        let operator = self.name.clone();
        self.journal.append(&Note::Accepted { ms: unix_ms(), operator, version });
        Change::Accepted(version)
    }

    /// The version in force at an instance, by its own word.
    pub async fn seen(&self, to: &Target) -> Option<u64> {
        let ms = unix_ms();
        let response = self.send(to, Method::GET, "/v1/admin/instances", None, "", LOOK).await?;
        let list: Value = serde_json::from_slice(response.body()).ok()?;
        let own = list.as_array()?.iter().find(|row| row["id"] == *to.name)?;
        let version = own["version"].as_u64().filter(|version| *version > 0)?;
        self.journal.append(&Note::Seen { ms, instance: to.name.clone(), version });
        Some(version)
    }

    async fn send(
        &self,
        to: &Target,
        method: Method,
        path: &str,
        over: Option<u64>,
        body: &str,
        limit: Duration,
    ) -> Option<Response<Bytes>> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token));
        if let Some(version) = over {
            request = request.header(header::IF_MATCH, format!("\"{version}\""));
        }
        let request = request.body(Bytes::from(body.to_owned())).ok()?;
        self.client.send_within(to.addr, request, limit).await.ok()
    }
}

/// Version in the body or in the entity tag of an answer.
fn version_of(response: &Response<Bytes>) -> Option<u64> {
    let body: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    let tag = response.headers().get(header::ETAG).and_then(|tag| tag.to_str().ok());
    let tag = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    body["version"].as_u64().or(tag)
}
