//! Handling of one event.

use cranberryhatch_types::Time;

use crate::{Command, Counter, StateChange};

/// The time of an event and the commands that it causes.
pub(crate) struct Context<'a> {
    /// Time of the event.
    pub(crate) now: Time,
    /// Commands so far.
    pub(crate) out: &'a mut Vec<Command>,
}

impl Context<'_> {
    /// Adds a command.
    pub(crate) fn push(&mut self, command: Command) {
        self.out.push(command);
    }

    /// Counts one occurrence.
    pub(crate) fn count(&mut self, counter: Counter) {
        self.push(Command::Count(counter, 1));
    }

    /// Reports a change of state.
    pub(crate) fn state(&mut self, change: StateChange) {
        self.push(Command::State(change));
    }

    /// Checks an invariant: a broken one panics in debug builds and is counted in production.
    pub(crate) fn check(&mut self, holds: bool, what: &'static str) {
        debug_assert!(holds, "invariant broken: {what}");
        if !holds {
            self.count(Counter::InvariantsBroken);
        }
    }
}
