//! Slots that this shard lends to others.

use cranberryhatch_schema::peer::{Borrow, Lend, Return, envelope::Body};
use cranberryhatch_types::{Accels, Bytes, Cores, Incarnation, ShardId, Time};

use crate::{Command, Endpoint, Need, Pool, WorkerNo, membership::Membership};

/// A loan from the lender's point of view.
#[derive(Clone, Debug)]
struct LentLoan {
    number: u64,
    borrower: ShardId,
    incarnation: Incarnation,
    worker: WorkerNo,
    /// Slots that the borrower may be using.
    slots: u32,
    /// Slots that the borrower may keep, according to the last message sent to it.
    target: u32,
    /// Time by which the borrower has certainly stopped using it.
    end: Time,
}

/// A request that has not been granted in full.
#[derive(Clone, Debug)]
struct SlotRequest {
    borrower: ShardId,
    incarnation: Incarnation,
    request: u64,
    slots: u32,
    need: Need,
    /// Time at which the request expires.
    until: Time,
}

/// Last request of a borrower, for detecting duplicates.
#[derive(Clone, Debug)]
struct LastRequest {
    borrower: ShardId,
    incarnation: Incarnation,
    request: u64,
}

/// Loans and pending requests.
#[derive(Debug, Default)]
pub(crate) struct Lending {
    loans: Vec<LentLoan>,
    requests: Vec<SlotRequest>,
    last_requests: Vec<LastRequest>,
    /// Number of the last loan.
    next: u64,
    /// Fair share of each borrower while demand exceeds supply, sorted by borrower.
    fair: Vec<(ShardId, u32)>,
}

impl Lending {
    /// Handles a request for slots.
    pub(crate) fn handle_borrow(
        &mut self,
        now: Time,
        from: &ShardId,
        incarnation: Incarnation,
        borrow: &Borrow,
        pool: &Pool,
    ) {
        if !self.is_new(from, incarnation, borrow.request) {
            return;
        }
        if borrow.slots == 0 {
            return self.requests.retain(|req| req.borrower != *from);
        }
        // The lease counts from the time of the request, so slots lent on an old request would soon
        // expire.
        let until = now + pool.rules().lease / 2;
        let need = Need {
            cores: Cores::new(borrow.cores_milli),
            memory: Bytes::new(borrow.memory),
            accels: Accels::new(borrow.accels),
        };
        let (borrower, request) = (from.clone(), borrow.request);
        self.requests.push(SlotRequest {
            borrower,
            incarnation,
            request,
            slots: borrow.slots,
            need,
            until,
        });
    }

    fn is_new(&mut self, from: &ShardId, incarnation: Incarnation, request: u64) -> bool {
        match self.last_requests.binary_search_by(|last| last.borrower.cmp(from)) {
            Ok(pos) => {
                let last = &mut self.last_requests[pos];
                let new = (incarnation, request) > (last.incarnation, last.request);
                if incarnation > last.incarnation {
                    self.requests.retain(|req| req.borrower != *from);
                }
                if new {
                    (last.incarnation, last.request) = (incarnation, request);
                }
                new
            }
            Err(pos) => {
                self.last_requests
                    .insert(pos, LastRequest { borrower: from.clone(), incarnation, request });
                true
            }
        }
    }

    /// Takes back slots, and renews the rest of the loan if requested.
    pub(crate) fn handle_return(
        &mut self,
        now: Time,
        from: &ShardId,
        incarnation: Incarnation,
        back: &Return,
        pool: &mut Pool,
        out: &mut Vec<Command>,
    ) {
        let Ok(pos) = self.loans.binary_search_by_key(&back.loan, |loan| loan.number) else {
            return;
        };
        let loan = &mut self.loans[pos];
        if loan.borrower != *from || loan.incarnation != incarnation {
            return;
        }
        let freed = loan.slots.saturating_sub(back.kept);
        loan.slots -= freed;
        loan.target = loan.target.min(loan.slots);
        pool.end_lent(now, loan.worker, freed);
        if loan.slots == 0 {
            self.loans.remove(pos);
            return;
        }
        if back.request == 0 {
            return;
        }
        // Slots in use stay accounted for even if no more tasks may start on them.
        loan.end = now + pool.rules().lease + pool.rules().margin;
        if pool.is_renewable(loan.worker) && loan.target > 0 {
            let lend = lend_message(loan, back.request, now, pool);
            out.push(Command::Send { to: from.clone(), body: Body::Lend(lend) });
        }
    }

    /// Lends idle slots to the requesting shards, in proportion to their backlogs.
    pub(crate) fn offer(
        &mut self,
        now: Time,
        waiting: u32,
        pool: &mut Pool,
        members: &Membership,
        out: &mut Vec<Command>,
    ) {
        if self.requests.is_empty() {
            return;
        }
        self.requests.retain(|req| req.until > now && req.slots > 0);
        if members.is_draining() && !members.zone_is_draining() {
            self.requests.clear();
        }
        let reserved = pool.reserved();
        let idle = pool.idle(now);
        let mut budget = reserved.min(idle) + idle.saturating_sub(reserved).saturating_sub(waiting);
        while budget > 0 {
            let all: u64 = self.requests.iter().map(|req| weight(req, members)).sum();
            let before = budget;
            for pos in 0..self.requests.len() {
                let part = u64::from(before) * weight(&self.requests[pos], members) / all.max(1);
                let part = u32::try_from(part).unwrap_or(u32::MAX).max(1).min(budget);
                budget -= self.grant(now, pos, part, pool, members, out);
            }
            self.requests.retain(|req| req.slots > 0);
            if budget == before {
                break;
            }
        }
        if self.requests.is_empty() && reserved > 0 {
            pool.unreserve(now);
        }
        // Rotates the requests so that none of them is always served first.
        if !self.requests.is_empty() {
            self.requests.rotate_left(1);
        }
    }

    fn grant(
        &mut self,
        now: Time,
        pos: usize,
        part: u32,
        pool: &mut Pool,
        members: &Membership,
        out: &mut Vec<Command>,
    ) -> u32 {
        let limit =
            if self.is_contended(pos) { self.fair_headroom(&self.requests[pos]) } else { u32::MAX };
        let req = &mut self.requests[pos];
        let mut left = part.min(req.slots).min(limit);
        let asked = left;
        while left > 0 {
            let Some((worker, free)) = pool.lendable(now, &req.need) else { break };
            let slots = free.min(left);
            left -= slots;
            req.slots -= slots;
            pool.lend(now, worker, slots);
            self.next += 1;
            let loan = LentLoan {
                number: self.next,
                borrower: req.borrower.clone(),
                incarnation: req.incarnation,
                worker,
                slots,
                target: slots,
                end: now + pool.rules().lease + pool.rules().margin,
            };
            let lend = lend_message(&loan, req.request, now, pool);
            let near = members.peer(&req.borrower).is_some_and(|p| p.zone == members.me().zone);
            let lend = if near { lend } else { with_endpoint(lend, pool.endpoint(worker)) };
            out.push(Command::Send { to: req.borrower.clone(), body: Body::Lend(lend) });
            self.loans.push(loan);
        }
        asked - left
    }

    // Whether another borrower is waiting too.
    fn is_contended(&self, pos: usize) -> bool {
        let borrower = &self.requests[pos].borrower;
        self.requests.iter().any(|req| req.borrower != *borrower && self.fair_headroom(req) > 0)
    }

    /// Computes the fair share of each borrower while demand exceeds supply, and recalls loans
    /// beyond it as far as others wait for the slots.
    pub(crate) fn balance(
        &mut self,
        waiting: u32,
        pool: &Pool,
        members: &Membership,
        out: &mut Vec<Command>,
    ) {
        self.fair.clear();
        if self.loans.is_empty() && self.requests.is_empty() {
            return;
        }
        self.share(waiting, pool.owned(), members);
        let wanted: u32 = self.requests.iter().map(|req| req.slots).sum();
        let returning: u32 = self.loans.iter().map(|loan| loan.slots - loan.target).sum();
        let mut needed = (waiting + wanted).saturating_sub(returning + pool.reserved());
        for pos in (0..self.loans.len()).rev() {
            if needed == 0 {
                return;
            }
            let borrower = &self.loans[pos].borrower;
            // A borrower without a backlog returns its slots as its tasks end.
            let backlog = members.peer(borrower).is_some_and(|peer| peer.queued > 0);
            let others = waiting > 0 || self.requests.iter().any(|req| req.borrower != *borrower);
            if !backlog || !others {
                continue;
            }
            let excess = self.lent_to(borrower).saturating_sub(self.fair_of(borrower));
            let loan = &mut self.loans[pos];
            let recalled = loan.target.min(excess).min(needed);
            if recalled > 0 {
                needed -= recalled;
                loan.target -= recalled;
                out.push(recall_message(loan, pool));
            }
        }
    }

    // Divides the slots among all waiting shards in proportion to their backlogs, with at least one
    // slot for each, so that a small job does not wait for a large one to end.
    fn share(&mut self, waiting: u32, owned: u32, members: &Membership) {
        let mut shards: Vec<ShardId> = Vec::new();
        let requests = self.requests.iter().map(|req| &req.borrower);
        let loans = self.loans.iter().filter(|loan| loan.target > 0).map(|loan| &loan.borrower);
        for borrower in requests.chain(loans) {
            if let Err(pos) = shards.binary_search(borrower) {
                shards.insert(pos, borrower.clone());
            }
        }
        let backlog = |shard: &ShardId| {
            let wanted = self.requests.iter().filter(|req| req.borrower == *shard);
            let wanted: u32 = wanted.map(|req| req.slots).sum();
            u64::from(members.peer(shard).map_or(0, |peer| peer.queued).max(wanted))
        };
        let all = shards.iter().map(backlog).sum::<u64>() + u64::from(waiting);
        let waiting_shards = shards.iter().filter(|shard| backlog(shard) > 0).count();
        let waiting_shards =
            u32::try_from(waiting_shards).unwrap_or(u32::MAX) + u32::from(waiting > 0);
        let limit = owned.saturating_sub(waiting_shards.saturating_sub(1)).max(1);
        let fair = |shard: &ShardId| {
            let part = u64::from(owned) * backlog(shard) / all.max(1);
            u32::try_from(part).unwrap_or(u32::MAX).clamp(1, limit)
        };
        self.fair = shards.iter().map(|shard| (shard.clone(), fair(shard))).collect();
    }

    fn fair_of(&self, borrower: &ShardId) -> u32 {
        let pos = self.fair.binary_search_by(|(shard, _)| shard.cmp(borrower));
        pos.map_or(0, |pos| self.fair[pos].1)
    }

    fn lent_to(&self, borrower: &ShardId) -> u32 {
        let loans = self.loans.iter().filter(|loan| loan.borrower == *borrower);
        loans.map(|loan| loan.target).sum()
    }

    /// Returns the number of slots that borrowers may keep.
    pub(crate) fn lent(&self) -> u32 {
        self.loans.iter().map(|loan| loan.target).sum()
    }

    /// Returns whether a slot that becomes free should go to other shards, given the number already
    /// reserved for them.
    pub(crate) fn wants_more(&self, reserved: u32) -> bool {
        let wanted: u32 = self.requests.iter().map(|req| self.fair_headroom(req)).sum();
        reserved < wanted
    }

    // Slots that a request may still get within the borrower's fair share.
    fn fair_headroom(&self, req: &SlotRequest) -> u32 {
        let fair = self.fair_of(&req.borrower);
        req.slots.min(fair.saturating_sub(self.lent_to(&req.borrower)))
    }

    /// Returns whether any request is pending.
    pub(crate) const fn has_requests(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Tells borrowers to start no more tasks on a worker.
    pub(crate) fn recall_all(&mut self, worker: WorkerNo, pool: &Pool, out: &mut Vec<Command>) {
        for loan in self.loans.iter_mut().filter(|loan| loan.worker == worker && loan.target > 0) {
            loan.target = 0;
            out.push(recall_message(loan, pool));
        }
    }

    /// Takes back loans that have expired, and removes expired requests.
    pub(crate) fn tick(&mut self, now: Time, pool: &mut Pool) {
        self.loans.retain(|loan| {
            let keep = now < loan.end;
            if !keep {
                pool.expire_lent(now, loan.worker, loan.slots);
            }
            keep
        });
        self.requests.retain(|req| req.until > now);
        if self.requests.is_empty() {
            pool.unreserve(now);
        }
    }
}

// A request is weighted by its borrower's backlog, but at least by the slots it asks for.
fn weight(req: &SlotRequest, members: &Membership) -> u64 {
    let queued = members.peer(&req.borrower).map_or(0, |peer| peer.queued);
    u64::from(queued.max(req.slots))
}

fn lend_message(loan: &LentLoan, request: u64, now: Time, pool: &Pool) -> Lend {
    Lend {
        loan: loan.number,
        request,
        worker: pool.id(loan.worker).to_string(),
        slots: loan.target,
        lease_ms: pool.rules().lease.as_ms(),
        idle: pool.idle(now),
        ..Lend::default()
    }
}

fn with_endpoint(lend: Lend, endpoint: &Endpoint) -> Lend {
    Lend {
        zone: endpoint.zone.to_string(),
        rack: endpoint.rack.to_string(),
        cores_milli: endpoint.cores.get(),
        memory: endpoint.memory.get(),
        accels: endpoint.accels.get(),
        ..lend
    }
}

fn recall_message(loan: &LentLoan, pool: &Pool) -> Command {
    let worker = pool.id(loan.worker).to_string();
    let lend = Lend { loan: loan.number, worker, slots: loan.target, ..Lend::default() };
    Command::Send { to: loan.borrower.clone(), body: Body::Lend(lend) }
}
