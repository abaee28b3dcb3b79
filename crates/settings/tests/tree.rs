//! Tests of settings trees: inheritance, validation and differences.

use cranberryhatch_schema::{Key, Values};
use cranberryhatch_settings::{FaultKind, Tree, TreeError};
use cranberryhatch_types::{Span, TeamId, ZoneId};
use quickcheck::{Gen, QuickCheck};
use strum::IntoEnumIterator;

const DIGEST_A: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

struct BadTree {
    name: &'static str,
    text: String,
    line: usize,
    kind: fn(&FaultKind) -> bool,
}

/// Guards against an invalid change that is accepted although instances cannot apply it.
#[test]
fn faults_are_reported_with_their_line() {
    let shared = format!("[team a]\nauth.token = {DIGEST_A}\n[team b]\nauth.token = {DIGEST_A}\n");
    let cases = [
        BadTree {
            name: "unknown key",
            text: "[root]\nlease.tsk = 5s\n".into(),
            line: 2,
            kind: |k| matches!(k, FaultKind::UnknownKey),
        },
        BadTree {
            name: "unknown section",
            text: "[root]\nlease.task = 5s\n[house a]\nlease.task = 5s\n".into(),
            line: 3,
            kind: |k| matches!(k, FaultKind::BadSection(_)),
        },
        BadTree {
            name: "missing unit",
            text: "[root]\nlease.task = 5\n".into(),
            line: 2,
            kind: |k| matches!(k, FaultKind::BadValue(_)),
        },
        BadTree {
            name: "wrong unit",
            text: "[root]\nlease.task = 5MiB\n".into(),
            line: 2,
            kind: |k| matches!(k, FaultKind::BadValue(_)),
        },
        BadTree {
            name: "out of range",
            text: "[root]\n\nleave.bound = 4s\n".into(),
            line: 3,
            kind: |k| matches!(k, FaultKind::BadValue(_)),
        },
        BadTree {
            name: "wrong level",
            text: "[team a]\nlease.task = 5s\n".into(),
            line: 2,
            kind: |k| matches!(k, FaultKind::WrongLevel(_)),
        },
        BadTree {
            name: "set twice",
            text: "[root]\nlease.task = 5s\nlease.task = 6s\n".into(),
            line: 2,
            kind: |k| matches!(k, FaultKind::Duplicate),
        },
        BadTree {
            name: "quota over the deployment's",
            text: "[deployment d]\nquota.slots = 10\n[team a]\nquota.slots = 11\n".into(),
            line: 4,
            kind: |k| matches!(k, FaultKind::OverParent { quota: 11, parent: 10, .. }),
        },
        BadTree {
            name: "zone outside the deployment",
            text: "[deployment d]\nzones.names = z1 z2\n[zone z3]\nborrow.block = 4\n".into(),
            line: 4,
            kind: |k| matches!(k, FaultKind::UnknownZone(_)),
        },
        BadTree {
            name: "second deployment",
            text: "[deployment d]\nquota.slots = 10\n[deployment e]\nquota.slots = 10\n".into(),
            line: 3,
            kind: |k| matches!(k, FaultKind::SecondDeployment),
        },
        BadTree {
            name: "plain token",
            text: "[team a]\nauth.token = secret\n".into(),
            line: 2,
            kind: |k| matches!(k, FaultKind::BadToken),
        },
        BadTree {
            name: "shared token",
            text: shared,
            line: 4,
            kind: |k| matches!(k, FaultKind::SharedToken(_)),
        },
    ];
    for case in cases {
        let Err(TreeError::Faults(faults)) = Tree::parse(&case.text) else {
            panic!("{}: accepted", case.name);
        };
        assert_eq!(faults.len(), 1, "{}: {faults:?}", case.name);
        assert_eq!(faults[0].line, case.line, "{}", case.name);
        assert!((case.kind)(&faults[0].kind), "{}: {:?}", case.name, faults[0].kind);
    }
}

/// Guards against a check that stops at the first fault, so that operators fix one at a time.
#[test]
fn all_faults_are_listed() {
    let text = "[root]\nlease.tsk = 5s\nlease.task = 5\n[team a]\nlease.task = 5s\n";
    let Err(TreeError::Faults(faults)) = Tree::parse(text) else { panic!("accepted") };
    assert_eq!(faults.iter().map(|fault| fault.line).collect::<Vec<_>>(), [2, 3, 5]);
}

struct Inherited {
    zone: &'static str,
    team: &'static str,
    kind: &'static str,
    weight: u32,
    deadline: Span,
}

/// Guards against a value that is overridden by a level above it.
#[test]
fn lower_levels_override_only_what_they_set() {
    let text = "[kind a/fast]\ndeadline.default = 1s\n[team a]\nquota.weight = 30\n\
                [deployment d]\nzones.names = z1 z2\nquota.weight = 20\n\
                [root]\nquota.weight = 5\ndeadline.default = 20s\n[zone z1]\nborrow.block = 3\n";
    let tree = Tree::parse(text).unwrap();
    let cases = [
        Inherited { zone: "z1", team: "a", kind: "fast", weight: 30, deadline: Span::from_secs(1) },
        Inherited {
            zone: "z1",
            team: "a",
            kind: "slow",
            weight: 30,
            deadline: Span::from_secs(20),
        },
        Inherited {
            zone: "z2",
            team: "b",
            kind: "fast",
            weight: 20,
            deadline: Span::from_secs(20),
        },
    ];
    for case in cases {
        let zone: ZoneId = case.zone.parse().unwrap();
        let team: TeamId = case.team.parse().unwrap();
        let values = tree.resolve(&zone, Some(&team), Some(&case.kind.parse().unwrap()));
        assert_eq!(values.quota_weight.get(), case.weight, "{}/{}", case.team, case.kind);
        assert_eq!(values.deadline_default, case.deadline, "{}/{}", case.team, case.kind);
        assert_eq!(values.borrow_block.get(), if case.zone == "z1" { 3 } else { 16 });
    }
}

/// Guards against defaults in the schema that its own validation rejects.
#[test]
fn defaults_are_valid_and_round_trip_as_text() {
    let mut values = Values::default();
    for key in Key::iter().filter(|key| *key != Key::AuthToken) {
        let text = Values::default().get(key);
        assert_eq!(values.set(key, &text), Ok(()), "{key}");
        assert_eq!(values.get(key), text, "{key}");
        assert_eq!(key.spec().name, key.to_string());
    }
    assert_eq!(values, Values::default());
}

/// Guards against an export that does not import as the same tree.
#[test]
fn ini_text_round_trips() {
    for text in [
        include_str!("../../../examples/popisek.ini"),
        include_str!("../../../examples/guadalajara.ini"),
    ] {
        let tree = Tree::parse(text).unwrap();
        assert_eq!(Tree::parse(&tree.to_ini()), Ok(tree.clone()));
        assert!(tree.diff(&tree).is_empty());
    }
}

/// Guards against a difference that omits a change, which the audit trail would then lack.
#[test]
fn applying_the_difference_gives_the_newer_tree() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands out owned values")]
    fn apply(old: Vec<(bool, u8)>, new: Vec<(bool, u8)>) -> bool {
        let tree = |settings: &[(bool, u8)]| {
            settings.iter().fold(Tree::default(), |tree, (root, number)| {
                let path = if *root { "root" } else { "team a" }.parse().unwrap();
                let key = if number % 2 == 0 { Key::QuotaWeight } else { Key::AdmissionTasks };
                let value = (u32::from(*number) + 1).to_string();
                tree.with(&path, key, Some(&value)).unwrap()
            })
        };
        let (old, new) = (tree(&old), tree(&new));
        let changed = old.diff(&new).into_iter().fold(old, |tree, change| {
            tree.with(&change.path, change.key, change.to.as_deref()).unwrap()
        });
        changed == new
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 7))
        .tests(200)
        .quickcheck(apply as fn(Vec<(bool, u8)>, Vec<(bool, u8)>) -> bool);
}
