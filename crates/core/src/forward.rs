//! Questions to the holder of a job, and answers to those of other instances.

use std::sync::Arc;

use cranberryhatch_schema::peer::{Forward, ForwardReply, envelope::Body};
use cranberryhatch_types::{Holder, Incarnation, JobKey, KeyName, ShardId, Span, Time};

use crate::{
    Answer, Code, Command, Digest, Dispatcher, JobNo, Outcome, SlabMap, timers::Due, turn::Turn,
    waiters::Target,
};

/// Longest wait asked of a holder at a time; a dead holder is found out after one such slice.
const SLICE: Span = Span::from_ms(500);
/// Most questions about keys without a job that wait; a deployment has a few dozen askers.
const EARLY: usize = 1_024;
/// Time allowed for a reply beyond the wait asked for.
const REPLY: Span = Span::from_secs(1);

/// Questions under way, by number.
#[derive(Debug)]
pub(crate) struct Forwards {
    asked: SlabMap<u64, Question>,
    next: u64,
    early: SlabMap<u64, Early>,
    arrived: u64,
}

/// A question about a key of this life that came before its job.
#[derive(Debug)]
struct Early {
    key: JobKey,
    digest: Option<Digest>,
    from: ShardId,
    request: u64,
    until: Time,
}

/// A question to a holder.
#[derive(Debug)]
struct Question {
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
            asked: SlabMap::default(),
            next: incarnation.get() << 20,
            early: SlabMap::default(),
            arrived: 0,
        }
    }

    /// Whether no question is under way.
    pub(crate) const fn is_empty(&self) -> bool {
        self.asked.is_empty()
    }
}

impl Dispatcher {
    /// Asks the holder of a job on behalf of requests that wait for its answer.
    pub(crate) fn forward(
        &mut self,
        turn: &mut Turn,
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
                .detail("an earlier life of this instance held the job");
            return reply_all(turn, targets, &answer);
        }
        let request = self.forwards.next;
        self.forwards.next += 1;
        let longest = targets.iter().map(|(_, until)| until.since(turn.now)).max();
        let wait = longest.unwrap_or_default().min(SLICE);
        let due = turn.now + wait + REPLY;
        let body = Forward {
            request,
            key: key.to_string(),
            digest: digest.map(|digest| digest.to_vec()).unwrap_or_default(),
            wait_ms: wait.as_ms(),
            cancel,
        };
        // The receiving instance routes the message to the shard of the key.
        let to = ShardId { instance: holder.instance.clone(), shard: 0 };
        turn.push(Command::Send { to, body: Body::Forward(body) });
        self.timers.set(due, Due::Forward(request));
        self.forwards.asked.insert(request, Question { key, holder, digest, targets, due });
    }

    /// Gives up on a holder that has not replied in time.
    pub(crate) fn forward_due(&mut self, turn: &mut Turn, request: u64) {
        let Some(question) = self.forwards.asked.remove(&request) else { return };
        let answer = Answer::new(question.key, Outcome::Unknown)
            .code(Code::HolderUnreachable)
            .retry_after(Self::RETRY_AFTER)
            .detail(format!("{} holds the job and does not answer", question.holder.instance));
        reply_all(turn, question.targets, &answer);
    }

    /// Takes a holder's reply.
    pub(crate) fn forward_replied(
        &mut self,
        turn: &mut Turn,
        from: &ShardId,
        incarnation: Incarnation,
        reply: ForwardReply,
    ) {
        let asked = self.forwards.asked.get(&reply.request);
        if asked.is_none_or(|question| question.holder.instance != from.instance) {
            return;
        }
        let request = reply.request;
        let Some(question) = self.forwards.asked.remove(&request) else { return };
        self.timers.clear(question.due, Due::Forward(request));
        let Question { key, holder, digest, targets, .. } = question;
        if !reply.known {
            let same_life = holder.incarnation == incarnation;
            let code = if same_life { Code::KeyUnknown } else { Code::HolderLost };
            let answer =
                Answer::new(key, Outcome::Unknown).code(code).retry_after(Self::RETRY_AFTER);
            return reply_all(turn, targets, &answer);
        }
        let answer = relayed(key.clone(), reply);
        if answer.outcome != Outcome::Pending {
            return reply_all(turn, targets, &answer);
        }
        let (over, waiting): (Vec<_>, Vec<_>) =
            targets.into_iter().partition(|(_, until)| *until <= turn.now);
        reply_all(turn, over, &answer);
        if !waiting.is_empty() {
            self.forward(turn, key, holder, digest, waiting, false);
        }
    }

    /// Takes another instance's question about a job.
    pub(crate) fn forwarded(&mut self, turn: &mut Turn, from: ShardId, ask: &Forward) {
        let Ok(key) = ask.key.parse::<JobKey>() else {
            return unknown(turn, from, ask.request);
        };
        let digest = Digest::try_from(ask.digest.as_slice()).ok();
        let target = Target::Peer { shard: from.clone(), request: ask.request };
        if let Some(no) = self.jobs.find(&key) {
            let held = self.jobs.get(no).map(|job| job.spec.digest);
            if digest.is_some() && digest != held {
                return turn.push(target.reply(Answer::reused(key)));
            }
            if ask.cancel {
                self.attach(turn, no, target, Time::NEVER);
                return self.give_up(turn, no, Code::Cancelled);
            }
            return self.attach(turn, no, target, turn.now + Span::from_ms(ask.wait_ms));
        }
        match self.known_end(&key, digest.as_ref()) {
            Some(answer) => turn.push(target.reply(answer)),
            None if self.may_come(&key, ask) => {
                let until = turn.now + Span::from_ms(ask.wait_ms).min(SLICE);
                let no = self.forwards.arrived;
                self.forwards.arrived += 1;
                let early = Early { key, digest, from, request: ask.request, until };
                self.forwards.early.insert(no, early);
                self.timers.set(until, Due::Early(no));
            }
            None => unknown(turn, from, ask.request),
        }
    }

    // Whether the job of a key that is not known may be on its way: a caller that sends it here and
    // elsewhere at once may be overtaken by the question of the other instance.
    fn may_come(&self, key: &JobKey, ask: &Forward) -> bool {
        let mine = matches!(&key.name, KeyName::Issued { holder, .. } if *holder == self.me.holder);
        let waits = ask.wait_ms > 0 && !ask.cancel && !self.draining;
        mine && waits && self.forwards.early.len() < EARLY
    }

    /// Has questions that came before a job wait for its answer.
    pub(crate) fn attach_early(&mut self, turn: &mut Turn, no: JobNo) {
        let Some(spec) = self.jobs.get(no).map(|job| Arc::clone(&job.spec)) else { return };
        let same = |(no, early): (&u64, &Early)| (early.key == spec.key).then_some(*no);
        let came: Vec<u64> = self.forwards.early.iter().filter_map(same).collect();
        for early in came {
            let Some(early) = self.forwards.early.remove(&early) else { continue };
            let Early { key, digest, from, request, until } = early;
            let target = Target::Peer { shard: from, request };
            if digest.is_some_and(|digest| digest != spec.digest) {
                turn.push(target.reply(Answer::reused(key)));
            } else {
                self.attach(turn, no, target, until);
            }
        }
    }

    /// Tells that no job came for a question.
    pub(crate) fn early_due(&mut self, turn: &mut Turn, no: u64) {
        if let Some(early) = self.forwards.early.remove(&no) {
            unknown(turn, early.from, early.request);
        }
    }
}

fn reply_all(turn: &mut Turn, targets: Vec<(Target, Time)>, answer: &Answer) {
    for (target, _) in targets {
        turn.push(target.reply(answer.clone()));
    }
}

fn unknown(turn: &mut Turn, to: ShardId, request: u64) {
    let reply = ForwardReply { request, known: false, ..ForwardReply::default() };
    turn.push(Command::Send { to, body: Body::ForwardReply(reply) });
}

fn relayed(key: JobKey, reply: ForwardReply) -> Answer {
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
