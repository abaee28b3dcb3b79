//! Follows the lists that the platform keeps.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cranberryhatch_fleet::{Known, Listed, VecMap};
use cranberryhatch_schema::fleet::Hello;
use cranberryhatch_types::{Span, Time};
use prost::Message as _;
use smol::Timer;

use crate::{Edge, List, Meters, Port, Rows, StoreError};

/// Longest time that the store may wait for a change of the settings.
///
/// Short, so that a connection that went silent is noticed long before settings must be in force.
const SETTINGS_WAIT: Span = Span::from_ms(1_000);
/// Time between two reads of the changes of the workers; each worker changes its entry every 1.5 s,
/// and must get no starts 2 s after it says that it leaves.
const WORKERS_EVERY: Duration = Duration::from_millis(500);
/// Time between two reads of the instances; instances that start introduce themselves.
const INSTANCES_EVERY: Duration = Duration::from_secs(10);
/// First time between two tries after a failure.
const RETRY: Duration = Duration::from_millis(100);
/// Longest time between two tries: the store is back for a second at most before it is noticed.
const RETRY_MAX: Duration = Duration::from_millis(800);
/// Time that workers whose entries vanished while the store was away have to write them again; the
/// platform states two seconds.
const RETURN_GRACE: Span = Span::from_ms(2_500);

/// Waits that grow with each failure in a row.
struct Backoff {
    pause: Duration,
    failing: bool,
}

impl Backoff {
    const fn new() -> Self {
        Self { pause: RETRY, failing: false }
    }

    async fn failed<P: Port>(&mut self, edge: &Edge<P>, list: List, error: &StoreError) {
        Meters::count(&edge.meters().store_failures, &list);
        if !self.failing {
            let (list, error) = (list.to_string(), error.to_string());
            log::warn!(list, error; "store-lost");
        }
        self.failing = true;
        Timer::after(self.pause).await;
        self.pause = (self.pause * 2).min(RETRY_MAX);
    }

    /// Whether failures ended.
    fn succeeded(&mut self, list: List) -> bool {
        self.pause = RETRY;
        let regained = std::mem::take(&mut self.failing);
        if regained {
            log::info!(list = list.to_string(); "store-regained");
        }
        regained
    }
}

/// Reads a list, or the changes to it once it was read.
async fn step<P: Port>(
    edge: &Edge<P>,
    list: List,
    after: Option<u64>,
    wait: Span,
) -> Result<Rows, StoreError> {
    match after {
        None => edge.port().read(list).await,
        Some(version) => edge.port().changes(list, version, wait).await,
    }
}

/// Follows the operator's settings.
pub async fn follow_settings<P: Port>(edge: Arc<Edge<P>>) {
    let mut backoff = Backoff::new();
    let mut after = None;
    loop {
        match step(&edge, List::Settings, after, SETTINGS_WAIT).await {
            Ok(rows) => {
                backoff.succeeded(List::Settings);
                after = Some(rows.version);
                for body in rows.rows.into_iter().filter_map(|row| row.value) {
                    match edge.port().decode_settings(&body) {
                        Ok(catalog) => edge.settings(catalog.version, body),
                        Err(error) => {
                            log::error!(error = error.to_string(); "settings-unreadable");
                        }
                    }
                }
            }
            Err(StoreError::HistoryGone) => after = None,
            Err(error) => backoff.failed(&edge, List::Settings, &error).await,
        }
    }
}

/// Entries of workers, with those that vanished while the store was away.
#[derive(Default)]
struct Entries {
    workers: VecMap<String, Listed>,
    // When an entry that is missing after an outage counts as gone.
    missing: VecMap<String, Time>,
}

impl Entries {
    fn put<P: Port>(&mut self, edge: &Edge<P>, key: String, value: &[u8]) -> bool {
        self.missing.remove(&key);
        match edge.port().decode_worker(&key, value) {
            Ok(listed) => {
                let changed = self.workers.get(&key) != Some(&listed);
                self.workers.insert(key, listed);
                changed
            }
            Err(error) => {
                let known = self.workers.remove(&key).is_some();
                if known {
                    log::warn!(worker = key, error = error.to_string(); "worker-unreadable");
                }
                known
            }
        }
    }

    fn apply<P: Port>(&mut self, edge: &Edge<P>, rows: Rows, grace: Option<Time>) -> bool {
        let mut changed = false;
        for row in rows.rows {
            match (row.value, grace) {
                (Some(value), _) => changed |= self.put(edge, row.key, &value),
                (None, Some(until)) if self.workers.contains(&row.key) => {
                    self.missing.insert(row.key, until);
                }
                (None, _) => changed |= self.workers.remove(&row.key).is_some(),
            }
        }
        changed
    }

    /// Takes a whole list; entries that are missing from it are gone.
    fn replace<P: Port>(&mut self, edge: &Edge<P>, rows: Rows, grace: Option<Time>) -> bool {
        let listed: Vec<String> = rows.rows.iter().map(|row| row.key.clone()).collect();
        let missing = |key: &String| !listed.contains(key);
        let gone: Vec<String> =
            self.workers.iter().map(|(key, _)| key.clone()).filter(missing).collect();
        let mut changed = self.apply(edge, rows, None);
        for key in gone {
            match grace {
                Some(until) => {
                    self.missing.entry(key, || until);
                }
                None => changed |= self.workers.remove(&key).is_some(),
            }
        }
        changed
    }

    fn expire(&mut self, now: Time) -> bool {
        let due = |until: &Time| now >= *until;
        let gone: Vec<String> = self
            .missing
            .iter()
            .filter(|(_, until)| due(until))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &gone {
            self.missing.remove(key);
            self.workers.remove(key);
        }
        !gone.is_empty()
    }

    fn list(&self) -> Vec<Listed> {
        self.workers.iter().map(|(_, listed)| listed.clone()).collect()
    }
}

/// Follows the entries of workers.
pub async fn follow_workers<P: Port>(edge: Arc<Edge<P>>) {
    let mut backoff = Backoff::new();
    let mut entries = Entries::default();
    let mut after: Option<u64> = None;
    let mut grace_until = Time::ZERO;
    loop {
        match step(&edge, List::Workers, after, Span::ZERO).await {
            Ok(rows) => {
                let now = edge.clock().now();
                if backoff.succeeded(List::Workers) {
                    grace_until = now + RETURN_GRACE;
                }
                let grace = (now < grace_until).then_some(grace_until);
                let whole = after.is_none();
                after = Some(rows.version);
                let mut changed = if whole {
                    entries.replace(&edge, rows, grace)
                } else {
                    entries.apply(&edge, rows, grace)
                };
                changed |= entries.expire(now);
                if changed || whole {
                    edge.listed(entries.list());
                }
                Timer::after(WORKERS_EVERY).await;
            }
            Err(StoreError::HistoryGone) => after = None,
            Err(error) => backoff.failed(&edge, List::Workers, &error).await,
        }
    }
}

/// Registers this instance, and finds the others.
///
/// While the store is away, `seeds` are asked: they may know the other instances.
pub async fn follow_instances<P: Port>(edge: Arc<Edge<P>>, seeds: Vec<SocketAddr>) {
    let me = edge.links().me().clone();
    let mut backoff = Backoff::new();
    let mut registered = false;
    loop {
        let result = async {
            if !registered {
                edge.port().register(&me.instance, me.encode_to_vec()).await?;
            }
            edge.port().read(List::Instances).await
        };
        match result.await {
            Ok(rows) => {
                registered = true;
                backoff.succeeded(List::Instances);
                let mut instances = Vec::new();
                for value in rows.rows.into_iter().filter_map(|row| row.value) {
                    match Hello::decode(value) {
                        Ok(hello) => {
                            instances.extend(crate::links::member(&hello).map(|m| Known::from(&m)));
                            edge.links().learn(&edge, hello);
                        }
                        Err(error) => {
                            log::warn!(error = error.to_string(); "instance-unreadable");
                        }
                    }
                }
                edge.registered(instances);
                Timer::after(INSTANCES_EVERY).await;
            }
            Err(error) => {
                if edge.links().is_empty() {
                    for seed in &seeds {
                        edge.links().introduce(*seed).await;
                    }
                }
                backoff.failed(&edge, List::Instances, &error).await;
            }
        }
    }
}
