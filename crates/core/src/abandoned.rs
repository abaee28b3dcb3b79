//! Claims given up before their result was known.

use std::collections::VecDeque;

use cranberryhatch_types::JobKey;

use crate::{ChunkMap, Code, key_hash::key_hash};

/// Abandoned claims remembered at most; a forgotten one is answered as unknown instead of not run.
const MAX_LOST: usize = 10_000;

/// How far the write of an abandoned claim is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Write {
    /// Its result is still to come.
    Outstanding,
    /// It ended without an answer of the platform, and may still take effect.
    Lost,
}

/// A claim of this holder under which nothing was started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AbandonedClaim {
    /// Why the job did not run.
    pub(crate) code: Code,
    /// Whether no other instance can hold the job.
    pub(crate) exclusive: bool,
    /// How far the write is.
    pub(crate) write: Write,
    /// Highest number of an attempt; a later submission numbers its attempts from there, because
    /// endpoints refuse a name that they have settled as never started.
    pub(crate) number: u32,
}

/// Claims given up, by key.
#[derive(Debug, Default)]
pub(crate) struct Abandoned {
    claims: ChunkMap<(u64, JobKey), AbandonedClaim>,
    // Keys whose write was lost, in the order in which they are forgotten.
    lost: VecDeque<JobKey>,
}

impl Abandoned {
    /// Remembers a claim that was given up.
    pub(crate) fn add(&mut self, key: &JobKey, claim: AbandonedClaim) {
        let AbandonedClaim { write, number, .. } = claim;
        let pos = (key_hash(key), key.clone());
        let number = self.claims.get(&pos).map_or(number, |claim| claim.number.max(number));
        let former = self.claims.insert(pos, AbandonedClaim { number, ..claim });
        if write == Write::Outstanding || former.is_some_and(|claim| claim.write == Write::Lost) {
            return;
        }
        self.lost.push_back(key.clone());
        while self.lost.len() > MAX_LOST {
            let Some(oldest) = self.lost.pop_front() else { return };
            let pos = (key_hash(&oldest), oldest);
            if self.claims.get(&pos).is_some_and(|claim| claim.write == Write::Lost) {
                self.claims.remove(&pos);
            }
        }
    }

    /// The claim given up for a key.
    pub(crate) fn find(&self, key: &JobKey) -> Option<&AbandonedClaim> {
        if self.claims.is_empty() {
            return None;
        }
        self.claims.get(&(key_hash(key), key.clone()))
    }

    /// Forgets the claim given up for a key.
    pub(crate) fn remove(&mut self, key: &JobKey) {
        if !self.claims.is_empty() {
            self.claims.remove(&(key_hash(key), key.clone()));
        }
    }
}
