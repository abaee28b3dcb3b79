//! Messages between entry instances.

mod link;
mod punctuality;
mod receiver;
mod roster;

pub use link::Link;
pub use punctuality::Punctuality;
pub use receiver::{Receiver, Route};
pub use roster::{PeerShard, Roster};

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use cranberryhatch_schema::peer::{Envelope, envelope::Body};
use cranberryhatch_types::{Holder, InstanceId, ShardId};
use prost::Message as _;

use crate::{
    clock::Clock,
    telemetry::{IoCounter, Metrics},
};

/// Most peers that are remembered; a deployment has a few dozen.
const PEERS_LIMIT: usize = 1_024;

/// Sends messages to other instances without ever waiting.
pub struct Peers {
    me: Holder,
    addr: SocketAddr,
    clock: Clock,
    metrics: Arc<Metrics>,
    links: Mutex<Vec<(InstanceId, Link)>>,
}

impl Peers {
    /// Peers of an instance that takes messages at `addr`.
    #[must_use]
    pub fn new(me: Holder, addr: SocketAddr, clock: Clock, metrics: Arc<Metrics>) -> Self {
        Self { me, addr, clock, metrics, links: Mutex::default() }
    }

    /// Learns the address of a peer; a peer is remembered until the instance ends.
    pub fn learn(&self, id: &InstanceId, addr: SocketAddr) {
        if *id == self.me.instance {
            return;
        }
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        match links.binary_search_by(|(known, _)| known.cmp(id)) {
            Ok(place) if links[place].1.addr() == addr => {}
            Ok(place) => links[place].1 = Link::new(addr),
            Err(_) if links.len() >= PEERS_LIMIT => {}
            Err(place) => links.insert(place, (id.clone(), Link::new(addr))),
        }
    }

    /// Ids of all known peers.
    #[must_use]
    pub fn ids(&self) -> Vec<InstanceId> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.iter().map(|(id, _)| id.clone()).collect()
    }

    /// Whether a message to a peer would leave now.
    #[must_use]
    pub fn is_linked(&self, id: &InstanceId) -> bool {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.binary_search_by(|(known, _)| known.cmp(id)).is_ok_and(|at| links[at].1.is_open())
    }

    /// Sends a message, or drops and counts it when the peer cannot take it at once.
    pub fn send(&self, from_shard: u32, to: &ShardId, body: Body) {
        let tells_addr =
            matches!(body, Body::Heartbeat(_) | Body::SettingsAsk(_) | Body::SettingsOffer(_));
        let envelope = Envelope {
            instance: self.me.instance.as_str().to_owned(),
            incarnation: self.me.incarnation.get(),
            from_shard,
            to_shard: to.shard,
            addr: if tells_addr { self.addr.to_string() } else { String::new() },
            sent_ms: self.clock.now().as_ms(),
            body: Some(body),
        };
        let bytes = envelope.encode_to_vec();
        if self.transmit(&to.instance, &bytes) {
            self.metrics.count_io(IoCounter::PeerSent, 1);
            self.metrics.count_io(IoCounter::PeerBytesOut, bytes.len() as u64);
        } else {
            self.metrics.count_io(IoCounter::PeerDropped, 1);
        }
    }

    fn transmit(&self, id: &InstanceId, bytes: &[u8]) -> bool {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        match links.binary_search_by(|(known, _)| known.cmp(id)) {
            Ok(place) => links[place].1.send(bytes),
            Err(_) => false,
        }
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.links.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }
}
