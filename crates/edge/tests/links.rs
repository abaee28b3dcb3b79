//! Guards against links that flap forever after both sides reset them, and against messages of an
//! earlier connection that are handled on a later one.

use std::{
    io::Write,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use cranberryhatch_edge::{Hello, LinkEvents, Links};
use cranberryhatch_fleet::Member;
use cranberryhatch_schema::fleet::{Frame, Withdraw, frame::Body};
use cranberryhatch_types::InstanceId;
use prost::Message as _;
use smol::{
    Executor, Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Time limit of a test; far above the expected duration, so that slow machines pass.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// One-way delay between instances.
const RELAY_DELAY: Duration = Duration::from_millis(30);

/// Link event handler that records the events.
#[derive(Default)]
struct LinkLog {
    up: Mutex<Vec<InstanceId>>,
    changes: AtomicU64,
    received: Mutex<Vec<u64>>,
}

impl LinkEvents for LinkLog {
    fn link_up(self: &Arc<Self>, peer: Member) {
        self.changes.fetch_add(1, Ordering::SeqCst);
        let mut up = self.up.lock().expect("up");
        assert!(!up.contains(&peer.id), "up twice without a down");
        up.push(peer.id);
    }

    fn link_down(self: &Arc<Self>, peer: &InstanceId) {
        self.changes.fetch_add(1, Ordering::SeqCst);
        self.up.lock().expect("up").retain(|known| known != peer);
    }

    fn peer_gone(self: &Arc<Self>, _: &InstanceId) {}

    fn messages(self: &Arc<Self>, _: &InstanceId, messages: Vec<Body>) {
        for message in messages {
            if let Body::Withdraw(Withdraw { job }) = message {
                self.received.lock().expect("received").push(job.parse().expect("a number"));
            }
        }
    }
}

struct TestInstance {
    links: Arc<Links>,
    log: Arc<LinkLog>,
}

/// Forwards connections with a delay, as between zones; the end of a connection is delayed too.
async fn relay(executor: Arc<Executor<'static>>, listener: TcpListener, to: SocketAddr) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(to).await else { continue };
        for (from, to) in [(near.clone(), far.clone()), (far, near)] {
            executor.spawn(forward(from, to)).detach();
        }
    }
}

async fn forward(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = vec![0; 4_096];
    loop {
        let count = from.read(&mut bytes).await.unwrap_or(0);
        Timer::after(RELAY_DELAY).await;
        if count == 0 || to.write_all(&bytes[..count]).await.is_err() {
            break;
        }
    }
    // The other direction ends when its side closes the connection.
    let _ = to.shutdown(std::net::Shutdown::Both);
}

async fn instances(executor: &Arc<Executor<'static>>, count: usize) -> Vec<TestInstance> {
    let mut all: Vec<TestInstance> = Vec::new();
    for number in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let relayed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = relayed.local_addr().expect("an address").to_string();
        let to = listener.local_addr().expect("an address");
        executor.spawn(relay(Arc::clone(executor), relayed, to)).detach();
        let hello = Hello {
            instance: format!("e-{number}"),
            incarnation: 1,
            zone: "a".to_owned(),
            addr,
            cores: 250,
        };
        let links = Arc::new(Links::new(hello, Arc::clone(executor)));
        let log = Arc::new(LinkLog::default());
        let accept = Arc::clone(&links).accept(Arc::clone(&log), listener);
        executor.spawn(accept).detach();
        // Later instances know the earlier ones, which learn of a later one from its announcement.
        for earlier in &all {
            links.add_peer(&log, earlier.links.me().clone());
        }
        let ids = all.iter().map(|instance| instance.links.me().instance.parse().expect("a name"));
        let mut ids: Vec<InstanceId> = ids.collect();
        ids.sort();
        links.set_wanted(ids);
        all.push(TestInstance { links, log });
    }
    all
}

async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "never: {what}");
        Timer::after(Duration::from_millis(5)).await;
    }
}

fn all_up(all: &[TestInstance]) -> bool {
    all.iter().all(|instance| instance.log.up.lock().expect("up").len() == all.len() - 1)
}

fn run_test(test: impl AsyncFnOnce(Arc<Executor<'static>>)) {
    let executor = Arc::new(Executor::new());
    smol::block_on(executor.run(test(Arc::clone(&executor))));
}

#[test]
fn links_become_stable_after_both_sides_reset_them_at_random_times() {
    run_test(async |executor| {
        let all = instances(&executor, 4).await;
        wait_until("all links up", || all_up(&all)).await;
        let mut rng = fastrand::Rng::with_seed(7);
        for _ in 0..200 {
            let (one, other) = (rng.usize(0..4), rng.usize(0..4));
            let id: InstanceId = format!("e-{other}").parse().expect("a name");
            all[one].links.reset(&all[one].log, &id);
            Timer::after(Duration::from_millis(rng.u64(0..12))).await;
        }
        wait_until("all links up again", || all_up(&all)).await;
        let changes = || -> u64 {
            all.iter().map(|instance| instance.log.changes.load(Ordering::SeqCst)).sum()
        };
        // A reset on one side is noticed on the other within milliseconds.
        Timer::after(Duration::from_millis(500)).await;
        wait_until("all links up", || all_up(&all)).await;
        let before = changes();
        Timer::after(Duration::from_millis(1_000)).await;
        assert_eq!(changes(), before, "links change without a reset");
    });
}

#[test]
fn messages_stay_in_order_when_links_are_reset() {
    run_test(async |executor| {
        let all = instances(&executor, 2).await;
        wait_until("the link up", || all_up(&all)).await;
        let to: InstanceId = "e-1".parse().expect("a name");
        let from: InstanceId = "e-0".parse().expect("a name");
        for number in 0..2_000_u64 {
            let message = Body::Withdraw(Withdraw { job: number.to_string() });
            all[0].links.send(&all[0].log, &to, message);
            if number % 100 == 99 && number < 1_900 {
                let (instance, peer) =
                    if number % 200 == 99 { (&all[0], &to) } else { (&all[1], &from) };
                instance.links.reset(&instance.log, peer);
                wait_until("the link up again", || all_up(&all)).await;
            }
            if number % 10 == 0 {
                Timer::after(Duration::from_millis(1)).await;
            }
        }
        let received = || all[1].log.received.lock().expect("received");
        wait_until("messages sent after the last reset", || received().last() == Some(&1_999))
            .await;
        assert!(received().windows(2).all(|pair| pair[0] < pair[1]), "out of order");
    });
}

/// Link event handler that lets messages arrive on the first connection of a peer when the link is
/// up on the second one.
#[derive(Default)]
struct LateMessages {
    first: Mutex<Option<std::net::TcpStream>>,
    up: AtomicU64,
    received: Mutex<Vec<u64>>,
}

impl LinkEvents for LateMessages {
    fn link_up(self: &Arc<Self>, _: Member) {
        self.up.fetch_add(1, Ordering::SeqCst);
        if let Some(mut first) = self.first.lock().expect("first").take() {
            first.write_all(&frame(withdraw(1))).expect("a late message");
            // The message arrives before any other task runs.
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn link_down(self: &Arc<Self>, _: &InstanceId) {}

    fn peer_gone(self: &Arc<Self>, _: &InstanceId) {}

    fn messages(self: &Arc<Self>, _: &InstanceId, messages: Vec<Body>) {
        for message in messages {
            if let Body::Withdraw(Withdraw { job }) = message {
                self.received.lock().expect("received").push(job.parse().expect("a number"));
            }
        }
    }
}

fn withdraw(number: u64) -> Body {
    Body::Withdraw(Withdraw { job: number.to_string() })
}

fn frame(body: Body) -> Vec<u8> {
    let message = Frame { body: Some(body) }.encode_to_vec();
    let length = u32::try_from(message.len()).expect("a short message");
    [length.to_be_bytes().to_vec(), message].concat()
}

#[test]
fn messages_of_an_earlier_connection_are_not_handled_on_a_later_one() {
    run_test(async |executor| {
        let hello = |instance: &str, addr: String| Hello {
            instance: instance.to_owned(),
            incarnation: 1,
            zone: "a".to_owned(),
            addr,
            cores: 250,
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let links = Arc::new(Links::new(hello("e-0", addr.to_string()), Arc::clone(&executor)));
        let log = Arc::new(LateMessages::default());
        executor.spawn(Arc::clone(&links).accept(Arc::clone(&log), listener)).detach();
        // The peer accepts no announcements, and opens the connections itself.
        let peer = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let peer = hello("e-9", peer.local_addr().expect("an address").to_string());
        let connect = || {
            let mut stream = std::net::TcpStream::connect(addr).expect("a connection");
            stream.write_all(&frame(Body::Hello(peer.clone()))).expect("a first message");
            stream
        };
        let received = || log.received.lock().expect("received").clone();
        let mut first = connect();
        wait_until("the link up", || log.up.load(Ordering::SeqCst) == 1).await;
        first.write_all(&frame(withdraw(0))).expect("a message");
        wait_until("a message", || received() == [0]).await;
        *log.first.lock().expect("first") = Some(first);
        let mut second = connect();
        wait_until("the link up again", || log.up.load(Ordering::SeqCst) == 2).await;
        second.write_all(&frame(withdraw(2))).expect("a message");
        wait_until("a message of the later connection", || received().contains(&2)).await;
        assert_eq!(received(), [0, 2]);
    });
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    const PAGE: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").expect("a process");
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.expect("a number") * PAGE
}

#[test]
fn idle_links_stay_within_the_memory_limit_of_an_instance() {
    /// Memory limit in bytes of an instance with links to `LINKED` others.
    const INSTANCE_MEMORY: usize = 16 << 20;
    const LINKED: usize = 146;
    const INSTANCES: usize = 16;
    run_test(async |executor| {
        let before = resident_bytes();
        let all = instances(&executor, INSTANCES).await;
        wait_until("all links up", || all_up(&all)).await;
        let link_ends = INSTANCES * (INSTANCES - 1);
        let each = resident_bytes().saturating_sub(before) / link_ends;
        assert!(each <= INSTANCE_MEMORY / LINKED, "{each} bytes for each end of a link");
    });
}

#[test]
fn listed_address_does_not_cut_a_peer_off() {
    run_test(async |executor| {
        let all = instances(&executor, 2).await;
        wait_until("the link is up", || all_up(&all)).await;
        let (id, peer): (InstanceId, InstanceId) =
            ("e-0".parse().expect("a name"), "e-1".parse().expect("a name"));
        all[0].links.set_wanted(vec![peer]);
        // Nothing listens at port 1.
        let (incarnation, addr) = (u64::MAX, "127.0.0.1:1".to_owned());
        let listed = Hello { incarnation, addr, ..all[0].links.me().clone() };
        all[1].links.add_peer(&all[1].log, listed.clone());
        assert!(all_up(&all), "the link stays up");
        all[1].links.reset(&all[1].log, &id);
        all[1].links.add_peer(&all[1].log, listed);
        wait_until("the link is down", || !all_up(&all)).await;
        wait_until("the link is back", || all_up(&all)).await;
    });
}
