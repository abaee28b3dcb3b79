//! Tests of the client: no request is sent twice or to another process, no response reaches another
//! request, and no connection stays in use after its request.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use bytes::Bytes;
use cranberryhatch_http::{Client, ClientError, Delivery, PeerCheck, PeerIdentity, Runtime};
use http::{Request, Response};
use socket2::SockRef;

/// Upper bound for operations that are expected to complete.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of requests that are expected to get no response.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a peer that calls `serve` for each connection in turn, with the connection's number.
fn spawn_peer(
    connections: usize,
    serve: impl Fn(usize, TcpStream) + Send + 'static,
) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let addr = listener.local_addr().expect("address");
    let thread = std::thread::spawn(move || {
        for number in 0..connections {
            let (stream, _) = listener.accept().expect("connection");
            serve(number, stream);
        }
    });
    (addr, thread)
}

fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn write_response(stream: &mut TcpStream, body: &str) {
    // The client may have closed the connection already.
    let _ = stream.write_all(response(body).as_bytes());
}

fn get() -> Request<Bytes> {
    Request::new(Bytes::new())
}

/// Guards against a second response on a connection that is taken for that of the next request.
#[test]
fn duplicate_response_reaches_no_other_request() {
    let (addr, thread) = spawn_peer(2, |number, mut stream| {
        if read_head(&mut stream) {
            let body = if number == 0 { "one" } else { "two" };
            // One write, so that both responses arrive at the same time.
            let text = format!("{}{}", response(body), response("stray"));
            let _ = stream.write_all(text.as_bytes());
        }
        // Waits until the client closes the connection.
        let _ = stream.read(&mut [0; 1]);
    });
    let runtime = Runtime::new(1);
    let client = Client::new(runtime.executor());
    let first = runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT)).expect("response");
    assert_eq!(first.body().as_ref(), b"one");
    let second = runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT)).expect("response");
    assert_eq!(second.body().as_ref(), b"two");
    drop((client, runtime));
    thread.join().expect("peer");
}

/// Guards against a response after the timeout that is taken for that of the next request.
#[test]
fn late_response_reaches_no_other_request() {
    let (addr, thread) = spawn_peer(2, |number, mut stream| {
        if read_head(&mut stream) && number == 0 {
            // Waits until the client times out and closes the connection, then responds anyway.
            let _ = stream.read(&mut [0; 1]);
            write_response(&mut stream, "late");
        } else {
            write_response(&mut stream, "two");
        }
    });
    let runtime = Runtime::new(1);
    let client = Client::new(runtime.executor());
    let first = runtime.block_on(client.send_within(addr, get(), SHORT_TIMEOUT));
    let error = first.expect_err("no response in time");
    assert!(matches!(error, ClientError::TimedOut { .. }), "{error}");
    assert!(!error.is_unsent(), "the peer may have received the request");
    let second = runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT)).expect("response");
    assert_eq!(second.body().as_ref(), b"two");
    drop((client, runtime));
    thread.join().expect("peer");
}

/// Guards against a request that is sent again after its response was lost: the peer may have
/// processed it.
#[test]
fn request_without_a_response_is_not_sent_again() {
    let (addr, thread) = spawn_peer(2, |number, mut stream| {
        if number == 0 {
            assert!(read_head(&mut stream), "first request");
            write_response(&mut stream, "one");
            // Ends the connection once the second request has arrived.
            assert!(read_head(&mut stream), "second request");
        } else if read_head(&mut stream) {
            write_response(&mut stream, "three");
        }
    });
    let runtime = Runtime::new(1);
    let client = Client::new(runtime.executor());
    let first = runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT)).expect("response");
    assert_eq!(first.body().as_ref(), b"one");
    let second = runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT));
    let error = second.expect_err("the response is lost");
    assert!(!error.is_unsent(), "the peer has received the request: {error}");
    let third = runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT)).expect("response");
    assert_eq!(third.body().as_ref(), b"three");
    drop((client, runtime));
    thread.join().expect("peer");
}

/// Guards against requests above the connection limit that are reported as possibly processed.
#[test]
fn requests_above_the_connection_limit_are_unsent() {
    let (addr, thread) = spawn_peer(2, |_, mut stream| {
        read_head(&mut stream);
        write_response(&mut stream, "done");
        let _ = stream.read(&mut [0; 1]);
    });
    let runtime = Runtime::new(1);
    let client = Client::new(runtime.executor()).connections(0);
    let refused = runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT));
    assert!(refused.expect_err("no connection allowed").is_unsent());
    // Control requests must work while start requests use all connections.
    let control = runtime
        .block_on(client.send_on_new_connection(addr, get(), TEST_TIMEOUT))
        .expect("response");
    assert_eq!(control.body().as_ref(), b"done");
    let client = Client::new(runtime.executor()).connections(1);
    for _ in 0..3 {
        let sent = runtime.block_on(client.send_within(addr, get(), SHORT_TIMEOUT));
        // The peer responds only to the first request on a connection. Each request releases its
        // permit, so the limit is never reached.
        assert!(!matches!(sent, Err(ClientError::Exhausted { .. })));
    }
    drop((client, runtime));
    drop(TcpStream::connect(addr));
    thread.join().expect("peer");
}

/// Guards against a refused connection that is reported as a possibly processed request.
#[test]
fn request_on_a_refused_connection_is_unsent() {
    let addr = TcpListener::bind("127.0.0.1:0").expect("port").local_addr().expect("address");
    let runtime = Runtime::new(1);
    let client = Client::new(runtime.executor());
    let error =
        runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT)).expect_err("no peer");
    assert!(error.is_unsent(), "{error}");
}

/// Connection of a peer that records the requests that it reads.
struct RecordedConnection {
    reader: BufReader<TcpStream>,
    requests: Arc<Mutex<Vec<String>>>,
}

impl RecordedConnection {
    /// Reads and records the head of a request, and returns the size of its body.
    fn read_head(&mut self) -> Option<usize> {
        let mut line = String::new();
        self.reader.read_line(&mut line).ok()?;
        let path = line.split(' ').nth(1)?.to_owned();
        self.requests.lock().expect("requests").push(path);
        let mut size = 0;
        while !matches!(line.as_str(), "" | "\r\n") {
            line.clear();
            self.reader.read_line(&mut line).ok()?;
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length: ") {
                size = value.trim().parse().ok()?;
            }
        }
        Some(size)
    }

    /// Reads and records a request, and returns whether it was complete.
    fn read_request(&mut self) -> bool {
        let Some(size) = self.read_head() else { return false };
        self.reader.read_exact(&mut vec![0; size]).is_ok()
    }

    /// Reads and records requests until the client closes the connection.
    fn read_on(&mut self) {
        while self.read_request() {}
    }

    fn write(&mut self, text: &str) {
        // The client may have closed the connection already.
        let _ = self.reader.get_mut().write_all(text.as_bytes());
    }

    fn respond(&mut self) {
        self.write(&response("done"));
    }

    fn close_writes(&self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Write);
    }

    /// Makes the connection end with a reset when it is dropped.
    fn reset_on_drop(&self) {
        SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO)).expect("option");
    }
}

/// Peer that serves each connection in a thread until it is stopped.
struct RecordingPeer {
    addr: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl RecordingPeer {
    fn start(serve: fn(RecordedConnection)) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let addr = listener.local_addr().expect("address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let stopped = Arc::new(AtomicBool::new(false));
        let (log, stop) = (Arc::clone(&requests), Arc::clone(&stopped));
        let thread = std::thread::spawn(move || {
            let mut threads = Vec::new();
            while let Ok((stream, _)) = listener.accept()
                && !stop.load(Ordering::Acquire)
            {
                let requests = Arc::clone(&log);
                let connection = RecordedConnection { reader: BufReader::new(stream), requests };
                threads.push(std::thread::spawn(move || serve(connection)));
            }
            for thread in threads {
                thread.join().expect("connection");
            }
        });
        Self { addr, requests, stopped, thread }
    }

    /// Waits until all connections have ended, and returns the requests that were read.
    fn stop(self) -> Vec<String> {
        self.stopped.store(true, Ordering::Release);
        drop(TcpStream::connect(self.addr));
        self.thread.join().expect("peer");
        std::mem::take(&mut self.requests.lock().expect("requests"))
    }
}

/// Guards against a request that a peer gets twice, which would start a run twice, and against a
/// request that is reported as unsent although the peer got it.
#[test]
fn request_is_sent_at_most_once_whatever_the_peer_does() {
    /// Requests in turn; some of them meet the end of the connection that the one before used.
    const REQUESTS: usize = 40;
    /// Larger than the socket buffers, so that writes are interrupted.
    const LARGE_BODY: usize = 8 << 20;
    struct Case {
        name: &'static str,
        body: usize,
        serve: fn(RecordedConnection),
    }
    let cases = [
        Case {
            name: "serves all requests",
            body: 1,
            serve: |mut peer| {
                while peer.read_request() {
                    peer.respond();
                }
            },
        },
        Case {
            name: "closes an idle connection",
            body: 1,
            serve: |mut peer| {
                peer.read_request();
                peer.respond();
            },
        },
        Case {
            name: "resets an idle connection",
            body: 1,
            serve: |mut peer| {
                peer.reset_on_drop();
                peer.read_request();
                peer.respond();
            },
        },
        Case {
            name: "closes an idle connection for writes",
            body: 1,
            serve: |mut peer| {
                peer.read_request();
                peer.respond();
                peer.close_writes();
                peer.read_on();
            },
        },
        Case {
            name: "announces the close of the connection and reads on",
            body: 1,
            serve: |mut peer| {
                peer.read_request();
                peer.write("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
                peer.read_on();
            },
        },
        Case {
            name: "times an idle connection out",
            body: 1,
            serve: |mut peer| {
                peer.read_request();
                peer.respond();
                peer.write("HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n");
                peer.read_on();
            },
        },
        Case { name: "closes before it reads", body: 1, serve: drop },
        Case { name: "resets before it reads", body: 1, serve: |peer| peer.reset_on_drop() },
        Case {
            name: "closes for writes before it reads",
            body: 1,
            serve: |mut peer| {
                peer.close_writes();
                peer.read_on();
            },
        },
        Case {
            name: "closes after the head",
            body: LARGE_BODY,
            serve: |mut peer| {
                peer.read_head();
            },
        },
        Case {
            name: "closes for writes after the head",
            body: LARGE_BODY,
            serve: |mut peer| {
                let size = peer.read_head().unwrap_or_default();
                peer.close_writes();
                let _ = peer.reader.read_exact(&mut vec![0; size]);
                peer.read_on();
            },
        },
        Case {
            name: "responds after the head and closes",
            body: LARGE_BODY,
            serve: |mut peer| {
                peer.read_head();
                peer.write("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");
            },
        },
        Case {
            name: "closes after the request",
            body: 1,
            serve: |mut peer| {
                peer.read_request();
            },
        },
        Case {
            name: "resets after the request",
            body: 1,
            serve: |mut peer| {
                peer.reset_on_drop();
                peer.read_request();
            },
        },
        Case {
            name: "closes for writes after the request",
            body: 1,
            serve: |mut peer| {
                peer.read_request();
                peer.close_writes();
                peer.read_on();
            },
        },
        Case {
            name: "closes within the head of the response",
            body: 1,
            serve: |mut peer| {
                peer.read_request();
                peer.write("HTTP/1.1 200");
            },
        },
        Case {
            name: "closes within the body of the response",
            body: 1,
            serve: |mut peer| {
                peer.read_request();
                peer.write("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc");
            },
        },
        Case {
            name: "responds with 408 and closes",
            body: 1,
            serve: |mut peer| {
                peer.read_request();
                peer.write("HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\r\n");
            },
        },
        Case {
            name: "responds with 503 and closes",
            body: 1,
            serve: |mut peer| {
                peer.read_request();
                peer.write(
                    "HTTP/1.1 503 Service Unavailable\r\nretry-after: 0\r\n\
                     connection: close\r\n\r\n",
                );
            },
        },
        Case {
            name: "responds with 100 and closes",
            body: 1,
            serve: |mut peer| {
                peer.read_request();
                peer.write("HTTP/1.1 100 Continue\r\n\r\n");
            },
        },
        Case {
            name: "redirects",
            body: 1,
            serve: |mut peer| {
                while peer.read_request() {
                    peer.write(
                        "HTTP/1.1 307 Temporary Redirect\r\nlocation: /other\r\n\
                         content-length: 0\r\n\r\n",
                    );
                }
            },
        },
    ];
    for Case { name, body, serve } in cases {
        let peer = RecordingPeer::start(serve);
        // Several threads, so that requests meet ends of connections that are not read yet.
        let runtime = Runtime::new(2);
        let client = Client::new(runtime.executor());
        let requests = if body == LARGE_BODY { REQUESTS / 10 } else { REQUESTS };
        let mut results = Vec::new();
        for number in 0..requests {
            let path = format!("/{number}");
            let body = Bytes::from(vec![b'a'; body]);
            let request = Request::post(&path).body(body).expect("request");
            let sent = client.send_within(peer.addr, request, TEST_TIMEOUT);
            results.push((path, runtime.block_on(sent)));
            // From no pause, in which the end of the connection is not read yet, to a long one.
            std::thread::sleep(Duration::from_micros(100) * u32::try_from(number).expect("small"));
        }
        drop((client, runtime));
        let read = peer.stop();
        for (path, result) in results {
            let count = read.iter().filter(|known| **known == path).count();
            assert!(count <= 1, "{name}: {path} was read {count} times");
            match result {
                Ok(_) => assert_eq!(count, 1, "{name}: {path} was answered"),
                Err(error) if error.is_unsent() => {
                    assert_eq!(count, 0, "{name}: {path} is reported as unsent: {error}");
                }
                Err(_) => {}
            }
        }
        assert!(read.iter().all(|path| path != "/other"), "{name}: a redirect was followed");
    }
}

/// Returns a request whose path tells what the peer received.
fn get_path(path: &str) -> Request<Bytes> {
    Request::get(path).body(Bytes::new()).expect("a request")
}

/// Reads a request and returns its path; `None` if the client has closed the connection.
fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut line = String::new();
    let mut reader = BufReader::new(stream);
    reader.read_line(&mut line).ok()?;
    while reader.read_line(&mut String::new()).ok()? > 2 {}
    line.split(' ').nth(1).map(str::to_owned)
}

/// Starts a peer whose process `identities[number]` accepts connection `number`; returns the paths
/// that each of them received.
fn spawn_processes(identities: &'static [&str]) -> (SocketAddr, Arc<Mutex<Vec<Vec<String>>>>) {
    let paths = Arc::new(Mutex::new(vec![Vec::new(); identities.len()]));
    let received = Arc::clone(&paths);
    let (addr, _) = spawn_peer(identities.len(), move |number, mut stream| {
        let received = Arc::clone(&received);
        std::thread::spawn(move || {
            while let Some(path) = read_path(&mut stream) {
                let is_end = path == "/end";
                received.lock().expect("paths")[number].push(path);
                if is_end {
                    return;
                }
                write_response(&mut stream, identities[number]);
            }
        });
    });
    (addr, paths)
}

fn identify(response: &Response<Bytes>) -> Option<PeerIdentity> {
    std::str::from_utf8(response.body()).ok()?.parse().ok()
}

async fn send_to(
    client: &Client,
    addr: SocketAddr,
    identity: u64,
) -> Result<Delivery, ClientError> {
    let check = PeerCheck { identity: PeerIdentity::new(identity), probe: get_path("/probe") };
    client.send_to_peer(addr, get_path("/request"), check, TEST_TIMEOUT, identify).await
}

/// Guards against a request that reaches the process which has taken the place of its addressee.
#[test]
fn request_to_a_peer_reaches_no_later_process() {
    let (addr, paths) = spawn_processes(&["1", "2"]);
    let runtime = Runtime::new(1);
    let client = Client::new(runtime.executor());
    runtime.block_on(async {
        let first = send_to(&client, addr, 1).await;
        assert!(matches!(first, Ok(Delivery::Answered(_))), "{first:?}");
        let second = send_to(&client, addr, 1).await;
        assert!(matches!(second, Ok(Delivery::Answered(_))), "{second:?}");
        let ended = client.send_within(addr, get_path("/end"), TEST_TIMEOUT).await;
        assert!(ended.is_err(), "{ended:?}");
        let third = send_to(&client, addr, 1).await;
        assert!(matches!(&third, Ok(Delivery::OtherPeer(found)) if identify(found) == Some(PeerIdentity::new(2))), "{third:?}");
        let fourth = send_to(&client, addr, 2).await;
        assert!(matches!(fourth, Ok(Delivery::Answered(_))), "{fourth:?}");
    });
    let paths = paths.lock().expect("paths").clone();
    assert_eq!(paths, [vec!["/probe", "/request", "/request", "/end"], vec!["/probe", "/request"]]);
}

/// Guards against a second probe on a connection whose process an earlier response has shown.
#[test]
fn identified_connection_needs_no_probe() {
    let (addr, paths) = spawn_processes(&["1"]);
    let runtime = Runtime::new(1);
    let client = Client::new(runtime.executor());
    runtime.block_on(async {
        let first = client.send_identified(addr, get_path("/poll"), TEST_TIMEOUT, identify).await;
        assert!(first.is_ok(), "{first:?}");
        let second = send_to(&client, addr, 1).await;
        assert!(matches!(second, Ok(Delivery::Answered(_))), "{second:?}");
    });
    assert_eq!(*paths.lock().expect("paths"), [vec!["/poll", "/request"]]);
}

/// Guards against a request that counts as possibly received though only its probe was sent.
#[test]
fn request_whose_probe_gets_no_response_is_unsent() {
    let (addr, thread) = spawn_peer(1, |_, mut stream| {
        assert_eq!(read_path(&mut stream).as_deref(), Some("/probe"));
        assert_eq!(read_path(&mut stream).as_deref(), None, "the client closes the connection");
    });
    let runtime = Runtime::new(1);
    let client = Client::new(runtime.executor());
    let check = PeerCheck { identity: PeerIdentity::new(1), probe: get_path("/probe") };
    let sent = client.send_to_peer(addr, get_path("/request"), check, SHORT_TIMEOUT, identify);
    let error = runtime.block_on(sent).expect_err("no response");
    assert!(error.is_unsent(), "{error}");
    drop((client, runtime));
    thread.join().expect("peer");
}
