//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// A run as a worker saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub task: String,
    pub worker: String,
    pub from: Duration,
    /// `None` while it runs.
    pub until: Option<Duration>,
}

pub struct Record {
    epoch: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Seen>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a record");
        Self { epoch: Instant::now(), file: Mutex::new(file), runs: Mutex::default() }
    }

    pub fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    pub fn add(&self, what: &str, detail: &str) {
        let line = format!("{:8.3} {what:<8} {detail}\n", self.now().as_secs_f64());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
    }

    pub fn started(&self, task: &str, worker: &str) {
        let (task, worker) = (task.to_owned(), worker.to_owned());
        let seen = Seen { task, worker, from: self.now(), until: None };
        self.runs.lock().expect("runs").push(seen);
    }

    pub fn ended(&self, task: &str, worker: &str) {
        let now = self.now();
        let mut runs = self.runs.lock().expect("runs");
        let is_run =
            |seen: &&mut Seen| seen.task == task && seen.worker == worker && seen.until.is_none();
        if let Some(seen) = runs.iter_mut().rev().find(is_run) {
            seen.until = Some(now);
        }
    }

    pub fn runs(&self) -> Vec<Seen> {
        self.runs.lock().expect("runs").clone()
    }
}
