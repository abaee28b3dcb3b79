//! Health tracking of one worker.

use cranberryhatch_types::{Span, Time};

/// Maximum number of doublings of the time between two probes.
const MAX_DOUBLINGS: u32 = 5;

/// Whether a worker is assigned tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It is assigned tasks.
    Healthy,
    /// It is assigned no task before this time.
    Ejected(Time),
    /// It is assigned one task at a time until one succeeds.
    Probing,
}

/// Consecutive failures of one worker, its ejection and its probes.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    failures: u32,
    // Consecutive failed probes, up to the maximum number of doublings.
    probes: u32,
    state: State,
}

impl Health {
    /// Creates the state of a worker without failures.
    pub(crate) const fn new() -> Self {
        Self { failures: 0, probes: 0, state: State::Healthy }
    }

    /// Returns the number of tasks that may run concurrently.
    ///
    /// Failures lower it even before the worker is ejected: a worker that fails tasks at once
    /// always has the most free slots, and without the cap one more task would fail for each of
    /// them.
    pub(crate) const fn cap(&self, limit: u32) -> u32 {
        match self.state {
            State::Ejected(_) => 0,
            State::Probing => 1,
            State::Healthy if self.failures == 0 => u32::MAX,
            State::Healthy if self.failures < limit => limit - self.failures,
            State::Healthy => 1,
        }
    }

    /// Returns whether the last task on it failed.
    pub(crate) const fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether it is assigned one task at a time until one succeeds.
    pub(crate) const fn is_probing(&self) -> bool {
        matches!(self.state, State::Probing)
    }

    /// Returns whether it is ejected or being probed.
    pub(crate) const fn is_ejected(&self) -> bool {
        !matches!(self.state, State::Healthy)
    }

    /// Records a success.
    pub(crate) const fn record_success(&mut self) {
        *self = Self::new();
    }

    /// Records a failure; returns whether the worker was healthy and is now ejected. It is ejected
    /// only if `may_eject` says that not too many others are.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        limit: u32,
        probe: Span,
        may_eject: bool,
    ) -> bool {
        self.failures = self.failures.saturating_add(1);
        match self.state {
            State::Healthy if self.failures >= limit && may_eject => {
                self.state = State::Ejected(now + probe);
                true
            }
            State::Probing => {
                self.probes = (self.probes + 1).min(MAX_DOUBLINGS);
                self.state = State::Ejected(now + probe * (1 << self.probes));
                false
            }
            State::Healthy | State::Ejected(_) => false,
        }
    }

    /// Ends an ejection whose time is over; returns whether the worker may be probed from now on.
    pub(crate) fn tick(&mut self, now: Time) -> bool {
        let due = matches!(self.state, State::Ejected(until) if until <= now);
        if due {
            self.state = State::Probing;
        }
        due
    }
}
