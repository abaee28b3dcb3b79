//! A takeover: fences a holder at every endpoint and collects the statuses of its tasks.

use std::sync::Arc;

use cranberryhatch_types::{Holder, Span, Time, WorkerId};

use crate::{Adoption, Command, FencedTask, JobSpec};

/// Time allowed for an endpoint to respond to a fence.
const FENCE_TIMEOUT: Span = Span::from_ms(1_500);
/// Interval between a failed fence and the next attempt.
const FENCE_RETRY: Span = Span::from_ms(500);
/// Maximum time by which a job may be accepted before the time of its key, for callers whose clock
/// is ahead.
const CLOCK_SKEW: Span = Span::from_secs(60);
/// Maximum number of attempts to fence a holder at an endpoint.
const FENCE_TRIES: u32 = 4;

/// Progress of the fence of a holder at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The next attempt is due at this time, after this many attempts.
    Due(Time, u32),
    /// The request was sent; it times out at this time, after this many attempts.
    Asked(Time, u32),
    /// The endpoint answered.
    Answered,
    /// The endpoint answered none of the attempts.
    Unresponsive,
}

/// A takeover of a holder by this instance.
#[derive(Debug)]
pub(crate) struct Takeover {
    /// The lost holder.
    pub(crate) holder: Holder,
    jobs: Vec<Arc<JobSpec>>,
    /// The holder and those that took it over earlier; each of them may have sent its tasks.
    senders: Vec<Holder>,
    fences: Vec<(Holder, WorkerId, Progress)>,
    tasks: Vec<FencedTask>,
    /// Latest Unix time since when an endpoint has records of attempts.
    remembered_since: Time,
}

impl Takeover {
    /// Creates a takeover whose fences are due at once.
    pub(crate) fn new(
        now: Time,
        holder: Holder,
        earlier: &[Holder],
        jobs: Vec<Arc<JobSpec>>,
        workers: &[WorkerId],
    ) -> Self {
        let mut senders = vec![holder.clone()];
        senders.extend(earlier.iter().filter(|sender| **sender != holder).cloned());
        senders.sort();
        senders.dedup();
        let (fences, tasks) = (Vec::new(), Vec::new());
        let mut takeover =
            Self { holder, jobs, senders, fences, tasks, remembered_since: Time::ZERO };
        for worker in workers {
            takeover.add_worker(now, worker);
        }
        takeover
    }

    /// Adds an endpoint that became known.
    pub(crate) fn add_worker(&mut self, now: Time, worker: &WorkerId) {
        for sender in &self.senders {
            if !self.fences.iter().any(|(holder, id, _)| holder == sender && id == worker) {
                self.fences.push((sender.clone(), worker.clone(), Progress::Due(now, 0)));
            }
        }
    }

    /// Handles an endpoint's response to a fence; `tasks` is `None` if it did not respond.
    pub(crate) fn handle_fenced(
        &mut self,
        now: Time,
        holder: &Holder,
        worker: &WorkerId,
        tasks: Option<&[FencedTask]>,
        since: Time,
    ) {
        let found = self.fences.iter_mut().find(|(sender, id, _)| sender == holder && id == worker);
        let Some((_, _, progress)) = found else { return };
        match (tasks, *progress) {
            (_, Progress::Answered) => {}
            (Some(tasks), _) => {
                *progress = Progress::Answered;
                self.remembered_since = self.remembered_since.max(since);
                self.tasks.extend_from_slice(tasks);
            }
            (None, Progress::Asked(_, tries)) => *progress = after_failure(now, tries),
            (None, Progress::Due(..) | Progress::Unresponsive) => {}
        }
    }

    /// Sends the fences that are due; returns whether every fence was answered or given up.
    pub(crate) fn advance(&mut self, now: Time, out: &mut Vec<Command>) -> bool {
        for (holder, worker, progress) in &mut self.fences {
            if let Progress::Asked(until, tries) = *progress
                && until <= now
            {
                *progress = after_failure(now, tries);
            }
            if let Progress::Due(at, tries) = *progress
                && at <= now
            {
                *progress = Progress::Asked(now + FENCE_TIMEOUT, tries + 1);
                out.push(Command::Fence { holder: holder.clone(), worker: worker.clone() });
            }
        }
        let ended = |progress| matches!(progress, Progress::Answered | Progress::Unresponsive);
        self.fences.iter().all(|(_, _, progress)| ended(*progress))
    }

    /// Returns whether every endpoint answered.
    pub(crate) fn all_answered(&self) -> bool {
        self.fences.iter().all(|(_, _, progress)| *progress == Progress::Answered)
    }

    /// Returns one adoption per job; `knew_all_endpoints` says whether all endpoints are known that
    /// a job may have used.
    pub(crate) fn adoptions(self, knew_all_endpoints: impl Fn(&JobSpec) -> bool) -> Vec<Adoption> {
        let (all_answered, since) = (self.all_answered(), self.remembered_since);
        let tasks = self.tasks;
        let adopt = |job: Arc<JobSpec>| {
            let own = tasks.iter().filter(|task| task.name.job == job.key);
            let mut own: Vec<FencedTask> = own.cloned().collect();
            own.sort_by(|a, b| a.name.cmp(&b.name));
            // Starts before an endpoint's restart are unknown to all endpoints.
            let remembered = since <= job.key.name.time() - CLOCK_SKEW;
            Adoption {
                all_answered: all_answered && remembered && knew_all_endpoints(&job),
                tasks: own,
                job,
            }
        };
        self.jobs.into_iter().map(adopt).collect()
    }
}

fn after_failure(now: Time, tries: u32) -> Progress {
    if tries >= FENCE_TRIES {
        Progress::Unresponsive
    } else {
        Progress::Due(now + FENCE_RETRY, tries)
    }
}
