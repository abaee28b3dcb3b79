//! One instance: drives its state machine and executes the resulting commands.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_channel::Sender;
use bytes::Bytes;
use cranberryhatch_fleet::{
    CancelOutcome, Command, DrainRead, InstanceInfo, Job, LogEvent, Member, Node, NotRunCause,
    Outcome, Output, PollResult, StartResponse, VecMap,
};
use cranberryhatch_schema::fleet::{self, Hello, frame::Body};
use cranberryhatch_types::{InstanceId, Span, Time};
use smol::{Executor, Timer};

use crate::{
    Catalog, Clock, EventLogger, LinkEvents, Links, ListFreshness, Metrics, Platform, PollOptions,
    StartResult, WorkerCache, WorkerRequest,
};

/// Interval between ticks; the shortest tasks take about 30 ms.
const TICK: Duration = Duration::from_millis(20);
/// Number of ticks between updates of the gauges.
const TICKS_PER_GAUGE_UPDATE: u32 = 50;

/// Age from which on a start request is no longer sent.
///
/// If the process was paused after the decision, it may have missed a zone drain.
const MAX_START_AGE: Span = Span::from_ms(400);
/// Interval between checks whether the process was paused.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum length of a request path in a log line, in characters; job names have 16.
const LOGGED_PATH_CHARS: usize = 64;

/// One instance: its state machine and the I/O around it.
pub struct Edge<P> {
    node: Mutex<Node>,
    platform: Arc<P>,
    links: Arc<Links>,
    clock: Clock,
    executor: Arc<Executor<'static>>,
    replies: Mutex<VecMap<u64, Sender<Outcome>>>,
    // Callers who cancel a job, by ticket.
    cancels: Mutex<VecMap<u64, Sender<CancelOutcome>>>,
    tickets: AtomicU64,
    catalog: RwLock<Option<Arc<Catalog>>>,
    event_logger: EventLogger,
    metrics: Metrics,
    worker_cache: Mutex<WorkerCache>,
    list_read_at: AtomicU64,
    list_freshness: Mutex<ListFreshness>,
}

impl<P: Platform> Edge<P> {
    /// Creates an instance that introduces itself to its peers with `hello`.
    #[must_use]
    pub fn new(
        me: Member,
        hello: Hello,
        platform: Arc<P>,
        executor: Arc<Executor<'static>>,
    ) -> Self {
        let clock = Clock;
        Self {
            node: Mutex::new(Node::new(me, clock.now())),
            platform,
            links: Arc::new(Links::new(hello, Arc::clone(&executor))),
            clock,
            executor,
            replies: Mutex::default(),
            cancels: Mutex::default(),
            tickets: AtomicU64::new(0),
            catalog: RwLock::default(),
            event_logger: EventLogger::default(),
            metrics: Metrics::default(),
            worker_cache: Mutex::default(),
            list_read_at: AtomicU64::new(0),
            list_freshness: Mutex::default(),
        }
    }

    fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn replies(&self) -> MutexGuard<'_, VecMap<u64, Sender<Outcome>>> {
        self.replies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cancels(&self) -> MutexGuard<'_, VecMap<u64, Sender<CancelOutcome>>> {
        self.cancels.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the platform.
    pub const fn platform(&self) -> &Arc<P> {
        &self.platform
    }

    /// Returns the links to the other instances.
    pub const fn links(&self) -> &Arc<Links> {
        &self.links
    }

    /// Returns the metrics.
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the clock of the process.
    pub const fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the configured kinds of job, or `None` before the first settings were read.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Calls `action` on the state machine and executes the commands that result.
    fn with_node<T>(self: &Arc<Self>, action: impl FnOnce(&mut Node, Time, &mut Output) -> T) -> T {
        let now = self.clock.now();
        let mut out = Output::default();
        let mut node = self.node();
        let result = action(&mut node, now, &mut out);
        for command in out.commands {
            self.execute(command, now);
        }
        drop(node);
        result
    }

    fn execute(self: &Arc<Self>, command: Command, now: Time) {
        match command {
            Command::Answer { ticket, outcome } => {
                if let Some(reply) = self.replies().remove(&ticket) {
                    // The caller may have disconnected.
                    let _ = reply.try_send(outcome);
                }
            }
            Command::AnswerCancel { ticket, outcome } => {
                if let Some(reply) = self.cancels().remove(&ticket) {
                    // The caller may have disconnected.
                    let _ = reply.try_send(outcome);
                }
            }
            Command::Send { to, message } => self.links.send(self, &to, message),
            Command::SetLinks { peers } => self.links.set_wanted(peers),
            Command::ResetLink { peer } => self.links.reset(&Arc::new(IgnoreEvents), &peer),
            Command::Poll { worker, token, timeout, acked, lease, wait, new_connection } => {
                let options = PollOptions { acked, lease, wait, new_connection };
                self.spawn_poll(WorkerRequest { worker, token, timeout }, options, now);
            }
            Command::StartRun { number, worker, token, timeout, run, payload, lease } => {
                let edge = Arc::clone(self);
                let start = async move {
                    let id = worker.id.clone();
                    let request = WorkerRequest { worker, token, timeout };
                    let StartResult { response, responder } =
                        if edge.clock.now().since(now) >= MAX_START_AGE {
                            StartResult { response: StartResponse::Unsent, responder: None }
                        } else {
                            edge.platform.start(request, &run, &payload, lease).await
                        };
                    edge.with_node(|node, now, out| {
                        node.handle_start_response_from(&id, number, response, responder, now, out);
                    });
                };
                self.executor.spawn(start).detach();
            }
            Command::StopRun { number, worker, token, timeout, run } => {
                let edge = Arc::clone(self);
                let stop = async move {
                    let id = worker.id.clone();
                    let accepted =
                        edge.platform.stop(WorkerRequest { worker, token, timeout }, &run).await;
                    edge.with_node(|node, now, out| {
                        node.handle_stop_response_to(&id, &run, number, accepted, now, out);
                    });
                };
                self.executor.spawn(stop).detach();
            }
            Command::ApplySettings { version, body } => self.install_catalog(version, &body),
            Command::Log(event) => self.record(&event, now),
        }
    }

    fn spawn_poll(self: &Arc<Self>, request: WorkerRequest, options: PollOptions, sent_at: Time) {
        let edge = Arc::clone(self);
        let run = async move {
            let (worker, token) = (request.worker.id.clone(), request.token);
            let response = edge.platform.poll(request, options).await;
            let result = PollResult { worker, token, sent: sent_at, response };
            edge.with_node(|node, now, out| node.handle_poll_result(result, now, out));
        };
        self.executor.spawn(run).detach();
    }

    fn install_catalog(&self, version: u64, body: &Bytes) {
        match self.platform.decode_settings(body) {
            Ok(mut catalog) => {
                let mut current = self.catalog.write().unwrap_or_else(PoisonError::into_inner);
                if let Some(former) = current.as_ref() {
                    catalog.keep_removed(former, self.clock().now());
                }
                *current = Some(Arc::new(catalog));
                self.metrics.settings_version.set(version);
            }
            Err(error) => log::error!(version, error = error.to_string(); "settings-unreadable"),
        }
    }

    fn record(&self, event: &LogEvent, now: Time) {
        match event {
            LogEvent::Answered { kind, outcome, took, queued, .. } => {
                match outcome {
                    Outcome::NotRun { cause, .. } => Metrics::count(&self.metrics.answers, cause),
                    _ => Metrics::count(&self.metrics.answers, outcome),
                }
                Metrics::observe_kind(&self.metrics.answer_time, kind, *took);
                if let Some(queued) = queued {
                    Metrics::observe_kind(&self.metrics.queue_time, kind, *queued);
                }
            }
            LogEvent::Rejected { cause, .. } => Metrics::count(&self.metrics.answers, cause),
            LogEvent::WorkerDropped { cause, .. } => {
                Metrics::count(&self.metrics.dropped_workers, cause);
            }
            LogEvent::WorkerOpened { found, kept, .. } => {
                let stopped = u64::try_from(found - kept).unwrap_or(u64::MAX);
                self.metrics.unclaimed_runs.inc_by(stopped);
            }
            LogEvent::MembersAdmitted { change, .. } => {
                Metrics::observe(&self.metrics.admission_time, change.waited);
            }
            LogEvent::StartRefused { cause, .. } => {
                Metrics::count(&self.metrics.refused_starts, cause);
            }
            LogEvent::StartDeferred { .. } => {
                self.metrics.deferred_starts.inc();
            }
            LogEvent::IncarnationEnded { .. } => {
                self.metrics.worker_restarts.inc();
            }
            LogEvent::EntryCurrent { held, .. } => {
                Metrics::observe(&self.metrics.outdated_entries, *held);
            }
            LogEvent::AdmittedStopping { .. } => {
                self.metrics.admitted_stopping.inc();
            }
            LogEvent::Settings { source, .. } => {
                let source = if source.is_some() { "peer" } else { "store" };
                Metrics::count(&self.metrics.settings_sources, &source);
            }
            LogEvent::Refused { cause, .. } => Metrics::count(&self.metrics.refusals, cause),
            LogEvent::Granted { kind, forecast: Some((expected, waited)), .. } => {
                let error = expected.as_ms().abs_diff(waited.as_ms());
                Metrics::observe_kind(&self.metrics.forecast_error, kind, Span::from_ms(error));
            }
            LogEvent::RunEnded { how, took, .. } => {
                Metrics::count(&self.metrics.runs, &how.as_str_name());
                Metrics::observe(&self.metrics.run_time, *took);
            }
            LogEvent::TaskCrashed { .. } => {
                self.metrics.task_crashes.inc();
            }
            LogEvent::TaskPoisoned { .. } => {
                self.metrics.poisoned_jobs.inc();
            }
            LogEvent::Superseded { .. } => {
                self.metrics.superseded_jobs.inc();
            }
            LogEvent::Withheld { tasks, .. } => {
                let tasks = u64::try_from(*tasks).unwrap_or(u64::MAX);
                self.metrics.withheld_tasks.inc_by(tasks);
            }
            LogEvent::RunRestarted { previous, .. } => {
                Metrics::count(&self.metrics.restarted_runs, &previous.end.cause);
            }
            LogEvent::RunMissing { how, .. } => {
                Metrics::count(&self.metrics.missing_runs, &how.as_str_name());
            }
            LogEvent::UnknownRun { ended, .. } => {
                let cause = ended.map_or("none", |(how, _)| how.as_str_name());
                Metrics::count(&self.metrics.unknown_runs, &cause);
            }
            LogEvent::Resubmitted { .. } => {
                self.metrics.resubmitted_jobs.inc();
            }
            LogEvent::Stalled { cause, .. } => Metrics::count(&self.metrics.run_restarts, cause),
            LogEvent::Unanswered { request, .. } => {
                Metrics::count(&self.metrics.unanswered_requests, request);
            }
            LogEvent::Resolved { request, outcome, took, .. } => {
                Metrics::count(&self.metrics.resolved_requests, outcome);
                Metrics::observe_kind(&self.metrics.unanswered_time, &request.to_string(), *took);
            }
            _ => {}
        }
        if self.event_logger.log(event, now) {
            self.metrics.dropped_lines.inc();
        }
    }

    /// Logs and counts a request that is rejected before it becomes a job.
    pub fn reject(&self, request: &str, cause: NotRunCause) {
        let request = request.chars().take(LOGGED_PATH_CHARS).collect();
        self.record(&LogEvent::Rejected { request, cause, stopping: None }, self.clock.now());
    }

    /// Runs a job and returns its outcome.
    ///
    /// Dropping the future ends the job; this happens when the caller disconnects.
    pub async fn run_job(self: &Arc<Self>, job: Job) -> Outcome {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (reply, answered) = async_channel::bounded(1);
        self.replies().insert(ticket, reply);
        let caller = CallerGuard { edge: Arc::clone(self), ticket };
        self.with_node(|node, now, out| node.submit(ticket, job, now, out));
        let outcome = answered.recv().await.unwrap_or(Outcome::GivenUp);
        drop(caller);
        outcome
    }

    /// Cancels a job, which may be at another instance, and returns what is known of it.
    pub async fn cancel(self: &Arc<Self>, job: &str) -> CancelOutcome {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (reply, answered) = async_channel::bounded(1);
        self.cancels().insert(ticket, reply);
        self.with_node(|node, now, out| node.cancel(ticket, job, now, out));
        answered.recv().await.unwrap_or(CancelOutcome::Unconfirmed)
    }

    /// Returns whether an unfinished job has started, or `None` if this instance does not have it.
    #[must_use]
    pub fn has_started(&self, job: &str) -> Option<bool> {
        self.node().front().has_started(job)
    }

    /// Returns the number of jobs of a kind that wait for their first start.
    #[must_use]
    pub fn pending(&self, kind: &str) -> usize {
        self.node().front().pending(kind)
    }

    /// Returns whether callers should be routed to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.node().is_ready()
    }

    /// Returns whether a shutdown was requested.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.node().is_draining()
    }

    /// Returns the number of unfinished jobs.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.node().front().len()
    }

    /// Starts the shutdown: gives up all roles at once and stops accepting jobs soon after.
    ///
    /// All accepted jobs are answered within the grace period.
    pub fn begin_shutdown(self: &Arc<Self>, grace: Span) {
        let takes = self.with_node(|node, now, out| {
            node.begin_shutdown(grace, now, out);
            node.shutdown().map_or(Span::ZERO, |shutdown| shutdown.accept_period())
        });
        let (grace_ms, takes_ms) = (grace.as_ms(), takes.as_ms());
        log::info!(jobs = self.jobs(), grace_ms, takes_ms; "stopping");
    }

    /// Returns whether the shutdown is complete, so that the process may exit.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.node().is_stopped(self.clock.now())
    }

    /// Applies settings that were read from the platform.
    pub fn apply_settings(self: &Arc<Self>, version: u64, body: Bytes) {
        self.with_node(|node, now, out| node.apply_settings(version, body, now, out));
    }

    /// Applies zone drains read from the store with a request that was sent at `sent_at`.
    pub fn apply_drain_read(self: &Arc<Self>, read: &DrainRead, sent_at: Time) {
        self.with_node(|node, now, out| node.apply_drain_read(read, sent_at, now, out));
    }

    /// Records that a read of the zone drains, sent at `sent_at`, failed.
    pub fn drain_read_failed(&self, sent_at: Time) {
        self.node().drain_read_failed(sent_at);
    }

    /// Returns whether the zone drains must be read from the store without delay.
    #[must_use]
    pub fn needs_drain_read(&self) -> bool {
        self.node().needs_drain_read()
    }

    /// Returns the number of drained zones.
    #[must_use]
    pub fn drained_zones(&self) -> usize {
        self.node().drains().zones().len()
    }

    /// Waits until a pause of the process after `sent_at` makes another read of the zone drains
    /// necessary.
    pub async fn wait_for_pause(&self, sent_at: Time) {
        loop {
            Timer::after(PAUSE_CHECK_INTERVAL).await;
            if self.node().is_drain_read_stale(sent_at) {
                return;
            }
        }
    }

    /// Locks and returns the local copy of the worker entries.
    pub fn worker_cache(&self) -> MutexGuard<'_, WorkerCache> {
        self.worker_cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this instance is the zone reader, or does not know which instance is.
    #[must_use]
    pub fn is_zone_reader(&self) -> bool {
        self.node().is_zone_reader()
    }

    /// Returns whether the zone reader has recently confirmed the local copy of the worker entries.
    #[must_use]
    pub fn is_list_fresh(&self) -> bool {
        let fresh = self.list_freshness().is_fresh(self.clock.now());
        fresh && !self.is_zone_reader()
    }

    fn list_freshness(&self) -> MutexGuard<'_, ListFreshness> {
        self.list_freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends changed worker entries to the other instances of the zone if this one is the zone
    /// reader.
    pub fn broadcast_workers(self: &Arc<Self>) {
        self.list_read_at.store(self.clock.now().as_ms(), Ordering::Relaxed);
        let workers = self.worker_cache().take_update();
        self.with_node(|node, _, out| node.broadcast_worker_list(&workers, out));
    }

    /// Applies an update of the worker entries from the zone reader.
    fn handle_worker_update(self: &Arc<Self>, workers: fleet::Workers) {
        let (changed, matches) = self.worker_cache().apply_update(workers);
        if matches {
            let now = self.clock.now();
            self.list_freshness().confirm(now);
            self.list_read_at.store(now.as_ms(), Ordering::Relaxed);
        }
        if changed {
            self.replace_worker_list();
        }
    }

    /// Passes the current worker list on to the state machine.
    pub fn replace_worker_list(self: &Arc<Self>) {
        let wall = self.clock.wall_ms();
        let workers = self.worker_cache().list();
        self.with_node(|node, now, out| node.replace_worker_list(workers, wall, now, out));
    }

    /// Replaces the list of instances that are registered on the platform.
    pub fn replace_instances(&self, instances: Vec<InstanceInfo>) {
        self.node().replace_instances(instances);
    }

    /// Runs the periodic work until the task is cancelled.
    pub async fn run_ticks(self: Arc<Self>) {
        let mut count = 0;
        loop {
            let before = self.clock.now();
            Timer::after(TICK).await;
            let took = self.clock.now().since(before).as_ms();
            let lag = took.saturating_sub(u64::try_from(TICK.as_millis()).unwrap_or_default());
            Metrics::observe(&self.metrics.loop_lag, Span::from_ms(lag));
            self.list_freshness().tick(self.clock.now());
            let wall = self.clock.wall_ms();
            self.with_node(|node, now, out| node.tick(wall, now, out));
            count += 1;
            if count % TICKS_PER_GAUGE_UPDATE == 0 {
                self.update_gauges();
            }
        }
    }

    fn update_gauges(&self) {
        let node = self.node();
        let as_u64 = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        self.metrics.jobs.set(as_u64(node.front().len()));
        self.metrics.assigned_runs.set(as_u64(node.owner().run_count()));
        self.metrics.open_workers.set(as_u64(node.owner().worker_counts().0));
        let now = self.clock.now();
        self.metrics.worker_silence_ms.set(node.owner().longest_silence(now).as_ms());
        let stopping = node.shutdown_progress(now);
        self.metrics.stopping_ms.set(stopping.map_or(0, |stopping| stopping.elapsed.as_ms()));
        self.metrics.drained_zones.set(as_u64(node.drains().zones().len()));
        self.metrics.peers.set(as_u64(node.members().peers().len()));
        let read = Time::from_ms(self.list_read_at.load(Ordering::Relaxed));
        self.metrics.worker_list_age_ms.set(now.since(read).as_ms());
    }
}

impl<P: Platform> LinkEvents for Edge<P> {
    fn link_up(self: &Arc<Self>, peer: Member) {
        self.with_node(|node, now, out| node.link_up(peer, now, out));
    }

    fn link_down(self: &Arc<Self>, peer: &InstanceId) {
        self.with_node(|node, now, out| node.link_down(peer, now, out));
    }

    fn peer_gone(self: &Arc<Self>, peer: &InstanceId) {
        self.with_node(|node, now, out| node.peer_gone(peer, now, out));
    }

    fn messages(self: &Arc<Self>, peer: &InstanceId, mut messages: Vec<Body>) {
        for message in &mut messages {
            if let Body::Workers(workers) = message {
                self.handle_worker_update(std::mem::take(workers));
            }
        }
        self.with_node(|node, now, out| {
            for message in messages {
                node.handle_message(peer, message, now, out);
            }
            node.process_pending(now, false, out);
        });
    }
}

/// Ignores all link events: the state machine itself asked to reset the link.
struct IgnoreEvents;

impl LinkEvents for IgnoreEvents {
    fn link_up(self: &Arc<Self>, _: Member) {}
    fn link_down(self: &Arc<Self>, _: &InstanceId) {}
    fn peer_gone(self: &Arc<Self>, _: &InstanceId) {}
    fn messages(self: &Arc<Self>, _: &InstanceId, _: Vec<Body>) {}
}

/// Ends the job of a waiting caller when dropped, unless it was answered.
struct CallerGuard<P: Platform> {
    edge: Arc<Edge<P>>,
    ticket: u64,
}

impl<P: Platform> Drop for CallerGuard<P> {
    fn drop(&mut self) {
        if self.edge.replies().remove(&self.ticket).is_some() {
            let ticket = self.ticket;
            self.edge.with_node(|node, now, out| node.caller_gone(ticket, now, out));
        }
    }
}
