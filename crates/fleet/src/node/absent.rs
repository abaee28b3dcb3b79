//! Registered peers without a link, of which some may be running.

use cranberryhatch_types::{InstanceId, Span, Time};

use crate::VecMap;

/// Time without a link after which a peer counts as removed; network partitions heal sooner.
const REMOVED_AFTER: Span = Span::from_secs(30);

/// Peers whose links were lost, with the time, and those whose processes have ended.
#[derive(Debug, Default)]
pub(super) struct AbsentPeers {
    lost: VecMap<InstanceId, Time>,
    // Sorted.
    ended: Vec<InstanceId>,
}

impl AbsentPeers {
    /// Records a link that is up.
    pub(super) fn add_link(&mut self, peer: &InstanceId) {
        self.lost.remove(peer);
        if let Ok(place) = self.ended.binary_search(peer) {
            self.ended.remove(place);
        }
    }

    /// Records a link that was lost.
    pub(super) fn lose_link(&mut self, peer: &InstanceId, now: Time) {
        self.lost.insert(peer.clone(), now);
    }

    /// Records that a peer without a link refuses connections: its process has ended.
    pub(super) fn set_ended(&mut self, peer: &InstanceId) {
        if let Err(place) = self.ended.binary_search(peer) {
            self.ended.insert(place, peer.clone());
        }
    }

    /// Returns whether the process of a peer without a link has ended.
    pub(super) fn has_ended(&self, peer: &InstanceId) -> bool {
        self.ended.binary_search(peer).is_ok()
    }

    /// Returns whether a peer without a link may be running out of reach. `started` is when this
    /// instance started, for peers to which it has had no link.
    pub(super) fn is_out_of_reach(&self, peer: &InstanceId, started: Time, now: Time) -> bool {
        let lost = self.lost.get(peer).copied().unwrap_or(started);
        !self.has_ended(peer) && now.since(lost) < REMOVED_AFTER
    }
}
