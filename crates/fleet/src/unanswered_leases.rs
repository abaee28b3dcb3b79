//! Requests with a lease that a worker has not answered, and until when they can keep its runs
//! alive.
//!
//! A worker may carry out a request that got no response seconds later, and the lease that it
//! carries may count from then. Such a request extends the lease of what still runs, but it does not
//! bring a run back: it matters only if it can arrive before the lease ends without it.

use cranberryhatch_types::{Span, Time};

use crate::run_lease::{LEASE, LEASE_SLACK, RUN_LIFETIME};

/// Shortest time from sending a request that got no response until it is carried out, unless it is
/// carried out at once. The platform states that this happens seconds later.
pub const MIN_LATE_DELAY: Span = Span::from_secs(2);
/// Longest time until it is carried out, the platform's bound.
pub const MAX_LATE_DELAY: Span = Span::from_secs(12);

/// Identifies a request with a lease among those to one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeasedRequest {
    /// The poll with this number.
    Poll(u64),
    /// The start with this number.
    Start(u64),
}

/// The requests with a lease to one worker that have no response, in the order of sending.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnansweredLeases {
    sent: Vec<(Time, LeasedRequest)>,
}

impl UnansweredLeases {
    /// Creates an empty list.
    #[must_use]
    pub const fn new() -> Self {
        Self { sent: Vec::new() }
    }

    /// Adds a request that is sent now, and forgets those that can no longer be carried out.
    pub fn add(&mut self, request: LeasedRequest, now: Time) {
        let is_past = |sent: Time| now.since(sent + MAX_LATE_DELAY) > Span::ZERO;
        let past = self.sent.partition_point(|(sent, _)| is_past(*sent));
        self.sent.drain(..past);
        self.sent.push((now, request));
    }

    /// Removes a request that got a response, so that it has been carried out or rejected.
    pub fn remove(&mut self, request: LeasedRequest) {
        if let Some(index) = self.sent.iter().rposition(|(_, known)| *known == request) {
            self.sent.remove(index);
        }
    }

    /// Forgets all requests: the worker has accepted a higher token and rejects them.
    pub fn clear(&mut self) {
        self.sent.clear();
    }

    /// Returns the latest end of a lease that ends at `end` unless one of the requests extends it.
    ///
    /// Each request extends the lease at most once, and only if it can arrive before the end that the
    /// earlier ones lead to. A worker that stops responding without earlier losses is not affected:
    /// its last lease ends less than [`MIN_LATE_DELAY`] after its first request without response.
    #[must_use]
    pub fn latest_end(&self, end: Time) -> Time {
        let mut latest = end;
        for (sent, _) in &self.sent {
            if *sent + MIN_LATE_DELAY > latest {
                break;
            }
            let arrival = latest.min(*sent + MAX_LATE_DELAY);
            latest = latest.max(arrival + LEASE + LEASE_SLACK);
        }
        latest
    }

    /// Returns whether one of the requests may have been carried out late by `now`.
    #[must_use]
    pub fn may_have_arrived(&self, now: Time) -> bool {
        self.sent.first().is_some_and(|(sent, _)| *sent + MIN_LATE_DELAY <= now)
    }

    /// Returns whether one of the requests may extend the leases of runs after their lifetime, if
    /// their owner is lost and the latest heartbeat that their fronts have read is one of `now`.
    #[must_use]
    pub fn may_outlast_owner(&self, now: Time) -> bool {
        let last = self.latest_end(now + RUN_LIFETIME);
        last > now + RUN_LIFETIME
    }

    /// Returns the number of requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.sent.len()
    }

    /// Returns whether there is no request.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}
