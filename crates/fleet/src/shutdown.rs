//! Planned shutdown: until when jobs are accepted, and when the remaining ones are answered.
//!
//! The platform kills the process at the end of the grace period, and callers keep their
//! connections until then. The remaining jobs are therefore answered shortly before, whatever their
//! deadlines.

use cranberryhatch_types::{Span, Time};

use crate::Job;

/// Longest time after a shutdown request in which new jobs are accepted.
///
/// The load balancer may route new callers here until then: it checks once a second and reacts
/// after two failed checks. Later jobs are refused, because callers on open connections would
/// otherwise keep the instance busy until it is killed.
pub const ACCEPT_PERIOD: Span = Span::from_ms(2_500);
/// Time before the end of the grace period at which the remaining jobs are answered: up to 50 ms
/// each until the process notices the signal and the end of the shutdown, 20 ms for a tick, and 200
/// ms each to write the answers and to flush the log.
const RESERVE: Span = Span::from_ms(600);

/// A planned shutdown that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    requested_at: Time,
    accepts_until: Time,
    ends_at: Time,
}

impl Shutdown {
    /// Begins a shutdown; the process is killed after the grace period.
    #[must_use]
    pub fn new(grace: Span, now: Time) -> Self {
        let ends_at = (now + grace) - RESERVE.min(grace / 2);
        // The second half is reserved for the jobs that were accepted last.
        Self {
            requested_at: now,
            accepts_until: now + ACCEPT_PERIOD.min(ends_at.since(now) / 2),
            ends_at,
        }
    }

    /// Returns whether a job is accepted: new callers are expected, and its declared run time fits.
    #[must_use]
    pub fn accepts(&self, job: &Job, now: Time) -> bool {
        now < self.accepts_until && now + job.shortest() <= self.ends_at
    }

    /// Returns whether the load balancer may still route new callers here.
    #[must_use]
    pub fn expects_callers(&self, now: Time) -> bool {
        now < self.accepts_until
    }

    /// Returns whether the remaining jobs must be answered now.
    #[must_use]
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.ends_at
    }

    /// Returns the time from the request in which jobs are accepted.
    #[must_use]
    pub fn accept_period(&self) -> Span {
        self.accepts_until.since(self.requested_at)
    }

    /// Returns the progress at a time.
    #[must_use]
    pub fn progress(&self, now: Time) -> ShutdownProgress {
        ShutdownProgress {
            elapsed: now.since(self.requested_at),
            remaining: self.ends_at.since(now),
        }
    }
}

/// Progress of a planned shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownProgress {
    /// Time since the shutdown request.
    pub elapsed: Span,
    /// Time until the remaining jobs are answered.
    pub remaining: Span,
}
