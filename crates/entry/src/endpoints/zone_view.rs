//! What operators see of availability zones.

use cranberryhatch_types::{Span, Time, ZoneId};
use serde::Serialize;

use super::Worker;

/// Age from which on the last answer of an endpoint tells nothing of what runs there now.
const STALE: Span = Span::from_secs(3);

/// What an instance knows of the endpoints of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ZoneView {
    zone: ZoneId,
    drained: bool,
    endpoints: usize,
    /// Endpoints whose running tasks are known; an instance asks those of its own zone and those
    /// that it uses.
    answering: usize,
    /// Tasks of all instances that run on these.
    running: u32,
    /// Attempts of this instance under way in the zone.
    in_flight: usize,
}

impl ZoneView {
    pub(super) const fn new(zone: ZoneId, drained: bool) -> Self {
        Self { zone, drained, endpoints: 0, answering: 0, running: 0, in_flight: 0 }
    }

    /// Adds an endpoint if it is of this zone.
    pub(super) fn add(&mut self, worker: &Worker, now: Time) {
        if worker.zone != self.zone {
            return;
        }
        self.endpoints += 1;
        self.in_flight += worker.in_flight();
        if now.since(worker.seen()) < STALE
            && let Some(last) = worker.last()
        {
            self.answering += 1;
            self.running += last.slots.get().saturating_sub(last.free.get());
        }
    }
}
