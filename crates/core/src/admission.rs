//! Admission of submissions.

use std::sync::Arc;

use cranberryhatch_schema::Values;
use cranberryhatch_types::{KeyName, Span, Time};

use crate::{
    Answer, Code, Command, Counter, Dispatcher, JobSpec, JobSubmission, Outcome,
    abandoned::Write,
    claim::Claim,
    context::Context,
    job::{Job, Phase, Terms},
    retention::Remembered,
    stranded,
    timers::Timer,
    waiters::Target,
};

/// A key may lie this far in the future, for callers whose clock is ahead.
const CLOCK_SKEW: Span = Span::from_secs(60);
/// Bounds of the time after which a caller refused for a full queue should come back.
const QUEUE_RETRY: (Span, Span) = (Span::from_ms(100), Span::from_secs(10));

/// Why a submission does not become a job.
type Refusal = Box<Answer>;

impl Dispatcher {
    /// When a refused caller should come back, unless more is known.
    pub(crate) const RETRY_AFTER: Span = Span::from_secs(1);

    /// Takes a submission: answers it, forwards it to its holder, or makes it a job.
    pub(crate) fn submit(&mut self, ctx: &mut Context, submit: &JobSubmission) {
        let spec = &submit.job;
        let target = Target::Caller(submit.ticket);
        if let Some(no) = self.jobs.find(&spec.key) {
            ctx.count(Counter::Resubmissions);
            return self.resubmit(ctx, no, submit, target);
        }
        if let Some(answer) = self.previous_answer(submit) {
            ctx.count(Counter::Resubmissions);
            return ctx.push(target.reply(answer));
        }
        let (values, claim) = match self.check_key(submit) {
            Ok(checked) => checked,
            Err(refusal) => return Self::refuse(ctx, target, *refusal),
        };
        if let Some(holder) = self.foreign_holder(&spec.key) {
            let (key, digest) = (spec.key.clone(), Some(spec.digest));
            return self.forward(ctx, key, holder, digest, vec![(target, submit.until)], false);
        }
        let terms = self.terms(spec, values);
        if let Err(refusal) = self.admit(ctx.now, submit, &terms) {
            return Self::refuse(ctx, target, *refusal);
        }
        ctx.count(Counter::JobsAccepted);
        let running = claim.is_some();
        let phase = claim.map_or_else(|| Phase::Claiming(Claim::pending()), Phase::Running);
        let mut job = Job::new(Arc::clone(spec), terms, phase);
        if let Some(claim) = self.abandoned.find(&spec.key) {
            job.number_from(claim.number);
        }
        job.exclusive = self.is_exclusive(submit);
        let no = self.jobs.insert(job);
        self.timers.set(spec.deadline, Timer::Deadline(no));
        let record = if running { Command::Admit } else { Command::Claim };
        ctx.push(record(Arc::clone(spec)));
        if running {
            self.abandoned.remove(&spec.key);
            self.queue_all(no);
        }
        self.attach(ctx, no, target, submit.until);
        self.attach_early(ctx, no);
    }

    fn refuse(ctx: &mut Context, target: Target, refusal: Answer) {
        ctx.count(Counter::JobsRefused);
        if refusal.code == Some(Code::ZoneDrained) {
            ctx.count(Counter::JobsRefusedDrained);
        }
        ctx.push(target.reply(refusal));
    }

    fn resubmit(
        &mut self,
        ctx: &mut Context,
        no: crate::JobNo,
        submit: &JobSubmission,
        target: Target,
    ) {
        let Some(job) = self.jobs.get(no) else { return };
        if job.spec.digest == submit.job.digest {
            return self.attach(ctx, no, target, submit.until);
        }
        ctx.push(target.reply(Answer::reused(submit.job.key.clone())));
    }

    /// The answer to a submission of a job that ended, or whose claim is not settled.
    fn previous_answer(&self, submit: &JobSubmission) -> Option<Answer> {
        let spec = &submit.job;
        match self.retention.find(&spec.key, Some(&spec.digest)) {
            Some(Remembered::Answer(answer)) => return Some(answer),
            Some(Remembered::Reused) => return Some(Answer::reused(spec.key.clone())),
            Some(Remembered::Forgotten) => return Some(expired(spec)),
            None => {}
        }
        let claim = self.abandoned.find(&spec.key)?;
        (claim.write == Write::Outstanding).then(|| {
            Answer::unstarted(spec.key.clone(), claim.code, claim.exclusive)
                .retry_after(Self::RETRY_AFTER)
                .detail("the claim of an earlier submission is not settled yet")
        })
    }

    /// Whether no other instance can hold the job of a submission.
    fn is_exclusive(&self, submit: &JobSubmission) -> bool {
        match &submit.job.key.name {
            KeyName::Issued { holder, .. } => *holder == self.me.holder,
            KeyName::Own { .. } => submit.first,
        }
    }

    /// Checks what concerns the key and the state of the shard.
    fn check_key(
        &self,
        submit: &JobSubmission,
    ) -> Result<(Arc<Values>, Option<Claim<crate::claim::Granted>>), Refusal> {
        let spec = &submit.job;
        let refuse = |code| {
            let answer = Answer::unstarted(spec.key.clone(), code, self.is_exclusive(submit));
            Box::new(answer.retry_after(Self::RETRY_AFTER))
        };
        let settings = self.settings.as_ref().ok_or_else(|| refuse(Code::SettingsUnavailable))?;
        let values = settings.of(&spec.key.team, &spec.kind);
        let created = spec.key.name.time();
        if created + values.keys_remember < submit.wall {
            return Err(Box::new(expired(spec)));
        }
        if created > submit.wall + CLOCK_SKEW {
            return Err(refuse(Code::KeyFromFuture));
        }
        let claim = Claim::issued(&spec.key.name, &self.me.holder);
        if claim.is_none() && self.foreign_holder(&spec.key).is_some() {
            return Ok((values, None));
        }
        if self.draining {
            return Err(refuse(Code::Draining));
        }
        if self.lease.is_superseded() {
            return Err(refuse(Code::HolderLost));
        }
        Ok((values, claim))
    }

    /// Settings and estimates for a new job.
    pub(crate) fn terms(&mut self, spec: &JobSpec, values: Arc<Values>) -> Terms {
        let lane = self.queue.lane(&spec.key.team, values.quota_weight.get());
        let kind = self.run_times.kind_no(&spec.key.team, &spec.kind);
        let declared: u64 = spec.tasks.iter().map(|task| task.run.as_ms()).sum();
        let declared = Span::from_ms(declared / (spec.tasks.len() as u64).max(1));
        let cost = self.run_times.mean(kind).unwrap_or(declared);
        Terms { values, lane, kind, cost }
    }

    fn admit(&self, now: Time, submit: &JobSubmission, terms: &Terms) -> Result<(), Refusal> {
        let (spec, values) = (&submit.job, &terms.values);
        if spec.tasks.is_empty() {
            return Err(Box::new(Answer::not_run(spec.key.clone(), Code::NoTasks)));
        }
        let exclusive = self.is_exclusive(submit);
        let refuse = |code| Box::new(Answer::unstarted(spec.key.clone(), code, exclusive));
        if spec.tasks.len() > values.admission_tasks.get() as usize {
            return Err(refuse(Code::TooManyTasks));
        }
        let limit = values.admission_payload.get();
        if spec.tasks.iter().any(|task| task.payload.len() as u64 > limit) {
            return Err(refuse(Code::PayloadTooLarge));
        }
        // Tasks of a job mostly need the same; each need is looked up once in a row.
        let needs = spec.tasks.chunk_by(|one, other| one.need == other.need);
        if !needs.into_iter().all(|tasks| self.cluster.ever_fits(&tasks[0].need)) {
            return Err(refuse(Code::NeverFits));
        }
        if self.cluster.is_stranded() {
            return Err(Box::new(stranded::refusal(spec.key.clone(), exclusive)));
        }
        let waiting = self.jobs.pending() + spec.tasks.len() as u64;
        if waiting > u64::from(values.admission_queue.get()) {
            return Err(Box::new(refuse(Code::QueueFull).retry_after(self.queue_retry(terms))));
        }
        if spec.deadline <= now {
            return Err(refuse(Code::Deadline));
        }
        if values.admission_early && self.is_too_late(now, spec, terms) {
            let answer = refuse(Code::Deadline).retry_after(self.queue_retry(terms));
            return Err(Box::new(answer.detail("the deadline cannot be met")));
        }
        Ok(())
    }

    /// Whether a job would certainly miss its deadline, by the run times seen and the queue.
    ///
    /// Declared run times are not used, because they are off by up to ten times. All slots of the
    /// deployment count, also those that others use now: they come free within a run time, and a
    /// job that can still be done must not be refused.
    fn is_too_late(&self, now: Time, spec: &JobSpec, terms: &Terms) -> bool {
        let left = spec.deadline.since(now);
        if self.run_times.lower_bound(terms.kind).is_some_and(|run| run > left) {
            return true;
        }
        let Some(mean) = self.run_times.mean(terms.kind) else { return false };
        let slots = self.slots().max(self.cluster.total_slots().into());
        let first = spec.tasks.first();
        if slots == 0 || !first.is_some_and(|task| self.queue.is_unmet(&task.need)) {
            return false;
        }
        let own = mean * spec.tasks.len() as u64;
        (self.queue.work_ahead(terms.lane) + own) / slots > left
    }

    /// Slots that the shard uses or may get.
    fn slots(&self) -> u64 {
        u64::from(self.cluster.reachable_slots()).max(self.attempts.len() as u64)
    }

    /// Time after which a good part of the queue will have run.
    fn queue_retry(&self, terms: &Terms) -> Span {
        let wait = self.queue.work_ahead(terms.lane) / (2 * self.slots().max(1));
        wait.clamp(QUEUE_RETRY.0, QUEUE_RETRY.1)
    }
}

/// Answer about a key that is too old, or may have been used and is forgotten for lack of room.
fn expired(spec: &JobSpec) -> Answer {
    Answer::new(spec.key.clone(), Outcome::Unknown)
        .code(Code::KeyExpired)
        .detail("nothing was started now; whether an earlier submission ran is no longer known")
}
