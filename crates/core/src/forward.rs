//! Questions to the holder of a job, and answers to those of other instances.

use std::sync::Arc;

use cranberryhatch_schema::peer::{Forward, ForwardReply, envelope::Body};
use cranberryhatch_types::{Holder, Incarnation, JobKey, KeyName, ShardId, Span, Time};

use crate::{
    Answer, Code, Command, Digest, Dispatcher, JobNo, Outcome, SlabMap, context::Context,
    timers::Timer, waiters::Target,
};

/// Longest wait asked of a holder at a time; a dead holder is found out after one such slice.
const MAX_WAIT: Span = Span::from_ms(500);
/// Most questions about keys without a job that wait; a deployment has a few dozen askers.
const MAX_EARLY: usize = 1_024;
/// Time allowed for a reply beyond the wait asked for.
const REPLY_MARGIN: Span = Span::from_secs(1);

/// Questions under way, by number.
#[derive(Debug)]
pub(crate) struct Forwards {
    pending: SlabMap<u64, ForwardedRequest>,
    next_request: u64,
    early: SlabMap<u64, EarlyRequest>,
    next_early: u64,
}

/// A question about a key of this life that came before its job.
#[derive(Debug)]
struct EarlyRequest {
    key: JobKey,
    digest: Option<Digest>,
    from: ShardId,
    request: u64,
    until: Time,
}

/// A question to a holder.
#[derive(Debug)]
struct ForwardedRequest {
    key: JobKey,
    holder: Holder,
    digest: Option<Digest>,
    targets: Vec<(Target, Time)>,
    due: Time,
}

impl Forwards {
    /// No questions; numbers are never those of an earlier life, whose replies may still arrive.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            pending: SlabMap::default(),
            next_request: incarnation.get() << 20,
            early: SlabMap::default(),
            next_early: 0,
        }
    }

    /// Whether no question is under way.
    pub(crate) const fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl Dispatcher {
    /// Asks the holder of a job on behalf of requests that wait for its answer.
    pub(crate) fn forward(
        &mut self,
        ctx: &mut Context,
        key: JobKey,
        holder: Holder,
        digest: Option<Digest>,
        targets: Vec<(Target, Time)>,
        cancel: bool,
    ) {
        if holder.instance == self.me.holder.instance {
            let answer = Answer::new(key, Outcome::Unknown)
                .code(Code::HolderLost)
                .retry_after(Self::RETRY_AFTER)
                .detail("an earlier incarnation of this instance held the job");
            return reply_all(ctx, targets, &answer);
        }
        let request = self.forwards.next_request;
        self.forwards.next_request += 1;
        let longest = targets.iter().map(|(_, until)| until.since(ctx.now)).max();
        let wait = longest.unwrap_or_default().min(MAX_WAIT);
        let due = ctx.now + wait + REPLY_MARGIN;
        let body = Forward {
            request,
            key: key.to_string(),
            digest: digest.map(|digest| digest.to_vec()).unwrap_or_default(),
            wait_ms: wait.as_ms(),
            cancel,
        };
        // The receiving instance routes the message to the shard of the key.
        let to = ShardId { instance: holder.instance.clone(), shard: 0 };
        ctx.push(Command::Send { to, body: Body::Forward(body) });
        self.timers.set(due, Timer::Forward(request));
        self.forwards
            .pending
            .insert(request, ForwardedRequest { key, holder, digest, targets, due });
    }

    /// Gives up on a holder that has not replied in time.
    pub(crate) fn forward_timed_out(&mut self, ctx: &mut Context, request: u64) {
        let Some(forwarded) = self.forwards.pending.remove(&request) else { return };
        let answer = Answer::new(forwarded.key, Outcome::Unknown)
            .code(Code::HolderUnreachable)
            .retry_after(Self::RETRY_AFTER)
            .detail(format!("{} holds the job and does not answer", forwarded.holder.instance));
        reply_all(ctx, forwarded.targets, &answer);
    }

    /// Takes a holder's reply.
    pub(crate) fn handle_forward_reply(
        &mut self,
        ctx: &mut Context,
        from: &ShardId,
        incarnation: Incarnation,
        reply: ForwardReply,
    ) {
        let forwarded = self.forwards.pending.get(&reply.request);
        if forwarded.is_none_or(|forwarded| forwarded.holder.instance != from.instance) {
            return;
        }
        let request = reply.request;
        let Some(forwarded) = self.forwards.pending.remove(&request) else { return };
        self.timers.clear(forwarded.due, Timer::Forward(request));
        let ForwardedRequest { key, holder, digest, targets, .. } = forwarded;
        if !reply.known {
            let same_incarnation = holder.incarnation == incarnation;
            let code = if same_incarnation { Code::KeyUnknown } else { Code::HolderLost };
            let answer =
                Answer::new(key, Outcome::Unknown).code(code).retry_after(Self::RETRY_AFTER);
            return reply_all(ctx, targets, &answer);
        }
        let answer = relayed_answer(key.clone(), reply);
        if answer.outcome != Outcome::Pending {
            return reply_all(ctx, targets, &answer);
        }
        let (over, waiting): (Vec<_>, Vec<_>) =
            targets.into_iter().partition(|(_, until)| *until <= ctx.now);
        reply_all(ctx, over, &answer);
        if !waiting.is_empty() {
            self.forward(ctx, key, holder, digest, waiting, false);
        }
    }

    /// Takes another instance's question about a job.
    pub(crate) fn handle_forward(&mut self, ctx: &mut Context, from: ShardId, ask: &Forward) {
        let Ok(key) = ask.key.parse::<JobKey>() else {
            return reply_unknown(ctx, from, ask.request);
        };
        let digest = Digest::try_from(ask.digest.as_slice()).ok();
        let target = Target::Peer { shard: from.clone(), request: ask.request };
        if let Some(no) = self.jobs.find(&key) {
            let held = self.jobs.get(no).map(|job| job.spec.digest);
            if digest.is_some() && digest != held {
                return ctx.push(target.reply(Answer::reused(key)));
            }
            if ask.cancel {
                self.attach(ctx, no, target, Time::NEVER);
                return self.give_up(ctx, no, Code::Cancelled);
            }
            return self.attach(ctx, no, target, ctx.now + Span::from_ms(ask.wait_ms));
        }
        match self.known_answer(&key, digest.as_ref()) {
            Some(answer) => ctx.push(target.reply(answer)),
            None if self.may_arrive(&key, ask) => {
                let until = ctx.now + Span::from_ms(ask.wait_ms).min(MAX_WAIT);
                let no = self.forwards.next_early;
                self.forwards.next_early += 1;
                let early = EarlyRequest { key, digest, from, request: ask.request, until };
                self.forwards.early.insert(no, early);
                self.timers.set(until, Timer::EarlyRequest(no));
            }
            None => reply_unknown(ctx, from, ask.request),
        }
    }

    // Whether the job of a key that is not known may be on its way: a caller that sends it here and
    // elsewhere at once may be overtaken by the question of the other instance.
    fn may_arrive(&self, key: &JobKey, ask: &Forward) -> bool {
        let mine = matches!(&key.name, KeyName::Issued { holder, .. } if *holder == self.me.holder);
        let waits = ask.wait_ms > 0 && !ask.cancel && !self.draining;
        mine && waits && self.forwards.early.len() < MAX_EARLY
    }

    /// Has questions that came before a job wait for its answer.
    pub(crate) fn attach_early(&mut self, ctx: &mut Context, no: JobNo) {
        let Some(spec) = self.jobs.get(no).map(|job| Arc::clone(&job.spec)) else { return };
        let same = |(no, early): (&u64, &EarlyRequest)| (early.key == spec.key).then_some(*no);
        let came: Vec<u64> = self.forwards.early.iter().filter_map(same).collect();
        for early in came {
            let Some(early) = self.forwards.early.remove(&early) else { continue };
            let EarlyRequest { key, digest, from, request, until } = early;
            let target = Target::Peer { shard: from, request };
            if digest.is_some_and(|digest| digest != spec.digest) {
                ctx.push(target.reply(Answer::reused(key)));
            } else {
                self.attach(ctx, no, target, until);
            }
        }
    }

    /// Tells that no job came for a question.
    pub(crate) fn early_timed_out(&mut self, ctx: &mut Context, no: u64) {
        if let Some(early) = self.forwards.early.remove(&no) {
            reply_unknown(ctx, early.from, early.request);
        }
    }
}

fn reply_all(ctx: &mut Context, targets: Vec<(Target, Time)>, answer: &Answer) {
    for (target, _) in targets {
        ctx.push(target.reply(answer.clone()));
    }
}

fn reply_unknown(ctx: &mut Context, to: ShardId, request: u64) {
    let reply = ForwardReply { request, known: false, ..ForwardReply::default() };
    ctx.push(Command::Send { to, body: Body::ForwardReply(reply) });
}

fn relayed_answer(key: JobKey, reply: ForwardReply) -> Answer {
    Answer {
        key,
        // An outcome of a later version is not understood; what happened is then not known here.
        outcome: reply.outcome.parse().unwrap_or(Outcome::Unknown),
        code: reply.code.parse().ok(),
        detail: reply.detail,
        retry_after: (reply.retry_ms > 0).then(|| Span::from_ms(reply.retry_ms)),
        results: reply.results.into_iter().map(Into::into).collect(),
    }
}
