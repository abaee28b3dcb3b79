//! Ends of jobs: completion, cancellation, missed deadlines, and the resulting records and stops.

use std::sync::Arc;

use cranberryhatch_types::{Holder, JobKey, KeyName, TaskName, TeamId, WorkerId};

use crate::{
    Answer, Code, Command, Counter, Dispatcher, JobNo, Outcome,
    abandoned::{AbandonedClaim, Write},
    attempt::Owner,
    context::Context,
    job::{Job, Phase, TaskState},
    stranded,
    timers::Timer,
};

/// Attempts to stop, with their workers.
type Stops = Vec<(WorkerId, TaskName)>;

impl Dispatcher {
    /// Ends a job all of whose tasks ran.
    pub(crate) fn complete(&mut self, ctx: &mut Context, no: JobNo) {
        let Some(job) = self.jobs.get(no) else { return };
        let mut answer = Answer::new(job.spec.key.clone(), Outcome::Complete);
        answer.results = job.results();
        self.end(ctx, no, answer);
    }

    /// Ends a job without a complete answer and stops its running tasks.
    pub(crate) fn give_up(&mut self, ctx: &mut Context, no: JobNo, code: Code) {
        let mut stops = Stops::new();
        self.give_up_into(ctx, no, code, &mut stops);
        stop(ctx, stops);
    }

    /// Cancels all jobs of a team with a label.
    pub(crate) fn cancel_label(&mut self, ctx: &mut Context, team: &TeamId, label: &str) {
        let matches =
            |job: &Job| job.spec.key.team == *team && job.spec.label.as_deref() == Some(label);
        let found: Vec<_> =
            self.jobs.iter().filter(|(_, job)| matches(job)).map(|(no, _)| no).collect();
        let mut stops = Stops::new();
        for no in found {
            self.give_up_into(ctx, no, Code::Cancelled, &mut stops);
        }
        stop(ctx, stops);
    }

    /// Ends a job with an answer and stops its running tasks.
    pub(crate) fn end(&mut self, ctx: &mut Context, no: JobNo, answer: Answer) {
        let mut stops = Stops::new();
        self.end_into(ctx, no, answer, &mut stops);
        stop(ctx, stops);
    }

    /// Ends a job that another holder has taken over; this holder must no longer write its row.
    ///
    /// Its tasks are not stopped: the successor has adopted those that are running.
    pub(crate) fn end_superseded(&mut self, ctx: &mut Context, no: JobNo, code: Code) {
        self.end_superseded_into(ctx, no, code, &mut Stops::new());
    }

    /// Ends a job that a successor may have started, and closes its row unless that belongs to
    /// another holder now.
    pub(crate) fn end_uncertain(&mut self, ctx: &mut Context, no: JobNo, code: Code) {
        let mut stops = Stops::new();
        self.end_uncertain_into(ctx, no, code, &mut stops);
        stop(ctx, stops);
    }

    fn end_uncertain_into(&mut self, ctx: &mut Context, no: JobNo, code: Code, stops: &mut Stops) {
        let Some(job) = self.jobs.get(no) else { return };
        let (spec, claiming) = (Arc::clone(&job.spec), matches!(job.phase, Phase::Claiming(_)));
        self.end_superseded_into(ctx, no, code, stops);
        if claiming {
            return ctx.push(Command::Release(spec.key.clone()));
        }
        let answer = Answer::new(spec.key.clone(), Outcome::Unknown).code(code);
        ctx.push(Command::Record(spec, answer));
    }

    fn end_superseded_into(&mut self, ctx: &mut Context, no: JobNo, code: Code, stops: &mut Stops) {
        let Some(job) = self.jobs.get(no) else { return };
        let answer = Answer::new(job.spec.key.clone(), Outcome::Unknown)
            .code(code)
            .retry_after(Self::RETRY_AFTER)
            .detail("another instance may have taken over the jobs of this one");
        if let Some(job) = self.close(ctx, no, &answer, stops) {
            self.remember(ctx, &job, answer);
        }
    }

    /// Ends all jobs because this holder's row was taken over.
    pub(crate) fn end_all_superseded(&mut self, ctx: &mut Context) {
        let all: Vec<_> = self.jobs.iter().map(|(no, _)| no).collect();
        for no in all {
            self.end_superseded(ctx, no, Code::HolderLost);
        }
    }

    /// Removes a job without recording its end, and answers the waiting requests.
    pub(crate) fn dismiss(&mut self, ctx: &mut Context, no: JobNo, answer: &Answer) {
        let mut stops = Stops::new();
        self.close(ctx, no, answer, &mut stops);
        ctx.check(stops.is_empty(), "no start without a claim");
    }

    /// Returns the holder of a key that was issued by another instance or by an earlier incarnation
    /// of this one.
    pub(crate) fn foreign_holder(&self, key: &JobKey) -> Option<Holder> {
        match &key.name {
            KeyName::Issued { holder, .. } if *holder != self.me.holder => Some(holder.clone()),
            KeyName::Issued { .. } | KeyName::Own { .. } => None,
        }
    }

    fn give_up_into(&mut self, ctx: &mut Context, no: JobNo, code: Code, stops: &mut Stops) {
        let Some(job) = self.jobs.get(no) else { return };
        let outcome = match (job.in_flight > 0 || job.lapsed, job.ran()) {
            (true, _) => Outcome::Unknown,
            (false, true) => Outcome::Failed,
            (false, false) => Outcome::NotRun,
        };
        // A successor may have started tasks that this holder did not start.
        if outcome == Outcome::NotRun && !self.lease.is_exclusive(ctx.now) {
            return self.end_uncertain_into(ctx, no, code, stops);
        }
        if outcome == Outcome::NotRun && !job.adopted {
            let exclusive = job.exclusive || matches!(job.phase, Phase::Running(_));
            let answer = if code == Code::ZoneDrained {
                ctx.count(Counter::JobsRefusedDrained);
                stranded::refusal(job.spec.key.clone(), exclusive)
            } else {
                Answer::unstarted(job.spec.key.clone(), code, exclusive)
            };
            return self.withdraw(ctx, no, &answer, exclusive, stops);
        }
        let answer = Answer::new(job.spec.key.clone(), outcome).code(code);
        self.end_into(ctx, no, answer, stops);
    }

    fn end_into(&mut self, ctx: &mut Context, no: JobNo, answer: Answer, stops: &mut Stops) {
        let adopted = self.jobs.get(no).is_some_and(|job| job.adopted);
        if answer.outcome == Outcome::NotRun && !adopted {
            return self.withdraw(ctx, no, &answer, true, stops);
        }
        let Some(job) = self.close(ctx, no, &answer, stops) else { return };
        ctx.push(Command::Record(Arc::clone(&job.spec), answer.clone()));
        self.remember(ctx, &job, answer);
    }

    /// Ends a job of which this holder started no task, and has its claim removed.
    fn withdraw(
        &mut self,
        ctx: &mut Context,
        no: JobNo,
        answer: &Answer,
        exclusive: bool,
        stops: &mut Stops,
    ) {
        let Some(job) = self.close(ctx, no, answer, stops) else { return };
        let key = &job.spec.key;
        let code = answer.code.unwrap_or(Code::Cancelled);
        let write = match &job.phase {
            Phase::Claiming(claim) => Write::Outstanding(claim.number()),
            Phase::Running(_) => Write::Lost,
        };
        if write == Write::Lost {
            ctx.push(Command::Release(key.clone()));
        }
        let numbers = job.tasks.iter().map(|task| match task {
            TaskState::Waiting { number, .. } => *number,
            TaskState::Sent(_) | TaskState::Done(_) => 0,
        });
        let number = numbers.max().unwrap_or(0);
        self.abandoned.add(key, AbandonedClaim { code, exclusive, write, number });
    }

    /// Removes a job, answers the waiting requests and collects the attempts to stop.
    fn close(
        &mut self,
        ctx: &mut Context,
        no: JobNo,
        answer: &Answer,
        stops: &mut Stops,
    ) -> Option<Job> {
        let mut job = self.jobs.remove(no)?;
        ctx.check(answer.is_consistent(job.spec.tasks.len()), "an answer has all results or none");
        self.timers.clear(job.spec.deadline, Timer::Deadline(no));
        if job.waiting() > 0 {
            self.queue.remove(job.terms.lane, no);
        }
        for number in std::mem::take(&mut job.waiters) {
            if let Some(waiter) = self.waiters.remove(number) {
                self.timers.clear(waiter.until, Timer::Waiter(number));
                ctx.push(waiter.target.reply(answer.clone()));
            }
        }
        let live: Vec<_> = job.attempts_in_flight().collect();
        for attempt in live {
            let Some(worker) = self.worker_of(attempt) else { continue };
            let Some(live) = self.attempts.get_mut(&attempt) else { continue };
            let name =
                TaskName { job: job.spec.key.clone(), index: live.index, attempt: live.number };
            live.owner = Owner::Ended(name.clone());
            stops.push((worker, name));
        }
        ctx.count(match answer.outcome {
            Outcome::Complete => Counter::JobsComplete,
            Outcome::NotRun => Counter::JobsRefused,
            Outcome::Unknown => Counter::JobsUnknown,
            Outcome::Failed | Outcome::Pending => Counter::JobsFailed,
        });
        Some(job)
    }

    fn remember(&mut self, ctx: &Context, job: &Job, answer: Answer) {
        let memory = self.local().keys_memory.get() / u64::from(self.me.shards.max(1));
        self.retention.keep(
            ctx.now,
            &job.spec.digest,
            answer,
            job.terms.values.keys_answers,
            cranberryhatch_types::Bytes::new(memory),
        );
    }
}

/// Stops attempts with one command per worker.
fn stop(ctx: &mut Context, mut stops: Stops) {
    stops.sort_by(|one, other| one.0.cmp(&other.0));
    for group in stops.chunk_by(|one, other| one.0 == other.0) {
        let names = group.iter().map(|(_, name)| name.clone()).collect();
        ctx.push(Command::StopTasks { worker: group[0].0.clone(), names });
    }
}
