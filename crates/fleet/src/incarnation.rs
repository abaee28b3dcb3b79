//! Lives of workers under one id.

/// One incarnation of a worker, named by the start of its process.
///
/// A worker may restart under the id that it had; a later incarnation has a later start.
///
/// ```
/// use cranberryhatch_fleet::Incarnation;
///
/// assert!(Incarnation::new(2).is_after(Incarnation::new(1)));
/// assert!(!Incarnation::new(2).is_after(Incarnation::UNKNOWN));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Incarnation(u64);

impl Incarnation {
    /// The platform tells none.
    pub const UNKNOWN: Self = Self(0);

    /// A incarnation that began at this Unix time in milliseconds; 0 if it is not known.
    #[must_use]
    pub const fn new(born_ms: u64) -> Self {
        Self(born_ms)
    }

    /// Unix time of its start in milliseconds; 0 if it is not known.
    #[must_use]
    pub const fn born_ms(self) -> u64 {
        self.0
    }

    /// Whether the platform tells it.
    #[must_use]
    pub const fn is_known(self) -> bool {
        self.0 > 0
    }

    /// Whether it certainly is a later incarnation than the other; lives that are not known are never told apart.
    #[must_use]
    pub const fn is_after(self, other: Self) -> bool {
        other.0 > 0 && self.0 > other.0
    }
}
