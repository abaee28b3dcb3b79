//! Link state of the peers: up, broken and awaiting a reconnect, or lost.

use cranberryhatch_types::{InstanceId, Span, Time};

use super::{BrokenLink, ISOLATION_HOLD, Node, PEER_TIMEOUT, PeerLink};
use crate::{Command, InstanceInfo, Member, Output, OwnerRequests, log_event::LogEvent};

/// Time after a broken link in which a peer stays a member, awaiting a reconnect.
///
/// Two running instances reconnect within some 10 ms, and a connection to a process that has ended
/// is refused as quickly. The scheduler is replaced after the same silence.
const RECONNECT_TIME: Span = Span::from_ms(300);

impl Node {
    /// Handles a link to a peer that is up in both directions.
    pub fn link_up(&mut self, peer: Member, now: Time, out: &mut Output) {
        let id = peer.id.clone();
        // This instance may have missed the end of the previous link, as after a pause.
        self.break_link(&id, now, out);
        let is_resumed = self.members.is_same_incarnation(&peer);
        if !is_resumed {
            self.remove_peer(&id, now, out);
        }
        let previous_up =
            self.broken_links.remove(&id).filter(|_| is_resumed).map(|broken| broken.up_since);
        self.links.insert(
            id.clone(),
            PeerLink {
                up_since: now,
                previous_up,
                heard_at: now,
                timeout: PEER_TIMEOUT,
                busy_since: None,
                sent_at: Time::ZERO,
                interval: Span::ZERO,
                heartbeat: Time::ZERO,
                echoed: Time::ZERO,
                echo_asked: Time::ZERO,
                resting: false,
            },
        );
        self.scheduler.add_reachable(&id);
        self.absent.add_link(&id);
        self.topology.insert(InstanceInfo::from(&peer));
        self.reviewed_at = Time::ZERO;
        if is_resumed {
            self.resume_link(&id, now, out);
        } else {
            self.members.add_peer(peer, now);
            self.update_owner_peers();
        }
        out.log(LogEvent::PeerUp { peer: id.clone(), peers: self.members.peers().len() });
        self.send_heartbeats(now, out);
        self.send_cancels_to(&id, now, out);
        self.update_roles(now, out);
        self.process_pending(now, false, out);
    }

    /// Repeats the messages to a peer that may have been lost with the previous link.
    fn resume_link(&mut self, id: &InstanceId, now: Time, out: &mut Output) {
        self.owner.front_reconnected(id, now, out);
        if self.elected.as_ref() == Some(id) {
            self.owner.set_scheduler(self.elected.clone());
            self.front.set_scheduler(self.elected.clone(), now, out);
        }
    }

    /// Handles a broken link, whose messages may be lost. The peer stays a member for a short time.
    pub fn link_down(&mut self, peer: &InstanceId, now: Time, out: &mut Output) {
        self.break_link(peer, now, out);
        self.process_pending(now, false, out);
    }

    /// Handles a peer without a link that refuses connections: its process has ended.
    pub fn peer_gone(&mut self, peer: &InstanceId, now: Time, out: &mut Output) {
        // A link that is up belongs to a later incarnation of the peer.
        if self.links.get(peer).is_none() {
            self.absent.set_ended(peer);
            self.remove_peer(peer, now, out);
            self.process_pending(now, false, out);
        }
    }

    /// Marks the link to a peer as broken, with the runs and requests that used it.
    pub(super) fn break_link(&mut self, peer: &InstanceId, now: Time, out: &mut Output) {
        let Some(link) = self.links.remove(peer) else { return };
        self.absent.lose_link(peer, now);
        let peers = self.links.len();
        out.log(LogEvent::PeerDown {
            peer: peer.clone(),
            silence: now.since(link.heard_at),
            peers,
        });
        self.broken_links
            .insert(peer.clone(), BrokenLink { broken_at: now, up_since: link.up_since });
        let unanswered = self.unanswered.remove(peer).unwrap_or_default();
        let requests = OwnerRequests { unanswered };
        self.front.owner_unreachable(peer, &requests, link.heard_at, out);
        self.owner.front_link_lost(peer);
        self.scheduler.remove_instance(peer, &requests.unanswered, now);
        self.scheduler.remove_reachable(peer, link.heard_at, now);
    }

    /// Removes a peer from the members and lets the runs that it started here end.
    fn remove_peer(&mut self, peer: &InstanceId, now: Time, out: &mut Output) {
        self.broken_links.remove(peer);
        let before = self.members.peers().len();
        if !self.members.remove_peer(peer) {
            return;
        }
        self.update_owner_peers();
        self.reviewed_at = Time::ZERO;
        let peers = self.members.peers().len();
        if before > 1 && peers * 2 < before || peers == 0 {
            self.hold_until = now + ISOLATION_HOLD;
        }
        self.owner.front_unreachable(peer, now, out);
        self.update_roles(now, out);
    }

    /// Removes peers that have timed out, and those whose broken links are not up again in time.
    pub(super) fn check_peers(&mut self, now: Time, out: &mut Output) {
        let silent = self.links.iter().filter(|(_, link)| link.is_silent_for(1, now));
        let silent: Vec<InstanceId> = silent.map(|(id, _)| id.clone()).collect();
        for peer in silent {
            out.commands.push(Command::ResetLink { peer: peer.clone() });
            self.break_link(&peer, now, out);
            self.remove_peer(&peer, now, out);
        }
        let late = self
            .broken_links
            .iter()
            .filter(|(_, broken)| now.since(broken.broken_at) >= RECONNECT_TIME);
        let late: Vec<InstanceId> = late.map(|(id, _)| id.clone()).collect();
        for peer in late {
            self.remove_peer(&peer, now, out);
        }
    }
}
