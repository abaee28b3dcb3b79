//! Server that hands whole requests to a handler.

use std::{convert::Infallible, future::Future, pin::pin, sync::Arc, time::Duration};

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
    write_timeout_stream::WriteTimeoutStream,
};

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
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

/// A server with bounds on connections, bodies and slow clients.
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

/// When a client that was refused for lack of memory should come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Connections accepted at a stop, so that new clients cannot delay it: the usual `somaxconn`, to
/// which the system bounds those that wait.
const SHUTDOWN_ACCEPT_LIMIT: usize = 4096;

impl<H: Handler> Server<H> {
    /// A server with bodies of at most 8 MiB each and 64 MiB in all, heads of 64 KiB, 10 s to send
    /// a request or to read on in an answer, and 4,096 connections.
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

    /// Sets the largest request body, in bytes.
    #[must_use]
    pub const fn body_limit(mut self, bytes: usize) -> Self {
        self.limits.body_size = bytes;
        self
    }

    /// Sets the largest sum of request bodies that are held at the same time, in bytes.
    #[must_use]
    pub const fn total_body_limit(mut self, bytes: usize) -> Self {
        self.limits.total_body_size = bytes;
        self
    }

    /// Sets the time after which a client that does not read on in an answer is cut off.
    #[must_use]
    pub const fn write_timeout(mut self, timeout: Duration) -> Self {
        self.limits.write_timeout = timeout;
        self
    }

    /// Sets the time a client has to send the head, and again the body, of a request.
    #[must_use]
    pub const fn read_timeout(mut self, timeout: Duration) -> Self {
        self.limits.read_timeout = timeout;
        self
    }

    /// Sets the largest number of open connections; further ones wait to be accepted.
    #[must_use]
    pub const fn connections(mut self, connections: usize) -> Self {
        self.limits.connections = connections;
        self
    }

    /// Serves until `stop` is closed, then finishes the requests in flight and returns.
    ///
    /// Requests on connections that wait to be accepted are in flight too.
    pub async fn serve(
        self,
        executor: Arc<Executor<'static>>,
        listener: TcpListener,
        stop: Receiver<()>,
    ) {
        let budget = Arc::new(Budget::new(self.limits.total_body_size));
        let start = |stream: TcpStream| {
            // Answers are small; waiting to fill a segment only adds latency.
            let _ = stream.set_nodelay(true);
            let stream = WriteTimeoutStream::new(stream, self.limits.write_timeout);
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
        // The system has opened these to their clients, and would reset them with the listener.
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
            // Out of file descriptors or a client that is gone: wait before the next try.
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
    stream: WriteTimeoutStream,
    stop: Receiver<()>,
) {
    let service = service_fn(|request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        let reservation = Budget::reservation(Arc::clone(&budget));
        async move {
            let response = match read_request(request, limits, reservation).await {
                Ok((request, _reservation)) => handler.handle(request).await,
                Err(problem) => problem.response(),
            };
            Ok::<_, Infallible>(response.map(Full::new))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(limits.read_timeout)
        .max_buf_size(limits.head_size);
    let mut connection = pin!(builder.serve_connection(FuturesIo::new(stream), service));
    let stopped = async {
        let _ = stop.recv().await;
        false
    };
    let finished = async {
        // A client that went away is no failure of the server.
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

/// Reads a body and counts what it holds before it is known whether the body is valid.
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
            let detail = "not run: too many request bodies are held";
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
    Problem::new(StatusCode::BAD_REQUEST, "body-broken", "the request body broke off")
}
