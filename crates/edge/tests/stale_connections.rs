//! Guards against what arrives on a connection that is no longer the link, or is sent on it.

use std::{
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use cranberryhatch_edge::{FrameReader, Hello, LinkEvents, Links, encode};
use cranberryhatch_fleet::Member;
use cranberryhatch_schema::fleet::{Withdraw, frame::Body};
use cranberryhatch_types::InstanceId;
use smol::{Async, Executor, Timer, net::TcpListener};

/// Time limit of a test; far above the expected duration, so that slow machines pass.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which an event that must not happen would.
const QUIET_TIME: Duration = Duration::from_millis(100);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    /// A link with a process of this incarnation.
    Up(u64),
    Down,
    Message(String),
}

type Hook = Box<dyn FnOnce() + Send>;

/// Records the events of links, and calls a function at one of them.
#[derive(Default)]
struct EventLog {
    events: Mutex<Vec<Event>>,
    hook: Mutex<Option<(Event, Hook)>>,
}

impl EventLog {
    fn record(&self, event: Event) {
        let hook = self.hook.lock().expect("hook").take_if(|(awaited, _)| *awaited == event);
        self.events.lock().expect("events").push(event);
        if let Some((_, hook)) = hook {
            hook();
        }
    }

    fn call_at(&self, event: Event, hook: impl FnOnce() + Send + 'static) {
        *self.hook.lock().expect("hook") = Some((event, Box::new(hook)));
    }

    fn events(&self) -> Vec<Event> {
        self.events.lock().expect("events").clone()
    }

    async fn wait_for(&self, expected: &[Event]) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.events().len() < expected.len() {
            assert!(Instant::now() < deadline, "{:?}, not {expected:?}", self.events());
            Timer::after(Duration::from_millis(5)).await;
        }
        assert_eq!(self.events(), expected);
    }
}

impl LinkEvents for EventLog {
    fn link_up(self: &Arc<Self>, peer: Member) {
        self.record(Event::Up(peer.incarnation));
    }

    fn link_down(self: &Arc<Self>, _: &InstanceId) {
        self.record(Event::Down);
    }

    fn peer_gone(self: &Arc<Self>, _: &InstanceId) {}

    fn messages(self: &Arc<Self>, _: &InstanceId, messages: Vec<Body>) {
        for message in messages {
            if let Body::Withdraw(Withdraw { job }) = message {
                self.record(Event::Message(job));
            }
        }
    }
}

fn message(name: &str) -> Body {
    Body::Withdraw(Withdraw { job: name.to_owned() })
}

fn received(name: &str) -> Event {
    Event::Message(name.to_owned())
}

/// Connection of a peer whose name makes it the side that connects.
#[derive(Clone)]
struct PeerConnection(Arc<Async<TcpStream>>);

impl PeerConnection {
    /// Writes without suspending the task.
    fn write(&self, body: Body) {
        let mut stream = self.0.as_ref().as_ref();
        stream.write_all(&encode(body)).expect("small enough for the socket buffer");
    }

    fn greet(&self, incarnation: u64) {
        self.write(Body::Hello(Hello {
            instance: "e-1".to_owned(),
            incarnation,
            zone: "a".to_owned(),
            // Nothing listens at port 1.
            addr: "127.0.0.1:1".to_owned(),
            cores: 250,
        }));
    }

    /// Returns the messages until the connection ends, without the answer to the greeting.
    async fn read_to_end(self) -> Vec<Body> {
        let mut reader = FrameReader::new(&*self.0);
        let mut all = Vec::new();
        while let Ok(messages) = reader.next().await {
            all.extend(messages);
        }
        all.retain(|message| !matches!(message, Body::Hello(_)));
        all
    }
}

struct Fixture {
    links: Arc<Links>,
    log: Arc<EventLog>,
    peer: InstanceId,
}

impl Fixture {
    async fn connect(&self) -> PeerConnection {
        let addr = self.links.me().addr.parse::<std::net::SocketAddr>().expect("an address");
        let stream = Async::<TcpStream>::connect(addr).await.expect("a connection");
        // Written messages arrive at once.
        stream.get_ref().set_nodelay(true).expect("option");
        PeerConnection(Arc::new(stream))
    }

    async fn greet(&self, incarnation: u64) -> PeerConnection {
        let connection = self.connect().await;
        connection.greet(incarnation);
        connection
    }
}

fn run_test(test: impl AsyncFnOnce(Fixture)) {
    let executor = Arc::new(Executor::new());
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let hello = Hello {
            instance: "e-0".to_owned(),
            incarnation: 1,
            zone: "a".to_owned(),
            addr: listener.local_addr().expect("an address").to_string(),
            cores: 250,
        };
        let links = Arc::new(Links::new(hello, Arc::clone(&executor)));
        let log = Arc::new(EventLog::default());
        executor.spawn(Arc::clone(&links).accept(Arc::clone(&log), listener)).detach();
        test(Fixture { links, log, peer: "e-1".parse().expect("a name") }).await;
    }));
}

/// A message that arrives as a later connection becomes the link is not handled after that.
#[test]
fn message_of_an_earlier_connection_is_not_handled_on_a_later_one() {
    run_test(async |test| {
        let first = test.greet(1).await;
        first.write(message("before"));
        let mut expected = vec![Event::Up(1), received("before")];
        test.log.wait_for(&expected).await;
        // The task that reads the first connection runs only after this.
        let earlier = first.clone();
        test.log.call_at(Event::Up(1), move || earlier.write(message("stale")));
        let second = test.greet(1).await;
        second.write(message("after"));
        expected.extend([Event::Down, Event::Up(1), received("after")]);
        test.log.wait_for(&expected).await;
        Timer::after(QUIET_TIME).await;
        test.log.wait_for(&expected).await;
    });
}

/// A message that arrives while the handler of the one before resets the link is not handled.
#[test]
fn message_after_a_reset_is_not_handled() {
    run_test(async |test| {
        let connection = test.greet(1).await;
        test.log.wait_for(&[Event::Up(1)]).await;
        let (links, log, peer) = (test.links, Arc::clone(&test.log), test.peer);
        let later = connection.clone();
        test.log.call_at(received("before"), move || {
            later.write(message("stale"));
            links.reset(&log, &peer);
        });
        connection.write(message("before"));
        connection.read_to_end().await;
        let expected = [Event::Up(1), received("before"), Event::Down];
        test.log.wait_for(&expected).await;
    });
}

/// A message that is not yet written when the link is reset is not sent: its sender counts it as
/// lost and may have repeated its content to another instance.
#[test]
fn message_that_is_unsent_at_a_reset_is_not_sent() {
    run_test(async |test| {
        let connection = test.greet(1).await;
        test.log.wait_for(&[Event::Up(1)]).await;
        test.links.send(&test.log, &test.peer, message("unsent"));
        test.links.reset(&test.log, &test.peer);
        assert_eq!(connection.read_to_end().await, [], "sent after the reset");
    });
}

/// A greeting that a process sent before its end and that arrives late does not replace the link to
/// its successor, whose runs would count as lost.
#[test]
fn greeting_of_an_earlier_process_does_not_replace_the_link_of_a_later_one() {
    run_test(async |test| {
        let earlier = test.connect().await;
        let later = test.greet(2).await;
        test.log.wait_for(&[Event::Up(2)]).await;
        earlier.greet(1);
        Timer::after(QUIET_TIME).await;
        test.log.wait_for(&[Event::Up(2)]).await;
        later.write(message("after"));
        test.log.wait_for(&[Event::Up(2), received("after")]).await;
    });
}

/// A process that starts after its host's clock was set back has a lower incarnation than the one
/// before, and is linked once the link of that one has ended.
#[test]
fn process_with_a_lower_incarnation_is_linked_after_the_link_of_the_one_before() {
    run_test(async |test| {
        let before = test.greet(2).await;
        test.log.wait_for(&[Event::Up(2)]).await;
        drop(before);
        test.log.wait_for(&[Event::Up(2), Event::Down]).await;
        let _after = test.greet(1).await;
        test.log.wait_for(&[Event::Up(2), Event::Down, Event::Up(1)]).await;
    });
}
