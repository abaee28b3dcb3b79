//! Carries out the decisions of one instance.

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
    Command, DrainRead, InstanceInfo, Job, LogEvent, Member, Node, NotRunCause, Outcome, Output,
    PollResult, StartResponse, VecMap,
};
use cranberryhatch_schema::fleet::{self, Hello, frame::Body};
use cranberryhatch_types::{InstanceId, Span, Time};
use smol::{Executor, Timer};

use crate::{
    Catalog, Clock, Entries, Journal, LinkEvents, Links, LookOrder, Meters, Order, Port, Started,
    Told,
};

/// Time between two ticks; the shortest task takes some 30 ms.
const TICK: Duration = Duration::from_millis(20);
/// Ticks between two measurements of gauges.
const GAUGE_TICKS: u32 = 50;

/// Time after its decision at which a start is not sent any more; a process that was paused in between
/// may not have learnt of a zone drain.
const START_AGE: Span = Span::from_ms(400);
/// Time between two checks whether the process was paused.
const PAUSE_CHECK: Duration = Duration::from_millis(100);

/// Characters of a rejected request's path in a log line; names of jobs have 16.
const REQUEST_SHOWN: usize = 64;

/// One instance: its decisions, and the I/O around them.
pub struct Edge<P> {
    node: Mutex<Node>,
    port: Arc<P>,
    links: Arc<Links>,
    clock: Clock,
    executor: Arc<Executor<'static>>,
    replies: Mutex<VecMap<u64, Sender<Outcome>>>,
    tickets: AtomicU64,
    catalog: RwLock<Option<Arc<Catalog>>>,
    journal: Journal,
    meters: Meters,
    entries: Mutex<Entries>,
    list_read: AtomicU64,
    told: Mutex<Told>,
}

impl<P: Port> Edge<P> {
    /// An instance that says `hello` to the others.
    #[must_use]
    pub fn new(me: Member, hello: Hello, port: Arc<P>, executor: Arc<Executor<'static>>) -> Self {
        let clock = Clock;
        Self {
            node: Mutex::new(Node::new(me, clock.now())),
            port,
            links: Arc::new(Links::new(hello, Arc::clone(&executor))),
            clock,
            executor,
            replies: Mutex::default(),
            tickets: AtomicU64::new(0),
            catalog: RwLock::default(),
            journal: Journal::default(),
            meters: Meters::default(),
            entries: Mutex::default(),
            list_read: AtomicU64::new(0),
            told: Mutex::default(),
        }
    }

    fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn replies(&self) -> MutexGuard<'_, VecMap<u64, Sender<Outcome>>> {
        self.replies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The platform.
    pub const fn port(&self) -> &Arc<P> {
        &self.port
    }

    /// Links to the other instances.
    pub const fn links(&self) -> &Arc<Links> {
        &self.links
    }

    /// Metrics.
    pub const fn meters(&self) -> &Meters {
        &self.meters
    }

    /// Clock of the process.
    pub const fn clock(&self) -> Clock {
        self.clock
    }

    /// Kinds of job in force; none before any settings were read.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Runs a decision and carries out what follows.
    fn decide<T>(self: &Arc<Self>, decision: impl FnOnce(&mut Node, Time, &mut Output) -> T) -> T {
        let now = self.clock.now();
        let mut out = Output::default();
        let mut node = self.node();
        let result = decision(&mut node, now, &mut out);
        for command in out.commands {
            self.carry_out(command, now);
        }
        drop(node);
        result
    }

    fn carry_out(self: &Arc<Self>, command: Command, now: Time) {
        match command {
            Command::Answer { ticket, outcome } => {
                if let Some(reply) = self.replies().remove(&ticket) {
                    // The caller may be gone.
                    let _ = reply.try_send(outcome);
                }
            }
            Command::Send { to, message } => self.links.send(self, &to, message),
            Command::Links { peers } => self.links.want(peers),
            Command::Unlink { peer } => self.links.down(&Arc::new(Quiet), &peer),
            Command::Poll { worker, token, patience, acked, lease, wait, fresh } => {
                let look = LookOrder { acked, lease, wait, fresh };
                self.spawn_look(Order { worker, token, patience }, look, now);
            }
            Command::StartRun { worker, token, patience, run, payload, lease } => {
                let edge = Arc::clone(self);
                let start = async move {
                    let id = worker.id.clone();
                    let order = Order { worker, token, patience };
                    let Started { answer, from } = if edge.clock.now().since(now) >= START_AGE {
                        Started { answer: StartResponse::Unsent, from: None }
                    } else {
                        edge.port.start(order, &run, &payload, lease).await
                    };
                    edge.decide(|node, now, out| {
                        node.started_in(&id, &run, answer, from, now, out);
                    });
                };
                self.executor.spawn(start).detach();
            }
            Command::StopRun { worker, token, patience, run } => {
                let edge = Arc::clone(self);
                let stop = async move {
                    let id = worker.id.clone();
                    let accepted = edge.port.stop(Order { worker, token, patience }, &run).await;
                    edge.decide(|node, now, out| node.stopped(&id, &run, accepted, now, out));
                };
                self.executor.spawn(stop).detach();
            }
            Command::Adopt { version, body } => self.adopt(version, &body),
            Command::Log(note) => self.note(&note, now),
        }
    }

    fn spawn_look(self: &Arc<Self>, order: Order, look: LookOrder, asked: Time) {
        let edge = Arc::clone(self);
        let run = async move {
            let (worker, token) = (order.worker.id.clone(), order.token);
            let answer = edge.port.look(order, look).await;
            let looked = PollResult { worker, token, asked, answer };
            edge.decide(|node, now, out| node.looked(looked, now, out));
        };
        self.executor.spawn(run).detach();
    }

    fn adopt(&self, version: u64, body: &Bytes) {
        match self.port.decode_settings(body) {
            Ok(catalog) => {
                let mut current = self.catalog.write().unwrap_or_else(PoisonError::into_inner);
                *current = Some(Arc::new(catalog));
                self.meters.version.set(version);
            }
            Err(error) => log::error!(version, error = error.to_string(); "settings-unreadable"),
        }
    }

    fn note(&self, note: &LogEvent, now: Time) {
        match note {
            LogEvent::Answered { kind, outcome, took, queued, .. } => {
                match outcome {
                    Outcome::NotRun { cause, .. } => Meters::count(&self.meters.answers, cause),
                    _ => Meters::count(&self.meters.answers, outcome),
                }
                Meters::observe_kind(&self.meters.answer_time, kind, *took);
                if let Some(queued) = queued {
                    Meters::observe_kind(&self.meters.queue_time, kind, *queued);
                }
            }
            LogEvent::Rejected { cause, .. } => Meters::count(&self.meters.answers, cause),
            LogEvent::WorkerDropped { cause, .. } => {
                Meters::count(&self.meters.dropped_workers, cause)
            }
            LogEvent::WorkerOpened { found, kept, .. } => {
                let stopped = u64::try_from(found - kept).unwrap_or(u64::MAX);
                self.meters.unclaimed_runs.inc_by(stopped);
            }
            LogEvent::MembersAdmitted { counted, .. } => {
                Meters::observe(&self.meters.counting_time, counted.waited);
            }
            LogEvent::StartRefused { cause, .. } => {
                Meters::count(&self.meters.refused_starts, cause)
            }
            LogEvent::IncarnationEnded { .. } => {
                self.meters.ended_lives.inc();
            }
            LogEvent::AdmittedStopping { .. } => {
                self.meters.admitted_stopping.inc();
            }
            LogEvent::Refused { cause, .. } => Meters::count(&self.meters.refusals, cause),
            LogEvent::Granted { kind, forecast: Some((expected, waited)), .. } => {
                let error = expected.as_ms().abs_diff(waited.as_ms());
                Meters::observe_kind(&self.meters.forecast_error, kind, Span::from_ms(error));
            }
            LogEvent::RunEnded { how, took, .. } => {
                Meters::count(&self.meters.runs, &how.as_str_name());
                Meters::observe(&self.meters.run_time, *took);
            }
            LogEvent::Stalled { cause, .. } => Meters::count(&self.meters.restarts, cause),
            LogEvent::Unanswered { order, .. } => Meters::count(&self.meters.unanswered, order),
            LogEvent::Resolved { order, outcome, took, .. } => {
                Meters::count(&self.meters.resolved, outcome);
                Meters::observe_kind(&self.meters.unanswered_time, &order.to_string(), *took);
            }
            _ => {}
        }
        if self.journal.note(note, now) {
            self.meters.dropped_lines.inc();
        }
    }

    /// Notes that a request is rejected before it becomes a job.
    pub fn reject(&self, request: &str, cause: NotRunCause) {
        let request = request.chars().take(REQUEST_SHOWN).collect();
        self.note(&LogEvent::Rejected { request, cause, stopping: None }, self.clock.now());
    }

    /// Runs a job to its end; a caller that goes away drops the future, which ends the job.
    pub async fn run_job(self: &Arc<Self>, job: Job) -> Outcome {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (reply, answered) = async_channel::bounded(1);
        self.replies().insert(ticket, reply);
        let caller = Caller { edge: Arc::clone(self), ticket };
        self.decide(|node, now, out| node.submit(ticket, job, now, out));
        let outcome = answered.recv().await.unwrap_or(Outcome::GivenUp);
        drop(caller);
        outcome
    }

    /// Cancels a job; whether it was known here.
    pub fn cancel(self: &Arc<Self>, job: &str) -> bool {
        self.decide(|node, now, out| node.cancel(job, now, out))
    }

    /// Whether a job that is not ended has begun; none if it is not known here.
    #[must_use]
    pub fn is_begun(&self, job: &str) -> Option<bool> {
        self.node().front().is_begun(job)
    }

    /// Jobs of a kind that wait for their first start.
    #[must_use]
    pub fn pending(&self, kind: &str) -> usize {
        self.node().front().pending(kind)
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.node().is_ready()
    }

    /// Whether it is stopping.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.node().is_draining()
    }

    /// Number of jobs that have not ended.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.node().front().len()
    }

    /// Stops taking duties, and jobs soon after; all are answered within the grace period.
    pub fn drain(self: &Arc<Self>, grace: Span) {
        let takes = self.decide(|node, now, out| {
            node.drain(grace, now, out);
            node.stop().map_or(Span::ZERO, |stop| stop.takes_for())
        });
        let (grace_ms, takes_ms) = (grace.as_ms(), takes.as_ms());
        log::info!(jobs = self.jobs(), grace_ms, takes_ms; "stopping");
    }

    /// Whether the process may end after a request to stop.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.node().is_stopped(self.clock.now())
    }

    /// Takes settings that were read from the platform.
    pub fn settings(self: &Arc<Self>, version: u64, body: Bytes) {
        self.decide(|node, now, out| node.settings(version, body, now, out));
    }

    /// Takes zone drains that the store told in answer to a request that was sent at `asked`.
    pub fn drains_read(self: &Arc<Self>, read: &DrainRead, asked: Time) {
        self.decide(|node, now, out| node.drains_read(read, asked, now, out));
    }

    /// The store did not answer a request for the zone drains that was sent at `asked`.
    pub fn drains_unread(&self, asked: Time) {
        self.node().drains_unread(asked);
    }

    /// Whether the store must be asked for the zone drains at once.
    #[must_use]
    pub fn asks_drains(&self) -> bool {
        self.node().asks_drains()
    }

    /// Number of drained zones.
    #[must_use]
    pub fn drained_zones(&self) -> usize {
        self.node().drains().zones().len()
    }

    /// Waits until the process was paused after a time and must ask for the zone drains again.
    pub async fn paused_since(&self, asked: Time) {
        loop {
            Timer::after(PAUSE_CHECK).await;
            if self.node().drains_doubted(asked) {
                return;
            }
        }
    }

    /// Entries of workers.
    pub fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this instance reads the store for its zone, or does not know who does.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.node().is_reader()
    }

    /// Whether the reader of the zone has lately told of the same workers that are known here.
    #[must_use]
    pub fn is_told_of_workers(&self) -> bool {
        let fresh = self.told().is_fresh(self.clock.now());
        fresh && !self.is_reader()
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes changes of workers on to the instances of the zone, if this one reads for them.
    pub fn pass_on_workers(self: &Arc<Self>) {
        self.list_read.store(self.clock.now().as_ms(), Ordering::Relaxed);
        let workers = self.entries().pass_on();
        self.decide(|node, _, out| node.pass_on(&workers, out));
    }

    /// Takes what the reader of the zone says of the workers.
    fn take_workers(self: &Arc<Self>, workers: fleet::Workers) {
        let (changed, same) = self.entries().told(workers);
        if same {
            let now = self.clock.now();
            self.told().hear(now);
            self.list_read.store(now.as_ms(), Ordering::Relaxed);
        }
        if changed {
            self.listed();
        }
    }

    /// Takes the workers as the entries are now.
    pub fn listed(self: &Arc<Self>) {
        let wall = self.clock.wall_ms();
        let workers = self.entries().list();
        self.decide(|node, now, out| node.listed(workers, wall, now, out));
    }

    /// Learns which instances are registered on the platform.
    pub fn registered(&self, instances: Vec<InstanceInfo>) {
        self.node().registered(instances);
    }

    /// Does what is due by the time, until the process ends.
    pub async fn run_ticks(self: Arc<Self>) {
        let mut count = 0;
        loop {
            let before = self.clock.now();
            Timer::after(TICK).await;
            let took = self.clock.now().since(before).as_ms();
            let lag = took.saturating_sub(u64::try_from(TICK.as_millis()).unwrap_or_default());
            Meters::observe(&self.meters.loop_lag, Span::from_ms(lag));
            self.told().tick(self.clock.now());
            let wall = self.clock.wall_ms();
            self.decide(|node, now, out| node.tick(wall, now, out));
            count += 1;
            if count % GAUGE_TICKS == 0 {
                self.measure();
            }
        }
    }

    fn measure(&self) {
        let node = self.node();
        let as_u64 = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        self.meters.jobs.set(as_u64(node.front().len()));
        self.meters.held.set(as_u64(node.owner().runs()));
        self.meters.workers.set(as_u64(node.owner().counts().0));
        let now = self.clock.now();
        self.meters.worker_silence_ms.set(node.owner().silence(now).as_ms());
        let stopping = node.stopping(now);
        self.meters.stopping_ms.set(stopping.map_or(0, |stopping| stopping.since.as_ms()));
        self.meters.drained_zones.set(as_u64(node.drains().zones().len()));
        self.meters.peers.set(as_u64(node.members().peers().len()));
        let read = Time::from_ms(self.list_read.load(Ordering::Relaxed));
        self.meters.list_age_ms.set(now.since(read).as_ms());
    }
}

impl<P: Port> LinkEvents for Edge<P> {
    fn link_up(self: &Arc<Self>, peer: Member) {
        self.decide(|node, now, out| node.link_up(peer, now, out));
    }

    fn link_down(self: &Arc<Self>, peer: &InstanceId) {
        self.decide(|node, now, out| node.link_down(peer, now, out));
    }

    fn peer_gone(self: &Arc<Self>, peer: &InstanceId) {
        self.decide(|node, now, out| node.peer_gone(peer, now, out));
    }

    fn messages(self: &Arc<Self>, peer: &InstanceId, mut messages: Vec<Body>) {
        for message in &mut messages {
            if let Body::Workers(workers) = message {
                self.take_workers(std::mem::take(workers));
            }
        }
        self.decide(|node, now, out| {
            for message in messages {
                node.message(peer, message, now, out);
            }
            node.settle(now, false, out);
        });
    }
}

/// Takes no events: the node has already handled the end of the link.
struct Quiet;

impl LinkEvents for Quiet {
    fn link_up(self: &Arc<Self>, _: Member) {}
    fn link_down(self: &Arc<Self>, _: &InstanceId) {}
    fn peer_gone(self: &Arc<Self>, _: &InstanceId) {}
    fn messages(self: &Arc<Self>, _: &InstanceId, _: Vec<Body>) {}
}

/// A caller that waits; dropping it ends the job, unless it was answered.
struct Caller<P: Port> {
    edge: Arc<Edge<P>>,
    ticket: u64,
}

impl<P: Port> Drop for Caller<P> {
    fn drop(&mut self) {
        if self.edge.replies().remove(&self.ticket).is_some() {
            let ticket = self.ticket;
            self.edge.decide(|node, now, out| node.caller_gone(ticket, now, out));
        }
    }
}
