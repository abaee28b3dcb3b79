//! Model of the platform's table: claims, rows of holders, settings.

use std::sync::Arc;

use cranberryhatch_core::{Answer, ClaimOutcome, HolderRow, JobSpec};
use cranberryhatch_types::{Holder, JobKey, KeyName, Time, ZoneId};

/// A row of `claims`.
#[derive(Clone, Debug)]
pub struct Claim {
    pub holder: Holder,
    /// Number of the write that made it.
    pub write: u64,
    pub spec: Arc<JobSpec>,
    /// Deadline by the world's clock.
    pub deadline: Time,
    pub answer: Option<Answer>,
    /// Whether it landed after its holder was taken over, so that nobody reads it.
    pub late: bool,
}

/// The table.
#[derive(Debug, Default)]
pub struct Table {
    pub down: bool,
    pub claims: Vec<Claim>,
    pub holders: Vec<HolderRow>,
    released: Vec<(Holder, JobKey, u64)>,
    /// Holders whose rows were removed.
    pub removed: Vec<Holder>,
}

impl Table {
    pub fn claim(&self, key: &JobKey) -> Option<&Claim> {
        self.claims.iter().find(|claim| claim.spec.key == *key)
    }

    /// Inserts a claim when absent; the same write again is granted again.
    pub fn insert(&mut self, new: Claim) -> ClaimOutcome {
        match self.claim(&new.spec.key) {
            None if self.is_released(&new) => ClaimOutcome::Unavailable,
            None => {
                let late = self.row(&new.holder).is_some_and(|row| !row.successors.is_empty());
                self.claims.push(Claim { late, ..new });
                ClaimOutcome::Granted
            }
            Some(old) if old.write == new.write => ClaimOutcome::Granted,
            Some(old) => ClaimOutcome::Held {
                holder: old.holder.clone(),
                digest: old.spec.digest,
                answer: old.answer.clone().map(Box::new),
            },
        }
    }

    /// Records the end of a job that `me` is responsible for; a claim keeps its holder, and a
    /// missing one is made for an issued key only.
    pub fn record(&mut self, me: &Holder, new: Claim) {
        let responsible = self.claim(&new.spec.key).map(|old| self.may_write(me, &old.holder));
        match responsible {
            None if self.is_released(&new) => {}
            None if matches!(new.spec.key.name, KeyName::Issued { .. }) => {
                let late = self.row(&new.holder).is_some_and(|row| !row.successors.is_empty());
                self.claims.push(Claim { late, ..new });
            }
            Some(true) => {
                let same = |claim: &&mut Claim| claim.spec.key == new.spec.key;
                if let Some(old) = self.claims.iter_mut().find(same) {
                    old.answer = old.answer.take().or(new.answer);
                }
            }
            None | Some(false) => {}
        }
    }

    /// Removes a claim whose end is not recorded and that `me` made before a write, also when it
    /// lands only later, or that `me` took over.
    pub fn release(&mut self, me: &Holder, key: &JobKey, until: u64) {
        let gone = |claim: &Claim| {
            let own = claim.holder != *me || claim.write < until;
            own && self.may_write(me, &claim.holder)
        };
        let found = self.claim(key).is_some_and(|claim| gone(claim) && claim.answer.is_none());
        if found {
            self.claims.retain(|claim| claim.spec.key != *key);
        }
        self.released.push((me.clone(), key.clone(), until));
    }

    fn is_released(&self, claim: &Claim) -> bool {
        self.released.iter().any(|(holder, key, until)| {
            *holder == claim.holder && *key == claim.spec.key && claim.write < *until
        })
    }

    pub fn row(&self, holder: &Holder) -> Option<&HolderRow> {
        self.holders.iter().find(|row| row.holder == *holder)
    }

    /// Renews a holder's row, or makes it; false when the holder was taken over.
    pub fn renew(&mut self, holder: &Holder, zone: &ZoneId) -> bool {
        match self.holders.iter_mut().find(|row| row.holder == *holder) {
            Some(row) if row.successors.is_empty() => {
                row.renewals += 1;
                row.version += 1;
                true
            }
            Some(_) => false,
            None if self.removed.contains(holder) => false,
            None => {
                let (holder, zone) = (holder.clone(), zone.clone());
                let row =
                    HolderRow { holder, renewals: 0, zone, version: 1, successors: Vec::new() };
                self.holders.push(row);
                true
            }
        }
    }

    /// Takes a row over by compare-and-set; returns the unfinished claims of its holder.
    pub fn take_over(&mut self, me: &Holder, holder: &Holder, version: u64) -> Option<Vec<Claim>> {
        let mut rows = self.holders.iter_mut();
        let row = rows.find(|row| row.holder == *holder && row.version == version)?;
        row.version += 1;
        if row.successors.last() != Some(me) {
            row.successors.push(me.clone());
        }
        let open = |claim: &&Claim| claim.holder == *holder && claim.answer.is_none();
        Some(self.claims.iter().filter(open).cloned().collect())
    }

    /// Removes the row of a holder that stopped gracefully.
    pub fn remove(&mut self, holder: &Holder) {
        self.holders.retain(|row| row.holder != *holder || !row.successors.is_empty());
        self.removed.push(holder.clone());
    }

    /// Whether `me` may start a job that `holder` claimed; a holder that was taken over does not
    /// know it at once, and is stopped by the fence.
    pub fn may_start(&self, me: &Holder, holder: &Holder) -> bool {
        me == holder || self.row(holder).is_some_and(|row| row.successors.contains(me))
    }

    /// Whether the end of a job that `holder` claimed is for `me` to write.
    fn may_write(&self, me: &Holder, holder: &Holder) -> bool {
        let taken = self.row(holder).and_then(|row| row.successors.last());
        taken.map_or(me == holder, |last| last == me)
    }
}
