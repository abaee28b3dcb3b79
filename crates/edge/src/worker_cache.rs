//! Local copy of the worker entries in the platform's store.
//!
//! In each zone one instance, the zone reader, reads the entries from the store and sends the
//! changes to the other instances of its zone. These read the store only when the reader has been
//! silent or when the digests of both copies differ.

use cranberryhatch_fleet::{Incarnation, ListedWorker, Need, VecMap, text_hash};
use cranberryhatch_schema::fleet;
use cranberryhatch_types::{Span, Time, WorkerId};

/// Time for which a message of the zone reader makes reading the store unnecessary.
///
/// The reader sends two messages per second, and a worker must get no starts 2 s after it announces
/// that it is draining.
const FRESH_FOR: Span = Span::from_ms(1_000);
/// Time after a pause of this process during which messages of the reader may be stale, because
/// they waited in the socket.
const STALE_AFTER_PAUSE: Span = Span::from_ms(1_000);
/// Gap between two ticks from which on this process counts as paused.
const PAUSE_GAP: Span = Span::from_ms(400);

/// Tracks whether the zone reader has recently confirmed the local copy, so that the store need not
/// be read.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListFreshness {
    confirmed_at: Option<Time>,
    last_tick: Option<Time>,
    stale_until: Time,
}

impl ListFreshness {
    /// Records that the reader has the same entries as this instance.
    pub fn confirm(&mut self, now: Time) {
        self.tick(now);
        if now >= self.stale_until {
            self.confirmed_at = Some(now);
        }
    }

    /// Returns whether the local copy was confirmed recently.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.confirmed_at.is_some_and(|at| now.since(at) < FRESH_FOR)
    }

    /// Detects pauses of this process; must be called on every tick.
    ///
    /// After a gap between two calls, the next messages that are read may be as old as the gap.
    pub fn tick(&mut self, now: Time) {
        if self.last_tick.is_some_and(|last_tick| now.since(last_tick) >= PAUSE_GAP) {
            self.confirmed_at = None;
            self.stale_until = now + STALE_AFTER_PAUSE;
        }
        self.last_tick = Some(now);
    }
}

/// State of a worker's entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerEntry {
    /// The worker is listed.
    Listed(ListedWorker),
    /// The entry was removed.
    Removed,
    /// The entry is malformed; the worker is treated as not listed, whatever the entry was before.
    Malformed,
}

/// Change of a worker entry.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerChange {
    /// Id of the worker.
    pub key: String,
    /// New state of the entry.
    pub entry: WorkerEntry,
}

/// Worker entries by id, including those that are missing since an outage of the store.
#[derive(Debug, Default)]
pub struct WorkerCache {
    workers: VecMap<String, ListedWorker>,
    // Time until which an entry that is missing after a store outage is kept.
    missing_until: VecMap<String, Time>,
    // Store version up to which the entries are complete; none before the first complete read.
    version: Option<u64>,
    // Wrapping sum of the hashes of all entries.
    digest: u64,
    // Ids of entries that changed since the last update was sent.
    unsent: Vec<String>,
    // Keys of malformed entries, sorted.
    malformed: Vec<String>,
}

impl WorkerCache {
    /// Returns the store version up to which the entries are complete, or `None` before the first
    /// complete read.
    #[must_use]
    pub const fn version(&self) -> Option<u64> {
        self.version
    }

    /// Makes the next read of the store a complete one.
    pub const fn forget_version(&mut self) {
        self.version = None;
    }

    /// Applies a complete list or changes read from the store and returns whether any worker
    /// changed.
    ///
    /// Workers that are missing from the store are kept until `grace`, if it is set.
    pub fn apply_read(
        &mut self,
        is_complete: bool,
        changes: Vec<WorkerChange>,
        version: u64,
        grace: Option<Time>,
    ) -> bool {
        if self.version.is_some_and(|known| known > version) {
            // The zone reader sent a later version while the response was in flight.
            return false;
        }
        self.version = Some(version);
        let mut changed = false;
        if is_complete {
            self.malformed.retain(|key| changes.iter().any(|change| change.key == *key));
            let mut listed: Vec<&str> = changes.iter().map(|change| change.key.as_str()).collect();
            listed.sort_unstable();
            let is_gone = |key: &&String| listed.binary_search(&key.as_str()).is_err();
            let gone: Vec<String> =
                self.workers.iter().map(|(key, _)| key).filter(is_gone).cloned().collect();
            for key in gone {
                changed |= self.remove(key, grace);
            }
        }
        for WorkerChange { key, entry } in changes {
            if entry != WorkerEntry::Malformed {
                self.malformed.retain(|known| *known != key);
            }
            changed |= match entry {
                WorkerEntry::Listed(listed) => self.put(key, listed),
                WorkerEntry::Removed => self.remove(key, grace),
                WorkerEntry::Malformed => self.remove(key, None),
            };
        }
        changed
    }

    /// Records that an entry is malformed and returns whether that is new.
    ///
    /// Workers rewrite their entries periodically, so the same malformed entry is read repeatedly.
    pub fn mark_malformed(&mut self, key: &str) -> bool {
        let position = self.malformed.binary_search_by(|known| known.as_str().cmp(key));
        if let Err(position) = position {
            self.malformed.insert(position, key.to_owned());
        }
        position.is_err()
    }

    /// Returns whether a worker is listed.
    #[must_use]
    pub fn contains(&self, key: &str) -> bool {
        self.workers.contains(key)
    }

    fn put(&mut self, key: String, listed: ListedWorker) -> bool {
        let returned = self.missing_until.remove(&key).is_some();
        if self.workers.get(&key) == Some(&listed) {
            if returned {
                self.unsent.push(key);
            }
            return false;
        }
        self.digest = self.digest.wrapping_add(hash(&listed));
        if let Some(before) = self.workers.insert(key.clone(), listed) {
            self.digest = self.digest.wrapping_sub(hash(&before));
        }
        self.unsent.push(key);
        true
    }

    fn remove(&mut self, key: String, grace: Option<Time>) -> bool {
        if let Some(until) = grace {
            if self.workers.contains(&key) {
                self.missing_until.get_or_insert_with(key, || until);
            }
            return false;
        }
        self.missing_until.remove(&key);
        let Some(before) = self.workers.remove(&key) else { return false };
        self.digest = self.digest.wrapping_sub(hash(&before));
        self.unsent.push(key);
        true
    }

    /// Removes workers whose grace period has ended and returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let due = self.missing_until.iter().filter(|(_, until)| now >= **until);
        let gone: Vec<String> = due.map(|(key, _)| key.clone()).collect();
        let any = !gone.is_empty();
        for key in gone {
            self.remove(key, None);
        }
        any
    }

    /// Returns the changes since the last call, to be sent to the instances that do not read the
    /// store.
    pub fn take_update(&mut self) -> fleet::Workers {
        let mut keys = std::mem::take(&mut self.unsent);
        keys.sort();
        keys.dedup();
        let entry = |id: String| {
            let listed = self.workers.get(&id).map(to_wire);
            fleet::Entry { id, listed }
        };
        let changes = keys.into_iter().map(entry).collect();
        fleet::Workers { version: self.version.unwrap_or_default(), digest: self.digest, changes }
    }

    /// Applies an update from the zone reader.
    ///
    /// Returns whether any worker changed, and whether the entries now match those of the reader.
    pub fn apply_update(&mut self, workers: fleet::Workers) -> (bool, bool) {
        let Some(known) = self.version else { return (false, false) };
        let mut changed = false;
        if workers.version >= known {
            for fleet::Entry { id, listed } in workers.changes {
                self.malformed.retain(|known| *known != id);
                changed |= match listed.map(|listed| from_wire(&id, listed)) {
                    Some(Some(listed)) => self.put(id, listed),
                    // Malformed: the digests then differ, so the store is read.
                    Some(None) => false,
                    None => self.remove(id, None),
                };
            }
        }
        // Only the zone reader sends updates; if this instance becomes the reader, it starts with
        // the changes that it then reads itself.
        self.unsent.clear();
        let matches = self.digest == workers.digest;
        if matches {
            self.version = Some(known.max(workers.version));
        }
        (changed, matches)
    }

    /// Returns all listed workers.
    #[must_use]
    pub fn list(&self) -> Vec<ListedWorker> {
        self.workers.iter().map(|(_, listed)| listed.clone()).collect()
    }
}

/// Returns the hash of a worker entry.
///
/// Instances of different builds compare it, so the text that is hashed must never change, whatever
/// the names of the types and fields are.
fn hash(listed: &ListedWorker) -> u64 {
    let ListedWorker { id, service, addr, zone, labels, capacity, draining, drained, incarnation } =
        listed;
    let Need { cores, memory, accels } = capacity;
    text_hash(&format!(
        "Listed {{ id: WorkerId({:?}), service: {service:?}, addr: {addr}, zone: {zone:?}, \
         labels: {labels:?}, room: Need {{ \
         cores: Cores({cores}), memory: Count({memory}), accels: Accels({accels}) }}, \
         draining: {draining}, drained: {drained}, life: Life({}) }}",
        id.as_str(),
        incarnation.born_ms(),
    ))
}

fn to_wire(listed: &ListedWorker) -> fleet::Listed {
    fleet::Listed {
        service: listed.service.clone(),
        addr: listed.addr.to_string(),
        zone: listed.zone.clone(),
        labels: listed.labels.clone(),
        room: Some((&listed.capacity).into()),
        draining: listed.draining,
        born_ms: listed.incarnation.born_ms(),
    }
}

fn from_wire(id: &str, listed: fleet::Listed) -> Option<ListedWorker> {
    Some(ListedWorker {
        id: id.parse::<WorkerId>().ok()?,
        service: listed.service,
        addr: listed.addr.parse().ok()?,
        zone: listed.zone,
        labels: listed.labels,
        capacity: Need::from(&listed.room?),
        draining: listed.draining,
        drained: false,
        incarnation: Incarnation::new(listed.born_ms),
    })
}
