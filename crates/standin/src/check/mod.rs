//! Checker of the promises: reads what stand-ins recorded and what callers noted, and compares
//! both with a simple oracle.
//!
//! ```
//! use cranberryhatch_standin::check::{Evidence, verdict};
//!
//! assert!(verdict(&Evidence::default()).is_empty());
//! ```

mod answers;
mod call;
mod evidence;
mod leaving;
mod note;
mod rule;
mod serving;
mod settings;
mod starts;
mod violation;

pub use call::{Call, Reply, Verb, expected_result};
pub use evidence::Evidence;
pub use note::{Journal, Note, read_notes};
pub use rule::Rule;
pub use violation::Violation;

/// Checks every rule and returns all that were broken.
#[must_use]
pub fn verdict(evidence: &Evidence) -> Vec<Violation> {
    let starts = starts::Starts::of(evidence);
    let mut found = Vec::new();
    starts::check(evidence, &starts, &mut found);
    answers::check(evidence, &starts, &mut found);
    leaving::check(evidence, &mut found);
    settings::check(evidence, &mut found);
    serving::check(evidence, &mut found);
    found
}
