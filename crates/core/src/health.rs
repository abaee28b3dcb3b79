//! Health of one worker.

use cranberryhatch_types::{Span, Time};

/// Doublings of the time between two probes.
const MAX_DOUBLINGS: u32 = 5;

/// Whether a worker gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It gets work.
    Healthy,
    /// It gets none before this time.
    Ejected(Time),
    /// It gets one task at a time until one succeeds.
    Probing,
}

/// Failures in a row of one worker, its ejection and probes.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    failures: u32,
    probes: u32,
    state: State,
}

impl Health {
    /// A worker without failures.
    pub(crate) const fn new() -> Self {
        Self { failures: 0, probes: 0, state: State::Healthy }
    }

    /// Tasks that may run at the same time.
    ///
    /// A failure lowers it before the worker is ejected: a worker that fails at once has the most
    /// free slots, and would fail one more task for each of them.
    pub(crate) const fn cap(&self, limit: u32) -> u32 {
        match self.state {
            State::Ejected(_) => 0,
            State::Probing => 1,
            State::Healthy if self.failures == 0 => u32::MAX,
            State::Healthy if self.failures < limit => limit - self.failures,
            State::Healthy => 1,
        }
    }

    /// Whether the last task on it failed.
    pub(crate) const fn is_suspect(&self) -> bool {
        self.failures > 0
    }

    /// Whether it gets one task at a time until one succeeds.
    pub(crate) const fn is_probing(&self) -> bool {
        matches!(self.state, State::Probing)
    }

    /// Whether it is ejected or on probation.
    pub(crate) const fn is_ejected(&self) -> bool {
        !matches!(self.state, State::Healthy)
    }

    /// Takes a success.
    pub(crate) const fn record_success(&mut self) {
        *self = Self::new();
    }

    /// Takes a failure; tells whether the worker is now ejected anew. It is ejected only when
    /// `room` says that not too many others are.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        limit: u32,
        probe: Span,
        room: bool,
    ) -> bool {
        self.failures = self.failures.saturating_add(1);
        match self.state {
            State::Healthy if self.failures >= limit && room => {
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

    /// Lets time pass; tells whether the worker may be probed from now on.
    pub(crate) fn tick(&mut self, now: Time) -> bool {
        let due = matches!(self.state, State::Ejected(until) if until <= now);
        if due {
            self.state = State::Probing;
        }
        due
    }
}
