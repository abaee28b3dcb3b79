//! Invariant checks at run time.

/// Counts invariant violations. A violation panics in debug builds and is counted in release
/// builds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Invariants {
    broken: u64,
}

impl Invariants {
    /// Checks that an invariant holds.
    pub(crate) fn check(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "invariant broken: {what}");
        self.broken += u64::from(!holds);
    }

    /// Returns the number of violations since the last call.
    pub(crate) const fn take(&mut self) -> u64 {
        std::mem::replace(&mut self.broken, 0)
    }
}
