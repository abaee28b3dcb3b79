//! Endpoints and rows of the platform's list.

use std::net::SocketAddr;

use cranberryhatch_types::{
    Accels, Bytes, Cores, InstanceId, RackId, Slots, Time, WorkerId, ZoneId,
};

/// Response of an endpoint to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// Its total number of slots.
    pub slots: Slots,
    /// Its free slots, by its own count, which lags behind.
    pub free: Slots,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its processor cores.
    pub cores: Cores,
    /// Its memory.
    pub memory: Bytes,
    /// Its accelerators.
    pub accels: Accels,
    /// When the heartbeat was sent, on the shard's clock; responses may arrive out of order.
    pub heartbeat_sent: Time,
}

/// A row of the platform's list, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listing {
    /// An entry instance.
    Entry {
        /// The instance.
        id: InstanceId,
        /// Address for connections from other instances.
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
