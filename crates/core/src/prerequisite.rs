//! Prerequisites for serving.

use strum::Display;

/// Something that a newly started shard needs before it can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Prerequisite {
    /// Settings in force.
    Settings,
    /// A list of instances that contains this instance, so that other instances know of it.
    List,
    /// A heartbeat from each listed peer, which proves that the peer can reach this instance.
    Peers,
    /// A slot of an owned worker that may be used and lent.
    Workers,
}
