//! What is known of endpoints.

use std::net::SocketAddr;

use cranberryhatch_types::{
    Accels, Bytes, Cores, InstanceId, RackId, Slots, Time, WorkerId, ZoneId,
};

/// An endpoint's answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// Its slots.
    pub slots: Slots,
    /// Slots that are free, by its own lagging count.
    pub free: Slots,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its processors.
    pub cores: Cores,
    /// Its memory.
    pub memory: Bytes,
    /// Its accelerators.
    pub accels: Accels,
    /// When the heartbeat was sent, by the shard's clock; answers may overtake each other.
    pub heartbeat_sent: Time,
}

/// A row of the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listing {
    /// An entry instance.
    Entry {
        /// The instance.
        id: InstanceId,
        /// Address for other instances.
        peer: SocketAddr,
        /// Its availability zone.
        zone: ZoneId,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// An endpoint.
    Endpoint {
        /// The worker.
        id: WorkerId,
        /// Address of the endpoint.
        addr: SocketAddr,
        /// Its availability zone.
        zone: ZoneId,
        /// Its rack.
        rack: RackId,
        /// Whether it is leaving.
        leaving: bool,
    },
}
