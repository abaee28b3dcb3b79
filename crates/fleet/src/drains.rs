//! Zone drains: availability zones whose workers get no new tasks, and whether this knowledge is
//! fresh.

use cranberryhatch_schema::fleet;
use cranberryhatch_types::{Span, Time};

/// Time after which a peer's answer is sufficient if the store has not answered; a request to the
/// store times out after 600 ms.
const STORE_TIMEOUT: Span = Span::from_ms(700);
/// Time after which an instance that reaches neither the store nor a peer continues with the drains
/// it knows.
const GIVE_UP_AFTER: Span = Span::from_ms(2_000);

/// Drained zones as of one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneDrains {
    version: u64,
    zones: Vec<String>,
}

/// A zone that was drained or restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: String,
    /// Whether its workers get no new tasks from now on.
    pub drained: bool,
    /// Version of the store that made the change; 0 if unknown.
    pub version: u64,
}

/// Zone drains that were read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainRead {
    /// Whether `changes` holds all drains instead of changes in order.
    pub complete: bool,
    /// Version of the store up to which the read is complete.
    pub version: u64,
    /// The drains or changes.
    pub changes: Vec<ZoneChange>,
}

impl ZoneDrains {
    /// Creates the drains from a peer's message.
    #[must_use]
    pub fn from_peer(drains: fleet::Drains) -> Self {
        Self::new(drains.version, drains.zones)
    }

    fn new(version: u64, mut zones: Vec<String>) -> Self {
        zones.sort();
        zones.dedup();
        Self { version, zones }
    }

    /// Returns the message for a peer.
    #[must_use]
    pub fn to_message(&self) -> fleet::Drains {
        fleet::Drains { version: self.version, zones: self.zones.clone() }
    }

    /// Returns the version of the store; 0 if nothing was read.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the drained zones, sorted.
    #[must_use]
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Returns whether a zone is drained.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.binary_search_by(|known| known.as_str().cmp(zone)).is_ok()
    }

    /// Returns the drains after a read of the store.
    ///
    /// Changes that are older than the known drains are skipped, because a peer has reported later
    /// ones in the meantime.
    #[must_use]
    pub fn updated_by(&self, read: &DrainRead) -> Self {
        if read.complete {
            let drained = read.changes.iter().filter(|change| change.drained);
            return Self::new(read.version, drained.map(|change| change.zone.clone()).collect());
        }
        let mut next = self.clone();
        for change in &read.changes {
            let version = if change.version == 0 { read.version } else { change.version };
            if version <= self.version {
                continue;
            }
            next.version = next.version.max(version);
            next.zones.retain(|zone| *zone != change.zone);
            if change.drained {
                next.zones.push(change.zone.clone());
            }
        }
        Self::new(next.version, next.zones)
    }

    /// Replaces the drains by newer ones and returns the zones that changed; older ones are
    /// ignored.
    pub fn replace(&mut self, next: Self) -> Vec<ZoneChange> {
        if next.version <= self.version {
            return Vec::new();
        }
        let before = std::mem::replace(self, next);
        let version = self.version;
        let change = |zone: &String, drained| ZoneChange { zone: zone.clone(), drained, version };
        let drained = self.zones.iter().filter(|zone| !before.contains(zone));
        let restored = before.zones.iter().filter(|zone| !self.contains(zone));
        let drained = drained.map(|zone| change(zone, true));
        drained.chain(restored.map(|zone| change(zone, false))).collect()
    }
}

/// Tracks whether the known drains are fresh enough to start tasks.
///
/// After a start or a pause of the process, the store is asked again. A peer's answer is sufficient
/// if the store does not answer.
#[derive(Clone, Copy, Debug)]
pub struct DrainFreshness {
    // Start of the process or end of its last pause; later answers are fresh.
    since: Time,
    fresh: bool,
    store_failed: bool,
    peer_agrees: bool,
}

impl DrainFreshness {
    /// Creates the state before any request.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self { since: now, fresh: false, store_failed: false, peer_agrees: false }
    }

    /// Returns the time since when the store or a peer must have confirmed the drains.
    #[must_use]
    pub const fn since(&self) -> Time {
        self.since
    }

    /// Returns whether tasks may be started.
    #[must_use]
    pub const fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Records whether the store answered a request that was sent at `asked`.
    pub fn record_store_read(&mut self, asked: Time, answered: bool) {
        if asked >= self.since {
            self.fresh |= answered;
            self.store_failed |= !answered;
        }
    }

    /// Records that a peer knows no newer drains.
    pub const fn record_peer_agreement(&mut self) {
        self.peer_agrees = true;
    }

    /// Accepts a peer's answer or gives up waiting, and returns whether it has just given up.
    ///
    /// `settled` is when this instance first had settings.
    pub fn update(&mut self, settled: Option<Time>, now: Time) -> bool {
        if self.fresh {
            return false;
        }
        if self.peer_agrees && (self.store_failed || now.since(self.since) >= STORE_TIMEOUT) {
            self.fresh = true;
            return false;
        }
        self.fresh = settled.is_some_and(|at| now.since(at.max(self.since)) >= GIVE_UP_AFTER);
        self.fresh
    }
}
