//! What a pool knows of one worker.

use cranberryhatch_types::{Accels, Bytes, Cores, Span, Time};

use crate::{Endpoint, Need, health::Health, limit::Limit, rules::Rules};

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) endpoint: Endpoint,
    pub(super) up: bool,
    // When the last heartbeat was sent that it answered; none for a worker known by a loan only.
    pub(super) heartbeat_sent: Option<Time>,
    // No heartbeat was answered for so long that the endpoint may have begun to leave unnoticed.
    pub(super) silent: bool,
    pub(super) leaving_reported: Option<Time>,
    pub(super) leaving_listed: Option<Time>,
    // Its zone is drained.
    pub(super) drained: bool,
    pub(super) owned: bool,
    pub(super) guarded_until: Option<Time>,
    // Since when the guard stands.
    pub(super) guarded_since: Time,
    // Slots of the endpoint that were free or in use by this shard at its last heartbeat.
    pub(super) available: u32,
    pub(super) seen: Time,
    pub(super) used: u32,
    pub(super) borrowed_used: u32,
    pub(super) lent: u32,
    pub(super) reserved: u32,
    pub(super) limit: Limit,
    pub(super) health: Health,
}

/// Order in which workers are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// The last task on it failed.
    Suspect,
    /// It is slower than the typical worker.
    Slow,
    /// Nothing speaks against it.
    Good,
    /// It is due for a probe, which would never come while others have free slots.
    Probe,
}

#[derive(Clone, Debug)]
pub(super) struct Hot {
    /// Slots on which this shard may start a task.
    pub(super) free: u32,
    /// Slots of an own worker that are neither in use nor lent.
    pub(super) own: u32,
    /// Of these, slots set aside for other shards.
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
            silent: false,
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

    pub(super) fn is_silent(&self, now: Time, bound: Span) -> bool {
        self.heartbeat_sent.is_some_and(|heartbeat_sent| now.since(heartbeat_sent) > bound)
    }

    pub(super) fn is_usable(&self) -> bool {
        self.up && !self.silent && !self.drained && self.leaving().is_none()
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

// Rank of a worker for placement: its class, then its free slots.
pub(super) const fn rank(class: Class, free: u32) -> u32 {
    const FREE_BITS: u32 = 24;
    ((class as u32 + 1) << FREE_BITS)
        | if free >> FREE_BITS == 0 { free } else { (1 << FREE_BITS) - 1 }
}
