//! Contact with the peers: signs of life, silences, and which members count.

use cranberryhatch_schema::fleet::{Beat, frame::Body};
use cranberryhatch_types::{InstanceId, Span, Time};

use super::{HEARTBEAT_INTERVAL, Node, PEER_TIMEOUT};
use crate::{Command, Output, log_event::LogEvent};

/// Time between two signs of life of the core to instances that do nothing for it; a front that sends a
/// start names one that is not older.
const SLOW_BEAT_EVERY: Span = Span::from_ms(700);
/// Time between two signs of life of an instance without duties to those that do nothing for it.
const IDLE_BEAT_EVERY: Span = Span::from_ms(1_400);
/// Longest time that an instance has to find the registered instances before it takes duties.
const JOIN_TIME: Span = Span::from_ms(600);
/// The same for an instance that is linked to others and has not read the register.
const REGISTER_TIME: Span = Span::from_ms(2_000);
/// Time after a pause for which an instance does not schedule, so that one that stands still again and
/// again does not hold up the jobs of all each time.
const REST: Span = Span::from_ms(1_000);

/// Part of the silence that ends a link after which an instance does not schedule; two signs of life are
/// missing then.
const QUIET_PART: u64 = 2;
/// Part of that silence after which an owner gets no starts; one that works says more than its signs of
/// life.
const MUTED_PART: u64 = 3;

/// Time between two signs of a peer after which the later one is named to it at once.
const UNNAMED: Span = Span::from_ms(280);
/// Time between two reviews of the links that this instance needs.
const REVIEW_EVERY: Span = Span::from_ms(100);

/// What signs of life say of an instance itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Said {
    draining: bool,
    core: bool,
    joined: bool,
    rests: bool,
    version: u64,
}

/// Last sign of life of a peer, and how long it may be silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Heard {
    // When the link came up, and when the one before it did if the peer counted all the while.
    pub(super) up: Time,
    pub(super) before: Option<Time>,
    pub(super) at: Time,
    // Silence that its last sign of life announced.
    pub(super) limit: Span,
    // Since when one side has runs at the other.
    pub(super) busy: Option<Time>,
    // When this instance last sent a sign of life to it, and when it said that the next one comes.
    pub(super) told: Time,
    pub(super) next: Span,
    // Latest sign of life that was read from it, by its own clock.
    pub(super) sign: Time,
    // The one that this instance last named to it.
    pub(super) named: Time,
    // Whether it said that it stood still lately.
    pub(super) rests: bool,
}

/// A peer whose link broke.
#[derive(Clone, Copy, Debug)]
pub(super) struct Severed {
    pub(super) at: Time,
    // When the link that broke had come up.
    pub(super) up: Time,
}

impl Heard {
    /// Whether the peer has said nothing for a part of the silence that ends the link.
    pub(super) fn is_silent_for(&self, part: u64, now: Time) -> bool {
        match self.busy {
            Some(since) => now.since(self.at.max(since)) >= self.limit.min(PEER_TIMEOUT) / part,
            None => now.since(self.at) >= self.limit / part,
        }
    }

    /// Whether a sign of life is due that is sent every so often.
    fn is_due(&self, every: Span, now: Time) -> bool {
        // A lease lasts no longer than the signs of its owner that its front has named.
        let unnamed = self.busy.is_some() && self.sign.since(self.named) >= UNNAMED;
        unnamed || now.since(self.told) >= every.min(self.next)
    }
}

impl Node {
    /// Has another instance schedule while the one that did says nothing, and starts nothing at owners
    /// that say nothing.
    pub(super) fn watch_silences(&mut self, gap: Span, now: Time, out: &mut Output) {
        if gap >= PEER_TIMEOUT / QUIET_PART {
            self.rests_until = now + REST;
        }
        let is_quiet = |heard: &Heard| heard.rests || heard.is_silent_for(QUIET_PART, now);
        let quiet = self.heard.iter().filter(|(_, heard)| is_quiet(heard)).map(|(id, _)| id);
        let me = Some(&self.members.me().id).filter(|_| now < self.rests_until);
        self.members.set_quiet(quiet.chain(me).cloned().collect());
        if self.members.scheduler() != self.elected.as_ref() {
            self.duties(now, out);
        }
        if self.is_scheduler() {
            let is_muted = |heard: &Heard| heard.is_silent_for(MUTED_PART, now);
            let muted = self.heard.iter().filter(|(_, heard)| is_muted(heard));
            let muted: Vec<InstanceId> = muted.map(|(id, _)| id.clone()).collect();
            self.scheduler.set_silent_owners(&muted);
        }
    }

    /// Tells all which instances are in reach when that changed, and counts those that all agree on.
    pub(super) fn count_members(&mut self, now: Time, out: &mut Output) {
        let view = self.members.view();
        if std::mem::replace(&mut self.view_said, view) != view {
            self.heard.iter_mut().for_each(|(_, heard)| heard.told = Time::ZERO);
        }
        if let Some(counted) = self.members.count(now) {
            let peers = self.members.peers().len();
            out.log(LogEvent::MembersAdmitted { counted, peers });
            self.scheduler.await_reports(now);
            self.duties(now, out);
        }
    }

    /// Works out which links this instance needs, and whether it takes duties.
    pub(super) fn review(&mut self, now: Time, out: &mut Output) {
        // An instance that has not read the register does not know who is larger; those that have come
        // to it by themselves.
        let alone = self.members.peers().is_empty();
        let patience = if alone { JOIN_TIME } else { REGISTER_TIME };
        let known = self.topology.is_registered() || now.since(self.started) >= patience;
        if !known || now.since(self.reviewed) < REVIEW_EVERY {
            return;
        }
        self.reviewed = now;
        let members = &self.members;
        let is_linked = |id: &InstanceId| members.peer(id).is_some();
        let before = self.topology.standing().core;
        let owns = self.owners.contains(&members.me().id);
        if !self.topology.review(is_linked, self.listing.all().len(), owns, now) {
            return;
        }
        let standing = self.topology.standing();
        if standing.core != before {
            out.log(LogEvent::CoreEntered { links: standing.links.len() });
        }
        self.members.me_mut().core = standing.core;
        out.commands.push(Command::Links { peers: standing.links.clone() });
    }

    pub(super) fn join(&mut self, now: Time, out: &mut Output) {
        let listed = self.listing.read_at > Time::ZERO;
        let me = self.members.me();
        if me.joined || !me.core || !listed {
            return;
        }
        // An instance that sees nobody may be the first of several.
        let alone = self.members.peers().is_empty();
        let all = self.topology.standing().links.iter().all(|id| self.members.reaches(id));
        let complete = !alone && self.topology.is_registered() && all;
        if !complete && now.since(self.started) < JOIN_TIME {
            return;
        }
        self.members.join(now);
        self.send_beats(now, out);
        self.duties(now, out);
    }

    /// Sends signs of life that are due, and one to all when this instance's state changed.
    pub(super) fn send_beats(&mut self, now: Time, out: &mut Output) {
        let me = self.members.me();
        let rests = now < self.rests_until;
        let (draining, core, joined) = (me.draining, me.core, me.joined);
        let version = self.settings.0;
        let said = Said { draining, core, joined, rests, version };
        let all = std::mem::replace(&mut self.said, said) != said;
        let (runs_at, runs_of) = (self.front.owners(), self.owner.fronts());
        let elected = self.elected.as_ref();
        for (id, heard) in self.heard.iter_mut() {
            let has_runs = runs_at.binary_search(id).is_ok() || runs_of.binary_search(id).is_ok();
            heard.busy = has_runs.then(|| heard.busy.unwrap_or(now));
            let schedules = elected == Some(id) || elected == Some(&me.id);
            let every = match (has_runs || schedules, core) {
                (true, _) => HEARTBEAT_INTERVAL,
                (false, true) => SLOW_BEAT_EVERY,
                (false, false) => IDLE_BEAT_EVERY,
            };
            if !all && !heard.is_due(every, now) {
                continue;
            }
            heard.told = now;
            heard.next = every;
            heard.named = heard.sign;
            let next_ms = u32::try_from(every.as_ms()).unwrap_or(u32::MAX);
            let (sent_ms, seen_ms) = (now.as_ms(), heard.sign.as_ms());
            let view = self.view_said;
            let beat = Beat {
                version,
                draining,
                joined,
                next_ms,
                sent_ms,
                seen_ms,
                view,
                rests,
                core,
                drains: self.drains.version(),
            };
            out.send(id, Body::Beat(beat));
        }
    }
}
