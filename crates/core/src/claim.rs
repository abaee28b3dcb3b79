//! Life cycle of the claim on a job's key.

use std::marker::PhantomData;

use cranberryhatch_types::{Holder, JobKey, KeyName, TaskName};

/// The claim is being written; nothing may start.
#[derive(Debug)]
pub(crate) enum Pending {}

/// No other holder can start the job; tasks may start.
#[derive(Debug)]
pub(crate) enum Granted {}

/// Claim on a job's key in a state; only a safe claim names attempts.
#[derive(Debug)]
pub(crate) struct Claim<S> {
    state: PhantomData<S>,
}

impl Claim<Pending> {
    /// A claim that is being written to the platform's table.
    pub(crate) const fn pending() -> Self {
        Self { state: PhantomData }
    }

    /// The claim after the platform granted it.
    pub(crate) const fn granted(self) -> Claim<Granted> {
        Claim { state: PhantomData }
    }
}

impl Claim<Granted> {
    /// The claim that comes with a key that `holder` handed out itself.
    pub(crate) fn issued(name: &KeyName, holder: &Holder) -> Option<Self> {
        let own = matches!(name, KeyName::Issued { holder: issuer, .. } if issuer == holder);
        own.then_some(Self { state: PhantomData })
    }

    /// The claim on a job whose former holder is fenced.
    pub(crate) const fn adopted() -> Self {
        Self { state: PhantomData }
    }

    /// Name under which an attempt at a task starts.
    pub(crate) fn attempt(&self, key: &JobKey, index: u32, number: u32) -> TaskName {
        TaskName { job: key.clone(), index, attempt: number }
    }
}
