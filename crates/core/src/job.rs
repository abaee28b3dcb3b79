//! A job that has not ended, and its tasks.

use std::sync::Arc;

use cranberryhatch_schema::Values;

use crate::{
    AttemptId, JobSpec, LaneNo, Need, Payload,
    claim::{Claim, Granted, Pending},
    run_times::KindNo,
};

/// Where a job is in its life; a job that ended is no longer in the table.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Its key is being claimed; nothing may start.
    Claiming(Claim<Pending>),
    /// Its key is claimed; tasks run.
    Running(Claim<Granted>),
}

/// Where a task is in its life.
#[derive(Clone, Debug)]
pub(crate) enum TaskState {
    /// It waits for a slot or for its retry.
    Waiting {
        /// Number of the last attempt.
        number: u32,
        /// Attempts that count against the limit.
        tries: u32,
    },
    /// An attempt is in flight.
    Sent(AttemptId),
    /// It ran.
    Done(Payload),
}

/// Settings and estimates that a job has from its admission.
#[derive(Clone, Debug)]
pub(crate) struct Terms {
    /// Values in force at admission.
    pub(crate) values: Arc<Values>,
    /// Lane of its team in the queue.
    pub(crate) lane: LaneNo,
    /// Its kind among the run times.
    pub(crate) kind: KindNo,
    /// Expected run time of a task.
    pub(crate) cost: cranberryhatch_types::Span,
}

/// A job in a shard.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) terms: Terms,
    pub(crate) phase: Phase,
    pub(crate) tasks: Vec<TaskState>,
    // Index of the first task that was never started; from there on, all tasks wait.
    first_unstarted: u32,
    // Earlier tasks that wait again.
    requeued: Vec<u32>,
    /// Tasks without result.
    pub(crate) unfinished: u32,
    /// Tasks in flight.
    pub(crate) in_flight: u32,
    /// Requests that wait; some may have ended.
    pub(crate) waiters: Vec<u64>,
    /// Whether no other instance can hold the job, also without a claim.
    pub(crate) exclusive: bool,
    /// Whether a task may have run although it waits again, because its lease has lapsed.
    pub(crate) lapsed: bool,
    /// Whether another holder claimed the key; its row is not this holder's to remove.
    pub(crate) adopted: bool,
}

impl Job {
    /// A job whose tasks all wait.
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

    /// Numbers the attempts of all tasks from a number on.
    pub(crate) fn number_from(&mut self, from: u32) {
        for task in &mut self.tasks {
            if let TaskState::Waiting { number, .. } = task {
                *number = from.max(*number);
            }
        }
    }

    /// Lets the tasks start, once the claim is granted.
    pub(crate) fn grant(&mut self) {
        let phase = std::mem::replace(&mut self.phase, Phase::Claiming(Claim::pending()));
        self.phase = match phase {
            Phase::Claiming(claim) => Phase::Running(claim.granted()),
            Phase::Running(claim) => Phase::Running(claim),
        };
    }

    /// Makes the tasks in flight or done start no more, and the others start in order.
    pub(crate) fn rebuild_queue(&mut self) {
        self.first_unstarted = u32::try_from(self.tasks.len()).unwrap_or(u32::MAX);
        let indexes = (0..self.first_unstarted).zip(&self.tasks).rev();
        let waiting = indexes.filter(|(_, task)| matches!(task, TaskState::Waiting { .. }));
        self.requeued = waiting.map(|(index, _)| index).collect();
    }

    /// Index of the next task that waits for a slot.
    pub(crate) fn peek_waiting(&self) -> Option<u32> {
        let first_unstarted =
            ((self.first_unstarted as usize) < self.tasks.len()).then_some(self.first_unstarted);
        self.requeued.last().copied().or(first_unstarted)
    }

    /// Takes the next task that waits for a slot.
    pub(crate) fn pop_waiting(&mut self) -> Option<u32> {
        if let Some(index) = self.requeued.pop() {
            return Some(index);
        }
        let index = self.peek_waiting()?;
        self.first_unstarted += 1;
        Some(index)
    }

    /// Makes a task wait for a slot again.
    pub(crate) fn requeue_task(&mut self, index: u32) {
        self.requeued.push(index);
    }

    /// Number of tasks that wait for a slot.
    pub(crate) fn waiting(&self) -> u32 {
        let first_unstarted =
            self.tasks.len().saturating_sub(self.first_unstarted as usize) + self.requeued.len();
        u32::try_from(first_unstarted).unwrap_or(u32::MAX)
    }

    /// Need of the next task that waits for a slot.
    pub(crate) fn next_need(&self) -> Option<Need> {
        self.peek_waiting().map(|index| self.spec.tasks[index as usize].need)
    }

    /// Tasks that are not in flight and have no result.
    pub(crate) const fn pending(&self) -> u64 {
        (self.unfinished - self.in_flight) as u64
    }

    /// Attempts of this job that are in flight.
    pub(crate) fn attempts_in_flight(&self) -> impl Iterator<Item = AttemptId> {
        self.tasks.iter().filter_map(|task| match task {
            TaskState::Sent(attempt) => Some(*attempt),
            TaskState::Waiting { .. } | TaskState::Done(_) => None,
        })
    }

    /// Whether any task ran.
    pub(crate) fn ran(&self) -> bool {
        self.tasks.iter().any(|task| matches!(task, TaskState::Done(_)))
    }

    /// Whether no task of it can have run, here or at another holder.
    pub(crate) fn is_unstarted(&self) -> bool {
        self.in_flight == 0 && !self.lapsed && !self.adopted && !self.ran()
    }

    /// Takes the results of all tasks in their order.
    pub(crate) fn results(&self) -> Vec<Payload> {
        let result = |task: &TaskState| match task {
            TaskState::Done(result) => Some(result.clone()),
            TaskState::Waiting { .. } | TaskState::Sent(_) => None,
        };
        self.tasks.iter().filter_map(result).collect()
    }
}
