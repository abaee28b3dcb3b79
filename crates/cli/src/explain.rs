//! The story of one job, from the logs of several instances.

use std::{
    io::{StdoutLock, Write},
    path::PathBuf,
};

use jiff::{SignedDuration, Timestamp};
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::{args::Output, exit::Exit, failure::Failure};

/// Time before the first and after the last line of the job from which changes of state are shown.
const CONTEXT: SignedDuration = SignedDuration::from_millis(1_500);

/// Changes of state that explain what became of a job.
const STATE: [&str; 15] = [
    "front-runs-stopped",
    "peer-down",
    "peer-up",
    "scheduler-changed",
    "worker-dark",
    "worker-dropped",
    "worker-opened",
    "store-lost",
    "store-regained",
    "settings",
    "paused",
    "started",
    "stopping",
    "stopped",
    "lines-dropped",
];

/// Lines of a job in the order in which they can only have happened.
const ORDER: [&str; 4] = ["admitted", "granted", "run-ended", "answered"];

/// Lines of a job that only its front writes.
const FRONT: [&str; 11] = [
    "admitted",
    "admitted-stopping",
    "answered",
    "caller-gone",
    "expired",
    "resubmitted",
    "run-expired",
    "run-lost",
    "run-restarted",
    "start-retried",
    "superseded",
];

/// One log line.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: Timestamp,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
    #[serde(skip)]
    instance: String,
}

impl Line {
    /// Whether it is about a job, about a run of one of its tasks or about a request for it.
    fn is_about(&self, job: &str) -> bool {
        let text = |key: &str| self.kvs.get(key).and_then(Value::as_str);
        let of_run = |run: &str| run.split('.').next() == Some(job);
        let of_request = |request: &str| request.rsplit('/').next() == Some(job);
        text("job") == Some(job)
            || text("run").is_some_and(of_run)
            || text("request").is_some_and(of_request)
    }

    fn fields(&self) -> String {
        let fields = self.kvs.iter().map(|(key, value)| match value {
            Value::String(text) => format!("{key}={text}"),
            other => format!("{key}={other}"),
        });
        fields.collect::<Vec<_>>().join(" ")
    }
}

/// Prints what the logs say of a job.
pub fn run(job: &str, files: &[PathBuf], output: Output) -> Result<Exit, Failure> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    lines.sort_by_key(|line| line.timestamp);
    let times: Vec<Timestamp> =
        lines.iter().filter(|line| line.is_about(job)).map(|line| line.timestamp).collect();
    let mut out = std::io::stdout().lock();
    let (Some(first), Some(last)) = (times.first(), times.last()) else {
        writeln!(out, "no line about {job}; routine lines are kept for one job in 16")?;
        return Ok(Exit::Local);
    };
    let (from, to) = (*first - CONTEXT, *last + CONTEXT);
    let story = lines.iter().filter(|line| {
        let near = line.timestamp >= from && line.timestamp <= to;
        line.is_about(job) || (near && STATE.contains(&line.message.as_str()))
    });
    for line in story {
        print(&mut out, line, job, output)?;
    }
    let fronts = fronts(&lines, job);
    if fronts.len() > 1 {
        writeln!(out, "submitted at {} instances: {}", fronts.len(), fronts.join(", "))?;
    }
    for skew in skews(&lines, job) {
        writeln!(out, "{skew}")?;
    }
    Ok(Exit::Success)
}

fn print(out: &mut StdoutLock<'_>, line: &Line, job: &str, output: Output) -> std::io::Result<()> {
    let Line { timestamp, message, kvs, instance } = line;
    match output {
        Output::Text => {
            let mark = if line.is_about(job) { '*' } else { ' ' };
            writeln!(out, "{mark} {timestamp} {instance:24} {message:18} {}", line.fields())
        }
        Output::Json => {
            let text = serde_json::json!({
                "timestamp": timestamp, "instance": instance, "message": message, "kvs": kvs,
            });
            writeln!(out, "{text}")
        }
    }
}

/// Reads a log; each line may have something before its JSON, such as the name of the instance.
fn read(file: &PathBuf) -> Result<Vec<Line>, Failure> {
    let path = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|source| Failure::File { path: path.clone(), source })?;
    let mut instance = file.file_stem().map_or(path, |stem| stem.to_string_lossy().into_owned());
    let mut lines = Vec::new();
    for text in text.lines() {
        let Some(start) = text.find('{') else { continue };
        // Other programs may write to the same file.
        let Ok(mut line) = serde_json::from_str::<Line>(&text[start..]) else { continue };
        if let Some(name) = line.kvs.get("instance").and_then(Value::as_str) {
            name.clone_into(&mut instance);
        }
        let before = text[..start].split_whitespace().last();
        line.instance = before.map_or_else(|| instance.clone(), str::to_owned);
        lines.push(line);
    }
    Ok(lines)
}

/// Returns the fronts of a job, sorted.
fn fronts<'a>(lines: &'a [Line], job: &str) -> Vec<&'a str> {
    let front_of = |line: &'a Line| {
        let named = line.kvs.get("front").and_then(Value::as_str).filter(|front| *front != "none");
        let is_own = FRONT.contains(&line.message.as_str());
        if is_own { Some(line.instance.as_str()) } else { named }
    };
    let mut fronts: Vec<&str> =
        lines.iter().filter(|line| line.is_about(job)).filter_map(front_of).collect();
    fronts.sort_unstable();
    fronts.dedup();
    fronts
}

/// Clock differences that show: a line that can only come later has an earlier time.
fn skews(lines: &[Line], job: &str) -> Vec<String> {
    let rank = |line: &Line| ORDER.iter().position(|name| *name == line.message);
    let ranked: Vec<(usize, &Line)> = lines
        .iter()
        .filter(|line| line.is_about(job))
        .filter_map(|line| Some((rank(line)?, line)))
        .collect();
    let mut found = Vec::new();
    for (before, earlier) in &ranked {
        for (after, later) in &ranked {
            let contradicts = before < after && earlier.timestamp > later.timestamp;
            if contradicts && earlier.instance != later.instance {
                let ms = earlier.timestamp.duration_since(later.timestamp).as_millis();
                found.push(format!(
                    "the clock of {} is at least {ms} ms ahead of that of {}",
                    earlier.instance, later.instance
                ));
            }
        }
    }
    found.sort();
    found.dedup();
    found
}
