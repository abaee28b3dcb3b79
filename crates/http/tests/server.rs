//! Tests of the server: no client exhausts its memory or connections or delays its shutdown.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::Sender;
use bytes::Bytes;
use cranberryhatch_http::{Client, Runtime, Server, reply_json};
use http::{Request, Response, StatusCode};
use smol::{Task, net::TcpListener};
use socket2::{SockFilter, SockRef};

/// Timeout of the server in tests that wait for it to expire.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Upper bound for operations that are expected to complete.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which the server has to notice that a client is gone whose disconnect was lost.
const LOST_CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

struct Fixture {
    addr: SocketAddr,
    client: Client,
    stop: Option<Sender<()>>,
    serving: Option<Task<()>>,
    runtime: Runtime,
}

impl Fixture {
    fn new<F, R>(configure: impl FnOnce(Server<F>) -> Server<F>, handler: F) -> Self
    where
        F: Fn(Request<Bytes>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Bytes>> + Send + 'static,
    {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listener");
        Self::on(listener, configure, handler)
    }

    fn on<F, R>(
        listener: std::net::TcpListener,
        configure: impl FnOnce(Server<F>) -> Server<F>,
        handler: F,
    ) -> Self
    where
        F: Fn(Request<Bytes>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Bytes>> + Send + 'static,
    {
        let runtime = Runtime::new(2);
        let listener = TcpListener::try_from(listener).expect("listener");
        let addr = listener.local_addr().expect("address");
        let (stop, stopped) = async_channel::bounded(1);
        let server = configure(Server::new(handler)).serve(runtime.executor(), listener, stopped);
        let serving = Some(runtime.spawn(server));
        let client = Client::new(runtime.executor());
        Self { addr, client, stop: Some(stop), serving, runtime }
    }

    fn send_raw(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr).expect("connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("timeout");
        stream.write_all(bytes).expect("sent");
        stream
    }

    fn post(&self, body: Vec<u8>) -> Response<Bytes> {
        let request = Request::post("/").body(Bytes::from(body)).expect("request");
        let sent = self.client.send_within(self.addr, request, TEST_TIMEOUT);
        self.runtime.block_on(sent).expect("response")
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(serving) = self.serving.take() {
            self.runtime.block_on(serving.cancel());
        }
    }
}

async fn hello(_request: Request<Bytes>) -> Response<Bytes> {
    reply_json(StatusCode::OK, "hello")
}

/// Returns what the server sent before the connection was closed.
fn read_all(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    // A reset connection still delivers what was received before.
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Guards against invalid requests without an error code, and against bodies that exceed the size
/// limit before they are complete.
#[test]
fn invalid_requests_get_error_codes() {
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
        response: &'static str,
    }
    let head = |more: &str| format!("POST / HTTP/1.1\r\nhost: x\r\n{more}\r\n").into_bytes();
    let with = |mut head: Vec<u8>, body: &[u8]| {
        head.extend_from_slice(body);
        head
    };
    let long = format!("x-long: {}\r\n", "a".repeat(1 << 20));
    let cases = [
        Case {
            name: "body over the limit",
            bytes: with(head("content-length: 2000\r\n"), &[b'a'; 2000]),
            response: "body-too-large",
        },
        Case {
            name: "chunked body over the limit",
            bytes: with(
                head("transfer-encoding: chunked\r\n"),
                &[b"7d0\r\n".as_slice(), &[b'a'; 2000], b"\r\n0\r\n\r\n"].concat(),
            ),
            response: "body-too-large",
        },
        Case {
            name: "body that is never sent",
            bytes: head("content-length: 10\r\n"),
            response: "body-timeout",
        },
        Case { name: "head over the limit", bytes: head(&long), response: " 431 " },
        Case { name: "no HTTP", bytes: b"\x16\x03\x01\r\n\r\n".to_vec(), response: " 400 " },
    ];
    let server = Fixture::new(|s| s.body_limit(1_000).read_timeout(SHORT_TIMEOUT), hello);
    for case in cases {
        let response = read_all(server.send_raw(&case.bytes));
        assert!(response.contains(case.response), "{}: {response:?}", case.name);
    }
}

/// Guards against a client that never completes the request head and keeps its connection.
#[test]
fn incomplete_request_head_times_out() {
    let server = Fixture::new(|s| s.read_timeout(SHORT_TIMEOUT), hello);
    let stream = server.send_raw(b"POST / HT");
    let response = read_all(stream);
    assert!(!response.contains("hello"), "{response:?}");
}

/// Guards against concurrent request bodies that use more memory than the budget.
#[test]
fn request_bodies_share_a_memory_budget() {
    let (go, wait) = async_channel::bounded::<()>(1);
    let (entered, inside) = async_channel::bounded(10);
    let handler = move |_request| {
        let (wait, entered) = (wait.clone(), entered.clone());
        async move {
            entered.send(()).await.expect("test");
            let _ = wait.recv().await;
            reply_json(StatusCode::OK, "done")
        }
    };
    let server = Fixture::new(|s| s.total_body_limit(1_000), handler);
    let (client, addr) = (server.client.clone(), server.addr);
    let first = server.runtime.spawn(async move {
        let request = Request::post("/").body(Bytes::from(vec![b'a'; 800])).expect("request");
        client.send_within(addr, request, TEST_TIMEOUT).await
    });
    server.runtime.block_on(inside.recv()).expect("first request");
    let refused = server.post(vec![b'a'; 800]);
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    drop(go);
    let first = server.runtime.block_on(first).expect("response");
    assert_eq!(first.status(), StatusCode::OK);
    assert_eq!(server.post(vec![b'a'; 800]).status(), StatusCode::OK, "the budget is free again");
}

/// Guards against a client that does not read its response and keeps its connection.
#[test]
fn client_that_stops_reading_is_disconnected() {
    let handler = |_request| async { Response::new(Bytes::from(vec![b'a'; 64 << 20])) };
    let mut server = Fixture::new(|s| s.write_timeout(SHORT_TIMEOUT), handler);
    let stream = server.send_raw(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    server.stop.take();
    let serving = server.serving.take().expect("server");
    // The server ends only when the connection has ended.
    server.runtime.block_on(serving);
    drop(stream);
}

/// Request handler that counts the requests in progress and never responds.
#[derive(Clone, Default)]
struct Holder {
    live: Arc<AtomicUsize>,
    handled: Arc<AtomicUsize>,
}

/// Counts a request in progress until it is dropped.
struct Held(Arc<AtomicUsize>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Holder {
    async fn hold(self) -> Response<Bytes> {
        self.handled.fetch_add(1, Ordering::AcqRel);
        self.live.fetch_add(1, Ordering::AcqRel);
        let _held = Held(self.live);
        std::future::pending().await
    }

    fn wait_for_live(&self, count: usize, timeout: Duration, what: &str) {
        let deadline = Instant::now() + timeout;
        while self.live.load(Ordering::Acquire) != count {
            assert!(Instant::now() < deadline, "{what}: not {count} requests in progress");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) -> Option<TcpStream> {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("option");
    drop(stream);
    None
}

const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
const POST: &[u8] = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\na";
/// A request and the begin of another one.
const PIPELINED: &[u8] = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\naPOST / HTTP";

/// Guards against a request that keeps its resources after its client has disconnected.
#[test]
fn disconnect_drops_the_request() {
    struct Case {
        name: &'static str,
        sent: &'static [u8],
        leave: fn(TcpStream) -> Option<TcpStream>,
    }
    let half_close = |stream: TcpStream| {
        stream.shutdown(Shutdown::Write).expect("shutdown");
        Some(stream)
    };
    let cases = [
        Case { name: "close", sent: GET, leave: |_| None },
        Case { name: "reset", sent: GET, leave: reset },
        Case { name: "half-close", sent: GET, leave: half_close },
        Case { name: "body, close", sent: POST, leave: |_| None },
        Case { name: "pipelined, close", sent: PIPELINED, leave: |_| None },
        Case { name: "pipelined, reset", sent: PIPELINED, leave: reset },
        Case { name: "pipelined, half-close", sent: PIPELINED, leave: half_close },
    ];
    for Case { name, sent, leave } in cases {
        let holder = Holder::default();
        let handler = holder.clone();
        let server = Fixture::new(|s| s, move |_| handler.clone().hold());
        let stream = server.send_raw(sent);
        holder.wait_for_live(1, TEST_TIMEOUT, name);
        let _half_open = leave(stream);
        holder.wait_for_live(0, TEST_TIMEOUT, name);
    }
}

/// Guards against requests that are handled after a pause of the process although their clients
/// have left meanwhile.
#[test]
fn request_whose_client_left_before_it_was_read_is_not_handled() {
    struct Case {
        name: &'static str,
        sent: &'static [u8],
        leave: fn(TcpStream) -> Option<TcpStream>,
    }
    let cases = [
        Case { name: "close", sent: POST, leave: |_| None },
        Case { name: "reset", sent: POST, leave: reset },
        Case { name: "pipelined, close", sent: PIPELINED, leave: |_| None },
        Case { name: "pipelined, reset", sent: PIPELINED, leave: reset },
    ];
    for Case { name, sent, leave } in cases {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listener");
        let mut stream = TcpStream::connect(listener.local_addr().expect("address")).expect("sent");
        stream.write_all(sent).expect("sent");
        leave(stream);
        let holder = Holder::default();
        let handler = holder.clone();
        let mut server = Fixture::on(listener, |s| s, move |_| handler.clone().hold());
        server.stop.take();
        // The server ends only when the connection has ended.
        let serving = server.serving.take().expect("server");
        let ended = async {
            serving.await;
            true
        };
        let expiry = async {
            smol::Timer::after(TEST_TIMEOUT).await;
            false
        };
        assert!(server.runtime.block_on(smol::future::or(ended, expiry)), "{name}: in progress");
        assert_eq!(holder.handled.load(Ordering::Acquire), 0, "{name}");
    }
}

/// Guards against a client whose disconnect is lost on the way, so that its request keeps its
/// resources for as long as the response takes.
#[test]
fn lost_disconnect_drops_the_request() {
    struct Case {
        name: &'static str,
        // Filter of the packets that arrive at the server.
        server: &'static [SockFilter],
        leave: fn(TcpStream) -> Option<TcpStream>,
    }
    // Programs of the classic packet filter, whose data starts with the TCP header.
    const LOAD_FLAGS: SockFilter = SockFilter::new(0x30, 0, 0, 13);
    const SKIP_UNLESS_RESET_WITH_ACK: SockFilter = SockFilter::new(0x15, 0, 1, 0x14);
    const DROP: SockFilter = SockFilter::new(0x06, 0, 0, 0);
    const PASS: SockFilter = SockFilter::new(0x06, 0, 0, u32::MAX);
    // A reset that answers a probe has no acknowledgement and passes.
    const DROP_FIRST_RESET: &[SockFilter] = &[LOAD_FLAGS, SKIP_UNLESS_RESET_WITH_ACK, DROP, PASS];
    let cases = [
        Case { name: "the reset is lost", server: DROP_FIRST_RESET, leave: reset },
        Case {
            name: "the host of the client receives nothing more",
            server: &[PASS],
            leave: |stream| {
                SockRef::from(&stream).attach_filter(&[DROP]).expect("filter");
                Some(stream)
            },
        },
    ];
    for Case { name, server, leave } in cases {
        let holder = Holder::default();
        let handler = holder.clone();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("listener");
        // Accepted sockets inherit the filter.
        SockRef::from(&listener).attach_filter(server).expect("filter");
        let server = Fixture::on(listener, |s| s, move |_| handler.clone().hold());
        let stream = server.send_raw(POST);
        holder.wait_for_live(1, TEST_TIMEOUT, name);
        let _silent = leave(stream);
        holder.wait_for_live(0, LOST_CLIENT_TIMEOUT, name);
    }
}

/// Guards against connections that are given up because a request takes longer than all probes of
/// its client.
#[test]
fn client_that_waits_longer_than_the_probes_gets_its_response() {
    /// Longer than the time until a client that answers no probe is given up.
    const WAIT: Duration = Duration::from_secs(7);
    let handler = |_request| async {
        smol::Timer::after(WAIT).await;
        reply_json(StatusCode::OK, "done")
    };
    let server = Fixture::new(|s| s, handler);
    assert_eq!(server.post(vec![b'a']).body().as_ref(), b"\"done\"");
}

/// Guards against connections above the limit that are never served after others have ended.
#[test]
fn connections_above_the_limit_wait() {
    let server = Fixture::new(|s| s.connections(2), hello);
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut held: Vec<_> = (0..2).map(|_| server.send_raw(request)).collect();
    for stream in &mut held {
        let mut byte = [0; 1];
        stream.read_exact(&mut byte).expect("response");
    }
    let waiting = server.send_raw(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    drop(held);
    assert!(read_all(waiting).contains("hello"));
}

/// Guards against a shutdown that drops requests in flight.
#[test]
fn shutdown_finishes_requests_in_flight() {
    let (go, wait) = async_channel::bounded::<()>(1);
    let (entered, inside) = async_channel::bounded(1);
    let handler = move |_request| {
        let (wait, entered) = (wait.clone(), entered.clone());
        async move {
            entered.send(()).await.expect("test");
            let _ = wait.recv().await;
            reply_json(StatusCode::OK, "done")
        }
    };
    let mut server = Fixture::new(|s| s, handler);
    let (client, addr) = (server.client.clone(), server.addr);
    let first = server.runtime.spawn(async move {
        client.send_within(addr, Request::new(Bytes::new()), TEST_TIMEOUT).await
    });
    server.runtime.block_on(inside.recv()).expect("request");
    server.stop.take();
    drop(go);
    let response = server.runtime.block_on(first).expect("response");
    assert_eq!(response.body().as_ref(), b"\"done\"");
    let serving = server.serving.take().expect("server");
    server.runtime.block_on(serving);
    assert!(TcpStream::connect(addr).is_err(), "a stopped server must not listen");
}

/// Guards against a shutdown that resets connections in the listen backlog.
#[test]
fn shutdown_serves_connections_in_the_listen_backlog() {
    let (go, wait) = async_channel::bounded::<()>(1);
    let (entered, inside) = async_channel::unbounded();
    let handler = move |_request| {
        let (wait, entered) = (wait.clone(), entered.clone());
        async move {
            entered.send(()).await.expect("test");
            let _ = wait.recv().await;
            reply_json(StatusCode::OK, "done")
        }
    };
    let mut server = Fixture::new(|s| s.connections(1), handler);
    let request = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\na";
    let mut streams = vec![server.send_raw(request)];
    server.runtime.block_on(inside.recv()).expect("request");
    streams.extend((0..4).map(|_| server.send_raw(request)));
    server.stop.take();
    drop(go);
    for (number, stream) in streams.into_iter().enumerate() {
        let response = read_all(stream);
        assert!(response.contains("done"), "connection {number}: {response:?}");
    }
    let serving = server.serving.take().expect("server");
    server.runtime.block_on(serving);
}
