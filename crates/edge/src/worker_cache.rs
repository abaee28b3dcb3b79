//! Entries of workers, as the store or the reader of the zone tells them.

use cranberryhatch_fleet::{Incarnation, ListedWorker, Need, VecMap, text_hash};
use cranberryhatch_schema::fleet;
use cranberryhatch_types::{Span, Time, WorkerId};

/// Time after a message of the reader of the zone in which the store is not read; it speaks twice a
/// second, and a worker that leaves must get no starts 2 s after it says so.
const FRESH_FOR: Span = Span::from_ms(1_000);
/// Time after a pause of this process in which messages of the reader may have waited for it.
const STALE_AFTER_PAUSE: Span = Span::from_ms(1_000);
/// Gap between two ticks that counts as a pause.
const PAUSE_GAP: Span = Span::from_ms(400);

/// Whether the reader of the zone has lately told of the workers, so that the store is not read.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListFreshness {
    confirmed_at: Option<Time>,
    last_tick: Option<Time>,
    stale_until: Time,
}

impl ListFreshness {
    /// The reader has the same list as this instance.
    pub fn confirm(&mut self, now: Time) {
        self.tick(now);
        if now >= self.stale_until {
            self.confirmed_at = Some(now);
        }
    }

    /// Whether the list is fresh.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        self.confirmed_at.is_some_and(|at| now.since(at) < FRESH_FOR)
    }

    /// Is called often: a gap between two calls means that this process stood still, and that what it
    /// reads next may be as old as the gap.
    pub fn tick(&mut self, now: Time) {
        if self.last_tick.is_some_and(|last_tick| now.since(last_tick) >= PAUSE_GAP) {
            self.confirmed_at = None;
            self.stale_until = now + STALE_AFTER_PAUSE;
        }
        self.last_tick = Some(now);
    }
}

/// What the store has under the id of a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerEntry {
    /// The worker.
    Listed(ListedWorker),
    /// Nothing any more.
    Removed,
    /// Something that cannot be read; it names no worker, whatever was there before.
    Unreadable,
}

/// A change of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerChange {
    /// Id of the worker.
    pub key: String,
    /// What the store has now.
    pub entry: WorkerEntry,
}

/// Entries of workers, with those that vanished while the store was away.
#[derive(Debug, Default)]
pub struct WorkerCache {
    workers: VecMap<String, ListedWorker>,
    // When an entry that is missing after an outage counts as gone.
    missing_until: VecMap<String, Time>,
    // Version up to which they are complete; none before a whole list was read.
    version: Option<u64>,
    // Sum of the hashes of all workers.
    digest: u64,
    // Entries that changed since they were last passed on.
    unsent: Vec<String>,
    // Keys of entries that cannot be read, sorted.
    unreadable: Vec<String>,
}

impl WorkerCache {
    /// Version up to which they are complete; none before a whole list was read.
    #[must_use]
    pub const fn version(&self) -> Option<u64> {
        self.version
    }

    /// Reads the whole list again the next time.
    pub const fn forget_version(&mut self) {
        self.version = None;
    }

    /// Takes a whole list or changes that were read from the store; whether any worker changed.
    ///
    /// Workers that are missing from the store are kept until `grace`, if there is one.
    pub fn apply_read(
        &mut self,
        is_complete: bool,
        changes: Vec<WorkerChange>,
        version: u64,
        grace: Option<Time>,
    ) -> bool {
        if self.version.is_some_and(|known| known > version) {
            // The reader of the zone has told of a later version while the answer was under way.
            return false;
        }
        self.version = Some(version);
        let mut changed = false;
        if is_complete {
            self.unreadable.retain(|key| changes.iter().any(|change| change.key == *key));
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
            if entry != WorkerEntry::Unreadable {
                self.unreadable.retain(|known| *known != key);
            }
            changed |= match entry {
                WorkerEntry::Listed(listed) => self.put(key, listed),
                WorkerEntry::Removed => self.remove(key, grace),
                WorkerEntry::Unreadable => self.remove(key, None),
            };
        }
        changed
    }

    /// Notes that an entry cannot be read; whether it could be before, or was not there.
    ///
    /// Its writer repeats it every so often.
    pub fn mark_unreadable(&mut self, key: &str) -> bool {
        let position = self.unreadable.binary_search_by(|known| known.as_str().cmp(key));
        if let Err(position) = position {
            self.unreadable.insert(position, key.to_owned());
        }
        position.is_err()
    }

    /// Whether a worker is known.
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

    /// Removes workers whose grace is over; whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let due = self.missing_until.iter().filter(|(_, until)| now >= **until);
        let gone: Vec<String> = due.map(|(key, _)| key.clone()).collect();
        let any = !gone.is_empty();
        for key in gone {
            self.remove(key, None);
        }
        any
    }

    /// Changes since the last call, for the instances that do not read the store.
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

    /// Takes what the reader of the zone says; whether any worker changed, and whether all of the list
    /// is as the reader has it.
    pub fn apply_update(&mut self, workers: fleet::Workers) -> (bool, bool) {
        let Some(known) = self.version else { return (false, false) };
        let mut changed = false;
        if workers.version >= known {
            for fleet::Entry { id, listed } in workers.changes {
                self.unreadable.retain(|known| *known != id);
                changed |= match listed.map(|listed| from_wire(&id, listed)) {
                    Some(Some(listed)) => self.put(id, listed),
                    // Unreadable: the digests differ then, and the store is read.
                    Some(None) => false,
                    None => self.remove(id, None),
                };
            }
        }
        // Only a reader passes changes on, and it starts with the next one that it reads.
        self.unsent.clear();
        let same = self.digest == workers.digest;
        if same {
            self.version = Some(known.max(workers.version));
        }
        (changed, same)
    }

    /// All workers.
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
    let ListedWorker { id, service, addr, zone, labels, room, draining, drained, incarnation } =
        listed;
    let Need { cores, memory, accels } = room;
    text_hash(&format!(
        "Listed {{ id: WorkerId({:?}), service: {service:?}, addr: {addr}, zone: {zone:?}, \
         labels: {labels:?}, \
         room: Need {{ cores: Cores({cores}), memory: Count({memory}), accels: Accels({accels}) }}, \
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
        room: Some((&listed.room).into()),
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
        room: Need::from(&listed.room?),
        draining: listed.draining,
        drained: false,
        incarnation: Incarnation::new(listed.born_ms),
    })
}
