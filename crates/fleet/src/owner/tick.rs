//! Periodic work of an owner.

use cranberryhatch_schema::fleet::{How, Room};
use cranberryhatch_types::{Time, WorkerId};

use super::{
    LATE_REQUEST_LIMIT, Owner, PAUSE_THRESHOLD, REPORT_INTERVAL, STOP_RETRY_DELAY, push_stop,
};
use crate::{
    AssignedRun, Output, RunKey, WorkerList,
    assigned_run::RunStage,
    log_event::{DropCause, LogEvent},
    members::Owners,
};

impl Owner {
    /// Does the work that is due: polls, repeated stop requests, expired leases and reports.
    pub fn tick(
        &mut self,
        list: &WorkerList,
        owners: &Owners,
        wall_ms: u64,
        now: Time,
        out: &mut Output,
    ) {
        self.wall_ms = wall_ms;
        if self.last_tick.is_some_and(|at| now.since(at) >= PAUSE_THRESHOLD) {
            self.paused_until = now;
        }
        self.last_tick = Some(now);
        let ids: Vec<WorkerId> = self.workers.iter().map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.log_entry_change(id, now, out);
            self.resolve_claims(id, now, out);
            self.resend_stops(id, now, out);
            self.end_expired_runs(id, now, out);
            self.drop_unused(id, list, owners, now, out);
        }
        self.losses.review(list.crashes(), now);
        self.stop_unconfirmed(now, out);
        self.send_idle_takeovers(out);
        self.send_polls(now, out);
        self.report(now, out);
    }

    /// Logs when the entry of a worker becomes outdated or current.
    fn log_entry_change(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        match (worker.outdated_since, worker.is_described()) {
            (None, false) => {
                worker.outdated_since = Some(now);
                out.log(LogEvent::EntryOutdated {
                    worker: id.clone(),
                    incarnation: worker.incarnation,
                    listed: worker.listed.incarnation,
                });
            }
            (Some(since), true) => {
                worker.outdated_since = None;
                out.log(LogEvent::EntryCurrent { worker: id.clone(), held: now.since(since) });
            }
            _ => {}
        }
    }

    pub(super) fn resend_stops(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut stops = Vec::new();
        for assigned in &mut worker.runs {
            let due = assigned.stop_requested.is_some_and(|at| now.since(at) >= STOP_RETRY_DELAY);
            if due && assigned.stage != RunStage::Starting {
                assigned.stop_requested = Some(now);
                stops.push(assigned.run.clone());
            }
        }
        for run in stops {
            push_stop(worker, &run, &self.response_times, &mut self.requests_sent, now, out);
        }
    }

    /// Returns whether this process has been paused since `at`, so that a response may have arrived
    /// in time but unread.
    pub(super) fn paused_since(&self, at: Time, now: Time) -> bool {
        let overdue = self.last_tick.is_some_and(|ticked| now.since(ticked) >= PAUSE_THRESHOLD);
        overdue || self.paused_until > at
    }

    /// Reports the runs of an unresponsive worker as ended once their lease has expired.
    ///
    /// A start request without response may take effect even later.
    pub(super) fn end_expired_runs(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get(id) else { return };
        let unresponsive = worker.unresponsive || worker.is_unopened();
        if !unresponsive || now < worker.runs_end() {
            return;
        }
        let is_late = now.since(worker.leased_at) >= LATE_REQUEST_LIMIT;
        let is_over = |assigned: &&AssignedRun| !assigned.may_still_start() || is_late;
        let cause = worker.likely_cause().filter(|_| worker.refuses);
        let runs = worker.runs.iter().filter(is_over).map(|assigned| &assigned.run);
        let ends: Vec<(RunKey, How)> =
            runs.map(|run| (run.clone(), worker.loss_of(run, cause.as_ref()))).collect();
        for (run, how) in ends {
            self.end(id, &run, how, now, out);
        }
    }

    /// Drops a worker without runs that is no longer listed, or that is unresponsive and belongs to
    /// another instance.
    pub(super) fn drop_unused(
        &mut self,
        id: &WorkerId,
        list: &WorkerList,
        owners: &Owners,
        now: Time,
        out: &mut Output,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        if !worker.runs.is_empty() {
            return;
        }
        let unlisted = list.get(id).is_none();
        let idle = worker.is_unopened() || worker.unresponsive;
        let others = owners.of(id, &worker.listed.zone).is_some_and(|owner| *owner != self.me);
        if unlisted || (idle && others && now >= worker.lease_end) {
            self.drop_worker(id, DropCause::Unlisted, now, out);
        }
    }

    pub(super) fn report(&mut self, now: Time, out: &mut Output) {
        let all = now.since(self.reported_at) >= REPORT_INTERVAL;
        if !all && self.unreported.is_empty() && !self.losses_changed {
            return;
        }
        let has_losses = std::mem::take(&mut self.losses_changed);
        let changed = std::mem::take(&mut self.unreported);
        if all {
            self.reported_at = now;
        }
        let wanted = |id: &WorkerId| all || changed.contains(id);
        let rooms: Vec<Room> = self
            .workers
            .iter()
            .filter(|(id, worker)| wanted(id) && !worker.is_unopened())
            .map(|(id, worker)| Room {
                worker: id.to_string(),
                token: worker.token,
                held: worker.all_runs().map(|assigned| assigned.report(now)).collect(),
                open: worker.is_open(),
                standing: self.run_stats.report(id, now),
                born_ms: worker.incarnation.born_ms(),
            })
            .collect();
        if !rooms.is_empty() || has_losses {
            let kinds = if all { self.run_stats.report_kinds() } else { Vec::new() };
            self.report_to_scheduler(rooms, kinds, now, out);
        }
    }
}
