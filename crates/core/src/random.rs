//! Deterministic random numbers for placement.

use crate::rendezvous::mix;

/// A pseudorandom number generator whose sequence depends only on its seed.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    /// Creates a generator from a seed.
    pub(crate) const fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number below `limit`, or 0 if `limit` is 0.
    pub(crate) fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let limit = limit as u64;
        usize::try_from(mix(self.0).checked_rem(limit).unwrap_or(0)).unwrap_or(0)
    }
}
