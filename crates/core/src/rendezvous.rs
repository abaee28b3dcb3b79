//! Rendezvous hashing: assigns names to shards and zones.

use cranberryhatch_types::{ShardId, ZoneId};

/// Returns the weight of a shard for a name; the shard with the largest weight owns the name.
///
/// A shard that joins or leaves moves only the names that it owns.
pub(crate) fn weight(name: &str, shard: &ShardId) -> u64 {
    let mut hash = fnv(0xcbf2_9ce4_8422_2325, name.as_bytes());
    hash = fnv(hash, shard.instance.as_str().as_bytes());
    hash = fnv(hash, &shard.shard.to_le_bytes());
    mix(hash)
}

/// Returns the shard that owns a name.
pub(crate) fn owner<'a>(
    name: &str,
    shards: impl Iterator<Item = &'a ShardId>,
) -> Option<&'a ShardId> {
    shards.max_by_key(|shard| (weight(name, shard), *shard))
}

/// Returns a random seed that differs between shards.
pub(crate) fn seed(shard: &ShardId) -> u64 {
    weight("seed", shard)
}

// FNV-1a with a separator after each part, so that "a" + "bc" differs from "ab" + "c".
fn fnv(start: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    step(bytes.iter().fold(start, step), &0xff)
}

// The high bits of FNV-1a hardly differ for names that differ in the last character, which would
// let one shard own most workers. The finalizer of MurmurHash3 distributes them.
pub(crate) const fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Returns the zone that owns a name.
pub(crate) fn zone<'a>(name: &str, zones: &'a [ZoneId]) -> Option<&'a ZoneId> {
    let rank = |zone: &&ZoneId| {
        mix(fnv(fnv(0xcbf2_9ce4_8422_2325, name.as_bytes()), zone.as_str().as_bytes()))
    };
    zones.iter().max_by_key(rank)
}
