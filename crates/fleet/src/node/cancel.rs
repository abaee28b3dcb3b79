//! Cancels of jobs, which may reach any instance.

use cranberryhatch_schema::fleet::{Cancels, frame::Body};
use cranberryhatch_types::{InstanceId, Span, Time};

use super::Node;
use crate::{CANCEL_RETENTION, CancelOutcome, Command, Output, log_event::LogEvent};

/// Time for which a caller waits until another instance confirms that it knows of a cancel; longer
/// than it takes to replace a scheduler that is silent.
const CONFIRM_TIMEOUT: Span = Span::from_ms(1_500);

/// Who waits for the confirmation of a cancel.
#[derive(Debug)]
enum Asker {
    /// A caller, by the ticket of its request.
    Caller(u64),
    /// An instance that a caller has asked.
    Peer(InstanceId),
}

/// A cancel that the instances that may have the job have not confirmed yet.
#[derive(Debug)]
pub(super) struct UnconfirmedCancel {
    asker: Asker,
    job: String,
    until: Time,
    // Fronts of the job that have not confirmed it, as far as this instance knows them as the
    // scheduler; sorted. Without any, one other instance confirms it.
    fronts: Vec<InstanceId>,
}

impl UnconfirmedCancel {
    /// Records that a peer knows the cancel; returns whether that confirms it.
    fn confirm(&mut self, peer: &InstanceId) -> bool {
        let is_front = self.fronts.binary_search(peer).map(|place| self.fronts.remove(place));
        self.fronts.is_empty() && (is_front.is_ok() || self.is_of_caller())
    }

    const fn is_of_caller(&self) -> bool {
        matches!(self.asker, Asker::Caller(_))
    }
}

impl Node {
    /// Cancels a job wherever it is. `ticket` identifies the caller's request in
    /// [`Command::AnswerCancel`].
    ///
    /// The cancel of a job that this instance does not have is confirmed by the scheduler once all
    /// fronts of the job have confirmed it, or by an instance that may replace this one. Without an
    /// answer it stays in force here, and the others are told once they are reachable again.
    pub fn cancel(&mut self, ticket: u64, job: &str, now: Time, out: &mut Output) {
        let known = self.cancel_here(job, CANCEL_RETENTION, None, now, out);
        let is_told = self.forward_cancel(job, None, true, now, out);
        let fronts = self.fronts_to_confirm(job, None);
        if known {
            answer(ticket, CancelOutcome::Ended, out);
        } else if is_told || !fronts.is_empty() || self.is_isolated(now) {
            self.await_confirmation(Asker::Caller(ticket), job, fronts, now);
        } else {
            answer(ticket, CancelOutcome::Unknown, out);
        }
        self.process_pending(now, false, out);
    }

    fn await_confirmation(&mut self, asker: Asker, job: &str, fronts: Vec<InstanceId>, now: Time) {
        let (job, until) = (job.to_owned(), now + CONFIRM_TIMEOUT);
        self.unconfirmed.push(UnconfirmedCancel { asker, job, until, fronts });
    }

    /// Returns the fronts of a job that this instance knows as the scheduler, but for those whose
    /// process has ended and the instance that asks; sorted. A front that is out of reach may go on
    /// running the job.
    fn fronts_to_confirm(&self, job: &str, from: Option<&InstanceId>) -> Vec<InstanceId> {
        if !self.is_scheduler() {
            return Vec::new();
        }
        let me = &self.members.me().id;
        let fronts = self.scheduler.fronts_of(job);
        let others = fronts.filter(|front| *front != me && Some(*front) != from);
        let running = others.filter(|front| !self.absent.has_ended(front));
        let mut fronts: Vec<InstanceId> = running.cloned().collect();
        fronts.sort();
        fronts.dedup();
        fronts
    }

    /// Answers the callers whose cancels were not confirmed in time.
    pub(super) fn time_out_cancels(&mut self, now: Time, out: &mut Output) {
        let peers = self.links.len();
        for UnconfirmedCancel { asker, job, fronts, .. } in
            self.unconfirmed.extract_if(.., |cancel| cancel.until <= now)
        {
            let fronts = fronts.len();
            out.log(LogEvent::CancelUnconfirmed { job, peers, fronts });
            // An instance that has asked answers its caller itself.
            if let Asker::Caller(ticket) = asker {
                answer(ticket, CancelOutcome::Unconfirmed, out);
            }
        }
    }

    /// Confirms the cancels that a peer knows to those who wait for it.
    fn confirm_cancels(
        &mut self,
        from: &InstanceId,
        cancels: &Cancels,
        now: Time,
        out: &mut Output,
    ) {
        if self.unconfirmed.is_empty() {
            return;
        }
        let is_isolated = self.is_isolated(now);
        let is_confirmed = |cancel: &mut UnconfirmedCancel| {
            let is_known = cancels.jobs.iter().any(|canceled| canceled.job == cancel.job);
            is_known && !(is_isolated && cancel.is_of_caller()) && cancel.confirm(from)
        };
        let confirmed = self.unconfirmed.extract_if(.., is_confirmed);
        for UnconfirmedCancel { asker, job, .. } in confirmed.collect::<Vec<_>>() {
            match asker {
                Asker::Caller(ticket) => answer(ticket, CancelOutcome::Unknown, out),
                Asker::Peer(peer) => {
                    if let Some(message) = self.canceled.message_of(&job, now) {
                        out.send(&peer, Body::Cancels(message));
                    }
                }
            }
        }
    }

    /// Returns whether this instance has links to less than half of the instances that may be
    /// running, or to none.
    fn is_isolated(&self, now: Time) -> bool {
        let wanted = &self.topology.link_plan().links;
        let (linked, missing): (Vec<&InstanceId>, Vec<&InstanceId>) =
            wanted.iter().partition(|peer| self.links.get(*peer).is_some());
        let is_out_of_reach =
            |peer: &&&InstanceId| self.absent.is_out_of_reach(peer, self.started, now);
        let out_of_reach = missing.iter().filter(is_out_of_reach).count();
        let may_run = missing.iter().any(|peer| !self.absent.has_ended(peer));
        linked.len() < out_of_reach || linked.is_empty() && may_run
    }

    /// Handles cancels that a peer has sent.
    pub(super) fn handle_cancels(
        &mut self,
        from: &InstanceId,
        cancels: &Cancels,
        now: Time,
        out: &mut Output,
    ) {
        if !cancels.notice {
            self.confirm_cancels(from, cancels, now, out);
        }
        let mut confirmed = Cancels::default();
        for canceled in &cancels.jobs {
            let left = Span::from_ms(canceled.left_ms.into());
            let is_new = !self.canceled.contains(&canceled.job, now);
            self.cancel_here(&canceled.job, left, Some(from), now, out);
            let fronts = self.fronts_to_confirm(&canceled.job, Some(from));
            // Instances that take each other for the scheduler must not ask each other in a loop.
            let is_asked = |cancel: &UnconfirmedCancel| {
                cancel.job == canceled.job && !cancel.fronts.is_empty()
            };
            let asks =
                cancels.confirm && !fronts.is_empty() && !self.unconfirmed.iter().any(is_asked);
            if self.is_scheduler() && (is_new || asks) {
                self.forward_cancel(&canceled.job, Some(from), asks, now, out);
            }
            if fronts.is_empty() {
                confirmed.jobs.push(canceled.clone());
            } else if cancels.confirm {
                self.await_confirmation(Asker::Peer(from.clone()), &canceled.job, fronts, now);
            }
        }
        if cancels.confirm && !confirmed.jobs.is_empty() {
            // While the scheduler changes, an instance is asked that does not know the fronts of a job.
            confirmed.notice = !self.is_scheduler() && self.elected.as_ref() != Some(from);
            out.send(from, Body::Cancels(confirmed));
        }
    }

    /// Sends all known cancels to a new scheduler, since the message to the former one may be lost. A
    /// new scheduler sends those that it was told before it scheduled to all peers, since it does not
    /// know which of them have a job. Those that callers wait for are to be confirmed.
    pub(super) fn send_cancels(&mut self, now: Time, out: &mut Output) {
        if self.canceled.is_empty() {
            return;
        }
        let all = Cancels { notice: true, ..self.canceled.to_message(now) };
        let awaited: Vec<String> = self
            .unconfirmed
            .iter()
            .filter(|cancel| cancel.is_of_caller())
            .map(|cancel| cancel.job.clone())
            .collect();
        let jobs = all.jobs.iter().filter(|canceled| awaited.contains(&canceled.job));
        let asked = Cancels { jobs: jobs.cloned().collect(), confirm: true, notice: true };
        let peers = self.links.iter().map(|(peer, _)| peer);
        let is_receiver = |peer: &&InstanceId| {
            self.is_scheduler() || self.elected.as_ref().is_some_and(|elected| elected == *peer)
        };
        for peer in peers.filter(is_receiver) {
            out.send(peer, Body::Cancels(all.clone()));
            if !asked.jobs.is_empty() {
                out.send(peer, Body::Cancels(asked.clone()));
            }
        }
        let known: Vec<Vec<InstanceId>> =
            self.unconfirmed.iter().map(|c| self.fronts_to_confirm(&c.job, None)).collect();
        for (cancel, fronts) in self.unconfirmed.iter_mut().zip(known) {
            if cancel.is_of_caller() {
                cancel.fronts = fronts;
            }
        }
    }

    /// Sends all known cancels to a peer whose link has come up, which may have missed some.
    pub(super) fn send_cancels_to(&self, peer: &InstanceId, now: Time, out: &mut Output) {
        if !self.canceled.is_empty() {
            let message = Cancels { notice: true, ..self.canceled.to_message(now) };
            out.send(peer, Body::Cancels(message));
        }
    }

    fn cancel_here(
        &mut self,
        job: &str,
        left: Span,
        from: Option<&InstanceId>,
        now: Time,
        out: &mut Output,
    ) -> bool {
        let is_new = self.canceled.record(job, left, now);
        let known = self.front.cancel(job, now, out);
        if is_new || known {
            let (job, source) = (job.to_owned(), from.cloned());
            out.log(LogEvent::JobCanceled { job, source, known });
        }
        known
    }

    /// Sends a cancel to the scheduler or, as the scheduler, to the fronts of the job and to the
    /// instances that may replace this one; returns whether there is a receiver. With `confirm`, the
    /// receivers send it back.
    fn forward_cancel(
        &self,
        job: &str,
        from: Option<&InstanceId>,
        confirm: bool,
        now: Time,
        out: &mut Output,
    ) -> bool {
        let Some(message) = self.canceled.message_of(job, now) else { return false };
        let message = Cancels { confirm, notice: true, ..message };
        let mut receivers = if self.is_scheduler() {
            let mut receivers = self.members.standby_schedulers();
            receivers.extend(self.scheduler.fronts_of(job).cloned());
            receivers
        } else {
            self.elected.iter().cloned().collect()
        };
        receivers.sort();
        receivers.dedup();
        receivers.retain(|to| Some(to) != from && *to != self.members.me().id);
        receivers.iter().for_each(|to| out.send(to, Body::Cancels(message.clone())));
        !receivers.is_empty()
    }
}

fn answer(ticket: u64, outcome: CancelOutcome, out: &mut Output) {
    out.commands.push(Command::AnswerCancel { ticket, outcome });
}
