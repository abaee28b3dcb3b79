//! Jobs as submitted by callers, and the settings of their kinds.

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
    /// Priority; smaller numbers are served first.
    pub priority: u32,
    /// Number of failed runs of a task after which the job fails.
    pub attempts: u32,
    /// Factor of the latency target, in thousandths. The target is the run time of the longest
    /// chain of steps times this factor, plus `slack`.
    pub stretch: u32,
    /// Constant part of the latency target.
    pub slack: Span,
    /// Maximum time for an answer that the operator allows.
    pub timeout: Span,
}

/// One step of a job: tasks with the same needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task needs.
    pub need: Need,
    /// Run time declared by the caller; often inaccurate.
    pub declared: Span,
    /// Indices of the steps that must have ended before this one starts.
    pub after: Vec<u32>,
    /// Label that a worker must have; empty for any.
    pub label: String,
    /// Rack of the data; empty for none.
    pub rack: String,
    /// Maximum number of tasks of the step per worker; 0 for no limit.
    pub spread: u32,
}

/// A job whose caller waits for the answer.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name chosen by the caller.
    pub name: String,
    /// Settings of its kind at the time of its arrival.
    pub settings: Arc<KindSettings>,
    /// Payload that is passed to the workers.
    pub payload: Arc<str>,
    /// Steps in order.
    pub steps: Vec<Step>,
    /// When the job arrived.
    pub arrived: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
}

impl Job {
    /// Returns the run time of the longest chain of steps, as declared by the caller.
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
