//! Instances that are in contact, and the duties that follow from them.

use std::cmp::Reverse;

use cranberryhatch_types::{InstanceId, Span, Time, WorkerId, ZoneId};

use crate::VecMap;

/// Workers for each core of their owners' processors; an owner starts and ends some ten tasks a second on
/// each.
const WORKERS_PER_CORE: usize = 160;
/// Thousandths of a core in a core.
const CORE: usize = 1_000;
/// Fewest owners of a zone, so that the loss of one stops a small part.
const OWNERS_MIN: usize = 3;
/// Time for which all must agree before members count while some have not joined, so that those that
/// join together are counted together; three ticks.
const AGREED_FOR: Span = Span::from_ms(60);
/// Longest time for which a peer that came up does not count: in a network in which not all reach all,
/// instances never see the same. Several times what reconnecting takes.
const AGREE_LIMIT: Span = Span::from_ms(1_200);

/// What an instance says of itself.
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
    /// Whether it is stopping.
    pub draining: bool,
    /// Whether it takes duties, now or once it has joined.
    pub core: bool,
    /// Whether it takes duties: it belongs to the core, and knows its peers and the workers.
    pub joined: bool,
    /// Version of its settings; 0 for none.
    pub version: u64,
}

impl Member {
    const fn takes_duties(&self) -> bool {
        self.joined && !self.draining
    }
}

/// Members that count from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipChange {
    /// How many.
    pub members: usize,
    /// Longest time for which one of them was up without counting.
    pub waited: Span,
    /// Whether all peers reach the same instances; otherwise the time limit passed.
    pub agreed: bool,
}

/// This instance and the peers whose links are up.
///
/// All instances that count the same members come to the same duties. A peer that came up counts once
/// all agree on who is in reach, so that duties change once and not with each link.
#[derive(Clone, Debug)]
pub struct Members {
    me: Member,
    peers: Vec<Member>,
    // Members that do not count yet, and since when they are up or have joined.
    pending: VecMap<InstanceId, Time>,
    // Hash of the instances that each peer reaches, as it last said.
    views: VecMap<InstanceId, u64>,
    // Whether all peers were out of reach and not all agree again.
    returning: bool,
    // Since when all agree.
    agreed_at: Option<Time>,
    // Members that say nothing or rest, sorted.
    quiet: Vec<InstanceId>,
}

impl Members {
    /// Only this instance.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            me,
            peers: Vec::new(),
            pending: VecMap::default(),
            views: VecMap::default(),
            returning: false,
            agreed_at: None,
            quiet: Vec::new(),
        }
    }

    /// This instance.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// This instance, to change it.
    pub const fn me_mut(&mut self) -> &mut Member {
        &mut self.me
    }

    /// Peers in the order of their names.
    #[must_use]
    pub fn peers(&self) -> &[Member] {
        &self.peers
    }

    /// Adds a peer, or replaces what it said before.
    pub fn add_peer(&mut self, member: Member, now: Time) {
        if member.joined {
            self.await_agreement(member.id.clone(), now);
        }
        match self.find(&member.id) {
            Ok(place) => self.peers[place] = member,
            Err(place) => self.peers.insert(place, member),
        }
    }

    /// A link to a peer whose life is known is up again; it counts as before.
    #[must_use]
    pub fn is_same_incarnation(&self, member: &Member) -> bool {
        self.peer(&member.id).is_some_and(|peer| peer.incarnation == member.incarnation)
    }

    /// Removes a peer; whether it was there.
    pub fn remove_peer(&mut self, id: &InstanceId) -> bool {
        self.pending.remove(id);
        self.views.remove(id);
        let place = self.find(id);
        let known = place.map(|place| self.peers.remove(place)).is_ok();
        self.returning |= known && self.peers.is_empty();
        known
    }

    /// This instance takes duties once all agree that it does.
    pub fn join(&mut self, now: Time) {
        self.me.joined = true;
        self.await_agreement(self.me.id.clone(), now);
    }

    /// Learns that a peer takes duties, or does so no more, and whether it will.
    pub fn update_peer(&mut self, id: &InstanceId, core: bool, joined: bool, now: Time) {
        let Some(peer) = self.peer_mut(id) else { return };
        peer.core = core;
        if !std::mem::replace(&mut peer.joined, joined) && joined {
            self.await_agreement(id.clone(), now);
        }
    }

    /// Does not count a member for now.
    ///
    /// An instance that has not joined, or that comes back alone, follows the others at once: it has no
    /// duties that could change too early.
    fn await_agreement(&mut self, id: InstanceId, now: Time) {
        if self.me.joined && !self.returning {
            self.pending.insert(id, now);
        }
    }

    /// Hash of the members of the core in reach, this instance included; equal for instances that see the
    /// same.
    #[must_use]
    pub fn view(&self) -> u64 {
        let hash = |member: &Member| {
            let life = member.incarnation.wrapping_mul(2) + u64::from(member.joined);
            mix(text_hash(member.id.as_str()) ^ mix(life))
        };
        let core = self.core_peers().chain([&self.me].into_iter().filter(|me| me.core));
        core.map(hash).fold(0, u64::wrapping_add)
    }

    fn core_peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.iter().filter(|peer| peer.core)
    }

    /// Learns which instances a peer reaches.
    pub fn set_view(&mut self, id: &InstanceId, view: u64) {
        if self.find(id).is_ok() {
            self.views.insert(id.clone(), view);
        }
    }

    /// Whether this instance counts as one that takes duties.
    #[must_use]
    pub fn is_admitted(&self) -> bool {
        self.me.joined && !self.pending.contains(&self.me.id)
    }

    /// Whether all of the core reach the same instances of the core as this one.
    #[must_use]
    pub fn is_agreed(&self) -> bool {
        let view = self.view();
        self.core_peers().all(|peer| self.views.get(&peer.id) == Some(&view))
    }

    /// Counts the members that came up or joined, once all have agreed for a while or had the time to;
    /// none if there are none.
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

    /// A peer.
    #[must_use]
    pub fn peer(&self, id: &InstanceId) -> Option<&Member> {
        self.find(id).ok().map(|place| &self.peers[place])
    }

    /// A peer, to change it.
    pub fn peer_mut(&mut self, id: &InstanceId) -> Option<&mut Member> {
        let place = self.find(id).ok()?;
        Some(&mut self.peers[place])
    }

    /// Whether an instance is this one or a peer.
    #[must_use]
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.me.id == *id || self.find(id).is_ok()
    }

    /// Learns which members, this instance included, say nothing or rest.
    pub fn set_unresponsive(&mut self, mut quiet: Vec<InstanceId>) {
        quiet.sort();
        self.quiet = quiet;
    }

    /// The instance that grants room: the one with the largest processor that is not quiet.
    ///
    /// Nothing is lost when it changes, so it changes long before a silent peer counts as out of reach. It
    /// is one of the first of its zone, to which all instances are linked.
    #[must_use]
    pub fn scheduler(&self) -> Option<&InstanceId> {
        let rank = |member: &&Member| {
            let speaks = self.quiet.binary_search(&member.id).is_err();
            (speaks, member.cores, weight("scheduler", &member.id))
        };
        let members = self.by_rank();
        let zones = members.chunk_by(|a, b| a.zone == b.zone);
        let first = zones.flat_map(|zone| zone.iter().take(OWNERS_MIN).copied());
        first.max_by_key(rank).map(|member| &member.id)
    }

    /// Members on duty by zone, the first to own workers first.
    fn by_rank(&self) -> Vec<&Member> {
        let mut members: Vec<(&Member, _)> = self
            .on_duty()
            .map(|member| (member, Reverse(owner_rank(member.cores, &member.id))))
            .collect();
        members.sort_by(|(a, first), (b, second)| (&a.zone, first).cmp(&(&b.zone, second)));
        members.into_iter().map(|(member, _)| member).collect()
    }

    /// The instance that reads the platform's lists for this one's zone: its largest that is not quiet;
    /// none if no instance of the zone takes duties.
    #[must_use]
    pub fn zone_reader(&self) -> Option<&InstanceId> {
        let rank = |member: &&Member| {
            (self.quiet.binary_search(&member.id).is_err(), owner_rank(member.cores, &member.id))
        };
        let near = self.on_duty().filter(|member| member.zone == self.me.zone);
        near.max_by_key(rank).map(|member| &member.id)
    }

    /// Instances that own workers: the largest of each zone, as many as its workers need.
    #[must_use]
    pub fn owners(&self, workers: usize) -> Owners {
        let members = self.by_rank();
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

    /// Members that count and take duties; those that are stopping only if there are no others.
    fn on_duty(&self) -> impl Iterator<Item = &Member> {
        let counted = |member: &&Member| !self.pending.contains(&member.id);
        let all = move || self.peers.iter().chain([&self.me]).filter(counted);
        let stays = all().any(Member::takes_duties);
        all().filter(move |member| member.joined && !(stays && member.draining))
    }

    fn find(&self, id: &InstanceId) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.id.cmp(id))
    }
}

/// Order in which instances of a zone become owners; the largest comes first.
pub(crate) fn owner_rank(cores: u32, id: &InstanceId) -> (u32, u64) {
    (cores, weight("owner", id))
}

/// How many instances of a zone own its workers, of those with these processor shares in the order of
/// their rank.
pub(crate) fn owners_needed(cores: impl Iterator<Item = u32>, workers: usize) -> usize {
    let mut carried = 0;
    let lacks = |cores: &u32| {
        let lacks = carried < workers * CORE;
        carried += *cores as usize * WORKERS_PER_CORE;
        lacks
    };
    cores.take_while(lacks).count().max(OWNERS_MIN)
}

/// One owner.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Share {
    id: InstanceId,
    zone: String,
    // Hash of the name.
    hash: u64,
    cores: u32,
}

/// Instances that own workers, with their zones and sizes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    owners: Vec<Share>,
}

impl Owners {
    /// The instance that owns a worker: one of the worker's zone, if that zone has any.
    ///
    /// An instance owns workers in proportion to its size, and a change of the owners moves only those
    /// of the owners that changed (weighted rendezvous hashing).
    #[must_use]
    pub fn of(&self, worker: &WorkerId, zone: &str) -> Option<&InstanceId> {
        let hash = text_hash(worker.as_str());
        let near = |share: &&Share| share.zone == zone;
        let any_near = self.owners.iter().any(|share| near(&share));
        let candidates = self.owners.iter().filter(|share| !any_near || near(share));
        let rank =
            |share: &Share| f64::from(share.cores.max(1)) / -unit(mix(hash ^ share.hash)).ln();
        let best = candidates.max_by(|a, b| rank(a).total_cmp(&rank(b)));
        best.map(|share| &share.id)
    }

    /// Whether an instance owns workers.
    #[must_use]
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.owners.binary_search_by(|share| share.id.cmp(id)).is_ok()
    }
}

/// A hash as a number between 0 and 1, without both.
fn unit(hash: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "only 52 bits are left")]
    let bits = (hash >> 12) as f64;
    (bits + 0.5) / (1_u64 << 52) as f64
}

/// Rendezvous weight of an instance for a name; the largest wins.
fn weight(name: &str, id: &InstanceId) -> u64 {
    mix(fnv(fnv(FNV_OFFSET, name.as_bytes()), id.as_str().as_bytes()))
}

/// Hash of a text, the same on all instances.
#[must_use]
pub fn text_hash(text: &str) -> u64 {
    mix(fnv(FNV_OFFSET, text.as_bytes()))
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

// The separator after each part tells "a" + "bc" from "ab" + "c".
fn fnv(start: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    step(bytes.iter().fold(start, step), &0xff)
}

// Finalizer of MurmurHash3: FNV-1a alone changes its high bits little for names alike.
const fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
