//! Drained availability zones: no task is placed on their workers, and no slot is lent there.

use cranberryhatch_settings::Drains;
use cranberryhatch_types::Time;

use super::{Pool, WorkerNo};

impl Pool {
    /// Puts drains in force; tells whether others were in force before.
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

    /// Drains in force.
    pub(crate) const fn drains(&self) -> &Drains {
        &self.drains
    }

    /// Whether a worker's zone is drained.
    pub(crate) fn is_drained(&self, no: WorkerNo) -> bool {
        self.workers[no.index()].drained
    }

    /// Whether any worker of the own zone answers.
    pub(crate) fn has_live_workers(&self) -> bool {
        self.workers.iter().any(|worker| worker.up && worker.endpoint.zone == self.zone)
    }
}
