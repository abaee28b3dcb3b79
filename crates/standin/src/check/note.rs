//! Journal of a driver: what it sent and got.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::{check::Call, record::read_lines};

/// One line of a journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "note")]
pub enum Note {
    /// An exchange.
    Call(Call),
    /// A settings version in force at an instance, asked for at a Unix time in milliseconds.
    Seen {
        /// When it was asked for.
        ms: u64,
        /// The instance.
        instance: String,
        /// The version.
        version: u64,
    },
    /// An operator was told that a settings version is accepted.
    Accepted {
        /// When, in Unix milliseconds.
        ms: u64,
        /// The operator.
        operator: String,
        /// The version.
        version: u64,
    },
    /// An instance was told to stop and ended.
    Stopped {
        /// The instance.
        instance: String,
        /// When it was told, in Unix milliseconds.
        from: u64,
        /// When it had ended, in Unix milliseconds.
        to: u64,
    },
    /// A time in which an instance could not reach the platform.
    CutOff {
        /// The instance.
        instance: String,
        /// Start, in Unix milliseconds.
        from: u64,
        /// End, in Unix milliseconds.
        to: u64,
    },
    /// A request that must be refused with a typed error.
    BadInput {
        /// When it was sent, in Unix milliseconds.
        ms: u64,
        /// The instance.
        instance: String,
        /// What was wrong with it.
        what: String,
        /// Status of the answer.
        status: u16,
        /// Code of the answer.
        code: String,
    },
    /// A time in which nothing could reach an instance: it was down, paused or cut off from the
    /// platform and from its peers.
    Isolated {
        /// The instance.
        instance: String,
        /// Start, in Unix milliseconds.
        from: u64,
        /// End, in Unix milliseconds.
        to: u64,
    },
}

/// An append-only journal.
#[derive(Debug)]
pub struct Journal {
    file: Mutex<File>,
}

impl Journal {
    /// Opens a journal to append to.
    ///
    /// # Errors
    /// When the file cannot be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self { file: Mutex::new(file) })
    }

    /// Appends a note.
    ///
    /// # Panics
    /// When it cannot be written: a journal with a hole proves nothing.
    pub fn append(&self, note: &Note) {
        let mut line = serde_json::to_vec(note).expect("a note is JSON");
        line.push(b'\n');
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(&line).expect("write the journal");
    }
}

/// Reads a journal.
///
/// # Errors
/// When the file cannot be read or a line before the last is no note.
pub fn read_notes(path: &Path) -> anyhow::Result<Vec<Note>> {
    read_lines(path)
}
