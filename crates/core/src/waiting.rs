//! Requests for the answer to a job: waits, cancellations, and their ends.

use cranberryhatch_types::{JobKey, Time};

use crate::{
    Answer, Code, Digest, Dispatcher, JobNo, Outcome, Ticket,
    retention::Remembered,
    timers::Due,
    turn::Turn,
    waiters::{Target, Waiter},
};

impl Dispatcher {
    /// Takes a caller's question about a job.
    pub(crate) fn wait(&mut self, turn: &mut Turn, ticket: Ticket, key: &JobKey, until: Time) {
        let target = Target::Caller(ticket);
        if let Some(no) = self.jobs.find(key) {
            return self.attach(turn, no, target, until);
        }
        self.ask_about(turn, key, target, until, false);
    }

    /// Takes a caller's cancellation of a job.
    pub(crate) fn cancel(&mut self, turn: &mut Turn, ticket: Ticket, key: &JobKey) {
        let target = Target::Caller(ticket);
        if let Some(no) = self.jobs.find(key) {
            self.attach(turn, no, target, Time::NEVER);
            return self.give_up(turn, no, Code::Cancelled);
        }
        self.ask_about(turn, key, target, turn.now, true);
    }

    /// Answers about a job that is not in the table, or asks its holder.
    fn ask_about(
        &mut self,
        turn: &mut Turn,
        key: &JobKey,
        target: Target,
        until: Time,
        cancel: bool,
    ) {
        if let Some(answer) = self.known_end(key, None) {
            return turn.push(target.reply(answer));
        }
        if let Some(holder) = self.foreign(key) {
            return self.forward(turn, key.clone(), holder, None, vec![(target, until)], cancel);
        }
        let answer = Answer::new(key.clone(), Outcome::Unknown).code(Code::KeyUnknown);
        turn.push(target.reply(answer));
    }

    /// The answer to a job that ended here.
    pub(crate) fn known_end(&self, key: &JobKey, digest: Option<&Digest>) -> Option<Answer> {
        match self.retention.find(key, digest) {
            Some(Remembered::Answer(answer)) => return Some(answer),
            Some(Remembered::Reused) => return Some(Answer::reused(key.clone())),
            Some(Remembered::Forgotten) | None => {}
        }
        let claim = self.abandoned.find(key)?;
        Some(Answer::not_run(key.clone(), claim.code).retry_after(Self::RETRY_AFTER))
    }

    /// Adds a request that waits for the answer to a job that has not ended.
    pub(crate) fn attach(&mut self, turn: &mut Turn, no: JobNo, target: Target, until: Time) {
        let Some(job) = self.jobs.get_mut(no) else { return };
        if until <= turn.now {
            let answer = Answer::new(job.spec.key.clone(), Outcome::Pending);
            return turn.push(target.reply(answer));
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
            self.timers.set(until, Due::Waiter(waiter));
        }
    }

    /// Ends a wait whose time is over.
    pub(crate) fn wait_due(&mut self, turn: &mut Turn, waiter: u64) {
        let Some(waiter) = self.waiters.remove(waiter) else { return };
        let Some(job) = self.jobs.get(waiter.job) else { return };
        let answer = Answer::new(job.spec.key.clone(), Outcome::Pending);
        turn.push(waiter.target.reply(answer));
    }

    /// Forgets a request whose caller went away.
    pub(crate) fn abandoned_ticket(&mut self, ticket: Ticket) {
        let Some(number) = self.waiters.of_ticket(ticket) else { return };
        if let Some(waiter) = self.waiters.remove(number) {
            self.timers.clear(waiter.until, Due::Waiter(number));
        }
    }

    /// Takes the requests that wait for a job, to have them answered by another holder.
    pub(crate) fn take_waiters(&mut self, no: JobNo) -> Vec<(Target, Time)> {
        let Some(job) = self.jobs.get_mut(no) else { return Vec::new() };
        let numbers = std::mem::take(&mut job.waiters);
        let mut targets = Vec::new();
        for number in numbers {
            if let Some(waiter) = self.waiters.remove(number) {
                self.timers.clear(waiter.until, Due::Waiter(number));
                targets.push((waiter.target, waiter.until));
            }
        }
        targets
    }
}
