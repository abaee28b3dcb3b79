//! A broken rule.

use std::fmt;

use crate::check::Rule;

/// A broken rule and what broke it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Task, job, worker or instance.
    pub name: String,
    /// What was seen.
    pub detail: String,
}

impl Violation {
    /// Makes a violation.
    #[must_use]
    pub fn new(rule: Rule, name: impl Into<String>, detail: impl Into<String>) -> Self {
        Self { rule, name: name.into(), detail: detail.into() }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.rule, self.name, self.detail)
    }
}
