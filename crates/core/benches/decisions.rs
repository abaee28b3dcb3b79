//! Throughput of one shard in decisions per second, and its memory with many waiting tasks.
//!
//! ```sh
//! cargo bench -p cranberryhatch-core
//! ```

use std::{sync::Arc, time::Instant};

use cranberryhatch_core::{
    AttemptId, Command, Dispatcher, Endpoint, Event, Identity, JobSpec, JobSubmission, Need,
    StartResponse, TaskSpec, Ticket,
};
use cranberryhatch_settings::{ActiveSettings, Tree};
use cranberryhatch_types::{
    Accels, Bytes, Cores, Holder, JobKey, KeyName, ShardId, Slots, Span, Time,
};

/// Tasks waiting during a measurement.
const WAITING: u64 = 100_000;
/// Events per measurement.
const EVENTS: u64 = 400_000;
/// Interval between two ticks, as in an entry instance.
const TICK: Span = Span::from_ms(10);

struct Load {
    shard: Dispatcher,
    holder: Holder,
    now: Time,
    jobs: u64,
    tasks: usize,
    teams: u64,
    in_flight: Vec<AttemptId>,
    out: Vec<Command>,
}

impl Load {
    fn new(workers: u32, tasks: usize, teams: u64) -> Self {
        let holder: Holder = "praha-a-1/7".parse().expect("a holder");
        let shard = ShardId { instance: holder.instance.clone(), shard: 0 };
        let zone: cranberryhatch_types::ZoneId = "praha-a".parse().expect("a zone");
        let me = Identity { shard, holder: holder.clone(), zone: zone.clone(), shards: 1 };
        let mut load = Self {
            shard: Dispatcher::new(me),
            holder,
            now: Time::from_ms(1_000),
            jobs: 0,
            tasks,
            teams,
            in_flight: Vec::new(),
            out: Vec::new(),
        };
        let text = "[root]\nadmission.queue=1000000\nadmission.early=off\n";
        let tree = Tree::parse(text).expect("valid settings");
        load.event(Event::Settings(Arc::new(ActiveSettings::new(1, tree, zone.clone()))));
        for no in 0..workers {
            load.event(Event::EndpointSeen(Endpoint {
                worker: format!("w{no}").parse().expect("a worker"),
                zone: zone.clone(),
                rack: format!("r{}", no / 8).parse().expect("a rack"),
                slots: Slots::new(8),
                free: Slots::new(8),
                leaving: false,
                cores: Cores::new(32_000),
                memory: Bytes::from_mib(64 << 10),
                accels: Accels::new(0),
                heartbeat_sent: Time::ZERO,
            }));
        }
        load
    }

    fn event(&mut self, event: Event) {
        self.shard.handle(self.now, event, &mut self.out);
        for command in self.out.drain(..) {
            if let Command::Start(start) = command {
                self.in_flight.push(start.attempt);
            }
        }
    }

    fn submit(&mut self) {
        let number = self.jobs;
        self.jobs += 1;
        let time = Time::from_ms(1_000_000 + self.now.as_ms());
        let team = format!("team-{}", number % self.teams).parse().expect("a team");
        let key =
            JobKey { team, name: KeyName::Issued { time, holder: self.holder.clone(), number } };
        let task = |index: usize| TaskSpec {
            payload: format!("payload of task {index} of job {number}").into(),
            run: Span::from_ms(300),
            need: Need::default(),
        };
        let job = JobSpec {
            key,
            digest: [1; 32],
            kind: "timing-pass".parse().expect("a kind"),
            label: None,
            idempotent: false,
            deadline: self.now + Span::from_secs(600),
            tasks: (0..self.tasks).map(task).collect(),
        };
        let submit = JobSubmission {
            ticket: Ticket(number),
            wall: time,
            until: Time::NEVER,
            first: true,
            job: job.into(),
        };
        self.event(Event::Submit(submit));
    }

    fn answer(&mut self) {
        let place = usize::try_from(self.jobs).unwrap_or(0) % self.in_flight.len();
        let attempt = self.in_flight.swap_remove(place);
        let answer = StartResponse::Done("result".into());
        self.event(Event::StartResponse { attempt, response: answer });
    }
}

/// Returns the resident memory of the process, in MiB.
fn memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) / 1_024
}

/// Returns the processor time used by the process in seconds, with a resolution of 10 ms. Other
/// load on the machine is not included.
fn cpu_secs() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks = fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok());
    ticks.sum::<f64>() / 100.0
}

/// Keeps the queue at a constant length: each round submits a job and answers as many tasks.
fn run(workers: u32, tasks: usize, teams: u64) {
    let mut load = Load::new(workers, tasks, teams);
    let before = memory();
    while load.shard.waiting() < WAITING {
        load.submit();
    }
    let filled = memory();
    let mut events = 0;
    let mut ticked = load.now;
    let (start, cpu) = (Instant::now(), cpu_secs());
    while events < EVENTS {
        load.submit();
        for _ in 0..tasks {
            load.answer();
        }
        events += 1 + tasks as u64;
        // The load is 100,000 events per second of simulated time.
        load.now = Time::from_ms(1_000 + events / 100);
        if load.now >= ticked + TICK {
            ticked = load.now;
            load.event(Event::Tick);
        }
    }
    let (elapsed, cpu) = (start.elapsed().as_secs_f64(), cpu_secs() - cpu);
    println!(
        "{workers} workers, {teams} teams, jobs of {tasks}: {:.0} events/s of processor time, {:.0} \
         elapsed; {} waiting, {} in flight; {} MiB for the queue, {} MiB in all",
        events as f64 / cpu,
        events as f64 / elapsed,
        load.shard.waiting(),
        load.shard.in_flight(),
        filled - before,
        memory(),
    );
}

fn main() {
    // A number as argument selects a single measurement.
    let only = std::env::args().skip(1).find_map(|arg| arg.parse::<usize>().ok());
    let loads = [(4, 100, 1), (48, 100, 1), (48, 100, 120), (4, 1, 1), (48, 1, 1), (48, 1, 120)];
    for (no, (workers, tasks, teams)) in loads.into_iter().enumerate() {
        if only.is_none_or(|only| only == no) {
            run(workers, tasks, teams);
        }
    }
}
