//! Worker processes that have crashed, as the changes of the worker list show.

use cranberryhatch_types::{Span, Time, WorkerId};

use crate::{Incarnation, ListedWorker, VecMap};

/// Time for which a crash is remembered, and for which a worker that is not listed any more may
/// turn out to have crashed.
const RETENTION: Span = Span::from_secs(60);

/// A worker process that was listed.
#[derive(Clone, Debug)]
struct ListedProcess {
    listed: ListedWorker,
    at: Time,
}

/// Recently crashed worker processes.
///
/// A process has crashed if it was not draining and a later process has its id or its address. A
/// worker that is merely not listed any more may be running out of reach.
#[derive(Clone, Debug, Default)]
pub struct WorkerCrashes {
    // Processes that are not listed any more, oldest first.
    departed: Vec<ListedProcess>,
    // Crashed processes by id.
    crashed: VecMap<WorkerId, Vec<(Incarnation, Time)>>,
}

impl WorkerCrashes {
    /// Compares two successive versions of the list, both sorted by id.
    pub fn observe(&mut self, before: &[ListedWorker], after: &[ListedWorker], now: Time) {
        self.departed.retain(|process| now.since(process.at) < RETENTION);
        self.crashed.retain(|_, processes| {
            processes.retain(|(_, at)| now.since(*at) < RETENTION);
            !processes.is_empty()
        });
        let find = |list: &[ListedWorker], id: &WorkerId| {
            list.binary_search_by(|known| known.id.cmp(id)).ok()
        };
        let mut added = Vec::new();
        for listed in after {
            match find(before, &listed.id).map(|index| &before[index]) {
                None => added.push(listed),
                Some(known)
                    if listed.incarnation.is_other(known.incarnation)
                        && !self.is_outdated(listed) =>
                {
                    self.add_crash(known, now);
                }
                Some(_) => {}
            }
        }
        let gone = before.iter().filter(|known| find(after, &known.id).is_none());
        self.departed.extend(gone.map(|known| ListedProcess { listed: known.clone(), at: now }));
        for known in self.replaced_by(&added, after) {
            self.add_crash(&known, now);
        }
    }

    /// Returns the processes whose id or address a new one has.
    fn replaced_by(&self, added: &[&ListedWorker], after: &[ListedWorker]) -> Vec<ListedWorker> {
        if added.is_empty() {
            return Vec::new();
        }
        let departed = || self.departed.iter().map(|process| &process.listed);
        let mut by_addr: Vec<&ListedWorker> = departed().chain(after).collect();
        by_addr.sort_by_key(|known| known.addr);
        let mut replaced = Vec::new();
        for successor in added.iter().filter(|successor| !self.is_outdated(successor)) {
            let first = by_addr.partition_point(|known| known.addr < successor.addr);
            let same_addr =
                by_addr[first..].iter().copied().take_while(|known| known.addr == successor.addr);
            let same_id = departed().filter(|known| known.id == successor.id);
            let earlier = same_addr.chain(same_id).filter(|known| precedes(known, successor));
            replaced.extend(earlier.cloned());
        }
        replaced
    }

    /// Returns whether an entry is of a process that is known to have crashed, so that it comes from
    /// an earlier version of the list.
    fn is_outdated(&self, listed: &ListedWorker) -> bool {
        listed.incarnation.is_known() && self.contains(&listed.id, listed.incarnation)
    }

    fn add_crash(&mut self, ended: &ListedWorker, now: Time) {
        if ended.draining {
            return;
        }
        let processes = self.crashed.get_or_insert_with(ended.id.clone(), Vec::new);
        if !processes.iter().any(|(incarnation, _)| *incarnation == ended.incarnation) {
            processes.push((ended.incarnation, now));
        }
    }

    /// Returns whether a process has crashed. If its incarnation is unknown, any crash under its id
    /// counts.
    #[must_use]
    pub fn contains(&self, worker: &WorkerId, incarnation: Incarnation) -> bool {
        let processes = self.crashed.get(worker).map(Vec::as_slice).unwrap_or_default();
        processes.iter().any(|(ended, _)| !incarnation.is_known() || *ended == incarnation)
    }
}

/// Returns whether a process is an earlier one than its successor under the same id or address.
///
/// Without incarnations, the id of a worker changes with its process.
fn precedes(known: &ListedWorker, successor: &ListedWorker) -> bool {
    if known.id == successor.id {
        return successor.incarnation.is_other(known.incarnation);
    }
    let is_later = successor.incarnation.has_higher_start(known.incarnation);
    is_later || !known.incarnation.is_known()
}
