//! Links to the other instances.
//!
//! Each instance sends on connections that it opened and receives on those that it accepted. A link
//! is up while both are, and goes down as a whole, so that no message of an earlier link is handled
//! after a later one came up.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use cranberryhatch_fleet::{Member, VecMap};
use cranberryhatch_schema::fleet::{Hello, frame::Body};
use cranberryhatch_types::InstanceId;
use smol::{
    Executor, Task, Timer,
    future::FutureExt,
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

use crate::frames::{FrameReader, encode};

/// Longest time for a connection to be made; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that a peer may take to read on.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time until the first message on a connection.
const HELLO_TIMEOUT: Duration = Duration::from_millis(2_000);
/// First time between two tries to connect.
const RETRY: Duration = Duration::from_millis(100);
/// Longest time between two tries to connect.
const RETRY_MAX: Duration = Duration::from_millis(1_000);
/// Messages that wait for a peer that reads slowly; with more the link is given up.
const QUEUE: usize = 8_192;

/// What happens on links.
pub trait LinkEvents: Send + Sync + 'static {
    /// A link came up.
    fn link_up(self: &Arc<Self>, peer: Member);
    /// A link went down.
    fn link_down(self: &Arc<Self>, peer: &InstanceId);
    /// Messages of a peer whose link is up.
    fn messages(self: &Arc<Self>, peer: &InstanceId, messages: Vec<Body>);
}

struct Peer {
    hello: Hello,
    addr: SocketAddr,
    outgoing: Option<Sender<Vec<u8>>>,
    // Number of the connection that the peer opened.
    incoming: Option<u64>,
    up: bool,
    _dialer: Task<()>,
}

/// All links of this instance.
pub struct Links {
    me: Hello,
    executor: Arc<Executor<'static>>,
    peers: Mutex<VecMap<InstanceId, Peer>>,
    readers: Mutex<VecMap<InstanceId, (u64, Task<()>)>>,
    accepted: Mutex<u64>,
}

impl Links {
    /// No links yet.
    #[must_use]
    pub fn new(me: Hello, executor: Arc<Executor<'static>>) -> Self {
        let (peers, readers) = (Mutex::default(), Mutex::default());
        Self { me, executor, peers, readers, accepted: Mutex::default() }
    }

    fn peers(&self) -> MutexGuard<'_, VecMap<InstanceId, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn readers(&self) -> MutexGuard<'_, VecMap<InstanceId, (u64, Task<()>)>> {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this instance says of itself.
    #[must_use]
    pub const fn me(&self) -> &Hello {
        &self.me
    }

    /// Sends a message, or drops it when the link is down.
    pub fn send<E: LinkEvents>(&self, events: &Arc<E>, to: &InstanceId, message: Body) {
        let full = match self.peers().get(to) {
            Some(Peer { up: true, outgoing: Some(queue), .. }) => {
                queue.try_send(encode(message)).is_err()
            }
            _ => false,
        };
        if full {
            let (events, to) = (Arc::clone(events), to.clone());
            // The caller may hold the lock that the event takes.
            self.executor.spawn(async move { events.link_down(&to) }).detach();
        }
    }

    /// Learns of a peer and keeps a connection to it open.
    pub fn learn<E: LinkEvents>(self: &Arc<Self>, events: &Arc<E>, hello: Hello) {
        let Ok(addr) = hello.addr.parse::<SocketAddr>() else { return };
        let Ok(id) = hello.instance.parse::<InstanceId>() else { return };
        if hello.instance == self.me.instance {
            return;
        }
        let mut peers = self.peers();
        if let Some(peer) = peers.get_mut(&id) {
            let older = hello.incarnation < peer.hello.incarnation;
            if older || (peer.addr == addr && peer.hello.incarnation == hello.incarnation) {
                return;
            }
            if peer.addr == addr {
                peer.hello = hello;
                return;
            }
        }
        let dial = Arc::clone(self).dial(Arc::clone(events), id.clone(), addr);
        let dialer = self.executor.spawn(dial);
        let peer = Peer { hello, addr, outgoing: None, incoming: None, up: false, _dialer: dialer };
        peers.insert(id, peer);
    }

    /// Whether no peer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers().is_empty()
    }

    /// Tells an instance whose name is not known that this one is here; it opens a connection then.
    pub fn introduce(self: &Arc<Self>, addr: SocketAddr) {
        let links = Arc::clone(self);
        let introduce = async move {
            let Ok(mut stream) = within(CONNECT_TIMEOUT, TcpStream::connect(addr)).await else {
                return;
            };
            let hello = encode(Body::Hello(links.me.clone()));
            if within(WRITE_TIMEOUT, stream.write_all(&hello)).await.is_ok() {
                Timer::after(HELLO_TIMEOUT).await;
            }
        };
        self.executor.spawn(introduce).detach();
    }

    async fn dial<E: LinkEvents>(
        self: Arc<Self>,
        events: Arc<E>,
        id: InstanceId,
        addr: SocketAddr,
    ) {
        let mut pause = RETRY;
        loop {
            if let Ok(stream) = within(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
                pause = RETRY;
                let (queue, messages) = async_channel::bounded(QUEUE);
                self.set_outgoing(&events, &id, queue);
                // The error only says that the connection is over.
                let _ = self.write(stream, &messages).await;
                messages.close();
                self.down(&events, &id);
            }
            Timer::after(pause).await;
            pause = (pause * 2).min(RETRY_MAX);
        }
    }

    async fn write(&self, mut stream: TcpStream, messages: &Receiver<Vec<u8>>) -> io::Result<()> {
        // Messages are small and wait for each other.
        stream.set_nodelay(true)?;
        let hello = encode(Body::Hello(self.me.clone()));
        within(WRITE_TIMEOUT, stream.write_all(&hello)).await?;
        loop {
            let mut bytes = messages.recv().await.map_err(io::Error::other)?;
            while let Ok(more) = messages.try_recv() {
                bytes.extend_from_slice(&more);
            }
            within(WRITE_TIMEOUT, stream.write_all(&bytes)).await?;
        }
    }

    /// Accepts connections of peers.
    pub async fn accept<E: LinkEvents>(self: Arc<Self>, events: Arc<E>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let read = Arc::clone(&self).greet(Arc::clone(&events), stream);
                    self.executor.spawn(read).detach();
                }
                // Out of descriptors: wait before the next try.
                Err(_) => {
                    Timer::after(RETRY).await;
                }
            }
        }
    }

    async fn greet<E: LinkEvents>(self: Arc<Self>, events: Arc<E>, stream: TcpStream) {
        let mut reader = FrameReader::new(stream);
        let Ok(mut messages) = within(HELLO_TIMEOUT, reader.next()).await else { return };
        let Body::Hello(hello) = messages.remove(0) else { return };
        let Ok(id) = hello.instance.parse::<InstanceId>() else { return };
        self.learn(&events, hello.clone());
        let number = {
            let mut accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
            *accepted += 1;
            *accepted
        };
        self.set_incoming(&events, &id, hello, number);
        let read = Arc::clone(&self).read(events, id.clone(), number, reader, messages);
        let task = self.executor.spawn(read);
        // Dropping the reader of an earlier connection closes it.
        self.readers().insert(id, (number, task));
    }

    async fn read<E: LinkEvents>(
        self: Arc<Self>,
        events: Arc<E>,
        id: InstanceId,
        number: u64,
        mut reader: FrameReader<TcpStream>,
        first: Vec<Body>,
    ) {
        let mut messages = first;
        loop {
            if !self.is_current(&id, number) {
                return;
            }
            if !messages.is_empty() {
                events.messages(&id, messages);
            }
            match reader.next().await {
                Ok(next) => messages = next,
                Err(_) => break,
            }
        }
        if self.is_current(&id, number) {
            self.down(&events, &id);
        }
    }

    fn is_current(&self, id: &InstanceId, number: u64) -> bool {
        self.peers().get(id).is_some_and(|peer| peer.incoming == Some(number))
    }

    fn set_outgoing<E: LinkEvents>(
        &self,
        events: &Arc<E>,
        id: &InstanceId,
        queue: Sender<Vec<u8>>,
    ) {
        if let Some(peer) = self.peers().get_mut(id) {
            peer.outgoing = Some(queue);
        }
        self.check_up(events, id);
    }

    fn set_incoming<E: LinkEvents>(
        &self,
        events: &Arc<E>,
        id: &InstanceId,
        hello: Hello,
        number: u64,
    ) {
        // A second connection means that the peer gave the first one up.
        if self.peers().get(id).is_some_and(|peer| peer.incoming.is_some()) {
            self.down(events, id);
        }
        if let Some(peer) = self.peers().get_mut(id) {
            peer.incoming = Some(number);
            peer.hello = hello;
        }
        self.check_up(events, id);
    }

    fn check_up<E: LinkEvents>(&self, events: &Arc<E>, id: &InstanceId) {
        let member = {
            let mut peers = self.peers();
            let Some(peer) = peers.get_mut(id) else { return };
            if peer.up || peer.outgoing.is_none() || peer.incoming.is_none() {
                return;
            }
            peer.up = true;
            member(&peer.hello)
        };
        if let Some(member) = member {
            events.link_up(member);
        }
    }

    /// Closes the link to a peer; it is opened again.
    pub fn down<E: LinkEvents>(&self, events: &Arc<E>, id: &InstanceId) {
        let was_up = {
            let mut peers = self.peers();
            let Some(peer) = peers.get_mut(id) else { return };
            if let Some(queue) = peer.outgoing.take() {
                queue.close();
            }
            peer.incoming = None;
            std::mem::take(&mut peer.up)
        };
        if was_up {
            events.link_down(id);
        }
    }
}

/// What a peer says of itself; none if it cannot be read.
fn member(hello: &Hello) -> Option<Member> {
    Some(Member {
        id: hello.instance.parse().ok()?,
        incarnation: hello.incarnation,
        zone: hello.zone.parse().ok()?,
        cores: hello.cores,
        draining: false,
        joined: false,
        version: 0,
    })
}

/// Runs a step of a connection for at most `limit`.
async fn within<T>(limit: Duration, step: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let expiry = async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    step.or(expiry).await
}
