//! Context in which one event is handled.

use cranberryhatch_types::Time;

use crate::{Command, Counter, StateChange};

/// Time of an event and the commands that result from it.
pub(crate) struct Context<'a> {
    /// Time of the event.
    pub(crate) now: Time,
    /// Commands produced so far.
    pub(crate) out: &'a mut Vec<Command>,
}

impl Context<'_> {
    /// Appends a command.
    pub(crate) fn push(&mut self, command: Command) {
        self.out.push(command);
    }

    /// Increments a counter.
    pub(crate) fn count(&mut self, counter: Counter) {
        self.push(Command::Count(counter, 1));
    }

    /// Reports a state change.
    pub(crate) fn state(&mut self, change: StateChange) {
        self.push(Command::State(change));
    }

    /// Checks an invariant. A violation panics in debug builds and is counted in release builds.
    pub(crate) fn check(&mut self, holds: bool, what: &'static str) {
        debug_assert!(holds, "invariant broken: {what}");
        if !holds {
            self.count(Counter::InvariantsBroken);
        }
    }
}
