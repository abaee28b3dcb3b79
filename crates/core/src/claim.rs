//! States of the claim on a job's key.

use cranberryhatch_types::{ClaimNo, Holder, JobKey, KeyName, TaskName};

/// The claim is being written; no task may start.
#[derive(Debug)]
pub(crate) struct Pending {
    number: ClaimNo,
}

/// No other holder can start the job; tasks may start.
#[derive(Debug)]
pub(crate) struct Granted;

/// Claim on a job's key, typed by its state; only a granted claim can name attempts.
#[derive(Debug)]
pub(crate) struct Claim<S> {
    state: S,
}

impl Claim<Pending> {
    /// Creates a claim that is being written to the platform's table.
    pub(crate) const fn pending(number: ClaimNo) -> Self {
        Self { state: Pending { number } }
    }

    /// Returns the number that the answer to this claim names.
    pub(crate) const fn number(&self) -> ClaimNo {
        self.state.number
    }

    /// Returns the claim as granted by the platform.
    pub(crate) const fn granted(self) -> Claim<Granted> {
        Claim { state: Granted }
    }
}

impl Claim<Granted> {
    /// Returns the claim that is implied by a key issued by `holder` itself.
    pub(crate) fn issued(name: &KeyName, holder: &Holder) -> Option<Self> {
        let own = matches!(name, KeyName::Issued { holder: issuer, .. } if issuer == holder);
        own.then_some(Self { state: Granted })
    }

    /// Creates the claim on a job whose former holder is fenced.
    pub(crate) const fn adopted() -> Self {
        Self { state: Granted }
    }

    /// Returns the name under which an attempt at a task starts.
    pub(crate) fn attempt(&self, key: &JobKey, index: u32, number: u32) -> TaskName {
        TaskName { job: key.clone(), index, attempt: number }
    }
}
