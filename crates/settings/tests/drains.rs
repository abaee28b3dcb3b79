//! Tests of drained availability zones in the settings tree.

use cranberryhatch_schema::Key;
use cranberryhatch_settings::{ActiveSettings, Drains, FaultKind, Path, Tree, TreeError};
use cranberryhatch_types::ZoneId;

const ZONES: &str = "[deployment d]\nzones.names = z2 z1 z3\n";

fn zone(name: &str) -> ZoneId {
    name.parse().expect("a zone")
}

fn names(zones: &[ZoneId]) -> Vec<&str> {
    zones.iter().map(ZoneId::as_str).collect()
}

struct Case {
    failure: &'static str,
    extra: &'static str,
    occupied: &'static [&'static str],
    drained: &'static [&'static str],
    stranded: &'static [&'static str],
}

/// Guards against wrong lists of drained zones and of zones left without endpoints; each case
/// names its failure.
#[test]
fn drained_and_stranded_zones_are_reported() {
    let cases = [
        Case {
            failure: "a drain that is not in the settings",
            extra: "[zone z1]\nborrow.block = 4\n",
            occupied: &["z1", "z2"],
            drained: &[],
            stranded: &[],
        },
        Case {
            failure: "a second drain that replaces the first",
            extra: "[zone z2]\nzone.drained = on\n[zone z1]\nzone.drained = on\n",
            occupied: &["z1", "z2", "z3"],
            drained: &["z1", "z2"],
            stranded: &[],
        },
        Case {
            failure: "a drain that takes effect although it is switched off",
            extra: "[zone z1]\nzone.drained = off\n",
            occupied: &["z1"],
            drained: &[],
            stranded: &[],
        },
        Case {
            failure: "no warning although the other zones have no endpoint",
            extra: "[zone z1]\nzone.drained = on\n",
            occupied: &["z1"],
            drained: &["z1"],
            stranded: &["z1", "z2", "z3"],
        },
        Case {
            failure: "no warning for a zone that may not borrow from others",
            extra: "[zone z1]\nzone.drained = on\nborrow.zones = off\n",
            occupied: &["z1", "z2"],
            drained: &["z1"],
            stranded: &["z1"],
        },
        Case {
            failure: "a warning for zones that had no reachable endpoint before the drain",
            extra: "[root]\nborrow.enabled = off\n[zone z1]\nzone.drained = on\n",
            occupied: &["z2"],
            drained: &["z1"],
            stranded: &[],
        },
    ];
    for case in cases {
        let tree = Tree::parse(&format!("{ZONES}{}", case.extra)).expect("a valid tree");
        let occupied: Vec<ZoneId> = case.occupied.iter().map(|name| zone(name)).collect();
        let settings = ActiveSettings::new(1, tree.clone(), zone("z3"));
        assert_eq!(
            names(settings.drains().zones()),
            case.drained,
            "guards against: {}",
            case.failure
        );
        assert_eq!(names(&tree.stranded(&occupied)), case.stranded, "{}", case.failure);
    }
}

/// Guards against a drain of a mistyped zone, which would have no effect, and against a drain at a
/// level that does not identify a zone.
#[test]
fn drain_requires_a_zone_of_the_deployment() {
    let tree = Tree::parse(ZONES).expect("a valid tree");
    let rejected = |path: &str| {
        let path: Path = path.parse().expect("a path");
        match tree.with(&path, Key::ZoneDrained, Some("on")) {
            Err(TreeError::Faults(faults)) => faults[0].kind.clone(),
            other => panic!("{path}: {other:?}"),
        }
    };
    assert!(matches!(rejected("zone z9"), FaultKind::UnknownZone(_)));
    for path in ["root", "deployment d", "team script", "kind script/preview"] {
        assert!(matches!(rejected(path), FaultKind::WrongLevel(_)), "{path}");
    }
    assert_eq!(names(&tree.zones()), ["z1", "z2", "z3"]);
    let one = tree.with(&Path::Zone(zone("z1")), Key::ZoneDrained, Some("on")).expect("a tree");
    let two = one.with(&Path::Zone(zone("z3")), Key::ZoneDrained, Some("on")).expect("a tree");
    let back = two.with(&Path::Zone(zone("z1")), Key::ZoneDrained, None).expect("a tree");
    assert_eq!(names(Drains::of(&two).zones()), ["z1", "z3"]);
    assert_eq!(names(Drains::of(&back).zones()), ["z3"]);
}

/// Guards against a drain that ends unnoticed when its zone is removed from the list of zones.
#[test]
fn drained_zone_cannot_be_removed_from_the_list() {
    let text = format!("{ZONES}[zone z1]\nzone.drained = on\n").replace("z2 z1 z3", "z2 z3");
    assert!(matches!(Tree::parse(&text), Err(TreeError::Faults(_))));
}
