//! Workers as the platform lists them.

use std::net::SocketAddr;

use cranberryhatch_types::{Time, WorkerId};

use crate::Need;

/// One life of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Id of this life.
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
    /// Whether it is leaving and must get no new work.
    pub draining: bool,
}

impl Listed {
    /// Whether it has a label, or none is asked for.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.labels.iter().any(|known| known == label)
    }
}

/// All listed workers, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    workers: Vec<Listed>,
    /// When the list was last read from the platform.
    pub read_at: Time,
}

impl Listing {
    /// Takes a new list.
    pub fn replace(&mut self, mut workers: Vec<Listed>, now: Time) {
        workers.sort_by(|a, b| a.id.cmp(&b.id));
        workers.dedup_by(|a, b| a.id == b.id);
        self.workers = workers;
        self.read_at = now;
    }

    /// A worker.
    #[must_use]
    pub fn get(&self, id: &WorkerId) -> Option<&Listed> {
        let place = self.workers.binary_search_by(|known| known.id.cmp(id)).ok()?;
        Some(&self.workers[place])
    }

    /// All workers in the order of their ids.
    #[must_use]
    pub fn all(&self) -> &[Listed] {
        &self.workers
    }
}
