//! Handling of workers that restart under the same id.
//!
//! A new incarnation has no runs, accepts any token, numbers its ends from 1 and resets its clock.
//! A start request that was in flight may have reached either incarnation. The owner therefore
//! opens the worker again under a new token. Once the new incarnation has accepted it, start
//! requests with the earlier token can no longer take effect, and the status of the worker is
//! complete.
//!
//! Start times do not order incarnations, because the time of day of a machine may be set back. A
//! response of another incarnation comes from a later one if its request was sent after the first
//! response of the latest known incarnation had been read.

use cranberryhatch_schema::fleet::{Held as HeldMessage, Room};
use cranberryhatch_types::{Span, Time, WorkerId};

use super::{Owner, push_stop, wire_end};
use crate::{
    AssignedRun, Incarnation, Output, RunKey, WorkerStatus,
    assigned_run::RunStage,
    log_event::LogEvent,
    run_lease::{LEASE, LEASE_SLACK},
    worker::loss_of,
};

/// Time within which requests that were in flight during a restart arrive or fail.
const IN_FLIGHT_LIMIT: Span = Span::from_ms(500);

/// Age of the incarnation that sent a response, relative to the latest one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IncarnationOrder {
    /// The same incarnation, as far as the platform tells.
    Current,
    /// An earlier incarnation; its response was delayed.
    Earlier,
    /// Another incarnation, either an earlier or a later one: the request was in flight when the
    /// latest known incarnation first responded.
    Unordered,
    /// A new incarnation: the worker has restarted since the last response.
    Later,
}

impl Owner {
    /// Compares the incarnation that responded to a poll, which was sent at `sent`, with the latest
    /// known one, and records it if it is newer.
    pub(super) fn compare_polled(
        &mut self,
        id: &WorkerId,
        incarnation: Incarnation,
        sent: Time,
        now: Time,
    ) -> IncarnationOrder {
        let Some(worker) = self.workers.get_mut(id) else { return IncarnationOrder::Current };
        if !incarnation.is_other(worker.incarnation) {
            if incarnation.is_known() && !worker.incarnation.is_known() {
                worker.set_incarnation(incarnation, now);
            }
            return IncarnationOrder::Current;
        }
        if sent <= worker.incarnation_since {
            return IncarnationOrder::Unordered;
        }
        worker.set_incarnation(incarnation, now);
        IncarnationOrder::Later
    }

    /// Compares the incarnation that responded to the start request with this number with the latest
    /// known one, and records it if it is newer.
    pub(super) fn compare_started(
        &mut self,
        id: &WorkerId,
        number: u64,
        incarnation: Incarnation,
        now: Time,
    ) -> IncarnationOrder {
        let Some(worker) = self.workers.get_mut(id) else { return IncarnationOrder::Current };
        let assigned = worker.run_of_request(number);
        let sent_to = assigned.map(|assigned| (assigned.incarnation, assigned.stage));
        if !incarnation.is_other(worker.incarnation) {
            // A request of an earlier ownership may have reached an earlier incarnation.
            if incarnation.is_known() && !worker.incarnation.is_known() && sent_to.is_some() {
                worker.set_incarnation(incarnation, now);
            }
            return IncarnationOrder::Current;
        }
        match sent_to {
            // A run in another stage was found by a poll of the latest incarnation.
            Some((latest, RunStage::Starting)) if latest == worker.incarnation => {
                worker.set_incarnation(incarnation, now);
                IncarnationOrder::Later
            }
            Some((earlier, _)) if earlier == incarnation => IncarnationOrder::Earlier,
            _ => IncarnationOrder::Unordered,
        }
    }

    /// Keeps a run whose start request was carried out by an incarnation that may have ended, until
    /// a poll settles whether it runs.
    pub(super) fn hold_unordered(
        &mut self,
        id: &WorkerId,
        number: u64,
        now: Time,
        out: &mut Output,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let last_poll = worker.polls_sent;
        let is_starting = |assigned: &&mut AssignedRun| {
            assigned.request == Some(number) && assigned.stage == RunStage::Starting
        };
        let Some(assigned) = worker.runs.iter_mut().find(is_starting) else { return };
        let run = assigned.run.clone();
        assigned.stage = RunStage::Unconfirmed { last_poll, stop_accepted: None };
        assigned.mark_restarted();
        let unwanted = assigned.stop_requested.is_some();
        if unwanted {
            assigned.stop_requested = Some(now);
        }
        worker.needs_status = true;
        if unwanted {
            push_stop(worker, &run, &self.response_times, &mut self.requests_sent, now, out);
        }
    }

    /// Handles a restart of the worker: reports the runs that ended with the earlier incarnation
    /// and opens the worker again.
    pub(super) fn handle_restart(
        &mut self,
        id: &WorkerId,
        status: &WorkerStatus,
        now: Time,
        out: &mut Output,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        if worker.is_unopened() && worker.runs.is_empty() {
            return;
        }
        // A run whose lease has ended, or whose end this paused process may have missed, may have
        // ended before the restart.
        let may_have_ended = now >= worker.lease_end || self.paused_since(worker.responded_at, now);
        let (incarnation, runs) = (worker.incarnation, worker.runs.len());
        out.log(LogEvent::IncarnationEnded { worker: id.clone(), incarnation, runs });
        let token = self.next_token(0);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.reopen(token, now);
        self.run_stats.forget(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        // A start request that neither incarnation has confirmed may take effect in the new one. A
        // poll in flight, whose lease is by the earlier clock, can extend that run until the poll
        // times out.
        worker.lease_end = worker.lease_end.max(now + IN_FLIGHT_LIMIT + LEASE + LEASE_SLACK);
        let cause = worker.likely_cause().filter(|_| !may_have_ended);
        let draining = worker.listed.draining;
        let last_poll = worker.polls_sent;
        let mut ends = Vec::new();
        for assigned in &mut worker.runs {
            assigned.duration_unknown = true;
            assigned.forget_stops();
            let is_run = |run: &RunKey| *run == assigned.run;
            let ended = status.ended.iter().find(|end| is_run(&end.run));
            let runs = status.running.iter().any(|running| is_run(&running.run));
            if let Some(end) = ended {
                ends.push((assigned.run.clone(), wire_end(end.how)));
            } else if runs {
                assigned.stage = RunStage::Running { since: assigned.sent_at, last_poll };
            } else if matches!(assigned.stage, RunStage::Running { .. }) {
                let how = loss_of(draining, &assigned.run, cause.as_ref());
                ends.push((assigned.run.clone(), how));
            }
        }
        for (run, how) in ends {
            self.end(id, &run, how, now, out);
        }
        self.report_closed(id, now, out);
    }

    /// Reports to the scheduler that a worker takes no runs until it is opened again.
    fn report_closed(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get(id) else { return };
        let held: Vec<HeldMessage> =
            worker.runs.iter().map(|assigned| assigned.report(now)).collect();
        let room = Room {
            worker: id.to_string(),
            token: worker.token,
            held,
            born_ms: worker.incarnation.born_ms(),
            ..Room::default()
        };
        self.report_to_scheduler(vec![room], Vec::new(), now, out);
    }

    /// Resolves the requests that were in flight during a restart, once the new incarnation has
    /// accepted the token. A run that it does not list will never start there; if it started
    /// before, it has ended.
    pub(super) fn resolve_restarted(
        &mut self,
        id: &WorkerId,
        status: &WorkerStatus,
        now: Time,
        out: &mut Output,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let (draining, last_poll) = (worker.listed.draining, worker.polls_sent);
        let mut ends = Vec::new();
        for assigned in &mut worker.runs {
            if status.running.iter().any(|running| running.run == assigned.run) {
                if !matches!(assigned.stage, RunStage::Running { .. }) {
                    assigned.stage = RunStage::Running { since: assigned.sent_at, last_poll };
                }
                continue;
            }
            let ended = status.ended.iter().find(|end| end.run == assigned.run);
            ends.push((
                assigned.run.clone(),
                ended.map_or_else(
                    || loss_of(draining, &assigned.run, None),
                    |end| wire_end(end.how),
                ),
            ));
        }
        for (run, how) in ends {
            self.end(id, &run, how, now, out);
        }
    }
}
