//! Slots that this shard asks others for.

use cranberryhatch_schema::peer::{Borrow, Lend, Return, envelope::Body};
use cranberryhatch_types::{Accels, Bytes, Cores, Incarnation, ShardId, Slots, Span, Time};

use crate::{
    Command, Endpoint, Need, Pool, WorkerNo, loan::Loan, membership::Membership, peer::Peer,
};

/// Time within which a peer that is known to be idle is expected to answer.
const ANSWER: Span = Span::from_ms(100);
/// Requests to peers not known to be idle that may be open at the same time.
const OPEN: usize = 16;

/// A request for slots.
#[derive(Clone, Debug)]
struct Ask {
    peer: ShardId,
    request: u64,
    /// Slots not lent yet.
    left: u32,
    sent: Time,
    /// Until when its slots are counted as coming.
    expect: Time,
    /// Until when the peer remembers it.
    until: Time,
}

/// Requests under way.
#[derive(Debug, Default)]
pub(crate) struct Borrowing {
    asks: Vec<Ask>,
    next: u64,
}

impl Borrowing {
    /// Asks for slots for `waiting` tasks, the own zone first.
    pub(crate) fn seek(
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
        let coming = self.asks.iter().filter(|ask| now < ask.expect).map(|ask| ask.left);
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
                let ask = Ask {
                    peer: peer.clone(),
                    request: 0,
                    left: block,
                    sent: now,
                    expect: now + ANSWER.min(remember),
                    until: now + remember,
                };
                self.ask(ask, waiting, need, out);
            }
            if let Some(peer) = members.peer_mut(&peer) {
                peer.idle = peer.idle.saturating_sub(idle);
            }
            if want == 0 {
                return;
            }
        }
        let open = self.asks.iter().filter(|ask| now < ask.until && ask.left > 0);
        let (open, asked) = open.fold((0, 0), |(n, slots), ask| (n + 1, slots + ask.left));
        // Two peers are asked for a single slot, because either may be the first to have one.
        let mut want = want.max(2).saturating_sub(asked);
        for peer in self.less_loaded(now, waiting, pool, members).into_iter().take(OPEN) {
            if want == 0 || self.open(now) >= OPEN.max(open) {
                return;
            }
            let slots = want.min(rules.block).min(waiting);
            want = want.saturating_sub(slots);
            let ask = Ask {
                peer,
                request: 0,
                left: slots,
                sent: now,
                expect: now,
                until: now + remember,
            };
            self.ask(ask, waiting, need, out);
        }
    }

    fn open(&self, now: Time) -> usize {
        self.asks.iter().filter(|ask| now < ask.until && ask.left > 0).count()
    }

    fn ask(&mut self, mut ask: Ask, waiting: u32, need: &Need, out: &mut Vec<Command>) {
        self.next += 1;
        ask.request = self.next;
        let borrow = Borrow {
            request: ask.request,
            slots: ask.left,
            cores_milli: need.cores.get(),
            memory: need.memory.get(),
            accels: need.accels.get(),
            queued: waiting,
        };
        out.push(Command::Send { to: ask.peer.clone(), body: Body::Borrow(borrow) });
        self.asks.push(ask);
    }

    // Peers known to be idle, the own zone first and then the most idle.
    fn idle_peers(&self, pool: &Pool, members: &Membership) -> Vec<(ShardId, u32)> {
        let zone = &members.me().zone;
        let idle = members.peers().iter().filter(|peer| peer.idle > 0);
        let mut idle: Vec<_> = idle.filter(|peer| lends(peer, pool, members)).collect();
        idle.sort_by_key(|peer| (peer.zone != *zone, std::cmp::Reverse(peer.idle)));
        idle.into_iter().map(|peer| (peer.shard.clone(), peer.idle)).collect()
    }

    // Peers whose queue is less than half of the own one and that were not asked yet.
    fn less_loaded(
        &self,
        now: Time,
        waiting: u32,
        pool: &Pool,
        members: &Membership,
    ) -> Vec<ShardId> {
        let zone = &members.me().zone;
        let asked = |peer: &ShardId| {
            self.asks.iter().any(|ask| ask.peer == *peer && now < ask.until && ask.left > 0)
        };
        let peers = members.peers().iter().filter(|peer| lends(peer, pool, members));
        let peers = peers.filter(|peer| peer.queued == 0 || peer.queued < waiting / 2);
        let mut peers: Vec<_> = peers.filter(|peer| !asked(&peer.shard)).collect();
        peers.sort_by_key(|peer| (peer.zone != *zone, peer.queued));
        peers.into_iter().map(|peer| peer.shard.clone()).collect()
    }

    /// Takes a loan, its renewal, or its recall.
    pub(crate) fn lent(
        &mut self,
        now: Time,
        from: &ShardId,
        life: Incarnation,
        lend: &Lend,
        pool: &mut Pool,
        out: &mut Vec<Command>,
    ) {
        let same =
            |loan: &Loan| loan.number == lend.loan && loan.lender == *from && loan.life == life;
        if let Some(place) = pool.loans().iter().position(same) {
            let lease = Span::from_ms(lend.lease_ms);
            let loan = &mut pool.loans_mut()[place];
            loan.slots = loan.slots.min(lend.slots);
            if let Some((request, sent)) = loan.renewal
                && request == lend.request
                && now < loan.end
            {
                loan.end = loan.end.max(sent + lease);
                loan.renewal = None;
            }
            let worker = loan.worker;
            return pool.relend(now, worker);
        }
        if lend.request == 0 {
            return;
        }
        if !self.take(now, from, life, lend, pool) {
            let back = Return { loan: lend.loan, ..Return::default() };
            out.push(Command::Send { to: from.clone(), body: Body::Return(back) });
        }
    }

    fn take(
        &mut self,
        now: Time,
        from: &ShardId,
        life: Incarnation,
        lend: &Lend,
        pool: &mut Pool,
    ) -> bool {
        let Some(ask) =
            self.asks.iter_mut().find(|ask| ask.request == lend.request && ask.peer == *from)
        else {
            return false;
        };
        let end = ask.sent + Span::from_ms(lend.lease_ms);
        let Some(endpoint) = endpoint_of(lend, pool).filter(|_| now < end) else { return false };
        ask.left = ask.left.saturating_sub(lend.slots);
        let make = |worker: WorkerNo, key: u64| Loan {
            worker,
            key,
            lender: from.clone(),
            life,
            number: lend.loan,
            slots: lend.slots,
            used: 0,
            told: lend.slots,
            end,
            renewal: None,
        };
        pool.borrow(now, &endpoint, make);
        true
    }

    /// Gives back what is idle, and renews what is needed before its lease ends.
    pub(crate) fn settle(
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
            // The first renewal may be lost. A loan on which nothing more may start is only kept
            // accounted for, until its tasks have ended.
            let gap = if usable > 0 { lease / 4 } else { lease / 2 };
            let open = loan.renewal.is_some_and(|(_, sent)| now.since(sent) < gap);
            let renew = kept > 0 && due && !open;
            if kept >= loan.told && !renew {
                continue;
            }
            let kept = kept.min(loan.told);
            loan.told = kept;
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
            pool.relend(now, worker);
        }
    }

    /// Withdraws requests when nothing waits any more, and forgets old ones.
    pub(crate) fn tick(&mut self, now: Time, waiting: u32, lease: Span, out: &mut Vec<Command>) {
        self.asks.retain(|ask| now < ask.sent + lease);
        if waiting > 0 {
            return;
        }
        let mut told: Vec<ShardId> = Vec::new();
        for ask in self.asks.iter_mut().filter(|ask| ask.left > 0 && now < ask.until) {
            ask.until = now;
            ask.expect = now;
            if !told.contains(&ask.peer) {
                told.push(ask.peer.clone());
            }
        }
        for to in told {
            self.next += 1;
            let borrow = Borrow { request: self.next, ..Borrow::default() };
            out.push(Command::Send { to, body: Body::Borrow(borrow) });
        }
    }
}

fn lends(peer: &Peer, pool: &Pool, members: &Membership) -> bool {
    let near = peer.zone == members.me().zone;
    // A shard lends only slots of its own zone.
    let reachable = (near || pool.rules().far) && !pool.drains().has(&peer.zone);
    reachable && (!peer.leaving || (near && members.stop_together()))
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
