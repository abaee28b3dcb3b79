//! Adoption of jobs of lost holders.

use std::sync::Arc;

use cranberryhatch_schema::Values;
use cranberryhatch_types::Time;

use crate::{
    Adoption, Answer, AttemptStatus, Code, Command, Counter, Dispatcher, FencedTask, JobNo,
    JobSpec, Outcome,
    attempt::{Attempt, Location, Owner},
    claim::Claim,
    context::Context,
    job::{Job, Phase, TaskState},
    retention::Remembered,
    timers::Timer,
    waiters::Target,
};

/// Gap between the attempt numbers of two holders of a job. Endpoints refuse attempts whose name
/// they know, and the former holder may have used numbers that no endpoint reported.
const ATTEMPT_STRIDE: u32 = 1 << 16;

impl Dispatcher {
    /// Takes over an unfinished job of a fenced holder.
    pub(crate) fn adopt(&mut self, ctx: &mut Context, adoption: &Adoption) {
        let spec = &adoption.job;
        if let Some(Remembered::Answer(answer)) = self.retention.find(&spec.key, None) {
            // The former holder ended the job and was lost before it could record the answer.
            return ctx.push(Command::Record(Arc::clone(spec), answer));
        }
        let Some(waiting) = self.take_resubmission(ctx, spec) else { return };
        // An earlier claim of this holder that was given up is no longer in the table.
        self.abandoned.remove(&spec.key);
        let values = self.settings.as_ref().map_or_else(
            || Arc::new(Values::default()),
            |settings| settings.of(&spec.key.team, &spec.kind),
        );
        let terms = self.terms(spec, values);
        ctx.count(Counter::JobsAdopted);
        let mut job = Job::new(Arc::clone(spec), terms, Phase::Running(Claim::adopted()));
        let highest = adoption.tasks.iter().map(|task| task.name.attempt).max().unwrap_or(0);
        job.adopted = true;
        job.number_after((highest / ATTEMPT_STRIDE + 1).saturating_mul(ATTEMPT_STRIDE));
        let no = self.jobs.insert(job);
        self.timers.set(spec.deadline, Timer::Deadline(no));
        for (target, until) in waiting {
            self.attach(ctx, no, target, until);
        }
        let decisive_statuses = decisive_statuses(adoption);
        for decisive in decisive_statuses.iter().flatten() {
            self.adopt_task(ctx, no, decisive);
        }
        let failed = decisive_statuses.iter().flatten().find_map(|task| match &task.state {
            AttemptStatus::Failed(detail) => Some((task.name.index, detail)),
            _ => None,
        });
        if let Some((index, detail)) = failed {
            return self.task_failed(ctx, no, index, detail);
        }
        let any_started = decisive_statuses
            .iter()
            .flatten()
            .any(|task| task.state != AttemptStatus::NeverStarted);
        self.resume_rest(ctx, no, adoption.all_answered, any_started);
    }

    /// Returns the requests that wait for a resubmission whose claim is pending; `None` if this
    /// shard already runs the job.
    fn take_resubmission(
        &mut self,
        ctx: &mut Context,
        spec: &JobSpec,
    ) -> Option<Vec<(Target, Time)>> {
        let Some(no) = self.jobs.find(&spec.key) else { return Some(Vec::new()) };
        let job = self.jobs.get(no)?;
        if matches!(job.phase, Phase::Running(_)) {
            return None;
        }
        let same = job.spec.digest == spec.digest;
        let waiting = if same { self.take_waiters(no) } else { Vec::new() };
        self.dismiss(ctx, no, &Answer::reused(spec.key.clone()));
        Some(waiting)
    }

    /// Starts the tasks that no endpoint knows, or ends the job if they may have run.
    ///
    /// A job none of whose tasks was started ends as not run. This is certain, and the former
    /// holder may already have answered so before it could remove the claim: after a lost response
    /// of the platform, a cancellation or a missed deadline.
    fn resume_rest(&mut self, ctx: &mut Context, no: JobNo, all_answered: bool, any_started: bool) {
        let Some(job) = self.jobs.get_mut(no) else { return };
        job.rebuild_queue();
        if job.unfinished == 0 {
            return self.complete(ctx, no);
        }
        if job.waiting() > 0 && !all_answered {
            let answer = Answer::new(job.spec.key.clone(), Outcome::Unknown)
                .code(Code::HolderLost)
                .detail("the instance that held the job was lost, and some task may have run");
            return self.end(ctx, no, answer);
        }
        if !any_started {
            let answer = Answer::not_run(job.spec.key.clone(), Code::HolderLost)
                .detail("the instance that held the job was lost before any task started");
            return self.end(ctx, no, answer);
        }
        self.queue_all(no);
    }

    fn adopt_task(&mut self, ctx: &mut Context, no: JobNo, task: &FencedTask) {
        let Some(job) = self.jobs.get_mut(no) else { return };
        let index = task.name.index;
        let Some(state) = job.tasks.get_mut(index as usize) else { return };
        match &task.state {
            AttemptStatus::Done(result) => {
                *state = TaskState::Done(result.clone());
                job.unfinished -= 1;
                self.jobs.finished_pending();
            }
            AttemptStatus::Running | AttemptStatus::Forgotten | AttemptStatus::Unreachable => {
                let values = &job.terms.values;
                let mut attempt = Attempt {
                    owner: Owner::Job(no),
                    index,
                    number: task.name.attempt,
                    tries: 1,
                    location: Location::Adopted(task.worker.clone()),
                    sent: ctx.now,
                    lease: values.lease_task + values.lease_margin,
                    next_query: ctx.now,
                    interval: cranberryhatch_types::Span::ZERO,
                    query_pending: false,
                    was_queried: false,
                    response_lost: false,
                    started: task.state == AttemptStatus::Running,
                };
                attempt.mark_response_lost();
                let attempt = self.track_adopted(ctx, attempt);
                if let Some(job) = self.jobs.get_mut(no) {
                    job.tasks[index as usize] = TaskState::Sent(attempt);
                }
                self.jobs.mark_sent(no);
            }
            AttemptStatus::Failed(_) | AttemptStatus::NeverStarted => {}
        }
    }
}

/// Returns the decisive status of each task: a result takes precedence over a failure, and a
/// failure over an attempt that has not ended or whose end is unknown.
fn decisive_statuses(adoption: &Adoption) -> Vec<Option<&FencedTask>> {
    let mut decisive_statuses: Vec<Option<&FencedTask>> = vec![None; adoption.job.tasks.len()];
    for task in &adoption.tasks {
        let Some(decisive) = decisive_statuses.get_mut(task.name.index as usize) else { continue };
        if decisive.is_none_or(|other| rank(&other.state) < rank(&task.state)) {
            *decisive = Some(task);
        }
    }
    decisive_statuses
}

const fn rank(state: &AttemptStatus) -> u8 {
    match state {
        AttemptStatus::Done(_) => 4,
        AttemptStatus::Failed(_) => 3,
        AttemptStatus::Running => 2,
        AttemptStatus::Forgotten | AttemptStatus::Unreachable => 1,
        AttemptStatus::NeverStarted => 0,
    }
}
