//! Contact with peers: heartbeats, timeouts, and admission of members.

use cranberryhatch_schema::fleet::{Beat, frame::Body};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use super::{HEARTBEAT_INTERVAL, Node, PEER_TIMEOUT};
use crate::{Command, Output, log_event::LogEvent};

/// Interval of heartbeats from a core instance to peers that hold no roles or runs for it.
///
/// A front echoes a heartbeat of the owner in each start request; this interval bounds its age.
const CORE_HEARTBEAT_INTERVAL: Span = Span::from_ms(700);
/// Interval of heartbeats between two instances outside the core that run nothing for each other.
const IDLE_HEARTBEAT_INTERVAL: Span = Span::from_ms(1_400);
/// Longest time that an instance waits for links to the registered instances before it takes roles.
const JOIN_TIMEOUT: Span = Span::from_ms(600);
/// Longest time that an instance with peers waits for the registry before it chooses its links.
const REGISTRY_TIMEOUT: Span = Span::from_ms(2_000);
/// Time after a pause in which an instance does not schedule, so that an instance that pauses
/// repeatedly does not delay the jobs of all others each time.
const RESTING_TIME: Span = Span::from_ms(1_000);

/// Divisor of the peer timeout: a peer that is silent for this part of it does not schedule. Two
/// heartbeats are missing by then.
const SCHEDULER_SILENCE_DIVISOR: u64 = 2;
/// Divisor of the peer timeout: an owner that is silent for this part of it gets no starts. A busy
/// owner sends other messages besides its heartbeats.
const OWNER_SILENCE_DIVISOR: u64 = 3;

/// Distance between the last heartbeat received from a peer and the last one echoed to it at which
/// a heartbeat is sent at once.
const ECHO_LIMIT: Span = Span::from_ms(280);
/// Interval between two reviews of the links that this instance needs.
const LINK_REVIEW_INTERVAL: Span = Span::from_ms(100);

/// State of this instance that its heartbeats announce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AnnouncedState {
    draining: bool,
    core: bool,
    joined: bool,
    resting: bool,
    version: u64,
}

/// A link that is up, with the heartbeats that were received and sent on it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerLink {
    // When the link came up, and when the previous one did if the peer stayed a member in between.
    pub(super) up_since: Time,
    pub(super) previous_up: Option<Time>,
    // When the last message was received.
    pub(super) heard_at: Time,
    // Silence after which the peer is unreachable, from the interval that it last announced.
    pub(super) timeout: Span,
    // Since when one side has runs at the other.
    pub(super) busy_since: Option<Time>,
    // When this instance last sent a heartbeat, and the interval that it announced.
    pub(super) sent_at: Time,
    pub(super) interval: Span,
    // Sending time of the last heartbeat received, by the peer's clock.
    pub(super) heartbeat: Time,
    // The heartbeat of the peer that this instance last echoed to it.
    pub(super) echoed: Time,
    // When this instance last requested a heartbeat.
    pub(super) echo_asked: Time,
    // Whether the peer announced that it was paused recently and does not schedule.
    pub(super) resting: bool,
}

/// A peer whose link broke.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrokenLink {
    pub(super) broken_at: Time,
    // When the link that broke had come up.
    pub(super) up_since: Time,
}

impl PeerLink {
    /// Returns whether the peer has been silent for its timeout divided by `divisor`.
    pub(super) fn is_silent_for(&self, divisor: u64, now: Time) -> bool {
        match self.busy_since {
            Some(since) => {
                now.since(self.heard_at.max(since)) >= self.timeout.min(PEER_TIMEOUT) / divisor
            }
            None => now.since(self.heard_at) >= self.timeout / divisor,
        }
    }

    /// Returns whether a heartbeat may be requested of the peer; two instances must not answer each
    /// other's requests in a loop.
    fn may_request_echo(&self, now: Time) -> bool {
        now.since(self.echo_asked) >= HEARTBEAT_INTERVAL
    }

    /// Returns whether a heartbeat with this interval is due.
    fn is_due(&self, interval: Span, now: Time) -> bool {
        // The leases of an owner extend only as far as its heartbeats that the front has echoed.
        let is_unechoed =
            self.busy_since.is_some() && self.heartbeat.since(self.echoed) >= ECHO_LIMIT;
        is_unechoed || now.since(self.sent_at) >= interval.min(self.interval)
    }
}

impl Node {
    /// Records the workers of a peer on which runs may outlast its leases.
    pub(super) fn set_unanswered_workers(&mut self, peer: &InstanceId, workers: &[String]) {
        if workers.is_empty() {
            self.unanswered.remove(peer);
            return;
        }
        let mut workers: Vec<WorkerId> = workers.iter().filter_map(|id| id.parse().ok()).collect();
        workers.sort();
        self.unanswered.insert(peer.clone(), workers);
    }

    /// Replaces a scheduler that is silent, and stops the scheduler from placing runs at silent
    /// owners.
    pub(super) fn check_silence(&mut self, gap: Span, now: Time, out: &mut Output) {
        if gap >= PEER_TIMEOUT / SCHEDULER_SILENCE_DIVISOR {
            self.resting_until = now + RESTING_TIME;
        }
        let is_unresponsive =
            |link: &PeerLink| link.resting || link.is_silent_for(SCHEDULER_SILENCE_DIVISOR, now);
        let unresponsive =
            self.links.iter().filter(|(_, link)| is_unresponsive(link)).map(|(id, _)| id);
        let me = Some(&self.members.me().id).filter(|_| now < self.resting_until);
        self.members.set_unresponsive(unresponsive.chain(me).cloned().collect());
        if self.members.scheduler() != self.elected.as_ref() {
            self.update_roles(now, out);
        }
        if self.is_scheduler() {
            let is_silent = |link: &PeerLink| link.is_silent_for(OWNER_SILENCE_DIVISOR, now);
            let silent = self.links.iter().filter(|(_, link)| is_silent(link));
            let silent: Vec<InstanceId> = silent.map(|(id, _)| id.clone()).collect();
            self.scheduler.set_silent_owners(&silent);
        }
    }

    /// Announces a changed view of the members to all peers, and admits pending members that all
    /// agree on.
    pub(super) fn admit_members(&mut self, now: Time, out: &mut Output) {
        let view = self.members.view();
        if std::mem::replace(&mut self.announced_view, view) != view {
            self.links.iter_mut().for_each(|(_, link)| link.sent_at = Time::ZERO);
        }
        if let Some(change) = self.members.admit_pending(now) {
            let peers = self.members.peers().len();
            out.log(LogEvent::MembersAdmitted { change, peers });
            self.scheduler.await_reports(now);
            self.update_roles(now, out);
        }
    }

    /// Updates the links that this instance needs, and whether it belongs to the core.
    pub(super) fn review_links(&mut self, now: Time, out: &mut Output) {
        // Before it has read the registry, an instance knows only the peers that connected to it
        // and cannot tell whether there are larger instances.
        let alone = self.members.peers().is_empty();
        let timeout = if alone { JOIN_TIMEOUT } else { REGISTRY_TIMEOUT };
        let known = self.topology.has_registry() || now.since(self.started) >= timeout;
        if !known || now.since(self.reviewed_at) < LINK_REVIEW_INTERVAL {
            return;
        }
        self.reviewed_at = now;
        let members = &self.members;
        let is_linked = |id: &InstanceId| members.peer(id).is_some();
        let before = self.topology.link_plan().core;
        let owns = self.owners.contains(&members.me().id);
        if !self.topology.update(is_linked, self.listing.all().len(), owns, now) {
            return;
        }
        let plan = self.topology.link_plan();
        if plan.core != before {
            out.log(LogEvent::CoreEntered { links: plan.links.len() });
        }
        self.members.me_mut().core = plan.core;
        out.commands.push(Command::SetLinks { peers: plan.links.clone() });
    }

    /// Takes roles once this core instance knows its peers and the workers.
    pub(super) fn join(&mut self, now: Time, out: &mut Output) {
        let has_workers = self.listing.read_at > Time::ZERO;
        let me = self.members.me();
        if me.joined || !me.core || !has_workers {
            return;
        }
        // An instance without peers may be the first of several that start together.
        let alone = self.members.peers().is_empty();
        let all_linked = self.topology.link_plan().links.iter().all(|id| self.members.contains(id));
        let complete = !alone && self.topology.has_registry() && all_linked;
        if !complete && now.since(self.started) < JOIN_TIMEOUT {
            return;
        }
        self.members.join(now);
        self.send_heartbeats(now, out);
        self.update_roles(now, out);
    }

    /// Requests a heartbeat from a front of which a start is deferred.
    pub(super) fn request_echo(&mut self, front: &InstanceId, now: Time, out: &mut Output) {
        // Starts on several workers of this owner arrive together.
        let is_due = self.links.get(front).is_some_and(|link| link.may_request_echo(now));
        if is_due && self.owner.awaits_heartbeat(front) {
            self.send_heartbeat(front, now, out);
        }
    }

    /// Carries out the deferred starts whose fronts have echoed a later heartbeat.
    pub(super) fn retry_deferred_starts(&mut self, now: Time, out: &mut Output) {
        if self.owner.has_deferred_starts() {
            self.owner.allow_starts(self.can_start(now));
            self.owner.retry_deferred_starts(now, out);
        }
    }

    /// Sends a heartbeat to a peer at once.
    pub(super) fn send_heartbeat(&mut self, peer: &InstanceId, now: Time, out: &mut Output) {
        if let Some(link) = self.links.get_mut(peer) {
            link.sent_at = Time::ZERO;
            self.send_heartbeats(now, out);
        }
    }

    /// Sends the heartbeats that are due, and one to every peer when the announced state changed.
    pub(super) fn send_heartbeats(&mut self, now: Time, out: &mut Output) {
        let me = self.members.me();
        let resting = now < self.resting_until;
        let (draining, core, joined) = (me.draining, me.core, me.joined);
        let version = self.settings.0;
        let state = AnnouncedState { draining, core, joined, resting, version };
        let changed = std::mem::replace(&mut self.announced, state) != state;
        let (owners, fronts) = (self.front.owners(), self.owner.fronts());
        let elected = self.elected.as_ref();
        let unanswered = self.owner.unanswered_workers(now);
        for (id, link) in self.links.iter_mut() {
            let has_runs = owners.binary_search(id).is_ok() || fronts.binary_search(id).is_ok();
            link.busy_since = has_runs.then(|| link.busy_since.unwrap_or(now));
            let schedules = elected == Some(id) || elected == Some(&me.id);
            let interval = match (has_runs || schedules, core) {
                (true, _) => HEARTBEAT_INTERVAL,
                (false, true) => CORE_HEARTBEAT_INTERVAL,
                (false, false) => IDLE_HEARTBEAT_INTERVAL,
            };
            if !changed && !link.is_due(interval, now) {
                continue;
            }
            link.sent_at = now;
            link.interval = interval;
            link.echoed = link.heartbeat;
            let echo = link.may_request_echo(now) && self.owner.awaits_heartbeat(id);
            if echo {
                link.echo_asked = now;
            }
            let next_ms = u32::try_from(interval.as_ms()).unwrap_or(u32::MAX);
            let (sent_ms, seen_ms) = (now.as_ms(), link.heartbeat.as_ms());
            let view = self.announced_view;
            let beat = Beat {
                version,
                draining,
                joined,
                next_ms,
                sent_ms,
                seen_ms,
                view,
                rests: resting,
                core,
                drains: self.drains.version(),
                echo,
                unanswered: unanswered.clone(),
            };
            out.send(id, Body::Beat(beat));
        }
    }
}
