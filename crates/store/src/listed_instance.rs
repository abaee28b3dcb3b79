//! Entries of the platform's instance list.

use std::net::SocketAddr;

use cranberryhatch_types::{RackId, ZoneId};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Role of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// An entry instance, which accepts jobs from callers.
    Entry,
    /// An endpoint, which runs tasks on a worker.
    Endpoint,
}

/// Lifecycle state of a listed instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceState {
    /// The instance is in service.
    Live,
    /// The instance is shutting down.
    Leaving,
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Whether this is an entry instance or an endpoint.
    pub role: Role,
    /// Id of the entry instance, or of the endpoint's worker.
    pub id: String,
    /// Address of the HTTP server.
    pub addr: SocketAddr,
    /// Address for connections from other entry instances; only set for entry instances.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Rack of the worker; only set for endpoints.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rack: Option<RackId>,
    /// Whether it is live or leaving.
    pub state: InstanceState,
}
