//! Liveness of one holder of the zone.

use cranberryhatch_types::{Holder, Span, Time};

use crate::HolderRow;

/// State of a holder's row and of the holder's liveness.
#[derive(Clone, Debug)]
pub(crate) struct Watch {
    /// The row as last read.
    pub(crate) row: HolderRow,
    /// When the holder last showed activity, or when the watch began.
    pub(crate) last_alive: Time,
    /// Time before which no further takeover is attempted.
    pub(crate) retry_at: Time,
    /// Whether the holder started after this instance had learned of the endpoints.
    pub(crate) endpoints_known: bool,
}

impl Watch {
    /// Creates a watch of a row.
    pub(crate) const fn new(now: Time, row: HolderRow, endpoints_known: bool) -> Self {
        Self { row, last_alive: now, retry_at: Time::ZERO, endpoints_known }
    }

    /// Applies a newer read of the row; a changed renewal count is a sign of activity.
    pub(crate) fn update(&mut self, now: Time, row: &HolderRow) {
        if row.version < self.row.version {
            return;
        }
        if row.renewals != self.row.renewals {
            self.last_alive = now;
        }
        self.row = row.clone();
    }

    /// Returns whether the holder has shown no activity for `span`.
    pub(crate) fn is_unresponsive(&self, now: Time, span: Span) -> bool {
        self.last_alive + span <= now
    }

    /// Returns the holder responsible for the unfinished jobs, if the row was taken over.
    pub(crate) fn successor(&self) -> Option<&Holder> {
        self.row.successors.last()
    }
}
