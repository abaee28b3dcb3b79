//! Jobs as callers submit them, and the settings of their kind.

use std::sync::Arc;

use cranberryhatch_types::{Span, Time};

use crate::Need;

/// Settings of a kind of job.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// Name of the kind.
    pub kind: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Smaller numbers come first.
    pub priority: u32,
    /// Runs that may fail before the job fails.
    pub attempts: u32,
    /// The objective is the run time of the longest chain times this, in thousandths, ...
    pub stretch: u32,
    /// ... plus this.
    pub slack: Span,
    /// Longest time that the operator allows for an answer.
    pub timeout: Span,
}

/// One step of a job: tasks of one size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Size of each task.
    pub need: Need,
    /// Run time as the caller declares it; often far off.
    pub declared: Span,
    /// Steps that must have ended before this one starts.
    pub after: Vec<u32>,
    /// Label that a worker must have; empty for any.
    pub label: String,
    /// Rack near the data; empty for none.
    pub rack: String,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub spread: u32,
}

/// A job whose caller waits for the answer.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name that the caller chose.
    pub name: String,
    /// Settings of its kind, as they were when it arrived.
    pub settings: Arc<KindSettings>,
    /// What the workers get.
    pub payload: Arc<str>,
    /// Steps in order.
    pub steps: Vec<Step>,
    /// When it arrived.
    pub arrived: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
}

impl Job {
    /// Shortest time in which it can run, as far as the caller's declared run times hold.
    #[must_use]
    pub fn shortest(&self) -> Span {
        let mut ends: Vec<Span> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let end_of = |earlier: &u32| ends.get(usize::try_from(*earlier).ok()?).copied();
            let begin = step.after.iter().filter_map(end_of).max().unwrap_or(Span::ZERO);
            ends.push(begin + step.declared);
        }
        ends.into_iter().max().unwrap_or(Span::ZERO)
    }
}
