//! Lists for callers and operators.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};

use crate::{
    args::Output,
    client::ApiClient,
    exit::Exit,
    failure::Failure,
    output::{print, table},
};

/// Fetches idempotency keys.
pub fn keys(client: &ApiClient, count: u64, output: Output) -> Result<Exit, Failure> {
    let body = Bytes::from(json!({ "count": count }).to_string());
    let response = client.send(&Method::POST, "/v1/keys", &[], &body, Duration::ZERO)?;
    let value: Value = serde_json::from_slice(response.body())?;
    print(output, &value, |value| {
        let keys = value["keys"].as_array().map(Vec::as_slice).unwrap_or_default();
        keys.iter().filter_map(Value::as_str).map(|key| format!("{key}\n")).collect()
    })?;
    Ok(Exit::Success)
}

/// Lists entry instances.
pub fn instances(client: &ApiClient, output: Output) -> Result<Exit, Failure> {
    let value: Value = client.get("/v1/admin/instances")?;
    let columns = ["id", "zone", "version", "queued", "idle", "draining", "age_ms"];
    print(output, &value, |value| table(rows(value), &columns))?;
    Ok(Exit::Success)
}

/// Lists workers.
pub fn workers(client: &ApiClient, output: Output) -> Result<Exit, Failure> {
    let value: Value = client.get("/v1/admin/workers")?;
    let columns = ["id", "zone", "rack", "slots", "free", "in_flight", "leaving", "age_ms"];
    print(output, &value, |value| table(rows(value), &columns))?;
    Ok(Exit::Success)
}

fn rows(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or_default()
}
