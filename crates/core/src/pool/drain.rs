//! Drained availability zones: no task is placed on their workers, and no slot is lent there.

use cranberryhatch_settings::Drains;
use cranberryhatch_types::Time;

use super::{Pool, WorkerNo};

impl Pool {
    /// Applies the drained zones; returns whether they changed.
    pub(crate) fn set_drains(&mut self, now: Time, drains: &Drains) -> bool {
        if self.drains == *drains {
            return false;
        }
        self.drains = drains.clone();
        for no in self.all() {
            let worker = &mut self.workers[no.index()];
            let was_usable = worker.is_usable();
            worker.drained = self.drains.has(&worker.endpoint.zone);
            if was_usable && !worker.is_usable() {
                self.unlendable.push(no);
            }
        }
        self.refresh_all(now);
        true
    }

    /// Returns the drained zones in force.
    pub(crate) const fn drains(&self) -> &Drains {
        &self.drains
    }

    /// Returns whether a worker's zone is drained.
    pub(crate) fn is_drained(&self, no: WorkerNo) -> bool {
        self.workers[no.index()].drained
    }

    /// Returns whether any worker of the own zone answers.
    pub(crate) fn has_live_workers(&self) -> bool {
        self.workers.iter().any(|worker| worker.up && worker.endpoint.zone == self.zone)
    }
}
