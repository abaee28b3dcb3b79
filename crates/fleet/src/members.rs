//! Instances that are in contact, and the duties that follow from them.

use cranberryhatch_types::{InstanceId, Span, Time, WorkerId, ZoneId};

use crate::VecMap;

/// Workers for which one owner is enough; it starts and ends some ten tasks a second on each.
const WORKERS_PER_OWNER: usize = 30;
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
    /// Life of its process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: ZoneId,
    /// Processor share in thousandths of a core.
    pub cores: u32,
    /// Whether it is stopping.
    pub draining: bool,
    /// Whether it knows its peers and the workers.
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
pub struct Counted {
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
    pub fn up(&mut self, member: Member, now: Time) {
        self.await_agreement(member.id.clone(), now);
        match self.find(&member.id) {
            Ok(place) => self.peers[place] = member,
            Err(place) => self.peers.insert(place, member),
        }
    }

    /// Removes a peer; whether it was there.
    pub fn down(&mut self, id: &InstanceId) -> bool {
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

    /// Learns that a peer takes duties, or does so no more.
    pub fn peer_joined(&mut self, id: &InstanceId, joined: bool, now: Time) {
        let Some(peer) = self.peer_mut(id) else { return };
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

    /// Hash of this instance and the peers in reach; equal for instances that see the same.
    #[must_use]
    pub fn view(&self) -> u64 {
        let hash = |member: &Member| {
            let life = member.incarnation.wrapping_mul(2) + u64::from(member.joined);
            mix(text_hash(member.id.as_str()) ^ mix(life))
        };
        self.peers.iter().chain([&self.me]).map(hash).fold(0, u64::wrapping_add)
    }

    /// Learns which instances a peer reaches.
    pub fn sees(&mut self, id: &InstanceId, view: u64) {
        if self.find(id).is_ok() {
            self.views.insert(id.clone(), view);
        }
    }

    /// Whether this instance counts as one that takes duties.
    #[must_use]
    pub fn counts_me(&self) -> bool {
        self.me.joined && !self.pending.contains(&self.me.id)
    }

    /// Whether all peers reach the same instances as this one.
    #[must_use]
    pub fn is_agreed(&self) -> bool {
        let view = self.view();
        self.peers.iter().all(|peer| self.views.get(&peer.id) == Some(&view))
    }

    /// Counts the members that came up or joined, once all have agreed for a while or had the time to;
    /// none if there are none.
    pub fn count(&mut self, now: Time) -> Option<Counted> {
        let agreed = self.is_agreed();
        if !agreed {
            self.agreed_at = None;
        }
        let all_joined = self.me.joined && self.peers.iter().all(|peer| peer.joined);
        let wait = if all_joined { Span::ZERO } else { AGREED_FOR };
        let settled = agreed && now.since(*self.agreed_at.get_or_insert(now)) >= wait;
        self.returning &= !settled || self.peers.is_empty();
        let before = self.pending.len();
        let waited = self.pending.iter().map(|(_, since)| now.since(*since)).max();
        self.pending.retain(|_, since| !settled && now.since(*since) < AGREE_LIMIT);
        let members = before - self.pending.len();
        waited.filter(|_| members > 0).map(|waited| Counted { members, waited, agreed })
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
    pub fn reaches(&self, id: &InstanceId) -> bool {
        self.me.id == *id || self.find(id).is_ok()
    }

    /// Learns which members, this instance included, say nothing or rest.
    pub fn set_quiet(&mut self, mut quiet: Vec<InstanceId>) {
        quiet.sort();
        self.quiet = quiet;
    }

    /// The instance that grants room: the one with the largest processor that is not quiet.
    ///
    /// Nothing is lost when it changes, so it changes long before a silent peer counts as out of reach.
    #[must_use]
    pub fn scheduler(&self) -> Option<&InstanceId> {
        let rank = |member: &&Member| {
            let speaks = self.quiet.binary_search(&member.id).is_err();
            (speaks, member.cores, weight("scheduler", &member.id))
        };
        self.on_duty().max_by_key(rank).map(|member| &member.id)
    }

    /// Instances that own workers: some of each zone, the largest first.
    ///
    /// With all instances as owners, each would exchange signs of life with each.
    #[must_use]
    pub fn owners(&self, workers: usize) -> Owners {
        let mut zones: Vec<&str> = self.on_duty().map(|member| member.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let per_zone = workers.div_ceil(zones.len().max(1)).div_ceil(WORKERS_PER_OWNER);
        let per_zone = per_zone.max(OWNERS_MIN);
        let mut owners = Vec::new();
        for zone in zones {
            let mut members: Vec<&Member> =
                self.on_duty().filter(|member| member.zone.as_str() == zone).collect();
            members.sort_by_key(|member| (member.cores, weight("owner", &member.id)));
            let chosen = members.iter().rev().take(per_zone);
            owners.extend(chosen.map(|member| (member.id.clone(), zone.to_owned())));
        }
        owners.sort();
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

/// Instances that own workers, with their zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    owners: Vec<(InstanceId, String)>,
}

impl Owners {
    /// The instance that owns a worker: one of the worker's zone, if that zone has any.
    #[must_use]
    pub fn of(&self, worker: &WorkerId, zone: &str) -> Option<&InstanceId> {
        let rank = |(id, of): &&(InstanceId, String)| (of == zone, weight(worker.as_str(), id));
        self.owners.iter().max_by_key(rank).map(|(id, _)| id)
    }

    /// Whether an instance owns workers.
    #[must_use]
    pub fn contains(&self, id: &InstanceId) -> bool {
        self.owners.binary_search_by(|(known, _)| known.cmp(id)).is_ok()
    }
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
