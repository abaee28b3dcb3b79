//! Retries of tasks that did not start: pause, budget and maximum number.

use cranberryhatch_types::{Span, Time};

use crate::{
    Code, Dispatcher, JobNo, NotRun, QueueEntry,
    attempt::Attempt,
    context::Context,
    job::{Job, TaskState},
    timers::Timer,
};

/// Pause after the first busy response of an endpoint; a typical task frees its slot by then.
const RETRY_PAUSE: Span = Span::from_ms(10);
/// Maximum pause between two attempts at a task.
const MAX_RETRY_PAUSE: Span = Span::from_ms(320);

impl Dispatcher {
    /// Schedules the next attempt at a refused task, or gives up the job.
    pub(crate) fn retry(&mut self, ctx: &mut Context, no: JobNo, live: &Attempt, reason: NotRun) {
        let Some(job) = self.jobs.get(no) else { return };
        let values = &job.terms.values;
        let TaskState::Waiting { tries, .. } = job.tasks[live.index as usize] else { return };
        if tries >= values.retry_attempts.get() || values.retry_ratio.thousandths() == 0 {
            return self.give_up(ctx, no, Code::RetriesExhausted);
        }
        let at = ctx.now + pause(reason, live.number);
        if at > ctx.now {
            self.timers.set(at, Timer::Retry(no, live.index));
        } else {
            self.retry_due(ctx.now, no, live.index);
        }
    }

    /// Queues a task whose pause is over, as soon as the retry budget allows it.
    pub(crate) fn retry_due(&mut self, now: Time, no: JobNo, index: u32) {
        if self.jobs.get(no).is_none() {
            return;
        }
        self.awaiting_budget.push_back((no, index));
        self.spend_budget(now);
    }

    /// Queues the tasks whose retries the budget allows.
    pub(crate) fn spend_budget(&mut self, now: Time) {
        while let Some((no, index)) = self.awaiting_budget.front().copied() {
            if self.jobs.get(no).is_some() {
                if !self.budget.take(now) {
                    return;
                }
                self.requeue(no, index);
            }
            self.awaiting_budget.pop_front();
        }
    }

    fn requeue(&mut self, no: JobNo, index: u32) {
        let Some(job) = self.jobs.get_mut(no) else { return };
        job.requeue_task(index);
        let entry = Self::entry(no, job, 1);
        let lane = job.terms.lane;
        if let Some(entry) = entry {
            self.queue.push(lane, entry);
        }
    }

    /// Queues all waiting tasks of a job.
    pub(crate) fn queue_all(&mut self, no: JobNo) {
        let Some(job) = self.jobs.get(no) else { return };
        if let Some(entry) = Self::entry(no, job, job.waiting()) {
            self.queue.push(job.terms.lane, entry);
        }
    }

    fn entry(no: JobNo, job: &Job, tasks: u32) -> Option<QueueEntry> {
        Some(QueueEntry { job: no, need: job.next_need()?, run: job.terms.cost, tasks })
    }
}

/// Returns the pause before the next attempt at a task. It doubles with each attempt, so that a
/// shard with an outdated view of free slots does not flood endpoints with starts.
fn pause(reason: NotRun, number: u32) -> Span {
    match (reason, number) {
        // The next attempt goes to another worker.
        (NotRun::Leaving, _) | (NotRun::StartFailed | NotRun::Unreachable, 1) => Span::ZERO,
        _ => (RETRY_PAUSE * (1 << number.saturating_sub(1).min(8))).min(MAX_RETRY_PAUSE),
    }
}
