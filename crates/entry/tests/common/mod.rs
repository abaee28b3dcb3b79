//! A small deployment in one process: platform, endpoints and entry instances on loopback.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use async_channel::Sender;
use bytes::Bytes;
use clap::Parser;
use cranberryhatch_entry::Instance;
use cranberryhatch_http::{Client, Runtime, Server};
use cranberryhatch_settings::ProcessConfig;
use cranberryhatch_standin::{EndpointArgs, EndpointStandin, PlatformArgs, PlatformStandin};
use cranberryhatch_store::{Expect, InstanceState, ListedInstance, Op, Platform, Role, Txn};
use http::{Request, Response};
use serde_json::{Value, json};
use smol::Task;

/// Time after which a condition that must come true has failed. It is far above what a loaded
/// machine needs, so that it only ends tests that would never end.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Settings with the tokens `script-token`, `kiosk-token` and `operator-token`.
pub const TREE: &str = "\
[deployment test]
zones.names = z1
[team script]
auth.token = 646a7172b96a1fcb64878615c71965645e1e9752f6e6e0647a1c3f37ab8a0fc2
[team kiosk]
auth.token = 45f16d22ad850caf5e17d4a940cd52247b941e76f2c9e7f3ecc4e10993a9d9dd
[operator demo]
auth.token = 0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e
";

/// A stand-in that serves until it is dropped.
pub struct Served {
    pub addr: SocketAddr,
    stop: Option<Sender<()>>,
    task: Option<Task<()>>,
}

impl Drop for Served {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(task) = self.task.take() {
            smol::block_on(task.cancel());
        }
    }
}

/// An entry instance on a thread of its own.
pub struct Entry {
    pub addr: SocketAddr,
    pub peer: SocketAddr,
    pub id: String,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Entry {
    /// Tells the instance to stop.
    pub fn signal(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Stops the instance and waits until it has ended.
    pub fn stop(&mut self) {
        self.signal();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("an instance that ends well");
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A failure was reported by the instance's own panic.
            let _ = thread.join();
        }
    }
}

/// Platform, endpoints and their listing.
pub struct Site {
    pub client: Client,
    pub platform: Served,
    pub endpoints: Vec<Served>,
    pub listing: Vec<ListedInstance>,
    // Dropped last: it runs the stand-ins.
    pub runtime: Runtime,
}

/// Ports below those that the system gives to outgoing connections, one of which could otherwise
/// take the port before the instance listens.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

pub fn free_addr() -> SocketAddr {
    loop {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, fastrand::u16(PORTS)));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Site {
    /// A platform with settings and endpoints of a zone, each with 8 slots.
    pub fn new(endpoints: usize) -> Self {
        let site = Self::without_settings(endpoints);
        site.seed(TREE);
        site
    }

    pub fn without_settings(endpoints: usize) -> Self {
        let runtime = Runtime::new(2);
        let client = Client::new(runtime.executor()).connections(1_000);
        let args =
            PlatformArgs::parse_from(["platform", "--listen", "127.0.0.1:0", "--write-ms", "1"]);
        let platform = Arc::new(PlatformStandin::new(&args).expect("platform"));
        let platform = serve(&runtime, move |request| {
            let platform = Arc::clone(&platform);
            async move { platform.answer("", request).await }
        });
        let mut site =
            Self { client, platform, endpoints: Vec::new(), listing: Vec::new(), runtime };
        for number in 0..endpoints {
            site.add_endpoint(number);
        }
        site
    }

    fn add_endpoint(&mut self, number: usize) {
        self.add_endpoint_in(number, "z1");
    }

    /// Adds an endpoint of a zone to the list, which is published with the next instance.
    pub fn add_endpoint_in(&mut self, number: usize, zone: &str) {
        let id = format!("w{number}");
        let args = ["endpoint", "--listen", "127.0.0.1:0", "--zone", zone, "--rack", "r0"];
        let args = EndpointArgs::parse_from(args.into_iter().chain(["--worker", &id]));
        let standin = EndpointStandin::new(args, self.runtime.executor(), None).expect("endpoint");
        let standin = Arc::new(standin);
        let served = serve(&self.runtime, move |request| {
            let standin = Arc::clone(&standin);
            async move { standin.answer(request).await }
        });
        self.listing.push(ListedInstance {
            role: Role::Endpoint,
            id,
            addr: served.addr,
            peer: None,
            zone: zone.parse().expect("id"),
            rack: Some("r0".parse().expect("id")),
            state: InstanceState::Live,
        });
        self.endpoints.push(served);
    }

    /// Stores the settings.
    pub fn seed(&self, tree: &str) {
        let ops = vec![
            Op::new("settings", "tree", Expect::Absent).put(tree.into()),
            Op::new("settings", "version", Expect::Absent).put(json!({ "from": 0 })),
        ];
        let txn = Txn { id: "seed".to_owned(), ops };
        self.runtime.block_on(self.platform().txn(&txn)).expect("seed");
    }

    pub fn platform(&self) -> Platform {
        Platform::new(self.client.clone(), self.platform.addr)
    }

    /// Switches a fault of the platform on or off.
    pub fn switch_platform(&self, switch: &Value) {
        self.control(self.platform.addr, "/control/switch", switch);
    }

    pub fn control<T: serde::Serialize + ?Sized>(&self, addr: SocketAddr, path: &str, body: &T) {
        let body = serde_json::to_vec(body).expect("JSON");
        let request = Request::post(path).body(Bytes::from(body)).expect("request");
        let response = self.send(addr, request);
        assert!(response.status().is_success(), "{path}: {}", response.status());
    }

    /// Starts an instance with addresses of its own and lists it.
    pub fn entry(&mut self, id: &str) -> Entry {
        self.entry_in(id, "z1", self.platform.addr)
    }

    /// Starts an instance of a zone that finds the platform at an address, and lists it.
    pub fn entry_in(&mut self, id: &str, zone: &str, platform: SocketAddr) -> Entry {
        let mut config = self.config(id, free_addr(), free_addr(), 2);
        (config.zone, config.platform) = (zone.parse().expect("id"), platform);
        let entry = run(config);
        self.listing.push(ListedInstance {
            role: Role::Entry,
            id: id.to_owned(),
            addr: entry.addr,
            peer: Some(entry.peer),
            zone: zone.parse().expect("id"),
            rack: None,
            state: InstanceState::Live,
        });
        self.list();
        entry
    }

    /// Publishes the list of instances.
    pub fn list(&self) {
        self.control(self.platform.addr, "/control/listing", &self.listing);
    }

    /// Starts an instance of two shards at addresses.
    pub fn start(&self, id: &str, addr: SocketAddr, peer: SocketAddr) -> Entry {
        self.start_shards(id, addr, peer, 2)
    }

    /// Settings of an instance's process.
    pub fn config(
        &self,
        id: &str,
        addr: SocketAddr,
        peer: SocketAddr,
        shards: u32,
    ) -> ProcessConfig {
        let text = format!(
            "[instance]\nid = {id}\nzone = z1\nlisten = {addr}\npeer = {peer}\n\
             shards = {shards}\n\
             [platform]\naddress = {}\n",
            self.platform.addr
        );
        ProcessConfig::parse(&text).expect("settings")
    }

    /// Starts an instance at addresses.
    pub fn start_shards(&self, id: &str, addr: SocketAddr, peer: SocketAddr, shards: u32) -> Entry {
        run(self.config(id, addr, peer, shards))
    }

    pub fn send(&self, addr: SocketAddr, request: Request<Bytes>) -> Response<Bytes> {
        let sent = self.client.send_within(addr, request, PATIENCE);
        self.runtime.block_on(sent).expect("response")
    }

    /// Waits until a path answers with success.
    pub fn wait_ready(&self, entry: &Entry) {
        wait_until("the instance is ready", || {
            let request = Request::get("/readyz").body(Bytes::new()).expect("request");
            let sent = self.client.send_within(entry.addr, request, PATIENCE);
            self.runtime.block_on(sent).is_ok_and(|response| response.status().is_success())
        });
    }

    /// Submits a job under a key and gives status and body of the answer.
    pub fn submit(&self, entry: &Entry, key: &str, tasks: usize, run_ms: u64) -> (u16, Value) {
        let response = self.send(entry.addr, submission(key, tasks, run_ms));
        (response.status().as_u16(), body_of(&response))
    }

    /// Keys handed out by an instance.
    pub fn keys(&self, entry: &Entry, count: u64) -> Vec<String> {
        let body = json!({ "count": count });
        let response = self.send(entry.addr, post("/v1/keys", "script-token", &body));
        serde_json::from_value(body_of(&response)["keys"].clone()).expect("keys")
    }

    /// The stored row of a table.
    pub fn row(&self, table: &str, key: &str) -> Option<cranberryhatch_store::Row> {
        let read = self
            .runtime
            .block_on(async { self.platform().read(&[(table.to_owned(), key.to_owned())]).await });
        read.expect("row").pop().flatten()
    }
}

/// Runs an instance on a thread of its own.
fn run(config: ProcessConfig) -> Entry {
    let (addr, peer, id) = (config.listen, config.peer, config.id.to_string());
    let stop = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&stop);
    let run = move || Instance::run(&config, &flag).expect("an instance that ends well");
    let thread = Some(std::thread::spawn(run));
    Entry { addr, peer, id, stop, thread }
}

pub fn post(path: &str, token: &str, body: &Value) -> Request<Bytes> {
    Request::post(path)
        .header("authorization", format!("Bearer {token}"))
        .body(Bytes::from(body.to_string()))
        .expect("request")
}

pub fn submission(key: &str, tasks: usize, run_ms: u64) -> Request<Bytes> {
    let task = |index: usize| {
        let payload = json!({ "run_ms": run_ms, "echo": format!("result {index}") }).to_string();
        json!({ "payload": payload, "run_ms": run_ms })
    };
    let tasks: Vec<_> = (0..tasks).map(task).collect();
    let body = json!({ "kind": "timing-pass", "deadline_ms": 60_000, "tasks": tasks });
    let mut request = post("/v1/jobs?wait_ms=60000", "script-token", &body);
    request.headers_mut().insert("idempotency-key", key.parse().expect("header"));
    request
}

pub fn body_of(response: &Response<Bytes>) -> Value {
    serde_json::from_slice(response.body()).unwrap_or(Value::Null)
}

pub fn own_key(text: &str) -> String {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    format!("{}-{text}", since.expect("time").as_millis())
}

pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let limit = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < limit, "waited in vain until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Serves requests on a free port.
pub fn serve<F, R>(runtime: &Runtime, handler: F) -> Served
where
    F: Fn(Request<Bytes>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Bytes>> + Send + 'static,
{
    let bound = smol::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let listener = runtime.block_on(bound).expect("listener");
    let addr = listener.local_addr().expect("address");
    let (stop, stopped) = async_channel::bounded(1);
    let server = Server::new(handler).serve(runtime.executor(), listener, stopped);
    Served { addr, stop: Some(stop), task: Some(runtime.spawn(server)) }
}
