//! State of one worker in a pool.

use cranberryhatch_types::{Accels, Bytes, Cores, Span, Time};

use crate::{Endpoint, Need, health::Health, limit::Limit, rules::Rules};

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) endpoint: Endpoint,
    pub(super) up: bool,
    // When the last answered heartbeat was sent; `None` for a worker known only from a loan.
    pub(super) heartbeat_sent: Option<Time>,
    // No heartbeat was answered for so long that the endpoint may have begun to leave unnoticed.
    pub(super) unresponsive: bool,
    // Since when the endpoint itself reports that it is leaving.
    pub(super) leaving_reported: Option<Time>,
    // Since when the list marks it as leaving.
    pub(super) leaving_listed: Option<Time>,
    // Its zone is drained.
    pub(super) drained: bool,
    pub(super) owned: bool,
    // While set, no slot is lent, and only slots that the endpoint reports as free are used. The
    // guard is lifted after this time once all slots are accounted for.
    pub(super) guarded_until: Option<Time>,
    // Since when the worker is guarded.
    pub(super) guarded_since: Time,
    // Slots of the endpoint that were free or in use by this shard at its last heartbeat.
    pub(super) available: u32,
    // When the last response to a heartbeat arrived.
    pub(super) seen: Time,
    // Own slots in use by this shard.
    pub(super) used: u32,
    // Borrowed slots in use by this shard.
    pub(super) borrowed_used: u32,
    pub(super) lent: u32,
    // Free slots reserved for other shards.
    pub(super) reserved: u32,
    pub(super) limit: Limit,
    pub(super) health: Health,
}

/// Classes of workers, in ascending order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// The last task on it failed.
    Suspect,
    /// It is slower than the typical worker.
    Slow,
    /// It has no known problem.
    Good,
    /// It is due for a probe, which would never be sent while others with free slots were
    /// preferred.
    Probe,
}

/// Data that placement reads of a worker (the hot path).
#[derive(Clone, Debug)]
pub(super) struct Hot {
    /// Slots on which this shard may start a task.
    pub(super) free: u32,
    /// Slots of an own worker that are neither in use nor lent.
    pub(super) own: u32,
    /// Slots out of `own` that are reserved for other shards.
    pub(super) reserved: u32,
    pub(super) class: Class,
    pub(super) rack: usize,
    pub(super) latency: u64,
    pub(super) paused_until: Time,
    pub(super) cores: Cores,
    pub(super) memory: Bytes,
    pub(super) accels: Accels,
}

impl Hot {
    pub(super) fn fits(&self, need: &Need) -> bool {
        need.cores <= self.cores && need.memory <= self.memory && need.accels <= self.accels
    }

    pub(super) fn takes(&self, now: Time, need: &Need) -> bool {
        self.free > 0 && self.paused_until <= now && self.fits(need)
    }
}

impl Worker {
    pub(super) fn new(endpoint: Endpoint) -> Self {
        Self {
            limit: Limit::new(endpoint.slots.get()),
            endpoint,
            up: false,
            heartbeat_sent: None,
            unresponsive: false,
            leaving_reported: None,
            leaving_listed: None,
            drained: false,
            owned: false,
            guarded_until: None,
            guarded_since: Time::ZERO,
            available: 0,
            seen: Time::ZERO,
            used: 0,
            borrowed_used: 0,
            lent: 0,
            reserved: 0,
            health: Health::new(),
        }
    }

    pub(super) fn leaving(&self) -> Option<Time> {
        match (self.leaving_reported, self.leaving_listed) {
            (Some(reported), Some(listed)) => Some(reported.min(listed)),
            (reported, listed) => reported.or(listed),
        }
    }

    pub(super) fn is_unresponsive(&self, now: Time, bound: Span) -> bool {
        self.heartbeat_sent.is_some_and(|heartbeat_sent| now.since(heartbeat_sent) > bound)
    }

    pub(super) fn is_usable(&self) -> bool {
        self.up && !self.unresponsive && !self.drained && self.leaving().is_none()
    }

    pub(super) fn cap(&self, rules: &Rules) -> u32 {
        let slots = self.endpoint.slots.get();
        let limit = if rules.limits { self.limit.cap(slots) } else { slots };
        limit.min(self.health.cap(rules.failures))
    }

    // Slots of an own worker that are neither in use nor lent.
    pub(super) fn own_free(&self, rules: &Rules) -> u32 {
        if !self.owned || !self.is_usable() {
            return 0;
        }
        let seen = if self.guarded_until.is_some() { self.available } else { u32::MAX };
        let cap = self.cap(rules).min(seen);
        cap.saturating_sub(self.used + self.borrowed_used + self.lent)
    }
}

// Rank of a worker for placement: its class first, then its free slots.
pub(super) const fn rank(class: Class, free: u32) -> u32 {
    const FREE_BITS: u32 = 24;
    ((class as u32 + 1) << FREE_BITS)
        | if free >> FREE_BITS == 0 { free } else { (1 << FREE_BITS) - 1 }
}
