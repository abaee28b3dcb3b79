//! What a shard still waits for before it can serve.

use strum::Display;

/// What a shard that has just started has not got yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Prerequisite {
    /// Settings in force.
    Settings,
    /// A list of instances with the own one, which tells others of it.
    List,
    /// A heartbeat of a listed peer, which proves that the peer knows the way here.
    Peers,
    /// A slot of an own worker that may be used and lent.
    Workers,
}
