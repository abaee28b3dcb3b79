//! Lengths of run leases.
//!
//! An owner that was paused cannot tell how old the requests are that it reads afterwards, and a
//! front gives up the runs of an owner that is silent. Each front therefore names the owner's
//! latest heartbeat that it has read, by the owner's own clock, and no run continues for longer
//! than [`RUN_LIFETIME`] after it.

use cranberryhatch_types::{Span, Time};

/// Maximum time that a run continues after its owner's latest heartbeat that its front has read.
///
/// A front starts a run again after `RUN_EXPIRY`; the platform's callers send a job to another
/// front 1,300 ms after they lost the first.
pub const RUN_LIFETIME: Span = Span::from_ms(1_300);
/// Length of the leases of runs on a worker.
///
/// The platform shortens longer leases to 1 s. With less than 800 ms, a new owner would take over
/// too late to keep the runs of an instance that lost power.
pub const LEASE: Span = Span::from_ms(950);
/// Percentage by which a worker's clock may be slow, the platform's bound.
const CLOCK_ERROR_PERCENT: u64 = 2;
/// Safety margin of a lease. It covers a worker's clock that is slow over a lease, and the response
/// delay.
pub(crate) const LEASE_SLACK: Span = Span::from_ms(90);

/// Returns the length of a lease that is given now, or zero if none can be given. `seen` is the
/// oldest heartbeat among those that the fronts of the worker's runs have read last.
#[must_use]
pub fn lease_length(seen: Option<Time>, now: Time) -> Span {
    let left = seen.map_or(LEASE, |seen| (seen + RUN_LIFETIME).since(now + LEASE_SLACK));
    left.min(LEASE)
}

/// Returns the lowest time that a worker's clock may show some time after it was read.
///
/// A lease by a higher one may outlast the time after which its owner takes the run to have ended.
pub(crate) const fn earliest_clock(clock: u64, elapsed: Span) -> u64 {
    clock.saturating_add(elapsed.as_ms() * (100 - CLOCK_ERROR_PERCENT) / 100)
}
