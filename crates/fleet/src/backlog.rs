//! Backlog: the order in which waiting tasks are granted capacity.
//!
//! It is designed for bursts that exceed the capacity, in which short tasks with tight latency
//! targets arrive among long ones with slack. In order of arrival, jobs of every kind would be
//! late. In order of the latest start, the jobs that can still be on time go first, and late ones
//! get the capacity that is left.

use std::cmp::Ordering;

use cranberryhatch_types::{InstanceId, Span, Time};

use crate::Need;

/// Multiple of the latency target up to which an answer is useful to the caller.
///
/// Users define an answer as late, but useful, up to three times the target.
const USEFUL_TARGETS: u64 = 3;

/// Tasks of one step of a job that wait for capacity.
#[derive(Clone, Debug)]
pub struct QueuedTasks {
    /// Instance that accepted the job.
    pub front: InstanceId,
    /// Availability zone of that instance.
    pub zone: String,
    /// Name of the job.
    pub job: String,
    /// Index of the step.
    pub step: u32,
    /// Indices of the waiting tasks.
    pub tasks: Vec<u32>,
    /// Kind of the job.
    pub kind: String,
    /// Service whose workers may run the tasks.
    pub service: String,
    /// Priority of the job; smaller numbers are served first.
    pub priority: u32,
    /// Resources that each task needs.
    pub need: Need,
    /// Expected run time of each task.
    pub expected: Span,
    /// Latest start that meets the latency target.
    pub latest_start: Time,
    /// Latest end that meets the latency target.
    pub due: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Latest start with a useful result.
    pub useful_start: Time,
    /// Label that a worker must have; empty for any.
    pub label: String,
    /// Rack of the data; empty for none.
    pub rack: String,
    /// Maximum number of tasks of the step per worker; 0 for no limit.
    pub spread: u32,
    /// Workers on which tasks of the job failed or stalled.
    pub avoid: Vec<String>,
    /// Whether a task of the job has started.
    pub begun: bool,
    /// Whether a worker was lost under the task, which may have crashed it. Such a task is queued
    /// by itself.
    pub suspect: bool,
    /// When the start of the last task was first forecast, and the forecast wait.
    pub forecast: Option<(Time, Span)>,
}

impl QueuedTasks {
    /// Returns the work in thousandths of a core times milliseconds.
    #[must_use]
    pub fn work(&self) -> u64 {
        let tasks = self.tasks.len() as u64;
        tasks * u64::from(self.need.cores.get().max(1)) * self.expected.as_ms()
    }

    /// Compares tasks that can still be on time. Jobs that have started come first, because they
    /// free their capacity soonest.
    fn compare(&self, other: &Self) -> Ordering {
        let key = |w: &Self| (w.priority, !w.begun, w.latest_start);
        key(self).cmp(&key(other))
    }
}

/// Returns the latest start of a job that meets its latency target, and the latest start with a
/// useful result.
#[must_use]
pub fn latest_starts(arrived: Time, deadline: Time, target: Span, expected: Span) -> (Time, Time) {
    let useful_until = arrived + Span::from_ms(target.as_ms() * USEFUL_TARGETS);
    (arrived + target - expected, useful_until.min(deadline) - expected)
}

/// All waiting tasks in the order in which they are granted capacity: by priority, and within a
/// priority, late ones after those that can be on time.
#[derive(Debug, Default)]
pub struct Backlog {
    entries: Vec<BacklogEntry>,
}

/// Waiting tasks and their state in the queue.
#[derive(Debug)]
pub struct BacklogEntry {
    /// The waiting tasks.
    pub queued: QueuedTasks,
    /// Whether they can no longer be on time.
    pub late: bool,
    /// Whether their zone has had its share, so that tasks of other zones go first.
    pub deferred: bool,
    /// Whether load shedding has retained them before.
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
    /// Inserts tasks in order, after entries of the same rank.
    pub fn add(&mut self, queued: QueuedTasks, now: Time) {
        self.insert(BacklogEntry::new(queued, now));
    }

    fn insert(&mut self, entry: BacklogEntry) {
        let index = self.entries.partition_point(|known| known.compare(&entry).is_le());
        self.entries.insert(index, entry);
    }

    /// Moves tasks that can no longer be on time after all others of their priority.
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

    /// Moves timely tasks of zones that have had their share after the other timely tasks of their
    /// priority.
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

    /// Returns the entries of a service in the order in which they are granted capacity.
    pub fn service_entries_mut<'a>(
        &'a mut self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a mut BacklogEntry> {
        self.entries.iter_mut().filter(move |entry| entry.queued.service == service)
    }

    /// Returns the waiting tasks in the order in which they are granted capacity.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedTasks> {
        self.entries.iter().map(|entry| &entry.queued)
    }

    /// Returns the waiting tasks in the order in which they are granted capacity, for removal of
    /// granted tasks.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut QueuedTasks> {
        self.entries.iter_mut().map(|entry| &mut entry.queued)
    }

    /// Removes the entries for which `matches` returns true.
    pub fn remove(&mut self, mut matches: impl FnMut(&QueuedTasks) -> bool) {
        self.entries.retain(|entry| !matches(&entry.queued));
    }

    /// Removes and returns the entries for which `matches` returns true.
    pub fn extract(&mut self, mut matches: impl FnMut(&QueuedTasks) -> bool) -> Vec<QueuedTasks> {
        let taken = self.entries.extract_if(.., |entry| matches(&entry.queued));
        taken.map(|entry| entry.queued).collect()
    }

    /// Removes entries without tasks.
    pub fn remove_empty(&mut self) {
        self.remove(|queued| queued.tasks.is_empty());
    }

    /// Returns the number of entries.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
