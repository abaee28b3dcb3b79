//! Requests forwarded to the holder of a job, and replies to those of other instances.

use std::sync::Arc;

use cranberryhatch_schema::peer::{Forward, ForwardReply, envelope::Body};
use cranberryhatch_types::{Holder, Incarnation, JobKey, KeyName, ShardId, Span, Time};

use crate::{
    Answer, Code, Command, Digest, Dispatcher, JobNo, Outcome, SlabMap, context::Context,
    timers::Timer, waiters::Target,
};

/// Maximum wait requested from a holder at a time, so that a dead holder is noticed after it.
const MAX_WAIT: Span = Span::from_ms(500);
/// Maximum number of waiting requests about keys without a job; a deployment has a few dozen
/// forwarding shards.
const MAX_EARLY: usize = 1_024;
/// Time allowed for a reply in addition to the requested wait.
const REPLY_MARGIN: Span = Span::from_secs(1);

/// Forwarded requests by number.
#[derive(Debug)]
pub(crate) struct Forwards {
    pending: SlabMap<u64, ForwardedRequest>,
    next_request: u64,
    early: SlabMap<u64, EarlyRequest>,
    next_early: u64,
}

/// A request about a key of this incarnation that arrived before its job.
#[derive(Debug)]
struct EarlyRequest {
    key: JobKey,
    digest: Option<Digest>,
    from: ShardId,
    request: u64,
    until: Time,
}

/// A request forwarded to a holder.
#[derive(Debug)]
struct ForwardedRequest {
    key: JobKey,
    holder: Holder,
    digest: Option<Digest>,
    targets: Vec<(Target, Time)>,
    due: Time,
}

impl Forwards {
    /// Creates an empty set. Request numbers differ from those of earlier incarnations, whose
    /// replies may still arrive.
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            pending: SlabMap::default(),
            next_request: incarnation.get() << 20,
            early: SlabMap::default(),
            next_early: 0,
        }
    }

    /// Returns whether no forwarded request is pending.
    pub(crate) const fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl Dispatcher {
    /// Forwards requests that wait for the answer to a job to the job's holder.
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

    /// Answers the requests forwarded to a holder that did not reply in time.
    pub(crate) fn forward_timed_out(&mut self, ctx: &mut Context, request: u64) {
        let Some(forwarded) = self.forwards.pending.remove(&request) else { return };
        let answer = Answer::new(forwarded.key, Outcome::Unknown)
            .code(Code::HolderUnreachable)
            .retry_after(Self::RETRY_AFTER)
            .detail(format!("{} holds the job and does not answer", forwarded.holder.instance));
        reply_all(ctx, forwarded.targets, &answer);
    }

    /// Handles a holder's reply.
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
        let (expired, waiting): (Vec<_>, Vec<_>) =
            targets.into_iter().partition(|(_, until)| *until <= ctx.now);
        reply_all(ctx, expired, &answer);
        if !waiting.is_empty() {
            self.forward(ctx, key, holder, digest, waiting, false);
        }
    }

    /// Handles a request about a job forwarded by another instance.
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

    // Whether the job of an unknown key may still arrive: a caller may send it to this instance and
    // to another one at once, and the request forwarded by the other one may arrive first.
    fn may_arrive(&self, key: &JobKey, ask: &Forward) -> bool {
        let mine = matches!(&key.name, KeyName::Issued { holder, .. } if *holder == self.me.holder);
        let waits = ask.wait_ms > 0 && !ask.cancel && !self.draining;
        mine && waits && self.forwards.early.len() < MAX_EARLY
    }

    /// Attaches the forwarded requests that arrived before a job to the job.
    pub(crate) fn attach_early(&mut self, ctx: &mut Context, no: JobNo) {
        let Some(spec) = self.jobs.get(no).map(|job| Arc::clone(&job.spec)) else { return };
        let same = |(no, early): (&u64, &EarlyRequest)| (early.key == spec.key).then_some(*no);
        let arrived: Vec<u64> = self.forwards.early.iter().filter_map(same).collect();
        for early in arrived {
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

    /// Replies that no job arrived for a forwarded request.
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
        // An outcome added in a later version is unknown here, and so is what happened.
        outcome: reply.outcome.parse().unwrap_or(Outcome::Unknown),
        code: reply.code.parse().ok(),
        detail: reply.detail,
        retry_after: (reply.retry_ms > 0).then(|| Span::from_ms(reply.retry_ms)),
        results: reply.results.into_iter().map(Into::into).collect(),
    }
}
