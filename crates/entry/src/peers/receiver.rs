//! Thread that receives messages of peers.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use cranberryhatch_schema::peer::{Envelope, envelope::Body};
use cranberryhatch_types::{Holder, Incarnation, ShardId, Time};
use nng::{
    Protocol, Socket,
    options::{Options, RecvBufferSize, RecvMaxSize, RecvTimeout},
};
use prost::Message as _;

use super::{Peers, Punctuality, Roster};
use crate::{
    clock::Clock,
    settings_store::SettingsStore,
    shards::Shards,
    telemetry::{IoCounter, Metrics},
};

/// Largest message, in bytes; an answer of a large job is the largest.
const MESSAGE_LIMIT: usize = 64 << 20;
/// Messages that wait to be read.
const RECEIVE_BUFFER: i32 = 1_024;
/// Longest time that the thread waits for a message before it looks whether it is to end.
///
/// Closing a socket does not always wake a receive that begins at the same time.
const RECEIVE_WAIT: Duration = Duration::from_millis(250);

/// The listener for peers and its thread; dropping it joins the thread.
pub struct Receiver {
    socket: Socket,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Where messages of peers go.
pub struct Route {
    /// This life of the instance.
    pub me: Holder,
    /// Clock of the process.
    pub clock: Clock,
    /// The shards.
    pub shards: Arc<Shards>,
    /// Peers, for answers and to learn addresses.
    pub peers: Arc<Peers>,
    /// Heartbeats of peers.
    pub roster: Arc<Roster>,
    /// Settings in force.
    pub settings: Arc<SettingsStore>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Judges the delay of messages.
    pub punctuality: Mutex<Punctuality>,
}

impl Receiver {
    /// Listens at an address and hands messages on.
    ///
    /// # Errors
    /// When the address cannot be opened.
    pub fn start(addr: SocketAddr, route: Route) -> anyhow::Result<Self> {
        let socket = Socket::new(Protocol::Pull0)?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_LIMIT)?;
        socket.set_opt::<RecvBufferSize>(RECEIVE_BUFFER)?;
        socket.set_opt::<RecvTimeout>(Some(RECEIVE_WAIT))?;
        socket.listen(&format!("tcp://{addr}"))?;
        let own = socket.clone();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            // A closed socket ends the thread; other failures concern one message.
            while !stopped.load(Ordering::Acquire) {
                match own.recv() {
                    Ok(message) => route.take(&message),
                    Err(nng::Error::Closed) => return,
                    Err(_) => {}
                }
            }
        });
        Ok(Self { socket, stop, thread: Some(thread) })
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        self.socket.close();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was already printed by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Route {
    fn take(&self, bytes: &[u8]) {
        self.metrics.count_io(IoCounter::PeerReceived, 1);
        self.metrics.count_io(IoCounter::PeerBytesIn, bytes.len() as u64);
        if self.accept(bytes).is_none() {
            self.metrics.count_io(IoCounter::PeerRefused, 1);
        }
    }

    /// Hands a message on; none when it is unreadable, late or the inbox is full.
    pub fn accept(&self, bytes: &[u8]) -> Option<()> {
        let envelope = Envelope::decode(bytes).ok()?;
        let incarnation = Incarnation::new(envelope.incarnation);
        let sender = Holder { instance: envelope.instance.parse().ok()?, incarnation };
        if sender.instance == self.me.instance {
            return None;
        }
        let now = self.clock.now();
        let sent = Time::from_ms(envelope.sent_ms);
        let mut punctuality = self.punctuality.lock().unwrap_or_else(PoisonError::into_inner);
        let punctual = punctuality.is_punctual(&sender, sent, now);
        drop(punctuality);
        if !punctual {
            return None;
        }
        if let Ok(addr) = envelope.addr.parse() {
            self.peers.learn(&sender.instance, addr);
        }
        let from = ShardId { instance: sender.instance.clone(), shard: envelope.from_shard };
        let to = usize::try_from(envelope.to_shard).ok()?;
        match envelope.body? {
            Body::SettingsOffer(offer) => {
                self.settings.offered(&from, offer.version, &offer.tree);
                Some(())
            }
            Body::SettingsAsk(ask) => {
                self.settings.asked(&from, ask.version);
                Some(())
            }
            body => {
                if let Body::Heartbeat(beat) = &body {
                    self.roster.note(&from, &sender, beat, now);
                    self.settings.heard(&from, beat.version);
                }
                self.shards.deliver(to, from, incarnation, body).then_some(())
            }
        }
    }
}
