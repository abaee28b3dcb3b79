//! Folder of one run.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use crate::cleanup;

/// Folder of settings, records and logs of one run; removed when dropped unless it is kept.
pub struct Folder {
    path: PathBuf,
    keep: bool,
}

impl Folder {
    /// Makes an empty folder.
    ///
    /// # Errors
    /// When it cannot be made.
    pub fn new() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("cranberryhatch-{}", std::process::id()));
        if path.exists() {
            fs::remove_dir_all(&path)?;
        }
        fs::create_dir_all(&path)?;
        cleanup::set_folder(Some(path.clone()));
        Ok(Self { path, keep: false })
    }

    /// Its path.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Keeps it for people to read.
    pub fn keep(&mut self) {
        self.keep = true;
        cleanup::set_folder(None);
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.keep {
            // A folder that cannot be removed does not change the verdict of the run.
            let _ = fs::remove_dir_all(&self.path);
            cleanup::set_folder(None);
        }
    }
}
