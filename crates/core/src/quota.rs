//! Quotas: limits on the concurrent tasks of a team.
//!
//! Half of a quota is divided equally among the availability zones, so that a partitioned zone
//! keeps its part. The other half, with the remainder of the division, is one shared part. Each
//! part is granted under leases by one shard. For the part of a zone this shard is found by
//! rendezvous hashing over the live shards of the zone. For the shared part it is found over the
//! live shards of one zone, which in turn is found by rendezvous hashing over `zones.names`. Since
//! that list comes from the settings and not from membership, partitioned zones never grant the
//! same part twice.
//!
//! A shard that becomes the owner of a part only renews existing grants until every grant of an
//! earlier owner has expired. This takes a lease, the margin, and the time after which a shard
//! counts as lost, because the earlier owner may learn that much later that it is no longer the
//! owner.
//!
//! A team whose quota exceeds twice the known slots of the deployment is not limited and causes no
//! messages. The factor allows for workers that this shard doesn't know yet.

use std::sync::Arc;

use cranberryhatch_schema::peer::{QuotaAsk, QuotaGrant, QuotaPart, envelope::Body};
use cranberryhatch_settings::ActiveSettings;
use cranberryhatch_types::{Incarnation, ShardId, Span, TeamId, Time, ZoneId};

use crate::{
    Command,
    membership::{Membership, PEER_TIMEOUT},
    part_grants::PartGrants,
    rendezvous,
    rules::Rules,
};

/// A quota of at least this many times the known slots is not enforced.
const UNLIMITED_FACTOR: u32 = 2;
/// Minimum interval between two requests for the same part while demand rises.
const RAISE_INTERVAL: Span = Span::from_ms(20);
/// Minimum interval between two requests that return slots other shards wait for.
const RETURN_INTERVAL: Span = Span::from_ms(50);
/// Time after which an unanswered request is sent again.
const RESEND_INTERVAL: Span = Span::from_ms(200);
/// Parts of a quota.
const PARTS: [QuotaPart; 2] = [QuotaPart::Zone, QuotaPart::Shared];

/// Share that this shard holds of one part of a team's quota.
#[derive(Clone, Debug)]
struct Share {
    /// Granted slots.
    slots: u32,
    /// Running tasks counted against this part; may exceed the granted slots if tasks outlive a
    /// grant.
    used: u32,
    /// When the grant ends.
    end: Time,
    /// Last request: its number, when it was sent, the demand, and whether it was answered.
    request: u64,
    sent: Option<Time>,
    demand: u32,
    answered: bool,
    /// Whether the owner reported that demand exceeds the slots.
    scarce: bool,
}

impl Share {
    const fn new() -> Self {
        Self {
            slots: 0,
            used: 0,
            end: Time::ZERO,
            request: 0,
            sent: None,
            demand: 0,
            answered: true,
            scarce: false,
        }
    }

    fn cap(&self, now: Time) -> u32 {
        if now < self.end { self.slots } else { 0 }
    }

    fn available(&self, now: Time) -> u32 {
        self.cap(now).saturating_sub(self.used)
    }
}

/// Quota state of a team in this shard.
#[derive(Clone, Debug)]
struct Team {
    team: TeamId,
    quota: u32,
    // Whether the quota is enforced.
    limited: bool,
    waiting: u32,
    shares: [Share; 2],
}

impl Team {
    fn used(&self) -> u32 {
        self.shares.iter().map(|share| share.used).sum()
    }

    fn available(&self, now: Time) -> u32 {
        if self.limited {
            self.shares.iter().map(|share| share.available(now)).sum()
        } else {
            u32::MAX
        }
    }

    fn start(&mut self, now: Time) {
        let part = usize::from(self.limited && self.shares[0].available(now) == 0);
        self.shares[part].used += 1;
    }

    // A task that ends is subtracted from the part for which this is best for the owner: first from
    // one whose tasks outlive a grant, then from the shared part.
    fn end(&mut self, now: Time) {
        self.rebalance(now);
        let over = self.shares.iter().position(|share| share.used > share.cap(now));
        let part = over.unwrap_or(usize::from(self.shares[1].used > 0));
        self.shares[part].used = self.shares[part].used.saturating_sub(1);
    }

    // Moves tasks that outlive a grant of one part to the other part as far as that has free slots.
    fn rebalance(&mut self, now: Time) {
        for (from, to) in [(0, 1), (1, 0)] {
            let over = self.shares[from].used.saturating_sub(self.shares[from].cap(now));
            let moved = over.min(self.shares[to].available(now));
            self.shares[from].used -= moved;
            self.shares[to].used += moved;
        }
    }
}

/// Quotas of teams: the shares this shard holds and the grants it makes.
#[derive(Debug)]
pub(crate) struct Quota {
    zone: ZoneId,
    settings: Option<Arc<ActiveSettings>>,
    rules: Rules,
    zones: Vec<ZoneId>,
    // Estimated number of slots in the deployment.
    slots: u32,
    teams: Vec<Team>,
    // Indexes into `teams` for the entries of the last demand.
    demand_teams: Vec<usize>,
    // Grants of the parts that this shard owns, sorted by team and part.
    parts: Vec<PartGrants>,
    // Shards that may own the same parts as this shard, and since when this set is unchanged.
    owners: Vec<ShardId>,
    owners_changed: Option<Time>,
    next: u64,
}

impl Quota {
    /// Creates a state without quotas for a shard in a zone.
    pub(crate) fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            settings: None,
            rules: Rules::default(),
            zones: Vec::new(),
            slots: 0,
            teams: Vec::new(),
            demand_teams: Vec::new(),
            parts: Vec::new(),
            owners: Vec::new(),
            owners_changed: None,
            next: 0,
        }
    }

    /// Applies changed settings.
    pub(crate) fn apply_settings(&mut self, settings: Arc<ActiveSettings>) {
        let names = &settings.local().zones_names;
        let mut zones: Vec<ZoneId> =
            names.split_whitespace().filter_map(|name| name.parse().ok()).collect();
        zones.sort_unstable();
        zones.dedup();
        if self.zones != zones {
            // Other zones mean other owners.
            self.zones = zones;
            self.parts.clear();
            self.owners.clear();
        }
        self.rules = Rules::from(&**settings.local());
        self.settings = Some(settings);
        for pos in 0..self.teams.len() {
            self.teams[pos].quota = self.quota_of(&self.teams[pos].team);
            self.update_limited(pos);
        }
    }

    /// Sets the estimated number of slots in the deployment.
    pub(crate) fn set_slots(&mut self, slots: u32) {
        if self.slots != slots {
            self.slots = slots;
            (0..self.teams.len()).for_each(|pos| self.update_limited(pos));
        }
    }

    /// Returns the estimated number of slots in the deployment.
    pub(crate) const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of zones that quotas are divided among.
    pub(crate) const fn zones(&self) -> usize {
        self.zones.len()
    }

    fn update_limited(&mut self, pos: usize) {
        let team = &mut self.teams[pos];
        team.limited = team.quota < self.slots.saturating_mul(UNLIMITED_FACTOR);
    }

    fn quota_of(&self, team: &TeamId) -> u32 {
        let Some(settings) = &self.settings else { return u32::MAX };
        let values = settings.tree().resolve(&self.zone, Some(team), None);
        values.quota_slots.get()
    }

    fn team(&mut self, team: &TeamId) -> usize {
        match self.teams.binary_search_by(|known| known.team.cmp(team)) {
            Ok(pos) => pos,
            Err(pos) => {
                let quota = self.quota_of(team);
                let (team, shares) = (team.clone(), [Share::new(), Share::new()]);
                let team = Team { team, quota, limited: true, waiting: 0, shares };
                self.teams.insert(pos, team);
                self.demand_teams.clear();
                self.update_limited(pos);
                pos
            }
        }
    }

    /// Returns the index of a team, or `None` if its quota allows no further task now.
    pub(crate) fn startable_team(&mut self, now: Time, team: &TeamId) -> Option<usize> {
        let pos = self.team(team);
        let team = &self.teams[pos];
        (team.available(now) > 0).then_some(pos)
    }

    /// Counts a started task of the team with this index.
    pub(crate) fn task_started(&mut self, now: Time, pos: usize) {
        self.teams[pos].start(now);
    }

    /// Counts an ended task of a team.
    pub(crate) fn task_ended(&mut self, now: Time, team: &TeamId) {
        let pos = self.team(team);
        self.teams[pos].end(now);
    }

    /// Sets the number of waiting tasks of each team.
    pub(crate) fn set_demand(&mut self, waiting: &[(TeamId, u32)]) {
        let same = |(pos, (id, _)): (&usize, &(TeamId, u32))| self.teams[*pos].team == *id;
        let mapped = self.demand_teams.len() == waiting.len();
        if !mapped || !self.demand_teams.iter().zip(waiting).all(same) {
            self.map_demand(waiting);
        }
        for (pos, (_, count)) in self.demand_teams.iter().zip(waiting) {
            self.teams[*pos].waiting = *count;
        }
    }

    // Looks up the indexes of the teams in a list, which is mostly the same from call to call.
    fn map_demand(&mut self, waiting: &[(TeamId, u32)]) {
        for team in &mut self.teams {
            team.waiting = 0;
        }
        for (id, _) in waiting {
            self.team(id);
        }
        self.demand_teams = waiting.iter().map(|(id, _)| self.team(id)).collect();
    }

    /// Returns the number of waiting tasks that quotas allow to start.
    pub(crate) fn allowed(&self, now: Time) -> u32 {
        let allowed = |team: &Team| team.available(now).min(team.waiting);
        self.teams.iter().map(allowed).fold(0, u32::saturating_add)
    }

    /// Requests the slots that teams need and renews those they hold.
    pub(crate) fn request_shares(
        &mut self,
        now: Time,
        members: &Membership,
        out: &mut Vec<Command>,
    ) {
        for pos in 0..self.teams.len() {
            let team = &self.teams[pos];
            let idle = team.used() == 0 && team.waiting == 0;
            let holds = team.shares.iter().any(|share| share.demand > 0 || share.slots > 0);
            if (team.limited && !idle) || holds {
                for part in PARTS {
                    self.request_share(now, pos, part, members, out);
                }
            }
        }
    }

    fn request_share(
        &mut self,
        now: Time,
        pos: usize,
        part: QuotaPart,
        members: &Membership,
        out: &mut Vec<Command>,
    ) {
        let size = self.size(self.teams[pos].quota, part, &members.me().zone);
        let lease = self.rules.lease;
        let team = &mut self.teams[pos];
        team.rebalance(now);
        let want = if team.limited { team.used() + team.waiting } else { 0 };
        let demand = match part {
            QuotaPart::Zone => want.min(size),
            QuotaPart::Shared => want.saturating_sub(team.shares[0].cap(now)).min(size),
        };
        let share = &mut team.shares[index(part)];
        if !is_due(now, share, demand, lease, members.is_draining()) {
            return;
        }
        self.next += 1;
        // The owner frees the slots beyond the demand as soon as it reads the request.
        share.slots = share.cap(now).min(demand);
        share.request = self.next;
        share.sent = Some(now);
        share.demand = demand;
        share.answered = false;
        let ask = QuotaAsk {
            team: team.team.to_string(),
            part: part.into(),
            request: self.next,
            demand,
            held: share.slots.max(share.used),
            granted: share.slots,
        };
        let id = team.team.clone();
        let Some(owner) = self.owner(&id, part, members) else { return };
        if owner == members.me().shard {
            let me = members.me().shard.clone();
            let incarnation = members.me().holder.incarnation;
            self.handle_ask(now, &me, incarnation, &ask, members, out);
        } else {
            out.push(Command::Send { to: owner, body: Body::QuotaAsk(ask) });
        }
    }

    // Number of slots in a part of a quota.
    fn size(&self, quota: u32, part: QuotaPart, zone: &ZoneId) -> u32 {
        let zones = u32::try_from(self.zones.len()).unwrap_or(u32::MAX);
        let each = (quota / 2).checked_div(zones).unwrap_or(0);
        match part {
            QuotaPart::Zone if self.zones.binary_search(zone).is_ok() => each,
            QuotaPart::Zone => 0,
            QuotaPart::Shared => quota - each * zones,
        }
    }

    // Returns the shard that grants a part of a team's quota.
    fn owner(&self, team: &TeamId, part: QuotaPart, members: &Membership) -> Option<ShardId> {
        let zone = match part {
            QuotaPart::Zone => Some(&members.me().zone),
            QuotaPart::Shared => rendezvous::zone(team.as_str(), &self.zones),
        };
        let owners = members.owners(zone);
        rendezvous::owner(team.as_str(), owners.into_iter()).cloned()
    }

    /// Reacts to changes of the shards or zones, and drops grants of parts that this shard no
    /// longer owns.
    pub(crate) fn update_owners(&mut self, now: Time, members: &Membership) {
        let zone = (!self.zones.is_empty()).then_some(&self.zone);
        let owners = members.owners(zone);
        if owners.iter().copied().eq(&self.owners) {
            return;
        }
        self.owners = owners.into_iter().cloned().collect();
        self.pause_new_grants(now);
        let parts = std::mem::take(&mut self.parts);
        let mine = |grants: &PartGrants| {
            let owner = self.owner(&grants.team, grants.part, members);
            owner.as_ref() == Some(&members.me().shard)
        };
        self.parts = parts.into_iter().filter(mine).collect();
    }

    /// Makes this shard only renew grants for a while, because another shard may have granted the
    /// same parts.
    pub(crate) fn pause_new_grants(&mut self, now: Time) {
        self.owners_changed = Some(now);
        let renew_only_until = now + self.handover_wait();
        self.parts.iter_mut().for_each(|grants| grants.renew_only_until = renew_only_until);
    }

    fn handover_wait(&self) -> Span {
        self.rules.lease + self.rules.margin + PEER_TIMEOUT
    }

    /// Handles a request for a part that this shard owns.
    pub(crate) fn handle_ask(
        &mut self,
        now: Time,
        from: &ShardId,
        incarnation: Incarnation,
        ask: &QuotaAsk,
        members: &Membership,
        out: &mut Vec<Command>,
    ) {
        let Ok(team) = ask.team.parse::<TeamId>() else { return };
        let me = &members.me().shard;
        let part = ask.part();
        if self.owner(&team, part, members).as_ref() != Some(me) {
            return;
        }
        let rules = self.rules.clone();
        let renew_only_until = self.owners_changed.unwrap_or(now) + self.handover_wait();
        let quota = self.team(&team);
        let quota = self.teams[quota].quota;
        let size = self.size(quota, part, &members.me().zone);
        let key = |grants: &PartGrants| grants.team.cmp(&team).then(grants.part.cmp(&part));
        let pos = match self.parts.binary_search_by(key) {
            Ok(pos) => pos,
            Err(pos) => {
                self.parts.insert(pos, PartGrants::new(team.clone(), part, renew_only_until));
                pos
            }
        };
        let grants = self.parts[pos].handle_ask(now, from, incarnation, ask, size, &rules);
        let scarce = self.parts[pos].is_scarce(size);
        for (to, request, slots) in grants {
            let grant = QuotaGrant {
                team: team.to_string(),
                part: part.into(),
                request,
                slots,
                lease_ms: rules.lease.as_ms(),
                scarce,
            };
            if to == *me {
                self.handle_grant(now, &grant);
            } else {
                out.push(Command::Send { to, body: Body::QuotaGrant(grant) });
            }
        }
    }

    /// Handles a grant.
    pub(crate) fn handle_grant(&mut self, now: Time, grant: &QuotaGrant) {
        let Ok(team) = grant.team.parse::<TeamId>() else { return };
        let Ok(pos) = self.teams.binary_search_by(|known| known.team.cmp(&team)) else { return };
        let share = &mut self.teams[pos].shares[index(grant.part())];
        let Some(sent) = share.sent.filter(|_| share.request == grant.request) else { return };
        let end = sent + Span::from_ms(grant.lease_ms);
        if now >= end {
            return;
        }
        // Later responses to a request only raise the grant, and may overtake earlier ones.
        share.slots = if share.answered { share.slots.max(grant.slots) } else { grant.slots };
        share.answered = true;
        share.scarce = grant.scarce;
        share.end = end;
    }

    /// Returns the number of invariant violations while granting since the last call.
    pub(crate) fn take_broken(&mut self) -> u64 {
        self.parts.iter_mut().map(|grants| grants.invariants.take()).sum()
    }

    /// Removes expired grants.
    pub(crate) fn tick(&mut self, now: Time) {
        self.parts.iter_mut().for_each(|grants| grants.tick(now));
    }
}

const fn index(part: QuotaPart) -> usize {
    match part {
        QuotaPart::Zone => 0,
        QuotaPart::Shared => 1,
    }
}

fn is_due(now: Time, share: &Share, demand: u32, lease: Span, draining: bool) -> bool {
    let Some(sent) = share.sent else { return demand > 0 };
    if demand == 0 && share.demand == 0 {
        return false;
    }
    let age = now.since(sent);
    let rises = demand > share.demand && age >= RAISE_INTERVAL;
    let unanswered = !share.answered && age >= RESEND_INTERVAL;
    let falls = share.scarce && demand < share.cap(now) && age >= RETURN_INTERVAL;
    rises || falls || unanswered || age >= lease / 2 || (draining && demand == 0)
}
