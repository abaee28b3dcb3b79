//! Keeps the lists of the platform's store up to date: settings, workers and instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cranberryhatch_fleet::{DrainRead, InstanceInfo, ZoneChange};
use cranberryhatch_schema::fleet::Hello;
use cranberryhatch_types::{Span, Time};
use prost::Message as _;
use smol::Timer;

use crate::{
    CauseLabel, Edge, List, Metrics, Platform, Row, Rows, StoreError,
    worker_cache::{WorkerChange, WorkerEntry},
};

/// Long-poll time of the settings list on the zone reader.
///
/// It is short so that a silent connection is noticed long before new settings must be applied.
const READER_SETTINGS_WAIT: Span = Span::from_ms(1_000);
/// Long-poll time of the settings list on the other instances, which get the settings from the zone
/// reader too.
const FOLLOWER_SETTINGS_WAIT: Span = Span::from_ms(3_000);
/// Interval between reads of changed worker entries.
///
/// Each worker rewrites its entry every 1.5 s, and must get no starts 2 s after it announces that
/// it is draining.
const WORKERS_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between checks whether the zone reader still sends updates.
const FRESHNESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between reads of the registered instances; new instances also announce themselves.
const INSTANCES_READ_INTERVAL: Duration = Duration::from_secs(10);
/// Delay before the first retry after a failure.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Maximum delay between retries, so that a store that is available again is noticed within a
/// second.
const RETRY_MAX: Duration = Duration::from_millis(800);
/// Time that workers have to rewrite entries that disappeared during a store outage; the platform
/// guarantees two seconds.
const REAPPEAR_GRACE: Span = Span::from_ms(2_500);

/// Exponential backoff that logs when failures begin and end.
struct Backoff {
    delay: Duration,
    is_failing: bool,
}

impl Backoff {
    const fn new() -> Self {
        Self { delay: RETRY_MIN, is_failing: false }
    }

    async fn failed<P: Platform>(&mut self, edge: &Edge<P>, list: List, error: &StoreError) {
        Metrics::count(&edge.metrics().store_failures, &list);
        if !self.is_failing {
            let (list, error) = (list.to_string(), error.to_string());
            log::warn!(list, error; "store-lost");
        }
        self.is_failing = true;
        Timer::after(self.delay).await;
        self.delay = (self.delay * 2).min(RETRY_MAX);
    }

    /// Resets the delay and returns whether this success ends a series of failures.
    fn succeeded(&mut self, list: List) -> bool {
        self.delay = RETRY_MIN;
        let regained = std::mem::take(&mut self.is_failing);
        if regained {
            log::info!(list = list.to_string(); "store-regained");
        }
        regained
    }
}

/// Reads a complete list, or the changes after a version.
async fn fetch<P: Platform>(
    edge: &Edge<P>,
    list: List,
    after: Option<u64>,
    wait: Span,
) -> Result<Rows, StoreError> {
    let rows = match after {
        None => edge.platform().read(list).await,
        Some(version) => edge.platform().changes(list, version, wait).await,
    }?;
    record_unreadable(edge, list, rows.unreadable);
    Ok(rows)
}

/// Counts rows that were left out of a read, and logs the first of each list: the same rows are read
/// again and again.
fn record_unreadable<P: Platform>(edge: &Edge<P>, list: List, count: usize) {
    let label = CauseLabel { cause: list.to_string() };
    if count == 0 {
        return;
    }
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    if edge.metrics().unreadable_rows.get_or_create(&label).inc_by(count) == 0 {
        log::warn!(list = label.cause, rows = count; "rows-unreadable");
    }
}

/// Keeps the operator's settings and the drained zones up to date; never returns.
pub async fn follow_settings<P: Platform>(edge: Arc<Edge<P>>) {
    let mut backoff = Backoff::new();
    let mut after = None;
    loop {
        // After a failure or a pause of this process the current state is needed at once, so that
        // the store must not hold the request.
        let wait = match (backoff.is_failing || edge.needs_drain_read(), edge.is_zone_reader()) {
            (true, _) => Span::ZERO,
            (false, true) => READER_SETTINGS_WAIT,
            (false, false) => FOLLOWER_SETTINGS_WAIT,
        };
        let sent_at = edge.clock().now();
        let call = async { Some(fetch(&edge, List::Settings, after, wait).await) };
        let pause = async {
            edge.wait_for_pause(sent_at).await;
            None
        };
        match smol::future::or(call, pause).await {
            Some(Ok(rows)) => {
                backoff.succeeded(List::Settings);
                let is_complete = after.is_none();
                after = Some(rows.version);
                apply_settings_rows(&edge, rows, is_complete, sent_at);
            }
            Some(Err(StoreError::HistoryGone)) => after = None,
            Some(Err(error)) => {
                edge.drain_read_failed(sent_at);
                backoff.failed(&edge, List::Settings, &error).await;
            }
            // The process was paused: read again at once.
            None => {}
        }
    }
}

/// Applies rows of the settings list.
fn apply_settings_rows<P: Platform>(
    edge: &Arc<Edge<P>>,
    rows: Rows,
    is_complete: bool,
    sent_at: Time,
) {
    let mut read = DrainRead { complete: is_complete, version: rows.version, changes: Vec::new() };
    for Row { key, value, version } in rows.rows {
        if let Some(zone) = edge.platform().drained_zone(&key) {
            read.changes.push(ZoneChange { zone, drained: value.is_some(), version });
            continue;
        }
        let Some(body) = value else { continue };
        match edge.platform().decode_settings(&body) {
            Ok(catalog) => edge.apply_settings(catalog.version, body),
            Err(error) => log::error!(error = error.to_string(); "settings-unreadable"),
        }
    }
    edge.apply_drain_read(&read, sent_at);
}

/// Decodes rows into worker changes.
fn decode<P: Platform>(edge: &Edge<P>, rows: Vec<Row>) -> Vec<WorkerChange> {
    let decode = |Row { key, value, .. }: Row| {
        let entry = match value.map(|value| edge.platform().decode_worker(&key, &value)) {
            Some(Ok(listed)) => WorkerEntry::Listed(listed),
            None => WorkerEntry::Removed,
            Some(Err(error)) => {
                if edge.worker_cache().mark_malformed(&key) {
                    log::warn!(worker = key, error = error.to_string(); "worker-unreadable");
                }
                WorkerEntry::Malformed
            }
        };
        WorkerChange { key, entry }
    };
    rows.into_iter().map(decode).collect()
}

/// Keeps the worker list up to date; never returns.
///
/// Reads the store unless the zone reader has recently confirmed the local copy.
pub async fn follow_workers<P: Platform>(edge: Arc<Edge<P>>) {
    let mut backoff = Backoff::new();
    let mut grace_until = Time::ZERO;
    let mut was_fresh = false;
    loop {
        let is_fresh = edge.is_list_fresh();
        if std::mem::replace(&mut was_fresh, is_fresh) != is_fresh {
            log::info!(reader = is_fresh; "workers-source");
        }
        if is_fresh {
            Timer::after(FRESHNESS_CHECK_INTERVAL).await;
            continue;
        }
        let after = edge.worker_cache().version();
        match fetch(&edge, List::Workers, after, Span::ZERO).await {
            Ok(rows) => {
                let now = edge.clock().now();
                if backoff.succeeded(List::Workers) {
                    grace_until = now + REAPPEAR_GRACE;
                }
                let grace = (now < grace_until).then_some(grace_until);
                let is_complete = after.is_none();
                let changes = decode(&edge, rows.rows);
                let changed = {
                    let mut cache = edge.worker_cache();
                    let changed = cache.apply_read(is_complete, changes, rows.version, grace);
                    cache.expire(now) || changed
                };
                if changed || is_complete {
                    edge.replace_worker_list();
                }
                edge.broadcast_workers();
                Timer::after(WORKERS_READ_INTERVAL).await;
            }
            Err(StoreError::HistoryGone) => edge.worker_cache().forget_version(),
            Err(error) => backoff.failed(&edge, List::Workers, &error).await,
        }
    }
}

/// Registers this instance and discovers the others; never returns.
///
/// While the store is unavailable, this instance announces itself to `seeds`, which may know the
/// other instances.
pub async fn follow_instances<P: Platform>(edge: Arc<Edge<P>>, seeds: Vec<SocketAddr>) {
    let me = edge.links().me().clone();
    let mut backoff = Backoff::new();
    let mut is_registered = false;
    // Keys of malformed rows that were logged.
    let mut known_malformed = Vec::new();
    loop {
        match fetch(&edge, List::Instances, None, Span::ZERO).await {
            Ok(rows) => {
                backoff.succeeded(List::Instances);
                let instances = apply_instance_rows(&edge, rows, &mut known_malformed);
                // A row of an earlier incarnation shows that the system is not just being started,
                // so that the other instances have had the time to register.
                if is_registered || instances.iter().any(|known| known.id.as_str() == me.instance) {
                    edge.replace_instances(instances);
                }
            }
            Err(error) => {
                if edge.links().is_empty() {
                    for seed in &seeds {
                        edge.links().announce(*seed).await;
                    }
                }
                backoff.failed(&edge, List::Instances, &error).await;
                continue;
            }
        }
        if is_registered {
            Timer::after(INSTANCES_READ_INTERVAL).await;
            continue;
        }
        // Instances that start at the same time register one after the other, so each reads the
        // list again after it has registered.
        match edge.platform().register(&me.instance, me.encode_to_vec()).await {
            Ok(()) => is_registered = true,
            Err(error) => backoff.failed(&edge, List::Instances, &error).await,
        }
    }
}

/// Adds the registered instances as peers and returns them.
///
/// `known_malformed` holds the keys of malformed rows that were logged before.
fn apply_instance_rows<P: Platform>(
    edge: &Arc<Edge<P>>,
    rows: Rows,
    known_malformed: &mut Vec<String>,
) -> Vec<InstanceInfo> {
    let mut instances = Vec::new();
    let mut malformed = Vec::new();
    for Row { key, value, .. } in rows.rows {
        let Some(value) = value else { continue };
        // A row of another writer may decode and still not be a valid instance. Under another key it
        // would replace the address of the instance that it names.
        let hello = Hello::decode(value).ok().filter(|hello| hello.instance == key);
        let hello = hello.filter(|hello| crate::links::is_connectable(&hello.addr));
        let member = hello.as_ref().and_then(crate::links::member_from_hello);
        if let Some((hello, member)) = hello.zip(member) {
            instances.push(InstanceInfo::from(&member));
            edge.links().add_peer(edge, hello);
            continue;
        }
        if !known_malformed.contains(&key) {
            log::warn!(instance = key; "instance-unreadable");
        }
        malformed.push(key);
    }
    *known_malformed = malformed;
    instances
}
