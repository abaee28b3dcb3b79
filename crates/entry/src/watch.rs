//! Follows the platform's settings and its list of instances.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use cranberryhatch_core::{Event, Listing};
use cranberryhatch_store::{InstanceState, ListedInstance, Role, RowName};
use smol::Timer;

use crate::{
    endpoints::Endpoints, peers::Peers, reach::Store, settings_store::SettingsStore, shards::Shards,
};

/// Time between two reads of the settings' version and of the list.
const POLL: Duration = Duration::from_millis(1_000);
/// Table of settings.
pub const SETTINGS_TABLE: &str = "settings";
/// Row with the text of the tree.
pub const TREE_ROW: &str = "tree";
/// Small row that is written together with the tree.
pub const VERSION_ROW: &str = "version";

/// Name of a row of the settings.
#[must_use]
pub fn settings_row(key: &str) -> RowName {
    (SETTINGS_TABLE.to_owned(), key.to_owned())
}

/// Reads the settings tree whenever its version changes, and asks peers while there is none.
pub async fn follow_settings(store: Store, settings: Arc<SettingsStore>) {
    let mut refused = 0;
    loop {
        if let Some(version) = newer_version(&store, &settings).await
            && version != refused
            && let Some(bad) = read_tree(&store, &settings).await
        {
            refused = bad;
        }
        if settings.version() == 0 {
            settings.ask_peers();
        }
        Timer::after(POLL).await;
    }
}

/// Version in the table when it is newer than the one in force.
async fn newer_version(store: &Store, settings: &SettingsStore) -> Option<u64> {
    let rows = store.read(&[settings_row(VERSION_ROW)]).await.ok()?;
    let version = match rows.into_iter().next().flatten() {
        Some(row) => row.version,
        // A table that was set up by hand may lack the small row.
        None => store.read(&[settings_row(TREE_ROW)]).await.ok()?.pop()??.version,
    };
    (version > settings.version()).then_some(version)
}

/// Puts the stored tree in force; the version of a tree that is refused.
async fn read_tree(store: &Store, settings: &SettingsStore) -> Option<u64> {
    let row = store.read(&[settings_row(TREE_ROW)]).await.ok()?.pop()??;
    match settings.accept(row.version, row.value.as_str().unwrap_or_default()) {
        Ok(_) => None,
        Err(error) => {
            log::error!(version = row.version; "settings refused: {error}");
            Some(row.version)
        }
    }
}

/// Reads the list of instances.
pub async fn follow_list(
    store: Store,
    endpoints: Arc<Endpoints>,
    peers: Arc<Peers>,
    shards: Arc<Shards>,
    instances: Arc<AtomicU64>,
) {
    loop {
        if let Ok(list) = store.instances().await {
            take_list(&list, &endpoints, &peers, &instances);
            let listings = list.iter().filter_map(listing).collect();
            shards.send_all(&Event::Listed(Arc::new(listings)));
        }
        Timer::after(POLL).await;
    }
}

fn take_list(list: &[ListedInstance], endpoints: &Endpoints, peers: &Peers, instances: &AtomicU64) {
    for row in list {
        match (row.role, row.peer) {
            (Role::Endpoint, _) => {
                if let Ok(worker) = row.id.parse() {
                    endpoints.learn(&worker, row.addr, &row.zone);
                }
            }
            (Role::Entry, Some(peer)) => {
                if let Ok(id) = row.id.parse() {
                    peers.learn(&id, peer);
                }
            }
            (Role::Entry, None) => {}
        }
    }
    let mut listed: Vec<&str> =
        list.iter().filter(|row| row.role == Role::Endpoint).map(|row| row.id.as_str()).collect();
    listed.sort_unstable();
    endpoints.prune(|id| listed.binary_search(&id.as_str()).is_ok());
    let live =
        list.iter().filter(|row| row.role == Role::Entry && row.state == InstanceState::Live);
    instances.store((live.count() as u64).max(1), Ordering::Relaxed);
}

fn listing(row: &ListedInstance) -> Option<Listing> {
    let leaving = row.state == InstanceState::Leaving;
    let zone = row.zone.clone();
    match row.role {
        Role::Entry => {
            Some(Listing::Entry { id: row.id.parse().ok()?, peer: row.peer?, zone, leaving })
        }
        Role::Endpoint => Some(Listing::Endpoint {
            id: row.id.parse().ok()?,
            addr: row.addr,
            zone,
            rack: row.rack.clone()?,
            leaving,
        }),
    }
}
