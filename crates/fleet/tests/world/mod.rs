//! Deterministic simulation of instances, their workers and the messages between them, in one
//! thread.
//!
//! It checks what workers and callers can observe: no task has two concurrent runs, every answer is
//! true, and each caller whose instance is alive gets an answer.

#![allow(dead_code, reason = "each test file uses a part of the world")]

mod cancels;
mod capacity;
mod crashes;
mod incarnations;
pub mod limits;
mod worker;
mod zones;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use cranberryhatch_fleet::{
    CancelOutcome, Command, DrainRead, DropCause, Incarnation, InstanceInfo, Job, KindSettings,
    ListedWorker, LogEvent, Member, Message, Need, Node, Outcome, Output, PollResponse, PollResult,
    RunKey, StartResponse, Step,
};
use cranberryhatch_types::{Accels, Cores, Count, InstanceId, Span, Time, WorkerId};

pub use crashes::Crash;
pub use incarnations::KnownIncarnations;
pub use worker::{FIRST_BORN, FakeWorker, WorkerRun};
pub use zones::Store;

/// Interval between ticks of an instance.
const TICK: u64 = 20;
/// Unix time at the start of the simulation.
const WALL: u64 = 1_800_000_000_000;
/// Delay before a caller whose connection broke sends its job again.
const RESEND: u64 = 1_300;
/// Longest time from a submission until its connection breaks on the caller's side only.
const HALF_OPEN_DELAY: u64 = 1_500;
/// Longest time until an instance notices that, if it does.
const NOTICE_DELAY: u64 = 4_000;
/// Longest time between two events that an instance handles after a pause.
const RESUME_STEP: u64 = 4;
/// Interval at which a worker checks a poll that it holds open.
const POLL_STEP: u64 = 10;
/// Longest time from the timeout of a slow start until it is carried out; the first poll that its
/// owner sends then takes up to 8 ms.
const SLOW_START: u64 = 32;
/// Interval at which a worker writes its entry in the list.
pub const WORKER_HEARTBEAT: u64 = 1_500;
/// Time after which a request to a worker counts as lost.
const RESPONSE_TIMEOUT: u64 = 200;
/// Shortest and longest delay of a late request.
const LATE_DELAY: std::ops::Range<u64> = 2_000..12_000;

/// What an event does.
enum EventKind {
    Tick {
        node: usize,
        generation: u64,
    },
    Deliver {
        from: usize,
        to: usize,
        link: u64,
        message: Box<Message>,
    },
    LinkDown {
        node: usize,
        peer: usize,
        link: u64,
    },
    Connect {
        a: usize,
        b: usize,
    },
    PollRequest {
        node: usize,
        generation: u64,
        request: PollRequest,
    },
    LatePoll {
        node: usize,
        request: PollRequest,
        // Whether it waits at the worker.
        waits: bool,
    },
    PollResponse {
        node: usize,
        generation: u64,
        result: PollResult,
    },
    Start {
        node: usize,
        generation: u64,
        number: u64,
        worker: WorkerId,
        token: u64,
        run: RunKey,
        lease: u64,
        sent: u64,
        responds: bool,
        // Incarnation whose process holds a delayed request and carries it out.
        bound_to: Option<Incarnation>,
        waits: bool,
    },
    StartResponse {
        node: usize,
        generation: u64,
        worker: WorkerId,
        number: u64,
        response: StartResponse,
        from: Option<(u64, Incarnation)>,
    },
    Stop {
        node: usize,
        generation: u64,
        number: u64,
        worker: WorkerId,
        token: u64,
        run: RunKey,
        responds: bool,
        waits: bool,
    },
    StopResponse {
        node: usize,
        generation: u64,
        number: u64,
        worker: WorkerId,
        run: RunKey,
        accepted: bool,
    },
    StoreResponse {
        node: usize,
        generation: u64,
        sent: u64,
        read: Option<DrainRead>,
    },
    Submit {
        request: usize,
    },
    CallerLeaves {
        request: usize,
        attempt: usize,
    },
    CallerBreaks {
        request: usize,
        attempt: usize,
        // Time until the instance notices it; none if it never does.
        noticed: Option<u64>,
    },
    BreakNoticed {
        request: usize,
        attempt: usize,
    },
    StartInstance {
        node: usize,
    },
    ResumeInstance {
        node: usize,
    },
    HealWorker {
        worker: usize,
    },
    RestartWorker {
        worker: usize,
        listed: bool,
    },
    /// A worker writes its entry in the list.
    WriteEntry {
        worker: usize,
    },
    ReplaceWorker {
        worker: usize,
    },
    HealZone {
        zone: usize,
    },
    HealInstance {
        node: usize,
    },
}

struct PollRequest {
    worker: WorkerId,
    token: u64,
    acked: u64,
    lease: Option<u64>,
    sent: u64,
    until: u64,
}

/// Returns the peer on whose link an event arrives.
const fn link_of(kind: &EventKind) -> Option<usize> {
    match kind {
        EventKind::Deliver { from, .. } => Some(*from),
        EventKind::LinkDown { peer, .. } => Some(*peer),
        _ => None,
    }
}

struct Event {
    at: u64,
    order: u64,
    kind: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A simulated instance.
pub struct Instance {
    pub node: Option<Node>,
    pub generation: u64,
    pub paused: bool,
    /// Whether it lost power: connections to it time out and are not refused.
    pub silent: bool,
    pub zone: usize,
    /// Offset of its wall clock, in milliseconds.
    pub clock_ahead: u64,
    member: Member,
    // Peers to which it keeps links open.
    wanted_peers: Vec<InstanceId>,
    waiting: VecDeque<EventKind>,
}

/// A caller's request, with all attempts to submit its job.
pub struct Request {
    pub job: Job,
    pub fails: bool,
    /// The task that crashes each worker that runs it.
    pub poisoned: Option<u32>,
    pub attempts: Vec<Attempt>,
    /// Final answer.
    pub outcome: Option<Outcome>,
    /// Time from the submission to the answer, in milliseconds.
    pub took: Option<u64>,
    pub limit: u64,
}

/// One submission of a caller's job.
pub struct Attempt {
    pub node: usize,
    pub generation: u64,
    pub ticket: u64,
    pub answer: Option<Outcome>,
    pub abandoned: bool,
    /// Whether the connection broke without the instance noticing it.
    pub half_open: bool,
}

/// A start request that an owner sent.
pub struct SentStart {
    pub run: RunKey,
    pub at: u64,
    /// The owner and the worker.
    pub node: usize,
    pub worker: usize,
    /// Whether it gets no response.
    pub lost: bool,
}

/// Fault probabilities, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    pub answer_lost: u32,
    pub request_late: u32,
    /// Share of polls without response that are carried out late.
    pub poll_late: u32,
    /// Longest delay of late requests; 0 stands for the platform's bound.
    pub late_limit: u64,
    /// Whether late requests wait at the worker, which also carries them out while it is cut off.
    pub late_at_worker: bool,
    pub caller_leaves: u32,
    /// Share of submissions whose connection breaks on the caller's side only.
    pub half_open: u32,
    /// Share of starts that are carried out within [`SLOW_START`] after their owner counts them as
    /// unanswered.
    pub start_slow: u32,
    /// Interval at which workers carry out the requests that have arrived, in any order and within
    /// one millisecond of their clocks; 0 if each is carried out when it arrives.
    pub batch_ms: u64,
}

/// The simulated system.
pub struct World {
    pub now: u64,
    pub rng: fastrand::Rng,
    // Delays of replicated submissions, so that the other delays of a seed do not depend on their
    // number.
    replication_rng: fastrand::Rng,
    // Order of the requests of a batch and delays of slow starts, so that the other faults of a seed
    // stay the same.
    batch_rng: fastrand::Rng,
    pub instances: Vec<Instance>,
    pub workers: Vec<FakeWorker>,
    pub cut_workers: Vec<usize>,
    pub cut_zones: Vec<usize>,
    // Instances whose messages are held back, and these messages.
    cut_instances: Vec<usize>,
    held_messages: Vec<EventKind>,
    zones: usize,
    pub store: Store,
    pub known_incarnations: KnownIncarnations,
    /// Times at which a worker was taken over from a running instance.
    pub fences: Vec<u64>,
    pub requests: Vec<Request>,
    pub fault_rates: FaultRates,
    pub starts: Vec<RunKey>,
    /// Workers that crashed under runs.
    pub crashes: Vec<Crash>,
    /// Whether crashed workers come back under their id.
    pub keeps_ids: bool,
    /// Base of the time limit of jobs, in milliseconds.
    pub patience: u64,
    /// Start requests that owners sent.
    pub sent_starts: Vec<SentStart>,
    /// Number of messages between instances that arrived.
    pub messages: u64,
    /// Opened workers, with the time.
    pub opened: Vec<(u64, WorkerId)>,
    /// Answers to cancels, by ticket.
    pub cancel_answers: Vec<(u64, CancelOutcome)>,
    /// Whether to print logged events.
    pub verbose: bool,
    /// Violations of the guarantees that were found.
    pub violations: Vec<String>,
    links: Vec<Vec<u64>>,
    // Link that each instance considers up and whose messages it reads.
    read_links: Vec<Vec<u64>>,
    // Time at which the last message of each link arrives.
    arrivals: Vec<Vec<u64>>,
    next_link: u64,
    events: BinaryHeap<Reverse<Event>>,
    order: u64,
}

pub fn need(cores: u32) -> Need {
    Need { cores: Cores::new(cores), memory: Count::new(64), accels: Accels::new(0) }
}

pub fn policy(kind: &str) -> KindSettings {
    KindSettings {
        kind: kind.to_owned(),
        service: "svc".to_owned(),
        priority: 0,
        attempts: 2,
        stretch: 1_600,
        slack: Span::from_ms(60),
        timeout: Span::from_ms(1_500),
    }
}

impl World {
    /// Creates instances of one size and workers, spread evenly over zones, and runs until the
    /// instances have joined.
    pub fn new(seed: u64, zones: usize, instances: usize, workers: usize) -> Self {
        Self::with_cores(seed, zones, &vec![250; instances], workers)
    }

    /// The same with the CPU share of each instance, in thousandths of a core.
    pub fn with_cores(seed: u64, zones: usize, cores: &[u32], workers: usize) -> Self {
        let instances = cores.len();
        let mut rng = fastrand::Rng::with_seed(seed);
        let workers = (0..workers)
            .map(|index| {
                let listed = ListedWorker {
                    id: format!("w-{index}").parse().expect("an id"),
                    service: "svc".to_owned(),
                    addr: ([10, 0, 0, 1], 1_000 + u16::try_from(index).expect("few")).into(),
                    zone: format!("z{}", index % zones),
                    labels: Vec::new(),
                    capacity: need(32_000),
                    draining: false,
                    drained: false,
                    incarnation: Incarnation::new(FIRST_BORN),
                };
                FakeWorker::new(listed, rng.u64(980..=1_000))
            })
            .collect();
        let members = (0..instances).map(|index| Instance {
            node: None,
            generation: 0,
            paused: false,
            silent: false,
            zone: index % zones,
            clock_ahead: 0,
            member: Member {
                id: format!("e-{index}").parse().expect("an id"),
                incarnation: 1,
                zone: format!("z{}", index % zones).parse().expect("a zone"),
                cores: cores[index],
                draining: false,
                core: false,
                joined: false,
                version: 0,
            },
            wanted_peers: Vec::new(),
            waiting: VecDeque::new(),
        });
        let mut world = Self {
            now: 1_000,
            replication_rng: fastrand::Rng::with_seed(rng.clone().u64(..)),
            batch_rng: fastrand::Rng::with_seed(seed.rotate_left(32)),
            rng,
            instances: members.collect(),
            workers,
            cut_workers: Vec::new(),
            cut_zones: Vec::new(),
            cut_instances: Vec::new(),
            held_messages: Vec::new(),
            zones,
            store: Store::new(instances),
            known_incarnations: KnownIncarnations::default(),
            fences: Vec::new(),
            requests: Vec::new(),
            fault_rates: FaultRates::default(),
            starts: Vec::new(),
            crashes: Vec::new(),
            keeps_ids: false,
            patience: 1_500,
            sent_starts: Vec::new(),
            messages: 0,
            opened: Vec::new(),
            cancel_answers: Vec::new(),
            verbose: std::env::var_os("FUZZ_VERBOSE").is_some(),
            violations: Vec::new(),
            links: vec![vec![0; instances]; instances],
            read_links: vec![vec![0; instances]; instances],
            arrivals: vec![vec![0; instances]; instances],
            next_link: 1,
            events: BinaryHeap::new(),
            order: 0,
        };
        for node in 0..instances {
            world.start_instance(node);
        }
        world.run_until(world.now + 2_500);
        world
    }

    fn schedule(&mut self, at: u64, kind: EventKind) {
        self.order += 1;
        let is_request = matches!(
            kind,
            EventKind::PollRequest { .. } | EventKind::Start { .. } | EventKind::Stop { .. }
        );
        let batch = self.fault_rates.batch_ms;
        let (at, order) = if is_request && batch > 0 {
            // After all other events of that millisecond.
            (at.next_multiple_of(batch), self.batch_rng.u64(self.order..))
        } else {
            (at, self.order)
        };
        self.events.push(Reverse(Event { at, order, kind }));
    }

    fn schedule_soon(&mut self, kind: EventKind) {
        let delay = self.rng.u64(1..8);
        self.schedule(self.now + delay, kind);
    }

    /// Processes all events up to a time.
    pub fn run_until(&mut self, end: u64) {
        while self.events.peek().is_some_and(|Reverse(event)| event.at <= end) {
            let Some(Reverse(event)) = self.events.pop() else { break };
            self.now = self.now.max(event.at);
            self.dispatch(event.kind);
            self.check_runs();
        }
        self.now = end;
    }

    fn check_runs(&mut self) {
        let now = self.now;
        for worker in &mut self.workers {
            if worker.up {
                worker.advance(now);
            }
        }
        self.crash_workers();
        let mut tasks: Vec<_> = self
            .workers
            .iter()
            .filter(|worker| worker.up)
            .flat_map(|worker| worker.runs.iter().map(|run| &run.run.task))
            .collect();
        tasks.sort();
        if let Some(pair) = tasks.windows(2).find(|pair| pair[0] == pair[1]) {
            let violation = format!("{}: two concurrent runs of {:?}", now, pair[0]);
            if self.violations.len() < 5 {
                self.violations.push(violation);
            }
        }
    }

    /// Checks that a worker does not have a run that its owner takes for gone.
    fn check_missing(&mut self, node: usize, run: &RunKey, worker: &WorkerId) {
        let has_run = |known: &FakeWorker| {
            known.up && known.listed.id == *worker && known.runs.iter().any(|own| own.run == *run)
        };
        if self.workers.iter().any(has_run) {
            let violation =
                format!("{}: e-{node} takes {run:?} for gone, which {worker} runs", self.now);
            self.violations.push(violation);
        }
    }

    fn dispatch(&mut self, kind: EventKind) {
        if self.is_held_back(&kind) {
            return self.held_messages.push(kind);
        }
        if let Some(node) = self.paused_receiver(&kind) {
            if self.is_deliverable(&kind) {
                self.instances[node].waiting.push_back(kind);
            }
            return;
        }
        if self.is_deliverable(&kind) {
            self.handle(kind);
        }
    }

    /// Returns whether an event reaches its instance; messages on links that are cut or closed do
    /// not.
    fn is_deliverable(&self, kind: &EventKind) -> bool {
        let EventKind::Deliver { from, to, link, .. } = kind else { return true };
        let (from, to, link) = (*from, *to, *link);
        let open = self.links[from][to] == link && self.links[to][from] == link;
        open && self.linked(from, to)
    }

    fn handle(&mut self, kind: EventKind) {
        match kind {
            EventKind::Tick { node, generation } => {
                if self.instances[node].generation != generation {
                    return;
                }
                self.schedule(self.now + TICK, EventKind::Tick { node, generation });
                let wall = self.wall(node);
                self.with_node(node, |n, now, out| n.tick(wall, now, out));
                self.update_drains(node);
            }
            EventKind::Deliver { from, to, link, message } => {
                // A process reads what has arrived until it notices the end of the link.
                if self.read_links[to][from] == link {
                    self.messages += 1;
                    let id = self.id(from);
                    self.with_node(to, |n, now, out| {
                        n.handle_message(&id, *message, now, out);
                        n.process_pending(now, false, out);
                    });
                }
            }
            EventKind::LinkDown { node, peer, link } => self.link_down(node, peer, link),
            EventKind::Connect { a, b } => self.connect(a, b),
            EventKind::PollRequest { node, generation, request } => {
                self.poll(node, generation, request);
            }
            EventKind::LatePoll { node, request, waits } => {
                let now = self.now;
                if let Some(worker) = self.reach_late(node, &request.worker, waits) {
                    worker.poll(request.token, request.acked, request.lease, request.sent, now);
                }
            }
            EventKind::PollResponse { node, generation, result } => {
                if self.instances[node].generation == generation {
                    self.note_incarnation(node, &result);
                    self.with_node(node, |n, now, out| n.handle_poll_result(result, now, out));
                }
            }
            EventKind::Start {
                node,
                generation,
                number,
                worker,
                token,
                run,
                lease,
                sent,
                responds,
                bound_to,
                waits,
            } => {
                let known = self.workers.iter().find(|known| known.listed.id == worker);
                if known.is_some_and(|known| {
                    bound_to.is_some_and(|incarnation| incarnation != known.incarnation())
                }) {
                    return;
                }
                self.start(
                    node, generation, number, &worker, token, &run, lease, sent, responds, waits,
                );
            }
            EventKind::StartResponse { node, generation, worker, number, response, from } => {
                if self.instances[node].generation == generation {
                    self.with_node(node, |n, now, out| {
                        n.handle_start_response_from(&worker, number, response, from, now, out);
                    });
                }
            }
            EventKind::Stop { node, generation, number, worker, token, run, responds, waits } => {
                let now = self.now;
                let reached = self.reach_late(node, &worker, waits);
                let accepted = reached.is_some_and(|w| w.stop(token, &run, now));
                if responds {
                    self.schedule_soon(EventKind::StopResponse {
                        node,
                        generation,
                        number,
                        worker,
                        run,
                        accepted,
                    });
                }
            }
            EventKind::StopResponse { node, generation, number, worker, run, accepted } => {
                if self.instances[node].generation == generation {
                    self.with_node(node, |n, now, out| {
                        n.handle_stop_response_to(&worker, &run, number, accepted, now, out);
                    });
                }
            }
            EventKind::StoreResponse { node, generation, sent, read } => {
                if self.instances[node].generation == generation {
                    self.store_response(node, sent, read);
                }
            }
            EventKind::Submit { request } => self.submit(request),
            EventKind::CallerLeaves { request, attempt } => {
                self.caller_leaves_attempt(request, attempt);
            }
            EventKind::CallerBreaks { request, attempt, noticed } => {
                self.break_attempt(request, attempt);
                if let Some(after) = noticed {
                    let kind = EventKind::BreakNoticed { request, attempt };
                    self.schedule(self.now + after, kind);
                }
            }
            EventKind::BreakNoticed { request, attempt } => {
                let Attempt { node, generation, ticket, .. } =
                    self.requests[request].attempts[attempt];
                if self.instances[node].generation == generation {
                    self.with_node(node, |n, now, out| n.caller_gone(ticket, now, out));
                }
            }
            EventKind::StartInstance { node } => self.start_instance(node),
            EventKind::ResumeInstance { node } => self.resume(node),
            EventKind::RestartWorker { worker, listed } => self.restart_process(worker, listed),
            EventKind::WriteEntry { worker } => self.write_entry(worker),
            EventKind::ReplaceWorker { worker } => self.replace_worker(worker),
            EventKind::HealWorker { worker } => self.cut_workers.retain(|cut| *cut != worker),
            EventKind::HealZone { zone } => self.cut_zones.retain(|cut| *cut != zone),
            EventKind::HealInstance { node } => self.heal_instance(node),
        }
    }

    /// Returns the paused instance for which an event has to wait.
    fn paused_receiver(&self, kind: &EventKind) -> Option<usize> {
        let node = match kind {
            EventKind::Tick { node, .. }
            | EventKind::PollResponse { node, .. }
            | EventKind::StartResponse { node, .. }
            | EventKind::StopResponse { node, .. }
            | EventKind::StoreResponse { node, .. }
            | EventKind::LinkDown { node, .. } => *node,
            EventKind::Deliver { to, .. } => *to,
            _ => return None,
        };
        self.instances[node].paused.then_some(node)
    }

    pub fn id(&self, node: usize) -> InstanceId {
        self.instances[node].member.id.clone()
    }

    fn index(&self, id: &InstanceId) -> usize {
        self.instances.iter().position(|i| i.member.id == *id).expect("a known instance")
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.instances[a].zone, self.instances[b].zone);
        a == b || !(self.cut_zones.contains(&a) || self.cut_zones.contains(&b))
    }

    fn place_of(&self, id: &WorkerId) -> Option<usize> {
        let has_id =
            |worker: &FakeWorker| worker.listed.id == *id || worker.former_ids.contains(id);
        self.workers.iter().position(has_id)
    }

    fn reach(&mut self, node: usize, id: &WorkerId) -> Option<&mut FakeWorker> {
        let place = self.workers.iter().position(|worker| worker.listed.id == *id)?;
        let zone = place % self.zones;
        let cut = zone != self.instances[node].zone
            && (self.cut_zones.contains(&zone)
                || self.cut_zones.contains(&self.instances[node].zone));
        if cut || self.cut_workers.contains(&place) || !self.workers[place].up {
            return None;
        }
        Some(&mut self.workers[place])
    }

    /// Returns whether a late request that is sent now is carried out if its worker is reachable
    /// then.
    fn arrives_late(&mut self, node: usize, id: &WorkerId) -> bool {
        !self.fault_rates.late_at_worker || self.reach(node, id).is_some()
    }

    /// Returns the worker that carries out a late request; `waits` is whether the request has
    /// arrived there before.
    fn reach_late(&mut self, node: usize, id: &WorkerId, waits: bool) -> Option<&mut FakeWorker> {
        if waits {
            self.workers.iter_mut().find(|worker| worker.listed.id == *id && worker.up)
        } else {
            self.reach(node, id)
        }
    }

    fn with_node<T>(
        &mut self,
        node: usize,
        decision: impl FnOnce(&mut Node, Time, &mut Output) -> T,
    ) -> Option<T> {
        let now = Time::from_ms(self.now);
        let mut out = Output::default();
        let result = decision(self.instances[node].node.as_mut()?, now, &mut out);
        let generation = self.instances[node].generation;
        for command in out.commands {
            self.execute(node, generation, command);
        }
        Some(result)
    }

    fn execute(&mut self, node: usize, generation: u64, command: Command) {
        match command {
            Command::Answer { ticket, outcome } => self.answered(node, generation, ticket, outcome),
            Command::AnswerCancel { ticket, outcome } => {
                self.cancel_answers.push((ticket, outcome));
            }
            Command::Send { to, message } => {
                let to = self.index(&to);
                let link = self.links[node][to];
                if link > 0 {
                    // Messages on one link stay in order, those on different links do not.
                    let rng = if matches!(message, Message::Submissions(_)) {
                        &mut self.replication_rng
                    } else {
                        &mut self.rng
                    };
                    let slow = if rng.u32(0..1_000) < 50 { 40 } else { 4 };
                    let at = (self.now + rng.u64(1..slow)).max(self.arrivals[node][to]);
                    self.arrivals[node][to] = at;
                    let message = Box::new(message);
                    self.schedule(at, EventKind::Deliver { from: node, to, link, message });
                }
            }
            Command::SetLinks { peers } => {
                let known =
                    std::mem::replace(&mut self.instances[node].wanted_peers, peers.clone());
                for peer in peers.iter().filter(|peer| known.binary_search(peer).is_err()) {
                    let b = self.index(peer);
                    self.schedule_soon(EventKind::Connect { a: node, b });
                }
            }
            Command::ResetLink { peer } => {
                let peer = self.index(&peer);
                self.read_links[node][peer] = 0;
                self.break_link(node, peer, Some(node));
            }
            Command::Poll { worker, token, timeout, acked, lease, wait, .. } => {
                // A request to a former id names an incarnation that has ended.
                let place = self.place_of(&worker.id);
                if let Some(place) = place.filter(|p| self.workers[*p].listed.id == worker.id) {
                    self.check_incarnation(node, place, lease, Some(acked));
                }
                let until = self.now + wait.as_ms();
                let request = PollRequest {
                    worker: worker.id,
                    token,
                    acked,
                    lease: lease.map(|lease| lease.until),
                    sent: self.now,
                    until,
                };
                if self.chance(self.fault_rates.request_late)
                    || self.loses_response(node, &request.worker)
                        && !self.refuses(node, &request.worker)
                {
                    let at = until + timeout.as_ms();
                    let (worker, sent) = (request.worker.clone(), request.sent);
                    let arrives = self.arrives_late(node, &request.worker);
                    if self.fault_rates.poll_late > 0
                        && self.chance(self.fault_rates.poll_late)
                        && arrives
                    {
                        let delay = self.late_delay();
                        let waits = self.fault_rates.late_at_worker;
                        self.schedule(
                            self.now + delay,
                            EventKind::LatePoll { node, request, waits },
                        );
                    }
                    let response = PollResponse::NoResponse;
                    let result = PollResult { worker, token, sent: Time::from_ms(sent), response };
                    self.schedule(at, EventKind::PollResponse { node, generation, result });
                } else {
                    self.schedule_soon(EventKind::PollRequest { node, generation, request });
                }
            }
            Command::StartRun { number, worker, token, timeout, run, lease, .. } => {
                let (worker, entry) = (worker.id, worker.incarnation);
                let place = self.place_of(&worker).expect("a known worker");
                self.check_zone(node, place);
                if self.workers[place].listed.id == worker {
                    self.check_entry(node, place, entry);
                    self.check_incarnation(node, place, Some(lease), None);
                }
                let late = self.chance(self.fault_rates.request_late);
                let slow = self.fault_rates.start_slow > 0
                    && self.batch_rng.u32(0..1_000) < self.fault_rates.start_slow;
                let lost = late || self.loses_response(node, &worker) || slow;
                let event = EventKind::Start {
                    node,
                    generation,
                    number,
                    worker: worker.clone(),
                    token,
                    run: run.clone(),
                    lease: lease.until,
                    sent: self.now,
                    responds: !lost,
                    bound_to: late.then(|| self.workers[place].incarnation()),
                    waits: late && self.fault_rates.late_at_worker,
                };
                let arrives = self.arrives_late(node, &worker);
                let at = self.now;
                self.sent_starts.push(SentStart {
                    run: run.clone(),
                    at,
                    node,
                    worker: place,
                    lost,
                });
                if late {
                    let delay = self.late_delay();
                    if arrives {
                        self.schedule(self.now + delay, event);
                    }
                } else if slow {
                    let delay = timeout.as_ms() + self.batch_rng.u64(0..SLOW_START);
                    self.schedule(self.now + delay, event);
                } else {
                    self.schedule_soon(event);
                }
                if lost {
                    let (response, from) = (StartResponse::NoResponse, None);
                    let at = self.now + timeout.as_ms();
                    self.schedule(
                        at,
                        EventKind::StartResponse {
                            node,
                            generation,
                            worker,
                            number,
                            response,
                            from,
                        },
                    );
                }
            }
            Command::StopRun { number, worker, token, timeout, run } => {
                let worker = worker.id;
                let lost = self.loses_response(node, &worker);
                let late = self.chance(self.fault_rates.request_late);
                let responds = !lost && !late;
                let event = EventKind::Stop {
                    node,
                    generation,
                    number,
                    worker: worker.clone(),
                    token,
                    run: run.clone(),
                    responds,
                    waits: late && self.fault_rates.late_at_worker,
                };
                if late {
                    let delay = self.late_delay();
                    if self.arrives_late(node, &worker) {
                        self.schedule(self.now + delay, event);
                    }
                } else {
                    self.schedule_soon(event);
                }
                if !responds {
                    let at = self.now + timeout.as_ms();
                    self.schedule(
                        at,
                        EventKind::StopResponse {
                            node,
                            generation,
                            number,
                            worker,
                            run,
                            accepted: false,
                        },
                    );
                }
            }
            Command::Log(event) => {
                if matches!(event, LogEvent::WorkerDropped { cause: DropCause::Fenced, .. }) {
                    self.fences.push(self.now);
                }
                if let LogEvent::RunMissing { run, worker, .. } = &event {
                    self.check_missing(node, run, worker);
                }
                if let LogEvent::WorkerOpened { worker, .. } = &event {
                    self.opened.push((self.now, worker.clone()));
                }
                if self.verbose {
                    println!("{} e-{node} {event:?}", self.now);
                }
            }
            Command::ApplySettings { .. } => {}
        }
    }

    fn chance(&mut self, permille: u32) -> bool {
        self.rng.u32(0..1_000) < permille
    }

    fn late_delay(&mut self) -> u64 {
        let end = match self.fault_rates.late_limit {
            0 => LATE_DELAY.end,
            limit => limit,
        };
        self.rng.u64(LATE_DELAY.start..end)
    }

    fn loses_response(&mut self, node: usize, worker: &WorkerId) -> bool {
        self.reach(node, worker).is_none() || self.chance(self.fault_rates.answer_lost)
    }

    fn poll(&mut self, node: usize, generation: u64, request: PollRequest) {
        let now = self.now;
        if self.successor_of(node, &request.worker).is_some() {
            let PollRequest { worker, token, sent, .. } = request;
            let response = PollResponse::OtherIncarnation;
            let result = PollResult { worker, token, sent: Time::from_ms(sent), response };
            self.schedule_soon(EventKind::PollResponse { node, generation, result });
            return;
        }
        if self.refuses(node, &request.worker) {
            let PollRequest { worker, token, sent, .. } = request;
            let response = PollResponse::Refused;
            let result = PollResult { worker, token, sent: Time::from_ms(sent), response };
            self.schedule_soon(EventKind::PollResponse { node, generation, result });
            return;
        }
        let Some(worker) = self.reach(node, &request.worker) else {
            let PollRequest { worker, token, sent, .. } = request;
            let response = PollResponse::NoResponse;
            let result = PollResult { worker, token, sent: Time::from_ms(sent), response };
            let at = now + RESPONSE_TIMEOUT;
            self.schedule(at, EventKind::PollResponse { node, generation, result });
            return;
        };
        let response = worker.poll(request.token, request.acked, request.lease, request.sent, now);
        let waits = matches!(&response, PollResponse::Status(seen) if seen.ended.is_empty());
        if waits && now < request.until {
            self.schedule(now + POLL_STEP, EventKind::PollRequest { node, generation, request });
            return;
        }
        let PollRequest { worker, token, sent, .. } = request;
        let result = PollResult { worker, token, sent: Time::from_ms(sent), response };
        self.schedule_soon(EventKind::PollResponse { node, generation, result });
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    fn start(
        &mut self,
        node: usize,
        generation: u64,
        number: u64,
        worker: &WorkerId,
        token: u64,
        run: &RunKey,
        lease: u64,
        sent: u64,
        responds: bool,
        waits: bool,
    ) {
        let now = self.now;
        let request = self.requests.iter().find(|r| r.job.name == run.task.job);
        let Some(request) = request else {
            self.violations.push(format!("{now}: start of an unknown job: {run:?}"));
            return;
        };
        let step = &request.job.steps[run.task.step as usize];
        let (need, fails) = (step.need, request.fails);
        let crashes = request.poisoned == Some(run.task.task);
        let length = step.declared.as_ms() * self.rng.u64(500..2_000) / 1_000;
        let work = WorkerRun {
            run: run.clone(),
            need,
            since: now,
            until: now + length.max(5),
            fails,
            crashes,
            stopped: None,
        };
        if let (true, Some(place)) = (responds, self.successor_of(node, worker)) {
            let (worker, response) = (worker.clone(), StartResponse::OtherIncarnation);
            let fake = &self.workers[place];
            let from = Some((fake.clock(now), fake.incarnation()));
            self.schedule_soon(EventKind::StartResponse {
                node,
                generation,
                worker,
                number,
                response,
                from,
            });
            return;
        }
        let Some(fake) = self.reach_late(node, worker, waits) else {
            if responds {
                let (worker, response, from) = (worker.clone(), StartResponse::NoResponse, None);
                let at = now + RESPONSE_TIMEOUT;
                self.schedule(
                    at,
                    EventKind::StartResponse { node, generation, worker, number, response, from },
                );
            }
            return;
        };
        let response = fake.start(token, work, lease, sent, now);
        let from = Some((fake.clock(now), fake.incarnation()));
        let exceeds = response == StartResponse::Started && fake.is_overloaded(now);
        if response == StartResponse::Started {
            self.starts.push(run.clone());
        }
        if exceeds {
            self.violations.push(format!("{now}: {run:?} exceeds the capacity of {worker}"));
        }
        if response == StartResponse::Started {
            self.check_limits(worker, run);
        }
        if responds {
            let worker = worker.clone();
            self.schedule_soon(EventKind::StartResponse {
                node,
                generation,
                worker,
                number,
                response,
                from,
            });
        }
    }

    /// Starts an instance, or restarts it without its earlier state.
    pub fn start_instance(&mut self, node: usize) {
        let now = Time::from_ms(self.now);
        let listed: Vec<ListedWorker> = self.listed();
        let instance = &mut self.instances[node];
        instance.generation += 1;
        instance.member.incarnation += 1;
        instance.paused = false;
        instance.silent = false;
        instance.waiting.clear();
        instance.node = Some(Node::new(instance.member.clone(), now));
        let generation = instance.generation;
        let wall = self.wall(node);
        self.with_node(node, |n, now, out| n.apply_settings(1, Bytes::new(), now, out));
        self.with_node(node, |n, now, out| n.replace_worker_list(listed, wall, now, out));
        self.read_store_at_start(node);
        let all =
            self.instances.iter().map(|instance| InstanceInfo::from(&instance.member)).collect();
        self.with_node(node, |n, _, _| n.replace_instances(all));
        self.schedule(self.now + 1, EventKind::Tick { node, generation });
        self.instances[node].wanted_peers.clear();
    }

    fn wall(&self, node: usize) -> u64 {
        WALL + self.now + self.instances[node].clock_ahead
    }

    fn listed(&self) -> Vec<ListedWorker> {
        self.workers.iter().map(|worker| worker.listed.clone()).collect()
    }

    /// Sends the current list of workers to all running instances.
    pub fn publish_workers(&mut self) {
        let awake = |node: &usize| !self.instances[*node].paused;
        let awake: Vec<usize> = (0..self.instances.len()).filter(awake).collect();
        for node in awake {
            self.send_worker_list(node);
        }
    }

    fn send_worker_list(&mut self, node: usize) {
        let (listed, wall) = (self.listed(), self.wall(node));
        self.with_node(node, |n, now, out| n.replace_worker_list(listed, wall, now, out));
    }

    fn wants(&self, node: usize, peer: usize) -> bool {
        self.instances[node].wanted_peers.binary_search(&self.instances[peer].member.id).is_ok()
    }

    fn connect(&mut self, a: usize, b: usize) {
        let alive = |i: &Instance| i.node.is_some() && !i.paused;
        let both = alive(&self.instances[a]) && alive(&self.instances[b]);
        let (there, back) = (self.links[a][b], self.links[b][a]);
        if there > 0 && there == back || !(self.wants(a, b) || self.wants(b, a)) {
            return;
        }
        if !both || !self.linked(a, b) {
            for (node, peer) in [(a, b), (b, a)] {
                // Connections are refused where a process has ended.
                let is_gone = self.instances[peer].node.is_none() && !self.instances[peer].silent;
                if is_gone && alive(&self.instances[node]) && self.linked(a, b) {
                    let id = self.id(peer);
                    self.with_node(node, |n, now, out| n.peer_gone(&id, now, out));
                }
            }
            self.schedule(self.now + 200, EventKind::Connect { a, b });
            return;
        }
        // A side that has not noticed the end of an earlier link learns of it from the new one.
        for (node, peer, stale) in [(a, b, there), (b, a, back)] {
            if stale > 0 {
                let id = self.id(peer);
                self.with_node(node, |n, now, out| n.link_down(&id, now, out));
            }
        }
        let link = self.next_link;
        self.next_link += 1;
        self.links[a][b] = link;
        self.links[b][a] = link;
        self.read_links[a][b] = link;
        self.read_links[b][a] = link;
        let (for_a, for_b) = (self.instances[b].member.clone(), self.instances[a].member.clone());
        self.with_node(a, |n, now, out| n.link_up(for_a, now, out));
        self.with_node(b, |n, now, out| n.link_up(for_b, now, out));
    }

    /// Resets the link between two running instances, including messages in flight.
    pub fn reset_link(&mut self, a: usize, b: usize) {
        self.break_link(a, b, None);
    }

    /// Closes a link; each side that did not close it learns of it later, if it can.
    fn break_link(&mut self, a: usize, b: usize, by: Option<usize>) {
        let link = self.links[a][b];
        if link == 0 {
            return;
        }
        self.links[a][b] = 0;
        self.links[b][a] = 0;
        for (node, peer) in [(a, b), (b, a)] {
            if by != Some(node) {
                self.schedule_soon(EventKind::LinkDown { node, peer, link });
            }
        }
        self.schedule(self.now + 10, EventKind::Connect { a, b });
    }

    fn link_down(&mut self, node: usize, peer: usize, link: u64) {
        // If there is a later link, the end of this one was noticed when it came up.
        if self.links[node][peer] > link {
            return;
        }
        self.read_links[node][peer] = 0;
        let id = self.id(peer);
        self.with_node(node, |n, now, out| n.link_down(&id, now, out));
    }

    /// Ends an instance. With `silent`, peers and callers notice only that it is unresponsive.
    pub fn kill(&mut self, node: usize, silent: bool, down: u64) {
        if self.instances[node].node.is_none() {
            return;
        }
        self.instances[node].node = None;
        self.instances[node].silent = silent;
        self.instances[node].generation += 1;
        self.instances[node].waiting.clear();
        self.read_links[node].fill(0);
        for peer in 0..self.instances.len() {
            if peer != node && !silent {
                self.break_link(node, peer, Some(node));
            } else if self.links[node][peer] > 0 {
                // The peers detect it by their own timeout.
                self.links[node][peer] = 0;
            }
        }
        self.break_callers(node, silent);
        self.schedule(self.now + down, EventKind::StartInstance { node });
    }

    fn break_callers(&mut self, node: usize, silent: bool) {
        let waits = |r: &Request| {
            r.outcome.is_none()
                && r.attempts
                    .last()
                    .is_some_and(|a| a.node == node && a.answer.is_none() && !a.abandoned)
        };
        let broken: Vec<usize> =
            (0..self.requests.len()).filter(|index| waits(&self.requests[*index])).collect();
        for request in broken {
            let at = if silent { self.requests[request].limit.max(self.now) } else { self.now };
            if let Some(attempt) = self.requests[request].attempts.last_mut() {
                attempt.abandoned = true;
            }
            self.schedule(at + RESEND, EventKind::Submit { request });
        }
    }

    /// Pauses an instance's process for a while.
    pub fn pause(&mut self, node: usize, span: u64) {
        if self.instances[node].node.is_some() && !self.instances[node].paused {
            self.instances[node].paused = true;
            self.schedule(self.now + span, EventKind::ResumeInstance { node });
        }
    }

    // After a pause, timers and sockets are handled in any order, but each link from its oldest
    // message on, and one after the other on a small CPU share.
    fn resume(&mut self, node: usize) {
        let count = self.instances[node].waiting.len();
        if count == 0 || self.instances[node].node.is_none() {
            self.instances[node].paused = false;
            if self.instances[node].node.is_some() {
                // What the store would have sent during the pause is requested again.
                self.read_store(node, self.now);
                self.send_worker_list(node);
            }
            return;
        }
        let drawn = if self.rng.bool() { 0 } else { self.rng.usize(0..count) };
        let waiting = &mut self.instances[node].waiting;
        let link = link_of(&waiting[drawn]);
        let oldest = waiting.iter().position(|kind| link.is_some() && link_of(kind) == link);
        let kind = waiting.remove(oldest.unwrap_or(drawn));
        kind.into_iter().for_each(|kind| self.handle(kind));
        let pause = self.rng.u64(0..RESUME_STEP);
        self.schedule(self.now + pause, EventKind::ResumeInstance { node });
    }

    /// Requests a graceful shutdown; the instance runs on until the test ends it.
    pub fn drain(&mut self, node: usize, grace: u64) {
        self.with_node(node, |n, now, out| n.begin_shutdown(Span::from_ms(grace), now, out));
    }

    /// Cuts a zone off from the other zones.
    pub fn cut_zone(&mut self, zone: usize, span: u64) {
        if !self.cut_zones.contains(&zone) {
            self.cut_zones.push(zone);
            self.schedule(self.now + span, EventKind::HealZone { zone });
        }
    }

    /// Cuts a worker off from all instances; its runs continue.
    pub fn cut_worker(&mut self, worker: usize, span: u64) {
        if !self.cut_workers.contains(&worker) {
            self.cut_workers.push(worker);
            self.schedule(self.now + span, EventKind::HealWorker { worker });
        }
    }

    /// Submits a job at a random instance and returns the index of the request.
    pub fn request(
        &mut self,
        name: u64,
        tasks: u32,
        cores: u32,
        run_ms: u64,
        fails: bool,
    ) -> usize {
        let step =
            Step { tasks, need: need(cores), declared: Span::from_ms(run_ms), ..Step::default() };
        self.request_step(name, step, policy("k"), fails)
    }

    /// Submits a job of one step at a random instance and returns the index of the request.
    pub fn request_step(
        &mut self,
        name: u64,
        step: Step,
        settings: KindSettings,
        fails: bool,
    ) -> usize {
        let limit = self.now + self.patience + step.declared.as_ms() * 4;
        let job = Job {
            name: format!("{name:016x}"),
            settings: Arc::new(settings),
            payload: "x".into(),
            steps: vec![step],
            arrived: Time::from_ms(self.now),
            deadline: Time::from_ms(limit),
        };
        self.requests.push(Request {
            job,
            fails,
            poisoned: None,
            attempts: Vec::new(),
            outcome: None,
            took: None,
            limit,
        });
        let request = self.requests.len() - 1;
        self.submit(request);
        if self.chance(self.fault_rates.caller_leaves) {
            let delay = self.rng.u64(1..400);
            self.schedule(self.now + delay, EventKind::CallerLeaves { request, attempt: 0 });
        }
        request
    }

    fn submit(&mut self, request: usize) {
        if self.requests[request].outcome.is_some() || self.requests[request].attempts.len() > 4 {
            return;
        }
        let mut alive: Vec<usize> = (0..self.instances.len())
            .filter(|node| self.instances[*node].node.is_some() && !self.instances[*node].paused)
            .collect();
        if let Some(former) = self.requests[request].attempts.last().filter(|last| last.half_open)
            && alive.len() > 1
        {
            alive.retain(|node| *node != former.node);
        }
        if alive.is_empty() {
            self.schedule(self.now + RESEND, EventKind::Submit { request });
            return;
        }
        let node = alive[self.rng.usize(0..alive.len())];
        let generation = self.instances[node].generation;
        let attempt = self.requests[request].attempts.len() as u64;
        let ticket = request as u64 * 10 + attempt;
        let mut job = self.requests[request].job.clone();
        let patience = job.deadline.since(job.arrived);
        job.arrived = Time::from_ms(self.now);
        job.deadline = job.arrived + patience;
        self.requests[request].limit = self.now + patience.as_ms();
        self.requests[request].attempts.push(Attempt {
            node,
            generation,
            ticket,
            answer: None,
            abandoned: false,
            half_open: false,
        });
        self.with_node(node, |n, now, out| n.submit(ticket, job, now, out));
        // No number is drawn at a rate of 0, so that the faults of earlier seeds stay the same.
        if self.fault_rates.half_open > 0 && self.chance(self.fault_rates.half_open) {
            let at = self.now + self.rng.u64(1..HALF_OPEN_DELAY);
            let attempt = self.requests[request].attempts.len() - 1;
            let noticed = self.rng.bool().then(|| self.rng.u64(1..NOTICE_DELAY));
            self.schedule(at, EventKind::CallerBreaks { request, attempt, noticed });
        }
    }

    /// Breaks the connection of a request's last submission on the caller's side only: the instance
    /// keeps the job, and the caller sends it again at another instance.
    pub fn break_caller(&mut self, request: usize) {
        self.break_attempt(request, self.requests[request].attempts.len() - 1);
    }

    fn break_attempt(&mut self, request: usize, attempt: usize) {
        let Some(made) = self.requests[request].attempts.get_mut(attempt) else { return };
        if made.abandoned || made.answer.is_some() {
            return;
        }
        (made.abandoned, made.half_open) = (true, true);
        self.schedule(self.now + RESEND, EventKind::Submit { request });
    }

    /// Lets callers resubmit whose deadline passed without an answer, such as those of a paused
    /// instance.
    pub fn time_out_callers(&mut self) {
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            if request.outcome.is_some() || self.now < request.limit {
                continue;
            }
            let limit = request.limit;
            let Some(attempt) = request.attempts.last_mut() else { continue };
            if attempt.answer.is_some() || attempt.abandoned {
                continue;
            }
            attempt.abandoned = true;
            self.schedule((limit + RESEND).max(self.now), EventKind::Submit { request: index });
        }
    }

    /// Disconnects the caller of a job that was submitted once.
    pub fn disconnect_caller(&mut self, request: usize) {
        self.caller_leaves_attempt(request, 0);
    }

    fn caller_leaves_attempt(&mut self, request: usize, attempt: usize) {
        let Some(made) = self.requests[request].attempts.get_mut(attempt) else { return };
        if made.abandoned || made.answer.is_some() {
            return;
        }
        made.abandoned = true;
        let (node, ticket, generation) = (made.node, made.ticket, made.generation);
        self.requests[request].outcome = Some(Outcome::GivenUp);
        if self.instances[node].generation == generation && !self.instances[node].paused {
            self.with_node(node, |n, now, out| n.caller_gone(ticket, now, out));
        }
    }

    fn answered(&mut self, node: usize, generation: u64, ticket: u64, outcome: Outcome) {
        let request = usize::try_from(ticket / 10).expect("small");
        let Some(attempt) = self.requests[request]
            .attempts
            .iter_mut()
            .find(|a| a.ticket == ticket && a.node == node && a.generation == generation)
        else {
            return;
        };
        if attempt.answer.replace(outcome).is_some() {
            self.violations.push(format!("{}: two answers to one attempt", self.now));
        }
        if attempt.abandoned {
            return;
        }
        if outcome == Outcome::GivenUp {
            self.schedule(self.now + RESEND, EventKind::Submit { request });
        } else {
            self.requests[request].outcome = Some(outcome);
            let took = self.now - self.requests[request].job.arrived.as_ms();
            self.requests[request].took = Some(took);
        }
        self.check_answer(request, outcome);
    }

    fn check_answer(&mut self, request: usize, outcome: Outcome) {
        self.check_runs();
        let name = self.requests[request].job.name.clone();
        if outcome == Outcome::Completed {
            for task in 0..self.requests[request].job.steps[0].tasks {
                let ended = |run: &&RunKey| run.task.job == name && run.task.task == task;
                let mut done = self.workers.iter().flat_map(|worker| &worker.done);
                if !done.any(|run| ended(&run)) {
                    self.violations
                        .push(format!("{}: {name} completed without task {task}", self.now));
                }
            }
        }
        if outcome == Outcome::Failed
            && !self.requests[request].fails
            && !self.has_crashed_two_workers(&name)
        {
            self.violations.push(format!("{}: {name} failed without a cause", self.now));
        }
    }

    /// Checks what must hold once everything has settled.
    pub fn check_end(&mut self) {
        for request in &self.requests {
            let name = &request.job.name;
            let refused =
                request.attempts.iter().all(|a| matches!(a.answer, Some(Outcome::NotRun { .. })));
            if refused && self.starts.iter().any(|run| run.task.job == *name) {
                self.violations.push(format!("{name} was refused and ran"));
            }
            if request.outcome.is_none() && request.attempts.len() < 5 {
                self.violations.push(format!("{name} was not answered"));
            }
        }
        for worker in &self.workers {
            if !worker.runs.is_empty() {
                self.violations.push(format!("{} still runs {:?}", worker.listed.id, worker.runs));
            }
        }
    }
}
