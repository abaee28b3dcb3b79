//! Tasks whose workers were lost.

use cranberryhatch_schema::fleet::Losses;
use cranberryhatch_types::Time;

use super::Front;
use crate::{Outcome, Output, TaskKey, Verdict, WorkerList, log_event::LogEvent};

impl Front {
    /// Resolves the losses of workers with the current list, gives up the jobs of which a task has
    /// crashed too many workers, and requests capacity for tasks that waited for this.
    pub fn review_losses(&mut self, list: &WorkerList, now: Time, out: &mut Output) {
        let mut names = std::mem::take(&mut self.requeued);
        names.extend(self.losses.jobs().filter(|job| self.jobs.contains(*job)).cloned());
        for (task, worker, crashes) in self.losses.review(list.crashes(), now) {
            if self.jobs.contains(&task.job) {
                out.log(LogEvent::TaskCrashed { task, worker, crashes });
            }
        }
        for name in names {
            self.apply_verdicts(&name, now, out);
        }
    }

    /// Adds losses that the scheduler knows, and prepares their tasks for another request.
    ///
    /// The request follows with the next review, so that two instances that disagree on a loss do
    /// not exchange messages in a loop.
    pub fn merge_losses(&mut self, losses: &Losses, now: Time) {
        self.losses.merge(&losses.runs, now);
        for run in &losses.runs {
            let key = TaskKey { job: run.job.clone(), step: run.step, task: run.task };
            self.requeue(&key);
            if !self.requeued.contains(&run.job) {
                self.requeued.push(run.job.clone());
            }
        }
    }

    fn apply_verdicts(&mut self, name: &str, now: Time, out: &mut Output) {
        let Some(active) = self.jobs.get(name).filter(|active| active.closing_since.is_none())
        else {
            return;
        };
        let is_poisoned = |(step, task): &(u32, u32)| {
            !active.is_done(*step, *task)
                && self.losses.verdict(name, *step, *task, now) == Verdict::Poisoned
        };
        let poisoned = self.losses.tasks_of(name).into_iter().find(is_poisoned);
        let Some((step, task)) = poisoned else { return self.request_capacity(name, now, out) };
        out.log(LogEvent::TaskPoisoned { task: TaskKey { job: name.to_owned(), step, task } });
        self.close(name, Some(Outcome::Failed), now, out);
    }
}
