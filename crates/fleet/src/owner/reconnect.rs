//! Reconciliation of runs with fronts whose link was lost and is back.

use cranberryhatch_schema::fleet::{Confirm, Ended, How, Obeying, Relinked, Run};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use super::{Owner, push_stop};
use crate::{
    Output, RunKey, VecMap,
    assigned_run::RunStage,
    log_event::{LogEvent, StopCause},
    output::Message,
    worker::Ownership,
};

/// Time for which reported ends are kept in case they were lost with a link; an unresponsive link
/// is closed sooner.
const ENDS_RETENTION: Span = Span::from_ms(3_000);
/// Time that a front has to confirm its runs after its link is back.
const CONFIRM_TIMEOUT: Span = Span::from_ms(300);

/// Reports that fronts may have missed.
#[derive(Debug, Default)]
pub(super) struct Reconnects {
    // Recently reported ends, oldest first.
    recent_ends: Vec<(Time, InstanceId, Ended)>,
    // Fronts that were asked to confirm their runs, with the time.
    awaiting_confirm: Vec<(Time, InstanceId)>,
}

impl Reconnects {
    /// Records the end of a run that is reported to a front.
    pub(super) fn record_end(&mut self, front: &InstanceId, ended: &Ended, now: Time) {
        self.recent_ends.push((now, front.clone(), ended.clone()));
    }

    /// Returns how the end of a run on a worker was last reported, and how long ago.
    pub(super) fn recent_end(
        &self,
        worker: &WorkerId,
        run: &RunKey,
        now: Time,
    ) -> Option<(How, Span)> {
        let is_run = |ended: &Ended| {
            ended.worker == worker.as_str()
                && ended.run.as_ref().is_some_and(|known| RunKey::from(known) == *run)
        };
        let (at, _, ended) = self.recent_ends.iter().rfind(|(.., ended)| is_run(ended))?;
        Some((ended.how(), now.since(*at)))
    }

    fn drop_old_ends(&mut self, now: Time) {
        let old = self.recent_ends.partition_point(|(at, ..)| now.since(*at) >= ENDS_RETENTION);
        self.recent_ends.drain(..old);
    }
}

impl Owner {
    /// Handles the loss of the link to a front: heartbeats no longer prove that it wants its runs,
    /// until it confirms them.
    pub fn front_link_lost(&mut self, front: &InstanceId) {
        self.disown_deferred_starts(front);
        let assigned = self.workers.iter_mut().flat_map(|(_, worker)| &mut worker.runs);
        assigned
            .filter(|assigned| assigned.front == *front)
            .for_each(|assigned| assigned.wanted = false);
    }

    /// Sends a front whose link is back its runs, its recent ends and the open workers.
    pub fn front_reconnected(&mut self, front: &InstanceId, now: Time, out: &mut Output) {
        self.reconnects.drop_old_ends(now);
        let assigned = self.workers.iter().flat_map(|(_, worker)| &worker.runs);
        let running = assigned.filter(|assigned| assigned.front == *front && assigned.is_claimed());
        let running: Vec<Run> = running.map(|assigned| Run::from(&assigned.run)).collect();
        let ended = self.reconnects.recent_ends.iter().filter(|(_, to, _)| to == front);
        let ended = ended.map(|(.., ended)| ended.clone()).collect();
        let open = self.workers.iter().filter(|(_, worker)| worker.ownership == Ownership::Open);
        let obeying =
            open.map(|(id, worker)| Obeying { worker: id.to_string(), token: worker.token });
        let obeying = obeying.collect();
        self.reconnects.awaiting_confirm.push((now, front.clone()));
        out.send(front, Message::Relinked(Relinked { running, ended, obeying }));
    }

    /// Handles the confirmation of the runs that a front still wants after its link was lost.
    pub fn handle_confirm(&mut self, front: &InstanceId, confirm: &Confirm) {
        let runs: Vec<RunKey> = confirm.runs.iter().map(RunKey::from).collect();
        let assigned = self.workers.iter_mut().flat_map(|(_, worker)| &mut worker.runs);
        let own = assigned
            .filter(|assigned| assigned.front == *front && assigned.stop_requested.is_none());
        own.filter(|assigned| runs.contains(&assigned.run))
            .for_each(|assigned| assigned.wanted = true);
    }

    /// Stops the runs that their fronts have not confirmed in time.
    pub(super) fn stop_unconfirmed(&mut self, now: Time, out: &mut Output) {
        self.reconnects.drop_old_ends(now);
        let due = self
            .reconnects
            .awaiting_confirm
            .partition_point(|(at, _)| now.since(*at) >= CONFIRM_TIMEOUT);
        let fronts: Vec<InstanceId> =
            self.reconnects.awaiting_confirm.drain(..due).map(|(_, front)| front).collect();
        if fronts.is_empty() {
            return;
        }
        let mut stopped: VecMap<InstanceId, usize> = VecMap::default();
        for (_, worker) in self.workers.iter_mut() {
            let mut stops = Vec::new();
            let reconnects = worker
                .runs
                .iter_mut()
                .filter(|assigned| !assigned.wanted && assigned.stop_requested.is_none());
            for assigned in reconnects
                .filter(|assigned| assigned.is_claimed() && fronts.contains(&assigned.front))
            {
                assigned.stop_requested = Some(now);
                *stopped.get_or_insert_with(assigned.front.clone(), || 0) += 1;
                if assigned.stage != RunStage::Starting {
                    stops.push(assigned.run.clone());
                }
            }
            for run in stops {
                push_stop(worker, &run, &self.response_times, &mut self.requests_sent, now, out);
            }
        }
        for (front, runs) in stopped.iter() {
            let (front, runs, cause) = (front.clone(), *runs, StopCause::Unconfirmed);
            out.log(LogEvent::FrontRunsStopped { front, runs, cause });
        }
    }
}
