//! The latest submission of each job, as the scheduler knows it.
//!
//! A caller whose connection breaks submits its job again at another front. The earlier front may
//! not notice that the caller has left, so the scheduler compares the submissions. It replicates
//! them to the instances that may replace it: an earlier submission is older than the caller's
//! delay before the next one, so replicas that lag by less know it in time.

use cranberryhatch_schema::fleet as wire;
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
        /// Other fronts with earlier submissions that may have runs, sorted.
        earlier: Vec<InstanceId>,
    },
    /// Another front has a later submission. The front of this one counts as an earlier front.
    Superseded {
        /// Front of the later submission.
        by: InstanceId,
        /// When the later submission arrived.
        arrived: Time,
    },
}

/// What a reported run tells about the submissions of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOrigin {
    /// Nothing new.
    Known,
    /// No front has claimed it, or its front may not know it: an earlier process of that front had
    /// the job before.
    Unclaimed,
    /// A submission that was not known has it.
    NewSubmission,
}

#[derive(Debug)]
struct Entry {
    // None while only an unclaimed run is known.
    front: Option<InstanceId>,
    // None while only runs are known.
    arrived: Option<Time>,
    until: Time,
    // Whether there was an earlier submission.
    again: bool,
    // Other fronts with earlier submissions that may have runs, sorted.
    earlier: Vec<InstanceId>,
}

impl Entry {
    /// Makes a submission of another front the latest one.
    fn replace_front(&mut self, front: InstanceId) {
        self.earlier.retain(|earlier| *earlier != front);
        if let Some(earlier) = self.front.replace(front) {
            self.add_earlier(earlier);
        }
        self.again = true;
    }

    /// Adds a front with an earlier submission; returns whether it was not known.
    fn add_earlier(&mut self, front: InstanceId) -> bool {
        self.again = true;
        match self.earlier.binary_search(&front) {
            Ok(_) => false,
            Err(place) => {
                self.earlier.insert(place, front);
                true
            }
        }
    }
}

/// Latest submissions by the hash of the job's name.
#[derive(Debug)]
pub struct Submissions {
    parts: Vec<VecMap<u64, Entry>>,
    // Part from which old entries are removed next.
    next_part: usize,
    // Jobs whose entry has changed since the last replication, sorted.
    changed: Vec<u64>,
}

impl Default for Submissions {
    fn default() -> Self {
        let parts = (0..PARTS).map(|_| VecMap::default()).collect();
        Self { parts, next_part: 0, changed: Vec::new() }
    }
}

impl Submissions {
    /// Records a submission and returns its order.
    pub fn record(&mut self, job: &str, submission: Submission, now: Time) -> SubmissionOrder {
        let Submission { front, arrived, deadline } = submission;
        let until = deadline.max(now) + RETENTION;
        let hash = text_hash(job);
        let part = self.part_mut(hash);
        let Some(entry) = part.get_mut(&hash).filter(|entry| entry.until > now) else {
            let (front, arrived, earlier) = (Some(front), Some(arrived), Vec::new());
            part.insert(hash, Entry { front, arrived, until, again: false, earlier });
            self.mark_changed(hash);
            return SubmissionOrder::Only;
        };
        let is_same = entry.front.as_ref() == Some(&front);
        let mut is_changed = true;
        match entry.arrived {
            Some(known) if !is_same && known > arrived => {
                let by = entry.front.clone().unwrap_or_else(|| front.clone());
                if entry.add_earlier(front) {
                    self.mark_changed(hash);
                }
                return SubmissionOrder::Superseded { by, arrived: known };
            }
            Some(known) if is_same && arrived > known + ARRIVAL_TOLERANCE => {
                entry.again = true;
                entry.arrived = Some(arrived);
            }
            Some(_) if is_same => is_changed = false,
            None if is_same => entry.arrived = Some(arrived),
            Some(_) | None => {
                entry.replace_front(front);
                entry.arrived = Some(arrived);
            }
        }
        entry.until = entry.until.max(until);
        let order = if entry.again {
            SubmissionOrder::Latest { earlier: entry.earlier.clone() }
        } else {
            SubmissionOrder::Only
        };
        if is_changed {
            self.mark_changed(hash);
        }
        order
    }

    /// Records a run of a job that an owner has reported, the front that wants it and when that front
    /// accepted the job.
    pub fn record_run(
        &mut self,
        job: &str,
        front: Option<InstanceId>,
        arrived: Option<Time>,
        now: Time,
    ) -> RunOrigin {
        let until = now + RETENTION;
        let hash = text_hash(job);
        let part = self.part_mut(hash);
        let Some(entry) = part.get_mut(&hash).filter(|entry| entry.until > now) else {
            let earlier = Vec::new();
            part.insert(hash, Entry { front, arrived, until, again: false, earlier });
            return RunOrigin::Known;
        };
        entry.until = entry.until.max(until);
        let Some(front) = front else { return RunOrigin::Unclaimed };
        if entry.front.as_ref().is_none_or(|latest| *latest == front) {
            entry.front = Some(front);
            let (known, arrived) = (entry.arrived, arrived);
            entry.arrived = known.max(arrived);
            let is_earlier = known
                .zip(arrived)
                .is_some_and(|(known, arrived)| known > arrived + ARRIVAL_TOLERANCE);
            return if is_earlier { RunOrigin::Unclaimed } else { RunOrigin::Known };
        }
        // Without an arrival it is not known which submission is the later one.
        let Some(known) = entry.arrived else { return RunOrigin::Known };
        let is_new = match arrived {
            Some(arrived) if arrived > known => {
                entry.replace_front(front);
                entry.arrived = Some(arrived);
                true
            }
            _ => entry.add_earlier(front),
        };
        if !is_new {
            return RunOrigin::Known;
        }
        self.mark_changed(hash);
        RunOrigin::NewSubmission
    }

    /// Returns whether a job was submitted more than once.
    #[must_use]
    pub fn is_again(&self, job: &str) -> bool {
        let hash = text_hash(job);
        self.part(hash).get(&hash).is_some_and(|entry| entry.again)
    }

    /// Returns the front of the latest submission of a job and when it arrived there.
    #[must_use]
    pub fn latest(&self, job: &str) -> Option<(&InstanceId, Time)> {
        let hash = text_hash(job);
        let entry = self.part(hash).get(&hash)?;
        entry.front.as_ref().zip(entry.arrived)
    }

    /// Returns the other fronts with earlier submissions of a job that may have runs, sorted.
    #[must_use]
    pub fn earlier(&self, job: &str) -> &[InstanceId] {
        let hash = text_hash(job);
        self.part(hash).get(&hash).map_or(&[], |entry| entry.earlier.as_slice())
    }

    /// Records that a front with an earlier submission of a job may have runs. Returns whether the job
    /// is known.
    pub fn add_earlier(&mut self, job: &str, front: InstanceId) -> bool {
        let hash = text_hash(job);
        let Some(entry) = self.part_mut(hash).get_mut(&hash) else { return false };
        if entry.front.as_ref() == Some(&front) {
            return false;
        }
        if entry.add_earlier(front) {
            self.mark_changed(hash);
        }
        true
    }

    /// Records that a front has no run of an earlier submission of a job.
    pub fn remove_earlier(&mut self, job: &str, front: &InstanceId) {
        let hash = text_hash(job);
        let Some(entry) = self.part_mut(hash).get_mut(&hash) else { return };
        let before = entry.earlier.len();
        entry.earlier.retain(|earlier| earlier != front);
        if entry.earlier.len() < before {
            self.mark_changed(hash);
        }
    }

    /// Removes old entries of one part.
    pub fn remove_old(&mut self, now: Time) {
        self.next_part = (self.next_part + 1) % PARTS;
        self.parts[self.next_part].retain(|_, entry| entry.until > now);
    }

    /// Returns whether entries have changed since the last call of [`Self::take_changes`].
    #[must_use]
    pub const fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns the entries that have changed since the last call, for replicas that know the others.
    pub fn take_changes(&mut self, now: Time) -> wire::Submissions {
        let changed = std::mem::take(&mut self.changed);
        self.message(changed.iter().copied(), now)
    }

    /// Returns all entries, for new replicas.
    #[must_use]
    pub fn to_message(&self, now: Time) -> wire::Submissions {
        self.message(self.parts.iter().flat_map(|part| part.iter().map(|(hash, _)| *hash)), now)
    }

    fn message(&self, jobs: impl Iterator<Item = u64>, now: Time) -> wire::Submissions {
        let mut names: VecMap<&InstanceId, u32> = VecMap::default();
        let mut fronts = Vec::new();
        let mut index_of = |front| {
            *names.get_or_insert_with(front, || {
                fronts.push(front.to_string());
                to_u32(fronts.len() as u64 - 1)
            })
        };
        let entries = jobs.filter_map(|job| {
            let entry = self.part(job).get(&job).filter(|entry| entry.until > now)?;
            Some(wire::Submission {
                job,
                front: index_of(entry.front.as_ref()?),
                age_ms: to_u32(now.since(entry.arrived?).as_ms()),
                left_ms: to_u32(entry.until.since(now).as_ms()),
                again: entry.again,
                earlier: entry.earlier.iter().map(&mut index_of).collect(),
            })
        });
        let submissions = entries.collect();
        wire::Submissions { fronts, submissions }
    }

    /// Merges the entries of another scheduler. A replica takes its lists of earlier fronts;
    /// otherwise, this instance schedules and may know more of them. Returns the hashes of the jobs
    /// with earlier fronts that may have runs.
    pub fn merge(&mut self, message: &wire::Submissions, is_replica: bool, now: Time) -> Vec<u64> {
        let mut superseded = Vec::new();
        let fronts: Vec<Option<InstanceId>> =
            message.fronts.iter().map(|front| front.parse().ok()).collect();
        let named = |index: &u32| fronts.get(usize::try_from(*index).ok()?)?.clone();
        for submission in &message.submissions {
            let Some(front) = named(&submission.front) else { continue };
            let arrived = now - Span::from_ms(submission.age_ms.into());
            let until = now + Span::from_ms(submission.left_ms.into());
            let earlier = submission.earlier.iter().filter_map(named);
            let part = self.part_mut(submission.job);
            if part.get_mut(&submission.job).is_none_or(|known| known.until <= now) {
                let (front, arrived) = (Some(front.clone()), Some(arrived));
                let (again, earlier) = (submission.again, Vec::new());
                part.insert(submission.job, Entry { front, arrived, until, again, earlier });
            }
            let Some(entry) = part.get_mut(&submission.job) else { continue };
            entry.until = entry.until.max(until);
            entry.again |= submission.again;
            if is_replica {
                entry.earlier.clear();
            }
            if entry.front.as_ref().is_none_or(|known| *known == front) {
                entry.front = Some(front);
                entry.arrived = entry.arrived.max(Some(arrived));
            } else if entry.arrived.is_none_or(|known| known <= arrived) {
                entry.replace_front(front);
                entry.arrived = Some(arrived);
            } else {
                entry.add_earlier(front);
            }
            for front in earlier {
                if entry.front.as_ref() != Some(&front) {
                    entry.add_earlier(front);
                }
            }
            if !entry.earlier.is_empty() {
                superseded.push(submission.job);
            }
        }
        superseded
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

    fn mark_changed(&mut self, job: u64) {
        if let Err(place) = self.changed.binary_search(&job) {
            self.changed.insert(place, job);
        }
    }

    fn part(&self, job: u64) -> &VecMap<u64, Entry> {
        &self.parts[part_index(job)]
    }

    fn part_mut(&mut self, job: u64) -> &mut VecMap<u64, Entry> {
        &mut self.parts[part_index(job)]
    }
}

fn part_index(job: u64) -> usize {
    usize::try_from(job % PARTS as u64).unwrap_or_default()
}

fn to_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
