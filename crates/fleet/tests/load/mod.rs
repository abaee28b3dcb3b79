//! A load on a scheduler in simulated time, without a network.
//!
//! Fronts and owners are played: a front a zone asks and starts what was granted, an owner a zone runs
//! it and reports ends. All times are in milliseconds. A job counts as in time when its last task
//! ends within 1.6 times its longest task plus 60 ms, as late up to three times that.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;

use cranberryhatch_fleet::{
    Command, LogEvent, Message, Output, RunStats, Scheduler, TaskKey, WorkerList,
};
use cranberryhatch_schema::fleet::{Ask, Freed, Held, How, Place, Room, Rooms, Run};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::common::{listed, need};

/// Way of a message between two instances or to a worker.
const WAY: u64 = 2;
/// Time between two ticks of the scheduler.
const TICK: u64 = 20;
/// Time between two reports of an owner.
const REPORT: u64 = 1_000;
/// Factor of the run time away from the rack of the data.
const OTHER_RACK: f64 = 2.0;

/// A worker of the service `svc`.
#[derive(Clone, Debug)]
pub struct Machine {
    pub id: String,
    pub zone: &'static str,
    pub cores: u32,
    pub labels: Vec<String>,
    /// Factors of run times there, each from a time on; sorted, 1 before the first.
    pub slow: Vec<(u64, f64)>,
}

/// `count` workers of a size, spread over the zones in turn.
pub fn machines(name: &str, count: usize, cores: u32, zones: &[&'static str]) -> Vec<Machine> {
    let machine = |number: usize| Machine {
        id: format!("{name}-{number}"),
        zone: zones[number % zones.len()],
        cores,
        labels: vec![name.to_owned()],
        slow: Vec::new(),
    };
    (0..count).map(machine).collect()
}

/// A kind of job with one step.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub priority: u32,
    pub tasks: u32,
    pub cores: u32,
    /// Mean run time of a task; the logarithm spreads by 0.4.
    pub mean: f64,
    pub declared: u32,
    pub rack: &'static str,
    /// Zones of the callers with their weights.
    pub zones: Vec<(&'static str, f64)>,
    /// Jobs per second, each from a time on; sorted, none before the first.
    pub rates: Vec<(u64, f64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    InTime,
    Late,
    Refused,
    GivenUp,
}

/// A job with all its tries.
#[derive(Clone, Debug)]
pub struct Call {
    pub kind: usize,
    pub zone: &'static str,
    /// Run time of each task on a worker of factor 1.
    pub times: Vec<u64>,
    pub objective: u64,
    /// Time until the caller gives a try up.
    pub limit: u64,
    pub born: u64,
    /// When the present try was sent.
    pub sent: u64,
    pub tries: u32,
    /// Tasks that wait for room.
    pub waiting: Vec<u32>,
    pub begun: Option<u64>,
    pub done: u32,
    /// The outcome of the last try and when it came.
    pub end: Option<(u64, Outcome)>,
    /// Age of the try at each refusal, and the time that the caller was asked to stay away.
    pub refusals: Vec<(u64, u64)>,
}

#[derive(Clone, Debug)]
enum Event {
    Send(usize),
    Ask(usize),
    Start(usize, Place),
    End(usize, u32, String, u64),
    Limit(usize, u32),
    Freed(Freed),
    Report,
    Tick,
    Replace,
}

/// The scheduler under a load.
pub struct Load {
    pub now: u64,
    pub scheduler: Scheduler,
    pub machines: Vec<Machine>,
    pub kinds: Vec<Kind>,
    pub calls: Vec<Call>,
    /// Notes of the scheduler with their times.
    pub notes: Vec<(u64, LogEvent)>,
    /// Most tries of a caller that is refused.
    pub tries: u32,
    listing: WorkerList,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    // Runs by worker: call, task, when the run started, how long it takes.
    runs: BTreeMap<(String, usize, u32), (u64, u64)>,
    /// Starts: when, on which worker, of which call.
    pub starts: Vec<(u64, String, usize)>,
    // What the owner of each zone has learnt.
    stats: BTreeMap<&'static str, RunStats>,
}

fn instance(role: &str, zone: &str) -> InstanceId {
    format!("{role}-{zone}").parse().expect("a name")
}

fn name(call: usize) -> String {
    format!("{call:016x}")
}

impl Load {
    /// A load whose arrivals from 0 to `until` follow from the seed.
    pub fn new(seed: u64, machines: Vec<Machine>, kinds: Vec<Kind>, until: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let workers = machines.iter().map(|machine| {
            let mut worker = listed(&machine.id, machine.zone, machine.cores);
            worker.labels.clone_from(&machine.labels);
            worker
        });
        let mut listing = WorkerList::default();
        listing.replace(workers.collect(), Time::ZERO);
        let mut load = Self {
            now: 0,
            scheduler: Scheduler::default(),
            machines,
            kinds,
            calls: Vec::new(),
            notes: Vec::new(),
            tries: 1,
            listing,
            events: BTreeMap::new(),
            count: 0,
            runs: BTreeMap::new(),
            starts: Vec::new(),
            stats: BTreeMap::new(),
        };
        load.at(0, Event::Report);
        load.at(0, Event::Tick);
        for kind in 0..load.kinds.len() {
            load.arrivals(kind, until, &mut rng);
        }
        load
    }

    fn arrivals(&mut self, number: usize, until: u64, rng: &mut fastrand::Rng) {
        let kind = self.kinds[number].clone();
        for ms in 0..until {
            let rate = value_at(&kind.rates, ms, 0.0) / 1_000.0;
            let mut chance = rng.f64();
            let mut likely = (-rate).exp();
            while chance > likely && rate > 0.0 {
                // Number of arrivals in this millisecond by the Poisson distribution.
                chance -= likely;
                likely *= rate;
                let times = (0..kind.tasks).map(|_| sample(kind.mean, rng)).collect::<Vec<_>>();
                let longest = times.iter().copied().max().unwrap_or_default();
                let call = Call {
                    kind: number,
                    zone: pick(&kind.zones, rng),
                    times,
                    objective: longest * 8 / 5 + 60,
                    limit: 3 * (scaled(1, kind.mean) * 16 / 5 + 60),
                    born: ms,
                    sent: ms,
                    tries: 0,
                    waiting: Vec::new(),
                    begun: None,
                    done: 0,
                    end: None,
                    refusals: Vec::new(),
                };
                self.calls.push(call);
                self.at(ms, Event::Send(self.calls.len() - 1));
            }
        }
    }

    fn at(&mut self, ms: u64, event: Event) {
        self.count += 1;
        self.events.insert((ms, self.count), event);
    }

    /// Replaces the scheduler by one that knows nothing.
    pub fn replace_at(&mut self, ms: u64) {
        self.at(ms, Event::Replace);
    }

    /// Plays until a time.
    pub fn run_until(&mut self, until: u64) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > until {
                self.at(at, event);
                break;
            }
            self.now = at;
            self.play(event);
        }
        self.now = until;
    }

    fn play(&mut self, event: Event) {
        let now = Time::from_ms(self.now);
        let tick = matches!(event, Event::Tick);
        match event {
            Event::Send(call) => self.send(call),
            Event::Ask(call) => self.ask(call),
            Event::Start(call, place) => return self.start(call, &place),
            Event::End(call, task, worker, run) => return self.end(call, task, &worker, run),
            Event::Limit(call, tries) => return self.limit(call, tries),
            Event::Freed(freed) => self.scheduler.run_ended(&freed, now),
            Event::Report => {
                self.report();
                self.at(self.now + REPORT, Event::Report);
            }
            Event::Tick => self.at(self.now + TICK, Event::Tick),
            Event::Replace => {
                self.scheduler = Scheduler::default();
                self.report();
                for call in 0..self.calls.len() {
                    if !self.calls[call].waiting.is_empty() && self.calls[call].end.is_none() {
                        self.ask(call);
                    }
                }
            }
        }
        let mut out = Output::default();
        self.scheduler.schedule(now, tick, &mut out);
        for command in out.commands {
            match command {
                Command::Send { message: Message::Grant(grant), .. } => {
                    let call = usize::from_str_radix(&grant.job, 16).expect("a call");
                    for place in grant.places {
                        self.at(self.now + 2 * WAY, Event::Start(call, place));
                    }
                }
                Command::Send { message: Message::Refusal(refusal), .. } => {
                    let call = usize::from_str_radix(&refusal.job, 16).expect("a call");
                    self.refused(call, refusal.retry_ms.into());
                }
                Command::Log(note) => self.notes.push((self.now, note)),
                _ => {}
            }
        }
    }

    fn send(&mut self, number: usize) {
        let call = &mut self.calls[number];
        (call.sent, call.end) = (self.now, None);
        call.tries += 1;
        call.waiting =
            (0..call.times.len()).map(|task| u32::try_from(task).expect("few")).collect();
        let (limit, tries) = (self.now + call.limit, call.tries);
        self.at(limit, Event::Limit(number, tries));
        self.at(self.now + WAY, Event::Ask(number));
    }

    fn ask(&mut self, number: usize) {
        let call = &self.calls[number];
        if call.waiting.is_empty() || call.end.is_some() {
            return;
        }
        let kind = &self.kinds[call.kind];
        let ms = |ms: u64| u32::try_from(ms).expect("a short time");
        let ask = Ask {
            job: name(number),
            tasks: call.waiting.clone(),
            kind: kind.name.to_owned(),
            service: "svc".to_owned(),
            priority: kind.priority,
            need: Some((&need(kind.cores)).into()),
            declared_ms: kind.declared,
            age_ms: ms(self.now - call.sent),
            left_ms: ms((call.sent + call.limit).saturating_sub(self.now)),
            rack: kind.rack.to_owned(),
            begun: call.begun.is_some(),
            zone: call.zone.to_owned(),
            stretch: 1_600,
            slack_ms: 60,
            ..Ask::default()
        };
        self.scheduler.enqueue(&instance("front", call.zone), ask, Time::from_ms(self.now));
    }

    fn start(&mut self, number: usize, place: &Place) {
        let worker: WorkerId = place.worker.parse().expect("an id");
        let machine = self.machines.iter().find(|machine| machine.id == place.worker);
        let machine = machine.expect("a worker").clone();
        let kind = self.kinds[self.calls[number].kind].clone();
        let held = self.runs.keys().filter(|(id, ..)| *id == place.worker);
        let used: u32 = held.map(|(_, call, _)| self.kinds[self.calls[*call].kind].cores).sum();
        let key = TaskKey { job: name(number), step: 0, task: place.task };
        let call = &mut self.calls[number];
        let waits = call.end.is_none() && call.waiting.contains(&place.task);
        if !waits || used + kind.cores > machine.cores {
            self.scheduler.release_unused(&worker, &key, waits, Time::from_ms(self.now));
            if waits {
                self.ask(number);
            }
            return;
        }
        call.waiting.retain(|task| *task != place.task);
        call.begun.get_or_insert(self.now);
        let near = kind.rack.is_empty() || machine.labels.iter().any(|label| label == kind.rack);
        let factor = value_at(&machine.slow, self.now, 1.0) * if near { 1.0 } else { OTHER_RACK };
        let base = call.times[usize::try_from(place.task).expect("small")];
        let took = scaled(base, factor);
        self.runs.insert((place.worker.clone(), number, place.task), (self.now, took));
        let run = u64::from(place.run_ms);
        self.starts.push((self.now, place.worker.clone(), number));
        self.at(self.now + took, Event::End(number, place.task, place.worker.clone(), run));
    }

    fn end(&mut self, number: usize, task: u32, worker: &str, expected: u64) {
        let Some((_, took)) = self.runs.remove(&(worker.to_owned(), number, task)) else { return };
        self.free(number, task, worker, How::Done, (took, expected));
        let call = &mut self.calls[number];
        call.done += 1;
        if call.done as usize == call.times.len() {
            let age = self.now + WAY - call.sent;
            let outcome = if age <= call.objective { Outcome::InTime } else { Outcome::Late };
            call.end = Some((self.now + WAY, outcome));
        }
    }

    fn free(&mut self, call: usize, task: u32, worker: &str, how: How, ms: (u64, u64)) {
        let freed = Freed {
            run: Some(Run { job: name(call), step: 0, task, run: 1 }),
            worker: worker.to_owned(),
            how: how.into(),
            took_ms: u32::try_from(ms.0).expect("a short run"),
            expected_ms: u32::try_from(ms.1).expect("a short run"),
            kind: self.kinds[self.calls[call].kind].name.to_owned(),
        };
        let span = Span::from_ms;
        let zone = self.machines.iter().find(|machine| machine.id == worker).map(|m| m.zone);
        let stats = self.stats.entry(zone.expect("a worker")).or_default();
        let id = worker.parse().expect("an id");
        stats.learn(&id, how, &freed.kind, span(ms.0), span(ms.1), Time::from_ms(self.now));
        self.at(self.now + WAY, Event::Freed(freed));
    }

    fn limit(&mut self, number: usize, tries: u32) {
        let call = &mut self.calls[number];
        if call.end.is_some() || call.tries != tries {
            return;
        }
        call.end = Some((self.now, Outcome::GivenUp));
        self.scheduler.withdraw(&instance("front", call.zone), &name(number));
        let runs = self.runs.keys().filter(|(_, call, _)| *call == number);
        for (worker, call, task) in runs.cloned().collect::<Vec<_>>() {
            self.runs.remove(&(worker.clone(), call, task));
            self.free(call, task, &worker, How::Stopped, (0, 0));
        }
    }

    fn refused(&mut self, number: usize, retry: u64) {
        let call = &mut self.calls[number];
        if call.begun.is_some() || call.end.is_some() {
            return self.ask(number);
        }
        call.refusals.push((self.now + WAY - call.sent, retry));
        call.end = Some((self.now + WAY, Outcome::Refused));
        if call.tries < self.tries {
            self.at(self.now + 2 * WAY + retry, Event::Send(number));
        }
    }

    /// Owners report all their workers.
    fn report(&mut self) {
        let mut zones: Vec<&'static str> =
            self.machines.iter().map(|machine| machine.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones {
            let own = self.machines.iter().filter(|machine| machine.zone == zone);
            let rooms = own.map(|machine| self.room(machine)).collect();
            let kinds = self.stats.get(zone).map(RunStats::report_kinds).unwrap_or_default();
            let rooms = Rooms { rooms, kinds };
            let now = Time::from_ms(self.now);
            self.scheduler.update_workers(&instance("owner", zone), rooms, &self.listing, now);
        }
    }

    fn room(&self, machine: &Machine) -> Room {
        let runs = self.runs.iter().filter(|((id, ..), _)| *id == machine.id);
        let held = runs.map(|((_, call, task), (since, _))| {
            let kind = &self.kinds[self.calls[*call].kind];
            let left = scaled(1, kind.mean).saturating_sub(self.now - since).max(1);
            Held {
                run: Some(Run { job: name(*call), step: 0, task: *task, run: 1 }),
                need: Some((&need(kind.cores)).into()),
                left_ms: u32::try_from(left).expect("a short time"),
            }
        });
        let (worker, held) = (machine.id.clone(), held.collect());
        let id = machine.id.parse().expect("an id");
        let stats = self.stats.get(machine.zone);
        let standing = stats.and_then(|stats| stats.report(&id, Time::from_ms(self.now)));
        Room { worker, token: 1, held, open: true, standing, ..Room::default() }
    }

    /// Slots of a size that no task holds while tasks of that size wait, by what the scheduler knows.
    ///
    /// Orders on their way hold their slots, and ends count once the scheduler has heard of them.
    pub fn idle(&self, cores: u32) -> usize {
        let mut used: BTreeMap<&str, u32> = BTreeMap::new();
        let mut on_way: BTreeMap<usize, usize> = BTreeMap::new();
        for (id, call, _) in self.runs.keys() {
            *used.entry(id).or_default() += self.kinds[self.calls[*call].kind].cores;
        }
        for event in self.events.values() {
            let (worker, call) = match event {
                Event::Start(call, place) => (place.worker.as_str(), *call),
                Event::Freed(freed) => {
                    let run = freed.run.as_ref().expect("a run");
                    let call = usize::from_str_radix(&run.job, 16).expect("a call");
                    (freed.worker.as_str(), call)
                }
                _ => continue,
            };
            *used.entry(worker).or_default() += self.kinds[self.calls[call].kind].cores;
            if matches!(event, Event::Start(..)) {
                *on_way.entry(call).or_default() += 1;
            }
        }
        let waits = |(number, call): (usize, &Call)| {
            let is_known = call.end.is_none() && call.sent + WAY <= self.now;
            let fits = is_known && self.kinds[call.kind].cores <= cores;
            let on_way = on_way.get(&number).copied().unwrap_or_default();
            if fits { call.waiting.len().saturating_sub(on_way) } else { 0 }
        };
        let waiting: usize = self.calls.iter().enumerate().map(waits).sum();
        let free = self.machines.iter().map(|machine| {
            let used = used.get(machine.id.as_str()).copied().unwrap_or_default();
            (machine.cores.saturating_sub(used) / cores) as usize
        });
        waiting.min(free.sum())
    }

    /// Jobs of a kind that were sent first between two times, with their outcomes.
    pub fn of(&self, kind: usize, from: u64, to: u64) -> impl Iterator<Item = &Call> {
        let born = from..to;
        self.calls.iter().filter(move |call| call.kind == kind && born.contains(&call.born))
    }

    /// Share of the jobs of a kind, sent first between two times, that ended so.
    pub fn share(&self, kind: usize, from: u64, to: u64, outcome: Outcome) -> f64 {
        let all = self.of(kind, from, to).count();
        let ended = |call: &&Call| call.end.is_some_and(|(_, end)| end == outcome);
        ratio(self.of(kind, from, to).filter(ended).count(), all)
    }
}

pub fn ratio(part: usize, all: usize) -> f64 {
    let float = |count: usize| f64::from(u32::try_from(count).expect("few"));
    if all == 0 { 1.0 } else { float(part) / float(all) }
}

fn value_at(steps: &[(u64, f64)], ms: u64, before: f64) -> f64 {
    steps.iter().take_while(|(from, _)| *from <= ms).last().map_or(before, |(_, value)| *value)
}

/// A run time of log-normal distribution.
fn sample(mean: f64, rng: &mut fastrand::Rng) -> u64 {
    const SPREAD: f64 = 0.4;
    // Sum of twelve even numbers: nearly a standard normal one.
    let normal = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    scaled(1, mean * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp())
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive and small")]
fn scaled(ms: u64, factor: f64) -> u64 {
    let ms = f64::from(u32::try_from(ms).expect("a short time"));
    (ms * factor).round().max(1.0) as u64
}

fn pick(zones: &[(&'static str, f64)], rng: &mut fastrand::Rng) -> &'static str {
    let mut rest = rng.f64() * zones.iter().map(|(_, weight)| weight).sum::<f64>();
    for (zone, weight) in zones {
        rest -= weight;
        if rest < 0.0 {
            return zone;
        }
    }
    zones.last().map_or("a", |(zone, _)| zone)
}
