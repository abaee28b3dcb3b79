//! Puts an entry instance together and runs it until it is told to stop.

use std::{
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use anyhow::Context;
use async_channel::{Receiver, Sender};
use cranberryhatch_core::{Dispatcher, Event, Identity};
use cranberryhatch_http::{Client, Runtime, Server};
use cranberryhatch_settings::ProcessConfig;
use cranberryhatch_store::Platform;
use cranberryhatch_types::{Holder, Incarnation, ShardId};
use smol::{Task, Timer, net::TcpListener};

use crate::{
    api::Api,
    claims::{Backlog, Writer},
    clock::Clock,
    effects::Effects,
    endpoints::Endpoints,
    heartbeats,
    lease::{Lease, next_incarnation},
    peers::{Peers, Punctuality, Receiver as PeerReceiver, Roster, Route},
    reach::Store,
    readiness::Readiness,
    replies::Replies,
    settings_store::SettingsStore,
    shards::{ShardThreads, Shards},
    takeover::Takeover,
    tasks::Tasks,
    telemetry::{IoCounter, IoGauge, Metrics},
    watch,
};

/// Threads of the runtime.
const THREADS: usize = 2;
/// Connections to one endpoint.
const CONNECTIONS: usize = 64;
/// Time allowed for one call to the platform; a synced write takes several milliseconds.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two looks at the flag that a signal sets.
const LOOK: Duration = Duration::from_millis(20);
/// Time between two measurements of gauges.
const GAUGES: Duration = Duration::from_secs(1);
/// Time allowed for work in flight after a signal; the longest deadline of a job is larger, but
/// whoever replaces the instance does not wait for that long.
const DRAIN_LIMIT: Duration = Duration::from_secs(60);
/// Time for which a stopping instance goes on to answer callers although it has no work: two checks
/// of a balancer that checks once a second, and half a second for requests under way.
const LAST_CALLERS: Duration = Duration::from_millis(2_500);
/// Time allowed for tasks that go on after the shards are drained.
const TASKS_LIMIT: Duration = Duration::from_secs(5);

/// Why a life of an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was told to stop.
    Stopped,
    /// Another holder took it over while it was paused or cut off.
    Superseded,
}

/// An entry instance in one life.
pub struct Instance {
    runtime: Runtime,
    shards: Arc<Shards>,
    threads: ShardThreads,
    replies: Arc<Replies>,
    tasks: Arc<Tasks>,
    peers: Arc<Peers>,
    receiver: PeerReceiver,
    ready: Arc<AtomicBool>,
    drained: Receiver<()>,
    superseded: Receiver<()>,
    stop_server: Sender<()>,
    serving: Task<()>,
    background: Vec<Task<()>>,
    stop_lease: Sender<()>,
    lease: Task<()>,
    drain: Duration,
    stop_writer: Sender<()>,
    writer: Task<bool>,
}

/// Parts that the tasks of a life share.
struct Parts {
    holder: Holder,
    clock: Clock,
    metrics: Arc<Metrics>,
    shards: Arc<Shards>,
    store: Store,
    settings: Arc<SettingsStore>,
    peers: Arc<Peers>,
    roster: Arc<Roster>,
    endpoints: Arc<Endpoints>,
    replies: Arc<Replies>,
    backlog: Arc<Backlog>,
    tasks: Arc<Tasks>,
    instances: Arc<AtomicU64>,
    ready: Arc<AtomicBool>,
    settled: Arc<AtomicBool>,
}

impl Instance {
    /// Runs an instance until the flag is set, then finishes what is in flight.
    ///
    /// An instance that was taken over starts a new life in the same process: its claims and keys
    /// belong to its successor, so that it has to go on under a new incarnation.
    ///
    /// # Errors
    /// When an address cannot be opened.
    pub fn run(config: &ProcessConfig, stop: &AtomicBool) -> anyhow::Result<()> {
        let mut last = None;
        loop {
            let (instance, incarnation) = Self::start(config, last)?;
            last = Some(incarnation);
            if instance.wait(stop) == End::Stopped {
                return Ok(());
            }
        }
    }

    /// Starts a life of an instance, later than the last one.
    ///
    /// # Errors
    /// When an address cannot be opened.
    pub fn start(
        config: &ProcessConfig,
        last: Option<Incarnation>,
    ) -> anyhow::Result<(Self, Incarnation)> {
        let clock = Clock::start();
        let runtime = Runtime::new(THREADS);
        let client = Client::new(runtime.executor()).connections(CONNECTIONS);
        let platform = Platform::new(client.clone(), config.platform).timeout(PLATFORM_TIMEOUT);
        let next = next_incarnation(&platform, &config.id, clock, last);
        let incarnation = runtime.block_on(next);
        let holder = Holder { instance: config.id.clone(), incarnation };
        let (drained_sender, drained) = async_channel::unbounded();
        let (superseded_sender, superseded) = async_channel::bounded(1);
        let cell: Arc<OnceLock<Effects>> = Arc::default();
        let (shards, threads) = start_shards(config, &holder, clock, &cell);
        let metrics = Arc::new(Metrics::new(config.statsd)?);
        let peers = Arc::new(Peers::new(holder.clone(), config.peer, clock, Arc::clone(&metrics)));
        let settings = Arc::new(SettingsStore::new(
            config.zone.clone(),
            clock,
            Arc::clone(&peers),
            Arc::clone(&shards),
        ));
        let endpoints = Endpoints::new(client, holder.clone(), config.zone.clone(), clock);
        let parts = Parts {
            clock,
            metrics,
            store: Store::new(platform, Arc::clone(&shards)),
            shards,
            settings,
            peers,
            roster: Arc::default(),
            endpoints: Arc::new(endpoints),
            replies: Arc::default(),
            backlog: Arc::default(),
            tasks: Arc::new(Tasks::new(runtime.executor())),
            instances: Arc::new(AtomicU64::new(1)),
            ready: Arc::new(AtomicBool::new(true)),
            settled: Arc::default(),
            holder,
        };
        cell.get_or_init(|| parts.effects(drained_sender, superseded_sender));
        let receiver = PeerReceiver::start(config.peer, parts.route())
            .with_context(|| format!("listen for peers on {}", config.peer))?;
        let listener = runtime
            .block_on(TcpListener::bind(config.listen))
            .with_context(|| format!("listen on {}", config.listen))?;
        let (stop_lease, lease_stopped) = async_channel::bounded(1);
        let (stop_writer, writer_stopped) = async_channel::bounded(1);
        let (stop_server, server_stopped) = async_channel::bounded(1);
        let lease = Arc::new(parts.lease(config));
        let writer = Arc::new(parts.writer());
        let background = parts.background(&runtime, &lease, &writer);
        let api = Arc::new(parts.api(config));
        let server = Server::new(move |request| {
            let api = Arc::clone(&api);
            async move { api.answer(request).await }
        });
        let instance = Self {
            serving: runtime.spawn(server.serve(runtime.executor(), listener, server_stopped)),
            lease: runtime.spawn(async move { lease.run(lease_stopped).await }),
            writer: runtime.spawn(async move { writer.run(writer_stopped).await }),
            runtime,
            shards: parts.shards,
            threads,
            replies: parts.replies,
            tasks: parts.tasks,
            peers: parts.peers,
            receiver,
            ready: parts.ready,
            drained,
            superseded,
            stop_server,
            background,
            stop_lease,
            drain: DRAIN_LIMIT,
            stop_writer,
        };
        let id = config.id.as_str();
        log::info!(id = id, incarnation = incarnation.get(); "serving");
        Ok((instance, incarnation))
    }

    /// Sets the time allowed for work in flight when the instance is told to stop.
    #[must_use]
    pub const fn drain_limit(mut self, limit: Duration) -> Self {
        self.drain = limit;
        self
    }

    /// Waits until the flag is set or this life is taken over, then ends it.
    pub fn wait(self, stop: &AtomicBool) -> End {
        let end = loop {
            if stop.load(Ordering::Relaxed) {
                break End::Stopped;
            }
            if self.superseded.try_recv().is_ok() {
                break End::Superseded;
            }
            std::thread::sleep(LOOK);
        };
        self.end(end);
        end
    }

    /// Ends this life: refuses new work, finishes work in flight, records, joins everything.
    fn end(self, end: End) {
        self.ready.store(false, Ordering::Relaxed);
        let begin = Instant::now();
        self.shards.send_all(&Event::Drain);
        let whole = self.wait_drained();
        if end == End::Stopped {
            // A life that was taken over ends at once, because the next one waits for its address.
            std::thread::sleep(LAST_CALLERS.saturating_sub(begin.elapsed()));
        }
        // Requests that wait for other instances end with them; all others have their reply.
        self.replies.close();
        drop(self.stop_server);
        self.runtime.block_on(self.serving);
        let tasks = self.runtime.block_on(self.tasks.join(TASKS_LIMIT));
        drop(self.stop_writer);
        let written = self.runtime.block_on(self.writer);
        if whole && written {
            drop(self.stop_lease);
            self.runtime.block_on(self.lease);
        } else {
            // The row stays: without it no instance looks for the jobs that are left.
            self.runtime.block_on(self.lease.cancel());
        }
        for task in self.background {
            self.runtime.block_on(task.cancel());
        }
        drop(self.receiver);
        self.peers.close();
        self.shards.stop();
        self.threads.join();
        let why = if end == End::Stopped { "stopped" } else { "superseded" };
        log::info!(why = why, drained = whole, written = written, tasks = tasks; "ended");
    }

    fn wait_drained(&self) -> bool {
        let end = Instant::now() + self.drain;
        let mut left = self.shards.len();
        while left > 0 {
            match self.drained.try_recv() {
                Ok(()) => left -= 1,
                Err(_) if Instant::now() >= end => return false,
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
        true
    }
}

fn start_shards(
    config: &ProcessConfig,
    holder: &Holder,
    clock: Clock,
    cell: &Arc<OnceLock<Effects>>,
) -> (Arc<Shards>, ShardThreads) {
    let identities = (0..config.shards).map(|shard| Identity {
        shard: ShardId { instance: config.id.clone(), shard },
        holder: holder.clone(),
        zone: config.zone.clone(),
        shards: config.shards,
    });
    Shards::start(identities.collect(), clock, |index| {
        let cell = Arc::clone(cell);
        Box::new(move |decided, command| {
            // Nothing is decided before the first event, which is sent when all parts exist.
            if let Some(effects) = cell.get() {
                effects.run(index as usize, decided, command);
            }
        })
    })
}

impl Parts {
    fn effects(&self, drained: Sender<()>, superseded: Sender<()>) -> Effects {
        Effects {
            holder: self.holder.clone(),
            clock: self.clock,
            tasks: Arc::clone(&self.tasks),
            endpoints: Arc::clone(&self.endpoints),
            replies: Arc::clone(&self.replies),
            backlog: Arc::clone(&self.backlog),
            peers: Arc::clone(&self.peers),
            settings: Arc::clone(&self.settings),
            takeover: Arc::new(Takeover {
                holder: self.holder.clone(),
                clock: self.clock,
                store: self.store.clone(),
                backlog: Arc::clone(&self.backlog),
                settings: Arc::clone(&self.settings),
            }),
            shards: Arc::clone(&self.shards),
            metrics: Arc::clone(&self.metrics),
            drained,
            superseded,
        }
    }

    fn route(&self) -> Route {
        Route {
            me: self.holder.clone(),
            clock: self.clock,
            shards: Arc::clone(&self.shards),
            peers: Arc::clone(&self.peers),
            roster: Arc::clone(&self.roster),
            settings: Arc::clone(&self.settings),
            metrics: Arc::clone(&self.metrics),
            punctuality: Mutex::new(Punctuality::default()),
        }
    }

    fn lease(&self, config: &ProcessConfig) -> Lease {
        Lease {
            holder: self.holder.clone(),
            zone: config.zone.clone(),
            clock: self.clock,
            store: self.store.clone(),
            settings: Arc::clone(&self.settings),
            shards: Arc::clone(&self.shards),
        }
    }

    fn writer(&self) -> Writer {
        Writer {
            holder: self.holder.clone(),
            clock: self.clock,
            store: self.store.clone(),
            backlog: Arc::clone(&self.backlog),
            settings: Arc::clone(&self.settings),
            roster: Arc::clone(&self.roster),
            shards: Arc::clone(&self.shards),
            instances: Arc::clone(&self.instances),
            metrics: Arc::clone(&self.metrics),
        }
    }

    fn readiness(&self) -> Readiness {
        Readiness {
            clock: self.clock,
            shards: Arc::clone(&self.shards),
            store: self.store.clone(),
            peers: Arc::clone(&self.peers),
            endpoints: Arc::clone(&self.endpoints),
        }
    }

    fn api(&self, config: &ProcessConfig) -> Api {
        Api {
            clock: self.clock,
            holder: self.holder.clone(),
            zone: config.zone.clone(),
            shards: Arc::clone(&self.shards),
            replies: Arc::clone(&self.replies),
            settings: Arc::clone(&self.settings),
            store: self.store.clone(),
            endpoints: Arc::clone(&self.endpoints),
            roster: Arc::clone(&self.roster),
            peers: Arc::clone(&self.peers),
            metrics: Arc::clone(&self.metrics),
            ready: Arc::clone(&self.ready),
            settled: Arc::clone(&self.settled),
            next: AtomicU64::new(0),
        }
    }

    fn background(
        &self,
        runtime: &Runtime,
        lease: &Arc<Lease>,
        writer: &Arc<Writer>,
    ) -> Vec<Task<()>> {
        let (lease, writer) = (Arc::clone(lease), Arc::clone(writer));
        let (readiness, settled) = (self.readiness(), Arc::clone(&self.settled));
        vec![
            runtime.spawn(async move { readiness.settle(&settled).await }),
            runtime.spawn(watch::follow_settings(self.store.clone(), Arc::clone(&self.settings))),
            runtime.spawn(watch::follow_list(
                self.store.clone(),
                Arc::clone(&self.endpoints),
                Arc::clone(&self.peers),
                Arc::clone(&self.shards),
                Arc::clone(&self.instances),
            )),
            runtime.spawn(heartbeats::beat(
                Arc::clone(&self.tasks),
                Arc::clone(&self.endpoints),
                Arc::clone(&self.settings),
                Arc::clone(&self.shards),
            )),
            runtime.spawn(async move { lease.read_all().await }),
            runtime.spawn(async move { writer.watch().await }),
            runtime.spawn(measure(
                Arc::clone(&self.metrics),
                Arc::clone(&self.shards),
                Arc::clone(&self.replies),
                Arc::clone(&self.backlog),
                Arc::clone(&self.settings),
            )),
        ]
    }
}

/// Sets the gauges until cancelled.
async fn measure(
    metrics: Arc<Metrics>,
    shards: Arc<Shards>,
    replies: Arc<Replies>,
    backlog: Arc<Backlog>,
    settings: Arc<SettingsStore>,
) {
    loop {
        Timer::after(GAUGES).await;
        let sum = |counts: Vec<usize>| counts.into_iter().sum::<usize>() as u64;
        metrics.gauge(IoGauge::TasksQueued, shards.look_all(Dispatcher::waiting).iter().sum());
        metrics.gauge(IoGauge::TasksInFlight, sum(shards.look_all(Dispatcher::in_flight)));
        metrics.gauge(IoGauge::RequestsWaiting, replies.len() as u64);
        let (claims, records) = backlog.waiting();
        metrics.gauge(IoGauge::ClaimsWaiting, (claims + records) as u64);
        metrics.gauge(IoGauge::SettingsVersion, shards.version());
        metrics.gauge(IoGauge::ZonesDrained, settings.drained_zones() as u64);
        metrics.count_io(IoCounter::RecordsDropped, backlog.take_dropped());
    }
}
