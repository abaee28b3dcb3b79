//! Shards of the instance, each with its own lock and thread.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{Receiver, RecvTimeoutError, SyncSender, TryRecvError, sync_channel},
    },
    thread::JoinHandle,
    time::Duration,
};

use cranberryhatch_core::{Command, Dispatcher, Event, Identity};
use cranberryhatch_schema::peer::envelope::Body;
use cranberryhatch_types::{Incarnation, JobKey, ShardId, Time};

use crate::clock::Clock;

/// Time between two ticks of a shard.
const TICK: Duration = Duration::from_millis(10);
/// Events that may wait for a shard.
const BACKLOG: usize = 65_536;
/// Events handled under one lock.
const BATCH: usize = 64;

/// Shards of one instance.
pub struct Shards {
    shards: Vec<Shard>,
}

struct Shard {
    dispatcher: Arc<Mutex<Dispatcher>>,
    events: SyncSender<Option<Event>>,
}

/// Threads of the shards, to be joined.
pub struct ShardThreads(Vec<JoinHandle<()>>);

impl ShardThreads {
    /// Waits for all threads, which end after [`Shards::stop`].
    pub fn join(self) {
        for thread in self.0 {
            // A panic of a shard was already printed by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Shards {
    /// Starts a thread a shard; `make` gives what carries out the commands of the shard with an
    /// index, together with the time at which they were decided.
    pub fn start<F>(identities: Vec<Identity>, clock: Clock, make: F) -> (Arc<Self>, ShardThreads)
    where
        F: Fn(u32) -> Box<dyn FnMut(Time, Command) + Send>,
    {
        let mut shards = Vec::new();
        let mut threads = Vec::new();
        for identity in identities {
            let (events, inbox) = sync_channel(BACKLOG);
            let run = make(identity.shard.shard);
            let dispatcher = Arc::new(Mutex::new(Dispatcher::new(identity)));
            let own = Arc::clone(&dispatcher);
            threads.push(std::thread::spawn(move || run_shard(&own, &inbox, clock, run)));
            shards.push(Shard { dispatcher, events });
        }
        (Arc::new(Self { shards }), ShardThreads(threads))
    }

    /// Index of the shard that holds a job.
    #[must_use]
    pub fn of(&self, key: &JobKey) -> usize {
        let sum = key
            .to_string()
            .bytes()
            .fold(17_u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte)));
        usize::try_from(sum % self.shards.len() as u64).unwrap_or(0)
    }

    /// Number of shards.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shards.len()
    }

    /// Whether there are no shards.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// Sends an event to one shard, waiting while its inbox is full.
    pub fn send(&self, shard: usize, event: Event) {
        // After a stop nobody reads the events.
        let _ = self.shards[shard].events.send(Some(event));
    }

    /// Sends an event to one shard unless its inbox is full.
    pub fn try_send(&self, shard: usize, event: Event) -> bool {
        let shard = self.shards.get(shard);
        shard.is_some_and(|shard| shard.events.try_send(Some(event)).is_ok())
    }

    /// Hands on a message of another shard unless the inbox is full.
    ///
    /// A question about a job goes to the shard that the job's key selects, because the sender does
    /// not know how many shards this instance has.
    pub fn deliver(&self, to: usize, from: ShardId, incarnation: Incarnation, body: Body) -> bool {
        let to = match &body {
            Body::Forward(forward) => match forward.key.parse() {
                Ok(key) => self.of(&key),
                Err(_) => return false,
            },
            _ => to,
        };
        self.try_send(to, Event::Peer { from, incarnation, body })
    }

    /// Sends an event to every shard.
    pub fn send_all(&self, event: &Event) {
        for shard in 0..self.shards.len() {
            self.send(shard, event.clone());
        }
    }

    /// Ends the threads of all shards.
    pub fn stop(&self) {
        for shard in &self.shards {
            // A shard that has ended already needs no stop.
            let _ = shard.events.send(None);
        }
    }

    /// Reads something of one shard.
    pub fn look<T>(&self, shard: usize, read: impl FnOnce(&Dispatcher) -> T) -> T {
        let dispatcher = &self.shards[shard].dispatcher;
        read(&dispatcher.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Reads something of every shard.
    pub fn look_all<T>(&self, read: impl Fn(&Dispatcher) -> T) -> Vec<T> {
        (0..self.len()).map(|shard| self.look(shard, &read)).collect()
    }

    /// Version of the settings that every shard has in force.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.look_all(Dispatcher::version).into_iter().min().unwrap_or(0)
    }
}

fn run_shard(
    dispatcher: &Mutex<Dispatcher>,
    inbox: &Receiver<Option<Event>>,
    clock: Clock,
    mut run: Box<dyn FnMut(Time, Command) + Send>,
) {
    let mut out = Vec::new();
    let mut ticked = clock.now();
    loop {
        let first = match inbox.recv_timeout(TICK) {
            Ok(Some(event)) => Some(event),
            Err(RecvTimeoutError::Timeout) => None,
            Ok(None) | Err(RecvTimeoutError::Disconnected) => return,
        };
        // Read once a batch and before it, so that a pause within the batch makes its commands old.
        let now = clock.now();
        let mut stop = false;
        {
            let mut dispatcher = dispatcher.lock().unwrap_or_else(PoisonError::into_inner);
            if Duration::from(now.since(ticked)) >= TICK {
                ticked = now;
                dispatcher.handle(now, Event::Tick, &mut out);
            }
            let mut next = first;
            let mut left = BATCH;
            while let Some(event) = next.take() {
                dispatcher.handle(now, event, &mut out);
                left -= 1;
                if left == 0 {
                    break;
                }
                match inbox.try_recv() {
                    Ok(Some(event)) => next = Some(event),
                    Ok(None) | Err(TryRecvError::Disconnected) => stop = true,
                    Err(TryRecvError::Empty) => {}
                }
            }
        }
        out.drain(..).for_each(|command| run(now, command));
        if stop {
            return;
        }
    }
}
