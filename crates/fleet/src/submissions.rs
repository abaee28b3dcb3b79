//! The latest submission of each job, as the scheduler knows it.
//!
//! A caller whose connection breaks submits its job again at another front. The earlier front may
//! not notice that the caller has left, so the scheduler compares the submissions.

use cranberryhatch_types::{InstanceId, Span, Time};

use crate::{VecMap, members::text_hash};

/// Number of parts, which bounds the cost of an insertion among many jobs.
const PARTS: usize = 64;
/// Difference up to which two arrival times belong to one submission. Requests carry the age of the
/// job, which does not include their own delay.
const ARRIVAL_TOLERANCE: Span = Span::from_ms(500);
/// Time for which a submission is remembered after its deadline, or after the last report of its
/// runs; owners report once a second.
const RETENTION: Span = Span::from_ms(3_000);

/// A request for capacity, as one submission of a job.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Front that accepted the job.
    pub front: InstanceId,
    /// When it accepted the job.
    pub arrived: Time,
    /// When its caller stops waiting.
    pub deadline: Time,
}

/// Order of a submission relative to the latest known one of the same job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmissionOrder {
    /// No other submission is known.
    Only,
    /// It is later than another one.
    Latest {
        /// Front of the earlier submission; `None` if unknown or if it is the same instance.
        earlier: Option<InstanceId>,
    },
    /// Another front has a later submission.
    Superseded {
        /// Front of the later submission.
        by: InstanceId,
        /// When the later submission arrived.
        arrived: Time,
    },
}

#[derive(Debug)]
struct Entry {
    // None while only an unclaimed run is known.
    front: Option<InstanceId>,
    // None while only runs are known.
    arrived: Option<Time>,
    until: Time,
    // Whether there was an earlier submission, and its front.
    earlier: Option<Option<InstanceId>>,
}

/// Latest submissions by job.
#[derive(Debug)]
pub struct Submissions {
    parts: Vec<VecMap<String, Entry>>,
    // Part from which old entries are removed next.
    next_part: usize,
}

impl Default for Submissions {
    fn default() -> Self {
        Self { parts: (0..PARTS).map(|_| VecMap::default()).collect(), next_part: 0 }
    }
}

impl Submissions {
    /// Records a submission and returns its order.
    pub fn record(&mut self, job: &str, submission: Submission, now: Time) -> SubmissionOrder {
        let Submission { front, arrived, deadline } = submission;
        let until = deadline.max(now) + RETENTION;
        let part = self.part_mut(job);
        let Some(entry) = part.get_mut(job).filter(|entry| entry.until > now) else {
            let (front, arrived) = (Some(front), Some(arrived));
            part.insert(job.to_owned(), Entry { front, arrived, until, earlier: None });
            return SubmissionOrder::Only;
        };
        let is_same = entry.front.as_ref() == Some(&front);
        match entry.arrived {
            Some(known) if !is_same && known > arrived => {
                let by = entry.front.clone().unwrap_or(front);
                return SubmissionOrder::Superseded { by, arrived: known };
            }
            Some(known) if is_same && arrived > known + ARRIVAL_TOLERANCE => {
                entry.earlier = Some(None);
                entry.arrived = Some(arrived);
            }
            Some(_) if is_same => {}
            None if is_same => entry.arrived = Some(arrived),
            Some(_) | None => {
                entry.earlier = Some(entry.front.replace(front));
                entry.arrived = Some(arrived);
            }
        }
        entry.until = entry.until.max(until);
        match &entry.earlier {
            Some(earlier) => SubmissionOrder::Latest { earlier: earlier.clone() },
            None => SubmissionOrder::Only,
        }
    }

    /// Records a run of a job that an owner has reported, and the front that wants it.
    pub fn record_run(&mut self, job: &str, front: Option<InstanceId>, now: Time) {
        let until = now + RETENTION;
        let part = self.part_mut(job);
        match part.get_mut(job).filter(|entry| entry.until > now) {
            Some(entry) => {
                entry.until = entry.until.max(until);
                if entry.front.is_none() {
                    entry.front = front;
                }
            }
            None => {
                let entry = Entry { front, arrived: None, until, earlier: None };
                part.insert(job.to_owned(), entry);
            }
        }
    }

    /// Removes old entries of one part.
    pub fn remove_old(&mut self, now: Time) {
        self.next_part = (self.next_part + 1) % PARTS;
        self.parts[self.next_part].retain(|_, entry| entry.until > now);
    }

    /// Returns the number of jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.iter().map(VecMap::len).sum()
    }

    /// Returns whether no job is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn part_mut(&mut self, job: &str) -> &mut VecMap<String, Entry> {
        let part = usize::try_from(text_hash(job) % PARTS as u64).unwrap_or_default();
        &mut self.parts[part]
    }
}
