//! Lease of this holder on its claims; determines whether it may send starts.
//!
//! A holder that runs without pause keeps sending, even while it is cut off from the platform: its
//! zone peers receive its heartbeats, and a takeover fences it at the endpoints. A holder that was
//! paused for longer than its lease may have been taken over in the meantime. It sends no starts
//! until its row has been renewed or, if the platform is unreachable, every live zone peer has
//! denied a takeover.
//!
//! ```
//! use cranberryhatch_core::{Event, HolderLease, Identity};
//! use cranberryhatch_types::{Holder, Incarnation, ShardId, Time};
//!
//! let holder = Holder { instance: "praha-a-1".parse().unwrap(), incarnation: Incarnation::new(1) };
//! let shard = ShardId { instance: holder.instance.clone(), shard: 0 };
//! let me = Identity { shard, holder, zone: "praha-a".parse().unwrap(), shards: 1 };
//! let mut lease = HolderLease::new(&me);
//! let mut out = Vec::new();
//! lease.handle(Time::ZERO, &Event::Tick, &mut out);
//! assert!(lease.may_send());
//! lease.handle(Time::from_ms(10_001), &Event::Tick, &mut out);
//! assert!(!lease.may_send());
//! lease.handle(Time::from_ms(10_020), &Event::Renewed(Time::from_ms(10_002)), &mut out);
//! assert!(lease.may_send());
//! ```

use cranberryhatch_schema::{
    Values,
    peer::{Heartbeat, TakeoverAsk, TakeoverReply, envelope::Body},
};
use cranberryhatch_types::{Holder, InstanceId, ShardId, Span, Time, ZoneId};

use crate::{Command, Event, Identity, StateChange};

/// A zone peer without a heartbeat for this long is not live.
const PEER_TIMEOUT: Span = Span::from_secs(2);
/// Interval between two queries to peers that have not answered.
const ASK_INTERVAL: Span = Span::from_ms(500);

/// Whether this holder may send starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It holds its lease.
    Held,
    /// It was paused for longer than its lease and resumed at this time.
    Paused(Time),
    /// Another instance took it over.
    Superseded,
}

/// An instance of the same zone.
#[derive(Clone, Debug)]
struct ZonePeer {
    id: InstanceId,
    last_heard: Time,
    /// Number of the last request that it answered by denying a takeover.
    denied: u64,
}

/// Lease of this holder on its claims.
#[derive(Debug)]
pub struct HolderLease {
    holder: Holder,
    zone: ZoneId,
    lease: Span,
    last_event: Option<Time>,
    /// When the last confirmed renewal was sent; initially the time of the first event.
    renewed: Option<Time>,
    state: State,
    reachable: bool,
    peers: Vec<ZonePeer>,
    request: u64,
    next_ask: Time,
}

impl HolderLease {
    /// Creates the lease of a new holder, which no other instance can have taken over yet.
    #[must_use]
    pub fn new(me: &Identity) -> Self {
        Self {
            holder: me.holder.clone(),
            zone: me.zone.clone(),
            lease: Values::default().lease_holder,
            last_event: None,
            renewed: None,
            state: State::Held,
            reachable: true,
            peers: Vec::new(),
            request: 0,
            next_ask: Time::ZERO,
        }
    }

    /// Returns whether this holder may send starts at the time of the last event.
    #[must_use]
    pub fn may_send(&self) -> bool {
        self.state == State::Held
    }

    /// Returns whether certainly no other instance has taken over this holder by `now`, so that no
    /// claimed job that it did not start has been started by another one.
    ///
    /// A holder that is cut off continues to serve, but a successor may have started its jobs.
    #[must_use]
    pub fn is_exclusive(&self, now: Time) -> bool {
        self.may_send() && self.renewed.is_none_or(|sent| now.since(sent) <= self.lease)
    }

    /// Returns whether another instance took over this holder; it then never sends again.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.state == State::Superseded
    }

    /// Handles an event; returns whether this holder learned that it was superseded.
    pub fn handle(&mut self, now: Time, event: &Event, out: &mut Vec<Command>) -> bool {
        self.notice_pause(now, out);
        let before = self.is_superseded();
        match event {
            Event::Settings(settings) => self.lease = settings.local().lease_holder,
            Event::Renewed(sent) => self.handle_renewal(now, *sent, out),
            Event::Superseded => self.supersede(out),
            Event::Platform { reachable } => self.reachable = *reachable,
            Event::Peer { from, body: Body::Heartbeat(heartbeat), .. } => {
                self.handle_heartbeat(now, from, heartbeat);
            }
            Event::Peer { from, body: Body::TakeoverReply(reply), .. } => {
                self.handle_reply(from, reply, out);
            }
            _ => {}
        }
        self.check_peers(now, out);
        self.is_superseded() && !before
    }

    /// Checks that `sent` contains no start unless this holder may send; returns whether that is
    /// so.
    ///
    /// # Panics
    ///
    /// Panics in builds with debug assertions if the check fails.
    #[must_use]
    pub fn permits(&self, sent: &[Command]) -> bool {
        let starts = sent.iter().any(|command| matches!(command, Command::Start(_)));
        let permitted = self.may_send() || !starts;
        debug_assert!(permitted, "{} sends a start past its lease", self.holder);
        permitted
    }

    fn notice_pause(&mut self, now: Time, out: &mut Vec<Command>) {
        let gap = self.last_event.map_or(Span::ZERO, |last| now.since(last));
        self.last_event = self.last_event.max(Some(now));
        self.renewed.get_or_insert(now);
        if gap > self.lease && !self.is_superseded() {
            self.state = State::Paused(now);
            self.request += 1;
            self.next_ask = Time::ZERO;
            out.push(Command::State(StateChange::LeaseLapsed));
        }
    }

    // A renewal sent within the last lease proves that no takeover happened: a takeover waits for
    // the lease and margin after the last renewal it saw, and its compare-and-set fails after a
    // later one.
    fn handle_renewal(&mut self, now: Time, sent: Time, out: &mut Vec<Command>) {
        self.renewed = self.renewed.max(Some(sent));
        if matches!(self.state, State::Paused(_)) && now.since(sent) <= self.lease {
            self.resume(out);
        }
    }

    fn resume(&mut self, out: &mut Vec<Command>) {
        self.state = State::Held;
        out.push(Command::State(StateChange::LeaseHeld));
    }

    fn supersede(&mut self, out: &mut Vec<Command>) {
        if !self.is_superseded() {
            self.state = State::Superseded;
            out.push(Command::State(StateChange::Superseded));
        }
    }

    fn handle_heartbeat(&mut self, now: Time, from: &ShardId, heartbeat: &Heartbeat) {
        if heartbeat.zone != self.zone.as_str() || from.instance == self.holder.instance {
            return;
        }
        match self.peers.binary_search_by(|peer| peer.id.cmp(&from.instance)) {
            Ok(pos) => self.peers[pos].last_heard = now,
            Err(pos) => {
                let peer = ZonePeer { id: from.instance.clone(), last_heard: now, denied: 0 };
                self.peers.insert(pos, peer);
            }
        }
    }

    fn handle_reply(&mut self, from: &ShardId, reply: &TakeoverReply, out: &mut Vec<Command>) {
        if reply.request != self.request || !matches!(self.state, State::Paused(_)) {
            return;
        }
        if reply.taken {
            return self.supersede(out);
        }
        if let Ok(pos) = self.peers.binary_search_by(|peer| peer.id.cmp(&from.instance)) {
            self.peers[pos].denied = self.request;
        }
    }

    // Peers last heard before the pause may have died during it. The set of live peers is therefore
    // final only after each live peer had time to send a heartbeat.
    fn check_peers(&mut self, now: Time, out: &mut Vec<Command>) {
        let State::Paused(resumed) = self.state else { return };
        if self.reachable {
            return;
        }
        let request = self.request;
        let live = self.peers.iter().filter(|peer| peer.last_heard + PEER_TIMEOUT >= now);
        let unanswered: Vec<_> =
            live.filter(|peer| peer.denied != request).map(|p| &p.id).collect();
        if unanswered.is_empty() && now.since(resumed) >= PEER_TIMEOUT {
            return self.resume(out);
        }
        if !unanswered.is_empty() && now >= self.next_ask {
            for id in unanswered {
                let to = ShardId { instance: id.clone(), shard: 0 };
                out.push(Command::Send { to, body: Body::TakeoverAsk(TakeoverAsk { request }) });
            }
            self.next_ask = now + ASK_INTERVAL;
        }
    }
}
