//! When an instance that has started can serve.
//!
//! A balancer sends callers as soon as `/readyz` says so. Until then an instance waits for its
//! settings, for a list of instances that has it, for links to its peers and back, and for its
//! workers; what is not there after [`LIMIT`] is given up, so that an instance whose peers are gone
//! or that the list does not have serves too.
//!
//! ```
//! use cranberryhatch_core::Prerequisite;
//! use cranberryhatch_entry::readiness::LIMIT;
//!
//! assert_eq!(Prerequisite::Peers.to_string(), "peers");
//! assert_eq!(LIMIT.as_ms(), 5_000);
//! ```

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cranberryhatch_core::{Dispatcher, Prerequisite};
use cranberryhatch_types::{InstanceId, Span};
use smol::Timer;

use crate::{clock::Clock, endpoints::Endpoints, peers::Peers, reach::Store, shards::Shards};

/// Longest wait after the settings are in force: an earlier owner's lease and margin (3 s) and the
/// time after which a silent peer is lost (2 s).
pub const LIMIT: Span = Span::from_secs(5);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// What an instance looks at to tell whether it can serve.
pub struct Readiness {
    /// Clock of the process.
    pub clock: Clock,
    /// The shards.
    pub shards: Arc<Shards>,
    /// The platform.
    pub store: Store,
    /// Links to other instances.
    pub peers: Arc<Peers>,
    /// Endpoints.
    pub endpoints: Arc<Endpoints>,
}

impl Readiness {
    /// Waits until the instance can serve, and sets the flag.
    pub async fn settle(&self, settled: &AtomicBool) {
        let mut since = None;
        loop {
            let missing = self.missing();
            if !missing.contains(&Prerequisite::Settings) {
                let now = self.clock.now();
                let waited = now.since(*since.get_or_insert(now));
                if missing.is_empty() || waited >= LIMIT {
                    log_ready(waited, &missing);
                    return settled.store(true, Ordering::Relaxed);
                }
            }
            Timer::after(LOOK).await;
        }
    }

    fn missing(&self) -> Vec<Prerequisite> {
        let mut missing = self.shards.look_all(Dispatcher::missing).concat();
        // Without the platform an instance serves with what its peers tell it.
        if !self.store.is_reachable() {
            missing.retain(|what| *what != Prerequisite::List);
        }
        let peer_instances =
            |shard: &Dispatcher| shard.peer_instances().cloned().collect::<Vec<InstanceId>>();
        if !self.shards.look(0, peer_instances).iter().all(|id| self.peers.is_linked(id)) {
            missing.push(Prerequisite::Peers);
        }
        if !self.endpoints.to_beat().iter().all(|worker| worker.is_tried()) {
            missing.push(Prerequisite::Workers);
        }
        missing.sort_unstable();
        missing.dedup();
        missing
    }
}

fn log_ready(waited: Span, missing: &[Prerequisite]) {
    let missing: Vec<String> = missing.iter().map(ToString::to_string).collect();
    log::info!(waited_ms = waited.as_ms(), given_up = missing.join(" ").as_str(); "ready");
}
