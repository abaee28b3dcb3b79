//! Incarnations of a worker: the successive processes under one id.

/// One run of a worker's process, identified by its start time.
///
/// A worker may restart under the same id; a later incarnation has a later start time.
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
    /// The platform does not report incarnations.
    pub const UNKNOWN: Self = Self(0);

    /// Creates the incarnation that started at this Unix time in milliseconds; 0 if unknown.
    #[must_use]
    pub const fn new(born_ms: u64) -> Self {
        Self(born_ms)
    }

    /// Returns its start as Unix time in milliseconds; 0 if unknown.
    #[must_use]
    pub const fn born_ms(self) -> u64 {
        self.0
    }

    /// Returns whether the platform reports it.
    #[must_use]
    pub const fn is_known(self) -> bool {
        self.0 > 0
    }

    /// Returns whether it is certainly later than the other one; an unknown incarnation is neither
    /// earlier nor later than any.
    #[must_use]
    pub const fn is_after(self, other: Self) -> bool {
        other.0 > 0 && self.0 > other.0
    }
}
