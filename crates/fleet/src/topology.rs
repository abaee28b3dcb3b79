//! Link topology: the known instances, the core among them, and the links that this instance needs.
//!
//! The *core* of a zone consists of its first instances by rank: those that own its workers, and
//! some spares. Every instance is linked to the owners of all zones and to the core of its own
//! zone, and the cores of all zones are linked to each other. The number of links thus grows with
//! the core and not with the fleet. Instances next in rank replace core instances of their zone
//! that are unreachable.

use cranberryhatch_types::{InstanceId, Span, Time, ZoneId};

use crate::{
    Member, VecMap,
    members::{owner_rank, owners_needed},
};

/// Spare instances in the core of a zone, which can replace owners without opening new links.
const SPARE: usize = 2;
/// Time without a link after which the next instance of the zone replaces a core instance; a
/// process is restarted within a second.
const ABSENT: Span = Span::from_ms(1_500);

/// A known instance, reachable or not.
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

/// Links that this instance needs, and whether it belongs to the core.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkPlan {
    /// Whether it belongs to the core; once it does, it stays until its process ends.
    pub core: bool,
    /// Peers to which it keeps links open, sorted.
    pub links: Vec<InstanceId>,
}

/// The known instances and the resulting links.
#[derive(Clone, Debug)]
pub struct Topology {
    me: InstanceInfo,
    // By zone, and by rank within it.
    known: Vec<InstanceInfo>,
    // Whether the registry was read; before that, larger instances may be unknown.
    has_registry: bool,
    // Core instances without a link, and since when.
    absent: VecMap<InstanceId, Time>,
    plan: LinkPlan,
}

impl Topology {
    /// Creates a topology of this instance alone.
    #[must_use]
    pub fn new(me: InstanceInfo) -> Self {
        let known = vec![me.clone()];
        Self {
            me,
            known,
            has_registry: false,
            absent: VecMap::default(),
            plan: LinkPlan::default(),
        }
    }

    /// Adds an instance, or replaces its previous entry.
    pub fn insert(&mut self, known: InstanceInfo) {
        self.known.retain(|other| other.id != known.id);
        self.known.push(known);
        self.sort();
    }

    /// Replaces the known instances by the registered ones and `linked`, the connected peers, which
    /// may not be registered.
    pub fn replace_registered(
        &mut self,
        registered: Vec<InstanceInfo>,
        linked: impl Iterator<Item = InstanceInfo>,
    ) {
        self.known = registered;
        self.has_registry = true;
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

    /// Returns whether the registry was read.
    #[must_use]
    pub const fn has_registry(&self) -> bool {
        self.has_registry
    }

    /// Returns the current link plan.
    #[must_use]
    pub const fn link_plan(&self) -> &LinkPlan {
        &self.plan
    }

    /// Recomputes the link plan, and returns whether it changed.
    ///
    /// `workers` is the number of listed workers; `owns` states whether this instance owns any of
    /// them.
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
        let spares_needed = if self.has_registry { SPARE } else { 0 };
        for zone in zones {
            let needed = owners_needed(zone.iter().map(|known| known.cores), in_zone);
            let mut counted = 0;
            for known in zone {
                if counted == needed + spares_needed {
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
                // Replacements in other zones connect to this instance by themselves.
                if known.zone == self.me.zone && now.since(since) >= ABSENT {
                    counted -= 1;
                }
            }
        }
        let is_me = |known: &&InstanceInfo| known.id == self.me.id;
        let is_near = |known: &&InstanceInfo| known.zone == self.me.zone;
        let owns = owns || owners.iter().any(&is_me);
        let core = owns || self.plan.core || spares.iter().any(&is_me);
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
        let plan = LinkPlan { core, links };
        std::mem::replace(&mut self.plan, plan.clone()) != plan
    }
}
