//! What peers say of themselves in heartbeats.

use std::sync::{Mutex, PoisonError};

use cranberryhatch_schema::peer::Heartbeat;
use cranberryhatch_types::{Holder, InstanceId, ShardId, Span, Time};

/// Most shards of peers that are remembered.
const SHARDS_LIMIT: usize = 4_096;

/// Last heartbeat of a peer's shard.
#[derive(Clone, Debug)]
pub struct PeerShard {
    /// The shard.
    pub shard: ShardId,
    /// Its instance's life.
    pub holder: Holder,
    /// What it said.
    pub beat: Heartbeat,
    /// When it was received.
    pub at: Time,
}

/// Last heartbeats of all peers.
#[derive(Debug, Default)]
pub struct Roster {
    shards: Mutex<Vec<PeerShard>>,
}

impl Roster {
    /// Takes a heartbeat.
    pub fn note(&self, shard: &ShardId, holder: &Holder, beat: &Heartbeat, now: Time) {
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let entry =
            PeerShard { shard: shard.clone(), holder: holder.clone(), beat: beat.clone(), at: now };
        match shards.binary_search_by(|known| known.shard.cmp(shard)) {
            Ok(place) => shards[place] = entry,
            Err(_) if shards.len() >= SHARDS_LIMIT => {}
            Err(place) => shards.insert(place, entry),
        }
    }

    /// All last heartbeats, sorted by shard.
    #[must_use]
    pub fn all(&self) -> Vec<PeerShard> {
        self.shards.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether a holder sent a heartbeat within a span.
    #[must_use]
    pub fn is_live(&self, holder: &Holder, now: Time, within: Span) -> bool {
        let shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        shards.iter().any(|known| known.holder == *holder && now.since(known.at) <= within)
    }

    /// Ids of peers that sent a heartbeat within a span.
    #[must_use]
    pub fn live(&self, now: Time, within: Span) -> Vec<InstanceId> {
        let mut ids: Vec<InstanceId> = self
            .all()
            .into_iter()
            .filter(|known| now.since(known.at) <= within)
            .map(|known| known.shard.instance)
            .collect();
        ids.dedup();
        ids
    }
}
