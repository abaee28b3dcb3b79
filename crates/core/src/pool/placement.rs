//! Placement: selects the worker for a task and evaluates how its slot was used.

use cranberryhatch_schema::PlacementPolicy;
use cranberryhatch_types::Time;

use super::{Pool, Slot, SlotOutcome, WorkerNo, worker::Hot};
use crate::Need;

impl Pool {
    /// Takes a slot for a task with a need.
    pub fn acquire(&mut self, now: Time, need: &Need) -> Option<Slot> {
        if now >= self.next_end {
            self.end_loans(now);
        }
        if self.free == 0 {
            return None;
        }
        let pos = match self.rules.policy {
            PlacementPolicy::MostFree => self.most_free(now, need),
            PlacementPolicy::Random => self.random_worker(now, need),
            PlacementPolicy::RoundRobin => self.round_robin(now, need),
            PlacementPolicy::TwoChoices => self.two_choices(now, need),
        }?;
        Some(self.occupy(now, WorkerNo(u32::try_from(pos).unwrap_or(u32::MAX))))
    }

    pub(super) fn most_free(&self, now: Time, need: &Need) -> Option<usize> {
        let mut top = self.ranks.iter().copied().max().unwrap_or(0);
        while top > 0 {
            let same = self.ranks.iter().zip(&self.hot).enumerate();
            let same = same.filter(|(_, (rank, hot))| **rank == top && hot.takes(now, need));
            let order =
                |(_, (_, hot)): &(usize, (&u32, &Hot))| (self.rack_used[hot.rack], hot.latency);
            if let Some((pos, _)) = same.min_by_key(order) {
                return Some(pos);
            }
            // No worker of this rank can take the task.
            top = self.ranks.iter().copied().filter(|rank| *rank < top).max().unwrap_or(0);
        }
        None
    }

    // Starts at a random position. Workers that follow a series of full ones get more than their
    // share, which is acceptable for a baseline policy and needs only one pass.
    pub(super) fn random_worker(&mut self, now: Time, need: &Need) -> Option<usize> {
        let start = self.random.below(self.hot.len());
        self.first_from(start, now, need)
    }

    pub(super) fn round_robin(&mut self, now: Time, need: &Need) -> Option<usize> {
        let pos = self.first_from(self.cursor, now, need)?;
        self.cursor = (pos + 1) % self.hot.len();
        Some(pos)
    }

    pub(super) fn two_choices(&mut self, now: Time, need: &Need) -> Option<usize> {
        let one = self.random_worker(now, need)?;
        let other = self.random_worker(now, need)?;
        Some(if self.hot[other].free > self.hot[one].free { other } else { one })
    }

    pub(super) fn first_from(&self, start: usize, now: Time, need: &Need) -> Option<usize> {
        let (before, after) = self.hot.split_at(start);
        let takes = |hot: &Hot| hot.takes(now, need);
        let found = after.iter().position(takes).map(|pos| pos + start);
        found.or_else(|| before.iter().position(takes))
    }

    pub(super) fn occupy(&mut self, now: Time, no: WorkerNo) -> Slot {
        let hot = &self.hot[no.index()];
        let own = hot.own > hot.reserved;
        self.rack_used[hot.rack] += 1;
        let loan = if own { 0 } else { self.occupy_loan(now, no) };
        let bound = self.rules.leave;
        let worker = &mut self.workers[no.index()];
        if own {
            worker.used += 1;
        } else {
            worker.borrowed_used += 1;
        }
        let held = worker.used + worker.borrowed_used + worker.lent;
        let within = !own || held <= worker.endpoint.slots.get();
        self.invariants.check(within, "used and lent slots do not exceed the worker's slots");
        let late = worker.leaving().is_some_and(|since| now.since(since) > bound);
        self.invariants.check(!late, "no task is sent to an endpoint leaving for too long");
        let drained = worker.drained;
        self.invariants.check(!drained, "no task is placed in a drained zone");
        self.refresh(now, no);
        Slot { worker: no, loan, start: now }
    }

    pub(super) fn occupy_loan(&mut self, now: Time, no: WorkerNo) -> u64 {
        let range = self.loan_range(no);
        let loan = self.loans[range].iter_mut().find(|loan| loan.free(now) > 0);
        self.invariants.check(loan.is_some(), "every free borrowed slot belongs to a loan");
        loan.map_or(0, |loan| {
            loan.used += 1;
            loan.key
        })
    }

    /// Releases a slot.
    pub fn release(&mut self, now: Time, slot: Slot, outcome: SlotOutcome) {
        let no = slot.worker;
        let rack = self.hot[no.index()].rack;
        self.rack_used[rack] = self.rack_used[rack].saturating_sub(1);
        let worker = &mut self.workers[no.index()];
        if slot.loan == 0 {
            worker.used = worker.used.saturating_sub(1);
        } else {
            worker.borrowed_used = worker.borrowed_used.saturating_sub(1);
            if let Some(loan) = self.loan_mut(no, slot.loan) {
                loan.used = loan.used.saturating_sub(1);
            }
        }
        self.record_outcome(now, slot, outcome);
        self.refresh(now, no);
    }

    pub(super) fn record_outcome(&mut self, now: Time, slot: Slot, outcome: SlotOutcome) {
        let no = slot.worker;
        let may_eject = outcome == SlotOutcome::Failed && self.may_eject(no);
        let (limit, probe) = (self.rules.failures, self.rules.probe);
        let worker = &mut self.workers[no.index()];
        match outcome {
            SlotOutcome::Done => {
                worker.health.record_success();
                let slots = worker.endpoint.slots.get();
                worker.limit.record_run(now, now.since(slot.start), self.typical, slots);
            }
            SlotOutcome::Failed => {
                if worker.health.record_failure(now, limit, probe, may_eject) {
                    self.unlendable.push(no);
                }
            }
            SlotOutcome::Busy => worker.limit.record_busy(now),
            SlotOutcome::Leaving => {
                if worker.leaving_reported.is_none() {
                    worker.leaving_reported = Some(now);
                    self.unlendable.push(no);
                }
            }
            SlotOutcome::Unknown => {}
        }
    }

    pub(super) fn may_eject(&self, no: WorkerNo) -> bool {
        let zone = &self.workers[no.index()].endpoint.zone;
        let same = self.workers.iter().filter(|w| w.up && w.endpoint.zone == *zone);
        let (mut total, mut ejected) = (0, 0);
        for worker in same {
            total += 1;
            ejected += u64::from(worker.health.is_ejected());
        }
        ejected < self.rules.share.of(total)
    }
}
