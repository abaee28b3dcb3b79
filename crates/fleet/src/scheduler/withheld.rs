//! Requested tasks of which another run may still be active, so that they are withheld from the
//! backlog.
//!
//! Tasks of a job that was submitted again wait for the fronts of its earlier submissions, too; see
//! [`super::superseded`].

use cranberryhatch_schema::fleet::{Ask, Losses};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use super::{Scheduler, superseded::superseded_message, to_u32};
use crate::{
    OUTLASTING_EXPIRY, Output, RUN_EXPIRY, Submission, SubmissionOrder, TaskKey, WorkerView,
    log_event::LogEvent, output::Message,
};

/// Tasks of a request that are withheld.
#[derive(Clone, Debug)]
pub(super) struct WithheldTasks {
    front: InstanceId,
    ask: Ask,
    since: Time,
}

impl WithheldTasks {
    /// Removes the tasks for which `is_free` returns true, and returns the request for them as the
    /// front would send it now.
    fn take(&mut self, is_free: impl Fn(&TaskKey) -> bool, now: Time) -> Option<Ask> {
        let (job, step) = (&self.ask.job, self.ask.step);
        let key = |task: &u32| TaskKey { job: job.clone(), step, task: *task };
        let (free, rest): (Vec<u32>, Vec<u32>) =
            self.ask.tasks.iter().copied().partition(|task| is_free(&key(task)));
        self.ask.tasks = rest;
        let waited = to_u32(now.since(self.since).as_ms());
        (!free.is_empty()).then(|| Ask {
            tasks: free,
            age_ms: self.ask.age_ms.saturating_add(waited),
            left_ms: self.ask.left_ms.saturating_sub(waited),
            ..self.ask.clone()
        })
    }

    fn is_over(&self, now: Time) -> bool {
        let left = Span::from_ms(self.ask.left_ms.into());
        self.ask.tasks.is_empty() || now.since(self.since) >= left
    }
}

/// Returns the time after which runs on a worker have ended whose owner was lost with these
/// `unanswered` workers, which are sorted.
pub(super) fn expiry_on(worker: &WorkerId, unanswered: &[WorkerId]) -> Span {
    if unanswered.binary_search(worker).is_ok() { OUTLASTING_EXPIRY } else { RUN_EXPIRY }
}

impl Scheduler {
    /// Handles a front's request for capacity: queues its tasks, except those of which another run
    /// may be active.
    pub fn handle_ask(&mut self, front: &InstanceId, ask: Ask, now: Time, out: &mut Output) {
        let arrived = now - Span::from_ms(ask.age_ms.into());
        let deadline = now + Span::from_ms(ask.left_ms.into());
        let submission = Submission { front: front.clone(), arrived, deadline };
        let counts_grants = match self.submissions.record(&ask.job, submission, now) {
            SubmissionOrder::Only if ask.begun => false,
            SubmissionOrder::Only => return self.enqueue(front, ask, now),
            SubmissionOrder::Latest { .. } => {
                self.discard_earlier(front, &ask.job);
                if !ask.begun {
                    // The front must not answer that the job has not run.
                    let earlier = self.submissions.earlier(&ask.job).first().unwrap_or(front);
                    let age = Span::from_ms(ask.age_ms.into());
                    let superseded = superseded_message(&ask.job, earlier, front, age);
                    out.send(front, Message::Superseded(superseded));
                }
                self.supersede(&ask.job, now);
                self.review_job(&ask.job, now, out);
                true
            }
            SubmissionOrder::Superseded { by, arrived } => {
                let age = now.since(arrived);
                let superseded = superseded_message(&ask.job, front, &by, age);
                out.send(front, Message::Superseded(superseded));
                return self.supersede(&ask.job, now);
            }
        };
        let is_withheld = |task: &u32| {
            self.withheld.iter().any(|w| {
                w.front == *front
                    && (&w.ask.job, w.ask.step) == (&ask.job, ask.step)
                    && w.ask.tasks.contains(task)
            })
        };
        let tasks: Vec<u32> = ask.tasks.iter().copied().filter(|task| !is_withheld(task)).collect();
        let ask = Ask { tasks, ..ask };
        let mut withheld = WithheldTasks { front: front.clone(), ask, since: now };
        // A run that this front itself was granted may not have been started.
        let has_restarted = counts_grants && self.may_have_restarted(front, now);
        let is_free = |key: &TaskKey| !has_restarted && !self.may_run(key, counts_grants, now);
        if let Some(free) = withheld.take(is_free, now) {
            self.enqueue(front, free, now);
        }
        if withheld.ask.tasks.is_empty() {
            return;
        }
        self.log_withheld(&withheld, out);
        self.withheld.push(withheld);
    }

    /// Queues withheld tasks whose other runs have ended.
    pub(super) fn review_withheld(&mut self, now: Time, out: &mut Output) {
        for mut withheld in std::mem::take(&mut self.withheld) {
            if withheld.is_over(now) {
                continue;
            }
            let has_restarted = self.submissions.is_again(&withheld.ask.job)
                && self.may_have_restarted(&withheld.front, now);
            let is_free = |key: &TaskKey| !has_restarted && !self.may_run(key, true, now);
            if let Some(free) = withheld.take(is_free, now) {
                let front = withheld.front.clone();
                let runs = self.unnamed_losses(&free, now);
                self.enqueue(&front, free, now);
                if !runs.is_empty() {
                    out.send(&front, Message::Losses(Losses { runs }));
                }
            }
            if !withheld.ask.tasks.is_empty() {
                self.withheld.push(withheld);
            }
        }
    }

    /// Removes what other fronts have requested for a job.
    fn discard_earlier(&mut self, front: &InstanceId, job: &str) {
        self.backlog.remove(|queued| queued.job == job && queued.front != *front);
        self.withheld.retain(|withheld| withheld.ask.job != job || withheld.front == *front);
    }

    /// Removes the withheld tasks of a front: all, or those of one job.
    pub(super) fn discard_withheld(&mut self, front: &InstanceId, job: Option<&str>) {
        self.withheld.retain(|withheld| {
            withheld.front != *front || job.is_some_and(|job| withheld.ask.job != job)
        });
    }

    /// Remembers the tasks that workers of a lost owner hold: their runs continue until their leases
    /// expire. Runs on its `unanswered` workers, which are sorted, may continue for longer.
    pub(super) fn record_lost_runs(
        &mut self,
        owner: &InstanceId,
        unanswered: &[WorkerId],
        now: Time,
    ) {
        self.lost_runs.retain(|(.., until)| *until > now);
        for worker in self.workers.iter().filter(|worker| worker.owner == *owner) {
            let until = now + expiry_on(worker.id(), unanswered);
            let lost = |task: &TaskKey| (worker.id().clone(), task.clone(), until);
            self.lost_runs.extend(worker.tasks().map(lost));
        }
        self.outlasting.retain(|(_, until)| *until > now);
        let is_of_other =
            |id: &WorkerId| self.workers.get(id).is_some_and(|worker| worker.owner != *owner);
        let lost = unanswered.iter().filter(|id| !is_of_other(id));
        self.outlasting.extend(lost.map(|id| (id.clone(), now + OUTLASTING_EXPIRY)));
    }

    /// Records that an owner has opened a worker, so that requests of earlier owners are rejected and
    /// the runs there are known.
    pub fn worker_opened(&mut self, id: &WorkerId) {
        self.lost_runs.retain(|(worker, ..)| worker != id);
        self.outlasting.retain(|(worker, _)| worker != id);
    }

    /// Returns whether runs of lost instances may be active on workers that no owner has opened since.
    pub(super) fn may_have_unknown_runs(&self, now: Time) -> bool {
        self.outlasting.iter().any(|(_, until)| *until > now)
    }

    /// Returns whether a run of a task may be active; grants to its front count if `grants`.
    fn may_run(&self, task: &TaskKey, grants: bool, now: Time) -> bool {
        let is_lost = |(_, lost, until): &(WorkerId, TaskKey, Time)| lost == task && *until > now;
        self.is_superseded(&task.job)
            || self.holders(task, grants).next().is_some()
            || grants && self.lost_runs.iter().any(is_lost)
    }

    /// Returns the workers that hold a run of a task, or that were granted one if `grants`.
    fn holders(&self, task: &TaskKey, grants: bool) -> impl Iterator<Item = &WorkerView> {
        self.workers.iter().filter(move |worker| worker.holds(task, grants))
    }

    fn log_withheld(&self, withheld: &WithheldTasks, out: &mut Output) {
        let ask = &withheld.ask;
        let Some(task) = ask.tasks.first() else { return };
        let task = TaskKey { job: ask.job.clone(), step: ask.step, task: *task };
        let holder = self.holders(&task, true).next();
        let worker: Option<WorkerId> = holder.map(|worker| worker.id().clone());
        out.log(LogEvent::Withheld {
            tasks: ask.tasks.len(),
            task,
            front: withheld.front.clone(),
            earlier: self.submissions.earlier(&ask.job).first().cloned(),
            worker,
        });
    }
}
