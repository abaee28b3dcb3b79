//! Links to the other instances.
//!
//! A link is a single TCP connection. Of two instances the one with the larger name opens it; the
//! other one announces itself until that happens. Messages that are not yet written when the
//! connection ends are lost, and no message of an earlier connection is handled after a later one
//! was opened.

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

/// Timeout for opening a connection; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a write, for peers that stop reading.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for the first message on a connection.
const HELLO_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay before reconnecting after a link has ended, since both processes may still be running.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// Minimum delay between attempts to connect.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Maximum delay between attempts to connect.
const RETRY_MAX: Duration = Duration::from_millis(400);
/// Maximum number of messages queued for a slow peer; when it is exceeded, the link is reset.
const MAX_QUEUED_MESSAGES: usize = 8_192;

/// Handler of link events.
pub trait LinkEvents: Send + Sync + 'static {
    /// Called when a link has been established.
    fn link_up(self: &Arc<Self>, peer: Member);
    /// Called when a link has ended.
    fn link_down(self: &Arc<Self>, peer: &InstanceId);
    /// Called when a peer without a link refuses a connection, so that its process has ended.
    fn peer_gone(self: &Arc<Self>, peer: &InstanceId);
    /// Called with messages from a peer whose link is established.
    fn messages(self: &Arc<Self>, peer: &InstanceId, messages: Vec<Body>);
}

/// Connection that carries a link.
struct Connection {
    // Distinguishes the connection from earlier ones to the same peer.
    number: u64,
    queue: Sender<Vec<u8>>,
    // Dropping it ends the task that reads and writes.
    _open: Sender<()>,
}

/// Connection whose remote side has sent its `Hello`.
struct PeerStream {
    reader: FrameReader<TcpStream>,
    writer: TcpStream,
    // Messages that arrived together with the `Hello`.
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
    // Requests an immediate connection attempt, as the peer has shown that it is reachable.
    redial: Sender<()>,
    // Task that keeps the link open; dropping it cancels the task.
    _task: Task<()>,
}

/// Links of this instance to its peers.
pub struct Links {
    me: Hello,
    executor: Arc<Executor<'static>>,
    peers: Mutex<VecMap<InstanceId, Peer>>,
    next_connection: AtomicU64,
    // Cuts delays between connection attempts short: when one link comes up, others may follow.
    any_link_up: Event,
    // Sorted ids of the peers to which this instance keeps a link open.
    wanted: Mutex<Vec<InstanceId>>,
    // Notified when the wanted peers change and when a link has ended.
    changed: Event,
}

impl Links {
    /// Creates the links of an instance; there are no peers yet.
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

    /// Returns the `Hello` that this instance sends.
    #[must_use]
    pub const fn me(&self) -> &Hello {
        &self.me
    }

    /// Returns whether no peer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers().is_empty()
    }

    /// Queues a message for a peer, or drops it if there is no link.
    pub fn send<E: LinkEvents>(self: &Arc<Self>, events: &Arc<E>, to: &InstanceId, message: Body) {
        let number = match self.peers().get(to) {
            Some(Peer { connection: Some(connection), .. }) => {
                let has_capacity = connection.queue.len() < MAX_QUEUED_MESSAGES;
                if has_capacity && connection.queue.try_send(encode(message)).is_ok() {
                    return;
                }
                connection.number
            }
            _ => return,
        };
        // The peer reads too slowly. Runs as a task because the caller may hold a lock that the
        // handler of the event takes.
        let (links, events, to) = (Arc::clone(self), Arc::clone(events), to.clone());
        self.executor.spawn(async move { links.close_if_current(&events, &to, number) }).detach();
    }

    /// Sets the peers, sorted by id, to which links are kept open.
    ///
    /// Links to other peers stay until they end; this side does not reopen them.
    pub fn set_wanted(&self, peers: Vec<InstanceId>) {
        *self.wanted.lock().unwrap_or_else(PoisonError::into_inner) = peers;
        self.changed.notify(usize::MAX);
    }

    fn is_wanted(&self, id: &InstanceId) -> bool {
        let wanted = self.wanted.lock().unwrap_or_else(PoisonError::into_inner);
        wanted.binary_search(id).is_ok()
    }

    /// Waits until the link to a peer is wanted but missing.
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

    /// Adds a listed peer or updates its address; a link to it is kept open if either side wants one.
    ///
    /// The address of a linked peer stays: the list may be wrong, and a peer at another address
    /// connects by itself.
    pub fn add_peer<E: LinkEvents>(self: &Arc<Self>, events: &Arc<E>, hello: Hello) {
        self.update_peer(events, hello, |peer, hello| {
            peer.connection.is_none() && hello.incarnation >= peer.hello.incarnation
        });
    }

    /// Adds a peer that has connected, or updates its address.
    ///
    /// Without a link its address counts whatever its incarnation is, since the list may be wrong.
    fn add_connected_peer<E: LinkEvents>(self: &Arc<Self>, events: &Arc<E>, hello: Hello) {
        self.update_peer(events, hello, |peer, hello| {
            peer.connection.is_none() || hello.incarnation >= peer.hello.incarnation
        });
    }

    fn update_peer<E: LinkEvents>(
        self: &Arc<Self>,
        events: &Arc<E>,
        hello: Hello,
        may_replace: impl Fn(&Peer, &Hello) -> bool,
    ) {
        let Ok(addr) = hello.addr.parse::<SocketAddr>() else { return };
        let Ok(id) = hello.instance.parse::<InstanceId>() else { return };
        if hello.instance == self.me.instance {
            return;
        }
        let mut peers = self.peers();
        if let Some(peer) = peers.get(&id)
            && (peer.addr == addr || !may_replace(peer, &hello))
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

    /// Returns whether this instance opens the connection to a peer.
    ///
    /// Only one side does, so that two simultaneous connections cannot close each other.
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
                // Cannot fail: the sender lives as long as this task.
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
                    // A connection attempt from before the peer was reachable may get no response.
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

    /// Waits for `delay`, or until another link comes up, but at least for [`RETRY_MIN`].
    async fn wait_to_retry(&self, delay: Duration) {
        let any_link_up = self.any_link_up.listen();
        Timer::after(RETRY_MIN).await;
        let rest = async {
            Timer::after(delay.saturating_sub(RETRY_MIN)).await;
        };
        any_link_up.or(rest).await;
    }

    /// Opens a connection and exchanges `Hello` messages.
    async fn connect(&self, addr: SocketAddr) -> io::Result<(Hello, PeerStream)> {
        let mut stream = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await?;
        // Messages are small and must not be delayed by Nagle's algorithm.
        stream.set_nodelay(true)?;
        let hello = encode(Body::Hello(self.me.clone()));
        with_timeout(WRITE_TIMEOUT, stream.write_all(&hello)).await?;
        PeerStream::open(stream).await
    }

    /// Announces this instance to a peer that opens the connections, while there is no link.
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

    /// Announces this instance at an address.
    ///
    /// The instance there then opens a connection, or accepts this one.
    pub async fn announce(&self, addr: SocketAddr) {
        // After a failure no link comes up; the caller tries again later.
        let _ = self.connect(addr).await;
    }

    /// Accepts connections from peers; never returns.
    pub async fn accept<E: LinkEvents>(self: Arc<Self>, events: Arc<E>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let greeting = Arc::clone(&self).handle_incoming(Arc::clone(&events), stream);
                    self.executor.spawn(greeting).detach();
                }
                // Out of file descriptors: wait before the next attempt.
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
        self.add_connected_peer(&events, hello.clone());
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

    /// Makes this instance connect to a reachable peer at once.
    fn redial(&self, id: &InstanceId) {
        let peers = self.peers();
        if let Some(Peer { connection: None, redial, .. }) = peers.get(id) {
            // One pending request is enough.
            let _ = redial.try_send(());
        }
    }

    /// Runs a link on a connection until one side closes it.
    async fn run_link<E: LinkEvents>(
        &self,
        events: &Arc<E>,
        id: &InstanceId,
        hello: Hello,
        stream: PeerStream,
    ) {
        let PeerStream { reader, writer, early_messages } = stream;
        let Some(member) = member_from_hello(&hello) else { return };
        if self.is_outdated(id, &hello) {
            return;
        }
        let number = self.next_connection.fetch_add(1, Ordering::Relaxed) + 1;
        // A bounded channel would allocate memory for its full capacity, for each link.
        let (queue, messages) = async_channel::unbounded();
        let (open, closed) = async_channel::bounded::<()>(1);
        // A new connection means that the peer has given up the earlier one.
        self.reset(events, id);
        match self.peers().get_mut(id) {
            Some(peer) => {
                peer.hello = hello;
                peer.connection = Some(Connection { number, queue, _open: open });
            }
            None => return,
        }
        events.link_up(member);
        self.any_link_up.notify(usize::MAX);
        let read = self.read(events, id, number, reader, early_messages);
        let write = write(writer, &messages);
        // After a reset, queued messages count as lost and must not be sent.
        let closed = async { closed.recv().await.map_err(io::Error::other) };
        // The error only tells that the connection has ended.
        let _ = closed.or(read).or(write).await;
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

    /// Returns whether a `Hello` was sent by a process before the one that has the link.
    ///
    /// Without a link this is not known: incarnations fall when the clock of a host is set back.
    fn is_outdated(&self, id: &InstanceId, hello: &Hello) -> bool {
        let peers = self.peers();
        let linked = peers.get(id).filter(|peer| peer.connection.is_some());
        linked.is_some_and(|peer| hello.incarnation < peer.hello.incarnation)
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

    /// Closes the link to a peer; it is reopened if it is still wanted.
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

/// Returns whether a connection was refused, which means that the process there has ended.
fn is_connection_refused(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// Converts the `Hello` of a peer, or returns `None` if it is malformed.
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

/// Returns whether a text is an address to which a connection can be opened.
pub(crate) fn is_connectable(addr: &str) -> bool {
    let addr = addr.parse::<SocketAddr>();
    addr.is_ok_and(|addr| addr.port() != 0 && !addr.ip().is_unspecified())
}

/// Runs an I/O operation and fails if it takes longer than `limit`.
async fn with_timeout<T>(
    limit: Duration,
    operation: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let expiry = async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    operation.or(expiry).await
}
