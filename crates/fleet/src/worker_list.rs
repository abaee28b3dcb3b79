//! The platform's list of workers.

use std::net::SocketAddr;

use cranberryhatch_types::{Time, WorkerId};

use crate::{Incarnation, Job, Need, Step, WorkerCrashes, ZoneDrains};

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Id of the worker.
    pub id: WorkerId,
    /// Service whose tasks it runs.
    pub service: String,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Labels, such as its kind and its rack.
    pub labels: Vec<String>,
    /// Total capacity.
    pub capacity: Need,
    /// Whether it must not get new work, because it is leaving or its zone is drained.
    pub draining: bool,
    /// Whether its zone is drained.
    pub drained: bool,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

impl ListedWorker {
    /// Returns whether it has a label; an empty label matches every worker.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.labels.iter().any(|known| known == label)
    }

    /// Returns whether these are the attributes of an incarnation, as far as the platform tells.
    ///
    /// A worker may restart under its id with another service, other labels and another capacity.
    #[must_use]
    pub const fn describes(&self, incarnation: Incarnation) -> bool {
        !self.incarnation.is_other(incarnation)
    }
}

/// The listed workers, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct WorkerList {
    // The list as it was read, and the same with the zone drains applied.
    read: Vec<ListedWorker>,
    workers: Vec<ListedWorker>,
    drains: ZoneDrains,
    crashes: WorkerCrashes,
    /// Time at which the list was last read from the platform.
    pub read_at: Time,
}

impl WorkerList {
    /// Replaces the list.
    pub fn replace(&mut self, mut workers: Vec<ListedWorker>, now: Time) {
        workers.sort_by(|a, b| a.id.cmp(&b.id));
        workers.dedup_by(|a, b| a.id == b.id);
        self.crashes.observe(&self.read, &workers, now);
        self.read = workers;
        self.apply();
        self.read_at = now;
    }

    /// Returns the worker processes that have crashed recently.
    #[must_use]
    pub const fn crashes(&self) -> &WorkerCrashes {
        &self.crashes
    }

    /// Sets the zone drains; workers of drained zones count as draining.
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

    /// Returns whether a zone is drained.
    #[must_use]
    pub fn is_zone_drained(&self, zone: &str) -> bool {
        self.drains.contains(zone)
    }

    /// Returns whether a step of a job cannot run because all workers that fit it are draining, at
    /// least one of them because its zone is drained.
    #[must_use]
    pub fn is_drained(&self, job: &Job) -> bool {
        let is_step_drained = |step: &Step| {
            let fits = |listed: &&ListedWorker| {
                listed.service == job.settings.service
                    && listed.has_label(&step.label)
                    && step.need.fits(&listed.capacity)
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

    /// Returns a worker by its id.
    #[must_use]
    pub fn get(&self, id: &WorkerId) -> Option<&ListedWorker> {
        let index = self.workers.binary_search_by(|known| known.id.cmp(id)).ok()?;
        Some(&self.workers[index])
    }

    /// Returns all workers, sorted by id.
    #[must_use]
    pub fn all(&self) -> &[ListedWorker] {
        &self.workers
    }
}
