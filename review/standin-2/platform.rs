//! The platform's store and workers, as its pages describe them.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    json::{Json, map, num, text},
    net::{Request, serve},
    record::Record,
};

struct Row {
    table: String,
    key: String,
    /// Base64; `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    rows: Vec<Row>,
    version: u64,
}

#[derive(Default)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
}

impl Store {
    pub fn start(self: &Arc<Self>, addr: SocketAddr) {
        let store = Arc::clone(self);
        serve(addr, move |request| Some(store.answer(&request)));
    }

    pub fn put(&self, table: &str, key: &str, value: &Json) {
        self.put_encoded(table, key, base64(value.write().as_bytes()));
    }

    fn put_encoded(&self, table: &str, key: &str, value: String) {
        let mut rows = self.rows.lock().expect("rows");
        rows.version += 1;
        let version = rows.version;
        rows.rows.retain(|row| (row.table.as_str(), row.key.as_str()) != (table, key));
        let (table, key) = (table.to_owned(), key.to_owned());
        rows.rows.push(Row { table, key, value: Some(value), version });
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match request.route() {
            "/-/rows-tx" => {
                thread::sleep(Duration::from_millis(5));
                let body = Json::parse(&request.body);
                for row in body.get("SetKeys").list() {
                    let value = row.get("Value").str().to_owned();
                    self.put_encoded(row.get("Table").str(), row.get("Key").str(), value);
                }
                let version = self.rows.lock().expect("rows").version;
                (200, map(vec![("Ver", num(version)), ("NowMs", num(1))]).write())
            }
            "/-/rows-get" => {
                let (table, from) = (request.query("Table"), request.query("From"));
                let rows = self.rows.lock().expect("rows");
                let mut found: Vec<&Row> = rows
                    .rows
                    .iter()
                    .filter(|row| row.table == table && row.value.is_some() && row.key >= from)
                    .collect();
                found.sort_by(|a, b| a.key.cmp(&b.key));
                (200, page(&found, rows.version))
            }
            "/-/rows-feed" => {
                let (table, after) = (request.query("Table"), request.query("After"));
                let after: u64 = after.parse().unwrap_or(0);
                let wait = Duration::from_millis(request.query("WaitMs").parse().unwrap_or(0));
                let deadline = Instant::now() + wait;
                let mut rows = self.rows.lock().expect("rows");
                loop {
                    let mut found: Vec<&Row> = rows
                        .rows
                        .iter()
                        .filter(|row| row.table == table && row.version > after)
                        .collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        found.sort_by_key(|row| row.version);
                        return (200, page(&found, rows.version));
                    }
                    rows = self.changed.wait_timeout(rows, left).expect("rows").0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn page(rows: &[&Row], version: u64) -> String {
    let row = |row: &&Row| {
        let mut fields = vec![
            ("Table", text(&row.table)),
            ("part", text("")),
            ("Key", text(&row.key)),
            ("Ver", num(row.version)),
        ];
        match &row.value {
            Some(value) => fields.push(("Value", text(value))),
            None => fields.push(("Removed", Json::Bool(true))),
        }
        map(fields)
    };
    let rows = rows.iter().map(row).collect();
    map(vec![
        ("rows", Json::List(rows)),
        ("Truncated", Json::Bool(false)),
        ("Ver", num(version)),
        ("NowMs", num(1)),
    ])
    .write()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            out.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}

const MAX_LEASE_MS: u64 = 1_000;
const STOP_DELAY_MS: u64 = 30;
/// Time after which an order without answer is carried out; the platform has 2 to 12 s.
const LATE_MS: u64 = 2_000;
const CORES: u64 = 32_000;

struct Run {
    task: String,
    run: u64,
    spec: String,
    started: u64,
    due: u64,
    stopped_at: Option<u64>,
}

#[derive(Default)]
struct WorkerState {
    token: u64,
    lease: u64,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    // Highest run of each task that was stopped or ended here.
    finished: Vec<(String, u64)>,
    count: u64,
}

/// A worker. `Spec` is the run time of the tasks in milliseconds, and anything after a space.
pub struct Worker {
    pub id: String,
    born: Instant,
    state: Mutex<WorkerState>,
    changed: Condvar,
    record: Arc<Record>,
    /// Share of the orders, in percent, that get no answer and are carried out late. The time of
    /// their leases counts from their arrival.
    late: AtomicU64,
    draws: AtomicU64,
}

impl Worker {
    /// Starts a worker and registers it in the store, again every 1.5 s.
    pub fn start(
        id: &str,
        zone: &str,
        rack: &str,
        addr: SocketAddr,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            id: id.to_owned(),
            born: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record: Arc::clone(record),
            late: AtomicU64::new(0),
            draws: AtomicU64::new(u64::from(addr.port()) + id.bytes().map(u64::from).sum::<u64>()),
        });
        let serving = Arc::clone(&worker);
        serve(addr, move |request| {
            if !serving.draws_late() {
                return Some(serving.answer(&request, 0));
            }
            let late = Arc::clone(&serving);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(LATE_MS));
                late.answer(&request, LATE_MS);
            });
            None
        });
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                let mut state = ticking.state.lock().expect("state");
                ticking.end_due(&mut state);
            }
        });
        let (store, zone, rack, id) =
            (Arc::clone(store), zone.to_owned(), rack.to_owned(), id.to_owned());
        thread::spawn(move || {
            for seq in 1.. {
                let capacity =
                    map(vec![("Cpu", num(CORES)), ("MemMb", num(65_536)), ("Gpu", num(0))]);
                let entry = map(vec![
                    ("Service", text("script-service")),
                    ("Address", text(&addr.to_string())),
                    ("Zone", text(&zone)),
                    ("Version", text("v1")),
                    ("Slots", num(8)),
                    ("State", text("ready")),
                    ("Capacity", capacity),
                    ("Labels", Json::List(vec![text("a"), text(&rack)])),
                    ("Seq", num(seq)),
                ]);
                store.put("servers", &id, &entry);
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        worker
    }

    /// Sets the share of the orders that are carried out late, in percent.
    pub fn set_late(&self, percent: u64) {
        self.late.store(percent, Ordering::Relaxed);
    }

    fn draws_late(&self) -> bool {
        let percent = self.late.load(Ordering::Relaxed);
        if percent == 0 {
            return false;
        }
        // SplitMix64.
        let mut draw = self.draws.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        draw = (draw ^ (draw >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        draw = (draw ^ (draw >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (draw ^ (draw >> 31)) % 100 < percent
    }

    fn clock(&self) -> u64 {
        5_000 + u64::try_from(self.born.elapsed().as_millis()).expect("a short run")
    }

    /// Carries out an order that was on its way for `late` milliseconds longer than usual.
    fn answer(&self, request: &Request, late: u64) -> (u16, String) {
        if request.header("target-instance") != self.id {
            return (421, "{}".to_owned());
        }
        let body = Json::parse(&request.body);
        let deadline = Instant::now() + Duration::from_millis(body.get("WaitMs").u64().min(2_000));
        let mut state = self.state.lock().expect("state");
        self.end_due(&mut state);
        let clock = self.clock();
        let (token, task) = (body.get("FencingToken").u64(), body.get("Task").str());
        let refuse = |reason: &str| {
            (409, map(vec![("ClockMs", num(clock)), ("Reason", text(reason))]).write())
        };
        if token < state.token {
            return refuse("fence");
        }
        state.token = token;
        let (run, lease) = (body.get("Run").u64(), body.get("DeadlineMs").u64());
        let lease = if lease > 0 { (lease + late).min(clock + MAX_LEASE_MS) } else { 0 };
        let accepted = (200, map(vec![("ClockMs", num(clock))]).write());
        match request.route() {
            "/-/run-start" => {
                if state.runs.iter().any(|known| known.task == task && known.run == run) {
                    state.lease = state.lease.max(lease);
                    return accepted;
                }
                if state.finished.iter().any(|(known, last)| known == task && run <= *last) {
                    state.lease = state.lease.max(lease);
                    return refuse("old");
                }
                if lease <= clock {
                    return refuse("late");
                }
                state.lease = state.lease.max(lease);
                if state.runs.len() >= 2 {
                    return refuse("room");
                }
                let spec = body.get("Spec").str().to_owned();
                let time: u64 = spec.split(' ').next().and_then(|ms| ms.parse().ok()).unwrap_or(60);
                let how = if late > 0 { ", carried out late" } else { "" };
                self.record
                    .add("start", &format!("{task} run {run} on {} for {time} ms{how}", self.id));
                self.record.started(task, &self.id);
                state.runs.push(Run {
                    task: task.to_owned(),
                    run,
                    spec,
                    started: clock,
                    due: clock + time,
                    stopped_at: None,
                });
                accepted
            }
            "/-/run-stop" => {
                self.record.add("stop", &format!("{task} run {run} on {}", self.id));
                finish(&mut state.finished, task, run);
                for known in state.runs.iter_mut().filter(|k| k.task == task && k.run == run) {
                    known.stopped_at.get_or_insert(clock + STOP_DELAY_MS);
                }
                accepted
            }
            "/-/hold" => {
                state.lease = state.lease.max(lease);
                let acked = body.get("AckedThrough").u64();
                state.ended.retain(|end| end.0 > acked);
                while state.ended.is_empty() {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).expect("state").0;
                    if token < state.token {
                        let fields =
                            vec![("ClockMs", num(self.clock())), ("Reason", text("fence"))];
                        return (409, map(fields).write());
                    }
                }
                let clock = self.clock();
                let running = state.runs.iter().map(|run| {
                    let share = (clock - run.started) * 100 / (run.due - run.started).max(1);
                    Json::List(vec![
                        text(&run.task),
                        num(run.run),
                        text(""),
                        num(share.min(99)),
                        num(14_000),
                    ])
                });
                let ended = state.ended.iter().map(|(number, task, run, how)| {
                    Json::List(vec![num(*number), text(task), num(*run), text(how), text("")])
                });
                let fields = vec![
                    ("ClockMs", num(clock)),
                    ("Running", Json::List(running.collect())),
                    ("Ended", Json::List(ended.collect())),
                ];
                (200, map(fields).write())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn end_due(&self, state: &mut WorkerState) {
        let (clock, lease) = (self.clock(), state.lease);
        let is_over = |run: &mut Run| {
            run.due <= clock || run.stopped_at.is_some_and(|at| at <= clock) || lease <= clock
        };
        let over: Vec<Run> = state.runs.extract_if(.., is_over).collect();
        for run in over {
            let stopped = run.stopped_at.unwrap_or(u64::MAX);
            let how = if run.due <= stopped.min(lease) {
                "done"
            } else if stopped <= lease {
                "stopped"
            } else {
                "lapsed"
            };
            let Run { task, run, spec, .. } = run;
            self.record.add("end", &format!("{task} run {run} on {} {how} ({spec})", self.id));
            self.record.ended(&task, &self.id);
            finish(&mut state.finished, &task, run);
            state.count += 1;
            state.ended.push((state.count, task, run, how));
            self.changed.notify_all();
        }
    }
}

fn finish(finished: &mut Vec<(String, u64)>, task: &str, run: u64) {
    match finished.iter_mut().find(|(known, _)| known == task) {
        Some((_, last)) => *last = run.max(*last),
        None => finished.push((task.to_owned(), run)),
    }
}
