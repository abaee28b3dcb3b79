//! Probes: single tasks on slow workers, to see whether they have recovered.
//!
//! A probe on a worker that is still slow costs a job its objective, so few are under way. Workers that
//! were slow for one cause recover together: each probe that goes well doubles the number of probes at a
//! time, and one that does not resets it.

use cranberryhatch_types::{Span, Time, WorkerId};

/// Time from a worker's turn to slow, or from a probe that went badly, to the next probe.
const MIN_INTERVAL: Span = Span::from_ms(500);
/// The same after many of them.
const MAX_INTERVAL: Span = Span::from_ms(4_800);
/// From this wait on it grows by a twentieth each time instead of doubling: workers that have been slow
/// for some ten seconds are still found recovered within one to two.
const SLOW_GROWTH_FROM: Span = Span::from_ms(1_000);
/// Time for which only suitable tasks are taken for a probe; none may come.
const SUITABLE_ONLY_PERIOD: Span = Span::from_ms(500);
/// Time after which a probe that is not over does not hold up another one.
const STALE_AFTER: Span = Span::from_ms(1_000);
/// Most probes at a time.
const MAX_WINDOW: usize = 16;
/// Time after which a probe whose end was not reported is forgotten.
const FORGET_AFTER: Span = Span::from_secs(5);

/// Probes of the workers of one service.
#[derive(Debug)]
pub struct Probes {
    running: Vec<(WorkerId, Time)>,
    window: usize,
    interval: Span,
    next_at: Time,
}

impl Probes {
    /// No probe yet; the first may begin after a short wait.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self { running: Vec::new(), window: 1, interval: MIN_INTERVAL, next_at: now + MIN_INTERVAL }
    }

    /// A worker turned slow: it is probed soon, also where earlier probes have gone badly.
    pub fn schedule_soon(&mut self, now: Time) {
        self.next_at = self.next_at.min(now + MIN_INTERVAL);
    }

    /// Whether a further probe may begin.
    #[must_use]
    pub fn can_start(&self, now: Time) -> bool {
        let recent = self.running.iter().filter(|(_, at)| now.since(*at) < STALE_AFTER).count();
        now >= self.next_at && recent < self.window
    }

    /// Whether a task of any kind may be the next probe, because no suitable one came.
    #[must_use]
    pub fn accepts_any_task(&self, now: Time) -> bool {
        now >= self.next_at + SUITABLE_ONLY_PERIOD
    }

    /// A probe begins.
    pub fn start(&mut self, worker: WorkerId, now: Time) {
        self.running.retain(|(known, at)| *known != worker && now.since(*at) < FORGET_AFTER);
        self.running.push((worker, now));
        if self.window == 1 {
            self.next_at = now + self.interval;
        }
    }

    /// Workers on which probes are under way.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.running.iter().map(|(worker, _)| worker)
    }

    /// Whether a probe of the worker is under way.
    #[must_use]
    pub fn is_probing(&self, worker: &WorkerId) -> bool {
        self.running.iter().any(|(known, _)| known == worker)
    }

    /// The probe of a worker ended; `good` is none where the end leaves its speed open.
    pub fn finish(&mut self, worker: &WorkerId, succeeded: Option<bool>, now: Time) {
        let place = self.running.iter().position(|(known, _)| known == worker);
        let started = place.map_or(now, |place| self.running.swap_remove(place).1);
        match succeeded {
            Some(true) => {
                self.window = (self.window * 2).min(MAX_WINDOW);
                self.interval = MIN_INTERVAL;
                self.next_at = now;
            }
            Some(false) => {
                self.window = 1;
                self.next_at = self.next_at.max(started + self.interval);
                let grown = if self.interval < SLOW_GROWTH_FROM {
                    (self.interval * 2).min(SLOW_GROWTH_FROM)
                } else {
                    self.interval * 21 / 20
                };
                self.interval = grown.min(MAX_INTERVAL);
            }
            None => self.next_at = now,
        }
    }
}
