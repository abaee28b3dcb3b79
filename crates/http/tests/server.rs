//! Guards against clients that use up the server's memory, connections or time.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_channel::Sender;
use bytes::Bytes;
use cranberryhatch_http::{Client, Runtime, Server, reply_json};
use http::{Request, Response, StatusCode};
use smol::{Task, net::TcpListener};

/// Time that stands for "too slow" where a test waits for a limit to be reached.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time that ends a test that would never end.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

struct Fixture {
    addr: SocketAddr,
    client: Client,
    stop: Option<Sender<()>>,
    serving: Option<Task<()>>,
    runtime: Runtime,
}

impl Fixture {
    fn new<F, R>(limit: impl FnOnce(Server<F>) -> Server<F>, handler: F) -> Self
    where
        F: Fn(Request<Bytes>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Bytes>> + Send + 'static,
    {
        let runtime = Runtime::new(2);
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("listener");
        let addr = listener.local_addr().expect("address");
        let (stop, stopped) = async_channel::bounded(1);
        let server = limit(Server::new(handler)).serve(runtime.executor(), listener, stopped);
        let serving = Some(runtime.spawn(server));
        let client = Client::new(runtime.executor());
        Self { addr, client, stop: Some(stop), serving, runtime }
    }

    fn raw(&self, bytes: &[u8]) -> TcpStream {
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

/// The answer's head and whatever of the body came before the connection was closed.
fn read_all(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    // A connection that is reset has told what it had to tell.
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Bad requests must get a typed answer, and memory must be bounded before the body is complete.
#[test]
fn bad_requests_get_typed_answers() {
    struct Case {
        what: &'static str,
        bytes: Vec<u8>,
        answer: &'static str,
    }
    let head = |more: &str| format!("POST / HTTP/1.1\r\nhost: x\r\n{more}\r\n").into_bytes();
    let with = |mut head: Vec<u8>, body: &[u8]| {
        head.extend_from_slice(body);
        head
    };
    let long = format!("x-long: {}\r\n", "a".repeat(1 << 20));
    let cases = [
        Case {
            what: "body over the limit",
            bytes: with(head("content-length: 2000\r\n"), &[b'a'; 2000]),
            answer: "body-too-large",
        },
        Case {
            what: "chunked body over the limit",
            bytes: with(
                head("transfer-encoding: chunked\r\n"),
                &[b"7d0\r\n".as_slice(), &[b'a'; 2000], b"\r\n0\r\n\r\n"].concat(),
            ),
            answer: "body-too-large",
        },
        Case {
            what: "body that is never sent",
            bytes: head("content-length: 10\r\n"),
            answer: "body-timeout",
        },
        Case { what: "head over the limit", bytes: head(&long), answer: " 431 " },
        Case { what: "no HTTP", bytes: b"\x16\x03\x01\r\n\r\n".to_vec(), answer: " 400 " },
    ];
    let server = Fixture::new(|s| s.body_limit(1_000).read_timeout(SHORT_TIMEOUT), hello);
    for case in cases {
        let answer = read_all(server.raw(&case.bytes));
        assert!(answer.contains(case.answer), "{}: {answer:?}", case.what);
    }
}

/// A client that sends its head byte by byte must not keep its connection.
#[test]
fn a_slow_head_is_cut_off() {
    let server = Fixture::new(|s| s.read_timeout(SHORT_TIMEOUT), hello);
    let stream = server.raw(b"POST / HT");
    let answer = read_all(stream);
    assert!(!answer.contains("hello"), "{answer:?}");
}

/// Many bodies at the same time must not use more memory than the budget.
#[test]
fn bodies_share_a_budget() {
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

/// A client that does not read its answer must not keep the connection.
#[test]
fn a_client_that_does_not_read_is_cut_off() {
    let handler = |_request| async { Response::new(Bytes::from(vec![b'a'; 64 << 20])) };
    let mut server = Fixture::new(|s| s.write_timeout(SHORT_TIMEOUT), handler);
    let stream = server.raw(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    server.stop.take();
    let serving = server.serving.take().expect("server");
    // The server ends only when the connection has ended.
    server.runtime.block_on(serving);
    drop(stream);
}

/// A caller that went away must free what its request holds.
#[test]
fn a_disconnect_drops_the_request() {
    struct Live(Arc<AtomicUsize>);
    impl Drop for Live {
        fn drop(&mut self) {
            self.0.fetch_sub(1, Ordering::AcqRel);
        }
    }
    let live = Arc::new(AtomicUsize::new(0));
    let (entered, inside) = async_channel::bounded(1);
    let counter = Arc::clone(&live);
    let handler = move |_request| {
        counter.fetch_add(1, Ordering::AcqRel);
        let (live, entered) = (Live(Arc::clone(&counter)), entered.clone());
        async move {
            let _live = live;
            entered.send(()).await.expect("test");
            std::future::pending::<Response<Bytes>>().await
        }
    };
    let server = Fixture::new(|s| s, handler);
    let stream = server.raw(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    server.runtime.block_on(inside.recv()).expect("request");
    assert_eq!(live.load(Ordering::Acquire), 1);
    drop(stream);
    let limit = std::time::Instant::now() + TEST_TIMEOUT;
    while live.load(Ordering::Acquire) > 0 {
        assert!(std::time::Instant::now() < limit, "the request is still held");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// More connections than allowed must wait, and be served when others end.
#[test]
fn connections_beyond_the_limit_wait() {
    let server = Fixture::new(|s| s.connections(2), hello);
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut held: Vec<_> = (0..2).map(|_| server.raw(request)).collect();
    for stream in &mut held {
        let mut byte = [0; 1];
        stream.read_exact(&mut byte).expect("answer");
    }
    let waiting = server.raw(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    drop(held);
    assert!(read_all(waiting).contains("hello"));
}

/// A stop must finish the requests in flight.
#[test]
fn a_stop_finishes_requests_in_flight() {
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

/// Requests on connections that the server had not accepted when it stopped must get an answer.
#[test]
fn a_stop_answers_connections_that_wait_to_be_accepted() {
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
    let mut streams = vec![server.raw(request)];
    server.runtime.block_on(inside.recv()).expect("request");
    streams.extend((0..4).map(|_| server.raw(request)));
    server.stop.take();
    drop(go);
    for (number, stream) in streams.into_iter().enumerate() {
        let answer = read_all(stream);
        assert!(answer.contains("done"), "connection {number}: {answer:?}");
    }
    let serving = server.serving.take().expect("server");
    server.runtime.block_on(serving);
}
