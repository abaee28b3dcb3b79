//! Probes: single tasks on slow workers, to see whether they have recovered.
//!
//! A probe on a worker that is still slow costs a job its objective, so few are under way. Workers that
//! were slow for one cause recover together: each probe that goes well doubles the number of probes at a
//! time, and one that does not resets it.

use cranberryhatch_types::{Span, Time, WorkerId};

/// Time from a worker's turn to slow, or from a probe that went badly, to the next probe.
const FIRST_WAIT: Span = Span::from_ms(500);
/// The same after many of them.
const LAST_WAIT: Span = Span::from_ms(4_800);
/// From this wait on it grows by a twentieth each time instead of doubling: workers that have been slow
/// for some ten seconds are still found recovered within one to two.
const SLOW_GROWTH_FROM: Span = Span::from_ms(1_000);
/// Time for which only suitable tasks are taken for a probe; none may come.
const SUITABLE_ONLY: Span = Span::from_ms(500);
/// Time after which a probe that is not over does not hold up another one.
const LONG: Span = Span::from_ms(1_000);
/// Most probes at a time.
const WINDOW_MAX: usize = 16;
/// Time after which a probe whose end was not reported is forgotten.
const FORGOTTEN_AFTER: Span = Span::from_secs(5);

/// Probes of the workers of one service.
#[derive(Debug)]
pub struct Probes {
    open: Vec<(WorkerId, Time)>,
    window: usize,
    wait: Span,
    next: Time,
}

impl Probes {
    /// No probe yet; the first may begin after a short wait.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self { open: Vec::new(), window: 1, wait: FIRST_WAIT, next: now + FIRST_WAIT }
    }

    /// A worker turned slow: it is probed soon, also where earlier probes have gone badly.
    pub fn hasten(&mut self, now: Time) {
        self.next = self.next.min(now + FIRST_WAIT);
    }

    /// Whether a further probe may begin.
    #[must_use]
    pub fn may_begin(&self, now: Time) -> bool {
        let recent = self.open.iter().filter(|(_, at)| now.since(*at) < LONG).count();
        now >= self.next && recent < self.window
    }

    /// Whether a task of any kind may be the next probe, because no suitable one came.
    #[must_use]
    pub fn is_overdue(&self, now: Time) -> bool {
        now >= self.next + SUITABLE_ONLY
    }

    /// A probe begins.
    pub fn begin(&mut self, worker: WorkerId, now: Time) {
        self.open.retain(|(known, at)| *known != worker && now.since(*at) < FORGOTTEN_AFTER);
        self.open.push((worker, now));
        if self.window == 1 {
            self.next = now + self.wait;
        }
    }

    /// Workers on which probes are under way.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.open.iter().map(|(worker, _)| worker)
    }

    /// Whether a probe of the worker is under way.
    #[must_use]
    pub fn is_open(&self, worker: &WorkerId) -> bool {
        self.open.iter().any(|(known, _)| known == worker)
    }

    /// The probe of a worker ended; `good` is none where the end leaves its speed open.
    pub fn ended(&mut self, worker: &WorkerId, good: Option<bool>, now: Time) {
        let place = self.open.iter().position(|(known, _)| known == worker);
        let begun = place.map_or(now, |place| self.open.swap_remove(place).1);
        match good {
            Some(true) => {
                self.window = (self.window * 2).min(WINDOW_MAX);
                self.wait = FIRST_WAIT;
                self.next = now;
            }
            Some(false) => {
                self.window = 1;
                self.next = self.next.max(begun + self.wait);
                let grown = if self.wait < SLOW_GROWTH_FROM {
                    (self.wait * 2).min(SLOW_GROWTH_FROM)
                } else {
                    self.wait * 21 / 20
                };
                self.wait = grown.min(LAST_WAIT);
            }
            None => self.next = now,
        }
    }
}
