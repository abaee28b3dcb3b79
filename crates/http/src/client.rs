//! HTTP client with a connection pool per peer.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use smol::{Executor, Task, Timer, future::FutureExt, net::TcpStream};
use smol_hyper::rt::FuturesIo;

use crate::{ClientError, PeerIdentity};

/// Timeout for opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What a request needs to know of the process that receives it.
#[derive(Debug)]
pub struct PeerCheck {
    /// Identity that the process must have.
    pub identity: PeerIdentity,
    /// Request that is sent first on a connection whose process is unknown. It must have no effect
    /// that another process must not see.
    pub probe: Request<Bytes>,
}

/// Result of a request that only one process may receive.
#[derive(Debug)]
pub enum Delivery {
    /// The process has responded.
    Answered(Response<Bytes>),
    /// The request was not sent: this response to the probe does not show the identity.
    OtherPeer(Response<Bytes>),
}

/// An HTTP client that reuses idle connections and never sends a request twice.
#[derive(Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

struct Inner {
    executor: Arc<Executor<'static>>,
    pools: RwLock<Vec<(SocketAddr, Arc<Pool>)>>,
    connections: usize,
    timeout: Duration,
    body_limit: usize,
}

/// Connection pool of one peer.
struct Pool {
    addr: SocketAddr,
    host: HeaderValue,
    state: Mutex<PoolState>,
}

#[derive(Default)]
struct PoolState {
    idle: Vec<Connection>,
    open: usize,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    // Process at the other end, if a response has told it.
    identity: Option<PeerIdentity>,
    // Dropping the task closes the connection.
    _task: Task<()>,
}

/// Result of the check of a connection.
enum Verified {
    /// The connection leads to the process.
    Peer(Connection),
    /// The response to the probe does not show its identity.
    Other(Response<Bytes>),
}

/// Counts against the pool's connection limit until it is dropped.
struct Permit<'a>(&'a Pool);

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.state().open -= 1;
    }
}

impl Pool {
    fn new(addr: SocketAddr) -> Self {
        let host = HeaderValue::from_str(&addr.to_string());
        let host = host.unwrap_or_else(|_| HeaderValue::from_static("peer"));
        Self { addr, host, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a permit, and an idle connection if there is one.
    fn acquire(&self, limit: usize) -> Result<(Permit<'_>, Option<Connection>), ClientError> {
        let mut state = self.state();
        if state.open >= limit {
            return Err(ClientError::Exhausted { addr: self.addr });
        }
        state.open += 1;
        while let Some(connection) = state.idle.pop() {
            if connection.sender.is_ready() {
                return Ok((Permit(self), Some(connection)));
            }
        }
        Ok((Permit(self), None))
    }

    /// Returns a permit, and an idle connection to a process with this identity or, if there is none,
    /// to an unknown one.
    ///
    /// Closes idle connections to other processes: they have ended.
    fn acquire_to(
        &self,
        identity: PeerIdentity,
        limit: usize,
    ) -> Result<(Permit<'_>, Option<Connection>), ClientError> {
        let mut state = self.state();
        let is_of = |connection: &Connection| connection.identity == Some(identity);
        state
            .idle
            .retain(|known| known.sender.is_ready() && (is_of(known) || known.identity.is_none()));
        if let Some(index) = state.idle.iter().rposition(is_of) {
            let last = state.idle.len() - 1;
            state.idle.swap(index, last);
        }
        drop(state);
        self.acquire(limit)
    }
}

impl Client {
    /// Creates a client that allows 64 connections per peer, 10 s per request and responses of at
    /// most 16 MiB.
    #[must_use]
    pub fn new(executor: Arc<Executor<'static>>) -> Self {
        let inner = Inner {
            executor,
            pools: RwLock::default(),
            connections: 64,
            timeout: Duration::from_secs(10),
            body_limit: 16 << 20,
        };
        Self { inner: Arc::new(inner) }
    }

    /// Sets the maximum number of connections in use per peer.
    #[must_use]
    pub fn connections(self, connections: usize) -> Self {
        self.with_settings(|inner| inner.connections = connections)
    }

    /// Sets the timeout from sending a request to the end of its response.
    #[must_use]
    pub fn timeout(self, timeout: Duration) -> Self {
        self.with_settings(|inner| inner.timeout = timeout)
    }

    /// Sets the maximum size of a response body, in bytes.
    #[must_use]
    pub fn body_limit(self, limit: usize) -> Self {
        self.with_settings(|inner| inner.body_limit = limit)
    }

    fn with_settings(self, set: impl FnOnce(&mut Inner)) -> Self {
        let mut inner = Inner {
            executor: Arc::clone(&self.inner.executor),
            pools: RwLock::default(),
            connections: self.inner.connections,
            timeout: self.inner.timeout,
            body_limit: self.inner.body_limit,
        };
        set(&mut inner);
        Self { inner: Arc::new(inner) }
    }

    /// Sends a request with the client's timeout.
    ///
    /// # Errors
    /// See [`Client::send_within`].
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, ClientError> {
        self.send_within(addr, request, self.inner.timeout).await
    }

    /// Sends a request once and waits at most `timeout` for the whole response.
    ///
    /// # Errors
    /// [`ClientError`]; [`ClientError::is_unsent`] is true if the peer cannot have received the
    /// request.
    pub async fn send_within(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, ClientError> {
        self.send_identified(addr, request, timeout, |_| None).await
    }

    /// Sends a request as [`Client::send_within`] does; `identify` returns the identity of the
    /// process, if its response tells it.
    ///
    /// # Errors
    /// See [`Client::send_within`].
    pub async fn send_identified(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
        identify: impl FnOnce(&Response<Bytes>) -> Option<PeerIdentity>,
    ) -> Result<Response<Bytes>, ClientError> {
        self.exchange(addr, request, identify).or(expire_after(addr, timeout)).await
    }

    /// Sends a request only to the process that `check` names, and waits at most `timeout` for the
    /// whole response.
    ///
    /// A connection ends with its process. The request is therefore sent on a connection on which
    /// a response has shown the identity, after the probe if there is none. `identify` returns the
    /// identity that a response shows.
    ///
    /// # Errors
    /// [`ClientError`]; [`ClientError::is_unsent`] is true if the peer cannot have received the
    /// request, also if the probe got no response.
    pub async fn send_to_peer(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
        check: PeerCheck,
        timeout: Duration,
        identify: impl Fn(&Response<Bytes>) -> Option<PeerIdentity>,
    ) -> Result<Delivery, ClientError> {
        let deadline = Instant::now() + timeout;
        let pool = self.inner.pool(addr);
        let (permit, idle) = pool.acquire_to(check.identity, self.inner.connections)?;
        let verify = self.inner.verify(&pool, idle, &check, identify);
        let expiry = async {
            Timer::at(deadline).await;
            Err(ClientError::NotSent { addr })
        };
        let mut connection = match verify.or(expiry).await? {
            Verified::Peer(connection) => connection,
            Verified::Other(response) => return Ok(Delivery::OtherPeer(response)),
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let sent = self.inner.send_on(&pool, &mut connection, request);
        let response = sent.or(expire_after(addr, left)).await?;
        pool.state().idle.push(connection);
        drop(permit);
        Ok(Delivery::Answered(response))
    }

    /// Sends a request once on a new connection that does not count against the connection limit.
    ///
    /// Open connections may no longer respond while new ones still work.
    ///
    /// # Errors
    /// See [`Client::send_within`].
    pub async fn send_on_new_connection(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, ClientError> {
        let exchange = async {
            let pool = self.inner.pool(addr);
            let mut connection = self.inner.connect(addr).await?;
            self.inner.send_on(&pool, &mut connection, request).await
        };
        exchange.or(expire_after(addr, timeout)).await
    }

    /// Closes the idle connections to a peer, so that the next request opens a new connection.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.inner.pool(addr).state().idle.clear();
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
        identify: impl FnOnce(&Response<Bytes>) -> Option<PeerIdentity>,
    ) -> Result<Response<Bytes>, ClientError> {
        let pool = self.inner.pool(addr);
        let (permit, idle) = pool.acquire(self.inner.connections)?;
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.inner.connect(addr).await?,
        };
        let response = self.inner.send_on(&pool, &mut connection, request).await?;
        connection.identity = identify(&response).or(connection.identity);
        pool.state().idle.push(connection);
        drop(permit);
        Ok(response)
    }
}

impl Inner {
    fn pool(&self, addr: SocketAddr) -> Arc<Pool> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        if let Ok(index) = pools.binary_search_by_key(&addr, |(peer, _)| *peer) {
            return Arc::clone(&pools[index].1);
        }
        drop(pools);
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        match pools.binary_search_by_key(&addr, |(peer, _)| *peer) {
            Ok(index) => Arc::clone(&pools[index].1),
            Err(index) => {
                let pool = Arc::new(Pool::new(addr));
                pools.insert(index, (addr, Arc::clone(&pool)));
                pool
            }
        }
    }

    async fn send_on(
        &self,
        pool: &Pool,
        connection: &mut Connection,
        mut request: Request<Bytes>,
    ) -> Result<Response<Bytes>, ClientError> {
        let addr = pool.addr;
        request.headers_mut().entry(header::HOST).or_insert_with(|| pool.host.clone());
        if connection.sender.ready().await.is_err() {
            return Err(ClientError::NotSent { addr });
        }
        let sent = connection.sender.send_request(request.map(Full::new)).await;
        let response = sent.map_err(|source| {
            if source.is_canceled() {
                ClientError::NotSent { addr }
            } else {
                ClientError::Lost { addr, source }
            }
        })?;
        let (parts, body) = response.into_parts();
        let limit = self.body_limit;
        match Limited::new(body, limit).collect().await {
            Ok(body) => Ok(Response::from_parts(parts, body.to_bytes())),
            Err(error) => Err(body_error(addr, limit, error)),
        }
    }

    /// Checks an idle connection, or a new one, with a probe unless its process is known.
    async fn verify(
        &self,
        pool: &Pool,
        idle: Option<Connection>,
        check: &PeerCheck,
        identify: impl Fn(&Response<Bytes>) -> Option<PeerIdentity>,
    ) -> Result<Verified, ClientError> {
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.connect(pool.addr).await?,
        };
        if connection.identity == Some(check.identity) {
            return Ok(Verified::Peer(connection));
        }
        let probe = self.send_on(pool, &mut connection, check.probe.clone()).await;
        let response = probe.map_err(|_| ClientError::NotSent { addr: pool.addr })?;
        connection.identity = identify(&response);
        if connection.identity == Some(check.identity) {
            return Ok(Verified::Peer(connection));
        }
        pool.state().idle.push(connection);
        Ok(Verified::Other(response))
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, ClientError> {
        let expiry = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = TcpStream::connect(addr).or(expiry).await;
        let stream = stream.map_err(|source| ClientError::Connect { addr, source })?;
        // Nagle's algorithm would delay small requests until earlier ones are acknowledged.
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            handshake(FuturesIo::new(stream)).await.map_err(|_| ClientError::NotSent { addr })?;
        let task = self.executor.spawn(async move {
            // The request that uses the connection reports the error.
            let _ = connection.await;
        });
        Ok(Connection { sender, identity: None, _task: task })
    }
}

async fn expire_after(addr: SocketAddr, timeout: Duration) -> Result<Response<Bytes>, ClientError> {
    Timer::after(timeout).await;
    Err(ClientError::TimedOut { addr, ms: timeout.as_millis() })
}

fn body_error(
    addr: SocketAddr,
    limit: usize,
    error: Box<dyn std::error::Error + Send + Sync>,
) -> ClientError {
    if error.is::<LengthLimitError>() {
        return ClientError::TooLarge { addr, limit };
    }
    match error.downcast::<hyper::Error>() {
        Ok(source) => ClientError::Lost { addr, source: *source },
        Err(_) => ClientError::TooLarge { addr, limit },
    }
}
