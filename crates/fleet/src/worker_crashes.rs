//! Worker processes that have crashed, as the changes of the worker list show.

use cranberryhatch_types::{Span, Time, WorkerId};

use crate::{Incarnation, ListedWorker};

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
    // Crashed processes, oldest first.
    crashed: Vec<(Time, WorkerId, Incarnation)>,
}

impl WorkerCrashes {
    /// Compares two successive versions of the list, both sorted by id.
    pub fn observe(&mut self, before: &[ListedWorker], after: &[ListedWorker], now: Time) {
        self.departed.retain(|process| now.since(process.at) < RETENTION);
        self.crashed.retain(|(at, ..)| now.since(*at) < RETENTION);
        let find = |list: &[ListedWorker], id: &WorkerId| {
            list.binary_search_by(|known| known.id.cmp(id)).ok()
        };
        let mut added = Vec::new();
        for listed in after {
            match find(before, &listed.id).map(|index| &before[index]) {
                None => added.push(listed),
                Some(known) if listed.incarnation.is_after(known.incarnation) => {
                    if !known.draining {
                        self.crashed.push((now, known.id.clone(), known.incarnation));
                    }
                }
                Some(_) => {}
            }
        }
        let gone = before.iter().filter(|known| find(after, &known.id).is_none());
        self.departed.extend(gone.map(|known| ListedProcess { listed: known.clone(), at: now }));
        for successor in added {
            self.add_predecessors(successor, after, now);
        }
    }

    /// Adds the processes that had the id or the address of a new one before.
    fn add_predecessors(&mut self, successor: &ListedWorker, listed: &[ListedWorker], now: Time) {
        let replaces = |known: &ListedWorker| {
            let is_later = successor.incarnation.is_after(known.incarnation);
            !known.draining
                && if known.id == successor.id { is_later } else { known.addr == successor.addr }
        };
        let departed = self.departed.iter().map(|process| &process.listed);
        let found: Vec<(WorkerId, Incarnation)> = departed
            .chain(listed)
            .filter(|known| replaces(known))
            .map(|known| (known.id.clone(), known.incarnation))
            .collect();
        for (id, incarnation) in found {
            let is_known = |(_, known, ended): &(Time, WorkerId, Incarnation)| {
                *known == id && *ended == incarnation
            };
            if !self.crashed.iter().any(is_known) {
                self.crashed.push((now, id, incarnation));
            }
        }
    }

    /// Returns whether a process has crashed. If its incarnation is unknown, any crash under its id
    /// counts.
    #[must_use]
    pub fn contains(&self, worker: &WorkerId, incarnation: Incarnation) -> bool {
        self.crashed.iter().any(|(_, id, ended)| {
            id == worker && (!incarnation.is_known() || *ended == incarnation)
        })
    }
}
