//! How long the runs of a worker may go on, by what their owner knows of their fronts.
//!
//! An owner that stood still cannot tell how long ago the orders were sent that it reads, and a front gives
//! up the runs of a silent owner. So each front names the latest sign of life of the owner that it has
//! read, by the owner's own clock, and no run goes on for longer than [`RUN_LIFETIME`] after it.

use cranberryhatch_types::{Span, Time};

/// Longest time that a run is at work after the latest sign of life of its owner that its front has
/// read.
///
/// A front starts a run again after `RUN_EXPIRY`; the platform's callers send a job to another front
/// 1,300 ms after they lost the first.
pub const RUN_LIFETIME: Span = Span::from_ms(1_300);
/// Lease of runs on a worker.
///
/// The platform shortens longer leases to 1 s; below 800 ms a new owner would come too late to keep
/// the runs of one that lost power.
pub const LEASE: Span = Span::from_ms(950);
/// Time that covers a worker's clock that is slow by 2 % (the platform's bound), over a lease and the
/// 3 s after which an idle worker's clock is read again, and the way of the answers.
pub(crate) const LEASE_SLACK: Span = Span::from_ms(90);

/// Length of a lease that is given now, where `seen` is the oldest of the signs that the fronts of the
/// worker's runs have read; zero if none can be given.
#[must_use]
pub fn lease_length(seen: Option<Time>, now: Time) -> Span {
    let left = seen.map_or(LEASE, |seen| (seen + RUN_LIFETIME).since(now + LEASE_SLACK));
    left.min(LEASE)
}
