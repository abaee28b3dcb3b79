//! The settings in force in this instance, and their exchange with peers.

use std::sync::{
    Arc, Mutex, PoisonError, RwLock,
    atomic::{AtomicU64, Ordering},
};

use cranberryhatch_core::Event;
use cranberryhatch_schema::{
    Values,
    peer::{SettingsAsk, SettingsOffer, envelope::Body},
};
use cranberryhatch_settings::{ActiveSettings, Tree, TreeError};
use cranberryhatch_types::{InstanceId, ShardId, Span, Time, ZoneId};

use crate::{clock::Clock, peers::Peers, shards::Shards, tokens::Tokens};

/// Time between two messages about settings to the same peer.
const EXCHANGE: Span = Span::from_ms(500);

/// A version of the settings with what is derived from it once.
pub struct Current {
    /// Text of the tree, as operators wrote it.
    pub text: Arc<str>,
    /// The tree with its values.
    pub settings: Arc<ActiveSettings>,
    /// Tokens of teams and operators.
    pub tokens: Tokens,
}

/// The settings in force; their version never goes down.
pub struct SettingsStore {
    zone: ZoneId,
    clock: Clock,
    peers: Arc<Peers>,
    shards: Arc<Shards>,
    current: RwLock<Option<Arc<Current>>>,
    accepting: Mutex<()>,
    lease_ms: AtomicU64,
    told: Mutex<Vec<(InstanceId, Time)>>,
}

impl SettingsStore {
    /// A store without settings.
    #[must_use]
    pub fn new(zone: ZoneId, clock: Clock, peers: Arc<Peers>, shards: Arc<Shards>) -> Self {
        Self {
            zone,
            clock,
            peers,
            shards,
            current: RwLock::default(),
            accepting: Mutex::default(),
            lease_ms: AtomicU64::new(Values::default().lease_holder.as_ms()),
            told: Mutex::default(),
        }
    }

    /// The version in force with what belongs to it.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Current>> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Version in force, 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.current().map_or(0, |current| current.settings.version())
    }

    /// Number of availability zones that are drained.
    #[must_use]
    pub fn drained_zones(&self) -> usize {
        self.current().map_or(0, |current| current.settings.drains().zones().len())
    }

    /// Lease of a holder.
    #[must_use]
    pub fn holder_lease(&self) -> Span {
        Span::from_ms(self.lease_ms.load(Ordering::Relaxed))
    }

    /// Lease under which workers run tasks.
    #[must_use]
    pub fn task_lease(&self) -> Span {
        let values = self.current().map(|current| Arc::clone(current.settings.local()));
        values.map_or(Values::default().lease_task, |values| values.lease_task)
    }

    /// Puts a tree in force unless its version is not newer; tells whether it was.
    ///
    /// # Errors
    /// When the text is no valid tree.
    pub fn accept(&self, version: u64, text: &str) -> Result<bool, TreeError> {
        if version <= self.version() {
            return Ok(false);
        }
        let tree = Tree::parse(text)?;
        let _accepting = self.accepting.lock().unwrap_or_else(PoisonError::into_inner);
        if version <= self.version() {
            return Ok(false);
        }
        let tokens = Tokens::of(&tree);
        let settings = Arc::new(ActiveSettings::new(version, tree, self.zone.clone()));
        self.lease_ms.store(settings.local().lease_holder.as_ms(), Ordering::Relaxed);
        let current = Current { text: text.into(), settings: Arc::clone(&settings), tokens };
        let mut slot = self.current.write().unwrap_or_else(PoisonError::into_inner);
        *slot = Some(Arc::new(current));
        drop(slot);
        self.shards.send_all(&Event::Settings(settings));
        Ok(true)
    }

    /// Takes a peer's offer.
    pub fn offered(&self, from: &ShardId, version: u64, text: &str) {
        if text.is_empty() {
            return self.heard(from, version);
        }
        if let Err(error) = self.accept(version, text) {
            log::error!(version = version, peer = from.instance.as_str(); "settings refused: {error}");
        }
    }

    /// Answers a peer that asks for the tree.
    pub fn asked(&self, from: &ShardId, version: u64) {
        self.offer_to(from, version);
    }

    /// Compares the version that a peer reports with the own one.
    pub fn heard(&self, from: &ShardId, version: u64) {
        let own = self.version();
        if version > own && self.may_tell(&from.instance) {
            self.peers.send(0, from, Body::SettingsAsk(SettingsAsk { version: own }));
        } else if version < own && self.may_tell(&from.instance) {
            self.offer_to(from, version);
        }
    }

    /// Asks all known peers for the tree.
    pub fn ask_peers(&self) {
        let version = self.version();
        for instance in self.peers.ids() {
            let to = ShardId { instance, shard: 0 };
            self.peers.send(0, &to, Body::SettingsAsk(SettingsAsk { version }));
        }
    }

    fn offer_to(&self, to: &ShardId, version: u64) {
        if let Some(current) = self.current()
            && current.settings.version() > version
        {
            let version = current.settings.version();
            let offer = SettingsOffer { version, tree: current.text.to_string() };
            self.peers.send(0, to, Body::SettingsOffer(offer));
        }
    }

    // Each shard of a peer sends heartbeats; one message about settings is enough for all of them.
    fn may_tell(&self, peer: &InstanceId) -> bool {
        let now = self.clock.now();
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        match told.binary_search_by(|(id, _)| id.cmp(peer)) {
            Ok(place) if now.since(told[place].1) < EXCHANGE => false,
            Ok(place) => {
                told[place].1 = now;
                true
            }
            Err(place) => {
                told.insert(place, (peer.clone(), now));
                true
            }
        }
    }
}
