//! Checks of a settings tree that involve more than one value.

use cranberryhatch_schema::Key;
use cranberryhatch_types::{Slots, ZoneId};

use crate::{FaultKind, Path, Tree};

/// Section, key and kind of a fault.
type Finding = (String, String, FaultKind);

/// Returns all faults found by comparing settings with each other.
pub(crate) fn check_tree(tree: &Tree) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_deployment(tree, &mut findings);
    check_zones(tree, &mut findings);
    check_quotas(tree, &mut findings);
    check_tokens(tree, &mut findings);
    findings
}

fn check_deployment(tree: &Tree, findings: &mut Vec<Finding>) {
    let mut names: Vec<&Path> = tree
        .settings()
        .iter()
        .map(|setting| &setting.path)
        .filter(|path| matches!(path, Path::Deployment(_)))
        .collect();
    names.dedup();
    for path in names.iter().skip(1) {
        findings.push((path.to_string(), String::new(), FaultKind::SecondDeployment));
    }
}

fn check_zones(tree: &Tree, findings: &mut Vec<Finding>) {
    let names = tree.global().zones_names;
    let mut zones: Vec<ZoneId> = Vec::new();
    for name in names.split_whitespace() {
        match name.parse() {
            Ok(zone) => zones.push(zone),
            Err(error) => {
                let section = tree.settings().iter().find(|s| s.key == Key::ZonesNames);
                let section = section.map(|s| s.path.to_string()).unwrap_or_default();
                findings.push((section, "zones.names".to_owned(), FaultKind::BadZone(error)));
            }
        }
    }
    for setting in tree.settings() {
        if let Path::Zone(zone) = &setting.path
            && !zones.contains(zone)
        {
            let kind = FaultKind::UnknownZone(zone.to_string());
            findings.push((setting.path.to_string(), setting.key.to_string(), kind));
        }
    }
}

fn check_quotas(tree: &Tree, findings: &mut Vec<Finding>) {
    let parent = tree.global().quota_slots.get();
    for setting in tree.settings() {
        if !matches!(setting.path, Path::Team(_)) || setting.key != Key::QuotaSlots {
            continue;
        }
        let quota = setting.value.parse::<Slots>().map_or(0, Slots::get);
        if quota > parent {
            let above = "the deployment".to_owned();
            let kind = FaultKind::OverParent { quota, parent, above };
            findings.push((setting.path.to_string(), setting.key.to_string(), kind));
        }
    }
}

fn check_tokens(tree: &Tree, findings: &mut Vec<Finding>) {
    let tokens = tree.settings().iter().filter(|s| s.key == Key::AuthToken);
    let tokens = tokens.map(|s| (s.path.to_string(), s.value.as_str()));
    let mut seen: Vec<(&str, String)> = Vec::new();
    for (section, token) in tokens {
        let key = Key::AuthToken.to_string();
        if !is_digest(token) {
            findings.push((section, key, FaultKind::BadToken));
            continue;
        }
        match seen.binary_search_by(|(other, _)| (*other).cmp(token)) {
            Ok(index) => {
                findings.push((section, key, FaultKind::SharedToken(seen[index].1.clone())));
            }
            Err(index) => seen.insert(index, (token, section)),
        }
    }
}

fn is_digest(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}
