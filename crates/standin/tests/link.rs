//! Guards against a link that passes bytes when it must not, or holds them when it must.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use cranberryhatch_http::Runtime;
use cranberryhatch_standin::{Forward, Link, LinkMode};

/// Longest wait for something that must happen.
const LIMIT: Duration = Duration::from_secs(20);
/// Time for which nothing must arrive.
const QUIET: Duration = Duration::from_millis(200);

/// A server that echoes every connection for as long as the test runs.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("valid");
    let addr = listener.local_addr().expect("valid");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut out = stream.try_clone().expect("valid");
                let _ = std::io::copy(&mut &stream, &mut out);
            });
        }
    });
    addr
}

/// A free address outside the range from which the system takes ports of outgoing connections: a
/// connection to such a port can reach itself while nobody listens.
fn free_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = u16::try_from(std::process::id() % 10_000).expect("small");
    loop {
        let port = 20_000 + (first + NEXT.fetch_add(1, Ordering::Relaxed)) % 12_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

fn connect(addr: SocketAddr) -> TcpStream {
    let limit = Instant::now() + LIMIT;
    loop {
        match TcpStream::connect(addr) {
            Ok(stream) => return stream,
            Err(error) if Instant::now() > limit => panic!("no connection: {error}"),
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}

fn exchange(stream: &mut TcpStream, wait: Duration) -> bool {
    stream.set_read_timeout(Some(wait)).expect("valid");
    let mut byte = [0];
    stream.write_all(b"x").is_ok() && stream.read_exact(&mut byte).is_ok()
}

/// Demands that connections are refused soon, and that none before that passes a byte.
fn assert_refused(addr: SocketAddr) {
    let limit = Instant::now() + LIMIT;
    // The system accepts connections until the link's task has closed the listener.
    while let Ok(mut stream) = TcpStream::connect(addr) {
        assert!(!exchange(&mut stream, QUIET), "a byte passed a cut link");
        assert!(Instant::now() < limit, "a cut link accepts connections");
    }
}

#[test]
fn modes_hit_old_and_new_connections() {
    struct Case {
        mode: LinkMode,
        old: bool,
        new: bool,
    }
    let cases = [
        Case { mode: LinkMode::Pass, old: true, new: true },
        Case { mode: LinkMode::Silent, old: false, new: true },
        Case { mode: LinkMode::Cut, old: false, new: false },
        Case { mode: LinkMode::LoseRequests, old: false, new: false },
        Case { mode: LinkMode::LoseAnswers, old: false, new: false },
    ];
    let runtime = Runtime::new(2);
    for case in cases {
        let addr = free_addr();
        let link = Link::start(&runtime.executor(), addr, echo());
        let mut old = connect(addr);
        assert!(exchange(&mut old, LIMIT), "{} before the switch", case.mode);
        link.switch(case.mode);
        let wait = if case.old { LIMIT } else { QUIET };
        assert_eq!(exchange(&mut old, wait), case.old, "{} on the old connection", case.mode);
        if case.new {
            assert!(exchange(&mut connect(addr), LIMIT), "{} on a new connection", case.mode);
        } else if case.mode == LinkMode::Cut {
            assert_refused(addr);
        } else {
            assert!(!exchange(&mut connect(addr), QUIET), "{} on a new connection", case.mode);
        }
        link.switch(LinkMode::Pass);
        assert!(exchange(&mut connect(addr), LIMIT), "{} after the end", case.mode);
    }
}

#[test]
fn a_one_way_loss_keeps_the_other_way() {
    // Guards against a loss of both directions, which looks like a cut to both sides.
    struct Case {
        mode: LinkMode,
        arrives: bool,
    }
    let cases = [
        Case { mode: LinkMode::LoseRequests, arrives: false },
        Case { mode: LinkMode::LoseAnswers, arrives: true },
    ];
    for Case { mode, arrives } in cases {
        let listener = TcpListener::bind("127.0.0.1:0").expect("valid");
        let runtime = Runtime::new(2);
        let addr = free_addr();
        let link = Link::start(&runtime.executor(), addr, listener.local_addr().expect("valid"));
        let mut client = connect(addr);
        let (mut server, _) = listener.accept().expect("valid");
        link.switch(mode);
        client.write_all(b"x").expect("valid");
        server.write_all(b"y").expect("valid");
        let arrived = |stream: &mut TcpStream, wait| {
            stream.set_read_timeout(Some(wait)).expect("valid");
            stream.read_exact(&mut [0]).is_ok()
        };
        let wait = |arrives| if arrives { LIMIT } else { QUIET };
        assert_eq!(arrived(&mut server, wait(arrives)), arrives, "{mode}: at the server");
        assert_eq!(arrived(&mut client, wait(!arrives)), !arrives, "{mode}: at the client");
    }
}

#[test]
fn delay_holds_bytes() {
    let runtime = Runtime::new(2);
    let addr = free_addr();
    let link = Link::start(&runtime.executor(), addr, echo());
    let delay = Duration::from_millis(50);
    link.delay(delay);
    let mut stream = connect(addr);
    let start = Instant::now();
    assert!(exchange(&mut stream, LIMIT));
    assert!(start.elapsed() >= 2 * delay, "each direction is delayed");
}

#[test]
fn descriptions_are_checked() {
    for text in ["", "a=1", "a=127.0.0.1:1=x", "a=127.0.0.1:1=127.0.0.1:2=3"] {
        assert!(text.parse::<Forward>().is_err(), "{text}");
    }
    assert!("a=127.0.0.1:1=127.0.0.1:2".parse::<Forward>().is_ok());
}
