//! The platform's list of instances.

use std::net::SocketAddr;

use cranberryhatch_types::{RackId, ZoneId};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// What a listed instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// It is an entry instance.
    Entry,
    /// It is an endpoint.
    Endpoint,
}

/// What the list says of an instance's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceState {
    /// It serves.
    Live,
    /// It is leaving.
    Leaving,
}

/// A row of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// What it does.
    pub role: Role,
    /// Id of the instance or worker.
    pub id: String,
    /// Address for HTTP.
    pub addr: SocketAddr,
    /// Address for other instances, for entry instances.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack, for endpoints.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rack: Option<RackId>,
    /// Whether it is live or leaving.
    pub state: InstanceState,
}
