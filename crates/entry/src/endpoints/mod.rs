//! Exchanges with endpoints.

mod answers;
mod settling;
mod view;
mod worker;
mod zone_view;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, RwLock},
    time::Duration,
};

use bytes::Bytes;
use cranberryhatch_core::{
    AttemptId, AttemptStatus, Endpoint, FencedTask, NotRun, Start, StartResponse,
};
use cranberryhatch_http::{Client, ClientError};
use cranberryhatch_types::{Holder, Span, TaskName, Time, WorkerId, ZoneId};
use http::{HeaderName, HeaderValue, Method, Request, Response, Uri};
use serde::Serialize;

use answers::{Beat, Fenced, task_answer};
pub use view::WorkerView;
pub use worker::Worker;
pub use zone_view::ZoneView;

use crate::clock::Clock;

/// Time allowed for a control exchange with an endpoint.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time allowed for a heartbeat on a connection that is already open.
const BEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an endpoint that is neither listed nor answers is forgotten.
const FORGET: Span = Span::from_secs(60);
/// Header with the name of the attempt.
const TASK: HeaderName = HeaderName::from_static("x-task");
/// Header with the holder.
const HOLDER: HeaderName = HeaderName::from_static("x-holder");
/// Header with the length of the lease.
const LEASE: HeaderName = HeaderName::from_static("x-lease-ms");

/// Client of all endpoints.
pub struct Endpoints {
    client: Client,
    holder: Holder,
    holder_value: HeaderValue,
    zone: ZoneId,
    clock: Clock,
    workers: RwLock<Vec<(WorkerId, Arc<Worker>)>>,
}

#[derive(Serialize)]
struct BeatRequest<'a> {
    instance: &'a str,
    incarnation: u64,
    lease_ms: u64,
}

/// The sender adopts the leases of the tasks that run.
#[derive(Serialize)]
struct FenceRequest<'a> {
    instance: &'a str,
    incarnation: u64,
    adopter: &'a Holder,
    lease_ms: u64,
}

#[derive(Serialize)]
struct Names {
    tasks: Vec<String>,
}

impl Endpoints {
    /// A client without known endpoints, for an instance in a zone.
    #[must_use]
    pub fn new(client: Client, holder: Holder, zone: ZoneId, clock: Clock) -> Self {
        let holder_value = HeaderValue::from_str(&holder.to_string());
        Self {
            client,
            holder_value: holder_value.unwrap_or_else(|_| HeaderValue::from_static("")),
            holder,
            zone,
            clock,
            workers: RwLock::default(),
        }
    }

    /// Learns the address of an endpoint.
    pub fn learn(&self, id: &WorkerId, addr: SocketAddr, zone: &ZoneId) {
        if self.worker(id).is_some_and(|worker| worker.addr == addr && worker.zone == *zone) {
            return;
        }
        let worker = Arc::new(Worker::new(id.clone(), addr, zone.clone(), self.clock.now()));
        let mut workers = self.workers.write().unwrap_or_else(PoisonError::into_inner);
        match workers.binary_search_by(|(known, _)| known.cmp(id)) {
            Ok(place) => workers[place].1 = worker,
            Err(place) => workers.insert(place, (id.clone(), worker)),
        }
    }

    /// Forgets endpoints that are not listed and have not answered for long.
    pub fn prune(&self, is_listed: impl Fn(&WorkerId) -> bool) {
        let now = self.clock.now();
        let mut workers = self.workers.write().unwrap_or_else(PoisonError::into_inner);
        workers.retain(|(id, worker)| is_listed(id) || now.since(worker.seen()) < FORGET);
    }

    /// Endpoints that need heartbeats: those of the own zone, and others where attempts run.
    #[must_use]
    pub fn to_beat(&self) -> Vec<Arc<Worker>> {
        let workers = self.workers.read().unwrap_or_else(PoisonError::into_inner);
        let matters = |worker: &Worker| worker.zone == self.zone || worker.is_used();
        workers.iter().map(|(_, worker)| worker).filter(|w| matters(w)).cloned().collect()
    }

    /// What is known of all endpoints.
    #[must_use]
    pub fn views(&self) -> Vec<WorkerView> {
        let now = self.clock.now();
        let workers = self.workers.read().unwrap_or_else(PoisonError::into_inner);
        workers.iter().map(|(_, worker)| WorkerView::new(worker, now)).collect()
    }

    /// Zones that have endpoints, sorted.
    #[must_use]
    pub fn zones(&self) -> Vec<ZoneId> {
        let workers = self.workers.read().unwrap_or_else(PoisonError::into_inner);
        let mut zones: Vec<ZoneId> = workers.iter().map(|(_, w)| w.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// What is known of the endpoints of a zone.
    #[must_use]
    pub fn zone_view(&self, zone: ZoneId, drained: bool) -> ZoneView {
        let now = self.clock.now();
        let workers = self.workers.read().unwrap_or_else(PoisonError::into_inner);
        let mut view = ZoneView::new(zone, drained);
        workers.iter().for_each(|(_, worker)| view.add(worker, now));
        view
    }

    fn worker(&self, id: &WorkerId) -> Option<Arc<Worker>> {
        let workers = self.workers.read().unwrap_or_else(PoisonError::into_inner);
        let place = workers.binary_search_by(|(known, _)| known.cmp(id)).ok()?;
        Some(Arc::clone(&workers[place].1))
    }

    /// Starts an attempt of a shard and waits for its answer; none when it was settled meanwhile.
    ///
    /// A start that was decided longer than `lease` ago is not sent: the process may have been
    /// paused, and another holder may have taken over.
    pub async fn start(
        &self,
        shard: usize,
        start: &Start,
        decided: Time,
        lease: Span,
    ) -> Option<StartResponse> {
        let unsent = Some(StartResponse::NotRun(NotRun::Unreachable));
        let Some(worker) = self.worker(&start.worker) else { return unsent };
        let Some(request) = self.start_request(start) else { return unsent };
        if self.clock.now().since(decided) >= lease {
            return unsent;
        }
        let in_flight = worker.begin(shard, start.attempt);
        let exchange = async {
            let sent = self.client.send_within(worker.addr, request, start.timeout.into()).await;
            Some(match sent {
                Ok(response) if !answers::is_for(&response, &start.name) => StartResponse::Lost,
                Ok(response) => task_answer(&response),
                Err(error) if error.is_unsent() => StartResponse::NotRun(NotRun::Unreachable),
                Err(_) => StartResponse::Lost,
            })
        };
        let settled = async {
            in_flight.settled().await;
            None
        };
        smol::future::or(exchange, settled).await
    }

    fn start_request(&self, start: &Start) -> Option<Request<Bytes>> {
        let mut request = Request::new(start.payload.clone());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static("/v1/tasks");
        let name = HeaderValue::from_maybe_shared(Bytes::from(start.name.to_string())).ok()?;
        let headers = request.headers_mut();
        headers.insert(TASK, name);
        headers.insert(HOLDER, self.holder_value.clone());
        headers.insert(LEASE, HeaderValue::from(start.lease.as_ms()));
        Some(request)
    }

    /// Asks on a new connection what became of an attempt of a shard.
    ///
    /// Questions to one endpoint that come at about the same time share one exchange.
    pub async fn settle(
        &self,
        shard: usize,
        attempt: AttemptId,
        id: &WorkerId,
        name: &TaskName,
        sent: Time,
    ) -> AttemptStatus {
        let Some(worker) = self.worker(id) else { return AttemptStatus::Unreachable };
        let state = settling::settle(self, &worker, name, sent).await;
        if !matches!(state, AttemptStatus::Running | AttemptStatus::Unreachable) {
            // The start's own connection may be silent for good and must not keep its place.
            worker.end(shard, attempt);
        }
        state
    }

    /// Stops attempts; an endpoint that does not answer stops them when their lease lapses.
    pub async fn stop(&self, id: &WorkerId, names: &[TaskName]) {
        if let Some(worker) = self.worker(id) {
            let names = Names { tasks: names.iter().map(ToString::to_string).collect() };
            let _ = self.post_fresh(worker.addr, "/v1/stop", &names).await;
        }
    }

    /// Fences a holder at an endpoint and gives its tasks there, and the Unix time since when the
    /// endpoint remembers attempts; none without an answer.
    pub async fn fence(
        &self,
        holder: &Holder,
        id: &WorkerId,
        lease: Span,
    ) -> Option<(Vec<FencedTask>, Time)> {
        let worker = self.worker(id)?;
        let request = FenceRequest {
            instance: holder.instance.as_str(),
            incarnation: holder.incarnation.get(),
            adopter: &self.holder,
            lease_ms: lease.as_ms(),
        };
        let response = self.post_fresh(worker.addr, "/v1/fence", &request).await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let tasks: Vec<Fenced> = serde_json::from_slice(response.body()).ok()?;
        let since = self.clock.wall() - answers::age(&response)?;
        let tasks: Option<Vec<_>> = tasks.into_iter().map(|task| task.into_task(id)).collect();
        Some((tasks?, since))
    }

    /// Sends a heartbeat, which renews the leases of this holder's tasks; tries a new connection
    /// when the open one does not answer.
    pub async fn heartbeat(&self, worker: &Worker, lease: Span) -> Option<Endpoint> {
        let request = BeatRequest {
            instance: self.holder.instance.as_str(),
            incarnation: self.holder.incarnation.get(),
            lease_ms: lease.as_ms(),
        };
        let (addr, asked) = (worker.addr, self.clock.now());
        let open = post("/v1/heartbeat", &request);
        let response = match self.client.send_within(addr, open, BEAT_TIMEOUT).await {
            Ok(response) => response,
            Err(_) => self.post_fresh(addr, "/v1/heartbeat", &request).await.ok()?,
        };
        let beat: Beat = serde_json::from_slice(response.body()).ok()?;
        let endpoint = beat.into_endpoint(asked);
        worker.note_seen(self.clock.now(), &endpoint);
        Some(endpoint)
    }

    async fn post_fresh<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &'static str,
        body: &T,
    ) -> Result<Response<Bytes>, ClientError> {
        self.client.send_on_new_connection(addr, post(path, body), CONTROL_TIMEOUT).await
    }
}

fn post<T: Serialize>(path: &'static str, body: &T) -> Request<Bytes> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request
}

/// Locks a list; a panic elsewhere leaves it whole, because each change is one step.
fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
