//! Rules about settings versions.

use crate::check::{Evidence, Note, Rule, Violation};

/// Time within which an accepted version is in force everywhere, in milliseconds.
const BOUND_MS: u64 = 4_000;
struct Sight<'a> {
    instance: &'a str,
    ms: u64,
    version: u64,
}

/// Checks that versions never fall and arrive in time.
pub fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    let mut accepted: Vec<(u64, u64)> = evidence.notes.iter().filter_map(accepted).collect();
    accepted.sort_by_key(|(_, version)| *version);
    for pair in accepted.windows(2).filter(|pair| pair[0].1 == pair[1].1) {
        let detail = format!("at {} and {}", pair[0].0, pair[1].0);
        found.push(Violation::new(Rule::AcceptedTwice, pair[0].1.to_string(), detail));
    }
    let mut sights: Vec<Sight<'_>> = evidence
        .notes
        .iter()
        .filter_map(|note| match note {
            Note::Seen { ms, instance, version } => {
                Some(Sight { instance, ms: *ms, version: *version })
            }
            _ => None,
        })
        .collect();
    sights.sort_by_key(|sight| (sight.instance, sight.ms));
    for pair in sights.windows(2) {
        if pair[0].instance == pair[1].instance && pair[1].version < pair[0].version {
            let detail = format!("{} after {}", pair[1].version, pair[0].version);
            found.push(Violation::new(Rule::VersionFell, pair[0].instance, detail));
        }
    }
    for sight in &sights {
        let late = accepted
            .iter()
            .find(|(ms, version)| sight.version < *version && sight.ms > due(evidence, sight, *ms));
        if let Some((ms, version)) = late {
            let detail = format!("{} in force {} ms after {version}", sight.version, sight.ms - ms);
            found.push(Violation::new(Rule::VersionLate, sight.instance, detail));
        }
    }
}

fn accepted(note: &Note) -> Option<(u64, u64)> {
    match note {
        Note::Accepted { ms, version, .. } => Some((*ms, *version)),
        _ => None,
    }
}

/// When a version accepted at `ms` must be in force; time in which nothing reaches the instance
/// starts the bound anew.
fn due(evidence: &Evidence, sight: &Sight<'_>, ms: u64) -> u64 {
    let ends = evidence.notes.iter().filter_map(|note| match note {
        Note::Isolated { instance, from, to }
            if instance == sight.instance && *from <= sight.ms && *to >= ms =>
        {
            Some(*to)
        }
        _ => None,
    });
    ends.max().unwrap_or(ms).max(ms) + BOUND_MS
}
