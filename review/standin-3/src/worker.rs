//! Workers: run tasks on orders, with leases, epoch numbers and lists of ends.

use std::{
    collections::HashMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{history::History, http, json::Json, random::Random, store::Store};

/// Longest lease.
const HOLD_MAX_MS: u64 = 1_000;
/// Time that a stop takes.
const STOP_MS: u64 = 50;
/// Shortest time after which an order without an answer is carried out, and how much longer it may
/// take.
const LATE_MS: u64 = 2_000;
const LATE_SPREAD_MS: u64 = 200;
/// Interval between status reports.
const HEARTBEAT_MS: u64 = 1_500;

/// What a worker is, as its entry says.
#[derive(Clone, Debug)]
pub struct Kind {
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    pub memory: u64,
    pub labels: Vec<String>,
}

struct Run {
    run: u64,
    // When it ends by itself, and how long it takes.
    until: Instant,
    length: Duration,
    stop_at: Option<Instant>,
}

struct State {
    token: u64,
    runs: HashMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    count: u64,
    // Highest run of each task that was stopped or has ended here.
    past: HashMap<String, u64>,
    lease_until: u64,
    // Share of the orders that get no answer and are carried out late, in thousandths.
    late: u64,
    random: Random,
}

pub struct Worker {
    pub id: String,
    pub kind: Kind,
    pub addr: SocketAddr,
    state: Mutex<State>,
    ended: Condvar,
    started: Instant,
    history: Arc<History>,
}

impl Worker {
    pub fn start(
        id: String,
        kind: Kind,
        listener: TcpListener,
        history: Arc<History>,
    ) -> Arc<Self> {
        let addr = listener.local_addr().expect("an address");
        let state = State {
            token: 0,
            runs: HashMap::new(),
            ended: Vec::new(),
            count: 0,
            past: HashMap::new(),
            lease_until: 0,
            late: 0,
            random: Random::new(u64::from(addr.port())),
        };
        let worker = Arc::new(Self {
            id,
            kind,
            addr,
            state: Mutex::new(state),
            ended: Condvar::new(),
            started: Instant::now(),
            history,
        });
        let serving = Arc::clone(&worker);
        http::serve(listener, move |request| Worker::receive(&serving, request));
        let running = Arc::clone(&worker);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(1));
            running.advance();
        });
        worker
    }

    /// Writes its entry from time to time.
    pub fn report_to(self: &Arc<Self>, store: &Arc<Store>) {
        let (worker, store) = (Arc::clone(self), Arc::clone(store));
        worker.write_entry(&store, 0);
        thread::spawn(move || {
            for seq in 1.. {
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
                worker.write_entry(&store, seq);
            }
        });
    }

    fn write_entry(&self, store: &Store, seq: u64) {
        let Kind { service, zone, cpu, memory, labels } = &self.kind;
        let labels: Vec<String> = labels.iter().map(|label| format!("\"{label}\"")).collect();
        let entry = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":8,\"State\":\"ready\",\"Seq\":{seq},\"Capacity\":{{\"Cpu\":{cpu},\
             \"MemMb\":{memory},\"Gpu\":0}},\"Labels\":[{}]}}",
            self.addr,
            labels.join(",")
        );
        store.put("servers", &self.id, Some(&entry));
    }

    fn clock(&self) -> u64 {
        5_000 + self.started.elapsed().as_millis() as u64
    }

    /// Sets the share of the orders that get no answer and are carried out late, in thousandths. The
    /// time of their leases counts from their arrival.
    pub fn set_late(&self, permille: u64) {
        self.state.lock().expect("state").late = permille;
    }

    fn receive(worker: &Arc<Self>, request: &http::Request) -> Option<(u16, String)> {
        let mut state = worker.state.lock().expect("state");
        let late = state.late;
        let delay = (state.random.below(1_000) < late)
            .then(|| LATE_MS + state.random.below(LATE_SPREAD_MS));
        drop(state);
        let Some(delay) = delay else { return Some(worker.answer(request, 0)) };
        let (worker, request) = (Arc::clone(worker), request.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(delay));
            let (status, _) = worker.answer(&request, delay);
            worker.history.note(&format!("late {} at {}: {status}", request.path, worker.id));
        });
        // Longer than anyone waits for an answer.
        thread::sleep(Duration::from_secs(4));
        None
    }

    /// Carries out an order that arrives `delay` milliseconds late.
    fn answer(&self, request: &http::Request, delay: u64) -> (u16, String) {
        let (path, body) = (request.path.as_str(), request.body.as_str());
        if path == "/healthz" {
            return (200, "{}".to_owned());
        }
        let clock = self.clock();
        if request.header("target-instance").is_some_and(|target| target != self.id) {
            return (421, format!("{{\"ClockMs\":{clock}}}"));
        }
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let mut state = self.state.lock().expect("state");
        let refusal =
            |reason: &str| (409, format!("{{\"ClockMs\":{clock},\"Reason\":\"{reason}\"}}"));
        let token = body.number("FencingToken").unwrap_or(0);
        if token < state.token {
            return refusal("fence");
        }
        state.token = token;
        let done = (200, format!("{{\"ClockMs\":{clock}}}"));
        let task = body.text("Task").unwrap_or_default().to_owned();
        let run = body.number("Run").unwrap_or(0);
        let deadline = body.number("DeadlineMs").map(|deadline| deadline + delay);
        match path {
            "/-/run-start" => {
                let deadline = deadline.unwrap_or(0);
                if deadline <= clock {
                    return refusal("late");
                }
                state.lease_until = state.lease_until.max(deadline.min(clock + HOLD_MAX_MS));
                if state.runs.get(&task).is_some_and(|known| known.run == run) {
                    return done;
                }
                if state.past.get(&task).is_some_and(|past| run <= *past)
                    || state.runs.contains_key(&task)
                {
                    return refusal("old");
                }
                let spec = body.text("Spec").unwrap_or_default();
                let running: Vec<String> = state.runs.keys().cloned().collect();
                if !self.history.fits(&task, &running, &self.kind) {
                    return refusal("room");
                }
                let length = self.history.length_of(&task);
                self.history.begin(&self.id, &self.kind, &task, run, spec, &running);
                let until = Instant::now() + length;
                state.runs.insert(task, Run { run, until, length, stop_at: None });
                done
            }
            "/-/run-stop" => {
                let past = state.past.entry(task.clone()).or_insert(0);
                *past = run.max(*past);
                if let Some(known) = state.runs.get_mut(&task).filter(|known| known.run == run) {
                    let stop_at = Instant::now() + Duration::from_millis(STOP_MS);
                    if known.stop_at.is_none() {
                        known.stop_at = Some(stop_at);
                        self.history.note(&format!("stop {task} run {run} on {}", self.id));
                    }
                }
                done
            }
            "/-/hold" => {
                let acked = body.number("AckedThrough").unwrap_or(0);
                state.ended.retain(|end| end.0 > acked);
                if let Some(deadline) = deadline {
                    state.lease_until = state.lease_until.max(deadline.min(clock + HOLD_MAX_MS));
                }
                let wait = if delay == 0 { body.number("WaitMs").unwrap_or(0) } else { 0 };
                let until = Instant::now() + Duration::from_millis(wait);
                while state.ended.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = self.ended.wait_timeout(state, left).expect("state").0;
                }
                let running: Vec<String> = state.runs.iter().map(running_row).collect();
                let ended: Vec<String> = state.ended.iter().take(500).map(ended_row).collect();
                let clock = self.clock();
                let answer = format!(
                    "{{\"ClockMs\":{clock},\"Running\":[{}],\"Ended\":[{}]}}",
                    running.join(","),
                    ended.join(",")
                );
                (200, answer)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    /// Ends the runs that are over.
    fn advance(&self) {
        let mut state = self.state.lock().expect("state");
        let (now, clock) = (Instant::now(), self.clock());
        let lapsed = clock >= state.lease_until;
        let mut over = Vec::new();
        for (task, run) in &state.runs {
            if now >= run.until {
                over.push((task.clone(), run.run, "done"));
            } else if run.stop_at.is_some_and(|at| now >= at) {
                over.push((task.clone(), run.run, "stopped"));
            } else if lapsed {
                over.push((task.clone(), run.run, "lapsed"));
            }
        }
        let any = !over.is_empty();
        for (task, run, how) in over {
            state.runs.remove(&task);
            let past = state.past.entry(task.clone()).or_insert(0);
            *past = run.max(*past);
            state.count += 1;
            let number = state.count;
            self.history.end(&self.id, &task, run, how);
            state.ended.push((number, task, run, how));
        }
        if any {
            self.ended.notify_all();
        }
    }
}

fn running_row((task, run): (&String, &Run)) -> String {
    let left = run.until.saturating_duration_since(Instant::now()).as_millis();
    let length = run.length.as_millis().max(1);
    let percent = 100 - (left * 100 / length).min(100);
    format!("[\"{task}\",{},\"\",{percent}]", run.run)
}

fn ended_row((number, task, run, how): &(u64, String, u64, &'static str)) -> String {
    format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
}
