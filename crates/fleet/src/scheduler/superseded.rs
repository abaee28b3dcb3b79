//! Jobs whose earlier fronts have not confirmed yet that they have no run of them.
//!
//! The caller of a job that is submitted again has lost its first front, which may not know it. The
//! latest submission gets the job. The fronts of earlier ones are told to end them and answer once
//! their runs have ended; until then, no task of the job is granted. A front that is lost cannot
//! answer: its runs end with their leases.

use cranberryhatch_schema::fleet::{Submissions as SubmissionsMessage, Superseded};
use cranberryhatch_types::{InstanceId, Span, Time};

use super::{Scheduler, to_u32};
use crate::{
    Output, RUN_EXPIRY, WorkerView,
    front::CLOSING_LIMIT,
    log_event::{LogEvent, ReleaseCause},
    members::text_hash,
    output::Message,
};

/// Interval at which earlier fronts and the owners of runs are notified again; a message may be lost
/// with its link.
const NOTICE_INTERVAL: Span = Span::from_ms(250);
/// Time for which it is remembered when a lost instance was last heard; longer than any job waits
/// for its answer.
const LOSS_RETENTION: Span = Span::from_secs(60);
/// Interval at which changed submissions are replicated. Callers wait longer before they submit a job
/// again.
const REPLICATION_INTERVAL: Span = Span::from_ms(100);

/// A job with earlier submissions that may have runs.
#[derive(Debug)]
pub(super) struct SupersededJob {
    fronts: Vec<EarlierFront>,
    notified_at: Option<Time>,
}

#[derive(Debug)]
struct EarlierFront {
    id: InstanceId,
    // Since when this instance waits for its answer.
    since: Time,
}

impl Scheduler {
    /// Withholds the tasks of a job until the fronts of its earlier submissions have ended them; the
    /// next review tells them.
    pub(super) fn supersede(&mut self, job: &str, now: Time) {
        if self.submissions.earlier(job).is_empty() {
            return;
        }
        let new = || SupersededJob { fronts: Vec::new(), notified_at: None };
        let entry = self.superseded.get_or_insert_with(job.to_owned(), new);
        for id in self.submissions.earlier(job) {
            if entry.fronts.iter().all(|front| front.id != *id) {
                entry.fronts.push(EarlierFront { id: id.clone(), since: now });
                entry.notified_at = None;
            }
        }
        self.superseded_changed = true;
    }

    /// Releases the jobs whose earlier fronts have no run left, and repeats the notices for the
    /// others.
    pub fn review_superseded(&mut self, now: Time, out: &mut Output) {
        self.superseded_changed = false;
        let jobs: Vec<String> = self.superseded.iter().map(|(job, _)| job.clone()).collect();
        for job in jobs {
            self.review_job(&job, now, out);
        }
    }

    pub(super) fn review_job(&mut self, job: &str, now: Time, out: &mut Output) {
        let Some(mut entry) = self.superseded.remove(job) else { return };
        for EarlierFront { id, since } in std::mem::take(&mut entry.fronts) {
            let is_known = self.submissions.earlier(job).binary_search(&id).is_ok();
            let cause = if is_known {
                self.release_cause(&id, since, now)
            } else {
                Some(ReleaseCause::Answered)
            };
            let Some(cause) = cause else {
                entry.fronts.push(EarlierFront { id, since });
                continue;
            };
            self.submissions.remove_earlier(job, &id);
            if cause == ReleaseCause::Lost {
                self.released.push((job.to_owned(), id.clone(), now));
            }
            let (job, waited) = (job.to_owned(), now.since(since));
            out.log(LogEvent::Released { job, front: id, waited, cause });
        }
        if entry.fronts.is_empty() {
            (self.dirty, self.freed) = (true, true);
            return;
        }
        if entry.notified_at.is_none_or(|at| now.since(at) >= NOTICE_INTERVAL) {
            entry.notified_at = Some(now);
            self.notify(job, &entry, now, out);
        }
        self.superseded.insert(job.to_owned(), entry);
    }

    /// Returns why a front that has not answered has no run left; `None` if it may have one.
    fn release_cause(&self, front: &InstanceId, since: Time, now: Time) -> Option<ReleaseCause> {
        if self.reachable.binary_search(front).is_ok() {
            return (now.since(since) >= CLOSING_LIMIT).then_some(ReleaseCause::Unanswered);
        }
        let heard = self.lost_fronts.get(front).copied().unwrap_or(since);
        let is_over = now.since(heard) >= RUN_EXPIRY && !self.may_have_unknown_runs(now);
        is_over.then_some(ReleaseCause::Lost)
    }

    fn notify(&self, job: &str, entry: &SupersededJob, now: Time, out: &mut Output) {
        let Some((by, arrived)) = self.submissions.latest(job) else { return };
        let holds = |worker: &&WorkerView| worker.tasks().any(|task| task.job == job);
        let owners = self.workers.iter().filter(holds).map(|worker| &worker.owner);
        let owners: Vec<&InstanceId> = owners.collect();
        for EarlierFront { id, .. } in &entry.fronts {
            let message = superseded_message(job, id, by, now.since(arrived));
            let mut targets: Vec<&InstanceId> = owners.iter().copied().chain([id]).collect();
            targets.sort();
            targets.dedup();
            for target in targets {
                out.send(target, Message::Superseded(message.clone()));
            }
        }
    }

    /// Returns whether an earlier front of a job may have runs.
    pub(super) fn is_superseded(&self, job: &str) -> bool {
        !self.superseded.is_empty() && self.superseded.contains(job)
    }

    /// Handles the answer of an earlier front of a job: it has no run of it.
    ///
    /// A front that was lost lately may have restarted, and an earlier process may have left a run on
    /// a worker that no owner has opened since. It is asked again.
    pub fn handle_yielded(&mut self, front: &InstanceId, job: &str, now: Time) {
        if self.lost_fronts.contains(front) && self.may_have_unknown_runs(now) {
            return;
        }
        self.submissions.remove_earlier(job, front);
        self.superseded_changed = true;
    }

    /// Records that an instance is reachable.
    pub fn add_reachable(&mut self, instance: &InstanceId) {
        if let Err(place) = self.reachable.binary_search(instance) {
            self.reachable.insert(place, instance.clone());
        }
        // After a partition, the front and its runs may still be active.
        let back = self.released.extract_if(.., |(_, front, _)| front == instance);
        for (job, front, at) in back.collect::<Vec<_>>() {
            if self.submissions.add_earlier(&job, front) {
                self.supersede(&job, at);
            }
        }
    }

    /// Records that an instance, last heard at `heard`, is not reachable any more.
    pub fn remove_reachable(&mut self, instance: &InstanceId, heard: Time, now: Time) {
        self.reachable.retain(|reachable| reachable != instance);
        self.replicas.retain(|replica| replica != instance);
        self.lost_fronts.retain(|_, heard| now.since(*heard) < LOSS_RETENTION);
        self.released.retain(|(.., at)| now.since(*at) < LOSS_RETENTION);
        self.lost_fronts.insert(instance.clone(), heard);
    }

    /// Returns whether runs of an earlier process of a front may be active, of which it does not
    /// know.
    pub(super) fn may_have_restarted(&self, front: &InstanceId, now: Time) -> bool {
        self.lost_fronts
            .get(front)
            .is_some_and(|heard| now.since(*heard) < RUN_EXPIRY || self.may_have_unknown_runs(now))
    }

    /// Returns the number of jobs whose latest submission is known.
    #[must_use]
    pub fn known_submissions(&self) -> usize {
        self.submissions.len()
    }

    /// Replicates the submissions to the instances that may replace this scheduler.
    pub fn replicate(&mut self, replicas: &[InstanceId], now: Time, out: &mut Output) {
        // A message to an instance whose link is broken is lost.
        let is_reachable = |id: &&InstanceId| self.reachable.binary_search(id).is_ok();
        let new = replicas.iter().filter(is_reachable);
        let new: Vec<&InstanceId> = new.filter(|id| !self.replicas.contains(id)).collect();
        let is_due = now.since(self.replicated_at) >= REPLICATION_INTERVAL;
        self.replicas.retain(|id| replicas.contains(id));
        if is_due && self.submissions.has_changes() {
            let message = self.submissions.take_changes(now);
            for replica in &self.replicas {
                out.send(replica, Message::Submissions(message.clone()));
            }
            self.replicated_at = now;
        }
        if !new.is_empty() && !self.submissions.is_empty() {
            let message = self.submissions.to_message(now);
            for replica in &new {
                out.send(replica, Message::Submissions(message.clone()));
            }
        }
        self.replicas.extend(new.into_iter().cloned());
    }

    /// Replicates the latest changes of the submissions to the next scheduler.
    pub fn hand_over(&mut self, next: Option<&InstanceId>, now: Time, out: &mut Output) {
        let Some(next) = next else { return };
        let message = if self.replicas.contains(next) {
            self.submissions.take_changes(now)
        } else {
            self.submissions.to_message(now)
        };
        if !message.submissions.is_empty() {
            out.send(next, Message::Submissions(message));
        }
    }

    /// Merges the submissions that another scheduler has recorded.
    pub fn merge_submissions(&mut self, message: &SubmissionsMessage, now: Time) {
        let is_replica = self.reports_since.is_none() && self.backlog.is_empty();
        for hash in self.submissions.merge(message, is_replica, now) {
            let queued = self.backlog.iter().find(|queued| text_hash(&queued.job) == hash);
            if let Some(job) = queued.map(|queued| queued.job.clone()) {
                self.supersede(&job, now);
            }
        }
    }
}

pub(super) fn superseded_message(
    job: &str,
    front: &InstanceId,
    by: &InstanceId,
    age: Span,
) -> Superseded {
    Superseded {
        job: job.to_owned(),
        front: front.to_string(),
        by: by.to_string(),
        age_ms: to_u32(age.as_ms()),
    }
}
