//! Tasks that may crash their worker and run at the moment.

use cranberryhatch_types::{Span, Time};

use crate::TaskKey;

/// Time from the start of a task that crashes its worker until the worker takes tasks again: its
/// lease ends after 1 s, and it is back some seconds after the crash.
const HOLD_TIME: Span = Span::from_ms(4_500);
/// Maximum share of the workers of a service that may run such tasks or be down because of them, as
/// a divisor.
const MAX_SHARE_DIVISOR: usize = 16;

/// A suspect task that was started.
#[derive(Clone, Debug)]
struct Started {
    service: String,
    task: TaskKey,
    at: Time,
}

/// Started tasks that may crash their worker.
///
/// Only so many run at a time that the others find workers even if all of them crash.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    started: Vec<Started>,
}

impl Suspects {
    /// Returns whether another suspect task may start on a service with this number of workers.
    #[must_use]
    pub fn may_start(&self, service: &str, workers: usize, now: Time) -> bool {
        let is_held = |s: &&Started| s.service == service && now.since(s.at) < HOLD_TIME;
        self.started.iter().filter(is_held).count() < (workers / MAX_SHARE_DIVISOR).max(1)
    }

    /// Records the start of a suspect task.
    pub fn start(&mut self, service: &str, task: TaskKey, now: Time) {
        self.started.retain(|started| now.since(started.at) < HOLD_TIME);
        self.started.push(Started { service: service.to_owned(), task, at: now });
    }

    /// Records the end of a run that did not crash its worker.
    pub fn clear(&mut self, task: &TaskKey) {
        self.started.retain(|started| started.task != *task);
    }
}
