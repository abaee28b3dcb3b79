//! What the client keeps of one endpoint.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use async_channel::{Receiver, Sender};
use cranberryhatch_core::{AttemptId, AttemptStatus, Endpoint};
use cranberryhatch_types::{TaskName, Time, WorkerId, ZoneId};

use super::locked;

/// A question about an attempt that waits to be sent.
pub(super) struct Question {
    pub(super) name: TaskName,
    /// When the attempt was sent.
    pub(super) sent: Time,
    pub(super) sender: Sender<AttemptStatus>,
}

type Flight = ((usize, AttemptId), Sender<()>);

/// An endpoint.
pub struct Worker {
    /// Id of its worker.
    pub id: WorkerId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    seen: AtomicU64,
    tried: AtomicBool,
    last: Mutex<Option<Endpoint>>,
    flights: Mutex<Vec<Flight>>,
    pub(super) questions: Mutex<Vec<Question>>,
}

/// An attempt whose start is under way; dropping it ends it.
pub struct InFlight<'a> {
    worker: &'a Worker,
    key: (usize, AttemptId),
    ended: Receiver<()>,
}

impl Worker {
    pub(super) fn new(id: WorkerId, addr: SocketAddr, zone: ZoneId, now: Time) -> Self {
        Self {
            id,
            addr,
            zone,
            seen: AtomicU64::new(now.as_ms()),
            tried: AtomicBool::new(false),
            last: Mutex::default(),
            flights: Mutex::default(),
            questions: Mutex::default(),
        }
    }

    /// When it last answered a heartbeat, or was learned.
    #[must_use]
    pub fn seen(&self) -> Time {
        Time::from_ms(self.seen.load(Ordering::Relaxed))
    }

    /// Whether it ever answered a heartbeat.
    #[must_use]
    pub fn is_known(&self) -> bool {
        locked(&self.last).is_some()
    }

    /// Takes note that the shards were told how a heartbeat to it ended.
    pub fn note_tried(&self) {
        self.tried.store(true, Ordering::Release);
    }

    /// Whether a heartbeat to it has ended, with an answer or without.
    #[must_use]
    pub fn is_tried(&self) -> bool {
        self.tried.load(Ordering::Acquire)
    }

    /// Its last answer to a heartbeat.
    pub(super) fn last(&self) -> Option<Endpoint> {
        locked(&self.last).clone()
    }

    /// Number of attempts under way.
    pub(super) fn in_flight(&self) -> usize {
        locked(&self.flights).len()
    }

    pub(super) fn note_seen(&self, now: Time, endpoint: &Endpoint) {
        *locked(&self.last) = Some(endpoint.clone());
        self.seen.store(now.as_ms(), Ordering::Relaxed);
    }

    /// Whether attempts are under way.
    #[must_use]
    pub fn is_used(&self) -> bool {
        !locked(&self.flights).is_empty()
    }

    pub(super) fn begin(&self, shard: usize, attempt: AttemptId) -> InFlight<'_> {
        let (sender, ended) = async_channel::bounded(1);
        let key = (shard, attempt);
        locked(&self.flights).push((key, sender));
        InFlight { worker: self, key, ended }
    }

    /// Ends the wait for the answer to a start.
    pub(super) fn end(&self, shard: usize, attempt: AttemptId) {
        // At most a few dozen attempts run on one worker.
        locked(&self.flights).retain(|(key, _)| *key != (shard, attempt));
    }
}

impl InFlight<'_> {
    /// Waits until the attempt is settled in another way.
    pub async fn settled(&self) {
        // The channel is closed when the attempt leaves the list.
        let _ = self.ended.recv().await;
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.worker.end(self.key.0, self.key.1);
    }
}
