//! Bound on the memory of request bodies.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that all requests of a server may hold together.
#[derive(Debug)]
pub(crate) struct Budget {
    used: AtomicUsize,
    limit: usize,
}

/// Bytes held by one request; dropping it gives them back.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Budget {
    pub(crate) const fn new(limit: usize) -> Self {
        Self { used: AtomicUsize::new(0), limit }
    }

    /// An empty reservation.
    pub(crate) const fn reservation(budget: Arc<Self>) -> Reservation {
        Reservation { budget, bytes: 0 }
    }
}

impl Reservation {
    /// Reserves more bytes; `false` when the budget is used up.
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
