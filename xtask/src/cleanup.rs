//! Ends what a chore started when the chore itself is told to stop.

use std::{
    path::PathBuf,
    process::Command,
    sync::{Mutex, Once, PoisonError},
};

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// Exit status after a signal.
const INTERRUPTED: i32 = 130;

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);
static WATCH: Once = Once::new();

/// Notes a process that a signal must end.
pub fn add(pid: u32) {
    WATCH.call_once(watch);
    STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(pid);
}

/// Forgets a process that has ended, before its id can be used again.
pub fn remove(pid: u32) {
    STARTED.lock().unwrap_or_else(PoisonError::into_inner).retain(|known| *known != pid);
}

/// Sets the folder that a signal must remove.
pub fn set_folder(folder: Option<PathBuf>) {
    *FOLDER.lock().unwrap_or_else(PoisonError::into_inner) = folder;
}

fn watch() {
    // Without the handler, a signal ends the chore as usual and leaves its processes.
    let Ok(mut signals) = Signals::new([SIGINT, SIGTERM]) else { return };
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            let started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
            for pid in started.iter() {
                let _ = Command::new("kill").arg("-KILL").arg(pid.to_string()).status();
            }
            let folder = FOLDER.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(folder) = &*folder {
                let _ = std::fs::remove_dir_all(folder);
            }
            std::process::exit(INTERRUPTED);
        }
    });
}
