//! Starts of tasks, their responses, and status queries about attempts without a response.

use cranberryhatch_types::{Span, TeamId, Time, WorkerId};

use crate::{
    Answer, AttemptId, AttemptStatus, Blocked, Code, Command, Counter, Dispatcher, JobNo, NotRun,
    Outcome, Payload, Pick, Slot, SlotOutcome, Start, StartResponse,
    attempt::{Attempt, Location, Owner},
    context::Context,
    job::{Phase, TaskState},
    run_times::RunTimes,
    timers::Timer,
};

/// Maximum time to the next status query after a worker did not answer one.
const UNREACHABLE_QUERY_INTERVAL: Span = Span::from_ms(500);

impl Dispatcher {
    /// Starts waiting tasks while there are free slots.
    pub(crate) fn start_waiting(&mut self, ctx: &mut Context) {
        if !self.lease.may_send() {
            return;
        }
        while let Some(pick) = self.queue.pick() {
            let Some(job) = self.jobs.get(pick.job) else {
                ctx.check(false, "only unfinished jobs are queued");
                self.queue.remove(pick.lane, pick.job);
                continue;
            };
            if job.spec.deadline <= ctx.now {
                self.give_up(ctx, pick.job, Code::Deadline);
                continue;
            }
            let Some(need) = job.next_need() else {
                ctx.check(false, "a job in the queue has a waiting task");
                self.queue.remove(pick.lane, pick.job);
                continue;
            };
            match self.cluster.acquire(ctx.now, &job.spec.key.team, &need) {
                Ok(slot) => self.start(ctx, pick, slot),
                Err(Blocked::NoSlot) => self.queue.no_slot(need),
                Err(Blocked::Quota) => self.queue.over_quota(pick.lane),
            }
        }
    }

    fn start(&mut self, ctx: &mut Context, pick: Pick, slot: Slot) {
        let Some(job) = self.jobs.get_mut(pick.job) else { return };
        let taken = job.pop_waiting();
        let next = job.next_need();
        self.queue.started(pick, next);
        let waiting = taken.map(|index| (index, &job.tasks[index as usize]));
        let (Phase::Running(claim), Some((index, TaskState::Waiting { number, tries }))) =
            (&job.phase, waiting)
        else {
            ctx.check(false, "a start has a claim, and its task has no live attempt");
            let team = job.spec.key.team.clone();
            return self.cluster.release(ctx.now, &team, slot, SlotOutcome::Unknown);
        };
        let (number, tries) = (number + 1, tries + 1);
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let task = &job.spec.tasks[index as usize];
        let values = &job.terms.values;
        let interval = self.run_times.first_query(ctx.now, job.terms.kind, task.run);
        let live = Attempt {
            owner: Owner::Job(pick.job),
            index,
            number,
            tries,
            location: Location::Slot(slot),
            sent: ctx.now,
            lease: values.lease_task + values.lease_margin,
            next_query: ctx.now + interval,
            interval: (interval * 2).min(RunTimes::max_query_interval()),
            query_pending: false,
            was_queried: false,
            response_lost: false,
            started: false,
        };
        ctx.push(Command::Start(Start {
            attempt,
            name: claim.attempt(&job.spec.key, index, number),
            worker: self.cluster.worker(slot.worker).clone(),
            lease: values.lease_task,
            timeout: job.spec.deadline.since(ctx.now),
            payload: task.payload.clone(),
        }));
        ctx.count(Counter::TasksStarted);
        self.budget.started(values.retry_ratio);
        job.tasks[index as usize] = TaskState::Sent(attempt);
        self.jobs.mark_sent(pick.job);
        self.timers.set(live.next_query, Timer::StatusQuery(attempt));
        self.attempts.insert(attempt, live);
    }

    /// Handles the response to a start.
    pub(crate) fn handle_start_response(
        &mut self,
        ctx: &mut Context,
        attempt: AttemptId,
        response: StartResponse,
    ) {
        let Some(live) = self.attempts.get_mut(&attempt) else {
            return ctx.count(Counter::AnswersLate);
        };
        match response {
            StartResponse::Done(result) => {
                let run = ctx.now.since(live.sent);
                if let Owner::Job(no) = live.owner
                    && let Some(job) = self.jobs.get(no)
                {
                    self.run_times.observe(ctx.now, job.terms.kind, run);
                }
                self.handle_done(ctx, attempt, result);
            }
            StartResponse::Failed(detail) => self.handle_failed(ctx, attempt, &detail),
            StartResponse::NotRun(reason) => self.handle_refused(ctx, attempt, reason),
            StartResponse::Duplicate => {
                live.started = true;
                live.mark_response_lost();
                self.query(ctx, attempt);
            }
            StartResponse::Lost => {
                live.mark_response_lost();
                self.query(ctx, attempt);
            }
        }
    }

    /// Handles the response to a status query about an attempt.
    pub(crate) fn handle_attempt_status(
        &mut self,
        ctx: &mut Context,
        attempt: AttemptId,
        status: AttemptStatus,
    ) {
        let Some(live) = self.attempts.get_mut(&attempt) else { return };
        live.query_pending = false;
        match status {
            AttemptStatus::Done(result) => self.handle_done(ctx, attempt, result),
            AttemptStatus::Failed(detail) => self.handle_failed(ctx, attempt, &detail),
            AttemptStatus::Running => {
                live.started = true;
                let worker = self.worker_of(attempt);
                if let Some(worker) = worker {
                    self.contacts.mark_seen(ctx.now, &worker);
                }
                self.schedule_query(ctx.now, attempt, Time::NEVER);
            }
            // An endpoint that knew the attempt and no longer does has lost its state: the task may
            // have run.
            AttemptStatus::NeverStarted if live.started => self.handle_worker_lost(ctx, attempt),
            AttemptStatus::Forgotten => self.handle_worker_lost(ctx, attempt),
            AttemptStatus::NeverStarted => self.handle_refused(ctx, attempt, NotRun::Unreachable),
            AttemptStatus::Unreachable => self.handle_query_failure(ctx, attempt),
        }
    }

    /// Queries the status of an attempt that has had no response for too long.
    pub(crate) fn query_due(&mut self, ctx: &mut Context, attempt: AttemptId) {
        self.query(ctx, attempt);
    }

    /// Queries the status of all attempts on a worker that stopped answering.
    pub(crate) fn handle_endpoint_lost(&mut self, ctx: &mut Context, worker: &WorkerId) {
        if !self.contacts.mark_lost(worker) {
            return;
        }
        let attempts: Vec<AttemptId> = self.attempts.iter().map(|(attempt, _)| *attempt).collect();
        for attempt in attempts {
            if self.worker_of(attempt).as_ref() == Some(worker) {
                self.query(ctx, attempt);
            }
        }
    }

    /// Tracks an attempt that another holder started and returns its id.
    pub(crate) fn track_adopted(&mut self, ctx: &mut Context, attempt: Attempt) -> AttemptId {
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        self.timers.set(attempt.next_query, Timer::StatusQuery(id));
        self.attempts.insert(id, attempt);
        self.query(ctx, id);
        id
    }

    /// Returns the worker on which an attempt runs.
    pub(crate) fn worker_of(&self, attempt: AttemptId) -> Option<WorkerId> {
        Some(match &self.attempts.get(&attempt)?.location {
            Location::Slot(slot) => self.cluster.worker(slot.worker).clone(),
            Location::Adopted(worker) => worker.clone(),
        })
    }

    fn query(&mut self, ctx: &mut Context, attempt: AttemptId) {
        let Some(worker) = self.worker_of(attempt) else { return };
        let Some(live) = self.attempts.get_mut(&attempt) else { return };
        if live.query_pending {
            return;
        }
        let name = match &live.owner {
            Owner::Ended(name) => name.clone(),
            Owner::Job(no) => match self.jobs.get(*no).map(|job| (&job.phase, &job.spec.key)) {
                Some((Phase::Running(claim), key)) => claim.attempt(key, live.index, live.number),
                _ => return ctx.check(false, "an attempt belongs to a running job"),
            },
        };
        live.query_pending = true;
        live.was_queried = true;
        let sent = live.sent;
        self.timers.clear(live.next_query, Timer::StatusQuery(attempt));
        ctx.push(Command::QueryAttempt { attempt, name, worker, sent });
        ctx.count(Counter::TasksSettled);
    }

    fn schedule_query(&mut self, now: Time, attempt: AttemptId, latest: Time) {
        let Some(live) = self.attempts.get_mut(&attempt) else { return };
        let interval = live.next_interval(RunTimes::max_query_interval());
        live.next_query = (now + interval).min(latest);
        self.timers.set(live.next_query, Timer::StatusQuery(attempt));
    }

    /// Handles a status query that the worker did not answer: retries until the lease has expired.
    fn handle_query_failure(&mut self, ctx: &mut Context, attempt: AttemptId) {
        let Some(worker) = self.worker_of(attempt) else { return };
        let Some(live) = self.attempts.get_mut(&attempt) else { return };
        let lapse = live.sent.max(self.contacts.last_seen(&worker)) + live.lease;
        if lapse <= ctx.now {
            return self.handle_worker_lost(ctx, attempt);
        }
        live.interval = live.interval.min(UNREACHABLE_QUERY_INTERVAL);
        self.schedule_query(ctx.now, attempt, lapse);
    }

    /// Removes an attempt and releases its slot.
    fn finish_attempt(
        &mut self,
        ctx: &mut Context,
        attempt: AttemptId,
        outcome: SlotOutcome,
    ) -> Option<Attempt> {
        let live = self.attempts.remove(&attempt)?;
        self.timers.clear(live.next_query, Timer::StatusQuery(attempt));
        let team = match &live.owner {
            Owner::Job(no) => self.jobs.get(*no).map(|job| &job.spec.key.team),
            Owner::Ended(name) => Some(&name.job.team),
        };
        let (Location::Slot(slot), Some(team)) = (&live.location, team) else { return Some(live) };
        let team: TeamId = team.clone();
        self.cluster.release(ctx.now, &team, *slot, outcome);
        self.queue.slot_freed(&team);
        self.released = true;
        Some(live)
    }

    /// Returns the job of a removed attempt, after checking that it was the task's only live
    /// attempt.
    fn detach_attempt(
        &mut self,
        ctx: &mut Context,
        attempt: AttemptId,
        live: &Attempt,
    ) -> Option<JobNo> {
        let Owner::Job(no) = live.owner else { return None };
        let task = self.jobs.get(no).map(|job| &job.tasks[live.index as usize]);
        let own = matches!(task, Some(TaskState::Sent(sent)) if *sent == attempt);
        ctx.check(own, "at most one live attempt per task");
        own.then_some(no)
    }

    fn handle_done(&mut self, ctx: &mut Context, attempt: AttemptId, result: Payload) {
        let Some(live) = self.finish_attempt(ctx, attempt, SlotOutcome::Done) else { return };
        let Some(no) = self.detach_attempt(ctx, attempt, &live) else { return };
        let Some(job) = self.jobs.get_mut(no) else { return };
        job.tasks[live.index as usize] = TaskState::Done(result);
        job.in_flight -= 1;
        job.unfinished -= 1;
        if job.unfinished == 0 {
            self.complete(ctx, no);
        }
    }

    fn handle_failed(&mut self, ctx: &mut Context, attempt: AttemptId, detail: &str) {
        let ended = self.attempts.get(&attempt).is_some_and(|a| matches!(a.owner, Owner::Ended(_)));
        // The attempt of a job that ended was stopped; this is not a failure of its worker.
        let outcome = if ended { SlotOutcome::Unknown } else { SlotOutcome::Failed };
        let Some(live) = self.finish_attempt(ctx, attempt, outcome) else { return };
        let Some(no) = self.detach_attempt(ctx, attempt, &live) else { return };
        self.task_failed(ctx, no, live.index, detail);
    }

    /// Ends a job because one of its tasks ran and failed.
    pub(crate) fn task_failed(&mut self, ctx: &mut Context, no: JobNo, index: u32, detail: &str) {
        let Some(job) = self.jobs.get(no) else { return };
        let answer = Answer::new(job.spec.key.clone(), Outcome::Failed)
            .code(Code::TaskFailed)
            .detail(format!("task {index}: {detail}"));
        self.end(ctx, no, answer);
    }

    fn handle_refused(&mut self, ctx: &mut Context, attempt: AttemptId, reason: NotRun) {
        let outcome = match reason {
            NotRun::Busy => SlotOutcome::Busy,
            NotRun::Leaving => SlotOutcome::Leaving,
            NotRun::StartFailed | NotRun::Unreachable => SlotOutcome::Failed,
            NotRun::Fenced => SlotOutcome::Unknown,
        };
        let Some(live) = self.finish_attempt(ctx, attempt, outcome) else { return };
        ctx.count(Counter::StartsRefused);
        let Some(no) = self.detach_attempt(ctx, attempt, &live) else { return };
        self.put_back(no, &live, reason);
        match reason {
            // An endpoint that has promised never to start this attempt refuses it with the same
            // reason. If the holder really is fenced, the next attempt is refused as well.
            NotRun::Fenced if !live.was_queried => self.end_superseded(ctx, no, Code::HolderLost),
            reason => self.retry(ctx, no, &live, reason),
        }
    }

    /// Makes a task wait again whose attempt did not run or can no longer run.
    fn put_back(&mut self, no: JobNo, live: &Attempt, reason: NotRun) {
        let Some(job) = self.jobs.get_mut(no) else { return };
        // A busy or leaving endpoint doesn't show that the task cannot be started. These attempts
        // are limited by the pause between retries and by the retry budget.
        let counts = !matches!(reason, NotRun::Busy | NotRun::Leaving);
        let tries = if counts { live.tries } else { live.tries - 1 };
        job.tasks[live.index as usize] = TaskState::Waiting { number: live.number, tries };
        self.jobs.mark_returned(no);
    }

    /// Handles an attempt that may have run on a worker that stays unreachable past the lease.
    fn handle_worker_lost(&mut self, ctx: &mut Context, attempt: AttemptId) {
        let Some(live) = self.finish_attempt(ctx, attempt, SlotOutcome::Unknown) else { return };
        let Some(no) = self.detach_attempt(ctx, attempt, &live) else { return };
        let Some(job) = self.jobs.get(no) else { return };
        if job.spec.idempotent && job.terms.values.retry_lapsed {
            self.put_back(no, &live, NotRun::Unreachable);
            if let Some(job) = self.jobs.get_mut(no) {
                job.lapsed = true;
            }
            return self.retry(ctx, no, &live, NotRun::Unreachable);
        }
        let answer = Answer::new(job.spec.key.clone(), Outcome::Unknown)
            .code(Code::WorkerLost)
            .detail(format!("task {} may have run", live.index));
        self.put_back(no, &live, NotRun::Unreachable);
        self.end(ctx, no, answer);
    }
}
