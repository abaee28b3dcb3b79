//! Ideal dispatcher: one central first-in, first-out queue over all live slots, without overhead.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::Plan;

/// Returns the response time of each job in milliseconds, without round trips.
///
/// `capacity` holds the number of live slots, each from a time on, in ascending order. A slot that
/// is removed completes its current task first.
#[must_use]
pub fn ideal(plan: &Plan, capacity: &[(u64, u32)]) -> Vec<u64> {
    let mut queue = Queue::new(capacity);
    let response = |job: &crate::PlannedJob| {
        let ends = job.tasks.iter().map(|task| queue.run(job.at, task.run));
        ends.max().unwrap_or(job.at) - job.at
    };
    plan.jobs.iter().map(response).collect()
}

struct Queue<'a> {
    capacity: &'a [(u64, u32)],
    // Time at which each slot becomes free.
    free: BinaryHeap<Reverse<u64>>,
    slots: u32,
}

impl<'a> Queue<'a> {
    fn new(capacity: &'a [(u64, u32)]) -> Self {
        Self { capacity, free: BinaryHeap::new(), slots: 0 }
    }

    /// Runs a task in the earliest slot and returns the time at which it ends.
    fn run(&mut self, arrival: u64, run: u64) -> u64 {
        loop {
            let start = self.free.peek().map_or(u64::MAX, |Reverse(free)| arrival.max(*free));
            match self.capacity.first() {
                Some((from, slots)) if *from <= start => {
                    let (from, slots) = (*from, *slots);
                    self.capacity = &self.capacity[1..];
                    self.resize(from, slots);
                }
                _ => {
                    self.free.pop();
                    let end = start.saturating_add(run);
                    self.free.push(Reverse(end));
                    return end;
                }
            }
        }
    }

    fn resize(&mut self, from: u64, slots: u32) {
        for _ in self.slots..slots {
            self.free.push(Reverse(from));
        }
        for _ in slots..self.slots {
            self.free.pop();
        }
        self.slots = slots;
    }
}
