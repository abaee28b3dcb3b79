//! Cancels of jobs, which may reach any instance.

use cranberryhatch_schema::fleet::{Cancels, frame::Body};
use cranberryhatch_types::{InstanceId, Span, Time};

use super::Node;
use crate::{CANCEL_RETENTION, Output, log_event::LogEvent};

impl Node {
    /// Cancels a job wherever it is, and returns whether it was known here.
    pub fn cancel(&mut self, job: &str, now: Time, out: &mut Output) -> bool {
        let known = self.cancel_here(job, CANCEL_RETENTION, None, now, out);
        self.forward_cancel(job, None, now, out);
        self.process_pending(now, false, out);
        known
    }

    /// Handles cancels that a peer has sent.
    pub(super) fn handle_cancels(
        &mut self,
        from: &InstanceId,
        cancels: &Cancels,
        now: Time,
        out: &mut Output,
    ) {
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
        let message = self.canceled.to_message(now);
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
    /// instances that may replace this one.
    fn forward_cancel(&self, job: &str, from: Option<&InstanceId>, now: Time, out: &mut Output) {
        let Some(message) = self.canceled.message_of(job, now) else { return };
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
    }
}
