//! Instances that are in contact, and the duties that follow from them.

use cranberryhatch_types::{InstanceId, WorkerId, ZoneId};

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

/// This instance and the peers whose links are up.
///
/// All instances with the same view come to the same duties, without talking about them.
#[derive(Clone, Debug)]
pub struct Members {
    me: Member,
    peers: Vec<Member>,
}

impl Members {
    /// Only this instance.
    #[must_use]
    pub const fn new(me: Member) -> Self {
        Self { me, peers: Vec::new() }
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
    pub fn up(&mut self, member: Member) {
        match self.find(&member.id) {
            Ok(place) => self.peers[place] = member,
            Err(place) => self.peers.insert(place, member),
        }
    }

    /// Removes a peer; whether it was there.
    pub fn down(&mut self, id: &InstanceId) -> bool {
        let place = self.find(id);
        place.map(|place| self.peers.remove(place)).is_ok()
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

    /// The instance that grants room: the one with the largest processor.
    #[must_use]
    pub fn scheduler(&self) -> Option<&InstanceId> {
        let rank = |member: &&Member| (member.cores, weight("scheduler", &member.id));
        self.on_duty().max_by_key(rank).map(|member| &member.id)
    }

    /// The instance that owns a worker: one of the worker's zone, if that zone has any.
    #[must_use]
    pub fn owner(&self, worker: &WorkerId, zone: &str) -> Option<&InstanceId> {
        let rank =
            |member: &&Member| (member.zone.as_str() == zone, weight(worker.as_str(), &member.id));
        self.on_duty().max_by_key(rank).map(|member| &member.id)
    }

    fn on_duty(&self) -> impl Iterator<Item = &Member> {
        self.peers.iter().chain([&self.me]).filter(|member| member.takes_duties())
    }

    fn find(&self, id: &InstanceId) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.id.cmp(id))
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
