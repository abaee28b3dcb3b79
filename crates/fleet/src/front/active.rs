//! State of a job at its front.

use cranberryhatch_types::{Span, Time};

use crate::{
    Job, TaskKey,
    task_state::{Phase, TaskState},
};

/// A job that was accepted and is not removed yet.
#[derive(Debug)]
pub(super) struct ActiveJob {
    // The waiting caller; none once the job was answered or the caller disconnected.
    pub(super) ticket: Option<u64>,
    pub(super) job: Job,
    pub(super) steps: Vec<Vec<TaskState>>,
    pub(super) started: Option<Time>,
    pub(super) runs: u32,
    // Number of these that were running or may have been.
    pub(super) possible_runs: u32,
    pub(super) avoid: Vec<String>,
    pub(super) closing_since: Option<Time>,
    // When capacity was last requested from the current scheduler, and the wait that it last
    // estimated.
    pub(super) requested_at: Option<Time>,
    pub(super) expected_wait: Option<Span>,
    // Whether the caller had submitted it to another front before.
    pub(super) again: bool,
    // Whether the scheduler awaits the end of its runs, since another front has the job now.
    pub(super) yields: bool,
    // The same job, resubmitted while runs of the first submission are being stopped.
    pub(super) resubmitted: Option<(u64, Job)>,
}

impl ActiveJob {
    pub(super) fn new(ticket: u64, job: Job) -> Self {
        let steps =
            job.steps.iter().map(|step| (0..step.tasks).map(|_| TaskState::default()).collect());
        let steps = steps.collect();
        Self {
            ticket: Some(ticket),
            job,
            steps,
            started: None,
            runs: 0,
            possible_runs: 0,
            avoid: Vec::new(),
            closing_since: None,
            requested_at: None,
            expected_wait: None,
            again: false,
            yields: false,
            resubmitted: None,
        }
    }

    pub(super) fn task(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        let step = self.steps.get_mut(usize::try_from(key.step).ok()?)?;
        step.get_mut(usize::try_from(key.task).ok()?)
    }

    pub(super) fn step_done(&self, step: u32) -> bool {
        let tasks = usize::try_from(step).ok().and_then(|step| self.steps.get(step));
        tasks.is_some_and(|tasks| tasks.iter().all(|task| task.phase == Phase::Done))
    }

    pub(super) fn is_ready(&self, step: usize) -> bool {
        self.job.steps[step].after.iter().all(|earlier| self.step_done(*earlier))
    }

    /// Returns whether a task has ended successfully.
    pub(super) fn is_done(&self, step: u32, task: u32) -> bool {
        let index = |number: u32| usize::try_from(number).ok();
        let tasks = index(step).and_then(|step| self.steps.get(step));
        let state = tasks.zip(index(task)).and_then(|(tasks, task)| tasks.get(task));
        state.is_some_and(|state| state.phase == Phase::Done)
    }

    pub(super) fn all_done(&self) -> bool {
        self.steps.iter().flatten().all(|task| task.phase == Phase::Done)
    }

    /// Returns the runs that may be running.
    pub(super) fn placed(&self) -> impl Iterator<Item = (TaskKey, &TaskState)> {
        let name = &self.job.name;
        self.steps
            .iter()
            .zip(0..)
            .flat_map(move |(tasks, step)| {
                tasks
                    .iter()
                    .zip(0..)
                    .map(move |(state, task)| (TaskKey { job: name.clone(), step, task }, state))
            })
            .filter(|(_, state)| matches!(state.phase, Phase::Placed(_)))
    }

    /// Returns the number of tasks that wait for capacity or for earlier steps.
    pub(super) fn waiting(&self) -> usize {
        let waits = |task: &&TaskState| matches!(task.phase, Phase::Ready | Phase::Requested);
        self.steps.iter().flatten().filter(waits).count()
    }

    /// Returns whether a task may have run, here or at the front of an earlier submission.
    pub(super) const fn may_have_run(&self) -> bool {
        self.possible_runs > 0 || self.again
    }

    pub(super) fn is_idle(&self) -> bool {
        self.placed().next().is_none()
    }
}
