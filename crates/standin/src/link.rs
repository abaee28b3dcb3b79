//! TCP link between two addresses that can be cut, silenced and delayed.

use std::{
    io,
    net::{Shutdown, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use smol::{
    Executor, Task, Timer,
    future::{self, FutureExt},
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::LinkMode;

/// Time between two tries to open the listening address.
const RETRY: Duration = Duration::from_millis(20);
/// Time for which a silent connection whose client is gone stays open.
const LINGER: Duration = Duration::from_secs(30);
/// Bytes read at once.
const CHUNK: usize = 16 << 10;

/// A running link; dropping it closes its connections.
pub struct Link {
    state: Arc<Mutex<State>>,
    _accepting: Task<()>,
}

struct State {
    cut: bool,
    /// Number of cuts; connections from before the last one are closed.
    cuts: u64,
    delay: Duration,
    /// Direction in which bytes are lost.
    lost: Option<Direction>,
    /// Connections of an earlier generation are silent.
    generation: u64,
    /// Closed when the mode changes.
    change: Sender<()>,
    changed: Receiver<()>,
}

/// Direction of bytes on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Cuts and silences that a connection has lived through.
#[derive(Clone, Copy)]
struct Age {
    cuts: u64,
    generation: u64,
}

impl State {
    const fn age(&self) -> Age {
        Age { cuts: self.cuts, generation: self.generation }
    }
}

impl Link {
    /// Forwards connections from `listen` to `target`.
    #[must_use]
    pub fn start(
        executor: &Arc<Executor<'static>>,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> Self {
        let (change, changed) = async_channel::bounded(1);
        let state = State {
            cut: false,
            cuts: 0,
            delay: Duration::ZERO,
            lost: None,
            generation: 0,
            change,
            changed,
        };
        let state = Arc::new(Mutex::new(state));
        let accepting =
            executor.spawn(accept(Arc::clone(executor), Arc::clone(&state), listen, target));
        Self { state, _accepting: accepting }
    }

    /// Sets what the link does from now on.
    pub fn switch(&self, mode: LinkMode) {
        with(&self.state, |state| {
            state.cut = mode == LinkMode::Cut;
            state.cuts += u64::from(state.cut);
            state.lost = match mode {
                LinkMode::LoseRequests => Some(Direction::ToServer),
                LinkMode::LoseAnswers => Some(Direction::ToClient),
                LinkMode::Pass | LinkMode::Cut | LinkMode::Silent => None,
            };
            state.generation += u64::from(mode == LinkMode::Silent);
            state.change.close();
            (state.change, state.changed) = async_channel::bounded(1);
        });
    }

    /// Sets the time by which the link delays bytes.
    pub fn delay(&self, delay: Duration) {
        with(&self.state, |state| state.delay = delay);
    }
}

fn with<T>(state: &Mutex<State>, f: impl FnOnce(&mut State) -> T) -> T {
    f(&mut state.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn accept(
    executor: Arc<Executor<'static>>,
    state: Arc<Mutex<State>>,
    listen: SocketAddr,
    target: SocketAddr,
) {
    // Dropping the tasks closes their connections.
    let mut connections: Vec<Task<()>> = Vec::new();
    let mut listener = None;
    loop {
        let (cut, changed) = with(&state, |state| (state.cut, state.changed.clone()));
        if cut {
            listener = None;
            let _ = changed.recv().await;
            continue;
        }
        let open = match listener.take() {
            Some(open) => open,
            None => match TcpListener::bind(listen).await {
                Ok(open) => open,
                Err(_) => {
                    Timer::after(RETRY).await;
                    continue;
                }
            },
        };
        let accepted = async { open.accept().await.ok() };
        let change = async {
            let _ = changed.recv().await;
            None
        };
        if let Some((client, _)) = accepted.or(change).await {
            connections.retain(|task| !task.is_finished());
            connections.push(executor.spawn(forward(Arc::clone(&state), client, target)));
        }
        listener = Some(open);
    }
}

async fn forward(state: Arc<Mutex<State>>, client: TcpStream, target: SocketAddr) {
    let (cut, age) = with(&state, |state| (state.cut, state.age()));
    if cut {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    // Small messages must not wait for the acknowledgement of earlier ones.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let both = future::zip(
        pump(&state, age, Direction::ToServer, client.clone(), server.clone()),
        pump(&state, age, Direction::ToClient, server, client),
    );
    let ended = async {
        both.await;
    };
    ended.or(until_cut(&state, age)).await;
}

async fn until_cut(state: &Mutex<State>, age: Age) {
    loop {
        let (cuts, changed) = with(state, |state| (state.cuts, state.changed.clone()));
        if cuts > age.cuts {
            return;
        }
        let _ = changed.recv().await;
    }
}

async fn pump(
    state: &Mutex<State>,
    age: Age,
    direction: Direction,
    mut from: TcpStream,
    mut to: TcpStream,
) {
    let mut chunk = vec![0; CHUNK];
    // A stream with a gap cannot go on.
    let mut lossy = false;
    let copied: io::Result<()> = async {
        loop {
            let count = from.read(&mut chunk).await?;
            let delay = with(state, |state| state.delay);
            if !delay.is_zero() {
                Timer::after(delay).await;
            }
            // Looked at after the read, so that nothing sent after a switch passes by it.
            let (now, lost) = with(state, |state| (state.age(), state.lost));
            lossy |= count > 0 && lost == Some(direction);
            if now.cuts > age.cuts {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if lossy || now.generation > age.generation {
                if count == 0 {
                    Timer::after(LINGER).await;
                    return Ok(());
                }
                continue;
            }
            if count == 0 {
                return Ok(());
            }
            to.write_all(&chunk[..count]).await?;
        }
    }
    .await;
    if copied.is_err() {
        // Neither direction is of use when one of the connections is broken.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    } else {
        let _ = to.shutdown(Shutdown::Write);
    }
}
