//! Requests for the answer to a job: waits, cancellations, and their ends.

use cranberryhatch_types::{JobKey, Time};

use crate::{
    Answer, Code, Digest, Dispatcher, JobNo, Outcome, Ticket,
    context::Context,
    retention::Remembered,
    timers::Timer,
    waiters::{Target, Waiter},
};

impl Dispatcher {
    /// Takes a caller's question about a job.
    pub(crate) fn wait(&mut self, ctx: &mut Context, ticket: Ticket, key: &JobKey, until: Time) {
        let target = Target::Caller(ticket);
        if let Some(no) = self.jobs.find(key) {
            return self.attach(ctx, no, target, until);
        }
        self.answer_or_forward(ctx, key, target, until, false);
    }

    /// Takes a caller's cancellation of a job.
    pub(crate) fn cancel(&mut self, ctx: &mut Context, ticket: Ticket, key: &JobKey) {
        let target = Target::Caller(ticket);
        if let Some(no) = self.jobs.find(key) {
            self.attach(ctx, no, target, Time::NEVER);
            return self.give_up(ctx, no, Code::Cancelled);
        }
        self.answer_or_forward(ctx, key, target, ctx.now, true);
    }

    /// Answers about a job that is not in the table, or asks its holder.
    fn answer_or_forward(
        &mut self,
        ctx: &mut Context,
        key: &JobKey,
        target: Target,
        until: Time,
        cancel: bool,
    ) {
        if let Some(answer) = self.known_answer(key, None) {
            return ctx.push(target.reply(answer));
        }
        if let Some(holder) = self.foreign_holder(key) {
            return self.forward(ctx, key.clone(), holder, None, vec![(target, until)], cancel);
        }
        let answer = Answer::new(key.clone(), Outcome::Unknown).code(Code::KeyUnknown);
        ctx.push(target.reply(answer));
    }

    /// The answer to a job that ended here.
    pub(crate) fn known_answer(&self, key: &JobKey, digest: Option<&Digest>) -> Option<Answer> {
        match self.retention.find(key, digest) {
            Some(Remembered::Answer(answer)) => return Some(answer),
            Some(Remembered::Reused) => return Some(Answer::reused(key.clone())),
            Some(Remembered::Forgotten) | None => {}
        }
        let claim = self.abandoned.find(key)?;
        Some(Answer::not_run(key.clone(), claim.code).retry_after(Self::RETRY_AFTER))
    }

    /// Adds a request that waits for the answer to a job that has not ended.
    pub(crate) fn attach(&mut self, ctx: &mut Context, no: JobNo, target: Target, until: Time) {
        let Some(job) = self.jobs.get_mut(no) else { return };
        if until <= ctx.now {
            let answer = Answer::new(job.spec.key.clone(), Outcome::Pending);
            return ctx.push(target.reply(answer));
        }
        let waiters = &mut self.waiters;
        if job.waiters.len() == job.waiters.capacity() {
            // Requests that ended leave their numbers; a job that is asked about often must not
            // collect them without bound.
            job.waiters.retain(|waiter| waiters.has(*waiter));
        }
        let waiter = waiters.add(Waiter { target, until, job: no });
        job.waiters.push(waiter);
        if until < Time::NEVER {
            self.timers.set(until, Timer::Waiter(waiter));
        }
    }

    /// Ends a wait whose time is over.
    pub(crate) fn wait_timed_out(&mut self, ctx: &mut Context, waiter: u64) {
        let Some(waiter) = self.waiters.remove(waiter) else { return };
        let Some(job) = self.jobs.get(waiter.job) else { return };
        let answer = Answer::new(job.spec.key.clone(), Outcome::Pending);
        ctx.push(waiter.target.reply(answer));
    }

    /// Forgets a request whose caller went away.
    pub(crate) fn drop_waiter(&mut self, ticket: Ticket) {
        let Some(number) = self.waiters.of_ticket(ticket) else { return };
        if let Some(waiter) = self.waiters.remove(number) {
            self.timers.clear(waiter.until, Timer::Waiter(number));
        }
    }

    /// Takes the requests that wait for a job, to have them answered by another holder.
    pub(crate) fn take_waiters(&mut self, no: JobNo) -> Vec<(Target, Time)> {
        let Some(job) = self.jobs.get_mut(no) else { return Vec::new() };
        let numbers = std::mem::take(&mut job.waiters);
        let mut targets = Vec::new();
        for number in numbers {
            if let Some(waiter) = self.waiters.remove(number) {
                self.timers.clear(waiter.until, Timer::Waiter(number));
                targets.push((waiter.target, waiter.until));
            }
        }
        targets
    }
}
