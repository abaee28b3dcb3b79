//! Workers and their slots: owned, lent and borrowed.

use cranberryhatch_schema::PlacementPolicy;
use cranberryhatch_types::{
    Accels, Bytes, Cores, RackId, ShardId, Slots, Span, Time, WorkerId, ZoneId,
};

use crate::{
    Endpoint, Need, health::Health, invariant::Invariants, limit::Limit, loan::Loan,
    random::Random, rendezvous, rules::Rules,
};

/// Time between two estimates of the typical run time.
const TYPICAL_PERIOD: Span = Span::from_ms(250);
/// Workers with measured run times from which on one of them is called slow.
const TYPICAL_WORKERS: usize = 3;
/// A loan of an earlier owner that was on its way is known to its borrower after this time.
const ON_ITS_WAY: Span = Span::from_ms(100);
/// A worker this many times slower than the typical one is used last.
const SLOW: u64 = 2;

/// Number of a worker in a shard.
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
    /// Number of the loan that it is part of, 0 for a slot of an own worker.
    pub loan: u64,
    /// When it was taken.
    pub start: Time,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// The task ran.
    Done,
    /// The task ran and failed, or could not be started.
    Failed,
    /// The endpoint had no free slot.
    Busy,
    /// The endpoint is leaving.
    Leaving,
    /// Nothing is known.
    Unknown,
}

/// Workers that a shard may use, sorted by id.
#[derive(Debug)]
pub struct Pool {
    zone: ZoneId,
    rules: Rules,
    workers: Vec<Worker>,
    // What placement reads of each worker, apart from the rest so that a scan stays in the cache.
    hot: Vec<Hot>,
    // Class and free slots of each worker as one number, 0 when none is free: most placements need
    // only this.
    ranks: Vec<u32>,
    order: Vec<(WorkerId, WorkerNo)>,
    // Workers that the list calls leaving, known or not: a loan may name one later.
    leaving: Vec<(WorkerId, Time)>,
    racks: Vec<RackId>,
    rack_used: Vec<u32>,
    loans: Vec<Loan>,
    next_loan: u64,
    next_end: Time,
    free: u32,
    cursor: usize,
    random: Random,
    typical: Option<u64>,
    estimated: Time,
    scratch: Vec<u64>,
    stopped: Vec<WorkerNo>,
    pub(crate) invariants: Invariants,
}

#[derive(Debug)]
struct Worker {
    endpoint: Endpoint,
    up: bool,
    // When the last heartbeat was sent that it answered; none for a worker known by a loan only.
    asked: Option<Time>,
    // No heartbeat was answered for so long that the endpoint may have begun to leave unnoticed.
    silent: bool,
    says: Option<Time>,
    listed: Option<Time>,
    owned: bool,
    guard: Option<Time>,
    // Since when the guard stands.
    gained: Time,
    // Slots of the endpoint that were free or in use by this shard at its last heartbeat.
    view: u32,
    seen: Time,
    used: u32,
    borrowed_used: u32,
    lent: u32,
    reserved: u32,
    limit: Limit,
    health: Health,
}

/// Order in which workers are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
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
struct Hot {
    /// Slots on which this shard may start a task.
    free: u32,
    /// Slots of an own worker that are neither in use nor lent.
    own: u32,
    /// Of these, slots set aside for other shards.
    reserved: u32,
    class: Class,
    rack: usize,
    latency: u64,
    pause: Time,
    cores: Cores,
    memory: Bytes,
    accels: Accels,
}

impl Hot {
    fn fits(&self, need: &Need) -> bool {
        need.cores <= self.cores && need.memory <= self.memory && need.accels <= self.accels
    }

    fn takes(&self, now: Time, need: &Need) -> bool {
        self.free > 0 && self.pause <= now && self.fits(need)
    }
}

impl Worker {
    fn new(endpoint: Endpoint) -> Self {
        Self {
            limit: Limit::new(endpoint.slots.get()),
            endpoint,
            up: false,
            asked: None,
            silent: false,
            says: None,
            listed: None,
            owned: false,
            guard: None,
            gained: Time::ZERO,
            view: 0,
            seen: Time::ZERO,
            used: 0,
            borrowed_used: 0,
            lent: 0,
            reserved: 0,
            health: Health::new(),
        }
    }

    fn leaving(&self) -> Option<Time> {
        match (self.says, self.listed) {
            (Some(says), Some(listed)) => Some(says.min(listed)),
            (says, listed) => says.or(listed),
        }
    }

    fn is_silent(&self, now: Time, bound: Span) -> bool {
        self.asked.is_some_and(|asked| now.since(asked) > bound)
    }

    fn usable(&self) -> bool {
        self.up && !self.silent && self.leaving().is_none()
    }

    fn cap(&self, rules: &Rules) -> u32 {
        let slots = self.endpoint.slots.get();
        let limit = if rules.limits { self.limit.cap(slots) } else { slots };
        limit.min(self.health.cap(rules.failures))
    }

    // Slots of an own worker that are neither in use nor lent.
    fn own_free(&self, rules: &Rules) -> u32 {
        if !self.owned || !self.usable() {
            return 0;
        }
        let seen = if self.guard.is_some() { self.view } else { u32::MAX };
        let cap = self.cap(rules).min(seen);
        cap.saturating_sub(self.used + self.borrowed_used + self.lent)
    }
}

// Rank of a worker for placement: its class, then its free slots.
const fn rank(class: Class, free: u32) -> u32 {
    const FREE_BITS: u32 = 24;
    ((class as u32 + 1) << FREE_BITS)
        | if free >> FREE_BITS == 0 { free } else { (1 << FREE_BITS) - 1 }
}

impl Pool {
    /// A pool without workers, for a shard in a zone.
    #[must_use]
    pub fn new(zone: ZoneId, shard: &ShardId) -> Self {
        Self {
            zone,
            rules: Rules::default(),
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
            stopped: Vec::new(),
            invariants: Invariants::default(),
        }
    }

    /// Puts other settings in force.
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
        let place = self.order.binary_search_by(|(worker, _)| worker.cmp(id)).ok()?;
        Some(self.order[place].1)
    }

    fn add(&mut self, endpoint: Endpoint) -> WorkerNo {
        let no = WorkerNo(u32::try_from(self.workers.len()).unwrap_or(u32::MAX));
        let id = endpoint.worker.clone();
        let place = self.order.partition_point(|(worker, _)| *worker < id);
        self.order.insert(place, (id, no));
        let rack = self.rack(&endpoint.rack);
        self.ranks.push(0);
        self.hot.push(Hot {
            free: 0,
            own: 0,
            reserved: 0,
            class: Class::Good,
            rack,
            latency: 0,
            pause: Time::ZERO,
            cores: endpoint.cores,
            memory: endpoint.memory,
            accels: endpoint.accels,
        });
        let listed = self.leaving.binary_search_by(|(id, _)| id.cmp(&endpoint.worker));
        let listed = listed.ok().map(|place| self.leaving[place].1);
        self.workers.push(Worker { listed, ..Worker::new(endpoint) });
        no
    }

    fn rack(&mut self, rack: &RackId) -> usize {
        self.racks.iter().position(|known| known == rack).unwrap_or_else(|| {
            self.racks.push(rack.clone());
            self.rack_used.push(0);
            self.racks.len() - 1
        })
    }

    /// Takes an endpoint's answer to a heartbeat; tells whether the worker came up.
    pub fn seen(&mut self, now: Time, endpoint: &Endpoint) -> bool {
        let no = self.find(&endpoint.worker).unwrap_or_else(|| self.add(endpoint.clone()));
        let worker = &mut self.workers[no.index()];
        let up = !std::mem::replace(&mut worker.up, true);
        if up {
            worker.health = Health::new();
        }
        worker.seen = now;
        let was_usable = worker.usable();
        worker.asked = worker.asked.max(Some(endpoint.asked));
        worker.silent = worker.is_silent(now, self.rules.leave);
        match worker.says {
            None if endpoint.leaving => worker.says = Some(now),
            // An answer to a heartbeat sent before the endpoint began to leave proves nothing.
            Some(since) if !endpoint.leaving && endpoint.asked > since => worker.says = None,
            None | Some(_) => {}
        }
        worker.limit.resize(worker.endpoint.slots.get(), endpoint.slots.get());
        worker.endpoint = endpoint.clone();
        let busy = worker.used + worker.borrowed_used;
        worker.view = endpoint.free.get().saturating_add(busy).min(endpoint.slots.get());
        let settled = worker.guard.is_some_and(|guard| now >= guard);
        if settled && worker.view + worker.lent >= endpoint.slots.get() {
            worker.guard = None;
        }
        if was_usable && !worker.usable() {
            self.stopped.push(no);
        }
        let rack = self.rack(&endpoint.rack);
        let hot = &mut self.hot[no.index()];
        // Slots in use stay counted at the rack where they were taken only while it is the same.
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

    /// Takes out a worker that does not answer; tells whether it was up.
    pub fn lost(&mut self, now: Time, id: &WorkerId) -> bool {
        let Some(no) = self.find(id) else { return false };
        let was = std::mem::replace(&mut self.workers[no.index()].up, false);
        if was {
            self.stopped.push(no);
            self.refresh(now, no);
        }
        was
    }

    /// Takes the list's word on a worker; tells whether it is now known to leave.
    pub(crate) fn listed(&mut self, now: Time, id: &WorkerId, leaving: bool) -> bool {
        match (self.leaving.binary_search_by(|(known, _)| known.cmp(id)), leaving) {
            (Err(place), true) => self.leaving.insert(place, (id.clone(), now)),
            (Ok(place), false) => drop(self.leaving.remove(place)),
            (Ok(_), true) | (Err(_), false) => {}
        }
        let Some(no) = self.find(id) else { return false };
        let worker = &mut self.workers[no.index()];
        if worker.listed.is_some() == leaving {
            return false;
        }
        let was = worker.leaving().is_some();
        worker.listed = leaving.then_some(now);
        if leaving && !was {
            self.stopped.push(no);
        }
        self.refresh(now, no);
        leaving && !was
    }

    /// Decides which workers of the own zone this shard owns. A worker that is gained is used only
    /// as far as its endpoint says that slots are free, until leases that its earlier owner may
    /// have lent have lapsed.
    pub(crate) fn assign(&mut self, now: Time, me: &ShardId, owners: &[&ShardId]) {
        for no in self.all() {
            let worker = &self.workers[no.index()];
            if worker.endpoint.zone == self.zone {
                let id = worker.endpoint.worker.as_str();
                let owned = rendezvous::owner(id, owners.iter().copied()) == Some(me);
                self.own(now, no, owned);
            }
        }
    }

    fn own(&mut self, now: Time, no: WorkerNo, owned: bool) {
        let guard = now + self.rules.lease + self.rules.margin;
        let worker = &mut self.workers[no.index()];
        if worker.owned == owned {
            return;
        }
        worker.owned = owned;
        worker.guard = owned.then_some(guard);
        worker.gained = now;
        worker.reserved = 0;
        if worker.seen != now {
            // The earlier owner may have started tasks since the last heartbeat.
            worker.view = worker.used + worker.borrowed_used;
        }
        if !owned {
            self.stopped.push(no);
        }
        self.refresh(now, no);
    }

    /// Lends slots of workers again that were gained before all shards have said, since a point in
    /// time, that they have borrowed nothing, and whose slots are all accounted for.
    pub(crate) fn relax(&mut self, now: Time, since: Time) {
        for no in self.all() {
            let worker = &mut self.workers[no.index()];
            let known = worker.gained + ON_ITS_WAY <= since && worker.seen >= worker.gained;
            let whole = worker.view + worker.lent >= worker.endpoint.slots.get();
            if worker.guard.is_some() && known && whole && worker.up {
                worker.guard = None;
                self.refresh(now, no);
            }
        }
    }

    /// Slots of loans that may be used or are.
    pub(crate) fn borrowed(&self) -> u32 {
        self.loans.iter().map(|loan| loan.slots.max(loan.used)).sum()
    }

    /// Uses own workers only as far as later heartbeats say that slots are free, until leases that
    /// another owner may have lent have lapsed.
    pub(crate) fn distrust(&mut self, now: Time) {
        let guard = now + self.rules.lease + self.rules.margin;
        for worker in self.workers.iter_mut().filter(|worker| worker.owned) {
            worker.guard = Some(guard);
            worker.gained = now;
            worker.view = worker.used + worker.borrowed_used;
        }
        self.refresh_all(now);
    }

    /// Workers on which no slot may be lent any more since the last call.
    pub(crate) fn take_stopped(&mut self) -> Vec<WorkerNo> {
        std::mem::take(&mut self.stopped)
    }

    fn refresh_all(&mut self, now: Time) {
        for no in self.all() {
            self.refresh(now, no);
        }
    }

    // Works out what placement reads of a worker, after any change of it.
    fn refresh(&mut self, now: Time, no: WorkerNo) {
        let worker = &self.workers[no.index()];
        let own = worker.own_free(&self.rules);
        let reserved = worker.reserved.min(own);
        let lent = if worker.usable() { self.loans_of(no).map(|l| l.free(now)).sum() } else { 0 };
        let busy = worker.used + worker.borrowed_used;
        let room = worker.cap(&self.rules).saturating_sub(busy);
        let free = (own - reserved + lent).min(room);
        let measured = worker.limit.measured();
        let slow = measured.zip(self.typical).is_some_and(|(run, typical)| run > typical * SLOW);
        let hot = &mut self.hot[no.index()];
        self.free = self.free + free - hot.free;
        hot.free = free;
        hot.own = own;
        hot.reserved = reserved;
        hot.latency = worker.limit.latency();
        hot.pause = worker.limit.pause();
        hot.class = if worker.health.probing() {
            Class::Probe
        } else if worker.health.suspect() {
            Class::Suspect
        } else if slow {
            Class::Slow
        } else {
            Class::Good
        };
        self.ranks[no.index()] = if free == 0 { 0 } else { rank(hot.class, free) };
    }

    /// Takes a slot for a task with a need.
    pub fn acquire(&mut self, now: Time, need: &Need) -> Option<Slot> {
        if now >= self.next_end {
            self.end_loans(now);
        }
        if self.free == 0 {
            return None;
        }
        let place = match self.rules.policy {
            PlacementPolicy::MostFree => self.most_free(now, need),
            PlacementPolicy::Random => self.any(now, need),
            PlacementPolicy::RoundRobin => self.next(now, need),
            PlacementPolicy::TwoChoices => self.better_of_two(now, need),
        }?;
        Some(self.take(now, WorkerNo(u32::try_from(place).unwrap_or(u32::MAX))))
    }

    fn most_free(&self, now: Time, need: &Need) -> Option<usize> {
        let mut top = self.ranks.iter().copied().max().unwrap_or(0);
        while top > 0 {
            let same = self.ranks.iter().zip(&self.hot).enumerate();
            let same = same.filter(|(_, (rank, hot))| **rank == top && hot.takes(now, need));
            let order =
                |(_, (_, hot)): &(usize, (&u32, &Hot))| (self.rack_used[hot.rack], hot.latency);
            if let Some((place, _)) = same.min_by_key(order) {
                return Some(place);
            }
            // Nothing of this rank takes the task.
            top = self.ranks.iter().copied().filter(|rank| *rank < top).max().unwrap_or(0);
        }
        None
    }

    // Starts at a random place; workers after a run of full ones get more than their share, which
    // is good enough for a baseline and needs one pass.
    fn any(&mut self, now: Time, need: &Need) -> Option<usize> {
        let start = self.random.below(self.hot.len());
        self.first_from(start, now, need)
    }

    fn next(&mut self, now: Time, need: &Need) -> Option<usize> {
        let place = self.first_from(self.cursor, now, need)?;
        self.cursor = (place + 1) % self.hot.len();
        Some(place)
    }

    fn better_of_two(&mut self, now: Time, need: &Need) -> Option<usize> {
        let one = self.any(now, need)?;
        let other = self.any(now, need)?;
        Some(if self.hot[other].free > self.hot[one].free { other } else { one })
    }

    fn first_from(&self, start: usize, now: Time, need: &Need) -> Option<usize> {
        let (before, after) = self.hot.split_at(start);
        let takes = |hot: &Hot| hot.takes(now, need);
        let found = after.iter().position(takes).map(|place| place + start);
        found.or_else(|| before.iter().position(takes))
    }

    fn take(&mut self, now: Time, no: WorkerNo) -> Slot {
        let hot = &self.hot[no.index()];
        let own = hot.own > hot.reserved;
        self.rack_used[hot.rack] += 1;
        let loan = if own { 0 } else { self.take_loan(now, no) };
        let bound = self.rules.leave;
        let worker = &mut self.workers[no.index()];
        if own {
            worker.used += 1;
        } else {
            worker.borrowed_used += 1;
        }
        let held = worker.used + worker.borrowed_used + worker.lent;
        let within = !own || held <= worker.endpoint.slots.get();
        self.invariants.check(within, "slots lent and held exceed a worker's slots");
        let late = worker.leaving().is_some_and(|since| now.since(since) > bound);
        self.invariants.check(!late, "a task is sent to a leaving endpoint after the bound");
        self.refresh(now, no);
        Slot { worker: no, loan, start: now }
    }

    fn take_loan(&mut self, now: Time, no: WorkerNo) -> u64 {
        let range = self.loan_range(no);
        let loan = self.loans[range].iter_mut().find(|loan| loan.free(now) > 0);
        self.invariants.check(loan.is_some(), "a borrowed slot was counted that is not there");
        loan.map_or(0, |loan| {
            loan.used += 1;
            loan.key
        })
    }

    /// Gives a slot back.
    pub fn release(&mut self, now: Time, slot: Slot, signal: Signal) {
        let no = slot.worker;
        let rack = self.hot[no.index()].rack;
        self.rack_used[rack] = self.rack_used[rack].saturating_sub(1);
        let worker = &mut self.workers[no.index()];
        if slot.loan == 0 {
            worker.used = worker.used.saturating_sub(1);
        } else {
            worker.borrowed_used = worker.borrowed_used.saturating_sub(1);
            if let Some(loan) = self.loan_mut(no, slot.loan) {
                loan.used = loan.used.saturating_sub(1);
            }
        }
        self.learn(now, slot, signal);
        self.refresh(now, no);
    }

    fn learn(&mut self, now: Time, slot: Slot, signal: Signal) {
        let no = slot.worker;
        let room = signal == Signal::Failed && self.may_eject(no);
        let (limit, probe) = (self.rules.failures, self.rules.probe);
        let worker = &mut self.workers[no.index()];
        match signal {
            Signal::Done => {
                worker.health.done();
                let slots = worker.endpoint.slots.get();
                worker.limit.done(now, now.since(slot.start), self.typical, slots);
            }
            Signal::Failed => {
                if worker.health.failed(now, limit, probe, room) {
                    self.stopped.push(no);
                }
            }
            Signal::Busy => worker.limit.busy(now),
            Signal::Leaving => {
                if worker.says.is_none() {
                    worker.says = Some(now);
                    self.stopped.push(no);
                }
            }
            Signal::Unknown => {}
        }
    }

    fn may_eject(&self, no: WorkerNo) -> bool {
        let zone = &self.workers[no.index()].endpoint.zone;
        let same = self.workers.iter().filter(|w| w.up && w.endpoint.zone == *zone);
        let (mut all, mut out) = (0, 0);
        for worker in same {
            all += 1;
            out += u64::from(worker.health.ejected());
        }
        out < self.rules.share.of(all)
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, now: Time) {
        if now >= self.next_end {
            self.end_loans(now);
        }
        for no in self.all() {
            let worker = &mut self.workers[no.index()];
            let was_silent = worker.silent;
            worker.silent = worker.is_silent(now, self.rules.leave);
            if worker.silent && !was_silent {
                self.stopped.push(no);
            }
            if worker.health.tick(now) || worker.silent != was_silent {
                self.refresh(now, no);
            }
        }
        if now.since(self.estimated) >= TYPICAL_PERIOD {
            self.estimated = now;
            self.estimate();
            self.refresh_all(now);
        }
    }

    // The median is not moved by a few stragglers.
    fn estimate(&mut self) {
        self.scratch.clear();
        self.scratch.extend(self.workers.iter().filter_map(|worker| worker.limit.measured()));
        self.typical = (self.scratch.len() >= TYPICAL_WORKERS).then(|| {
            let middle = (self.scratch.len() - 1) / 2;
            *self.scratch.select_nth_unstable(middle).1
        });
    }

    /// Id of a worker.
    #[must_use]
    pub fn id(&self, worker: WorkerNo) -> &WorkerId {
        &self.workers[worker.index()].endpoint.worker
    }

    /// What is known of the worker with an id.
    pub(crate) fn known(&self, id: &WorkerId) -> Option<&Endpoint> {
        self.find(id).map(|no| self.endpoint(no))
    }

    /// What is known of a worker.
    pub(crate) fn endpoint(&self, worker: WorkerNo) -> &Endpoint {
        &self.workers[worker.index()].endpoint
    }

    /// Whether any known worker could ever run a task with this need.
    #[must_use]
    pub fn ever_fits(&self, need: &Need) -> bool {
        self.hot.is_empty() || self.hot.iter().any(|hot| hot.fits(need))
    }

    /// Slots that this shard may use now: of own workers, less lent ones, and borrowed ones.
    pub(crate) fn capacity(&self) -> u32 {
        self.free + self.workers.iter().map(|w| w.used + w.borrowed_used).sum::<u32>()
    }

    /// Slots on which this shard may start a task now.
    pub(crate) const fn free(&self) -> u32 {
        self.free
    }

    /// Slots of own workers that work may be placed on.
    pub(crate) fn owned(&self) -> u32 {
        let own = self.workers.iter().filter(|worker| worker.owned && worker.usable());
        own.map(|worker| worker.cap(&self.rules)).sum()
    }

    /// Ids of own workers.
    pub(crate) fn owned_ids(&self) -> impl Iterator<Item = &WorkerId> {
        let own = self.workers.iter().filter(|worker| worker.owned);
        own.map(|worker| &worker.endpoint.worker)
    }

    /// Whether a worker is known to leave.
    pub(crate) fn is_leaving(&self, id: &WorkerId) -> bool {
        let worker = self.find(id).map(|no| &self.workers[no.index()]);
        worker.is_some_and(|worker| worker.leaving().is_some())
    }

    /// Workers known, and the largest number of slots of one.
    pub(crate) fn extent(&self) -> (usize, u32) {
        let largest = self.workers.iter().map(|worker| worker.endpoint.slots.get()).max();
        (self.workers.len(), largest.unwrap_or(0))
    }

    /// Slots of own workers that are idle, set aside ones included.
    pub(crate) fn idle(&self, now: Time) -> u32 {
        self.hot.iter().enumerate().map(|(place, _)| self.lendable_at(now, place)).sum()
    }

    fn lendable_at(&self, now: Time, place: usize) -> u32 {
        let (hot, worker) = (&self.hot[place], &self.workers[place]);
        let lends = worker.guard.is_none() && !worker.health.ejected() && hot.pause <= now;
        if lends { hot.own } else { 0 }
    }

    /// The own worker with the most slots that can be lent for a need, and their number.
    pub(crate) fn lendable(&self, now: Time, need: &Need) -> Option<(WorkerNo, u32)> {
        let fits = |(_, hot): &(usize, &Hot)| hot.own > 0 && hot.fits(need);
        let fitting = self.hot.iter().enumerate().filter(fits);
        let slots = fitting.map(|(place, hot)| (hot.class, self.lendable_at(now, place), place));
        let (_, slots, place) = slots.filter(|(_, slots, _)| *slots > 0).max()?;
        Some((WorkerNo(u32::try_from(place).unwrap_or(u32::MAX)), slots))
    }

    /// Sets a free slot of an own worker aside for other shards; tells whether there was one.
    pub(crate) fn reserve(&mut self, now: Time, no: WorkerNo) -> bool {
        let hot = &self.hot[no.index()];
        let can = hot.own > hot.reserved && self.workers[no.index()].guard.is_none();
        if can {
            self.workers[no.index()].reserved += 1;
            self.refresh(now, no);
        }
        can
    }

    /// Slots set aside for other shards.
    pub(crate) fn reserved(&self) -> u32 {
        self.hot.iter().map(|hot| hot.reserved).sum()
    }

    /// Gives up what is set aside for other shards.
    pub(crate) fn unreserve(&mut self, now: Time) {
        for no in self.all() {
            if std::mem::take(&mut self.workers[no.index()].reserved) > 0 {
                self.refresh(now, no);
            }
        }
    }

    /// Counts slots of an own worker as lent.
    pub(crate) fn lend(&mut self, now: Time, no: WorkerNo, slots: u32) {
        let worker = &mut self.workers[no.index()];
        worker.lent += slots;
        worker.reserved = worker.reserved.saturating_sub(slots);
        let held = worker.used + worker.borrowed_used + worker.lent;
        let within = held <= worker.endpoint.slots.get();
        self.invariants.check(within, "slots lent and held exceed a worker's slots");
        self.refresh(now, no);
    }

    /// Counts slots as not lent any more.
    pub(crate) fn unlend(&mut self, now: Time, no: WorkerNo, slots: u32) {
        let worker = &mut self.workers[no.index()];
        self.invariants.check(worker.lent >= slots, "more slots come back than were lent");
        worker.lent = worker.lent.saturating_sub(slots);
        self.refresh(now, no);
    }

    /// Counts slots as not lent any more although the borrower did not return them. Its tasks may
    /// still run, so the worker is used only as far as its endpoint says that slots are free.
    pub(crate) fn lapse(&mut self, now: Time, no: WorkerNo, slots: u32) {
        let worker = &mut self.workers[no.index()];
        if worker.guard.is_none() && worker.owned {
            worker.guard = Some(now);
            worker.gained = now;
        }
        self.unlend(now, no, slots);
    }

    /// Whether loans on a worker may be renewed.
    pub(crate) fn renewable(&self, no: WorkerNo) -> bool {
        let worker = &self.workers[no.index()];
        worker.owned && worker.usable() && !worker.health.ejected()
    }

    fn loan_range(&self, no: WorkerNo) -> std::ops::Range<usize> {
        let start = self.loans.partition_point(|loan| loan.worker < no);
        let end = self.loans.partition_point(|loan| loan.worker <= no);
        start..end
    }

    fn loans_of(&self, no: WorkerNo) -> impl Iterator<Item = &Loan> {
        self.loans[self.loan_range(no)].iter()
    }

    fn loan_mut(&mut self, no: WorkerNo, key: u64) -> Option<&mut Loan> {
        let place = self.loans.binary_search_by_key(&(no, key), |loan| (loan.worker, loan.key));
        place.ok().map(|place| &mut self.loans[place])
    }

    /// Slots borrowed now.
    pub(crate) fn loans(&self) -> &[Loan] {
        &self.loans
    }

    /// Slots borrowed now, to be changed without their sorting or `used`; then [`Self::relend`].
    pub(crate) fn loans_mut(&mut self) -> &mut [Loan] {
        &mut self.loans
    }

    /// Takes note of a change of the loans on a worker.
    pub(crate) fn relend(&mut self, now: Time, no: WorkerNo) {
        self.next_end = self
            .loans
            .iter()
            .map(|loan| loan.end)
            .filter(|end| *end > now)
            .min()
            .unwrap_or(Time::NEVER);
        self.refresh(now, no);
    }

    /// Takes a loan; `endpoint` describes the worker when it is not known.
    pub(crate) fn borrow(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        make: impl FnOnce(WorkerNo, u64) -> Loan,
    ) {
        let no = self.find(&endpoint.worker).unwrap_or_else(|| {
            let no = self.add(endpoint.clone());
            self.workers[no.index()].up = true;
            no
        });
        self.next_loan += 1;
        let loan = make(no, self.next_loan);
        let lent: u32 = self.loans_of(no).map(|loan| loan.slots).sum::<u32>() + loan.slots;
        // Only heartbeats tell the slots of a worker, and other zones may send none.
        let worker = &mut self.workers[no.index()];
        let slots = worker.endpoint.slots.get();
        if slots < lent && !worker.owned {
            worker.limit.resize(slots, lent);
            worker.endpoint.slots = Slots::new(lent);
        }
        let place = self.loans.partition_point(|l| (l.worker, l.key) < (no, loan.key));
        self.loans.insert(place, loan);
        self.relend(now, no);
    }

    // No task starts on a loan from its end on; one that is not in use is forgotten.
    fn end_loans(&mut self, now: Time) {
        self.next_end = Time::NEVER;
        for place in 0..self.loans.len() {
            let loan = &mut self.loans[place];
            if loan.end <= now {
                loan.slots = 0;
                let no = loan.worker;
                self.refresh(now, no);
            } else {
                self.next_end = self.next_end.min(loan.end);
            }
        }
        self.loans.retain(|loan| loan.end > now || loan.used > 0);
    }
}
