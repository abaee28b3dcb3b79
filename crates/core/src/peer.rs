//! Another shard as seen by this shard.

use cranberryhatch_types::{Incarnation, ShardId, Time, ZoneId};

/// Another shard from which a heartbeat was received.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) shard: ShardId,
    pub(crate) zone: ZoneId,
    pub(crate) incarnation: Incarnation,
    /// When its last heartbeat arrived.
    pub(crate) seen: Time,
    /// Tasks waiting in its queue.
    pub(crate) queued: u32,
    /// Idle slots of its own workers, less those requested since its last heartbeat.
    pub(crate) idle: u32,
    /// Slots that it has borrowed.
    pub(crate) borrowed: u32,
    /// Whether it announced in its current incarnation that it is stopping.
    pub(crate) draining: bool,
    /// Whether it is stopping, as announced by itself or marked in the list.
    pub(crate) leaving: bool,
    /// Version of its settings.
    pub(crate) version: u64,
}
