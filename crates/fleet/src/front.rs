//! Front of the jobs that this instance has accepted from callers.
//!
//! Only the front of a job starts runs of its tasks, through the owners of the workers. It starts a
//! further run of a task only once the previous one certainly is not running any more.

mod active;
mod losses;
mod takeover;

use std::sync::Arc;

use active::ActiveJob;
use cranberryhatch_schema::fleet::{
    Ask, Ended, Grant, How, LostRun, Refusal, Start, Stop, Unused, Withdraw, Yielded,
};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::{
    EndReport, Incarnation, Job, KindSettings, LEASE, LossLedger, MAX_LATE_DELAY, Outcome, Output,
    PreviousRun, RUN_LIFETIME, RunEndCause, RunKey, TaskKey, VecMap, Verdict,
    log_event::LogEvent,
    members::text_hash,
    outcome::NotRunCause,
    output::Message,
    run_lease::LEASE_SLACK,
    task_state::{Phase, Placed, TaskState},
};

/// Time after the last heartbeat from an owner by which all runs that it started have ended.
///
/// No lease lasts longer than `RUN_LIFETIME` after the last heartbeat of the owner that this front
/// has echoed, and it cannot have echoed one that it had not received.
pub const RUN_EXPIRY: Span = Span::from_ms(1_500);
/// Time after the last heartbeat from an owner by which its runs have ended on a worker that has left
/// requests with a lease unanswered: the last of them is sent, carried out and expires.
pub const OUTLASTING_EXPIRY: Span = Span::from_ms(
    RUN_LIFETIME.as_ms() + MAX_LATE_DELAY.as_ms() + LEASE.as_ms() + LEASE_SLACK.as_ms(),
);
/// Distance between run numbers after a worker refused one as superseded.
const RUN_NUMBER_SKIP: u32 = 4;
/// Time after which a caller should retry a job that was not started before its deadline.
const TIME_LIMIT_RETRY: Span = Span::from_ms(500);
/// Longest time for which an answered job is kept, waiting for its runs to end.
///
/// This is longer than the time for which late requests may keep a run alive on a silent worker, and
/// bounds the wait only if the report of its end is lost.
pub(crate) const CLOSING_LIMIT: Span = Span::from_secs(15);

/// Jobs of this instance's callers.
#[derive(Debug)]
pub struct Front {
    me: InstanceId,
    zone: String,
    jobs: VecMap<String, ActiveJob>,
    scheduler: Option<InstanceId>,
    // When the last message from the scheduler was received.
    heard: Option<Time>,
    losses: LossLedger,
    // Jobs with tasks for which capacity is requested again at the next review of the losses.
    requeued: Vec<String>,
    // Number of starts that were sent.
    starts_sent: u64,
}

impl Front {
    /// Creates a front without jobs.
    #[must_use]
    pub fn new(me: InstanceId, zone: String) -> Self {
        let (jobs, losses) = (VecMap::default(), LossLedger::default());
        Self {
            me,
            zone,
            jobs,
            scheduler: None,
            heard: None,
            losses,
            requeued: Vec::new(),
            starts_sent: 0,
        }
    }

    /// Submits a job. A job that is already known gets the new caller, and the previous one an
    /// answer.
    pub fn submit(&mut self, ticket: u64, job: Job, now: Time, out: &mut Output) {
        if let Some(active) = self.jobs.get_mut(&job.name) {
            out.log(LogEvent::Resubmitted {
                job: job.name.clone(),
                age: now.since(active.job.arrived),
                runs: active.placed().count(),
                closing: active.closing_since.map(|at| now.since(at)),
            });
            if active.closing_since.is_some() {
                if let Some((older, _)) = active.resubmitted.replace((ticket, job)) {
                    out.answer(older, Outcome::GivenUp);
                }
                return;
            }
            if let Some(older) = active.ticket.replace(ticket) {
                out.answer(older, Outcome::GivenUp);
            }
            active.job.arrived = job.arrived;
            active.job.deadline = active.job.deadline.max(job.deadline);
            self.claim_job(&job.name, now, out);
            return;
        }
        let tasks = job.steps.iter().map(|step| step.tasks).sum();
        out.log(LogEvent::Admitted {
            job: job.name.clone(),
            kind: job.settings.kind.clone(),
            tasks,
            left: job.deadline.since(now),
        });
        let name = job.name.clone();
        self.jobs.insert(name.clone(), ActiveJob::new(ticket, job));
        self.request_capacity(&name, now, out);
        self.finish(&name, now, out);
    }

    /// Tells the scheduler that this front has the latest submission of a job, with a request for no
    /// task.
    fn claim_job(&mut self, name: &str, now: Time, out: &mut Output) {
        let Some((active, scheduler)) = self.jobs.get(name).zip(self.scheduler.as_ref()) else {
            return;
        };
        let ask = ask_message(active, &self.zone, 0, Vec::new(), Vec::new(), now);
        if let Some(ask) = ask {
            out.send(scheduler, Message::Ask(ask));
        }
    }

    /// Requests capacity from the scheduler for all ready tasks of a job.
    fn request_capacity(&mut self, name: &str, now: Time, out: &mut Output) {
        let Some(scheduler) = &self.scheduler else { return };
        let Some(active) = self.jobs.get_mut(name) else { return };
        if active.closing_since.is_some() {
            return;
        }
        for index in 0..active.steps.len() {
            if !active.is_ready(index) {
                continue;
            }
            let number = to_u32(index as u64);
            // Tasks that may crash their worker are placed by other rules, each by itself.
            let (mut plain, mut suspects) = (Vec::new(), Vec::new());
            for (state, task) in active.steps[index].iter_mut().zip(0..) {
                if state.phase != Phase::Ready {
                    continue;
                }
                match self.losses.verdict(name, number, task, now) {
                    Verdict::Clear => plain.push(task),
                    Verdict::Suspect => {
                        suspects.push((task, self.losses.messages_of(name, number, task, now)));
                    }
                    Verdict::Unresolved | Verdict::Poisoned => continue,
                }
                state.phase = Phase::Requested;
            }
            let plain = Some((plain, Vec::new())).filter(|(tasks, _)| !tasks.is_empty());
            let suspects = suspects.into_iter().map(|(task, lost)| (vec![task], lost));
            for (tasks, lost) in plain.into_iter().chain(suspects) {
                let ask = ask_message(active, &self.zone, number, tasks, lost, now);
                let Some(ask) = ask else { continue };
                active.requested_at = Some(now);
                out.send(scheduler, Message::Ask(ask));
            }
        }
    }

    /// Sets the scheduler, and requests capacity from it for all tasks that have none.
    pub fn set_scheduler(&mut self, scheduler: Option<InstanceId>, now: Time, out: &mut Output) {
        self.scheduler = scheduler;
        let names: Vec<String> = self.jobs.iter().map(|(name, _)| name.clone()).collect();
        for name in names {
            if let Some(active) = self.jobs.get_mut(&name) {
                (active.requested_at, active.expected_wait) = (None, None);
                for state in active.steps.iter_mut().flatten() {
                    if state.phase == Phase::Requested {
                        state.phase = Phase::Ready;
                    }
                }
            }
            self.request_capacity(&name, now, out);
        }
    }

    /// Sets when the scheduler was last heard; none if it is this instance or unreachable.
    pub const fn set_scheduler_heard(&mut self, heard: Option<Time>) {
        self.heard = heard;
    }

    /// Starts runs on the granted capacity.
    ///
    /// `heartbeat` returns the last heartbeat received from an instance, or none if it is
    /// unreachable.
    pub fn granted(
        &mut self,
        from: &InstanceId,
        grant: Grant,
        heartbeat: impl Fn(&InstanceId) -> Option<Time>,
        now: Time,
        out: &mut Output,
    ) {
        for place in grant.places {
            let key = TaskKey { job: grant.job.clone(), step: grant.step, task: place.task };
            let owner = place.owner.parse::<InstanceId>().ok();
            let owner = owner.and_then(|owner| heartbeat(&owner).map(|sent_at| (owner, sent_at)));
            let unreachable = owner.is_none();
            let worker = place.worker.parse::<WorkerId>().ok();
            let started = owner.zip(worker).is_some_and(|((owner, seen), worker)| {
                let expected = Span::from_ms(place.run_ms.into());
                let token = place.token;
                let (requested_at, lost_since, claimed) = (now, None, false);
                let due = Some(Span::from_ms(place.due_ms.into())).filter(|due| *due > Span::ZERO);
                let due = due.map(|due| now + due);
                let slowdown = place.pace_permille;
                let placed = Placed {
                    owner,
                    token,
                    worker,
                    expected,
                    slowdown,
                    due,
                    requested_at,
                    lost_since,
                    outlasts: false,
                    claimed,
                    incarnation: Incarnation::new(place.born_ms),
                    start_number: self.starts_sent + 1,
                };
                self.start(&key, placed, seen, now, out)
            });
            if started {
                continue;
            }
            if unreachable {
                self.requeue(&key);
            }
            let TaskKey { job, step, task } = key;
            // Otherwise the scheduler would grant the same capacity again at once.
            let refused = unreachable;
            let unused = Unused { worker: place.worker, job, step, task, refused };
            out.send(from, Message::Unused(unused));
        }
        self.request_capacity(&grant.job, now, out);
    }

    /// Makes a task with a failed grant ready, so that capacity is requested for it again.
    fn requeue(&mut self, key: &TaskKey) {
        let state = self.jobs.get_mut(&key.job).and_then(|active| active.task(key));
        if let Some(state) = state.filter(|state| state.phase == Phase::Requested) {
            state.phase = Phase::Ready;
        }
    }

    /// Starts a run of a task that waits for capacity; returns whether it was started.
    fn start(
        &mut self,
        key: &TaskKey,
        placed: Placed,
        seen: Time,
        now: Time,
        out: &mut Output,
    ) -> bool {
        let Some(active) = self.jobs.get_mut(&key.job) else { return false };
        // A grant that is read after a pause may be too late.
        if active.closing_since.is_some() || now >= active.job.deadline {
            return false;
        }
        let Some(state) = active.task(key) else { return false };
        if !matches!(state.phase, Phase::Requested | Phase::Ready) {
            return false;
        }
        let owner = placed.owner.clone();
        if let Some(previous) = state.previous.take() {
            let run = RunKey { task: key.clone(), run: state.run + 1 };
            out.log(restart_event(run, &placed, previous, now));
        }
        self.starts_sent = placed.start_number;
        state.place(placed);
        let state = state.clone();
        let start = start_message(&active.job, key, &state, seen, now);
        active.started.get_or_insert(now);
        active.runs += 1;
        active.possible_runs += 1;
        if let Some(start) = start {
            out.send(&owner, Message::Start(start));
        }
        true
    }

    /// Handles the scheduler's refusal of a job.
    pub fn refused(&mut self, refusal: &Refusal, now: Time, out: &mut Output) {
        let Some(active) = self.jobs.get_mut(&refusal.job) else { return };
        let ahead = Span::from_ms(refusal.ahead_ms.into());
        active.expected_wait = Some(ahead);
        if active.possible_runs > 0 || active.closing_since.is_some() {
            // Tasks whose runs have ended without success still need capacity.
            for state in active.steps.iter_mut().flatten() {
                if state.phase == Phase::Requested {
                    state.phase = Phase::Ready;
                }
            }
            self.request_capacity(&refusal.job, now, out);
            return;
        }
        let retry = Span::from_ms(refusal.retry_ms.into());
        let outcome = if active.may_have_run() {
            Outcome::GivenUp
        } else {
            Outcome::NotRun { cause: NotRunCause::Overload, retry }
        };
        self.close(&refusal.job, Some(outcome), now, out);
    }

    /// Handles the end of a run, as reported by an owner.
    pub fn ended(&mut self, from: &InstanceId, ended: &Ended, now: Time, out: &mut Output) {
        let Some(run) = ended.run.as_ref().map(RunKey::from) else { return };
        let Some(active) = self.jobs.get_mut(&run.task.job) else { return };
        let Some(state) = active.task(&run.task) else { return };
        let Phase::Placed(place) = &state.phase else {
            return self.ended_late(from, &run, ended, now, out);
        };
        // Run numbers start anew with each submission, so an earlier submission may have had a run
        // of the same number.
        let is_start = ended.start_number == 0 || ended.start_number == place.start_number;
        if place.worker.as_str() != ended.worker || !is_start {
            return;
        }
        // A previous owner may consider a run ended whose lease the current owner has extended.
        // Only an end that the worker itself reported is final.
        let is_final = matches!(ended.how(), How::Done | How::Failed);
        if !is_final && place.owner != *from {
            return;
        }
        let (cause, how) = (RunEndCause::Reported, ended.how());
        let (reporter, worker) = (from.clone(), ended.worker.clone());
        self.end_run(&run, EndReport { cause, how, reporter, worker }, now, out);
    }

    /// Handles the successful end of a run that had counted as ended, if its task has not been
    /// started again.
    fn ended_late(
        &mut self,
        from: &InstanceId,
        run: &RunKey,
        ended: &Ended,
        now: Time,
        out: &mut Output,
    ) {
        let Some(active) = self.jobs.get_mut(&run.task.job) else { return };
        if active.closing_since.is_some() || ended.how() != How::Done {
            return;
        }
        let Some(state) = active.task(&run.task) else { return };
        let is_waiting = matches!(state.phase, Phase::Ready | Phase::Requested);
        let Some(previous) =
            state.previous.take_if(|previous| is_waiting && previous.is_of(run, ended))
        else {
            return;
        };
        out.log(LogEvent::EndedLate {
            run: run.clone(),
            worker: previous.worker,
            reporter: from.clone(),
            cause: previous.end.cause,
            since: now.since(previous.ended_at),
        });
        // Capacity that was requested is returned when it is granted.
        state.phase = Phase::Done;
        self.request_capacity(&run.task.job, now, out);
        self.finish(&run.task.job, now, out);
    }

    fn end_run(&mut self, run: &RunKey, end: EndReport, now: Time, out: &mut Output) {
        let name = &run.task.job;
        let Some(active) = self.jobs.get_mut(name) else { return };
        let attempts = active.job.settings.attempts.max(1);
        let Some(state) = active.task(&run.task) else { return };
        if !state.is_run(run.run) {
            return;
        }
        let mut failed = false;
        let mut never_started = false;
        let phase = std::mem::replace(&mut state.phase, Phase::Ready);
        let how = end.how;
        let worker = end.worker.clone();
        if let (Phase::Placed(place), true) = (&phase, how != How::Done) {
            let (worker, owner) = (place.worker.clone(), place.owner.clone());
            let start_number = place.start_number;
            let previous =
                PreviousRun { run: run.run, worker, start_number, owner, end, ended_at: now };
            state.previous = Some(Box::new(previous));
        }
        match how {
            How::Done => state.phase = Phase::Done,
            How::Failed => {
                state.failures += 1;
                failed = state.failures >= attempts;
            }
            How::Old => {
                state.run += RUN_NUMBER_SKIP;
                never_started = true;
            }
            How::Stalled => state.stalls += 1,
            How::NotStarted | How::NoRoom | How::Unanswered => never_started = true,
            How::Lost | How::Crashed => {
                if let Phase::Placed(place) = phase {
                    let (worker, incarnation) = (&place.worker, place.incarnation);
                    let refused = how == How::Crashed;
                    self.losses.record(&run.task, worker, incarnation, refused, now);
                }
            }
            How::Unknown | How::Stopped => {}
        }
        if never_started {
            active.possible_runs = active.possible_runs.saturating_sub(1);
        }
        if let (How::NoRoom, Some(scheduler)) = (how, &self.scheduler) {
            let TaskKey { job, step, task } = run.task.clone();
            let unused = Unused { worker: worker.clone(), job, step, task, refused: true };
            out.send(scheduler, Message::Unused(unused));
        }
        if matches!(how, How::Failed | How::Stalled) && !active.avoid.contains(&worker) {
            active.avoid.push(worker);
        }
        if failed && active.closing_since.is_none() {
            self.close(name, Some(Outcome::Failed), now, out);
            return;
        }
        self.request_capacity(name, now, out);
        self.finish(name, now, out);
    }

    /// Answers a job whose tasks are all done, and removes an answered one without runs.
    fn finish(&mut self, name: &str, now: Time, out: &mut Output) {
        let Some(active) = self.jobs.get(name) else { return };
        if active.closing_since.is_none() {
            if active.all_done() {
                self.close(name, Some(Outcome::Completed), now, out);
            }
            return;
        }
        if !active.is_idle() {
            return;
        }
        let Some(ActiveJob { yields, resubmitted, .. }) = self.jobs.remove(name) else { return };
        if let Some(scheduler) = self.scheduler.as_ref().filter(|_| yields) {
            out.send(scheduler, Message::Yielded(Yielded { job: name.to_owned() }));
        }
        if let Some((ticket, job)) = resubmitted {
            self.submit(ticket, job, now, out);
        }
    }

    /// Closes a job: answers its caller and stops its runs.
    fn close(&mut self, name: &str, outcome: Option<Outcome>, now: Time, out: &mut Output) {
        let Some(active) = self.jobs.get_mut(name) else { return };
        if active.closing_since.is_some() {
            return;
        }
        active.closing_since = Some(now);
        if let Some((ticket, outcome)) = active.ticket.take().zip(outcome) {
            out.answer(ticket, outcome);
            out.log(LogEvent::Answered {
                job: name.to_owned(),
                kind: active.job.settings.kind.clone(),
                outcome,
                took: now.since(active.job.arrived),
                queued: active.started.map(|at| at.since(active.job.arrived)),
                runs: active.runs,
            });
        }
        for (key, state) in active.placed() {
            stop(&key, state, out);
        }
        let waits = active.steps.iter().flatten().any(|task| task.phase == Phase::Requested);
        if let (true, Some(scheduler)) = (waits, &self.scheduler) {
            out.send(scheduler, Message::Withdraw(Withdraw { job: name.to_owned() }));
        }
        self.finish(name, now, out);
    }

    /// Answers the caller that has resubmitted a job whose earlier runs have not ended yet.
    fn answer_resubmitted(&mut self, name: &str, outcome: Outcome, now: Time, out: &mut Output) {
        let active = self.jobs.get_mut(name);
        let Some((ticket, job)) = active.and_then(|active| active.resubmitted.take()) else {
            return;
        };
        out.answer(ticket, outcome);
        out.log(LogEvent::Answered {
            job: job.name,
            kind: job.settings.kind.clone(),
            outcome,
            took: now.since(job.arrived),
            queued: None,
            runs: 0,
        });
    }

    /// Closes the job of a caller that disconnected.
    pub fn caller_gone(&mut self, ticket: u64, now: Time, out: &mut Output) {
        let waits = |active: &ActiveJob| active.ticket == Some(ticket);
        let found = self.jobs.iter().find(|(_, active)| waits(active));
        if let Some((name, active)) = found.map(|(name, active)| (name.clone(), active)) {
            let age = now.since(active.job.arrived);
            out.log(LogEvent::CallerGone { job: name.clone(), age });
            if let Some(active) = self.jobs.get_mut(&name) {
                active.ticket = None;
            }
            self.close(&name, None, now, out);
            return;
        }
        for (_, active) in self.jobs.iter_mut() {
            if active.resubmitted.as_ref().is_some_and(|(next, _)| *next == ticket) {
                active.resubmitted = None;
            }
        }
    }

    /// Closes a job whose caller has submitted it again at another front, `age` ago. Answers the
    /// scheduler once no run is left.
    pub fn superseded(
        &mut self,
        from: &InstanceId,
        job: &str,
        by: &InstanceId,
        age: Span,
        now: Time,
        out: &mut Output,
    ) {
        let Some(active) = self.jobs.get_mut(job) else {
            let yielded = Yielded { job: job.to_owned() };
            return out.send(from, Message::Yielded(yielded));
        };
        // The caller may have come back here since.
        if active.closing_since.is_none() && now.since(active.job.arrived) <= age {
            return self.claim_job(job, now, out);
        }
        active.yields = true;
        if active.closing_since.is_some() {
            return;
        }
        out.log(LogEvent::Superseded {
            job: job.to_owned(),
            by: by.clone(),
            age: now.since(active.job.arrived),
            runs: active.placed().count(),
        });
        self.close(job, Some(Outcome::GivenUp), now, out);
    }

    /// Records that the caller of a job had submitted it to another front before, which may have run
    /// it.
    pub fn set_submitted_before(&mut self, job: &str) {
        if let Some(active) = self.jobs.get_mut(job) {
            active.again = true;
        }
    }

    /// Cancels a job, and returns whether it was known.
    pub fn cancel(&mut self, name: &str, now: Time, out: &mut Output) -> bool {
        let known = self.jobs.get(name).is_some_and(|active| active.closing_since.is_none());
        // Callers that wait for the job get a failure.
        self.answer_resubmitted(name, Outcome::Failed, now, out);
        self.close(name, Some(Outcome::Failed), now, out);
        known
    }

    /// Closes jobs past their deadline, and ends runs whose owners have been unreachable for too
    /// long.
    pub fn tick(&mut self, now: Time, out: &mut Output) {
        let mut over = Vec::new();
        let mut overdue = Vec::new();
        let mut gone = Vec::new();
        for (name, active) in self.jobs.iter() {
            if active.resubmitted.as_ref().is_some_and(|(_, job)| now >= job.deadline) {
                overdue.push(name.clone());
            }
            if active.closing_since.is_none() && now >= active.job.deadline {
                over.push((name.clone(), active.may_have_run()));
            }
            for (key, state) in active.placed() {
                let Phase::Placed(place) = &state.phase else { continue };
                let expiry = if place.outlasts { OUTLASTING_EXPIRY } else { RUN_EXPIRY };
                let lost = place.lost_since.is_some_and(|heard| now.since(heard) >= expiry);
                let stuck = active.closing_since.is_some_and(|at| now.since(at) >= CLOSING_LIMIT);
                if lost || stuck {
                    let run = RunKey { task: key, run: state.run };
                    // The worker may have crashed while its owner was unreachable.
                    let (cause, how) = if lost {
                        (RunEndCause::Expired, How::Lost)
                    } else {
                        (RunEndCause::ClosingLimit, How::Stopped)
                    };
                    let (reporter, worker) = (self.me.clone(), place.worker.to_string());
                    out.log(LogEvent::RunExpired {
                        run: run.clone(),
                        worker: place.worker.clone(),
                        owner: place.owner.clone(),
                        silence: place.lost_since.map(|heard| now.since(heard)),
                        closing: active.closing_since.map(|at| now.since(at)),
                    });
                    gone.push((run, EndReport { cause, how, reporter, worker }));
                }
            }
        }
        for name in overdue {
            self.answer_resubmitted(&name, Outcome::GivenUp, now, out);
        }
        for (run, end) in gone {
            self.end_run(&run, end, now, out);
        }
        for (name, begun) in over {
            let outcome = if begun {
                Outcome::GivenUp
            } else {
                self.log_expired(&name, now, out);
                Outcome::NotRun { cause: NotRunCause::TimeLimit, retry: TIME_LIMIT_RETRY }
            };
            self.close(&name, Some(outcome), now, out);
        }
    }

    fn log_expired(&self, name: &str, now: Time, out: &mut Output) {
        let Some(active) = self.jobs.get(name).filter(|active| active.closing_since.is_none())
        else {
            return;
        };
        out.log(LogEvent::Expired {
            job: name.to_owned(),
            scheduler: self.scheduler.clone(),
            heard: self.heard.map(|at| now.since(at)),
            asked: active.requested_at.map(|at| now.since(at)),
            waiting: active.waiting(),
            ahead: active.expected_wait,
        });
    }

    /// Answers all remaining jobs at the end of a shutdown.
    pub fn end_all(&mut self, now: Time, out: &mut Output) {
        let names: Vec<String> = self.jobs.iter().map(|(name, _)| name.clone()).collect();
        for name in names {
            // Runs of its first submission may have been running.
            self.answer_resubmitted(&name, Outcome::GivenUp, now, out);
            let Some(active) = self.jobs.get(&name) else { continue };
            let outcome = if active.may_have_run() {
                Outcome::GivenUp
            } else {
                Outcome::NotRun { cause: NotRunCause::Stopping, retry: Span::ZERO }
            };
            self.close(&name, Some(outcome), now, out);
        }
    }

    /// Refuses the jobs that cannot run and of which no run has been running.
    pub fn refuse_jobs(
        &mut self,
        cannot_run: impl Fn(&Job) -> bool,
        cause: NotRunCause,
        retry: Span,
        now: Time,
        out: &mut Output,
    ) {
        let waits = |active: &ActiveJob| !active.may_have_run() && active.closing_since.is_none();
        let hopeless = self.jobs.iter().filter(|(_, a)| waits(a) && cannot_run(&a.job));
        let names: Vec<String> = hopeless.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.close(&name, Some(Outcome::NotRun { cause, retry }), now, out);
        }
    }

    /// Returns the number of jobs of a kind that wait for their first start.
    #[must_use]
    pub fn pending(&self, kind: &str) -> usize {
        let waits = |active: &ActiveJob| active.started.is_none() && active.closing_since.is_none();
        let jobs = self.jobs.iter().map(|(_, active)| active);
        jobs.filter(|active| active.job.settings.kind == kind && waits(active)).count()
    }

    /// Returns whether a job is known, answered or not; its tasks may have started.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.jobs.contains(name)
    }

    /// Returns whether a task of a job has started; none if the job is not known or already closed.
    #[must_use]
    pub fn has_started(&self, name: &str) -> Option<bool> {
        let active = self.jobs.get(name).filter(|active| active.closing_since.is_none())?;
        Some(active.started.is_some())
    }

    /// Returns the owners of workers that may be running tasks of these jobs, sorted.
    #[must_use]
    pub fn owners(&self) -> Vec<InstanceId> {
        let states = self.jobs.iter().flat_map(|(_, active)| active.steps.iter().flatten());
        let owners = states.filter_map(|state| match &state.phase {
            Phase::Placed(placed) => Some(placed.owner.clone()),
            _ => None,
        });
        let mut owners: Vec<InstanceId> = owners.collect();
        owners.sort();
        owners.dedup();
        owners
    }

    /// Returns the number of jobs, including closed ones that still have runs.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether there are no jobs.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the id of this instance.
    #[must_use]
    pub const fn me(&self) -> &InstanceId {
        &self.me
    }
}

fn ask_message(
    active: &ActiveJob,
    zone: &str,
    number: u32,
    tasks: Vec<u32>,
    lost: Vec<LostRun>,
    now: Time,
) -> Option<Ask> {
    let job = &active.job;
    let step = job.steps.get(usize::try_from(number).ok()?)?;
    Some(Ask {
        job: job.name.clone(),
        step: number,
        tasks,
        kind: job.settings.kind.clone(),
        service: job.settings.service.clone(),
        priority: job.settings.priority,
        need: Some((&step.need).into()),
        declared_ms: to_u32(step.declared.as_ms()),
        age_ms: to_u32(now.since(job.arrived).as_ms()),
        left_ms: to_u32(job.deadline.since(now).as_ms()),
        label: step.label.clone(),
        rack: step.rack.clone(),
        spread: step.spread,
        avoid: active.avoid.clone(),
        begun: active.possible_runs > 0,
        zone: zone.to_owned(),
        stretch: job.settings.stretch,
        slack_ms: to_u32(job.settings.slack.as_ms()),
        lost,
    })
}

fn start_message(
    job: &Job,
    key: &TaskKey,
    state: &TaskState,
    seen: Time,
    now: Time,
) -> Option<Start> {
    let Phase::Placed(place) = &state.phase else { return None };
    let step = job.steps.get(usize::try_from(key.step).ok()?)?;
    let settings: &Arc<KindSettings> = &job.settings;
    let run = RunKey { task: key.clone(), run: state.run };
    Some(Start {
        run: Some((&run).into()),
        worker: place.worker.to_string(),
        service: settings.service.clone(),
        need: Some((&step.need).into()),
        run_ms: to_u32(place.expected.as_ms()),
        pace_permille: place.slowdown,
        payload: job.payload.to_string(),
        kind: settings.kind.clone(),
        stalls: state.stalls,
        token: place.token,
        seen_ms: seen.as_ms(),
        due_ms: place.due.map_or(0, |due| to_u32(due.since(place.requested_at).as_ms())),
        age_ms: Some(to_u32(now.since(job.arrived).as_ms())),
        start_number: place.start_number,
        label: step.label.clone(),
        spread: step.spread,
    })
}

fn restart_event(run: RunKey, placed: &Placed, previous: Box<PreviousRun>, now: Time) -> LogEvent {
    let (worker, owner) = (placed.worker.clone(), placed.owner.clone());
    let since = now.since(previous.ended_at);
    if previous.was_refused() {
        LogEvent::StartRetried { run, worker, owner, previous, since }
    } else {
        LogEvent::RunRestarted { run, worker, owner, previous, since }
    }
}

fn stop(key: &TaskKey, state: &TaskState, out: &mut Output) {
    let Phase::Placed(place) = &state.phase else { return };
    let run = RunKey { task: key.clone(), run: state.run };
    let (worker, start_number) = (place.worker.to_string(), place.start_number);
    let stop = Stop { run: Some((&run).into()), worker, start_number };
    out.send(&place.owner, Message::Stop(stop));
}

fn to_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// Returns whether a job belongs to the sample of one in `one_in` jobs whose routine log lines are
/// kept.
///
/// The sample is the same on all instances.
#[must_use]
pub fn is_sampled(job: &str, one_in: u64) -> bool {
    text_hash(job).is_multiple_of(one_in.max(1))
}
