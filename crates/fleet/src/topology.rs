//! InstanceInfo instances, those of them that take duties, and the links that this instance needs.
//!
//! The *core* of a zone are its first instances by rank: those that own its workers, and some spare
//! ones. Every instance is linked to the owners of all zones and to the core of its own, and the core of
//! all zones to each other, so the links of an instance grow with the core and not with the fleet. If the
//! core of a zone is out of reach, the next instances of that zone take its place.

use cranberryhatch_types::{InstanceId, Span, Time, ZoneId};

use crate::{
    Member, VecMap,
    members::{owner_rank, owners_needed},
};

/// Instances of the core of a zone beyond those that own workers, which take over without new links.
const SPARE: usize = 2;
/// Time without a link after which the next instance of the zone takes the place of one of the core;
/// a process is started again within a second.
const ABSENT: Span = Span::from_ms(1_500);

/// An instance that is known, in reach or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceInfo {
    /// Name.
    pub id: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Processor share in thousandths of a core.
    pub cores: u32,
}

impl From<&Member> for InstanceInfo {
    fn from(member: &Member) -> Self {
        Self { id: member.id.clone(), zone: member.zone.clone(), cores: member.cores }
    }
}

/// Links that an instance needs, and whether it belongs to the core.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkPlan {
    /// Whether it belongs to the core; it does so until its process ends.
    pub core: bool,
    /// Peers to which it keeps a link open, sorted.
    pub links: Vec<InstanceId>,
}

/// All known instances.
#[derive(Clone, Debug)]
pub struct Topology {
    me: InstanceInfo,
    // By zone, and by rank within it.
    known: Vec<InstanceInfo>,
    // Whether the register was read; before that, larger instances may not be known.
    registered: bool,
    // Instances of the core without a link, and since when.
    absent: VecMap<InstanceId, Time>,
    standing: LinkPlan,
}

impl Topology {
    /// Only this instance.
    #[must_use]
    pub fn new(me: InstanceInfo) -> Self {
        let known = vec![me.clone()];
        Self {
            me,
            known,
            registered: false,
            absent: VecMap::default(),
            standing: LinkPlan::default(),
        }
    }

    /// Learns of an instance.
    pub fn insert(&mut self, known: InstanceInfo) {
        self.known.retain(|other| other.id != known.id);
        self.known.push(known);
        self.sort();
    }

    /// Takes the registered instances; `linked` are in reach and may not be registered.
    pub fn replace_registered(
        &mut self,
        registered: Vec<InstanceInfo>,
        linked: impl Iterator<Item = InstanceInfo>,
    ) {
        self.known = registered;
        self.registered = true;
        for known in linked.chain([self.me.clone()]) {
            self.known.retain(|other| other.id != known.id);
            self.known.push(known);
        }
        self.sort();
    }

    fn sort(&mut self) {
        let rank = |known: &InstanceInfo| owner_rank(known.cores, &known.id);
        self.known.sort_by(|a, b| a.zone.cmp(&b.zone).then_with(|| rank(b).cmp(&rank(a))));
    }

    /// Whether the register was read.
    #[must_use]
    pub const fn has_registry(&self) -> bool {
        self.registered
    }

    /// What this instance is and needs.
    #[must_use]
    pub const fn link_plan(&self) -> &LinkPlan {
        &self.standing
    }

    /// Works out the standing; whether it changed.
    ///
    /// `owns` tells whether this instance owns workers.
    pub fn update(
        &mut self,
        is_linked: impl Fn(&InstanceId) -> bool,
        workers: usize,
        owns: bool,
        now: Time,
    ) -> bool {
        let mut owners = Vec::new();
        let mut spares = Vec::new();
        let mut absent = VecMap::default();
        let zones: Vec<&[InstanceInfo]> = self.known.chunk_by(|a, b| a.zone == b.zone).collect();
        let in_zone = workers.div_ceil(zones.len());
        let spare = if self.registered { SPARE } else { 0 };
        for zone in zones {
            let needed = owners_needed(zone.iter().map(|known| known.cores), in_zone);
            let mut counted = 0;
            for known in zone {
                if counted == needed + spare {
                    break;
                }
                let rank = if counted < needed { &mut owners } else { &mut spares };
                rank.push(known);
                counted += 1;
                if known.id == self.me.id || is_linked(&known.id) {
                    continue;
                }
                let since = *self.absent.get(&known.id).unwrap_or(&now);
                absent.insert(known.id.clone(), since);
                // Those that take the place of an instance of another zone introduce themselves here.
                if known.zone == self.me.zone && now.since(since) >= ABSENT {
                    counted -= 1;
                }
            }
        }
        let is_me = |known: &&InstanceInfo| known.id == self.me.id;
        let is_near = |known: &&InstanceInfo| known.zone == self.me.zone;
        let owns = owns || owners.iter().any(&is_me);
        let core = owns || self.standing.core || spares.iter().any(&is_me);
        let mut needed: Vec<&InstanceInfo> = if owns {
            self.known.iter().collect()
        } else if core {
            let near = self.known.iter().filter(is_near);
            near.chain(owners).chain(spares).collect()
        } else {
            owners.into_iter().chain(spares.into_iter().filter(is_near)).collect()
        };
        needed.retain(|known| !is_me(known));
        let mut links: Vec<InstanceId> = needed.into_iter().map(|known| known.id.clone()).collect();
        links.sort();
        links.dedup();
        self.absent = absent;
        let standing = LinkPlan { core, links };
        std::mem::replace(&mut self.standing, standing.clone()) != standing
    }
}
