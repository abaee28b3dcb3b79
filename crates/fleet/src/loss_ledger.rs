//! Workers that were lost under tasks, to find the tasks that crash their workers.
//!
//! When a worker does not respond until the lease of its runs has ended, it has crashed or is out
//! of reach. Which of both is known seconds later, when the platform lists its successor. Until
//! then a loss is unresolved. A task is started again after a loss, but waits when its losses would
//! reach the limit if all of them were crashes.

use cranberryhatch_schema::fleet::LostRun;
use cranberryhatch_types::{Span, Time, WorkerId};

use crate::{Incarnation, TaskKey, VecMap, WorkerCrashes};

/// Number of workers that crashed under a task, after which it is given up: a single worker may
/// crash for any reason.
pub const CRASH_LIMIT: usize = 2;
/// The same if some of them did not refuse connections when their leases ended. Such a worker may
/// have been out of reach, and have crashed after the run had ended.
pub const SILENT_CRASH_LIMIT: usize = 3;
/// Time after which a worker without a successor counts as out of reach. Crashed workers are back
/// after some seconds.
const RESOLVE_TIME: Span = Span::from_secs(6);
/// Time for which a crash is remembered; longer than jobs last.
const RETENTION: Span = Span::from_secs(120);
/// Maximum number of jobs; the one with the oldest loss is dropped first.
const MAX_JOBS: usize = 2_000;

/// What the losses of a task allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No worker was lost under it.
    Clear,
    /// It may have crashed a worker, and may be started.
    Suspect,
    /// It may have crashed as many workers as are allowed, and must not be started until this is
    /// known.
    Unresolved,
    /// It is given up.
    Poisoned,
}

/// A worker process that was lost while it ran a task of a job.
#[derive(Clone, Debug)]
struct Loss {
    step: u32,
    task: u32,
    worker: WorkerId,
    incarnation: Incarnation,
    at: Time,
    refused: bool,
    crashed: bool,
}

impl Loss {
    /// Returns whether it is a recent crash or may turn out to be one.
    fn counts(&self, now: Time) -> bool {
        now.since(self.at) < if self.crashed { RETENTION } else { RESOLVE_TIME }
    }

    fn is_of(&self, step: u32, task: u32) -> bool {
        (self.step, self.task) == (step, task)
    }

    /// Returns whether both are losses of the same process; an unknown incarnation equals any.
    fn is_same(&self, other: &Self) -> bool {
        let (mine, theirs) = (self.incarnation, other.incarnation);
        let same_process = mine == theirs || !mine.is_known() || !theirs.is_known();
        self.is_of(other.step, other.task) && self.worker == other.worker && same_process
    }

    fn to_message(&self, job: &str, now: Time) -> LostRun {
        LostRun {
            job: job.to_owned(),
            step: self.step,
            task: self.task,
            worker: self.worker.to_string(),
            born_ms: self.incarnation.born_ms(),
            crashed: self.crashed,
            refused: self.refused,
            age_ms: u32::try_from(now.since(self.at).as_ms()).unwrap_or(u32::MAX),
        }
    }
}

/// Number of losses of a task.
#[derive(Clone, Copy, Debug, Default)]
struct LossCount {
    all: usize,
    // Those whose worker refused connections.
    refused: usize,
}

impl LossCount {
    fn add(&mut self, loss: &Loss) {
        self.all += 1;
        self.refused += usize::from(loss.refused);
    }

    const fn is_limit(self) -> bool {
        self.refused >= CRASH_LIMIT || self.all >= SILENT_CRASH_LIMIT
    }
}

/// Workers that were lost under tasks.
#[derive(Debug, Default)]
pub struct LossLedger {
    jobs: VecMap<String, Vec<Loss>>,
}

impl LossLedger {
    /// Records a worker that was lost while it ran a task. `refused` is whether it refused
    /// connections.
    pub fn record(
        &mut self,
        key: &TaskKey,
        worker: &WorkerId,
        incarnation: Incarnation,
        refused: bool,
        now: Time,
    ) {
        let (step, task, worker) = (key.step, key.task, worker.clone());
        let loss = Loss { step, task, worker, incarnation, at: now, refused, crashed: false };
        self.insert(&key.job, loss, now);
    }

    /// Adds the losses that another instance knows.
    pub fn merge(&mut self, runs: &[LostRun], now: Time) {
        for run in runs {
            let Ok(worker) = run.worker.parse() else { continue };
            let loss = Loss {
                step: run.step,
                task: run.task,
                worker,
                incarnation: Incarnation::new(run.born_ms),
                at: now - Span::from_ms(run.age_ms.into()),
                refused: run.refused,
                crashed: run.crashed,
            };
            self.insert(&run.job, loss, now);
        }
    }

    fn insert(&mut self, job: &str, loss: Loss, now: Time) {
        if !loss.counts(now) {
            return;
        }
        let losses = self.jobs.get_or_insert_with(job.to_owned(), Vec::new);
        match losses.iter_mut().find(|known| known.is_same(&loss)) {
            Some(known) => {
                known.crashed |= loss.crashed;
                known.refused |= loss.refused;
                known.at = known.at.min(loss.at);
                if !known.incarnation.is_known() {
                    known.incarnation = loss.incarnation;
                }
            }
            None => losses.push(loss),
        }
        if self.jobs.len() > MAX_JOBS {
            let last = |losses: &[Loss]| losses.iter().map(|loss| loss.at).max();
            let oldest = self.jobs.iter().min_by_key(|(_, losses)| last(losses));
            if let Some(oldest) = oldest.map(|(job, _)| job.clone()) {
                self.jobs.remove(&oldest);
            }
        }
    }

    /// Resolves the losses of workers that have crashed, and of those that were out of reach.
    ///
    /// Returns the tasks with newly known crashes, the worker, and the number of crashes.
    pub fn review(
        &mut self,
        crashes: &WorkerCrashes,
        now: Time,
    ) -> Vec<(TaskKey, WorkerId, usize)> {
        let mut found = Vec::new();
        self.jobs.retain(|job, losses| {
            for index in 0..losses.len() {
                let loss = &mut losses[index];
                if loss.crashed || !crashes.contains(&loss.worker, loss.incarnation) {
                    continue;
                }
                loss.crashed = true;
                let (step, task, worker) = (loss.step, loss.task, loss.worker.clone());
                let count = losses.iter().filter(|l| l.is_of(step, task) && l.crashed).count();
                found.push((TaskKey { job: job.clone(), step, task }, worker, count));
            }
            losses.retain(|loss| loss.counts(now));
            !losses.is_empty()
        });
        found
    }

    /// Returns what the losses of a task allow.
    #[must_use]
    pub fn verdict(&self, job: &str, step: u32, task: u32, now: Time) -> Verdict {
        let mut suspected = LossCount::default();
        let mut known = LossCount::default();
        for loss in self.losses_of(job, step, task, now) {
            suspected.add(loss);
            if loss.crashed {
                known.add(loss);
            }
        }
        if known.is_limit() {
            Verdict::Poisoned
        } else if suspected.is_limit() {
            Verdict::Unresolved
        } else if suspected.all > 0 {
            Verdict::Suspect
        } else {
            Verdict::Clear
        }
    }

    /// Returns whether a task is likely to have crashed a worker. A worker that did not refuse
    /// connections is more likely to be out of reach.
    #[must_use]
    pub fn is_suspect(&self, job: &str, step: u32, task: u32, now: Time) -> bool {
        self.losses_of(job, step, task, now).any(|loss| loss.refused || loss.crashed)
    }

    /// Returns the number of losses of a task.
    #[must_use]
    pub fn count(&self, job: &str, step: u32, task: u32, now: Time) -> usize {
        self.losses_of(job, step, task, now).count()
    }

    fn losses_of(&self, job: &str, step: u32, task: u32, now: Time) -> impl Iterator<Item = &Loss> {
        let losses = self.jobs.get(job).map(Vec::as_slice).unwrap_or_default();
        losses.iter().filter(move |loss| loss.is_of(step, task) && loss.counts(now))
    }

    /// Returns the losses of a task for other instances.
    #[must_use]
    pub fn messages_of(&self, job: &str, step: u32, task: u32, now: Time) -> Vec<LostRun> {
        self.losses_of(job, step, task, now).map(|loss| loss.to_message(job, now)).collect()
    }

    /// Returns the losses since a time for other instances.
    #[must_use]
    pub fn messages_since(&self, since: Time, now: Time) -> Vec<LostRun> {
        let all = self.jobs.iter().flat_map(|(job, losses)| losses.iter().map(move |l| (job, l)));
        let recent = all.filter(|(_, loss)| loss.at >= since);
        recent.map(|(job, loss)| loss.to_message(job, now)).collect()
    }

    /// Returns the jobs with losses, sorted by name.
    pub fn jobs(&self) -> impl Iterator<Item = &String> {
        self.jobs.iter().map(|(job, _)| job)
    }

    /// Returns the steps and tasks of a job with losses.
    #[must_use]
    pub fn tasks_of(&self, job: &str) -> Vec<(u32, u32)> {
        let losses = self.jobs.get(job).map(Vec::as_slice).unwrap_or_default();
        losses.iter().map(|loss| (loss.step, loss.task)).collect()
    }
}
