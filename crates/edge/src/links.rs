//! Links to the other instances.
//!
//! A link is one connection. Of two instances the one with the larger name opens it; the other one
//! introduces itself until that happens. A message that is not written when the connection ends is
//! lost, and none of an earlier connection is handled after a later one was opened.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender};
use cranberryhatch_fleet::{Member, VecMap};
use cranberryhatch_schema::fleet::{Hello, frame::Body};
use cranberryhatch_types::InstanceId;
use event_listener::Event;
use smol::{
    Executor, Task, Timer,
    future::FutureExt,
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

use crate::frames::{FrameReader, encode};

/// Longest time for a connection to be made; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that a peer may take to read on.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time until the first message on a connection.
const HELLO_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after the end of a link until the next try to connect; both sides may live.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// First time between two tries to connect.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest time between two tries to connect.
const RETRY_MAX: Duration = Duration::from_millis(400);
/// Messages that wait for a peer that reads slowly; with more the link is given up.
const MAX_QUEUED_MESSAGES: usize = 8_192;

/// What happens on links.
pub trait LinkEvents: Send + Sync + 'static {
    /// A link came up.
    fn link_up(self: &Arc<Self>, peer: Member);
    /// A link went down.
    fn link_down(self: &Arc<Self>, peer: &InstanceId);
    /// Nothing listens at the address of a peer whose link is down.
    fn peer_gone(self: &Arc<Self>, peer: &InstanceId);
    /// Messages of a peer whose link is up.
    fn messages(self: &Arc<Self>, peer: &InstanceId, messages: Vec<Body>);
}

/// A connection that carries a link.
struct Connection {
    // Tells the connection from earlier ones to the same peer.
    number: u64,
    queue: Sender<Vec<u8>>,
}

/// A connection whose other side has said who it is.
struct PeerStream {
    reader: FrameReader<TcpStream>,
    writer: TcpStream,
    // Messages that came together with the greeting.
    early_messages: Vec<Body>,
}

impl PeerStream {
    async fn open(stream: TcpStream) -> io::Result<(Hello, Self)> {
        let mut reader = FrameReader::new(stream.clone());
        let mut early_messages = with_timeout(HELLO_TIMEOUT, reader.next()).await?;
        match early_messages.remove(0) {
            Body::Hello(hello) => Ok((hello, Self { reader, writer: stream, early_messages })),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

struct Peer {
    hello: Hello,
    addr: SocketAddr,
    connection: Option<Connection>,
    // Told when the peer has shown that it can be reached.
    redial: Sender<()>,
    // Keeps the link open; dropping it stops that.
    _task: Task<()>,
}

/// All links of this instance.
pub struct Links {
    me: Hello,
    executor: Arc<Executor<'static>>,
    peers: Mutex<VecMap<InstanceId, Peer>>,
    next_connection: AtomicU64,
    // Ends the pauses between tries to connect: a link that comes up may be one of several.
    any_link_up: Event,
    // Peers to which this instance keeps a link open, sorted.
    wanted: Mutex<Vec<InstanceId>>,
    // Told when the wanted peers change, and when a link is down.
    changed: Event,
}

impl Links {
    /// No links yet.
    #[must_use]
    pub fn new(me: Hello, executor: Arc<Executor<'static>>) -> Self {
        Self {
            me,
            executor,
            peers: Mutex::default(),
            next_connection: AtomicU64::new(0),
            any_link_up: Event::new(),
            wanted: Mutex::default(),
            changed: Event::new(),
        }
    }

    fn peers(&self) -> MutexGuard<'_, VecMap<InstanceId, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this instance says of itself.
    #[must_use]
    pub const fn me(&self) -> &Hello {
        &self.me
    }

    /// Whether no peer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers().is_empty()
    }

    /// Sends a message, or drops it when the link is down.
    pub fn send<E: LinkEvents>(self: &Arc<Self>, events: &Arc<E>, to: &InstanceId, message: Body) {
        let number = match self.peers().get(to) {
            Some(Peer { connection: Some(connection), .. }) => {
                let has_room = connection.queue.len() < MAX_QUEUED_MESSAGES;
                if has_room && connection.queue.try_send(encode(message)).is_ok() {
                    return;
                }
                connection.number
            }
            _ => return,
        };
        // The peer reads too slowly. The caller may hold the lock that the event takes.
        let (links, events, to) = (Arc::clone(self), Arc::clone(events), to.clone());
        self.executor.spawn(async move { links.close_if_current(&events, &to, number) }).detach();
    }

    /// Keeps links open to these peers, which are sorted, and to others only as long as they last.
    pub fn set_wanted(&self, peers: Vec<InstanceId>) {
        *self.wanted.lock().unwrap_or_else(PoisonError::into_inner) = peers;
        self.changed.notify(usize::MAX);
    }

    fn is_wanted(&self, id: &InstanceId) -> bool {
        let wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        wanted.binary_search(id).is_ok()
    }

    /// Waits until a link to a peer is wanted and missing.
    async fn wait_until_missing(&self, id: &InstanceId) {
        loop {
            let changed = self.changed.listen();
            let is_down = self.peers().get(id).is_some_and(|peer| peer.connection.is_none());
            if is_down && self.is_wanted(id) {
                return;
            }
            changed.await;
        }
    }

    /// Learns of a peer, to which a link is kept open if it is wanted on either side.
    pub fn add_peer<E: LinkEvents>(self: &Arc<Self>, events: &Arc<E>, hello: Hello) {
        let Ok(addr) = hello.addr.parse::<SocketAddr>() else { return };
        let Ok(id) = hello.instance.parse::<InstanceId>() else { return };
        if hello.instance == self.me.instance {
            return;
        }
        let mut peers = self.peers();
        if let Some(peer) = peers.get_mut(&id)
            && (hello.incarnation < peer.hello.incarnation || peer.addr == addr)
        {
            return;
        }
        let (redial, redials) = async_channel::bounded(1);
        let task = if self.dials(&hello) {
            self.executor.spawn(Arc::clone(self).dial(
                Arc::clone(events),
                id.clone(),
                addr,
                redials,
            ))
        } else {
            self.executor.spawn(Arc::clone(self).announce_until_linked(
                Arc::clone(events),
                id.clone(),
                addr,
            ))
        };
        peers.insert(id, Peer { hello, addr, connection: None, redial, _task: task });
    }

    /// Whether this instance opens the connection to a peer; the other one only accepts it, so that
    /// two connections that are opened at the same time cannot end each other.
    fn dials(&self, peer: &Hello) -> bool {
        self.me.instance > peer.instance
    }

    async fn dial<E: LinkEvents>(
        self: Arc<Self>,
        events: Arc<E>,
        id: InstanceId,
        addr: SocketAddr,
        redials: Receiver<()>,
    ) {
        let mut delay = RETRY_MIN;
        loop {
            let redial_requested = async {
                // Its sender lives as long as this task.
                let _ = redials.recv().await;
            };
            self.wait_until_missing(&id).or(redial_requested).await;
            loop {
                let connected = async { Some(self.connect(addr).await) };
                let redial_requested = async {
                    let _ = redials.recv().await;
                    None
                };
                match connected.or(redial_requested).await {
                    // What was sent before the peer could be reached is not answered.
                    None => continue,
                    Some(Ok((hello, stream))) if hello.instance == id.as_str() => {
                        delay = RETRY_MIN;
                        self.run_link(&events, &id, hello, stream).await;
                        Timer::after(RECONNECT_DELAY).await;
                        continue;
                    }
                    Some(Err(error)) if is_connection_refused(&error) => events.peer_gone(&id),
                    Some(Ok(_) | Err(_)) => {}
                }
                break;
            }
            let redial_requested = async {
                let _ = redials.recv().await;
            };
            self.wait_to_retry(delay).or(redial_requested).await;
            delay = (delay * 2).min(RETRY_MAX);
        }
    }

    /// Waits for the next try to connect: until another link came up, but for the shortest pause at
    /// least.
    async fn wait_to_retry(&self, delay: Duration) {
        let any_link_up = self.any_link_up.listen();
        Timer::after(RETRY_MIN).await;
        let rest = async {
            Timer::after(delay.saturating_sub(RETRY_MIN)).await;
        };
        any_link_up.or(rest).await;
    }

    /// Opens a connection; both sides say who they are.
    async fn connect(&self, addr: SocketAddr) -> io::Result<(Hello, PeerStream)> {
        let mut stream = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await?;
        // Messages are small and must not wait for each other.
        stream.set_nodelay(true)?;
        let hello = encode(Body::Hello(self.me.clone()));
        with_timeout(WRITE_TIMEOUT, stream.write_all(&hello)).await?;
        PeerStream::open(stream).await
    }

    /// Tells a peer that opens the connections where this instance is, while there is no link.
    async fn announce_until_linked<E: LinkEvents>(
        self: Arc<Self>,
        events: Arc<E>,
        id: InstanceId,
        addr: SocketAddr,
    ) {
        loop {
            self.wait_until_missing(&id).await;
            if self.connect(addr).await.is_err_and(|error| is_connection_refused(&error)) {
                events.peer_gone(&id);
            }
            self.wait_to_retry(RETRY_MAX).await;
        }
    }

    /// Tells an instance that this one is here; it opens a connection then, or answers this one.
    pub async fn announce(&self, addr: SocketAddr) {
        // A failure shows in that no link comes up.
        let _ = self.connect(addr).await;
    }

    /// Accepts connections of peers.
    pub async fn accept<E: LinkEvents>(self: Arc<Self>, events: Arc<E>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let greeting = Arc::clone(&self).handle_incoming(Arc::clone(&events), stream);
                    self.executor.spawn(greeting).detach();
                }
                // Out of descriptors: wait before the next try.
                Err(_) => {
                    Timer::after(RETRY_MIN).await;
                }
            }
        }
    }

    async fn handle_incoming<E: LinkEvents>(
        self: Arc<Self>,
        events: Arc<E>,
        mut stream: TcpStream,
    ) {
        let Ok((hello, peer_stream)) = PeerStream::open(stream.clone()).await else { return };
        let Ok(id) = hello.instance.parse::<InstanceId>() else { return };
        self.add_peer(&events, hello.clone());
        let answer = encode(Body::Hello(self.me.clone()));
        let nodelay = stream.set_nodelay(true);
        let answered = with_timeout(WRITE_TIMEOUT, stream.write_all(&answer)).await;
        if self.dials(&hello) {
            self.redial(&id);
            return;
        }
        if nodelay.and(answered).is_err() {
            return;
        }
        self.run_link(&events, &id, hello, peer_stream).await;
    }

    /// Has the peer dialled at once, as it can be reached.
    fn redial(&self, id: &InstanceId) {
        let peers = self.peers();
        if let Some(Peer { connection: None, redial, .. }) = peers.get(id) {
            // A knock that is not handled yet is enough.
            let _ = redial.try_send(());
        }
    }

    /// Carries a link on a connection until one side ends it.
    async fn run_link<E: LinkEvents>(
        &self,
        events: &Arc<E>,
        id: &InstanceId,
        hello: Hello,
        stream: PeerStream,
    ) {
        let PeerStream { reader, writer, early_messages } = stream;
        let Some(member) = member_from_hello(&hello) else { return };
        let number = self.next_connection.fetch_add(1, Ordering::Relaxed) + 1;
        // A bounded channel would take memory for all messages that may wait, for each link.
        let (queue, messages) = async_channel::unbounded();
        // A new connection means that the peer has given the earlier one up.
        self.reset(events, id);
        match self.peers().get_mut(id) {
            Some(peer) => {
                peer.hello = hello;
                peer.connection = Some(Connection { number, queue });
            }
            None => return,
        }
        events.link_up(member);
        self.any_link_up.notify(usize::MAX);
        let read = self.read(events, id, number, reader, early_messages);
        let write = write(writer, &messages);
        // The error only says that the connection is over.
        let _ = read.or(write).await;
        self.close_if_current(events, id, number);
    }

    async fn read<E: LinkEvents>(
        &self,
        events: &Arc<E>,
        id: &InstanceId,
        number: u64,
        mut reader: FrameReader<TcpStream>,
        early_messages: Vec<Body>,
    ) -> io::Result<()> {
        let mut messages = early_messages;
        loop {
            if !self.is_current(id, number) {
                return Ok(());
            }
            if !messages.is_empty() {
                events.messages(id, messages);
            }
            messages = reader.next().await?;
        }
    }

    fn is_current(&self, id: &InstanceId, number: u64) -> bool {
        let peers = self.peers();
        let connection = peers.get(id).and_then(|peer| peer.connection.as_ref());
        connection.is_some_and(|connection| connection.number == number)
    }

    fn close_if_current<E: LinkEvents>(&self, events: &Arc<E>, id: &InstanceId, number: u64) {
        if self.is_current(id, number) {
            self.reset(events, id);
        }
    }

    /// Ends the link to a peer; it is opened again.
    pub fn reset<E: LinkEvents>(&self, events: &Arc<E>, id: &InstanceId) {
        let connection = self.peers().get_mut(id).and_then(|peer| peer.connection.take());
        if let Some(connection) = connection {
            connection.queue.close();
            self.changed.notify(usize::MAX);
            events.link_down(id);
        }
    }
}

async fn write(mut stream: TcpStream, messages: &Receiver<Vec<u8>>) -> io::Result<()> {
    loop {
        let mut bytes = messages.recv().await.map_err(io::Error::other)?;
        while let Ok(more) = messages.try_recv() {
            bytes.extend_from_slice(&more);
        }
        with_timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await?;
    }
}

/// Whether nothing listens at an address: the process there has ended.
fn is_connection_refused(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// What a peer says of itself; none if it cannot be read.
pub(crate) fn member_from_hello(hello: &Hello) -> Option<Member> {
    Some(Member {
        id: hello.instance.parse().ok()?,
        incarnation: hello.incarnation,
        zone: hello.zone.parse().ok()?,
        cores: hello.cores,
        draining: false,
        core: false,
        joined: false,
        version: 0,
    })
}

/// Runs a step of a connection for at most `limit`.
async fn with_timeout<T>(
    limit: Duration,
    step: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let expiry = async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    step.or(expiry).await
}
