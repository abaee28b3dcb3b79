//! HTTP server that reads each request completely before it calls the handler.

use std::{future::Future, pin::pin, sync::Arc, time::Duration};

use async_channel::Receiver;
use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use smol::{
    Executor, Task, Timer,
    future::{FutureExt, poll_once},
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::{
    Problem,
    budget::{Budget, Reservation},
    peer_liveness::{PeerLeft, enable_keepalive, wait_until_left},
    write_timeout_stream::WriteTimeoutStream,
};

/// Handles HTTP requests.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request.
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = Response<Bytes>> + Send;
}

impl<F, R> Handler for F
where
    F: Fn(Request<Bytes>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Bytes>> + Send,
{
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = Response<Bytes>> + Send {
        self(request)
    }
}

/// An HTTP server with limits on connections, body sizes and slow clients.
pub struct Server<H> {
    handler: Arc<H>,
    limits: Limits,
}

#[derive(Clone, Copy)]
struct Limits {
    body_size: usize,
    total_body_size: usize,
    head_size: usize,
    read_timeout: Duration,
    write_timeout: Duration,
    connections: usize,
}

/// Retry delay sent to clients whose request exceeds the memory budget.
const RETRY_AFTER_MS: u64 = 1_000;
/// Maximum number of connections accepted during shutdown, so that new clients cannot delay it.
/// Equals the usual `somaxconn`, the system's limit on the listen backlog.
const SHUTDOWN_ACCEPT_LIMIT: usize = 4096;

impl<H: Handler> Server<H> {
    /// Creates a server with these limits: bodies of 8 MiB each and 64 MiB in total, request heads
    /// of 64 KiB, read and write timeouts of 10 s, and 4,096 connections.
    #[must_use]
    pub fn new(handler: H) -> Self {
        let limits = Limits {
            body_size: 8 << 20,
            total_body_size: 64 << 20,
            head_size: 64 << 10,
            read_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            connections: 4096,
        };
        Self { handler: Arc::new(handler), limits }
    }

    /// Sets the maximum size of a request body, in bytes.
    #[must_use]
    pub const fn body_limit(mut self, bytes: usize) -> Self {
        self.limits.body_size = bytes;
        self
    }

    /// Sets the maximum total size of the request bodies in memory, in bytes.
    #[must_use]
    pub const fn total_body_limit(mut self, bytes: usize) -> Self {
        self.limits.total_body_size = bytes;
        self
    }

    /// Sets the time after which a client that stops reading its response is disconnected.
    #[must_use]
    pub const fn write_timeout(mut self, timeout: Duration) -> Self {
        self.limits.write_timeout = timeout;
        self
    }

    /// Sets the time limit for receiving the head of a request, and again for its body.
    #[must_use]
    pub const fn read_timeout(mut self, timeout: Duration) -> Self {
        self.limits.read_timeout = timeout;
        self
    }

    /// Sets the maximum number of open connections; further ones wait to be accepted.
    #[must_use]
    pub const fn connections(mut self, connections: usize) -> Self {
        self.limits.connections = connections;
        self
    }

    /// Serves until `stop` is closed, then finishes the requests in flight and returns.
    ///
    /// This includes requests on connections in the listen backlog.
    pub async fn serve(
        self,
        executor: Arc<Executor<'static>>,
        listener: TcpListener,
        stop: Receiver<()>,
    ) {
        let budget = Arc::new(Budget::new(self.limits.total_body_size));
        let start = |stream: TcpStream| {
            // Responses are small; Nagle's algorithm would only add latency.
            let _ = stream.set_nodelay(true);
            // Linux rejects none of these options on a TCP socket.
            let _ = enable_keepalive(&stream);
            let (handler, budget) = (Arc::clone(&self.handler), Arc::clone(&budget));
            executor.spawn(run_connection(handler, self.limits, budget, stream, stop.clone()))
        };
        let mut tasks: Vec<Task<()>> = Vec::new();
        while let Some(stream) = accept(&listener, &stop).await {
            tasks.retain(|task| !task.is_finished());
            while tasks.len() >= self.limits.connections && !stop.is_closed() {
                Timer::after(Duration::from_millis(10)).await;
                tasks.retain(|task| !task.is_finished());
            }
            tasks.push(start(stream));
        }
        // Clients see connections in the listen backlog as open; closing the listener would reset
        // them.
        for _ in 0..SHUTDOWN_ACCEPT_LIMIT {
            let Some(Ok((stream, _))) = poll_once(listener.accept()).await else { break };
            tasks.push(start(stream));
        }
        drop(listener);
        for task in tasks {
            task.await;
        }
    }
}

async fn accept(listener: &TcpListener, stop: &Receiver<()>) -> Option<TcpStream> {
    loop {
        let stopped = async {
            let _ = stop.recv().await;
            None
        };
        let accepted = async { Some(listener.accept().await) };
        match stopped.or(accepted).await? {
            Ok((stream, _)) => return Some(stream),
            // File descriptors ran out or the client disconnected; wait before the next attempt.
            Err(_) => {
                Timer::after(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn run_connection<H: Handler>(
    handler: Arc<H>,
    limits: Limits,
    budget: Arc<Budget>,
    stream: TcpStream,
    stop: Receiver<()>,
) {
    let service = service_fn(|request: Request<Incoming>| {
        let (handler, peer) = (Arc::clone(&handler), stream.clone());
        let reservation = Budget::reservation(Arc::clone(&budget));
        async move {
            let response = match read_request(request, limits, reservation).await {
                Ok((request, _reservation)) => {
                    // The first check comes before the handler starts.
                    let left = async { Err(wait_until_left(&peer).await) };
                    let handled = async { Ok(handler.handle(request).await) };
                    left.or(handled).await?
                }
                Err(problem) => problem.response(),
            };
            Ok::<_, PeerLeft>(response.map(Full::new))
        }
    });
    let io = WriteTimeoutStream::new(stream.clone(), limits.write_timeout);
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_buf_size(limits.head_size);
    let mut connection = pin!(builder.serve_connection(FuturesIo::new(io), service));
    let stopped = async {
        let _ = stop.recv().await;
        false
    };
    let finished = async {
        // A client that disconnects is not a server error.
        let _ = connection.as_mut().await;
        true
    };
    if !finished.or(stopped).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

async fn read_request(
    request: Request<Incoming>,
    limits: Limits,
    mut reservation: Reservation,
) -> Result<(Request<Bytes>, Reservation), Problem> {
    let (parts, body) = request.into_parts();
    let read = read_body(body, limits, &mut reservation);
    let expiry = async {
        Timer::after(limits.read_timeout).await;
        Err(Problem::new(
            StatusCode::REQUEST_TIMEOUT,
            "body-timeout",
            "the request body was sent too slowly",
        ))
    };
    let body = read.or(expiry).await?;
    Ok((Request::from_parts(parts, body), reservation))
}

/// Reads a body and reserves memory for each frame, also if the body turns out to be invalid.
async fn read_body(
    body: Incoming,
    limits: Limits,
    reservation: &mut Reservation,
) -> Result<Bytes, Problem> {
    let mut body = Limited::new(body, limits.body_size);
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| body_problem(&*error, limits))?;
        let Ok(data) = frame.into_data() else { continue };
        if !reservation.grow(data.len()) {
            let detail = "not run: too many request bodies in memory";
            return Err(Problem::new(StatusCode::SERVICE_UNAVAILABLE, "too-many-bodies", detail)
                .retry_after_ms(RETRY_AFTER_MS));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

fn body_problem(
    error: &(dyn std::error::Error + Send + Sync + 'static),
    limits: Limits,
) -> Problem {
    if error.is::<LengthLimitError>() {
        let detail = format!("the request body is larger than {} bytes", limits.body_size);
        return Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", detail);
    }
    Problem::new(
        StatusCode::BAD_REQUEST,
        "body-broken",
        "the request body is incomplete or malformed",
    )
}
