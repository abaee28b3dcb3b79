//! Append-only record of what a stand-in saw.

use std::{
    fs::{File, OpenOptions},
    io::{BufRead, BufReader, Write},
    path::Path,
    sync::{Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use strum::{Display, EnumString};

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Happening {
    /// A task started.
    Started,
    /// A task ran to its end.
    Finished,
    /// A task ran and failed.
    Failed,
    /// A task was stopped.
    Stopped,
    /// A start was refused.
    Refused,
    /// A question about a task was answered.
    Settled,
    /// A holder was fenced.
    Fenced,
    /// A fault was switched on or off.
    Switched,
    /// A transaction took effect; the detail holds its version and rows.
    Written,
    /// The stand-in started, without faults and without tasks.
    Opened,
    /// The lease of a running task lapsed, which stopped the task.
    Lapsed,
    /// A task ended, but the connection that started it was gone.
    Undelivered,
    /// The platform's list shows a state of an instance; the detail is the state.
    Listed,
    /// The platform lost the answer of a write that took effect.
    AnswerLost,
}

/// One line of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unix time in milliseconds.
    pub ms: u64,
    /// Who recorded it.
    pub who: String,
    /// What happened.
    pub what: Happening,
    /// Task, holder or row.
    pub name: String,
    /// More about it.
    pub detail: String,
}

/// A record, in memory only when it has no file.
#[derive(Debug)]
pub struct Record {
    who: String,
    file: Option<Mutex<File>>,
}

impl Record {
    /// Opens a record to append to.
    ///
    /// # Errors
    /// When the file cannot be opened.
    pub fn open(who: impl Into<String>, path: Option<&Path>) -> std::io::Result<Self> {
        let open = |path: &Path| OpenOptions::new().create(true).append(true).open(path);
        let file = path.map(open).transpose()?.map(Mutex::new);
        Ok(Self { who: who.into(), file })
    }

    /// Appends a line.
    ///
    /// # Panics
    /// When the line cannot be written: a proof with a hole in its record is worth nothing.
    pub fn append(&self, what: Happening, name: impl Into<String>, detail: impl Into<String>) {
        let Some(file) = &self.file else { return };
        let entry = Entry {
            ms: unix_ms(),
            who: self.who.clone(),
            what,
            name: name.into(),
            detail: detail.into(),
        };
        let mut line = serde_json::to_vec(&entry).expect("an entry is JSON");
        line.push(b'\n');
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(&line).expect("write the record");
    }
}

/// Reads a record; a last line cut off by a kill is left out.
///
/// # Errors
/// When the file cannot be read or a line before the last is no entry.
pub fn read_record(path: &Path) -> anyhow::Result<Vec<Entry>> {
    read_lines(path)
}

/// Reads a file of JSON lines; a last line cut off by a kill is left out.
pub(crate) fn read_lines<T: DeserializeOwned>(path: &Path) -> anyhow::Result<Vec<T>> {
    let lines: Vec<String> = BufReader::new(File::open(path)?).lines().collect::<Result<_, _>>()?;
    let mut entries = Vec::with_capacity(lines.len());
    for (index, line) in lines.iter().enumerate() {
        match serde_json::from_str(line) {
            Ok(entry) => entries.push(entry),
            Err(_) if index + 1 == lines.len() => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(entries)
}

/// Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
