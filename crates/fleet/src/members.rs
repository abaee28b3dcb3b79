//! Membership: connected instances, and the election of the scheduler and the owners.

use std::cmp::Reverse;

use cranberryhatch_types::{InstanceId, Span, Time, WorkerId, ZoneId};

use crate::VecMap;

/// Workers that an instance owns for each core of its processor; it starts and ends some ten tasks
/// a second on each worker.
const WORKERS_PER_CORE: usize = 160;
/// Thousandths of a core in a core.
const MILLICORES_PER_CORE: usize = 1_000;
/// Minimum number of owners of a zone, which bounds the workers that the loss of one affects.
const OWNERS_MIN: usize = 3;
/// Number of peers of its own zone that may replace a scheduler.
const OWN_ZONE_STANDBYS: usize = OWNERS_MIN + 1;
/// Number of peers of each other zone that may do so.
const OTHER_ZONE_STANDBYS: usize = 2;
/// Time for which all views must agree before members are admitted while some have not joined, so
/// that instances that join together are admitted together. Three ticks.
const AGREED_FOR: Span = Span::from_ms(60);
/// Longest time for which a member stays pending: without full connectivity, the views of the
/// instances never agree. Several times the time of a reconnect.
const AGREE_LIMIT: Span = Span::from_ms(1_200);

/// An instance, as it describes itself to its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name, the same across restarts.
    pub id: InstanceId,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: ZoneId,
    /// Processor share in thousandths of a core.
    pub cores: u32,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Whether it belongs to the core, whose instances may hold roles.
    pub core: bool,
    /// Whether it may hold roles: it belongs to the core, and knows its peers and the workers.
    pub joined: bool,
    /// Version of its settings; 0 for none.
    pub version: u64,
}

impl Member {
    const fn is_active(&self) -> bool {
        self.joined && !self.draining
    }
}

/// Admission of pending members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipChange {
    /// Number of admitted members.
    pub members: usize,
    /// Longest time for which one of them was pending.
    pub waited: Span,
    /// Whether the views of all peers agree; otherwise the members were admitted after a timeout.
    pub agreed: bool,
}

/// This instance and the peers whose links are up.
///
/// All instances with the same admitted members elect the same scheduler and owners. A new peer is
/// pending until the views of all agree, so that roles change once and not with each link.
#[derive(Clone, Debug)]
pub struct Members {
    me: Member,
    peers: Vec<Member>,
    // Members that are not admitted yet, and since when they are connected or have joined.
    pending: VecMap<InstanceId, Time>,
    // View that each peer last announced: a hash of the instances that it reaches.
    views: VecMap<InstanceId, u64>,
    // Whether all peers were lost and the views do not agree again yet.
    returning: bool,
    // Since when all views agree.
    agreed_at: Option<Time>,
    // Members that are silent, or do not schedule after a pause; sorted.
    unresponsive: Vec<InstanceId>,
}

impl Members {
    /// Creates a membership of this instance alone.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            me,
            peers: Vec::new(),
            pending: VecMap::default(),
            views: VecMap::default(),
            returning: false,
            agreed_at: None,
            unresponsive: Vec::new(),
        }
    }

    /// Returns this instance.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Returns this instance for modification.
    pub const fn me_mut(&mut self) -> &mut Member {
        &mut self.me
    }

    /// Returns the peers, sorted by id.
    #[must_use]
    pub fn peers(&self) -> &[Member] {
        &self.peers
    }

    /// Adds a peer, or replaces its previous state.
    pub fn add_peer(&mut self, member: Member, now: Time) {
        if member.joined {
            self.await_agreement(member.id.clone(), now);
        }
        match self.find(&member.id) {
            Ok(place) => self.peers[place] = member,
            Err(place) => self.peers.insert(place, member),
        }
    }

    /// Returns whether a peer is already a member in the same incarnation.
    #[must_use]
    pub fn is_same_incarnation(&self, member: &Member) -> bool {
        self.peer(&member.id).is_some_and(|peer| peer.incarnation == member.incarnation)
    }

    /// Removes a peer, and returns whether it was a member.
    pub fn remove_peer(&mut self, id: &InstanceId) -> bool {
        self.pending.remove(id);
        self.views.remove(id);
        let place = self.find(id);
        let known = place.map(|place| self.peers.remove(place)).is_ok();
        self.returning |= known && self.peers.is_empty();
        known
    }

    /// Joins this instance: it may hold roles once it is admitted.
    pub fn join(&mut self, now: Time) {
        self.me.joined = true;
        self.await_agreement(self.me.id.clone(), now);
    }

    /// Updates whether a peer belongs to the core and whether it has joined.
    pub fn update_peer(&mut self, id: &InstanceId, core: bool, joined: bool, now: Time) {
        let Some(peer) = self.peer_mut(id) else { return };
        peer.core = core;
        if !std::mem::replace(&mut peer.joined, joined) && joined {
            self.await_agreement(id.clone(), now);
        }
    }

    /// Makes a member pending.
    ///
    /// An instance that has not joined, or that had lost all peers, admits the others at once: it
    /// has no roles that could change too early.
    fn await_agreement(&mut self, id: InstanceId, now: Time) {
        if self.me.joined && !self.returning {
            self.pending.insert(id, now);
        }
    }

    /// Returns the view: a hash of the reachable core members, this instance included.
    ///
    /// It is equal on instances that reach the same members.
    #[must_use]
    pub fn view(&self) -> u64 {
        let hash = |member: &Member| {
            let incarnation = member.incarnation.wrapping_mul(2) + u64::from(member.joined);
            mix(text_hash(member.id.as_str()) ^ mix(incarnation))
        };
        let core = self.core_peers().chain([&self.me].into_iter().filter(|me| me.core));
        core.map(hash).fold(0, u64::wrapping_add)
    }

    fn core_peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.iter().filter(|peer| peer.core)
    }

    /// Sets the view that a peer announced.
    pub fn set_view(&mut self, id: &InstanceId, view: u64) {
        if self.find(id).is_ok() {
            self.views.insert(id.clone(), view);
        }
    }

    /// Returns whether this instance has joined and is admitted.
    #[must_use]
    pub fn is_admitted(&self) -> bool {
        self.me.joined && !self.pending.contains(&self.me.id)
    }

    /// Returns whether the views of all core peers agree with this instance's.
    #[must_use]
    pub fn is_agreed(&self) -> bool {
        let view = self.view();
        self.core_peers().all(|peer| self.views.get(&peer.id) == Some(&view))
    }

    /// Admits the pending members once all views have agreed for a while, or after a timeout;
    /// returns none if no member was admitted.
    pub fn admit_pending(&mut self, now: Time) -> Option<MembershipChange> {
        let agreed = self.is_agreed();
        if !agreed {
            self.agreed_at = None;
        }
        let all_joined = self.me.joined && self.core_peers().all(|peer| peer.joined);
        let wait = if all_joined { Span::ZERO } else { AGREED_FOR };
        let settled = agreed && now.since(*self.agreed_at.get_or_insert(now)) >= wait;
        self.returning &= !settled || self.peers.is_empty();
        let before = self.pending.len();
        let waited = self.pending.iter().map(|(_, since)| now.since(*since)).max();
        self.pending.retain(|_, since| !settled && now.since(*since) < AGREE_LIMIT);
        let members = before - self.pending.len();
        waited.filter(|_| members > 0).map(|waited| MembershipChange { members, waited, agreed })
    }

    /// Returns a peer.
    #[must_use]
    pub fn peer(&self, id: &InstanceId) -> Option<&Member> {
        self.find(id).ok().map(|place| &self.peers[place])
    }

    /// Returns a peer for modification.
    pub fn peer_mut(&mut self, id: &InstanceId) -> Option<&mut Member> {
        let place = self.find(id).ok()?;
        Some(&mut self.peers[place])
    }

    /// Returns whether an instance is this one or a peer.
    #[must_use]
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.me.id == *id || self.find(id).is_ok()
    }

    /// Sets the members, this instance included, that are silent or do not schedule after a pause.
    pub fn set_unresponsive(&mut self, mut unresponsive: Vec<InstanceId>) {
        unresponsive.sort();
        self.unresponsive = unresponsive;
    }

    /// Returns the scheduler: the responsive member with the largest processor.
    ///
    /// A change of the scheduler loses nothing, so it happens long before a silent peer times out.
    /// The scheduler is one of the first owners of its zone, to which all instances are linked.
    #[must_use]
    pub fn scheduler(&self) -> Option<&InstanceId> {
        let members = by_rank(self.active_members());
        let zones = members.chunk_by(|a, b| a.zone == b.zone);
        let first = zones.flat_map(|zone| zone.iter().take(OWNERS_MIN).copied());
        first.max_by_key(|member| self.scheduler_rank(member)).map(|member| &member.id)
    }

    fn scheduler_rank(&self, member: &Member) -> (bool, u32, u64) {
        let is_responsive = self.unresponsive.binary_search(&member.id).is_err();
        (is_responsive, member.cores, weight("scheduler", &member.id))
    }

    /// Returns the peers that may replace this instance as the scheduler, sorted: the first
    /// candidates of its own zone, so that some are left when several instances are lost, those of
    /// each other zone, as a zone may be lost or cut off, and the peer that schedules again once it
    /// is admitted and responsive.
    #[must_use]
    pub fn standby_schedulers(&self) -> Vec<InstanceId> {
        let peers = || self.peers.iter().filter(|peer| peer.is_active());
        let admitted = by_rank(peers().filter(|peer| !self.pending.contains(&peer.id)));
        let mut standbys: Vec<&Member> = Vec::new();
        for zone in admitted.chunk_by(|a, b| a.zone == b.zone) {
            let is_mine = zone[0].zone == self.me.zone;
            let count = if is_mine { OWN_ZONE_STANDBYS } else { OTHER_ZONE_STANDBYS };
            let mut candidates = zone[..zone.len().min(OWN_ZONE_STANDBYS)].to_vec();
            candidates.sort_by_key(|member| Reverse(self.scheduler_rank(member)));
            standbys.extend(candidates.into_iter().take(count));
        }
        let largest = |member: &&Member| (member.cores, weight("scheduler", &member.id));
        standbys.extend(peers().max_by_key(largest));
        let mut standbys: Vec<InstanceId> =
            standbys.into_iter().map(|member| member.id.clone()).collect();
        standbys.sort();
        standbys.dedup();
        standbys
    }

    /// Returns the zone reader, which reads the platform's lists for this zone: its largest
    /// responsive member; none if the zone has no active member.
    #[must_use]
    pub fn zone_reader(&self) -> Option<&InstanceId> {
        let rank = |member: &&Member| {
            (
                self.unresponsive.binary_search(&member.id).is_err(),
                owner_rank(member.cores, &member.id),
            )
        };
        let zone_members = self.active_members().filter(|member| member.zone == self.me.zone);
        zone_members.max_by_key(rank).map(|member| &member.id)
    }

    /// Returns the owners: the largest members of each zone, as many as its workers need.
    #[must_use]
    pub fn owners(&self, workers: usize) -> Owners {
        let members = by_rank(self.active_members());
        let zones: Vec<&[&Member]> = members.chunk_by(|a, b| a.zone == b.zone).collect();
        let in_zone = workers.div_ceil(zones.len().max(1));
        let mut owners = Vec::new();
        for zone in zones {
            let count = owners_needed(zone.iter().map(|member| member.cores), in_zone);
            owners.extend(zone.iter().take(count).map(|member| Share {
                id: member.id.clone(),
                zone: member.zone.to_string(),
                hash: text_hash(member.id.as_str()),
                cores: member.cores,
            }));
        }
        owners.sort_by(|a, b| a.id.cmp(&b.id));
        Owners { owners }
    }

    /// Returns the admitted members that have joined; those that are shutting down only if there
    /// are no others.
    fn active_members(&self) -> impl Iterator<Item = &Member> {
        let is_admitted = |member: &&Member| !self.pending.contains(&member.id);
        let all = move || self.peers.iter().chain([&self.me]).filter(is_admitted);
        let any_stays = all().any(Member::is_active);
        all().filter(move |member| member.joined && !(any_stays && member.draining))
    }

    fn find(&self, id: &InstanceId) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.id.cmp(id))
    }
}

/// Sorts members by zone, and by owner rank within a zone.
fn by_rank<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let mut members: Vec<(&Member, _)> =
        members.map(|member| (member, Reverse(owner_rank(member.cores, &member.id)))).collect();
    members.sort_by(|(a, first), (b, second)| (&a.zone, first).cmp(&(&b.zone, second)));
    members.into_iter().map(|(member, _)| member).collect()
}

/// Returns the rank by which instances of a zone become owners; the largest comes first.
pub(crate) fn owner_rank(cores: u32, id: &InstanceId) -> (u32, u64) {
    (cores, weight("owner", id))
}

/// Returns the number of owners that the workers of a zone need, given the processor shares of its
/// instances by rank, in thousandths of a core.
pub(crate) fn owners_needed(cores: impl Iterator<Item = u32>, workers: usize) -> usize {
    let mut capacity = 0;
    let needs_more = |cores: &u32| {
        let needs_more = capacity < workers * MILLICORES_PER_CORE;
        capacity += *cores as usize * WORKERS_PER_CORE;
        needs_more
    };
    cores.take_while(needs_more).count().max(OWNERS_MIN)
}

/// An owner.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Share {
    id: InstanceId,
    zone: String,
    // Hash of the id.
    hash: u64,
    cores: u32,
}

/// The owners, with their zones and processor shares.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    owners: Vec<Share>,
}

impl Owners {
    /// Returns the owner of a worker: one of the worker's zone, if that zone has any.
    ///
    /// Weighted rendezvous hashing: an owner has workers in proportion to its processor share, and
    /// a change of the owners moves only the workers of those that changed.
    #[must_use]
    pub fn of(&self, worker: &WorkerId, zone: &str) -> Option<&InstanceId> {
        let hash = text_hash(worker.as_str());
        let is_local = |share: &&Share| share.zone == zone;
        let any_local = self.owners.iter().any(|share| is_local(&share));
        let candidates = self.owners.iter().filter(|share| !any_local || is_local(share));
        let rank =
            |share: &Share| f64::from(share.cores.max(1)) / -unit(mix(hash ^ share.hash)).ln();
        let best = candidates.max_by(|a, b| rank(a).total_cmp(&rank(b)));
        best.map(|share| &share.id)
    }

    /// Returns whether an instance owns workers.
    #[must_use]
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.owners.binary_search_by(|share| share.id.cmp(id)).is_ok()
    }
}

/// Maps a hash to a number between 0 and 1, both excluded.
fn unit(hash: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "only 52 bits are left")]
    let bits = (hash >> 12) as f64;
    (bits + 0.5) / (1_u64 << 52) as f64
}

/// Returns the rendezvous weight of an instance for a role; the largest wins.
fn weight(role: &str, id: &InstanceId) -> u64 {
    mix(fnv(fnv(FNV_OFFSET, role.as_bytes()), id.as_str().as_bytes()))
}

/// Returns a hash of a text that is the same on all instances.
#[must_use]
pub fn text_hash(text: &str) -> u64 {
    mix(fnv(FNV_OFFSET, text.as_bytes()))
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

// The separator after each part distinguishes "a" + "bc" from "ab" + "c".
fn fnv(start: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    step(bytes.iter().fold(start, step), &0xff)
}

// Finalizer of MurmurHash3: FNV-1a alone mixes the high bits poorly for similar texts.
const fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
