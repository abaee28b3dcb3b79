//! Cache of failed placements, valid until capacity becomes free.
//!
//! In an overload, hundreds of steps wait, and each end of a run frees capacity for one of them.

use cranberryhatch_types::Time;

use crate::{Need, QueuedTasks};

/// Needs of a step that waits for a better worker.
#[derive(Debug)]
struct KnownWait {
    service: String,
    label: String,
    rack: String,
    need: Need,
    // Multiple of the expected run time on the best worker with free capacity.
    factor: f64,
}

impl KnownWait {
    fn matches(&self, queued: &QueuedTasks) -> bool {
        self.need == queued.need
            && self.service == queued.service
            && self.label == queued.label
            && self.rack == queued.rack
    }
}

/// Failed placements since capacity last became free. They save similar steps a search of all
/// workers, because until then capacity only gets scarcer.
#[derive(Debug, Default)]
pub struct PlacementCache {
    waits: Vec<KnownWait>,
    full: Vec<KnownFull>,
}

/// Needs of tasks for which no worker has capacity.
#[derive(Debug)]
struct KnownFull {
    service: String,
    label: String,
    need: Need,
}

impl PlacementCache {
    /// Records that a step waits for a better worker.
    pub fn add_wait(&mut self, queued: &QueuedTasks, factor: f64) {
        if let Some(known) = self.waits.iter_mut().find(|wait| wait.matches(queued)) {
            known.factor = known.factor.max(factor);
            return;
        }
        self.waits.push(KnownWait {
            service: queued.service.clone(),
            label: queued.label.clone(),
            rack: queued.rack.clone(),
            need: queued.need,
            factor,
        });
    }

    /// Records that no worker has capacity for the tasks of a step, unless the cause is the limit
    /// of tasks per worker.
    pub fn add_full(&mut self, queued: &QueuedTasks) {
        if queued.spread == 0 {
            let (service, label) = (queued.service.clone(), queued.label.clone());
            self.full.push(KnownFull { service, label, need: queued.need });
        }
    }

    /// Returns whether no worker has capacity for these tasks, because it had none for tasks that
    /// need no more and accept any of the same workers.
    #[must_use]
    pub fn is_full(&self, queued: &QueuedTasks) -> bool {
        self.full.iter().any(|full| {
            full.need.fits(&queued.need)
                && full.service == queued.service
                && (full.label.is_empty() || full.label == queued.label)
        })
    }

    /// Clears the cache because capacity may have become free.
    pub fn clear(&mut self) {
        self.waits.clear();
        self.full.clear();
    }

    /// Returns whether a step must wait like an earlier one that needs no more.
    ///
    /// This holds if it would miss its latency target on the workers with free capacity but can
    /// still meet it elsewhere, or if its result would not be useful there but can be elsewhere.
    #[must_use]
    pub fn must_wait(&self, queued: &QueuedTasks, now: Time) -> bool {
        if !queued.avoid.is_empty() || self.waits.is_empty() {
            return false;
        }
        let longest = queued.due.since(queued.latest_start);
        let limit = if now <= queued.latest_start {
            queued.due
        } else if now <= queued.useful_start {
            queued.useful_start + longest
        } else {
            return false;
        };
        let left = limit.since(now).as_ms();
        self.waits.iter().any(|wait| {
            left < scaled(longest.as_ms(), wait.factor)
                && wait.need.fits(&queued.need)
                && wait.service == queued.service
                && wait.label == queued.label
                && wait.rack == queued.rack
        })
    }
}

fn scaled(ms: u64, factor: f64) -> u64 {
    #[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 ms")]
    let ms = ms as f64 * factor;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative")]
    let ms = ms as u64;
    ms
}
