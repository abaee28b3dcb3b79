//! Follows the lists that the platform keeps.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cranberryhatch_fleet::{DrainRead, Known, ZoneChange};
use cranberryhatch_schema::fleet::Hello;
use cranberryhatch_types::{Span, Time};
use prost::Message as _;
use smol::Timer;

use crate::{
    Edge, List, Meters, Port, Row, Rows, StoreError,
    entries::{Change, Entry},
};

/// Longest time that the store may wait for a change of the settings.
///
/// Short, so that a connection that went silent is noticed long before settings must be in force.
const SETTINGS_WAIT: Span = Span::from_ms(1_000);
/// The same where another instance of the zone waits for that time: what it reads comes here too.
const SETTINGS_WAIT_LONG: Span = Span::from_ms(3_000);
/// Time between two reads of the changes of the workers; each worker changes its entry every 1.5 s,
/// and must get no starts 2 s after it says that it leaves.
const WORKERS_EVERY: Duration = Duration::from_millis(500);
/// Time between two checks whether the reader of the zone still speaks.
const TOLD_CHECK: Duration = Duration::from_millis(100);
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

/// Follows the operator's settings and the drained zones.
pub async fn follow_settings<P: Port>(edge: Arc<Edge<P>>) {
    let mut backoff = Backoff::new();
    let mut after = None;
    loop {
        // An answer that is lost, or older than a pause of this process, must not cost the time of a wait.
        let wait = match (backoff.failing || edge.asks_drains(), edge.is_reader()) {
            (true, _) => Span::ZERO,
            (false, true) => SETTINGS_WAIT,
            (false, false) => SETTINGS_WAIT_LONG,
        };
        let asked = edge.clock().now();
        let call = async { Some(step(&edge, List::Settings, after, wait).await) };
        let pause = async {
            edge.paused_since(asked).await;
            None
        };
        match smol::future::or(call, pause).await {
            Some(Ok(rows)) => {
                backoff.succeeded(List::Settings);
                let whole = after.is_none();
                after = Some(rows.version);
                take_operator(&edge, rows, whole, asked);
            }
            Some(Err(StoreError::HistoryGone)) => after = None,
            Some(Err(error)) => {
                edge.drains_unread(asked);
                backoff.failed(&edge, List::Settings, &error).await;
            }
            // The store is asked again at once.
            None => {}
        }
    }
}

/// Takes rows of the operator's list.
fn take_operator<P: Port>(edge: &Arc<Edge<P>>, rows: Rows, whole: bool, asked: Time) {
    let mut read = DrainRead { complete: whole, version: rows.version, changes: Vec::new() };
    for Row { key, value, version } in rows.rows {
        if let Some(zone) = edge.port().drained_zone(&key) {
            read.changes.push(ZoneChange { zone, drained: value.is_some(), version });
            continue;
        }
        let Some(body) = value else { continue };
        match edge.port().decode_settings(&body) {
            Ok(catalog) => edge.settings(catalog.version, body),
            Err(error) => log::error!(error = error.to_string(); "settings-unreadable"),
        }
    }
    edge.drains_read(&read, asked);
}

/// Reads the entries of rows.
fn decode<P: Port>(edge: &Edge<P>, rows: Vec<Row>) -> Vec<Change> {
    let decode = |Row { key, value, .. }: Row| {
        let entry = match value.map(|value| edge.port().decode_worker(&key, &value)) {
            Some(Ok(listed)) => Entry::Listed(listed),
            None => Entry::Gone,
            Some(Err(error)) => {
                if edge.entries().becomes_unreadable(&key) {
                    log::warn!(worker = key, error = error.to_string(); "worker-unreadable");
                }
                Entry::Unreadable
            }
        };
        Change { key, entry }
    };
    rows.into_iter().map(decode).collect()
}

/// Follows the entries of workers: from the store, or by what the reader of the zone says.
pub async fn follow_workers<P: Port>(edge: Arc<Edge<P>>) {
    let mut backoff = Backoff::new();
    let mut grace_until = Time::ZERO;
    let mut was_told = false;
    loop {
        let told = edge.is_told_of_workers();
        if std::mem::replace(&mut was_told, told) != told {
            log::info!(reader = told; "workers-source");
        }
        if told {
            Timer::after(TOLD_CHECK).await;
            continue;
        }
        let after = edge.entries().version();
        match step(&edge, List::Workers, after, Span::ZERO).await {
            Ok(rows) => {
                let now = edge.clock().now();
                if backoff.succeeded(List::Workers) {
                    grace_until = now + RETURN_GRACE;
                }
                let grace = (now < grace_until).then_some(grace_until);
                let whole = after.is_none();
                let changes = decode(&edge, rows.rows);
                let changed = {
                    let mut entries = edge.entries();
                    let changed = entries.read(whole, changes, rows.version, grace);
                    entries.expire(now) || changed
                };
                if changed || whole {
                    edge.listed();
                }
                edge.pass_on_workers();
                Timer::after(WORKERS_EVERY).await;
            }
            Err(StoreError::HistoryGone) => edge.entries().forget_version(),
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
    // Keys of rows that cannot be read.
    let mut unreadable = Vec::new();
    loop {
        match edge.port().read(List::Instances).await {
            Ok(rows) => {
                backoff.succeeded(List::Instances);
                let instances = learn(&edge, rows, &mut unreadable);
                // An earlier life of this instance registered, so that the others have had the time to.
                if registered || instances.iter().any(|known| known.id.as_str() == me.instance) {
                    edge.registered(instances);
                }
            }
            Err(error) => {
                if edge.links().is_empty() {
                    for seed in &seeds {
                        edge.links().introduce(*seed).await;
                    }
                }
                backoff.failed(&edge, List::Instances, &error).await;
                continue;
            }
        }
        if registered {
            Timer::after(INSTANCES_EVERY).await;
            continue;
        }
        // All instances that start together write one after the other, and read again after it.
        match edge.port().register(&me.instance, me.encode_to_vec()).await {
            Ok(()) => registered = true,
            Err(error) => backoff.failed(&edge, List::Instances, &error).await,
        }
    }
}

/// Learns of the instances of the register; `unreadable` are the keys of rows that could not be read.
fn learn<P: Port>(edge: &Arc<Edge<P>>, rows: Rows, unreadable: &mut Vec<String>) -> Vec<Known> {
    let mut instances = Vec::new();
    let mut damaged = Vec::new();
    for Row { key, value, .. } in rows.rows {
        let Some(value) = value else { continue };
        let hello = Hello::decode(value).ok();
        // A row of another writer may decode and still name no instance.
        let member = hello.as_ref().and_then(crate::links::member);
        if let Some((hello, member)) = hello.zip(member) {
            instances.push(Known::from(&member));
            edge.links().learn(edge, hello);
            continue;
        }
        if !unreadable.contains(&key) {
            log::warn!(instance = key; "instance-unreadable");
        }
        damaged.push(key);
    }
    *unreadable = damaged;
    instances
}
