//! Admission control of submitted jobs.

use std::sync::Arc;

use cranberryhatch_schema::Values;
use cranberryhatch_types::{KeyName, Span, Time};

use crate::{
    Answer, Code, Command, Counter, Dispatcher, JobSpec, JobSubmission, Outcome,
    abandoned::Write,
    claim::{Claim, Pending},
    context::Context,
    job::{Job, Phase, Terms},
    retention::Remembered,
    stranded,
    timers::Timer,
    waiters::Target,
};

/// Maximum time by which a key may lie in the future, for callers whose clock is ahead.
const CLOCK_SKEW: Span = Span::from_secs(60);
/// Bounds of the retry delay suggested to callers refused because of a full queue.
const QUEUE_RETRY: (Span, Span) = (Span::from_ms(100), Span::from_secs(10));

/// Answer to a submission that does not become a job.
type Refusal = Box<Answer>;

impl Dispatcher {
    /// Default retry delay suggested to refused callers.
    pub(crate) const RETRY_AFTER: Span = Span::from_secs(1);

    /// Handles a submission: answers it, forwards it to its holder, or admits it as a job.
    pub(crate) fn submit(&mut self, ctx: &mut Context, submission: &JobSubmission) {
        let spec = &submission.job;
        let target = Target::Caller(submission.ticket);
        if let Some(no) = self.jobs.find(&spec.key) {
            ctx.count(Counter::Resubmissions);
            return self.resubmit(ctx, no, submission, target);
        }
        if let Some(answer) = self.previous_answer(submission) {
            ctx.count(Counter::Resubmissions);
            return ctx.push(target.reply(answer));
        }
        let (values, claim) = match self.check_key(submission) {
            Ok(checked) => checked,
            Err(refusal) => return Self::refuse(ctx, target, *refusal),
        };
        if let Some(holder) = self.foreign_holder(&spec.key) {
            let (key, digest) = (spec.key.clone(), Some(spec.digest));
            return self.forward(ctx, key, holder, digest, vec![(target, submission.until)], false);
        }
        let terms = self.terms(spec, values);
        if let Err(refusal) = self.admit(ctx.now, submission, &terms) {
            return Self::refuse(ctx, target, *refusal);
        }
        ctx.count(Counter::JobsAccepted);
        let running = claim.is_some();
        let phase = claim.map_or_else(|| Phase::Claiming(self.next_claim()), Phase::Running);
        let mut job = Job::new(Arc::clone(spec), terms, phase);
        if let Some(claim) = self.abandoned.find(&spec.key) {
            job.number_after(claim.number);
        }
        job.exclusive = self.is_exclusive(submission);
        let no = self.jobs.insert(job);
        self.timers.set(spec.deadline, Timer::Deadline(no));
        ctx.push(if running {
            Command::Admit(Arc::clone(spec))
        } else {
            Command::Claim(self.last_claim, Arc::clone(spec))
        });
        if running {
            self.abandoned.remove(&spec.key);
            self.queue_all(no);
        }
        self.attach(ctx, no, target, submission.until);
        self.attach_early(ctx, no);
    }

    /// Numbers a claim that is about to be written.
    fn next_claim(&mut self) -> Claim<Pending> {
        self.last_claim = self.last_claim.next();
        Claim::pending(self.last_claim)
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
        submission: &JobSubmission,
        target: Target,
    ) {
        let Some(job) = self.jobs.get(no) else { return };
        if job.spec.digest == submission.job.digest {
            return self.attach(ctx, no, target, submission.until);
        }
        ctx.push(target.reply(Answer::reused(submission.job.key.clone())));
    }

    /// Returns the answer to a submission whose job has ended or whose earlier claim is unresolved.
    fn previous_answer(&self, submission: &JobSubmission) -> Option<Answer> {
        let spec = &submission.job;
        match self.retention.find(&spec.key, Some(&spec.digest)) {
            Some(Remembered::Answer(answer)) => return Some(answer),
            Some(Remembered::Reused) => return Some(Answer::reused(spec.key.clone())),
            Some(Remembered::Forgotten) => return Some(expired(spec)),
            None => {}
        }
        let claim = self.abandoned.find(&spec.key)?;
        (claim.write != Write::Lost).then(|| {
            Answer::unstarted(spec.key.clone(), claim.code, claim.exclusive)
                .retry_after(Self::RETRY_AFTER)
                .detail("the claim of an earlier submission is not resolved yet")
        })
    }

    /// Returns whether no other instance can hold the submitted job.
    fn is_exclusive(&self, submission: &JobSubmission) -> bool {
        match &submission.job.key.name {
            KeyName::Issued { holder, .. } => *holder == self.me.holder,
            KeyName::Own { .. } => submission.first,
        }
    }

    /// Checks the age and the holder of the key, and whether the shard accepts jobs.
    fn check_key(
        &self,
        submission: &JobSubmission,
    ) -> Result<(Arc<Values>, Option<Claim<crate::claim::Granted>>), Refusal> {
        let spec = &submission.job;
        let refuse = |code| {
            let answer = Answer::unstarted(spec.key.clone(), code, self.is_exclusive(submission));
            Box::new(answer.retry_after(Self::RETRY_AFTER))
        };
        let settings = self.settings.as_ref().ok_or_else(|| refuse(Code::SettingsUnavailable))?;
        let values = settings.of(&spec.key.team, &spec.kind);
        let created = spec.key.name.time();
        if created + values.keys_remember < submission.wall {
            return Err(Box::new(expired(spec)));
        }
        if created > submission.wall + CLOCK_SKEW {
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

    /// Determines the settings and estimates of a new job.
    pub(crate) fn terms(&mut self, spec: &JobSpec, values: Arc<Values>) -> Terms {
        let lane = self.queue.lane(&spec.key.team, values.quota_weight.get());
        let kind = self.run_times.kind_no(&spec.key.team, &spec.kind);
        let declared: u64 = spec.tasks.iter().map(|task| task.run.as_ms()).sum();
        let declared = Span::from_ms(declared / (spec.tasks.len() as u64).max(1));
        let cost = self.run_times.mean(kind).unwrap_or(declared);
        Terms { values, lane, kind, cost }
    }

    fn admit(&self, now: Time, submission: &JobSubmission, terms: &Terms) -> Result<(), Refusal> {
        let (spec, values) = (&submission.job, &terms.values);
        if spec.tasks.is_empty() {
            return Err(Box::new(Answer::not_run(spec.key.clone(), Code::NoTasks)));
        }
        let exclusive = self.is_exclusive(submission);
        let refuse = |code| Box::new(Answer::unstarted(spec.key.clone(), code, exclusive));
        if spec.tasks.len() > values.admission_tasks.get() as usize {
            return Err(refuse(Code::TooManyTasks));
        }
        let limit = values.admission_payload.get();
        if spec.tasks.iter().any(|task| task.payload.len() as u64 > limit) {
            return Err(refuse(Code::PayloadTooLarge));
        }
        // Most tasks of a job have equal needs; each run of equal needs is checked once.
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

    /// Returns whether a job would certainly miss its deadline, judged by measured run times and
    /// the queue.
    ///
    /// Declared run times are not used, because they are off by up to a factor of ten. All slots of
    /// the deployment count, including those used by others: they become free within one run time,
    /// and a job that can still complete must not be refused.
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

    /// Returns the number of slots that the shard uses or may get.
    fn slots(&self) -> u64 {
        u64::from(self.cluster.reachable_slots()).max(self.attempts.len() as u64)
    }

    /// Returns the estimated time until half of the queue has run, within bounds.
    fn queue_retry(&self, terms: &Terms) -> Span {
        let wait = self.queue.work_ahead(terms.lane) / (2 * self.slots().max(1));
        wait.clamp(QUEUE_RETRY.0, QUEUE_RETRY.1)
    }
}

/// Answers a submission whose key is too old, or was dropped from a full retention table and may
/// have been used.
fn expired(spec: &JobSpec) -> Answer {
    Answer::new(spec.key.clone(), Outcome::Unknown)
        .code(Code::KeyExpired)
        .detail("no task was started; whether an earlier submission ran is no longer known")
}
