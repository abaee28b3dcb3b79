//! Steps that wait for room or for better workers until room becomes free.
//!
//! The load it answers is an overload: hundreds of steps wait, and each end of a run gives room to one of them.

use cranberryhatch_types::Time;

use crate::{Need, QueuedTasks};

/// A step that found no worker on which it should run.
#[derive(Debug)]
struct Wait {
    service: String,
    label: String,
    rack: String,
    need: Need,
    // Times the expected run time that a task takes on the best worker with room.
    factor: f64,
}

impl Wait {
    fn is_like(&self, waiting: &QueuedTasks) -> bool {
        self.need == waiting.need
            && self.service == waiting.service
            && self.label == waiting.label
            && self.rack == waiting.rack
    }
}

/// What was found since room last became free, so that not every step behind looks at all workers again:
/// until then room only gets less.
#[derive(Debug, Default)]
pub struct PlacementCache {
    found: Vec<Wait>,
    full: Vec<Full>,
}

/// Tasks for which no worker has room.
#[derive(Debug)]
struct Full {
    service: String,
    label: String,
    need: Need,
}

impl PlacementCache {
    /// Remembers that a step waits.
    pub fn add(&mut self, waiting: &QueuedTasks, factor: f64) {
        if let Some(known) = self.found.iter_mut().find(|wait| wait.is_like(waiting)) {
            known.factor = known.factor.max(factor);
            return;
        }
        self.found.push(Wait {
            service: waiting.service.clone(),
            label: waiting.label.clone(),
            rack: waiting.rack.clone(),
            need: waiting.need,
            factor,
        });
    }

    /// Remembers that no worker has room for the tasks of a step, unless their spread is the reason.
    pub fn add_full(&mut self, waiting: &QueuedTasks) {
        if waiting.spread == 0 {
            let (service, label) = (waiting.service.clone(), waiting.label.clone());
            self.full.push(Full { service, label, need: waiting.need });
        }
    }

    /// Whether no worker has room for tasks that are as small and ask for no more.
    #[must_use]
    pub fn is_full(&self, waiting: &QueuedTasks) -> bool {
        self.full.iter().any(|full| {
            full.need.fits(&waiting.need)
                && full.service == waiting.service
                && (full.label.is_empty() || full.label == waiting.label)
        })
    }

    /// Forgets all: workers may have room again.
    pub fn clear(&mut self) {
        self.found.clear();
        self.full.clear();
    }

    /// Whether a step waits as an earlier one does: it needs as much, and would miss its objective where
    /// there is room while it can still meet it elsewhere, or be of no use there while it can be elsewhere.
    #[must_use]
    pub fn holds(&self, waiting: &QueuedTasks, now: Time) -> bool {
        if !waiting.avoid.is_empty() || self.found.is_empty() {
            return false;
        }
        let longest = waiting.due.since(waiting.latest_start);
        let limit = if now <= waiting.latest_start {
            waiting.due
        } else if now <= waiting.useful_start {
            waiting.useful_start + longest
        } else {
            return false;
        };
        let left = limit.since(now).as_ms();
        self.found.iter().any(|wait| {
            left < stretched(longest.as_ms(), wait.factor)
                && wait.need.fits(&waiting.need)
                && wait.service == waiting.service
                && wait.label == waiting.label
                && wait.rack == waiting.rack
        })
    }
}

fn stretched(ms: u64, factor: f64) -> u64 {
    #[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 ms")]
    let ms = ms as f64 * factor;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative")]
    let ms = ms as u64;
    ms
}
