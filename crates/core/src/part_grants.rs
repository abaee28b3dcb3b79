//! Grants of one part of a team's quota.

use cranberryhatch_schema::peer::{QuotaAsk, QuotaPart};
use cranberryhatch_types::{Incarnation, ShardId, TeamId, Time};

use crate::{invariant::Invariants, rules::Rules};

/// Grant to one shard.
#[derive(Clone, Debug)]
struct Grant {
    shard: ShardId,
    incarnation: Incarnation,
    request: u64,
    /// When the last request arrived, and the slots it asked for.
    requested: Time,
    demand: u32,
    /// Slots of the last grant.
    slots: u32,
    /// Upper bound of the slots that the shard may use or uses.
    held: u32,
    /// When the grant has certainly expired.
    end: Time,
}

/// Grants of one part of a team's quota, made by this shard.
#[derive(Debug)]
pub(crate) struct PartGrants {
    pub(crate) team: TeamId,
    pub(crate) part: QuotaPart,
    pub(crate) invariants: Invariants,
    /// Time before which existing grants are only renewed.
    pub(crate) renew_only_until: Time,
    grants: Vec<Grant>,
}

/// A grant to be sent: the receiver, the request that it answers, and the slots.
pub(crate) type GrantMessage = (ShardId, u64, u32);

impl PartGrants {
    /// Creates an empty set of grants. Until `renew_only_until`, existing grants are only renewed.
    pub(crate) fn new(team: TeamId, part: QuotaPart, renew_only_until: Time) -> Self {
        Self { team, part, invariants: Invariants::default(), renew_only_until, grants: Vec::new() }
    }

    /// Handles a request; returns the grants to be sent.
    pub(crate) fn handle_ask(
        &mut self,
        now: Time,
        from: &ShardId,
        incarnation: Incarnation,
        ask: &QuotaAsk,
        size: u32,
        rules: &Rules,
    ) -> Vec<GrantMessage> {
        self.tick(now);
        let pos = self.position(from, incarnation);
        let grant = &mut self.grants[pos];
        if ask.request <= grant.request {
            return Vec::new();
        }
        grant.request = ask.request;
        grant.requested = now;
        grant.demand = ask.demand;
        grant.held = ask.held;
        grant.end = now + rules.lease + rules.margin;
        let slots = if now < self.renew_only_until {
            ask.granted.min(ask.demand)
        } else {
            self.fair_share(pos, size)
        };
        // Renewals before `renew_only_until` are based on what the earlier owner granted.
        let limit = if now < self.renew_only_until { u32::MAX } else { size };
        self.set_grant(pos, slots, limit);
        let mut answers = vec![(from.clone(), ask.request, slots)];
        if now >= self.renew_only_until {
            self.raise_others(now, pos, size, rules, &mut answers);
        }
        if ask.demand == 0 && ask.held == 0 {
            answers.remove(0);
        }
        answers
    }

    // A new incarnation of a shard is another holder: tasks of the earlier one may still be
    // running.
    fn position(&mut self, shard: &ShardId, incarnation: Incarnation) -> usize {
        let key = |grant: &Grant| grant.shard.cmp(shard).then(grant.incarnation.cmp(&incarnation));
        match self.grants.binary_search_by(key) {
            Ok(pos) => pos,
            Err(pos) => {
                let grant = Grant {
                    shard: shard.clone(),
                    incarnation,
                    request: 0,
                    requested: Time::ZERO,
                    demand: 0,
                    slots: 0,
                    held: 0,
                    end: Time::ZERO,
                };
                self.grants.insert(pos, grant);
                pos
            }
        }
    }

    fn held(&self) -> u64 {
        self.grants.iter().map(|grant| u64::from(grant.held)).sum()
    }

    /// Returns whether demand exceeds the slots.
    pub(crate) fn is_scarce(&self, size: u32) -> bool {
        self.demand() > u64::from(size)
    }

    fn demand(&self) -> u64 {
        self.grants.iter().map(|grant| u64::from(grant.demand)).sum()
    }

    // Slots for one holder: in proportion to its demand if there are too few for all, and never
    // more than the others leave.
    fn fair_share(&self, pos: usize, size: u32) -> u32 {
        let grant = &self.grants[pos];
        let others = self.held() - u64::from(grant.held);
        let left = u64::from(size).saturating_sub(others);
        let demand = u64::from(grant.demand);
        let all = self.demand();
        let fair = if all <= u64::from(size) {
            demand
        } else {
            (u64::from(size) * demand).div_ceil(all.max(1))
        };
        u32::try_from(fair.min(left)).unwrap_or(u32::MAX)
    }

    fn set_grant(&mut self, pos: usize, slots: u32, size: u32) {
        let grant = &mut self.grants[pos];
        let more = slots > grant.held;
        grant.slots = slots;
        grant.held = grant.held.max(slots);
        let within = !more || self.held() <= u64::from(size);
        self.invariants.check(within, "grants do not exceed their part of the quota");
    }

    // Grants slots that became free to holders that requested more than they got.
    fn raise_others(
        &mut self,
        now: Time,
        except: usize,
        size: u32,
        rules: &Rules,
        answers: &mut Vec<GrantMessage>,
    ) {
        for pos in 0..self.grants.len() {
            let grant = &self.grants[pos];
            // The lease counts from the request; the holder repeats its request after half of it
            // anyway.
            let fresh = now < grant.requested + rules.lease / 2;
            if pos == except || grant.slots >= grant.demand || !fresh {
                continue;
            }
            let slots = self.fair_share(pos, size);
            if slots > self.grants[pos].slots {
                self.set_grant(pos, slots, size);
                let grant = &self.grants[pos];
                answers.push((grant.shard.clone(), grant.request, slots));
            }
        }
    }

    /// Removes expired grants.
    pub(crate) fn tick(&mut self, now: Time) {
        self.grants.retain(|grant| now < grant.end);
    }
}
