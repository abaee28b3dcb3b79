//! Last contact with each worker.

use cranberryhatch_types::{Time, WorkerId};

#[derive(Debug)]
struct Contact {
    worker: WorkerId,
    last_seen: Time,
    up: bool,
}

/// Time of the last contact with each worker, sorted by worker.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    contacts: Vec<Contact>,
}

impl Contacts {
    /// Records that a worker answered.
    pub(crate) fn mark_seen(&mut self, now: Time, worker: &WorkerId) {
        match self.position(worker) {
            Ok(pos) => {
                self.contacts[pos].last_seen = now;
                self.contacts[pos].up = true;
            }
            Err(pos) => {
                let contact = Contact { worker: worker.clone(), last_seen: now, up: true };
                self.contacts.insert(pos, contact);
            }
        }
    }

    /// Records that a worker does not answer; returns whether it answered before.
    pub(crate) fn mark_lost(&mut self, worker: &WorkerId) -> bool {
        self.position(worker).is_ok_and(|pos| std::mem::replace(&mut self.contacts[pos].up, false))
    }

    /// Returns the time of the last contact with a worker, or [`Time::ZERO`] if there was none.
    pub(crate) fn last_seen(&self, worker: &WorkerId) -> Time {
        self.position(worker).map_or(Time::ZERO, |pos| self.contacts[pos].last_seen)
    }

    fn position(&self, worker: &WorkerId) -> Result<usize, usize> {
        self.contacts.binary_search_by(|contact| contact.worker.cmp(worker))
    }
}
