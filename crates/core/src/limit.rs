//! Adaptive concurrency limit of one endpoint.

use cranberryhatch_types::{Span, Time};

/// Thousandths per slot; limits are kept in thousandths of a slot.
const SLOT: u32 = 1_000;
/// Number of runs before a worker's latency is compared with that of other workers.
const MIN_RUNS: u32 = 4;
/// Fixed-point scale of latencies (64ths of a millisecond), so that averages of short tasks keep
/// their fraction.
const SCALE: u64 = 64;
/// A worker more than this many times slower than the typical one has its limit decreased.
const SLOW_FACTOR: u64 = 3;
/// A worker up to this many times slower than the typical one has its limit increased.
const NORMAL_FACTOR: u64 = 2;
/// Minimum time between two decreases, so that busy responses to simultaneous starts count once.
const DECREASE_INTERVAL: Span = Span::from_ms(100);
/// Initial pause after a busy response; doubles with each further one.
const BUSY_PAUSE: Span = Span::from_ms(5);
/// Maximum number of doublings; the longest pause is 320 ms.
const MAX_DOUBLINGS: u32 = 6;

/// Additive-increase, multiplicative-decrease limit on the slots used on one endpoint.
///
/// The limit follows busy responses and measured run times relative to those of other workers.
/// Declared run times are not used.
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    // The limit in thousandths of a slot.
    milli: u32,
    // Average run time in 64ths of a millisecond.
    latency: u64,
    runs: u32,
    // When the limit was last decreased.
    decreased: Time,
    // Consecutive busy responses.
    busy: u32,
    paused_until: Time,
}

impl Limit {
    /// Creates a limit that allows all slots.
    pub(crate) const fn new(slots: u32) -> Self {
        let milli = slots.saturating_mul(SLOT);
        Self {
            milli,
            latency: 0,
            runs: 0,
            decreased: Time::ZERO,
            busy: 0,
            paused_until: Time::ZERO,
        }
    }

    /// Returns how many of `slots` may be used; at least one, so that a recovery is noticed.
    pub(crate) fn cap(&self, slots: u32) -> u32 {
        (self.milli / SLOT).max(1).min(slots)
    }

    /// Returns the average run time in 64ths of a millisecond.
    pub(crate) const fn latency(&self) -> u64 {
        self.latency
    }

    /// Returns the average run time in 64ths of a millisecond once it is based on enough runs.
    pub(crate) const fn measured(&self) -> Option<u64> {
        if self.runs >= MIN_RUNS { Some(self.latency) } else { None }
    }

    /// Returns the time until which the worker is paused after busy responses.
    pub(crate) const fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// Records the run time of a completed task; `typical` is the run time on a typical worker.
    pub(crate) fn record_run(&mut self, now: Time, took: Span, typical: Option<u64>, slots: u32) {
        let took = took.as_ms().saturating_mul(SCALE);
        self.latency = if self.runs == 0 { took } else { (self.latency * 7 + took) / 8 };
        self.runs = self.runs.saturating_add(1);
        self.busy = 0;
        let typical = typical.filter(|_| self.runs >= MIN_RUNS).unwrap_or(self.latency).max(1);
        if self.latency > typical.saturating_mul(SLOW_FACTOR) {
            self.decrease(now);
        } else if self.latency <= typical.saturating_mul(NORMAL_FACTOR) {
            let step = SLOT.saturating_mul(SLOT) / self.milli.max(SLOT);
            self.milli = (self.milli + step).min(slots.saturating_mul(SLOT));
        }
    }

    /// Adapts to a changed number of slots; a limit that was not decreased follows it.
    pub(crate) const fn resize(&mut self, before: u32, after: u32) {
        if self.milli >= before.saturating_mul(SLOT) {
            self.milli = after.saturating_mul(SLOT);
        }
    }

    /// Records a busy response.
    pub(crate) fn record_busy(&mut self, now: Time) {
        self.decrease(now);
        self.paused_until = now + BUSY_PAUSE * (1 << self.busy.min(MAX_DOUBLINGS));
        self.busy = self.busy.saturating_add(1);
    }

    fn decrease(&mut self, now: Time) {
        if self.decreased == Time::ZERO || now.since(self.decreased) >= DECREASE_INTERVAL {
            self.decreased = now;
            self.milli = (self.milli / 10 * 7).max(SLOT);
        }
    }
}
