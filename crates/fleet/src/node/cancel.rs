//! Cancels of jobs, which may reach any instance.

use cranberryhatch_schema::fleet::{Cancels, frame::Body};
use cranberryhatch_types::{InstanceId, Span, Time};

use super::Node;
use crate::{CANCEL_RETENTION, CancelOutcome, Command, Output, log_event::LogEvent};

/// Time for which a caller waits until another instance confirms that it knows of a cancel; longer
/// than it takes to replace a scheduler that is silent.
const CONFIRM_TIMEOUT: Span = Span::from_ms(1_500);

/// A caller's cancel that no other instance has confirmed yet.
#[derive(Debug)]
pub(super) struct UnconfirmedCancel {
    ticket: u64,
    job: String,
    until: Time,
}

impl Node {
    /// Cancels a job wherever it is. `ticket` identifies the caller's request in
    /// [`Command::AnswerCancel`].
    ///
    /// The cancel of a job that this instance does not have is confirmed by the scheduler, or by an
    /// instance that may replace this one. Without an answer it stays in force here, and the others
    /// are told once they are reachable again.
    pub fn cancel(&mut self, ticket: u64, job: &str, now: Time, out: &mut Output) {
        let known = self.cancel_here(job, CANCEL_RETENTION, None, now, out);
        let is_told = self.forward_cancel(job, None, now, out);
        if known {
            answer(ticket, CancelOutcome::Ended, out);
        } else if is_told || self.is_isolated(now) {
            let until = now + CONFIRM_TIMEOUT;
            self.unconfirmed.push(UnconfirmedCancel { ticket, job: job.to_owned(), until });
        } else {
            answer(ticket, CancelOutcome::Unknown, out);
        }
        self.process_pending(now, false, out);
    }

    /// Answers the callers whose cancels were not confirmed in time.
    pub(super) fn time_out_cancels(&mut self, now: Time, out: &mut Output) {
        let peers = self.links.len();
        for UnconfirmedCancel { ticket, job, .. } in
            self.unconfirmed.extract_if(.., |cancel| cancel.until <= now)
        {
            out.log(LogEvent::CancelUnconfirmed { job, peers });
            answer(ticket, CancelOutcome::Unconfirmed, out);
        }
    }

    /// Answers the callers whose cancels a peer knows.
    fn confirm_cancels(&mut self, cancels: &Cancels, now: Time, out: &mut Output) {
        if self.unconfirmed.is_empty() || self.is_isolated(now) {
            return;
        }
        let is_known = |cancel: &mut UnconfirmedCancel| {
            cancels.jobs.iter().any(|canceled| canceled.job == cancel.job)
        };
        for UnconfirmedCancel { ticket, .. } in self.unconfirmed.extract_if(.., is_known) {
            answer(ticket, CancelOutcome::Unknown, out);
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
        if cancels.confirm {
            let jobs = cancels.jobs.clone();
            out.send(from, Body::Cancels(Cancels { jobs, confirm: false }));
        }
        self.confirm_cancels(cancels, now, out);
        for canceled in &cancels.jobs {
            let left = Span::from_ms(canceled.left_ms.into());
            let is_new = !self.canceled.contains(&canceled.job, now);
            self.cancel_here(&canceled.job, left, Some(from), now, out);
            if is_new && self.is_scheduler() {
                self.forward_cancel(&canceled.job, Some(from), now, out);
            }
        }
    }

    /// Sends all known cancels to a new scheduler, since the message to the former one may be lost. A
    /// new scheduler sends those that it was told before it scheduled to all peers, since it does not
    /// know which of them have a job.
    pub(super) fn send_cancels(&self, now: Time, out: &mut Output) {
        if self.canceled.is_empty() {
            return;
        }
        let confirm = !self.unconfirmed.is_empty();
        let message = Cancels { confirm, ..self.canceled.to_message(now) };
        let peers = self.links.iter().map(|(peer, _)| peer);
        let is_receiver = |peer: &&InstanceId| {
            self.is_scheduler() || self.elected.as_ref().is_some_and(|elected| elected == *peer)
        };
        for peer in peers.filter(is_receiver) {
            out.send(peer, Body::Cancels(message.clone()));
        }
    }

    /// Sends all known cancels to a peer whose link has come up, which may have missed some.
    pub(super) fn send_cancels_to(&self, peer: &InstanceId, now: Time, out: &mut Output) {
        if !self.canceled.is_empty() {
            out.send(peer, Body::Cancels(self.canceled.to_message(now)));
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
    /// instances that may replace this one; returns whether there is a receiver. The receivers of a
    /// caller's cancel, which has no sender, confirm it.
    fn forward_cancel(
        &self,
        job: &str,
        from: Option<&InstanceId>,
        now: Time,
        out: &mut Output,
    ) -> bool {
        let Some(message) = self.canceled.message_of(job, now) else { return false };
        let message = Cancels { confirm: from.is_none(), ..message };
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
