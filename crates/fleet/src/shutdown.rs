//! A planned stop: until when jobs are taken, and when the last ones get their answer.
//!
//! The platform kills a process at the end of its grace period, and callers keep their connections until
//! then. So a job that is left before that end is answered then, whatever its own time limit is.

use cranberryhatch_types::{Span, Time};

use crate::Job;

/// Time after a request to stop in which the balancer may still send new callers: it checks once a
/// second and acts after two misses.
///
/// Later jobs are refused: callers with open connections would keep the instance busy until it ends_at.
pub const ACCEPT_PERIOD: Span = Span::from_ms(2_500);
/// Time before the end of the grace period at which the jobs that are left are answered: the process
/// notices the signal and the end of the stop after 50 ms each and a tick after 20 ms; answers and the
/// last log lines have 200 ms each.
const RESERVE: Span = Span::from_ms(600);

/// A request to stop.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    requested_at: Time,
    accepts_until: Time,
    ends_at: Time,
}

impl Shutdown {
    /// A request that comes now, with the time until the process is killed.
    #[must_use]
    pub fn new(grace: Span, now: Time) -> Self {
        let ends_at = (now + grace) - RESERVE.min(grace / 2);
        // The other half is left for the jobs that were taken last.
        Self {
            requested_at: now,
            accepts_until: now + ACCEPT_PERIOD.min(ends_at.since(now) / 2),
            ends_at,
        }
    }

    /// Whether a job is taken: its caller was sent here, and its declared run time fits.
    #[must_use]
    pub fn accepts(&self, job: &Job, now: Time) -> bool {
        now < self.accepts_until && now + job.shortest() <= self.ends_at
    }

    /// Whether callers that were sent here before the balancer noticed the stop may still come.
    #[must_use]
    pub fn expects_callers(&self, now: Time) -> bool {
        now < self.accepts_until
    }

    /// Whether the jobs that are left must be answered.
    #[must_use]
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.ends_at
    }

    /// Time in which jobs are taken.
    #[must_use]
    pub fn accept_period(&self) -> Span {
        self.accepts_until.since(self.requested_at)
    }

    /// How far it has come.
    #[must_use]
    pub fn progress(&self, now: Time) -> ShutdownProgress {
        ShutdownProgress {
            elapsed: now.since(self.requested_at),
            remaining: self.ends_at.since(now),
        }
    }
}

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownProgress {
    /// Time since the request to stop.
    pub elapsed: Span,
    /// Time until the jobs that are left are answered.
    pub remaining: Span,
}
