//! Probes: single tasks that test whether slow workers have recovered.
//!
//! A probe on a worker that is still slow makes a job miss its latency target, so only a few run at
//! a time. Workers that were slow for a common reason recover together: each successful probe
//! doubles the number of concurrent probes, and a failed one resets it.

use cranberryhatch_types::{Span, Time, WorkerId};

/// Time from a worker's slowdown or a failed probe to the next probe.
const MIN_INTERVAL: Span = Span::from_ms(500);
/// Maximum time between probes after many failed ones.
const MAX_INTERVAL: Span = Span::from_ms(4_800);
/// Interval from which it grows by 5 % each time instead of doubling. Workers that have been slow
/// for about ten seconds are then still found to be recovered within one to two seconds.
const SLOW_GROWTH_FROM: Span = Span::from_ms(1_000);
/// Time for which only suitable tasks are used as probes; there may be none.
const SUITABLE_ONLY_PERIOD: Span = Span::from_ms(500);
/// Age from which an unfinished probe no longer delays other probes.
const STALE_AFTER: Span = Span::from_ms(1_000);
/// Maximum number of concurrent probes.
const MAX_WINDOW: usize = 16;
/// Age from which a probe without a reported end is forgotten.
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
    /// Creates a state without probes; the first one can start after the minimum interval.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self { running: Vec::new(), window: 1, interval: MIN_INTERVAL, next_at: now + MIN_INTERVAL }
    }

    /// Schedules a probe soon after a worker became slow, even if earlier probes have failed.
    pub fn schedule_soon(&mut self, now: Time) {
        self.next_at = self.next_at.min(now + MIN_INTERVAL);
    }

    /// Returns whether another probe can start.
    #[must_use]
    pub fn can_start(&self, now: Time) -> bool {
        let recent = self.running.iter().filter(|(_, at)| now.since(*at) < STALE_AFTER).count();
        now >= self.next_at && recent < self.window
    }

    /// Returns whether any task can be the next probe, because no suitable one was found in time.
    #[must_use]
    pub fn accepts_any_task(&self, now: Time) -> bool {
        now >= self.next_at + SUITABLE_ONLY_PERIOD
    }

    /// Records the start of a probe.
    pub fn start(&mut self, worker: WorkerId, now: Time) {
        self.running.retain(|(known, at)| *known != worker && now.since(*at) < FORGET_AFTER);
        self.running.push((worker, now));
        if self.window == 1 {
            self.next_at = now + self.interval;
        }
    }

    /// Returns the workers that are being probed.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.running.iter().map(|(worker, _)| worker)
    }

    /// Returns whether a worker is being probed.
    #[must_use]
    pub fn is_probing(&self, worker: &WorkerId) -> bool {
        self.running.iter().any(|(known, _)| known == worker)
    }

    /// Records the end of a probe; `succeeded` is `None` if the end says nothing about the worker's
    /// speed.
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
