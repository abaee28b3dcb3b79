//! Incarnations of a worker: the successive processes under one id.

/// One run of a worker's process, identified by its start time.
///
/// A worker may restart under the same id. A later incarnation may have a lower start time, since the
/// time of day of its machine may be set back; the order of two incarnations of one id comes from the
/// order in which they were seen.
///
/// ```
/// use cranberryhatch_fleet::Incarnation;
///
/// assert!(Incarnation::new(1).is_other(Incarnation::new(2)));
/// assert!(!Incarnation::new(2).is_other(Incarnation::UNKNOWN));
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

    /// Returns whether both are known and differ.
    #[must_use]
    pub const fn is_other(self, other: Self) -> bool {
        self.0 > 0 && other.0 > 0 && self.0 != other.0
    }

    /// Returns whether its start time is higher. This is no order of processes: the time of day of a
    /// machine may be set back between two starts.
    #[must_use]
    pub const fn has_higher_start(self, other: Self) -> bool {
        other.0 > 0 && self.0 > other.0
    }
}
