//! Order in which the live instances of a zone try to take over a lost holder.

use cranberryhatch_types::{Holder, InstanceId};

/// Returns the rank of `me` among the live instances of the zone; rank 0 tries first.
///
/// A restarted instance ranks first for its own earlier incarnation. The others are ordered by
/// rendezvous hashing, so that takeovers are distributed over the zone.
pub(crate) fn rank(me: &InstanceId, lost: &Holder, live: &[&InstanceId]) -> u64 {
    let weight = |id: &InstanceId| (*id == lost.instance, hash(id, lost));
    let mine = weight(me);
    let first = live.iter().filter(|id| **id != me && (weight(id), **id) > (mine, me));
    first.count() as u64
}

// FNV-1a with a final mix: the ids differ in few bits, and every instance must compute the same.
fn hash(id: &InstanceId, lost: &Holder) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in format!("{id} {lost}").bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 32;
    hash.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
