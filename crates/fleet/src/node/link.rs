//! Links to the peers: up, broken for a moment, and lost.

use cranberryhatch_types::{InstanceId, Span, Time};

use super::{DOUBT, Heard, Node, PEER_TIMEOUT, Severed};
use crate::{Command, InstanceInfo, Member, Output, log_event::LogEvent};

/// Time after which a peer whose link broke counts as out of reach.
///
/// A link between two instances that live is back within some ten milliseconds, and one whose process ended
/// is refused as soon. The scheduler is replaced after the same silence.
const RELINK: Span = Span::from_ms(300);

impl Node {
    /// A link to a peer is up in both directions.
    pub fn link_up(&mut self, peer: Member, now: Time, out: &mut Output) {
        let id = peer.id.clone();
        // The end of an earlier link may not have been noticed here, as after a pause.
        self.sever(&id, now, out);
        let is_back = self.members.is_back(&peer);
        if !is_back {
            self.lose(&id, now, out);
        }
        let before = self.severed.remove(&id).filter(|_| is_back).map(|severed| severed.up);
        self.heard.insert(
            id.clone(),
            Heard {
                up: now,
                before,
                at: now,
                limit: PEER_TIMEOUT,
                busy: None,
                told: Time::ZERO,
                next: Span::ZERO,
                sign: Time::ZERO,
                named: Time::ZERO,
                rests: false,
            },
        );
        self.topology.learn(InstanceInfo::from(&peer));
        self.reviewed = Time::ZERO;
        if is_back {
            self.relink(&id, now, out);
        } else {
            self.members.up(peer, now);
            self.meet();
        }
        out.log(LogEvent::PeerUp { peer: id, peers: self.members.peers().len() });
        self.send_beats(now, out);
        self.duties(now, out);
        self.settle(now, false, out);
    }

    /// Repeats to a peer what may have been lost with the link.
    fn relink(&mut self, id: &InstanceId, now: Time, out: &mut Output) {
        self.owner.front_reconnected(id, now, out);
        if self.elected.as_ref() == Some(id) {
            self.owner.set_scheduler(self.elected.clone());
            self.front.follow(self.elected.clone(), now, out);
        }
    }

    /// The link to a peer broke; messages on it may be lost. The peer counts on for a moment.
    pub fn link_down(&mut self, peer: &InstanceId, now: Time, out: &mut Output) {
        self.sever(peer, now, out);
        self.settle(now, false, out);
    }

    /// A peer is out of reach for certain: its process has ended, or it was silent.
    pub fn peer_gone(&mut self, peer: &InstanceId, now: Time, out: &mut Output) {
        // A link that is up shows that the peer was started again.
        if self.heard.get(peer).is_none() {
            self.lose(peer, now, out);
            self.settle(now, false, out);
        }
    }

    pub(super) fn sever(&mut self, peer: &InstanceId, now: Time, out: &mut Output) {
        let Some(heard) = self.heard.remove(peer) else { return };
        let peers = self.heard.len();
        out.log(LogEvent::PeerDown { peer: peer.clone(), silence: now.since(heard.at), peers });
        self.severed.insert(peer.clone(), Severed { at: now, up: heard.up });
        self.front.owner_lost(peer, heard.at, out);
        self.owner.front_link_lost(peer);
        self.scheduler.remove_instance(peer);
    }

    fn lose(&mut self, peer: &InstanceId, now: Time, out: &mut Output) {
        self.severed.remove(peer);
        let before = self.members.peers().len();
        if !self.members.down(peer) {
            return;
        }
        self.meet();
        self.reviewed = Time::ZERO;
        let peers = self.members.peers().len();
        if before > 1 && peers * 2 < before || peers == 0 {
            self.doubt_until = now + DOUBT;
        }
        self.owner.front_unreachable(peer, now, out);
        self.duties(now, out);
    }

    /// Does without peers whose links are not back in time, and without those that say nothing.
    pub(super) fn check_peers(&mut self, now: Time, out: &mut Output) {
        let silent = self.heard.iter().filter(|(_, heard)| heard.is_silent_for(1, now));
        let silent: Vec<InstanceId> = silent.map(|(id, _)| id.clone()).collect();
        for peer in silent {
            out.commands.push(Command::Unlink { peer: peer.clone() });
            self.sever(&peer, now, out);
            self.lose(&peer, now, out);
        }
        let late = self.severed.iter().filter(|(_, severed)| now.since(severed.at) >= RELINK);
        let late: Vec<InstanceId> = late.map(|(id, _)| id.clone()).collect();
        for peer in late {
            self.lose(&peer, now, out);
        }
    }
}
