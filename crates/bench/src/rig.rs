//! A shard with workers that respond immediately.

use std::sync::Arc;

use cranberryhatch_core::{
    AttemptId, Command, Dispatcher, Endpoint, Event, Identity, JobSpec, JobSubmission, Listing,
    Need, StartResponse, TaskSpec, Ticket,
};
use cranberryhatch_settings::{ActiveSettings, Tree};
use cranberryhatch_types::{
    Accels, Bytes, Cores, Holder, Incarnation, JobKey, KeyName, ShardId, Slots, Span, Time,
};

/// Unix time at which all keys are issued.
const WALL: Time = Time::from_ms(1_700_000_000_000);

/// A shard under test with its simulated environment.
pub struct Rig {
    dispatcher: Dispatcher,
    holder: Holder,
    now: Time,
    out: Vec<Command>,
    started: Vec<AttemptId>,
    keys: u64,
    events: u64,
    replies: u64,
}

impl Rig {
    /// Creates a shard with `workers` workers of eight slots, alone in its zone.
    ///
    /// # Panics
    /// Panics if an id is invalid, which would be a bug.
    #[must_use]
    pub fn new(workers: u32) -> Self {
        let instance: cranberryhatch_types::InstanceId = "e1".parse().expect("an id");
        let holder = Holder { instance: instance.clone(), incarnation: Incarnation::new(1) };
        let identity = Identity {
            shard: ShardId { instance, shard: 0 },
            holder: holder.clone(),
            zone: "z1".parse().expect("an id"),
            shards: 1,
        };
        let mut rig = Self {
            dispatcher: Dispatcher::new(identity),
            holder,
            now: Time::from_ms(1_000),
            out: Vec::new(),
            started: Vec::new(),
            keys: 0,
            events: 0,
            replies: 0,
        };
        let tree = Tree::parse("[root]\nadmission.early = off\nadmission.queue = 1000000\n");
        let zone = "z1".parse().expect("an id");
        let settings = ActiveSettings::new(1, tree.expect("a tree"), zone);
        rig.handle(Event::Settings(Arc::new(settings)));
        rig.handle(Event::Platform { reachable: true });
        rig.handle(Event::Renewed(rig.now));
        rig.list(workers);
        rig.see(workers);
        rig
    }

    fn list(&mut self, workers: u32) {
        let listing = |number| Listing::Endpoint {
            id: format!("w{number}").parse().expect("an id"),
            addr: ([127, 0, 0, 1], 1).into(),
            zone: "z1".parse().expect("an id"),
            rack: format!("r{}", number / 8).parse().expect("an id"),
            leaving: false,
        };
        let listings: Vec<Listing> = (0..workers).map(listing).collect();
        self.handle(Event::Listed(Arc::new(listings)));
    }

    /// Delivers one heartbeat response of each worker to the shard.
    pub fn see(&mut self, workers: u32) {
        for number in 0..workers {
            let endpoint = Endpoint {
                worker: format!("w{number}").parse().expect("an id"),
                zone: "z1".parse().expect("an id"),
                rack: format!("r{}", number / 8).parse().expect("an id"),
                slots: Slots::new(8),
                free: Slots::new(8),
                leaving: false,
                cores: Cores::new(32_000),
                memory: Bytes::from_mib(65_536),
                accels: Accels::new(1),
                heartbeat_sent: self.now,
            };
            self.handle(Event::EndpointSeen(endpoint));
        }
    }

    /// Delivers an event to the shard and records the attempts that it starts.
    pub fn handle(&mut self, event: Event) {
        self.events += 1;
        self.dispatcher.handle(self.now, event, &mut self.out);
        for command in self.out.drain(..) {
            match command {
                Command::Start(start) => self.started.push(start.attempt),
                Command::Reply { .. } => self.replies += 1,
                _ => {}
            }
        }
    }

    /// Advances the time by one tick of 10 ms.
    pub fn tick(&mut self) {
        self.now = self.now + Span::from_ms(10);
        self.handle(Event::Tick);
    }

    /// Submits a job with an issued key.
    pub fn submit(&mut self, team: u32, tasks: usize) {
        self.keys += 1;
        let name = KeyName::Issued { time: WALL, holder: self.holder.clone(), number: self.keys };
        let task = TaskSpec {
            payload: bytes::Bytes::from_static(b"{}"),
            run: Span::from_ms(300),
            need: Need::default(),
        };
        let job = JobSpec {
            key: JobKey { team: format!("t{team}").parse().expect("an id"), name },
            digest: [0; 32],
            kind: "k".parse().expect("an id"),
            label: None,
            idempotent: false,
            deadline: self.now + Span::from_secs(600),
            tasks: vec![task; tasks],
        };
        let submit = JobSubmission {
            ticket: Ticket(self.keys),
            wall: WALL,
            until: self.now + Span::from_secs(600),
            first: true,
            job: Arc::new(job),
        };
        self.handle(Event::Submit(submit));
    }

    /// Responds to every attempt in flight.
    pub fn answer(&mut self) {
        for attempt in std::mem::take(&mut self.started) {
            let answer = StartResponse::Done(bytes::Bytes::from_static(b"ok"));
            self.handle(Event::StartResponse { attempt, response: answer });
        }
    }

    /// Returns the number of attempts in flight.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.started.len()
    }

    /// Returns the number of events handled.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of replies.
    #[must_use]
    pub const fn replies(&self) -> u64 {
        self.replies
    }
}
