//! All that is known of a run.

use std::path::Path;

use crate::{
    Entry,
    check::{Call, Note, read_notes},
    read_record,
};

/// All that is known of a run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Lines of all records.
    pub entries: Vec<Entry>,
    /// Lines of all journals.
    pub notes: Vec<Note>,
}

impl Evidence {
    /// Reads the files `*.record` and `*.journal` of a folder.
    ///
    /// # Errors
    /// When a file cannot be read.
    pub fn read(folder: &Path) -> anyhow::Result<Self> {
        let mut evidence = Self::default();
        for file in std::fs::read_dir(folder)? {
            let path = file?.path();
            match path.extension().and_then(|extension| extension.to_str()) {
                Some("record") => evidence.entries.extend(read_record(&path)?),
                Some("journal") => evidence.notes.extend(read_notes(&path)?),
                _ => {}
            }
        }
        evidence.entries.sort_by_key(|entry| entry.ms);
        Ok(evidence)
    }

    /// The exchanges of callers.
    pub fn calls(&self) -> impl Iterator<Item = &Call> {
        self.notes.iter().filter_map(|note| match note {
            Note::Call(call) => Some(call),
            _ => None,
        })
    }
}
