//! Handling of workers that restart under the same id.
//!
//! A new incarnation has no runs, accepts any token, numbers its ends from 1 and resets its clock.
//! A start request that was in flight may have reached either incarnation. The owner therefore
//! opens the worker again under a new token. Once the new incarnation has accepted it, start
//! requests with the earlier token can no longer take effect, and the status of the worker is
//! complete.

use cranberryhatch_schema::fleet::{Held as HeldMessage, Room};
use cranberryhatch_types::{Span, Time, WorkerId};

use super::{Owner, wire_end};
use crate::{
    Incarnation, Output, RunKey, WorkerStatus,
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
    /// A new incarnation: the worker has restarted since the last response.
    Later,
}

impl Owner {
    /// Compares the incarnation that sent a response with the latest known one, and records it if
    /// it is newer.
    pub(super) fn compare_incarnation(
        &mut self,
        id: &WorkerId,
        incarnation: Incarnation,
    ) -> IncarnationOrder {
        let Some(worker) = self.workers.get_mut(id) else { return IncarnationOrder::Current };
        if worker.incarnation.is_after(incarnation) {
            return IncarnationOrder::Earlier;
        }
        let later = incarnation.is_after(worker.incarnation);
        if incarnation.is_known() {
            worker.incarnation = incarnation;
        }
        if later { IncarnationOrder::Later } else { IncarnationOrder::Current }
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
        let (cause, draining) = (worker.likely_cause(), worker.listed.draining);
        let last_poll = worker.polls_sent;
        let mut ends = Vec::new();
        for assigned in &mut worker.runs {
            assigned.duration_unknown = true;
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
