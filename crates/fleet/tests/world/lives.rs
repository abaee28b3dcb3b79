//! Lives of workers, and what an owner that has met a life may order.

use cranberryhatch_fleet::{Lease, Life, PollResponse, PollResult};

use super::{Happening, World};

/// Longest lease that an owner names, and the error of its picture of the worker's clock.
const LEASE_LIMIT: u64 = 1_000 + 50;

/// Lives of workers from which instances have had an answer to a look.
#[derive(Debug, Default)]
pub struct Met {
    lives: Vec<(usize, u64, usize, Life)>,
}

impl World {
    /// Restarts a worker under its id after a while; its entry in the list follows if `listed`.
    pub fn restart_worker(&mut self, worker: usize, down: u64, listed: bool) {
        if self.workers[worker].up {
            let now = self.now;
            self.workers[worker].advance(now);
            self.workers[worker].end_life();
            self.at(now + down, Happening::Reborn { worker, listed });
        }
    }

    pub(super) fn begin_life(&mut self, worker: usize, listed: bool) {
        let now = self.now;
        let worker = &mut self.workers[worker];
        worker.begin_life(now);
        if listed {
            worker.listed.life = worker.life();
            self.relist();
        }
    }

    /// Notes which life an instance has an answer of.
    pub(super) fn meet(&mut self, node: usize, looked: &PollResult) {
        let PollResponse::Status(seen) = &looked.answer else { return };
        let Some(worker) = self.place_of(&looked.worker) else { return };
        let process = self.instances[node].life;
        let lives = &mut self.met.lives;
        lives.retain(|(n, p, w, _)| (*n, *p, *w) != (node, process, worker));
        lives.push((node, process, worker, seen.life));
    }

    /// Checks what an owner orders of a worker whose present life it has met.
    pub(super) fn check_life(
        &mut self,
        node: usize,
        worker: usize,
        lease: Option<Lease>,
        acked: Option<u64>,
    ) {
        let present = (node, self.instances[node].life, worker, self.workers[worker].life());
        if !self.met.lives.contains(&present) || !self.workers[worker].up {
            return;
        }
        let (now, fake) = (self.now, &self.workers[worker]);
        if lease.is_some_and(|lease| lease.until > fake.clock(now) + LEASE_LIMIT) {
            self.faults
                .push(format!("{now}: e-{node} names a lease of an earlier clock of w-{worker}"));
        }
        if acked.is_some_and(|acked| acked > self.workers[worker].last_end()) {
            self.faults.push(format!(
                "{now}: e-{node} acknowledges ends of an earlier life of w-{worker}"
            ));
        }
    }
}
