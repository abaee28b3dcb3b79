//! States of the claim on a job's key.

use std::marker::PhantomData;

use cranberryhatch_types::{Holder, JobKey, KeyName, TaskName};

/// The claim is being written; no task may start.
#[derive(Debug)]
pub(crate) enum Pending {}

/// No other holder can start the job; tasks may start.
#[derive(Debug)]
pub(crate) enum Granted {}

/// Claim on a job's key, typed by its state; only a granted claim can name attempts.
#[derive(Debug)]
pub(crate) struct Claim<S> {
    state: PhantomData<S>,
}

impl Claim<Pending> {
    /// Creates a claim that is being written to the platform's table.
    pub(crate) const fn pending() -> Self {
        Self { state: PhantomData }
    }

    /// Returns the claim as granted by the platform.
    pub(crate) const fn granted(self) -> Claim<Granted> {
        Claim { state: PhantomData }
    }
}

impl Claim<Granted> {
    /// Returns the claim that is implied by a key issued by `holder` itself.
    pub(crate) fn issued(name: &KeyName, holder: &Holder) -> Option<Self> {
        let own = matches!(name, KeyName::Issued { holder: issuer, .. } if issuer == holder);
        own.then_some(Self { state: PhantomData })
    }

    /// Creates the claim on a job whose former holder is fenced.
    pub(crate) const fn adopted() -> Self {
        Self { state: PhantomData }
    }

    /// Returns the name under which an attempt at a task starts.
    pub(crate) fn attempt(&self, key: &JobKey, index: u32, number: u32) -> TaskName {
        TaskName { job: key.clone(), index, attempt: number }
    }
}
