//! Incarnations of workers, and checks of the requests of owners that know the current one.

use cranberryhatch_fleet::{Incarnation, Lease, PollResponse, PollResult};

use super::{EventKind, World};

/// Longest lease that an owner gives, plus the error of its estimate of the worker's clock.
const LEASE_LIMIT: u64 = 1_000 + 50;

/// Latest incarnation of each worker from which an instance has had a response to a poll.
#[derive(Debug, Default)]
pub struct KnownIncarnations {
    entries: Vec<(usize, u64, usize, Incarnation)>,
}

impl World {
    /// Restarts a worker under its id after a while; its entry in the list is updated if `listed`.
    pub fn restart_worker(&mut self, worker: usize, down: u64, listed: bool) {
        if self.workers[worker].up {
            let now = self.now;
            self.workers[worker].advance(now);
            self.record_crash(worker);
            self.workers[worker].stop_process();
            self.schedule(now + down, EventKind::RestartWorker { worker, listed });
        }
    }

    pub(super) fn restart_process(&mut self, worker: usize, listed: bool) {
        let now = self.now;
        let worker = &mut self.workers[worker];
        worker.restart_process(now);
        if listed {
            worker.listed.incarnation = worker.incarnation();
            self.publish_workers();
        }
    }

    /// Records which incarnation responded to an instance.
    pub(super) fn note_incarnation(&mut self, node: usize, result: &PollResult) {
        let PollResponse::Status(status) = &result.response else { return };
        let Some(worker) = self.place_of(&result.worker) else { return };
        let process = self.instances[node].generation;
        let entries = &mut self.known_incarnations.entries;
        entries.retain(|(n, p, w, _)| (*n, *p, *w) != (node, process, worker));
        entries.push((node, process, worker, status.incarnation));
    }

    /// Checks a request of an owner to a worker whose current incarnation it knows.
    pub(super) fn check_incarnation(
        &mut self,
        node: usize,
        worker: usize,
        lease: Option<Lease>,
        acked: Option<u64>,
    ) {
        let present =
            (node, self.instances[node].generation, worker, self.workers[worker].incarnation());
        if !self.known_incarnations.entries.contains(&present) || !self.workers[worker].up {
            return;
        }
        let (now, fake) = (self.now, &self.workers[worker]);
        if lease.is_some_and(|lease| lease.until > fake.clock(now) + LEASE_LIMIT) {
            self.violations
                .push(format!("{now}: e-{node} gives a lease by an earlier clock of w-{worker}"));
        }
        if acked.is_some_and(|acked| acked > self.workers[worker].last_end()) {
            self.violations.push(format!(
                "{now}: e-{node} acknowledges ends of an earlier generation of w-{worker}"
            ));
        }
    }
}
