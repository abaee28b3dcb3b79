//! Tests of the client: no request is sent twice, no response reaches another request, and no
//! connection stays in use after its request.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread::JoinHandle,
    time::Duration,
};

use bytes::Bytes;
use cranberryhatch_http::{Client, ClientError, Runtime};
use http::Request;

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
