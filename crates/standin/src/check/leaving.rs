//! Rule about leaving endpoints.

use crate::{
    Entry, Happening,
    check::{Evidence, Rule, Violation},
};

/// Time after which a leaving endpoint must get no new work, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// Checks that starts, refused ones included, stop in time.
pub fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    let mut leaving: Vec<(&str, u64)> = Vec::new();
    let mut entries: Vec<(u64, &Entry)> =
        evidence.entries.iter().map(|entry| (moment(entry), entry)).collect();
    entries.sort_by_key(|(ms, _)| *ms);
    for (ms, entry) in entries {
        match entry.what {
            Happening::Opened => leaving.retain(|(worker, _)| *worker != entry.name),
            Happening::Switched | Happening::Listed => {
                let state = entry.detail.split(' ').next().unwrap_or_default();
                // A frozen connection changes nothing about whether the endpoint is leaving.
                if state == "freeze" {
                    continue;
                }
                let known = leaving.iter().any(|(worker, _)| *worker == entry.name);
                match state {
                    "leave" | "leaving" if !known => leaving.push((&entry.name, ms)),
                    "leave" | "leaving" => {}
                    _ => leaving.retain(|(worker, _)| *worker != entry.name),
                }
            }
            Happening::Started | Happening::Refused => {
                let since = leaving.iter().find(|(worker, _)| *worker == entry.who);
                if let Some((worker, since)) = since
                    && ms > since + BOUND_MS
                {
                    let detail = format!("{} {} ms after it was leaving", entry.name, ms - since);
                    found.push(Violation::new(Rule::LateStart, *worker, detail));
                }
            }
            _ => {}
        }
    }
}

/// When an entry takes effect: a change of the list does when it becomes visible.
fn moment(entry: &Entry) -> u64 {
    let visible = entry.detail.split(' ').nth(1).and_then(|ms| ms.parse().ok());
    if entry.what == Happening::Listed { visible.unwrap_or(entry.ms) } else { entry.ms }
}
