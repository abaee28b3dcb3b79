//! Callers' requests that wait for a reply of a shard.

use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use cranberryhatch_core::{Answer, SlabMap, Ticket};

/// Requests that may wait at the same time.
const WAITING_LIMIT: usize = 50_000;

/// Requests that wait, by ticket.
pub struct Replies {
    table: Mutex<Table>,
    limit: usize,
}

#[derive(Default)]
struct Table {
    last: u64,
    waiting: SlabMap<Ticket, Sender<Answer>>,
    closed: bool,
}

/// A request that waits; dropping it frees its ticket.
pub struct Waiting<'a> {
    replies: &'a Replies,
    /// The ticket, for the shard.
    pub ticket: Ticket,
    receiver: Receiver<Answer>,
    late: bool,
}

impl Default for Replies {
    fn default() -> Self {
        Self::new(WAITING_LIMIT)
    }
}

impl Replies {
    /// Makes a table for at most `limit` requests.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { table: Mutex::default(), limit }
    }

    /// Makes a ticket; none when too many requests wait.
    #[must_use]
    pub fn open(&self) -> Option<Waiting<'_>> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut table = self.table();
        if table.waiting.len() >= self.limit {
            return None;
        }
        table.last += 1;
        let ticket = Ticket(table.last);
        table.waiting.insert(ticket, sender);
        Some(Waiting { replies: self, ticket, receiver, late: table.closed })
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table().waiting.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Gives a reply to the request that waits for it.
    pub fn reply(&self, ticket: Ticket, answer: Answer) {
        if let Some(sender) = self.remove(ticket) {
            // A caller that went away does not receive its reply.
            let _ = sender.try_send(answer);
        }
    }

    /// Ends all requests without a reply; those that come later are late.
    pub fn close(&self) {
        let mut table = self.table();
        table.closed = true;
        table.waiting = SlabMap::default();
    }

    fn remove(&self, ticket: Ticket) -> Option<Sender<Answer>> {
        self.table().waiting.remove(&ticket)
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiting<'_> {
    /// Whether the instance is about to end, so that the request may only ask and not wait.
    #[must_use]
    pub const fn is_late(&self) -> bool {
        self.late
    }

    /// Frees the ticket; tells whether its reply had not come.
    pub fn forget(&self) -> bool {
        self.replies.remove(self.ticket).is_some()
    }

    /// Waits for the reply; none when the instance stops.
    pub async fn reply(&self) -> Option<Answer> {
        self.receiver.recv().await.ok()
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.forget();
    }
}
