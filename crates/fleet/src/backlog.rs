//! Queueing: the order in which waiting tasks get room.
//!
//! The load it answers is a burst above all room: short tasks with tight objectives arrive among long
//! ones with slack. In order of arrival every kind would be late; in order of the latest useful
//! start, what can still be on time goes first, and what cannot gets only the room that is left.

use std::cmp::Ordering;

use cranberryhatch_types::{InstanceId, Span, Time};

use crate::Need;

/// Times the objective after which an answer is of no use to the caller.
///
/// Source: the users' rule that an answer is late up to three times its objective.
const USEFUL_TARGETS: u64 = 3;

/// Tasks of one step of a job that wait for room.
#[derive(Clone, Debug)]
pub struct QueuedTasks {
    /// Instance that has the job.
    pub front: InstanceId,
    /// Zone of that instance.
    pub zone: String,
    /// Name of the job.
    pub job: String,
    /// Number of the step.
    pub step: u32,
    /// Tasks that wait.
    pub tasks: Vec<u32>,
    /// Kind of job.
    pub kind: String,
    /// Service whose workers may run them.
    pub service: String,
    /// Smaller numbers come first.
    pub priority: u32,
    /// Size of each task.
    pub need: Need,
    /// Expected run time of each task.
    pub expected: Span,
    /// Latest start that meets the objective.
    pub latest_start: Time,
    /// Latest end that meets the objective.
    pub due: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Latest start that is of any use.
    pub useful_start: Time,
    /// Label that a worker must have; empty for any.
    pub label: String,
    /// Rack near the data; empty for none.
    pub rack: String,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub spread: u32,
    /// Workers on which tasks of the job failed or stalled.
    pub avoid: Vec<String>,
    /// Whether a task of the job has started.
    pub begun: bool,
    /// When it was first forecast when the last task starts, and the wait that was expected.
    pub forecast: Option<(Time, Span)>,
}

impl QueuedTasks {
    /// Work in thousandths of a core times milliseconds.
    #[must_use]
    pub fn work(&self) -> u64 {
        let tasks = self.tasks.len() as u64;
        tasks * u64::from(self.need.cores.get().max(1)) * self.expected.as_ms()
    }

    /// Order among those that can still be on time: jobs that have begun free their room soonest.
    fn compare(&self, other: &Self) -> Ordering {
        let key = |w: &Self| (w.priority, !w.begun, w.latest_start);
        key(self).cmp(&key(other))
    }
}

/// Latest starts of a job: the one that meets the objective, and the last one of any use.
#[must_use]
pub fn latest_starts(arrived: Time, deadline: Time, target: Span, expected: Span) -> (Time, Time) {
    let useful_until = arrived + Span::from_ms(target.as_ms() * USEFUL_TARGETS);
    (arrived + target - expected, useful_until.min(deadline) - expected)
}

/// All waiting tasks in the order in which they get room: by priority, and within a priority what
/// cannot be on time behind all that can.
#[derive(Debug, Default)]
pub struct Backlog {
    entries: Vec<BacklogEntry>,
}

/// Waiting tasks and what was found out about them.
#[derive(Debug)]
pub struct BacklogEntry {
    /// The tasks.
    pub queued: QueuedTasks,
    /// Whether they cannot be on time any more.
    pub late: bool,
    /// Whether their zone has had its share, so that those of others go first.
    pub deferred: bool,
    /// Whether they were found worth waiting before.
    pub retained: bool,
}

impl BacklogEntry {
    fn new(queued: QueuedTasks, now: Time) -> Self {
        let late = now > queued.latest_start && !queued.begun;
        Self { queued, late, deferred: false, retained: false }
    }

    fn compare(&self, other: &Self) -> Ordering {
        let class = |entry: &Self| (entry.queued.priority, entry.late, entry.deferred);
        class(self).cmp(&class(other)).then_with(|| {
            if self.late {
                self.queued.useful_start.cmp(&other.queued.useful_start)
            } else {
                self.queued.compare(&other.queued)
            }
        })
    }
}

impl Backlog {
    /// Adds tasks, behind those that come before them.
    pub fn add(&mut self, queued: QueuedTasks, now: Time) {
        self.insert(BacklogEntry::new(queued, now));
    }

    fn insert(&mut self, entry: BacklogEntry) {
        let index = self.entries.partition_point(|known| known.compare(&entry).is_le());
        self.entries.insert(index, entry);
    }

    /// Moves what cannot be on time any more behind all of its priority that can.
    pub fn demote_late(&mut self, now: Time) {
        let is_late = |entry: &BacklogEntry| {
            !entry.late && now > entry.queued.latest_start && !entry.queued.begun
        };
        if !self.entries.iter().any(is_late) {
            return;
        }
        let (late, timely) = std::mem::take(&mut self.entries).into_iter().partition(is_late);
        self.entries = timely;
        for entry in late {
            self.insert(BacklogEntry { late: true, deferred: false, ..entry });
        }
    }

    /// Puts timely entries of zones that have had their share behind all others of their priority.
    pub fn defer_zones(&mut self, is_overserved: impl Fn(&QueuedTasks) -> bool) {
        let mut changed = false;
        for entry in &mut self.entries {
            let deferred = !entry.late && !entry.queued.begun && is_overserved(&entry.queued);
            changed |= std::mem::replace(&mut entry.deferred, deferred) != deferred;
        }
        if changed {
            self.entries.sort_by(BacklogEntry::compare);
        }
    }

    /// Entries of a service in the order in which they get room.
    pub fn service_entries_mut<'a>(
        &'a mut self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a mut BacklogEntry> {
        self.entries.iter_mut().filter(move |entry| entry.queued.service == service)
    }

    /// Entries in the order in which they get room.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedTasks> {
        self.entries.iter().map(|entry| &entry.queued)
    }

    /// Entries in the order in which they get room, to take tasks from them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut QueuedTasks> {
        self.entries.iter_mut().map(|entry| &mut entry.queued)
    }

    /// Removes the entries for which `gone` holds.
    pub fn remove(&mut self, mut matches: impl FnMut(&QueuedTasks) -> bool) {
        self.entries.retain(|entry| !matches(&entry.queued));
    }

    /// Takes the entries for which `gone` holds out, in one pass.
    pub fn extract(&mut self, mut matches: impl FnMut(&QueuedTasks) -> bool) -> Vec<QueuedTasks> {
        let taken = self.entries.extract_if(.., |entry| matches(&entry.queued));
        taken.map(|entry| entry.queued).collect()
    }

    /// Removes entries without tasks.
    pub fn remove_empty(&mut self) {
        self.remove(|queued| queued.tasks.is_empty());
    }

    /// Number of entries.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
