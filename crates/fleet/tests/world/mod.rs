//! Instances, workers and the messages between them, in one thread and in simulated time.
//!
//! The oracle checks what workers and callers see: no task runs twice at a time, an answer is true,
//! and every caller whose instance lives is answered.

#![allow(dead_code, reason = "each test file uses a part of the world")]

mod lives;
mod worker;
mod zones;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
};

use bytes::Bytes;
use cranberryhatch_fleet::{
    Command, DrainRead, DropCause, Job, KindSettings, Known, Life, Listed, LogEvent, Member,
    Message, Need, Node, Outcome, Output, PollResponse, PollResult, RunKey, StartResponse, Step,
};
use cranberryhatch_types::{Accels, Cores, Count, InstanceId, Span, Time, WorkerId};

pub use lives::Met;
pub use worker::{AtWork, FakeWorker};
pub use zones::Store;

/// Time between two ticks of an instance.
const TICK: u64 = 20;
/// Unix time of the world's start.
const WALL: u64 = 1_800_000_000_000;
/// Time after which a caller whose connection broke sends its job again.
const RESEND: u64 = 1_300;
/// Longest time between two events that an instance handles after a pause.
const RESUME_STEP: u64 = 4;
/// Time that a worker may hold a look open.
const LOOK_STEP: u64 = 10;
/// Time after which a request to a worker counts as lost.
const ANSWER_LIMIT: u64 = 200;

/// What happens at a moment.
enum Happening {
    Tick {
        node: usize,
        life: u64,
    },
    Deliver {
        from: usize,
        to: usize,
        session: u64,
        message: Box<Message>,
    },
    LinkDown {
        node: usize,
        peer: usize,
        session: u64,
    },
    Connect {
        a: usize,
        b: usize,
    },
    Look {
        node: usize,
        life: u64,
        look: Look,
    },
    LateLook {
        node: usize,
        look: Look,
    },
    PollResponse {
        node: usize,
        life: u64,
        looked: PollResult,
    },
    Start {
        node: usize,
        life: u64,
        worker: WorkerId,
        token: u64,
        run: RunKey,
        lease: u64,
        sent: u64,
        answered: bool,
        // Life whose process holds an order that it carries out late.
        held_by: Option<Life>,
    },
    StartResponse {
        node: usize,
        life: u64,
        worker: WorkerId,
        run: RunKey,
        answer: StartResponse,
        from: Option<(u64, Life)>,
    },
    Stop {
        node: usize,
        life: u64,
        worker: WorkerId,
        token: u64,
        run: RunKey,
        answered: bool,
    },
    StopAnswer {
        node: usize,
        life: u64,
        worker: WorkerId,
        run: RunKey,
        accepted: bool,
    },
    StoreAnswer {
        node: usize,
        life: u64,
        asked: u64,
        read: Option<DrainRead>,
    },
    Submit {
        request: usize,
    },
    Leave {
        request: usize,
        attempt: usize,
    },
    Revive {
        node: usize,
    },
    Resume {
        node: usize,
    },
    Heal {
        worker: usize,
    },
    Reborn {
        worker: usize,
        listed: bool,
    },
    HealZone {
        zone: usize,
    },
}

struct Look {
    worker: WorkerId,
    token: u64,
    acked: u64,
    lease: Option<u64>,
    asked: u64,
    until: u64,
}

/// The peer on whose link an event comes.
const fn link_of(what: &Happening) -> Option<usize> {
    match what {
        Happening::Deliver { from, .. } => Some(*from),
        Happening::LinkDown { peer, .. } => Some(*peer),
        _ => None,
    }
}

struct Event {
    at: u64,
    order: u64,
    what: Happening,
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

/// One instance.
pub struct Instance {
    pub node: Option<Node>,
    pub life: u64,
    pub frozen: bool,
    /// Whether it lost power: it refuses no connections.
    pub dark: bool,
    pub zone: usize,
    /// How far its time of day is ahead, in milliseconds.
    pub ahead: u64,
    member: Member,
    // Peers to which it keeps links open.
    wanted: Vec<InstanceId>,
    waiting: VecDeque<Happening>,
}

/// A caller's request, with all attempts to hand the job in.
pub struct Request {
    pub job: Job,
    pub fails: bool,
    pub attempts: Vec<Attempt>,
    /// Answer that ended it.
    pub outcome: Option<Outcome>,
    /// Time from the first submission to the answer.
    pub took: Option<u64>,
    pub limit: u64,
}

/// One attempt of a caller.
pub struct Attempt {
    pub node: usize,
    pub life: u64,
    pub ticket: u64,
    pub answer: Option<Outcome>,
    pub left: bool,
}

/// A start that an owner ordered.
pub struct Ordered {
    pub run: RunKey,
    pub at: u64,
    /// Whether it gets no answer.
    pub lost: bool,
}

/// How likely something goes wrong, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct Odds {
    pub answer_lost: u32,
    pub order_late: u32,
    /// Of looks that get no answer, how many are carried out late.
    pub look_late: u32,
    pub caller_leaves: u32,
}

/// The world.
pub struct World {
    pub now: u64,
    pub rng: fastrand::Rng,
    pub instances: Vec<Instance>,
    pub workers: Vec<FakeWorker>,
    pub cut_workers: Vec<usize>,
    pub cut_zones: Vec<usize>,
    zones: usize,
    pub store: Store,
    pub met: Met,
    /// When a worker was taken from an instance that lives.
    pub fences: Vec<u64>,
    pub requests: Vec<Request>,
    pub odds: Odds,
    pub starts: Vec<RunKey>,
    /// Starts that were ordered.
    pub orders: Vec<Ordered>,
    /// Messages between instances that arrived.
    pub messages: u64,
    /// Workers that were opened, and when.
    pub opened: Vec<(u64, WorkerId)>,
    /// Prints decisions.
    pub verbose: bool,
    /// Broken promises.
    pub faults: Vec<String>,
    sessions: Vec<Vec<u64>>,
    // The link that each instance takes for up, whose messages it reads.
    read_from: Vec<Vec<u64>>,
    // When the last message of each link arrives.
    arrivals: Vec<Vec<u64>>,
    next_session: u64,
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
    /// Instances of one size and workers, spread evenly over zones, that have joined.
    pub fn new(seed: u64, zones: usize, instances: usize, workers: usize) -> Self {
        Self::with_cores(seed, zones, &vec![250; instances], workers)
    }

    /// The same with the processor share of each instance, in thousandths of a core.
    pub fn with_cores(seed: u64, zones: usize, cores: &[u32], workers: usize) -> Self {
        let instances = cores.len();
        let mut rng = fastrand::Rng::with_seed(seed);
        let workers = (0..workers)
            .map(|index| {
                let listed = Listed {
                    id: format!("w-{index}").parse().expect("an id"),
                    service: "svc".to_owned(),
                    addr: ([10, 0, 0, 1], 1_000 + u16::try_from(index).expect("few")).into(),
                    zone: format!("z{}", index % zones),
                    labels: Vec::new(),
                    room: need(32_000),
                    draining: false,
                    drained: false,
                    life: Life::new(1),
                };
                FakeWorker::new(listed, rng.u64(980..=1_000))
            })
            .collect();
        let members = (0..instances).map(|index| Instance {
            node: None,
            life: 0,
            frozen: false,
            dark: false,
            zone: index % zones,
            ahead: 0,
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
            wanted: Vec::new(),
            waiting: VecDeque::new(),
        });
        let mut world = Self {
            now: 1_000,
            rng,
            instances: members.collect(),
            workers,
            cut_workers: Vec::new(),
            cut_zones: Vec::new(),
            zones,
            store: Store::new(instances),
            met: Met::default(),
            fences: Vec::new(),
            requests: Vec::new(),
            odds: Odds::default(),
            starts: Vec::new(),
            orders: Vec::new(),
            messages: 0,
            opened: Vec::new(),
            verbose: std::env::var_os("FUZZ_VERBOSE").is_some(),
            faults: Vec::new(),
            sessions: vec![vec![0; instances]; instances],
            read_from: vec![vec![0; instances]; instances],
            arrivals: vec![vec![0; instances]; instances],
            next_session: 1,
            events: BinaryHeap::new(),
            order: 0,
        };
        for node in 0..instances {
            world.revive(node);
        }
        world.run_until(world.now + 2_500);
        world
    }

    fn at(&mut self, at: u64, what: Happening) {
        self.order += 1;
        self.events.push(Reverse(Event { at, order: self.order, what }));
    }

    fn later(&mut self, what: Happening) {
        let delay = self.rng.u64(1..8);
        self.at(self.now + delay, what);
    }

    /// Runs everything that is due before a time.
    pub fn run_until(&mut self, end: u64) {
        while self.events.peek().is_some_and(|Reverse(event)| event.at <= end) {
            let Some(Reverse(event)) = self.events.pop() else { break };
            self.now = self.now.max(event.at);
            self.happen(event.what);
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
        let mut tasks: Vec<_> = self
            .workers
            .iter()
            .filter(|worker| worker.up)
            .flat_map(|worker| worker.runs.iter().map(|run| &run.run.task))
            .collect();
        tasks.sort();
        if let Some(pair) = tasks.windows(2).find(|pair| pair[0] == pair[1]) {
            let fault = format!("{}: two runs of {:?} at one time", now, pair[0]);
            if self.faults.len() < 5 {
                self.faults.push(fault);
            }
        }
    }

    fn happen(&mut self, what: Happening) {
        if let Some(node) = self.held_up(&what) {
            if self.arrives(&what) {
                self.instances[node].waiting.push_back(what);
            }
            return;
        }
        if self.arrives(&what) {
            self.handle(what);
        }
    }

    /// Whether an event comes to its instance; messages on links that are cut or over do not.
    fn arrives(&self, what: &Happening) -> bool {
        let Happening::Deliver { from, to, session, .. } = what else { return true };
        let (from, to, session) = (*from, *to, *session);
        let open = self.sessions[from][to] == session && self.sessions[to][from] == session;
        open && self.linked(from, to)
    }

    fn handle(&mut self, what: Happening) {
        match what {
            Happening::Tick { node, life } => {
                if self.instances[node].life != life {
                    return;
                }
                self.at(self.now + TICK, Happening::Tick { node, life });
                let wall = self.wall(node);
                self.decide(node, |n, now, out| n.tick(wall, now, out));
                self.ask_store(node);
            }
            Happening::Deliver { from, to, session, message } => {
                // A process reads what has arrived until it notices the end of the link.
                if self.read_from[to][from] == session {
                    self.messages += 1;
                    let id = self.id(from);
                    self.decide(to, |n, now, out| {
                        n.message(&id, *message, now, out);
                        n.settle(now, false, out);
                    });
                }
            }
            Happening::LinkDown { node, peer, session } => self.link_down(node, peer, session),
            Happening::Connect { a, b } => self.connect(a, b),
            Happening::Look { node, life, look } => self.look(node, life, look),
            Happening::LateLook { node, look } => {
                let now = self.now;
                if let Some(worker) = self.reach(node, &look.worker) {
                    worker.look(look.token, look.acked, look.lease, look.asked, now);
                }
            }
            Happening::PollResponse { node, life, looked } => {
                if self.instances[node].life == life {
                    self.meet(node, &looked);
                    self.decide(node, |n, now, out| n.looked(looked, now, out));
                }
            }
            Happening::Start { node, life, worker, token, run, lease, sent, answered, held_by } => {
                let known = self.workers.iter().find(|known| known.listed.id == worker);
                if known.is_some_and(|known| held_by.is_some_and(|life| life != known.life())) {
                    return;
                }
                self.start(node, life, &worker, token, run, lease, sent, answered);
            }
            Happening::StartResponse { node, life, worker, run, answer, from } => {
                if self.instances[node].life == life {
                    self.decide(node, |n, now, out| {
                        n.started_in(&worker, &run, answer, from, now, out);
                    });
                }
            }
            Happening::Stop { node, life, worker, token, run, answered } => {
                let now = self.now;
                let accepted = self.reach(node, &worker).is_some_and(|w| w.stop(token, &run, now));
                if answered {
                    self.later(Happening::StopAnswer { node, life, worker, run, accepted });
                }
            }
            Happening::StopAnswer { node, life, worker, run, accepted } => {
                if self.instances[node].life == life {
                    self.decide(node, |n, now, out| n.stopped(&worker, &run, accepted, now, out));
                }
            }
            Happening::StoreAnswer { node, life, asked, read } => {
                if self.instances[node].life == life {
                    self.store_answer(node, asked, read);
                }
            }
            Happening::Submit { request } => self.submit(request),
            Happening::Leave { request, attempt } => self.leave(request, attempt),
            Happening::Revive { node } => self.revive(node),
            Happening::Resume { node } => self.resume(node),
            Happening::Reborn { worker, listed } => self.begin_life(worker, listed),
            Happening::Heal { worker } => self.cut_workers.retain(|cut| *cut != worker),
            Happening::HealZone { zone } => self.cut_zones.retain(|cut| *cut != zone),
        }
    }

    /// The frozen instance that an event has to wait for.
    fn held_up(&self, what: &Happening) -> Option<usize> {
        let node = match what {
            Happening::Tick { node, .. }
            | Happening::PollResponse { node, .. }
            | Happening::StartResponse { node, .. }
            | Happening::StopAnswer { node, .. }
            | Happening::StoreAnswer { node, .. }
            | Happening::LinkDown { node, .. } => *node,
            Happening::Deliver { to, .. } => *to,
            _ => return None,
        };
        self.instances[node].frozen.then_some(node)
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
        self.workers.iter().position(|worker| worker.listed.id == *id)
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

    fn decide<T>(
        &mut self,
        node: usize,
        decision: impl FnOnce(&mut Node, Time, &mut Output) -> T,
    ) -> Option<T> {
        let now = Time::from_ms(self.now);
        let mut out = Output::default();
        let result = decision(self.instances[node].node.as_mut()?, now, &mut out);
        let life = self.instances[node].life;
        for command in out.commands {
            self.carry_out(node, life, command);
        }
        Some(result)
    }

    fn carry_out(&mut self, node: usize, life: u64, command: Command) {
        match command {
            Command::Answer { ticket, outcome } => self.answered(node, life, ticket, outcome),
            Command::Send { to, message } => {
                let to = self.index(&to);
                let session = self.sessions[node][to];
                if session > 0 {
                    // Messages of one link stay in order, those of different links do not.
                    let slow = if self.roll(50) { 40 } else { 4 };
                    let at = (self.now + self.rng.u64(1..slow)).max(self.arrivals[node][to]);
                    self.arrivals[node][to] = at;
                    let message = Box::new(message);
                    self.at(at, Happening::Deliver { from: node, to, session, message });
                }
            }
            Command::Links { peers } => {
                let known = std::mem::replace(&mut self.instances[node].wanted, peers.clone());
                for peer in peers.iter().filter(|peer| known.binary_search(peer).is_err()) {
                    let b = self.index(peer);
                    self.later(Happening::Connect { a: node, b });
                }
            }
            Command::Unlink { peer } => {
                let peer = self.index(&peer);
                self.read_from[node][peer] = 0;
                self.break_link(node, peer, Some(node));
            }
            Command::Poll { worker, token, patience, acked, lease, wait, .. } => {
                if let Some(place) = self.place_of(&worker.id) {
                    self.check_life(node, place, lease, Some(acked));
                }
                let until = self.now + wait.as_ms();
                let look = Look {
                    worker: worker.id,
                    token,
                    acked,
                    lease: lease.map(|lease| lease.until),
                    asked: self.now,
                    until,
                };
                if self.roll(self.odds.order_late) || self.loses(node, &look.worker) {
                    let at = until + patience.as_ms();
                    let (worker, asked) = (look.worker.clone(), look.asked);
                    if self.odds.look_late > 0 && self.roll(self.odds.look_late) {
                        let delay = self.rng.u64(2_000..12_000);
                        self.at(self.now + delay, Happening::LateLook { node, look });
                    }
                    let answer = PollResponse::Lost;
                    let looked = PollResult { worker, token, asked: Time::from_ms(asked), answer };
                    self.at(at, Happening::PollResponse { node, life, looked });
                } else {
                    self.later(Happening::Look { node, life, look });
                }
            }
            Command::StartRun { worker, token, patience, run, lease, .. } => {
                let worker = worker.id;
                let place = self.place_of(&worker).expect("a known worker");
                self.check_zone(node, place);
                self.check_life(node, place, Some(lease), None);
                let late = self.roll(self.odds.order_late);
                let lost = late || self.loses(node, &worker);
                let order = Happening::Start {
                    node,
                    life,
                    worker: worker.clone(),
                    token,
                    run: run.clone(),
                    lease: lease.until,
                    sent: self.now,
                    answered: !lost,
                    held_by: late.then(|| self.workers[place].life()),
                };
                self.orders.push(Ordered { run: run.clone(), at: self.now, lost });
                if late {
                    let delay = self.rng.u64(2_000..12_000);
                    self.at(self.now + delay, order);
                } else {
                    self.later(order);
                }
                if lost {
                    let (answer, from) = (StartResponse::Lost, None);
                    let at = self.now + patience.as_ms();
                    self.at(at, Happening::StartResponse { node, life, worker, run, answer, from });
                }
            }
            Command::StopRun { worker, token, patience, run } => {
                let worker = worker.id;
                let lost = self.loses(node, &worker);
                let late = self.roll(self.odds.order_late);
                let answered = !lost && !late;
                let order = Happening::Stop {
                    node,
                    life,
                    worker: worker.clone(),
                    token,
                    run: run.clone(),
                    answered,
                };
                if late {
                    let delay = self.rng.u64(2_000..12_000);
                    self.at(self.now + delay, order);
                } else {
                    self.later(order);
                }
                if !answered {
                    let at = self.now + patience.as_ms();
                    self.at(at, Happening::StopAnswer { node, life, worker, run, accepted: false });
                }
            }
            Command::Log(note) => {
                if matches!(note, LogEvent::WorkerDropped { cause: DropCause::Fenced, .. }) {
                    self.fences.push(self.now);
                }
                if let LogEvent::WorkerOpened { worker, .. } = &note {
                    self.opened.push((self.now, worker.clone()));
                }
                if self.verbose {
                    println!("{} e-{node} {note:?}", self.now);
                }
            }
            Command::Adopt { .. } => {}
        }
    }

    fn roll(&mut self, odds: u32) -> bool {
        self.rng.u32(0..1_000) < odds
    }

    fn loses(&mut self, node: usize, worker: &WorkerId) -> bool {
        self.reach(node, worker).is_none() || self.roll(self.odds.answer_lost)
    }

    fn look(&mut self, node: usize, life: u64, look: Look) {
        let now = self.now;
        let Some(worker) = self.reach(node, &look.worker) else {
            let Look { worker, token, asked, .. } = look;
            let answer = PollResponse::Lost;
            let looked = PollResult { worker, token, asked: Time::from_ms(asked), answer };
            let at = now + ANSWER_LIMIT;
            self.at(at, Happening::PollResponse { node, life, looked });
            return;
        };
        let answer = worker.look(look.token, look.acked, look.lease, look.asked, now);
        let waits = matches!(&answer, PollResponse::State(seen) if seen.ended.is_empty());
        if waits && now < look.until {
            self.at(now + LOOK_STEP, Happening::Look { node, life, look });
            return;
        }
        let Look { worker, token, asked, .. } = look;
        let looked = PollResult { worker, token, asked: Time::from_ms(asked), answer };
        self.later(Happening::PollResponse { node, life, looked });
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    fn start(
        &mut self,
        node: usize,
        life: u64,
        worker: &WorkerId,
        token: u64,
        run: RunKey,
        lease: u64,
        sent: u64,
        answered: bool,
    ) {
        let now = self.now;
        let request = self.requests.iter().find(|r| r.job.name == run.task.job);
        let Some(request) = request else {
            self.faults.push(format!("{now}: a start that nobody asked for: {run:?}"));
            return;
        };
        let step = &request.job.steps[run.task.step as usize];
        let (need, fails) = (step.need, request.fails);
        let length = step.declared.as_ms() * self.rng.u64(500..2_000) / 1_000;
        let work = AtWork {
            run: run.clone(),
            need,
            since: now,
            until: now + length.max(5),
            fails,
            stopped: None,
        };
        let Some(fake) = self.reach(node, worker) else {
            if answered {
                let (worker, answer, from) = (worker.clone(), StartResponse::Lost, None);
                let at = now + ANSWER_LIMIT;
                self.at(at, Happening::StartResponse { node, life, worker, run, answer, from });
            }
            return;
        };
        let answer = fake.start(token, work, lease, sent, now);
        let from = Some((fake.clock(now), fake.life()));
        if answer == StartResponse::Started {
            self.starts.push(run.clone());
        }
        if answered {
            let worker = worker.clone();
            self.later(Happening::StartResponse { node, life, worker, run, answer, from });
        }
    }

    /// Starts an instance, or starts it again without anything that it knew.
    pub fn revive(&mut self, node: usize) {
        let now = Time::from_ms(self.now);
        let listed: Vec<Listed> = self.listed();
        let instance = &mut self.instances[node];
        instance.life += 1;
        instance.member.incarnation += 1;
        instance.frozen = false;
        instance.dark = false;
        instance.waiting.clear();
        instance.node = Some(Node::new(instance.member.clone(), now));
        let life = instance.life;
        let wall = self.wall(node);
        self.decide(node, |n, now, out| n.settings(1, Bytes::new(), now, out));
        self.decide(node, |n, now, out| n.listed(listed, wall, now, out));
        self.read_store_at_start(node);
        let all = self.instances.iter().map(|instance| Known::from(&instance.member)).collect();
        self.decide(node, |n, _, _| n.registered(all));
        self.at(self.now + 1, Happening::Tick { node, life });
        self.instances[node].wanted.clear();
    }

    fn wall(&self, node: usize) -> u64 {
        WALL + self.now + self.instances[node].ahead
    }

    fn listed(&self) -> Vec<Listed> {
        self.workers.iter().map(|worker| worker.listed.clone()).collect()
    }

    /// Tells all instances of the workers as they are.
    pub fn relist(&mut self) {
        let awake = |node: &usize| !self.instances[*node].frozen;
        let awake: Vec<usize> = (0..self.instances.len()).filter(awake).collect();
        for node in awake {
            let (listed, wall) = (self.listed(), self.wall(node));
            self.decide(node, |n, now, out| n.listed(listed, wall, now, out));
        }
    }

    fn wants(&self, node: usize, peer: usize) -> bool {
        self.instances[node].wanted.binary_search(&self.instances[peer].member.id).is_ok()
    }

    fn connect(&mut self, a: usize, b: usize) {
        let alive = |i: &Instance| i.node.is_some() && !i.frozen;
        let both = alive(&self.instances[a]) && alive(&self.instances[b]);
        let (there, back) = (self.sessions[a][b], self.sessions[b][a]);
        if there > 0 && there == back || !(self.wants(a, b) || self.wants(b, a)) {
            return;
        }
        if !both || !self.linked(a, b) {
            for (node, peer) in [(a, b), (b, a)] {
                // Nothing listens where a process has ended.
                let is_gone = self.instances[peer].node.is_none() && !self.instances[peer].dark;
                if is_gone && alive(&self.instances[node]) && self.linked(a, b) {
                    let id = self.id(peer);
                    self.decide(node, |n, now, out| n.peer_gone(&id, now, out));
                }
            }
            self.at(self.now + 200, Happening::Connect { a, b });
            return;
        }
        // A side that has not noticed the end of an earlier link learns of it from the new one.
        for (node, peer, stale) in [(a, b, there), (b, a, back)] {
            if stale > 0 {
                let id = self.id(peer);
                self.decide(node, |n, now, out| n.link_down(&id, now, out));
            }
        }
        let session = self.next_session;
        self.next_session += 1;
        self.sessions[a][b] = session;
        self.sessions[b][a] = session;
        self.read_from[a][b] = session;
        self.read_from[b][a] = session;
        let (for_a, for_b) = (self.instances[b].member.clone(), self.instances[a].member.clone());
        self.decide(a, |n, now, out| n.link_up(for_a, now, out));
        self.decide(b, |n, now, out| n.link_up(for_b, now, out));
    }

    /// Resets a link between two instances that live, with what is under way on it.
    pub fn reset_link(&mut self, a: usize, b: usize) {
        self.break_link(a, b, None);
    }

    /// Ends a link; each side that did not end it learns of it later, if it can.
    fn break_link(&mut self, a: usize, b: usize, by: Option<usize>) {
        let session = self.sessions[a][b];
        if session == 0 {
            return;
        }
        self.sessions[a][b] = 0;
        self.sessions[b][a] = 0;
        for (node, peer) in [(a, b), (b, a)] {
            if by != Some(node) {
                self.later(Happening::LinkDown { node, peer, session });
            }
        }
        self.at(self.now + 10, Happening::Connect { a, b });
    }

    fn link_down(&mut self, node: usize, peer: usize, session: u64) {
        // A later link means that the end of this one was noticed then.
        if self.sessions[node][peer] > session {
            return;
        }
        self.read_from[node][peer] = 0;
        let id = self.id(peer);
        self.decide(node, |n, now, out| n.link_down(&id, now, out));
    }

    /// Ends an instance; with `silent` its peers and callers notice only that it says nothing.
    pub fn kill(&mut self, node: usize, silent: bool, down: u64) {
        if self.instances[node].node.is_none() {
            return;
        }
        self.instances[node].node = None;
        self.instances[node].dark = silent;
        self.instances[node].life += 1;
        self.instances[node].waiting.clear();
        self.read_from[node].fill(0);
        for peer in 0..self.instances.len() {
            if peer != node && !silent {
                self.break_link(node, peer, Some(node));
            } else if self.sessions[node][peer] > 0 {
                // The peers find out by their own time limit.
                self.sessions[node][peer] = 0;
            }
        }
        self.break_callers(node, silent);
        self.at(self.now + down, Happening::Revive { node });
    }

    fn break_callers(&mut self, node: usize, silent: bool) {
        let waits = |r: &Request| {
            r.outcome.is_none()
                && r.attempts
                    .last()
                    .is_some_and(|a| a.node == node && a.answer.is_none() && !a.left)
        };
        let broken: Vec<usize> =
            (0..self.requests.len()).filter(|index| waits(&self.requests[*index])).collect();
        for request in broken {
            let at = if silent { self.requests[request].limit.max(self.now) } else { self.now };
            if let Some(attempt) = self.requests[request].attempts.last_mut() {
                attempt.left = true;
            }
            self.at(at + RESEND, Happening::Submit { request });
        }
    }

    /// Stops an instance's process for a while.
    pub fn freeze(&mut self, node: usize, span: u64) {
        if self.instances[node].node.is_some() && !self.instances[node].frozen {
            self.instances[node].frozen = true;
            self.at(self.now + span, Happening::Resume { node });
        }
    }

    // After a pause timers and sockets are handled in any order, each link from its oldest message to
    // its end, and one after the other on a small share of a core.
    fn resume(&mut self, node: usize) {
        let count = self.instances[node].waiting.len();
        if count == 0 || self.instances[node].node.is_none() {
            self.instances[node].frozen = false;
            if self.instances[node].node.is_some() {
                // What the store would have told during the pause is asked for again.
                self.read_store(node, self.now);
            }
            return;
        }
        let drawn = if self.rng.bool() { 0 } else { self.rng.usize(0..count) };
        let waiting = &mut self.instances[node].waiting;
        let link = link_of(&waiting[drawn]);
        let oldest = waiting.iter().position(|what| link.is_some() && link_of(what) == link);
        let what = waiting.remove(oldest.unwrap_or(drawn));
        what.into_iter().for_each(|what| self.handle(what));
        let pause = self.rng.u64(0..RESUME_STEP);
        self.at(self.now + pause, Happening::Resume { node });
    }

    /// Asks an instance to stop; it goes on until the world ends it.
    pub fn drain(&mut self, node: usize, grace: u64) {
        self.decide(node, |n, now, out| n.drain(Span::from_ms(grace), now, out));
    }

    /// Cuts a zone off from the other zones.
    pub fn cut_zone(&mut self, zone: usize, span: u64) {
        if !self.cut_zones.contains(&zone) {
            self.cut_zones.push(zone);
            self.at(self.now + span, Happening::HealZone { zone });
        }
    }

    /// Cuts a worker off from all instances; what runs there goes on.
    pub fn cut_worker(&mut self, worker: usize, span: u64) {
        if !self.cut_workers.contains(&worker) {
            self.cut_workers.push(worker);
            self.at(self.now + span, Happening::Heal { worker });
        }
    }

    /// Hands a job in at an instance.
    pub fn request(
        &mut self,
        name: u64,
        tasks: u32,
        cores: u32,
        run_ms: u64,
        fails: bool,
    ) -> usize {
        let limit = self.now + 1_500 + run_ms * 4;
        let step =
            Step { tasks, need: need(cores), declared: Span::from_ms(run_ms), ..Step::default() };
        let job = Job {
            name: format!("{name:016x}"),
            settings: Arc::new(policy("k")),
            payload: "x".into(),
            steps: vec![step],
            arrived: Time::from_ms(self.now),
            deadline: Time::from_ms(limit),
        };
        self.requests.push(Request {
            job,
            fails,
            attempts: Vec::new(),
            outcome: None,
            took: None,
            limit,
        });
        let request = self.requests.len() - 1;
        self.submit(request);
        if self.roll(self.odds.caller_leaves) {
            let delay = self.rng.u64(1..400);
            self.at(self.now + delay, Happening::Leave { request, attempt: 0 });
        }
        request
    }

    fn submit(&mut self, request: usize) {
        if self.requests[request].outcome.is_some() || self.requests[request].attempts.len() > 4 {
            return;
        }
        let alive: Vec<usize> = (0..self.instances.len())
            .filter(|node| self.instances[*node].node.is_some() && !self.instances[*node].frozen)
            .collect();
        if alive.is_empty() {
            self.at(self.now + RESEND, Happening::Submit { request });
            return;
        }
        let node = alive[self.rng.usize(0..alive.len())];
        let life = self.instances[node].life;
        let attempt = self.requests[request].attempts.len() as u64;
        let ticket = request as u64 * 10 + attempt;
        let mut job = self.requests[request].job.clone();
        let patience = job.deadline.since(job.arrived);
        job.arrived = Time::from_ms(self.now);
        job.deadline = job.arrived + patience;
        self.requests[request].limit = self.now + patience.as_ms();
        self.requests[request].attempts.push(Attempt {
            node,
            life,
            ticket,
            answer: None,
            left: false,
        });
        self.decide(node, |n, now, out| n.submit(ticket, job, now, out));
    }

    /// Has callers whose time limit passed without an answer, as those of a paused instance, send their
    /// jobs again.
    pub fn give_up(&mut self) {
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            if request.outcome.is_some() || self.now < request.limit {
                continue;
            }
            let limit = request.limit;
            let Some(attempt) = request.attempts.last_mut() else { continue };
            if attempt.answer.is_some() || attempt.left {
                continue;
            }
            attempt.left = true;
            self.at((limit + RESEND).max(self.now), Happening::Submit { request: index });
        }
    }

    /// Has the caller of a job that was handed in once go away.
    pub fn leave_now(&mut self, request: usize) {
        self.leave(request, 0);
    }

    fn leave(&mut self, request: usize, attempt: usize) {
        let Some(made) = self.requests[request].attempts.get_mut(attempt) else { return };
        if made.left || made.answer.is_some() {
            return;
        }
        made.left = true;
        let (node, ticket, life) = (made.node, made.ticket, made.life);
        self.requests[request].outcome = Some(Outcome::GivenUp);
        if self.instances[node].life == life && !self.instances[node].frozen {
            self.decide(node, |n, now, out| n.caller_gone(ticket, now, out));
        }
    }

    fn answered(&mut self, node: usize, life: u64, ticket: u64, outcome: Outcome) {
        let request = usize::try_from(ticket / 10).expect("small");
        let Some(attempt) = self.requests[request]
            .attempts
            .iter_mut()
            .find(|a| a.ticket == ticket && a.node == node && a.life == life)
        else {
            return;
        };
        if attempt.answer.replace(outcome).is_some() {
            self.faults.push(format!("{}: two answers to one attempt", self.now));
        }
        if attempt.left {
            return;
        }
        if outcome == Outcome::GivenUp {
            self.at(self.now + RESEND, Happening::Submit { request });
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
                    self.faults.push(format!("{}: {name} completed without task {task}", self.now));
                }
            }
        }
        if outcome == Outcome::Failed && !self.requests[request].fails {
            self.faults.push(format!("{}: {name} failed without a cause", self.now));
        }
    }

    /// What must hold once everything has settled.
    pub fn check_end(&mut self) {
        for request in &self.requests {
            let name = &request.job.name;
            let refused =
                request.attempts.iter().all(|a| matches!(a.answer, Some(Outcome::NotRun { .. })));
            if refused && self.starts.iter().any(|run| run.task.job == *name) {
                self.faults.push(format!("{name} was refused and ran"));
            }
            if request.outcome.is_none() && request.attempts.len() < 5 {
                self.faults.push(format!("{name} was not answered"));
            }
        }
        for worker in &self.workers {
            if !worker.runs.is_empty() {
                self.faults.push(format!("{} still runs {:?}", worker.listed.id, worker.runs));
            }
        }
    }
}
