//! Workers as the platform lists them.

use std::net::SocketAddr;

use cranberryhatch_types::{Time, WorkerId};

use crate::{Incarnation, Job, Need, Step, ZoneDrains};

/// A worker.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Its id.
    pub id: WorkerId,
    /// Service that it belongs to.
    pub service: String,
    /// Where it takes orders.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Kind, rack and other labels.
    pub labels: Vec<String>,
    /// All of its room.
    pub room: Need,
    /// Whether it must get no new work: it is leaving, or its zone is drained.
    pub draining: bool,
    /// Whether its zone is drained.
    pub drained: bool,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

impl ListedWorker {
    /// Whether it has a label, or none is asked for.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.labels.iter().any(|known| known == label)
    }
}

/// All listed workers, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct WorkerList {
    // As they were read, and with the zone drains.
    read: Vec<ListedWorker>,
    workers: Vec<ListedWorker>,
    drains: ZoneDrains,
    /// When the list was last read from the platform.
    pub read_at: Time,
}

impl WorkerList {
    /// Takes a new list.
    pub fn replace(&mut self, mut workers: Vec<ListedWorker>, now: Time) {
        workers.sort_by(|a, b| a.id.cmp(&b.id));
        workers.dedup_by(|a, b| a.id == b.id);
        self.read = workers;
        self.apply();
        self.read_at = now;
    }

    /// Workers of drained zones count as draining from now on.
    pub fn drain(&mut self, drains: &ZoneDrains) {
        self.drains = drains.clone();
        self.apply();
    }

    fn apply(&mut self) {
        self.workers.clone_from(&self.read);
        for worker in &mut self.workers {
            worker.drained = self.drains.contains(&worker.zone);
            worker.draining |= worker.drained;
        }
    }

    /// Whether a zone is drained.
    #[must_use]
    pub fn is_zone_drained(&self, zone: &str) -> bool {
        self.drains.contains(zone)
    }

    /// Whether a step of a job cannot run because every worker for it is draining, one at least with its
    /// zone.
    #[must_use]
    pub fn is_drained(&self, job: &Job) -> bool {
        let is_step_drained = |step: &Step| {
            let fits = |listed: &&ListedWorker| {
                listed.service == job.settings.service
                    && listed.has_label(&step.label)
                    && step.need.fits(&listed.room)
            };
            let mut any = false;
            let all = self.workers.iter().filter(fits).all(|listed| {
                any |= listed.drained;
                listed.draining
            });
            all && any
        };
        job.steps.iter().any(is_step_drained)
    }

    /// A worker.
    #[must_use]
    pub fn get(&self, id: &WorkerId) -> Option<&ListedWorker> {
        let place = self.workers.binary_search_by(|known| known.id.cmp(id)).ok()?;
        Some(&self.workers[place])
    }

    /// All workers in the order of their ids.
    #[must_use]
    pub fn all(&self) -> &[ListedWorker] {
        &self.workers
    }
}
