//! Stand-in for the endpoint on a worker.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_channel::Receiver;
use bytes::Bytes;
use clap::Parser;
use cranberryhatch_http::{Problem, Runtime, Server, reply_json};
use cranberryhatch_types::{Holder, RackId, TaskName, WorkerId, ZoneId};
use http::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use smol::{Executor, Timer, future::FutureExt, net::TcpListener};

use crate::{
    Admission, EndpointFault, Fate, Happening, Link, LinkMode, Record, TaskTable, platform::parsed,
    record::unix_ms, stop_signal,
};

/// Time between two looks at leases and at the end of a fault.
const SWEEP: Duration = Duration::from_millis(50);
/// Time between two looks for tasks to forget, in milliseconds.
const PRUNE_MS: u64 = 10_000;
/// Lease of tasks whose holder states none, in milliseconds.
const DEFAULT_LEASE_MS: u64 = 10_000;
/// Factor by which a straggler is slower.
const STRAGGLE: u64 = 10;

/// Stand-in for the endpoint on a worker: slots, leases, faults.
#[derive(Clone, Debug, Parser)]
pub struct EndpointArgs {
    /// Address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// Id of the worker.
    #[arg(long)]
    pub worker: WorkerId,
    /// Availability zone.
    #[arg(long)]
    pub zone: ZoneId,
    /// Rack.
    #[arg(long)]
    pub rack: RackId,
    /// Slots.
    #[arg(long, default_value_t = 8)]
    pub slots: u32,
    /// Cores.
    #[arg(long, default_value_t = 32)]
    pub cores: u32,
    /// Memory in MB.
    #[arg(long, default_value_t = 65_536)]
    pub memory_mb: u64,
    /// Accelerators.
    #[arg(long, default_value_t = 0)]
    pub accels: u32,
    /// Age of the usage that a heartbeat reports, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub report_lag_ms: u64,
    /// Listens through a link, so that open connections can be frozen.
    #[arg(long)]
    pub freezable: bool,
    /// File of the append-only record.
    #[arg(long)]
    pub record: Option<PathBuf>,
}

/// Stand-in for the endpoint on a worker.
pub struct EndpointStandin {
    args: EndpointArgs,
    executor: Arc<Executor<'static>>,
    state: Mutex<State>,
    link: Option<Link>,
    record: Record,
    /// Since when it remembers attempts.
    born: Instant,
}

struct State {
    fault: EndpointFault,
    /// When the fault ends by itself, in Unix milliseconds.
    until: u64,
    tasks: TaskTable,
}

#[derive(Deserialize)]
struct Names {
    tasks: Vec<String>,
}

#[derive(Deserialize)]
struct Switch {
    fault: EndpointFault,
    lasts_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Beat {
    #[serde(flatten)]
    holder: Holder,
    lease_ms: Option<u64>,
}

#[derive(Deserialize)]
struct FenceRequest {
    #[serde(flatten)]
    holder: Holder,
    adopter: Option<Holder>,
    lease_ms: Option<u64>,
}

/// What a payload asks of the stand-in.
#[derive(Deserialize)]
struct Work {
    run_ms: u64,
    #[serde(default)]
    echo: String,
}

impl EndpointStandin {
    /// Serves until a signal to stop.
    ///
    /// # Errors
    /// When the address or the record cannot be opened.
    pub fn run(args: EndpointArgs) -> anyhow::Result<()> {
        let runtime = Runtime::new(1);
        let stopped = stop_signal(&runtime)?;
        let executor = runtime.executor();
        let outer = args.listen;
        let inner = if args.freezable { (Ipv4Addr::LOCALHOST, 0).into() } else { outer };
        let listener = runtime.block_on(TcpListener::bind(inner))?;
        let target = listener.local_addr()?;
        let link = args.freezable.then(|| Link::start(&executor, outer, target));
        let standin = Arc::new(Self::new(args, Arc::clone(&executor), link)?);
        let sweep = runtime.spawn(Arc::clone(&standin).sweep());
        let server = Server::new(move |request| {
            let standin = Arc::clone(&standin);
            async move { standin.answer(request).await }
        });
        runtime.block_on(server.serve(executor, listener, stopped));
        runtime.block_on(sweep.cancel());
        Ok(())
    }

    /// Makes a stand-in that does not serve yet; its tasks run on `executor`.
    ///
    /// # Errors
    /// When the record cannot be opened.
    pub fn new(
        args: EndpointArgs,
        executor: Arc<Executor<'static>>,
        link: Option<Link>,
    ) -> anyhow::Result<Self> {
        let record = Record::open(args.worker.to_string(), args.record.as_deref())?;
        record.append(Happening::Opened, args.worker.to_string(), "");
        let tasks = TaskTable::new(args.slots);
        let state = Mutex::new(State { fault: EndpointFault::Up, until: u64::MAX, tasks });
        Ok(Self { args, executor, state, link, record, born: Instant::now() })
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Ends leases and faults whose time has come, and forgets old tasks.
    pub async fn sweep(self: Arc<Self>) {
        let mut pruned = unix_ms();
        loop {
            Timer::after(SWEEP).await;
            let now = unix_ms();
            for name in self.with(|state| state.tasks.lapse(now)) {
                self.record.append(Happening::Lapsed, name.to_string(), "");
            }
            if self.with(|state| state.until) <= now {
                self.switch(EndpointFault::Up, None);
            }
            if now >= pruned + PRUNE_MS {
                pruned = now;
                self.with(|state| state.tasks.prune(now));
            }
        }
    }

    /// Answers one request.
    pub async fn answer(self: Arc<Self>, request: Request<Bytes>) -> Response<Bytes> {
        let path = request.uri().path().to_owned();
        let body = request.body();
        if path == "/control/switch" {
            return parsed(body, |switch: Switch| self.control(&switch));
        }
        self.hang().await;
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/tasks") => self.start(&request).await,
            (&Method::POST, "/v1/heartbeat") => parsed(body, |beat: Beat| self.heartbeat(&beat)),
            (&Method::POST, "/v1/settle") => parsed(body, |names: Names| self.settle(&names)),
            (&Method::POST, "/v1/fence") => parsed(body, |fence: FenceRequest| self.fence(&fence)),
            (&Method::POST, "/v1/stop") => parsed(body, |names: Names| self.stop(&names)),
            _ => Problem::new(StatusCode::NOT_FOUND, "no-such-path", path).response(),
        }
    }

    fn control(self: &Arc<Self>, switch: &Switch) -> Response<Bytes> {
        if switch.fault == EndpointFault::Freeze {
            if self.link.is_none() {
                let detail = "started without --freezable";
                return Problem::new(StatusCode::CONFLICT, "not-freezable", detail).response();
            }
            self.executor.spawn(Arc::clone(self).freeze()).detach();
        } else {
            self.switch(switch.fault, switch.lasts_ms);
        }
        reply_json(StatusCode::OK, &json!({}))
    }

    async fn freeze(self: Arc<Self>) {
        // The answer to the switch itself leaves on a connection that is about to go silent.
        Timer::after(SWEEP).await;
        if let Some(link) = &self.link {
            link.switch(LinkMode::Silent);
            self.record.append(Happening::Switched, self.args.worker.to_string(), "freeze");
        }
    }

    fn switch(&self, fault: EndpointFault, lasts: Option<u64>) {
        let until = lasts.map_or(u64::MAX, |ms| unix_ms() + ms);
        self.with(|state| {
            state.fault = fault;
            state.until = until;
        });
        self.record.append(Happening::Switched, self.args.worker.to_string(), fault.to_string());
    }

    /// Waits while the stand-in answers nothing.
    async fn hang(&self) {
        while self.with(|state| state.fault) == EndpointFault::Hang {
            Timer::after(SWEEP).await;
        }
    }

    async fn start(self: &Arc<Self>, request: &Request<Bytes>) -> Response<Bytes> {
        let header = |name: &str| request.headers().get(name)?.to_str().ok();
        let name = header("x-task").and_then(|text| text.parse::<TaskName>().ok());
        let holder = header("x-holder").and_then(|text| text.parse::<Holder>().ok());
        let lease = header("x-lease-ms").and_then(|text| text.parse().ok());
        let work = serde_json::from_slice::<Work>(request.body());
        let (Some(name), Some(holder), Ok(work)) = (name, holder, work) else {
            return Problem::new(StatusCode::BAD_REQUEST, "bad-start", "headers or body")
                .response();
        };
        let lease = lease.unwrap_or(DEFAULT_LEASE_MS);
        let (fault, admission) = self.with(|state| {
            let refusal = state.fault.refusal();
            (state.fault, state.tasks.admit(unix_ms(), &name, &holder, lease, refusal))
        });
        let stop = match admission {
            Admission::Run(stop) => stop,
            Admission::Refuse(status, code) => {
                self.record.append(Happening::Refused, name.to_string(), code);
                return Problem::new(status, code, "").response();
            }
        };
        self.record.append(Happening::Started, name.to_string(), holder.to_string());
        let (done, ended) = async_channel::bounded(1);
        let standin = Arc::clone(self);
        // A task of its own: it goes on when the connection that started it breaks.
        let run = async move {
            let fate = run_work(work, fault, stop).await;
            standin.finish(&name, &fate);
            standin.hang().await;
            if done.send(fate).await.is_err() {
                standin.record.append(Happening::Undelivered, name.to_string(), "");
            }
        };
        self.executor.spawn(run).detach();
        match ended.recv().await {
            Ok(Fate::Done(result)) => Response::new(Bytes::from(result.into_bytes())),
            Ok(Fate::Failed(detail)) => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                Problem::new(status, "task-failed", detail).response()
            }
            _ => unreachable!("a task that ran is done or failed"),
        }
    }

    fn finish(&self, name: &TaskName, fate: &Fate) {
        let (what, detail) = match fate {
            Fate::Done(_) => (Happening::Finished, ""),
            Fate::Failed(detail) => (Happening::Failed, detail.as_str()),
            Fate::Running | Fate::Never => unreachable!("a task that ran is done or failed"),
        };
        self.record.append(what, name.to_string(), detail);
        self.with(|state| state.tasks.finish(unix_ms(), name, fate.clone()));
    }

    fn heartbeat(&self, beat: &Beat) -> Response<Bytes> {
        let args = &self.args;
        let now = unix_ms();
        let (free, leaving) = self.with(|state| {
            state.tasks.renew(now, &beat.holder, beat.lease_ms.unwrap_or(DEFAULT_LEASE_MS));
            let free = state.tasks.free_at(now.saturating_sub(args.report_lag_ms));
            (free, state.fault == EndpointFault::Leave)
        });
        reply_json(
            StatusCode::OK,
            &json!({
                "worker": args.worker, "zone": args.zone, "rack": args.rack, "slots": args.slots,
                "free": free, "leaving": leaving, "cores": args.cores,
                "memory_mb": args.memory_mb, "accels": args.accels,
            }),
        )
    }

    fn settle(&self, names: &Names) -> Response<Bytes> {
        let mut fates = Vec::with_capacity(names.tasks.len());
        for text in &names.tasks {
            let Ok(name) = text.parse::<TaskName>() else {
                return Problem::new(StatusCode::BAD_REQUEST, "bad-task", text).response();
            };
            let fate = self.with(|state| state.tasks.settle(unix_ms(), name));
            let detail = match &fate {
                Fate::Running => "running",
                Fate::Done(_) => "done",
                Fate::Failed(_) => "failed",
                Fate::Never => "never",
            };
            self.record.append(Happening::Settled, text, detail);
            fates.push(fate);
        }
        self.aged(reply_json(StatusCode::OK, &fates))
    }

    fn fence(&self, fence: &FenceRequest) -> Response<Bytes> {
        let adopter = fence.adopter.as_ref();
        let by = adopter.map(ToString::to_string).unwrap_or_default();
        self.record.append(Happening::Fenced, fence.holder.to_string(), &by);
        let lease = fence.lease_ms.unwrap_or(DEFAULT_LEASE_MS);
        let tasks = self.with(|state| state.tasks.fence(unix_ms(), &fence.holder, adopter, lease));
        let tasks: Vec<_> = tasks
            .into_iter()
            .map(|(name, fate)| json!({ "task": name.to_string(), "fate": fate }))
            .collect();
        self.aged(reply_json(StatusCode::OK, &tasks))
    }

    /// Adds how long this stand-in has remembered attempts: after a restart it knows none.
    fn aged(&self, mut response: Response<Bytes>) -> Response<Bytes> {
        let age = u64::try_from(self.born.elapsed().as_millis()).unwrap_or(u64::MAX);
        response.headers_mut().insert("x-age-ms", age.into());
        response
    }

    fn stop(&self, names: &Names) -> Response<Bytes> {
        for name in names.tasks.iter().filter_map(|name| name.parse::<TaskName>().ok()) {
            if self.with(|state| state.tasks.stop(&name)) {
                self.record.append(Happening::Stopped, name.to_string(), "");
            }
        }
        reply_json(StatusCode::OK, &json!({}))
    }
}

async fn run_work(work: Work, fault: EndpointFault, stop: Receiver<()>) -> Fate {
    let factor = if fault == EndpointFault::Straggle { STRAGGLE } else { 1 };
    let ran = async {
        Timer::after(Duration::from_millis(work.run_ms.saturating_mul(factor))).await;
        true
    };
    let stopped = async {
        let _ = stop.recv().await;
        false
    };
    if !ran.or(stopped).await {
        Fate::Failed("stopped".to_owned())
    } else if fault == EndpointFault::FailTasks {
        Fate::Failed("broken worker".to_owned())
    } else {
        Fate::Done(work.echo)
    }
}
