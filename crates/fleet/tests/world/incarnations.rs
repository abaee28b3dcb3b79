//! Incarnations of workers, and checks of the requests of owners that know the current one.

use cranberryhatch_fleet::{Incarnation, Lease, PollResponse, PollResult};

use super::{EventKind, WORKER_HEARTBEAT, World};

/// Longest lease that an owner gives, plus the error of its estimate of the worker's clock.
const LEASE_LIMIT: u64 = 1_000 + 50;

/// Latest incarnation of each worker from which an instance has had a response to a poll.
#[derive(Debug, Default)]
pub struct KnownIncarnations {
    entries: Vec<(usize, u64, usize, Incarnation)>,
}

impl World {
    /// Restarts a worker under its id after a while. It writes its entry in the list at once if
    /// `listed`, and with its next heartbeat otherwise.
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
        self.workers[worker].restart_process(now);
        if listed {
            self.write_entry(worker);
        } else {
            self.schedule(now + WORKER_HEARTBEAT, EventKind::WriteEntry { worker });
        }
    }

    pub(super) fn write_entry(&mut self, worker: usize) {
        let worker = &mut self.workers[worker];
        worker.listed.incarnation = worker.incarnation();
        self.publish_workers();
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

    /// Checks that an owner that knows the current incarnation of a worker starts no run by the entry
    /// of another one.
    pub(super) fn check_entry(&mut self, node: usize, worker: usize, listed: Incarnation) {
        let current = self.workers[worker].incarnation();
        if listed != current && self.knows_incarnation(node, worker) {
            let now = self.now;
            self.violations.push(format!(
                "{now}: e-{node} starts a run by the entry of another incarnation of w-{worker}"
            ));
        }
    }

    /// Returns whether a worker runs in the incarnation that last responded to an instance.
    fn knows_incarnation(&self, node: usize, worker: usize) -> bool {
        let fake = &self.workers[worker];
        let current = (node, self.instances[node].generation, worker, fake.incarnation());
        fake.up && self.known_incarnations.entries.contains(&current)
    }

    /// Checks a request of an owner to a worker whose current incarnation it knows.
    pub(super) fn check_incarnation(
        &mut self,
        node: usize,
        worker: usize,
        lease: Option<Lease>,
        acked: Option<u64>,
    ) {
        if !self.knows_incarnation(node, worker) {
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
