//! Jobs of a shard by number and by key.

use cranberryhatch_types::{JobKey, Time};

use crate::{ChunkMap, JobNo, SlabMap, job::Job, key_hash::key_hash};

type IndexKey = (Time, u64, JobNo);

/// Jobs of a shard that have not ended.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    jobs: SlabMap<JobNo, Job>,
    // By time and hash of the key. Keys mostly come in the order of their times, so that entries in
    // use lie close together; the job itself tells keys of equal hash apart.
    index: ChunkMap<IndexKey, ()>,
    next: u64,
    // Tasks that are not in flight and have no result, whatever they wait for.
    pending: u64,
}

impl JobTable {
    /// Adds a job and gives it a number.
    pub(crate) fn insert(&mut self, job: Job) -> JobNo {
        let no = JobNo(self.next);
        self.next += 1;
        self.pending += job.pending();
        self.index.insert(index_key(&job.spec.key, no), ());
        self.jobs.insert(no, job);
        no
    }

    /// Number of the job with a key.
    pub(crate) fn find(&self, key: &JobKey) -> Option<JobNo> {
        let from = index_key(key, JobNo(0));
        let same = |found: &IndexKey| (found.0, found.1) == (from.0, from.1);
        let found = self.index.range(&from).take_while(|(found, ())| same(found));
        let mut numbers = found.map(|((_, _, no), ())| *no);
        numbers.find(|no| self.jobs.get(no).is_some_and(|job| job.spec.key == *key))
    }

    /// A job by number.
    pub(crate) fn get(&self, no: JobNo) -> Option<&Job> {
        self.jobs.get(&no)
    }

    /// A job by number, to be changed.
    pub(crate) fn get_mut(&mut self, no: JobNo) -> Option<&mut Job> {
        self.jobs.get_mut(&no)
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, no: JobNo) -> Option<Job> {
        let job = self.jobs.remove(&no)?;
        self.pending -= job.pending();
        self.index.remove(&index_key(&job.spec.key, no));
        Some(job)
    }

    /// A task of a job went into flight.
    pub(crate) fn mark_sent(&mut self, no: JobNo) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.in_flight += 1;
            self.pending -= 1;
        }
    }

    /// A task of a job came back without result.
    pub(crate) fn mark_returned(&mut self, no: JobNo) {
        if let Some(job) = self.jobs.get_mut(&no) {
            job.in_flight -= 1;
            self.pending += 1;
        }
    }

    /// A task that was not in flight got its result from a former holder.
    pub(crate) const fn finished_pending(&mut self) {
        self.pending -= 1;
    }

    /// Tasks that are not in flight and have no result.
    pub(crate) const fn pending(&self) -> u64 {
        self.pending
    }

    /// All jobs in the order of their arrival.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (JobNo, &Job)> {
        self.jobs.iter().map(|(no, job)| (*no, job))
    }

    /// Whether there is no job.
    pub(crate) const fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

fn index_key(key: &JobKey, no: JobNo) -> IndexKey {
    (key.name.time(), key_hash(key), no)
}
