//! Stand-in for the platform over HTTP.

use std::{
    net::{AddrParseError, SocketAddr},
    path::PathBuf,
    str::FromStr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use clap::Parser;
use cranberryhatch_http::{Problem, Runtime, Server, reply_json};
use cranberryhatch_store::{ListedInstance, Row, RowName, Scan, Txn, TxnResult};
use http::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use smol::{Timer, net::TcpListener};

use crate::{Happening, PlatformFault, Record, Table, record::unix_ms, stop_signal};

/// Stand-in for the platform: table, objects and the list of instances.
#[derive(Clone, Debug, Parser)]
pub struct PlatformArgs {
    /// Address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// File of the append-only record.
    #[arg(long)]
    pub record: Option<PathBuf>,
    /// Time that a write takes, in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub write_ms: u64,
    /// Writes per second above which answers become slow.
    #[arg(long, default_value_t = 400)]
    pub writes: u32,
    /// Reads per second above which answers become slow.
    #[arg(long, default_value_t = 2_000)]
    pub reads: u32,
    /// Time after which a change of the list becomes visible, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub list_lag_ms: u64,
    /// A further address, written `view=address`, where the list is the one set for that view: it
    /// may name other addresses, such as those of links.
    #[arg(long)]
    pub view: Vec<View>,
    /// Seed of the choice of writes that a fault hits.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// A further address with a list of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Name of the view.
    pub name: String,
    /// Address to listen on.
    pub listen: SocketAddr,
}

impl FromStr for View {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, AddrParseError> {
        let (name, listen) = text.split_once('=').unwrap_or_default();
        Ok(Self { name: name.to_owned(), listen: listen.parse()? })
    }
}

/// Stand-in for the platform.
pub struct PlatformStandin {
    state: Mutex<State>,
    record: Record,
    write: Duration,
    list_lag: u64,
}

/// Lists with the Unix time in milliseconds at which each becomes visible, oldest first.
type Lists = Vec<(u64, Vec<ListedInstance>)>;

struct State {
    table: Table,
    objects: Vec<(String, Bytes)>,
    /// Lists of each view.
    lists: Vec<(String, Lists)>,
    switch: Switch,
    until: u64,
    rng: fastrand::Rng,
    writes: Pacer,
    reads: Pacer,
}

#[derive(Deserialize)]
struct Read {
    rows: Vec<RowName>,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default)]
struct Switch {
    fault: PlatformFault,
    /// Delay of answers while slow.
    ms: u64,
    /// Share of the writes that a fault hits, in percent.
    share: Option<u8>,
    /// Time after which the fault ends by itself.
    lasts_ms: Option<u64>,
}

impl PlatformStandin {
    /// Serves until a signal to stop.
    ///
    /// # Errors
    /// When the address or the record cannot be opened.
    pub fn run(args: &PlatformArgs) -> anyhow::Result<()> {
        let runtime = Runtime::new(2);
        let stopped = stop_signal(&runtime)?;
        let standin = Arc::new(Self::new(args)?);
        let main = View { name: String::new(), listen: args.listen };
        let mut serving = Vec::new();
        for View { name, listen } in args.view.iter().cloned().chain([main]) {
            let listener = runtime.block_on(TcpListener::bind(listen))?;
            let standin = Arc::clone(&standin);
            let server = Server::new(move |request| {
                let (standin, view) = (Arc::clone(&standin), name.clone());
                async move { standin.answer(&view, request).await }
            });
            let stopped = stopped.clone();
            serving.push(runtime.spawn(server.serve(runtime.executor(), listener, stopped)));
        }
        for server in serving {
            runtime.block_on(server);
        }
        Ok(())
    }

    /// Makes a stand-in that does not serve yet.
    ///
    /// # Errors
    /// When the record cannot be opened.
    pub fn new(args: &PlatformArgs) -> anyhow::Result<Self> {
        let record = Record::open("platform", args.record.as_deref())?;
        record.append(Happening::Opened, "platform", "");
        let state = State {
            table: Table::default(),
            objects: Vec::new(),
            lists: Vec::new(),
            switch: Switch::default(),
            until: u64::MAX,
            rng: fastrand::Rng::with_seed(args.seed),
            writes: Pacer::new(args.writes),
            reads: Pacer::new(args.reads),
        };
        let write = Duration::from_millis(args.write_ms);
        Ok(Self { state: Mutex::new(state), record, write, list_lag: args.list_lag_ms })
    }

    /// Answers one request that came in at the address of a view.
    pub async fn answer(&self, view: &str, request: Request<Bytes>) -> Response<Bytes> {
        let path = request.uri().path().to_owned();
        if let Some(rest) = path.strip_prefix("/control/") {
            return self.control(rest, request.body());
        }
        let write = path == "/v1/txn" || request.method() == Method::PUT;
        let (switch, hit) = self.with(|state| state.fault_now());
        match switch.fault {
            PlatformFault::Down => return never().await,
            PlatformFault::Slow => {
                Timer::after(Duration::from_millis(switch.ms)).await;
            }
            PlatformFault::Refuse if write && hit => {
                return Problem::new(StatusCode::SERVICE_UNAVAILABLE, "refused", "").response();
            }
            PlatformFault::Up | PlatformFault::LoseAnswers | PlatformFault::Refuse => {}
        }
        let wait = self.with(|state| {
            let pacer = if write { &mut state.writes } else { &mut state.reads };
            pacer.wait(Instant::now())
        });
        if !wait.is_zero() {
            Timer::after(wait).await;
        }
        if write {
            Timer::after(self.write).await;
        }
        let response = self.route(view, &path, &request);
        if write && hit && switch.fault == PlatformFault::LoseAnswers {
            self.record.append(Happening::AnswerLost, path, "");
            return never().await;
        }
        response
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn route(&self, view: &str, path: &str, request: &Request<Bytes>) -> Response<Bytes> {
        let body = request.body();
        match (request.method(), path) {
            (&Method::POST, "/v1/txn") => parsed(body, |txn: Txn| self.txn(&txn)),
            (&Method::POST, "/v1/read") => parsed(body, |read: Read| {
                let rows: Vec<Option<Row>> = self
                    .with(|s| read.rows.iter().map(|name| s.table.read(name).cloned()).collect());
                reply_json(StatusCode::OK, &rows)
            }),
            (&Method::POST, "/v1/scan") => parsed(body, |scan: Scan| {
                reply_json(StatusCode::OK, &self.with(|s| s.table.scan(&scan)))
            }),
            (&Method::GET, "/v1/instances") => {
                reply_json(StatusCode::OK, &self.with(|s| s.visible_list(view, unix_ms())))
            }
            (method, path) => match path.strip_prefix("/v1/objects/") {
                Some(name) if method == Method::PUT => self.put_object(name, body.clone()),
                Some(name) if method == Method::GET => self.object(name),
                _ => Problem::new(StatusCode::NOT_FOUND, "no-such-path", path).response(),
            },
        }
    }

    fn txn(&self, txn: &Txn) -> Response<Bytes> {
        match self.with(|state| state.table.apply(txn)) {
            TxnResult::Written(version) => {
                let rows: Vec<_> = txn
                    .ops
                    .iter()
                    .map(|op| {
                        let sign = if op.put.is_some() { "" } else { "-" };
                        format!("{sign}{}/{}", op.table, op.key)
                    })
                    .collect();
                let detail = json!({ "version": version, "rows": rows });
                self.record.append(Happening::Written, &txn.id, detail.to_string());
                reply_json(StatusCode::OK, &json!({ "version": version }))
            }
            TxnResult::Conflicts(conflicts) => {
                reply_json(StatusCode::CONFLICT, &json!({ "conflicts": conflicts }))
            }
        }
    }

    fn put_object(&self, name: &str, body: Bytes) -> Response<Bytes> {
        self.with(|state| match state.objects.binary_search_by(|(n, _)| n.as_str().cmp(name)) {
            Ok(place) => state.objects[place].1 = body,
            Err(place) => state.objects.insert(place, (name.to_owned(), body)),
        });
        reply_json(StatusCode::OK, &json!({}))
    }

    fn object(&self, name: &str) -> Response<Bytes> {
        let found = self.with(|state| {
            let place = state.objects.binary_search_by(|(n, _)| n.as_str().cmp(name)).ok()?;
            Some(state.objects[place].1.clone())
        });
        found.map_or_else(
            || Problem::new(StatusCode::NOT_FOUND, "no-such-object", name).response(),
            Response::new,
        )
    }

    fn set_list(&self, view: &str, list: Vec<ListedInstance>) -> Response<Bytes> {
        let visible = unix_ms() + self.list_lag;
        for row in self.with(|state| state.set_list(view, visible, list)) {
            // The line's own time is earlier than the change is visible.
            self.record.append(Happening::Listed, row.id, format!("{} {visible}", row.state));
        }
        reply_json(StatusCode::OK, &json!({}))
    }

    fn control(&self, what: &str, body: &Bytes) -> Response<Bytes> {
        if let Some(view) = what.strip_prefix("listing") {
            let view = view.trim_start_matches('/');
            return parsed(body, |list| self.set_list(view, list));
        }
        match what {
            "switch" => parsed(body, |switch: Switch| {
                self.record.append(Happening::Switched, "platform", switch.fault.to_string());
                self.with(|state| {
                    state.until = switch.lasts_ms.map_or(u64::MAX, |ms| unix_ms() + ms);
                    state.switch = switch;
                });
                reply_json(StatusCode::OK, &json!({}))
            }),
            _ => Problem::new(StatusCode::NOT_FOUND, "no-such-path", what).response(),
        }
    }
}

impl State {
    /// The fault in force and whether it hits this request.
    fn fault_now(&mut self) -> (Switch, bool) {
        if self.until <= unix_ms() {
            self.switch = Switch::default();
            self.until = u64::MAX;
        }
        let share = self.switch.share.unwrap_or(100);
        (self.switch, self.rng.u8(0..100) < share)
    }

    /// Sets the list of a view and returns the rows whose state differs from the one before.
    fn set_list(
        &mut self,
        view: &str,
        visible: u64,
        list: Vec<ListedInstance>,
    ) -> Vec<ListedInstance> {
        let place = match self.lists.iter().position(|(name, _)| name == view) {
            Some(place) => place,
            None => {
                self.lists.push((view.to_owned(), Vec::new()));
                self.lists.len() - 1
            }
        };
        let lists = &mut self.lists[place].1;
        let before = lists.last().map(|(_, list)| list.as_slice()).unwrap_or_default();
        let same = |row: &ListedInstance| {
            before.iter().any(|old| old.id == row.id && old.state == row.state)
        };
        let changed = list.iter().filter(|row| !same(row)).cloned().collect();
        lists.push((visible, list));
        changed
    }

    /// The newest list that is visible in a view; the first list is visible at once.
    fn visible_list(&mut self, view: &str, now: u64) -> Vec<ListedInstance> {
        let Some((_, lists)) = self.lists.iter_mut().find(|(name, _)| name == view) else {
            return Vec::new();
        };
        while lists.get(1).is_some_and(|(visible, _)| *visible <= now) {
            lists.remove(0);
        }
        lists.first().map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// Spreads exchanges over time at a rate.
struct Pacer {
    gap: Duration,
    next: Option<Instant>,
}

impl Pacer {
    fn new(rate: u32) -> Self {
        Self { gap: Duration::from_secs(1) / rate.max(1), next: None }
    }

    /// Time that an exchange at `now` has to wait.
    fn wait(&mut self, now: Instant) -> Duration {
        // A tenth of a second of unused rate may be used at once.
        let floor = now.checked_sub(Duration::from_millis(100)).unwrap_or(now);
        let at = self.next.map_or(floor, |next| next.max(floor));
        self.next = Some(at + self.gap);
        at.saturating_duration_since(now)
    }
}

/// Never answers; the client's timeout ends the exchange.
pub(crate) async fn never() -> Response<Bytes> {
    std::future::pending().await
}

/// Parses a JSON body and hands it on.
pub(crate) fn parsed<T: for<'a> Deserialize<'a>>(
    body: &Bytes,
    then: impl FnOnce(T) -> Response<Bytes>,
) -> Response<Bytes> {
    match serde_json::from_slice(body) {
        Ok(value) => then(value),
        Err(error) => {
            Problem::new(StatusCode::BAD_REQUEST, "bad-json", error.to_string()).response()
        }
    }
}
