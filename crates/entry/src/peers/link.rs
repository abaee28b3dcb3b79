//! Connection to one peer.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use nng::{
    Message, PipeEvent, Protocol, Socket,
    options::{Options, ReconnectMaxTime, ReconnectMinTime, SendBufferSize},
};

/// Messages that wait for a peer that reads slowly; further ones are dropped.
const SEND_BUFFER: i32 = 256;
/// Time between two tries to connect.
const RECONNECT: Duration = Duration::from_millis(100);
/// Longest time between two tries to connect.
const RECONNECT_MAX: Duration = Duration::from_secs(1);

/// A dialer to one peer.
///
/// Nothing is buffered for a peer that is not connected: a loan or a grant counts from its receipt,
/// so a message must not wait until a peer comes back.
pub struct Link {
    addr: SocketAddr,
    line: Option<Line>,
}

struct Line {
    socket: Socket,
    open: Arc<AtomicUsize>,
    opened: Arc<AtomicUsize>,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.socket.close();
    }
}

impl Link {
    /// A link that connects in the background.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, line: Line::dial(addr) }
    }

    /// Address of the peer.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether it is connected.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.line.as_ref().is_some_and(|line| line.open.load(Ordering::Acquire) > 0)
    }

    /// Whether the peer took the message into its buffer.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        if let Some(line) = &self.line {
            if line.open.load(Ordering::Acquire) > 0 {
                return line.socket.try_send(Message::from(bytes)).is_ok();
            }
            if line.opened.load(Ordering::Acquire) == 0 {
                return false;
            }
        }
        // A new socket has no messages left from before the connection broke.
        self.line = None;
        self.line = Line::dial(self.addr);
        false
    }
}

impl Line {
    fn dial(addr: SocketAddr) -> Option<Self> {
        let socket = Socket::new(Protocol::Push0).ok()?;
        let (open, opened) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (now_open, ever_opened) = (Arc::clone(&open), Arc::clone(&opened));
        let notify = move |_, event| match event {
            PipeEvent::AddPost => {
                now_open.fetch_add(1, Ordering::AcqRel);
                ever_opened.fetch_add(1, Ordering::AcqRel);
            }
            PipeEvent::RemovePost => {
                let less = |open: usize| Some(open.saturating_sub(1));
                // The update always gives a value, so it cannot fail.
                let _ = now_open.fetch_update(Ordering::AcqRel, Ordering::Acquire, less);
            }
            _ => {}
        };
        socket.pipe_notify(notify).ok()?;
        socket.set_opt::<SendBufferSize>(SEND_BUFFER).ok()?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT)).ok()?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX)).ok()?;
        socket.dial_async(&format!("tcp://{addr}")).ok()?;
        Some(Self { socket, open, opened })
    }
}
