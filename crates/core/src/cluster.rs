//! Resources available to a shard: workers and their slots, other shards, quotas.

use std::sync::Arc;

use cranberryhatch_schema::peer::envelope::Body;
use cranberryhatch_settings::ActiveSettings;
use cranberryhatch_types::{
    Incarnation, InstanceId, ShardId, Span, TeamId, Time, WorkerId, ZoneId,
};

use crate::{
    Command, Counter, Endpoint, Event, Identity, Listing, Need, Pool, Prerequisite, Slot,
    SlotOutcome, StateChange, WorkerNo,
    borrowing::Borrowing,
    lending::Lending,
    membership::{Load, Membership},
    quota::Quota,
    rules::Rules,
};

/// Maximum gap between two events. Ticks are far more frequent; after a longer pause, other shards
/// may have counted this one as lost and taken over what it owns.
const MAX_EVENT_GAP: Span = Span::from_secs(1);

/// Why no slot is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blocked {
    /// No suitable worker has a free slot.
    NoSlot,
    /// The team's quota is exhausted.
    Quota,
}

/// Workers, slots, peers and quotas as seen by one shard.
///
/// ```
/// use cranberryhatch_core::{Blocked, Cluster, Identity, Need};
/// use cranberryhatch_types::{Holder, Incarnation, ShardId, Time};
///
/// let holder = Holder { instance: "praha-a-1".parse().unwrap(), incarnation: Incarnation::new(1) };
/// let shard = ShardId { instance: holder.instance.clone(), shard: 0 };
/// let identity = Identity { shard, holder, zone: "praha-a".parse().unwrap(), shards: 1 };
/// let mut cluster = Cluster::new(identity);
/// let team = "script".parse().unwrap();
/// let slot = cluster.acquire(Time::ZERO, &team, &Need::default());
/// assert_eq!(slot, Err(Blocked::NoSlot));
/// ```
#[derive(Debug)]
pub struct Cluster {
    pool: Pool,
    members: Membership,
    lending: Lending,
    borrowing: Borrowing,
    quota: Quota,
    version: u64,
    // Waiting tasks, and those of them that quotas allow to start.
    waiting: u32,
    allowed: u32,
    // Smallest need that found no slot, in each resource.
    need: Option<Need>,
    listed_endpoints: usize,
    last_event: Option<Time>,
    // Zones with endpoints that are not leaving, sorted; `None` until the list was read.
    zones: Option<Vec<ZoneId>>,
    stranded: bool,
}

impl Cluster {
    /// Creates a cluster without workers that knows only the shards of its own instance.
    #[must_use]
    pub fn new(me: Identity) -> Self {
        Self {
            pool: Pool::new(me.zone.clone(), &me.shard),
            quota: Quota::new(me.zone.clone()),
            members: Membership::new(me),
            lending: Lending::default(),
            borrowing: Borrowing::default(),
            version: 0,
            waiting: 0,
            allowed: 0,
            need: None,
            listed_endpoints: 0,
            last_event: None,
            zones: None,
            stranded: false,
        }
    }

    /// Handles events that concern workers, peers and quotas; ignores all others.
    pub fn handle(&mut self, now: Time, event: &Event, out: &mut Vec<Command>) {
        match self.last_event.replace(now) {
            None => self.quota.update_owners(now, &self.members),
            Some(last_event) if now.since(last_event) > MAX_EVENT_GAP => {
                self.pool.guard_all(now);
                self.quota.pause_new_grants(now);
            }
            Some(_) => {}
        }
        match event {
            Event::EndpointSeen(endpoint) => self.handle_endpoint_seen(now, endpoint, out),
            Event::EndpointLost(id) => {
                if self.pool.endpoint_lost(now, id) {
                    out.push(Command::State(StateChange::WorkerDown(id.clone())));
                }
            }
            Event::Listed(list) => self.handle_list(now, list, out),
            Event::Peer { from, incarnation, body } => {
                self.handle_peer_message(now, from, *incarnation, body, out);
            }
            Event::Settings(settings) => self.apply_settings(now, settings, out),
            Event::Drain => {
                let load = self.load(now);
                self.members.drain(now, load, out);
                self.reassign_workers(now);
            }
            Event::Tick => self.tick(now, out),
            _ => return,
        }
        self.reconcile(now, out);
    }

    fn apply_settings(
        &mut self,
        now: Time,
        settings: &Arc<ActiveSettings>,
        out: &mut Vec<Command>,
    ) {
        if settings.version() > self.version {
            self.version = settings.version();
            self.pool.set_rules(now, Rules::from(&**settings.local()));
            if self.pool.set_drains(now, settings.drains()) {
                let zones = settings.drains().zones().to_vec();
                out.push(Command::State(StateChange::ZonesDrained(zones)));
            }
            self.quota.apply_settings(Arc::clone(settings));
            self.quota.update_owners(now, &self.members);
            self.estimate_slots();
        }
    }

    fn handle_endpoint_seen(&mut self, now: Time, endpoint: &Endpoint, out: &mut Vec<Command>) {
        let leaving = self.pool.is_leaving(&endpoint.worker);
        if self.pool.endpoint_seen(now, endpoint) {
            self.reassign_workers(now);
            self.estimate_slots();
            out.push(Command::State(StateChange::WorkerUp(endpoint.worker.clone())));
        }
        if !leaving && self.pool.is_leaving(&endpoint.worker) {
            out.push(Command::State(StateChange::WorkerLeaving(endpoint.worker.clone())));
        }
    }

    fn handle_list(&mut self, now: Time, list: &[Listing], out: &mut Vec<Command>) {
        if self.members.handle_list(list) {
            self.reassign_workers(now);
        }
        self.listed_endpoints = 0;
        let zones = self.zones.insert(Vec::new());
        for row in list {
            let Listing::Endpoint { id, zone, leaving, .. } = row else { continue };
            self.listed_endpoints += 1;
            if !leaving && let Err(pos) = zones.binary_search(zone) {
                zones.insert(pos, zone.clone());
            }
            if self.pool.worker_listed(now, id, *leaving) {
                out.push(Command::State(StateChange::WorkerLeaving(id.clone())));
            }
        }
        self.estimate_slots();
    }

    fn handle_peer_message(
        &mut self,
        now: Time,
        from: &ShardId,
        incarnation: Incarnation,
        body: &Body,
        out: &mut Vec<Command>,
    ) {
        match body {
            Body::Heartbeat(heartbeat) => {
                let load = self.load(now);
                if self.members.handle_heartbeat(now, from, incarnation, heartbeat, load, out) {
                    self.reassign_workers(now);
                }
            }
            Body::Borrow(borrow) => {
                self.set_peer_queue(from, borrow.queued);
                self.lending.handle_borrow(now, from, incarnation, borrow, &self.pool);
            }
            Body::Lend(lend) => {
                if lend.request != 0
                    && let Some(peer) = self.members.peer_mut(from)
                {
                    peer.idle = lend.idle;
                }
                self.borrowing.handle_lend(now, from, incarnation, lend, &mut self.pool, out);
            }
            Body::Return(back) => {
                self.set_peer_queue(from, back.queued);
                self.lending.handle_return(now, from, incarnation, back, &mut self.pool, out);
            }
            Body::QuotaAsk(ask) => {
                self.quota.handle_ask(now, from, incarnation, ask, &self.members, out);
            }
            Body::QuotaGrant(grant) => self.quota.handle_grant(now, grant),
            _ => {}
        }
    }

    fn set_peer_queue(&mut self, from: &ShardId, queued: u32) {
        if let Some(peer) = self.members.peer_mut(from) {
            peer.queued = queued;
        }
    }

    fn reassign_workers(&mut self, now: Time) {
        let me = self.members.me();
        let owners = self.members.owners(Some(&me.zone));
        self.pool.assign(now, &me.shard, &owners);
        self.quota.update_owners(now, &self.members);
    }

    // Estimates the slots of the deployment: all known workers, each with the size of the largest
    // one.
    fn estimate_slots(&mut self) {
        let (workers, slots) = self.pool.worker_stats();
        let workers = self.listed_endpoints.max(workers).max(workers * self.quota.zones());
        let workers = u32::try_from(workers).unwrap_or(u32::MAX);
        self.quota.set_slots(workers.saturating_mul(slots));
    }

    fn load(&self, now: Time) -> Load {
        let idle = self.pool.idle(now).saturating_sub(self.pool.reserved() + self.waiting);
        let is_stopping = self.members.is_draining() && !self.members.zone_is_draining();
        let idle = if is_stopping { 0 } else { idle };
        let borrowed = self.pool.borrowed();
        Load { queued: self.waiting, idle, borrowed, version: self.version }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Command>) {
        self.pool.tick(now);
        if self.members.expire(now) {
            self.reassign_workers(now);
        }
        if let Some(since) = self.members.unborrowed_since() {
            self.pool.lift_guards(now, since);
        }
        self.lending.tick(now, &mut self.pool);
        self.borrowing.tick(now, self.waiting, self.pool.rules().lease, out);
        self.quota.tick(now);
        let load = self.load(now);
        self.members.tick(now, load, out);
    }

    // Sends the messages required by the new state: recalls, loans, requests and returns.
    fn reconcile(&mut self, now: Time, out: &mut Vec<Command>) {
        for worker in self.pool.take_unlendable() {
            if !self.pool.is_renewable(worker) {
                self.lending.recall_all(worker, &self.pool, out);
            }
        }
        self.quota.request_shares(now, &self.members, out);
        self.allowed = self.quota.allowed(now).min(self.waiting);
        self.lending.balance(self.waiting, &self.pool, &self.members, out);
        self.lending.offer(now, self.allowed, &mut self.pool, &self.members, out);
        self.borrowing.return_and_renew(now, self.allowed, &mut self.pool, out);
        let need = self.need.unwrap_or_default();
        self.borrowing.request_slots(now, self.allowed, &need, &self.pool, &mut self.members, out);
        let stranded = self.lacks_endpoints();
        if std::mem::replace(&mut self.stranded, stranded) != stranded {
            out.push(Command::State(StateChange::Stranded(stranded)));
        }
        let broken = self.pool.invariants.take() + self.quota.take_broken();
        if broken > 0 {
            out.push(Command::Count(Counter::InvariantsBroken, broken));
        }
    }

    // Until the list was read, any zone with instances may have endpoints.
    fn lacks_endpoints(&self) -> bool {
        let drains = self.pool.drains();
        if drains.is_empty() {
            return false;
        }
        let mut zones = self
            .zones
            .clone()
            .unwrap_or_else(|| self.members.peers().iter().map(|peer| peer.zone.clone()).collect());
        let own = &self.members.me().zone;
        if self.pool.has_live_workers() {
            zones.push(own.clone());
        }
        let rules = self.pool.rules();
        drains.strands(own, rules.borrow && rules.cross_zone, &zones)
    }

    /// Returns whether drained zones leave this shard without any endpoint.
    #[must_use]
    pub const fn is_stranded(&self) -> bool {
        self.stranded && self.pool.free() == 0
    }

    /// Returns the prerequisites for serving that are not met yet, sorted.
    #[must_use]
    pub fn missing(&self) -> Vec<Prerequisite> {
        let idle = self.members.unborrowed_since().is_some();
        let lacks = [
            (Prerequisite::Settings, self.version == 0),
            (Prerequisite::List, !self.members.is_listed()),
            (Prerequisite::Peers, !self.members.has_heard_all()),
            (Prerequisite::Workers, self.pool.is_guarded(idle)),
        ];
        lacks.into_iter().filter(|(_, lacks)| *lacks).map(|(what, _)| what).collect()
    }

    /// Iterates over the instances with which this shard expects to exchange messages.
    pub fn peer_instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.members.peer_instances()
    }

    /// Takes a slot for a task of a team.
    ///
    /// # Errors
    ///
    /// Returns the reason if no slot is available now.
    pub fn acquire(&mut self, now: Time, team: &TeamId, need: &Need) -> Result<Slot, Blocked> {
        let pos = self.quota.startable_team(now, team).ok_or(Blocked::Quota)?;
        let Some(slot) = self.pool.acquire(now, need) else {
            self.need = Some(self.need.map_or(*need, |known| known.smaller(need)));
            return Err(Blocked::NoSlot);
        };
        self.quota.task_started(now, pos);
        Ok(slot)
    }

    /// Releases a slot.
    pub fn release(&mut self, now: Time, team: &TeamId, slot: Slot, outcome: SlotOutcome) {
        self.quota.task_ended(now, team);
        self.pool.release(now, slot, outcome);
        let wanted = slot.loan == 0 && self.waiting > 0 && self.lending.has_requests();
        if wanted && self.lending.wants_more(self.pool.reserved()) {
            self.pool.reserve(now, slot.worker);
        }
    }

    /// Sets the number of waiting tasks of each team, and requests, lends and returns slots
    /// accordingly. Call it after every event that changed the numbers or released a slot.
    pub fn set_demand(&mut self, now: Time, waiting: &[(TeamId, u32)], out: &mut Vec<Command>) {
        self.waiting = waiting.iter().map(|(_, count)| *count).fold(0, u32::saturating_add);
        self.quota.set_demand(waiting);
        if self.waiting == 0 {
            self.need = None;
        }
        self.reconcile(now, out);
    }

    /// Returns the id of a worker.
    #[must_use]
    pub fn worker(&self, worker: WorkerNo) -> &WorkerId {
        self.pool.id(worker)
    }

    /// Returns whether any known worker is large enough for a task with this need.
    #[must_use]
    pub fn ever_fits(&self, need: &Need) -> bool {
        self.pool.ever_fits(need)
    }

    /// Returns the number of slots that this shard may use now, in use or free: own slots less
    /// those lent, plus borrowed ones.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        self.pool.capacity()
    }

    /// Returns the number of slots that this shard can expect to use: its capacity plus the idle
    /// slots last reported by its peers.
    #[must_use]
    pub fn reachable_slots(&self) -> u32 {
        let peers = self.members.peers().iter().filter(|peer| !peer.leaving);
        peers.map(|peer| peer.idle).fold(self.capacity(), u32::saturating_add)
    }

    /// Returns the estimated number of slots of the whole deployment, based on the list and the
    /// largest known worker.
    #[must_use]
    pub const fn total_slots(&self) -> u32 {
        self.quota.slots()
    }

    /// Returns the number of slots on which this shard may start a task now.
    #[must_use]
    pub const fn free(&self) -> u32 {
        self.pool.free()
    }

    /// Returns the number of slots of own workers that other shards may use.
    #[must_use]
    pub fn lent(&self) -> u32 {
        self.lending.lent()
    }

    /// Iterates over the workers that this shard owns.
    pub fn owned(&self) -> impl Iterator<Item = &WorkerId> {
        self.pool.owned_ids()
    }

    /// Iterates over the versions of the settings last reported by other shards.
    pub fn versions(&self) -> impl Iterator<Item = (&ShardId, u64)> {
        self.members.peers().iter().map(|peer| (&peer.shard, peer.version))
    }

    /// Iterates over the known shards that are not stopping.
    pub fn live(&self) -> impl Iterator<Item = &ShardId> {
        self.members.peers().iter().filter(|peer| !peer.leaving).map(|peer| &peer.shard)
    }
}
