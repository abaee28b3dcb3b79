//! Jobs that were cancelled lately, which no instance starts any more.
//!
//! A cancel may reach another instance than the job, and a request for a cancelled job may arrive
//! again at any instance. The scheduler tells the fronts of a job that it is cancelled.

use cranberryhatch_schema::fleet::{CanceledJob, Cancels};
use cranberryhatch_types::{Span, Time};

use crate::VecMap;

/// Time for which a cancelled job is remembered.
///
/// Requests for it may arrive again seconds after its answer.
pub const CANCEL_RETENTION: Span = Span::from_secs(60);
/// Maximum number of remembered jobs, which bounds the messages to a new scheduler.
const MAX_JOBS: usize = 10_000;

/// Names of cancelled jobs, with the time until which they are remembered.
#[derive(Debug, Default)]
pub struct CanceledJobs {
    jobs: VecMap<String, Time>,
}

impl CanceledJobs {
    /// Records a cancelled job; returns whether it is new.
    ///
    /// If there are too many, the one that would be forgotten first makes room.
    pub fn record(&mut self, job: &str, left: Span, now: Time) -> bool {
        let until = now + left.min(CANCEL_RETENTION);
        if let Some(known) = self.jobs.get_mut(job) {
            let is_new = *known <= now;
            *known = until.max(*known);
            return is_new;
        }
        if self.jobs.len() >= MAX_JOBS {
            let oldest = self.jobs.iter().min_by_key(|(_, until)| **until);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.jobs.remove(&oldest);
            }
        }
        self.jobs.insert(job.to_owned(), until);
        true
    }

    /// Returns whether a job was cancelled lately.
    #[must_use]
    pub fn contains(&self, job: &str, now: Time) -> bool {
        self.jobs.get(job).is_some_and(|until| now < *until)
    }

    /// Forgets the jobs that need not be remembered any more.
    pub fn remove_old(&mut self, now: Time) {
        self.jobs.retain(|_, until| now < *until);
    }

    /// Returns whether no job is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns a message with all jobs.
    #[must_use]
    pub fn to_message(&self, now: Time) -> Cancels {
        let jobs = self.jobs.iter().map(|(job, until)| message(job, *until, now)).collect();
        Cancels { jobs, ..Cancels::default() }
    }

    /// Returns a message with one job, or `None` if it is not remembered.
    #[must_use]
    pub fn message_of(&self, job: &str, now: Time) -> Option<Cancels> {
        let until = self.jobs.get(job).filter(|until| now < **until)?;
        Some(Cancels { jobs: vec![message(job, *until, now)], ..Cancels::default() })
    }
}

fn message(job: &str, until: Time, now: Time) -> CanceledJob {
    let left = until.since(now).as_ms();
    CanceledJob { job: job.to_owned(), left_ms: u32::try_from(left).unwrap_or(u32::MAX) }
}
