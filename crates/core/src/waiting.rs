//! Requests of callers that wait for the answer to a job, and cancellations.

use cranberryhatch_types::{JobKey, Time};

use crate::{
    Answer, Code, Digest, Dispatcher, JobNo, Outcome, Ticket,
    context::Context,
    retention::Remembered,
    timers::Timer,
    waiters::{Target, Waiter},
};

impl Dispatcher {
    /// Handles a caller's request for the answer to a job.
    pub(crate) fn wait(&mut self, ctx: &mut Context, ticket: Ticket, key: &JobKey, until: Time) {
        let target = Target::Caller(ticket);
        if let Some(no) = self.jobs.find(key) {
            return self.attach(ctx, no, target, until);
        }
        self.answer_or_forward(ctx, key, target, until, false);
    }

    /// Handles a caller's cancellation of a job.
    pub(crate) fn cancel(&mut self, ctx: &mut Context, ticket: Ticket, key: &JobKey) {
        let target = Target::Caller(ticket);
        if let Some(no) = self.jobs.find(key) {
            self.attach(ctx, no, target, Time::NEVER);
            return self.give_up(ctx, no, Code::Cancelled);
        }
        self.answer_or_forward(ctx, key, target, ctx.now, true);
    }

    /// Answers a request about a job that is not in the table, or forwards it to the job's holder.
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

    /// Returns the answer to a job that ended at this holder.
    pub(crate) fn known_answer(&self, key: &JobKey, digest: Option<&Digest>) -> Option<Answer> {
        match self.retention.find(key, digest) {
            Some(Remembered::Answer(answer)) => return Some(answer),
            Some(Remembered::Reused) => return Some(Answer::reused(key.clone())),
            Some(Remembered::Forgotten) | None => {}
        }
        let claim = self.abandoned.find(key)?;
        Some(Answer::not_run(key.clone(), claim.code).retry_after(Self::RETRY_AFTER))
    }

    /// Registers a request that waits for the answer to an unfinished job.
    pub(crate) fn attach(&mut self, ctx: &mut Context, no: JobNo, target: Target, until: Time) {
        let Some(job) = self.jobs.get_mut(no) else { return };
        if until <= ctx.now {
            let answer = Answer::new(job.spec.key.clone(), Outcome::Pending);
            return ctx.push(target.reply(answer));
        }
        let waiters = &mut self.waiters;
        if job.waiters.len() == job.waiters.capacity() {
            // Requests that ended leave their numbers behind; without this cleanup they would
            // accumulate in a job that is polled often.
            job.waiters.retain(|waiter| waiters.has(*waiter));
        }
        let waiter = waiters.add(Waiter { target, until, job: no });
        job.waiters.push(waiter);
        if until < Time::NEVER {
            self.timers.set(until, Timer::Waiter(waiter));
        }
    }

    /// Answers a request whose wait has timed out.
    pub(crate) fn wait_timed_out(&mut self, ctx: &mut Context, waiter: u64) {
        let Some(waiter) = self.waiters.remove(waiter) else { return };
        let Some(job) = self.jobs.get(waiter.job) else { return };
        let answer = Answer::new(job.spec.key.clone(), Outcome::Pending);
        ctx.push(waiter.target.reply(answer));
    }

    /// Drops the request of a caller that disconnected.
    pub(crate) fn drop_waiter(&mut self, ticket: Ticket) {
        let Some(number) = self.waiters.of_ticket(ticket) else { return };
        if let Some(waiter) = self.waiters.remove(number) {
            self.timers.clear(waiter.until, Timer::Waiter(number));
        }
    }

    /// Removes and returns the requests that wait for a job, so that another holder can answer
    /// them.
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
