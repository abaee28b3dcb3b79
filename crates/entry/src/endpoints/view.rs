//! What operators see of endpoints.

use cranberryhatch_types::Time;
use serde::Serialize;

use super::Worker;

/// What an instance knows of one endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerView {
    id: String,
    addr: String,
    zone: String,
    rack: Option<String>,
    slots: Option<u32>,
    free: Option<u32>,
    leaving: Option<bool>,
    in_flight: usize,
    age_ms: u64,
}

impl WorkerView {
    /// The view of an endpoint at a time.
    #[must_use]
    pub fn new(worker: &Worker, now: Time) -> Self {
        let last = worker.last();
        Self {
            id: worker.id.to_string(),
            addr: worker.addr.to_string(),
            zone: worker.zone.to_string(),
            rack: last.as_ref().map(|endpoint| endpoint.rack.to_string()),
            slots: last.as_ref().map(|endpoint| endpoint.slots.get()),
            free: last.as_ref().map(|endpoint| endpoint.free.get()),
            leaving: last.as_ref().map(|endpoint| endpoint.leaving),
            in_flight: worker.in_flight(),
            age_ms: now.since(worker.seen()).as_ms(),
        }
    }
}
