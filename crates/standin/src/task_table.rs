//! Tasks that an endpoint stand-in knows.

use std::collections::VecDeque;

use async_channel::{Receiver, Sender};
use cranberryhatch_types::{Holder, TaskName};
use http::StatusCode;
use serde::Serialize;

/// Time for which an ended task or a tombstone is remembered, in milliseconds.
pub const RETAIN_MS: u64 = 5 * 60 * 1_000;

/// What became of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state", content = "result")]
pub enum Fate {
    /// It runs.
    Running,
    /// It ran to its end, with this result.
    Done(String),
    /// It ran and failed, or was stopped.
    Failed(String),
    /// It did not start and never will.
    Never,
}

/// Whether a start is admitted.
#[derive(Debug)]
pub enum Admission {
    /// The task runs until the channel is closed or its run time has passed.
    Run(Receiver<()>),
    /// The start is refused with a status and a code.
    Refuse(StatusCode, &'static str),
}

/// Tasks, leases and fences of one endpoint; all times are Unix milliseconds.
#[derive(Debug)]
pub struct TaskTable {
    slots: u32,
    tasks: Vec<(TaskName, Task)>,
    running: Vec<TaskName>,
    fences: Vec<Holder>,
    usage: VecDeque<(u64, u32)>,
}

#[derive(Debug)]
struct Task {
    holder: Option<Holder>,
    fate: Fate,
    /// End of the lease of a running task, or when an ended one is forgotten.
    until: u64,
    stop: Option<Sender<()>>,
}

impl TaskTable {
    /// A table of a worker with a number of slots.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        Self {
            slots,
            tasks: Vec::new(),
            running: Vec::new(),
            fences: Vec::new(),
            usage: VecDeque::new(),
        }
    }

    /// Admits a start; `refusal` is what a fault answers in place of a start.
    pub fn admit(
        &mut self,
        now: u64,
        name: &TaskName,
        holder: &Holder,
        lease: u64,
        refusal: Option<&'static str>,
    ) -> Admission {
        let place = match self.place(name) {
            Ok(place) if self.tasks[place].1.fate == Fate::Never => {
                return Admission::Refuse(StatusCode::GONE, "fenced");
            }
            Ok(_) => return Admission::Refuse(StatusCode::CONFLICT, "duplicate"),
            Err(place) => place,
        };
        if self.is_fenced(holder) {
            return Admission::Refuse(StatusCode::GONE, "fenced");
        }
        if let Some(code) = refusal {
            return Admission::Refuse(StatusCode::SERVICE_UNAVAILABLE, code);
        }
        if self.used() >= self.slots {
            return Admission::Refuse(StatusCode::SERVICE_UNAVAILABLE, "busy");
        }
        let (stop, stopped) = async_channel::bounded(1);
        let task = Task {
            holder: Some(holder.clone()),
            fate: Fate::Running,
            until: now + lease,
            stop: Some(stop),
        };
        self.tasks.insert(place, (name.clone(), task));
        self.running.push(name.clone());
        self.note_usage(now);
        Admission::Run(stopped)
    }

    /// Records the end of a task that ran.
    pub fn finish(&mut self, now: u64, name: &TaskName, fate: Fate) {
        self.running.retain(|running| running != name);
        self.note_usage(now);
        if let Ok(place) = self.place(name) {
            let task = &mut self.tasks[place].1;
            task.fate = fate;
            task.stop = None;
            task.until = now + RETAIN_MS;
        }
    }

    /// What became of a task; one that is not known will never start.
    pub fn settle(&mut self, now: u64, name: TaskName) -> Fate {
        match self.place(&name) {
            Ok(place) => self.tasks[place].1.fate.clone(),
            Err(place) => {
                let until = now + RETAIN_MS;
                let task = Task { holder: None, fate: Fate::Never, until, stop: None };
                self.tasks.insert(place, (name, task));
                Fate::Never
            }
        }
    }

    /// Refuses later starts of a holder, and gives its tasks to `adopter`.
    pub fn fence(
        &mut self,
        now: u64,
        holder: &Holder,
        adopter: Option<&Holder>,
        lease: u64,
    ) -> Vec<(TaskName, Fate)> {
        match self.fences.iter_mut().find(|fence| fence.instance == holder.instance) {
            Some(fence) => fence.incarnation = fence.incarnation.max(holder.incarnation),
            None => self.fences.push(holder.clone()),
        }
        let mut found = Vec::new();
        for (name, task) in &mut self.tasks {
            if !task.holder.as_ref().is_some_and(|held| covers(holder, held)) {
                continue;
            }
            if let Some(adopter) = adopter {
                task.holder = Some(adopter.clone());
                if task.fate == Fate::Running {
                    task.until = now + lease;
                }
            }
            found.push((name.clone(), task.fate.clone()));
        }
        found
    }

    /// Renews the leases of a holder's tasks.
    pub fn renew(&mut self, now: u64, holder: &Holder, lease: u64) {
        for name in self.running.clone() {
            if let Ok(place) = self.place(&name) {
                let task = &mut self.tasks[place].1;
                if task.holder.as_ref() == Some(holder) {
                    task.until = now + lease;
                }
            }
        }
    }

    /// Stops a task that runs; whether it did.
    pub fn stop(&mut self, name: &TaskName) -> bool {
        // Dropping the sender stops the task.
        self.place(name).is_ok_and(|place| self.tasks[place].1.stop.take().is_some())
    }

    /// Stops the running tasks whose lease has lapsed.
    pub fn lapse(&mut self, now: u64) -> Vec<TaskName> {
        let lapsed = |table: &Self, name: &TaskName| {
            table.place(name).is_ok_and(|place| table.tasks[place].1.until < now)
        };
        let running = self.running.clone();
        let names: Vec<_> = running.into_iter().filter(|name| lapsed(self, name)).collect();
        names.into_iter().filter(|name| self.stop(name)).collect()
    }

    /// Forgets tasks that ended longer than [`RETAIN_MS`] ago.
    pub fn prune(&mut self, now: u64) {
        self.tasks.retain(|(_, task)| task.fate == Fate::Running || task.until >= now);
    }

    /// Slots in use.
    #[must_use]
    pub fn used(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Free slots as they were at an earlier time.
    pub fn free_at(&mut self, then: u64) -> u32 {
        while self.usage.get(1).is_some_and(|(at, _)| *at <= then) {
            self.usage.pop_front();
        }
        let used = self.usage.front().filter(|(at, _)| *at <= then).map_or(0, |(_, used)| *used);
        self.slots.saturating_sub(used)
    }

    /// Number of tasks remembered.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether no task is remembered.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    fn place(&self, name: &TaskName) -> Result<usize, usize> {
        self.tasks.binary_search_by(|(known, _)| known.cmp(name))
    }

    fn is_fenced(&self, holder: &Holder) -> bool {
        self.fences.iter().any(|fence| covers(fence, holder))
    }

    fn note_usage(&mut self, now: u64) {
        let used = self.used();
        self.usage.push_back((now, used));
        if self.usage.len() > 4_096 {
            self.usage.pop_front();
        }
    }
}

/// Whether a fence of `fence` covers the life `held`.
fn covers(fence: &Holder, held: &Holder) -> bool {
    fence.instance == held.instance && held.incarnation <= fence.incarnation
}
