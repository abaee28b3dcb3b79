//! Steps that wait for room or for better workers until room becomes free.
//!
//! The load it answers is an overload: hundreds of steps wait, and each end of a run gives room to one of them.

use cranberryhatch_types::Time;

use crate::{Need, QueuedTasks};

/// A step that found no worker on which it should run.
#[derive(Debug)]
struct KnownWait {
    service: String,
    label: String,
    rack: String,
    need: Need,
    // Times the expected run time that a task takes on the best worker with room.
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

/// What was found since room last became free, so that not every step behind looks at all workers again:
/// until then room only gets less.
#[derive(Debug, Default)]
pub struct PlacementCache {
    waits: Vec<KnownWait>,
    full: Vec<KnownFull>,
}

/// Tasks for which no worker has room.
#[derive(Debug)]
struct KnownFull {
    service: String,
    label: String,
    need: Need,
}

impl PlacementCache {
    /// Remembers that a step waits.
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

    /// Remembers that no worker has room for the tasks of a step, unless their spread is the reason.
    pub fn add_full(&mut self, queued: &QueuedTasks) {
        if queued.spread == 0 {
            let (service, label) = (queued.service.clone(), queued.label.clone());
            self.full.push(KnownFull { service, label, need: queued.need });
        }
    }

    /// Whether no worker has room for tasks that are as small and ask for no more.
    #[must_use]
    pub fn is_full(&self, queued: &QueuedTasks) -> bool {
        self.full.iter().any(|full| {
            full.need.fits(&queued.need)
                && full.service == queued.service
                && (full.label.is_empty() || full.label == queued.label)
        })
    }

    /// Forgets all: workers may have room again.
    pub fn clear(&mut self) {
        self.waits.clear();
        self.full.clear();
    }

    /// Whether a step waits as an earlier one does: it needs as much, and would miss its objective where
    /// there is room while it can still meet it elsewhere, or be of no use there while it can be elsewhere.
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
