//! Zone drains: availability zones whose workers get no new tasks, and how recent that knowledge is.

use cranberryhatch_schema::fleet;
use cranberryhatch_types::{Span, Time};

/// Time that the store has to answer before the word of a peer is enough; a call to it ends after 600 ms.
const STORE_TIMEOUT: Span = Span::from_ms(700);
/// Time after which an instance that can ask neither the store nor a peer goes on with what it knows.
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
    /// Whether its workers get nothing from now on.
    pub drained: bool,
    /// Version of the store that made the change; 0 if the store does not tell.
    pub version: u64,
}

/// Zone drains that were read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainRead {
    /// Whether these are all drains, instead of changes in their order.
    pub complete: bool,
    /// Version of the store up to which they are complete.
    pub version: u64,
    /// The drains or changes.
    pub changes: Vec<ZoneChange>,
}

impl ZoneDrains {
    /// Drains that a peer has.
    #[must_use]
    pub fn from_peer(drains: fleet::Drains) -> Self {
        Self::new(drains.version, drains.zones)
    }

    fn new(version: u64, mut zones: Vec<String>) -> Self {
        zones.sort();
        zones.dedup();
        Self { version, zones }
    }

    /// The message for a peer.
    #[must_use]
    pub fn to_message(&self) -> fleet::Drains {
        fleet::Drains { version: self.version, zones: self.zones.clone() }
    }

    /// Version of the store; 0 if nothing was read.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Drained zones, sorted.
    #[must_use]
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Whether a zone is drained.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.binary_search_by(|known| known.as_str().cmp(zone)).is_ok()
    }

    /// The drains after a read of the store.
    ///
    /// Changes that are older than what is known are left out: a peer has told of later ones meanwhile.
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

    /// Zones that differ in `next`, which takes the place of these if it is newer.
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

/// Whether the drains that are known are recent enough to start tasks.
///
/// After a start or a pause of the process the store is asked again. What a peer says is enough where
/// the store does not answer.
#[derive(Clone, Copy, Debug)]
pub struct DrainFreshness {
    // Start of the process or end of its last pause: later answers are recent.
    since: Time,
    fresh: bool,
    store_failed: bool,
    peer_agrees: bool,
}

impl DrainFreshness {
    /// Nothing was asked yet.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self { since: now, fresh: false, store_failed: false, peer_agrees: false }
    }

    /// Since when the store or a peer must have said what is known.
    #[must_use]
    pub const fn since(&self) -> Time {
        self.since
    }

    /// Whether tasks may be started.
    #[must_use]
    pub const fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// The store answered a request that was sent at `asked`, or did not.
    pub fn record_store_read(&mut self, asked: Time, answered: bool) {
        if asked >= self.since {
            self.fresh |= answered;
            self.store_failed |= !answered;
        }
    }

    /// A peer knows nothing newer.
    pub const fn record_peer_agreement(&mut self) {
        self.peer_agrees = true;
    }

    /// Counts the word of a peer, or gives up asking; whether it gave up just now.
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
