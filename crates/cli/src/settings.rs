//! Commands on the settings tree.

use std::{path::Path as FilePath, time::Duration};

use bytes::Bytes;
use cranberryhatch_schema::{Key, Values};
use cranberryhatch_settings::{Change, Path, Tree};
use http::Method;
use serde_json::{Value, json};
use strum::IntoEnumIterator as _;

use crate::{
    args::{Output, SettingsCommand},
    client::ApiClient,
    exit::Exit,
    failure::Failure,
    output::{print, table},
};

/// Path of the tree in the administration API.
const SETTINGS: &str = "/v1/admin/settings";
/// Columns of the history.
const HISTORY: [&str; 5] = ["to", "from", "when", "who", "why"];

/// A tree as an instance has it in force.
pub struct Versioned {
    version: u64,
    /// The tree.
    pub tree: Tree,
}

/// Checks a file and prints every fault.
pub fn check(file: &FilePath) -> Result<Exit, Failure> {
    read_tree(file)?;
    println!("{}: no faults", file.display());
    Ok(Exit::Success)
}

/// Runs a command on the settings tree.
pub fn run(client: &ApiClient, command: &SettingsCommand, output: Output) -> Result<Exit, Failure> {
    match command {
        SettingsCommand::Get { path, key } => {
            get(&fetch(client)?, path.as_deref(), key.as_deref(), output)
        }
        SettingsCommand::Set { path, key, value, why } => {
            change(client, path, key, Some(value), why, output)
        }
        SettingsCommand::Unset { path, key, why } => change(client, path, key, None, why, output),
        SettingsCommand::Diff { file } => {
            let changes = fetch(client)?.tree.diff(&read_tree(file)?);
            print_changes(&changes, output)?;
            Ok(Exit::Success)
        }
        SettingsCommand::Import { file, why } => {
            let now = fetch(client)?;
            put(client, &now, &read_tree(file)?, why, output)
        }
        SettingsCommand::Export { file } => export(&fetch(client)?, file.as_deref()),
        SettingsCommand::History => {
            let rows = history(client)?;
            print(output, &json!({ "entries": rows }), |_| table(&rows, &HISTORY))?;
            Ok(Exit::Success)
        }
    }
}

/// Reads the newest tree that an instance knows.
///
/// # Errors
/// When no instance answers, or the answer is no tree.
pub fn fetch(client: &ApiClient) -> Result<Versioned, Failure> {
    let response = client.send(&Method::GET, SETTINGS, &[], &Bytes::new(), Duration::ZERO)?;
    let version = response.headers().get("etag").and_then(|tag| tag.to_str().ok());
    let version = version.and_then(|tag| tag.trim_matches('"').parse().ok());
    let version = version.ok_or(Failure::NoVersion)?;
    let text = String::from_utf8_lossy(response.body());
    Ok(Versioned { version, tree: Tree::parse(&text)? })
}

fn history(client: &ApiClient) -> Result<Vec<Value>, Failure> {
    let mut rows = Vec::new();
    let mut path = format!("{SETTINGS}/history");
    loop {
        let mut page: Value = client.get(&path)?;
        if let Some(entries) = page["entries"].as_array_mut() {
            rows.append(entries);
        }
        match page["next"].as_u64() {
            Some(next) => path = format!("{SETTINGS}/history?after={next}"),
            None => return Ok(rows),
        }
    }
}

fn get(
    now: &Versioned,
    path: Option<&str>,
    key: Option<&str>,
    output: Output,
) -> Result<Exit, Failure> {
    let Some(path) = path else {
        let value = json!({ "version": now.version, "tree": now.tree.to_ini() });
        print(output, &value, |value| value["tree"].as_str().unwrap_or_default().to_owned())?;
        return Ok(Exit::Success);
    };
    let values = values_at(&now.tree, &path.parse()?);
    let keys = match key {
        Some(key) => vec![parse_key(key)?],
        None => Key::iter().collect(),
    };
    let rows: Vec<Value> = keys
        .into_iter()
        .map(|key| json!({ "key": key.to_string(), "value": values.get(key) }))
        .collect();
    print(output, &json!({ "version": now.version, "values": rows }), |_| {
        table(&rows, &["key", "value"])
    })?;
    Ok(Exit::Success)
}

fn values_at(tree: &Tree, path: &Path) -> Values {
    // A place without a zone of its own inherits from no zone: this id names none.
    let none = "none".parse().expect("a valid id");
    match path {
        Path::Root | Path::Deployment(_) | Path::Operator(_) => tree.global(),
        Path::Zone(zone) => tree.resolve(zone, None, None),
        Path::Team(team) => tree.resolve(&none, Some(team), None),
        Path::Kind(team, kind) => tree.resolve(&none, Some(team), Some(kind)),
    }
}

fn change(
    client: &ApiClient,
    path: &str,
    key: &str,
    value: Option<&str>,
    why: &str,
    output: Output,
) -> Result<Exit, Failure> {
    let now = fetch(client)?;
    let tree = now.tree.with(&path.parse()?, parse_key(key)?, value)?;
    put(client, &now, &tree, why, output)
}

/// Puts a tree in force in place of `now`, and prints the changes; warnings of the instance go to
/// standard error.
///
/// # Errors
/// When the instance refuses the tree, or somebody else was first.
pub fn put(
    client: &ApiClient,
    now: &Versioned,
    tree: &Tree,
    why: &str,
    output: Output,
) -> Result<Exit, Failure> {
    let version = now.version.to_string();
    let headers = [("if-match", version.as_str()), ("x-reason", why)];
    let body = Bytes::from(tree.to_ini());
    let response = client.send(&Method::PUT, SETTINGS, &headers, &body, Duration::ZERO)?;
    let answer: Value = serde_json::from_slice(response.body())?;
    for warning in answer["warnings"].as_array().into_iter().flatten().filter_map(Value::as_str) {
        eprintln!("cranberryhatch: warning: {warning}");
    }
    print_changes(&now.tree.diff(tree), output)?;
    Ok(Exit::Success)
}

fn export(now: &Versioned, file: Option<&FilePath>) -> Result<Exit, Failure> {
    let text = now.tree.to_ini();
    match file {
        None => print!("{text}"),
        Some(file) => std::fs::write(file, text)
            .map_err(|source| Failure::File { path: file.display().to_string(), source })?,
    }
    Ok(Exit::Success)
}

/// Prints changes of a tree.
///
/// # Errors
/// When standard output cannot be written.
pub fn print_changes(changes: &[Change], output: Output) -> Result<(), Failure> {
    let rows: Vec<Value> = changes
        .iter()
        .map(|change| {
            json!({
                "path": change.path.to_string(), "key": change.key.to_string(),
                "from": change.from, "to": change.to,
            })
        })
        .collect();
    print(output, &json!({ "changes": rows }), |_| match changes {
        [] => "no changes".to_owned(),
        changes => changes.iter().map(|change| format!("{change}\n")).collect(),
    })
}

fn read_tree(file: &FilePath) -> Result<Tree, Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| Failure::File { path: file.display().to_string(), source })?;
    Ok(Tree::parse(&text)?)
}

fn parse_key(text: &str) -> Result<Key, Failure> {
    text.parse().map_err(|_| Failure::UnknownKey(text.to_owned()))
}
