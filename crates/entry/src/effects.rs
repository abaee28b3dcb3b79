//! Carries out what shards want done.

use std::sync::Arc;

use async_channel::Sender;
use cranberryhatch_core::{Command, Event, NotRun, Start, StartResponse, StateChange, StateName};
use cranberryhatch_schema::peer::envelope::Body;
use cranberryhatch_types::{Holder, ShardId, Time};

use crate::{
    claims::{Backlog, Notice},
    clock::Clock,
    endpoints::Endpoints,
    peers::Peers,
    replies::Replies,
    settings_store::SettingsStore,
    shards::Shards,
    takeover::Takeover,
    tasks::Tasks,
    telemetry::{IoCounter, IoTimer, Metrics},
};

/// What commands are carried out with.
pub struct Effects {
    /// This life of the instance.
    pub holder: Holder,
    /// Clock of the process.
    pub clock: Clock,
    /// Short tasks.
    pub tasks: Arc<Tasks>,
    /// Client of the endpoints.
    pub endpoints: Arc<Endpoints>,
    /// Requests that wait.
    pub replies: Arc<Replies>,
    /// Claims and records to be written.
    pub backlog: Arc<Backlog>,
    /// Other instances.
    pub peers: Arc<Peers>,
    /// Settings in force.
    pub settings: Arc<SettingsStore>,
    /// Takes over holders that are gone.
    pub takeover: Arc<Takeover>,
    /// The shards.
    pub shards: Arc<Shards>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Told when a shard has nothing in flight any more.
    pub drained: Sender<()>,
    /// Told when another holder took over this life.
    pub superseded: Sender<()>,
}

impl Effects {
    /// Carries out one command that the shard with an index decided at a time.
    pub fn run(&self, shard: usize, decided: Time, command: Command) {
        match command {
            Command::Reply { ticket, answer } => self.replies.reply(ticket, answer),
            Command::Claim(number, spec) => {
                if let Some(notice) = self.backlog.claim(number, &spec, self.clock.now()) {
                    self.notify(notice);
                }
            }
            Command::Admit(spec) => self.backlog.admit(&spec),
            Command::Record(spec, answer) => {
                let limit =
                    self.settings.current().map_or(0, |c| c.settings.local().claims_inline.get());
                self.backlog.record(&spec, &answer, limit);
            }
            Command::Release(key) => self.backlog.release(&key),
            Command::Start(start) => self.start(shard, decided, start),
            Command::QueryAttempt { attempt, name, worker, sent } => {
                let (endpoints, shards) = self.pair();
                self.tasks.spawn(async move {
                    let state = endpoints.settle(shard, attempt, &worker, &name, sent).await;
                    shards.send(shard, Event::AttemptStatus { attempt, status: state });
                });
            }
            Command::StopTasks { worker, names } => {
                let endpoints = Arc::clone(&self.endpoints);
                self.tasks.spawn(async move { endpoints.stop(&worker, &names).await });
            }
            Command::Send { to, body } => self.send(shard, &to, body),
            Command::TakeOver { holder, version } => {
                let (takeover, shards) = (Arc::clone(&self.takeover), Arc::clone(&self.shards));
                self.tasks.spawn(async move {
                    shards.send(shard, takeover.run(holder, version).await);
                });
            }
            Command::Fence { holder, worker } => {
                let (endpoints, shards) = self.pair();
                let lease = self.settings.task_lease();
                self.tasks.spawn(async move {
                    let (tasks, since) = match endpoints.fence(&holder, &worker, lease).await {
                        Some((tasks, since)) => (Some(tasks), since),
                        None => (None, Time::ZERO),
                    };
                    shards.send(shard, Event::Fenced { holder, worker, tasks, since });
                });
            }
            Command::Adopt(adoption) => {
                let shards = Arc::clone(&self.shards);
                // Waiting for room in another shard's inbox must not stop this shard.
                self.tasks.spawn(async move {
                    let to = shards.of(&adoption.job.key);
                    shards.send(to, Event::Adopt(adoption));
                });
            }
            Command::Count(counter, by) => self.metrics.count(counter, by),
            Command::State(state) => {
                if state == StateChange::Superseded {
                    self.end_life();
                }
                log_state(shard, &state);
            }
            Command::Drained => {
                // The receiver lives as long as the shards.
                let _ = self.drained.try_send(());
            }
        }
    }

    /// Leaves all rows to the successor and tells that a new life has to begin.
    fn end_life(&self) {
        self.backlog.abandon();
        // A full channel means that it was told already.
        let _ = self.superseded.try_send(());
    }

    fn pair(&self) -> (Arc<Endpoints>, Arc<Shards>) {
        (Arc::clone(&self.endpoints), Arc::clone(&self.shards))
    }

    fn start(&self, shard: usize, decided: Time, start: Start) {
        let (endpoints, shards) = self.pair();
        let (clock, metrics) = (self.clock, Arc::clone(&self.metrics));
        let lease = self.settings.holder_lease();
        self.tasks.spawn(async move {
            let delay = clock.now().since(decided);
            if delay >= lease {
                metrics.count_io(IoCounter::StartsStale, 1);
                let answer = StartResponse::NotRun(NotRun::Unreachable);
                return shards.send(
                    shard,
                    Event::StartResponse { attempt: start.attempt, response: answer },
                );
            }
            metrics.time(IoTimer::StartDelay, delay.into());
            if let Some(answer) = endpoints.start(shard, &start, decided, lease).await {
                shards
                    .send(shard, Event::StartResponse { attempt: start.attempt, response: answer });
            }
        });
    }

    fn send(&self, shard: usize, to: &ShardId, body: Body) {
        let from_shard = u32::try_from(shard).unwrap_or(u32::MAX);
        if to.instance != self.holder.instance {
            return self.peers.send(from_shard, to, body);
        }
        let from = ShardId { instance: self.holder.instance.clone(), shard: from_shard };
        let target = usize::try_from(to.shard).unwrap_or(usize::MAX);
        if !self.shards.deliver(target, from, self.holder.incarnation, body) {
            self.metrics.count_io(IoCounter::PeerDropped, 1);
        }
    }

    fn notify(&self, (key, number, outcome): Notice) {
        let shards = Arc::clone(&self.shards);
        self.tasks.spawn(async move {
            shards.send(shards.of(&key), Event::Claimed { key, number, outcome });
        });
    }
}

fn log_state(shard: usize, state: &StateChange) {
    let name = StateName::from(state).to_string();
    log::info!(shard = shard, change = name.as_str(); "{state:?}");
}
