//! Retention of the answers to ended jobs, and of keys that must not be started again.

use cranberryhatch_types::{Bytes, JobKey, Span, Time};

use crate::{Answer, ChunkMap, Code, Digest, Outcome, SlabMap, key_hash::key_hash};

/// Maximum number of records in a shard, of 40 bytes each; beyond it, the oldest keys are refused.
const MAX_RECORDS: usize = 400_000;
/// Estimated memory of a retained answer in bytes, without its results.
const ANSWER_SIZE: u64 = 512;
/// Estimated memory of a result in bytes, without its content.
const RESULT_SIZE: u64 = 32;

/// A retained answer.
#[derive(Debug)]
struct KeptAnswer {
    digest: Digest,
    answer: Answer,
    size: u64,
    expires: Time,
}

/// Record of an ended job, which outlives the job's answer.
#[derive(Clone, Copy, Debug)]
struct Record {
    digest: u64,
    outcome: Outcome,
    // Number of the answer, which may have been dropped.
    kept: u64,
}

/// What is known of a key that was used before.
#[derive(Debug)]
pub(crate) enum Remembered {
    /// The answer to the job.
    Answer(Answer),
    /// The key was used for another body.
    Reused,
    /// The key may have been used; its record was dropped.
    Forgotten,
}

/// Ended jobs of a shard.
#[derive(Debug, Default)]
pub(crate) struct Retention {
    kept: SlabMap<u64, KeptAnswer>,
    by_expiry: ChunkMap<(Time, u64), ()>,
    // Memory used by retained answers, in bytes.
    size: u64,
    next: u64,
    // Ordered by the time of the key. The records dropped first are those whose keys expire first,
    // so that a single time tells which keys may have been forgotten.
    records: ChunkMap<(Time, u64), Record>,
    // Latest key time among the dropped records.
    horizon: Option<Time>,
}

impl Retention {
    /// Retains the answer to a job for `span`, or until the answers exceed `memory`.
    pub(crate) fn keep(
        &mut self,
        now: Time,
        digest: &Digest,
        answer: Answer,
        span: Span,
        memory: Bytes,
    ) {
        let hash = key_hash(&answer.key);
        let created = answer.key.name.time();
        let kept = self.next;
        self.next += 1;
        let record = Record { digest: digest_prefix(digest), outcome: answer.outcome, kept };
        self.records.insert((created, hash), record);
        while self.records.len() > MAX_RECORDS {
            self.drop_first_record();
        }
        let results = answer.results.iter();
        let size = ANSWER_SIZE
            + results.map(|result| RESULT_SIZE + result.len() as u64).sum::<u64>()
            + answer.detail.len() as u64;
        if size > memory.get() {
            return;
        }
        let expires = now + span;
        self.size += size;
        self.by_expiry.insert((expires, kept), ());
        self.kept.insert(kept, KeptAnswer { digest: *digest, answer, size, expires });
        while self.size > memory.get() {
            let Some(oldest) = self.kept.iter().next().map(|(no, _)| *no) else { break };
            self.drop_answer(oldest);
        }
    }

    /// Drops the answers whose retention time is over.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some((&(expires, no), ())) = self.by_expiry.first() {
            if expires > now {
                return;
            }
            self.drop_answer(no);
        }
    }

    /// Drops up to two records of keys that are refused as expired anyway.
    pub(crate) fn forget_expired(&mut self, wall: Time, remember: Span) {
        // Two records for each new key, so that their number falls towards those still needed.
        for _ in 0..2 {
            match self.records.first() {
                Some((&(created, _), _)) if created + remember < wall => self.drop_first_record(),
                _ => return,
            }
        }
    }

    /// Returns what is known of a key, for a certain body or for any.
    pub(crate) fn find(&self, key: &JobKey, digest: Option<&Digest>) -> Option<Remembered> {
        let hash = key_hash(key);
        let created = key.name.time();
        let Some(record) = self.records.get(&(created, hash)) else {
            return self
                .horizon
                .filter(|horizon| created <= *horizon)
                .map(|_| Remembered::Forgotten);
        };
        if digest.is_some_and(|digest| digest_prefix(digest) != record.digest) {
            return Some(Remembered::Reused);
        }
        if let Some(kept) = self.kept.get(&record.kept).filter(|kept| kept.answer.key == *key) {
            return Some(match digest {
                Some(digest) if kept.digest != *digest => Remembered::Reused,
                _ => Remembered::Answer(kept.answer.clone()),
            });
        }
        let answer = Answer::new(key.clone(), record.outcome)
            .code(Code::AnswerExpired)
            .detail("the job ended with this outcome; its answer is no longer retained");
        Some(Remembered::Answer(answer))
    }

    /// Returns the memory used by retained answers, in bytes.
    pub(crate) const fn size(&self) -> u64 {
        self.size
    }

    fn drop_answer(&mut self, no: u64) {
        if let Some(kept) = self.kept.remove(&no) {
            self.size -= kept.size;
            self.by_expiry.remove(&(kept.expires, no));
        }
    }

    fn drop_first_record(&mut self) {
        if let Some(((created, _), _)) = self.records.pop_first() {
            self.horizon = Some(self.horizon.map_or(created, |horizon| horizon.max(created)));
        }
    }
}

/// First 8 bytes of a digest, enough to detect another body; a record stores no more.
fn digest_prefix(digest: &Digest) -> u64 {
    digest.iter().take(8).fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}
