//! A shard with its surroundings played by the test.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::sync::Arc;

use cranberryhatch_core::{
    Answer, AttemptId, AttemptStatus, ClaimOutcome, Code, Command, Counter, Dispatcher, Endpoint,
    Event, Identity, JobSpec, JobSubmission, Need, NotRun, Outcome, Payload, Start, StartResponse,
    TaskSpec, Ticket,
};
use cranberryhatch_schema::peer::envelope::Body;
use cranberryhatch_settings::{ActiveSettings, Tree};
use cranberryhatch_types::{
    Accels, Bytes, ClaimNo, Cores, Holder, JobKey, ShardId, Slots, Span, TaskName, Time, WorkerId,
};

/// Unix time of the start of each test.
pub const WALL: u64 = 1_000_000_000;
/// The life of the shard.
pub const HOLDER: &str = "praha-a-1/7";
/// Time between two ticks.
const TICK: Span = Span::from_ms(10);
/// Time between two heartbeats that a worker answers, as the entry process sends them.
const BEAT: Span = Span::from_ms(1_000);

/// A shard, the time, and the commands of the last step.
pub struct Rig {
    pub shard: Dispatcher,
    pub now: Time,
    pub out: Vec<Command>,
    ticket: u64,
    version: u64,
    beating: Vec<Endpoint>,
    claims: Vec<(JobKey, ClaimNo)>,
}

impl Rig {
    /// A shard with settings in force and no worker.
    pub fn new(settings: &str) -> Self {
        let mut rig = Self::unset();
        rig.settings(settings);
        rig
    }

    /// A shard without settings.
    pub fn unset() -> Self {
        let holder: Holder = HOLDER.parse().expect("a holder");
        let shard = ShardId { instance: holder.instance.clone(), shard: 0 };
        let zone = "praha-a".parse().expect("a zone");
        let shard = Dispatcher::new(Identity { shard, holder, zone, shards: 1 });
        let (now, out, beating) = (Time::from_ms(1_000), Vec::new(), Vec::new());
        Self { shard, now, out, ticket: 0, version: 0, beating, claims: Vec::new() }
    }

    /// Puts settings in force.
    pub fn settings(&mut self, text: &str) {
        self.version += 1;
        let tree = Tree::parse(text).expect("valid settings");
        let settings = ActiveSettings::new(self.version, tree, "praha-a".parse().expect("a zone"));
        self.event(Event::Settings(Arc::new(settings)));
    }

    /// Handles an event.
    pub fn event(&mut self, event: Event) -> &[Command] {
        self.out.clear();
        self.shard.handle(self.now, event, &mut self.out);
        self.claims.extend(self.out.iter().filter_map(|command| match command {
            Command::Claim(number, spec) => Some((spec.key.clone(), *number)),
            _ => None,
        }));
        &self.out
    }

    /// A worker answers a heartbeat, and goes on answering while time passes.
    pub fn worker(&mut self, id: &str, slots: u32) {
        let endpoint = Endpoint {
            worker: id.parse().expect("a worker"),
            zone: "praha-a".parse().expect("a zone"),
            rack: format!("rack-{id}").parse().expect("a rack"),
            slots: Slots::new(slots),
            free: Slots::new(slots),
            leaving: false,
            cores: Cores::new(32_000),
            memory: Bytes::from_mib(64 << 10),
            accels: Accels::new(0),
            heartbeat_sent: self.now,
        };
        self.beating.retain(|known| known.worker != endpoint.worker);
        self.beating.push(endpoint.clone());
        self.event(Event::EndpointSeen(endpoint));
    }

    /// A worker answers no heartbeat any more, which the shard is not told.
    pub fn silence(&mut self, id: &str) {
        self.beating.retain(|known| known.worker.as_str() != id);
    }

    // Heartbeats that are due since the last ones.
    fn beat(&mut self) -> Vec<Command> {
        let now = self.now;
        let due = |endpoint: &&mut Endpoint| now.since(endpoint.heartbeat_sent) >= BEAT;
        let mut answers = Vec::new();
        for endpoint in self.beating.iter_mut().filter(due) {
            endpoint.heartbeat_sent = now;
            answers.push(endpoint.clone());
        }
        let mut all = Vec::new();
        for endpoint in answers {
            all.extend_from_slice(self.event(Event::EndpointSeen(endpoint)));
        }
        all
    }

    /// Lets time pass with ticks, and returns all commands.
    pub fn pass(&mut self, ms: u64) -> Vec<Command> {
        let end = self.now + Span::from_ms(ms);
        let mut all = Vec::new();
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            all.extend(self.beat());
            all.extend_from_slice(self.event(Event::Tick));
        }
        self.out = all.clone();
        all
    }

    /// Submits a job for the first time with a request that waits for it.
    pub fn submit(&mut self, job: &JobSpec) -> Ticket {
        self.submit_as(job, true)
    }

    /// Submits a job whose key the caller may have sent before.
    pub fn resubmit(&mut self, job: &JobSpec) -> Ticket {
        self.submit_as(job, false)
    }

    fn submit_as(&mut self, job: &JobSpec, first: bool) -> Ticket {
        self.ticket += 1;
        let ticket = Ticket(self.ticket);
        let submit = JobSubmission {
            ticket,
            wall: Time::from_ms(WALL + self.now.as_ms()),
            until: Time::NEVER,
            first,
            job: Arc::new(job.clone()),
        };
        self.event(Event::Submit(submit));
        ticket
    }

    /// Submits a job under an own key and has the claim granted.
    pub fn run(&mut self, job: &JobSpec) -> (Ticket, Vec<Start>) {
        let ticket = self.submit(job);
        if matches!(job.key.name, cranberryhatch_types::KeyName::Own { .. }) {
            self.claimed(&job.key, ClaimOutcome::Granted);
        }
        (ticket, starts(&self.out))
    }

    /// Asks for the answer to a job, and waits for it for a while.
    pub fn wait(&mut self, key: &JobKey, ms: u64) -> Ticket {
        self.ticket += 1;
        let (ticket, until) = (Ticket(self.ticket), self.now + Span::from_ms(ms));
        self.event(Event::Wait { ticket, key: key.clone(), until });
        ticket
    }

    /// Cancels a job.
    pub fn cancel(&mut self, key: &JobKey) -> Ticket {
        self.ticket += 1;
        let ticket = Ticket(self.ticket);
        self.event(Event::Cancel { ticket, key: key.clone() });
        ticket
    }

    /// The platform answers the latest claim of a key.
    pub fn claimed(&mut self, key: &JobKey, outcome: ClaimOutcome) {
        self.claimed_as(key, self.claim(key), outcome);
    }

    /// The platform answers a claim of a key.
    pub fn claimed_as(&mut self, key: &JobKey, number: ClaimNo, outcome: ClaimOutcome) {
        self.event(Event::Claimed { key: key.clone(), number, outcome });
    }

    /// Number of the latest claim of a key; that of no claim if it was never claimed.
    pub fn claim(&self, key: &JobKey) -> ClaimNo {
        let latest = self.claims.iter().rev().find(|(of, _)| of == key);
        latest.map_or(ClaimNo::default(), |(_, number)| *number)
    }

    /// An endpoint answers a start.
    pub fn answer(&mut self, attempt: AttemptId, answer: StartResponse) {
        self.event(Event::StartResponse { attempt, response: answer });
    }

    /// An endpoint ran a task.
    pub fn done(&mut self, attempt: AttemptId) {
        self.answer(attempt, StartResponse::Done(result(attempt)));
    }

    /// An endpoint refuses a start.
    pub fn refuse(&mut self, attempt: AttemptId, reason: NotRun) {
        self.answer(attempt, StartResponse::NotRun(reason));
    }

    /// An endpoint answers a question.
    pub fn settle(&mut self, attempt: AttemptId, state: AttemptStatus) {
        self.event(Event::AttemptStatus { attempt, status: state });
    }

    /// Another instance sends a message.
    pub fn peer(&mut self, from: &str, body: Body) {
        let from: Holder = from.parse().expect("a holder");
        let shard = ShardId { instance: from.instance, shard: 0 };
        self.event(Event::Peer { from: shard, incarnation: from.incarnation, body });
    }

    /// The answer to a request in the last commands.
    pub fn reply(&self, ticket: Ticket) -> Option<Answer> {
        self.out.iter().find_map(|command| match command {
            Command::Reply { ticket: to, answer } if *to == ticket => Some(answer.clone()),
            _ => None,
        })
    }

    /// Outcome and reason of the answer to a request in the last commands.
    pub fn verdict(&self, ticket: Ticket) -> Option<(Outcome, Option<Code>)> {
        self.reply(ticket).map(|answer| (answer.outcome, answer.code))
    }
}

/// The result of an attempt.
pub fn result(attempt: AttemptId) -> Payload {
    format!("result of {}", attempt.0).into()
}

/// A key of team `script` made at the start of the test.
pub fn key(text: &str) -> JobKey {
    key_of("script", text)
}

/// A key of a team made at the start of the test.
pub fn key_of(team: &str, text: &str) -> JobKey {
    format!("{team}/{WALL}-{text}").parse().expect("a key")
}

/// A key handed out by a holder.
pub fn issued(holder: &str, number: u64) -> JobKey {
    let holder = holder.replace('/', "~");
    format!("script/{WALL}~{holder}~{number}").parse().expect("a key")
}

/// A job of `tasks` tasks, due 30 s after the start.
pub fn job(key: &JobKey, tasks: usize) -> JobSpec {
    let task = |index| TaskSpec {
        payload: format!("task {index}").into(),
        run: Span::from_ms(300),
        need: Need::default(),
    };
    JobSpec {
        key: key.clone(),
        digest: [1; 32],
        kind: "timing-pass".parse().expect("a kind"),
        label: None,
        idempotent: false,
        deadline: Time::from_ms(31_000),
        tasks: (0..tasks).map(task).collect(),
    }
}

/// The starts among commands.
pub fn starts(commands: &[Command]) -> Vec<Start> {
    let start = |command: &Command| match command {
        Command::Start(start) => Some(start.clone()),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}

/// The questions about attempts among commands.
pub fn questions(commands: &[Command]) -> Vec<(AttemptId, TaskName)> {
    let question = |command: &Command| match command {
        Command::QueryAttempt { attempt, name, .. } => Some((*attempt, name.clone())),
        _ => None,
    };
    commands.iter().filter_map(question).collect()
}

/// The stops among commands, with the number of attempts.
pub fn stops(commands: &[Command]) -> Vec<(WorkerId, usize)> {
    let stop = |command: &Command| match command {
        Command::StopTasks { worker, names } => Some((worker.clone(), names.len())),
        _ => None,
    };
    commands.iter().filter_map(stop).collect()
}

/// The messages to other shards among commands.
pub fn sent(commands: &[Command]) -> Vec<(ShardId, Body)> {
    let sent = |command: &Command| match command {
        Command::Send { to, body } => Some((to.clone(), body.clone())),
        _ => None,
    };
    commands.iter().filter_map(sent).collect()
}

/// How often something was counted.
pub fn counted(commands: &[Command], counter: Counter) -> u64 {
    let count = |command: &Command| match command {
        Command::Count(of, by) if *of == counter => Some(*by),
        _ => None,
    };
    commands.iter().filter_map(count).sum()
}

/// Whether the claim of a key is to be removed.
pub fn releases(commands: &[Command], key: &JobKey) -> bool {
    commands.iter().any(|command| matches!(command, Command::Release(of) if of == key))
}

/// Whether the end of a job is to be recorded.
pub fn records(commands: &[Command]) -> usize {
    commands.iter().filter(|command| matches!(command, Command::Record(..))).count()
}
