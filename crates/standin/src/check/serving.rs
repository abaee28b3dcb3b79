//! Rule about zones that are cut off from the platform.

use crate::check::{Call, Evidence, Note, Reply, Rule, Verb, Violation};

/// Time after the start of a cut, and before its end, that is not judged, in milliseconds.
const EDGE_MS: u64 = 1_000;
/// Fewest answers from which the rule judges.
const FEWEST: usize = 5;
/// Answers that say nothing about what a cut-off instance could serve.
const OTHER_CAUSES: [&str; 4] = ["cancelled", "never-fits", "key-not-issued", "draining"];

/// Checks that instances cut off from the platform go on serving keys that they issued.
pub fn check(evidence: &Evidence, found: &mut Vec<Violation>) {
    for note in &evidence.notes {
        let Note::CutOff { instance, from, to } = note else { continue };
        let judged = |call: &&Call| {
            call.verb == Verb::Submit
                && call.via == *instance
                && call.key.contains('~')
                && call.sent_ms > from + EDGE_MS
                && call.got_ms + EDGE_MS < *to
                && call.reply.is_final()
                && !OTHER_CAUSES.contains(&call.code.as_str())
        };
        let calls: Vec<&Call> = evidence.calls().filter(judged).collect();
        if calls.len() >= FEWEST && calls.iter().all(|call| call.reply != Reply::Complete) {
            let detail = format!("{} issued keys from {from} to {to}, none complete", calls.len());
            found.push(Violation::new(Rule::CutOffIdle, instance, detail));
        }
    }
}
