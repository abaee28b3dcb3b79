//! Workers and their slots: owned, lent and borrowed.

mod drain;
mod loans;
mod placement;
mod worker;

use cranberryhatch_settings::Drains;
use cranberryhatch_types::{RackId, ShardId, Span, Time, WorkerId, ZoneId};
use worker::{Class, Hot, Worker, rank};

use crate::{
    Endpoint, Need, health::Health, invariant::Invariants, loan::Loan, random::Random, rendezvous,
    rules::Rules,
};

/// Interval between two estimates of the typical run time.
const TYPICAL_PERIOD: Span = Span::from_ms(250);
/// Minimum number of workers with measured run times before any of them is considered slow.
const TYPICAL_WORKERS: usize = 3;
/// Time after which a loan sent by an earlier owner has certainly reached its borrower.
const MESSAGE_DELAY: Span = Span::from_ms(100);
/// A worker more than this many times slower than the typical one is used last.
const SLOW_FACTOR: u64 = 2;

/// Index of a worker in a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerNo(pub u32);

impl WorkerNo {
    const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A slot in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// The worker.
    pub worker: WorkerNo,
    /// Number of the loan that the slot belongs to, 0 for a slot of an own worker.
    pub loan: u64,
    /// When the slot was taken.
    pub start: Time,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The task ran.
    Done,
    /// The task ran and failed, or could not be started.
    Failed,
    /// The endpoint had no free slot.
    Busy,
    /// The endpoint is leaving.
    Leaving,
    /// The outcome is unknown.
    Unknown,
}

/// Workers that a shard may use.
#[derive(Debug)]
pub struct Pool {
    zone: ZoneId,
    rules: Rules,
    drains: Drains,
    workers: Vec<Worker>,
    // Data that placement reads of each worker, kept separately so that a scan stays in the cache.
    hot: Vec<Hot>,
    // Class and free slots of each worker combined into one number, 0 if none is free. Most
    // placements need nothing else.
    ranks: Vec<u32>,
    // Indexes of the workers, sorted by id.
    order: Vec<(WorkerId, WorkerNo)>,
    // Workers marked as leaving in the list, known or not: a later loan may refer to one.
    leaving: Vec<(WorkerId, Time)>,
    racks: Vec<RackId>,
    // Slots in use on each rack.
    rack_used: Vec<u32>,
    loans: Vec<Loan>,
    // Number of the last loan.
    next_loan: u64,
    // Earliest end of a loan that has not ended.
    next_end: Time,
    // Sum of the free slots of all workers.
    free: u32,
    // Next position for round-robin placement.
    cursor: usize,
    random: Random,
    // Median run time of the workers in 64ths of a millisecond, and when it was estimated.
    typical: Option<u64>,
    estimated: Time,
    // Buffer of the estimate, kept to avoid allocations.
    scratch: Vec<u64>,
    // Workers whose slots ceased to be lendable since the last call of `take_unlendable`.
    unlendable: Vec<WorkerNo>,
    pub(crate) invariants: Invariants,
}

impl Pool {
    /// Creates a pool without workers for a shard in a zone.
    #[must_use]
    pub fn new(zone: ZoneId, shard: &ShardId) -> Self {
        Self {
            zone,
            rules: Rules::default(),
            drains: Drains::default(),
            workers: Vec::new(),
            hot: Vec::new(),
            ranks: Vec::new(),
            order: Vec::new(),
            leaving: Vec::new(),
            racks: Vec::new(),
            rack_used: Vec::new(),
            loans: Vec::new(),
            next_loan: 0,
            next_end: Time::NEVER,
            free: 0,
            cursor: 0,
            random: Random::new(rendezvous::seed(shard)),
            typical: None,
            estimated: Time::ZERO,
            scratch: Vec::new(),
            unlendable: Vec::new(),
            invariants: Invariants::default(),
        }
    }

    /// Applies changed settings.
    pub(crate) fn set_rules(&mut self, now: Time, rules: Rules) {
        self.rules = rules;
        self.refresh_all(now);
    }

    pub(crate) const fn rules(&self) -> &Rules {
        &self.rules
    }

    fn all(&self) -> impl Iterator<Item = WorkerNo> + use<> {
        (0..u32::try_from(self.workers.len()).unwrap_or(u32::MAX)).map(WorkerNo)
    }

    fn find(&self, id: &WorkerId) -> Option<WorkerNo> {
        let pos = self.order.binary_search_by(|(worker, _)| worker.cmp(id)).ok()?;
        Some(self.order[pos].1)
    }

    fn add(&mut self, endpoint: Endpoint) -> WorkerNo {
        let no = WorkerNo(u32::try_from(self.workers.len()).unwrap_or(u32::MAX));
        let id = endpoint.worker.clone();
        let pos = self.order.partition_point(|(worker, _)| *worker < id);
        self.order.insert(pos, (id, no));
        let rack = self.rack(&endpoint.rack);
        self.ranks.push(0);
        self.hot.push(Hot {
            free: 0,
            own: 0,
            reserved: 0,
            class: Class::Good,
            rack,
            latency: 0,
            paused_until: Time::ZERO,
            cores: endpoint.cores,
            memory: endpoint.memory,
            accels: endpoint.accels,
        });
        let listed = self.leaving.binary_search_by(|(id, _)| id.cmp(&endpoint.worker));
        let listed = listed.ok().map(|pos| self.leaving[pos].1);
        let drained = self.drains.has(&endpoint.zone);
        self.workers.push(Worker { leaving_listed: listed, drained, ..Worker::new(endpoint) });
        no
    }

    fn rack(&mut self, rack: &RackId) -> usize {
        self.racks.iter().position(|known| known == rack).unwrap_or_else(|| {
            self.racks.push(rack.clone());
            self.rack_used.push(0);
            self.racks.len() - 1
        })
    }

    /// Handles an endpoint's response to a heartbeat; returns whether the worker came up.
    pub fn endpoint_seen(&mut self, now: Time, endpoint: &Endpoint) -> bool {
        let no = self.find(&endpoint.worker).unwrap_or_else(|| self.add(endpoint.clone()));
        let worker = &mut self.workers[no.index()];
        let up = !std::mem::replace(&mut worker.up, true);
        if up {
            worker.health = Health::new();
        }
        worker.seen = now;
        let was_usable = worker.is_usable();
        worker.heartbeat_sent = worker.heartbeat_sent.max(Some(endpoint.heartbeat_sent));
        worker.unresponsive = worker.is_unresponsive(now, self.rules.leave);
        match worker.leaving_reported {
            None if endpoint.leaving => worker.leaving_reported = Some(now),
            // The response to a heartbeat sent before the endpoint began to leave proves nothing.
            Some(since) if !endpoint.leaving && endpoint.heartbeat_sent > since => {
                worker.leaving_reported = None;
            }
            None | Some(_) => {}
        }
        worker.limit.resize(worker.endpoint.slots.get(), endpoint.slots.get());
        worker.endpoint = endpoint.clone();
        worker.drained = self.drains.has(&endpoint.zone);
        let busy = worker.used + worker.borrowed_used;
        worker.available = endpoint.free.get().saturating_add(busy).min(endpoint.slots.get());
        let leases_over = worker.guarded_until.is_some_and(|until| now >= until);
        if leases_over && worker.available + worker.lent >= endpoint.slots.get() {
            worker.guarded_until = None;
        }
        if was_usable && !worker.is_usable() {
            self.unlendable.push(no);
        }
        let rack = self.rack(&endpoint.rack);
        let hot = &mut self.hot[no.index()];
        // Slots in use are counted for the worker's current rack.
        if hot.rack != rack {
            let busy = self.workers[no.index()].used + self.workers[no.index()].borrowed_used;
            self.rack_used[hot.rack] = self.rack_used[hot.rack].saturating_sub(busy);
            self.rack_used[rack] += busy;
            hot.rack = rack;
        }
        (hot.cores, hot.memory, hot.accels) = (endpoint.cores, endpoint.memory, endpoint.accels);
        self.refresh(now, no);
        up
    }

    /// Marks a worker that does not answer as down; returns whether it was up.
    pub fn endpoint_lost(&mut self, now: Time, id: &WorkerId) -> bool {
        let Some(no) = self.find(id) else { return false };
        let was_up = std::mem::replace(&mut self.workers[no.index()].up, false);
        if was_up {
            self.unlendable.push(no);
            self.refresh(now, no);
        }
        was_up
    }

    /// Applies the leaving mark of a worker in the list; returns whether the worker is only now
    /// known to be leaving.
    pub(crate) fn worker_listed(&mut self, now: Time, id: &WorkerId, leaving: bool) -> bool {
        match (self.leaving.binary_search_by(|(known, _)| known.cmp(id)), leaving) {
            (Err(pos), true) => self.leaving.insert(pos, (id.clone(), now)),
            (Ok(pos), false) => drop(self.leaving.remove(pos)),
            (Ok(_), true) | (Err(_), false) => {}
        }
        let Some(no) = self.find(id) else { return false };
        let worker = &mut self.workers[no.index()];
        if worker.leaving_listed.is_some() == leaving {
            return false;
        }
        let was_leaving = worker.leaving().is_some();
        worker.leaving_listed = leaving.then_some(now);
        if leaving && !was_leaving {
            self.unlendable.push(no);
        }
        self.refresh(now, no);
        leaving && !was_leaving
    }

    /// Assigns the workers of the own zone to their owners. A newly owned worker is guarded: it is
    /// used only as far as its endpoint reports free slots, until all leases have expired that its
    /// earlier owner may have granted.
    pub(crate) fn assign(&mut self, now: Time, me: &ShardId, owners: &[&ShardId]) {
        for no in self.all() {
            let worker = &self.workers[no.index()];
            if worker.endpoint.zone == self.zone {
                let id = worker.endpoint.worker.as_str();
                let owned = rendezvous::owner(id, owners.iter().copied()) == Some(me);
                self.set_owned(now, no, owned);
            }
        }
    }

    fn set_owned(&mut self, now: Time, no: WorkerNo, owned: bool) {
        let guarded_until = now + self.rules.lease + self.rules.margin;
        let worker = &mut self.workers[no.index()];
        if worker.owned == owned {
            return;
        }
        worker.owned = owned;
        worker.guarded_until = owned.then_some(guarded_until);
        worker.guarded_since = now;
        worker.reserved = 0;
        if worker.seen != now {
            // The earlier owner may have started tasks since the last heartbeat.
            worker.available = worker.used + worker.borrowed_used;
        }
        if !owned {
            self.unlendable.push(no);
        }
        self.refresh(now, no);
    }

    /// Guards all own workers: they are used only as far as later heartbeats report free slots,
    /// until all leases have expired that another owner may have granted.
    pub(crate) fn guard_all(&mut self, now: Time) {
        let guarded_until = now + self.rules.lease + self.rules.margin;
        for worker in self.workers.iter_mut().filter(|worker| worker.owned) {
            worker.guarded_until = Some(guarded_until);
            worker.guarded_since = now;
            worker.available = worker.used + worker.borrowed_used;
        }
        self.refresh_all(now);
    }

    /// Returns the workers whose slots ceased to be lendable since the last call.
    pub(crate) fn take_unlendable(&mut self) -> Vec<WorkerNo> {
        std::mem::take(&mut self.unlendable)
    }

    fn refresh_all(&mut self, now: Time) {
        for no in self.all() {
            self.refresh(now, no);
        }
    }

    // Updates the placement data of a worker; called after every change to the worker.
    fn refresh(&mut self, now: Time, no: WorkerNo) {
        let worker = &self.workers[no.index()];
        let own = worker.own_free(&self.rules);
        let reserved = worker.reserved.min(own);
        let lent =
            if worker.is_usable() { self.loans_of(no).map(|l| l.free(now)).sum() } else { 0 };
        let busy = worker.used + worker.borrowed_used;
        let headroom = worker.cap(&self.rules).saturating_sub(busy);
        let free = (own - reserved + lent).min(headroom);
        let measured = worker.limit.measured();
        let slow =
            measured.zip(self.typical).is_some_and(|(run, typical)| run > typical * SLOW_FACTOR);
        let hot = &mut self.hot[no.index()];
        self.free = self.free + free - hot.free;
        hot.free = free;
        hot.own = own;
        hot.reserved = reserved;
        hot.latency = worker.limit.latency();
        hot.paused_until = worker.limit.paused_until();
        hot.class = if worker.health.is_probing() {
            Class::Probe
        } else if worker.health.is_suspect() {
            Class::Suspect
        } else if slow {
            Class::Slow
        } else {
            Class::Good
        };
        self.ranks[no.index()] = if free == 0 { 0 } else { rank(hot.class, free) };
    }

    /// Ends expired loans, updates unresponsive and ejected workers, and re-estimates run times.
    pub(crate) fn tick(&mut self, now: Time) {
        if now >= self.next_end {
            self.end_loans(now);
        }
        for no in self.all() {
            let worker = &mut self.workers[no.index()];
            let was_unresponsive = worker.unresponsive;
            worker.unresponsive = worker.is_unresponsive(now, self.rules.leave);
            if worker.unresponsive && !was_unresponsive {
                self.unlendable.push(no);
            }
            if worker.health.tick(now) || worker.unresponsive != was_unresponsive {
                self.refresh(now, no);
            }
        }
        if now.since(self.estimated) >= TYPICAL_PERIOD {
            self.estimated = now;
            self.estimate_typical();
            self.refresh_all(now);
        }
    }

    // The median is not affected by a few slow workers.
    fn estimate_typical(&mut self) {
        self.scratch.clear();
        self.scratch.extend(self.workers.iter().filter_map(|worker| worker.limit.measured()));
        self.typical = (self.scratch.len() >= TYPICAL_WORKERS).then(|| {
            let middle = (self.scratch.len() - 1) / 2;
            *self.scratch.select_nth_unstable(middle).1
        });
    }

    /// Returns the id of a worker.
    #[must_use]
    pub fn id(&self, worker: WorkerNo) -> &WorkerId {
        &self.workers[worker.index()].endpoint.worker
    }

    /// Returns what is known of the worker with an id.
    pub(crate) fn known(&self, id: &WorkerId) -> Option<&Endpoint> {
        self.find(id).map(|no| self.endpoint(no))
    }

    /// Returns what is known of a worker.
    pub(crate) fn endpoint(&self, worker: WorkerNo) -> &Endpoint {
        &self.workers[worker.index()].endpoint
    }

    /// Returns whether any known worker is large enough for a task with this need.
    #[must_use]
    pub fn ever_fits(&self, need: &Need) -> bool {
        self.hot.is_empty() || self.hot.iter().any(|hot| hot.fits(need))
    }

    /// Returns the number of slots that this shard may use: of own workers, less lent ones, plus
    /// borrowed ones.
    pub(crate) fn capacity(&self) -> u32 {
        self.free + self.workers.iter().map(|w| w.used + w.borrowed_used).sum::<u32>()
    }

    /// Returns the number of slots on which this shard may start a task now.
    pub(crate) const fn free(&self) -> u32 {
        self.free
    }

    /// Returns the number of usable slots of own workers, lent ones included.
    pub(crate) fn owned(&self) -> u32 {
        let own = self.workers.iter().filter(|worker| worker.owned && worker.is_usable());
        own.map(|worker| worker.cap(&self.rules)).sum()
    }

    /// Iterates over the ids of own workers.
    pub(crate) fn owned_ids(&self) -> impl Iterator<Item = &WorkerId> {
        let own = self.workers.iter().filter(|worker| worker.owned);
        own.map(|worker| &worker.endpoint.worker)
    }

    /// Returns whether a worker is known to be leaving.
    pub(crate) fn is_leaving(&self, id: &WorkerId) -> bool {
        let worker = self.find(id).map(|no| &self.workers[no.index()]);
        worker.is_some_and(|worker| worker.leaving().is_some())
    }

    /// Returns the number of known workers and the slots of the largest one.
    pub(crate) fn worker_stats(&self) -> (usize, u32) {
        let largest = self.workers.iter().map(|worker| worker.endpoint.slots.get()).max();
        (self.workers.len(), largest.unwrap_or(0))
    }
}
