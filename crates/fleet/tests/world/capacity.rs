//! Workers whose capacity changes while they run tasks.

use super::{FakeWorker, World, need};

/// Time after which owners know of a change of the capacity.
const KNOWN_AFTER: u64 = 100;

impl World {
    /// Changes the capacity of a worker and lists it.
    pub fn set_capacity(&mut self, worker: usize, cores: u32) {
        self.workers[worker].listed.capacity = need(cores);
        self.workers[worker].resized_at = self.now;
        self.publish_workers();
    }
}

impl FakeWorker {
    /// Returns whether its runs exceed a capacity that has been listed for long enough.
    pub fn is_overloaded(&self, now: u64) -> bool {
        let used: u32 = self.runs.iter().map(|run| run.need.cores.get()).sum();
        used > self.listed.capacity.cores.get() && now >= self.resized_at + KNOWN_AFTER
    }
}
