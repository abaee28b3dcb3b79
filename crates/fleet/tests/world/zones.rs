//! Zone drains in the store, and the reads of them by the instances.

use cranberryhatch_fleet::{DrainRead, ZoneChange};
use cranberryhatch_types::Time;

use super::{EventKind, World};

/// Time from a request to the store, or from a change there, to the response.
const STORE_LATENCY: u64 = 4;
/// Time after a drain from which an instance that reaches the store must not send start requests to
/// the zone.
const DRAIN_BOUND: u64 = 5_000;
/// Time within which an instance reads the store again once it can reach it.
const STORE_RETRY_LIMIT: u64 = 1_000;

/// The store's table of drained zones.
#[derive(Debug)]
pub struct Store {
    version: u64,
    /// Drained zones, with the time of the drain.
    drained: Vec<(usize, u64)>,
    /// Instances whose requests the store rejects.
    refused: Vec<usize>,
    /// Time from which the store serves each instance.
    served: Vec<u64>,
    /// Time from a request, or from a change, to the response.
    pub latency: u64,
    /// Start requests that were sent to a drained zone: time and instance.
    pub starts: Vec<(u64, usize)>,
}

impl Store {
    pub fn new(instances: usize) -> Self {
        Self {
            version: 1,
            drained: Vec::new(),
            refused: Vec::new(),
            served: vec![0; instances],
            latency: STORE_LATENCY,
            starts: Vec::new(),
        }
    }

    fn read(&self) -> DrainRead {
        let version = self.version;
        let change = |(zone, _): &(usize, u64)| ZoneChange {
            zone: format!("z{zone}"),
            drained: true,
            version,
        };
        DrainRead { complete: true, version, changes: self.drained.iter().map(change).collect() }
    }
}

impl World {
    /// Drains a zone or restores it.
    pub fn drain_zone(&mut self, zone: usize, drained: bool) {
        self.store.drained.retain(|(known, _)| *known != zone);
        if drained {
            self.store.drained.push((zone, self.now));
        }
        self.store.version += 1;
        for node in 0..self.instances.len() {
            if self.instances[node].paused {
                // Its connection to the store times out before it resumes.
                continue;
            }
            // The long-poll request has been pending in the store for a while.
            self.read_store(node, self.now.saturating_sub(500));
        }
    }

    /// Restores all zones.
    pub fn restore_zones(&mut self) {
        for zone in 0..self.zones {
            self.drain_zone(zone, false);
        }
    }

    pub fn is_drained(&self, zone: usize) -> bool {
        self.store.drained.iter().any(|(known, _)| *known == zone)
    }

    /// Sets whether the store rejects the requests of an instance.
    pub fn refuse_store(&mut self, node: usize, refuse: bool) {
        self.store.refused.retain(|known| *known != node);
        if refuse {
            self.store.refused.push(node);
        } else {
            self.store.served[node] = self.now;
            self.read_store(node, self.now);
        }
    }

    /// Sends a request to the store, which responds at once.
    pub(super) fn read_store(&mut self, node: usize, sent: u64) {
        let generation = self.instances[node].generation;
        let read = (!self.store.refused.contains(&node)).then(|| self.store.read());
        self.schedule(
            self.now + self.store.latency,
            EventKind::StoreResponse { node, generation, sent, read },
        );
    }

    /// The first read of an instance that has just started; it reads the other lists then too.
    pub(super) fn read_store_at_start(&mut self, node: usize) {
        if !self.store.refused.contains(&node) {
            let read = self.store.read();
            self.store_response(node, self.now, Some(read));
        }
    }

    pub(super) fn store_response(&mut self, node: usize, sent: u64, read: Option<DrainRead>) {
        let sent = Time::from_ms(sent);
        match read {
            Some(read) => {
                self.with_node(node, |n, now, out| n.apply_drain_read(&read, sent, now, out))
            }
            None => self.with_node(node, |n, _, _| n.drain_read_failed(sent)),
        };
    }

    /// Reads the store if the instance needs it after a start or a pause.
    pub(super) fn update_drains(&mut self, node: usize) {
        if self.with_node(node, |n, _, _| n.needs_drain_read()) == Some(true) {
            self.read_store(node, self.now);
        }
    }

    /// Records and checks a start request that an instance sends.
    pub(super) fn check_zone(&mut self, node: usize, worker: usize) {
        let zone = worker % self.zones;
        let Some((_, since)) = self.store.drained.iter().find(|(known, _)| *known == zone) else {
            return;
        };
        let since = *since;
        self.store.starts.push((self.now, node));
        let in_reach = !self.store.refused.contains(&node)
            && self.now > self.store.served[node] + STORE_RETRY_LIMIT;
        if in_reach && self.now > since + DRAIN_BOUND {
            let late = self.now - since;
            let now = self.now;
            self.violations
                .push(format!("{now}: e-{node} sent a start {late} ms after a drain of z{zone}"));
        }
    }
}
