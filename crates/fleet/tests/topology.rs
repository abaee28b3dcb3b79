//! Guards against links between all pairs of instances, and against instances without links.

use cranberryhatch_fleet::{InstanceInfo, Topology};
use cranberryhatch_types::{InstanceId, Time};

const START: u64 = 10_000;
/// Long enough for an instance to count as absent.
const LATER: u64 = START + 5_000;
const ZONES: usize = 3;
const IN_ZONE: usize = 12;
const WORKERS: usize = 180;
/// Owners of the 60 workers of a zone.
const OWNERS: usize = 3;
/// Owners and two spare instances of a zone.
const CORE: usize = 5;

fn id(zone: usize, number: usize) -> InstanceId {
    format!("e-{zone}-{number}").parse().expect("a name")
}

/// Returns an instance; those of a zone are numbered by decreasing size.
fn known(zone: usize, number: usize) -> InstanceInfo {
    let cores = 500 - 10 * u32::try_from(number).expect("few");
    InstanceInfo { id: id(zone, number), zone: format!("z{zone}").parse().expect("a zone"), cores }
}

fn all() -> Vec<InstanceInfo> {
    (0..ZONES).flat_map(|zone| (0..IN_ZONE).map(move |number| known(zone, number))).collect()
}

struct Case {
    name: &'static str,
    /// Number of the instance in the first zone.
    me: usize,
    /// Instances without a link.
    down: Vec<InstanceId>,
    /// Whether it belongs to the core, and its number of links.
    core: bool,
    links: usize,
}

#[test]
fn links_grow_with_the_core_and_not_with_the_fleet() {
    let core = |zone: usize| (0..CORE).map(move |number| id(zone, number));
    // Owners of other zones, and the core of its own.
    let few = (ZONES - 1) * OWNERS + CORE;
    // Its own zone, and the cores of the others.
    let spare = (ZONES - 1) * CORE + IN_ZONE - 1;
    let most = ZONES * IN_ZONE - 1;
    let cases = [
        Case { name: "an owner", me: 2, down: vec![], core: true, links: most },
        Case { name: "a spare one", me: 3, down: vec![], core: true, links: spare },
        Case { name: "a small one", me: 11, down: vec![], core: false, links: few },
        Case { name: "next owner", me: 3, down: vec![id(0, 2)], core: true, links: most },
        Case { name: "next in rank", me: 5, down: vec![id(0, 2)], core: true, links: spare },
        Case { name: "last in rank", me: 11, down: vec![id(0, 2)], core: false, links: few + 1 },
        Case {
            name: "in a zone whose core is unreachable",
            me: 11,
            down: core(0).collect(),
            core: false,
            links: few + CORE,
        },
        Case {
            name: "in an isolated zone",
            me: 11,
            down: core(1).chain(core(2)).collect(),
            core: false,
            links: few,
        },
        Case {
            name: "all others are unreachable",
            me: 11,
            down: all().into_iter().map(|known| known.id).collect(),
            core: true,
            links: most,
        },
    ];
    for Case { name, me, down, core, links } in cases {
        let mut topology = Topology::new(known(0, me));
        topology.replace_registered(all(), std::iter::empty());
        let is_linked = |id: &InstanceId| !down.contains(id);
        for at in (START..=LATER).step_by(100) {
            topology.update(is_linked, WORKERS, false, Time::from_ms(at));
        }
        let plan = topology.link_plan();
        assert_eq!((plan.core, plan.links.len()), (core, links), "{name}");
    }
}

#[test]
fn core_instance_stays_in_the_core() {
    let mut topology = Topology::new(known(0, CORE));
    topology.replace_registered(all(), std::iter::empty());
    let first = id(0, 0);
    for (at, is_up, core) in [(0, false, false), (5_000, false, true), (6_000, true, true)] {
        topology.update(|id| is_up || *id != first, WORKERS, false, Time::from_ms(START + at));
        assert_eq!(topology.link_plan().core, core, "after {at} ms");
    }
}

struct Unread {
    name: &'static str,
    /// Number of instances of its zone that it knows from links.
    linked: usize,
    core: bool,
}

#[test]
fn instance_without_registry_joins_the_core_unless_it_knows_enough_owners() {
    let cases = [
        Unread { name: "nobody", linked: 0, core: true },
        Unread { name: "one owner", linked: 1, core: true },
        Unread { name: "all owners", linked: OWNERS, core: false },
    ];
    for Unread { name, linked, core } in cases {
        let mut topology = Topology::new(known(0, 11));
        (0..linked).for_each(|number| topology.insert(known(0, number)));
        topology.update(|_| true, WORKERS, false, Time::from_ms(START));
        assert_eq!(topology.link_plan().core, core, "{name}");
    }
}
