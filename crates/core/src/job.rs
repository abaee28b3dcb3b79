//! An unfinished job and its tasks.

use std::sync::Arc;

use cranberryhatch_schema::Values;
use cranberryhatch_types::ClaimNo;

use crate::{
    AttemptId, JobSpec, LaneNo, Need, Payload,
    claim::{Claim, Granted, Pending},
    run_times::KindNo,
};

/// Phase of an unfinished job; a job that ended is no longer in the table.
#[derive(Debug)]
pub(crate) enum Phase {
    /// The claim on its key is being written; no task may start.
    Claiming(Claim<Pending>),
    /// Its key is claimed; its tasks may start.
    Running(Claim<Granted>),
}

/// State of a task.
#[derive(Clone, Debug)]
pub(crate) enum TaskState {
    /// Waits for a slot or for its retry.
    Waiting {
        /// Number of the last attempt, 0 if there was none.
        number: u32,
        /// Attempts that count against the retry limit.
        tries: u32,
    },
    /// An attempt is in flight.
    Sent(AttemptId),
    /// The task ran and returned a result.
    Done(Payload),
}

/// Settings and estimates fixed at a job's admission.
#[derive(Clone, Debug)]
pub(crate) struct Terms {
    /// Settings in force at admission.
    pub(crate) values: Arc<Values>,
    /// The team's lane in the queue.
    pub(crate) lane: LaneNo,
    /// The job's kind in the run time statistics.
    pub(crate) kind: KindNo,
    /// Expected run time of a task.
    pub(crate) cost: cranberryhatch_types::Span,
}

/// An unfinished job of a shard.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) terms: Terms,
    pub(crate) phase: Phase,
    pub(crate) tasks: Vec<TaskState>,
    // Index of the first task that was never started; all later tasks are waiting too.
    first_unstarted: u32,
    // Started tasks that wait for another attempt.
    requeued: Vec<u32>,
    /// Tasks without a result.
    pub(crate) unfinished: u32,
    /// Tasks in flight.
    pub(crate) in_flight: u32,
    /// Numbers of the requests that wait for the answer; some of them may have ended.
    pub(crate) waiters: Vec<u64>,
    /// Whether no other instance can hold the job, even without a claim.
    pub(crate) exclusive: bool,
    /// Whether a task waits again although it may have run, because its lease has expired.
    pub(crate) lapsed: bool,
    /// Whether another holder wrote the claim; this holder must not remove its row.
    pub(crate) adopted: bool,
}

impl Job {
    /// Creates a job all of whose tasks wait.
    pub(crate) fn new(spec: Arc<JobSpec>, terms: Terms, phase: Phase) -> Self {
        let count = spec.tasks.len();
        Self {
            tasks: vec![TaskState::Waiting { number: 0, tries: 0 }; count],
            first_unstarted: 0,
            requeued: Vec::new(),
            unfinished: u32::try_from(count).unwrap_or(u32::MAX),
            in_flight: 0,
            waiters: Vec::new(),
            exclusive: true,
            lapsed: false,
            adopted: false,
            spec,
            terms,
            phase,
        }
    }

    /// Makes the next attempt of every waiting task use a number greater than `from`.
    pub(crate) fn number_after(&mut self, from: u32) {
        for task in &mut self.tasks {
            if let TaskState::Waiting { number, .. } = task {
                *number = from.max(*number);
            }
        }
    }

    /// Returns whether the job waits for the answer to a claim.
    pub(crate) fn awaits(&self, number: ClaimNo) -> bool {
        matches!(&self.phase, Phase::Claiming(claim) if claim.number() == number)
    }

    /// Lets the tasks start after the claim was granted.
    pub(crate) fn grant(&mut self) {
        let pending = Phase::Claiming(Claim::pending(ClaimNo::default()));
        let phase = std::mem::replace(&mut self.phase, pending);
        self.phase = match phase {
            Phase::Claiming(claim) => Phase::Running(claim.granted()),
            Phase::Running(claim) => Phase::Running(claim),
        };
    }

    /// Rebuilds the list of waiting tasks in order; tasks in flight or done are left out.
    pub(crate) fn rebuild_queue(&mut self) {
        self.first_unstarted = u32::try_from(self.tasks.len()).unwrap_or(u32::MAX);
        let indexes = (0..self.first_unstarted).zip(&self.tasks).rev();
        let waiting = indexes.filter(|(_, task)| matches!(task, TaskState::Waiting { .. }));
        self.requeued = waiting.map(|(index, _)| index).collect();
    }

    /// Returns the index of the next waiting task.
    pub(crate) fn peek_waiting(&self) -> Option<u32> {
        let unstarted =
            ((self.first_unstarted as usize) < self.tasks.len()).then_some(self.first_unstarted);
        self.requeued.last().copied().or(unstarted)
    }

    /// Removes the next waiting task from the queue and returns its index.
    pub(crate) fn pop_waiting(&mut self) -> Option<u32> {
        if let Some(index) = self.requeued.pop() {
            return Some(index);
        }
        let index = self.peek_waiting()?;
        self.first_unstarted += 1;
        Some(index)
    }

    /// Queues a task for another attempt.
    pub(crate) fn requeue_task(&mut self, index: u32) {
        self.requeued.push(index);
    }

    /// Returns the number of tasks that wait for a slot.
    pub(crate) fn waiting(&self) -> u32 {
        let count =
            self.tasks.len().saturating_sub(self.first_unstarted as usize) + self.requeued.len();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the resource need of the next waiting task.
    pub(crate) fn next_need(&self) -> Option<Need> {
        self.peek_waiting().map(|index| self.spec.tasks[index as usize].need)
    }

    /// Returns the number of tasks that are neither in flight nor have a result.
    pub(crate) const fn pending(&self) -> u64 {
        (self.unfinished - self.in_flight) as u64
    }

    /// Iterates over the attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = AttemptId> {
        self.tasks.iter().filter_map(|task| match task {
            TaskState::Sent(attempt) => Some(*attempt),
            TaskState::Waiting { .. } | TaskState::Done(_) => None,
        })
    }

    /// Returns whether any task has run.
    pub(crate) fn ran(&self) -> bool {
        self.tasks.iter().any(|task| matches!(task, TaskState::Done(_)))
    }

    /// Returns whether certainly no task has run, neither here nor at another holder.
    pub(crate) fn is_unstarted(&self) -> bool {
        self.in_flight == 0 && !self.lapsed && !self.adopted && !self.ran()
    }

    /// Returns the results of the tasks in order.
    pub(crate) fn results(&self) -> Vec<Payload> {
        let result = |task: &TaskState| match task {
            TaskState::Done(result) => Some(result.clone()),
            TaskState::Waiting { .. } | TaskState::Sent(_) => None,
        };
        self.tasks.iter().filter_map(result).collect()
    }
}
