//! Starts of tasks, their answers, and questions about attempts without answer.

use cranberryhatch_types::{Span, TeamId, Time, WorkerId};

use crate::{
    Answer, AttemptId, AttemptStatus, Blocked, Code, Command, Counter, Dispatcher, JobNo, NotRun,
    Outcome, Payload, Pick, Slot, SlotOutcome, Start, StartResponse,
    attempt::{Attempt, Owner, Place},
    job::{Phase, TaskState},
    run_times::RunTimes,
    timers::Due,
    turn::Turn,
};

/// Shortest time to the next question after a worker did not answer one.
const UNREACHABLE_CHECK: Span = Span::from_ms(500);

impl Dispatcher {
    /// Starts waiting tasks as long as slots are to be had.
    pub(crate) fn pump(&mut self, turn: &mut Turn) {
        if !self.lease.may_send() {
            return;
        }
        while let Some(pick) = self.queue.pick() {
            let Some(job) = self.jobs.get(pick.job) else {
                turn.check(false, "only jobs that have not ended wait");
                self.queue.remove(pick.lane, pick.job);
                continue;
            };
            if job.spec.deadline <= turn.now {
                self.give_up(turn, pick.job, Code::Deadline);
                continue;
            }
            let Some(need) = job.next_need() else {
                turn.check(false, "a job in the queue has a waiting task");
                self.queue.remove(pick.lane, pick.job);
                continue;
            };
            match self.cluster.acquire(turn.now, &job.spec.key.team, &need) {
                Ok(slot) => self.start(turn, pick, slot),
                Err(Blocked::NoSlot) => self.queue.no_slot(need),
                Err(Blocked::Quota) => self.queue.over_quota(pick.lane),
            }
        }
    }

    fn start(&mut self, turn: &mut Turn, pick: Pick, slot: Slot) {
        let Some(job) = self.jobs.get_mut(pick.job) else { return };
        let taken = job.take();
        let next = job.next_need();
        self.queue.started(pick, next);
        let waiting = taken.map(|index| (index, &job.tasks[index as usize]));
        let (Phase::Running(claim), Some((index, TaskState::Waiting { number, tries }))) =
            (&job.phase, waiting)
        else {
            turn.check(false, "a start has a claim, and its task has no live attempt");
            let team = job.spec.key.team.clone();
            return self.cluster.release(turn.now, &team, slot, SlotOutcome::Unknown);
        };
        let (number, tries) = (number + 1, tries + 1);
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let task = &job.spec.tasks[index as usize];
        let values = &job.terms.values;
        let interval = self.run_times.first_check(turn.now, job.terms.run, task.run);
        let live = Attempt {
            owner: Owner::Job(pick.job),
            index,
            number,
            tries,
            place: Place::Slot(slot),
            sent: turn.now,
            lease: values.lease_task + values.lease_margin,
            check: turn.now + interval,
            interval: (interval * 2).min(RunTimes::longest_check()),
            asked: false,
            questioned: false,
            lost: false,
            started: false,
        };
        turn.push(Command::Start(Start {
            attempt,
            name: claim.attempt(&job.spec.key, index, number),
            worker: self.cluster.worker(slot.worker).clone(),
            lease: values.lease_task,
            timeout: job.spec.deadline.since(turn.now),
            payload: task.payload.clone(),
        }));
        turn.count(Counter::TasksStarted);
        self.budget.started(values.retry_ratio);
        job.tasks[index as usize] = TaskState::Sent(attempt);
        self.jobs.sent(pick.job);
        self.timers.set(live.check, Due::Check(attempt));
        self.attempts.insert(attempt, live);
    }

    /// Takes the answer to a start.
    pub(crate) fn answered(
        &mut self,
        turn: &mut Turn,
        attempt: AttemptId,
        response: StartResponse,
    ) {
        let Some(live) = self.attempts.get_mut(&attempt) else {
            return turn.count(Counter::AnswersLate);
        };
        match response {
            StartResponse::Done(result) => {
                let run = turn.now.since(live.sent);
                if let Owner::Job(no) = live.owner
                    && let Some(job) = self.jobs.get(no)
                {
                    self.run_times.observe(turn.now, job.terms.run, run);
                }
                self.done(turn, attempt, result);
            }
            StartResponse::Failed(detail) => self.failed(turn, attempt, &detail),
            StartResponse::NotRun(reason) => self.refused(turn, attempt, reason),
            StartResponse::Duplicate => {
                live.started = true;
                live.lose_answer();
                self.ask(turn, attempt);
            }
            StartResponse::Lost => {
                live.lose_answer();
                self.ask(turn, attempt);
            }
        }
    }

    /// Takes the answer to a question about an attempt.
    pub(crate) fn settled(&mut self, turn: &mut Turn, attempt: AttemptId, status: AttemptStatus) {
        let Some(live) = self.attempts.get_mut(&attempt) else { return };
        live.asked = false;
        match status {
            AttemptStatus::Done(result) => self.done(turn, attempt, result),
            AttemptStatus::Failed(detail) => self.failed(turn, attempt, &detail),
            AttemptStatus::Running => {
                live.started = true;
                let worker = self.worker_of(attempt);
                if let Some(worker) = worker {
                    self.contacts.seen(turn.now, &worker);
                }
                self.check_later(turn.now, attempt, Time::NEVER);
            }
            // An endpoint that knew the attempt and knows it no more has lost its memory: the task
            // may have run.
            AttemptStatus::NeverStarted if live.started => self.worker_lost(turn, attempt),
            AttemptStatus::Forgotten => self.worker_lost(turn, attempt),
            AttemptStatus::NeverStarted => self.refused(turn, attempt, NotRun::Unreachable),
            AttemptStatus::Unreachable => self.unsettled(turn, attempt),
        }
    }

    /// Asks about an attempt whose time without answer is over.
    pub(crate) fn check_due(&mut self, turn: &mut Turn, attempt: AttemptId) {
        self.ask(turn, attempt);
    }

    /// Asks about the attempts on a worker that stopped answering.
    pub(crate) fn endpoint_lost(&mut self, turn: &mut Turn, worker: &WorkerId) {
        if !self.contacts.lost(worker) {
            return;
        }
        let attempts: Vec<AttemptId> = self.attempts.iter().map(|(attempt, _)| *attempt).collect();
        for attempt in attempts {
            if self.worker_of(attempt).as_ref() == Some(worker) {
                self.ask(turn, attempt);
            }
        }
    }

    /// Waits for an attempt that another holder started.
    pub(crate) fn follow(&mut self, turn: &mut Turn, attempt: Attempt) -> AttemptId {
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        self.timers.set(attempt.check, Due::Check(id));
        self.attempts.insert(id, attempt);
        self.ask(turn, id);
        id
    }

    /// Worker of an attempt.
    pub(crate) fn worker_of(&self, attempt: AttemptId) -> Option<WorkerId> {
        Some(match &self.attempts.get(&attempt)?.place {
            Place::Slot(slot) => self.cluster.worker(slot.worker).clone(),
            Place::Adopted(worker) => worker.clone(),
        })
    }

    fn ask(&mut self, turn: &mut Turn, attempt: AttemptId) {
        let Some(worker) = self.worker_of(attempt) else { return };
        let Some(live) = self.attempts.get_mut(&attempt) else { return };
        if live.asked {
            return;
        }
        let name = match &live.owner {
            Owner::Ended(name) => name.clone(),
            Owner::Job(no) => match self.jobs.get(*no).map(|job| (&job.phase, &job.spec.key)) {
                Some((Phase::Running(claim), key)) => claim.attempt(key, live.index, live.number),
                _ => return turn.check(false, "an attempt belongs to a running job"),
            },
        };
        live.asked = true;
        live.questioned = true;
        let sent = live.sent;
        self.timers.clear(live.check, Due::Check(attempt));
        turn.push(Command::QueryAttempt { attempt, name, worker, sent });
        turn.count(Counter::TasksSettled);
    }

    fn check_later(&mut self, now: Time, attempt: AttemptId, latest: Time) {
        let Some(live) = self.attempts.get_mut(&attempt) else { return };
        let interval = live.next_interval(RunTimes::longest_check());
        live.check = (now + interval).min(latest);
        self.timers.set(live.check, Due::Check(attempt));
    }

    /// A worker did not answer a question: its lease decides how long to go on.
    fn unsettled(&mut self, turn: &mut Turn, attempt: AttemptId) {
        let Some(worker) = self.worker_of(attempt) else { return };
        let Some(live) = self.attempts.get_mut(&attempt) else { return };
        let lapse = live.sent.max(self.contacts.last(&worker)) + live.lease;
        if lapse <= turn.now {
            return self.worker_lost(turn, attempt);
        }
        live.interval = live.interval.min(UNREACHABLE_CHECK);
        self.check_later(turn.now, attempt, lapse);
    }

    /// Takes an attempt out and gives its slot back.
    fn finish_attempt(
        &mut self,
        turn: &mut Turn,
        attempt: AttemptId,
        signal: SlotOutcome,
    ) -> Option<Attempt> {
        let live = self.attempts.remove(&attempt)?;
        self.timers.clear(live.check, Due::Check(attempt));
        let team = match &live.owner {
            Owner::Job(no) => self.jobs.get(*no).map(|job| &job.spec.key.team),
            Owner::Ended(name) => Some(&name.job.team),
        };
        let (Place::Slot(slot), Some(team)) = (&live.place, team) else { return Some(live) };
        let team: TeamId = team.clone();
        self.cluster.release(turn.now, &team, *slot, signal);
        self.queue.slot_freed(&team);
        self.released = true;
        Some(live)
    }

    /// Takes a live attempt out of its job's task, which then has none.
    fn detach(&mut self, turn: &mut Turn, attempt: AttemptId, live: &Attempt) -> Option<JobNo> {
        let Owner::Job(no) = live.owner else { return None };
        let task = self.jobs.get(no).map(|job| &job.tasks[live.index as usize]);
        let own = matches!(task, Some(TaskState::Sent(sent)) if *sent == attempt);
        turn.check(own, "at most one live attempt per task");
        own.then_some(no)
    }

    fn done(&mut self, turn: &mut Turn, attempt: AttemptId, result: Payload) {
        let Some(live) = self.finish_attempt(turn, attempt, SlotOutcome::Done) else { return };
        let Some(no) = self.detach(turn, attempt, &live) else { return };
        let Some(job) = self.jobs.get_mut(no) else { return };
        job.tasks[live.index as usize] = TaskState::Done(result);
        job.sent -= 1;
        job.left -= 1;
        if job.left == 0 {
            self.complete(turn, no);
        }
    }

    fn failed(&mut self, turn: &mut Turn, attempt: AttemptId, detail: &str) {
        let ended = self.attempts.get(&attempt).is_some_and(|a| matches!(a.owner, Owner::Ended(_)));
        // The attempt of a job that ended was stopped; that is no fault of its worker.
        let signal = if ended { SlotOutcome::Unknown } else { SlotOutcome::Failed };
        let Some(live) = self.finish_attempt(turn, attempt, signal) else { return };
        let Some(no) = self.detach(turn, attempt, &live) else { return };
        self.task_failed(turn, no, live.index, detail);
    }

    /// Ends a job because one of its tasks ran and failed.
    pub(crate) fn task_failed(&mut self, turn: &mut Turn, no: JobNo, index: u32, detail: &str) {
        let Some(job) = self.jobs.get(no) else { return };
        let answer = Answer::new(job.spec.key.clone(), Outcome::Failed)
            .code(Code::TaskFailed)
            .detail(format!("task {index}: {detail}"));
        self.end(turn, no, answer);
    }

    fn refused(&mut self, turn: &mut Turn, attempt: AttemptId, reason: NotRun) {
        let signal = match reason {
            NotRun::Busy => SlotOutcome::Busy,
            NotRun::Leaving => SlotOutcome::Leaving,
            NotRun::StartFailed | NotRun::Unreachable => SlotOutcome::Failed,
            NotRun::Fenced => SlotOutcome::Unknown,
        };
        let Some(live) = self.finish_attempt(turn, attempt, signal) else { return };
        turn.count(Counter::StartsRefused);
        let Some(no) = self.detach(turn, attempt, &live) else { return };
        self.put_back(no, &live, reason);
        match reason {
            // An endpoint that settled this attempt as never started refuses it in the same way. If
            // the holder is fenced after all, the next attempt is refused as well.
            NotRun::Fenced if !live.questioned => self.disown(turn, no, Code::HolderLost),
            reason => self.retry(turn, no, &live, reason),
        }
    }

    /// Makes a task wait whose attempt did not run, or can run no more.
    fn put_back(&mut self, no: JobNo, live: &Attempt, reason: NotRun) {
        let Some(job) = self.jobs.get_mut(no) else { return };
        // A busy or leaving endpoint says nothing about whether the task can be started; the pause
        // between retries and the retry budget bound these attempts.
        let counts = !matches!(reason, NotRun::Busy | NotRun::Leaving);
        let tries = if counts { live.tries } else { live.tries - 1 };
        job.tasks[live.index as usize] = TaskState::Waiting { number: live.number, tries };
        self.jobs.returned(no);
    }

    /// An attempt may have run, and its worker will not tell; its lease has lapsed.
    fn worker_lost(&mut self, turn: &mut Turn, attempt: AttemptId) {
        let Some(live) = self.finish_attempt(turn, attempt, SlotOutcome::Unknown) else { return };
        let Some(no) = self.detach(turn, attempt, &live) else { return };
        let Some(job) = self.jobs.get(no) else { return };
        if job.spec.idempotent && job.terms.values.retry_lapsed {
            self.put_back(no, &live, NotRun::Unreachable);
            if let Some(job) = self.jobs.get_mut(no) {
                job.lapsed = true;
            }
            return self.retry(turn, no, &live, NotRun::Unreachable);
        }
        let answer = Answer::new(job.spec.key.clone(), Outcome::Unknown)
            .code(Code::WorkerLost)
            .detail(format!("task {} may have run", live.index));
        self.put_back(no, &live, NotRun::Unreachable);
        self.end(turn, no, answer);
    }
}
