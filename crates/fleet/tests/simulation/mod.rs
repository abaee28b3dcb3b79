//! Simulation of a scheduler under load, without a network.
//!
//! The fronts and owners are simulated: one front per zone requests capacity and starts what is
//! granted, and one owner per zone runs the tasks and reports their ends. All times are in
//! milliseconds. A job is in time if its last task ends within 1.6 times its longest task plus 60
//! ms, and late up to three times that.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;

use cranberryhatch_fleet::{
    Command, LogEvent, Message, Output, RunStats, Scheduler, TaskKey, WorkerList,
};
use cranberryhatch_schema::fleet::{Ask, Freed, Held, How, Place, Room, Rooms, Run};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::common::{listed, need};

/// Latency of a message between two instances or to a worker.
const LATENCY: u64 = 2;
/// Time between two ticks of the scheduler.
const TICK_INTERVAL: u64 = 20;
/// Time between two reports of an owner.
const REPORT_INTERVAL: u64 = 1_000;
/// Slowdown of runs outside the rack of their data.
const RACK_SLOWDOWN: f64 = 2.0;

/// A worker of the service `svc`.
#[derive(Clone, Debug)]
pub struct SimWorker {
    pub id: String,
    pub zone: &'static str,
    pub cores: u32,
    pub labels: Vec<String>,
    /// Slowdown of runs, each from a time on; sorted, 1 before the first.
    pub slowdown: Vec<(u64, f64)>,
}

/// Creates `count` workers of one size, spread over the zones in turn.
pub fn sim_workers(name: &str, count: usize, cores: u32, zones: &[&'static str]) -> Vec<SimWorker> {
    let worker = |number: usize| SimWorker {
        id: format!("{name}-{number}"),
        zone: zones[number % zones.len()],
        cores,
        labels: vec![name.to_owned()],
        slowdown: Vec::new(),
    };
    (0..count).map(worker).collect()
}

/// A kind of job with one step.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub priority: u32,
    pub tasks: u32,
    pub cores: u32,
    /// Mean run time of a task; the standard deviation of its logarithm is 0.4.
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

/// A job with all attempts of its caller.
#[derive(Clone, Debug)]
pub struct SimJob {
    pub kind: usize,
    pub zone: &'static str,
    /// Cores of each task.
    pub cores: u32,
    /// Run time of each task on a worker without slowdown.
    pub times: Vec<u64>,
    pub target: u64,
    /// Time until the caller gives up an attempt.
    pub timeout: u64,
    pub arrived: u64,
    /// When the current attempt was sent.
    pub sent: u64,
    pub attempts: u32,
    /// Tasks that wait for capacity.
    pub waiting: Vec<u32>,
    pub started: Option<u64>,
    pub done: u32,
    /// Outcome of the last attempt and its time.
    pub end: Option<(u64, Outcome)>,
    /// Age of the attempt at each refusal, and the time after which the caller was asked to retry.
    pub refusals: Vec<(u64, u64)>,
    /// Number of refusals while a worker had capacity for a task of the job.
    pub refused_beside: usize,
}

#[derive(Clone, Debug)]
enum Event {
    Send(usize),
    Ask(usize),
    Start(usize, Place),
    End(usize, u32, String, u64),
    Timeout(usize, u32),
    Freed(Freed),
    Report,
    Tick,
    Replace,
}

/// A scheduler under simulated load.
pub struct Simulation {
    pub now: u64,
    pub scheduler: Scheduler,
    pub workers: Vec<SimWorker>,
    pub kinds: Vec<Kind>,
    pub jobs: Vec<SimJob>,
    /// Log events of the scheduler with their times.
    pub log_events: Vec<(u64, LogEvent)>,
    /// Maximum number of attempts of a refused caller.
    pub max_attempts: u32,
    listing: WorkerList,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    // Runs by worker, job and task: when the run started, and how long it takes.
    runs: BTreeMap<(String, usize, u32), (u64, u64)>,
    /// Starts: when, on which worker, and of which job.
    pub starts: Vec<(u64, String, usize)>,
    // Statistics of the owner of each zone.
    stats: BTreeMap<&'static str, RunStats>,
}

fn instance(role: &str, zone: &str) -> InstanceId {
    format!("{role}-{zone}").parse().expect("a name")
}

fn name(job: usize) -> String {
    format!("{job:016x}")
}

impl Simulation {
    /// Creates a simulation with arrivals from 0 to `until` that depend on the seed only.
    pub fn new(seed: u64, workers: Vec<SimWorker>, kinds: Vec<Kind>, until: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let listed = workers.iter().map(|worker| {
            let mut entry = listed(&worker.id, worker.zone, worker.cores);
            entry.labels.clone_from(&worker.labels);
            entry
        });
        let mut listing = WorkerList::default();
        listing.replace(listed.collect(), Time::ZERO);
        let mut simulation = Self {
            now: 0,
            scheduler: Scheduler::default(),
            workers,
            kinds,
            jobs: Vec::new(),
            log_events: Vec::new(),
            max_attempts: 1,
            listing,
            events: BTreeMap::new(),
            count: 0,
            runs: BTreeMap::new(),
            starts: Vec::new(),
            stats: BTreeMap::new(),
        };
        simulation.at(0, Event::Report);
        simulation.at(0, Event::Tick);
        for kind in 0..simulation.kinds.len() {
            simulation.arrivals(kind, until, &mut rng);
        }
        simulation
    }

    fn arrivals(&mut self, number: usize, until: u64, rng: &mut fastrand::Rng) {
        let kind = self.kinds[number].clone();
        for ms in 0..until {
            let rate = value_at(&kind.rates, ms, 0.0) / 1_000.0;
            let mut chance = rng.f64();
            let mut likely = (-rate).exp();
            while chance > likely && rate > 0.0 {
                // Poisson-distributed number of arrivals in this millisecond.
                chance -= likely;
                likely *= rate;
                let times = (0..kind.tasks).map(|_| sample(kind.mean, rng)).collect::<Vec<_>>();
                let longest = times.iter().copied().max().unwrap_or_default();
                let job = SimJob {
                    kind: number,
                    zone: pick(&kind.zones, rng),
                    cores: kind.cores,
                    times,
                    target: longest * 8 / 5 + 60,
                    timeout: 3 * (scaled(1, kind.mean) * 16 / 5 + 60),
                    arrived: ms,
                    sent: ms,
                    attempts: 0,
                    waiting: Vec::new(),
                    started: None,
                    done: 0,
                    end: None,
                    refusals: Vec::new(),
                    refused_beside: 0,
                };
                self.jobs.push(job);
                self.at(ms, Event::Send(self.jobs.len() - 1));
            }
        }
    }

    /// Draws the cores of each job with a standard deviation of `spread` of the mean, up to `max`.
    #[must_use]
    pub fn with_core_spread(mut self, seed: u64, spread: f64, max: u32) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        for job in &mut self.jobs {
            let factor = 1.0 + spread * normal(&mut rng);
            job.cores =
                u32::try_from(scaled(job.cores.into(), factor.max(0.1))).expect("few").min(max);
        }
        self
    }

    fn at(&mut self, ms: u64, event: Event) {
        self.count += 1;
        self.events.insert((ms, self.count), event);
    }

    /// Replaces the scheduler by a new one without state.
    pub fn replace_at(&mut self, ms: u64) {
        self.at(ms, Event::Replace);
    }

    /// Runs the simulation until a time.
    pub fn run_until(&mut self, until: u64) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > until {
                self.at(at, event);
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let now = Time::from_ms(self.now);
        let tick = matches!(event, Event::Tick);
        match event {
            Event::Send(job) => self.send(job),
            Event::Ask(job) => self.ask(job),
            Event::Start(job, place) => return self.start(job, &place),
            Event::End(job, task, worker, run) => return self.end(job, task, &worker, run),
            Event::Timeout(job, attempts) => return self.timeout(job, attempts),
            Event::Freed(freed) => self.scheduler.run_ended(&freed, now),
            Event::Report => {
                self.report();
                self.at(self.now + REPORT_INTERVAL, Event::Report);
            }
            Event::Tick => self.at(self.now + TICK_INTERVAL, Event::Tick),
            Event::Replace => {
                self.scheduler = Scheduler::default();
                self.report();
                for job in 0..self.jobs.len() {
                    if !self.jobs[job].waiting.is_empty() && self.jobs[job].end.is_none() {
                        self.ask(job);
                    }
                }
            }
        }
        let mut out = Output::default();
        self.scheduler.schedule(now, tick, &mut out);
        for command in out.commands {
            match command {
                Command::Send { message: Message::Grant(grant), .. } => {
                    let job = usize::from_str_radix(&grant.job, 16).expect("a job");
                    for place in grant.places {
                        self.at(self.now + 2 * LATENCY, Event::Start(job, place));
                    }
                }
                Command::Send { message: Message::Refusal(refusal), .. } => {
                    let job = usize::from_str_radix(&refusal.job, 16).expect("a job");
                    self.refused(job, refusal.retry_ms.into());
                }
                Command::Log(note) => self.log_events.push((self.now, note)),
                _ => {}
            }
        }
    }

    fn send(&mut self, number: usize) {
        let job = &mut self.jobs[number];
        (job.sent, job.end) = (self.now, None);
        job.attempts += 1;
        job.waiting = (0..job.times.len()).map(|task| u32::try_from(task).expect("few")).collect();
        let (timeout, attempts) = (self.now + job.timeout, job.attempts);
        self.at(timeout, Event::Timeout(number, attempts));
        self.at(self.now + LATENCY, Event::Ask(number));
    }

    fn ask(&mut self, number: usize) {
        let job = &self.jobs[number];
        if job.waiting.is_empty() || job.end.is_some() {
            return;
        }
        let kind = &self.kinds[job.kind];
        let ms = |ms: u64| u32::try_from(ms).expect("a short time");
        let ask = Ask {
            job: name(number),
            tasks: job.waiting.clone(),
            kind: kind.name.to_owned(),
            service: "svc".to_owned(),
            priority: kind.priority,
            need: Some((&need(job.cores)).into()),
            declared_ms: kind.declared,
            age_ms: ms(self.now - job.sent),
            left_ms: ms((job.sent + job.timeout).saturating_sub(self.now)),
            rack: kind.rack.to_owned(),
            begun: job.started.is_some(),
            zone: job.zone.to_owned(),
            stretch: 1_600,
            slack_ms: 60,
            ..Ask::default()
        };
        self.scheduler.enqueue(&instance("front", job.zone), ask, Time::from_ms(self.now));
    }

    fn start(&mut self, number: usize, place: &Place) {
        let id: WorkerId = place.worker.parse().expect("an id");
        let worker = self.workers.iter().find(|worker| worker.id == place.worker);
        let worker = worker.expect("a worker").clone();
        let kind = self.kinds[self.jobs[number].kind].clone();
        let held = self.runs.keys().filter(|(id, ..)| *id == place.worker);
        let used: u32 = held.map(|(_, job, _)| self.jobs[*job].cores).sum();
        let key = TaskKey { job: name(number), step: 0, task: place.task };
        let job = &mut self.jobs[number];
        let waits = job.end.is_none() && job.waiting.contains(&place.task);
        if !waits || used + job.cores > worker.cores {
            self.scheduler.release_unused(&id, &key, waits, Time::from_ms(self.now));
            if waits {
                self.ask(number);
            }
            return;
        }
        job.waiting.retain(|task| *task != place.task);
        job.started.get_or_insert(self.now);
        let near = kind.rack.is_empty() || worker.labels.iter().any(|label| label == kind.rack);
        let factor =
            value_at(&worker.slowdown, self.now, 1.0) * if near { 1.0 } else { RACK_SLOWDOWN };
        let base = job.times[usize::try_from(place.task).expect("small")];
        let took = scaled(base, factor);
        self.runs.insert((place.worker.clone(), number, place.task), (self.now, took));
        let run = u64::from(place.run_ms);
        self.starts.push((self.now, place.worker.clone(), number));
        self.at(self.now + took, Event::End(number, place.task, place.worker.clone(), run));
    }

    fn end(&mut self, number: usize, task: u32, worker: &str, expected: u64) {
        let Some((_, took)) = self.runs.remove(&(worker.to_owned(), number, task)) else { return };
        self.free(number, task, worker, How::Done, (took, expected));
        let job = &mut self.jobs[number];
        job.done += 1;
        if job.done as usize == job.times.len() {
            let age = self.now + LATENCY - job.sent;
            let outcome = if age <= job.target { Outcome::InTime } else { Outcome::Late };
            job.end = Some((self.now + LATENCY, outcome));
        }
    }

    fn free(&mut self, job: usize, task: u32, worker: &str, how: How, ms: (u64, u64)) {
        let freed = Freed {
            run: Some(Run { job: name(job), step: 0, task, run: 1 }),
            worker: worker.to_owned(),
            how: how.into(),
            took_ms: u32::try_from(ms.0).expect("a short run"),
            expected_ms: u32::try_from(ms.1).expect("a short run"),
            kind: self.kinds[self.jobs[job].kind].name.to_owned(),
        };
        let span = Span::from_ms;
        let zone = self.workers.iter().find(|w| w.id == worker).map(|w| w.zone);
        let stats = self.stats.entry(zone.expect("a worker")).or_default();
        let id = worker.parse().expect("an id");
        stats.learn(&id, how, &freed.kind, span(ms.0), span(ms.1), Time::from_ms(self.now));
        self.at(self.now + LATENCY, Event::Freed(freed));
    }

    fn timeout(&mut self, number: usize, attempts: u32) {
        let job = &mut self.jobs[number];
        if job.end.is_some() || job.attempts != attempts {
            return;
        }
        job.end = Some((self.now, Outcome::GivenUp));
        self.scheduler.withdraw(&instance("front", job.zone), &name(number));
        let runs = self.runs.keys().filter(|(_, job, _)| *job == number);
        for (worker, job, task) in runs.cloned().collect::<Vec<_>>() {
            self.runs.remove(&(worker.clone(), job, task));
            self.free(job, task, &worker, How::Stopped, (0, 0));
        }
    }

    fn refused(&mut self, number: usize, retry: u64) {
        let has_room = self.has_room(self.jobs[number].cores);
        let job = &mut self.jobs[number];
        if job.started.is_some() || job.end.is_some() {
            return self.ask(number);
        }
        job.refused_beside += usize::from(has_room);
        job.refusals.push((self.now + LATENCY - job.sent, retry));
        job.end = Some((self.now + LATENCY, Outcome::Refused));
        if job.attempts < self.max_attempts {
            self.at(self.now + 2 * LATENCY + retry, Event::Send(number));
        }
    }

    /// Sends the reports of all owners.
    fn report(&mut self) {
        let mut zones: Vec<&'static str> = self.workers.iter().map(|worker| worker.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones {
            let own = self.workers.iter().filter(|worker| worker.zone == zone);
            let rooms = own.map(|worker| self.room(worker)).collect();
            let kinds = self.stats.get(zone).map(RunStats::report_kinds).unwrap_or_default();
            let rooms = Rooms { rooms, kinds, lost: Vec::new() };
            let now = Time::from_ms(self.now);
            self.scheduler.update_workers(&instance("owner", zone), rooms, &self.listing, now);
        }
    }

    fn room(&self, worker: &SimWorker) -> Room {
        let runs = self.runs.iter().filter(|((id, ..), _)| *id == worker.id);
        let held = runs.map(|((_, job, task), (since, _))| {
            let kind = &self.kinds[self.jobs[*job].kind];
            let left = scaled(1, kind.mean).saturating_sub(self.now - since).max(1);
            Held {
                run: Some(Run { job: name(*job), step: 0, task: *task, run: 1 }),
                need: Some((&need(self.jobs[*job].cores)).into()),
                left_ms: u32::try_from(left).expect("a short time"),
                front: String::new(),
                age_ms: None,
            }
        });
        let (name, held) = (worker.id.clone(), held.collect());
        let id = worker.id.parse().expect("an id");
        let stats = self.stats.get(worker.zone);
        let standing = stats.and_then(|stats| stats.report(&id, Time::from_ms(self.now)));
        Room { worker: name, token: 1, held, open: true, standing, ..Room::default() }
    }

    /// Returns the number of slots of a size that are free while tasks of that size wait, as far as
    /// the scheduler knows.
    ///
    /// Start requests in transit occupy their slots, and ends count once the scheduler has received
    /// them.
    pub fn idle(&self, cores: u32) -> usize {
        let mut used: BTreeMap<&str, u32> = BTreeMap::new();
        let mut in_transit: BTreeMap<usize, usize> = BTreeMap::new();
        for (id, job, _) in self.runs.keys() {
            *used.entry(id).or_default() += self.jobs[*job].cores;
        }
        for event in self.events.values() {
            let (worker, job) = match event {
                Event::Start(job, place) => (place.worker.as_str(), *job),
                Event::Freed(freed) => {
                    let run = freed.run.as_ref().expect("a run");
                    let job = usize::from_str_radix(&run.job, 16).expect("a job");
                    (freed.worker.as_str(), job)
                }
                _ => continue,
            };
            *used.entry(worker).or_default() += self.jobs[job].cores;
            if matches!(event, Event::Start(..)) {
                *in_transit.entry(job).or_default() += 1;
            }
        }
        let waits = |(number, job): (usize, &SimJob)| {
            let is_known = job.end.is_none() && job.sent + LATENCY <= self.now;
            let fits = is_known && job.cores <= cores;
            let in_transit = in_transit.get(&number).copied().unwrap_or_default();
            if fits { job.waiting.len().saturating_sub(in_transit) } else { 0 }
        };
        let waiting: usize = self.jobs.iter().enumerate().map(waits).sum();
        let free = self.workers.iter().map(|worker| {
            let used = used.get(worker.id.as_str()).copied().unwrap_or_default();
            (worker.cores.saturating_sub(used) / cores) as usize
        });
        waiting.min(free.sum())
    }

    /// Returns whether a worker runs so little, start requests in transit included, that a task of
    /// this size fits.
    fn has_room(&self, cores: u32) -> bool {
        let mut used: BTreeMap<&str, u32> = BTreeMap::new();
        for (id, job, _) in self.runs.keys() {
            *used.entry(id).or_default() += self.jobs[*job].cores;
        }
        for event in self.events.values() {
            if let Event::Start(job, place) = event {
                *used.entry(&place.worker).or_default() += self.jobs[*job].cores;
            }
        }
        self.workers.iter().any(|worker| {
            let used = used.get(worker.id.as_str()).copied().unwrap_or_default();
            worker.cores.saturating_sub(used) >= cores
        })
    }

    /// Returns the jobs of a kind that arrived between two times.
    pub fn jobs_between(&self, kind: usize, from: u64, to: u64) -> impl Iterator<Item = &SimJob> {
        let arrived = from..to;
        self.jobs.iter().filter(move |job| job.kind == kind && arrived.contains(&job.arrived))
    }

    /// Returns the share of the jobs of a kind, arrived between two times, that ended with an
    /// outcome.
    pub fn outcome_share(&self, kind: usize, from: u64, to: u64, outcome: Outcome) -> f64 {
        let all = self.jobs_between(kind, from, to).count();
        let ended = |job: &&SimJob| job.end.is_some_and(|(_, end)| end == outcome);
        ratio(self.jobs_between(kind, from, to).filter(ended).count(), all)
    }
}

pub fn ratio(part: usize, all: usize) -> f64 {
    let float = |count: usize| f64::from(u32::try_from(count).expect("few"));
    if all == 0 { 1.0 } else { float(part) / float(all) }
}

fn value_at(steps: &[(u64, f64)], ms: u64, before: f64) -> f64 {
    steps.iter().take_while(|(from, _)| *from <= ms).last().map_or(before, |(_, value)| *value)
}

/// Returns a log-normally distributed run time.
fn sample(mean: f64, rng: &mut fastrand::Rng) -> u64 {
    const SPREAD: f64 = 0.4;
    scaled(1, mean * (SPREAD * normal(rng) - SPREAD * SPREAD / 2.0).exp())
}

/// Returns a nearly normally distributed number: the sum of twelve uniform ones.
fn normal(rng: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
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
