//! Slots that are lent and borrowed.

use cranberryhatch_types::{Slots, Time};

use super::{MESSAGE_DELAY, Pool, WorkerNo, worker::Hot};
use crate::{Endpoint, Need, loan::Loan};

impl Pool {
    /// Lifts the guard of workers if it was set early enough before `since`, the time since which
    /// all shards have reported that they have borrowed nothing, and if all slots are accounted
    /// for.
    pub(crate) fn lift_guards(&mut self, now: Time, since: Time) {
        for no in self.all() {
            let worker = &mut self.workers[no.index()];
            let known = worker.guarded_since + MESSAGE_DELAY <= since
                && worker.seen >= worker.guarded_since;
            let whole = worker.available + worker.lent >= worker.endpoint.slots.get();
            if worker.guarded_until.is_some() && known && whole && worker.up {
                worker.guarded_until = None;
                self.refresh(now, no);
            }
        }
    }

    /// Returns whether an own worker is guarded and has sent no heartbeat since; if `idle`, i.e. if
    /// no shard has borrowed anything, whether any own worker is guarded. With loans of an earlier
    /// owner, readiness does not wait for their leases to end.
    pub(crate) fn is_guarded(&self, idle: bool) -> bool {
        let own = self.workers.iter().filter(|worker| worker.owned && worker.is_usable());
        let mut guarded = own.filter(|worker| worker.guarded_until.is_some());
        guarded.any(|worker| idle || worker.seen < worker.guarded_since)
    }

    /// Returns the number of borrowed slots that may be used or are in use.
    pub(crate) fn borrowed(&self) -> u32 {
        self.loans.iter().map(|loan| loan.slots.max(loan.used)).sum()
    }

    /// Returns the number of idle slots of own workers, including reserved ones.
    pub(crate) fn idle(&self, now: Time) -> u32 {
        self.hot.iter().enumerate().map(|(pos, _)| self.lendable_at(now, pos)).sum()
    }

    pub(super) fn lendable_at(&self, now: Time, pos: usize) -> u32 {
        let (hot, worker) = (&self.hot[pos], &self.workers[pos]);
        let lends = worker.guarded_until.is_none()
            && !worker.health.is_ejected()
            && hot.paused_until <= now;
        if lends { hot.own } else { 0 }
    }

    /// Returns the own worker with the most lendable slots for a need, and their number.
    pub(crate) fn lendable(&self, now: Time, need: &Need) -> Option<(WorkerNo, u32)> {
        let fits = |(_, hot): &(usize, &Hot)| hot.own > 0 && hot.fits(need);
        let fitting = self.hot.iter().enumerate().filter(fits);
        let slots = fitting.map(|(pos, hot)| (hot.class, self.lendable_at(now, pos), pos));
        let (_, slots, pos) = slots.filter(|(_, slots, _)| *slots > 0).max()?;
        Some((WorkerNo(u32::try_from(pos).unwrap_or(u32::MAX)), slots))
    }

    /// Reserves a free slot of an own worker for other shards; returns `false` if there is none.
    pub(crate) fn reserve(&mut self, now: Time, no: WorkerNo) -> bool {
        let hot = &self.hot[no.index()];
        let can = hot.own > hot.reserved && self.workers[no.index()].guarded_until.is_none();
        if can {
            self.workers[no.index()].reserved += 1;
            self.refresh(now, no);
        }
        can
    }

    /// Returns the number of slots reserved for other shards.
    pub(crate) fn reserved(&self) -> u32 {
        self.hot.iter().map(|hot| hot.reserved).sum()
    }

    /// Cancels all reservations for other shards.
    pub(crate) fn unreserve(&mut self, now: Time) {
        for no in self.all() {
            if std::mem::take(&mut self.workers[no.index()].reserved) > 0 {
                self.refresh(now, no);
            }
        }
    }

    /// Counts slots of an own worker as lent.
    pub(crate) fn lend(&mut self, now: Time, no: WorkerNo, slots: u32) {
        let worker = &mut self.workers[no.index()];
        worker.lent += slots;
        worker.reserved = worker.reserved.saturating_sub(slots);
        let held = worker.used + worker.borrowed_used + worker.lent;
        let within = held <= worker.endpoint.slots.get();
        self.invariants.check(within, "used and lent slots do not exceed the worker's slots");
        self.refresh(now, no);
    }

    /// Counts lent slots as returned.
    pub(crate) fn end_lent(&mut self, now: Time, no: WorkerNo, slots: u32) {
        let worker = &mut self.workers[no.index()];
        self.invariants.check(worker.lent >= slots, "no more slots are returned than were lent");
        worker.lent = worker.lent.saturating_sub(slots);
        self.refresh(now, no);
    }

    /// Counts lent slots as returned although the borrower did not return them. Its tasks may still
    /// be running, so the worker is guarded: it is used only as far as its endpoint reports free
    /// slots.
    pub(crate) fn expire_lent(&mut self, now: Time, no: WorkerNo, slots: u32) {
        let worker = &mut self.workers[no.index()];
        if worker.guarded_until.is_none() && worker.owned {
            worker.guarded_until = Some(now);
            worker.guarded_since = now;
        }
        self.end_lent(now, no, slots);
    }

    /// Returns whether loans on a worker may be renewed.
    pub(crate) fn is_renewable(&self, no: WorkerNo) -> bool {
        let worker = &self.workers[no.index()];
        worker.owned && worker.is_usable() && !worker.health.is_ejected()
    }

    pub(super) fn loan_range(&self, no: WorkerNo) -> std::ops::Range<usize> {
        let start = self.loans.partition_point(|loan| loan.worker < no);
        let end = self.loans.partition_point(|loan| loan.worker <= no);
        start..end
    }

    pub(super) fn loans_of(&self, no: WorkerNo) -> impl Iterator<Item = &Loan> {
        self.loans[self.loan_range(no)].iter()
    }

    pub(super) fn loan_mut(&mut self, no: WorkerNo, key: u64) -> Option<&mut Loan> {
        let pos = self.loans.binary_search_by_key(&(no, key), |loan| (loan.worker, loan.key));
        pos.ok().map(|pos| &mut self.loans[pos])
    }

    /// Returns the loans of this shard, sorted by worker.
    pub(crate) fn loans(&self) -> &[Loan] {
        &self.loans
    }

    /// Returns the loans for modification. The caller must keep their order and `used`, and then
    /// call [`Self::refresh_loans`].
    pub(crate) fn loans_mut(&mut self) -> &mut [Loan] {
        &mut self.loans
    }

    /// Updates the data that depends on the loans on a worker.
    pub(crate) fn refresh_loans(&mut self, now: Time, no: WorkerNo) {
        self.next_end = self
            .loans
            .iter()
            .map(|loan| loan.end)
            .filter(|end| *end > now)
            .min()
            .unwrap_or(Time::NEVER);
        self.refresh(now, no);
    }

    /// Adds a loan; `endpoint` describes a worker that is not known yet.
    pub(crate) fn borrow(
        &mut self,
        now: Time,
        endpoint: &Endpoint,
        make: impl FnOnce(WorkerNo, u64) -> Loan,
    ) {
        let no = self.find(&endpoint.worker).unwrap_or_else(|| {
            let no = self.add(endpoint.clone());
            self.workers[no.index()].up = true;
            no
        });
        self.next_loan += 1;
        let loan = make(no, self.next_loan);
        let lent: u32 = self.loans_of(no).map(|loan| loan.slots).sum::<u32>() + loan.slots;
        // Only heartbeats report the slots of a worker, and workers of other zones may send none.
        let worker = &mut self.workers[no.index()];
        let slots = worker.endpoint.slots.get();
        if slots < lent && !worker.owned {
            worker.limit.resize(slots, lent);
            worker.endpoint.slots = Slots::new(lent);
        }
        let pos = self.loans.partition_point(|l| (l.worker, l.key) < (no, loan.key));
        self.loans.insert(pos, loan);
        self.refresh_loans(now, no);
    }

    // No task starts on a loan after its end; a loan without running tasks is removed.
    pub(super) fn end_loans(&mut self, now: Time) {
        self.next_end = Time::NEVER;
        for pos in 0..self.loans.len() {
            let loan = &mut self.loans[pos];
            if loan.end <= now {
                loan.slots = 0;
                let no = loan.worker;
                self.refresh(now, no);
            } else {
                self.next_end = self.next_end.min(loan.end);
            }
        }
        self.loans.retain(|loan| loan.end > now || loan.used > 0);
    }
}
