//! Workers that restarted under the id that they had.
//!
//! A later incarnation runs nothing of the earlier one, knows no token, numbers its ends from 1 and restarts its
//! clock. A start that was under way may have reached either incarnation. So the owner opens the worker again
//! under a new token: once the later incarnation obeys it, starts under the earlier token cannot begin there,
//! and what it lists is all that there is.

use cranberryhatch_schema::fleet::{Held as HeldMessage, How, Room};
use cranberryhatch_types::{Span, Time, WorkerId};

use super::{Owner, wire_end};
use crate::{
    Incarnation, Output, RunKey, WorkerStatus,
    assigned_run::RunStage,
    log_event::LogEvent,
    run_lease::{LEASE, LEASE_SLACK},
};

/// Time in which the orders that were under way when a worker restarted arrive or end.
const IN_FLIGHT_LIMIT: Span = Span::from_ms(500);

/// Whether an answer of a worker is of the incarnation that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IncarnationOrder {
    /// It is, as far as the platform tells.
    Current,
    /// An earlier incarnation gave it, and the answer was late.
    Earlier,
    /// The worker has restarted since the last answer.
    Later,
}

impl Owner {
    /// Compares the incarnation that gave an answer with the one that is known, which it is from then on.
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

    /// The worker has restarted: reports what ended with the earlier incarnation, and opens the worker again.
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
        // A start of which neither incarnation has told yet may run in the later one, where a look that is under
        // way, with a lease by the earlier clock, extends it until that look's answer is due.
        worker.lease_end = worker.lease_end.max(now + IN_FLIGHT_LIMIT + LEASE + LEASE_SLACK);
        let mut ends = Vec::new();
        for assigned in &mut worker.runs {
            assigned.duration_unknown = true;
            let is_run = |run: &RunKey| *run == assigned.run;
            let ended = status.ended.iter().find(|end| is_run(&end.run));
            let runs = status.running.iter().any(|running| is_run(&running.run));
            if let Some(end) = ended {
                ends.push((assigned.run.clone(), wire_end(end.how)));
            } else if runs {
                assigned.stage = RunStage::Running { since: assigned.sent_at };
            } else if matches!(assigned.stage, RunStage::Running { .. }) {
                ends.push((assigned.run.clone(), How::Stopped));
            }
        }
        for (run, how) in ends {
            self.end(id, &run, how, now, out);
        }
        self.report_closed(id, now, out);
    }

    /// Tells the scheduler that a worker takes no starts until it is opened again.
    fn report_closed(&self, id: &WorkerId, now: Time, out: &mut Output) {
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
        self.report_to_scheduler(vec![room], Vec::new(), out);
    }

    /// Settles the runs of an earlier incarnation that were under way, once the later one obeys: what it does not
    /// list did not start there and never will, and has ended if it started before.
    pub(super) fn settle_restarted(
        &mut self,
        id: &WorkerId,
        status: &WorkerStatus,
        now: Time,
        out: &mut Output,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut ends = Vec::new();
        for assigned in &mut worker.runs {
            if status.running.iter().any(|running| running.run == assigned.run) {
                if !matches!(assigned.stage, RunStage::Running { .. }) {
                    assigned.stage = RunStage::Running { since: assigned.sent_at };
                }
                continue;
            }
            let ended = status.ended.iter().find(|end| end.run == assigned.run);
            ends.push((assigned.run.clone(), ended.map_or(How::Stopped, |end| wire_end(end.how))));
        }
        for (run, how) in ends {
            self.end(id, &run, how, now, out);
        }
    }
}
