//! Unfinished jobs of a shard by number and by key.

use cranberryhatch_types::{JobKey, Time};

use crate::{ChunkMap, JobNo, SlabMap, job::Job, key_hash::key_hash};

type IndexKey = (Time, u64, JobNo);

/// Unfinished jobs of a shard.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    jobs: SlabMap<JobNo, Job>,
    // Ordered by time and hash of the key. Keys mostly arrive in the order of their times, so that
    // entries in use are close together. Keys of equal hash are distinguished by the job.
    index: ChunkMap<IndexKey, ()>,
    next: u64,
    // Tasks that are neither in flight nor have a result, whatever they wait for.
    pending: u64,
}

impl JobTable {
    /// Adds a job and returns its number.
    pub(crate) fn insert(&mut self, job: Job) -> JobNo {
        let no = JobNo(self.next);
        self.next += 1;
        self.pending += job.pending();
        self.index.insert(index_key(&job.spec.key, no), ());
        self.jobs.insert(no, job);
        no
    }

    /// Returns the number of the job with a key.
    pub(crate) fn find(&self, key: &JobKey) -> Option<JobNo> {
        let from = index_key(key, JobNo(0));
        let same = |found: &IndexKey| (found.0, found.1) == (from.0, from.1);
        let found = self.index.range(&from).take_while(|(found, ())| same(found));
        let mut numbers = found.map(|((_, _, no), ())| *no);
        numbers.find(|no| self.jobs.get(no).is_some_and(|job| job.spec.key == *key))
    }

    /// Returns a job by number.
    pub(crate) fn get(&self, no: JobNo) -> Option<&Job> {
        self.jobs.get(&no)
    }

    /// Returns a mutable reference to a job by number.
    pub(crate) fn get_mut(&mut self, no: JobNo) -> Option<&mut Job> {
        self.jobs.get_mut(&no)
    }

    /// Removes and returns a job.
    pub(crate) fn remove(&mut self, no: JobNo) -> Option<Job> {
        let job = self.jobs.remove(&no)?;
        self.pending -= job.pending();
        self.index.remove(&index_key(&job.spec.key, no));
        Some(job)
    }

    /// Records that a task of a job is in flight.
    pub(crate) fn mark_sent(&mut self, no: JobNo) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.in_flight += 1;
            self.pending -= 1;
        }
    }

    /// Records that an attempt at a task ended without a result.
    pub(crate) fn mark_returned(&mut self, no: JobNo) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.in_flight -= 1;
            self.pending += 1;
        }
    }

    /// Records that a task that was not in flight got its result from a former holder.
    pub(crate) const fn finished_pending(&mut self) {
        self.pending -= 1;
    }

    /// Returns the number of tasks that are neither in flight nor have a result.
    pub(crate) const fn pending(&self) -> u64 {
        self.pending
    }

    /// Iterates over all jobs in order of arrival.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (JobNo, &Job)> {
        self.jobs.iter().map(|(no, job)| (*no, job))
    }

    /// Returns whether there are no jobs.
    pub(crate) const fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

fn index_key(key: &JobKey, no: JobNo) -> IndexKey {
    (key.name.time(), key_hash(key), no)
}
