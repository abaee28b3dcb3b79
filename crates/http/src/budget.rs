//! Limit on the memory that request bodies use.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Memory budget shared by all requests of a server, in bytes.
#[derive(Debug)]
pub(crate) struct Budget {
    used: AtomicUsize,
    limit: usize,
}

/// Bytes reserved by one request; dropping it returns them to the budget.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Budget {
    pub(crate) const fn new(limit: usize) -> Self {
        Self { used: AtomicUsize::new(0), limit }
    }

    /// Returns an empty reservation.
    pub(crate) const fn reservation(budget: Arc<Self>) -> Reservation {
        Reservation { budget, bytes: 0 }
    }
}

impl Reservation {
    /// Reserves more bytes; returns `false` if the budget is exceeded.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let limit = self.budget.limit;
        let used = self.budget.used.fetch_add(bytes, Ordering::AcqRel);
        self.bytes += bytes;
        used.saturating_add(bytes) <= limit
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}
