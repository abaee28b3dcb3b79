//! Several clusters joined by an in-memory network that loses, doubles and reorders messages.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::{collections::VecDeque, sync::Arc};

use cranberryhatch_core::{
    Blocked, Cluster, Command, Counter, Endpoint, Event, Identity, Listing, Need, Slot, SlotOutcome,
};
use cranberryhatch_schema::peer::{Envelope, envelope::Body};
use cranberryhatch_settings::{ActiveSettings, Tree};
use cranberryhatch_types::{
    Accels, Bytes, Cores, Holder, Incarnation, ShardId, Slots, Span, TeamId, Time, ZoneId,
};
use prost::Message as _;

/// Bytes of a message beside its envelope: 8 of framing, 52 of TCP and IP headers.
const HEADERS: usize = 60;

/// A generator whose numbers follow from its seed.
#[derive(Clone, Debug)]
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    /// An exponentially distributed number with a mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let uniform = (self.next() >> 11) as f64 / (1_u64 << 53) as f64;
        -mean * (1.0 - uniform).ln()
    }
}

/// Faults of the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages lost, in percent.
    pub lost: u64,
    /// Messages doubled, in percent.
    pub doubled: u64,
    /// Longest delay beyond the usual one, in ms; a range of delays reorders messages.
    pub jitter: u64,
}

/// A worker as it really is.
#[derive(Clone, Debug)]
pub struct Worker {
    pub endpoint: Endpoint,
    pub busy: u32,
    /// Run times are multiplied by this.
    pub slow: u64,
    /// Whether every task fails at once.
    pub fails: bool,
    /// Starts received.
    pub starts: u64,
    /// When it told the list and heartbeats that it is leaving.
    pub left: Option<Time>,
}

/// A task.
#[derive(Clone, Debug)]
pub struct Task {
    pub team: TeamId,
    pub run: u64,
    pub arrived: u64,
}

#[derive(Clone, Debug)]
struct Running {
    end: u64,
    task: Task,
    slot: Slot,
    worker: usize,
    signal: SlotOutcome,
    holds: bool,
}

/// A shard with its queue.
pub struct Node {
    pub me: Identity,
    pub cluster: Cluster,
    pub queue: VecDeque<Task>,
    pub alive: bool,
    /// Until when the process does nothing, although its messages and tasks go on.
    pub paused: u64,
    running: Vec<Running>,
    dirty: bool,
}

struct Mail {
    due: u64,
    to: ShardId,
    from: ShardId,
    incarnation: Incarnation,
    body: Body,
}

/// What was seen so far.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Messages between instances.
    pub messages: u64,
    /// Their bytes by sending instance, with headers.
    pub bytes: Vec<(String, u64)>,
    /// Starts refused as busy.
    pub busy: u64,
    /// Starts that failed and were repeated.
    pub failed: u64,
    /// Tasks done.
    pub done: u64,
    /// Response times of done tasks.
    pub response: Vec<u64>,
    /// Most tasks of all teams that ran at the same time, by team.
    pub most: Vec<(TeamId, u32)>,
    /// Invariants that were found broken.
    pub broken: u64,
}

/// Shape of a fleet.
#[derive(Clone, Debug)]
pub struct Shape {
    pub zones: usize,
    pub instances: usize,
    pub shards: u32,
    pub workers: usize,
    pub slots: u32,
    pub settings: &'static str,
    pub faults: Faults,
    pub seed: u64,
}

impl Default for Shape {
    // Popisek: 9 instances and 48 workers in 3 zones.
    fn default() -> Self {
        Self {
            zones: 3,
            instances: 9,
            shards: 2,
            workers: 48,
            slots: 8,
            settings: "",
            faults: Faults::default(),
            seed: 1,
        }
    }
}

pub struct Fleet {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub workers: Vec<Worker>,
    pub tally: Tally,
    pub faults: Faults,
    /// Zones that no message enters or leaves.
    pub cut: Vec<ZoneId>,
    pub rng: Rng,
    mail: Vec<Mail>,
    out: Vec<Command>,
    shape: Shape,
    // Tasks whose instance was replaced: when they end, and where they run.
    orphans: Vec<(u64, usize)>,
}

pub fn zone(index: usize) -> ZoneId {
    format!("zone-{index}").parse().expect("a valid text")
}

pub fn team(name: &str) -> TeamId {
    name.parse().expect("a valid text")
}

pub fn identity(
    instance: &str,
    incarnation: u64,
    zone: ZoneId,
    shard: u32,
    shards: u32,
) -> Identity {
    let instance: cranberryhatch_types::InstanceId = instance.parse().expect("a valid text");
    let holder = Holder { instance: instance.clone(), incarnation: Incarnation::new(incarnation) };
    Identity { shard: ShardId { instance, shard }, holder, zone, shards }
}

pub fn endpoint(worker: &str, zone: ZoneId, rack: &str, slots: u32) -> Endpoint {
    Endpoint {
        worker: worker.parse().expect("a valid text"),
        zone,
        rack: rack.parse().expect("a valid text"),
        slots: Slots::new(slots),
        free: Slots::new(slots),
        leaving: false,
        cores: Cores::new(32_000),
        memory: Bytes::from_mib(65_536),
        accels: Accels::new(1),
        heartbeat_sent: Time::ZERO,
    }
}

pub fn settings(version: u64, text: &str, zone: ZoneId) -> Event {
    let tree = Tree::parse(text).expect("a valid tree");
    Event::Settings(Arc::new(ActiveSettings::new(version, tree, zone)))
}

/// Nothing of the deployment but its zones is set.
pub const PLAIN: &str = "[deployment test]\nzones.names = zone-0 zone-1 zone-2\n";

impl Fleet {
    pub fn new(shape: Shape) -> Self {
        let mut nodes = Vec::new();
        for instance in 0..shape.instances {
            for shard in 0..shape.shards {
                let name = format!("entry-{instance}");
                let me = identity(&name, 1, zone(instance % shape.zones), shard, shape.shards);
                nodes.push(Node::new(me));
            }
        }
        let worker = |index: usize| {
            let name = format!("worker-{index}");
            let rack =
                format!("rack-{}", index / shape.zones / 8 * shape.zones + index % shape.zones);
            Worker {
                endpoint: endpoint(&name, zone(index % shape.zones), &rack, shape.slots),
                busy: 0,
                slow: 1,
                fails: false,
                starts: 0,
                left: None,
            }
        };
        let mut fleet = Self {
            now: 0,
            nodes,
            workers: (0..shape.workers).map(worker).collect(),
            tally: Tally::default(),
            faults: shape.faults,
            cut: Vec::new(),
            rng: Rng(shape.seed),
            mail: Vec::new(),
            out: Vec::new(),
            shape,
            orphans: Vec::new(),
        };
        let text = if fleet.shape.settings.is_empty() { PLAIN } else { fleet.shape.settings };
        for node in 0..fleet.nodes.len() {
            let zone = fleet.nodes[node].me.zone.clone();
            fleet.tell(node, &settings(1, text, zone));
        }
        fleet.list();
        fleet.heartbeats();
        fleet
    }

    /// Shows the platform's list to every shard.
    pub fn list(&mut self) {
        let addr = "127.0.0.1:1".parse().expect("a valid text");
        let mut list = Vec::new();
        for node in self.nodes.iter().filter(|node| node.me.shard.shard == 0) {
            let (id, zone) = (node.me.holder.instance.clone(), node.me.zone.clone());
            list.push(Listing::Entry { id, peer: addr, zone, leaving: false });
        }
        for worker in &self.workers {
            let endpoint = &worker.endpoint;
            list.push(Listing::Endpoint {
                id: endpoint.worker.clone(),
                addr,
                zone: endpoint.zone.clone(),
                rack: endpoint.rack.clone(),
                leaving: worker.left.is_some(),
            });
        }
        self.tell_all(&Event::Listed(Arc::new(list)));
    }

    fn heartbeats(&mut self) {
        for index in 0..self.workers.len() {
            let worker = &self.workers[index];
            let mut endpoint = worker.endpoint.clone();
            endpoint.free =
                Slots::new(endpoint.slots.get() - worker.busy.min(endpoint.slots.get()));
            endpoint.leaving = worker.left.is_some();
            endpoint.heartbeat_sent = Time::from_ms(self.now);
            for node in 0..self.nodes.len() {
                if self.nodes[node].me.zone == endpoint.zone {
                    self.tell(node, &Event::EndpointSeen(endpoint.clone()));
                }
            }
        }
    }

    pub fn tell_all(&mut self, event: &Event) {
        (0..self.nodes.len()).for_each(|node| self.tell(node, event));
    }

    pub fn tell(&mut self, node: usize, event: &Event) {
        if self.nodes[node].alive && self.nodes[node].paused <= self.now {
            let now = Time::from_ms(self.now);
            self.nodes[node].cluster.handle(now, event, &mut self.out);
            self.nodes[node].dirty = true;
            self.post(node);
        }
    }

    // Puts what a shard sends on the wire.
    fn post(&mut self, node: usize) {
        let from = self.nodes[node].me.clone();
        for command in std::mem::take(&mut self.out) {
            match command {
                Command::Send { to, body } => self.send(&from, &to, body),
                Command::Count(Counter::InvariantsBroken, count) => self.tally.broken += count,
                _ => {}
            }
        }
    }

    fn send(&mut self, from: &Identity, to: &ShardId, body: Body) {
        let local = to.instance == from.holder.instance;
        if !local {
            self.count(from, to, &body);
        }
        let jitter = self.rng.below(self.faults.jitter + 1);
        let lost = !local && self.rng.below(100) < self.faults.lost;
        let doubled = !local && self.rng.below(100) < self.faults.doubled;
        let due = self.now + if local { 0 } else { 1 + jitter };
        let again = due + self.rng.below(3 * self.faults.jitter + 1);
        let incarnation = from.holder.incarnation;
        let mail =
            |due, body| Mail { due, to: to.clone(), from: from.shard.clone(), incarnation, body };
        if doubled {
            self.mail.push(mail(again, body.clone()));
        }
        if !lost {
            self.mail.push(mail(due, body));
        }
    }

    fn count(&mut self, from: &Identity, to: &ShardId, body: &Body) {
        let envelope = Envelope {
            instance: from.holder.instance.to_string(),
            // A life is numbered by the Unix time of its start in ms.
            incarnation: 1_790_000_000_000,
            from_shard: from.shard.shard,
            to_shard: to.shard,
            body: Some(body.clone()),
            // The largest address and a day of run time.
            addr: "255.255.255.255:65535".to_owned(),
            sent_ms: 86_400_000,
        };
        self.tally.messages += 1;
        let bytes = (envelope.encoded_len() + HEADERS) as u64;
        let name = from.holder.instance.to_string();
        match self.tally.bytes.binary_search_by(|(known, _)| known.cmp(&name)) {
            Ok(place) => self.tally.bytes[place].1 += bytes,
            Err(place) => self.tally.bytes.insert(place, (name, bytes)),
        }
    }

    fn zone_of(&self, shard: &ShardId) -> Option<&ZoneId> {
        self.nodes.iter().find(|node| node.me.shard == *shard).map(|node| &node.me.zone)
    }

    fn is_cut(&self, from: &ShardId, to: &ShardId) -> bool {
        let (from, to) = (self.zone_of(from), self.zone_of(to));
        from != to && self.cut.iter().any(|zone| Some(zone) == from || Some(zone) == to)
    }

    fn deliver(&mut self) {
        loop {
            let due = self.mail.iter().enumerate().filter(|(_, mail)| mail.due <= self.now);
            let Some((place, _)) = due.min_by_key(|(place, mail)| (mail.due, *place)) else {
                return;
            };
            let mail = self.mail.remove(place);
            if self.is_cut(&mail.from, &mail.to) {
                continue;
            }
            let node = self.nodes.iter().position(|node| node.me.shard == mail.to);
            if let Some(node) = node {
                if self.nodes[node].paused > self.now {
                    let due = self.nodes[node].paused;
                    self.mail.push(Mail { due, ..mail });
                    continue;
                }
                let Mail { from, incarnation, body, .. } = mail;
                self.tell(node, &Event::Peer { from, incarnation, body });
                self.pump(node);
            }
        }
    }

    fn finish(&mut self, node: usize) {
        let now = Time::from_ms(self.now);
        let mut place = 0;
        while place < self.nodes[node].running.len() {
            let paused = self.nodes[node].paused > self.now;
            let run = &mut self.nodes[node].running[place];
            if paused && run.end <= self.now {
                self.workers[run.worker].busy -= u32::from(std::mem::take(&mut run.holds));
            }
            if paused || run.end > self.now {
                place += 1;
                continue;
            }
            let run = self.nodes[node].running.swap_remove(place);
            if run.holds {
                self.workers[run.worker].busy -= 1;
            }
            let owner = &mut self.nodes[node];
            owner.dirty = true;
            if owner.alive {
                owner.cluster.release(now, &run.task.team, run.slot, run.signal);
            }
            match run.signal {
                SlotOutcome::Done => {
                    self.tally.done += 1;
                    self.tally.response.push(self.now - run.task.arrived);
                }
                SlotOutcome::Failed => {
                    self.tally.failed += 1;
                    if owner.alive {
                        owner.queue.push_front(run.task);
                    }
                }
                _ if owner.alive => owner.queue.push_front(run.task),
                _ => {}
            }
        }
    }

    /// Starts what can be started, and tells the cluster what waits.
    pub fn pump(&mut self, node: usize) {
        let now = Time::from_ms(self.now);
        let owner = &mut self.nodes[node];
        let runs = owner.alive && owner.paused <= self.now;
        if !runs || !std::mem::take(&mut owner.dirty) {
            return;
        }
        while let Some(place) = self.startable(node) {
            let (place, slot) = place;
            let task = self.nodes[node].queue.remove(place).expect("a queued task");
            self.start(node, task, slot);
        }
        let owner = &mut self.nodes[node];
        let mut waiting: Vec<(TeamId, u32)> = Vec::new();
        for task in &owner.queue {
            match waiting.iter_mut().find(|(team, _)| *team == task.team) {
                Some((_, count)) => *count += 1,
                None => waiting.push((task.team.clone(), 1)),
            }
        }
        owner.cluster.set_demand(now, &waiting, &mut self.out);
        self.post(node);
    }

    // The first task of a team whose quota has room.
    fn startable(&mut self, node: usize) -> Option<(usize, Slot)> {
        let now = Time::from_ms(self.now);
        let owner = &mut self.nodes[node];
        let mut blocked: Vec<TeamId> = Vec::new();
        for place in 0..owner.queue.len() {
            let team = &owner.queue[place].team;
            if blocked.contains(team) {
                continue;
            }
            match owner.cluster.acquire(now, team, &Need::default()) {
                Ok(slot) => return Some((place, slot)),
                Err(Blocked::NoSlot) => return None,
                Err(Blocked::Quota) => blocked.push(team.clone()),
            }
        }
        None
    }

    fn start(&mut self, node: usize, task: Task, slot: Slot) {
        let id = self.nodes[node].cluster.worker(slot.worker).clone();
        let place = self
            .workers
            .iter()
            .position(|w| w.endpoint.worker == id)
            .expect("a worker of the fleet");
        let worker = &mut self.workers[place];
        worker.starts += 1;
        let (end, signal) = if worker.left.is_some() {
            (self.now + 2, SlotOutcome::Leaving)
        } else if worker.busy >= worker.endpoint.slots.get() {
            self.tally.busy += 1;
            (self.now + 2, SlotOutcome::Busy)
        } else if worker.fails {
            (self.now + 2, SlotOutcome::Failed)
        } else {
            (self.now + 2 + task.run * worker.slow, SlotOutcome::Done)
        };
        // A start that is refused uses no slot of the endpoint.
        let holds = !matches!(signal, SlotOutcome::Leaving | SlotOutcome::Busy);
        worker.busy += u32::from(holds);
        let running = Running { end, task, slot, worker: place, signal, holds };
        self.nodes[node].running.push(running);
        self.note_most();
    }

    fn note_most(&mut self) {
        let mut counts: Vec<(TeamId, u32)> = Vec::new();
        for run in self.nodes.iter().flat_map(|node| &node.running).filter(|run| run.holds) {
            match counts.iter_mut().find(|(team, _)| *team == run.task.team) {
                Some((_, count)) => *count += 1,
                None => counts.push((run.task.team.clone(), 1)),
            }
        }
        for (team, count) in counts {
            match self.tally.most.iter_mut().find(|(known, _)| *known == team) {
                Some((_, most)) => *most = count.max(*most),
                None => self.tally.most.push((team, count)),
            }
        }
    }

    /// Adds tasks to the queue of a shard.
    pub fn submit(&mut self, node: usize, team: &TeamId, count: usize, run: u64) {
        let task = Task { team: team.clone(), run, arrived: self.now };
        self.nodes[node].queue.extend(std::iter::repeat_n(task, count));
        self.nodes[node].dirty = true;
        self.pump(node);
    }

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        for _ in 0..span {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += 1;
        self.deliver();
        let (now, workers) = (self.now, &mut self.workers);
        self.orphans.retain(|(end, worker)| {
            workers[*worker].busy -= u32::from(*end <= now);
            *end > now
        });
        for node in 0..self.nodes.len() {
            self.finish(node);
            // Ticks of different shards fall on different milliseconds.
            if (self.now + node as u64).is_multiple_of(10) {
                self.tell(node, &Event::Tick);
            }
            self.pump(node);
        }
        if self.now.is_multiple_of(1_000) {
            self.heartbeats();
        }
    }

    /// Runs until nothing waits or runs; gives the time it took, or nothing after `limit`.
    pub fn run_out(&mut self, limit: u64) -> Option<u64> {
        let start = self.now;
        while self.nodes.iter().any(|n| n.alive && !(n.queue.is_empty() && n.running.is_empty())) {
            if self.now - start >= limit {
                return None;
            }
            self.step();
        }
        Some(self.now - start)
    }

    /// Tasks of a team that run.
    pub fn running(&self, team: &TeamId) -> usize {
        let runs = self.nodes.iter().flat_map(|node| &node.running);
        runs.filter(|run| run.holds && run.task.team == *team).count()
    }

    /// Stops the process of an instance for a while.
    pub fn pause(&mut self, instance: &str, span: u64) {
        let until = self.now + span;
        for node in self.nodes.iter_mut().filter(|n| n.me.holder.instance.as_str() == instance) {
            node.paused = until;
        }
    }

    /// Ends an instance; its running tasks go on at the endpoints.
    pub fn kill(&mut self, instance: &str) {
        for node in self.nodes.iter_mut().filter(|n| n.me.holder.instance.as_str() == instance) {
            node.alive = false;
            node.queue.clear();
        }
    }

    /// Starts the next life of an instance.
    pub fn restart(&mut self, instance: &str) {
        let text = if self.shape.settings.is_empty() { PLAIN } else { self.shape.settings };
        for node in 0..self.nodes.len() {
            let me = &self.nodes[node].me;
            if me.holder.instance.as_str() != instance {
                continue;
            }
            let life = me.holder.incarnation.get() + 1;
            let me = identity(instance, life, me.zone.clone(), me.shard.shard, me.shards);
            let zone = me.zone.clone();
            let running = std::mem::take(&mut self.nodes[node].running);
            let holding = running.iter().filter(|run| run.holds);
            self.orphans.extend(holding.map(|run| (run.end, run.worker)));
            self.nodes[node] = Node::new(me);
            self.tell(node, &settings(1, text, zone));
        }
        self.list();
        self.heartbeats();
    }
}

impl Node {
    fn new(me: Identity) -> Self {
        Self {
            cluster: Cluster::new(me.clone()),
            me,
            queue: VecDeque::new(),
            alive: true,
            paused: 0,
            running: Vec::new(),
            dirty: false,
        }
    }
}

/// Response times that one first-come, first-served queue over all slots would give.
pub fn ideal(tasks: &[(u64, u64)], slots: usize, trips: u64) -> Vec<u64> {
    let mut free = std::collections::BinaryHeap::new();
    free.extend(std::iter::repeat_n(std::cmp::Reverse(0_u64), slots));
    let response = |&(arrived, run): &(u64, u64)| {
        let std::cmp::Reverse(at) = free.pop().expect("a slot");
        let end = at.max(arrived) + run + trips;
        free.push(std::cmp::Reverse(end));
        end - arrived
    };
    tasks.iter().map(response).collect()
}

/// A share of sorted values, in percent.
pub fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    values[(values.len() - 1) * percent / 100]
}

/// Time as the core counts it.
pub const fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

/// A span for readers.
pub const fn ms(ms: u64) -> Span {
    Span::from_ms(ms)
}
