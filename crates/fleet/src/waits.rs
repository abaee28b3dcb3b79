//! Steps that wait for better workers in one pass of the scheduler.

use cranberryhatch_types::Time;

use crate::{Need, Waiting};

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

/// What was found in this pass, so that not every step behind looks at all workers again: within a pass
/// room only gets less.
#[derive(Debug, Default)]
pub struct Waits {
    found: Vec<Wait>,
}

impl Waits {
    /// Remembers that a step waits.
    pub fn add(&mut self, waiting: &Waiting, factor: f64) {
        self.found.push(Wait {
            service: waiting.service.clone(),
            label: waiting.label.clone(),
            rack: waiting.rack.clone(),
            need: waiting.need,
            factor,
        });
    }

    /// Whether a step waits as an earlier one does: it needs as much, and would miss its objective where
    /// there is room while it can still meet it elsewhere.
    #[must_use]
    pub fn holds(&self, waiting: &Waiting, now: Time) -> bool {
        let longest = waiting.due.since(waiting.on_time).as_ms();
        let left = waiting.due.since(now).as_ms();
        now <= waiting.on_time
            && waiting.avoid.is_empty()
            && self.found.iter().any(|wait| {
                wait.need.fits(&waiting.need)
                    && left < stretched(longest, wait.factor)
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
