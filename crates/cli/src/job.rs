//! Commands on jobs.

use std::{
    io::{IsTerminal as _, Read as _},
    path::Path,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use http::Method;
use indicatif::ProgressBar;
use serde_json::{Value, json};

use crate::{
    args::{JobCommand, Output},
    client::ApiClient,
    exit::Exit,
    failure::Failure,
    output::print,
};

/// Longest wait in one exchange.
const WAIT_STEP: Duration = Duration::from_secs(5);
/// Time between two redraws of the progress bar.
const REDRAW: Duration = Duration::from_millis(100);

/// Runs a command on jobs.
pub fn run(client: &ApiClient, command: &JobCommand, output: Output) -> Result<Exit, Failure> {
    match command {
        JobCommand::Submit { file, key, wait } => {
            submit(client, file, key.as_deref(), *wait, output)
        }
        JobCommand::Status { key } => show(&client.get(&format!("/v1/jobs/{key}"))?, output),
        JobCommand::Wait { key, wait } => {
            show(&wait_for(client, key, Duration::from_secs(*wait))?, output)
        }
        JobCommand::Cancel { key: Some(key), .. } => {
            let path = format!("/v1/jobs/{key}");
            let response =
                client.send(&Method::DELETE, &path, &[], &Bytes::new(), Duration::ZERO)?;
            show(&serde_json::from_slice(response.body())?, output)?;
            Ok(Exit::Success)
        }
        JobCommand::Cancel { label, .. } => {
            let body = Bytes::from(json!({ "label": label }).to_string());
            client.send(&Method::POST, "/v1/cancel", &[], &body, Duration::ZERO)?;
            Ok(Exit::Success)
        }
    }
}

fn submit(
    client: &ApiClient,
    file: &Path,
    key: Option<&str>,
    wait: u64,
    output: Output,
) -> Result<Exit, Failure> {
    let body = Bytes::from(read_input(file)?);
    let first = if key.is_none() { "true" } else { "false" };
    let key = key.map_or_else(new_key, str::to_owned);
    // The key is told first, so that a submission whose answer is lost can be asked after.
    eprintln!("key {key}");
    let headers = [("idempotency-key", key.as_str()), ("idempotency-first", first)];
    let response = client.send(&Method::POST, "/v1/jobs", &headers, &body, Duration::ZERO)?;
    let answer: Value = serde_json::from_slice(response.body())?;
    if answer["outcome"] != "pending" || wait == 0 {
        return show(&answer, output);
    }
    show(&wait_for(client, &key, Duration::from_secs(wait))?, output)
}

fn wait_for(client: &ApiClient, key: &str, wait: Duration) -> Result<Value, Failure> {
    let bar = progress(key);
    let end = Instant::now() + wait;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        let step = left.min(WAIT_STEP);
        let path = format!("/v1/jobs/{key}/answer?wait_ms={}", step.as_millis());
        let response = client.send(&Method::GET, &path, &[], &Bytes::new(), step)?;
        let answer: Value = serde_json::from_slice(response.body())?;
        if answer["outcome"] != "pending" || left.is_zero() {
            bar.finish_and_clear();
            return Ok(answer);
        }
    }
}

fn progress(key: &str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new_spinner();
    bar.set_message(format!("waiting for {key}"));
    bar.enable_steady_tick(REDRAW);
    bar
}

fn show(answer: &Value, output: Output) -> Result<Exit, Failure> {
    print(output, answer, text_of)?;
    Ok(Exit::of_outcome(answer["outcome"].as_str().unwrap_or_default()))
}

fn text_of(answer: &Value) -> String {
    let field = |name: &str| answer[name].as_str().unwrap_or_default();
    let mut text = format!("{} {}", field("key"), field("outcome"));
    if !field("code").is_empty() {
        text += &format!(" {}", field("code"));
    }
    if !field("detail").is_empty() {
        text += &format!(": {}", field("detail"));
    }
    if let Some(ms) = answer["retry_after_ms"].as_u64() {
        text += &format!(" (try again in {ms} ms)");
    }
    for result in answer["results"].as_array().into_iter().flatten() {
        text += &format!("\n{}", result.as_str().unwrap_or_default());
    }
    text
}

fn read_input(file: &Path) -> Result<Vec<u8>, Failure> {
    let fail = |source| Failure::File { path: file.display().to_string(), source };
    if file == Path::new("-") {
        let mut body = Vec::new();
        std::io::stdin().read_to_end(&mut body).map_err(fail)?;
        return Ok(body);
    }
    std::fs::read(file).map_err(fail)
}

fn new_key() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}-cli-{:016x}", now.as_millis(), fastrand::u64(..))
}
