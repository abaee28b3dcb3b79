//! What is due by the time.

use cranberryhatch_schema::fleet::{How, Room};
use cranberryhatch_types::{Time, WorkerId};

use super::{LATE_LIMIT, Owner, REPORT_EVERY, STANDSTILL, STOP_AGAIN, push_stop};
use crate::{Held, Listing, Output, RunKey, held::Stage, log_event::DropCause, members::Owners};

impl Owner {
    /// Sends what is due: looks, stops, tries to open, reports.
    pub fn tick(
        &mut self,
        listing: &Listing,
        owners: &Owners,
        wall_ms: u64,
        now: Time,
        out: &mut Output,
    ) {
        self.wall_ms = wall_ms;
        if self.ticked.is_some_and(|at| now.since(at) >= STANDSTILL) {
            self.stood = now;
        }
        self.ticked = Some(now);
        let ids: Vec<WorkerId> = self.workers.iter().map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.settle_claims(id, now, out);
            self.stop_again(id, now, out);
            self.lapse(id, now, out);
            self.drop_unused(id, listing, owners, now, out);
        }
        self.stop_unconfirmed(now, out);
        self.tell_idle(out);
        self.look(now, out);
        self.report(now, out);
    }

    pub(super) fn stop_again(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut stops = Vec::new();
        for held in &mut worker.held {
            let due = held.stopping.is_some_and(|at| now.since(at) >= STOP_AGAIN);
            if due && held.stage != Stage::Starting {
                held.stopping = Some(now);
                stops.push(held.run.clone());
            }
        }
        for run in stops {
            push_stop(worker, &run, &self.answers, now, out);
        }
    }

    /// Whether this process stood still since `at`, so that what it waited for may have come in time.
    pub(super) fn stood_since(&self, at: Time, now: Time) -> bool {
        let overdue = self.ticked.is_some_and(|ticked| now.since(ticked) >= STANDSTILL);
        overdue || self.stood > at
    }

    /// Reports the runs of a worker that does not answer once their lease has ended.
    ///
    /// A start without answer may be carried out later than that where leases count from the arrival, and
    /// so may a look that renews its lease.
    pub(super) fn lapse(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get(id) else { return };
        let silent = worker.dark || worker.is_unopened();
        if !silent || now < worker.lease_end {
            return;
        }
        let is_late = now.since(worker.leased) >= LATE_LIMIT;
        let is_over = |held: &&Held| !held.is_unproven() || is_late;
        let runs: Vec<RunKey> =
            worker.held.iter().filter(is_over).map(|held| held.run.clone()).collect();
        for run in runs {
            self.end(id, &run, How::Stopped, now, out);
        }
    }

    /// Gives up a worker that left the list, or that is another's while it does not answer here.
    pub(super) fn drop_unused(
        &mut self,
        id: &WorkerId,
        listing: &Listing,
        owners: &Owners,
        now: Time,
        out: &mut Output,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        if !worker.held.is_empty() {
            return;
        }
        let unlisted = listing.get(id).is_none();
        let idle = worker.is_unopened() || worker.dark;
        let others = owners.of(id, &worker.listed.zone).is_some_and(|owner| *owner != self.me);
        if unlisted || (idle && others && now >= worker.lease_end) {
            self.drop_worker(id, DropCause::Unlisted, now, out);
        }
    }

    pub(super) fn report(&mut self, now: Time, out: &mut Output) {
        let all = now.since(self.reported) >= REPORT_EVERY;
        if !all && self.changed.is_empty() {
            return;
        }
        let changed = std::mem::take(&mut self.changed);
        if all {
            self.reported = now;
        }
        let wanted = |id: &WorkerId| all || changed.contains(id);
        let rooms: Vec<Room> = self
            .workers
            .iter()
            .filter(|(id, worker)| wanted(id) && !worker.is_unopened())
            .map(|(id, worker)| Room {
                worker: id.to_string(),
                token: worker.token,
                held: worker.held.iter().map(|held| held.report(now)).collect(),
                open: worker.is_open(),
                standing: self.run_stats.report(id, now),
                born_ms: worker.life.born_ms(),
            })
            .collect();
        if !rooms.is_empty() {
            let kinds = if all { self.run_stats.report_kinds() } else { Vec::new() };
            self.report_to_scheduler(rooms, kinds, out);
        }
    }
}
