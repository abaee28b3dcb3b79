//! Claims abandoned before their result was known.

use std::collections::VecDeque;

use cranberryhatch_types::{ClaimNo, JobKey};

use crate::{ChunkMap, Code, key_hash::key_hash};

/// Maximum number of abandoned claims remembered after their write was lost; for a forgotten one
/// the answer is "unknown" instead of "not run".
const MAX_LOST: usize = 10_000;

/// State of the write of an abandoned claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Write {
    /// The result of the write of this claim is pending.
    Outstanding(ClaimNo),
    /// The write ended without a response of the platform, and may still take effect.
    Lost,
}

/// A claim of this holder under which no task was started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AbandonedClaim {
    /// Why the job did not run.
    pub(crate) code: Code,
    /// Whether no other instance can hold the job.
    pub(crate) exclusive: bool,
    /// State of the write.
    pub(crate) write: Write,
    /// Highest attempt number used. A later submission continues from there, because endpoints
    /// refuse names that they have reported as never started.
    pub(crate) number: u32,
}

/// Abandoned claims by key.
#[derive(Debug, Default)]
pub(crate) struct Abandoned {
    claims: ChunkMap<(u64, JobKey), AbandonedClaim>,
    // Keys whose write was lost, oldest first; the oldest is forgotten first.
    lost: VecDeque<JobKey>,
}

impl Abandoned {
    /// Adds an abandoned claim.
    pub(crate) fn add(&mut self, key: &JobKey, claim: AbandonedClaim) {
        let AbandonedClaim { write, number, .. } = claim;
        let hashed_key = (key_hash(key), key.clone());
        let number = self.claims.get(&hashed_key).map_or(number, |claim| claim.number.max(number));
        let former = self.claims.insert(hashed_key, AbandonedClaim { number, ..claim });
        if write != Write::Lost || former.is_some_and(|claim| claim.write == Write::Lost) {
            return;
        }
        self.lost.push_back(key.clone());
        while self.lost.len() > MAX_LOST {
            let Some(oldest) = self.lost.pop_front() else { return };
            let hashed_key = (key_hash(&oldest), oldest);
            if self.claims.get(&hashed_key).is_some_and(|claim| claim.write == Write::Lost) {
                self.claims.remove(&hashed_key);
            }
        }
    }

    /// Returns the abandoned claim on a key.
    pub(crate) fn find(&self, key: &JobKey) -> Option<&AbandonedClaim> {
        if self.claims.is_empty() {
            return None;
        }
        self.claims.get(&(key_hash(key), key.clone()))
    }

    /// Removes the abandoned claim on a key.
    pub(crate) fn remove(&mut self, key: &JobKey) {
        if !self.claims.is_empty() {
            self.claims.remove(&(key_hash(key), key.clone()));
        }
    }
}
