//! Guards against requests sent twice, answers that reach another request, and connections that
//! stay in use for good.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread::JoinHandle,
    time::Duration,
};

use bytes::Bytes;
use cranberryhatch_http::{Client, ClientError, Runtime};
use http::Request;

/// Time that ends a test that would never end.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which an exchange that gets no answer is given up.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Runs `serve` for each connection in turn, with the number of the connection.
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

/// An answer that comes twice on one connection must not answer the next request.
#[test]
fn a_doubled_answer_reaches_no_other_request() {
    let (addr, thread) = spawn_peer(2, |number, mut stream| {
        if read_head(&mut stream) {
            let body = if number == 0 { "one" } else { "two" };
            // One write, so that the stray answer is there as soon as the wanted one.
            let text = format!("{}{}", response(body), response("stray"));
            let _ = stream.write_all(text.as_bytes());
        }
        // Waits until the client closes the connection.
        let _ = stream.read(&mut [0; 1]);
    });
    let runtime = Runtime::new(1);
    let client = Client::new(runtime.executor());
    let first = runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT)).expect("answer");
    assert_eq!(first.body().as_ref(), b"one");
    let second = runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT)).expect("answer");
    assert_eq!(second.body().as_ref(), b"two");
    drop((client, runtime));
    thread.join().expect("peer");
}

/// An answer that comes after the request was given up must not answer the next request.
#[test]
fn a_late_answer_reaches_no_other_request() {
    let (addr, thread) = spawn_peer(2, |number, mut stream| {
        if read_head(&mut stream) && number == 0 {
            // Reads until the client gives up and closes, then answers all the same.
            let _ = stream.read(&mut [0; 1]);
            write_response(&mut stream, "late");
        } else {
            write_response(&mut stream, "two");
        }
    });
    let runtime = Runtime::new(1);
    let client = Client::new(runtime.executor());
    let first = runtime.block_on(client.send_within(addr, get(), SHORT_TIMEOUT));
    let error = first.expect_err("no answer in time");
    assert!(matches!(error, ClientError::TimedOut { .. }), "{error}");
    assert!(!error.is_unsent(), "the peer may have seen the request");
    let second = runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT)).expect("answer");
    assert_eq!(second.body().as_ref(), b"two");
    drop((client, runtime));
    thread.join().expect("peer");
}

/// Requests beyond the limit must be told apart from requests that may have run.
#[test]
fn the_limit_on_connections_holds() {
    let (addr, thread) = spawn_peer(2, |_, mut stream| {
        read_head(&mut stream);
        write_response(&mut stream, "done");
        let _ = stream.read(&mut [0; 1]);
    });
    let runtime = Runtime::new(1);
    let client = Client::new(runtime.executor()).connections(0);
    let refused = runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT));
    assert!(refused.expect_err("no connection allowed").is_unsent());
    // Control exchanges must work when the starts hold all connections.
    let fresh =
        runtime.block_on(client.send_on_new_connection(addr, get(), TEST_TIMEOUT)).expect("answer");
    assert_eq!(fresh.body().as_ref(), b"done");
    let client = Client::new(runtime.executor()).connections(1);
    for _ in 0..3 {
        let sent = runtime.block_on(client.send_within(addr, get(), SHORT_TIMEOUT));
        // The peer answers only the first request on a connection; each exchange gives its place
        // back, so none is refused for lack of a connection.
        assert!(!matches!(sent, Err(ClientError::Exhausted { .. })));
    }
    drop((client, runtime));
    drop(TcpStream::connect(addr));
    thread.join().expect("peer");
}

/// A peer that is not there has not seen the request.
#[test]
fn a_refused_connection_is_unsent() {
    let addr = TcpListener::bind("127.0.0.1:0").expect("port").local_addr().expect("address");
    let runtime = Runtime::new(1);
    let client = Client::new(runtime.executor());
    let error =
        runtime.block_on(client.send_within(addr, get(), TEST_TIMEOUT)).expect_err("no peer");
    assert!(error.is_unsent(), "{error}");
}
