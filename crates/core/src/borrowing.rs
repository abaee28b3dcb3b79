//! Slots that this shard borrows from others.

use cranberryhatch_schema::peer::{Borrow, Lend, Return, envelope::Body};
use cranberryhatch_types::{Accels, Bytes, Cores, Incarnation, ShardId, Slots, Span, Time};

use crate::{
    Command, Endpoint, Need, Pool, WorkerNo, loan::Loan, membership::Membership, peer::Peer,
};

/// Time within which a peer that is known to be idle is expected to respond.
const EXPECTED_RESPONSE: Span = Span::from_ms(100);
/// Maximum number of open requests to peers that are not known to be idle.
const MAX_OPEN: usize = 16;

/// A request for slots sent to a peer.
#[derive(Clone, Debug)]
struct SentRequest {
    peer: ShardId,
    request: u64,
    /// Slots not lent yet.
    left: u32,
    sent: Time,
    /// Time until which its slots are expected to arrive.
    expect: Time,
    /// Time until which the peer keeps the request.
    until: Time,
}

/// Pending requests for slots.
#[derive(Debug, Default)]
pub(crate) struct Borrowing {
    requests: Vec<SentRequest>,
    next: u64,
}

impl Borrowing {
    /// Requests slots for `waiting` tasks, from peers of the own zone first.
    pub(crate) fn request_slots(
        &mut self,
        now: Time,
        waiting: u32,
        need: &Need,
        pool: &Pool,
        members: &mut Membership,
        out: &mut Vec<Command>,
    ) {
        let rules = pool.rules();
        if !rules.borrow || waiting == 0 {
            return;
        }
        let coming = self.requests.iter().filter(|req| now < req.expect).map(|req| req.left);
        let mut want = waiting.saturating_sub(coming.sum());
        if want == 0 {
            return;
        }
        let remember = rules.lease / 2;
        for (peer, idle) in self.idle_peers(pool, members) {
            let mut slots = idle.min(want);
            want -= slots;
            while slots > 0 {
                let block = slots.min(rules.block);
                slots -= block;
                let req = SentRequest {
                    peer: peer.clone(),
                    request: 0,
                    left: block,
                    sent: now,
                    expect: now + EXPECTED_RESPONSE.min(remember),
                    until: now + remember,
                };
                self.send_request(req, waiting, need, out);
            }
            if let Some(peer) = members.peer_mut(&peer) {
                peer.idle = peer.idle.saturating_sub(idle);
            }
            if want == 0 {
                return;
            }
        }
        let open = self.requests.iter().filter(|req| now < req.until && req.left > 0);
        let (open, asked) = open.fold((0, 0), |(n, slots), req| (n + 1, slots + req.left));
        // A single slot is requested from two peers, because either may have one first.
        let mut want = want.max(2).saturating_sub(asked);
        for peer in self.less_loaded(now, waiting, pool, members).into_iter().take(MAX_OPEN) {
            if want == 0 || self.open(now) >= MAX_OPEN.max(open) {
                return;
            }
            let slots = want.min(rules.block).min(waiting);
            want = want.saturating_sub(slots);
            let req = SentRequest {
                peer,
                request: 0,
                left: slots,
                sent: now,
                expect: now,
                until: now + remember,
            };
            self.send_request(req, waiting, need, out);
        }
    }

    fn open(&self, now: Time) -> usize {
        self.requests.iter().filter(|req| now < req.until && req.left > 0).count()
    }

    fn send_request(
        &mut self,
        mut req: SentRequest,
        waiting: u32,
        need: &Need,
        out: &mut Vec<Command>,
    ) {
        self.next += 1;
        req.request = self.next;
        let borrow = Borrow {
            request: req.request,
            slots: req.left,
            cores_milli: need.cores.get(),
            memory: need.memory.get(),
            accels: need.accels.get(),
            queued: waiting,
        };
        out.push(Command::Send { to: req.peer.clone(), body: Body::Borrow(borrow) });
        self.requests.push(req);
    }

    // Returns peers known to be idle: those of the own zone first, then those with the most idle
    // slots.
    fn idle_peers(&self, pool: &Pool, members: &Membership) -> Vec<(ShardId, u32)> {
        let zone = &members.me().zone;
        let idle = members.peers().iter().filter(|peer| peer.idle > 0);
        let mut idle: Vec<_> = idle.filter(|peer| lends(peer, pool, members)).collect();
        idle.sort_by_key(|peer| (peer.zone != *zone, std::cmp::Reverse(peer.idle)));
        idle.into_iter().map(|peer| (peer.shard.clone(), peer.idle)).collect()
    }

    // Returns peers without a pending request whose queue is less than half of the own one.
    fn less_loaded(
        &self,
        now: Time,
        waiting: u32,
        pool: &Pool,
        members: &Membership,
    ) -> Vec<ShardId> {
        let zone = &members.me().zone;
        let asked = |peer: &ShardId| {
            self.requests.iter().any(|req| req.peer == *peer && now < req.until && req.left > 0)
        };
        let peers = members.peers().iter().filter(|peer| lends(peer, pool, members));
        let peers = peers.filter(|peer| peer.queued == 0 || peer.queued < waiting / 2);
        let mut peers: Vec<_> = peers.filter(|peer| !asked(&peer.shard)).collect();
        peers.sort_by_key(|peer| (peer.zone != *zone, peer.queued));
        peers.into_iter().map(|peer| peer.shard.clone()).collect()
    }

    /// Handles a new loan, its renewal, or its recall.
    pub(crate) fn handle_lend(
        &mut self,
        now: Time,
        from: &ShardId,
        incarnation: Incarnation,
        lend: &Lend,
        pool: &mut Pool,
        out: &mut Vec<Command>,
    ) {
        let same = |loan: &Loan| {
            loan.number == lend.loan && loan.lender == *from && loan.incarnation == incarnation
        };
        if let Some(pos) = pool.loans().iter().position(same) {
            let lease = Span::from_ms(lend.lease_ms);
            let loan = &mut pool.loans_mut()[pos];
            loan.slots = loan.slots.min(lend.slots);
            if let Some((request, sent)) = loan.renewal
                && request == lend.request
                && now < loan.end
            {
                loan.end = loan.end.max(sent + lease);
                loan.renewal = None;
            }
            let worker = loan.worker;
            return pool.refresh_loans(now, worker);
        }
        if lend.request == 0 {
            return;
        }
        if !self.accept_loan(now, from, incarnation, lend, pool) {
            let back = Return { loan: lend.loan, ..Return::default() };
            out.push(Command::Send { to: from.clone(), body: Body::Return(back) });
        }
    }

    fn accept_loan(
        &mut self,
        now: Time,
        from: &ShardId,
        incarnation: Incarnation,
        lend: &Lend,
        pool: &mut Pool,
    ) -> bool {
        let Some(req) =
            self.requests.iter_mut().find(|req| req.request == lend.request && req.peer == *from)
        else {
            return false;
        };
        let end = req.sent + Span::from_ms(lend.lease_ms);
        let Some(endpoint) = endpoint_of(lend, pool).filter(|_| now < end) else { return false };
        req.left = req.left.saturating_sub(lend.slots);
        let make = |worker: WorkerNo, key: u64| Loan {
            worker,
            key,
            lender: from.clone(),
            incarnation,
            number: lend.loan,
            slots: lend.slots,
            used: 0,
            reported: lend.slots,
            end,
            renewal: None,
        };
        pool.borrow(now, &endpoint, make);
        true
    }

    /// Returns idle slots, and renews the loans still needed before their leases end.
    pub(crate) fn return_and_renew(
        &mut self,
        now: Time,
        waiting: u32,
        pool: &mut Pool,
        out: &mut Vec<Command>,
    ) {
        let lease = pool.rules().lease;
        let mut changed = Vec::new();
        // The lender may learn of the drain later.
        let drained: Vec<bool> =
            pool.loans().iter().map(|loan| pool.is_drained(loan.worker)).collect();
        for (loan, drained) in pool.loans_mut().iter_mut().zip(drained) {
            let usable = if now < loan.end && !drained { loan.slots } else { 0 };
            let kept = if waiting > 0 { usable.max(loan.used) } else { loan.used };
            let due = now + lease / 2 >= loan.end;
            // The first renewal may be lost. A loan on which no task may start any more is renewed
            // only to stay accounted for until its tasks have ended.
            let gap = if usable > 0 { lease / 4 } else { lease / 2 };
            let open = loan.renewal.is_some_and(|(_, sent)| now.since(sent) < gap);
            let renew = kept > 0 && due && !open;
            if kept >= loan.reported && !renew {
                continue;
            }
            let kept = kept.min(loan.reported);
            loan.reported = kept;
            loan.slots = loan.slots.min(kept);
            let mut back = Return { loan: loan.number, kept, request: 0, queued: waiting };
            if renew {
                self.next += 1;
                back.request = self.next;
                loan.renewal = Some((self.next, now));
            }
            out.push(Command::Send { to: loan.lender.clone(), body: Body::Return(back) });
            changed.push(loan.worker);
        }
        for worker in changed {
            pool.refresh_loans(now, worker);
        }
    }

    /// Withdraws requests when no task waits any more, and removes expired ones.
    pub(crate) fn tick(&mut self, now: Time, waiting: u32, lease: Span, out: &mut Vec<Command>) {
        self.requests.retain(|req| now < req.sent + lease);
        if waiting > 0 {
            return;
        }
        let mut notified: Vec<ShardId> = Vec::new();
        for req in self.requests.iter_mut().filter(|req| req.left > 0 && now < req.until) {
            req.until = now;
            req.expect = now;
            if !notified.contains(&req.peer) {
                notified.push(req.peer.clone());
            }
        }
        for to in notified {
            self.next += 1;
            let borrow = Borrow { request: self.next, ..Borrow::default() };
            out.push(Command::Send { to, body: Body::Borrow(borrow) });
        }
    }
}

fn lends(peer: &Peer, pool: &Pool, members: &Membership) -> bool {
    let near = peer.zone == members.me().zone;
    // A shard lends only slots of its own zone.
    let reachable = (near || pool.rules().cross_zone) && !pool.drains().has(&peer.zone);
    reachable && (!peer.leaving || (near && members.zone_is_draining()))
}

fn endpoint_of(lend: &Lend, pool: &Pool) -> Option<Endpoint> {
    let worker = lend.worker.parse().ok()?;
    if let Some(known) = pool.known(&worker) {
        return Some(known.clone());
    }
    Some(Endpoint {
        worker,
        zone: lend.zone.parse().ok()?,
        rack: lend.rack.parse().ok()?,
        slots: Slots::new(0),
        free: Slots::new(0),
        leaving: false,
        cores: Cores::new(lend.cores_milli),
        memory: Bytes::new(lend.memory),
        accels: Accels::new(lend.accels),
        heartbeat_sent: Time::ZERO,
    })
}
