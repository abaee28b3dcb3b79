//! Membership: which shards are live, according to heartbeats and the platform's list.
//!
//! Control traffic is bounded by the recipients and the rate of heartbeats. Shard 0 sends
//! heartbeats on behalf of all shards of its instance; shards of one process notify each other
//! without the network. An instance of the own zone gets a heartbeat every [`NEAR_INTERVAL`]. An
//! instance of another zone gets one every [`FAR_INTERVAL`] times the number of such instances, but
//! at most one per [`NEAR_INTERVAL`], so that traffic between zones does not grow with the
//! deployment.
//!
//! A heartbeat takes about 135 bytes: 75 bytes as an envelope with two shards, 8 bytes of framing
//! and 52 bytes of TCP and IP headers. With 45 instances in 5 zones an instance sends 8 / 0.5 s =
//! 16 heartbeats a second within the zone and 36 / (36 * 0.16 s) = 6.25 to other zones, which is
//! 22.25 * 135 = 3.0 KB/s, and receives as much: 6.0 KB/s of the 7 KB/s allowed for a node.

use cranberryhatch_schema::peer::{Heartbeat, ShardLoad, envelope::Body};
use cranberryhatch_types::{Incarnation, InstanceId, ShardId, Span, Time, ZoneId};

use crate::{Command, Identity, Listing, peer::Peer};

/// Interval between two heartbeats to an instance of the own zone, and to sibling shards.
const NEAR_INTERVAL: Span = Span::from_ms(500);
/// Interval between two heartbeats to other zones, whose instances take turns.
const FAR_INTERVAL: Span = Span::from_ms(160);
/// Time without a heartbeat after which a shard of the own zone is lost: four heartbeats.
pub(crate) const PEER_TIMEOUT: Span = Span::from_secs(2);

/// Load of this shard, as reported in its heartbeats.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) queued: u32,
    pub(crate) idle: u32,
    pub(crate) borrowed: u32,
    pub(crate) version: u64,
}

/// An instance to which heartbeats are sent.
#[derive(Clone, Debug)]
struct HeartbeatTarget {
    instance: InstanceId,
    zone: ZoneId,
    listed: bool,
    sent: Option<Time>,
}

/// Live shards as seen by one shard.
#[derive(Debug)]
pub(crate) struct Membership {
    me: Identity,
    peers: Vec<Peer>,
    targets: Vec<HeartbeatTarget>,
    leaving: Vec<InstanceId>,
    // Whether the list was read.
    list_read: bool,
    // Whether the last list contained this instance.
    listed: bool,
    draining: bool,
    siblings_sent: Option<Time>,
    // Shards of this instance that have had idle slots at some time, sorted.
    announced: Vec<u32>,
}

impl Membership {
    /// Creates a view that knows only the shards of the own instance.
    pub(crate) fn new(me: Identity) -> Self {
        let sibling = |shard| Peer {
            shard: ShardId { instance: me.holder.instance.clone(), shard },
            zone: me.zone.clone(),
            incarnation: me.holder.incarnation,
            seen: Time::ZERO,
            queued: 0,
            idle: 0,
            borrowed: 0,
            draining: false,
            leaving: false,
            version: 0,
        };
        let peers = (0..me.shards).filter(|shard| *shard != me.shard.shard).map(sibling).collect();
        Self {
            peers,
            targets: Vec::new(),
            leaving: Vec::new(),
            list_read: false,
            listed: false,
            draining: false,
            siblings_sent: None,
            announced: Vec::new(),
            me,
        }
    }

    /// Returns the identity of this shard.
    pub(crate) const fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns whether this shard is stopping, as decided by itself or marked in the list.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining || self.is_leaving(&self.me.holder.instance)
    }

    /// Returns all known shards, sorted.
    pub(crate) fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns a known shard.
    pub(crate) fn peer(&self, shard: &ShardId) -> Option<&Peer> {
        self.position(shard).ok().map(|pos| &self.peers[pos])
    }

    /// Returns a mutable reference to a known shard.
    pub(crate) fn peer_mut(&mut self, shard: &ShardId) -> Option<&mut Peer> {
        self.position(shard).ok().map(|pos| &mut self.peers[pos])
    }

    fn position(&self, shard: &ShardId) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.shard.cmp(shard))
    }

    /// Returns the shards that may own something in a zone, or in any zone for `None`. Stopping
    /// shards are included only if no others are left, so that the last ones can finish their work.
    pub(crate) fn owners(&self, zone: Option<&ZoneId>) -> Vec<&ShardId> {
        let mine = zone.is_none_or(|zone| *zone == self.me.zone);
        let within = |peer: &&Peer| zone.is_none_or(|zone| *zone == peer.zone);
        let peers = self.peers.iter().filter(within).map(|peer| (&peer.shard, peer.leaving));
        let all = peers.chain(mine.then_some((&self.me.shard, self.is_draining())));
        let all: Vec<_> = all.collect();
        let remaining: Vec<_> = all.iter().filter(|(_, leaving)| !leaving).map(|e| e.0).collect();
        if remaining.is_empty() {
            all.into_iter().map(|entry| entry.0).collect()
        } else {
            remaining
        }
    }

    /// Returns whether all shards of the own zone are stopping. Only then does a stopping shard
    /// still lend slots, so that they can finish their work together.
    pub(crate) fn zone_is_draining(&self) -> bool {
        let peers = self.peers.iter().filter(|peer| peer.zone == self.me.zone);
        self.is_draining() && peers.clone().all(|peer| peer.leaving)
    }

    fn is_leaving(&self, instance: &InstanceId) -> bool {
        self.leaving.binary_search(instance).is_ok()
    }

    /// Applies the platform's list; returns whether owners may have changed.
    pub(crate) fn handle_list(&mut self, list: &[Listing]) -> bool {
        self.list_read = true;
        self.listed = false;
        let was_leaving = std::mem::take(&mut self.leaving);
        for target in &mut self.targets {
            target.listed = false;
        }
        for row in list {
            let Listing::Entry { id, zone, leaving, .. } = row else { continue };
            if *leaving {
                self.leaving.push(id.clone());
            }
            if *id == self.me.holder.instance {
                self.listed = true;
            } else {
                self.target(id, zone).listed = true;
            }
        }
        self.leaving.sort_unstable();
        self.drop_targets();
        for peer in &mut self.peers {
            let listed = self.leaving.binary_search(&peer.shard.instance).is_ok();
            peer.leaving = peer.draining || listed;
        }
        self.leaving != was_leaving
    }

    fn target(&mut self, instance: &InstanceId, zone: &ZoneId) -> &mut HeartbeatTarget {
        let pos = match self.targets.binary_search_by(|target| target.instance.cmp(instance)) {
            Ok(pos) => pos,
            Err(pos) => {
                let target = HeartbeatTarget {
                    instance: instance.clone(),
                    zone: zone.clone(),
                    listed: false,
                    sent: None,
                };
                self.targets.insert(pos, target);
                pos
            }
        };
        &mut self.targets[pos]
    }

    fn drop_targets(&mut self) {
        let peers = &self.peers;
        let has_peer = |instance: &InstanceId| peers.iter().any(|p| p.shard.instance == *instance);
        self.targets.retain(|target| target.listed || has_peer(&target.instance));
    }

    /// Handles a heartbeat: relays it to sibling shards and answers a new instance. Returns whether
    /// owners may have changed.
    pub(crate) fn handle_heartbeat(
        &mut self,
        now: Time,
        from: &ShardId,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
        load: Load,
        out: &mut Vec<Command>,
    ) -> bool {
        let relayed = !heartbeat.instance.is_empty();
        let (origin, incarnation) = if relayed {
            (heartbeat.instance.parse().ok(), Incarnation::new(heartbeat.incarnation))
        } else {
            (Some(from.clone()), incarnation)
        };
        let (Some(origin), Ok(zone)) = (origin, heartbeat.zone.parse::<ZoneId>()) else {
            return false;
        };
        if origin == self.me.shard {
            return false;
        }
        let own = origin.instance == self.me.holder.instance;
        if !own && !relayed {
            self.relay(&origin, incarnation, heartbeat, out);
        }
        let known = self.peer(&origin).is_some_and(|peer| peer.incarnation >= incarnation);
        let mut changed = self.update_peer(
            now,
            &origin,
            &zone,
            incarnation,
            heartbeat,
            (heartbeat.queued, heartbeat.idle, heartbeat.borrowed),
        );
        for other in &heartbeat.others {
            let shard = ShardId { instance: origin.instance.clone(), shard: other.shard };
            if shard != self.me.shard {
                changed |= self.update_peer(
                    now,
                    &shard,
                    &zone,
                    incarnation,
                    heartbeat,
                    (other.queued, other.idle, other.borrowed),
                );
            }
        }
        if own && heartbeat.idle > 0 {
            self.announce(origin.shard);
        }
        if !own && !known && self.me.shard.shard == 0 {
            self.target(&origin.instance, &zone).sent = Some(now);
            let to = ShardId { instance: origin.instance, shard: 0 };
            out.push(Command::Send { to, body: Body::Heartbeat(self.heartbeat(load)) });
        }
        changed
    }

    fn update_peer(
        &mut self,
        now: Time,
        shard: &ShardId,
        zone: &ZoneId,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
        (queued, idle, borrowed): (u32, u32, u32),
    ) -> bool {
        // Stopping is final for an incarnation: an earlier message that arrives late does not undo
        // it.
        let known = self.peer(shard).is_some_and(|p| p.draining && p.incarnation == incarnation);
        let draining = heartbeat.draining || known;
        let leaving = draining || self.is_leaving(&shard.instance);
        let peer = Peer {
            shard: shard.clone(),
            zone: zone.clone(),
            incarnation,
            seen: now,
            queued,
            idle,
            borrowed,
            draining,
            leaving,
            version: heartbeat.version,
        };
        match self.position(shard) {
            Ok(pos) if self.peers[pos].incarnation > incarnation => false,
            Ok(pos) => {
                let before = std::mem::replace(&mut self.peers[pos], peer);
                before.leaving != leaving || before.zone != *zone
            }
            Err(pos) => {
                self.peers.insert(pos, peer);
                true
            }
        }
    }

    fn relay(
        &self,
        origin: &ShardId,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
        out: &mut Vec<Command>,
    ) {
        for to in self.siblings() {
            let mut heartbeat = heartbeat.clone();
            heartbeat.instance = origin.to_string();
            heartbeat.incarnation = incarnation.get();
            out.push(Command::Send { to, body: Body::Heartbeat(heartbeat) });
        }
    }

    fn siblings(&self) -> impl Iterator<Item = ShardId> {
        let instance = &self.me.holder.instance;
        let others = (0..self.me.shards).filter(|shard| *shard != self.me.shard.shard);
        others.map(|shard| ShardId { instance: instance.clone(), shard })
    }

    fn heartbeat(&self, load: Load) -> Heartbeat {
        let sibling = |shard: ShardId| {
            let peer = self.peer(&shard)?;
            Some(ShardLoad {
                shard: shard.shard,
                queued: peer.queued,
                idle: peer.idle,
                borrowed: peer.borrowed,
            })
        };
        Heartbeat {
            zone: self.me.zone.to_string(),
            shards: self.me.shards,
            queued: load.queued,
            idle: load.idle,
            version: load.version,
            draining: self.draining,
            others: if self.me.shard.shard == 0 {
                self.siblings().filter_map(sibling).collect()
            } else {
                Vec::new()
            },
            instance: String::new(),
            incarnation: 0,
            borrowed: load.borrowed,
        }
    }

    /// Returns the interval between two heartbeats to the same instance of another zone.
    fn far_interval(&self) -> Span {
        let far = self.targets.iter().filter(|target| target.zone != self.me.zone).count();
        NEAR_INTERVAL.max(FAR_INTERVAL * far as u64)
    }

    // The first idle slots of a shard are announced at once: until then, others have no slots to
    // request.
    fn announce(&mut self, shard: u32) {
        let Err(pos) = self.announced.binary_search(&shard) else { return };
        self.announced.insert(pos, shard);
        self.siblings_sent = None;
        self.targets.iter_mut().for_each(|target| target.sent = None);
    }

    /// Sends the heartbeats that are due.
    pub(crate) fn tick(&mut self, now: Time, load: Load, out: &mut Vec<Command>) {
        if load.idle > 0 {
            self.announce(self.me.shard.shard);
        }
        if self.siblings_sent.is_none_or(|sent| now.since(sent) >= NEAR_INTERVAL) {
            self.siblings_sent = Some(now);
            self.notify_siblings(load, out);
        }
        if self.me.shard.shard != 0 {
            return;
        }
        let far = self.far_interval();
        let near = &self.me.zone;
        let due = |target: &HeartbeatTarget| {
            let period = if target.zone == *near { NEAR_INTERVAL } else { far };
            target.sent.is_none_or(|sent| now.since(sent) >= period)
        };
        if !self.targets.iter().any(due) {
            return;
        }
        let heartbeat = self.heartbeat(load);
        for target in &mut self.targets {
            let period = if target.zone == *near { NEAR_INTERVAL } else { far };
            if target.sent.is_none_or(|sent| now.since(sent) >= period) {
                target.sent = Some(now);
                let to = ShardId { instance: target.instance.clone(), shard: 0 };
                out.push(Command::Send { to, body: Body::Heartbeat(heartbeat.clone()) });
            }
        }
    }

    fn notify_siblings(&self, load: Load, out: &mut Vec<Command>) {
        let mut heartbeat = self.heartbeat(load);
        heartbeat.others.clear();
        for to in self.siblings() {
            out.push(Command::Send { to, body: Body::Heartbeat(heartbeat.clone()) });
        }
    }

    /// Returns whether the last list contained this instance.
    pub(crate) const fn is_listed(&self) -> bool {
        self.listed
    }

    /// Iterates over the known instances that are not leaving.
    pub(crate) fn peer_instances(&self) -> impl Iterator<Item = &InstanceId> {
        let ids = self.targets.iter().map(|target| &target.instance);
        ids.filter(|id| !self.is_leaving(id))
    }

    /// Returns whether a heartbeat was received from every instance that is not leaving.
    pub(crate) fn has_heard_all(&self) -> bool {
        self.peer_instances().all(|id| self.peers.iter().any(|peer| peer.shard.instance == *id))
    }

    /// Returns the time since which every possible borrower has reported that it has borrowed
    /// nothing. Returns `None` if one of them has borrowed slots, if a listed instance has sent no
    /// heartbeat, or if the list was not read.
    pub(crate) fn unborrowed_since(&self) -> Option<Time> {
        let has_peer = |target: &HeartbeatTarget| {
            self.peers.iter().any(|peer| peer.shard.instance == target.instance)
        };
        let all = self.targets.iter().filter(|target| target.listed).all(has_peer);
        let none = self.peers.iter().all(|peer| peer.borrowed == 0);
        let since = self.peers.iter().map(|peer| peer.seen).min().unwrap_or(Time::NEVER);
        (self.list_read && all && none).then_some(since)
    }

    /// Removes shards without recent heartbeats; returns whether there were any.
    pub(crate) fn expire(&mut self, now: Time) -> bool {
        let before = self.peers.len();
        let far = PEER_TIMEOUT.max(self.far_interval() * 4);
        let me = &self.me;
        self.peers.retain(|peer| {
            let silence = if peer.zone == me.zone { PEER_TIMEOUT } else { far };
            peer.shard.instance == me.holder.instance || now.since(peer.seen) < silence
        });
        let lost = self.peers.len() != before;
        if lost {
            self.drop_targets();
        }
        lost
    }

    /// Announces to all instances at once that this shard is stopping.
    pub(crate) fn drain(&mut self, now: Time, load: Load, out: &mut Vec<Command>) {
        self.draining = true;
        for peer in &mut self.peers {
            peer.draining |= peer.shard.instance == self.me.holder.instance;
            peer.leaving |= peer.draining;
        }
        for target in &mut self.targets {
            target.sent = None;
        }
        self.siblings_sent = None;
        self.tick(now, load, out);
    }
}
