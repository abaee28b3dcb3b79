//! Signs of life of one holder of the zone.

use cranberryhatch_types::{Holder, Span, Time};

use crate::HolderRow;

/// What is known of a holder's row and when it last showed life.
#[derive(Clone, Debug)]
pub(crate) struct Watch {
    /// The row as last read.
    pub(crate) row: HolderRow,
    /// Last sign of life, or when watching began.
    pub(crate) last_alive: Time,
    /// Time before which no takeover is tried again.
    pub(crate) retry_at: Time,
    /// Whether the holder started after this instance knew the endpoints.
    pub(crate) endpoints_known: bool,
}

impl Watch {
    /// Begins to watch a row.
    pub(crate) const fn new(now: Time, row: HolderRow, endpoints_known: bool) -> Self {
        Self { row, last_alive: now, retry_at: Time::ZERO, endpoints_known }
    }

    /// Takes a newer reading of the row.
    pub(crate) fn update(&mut self, now: Time, row: &HolderRow) {
        if row.version < self.row.version {
            return;
        }
        if row.renewals != self.row.renewals {
            self.last_alive = now;
        }
        self.row = row.clone();
    }

    /// Whether the holder showed no life for a span.
    pub(crate) fn is_unresponsive(&self, now: Time, span: Span) -> bool {
        self.last_alive + span <= now
    }

    /// Who is responsible for the unfinished jobs, when the holder was taken over.
    pub(crate) fn successor(&self) -> Option<&Holder> {
        self.row.successors.last()
    }
}
