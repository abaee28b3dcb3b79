//! A deployment as separate processes on loopback.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::Path,
    process::Command,
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use cranberryhatch_http::{Client, Runtime};
use cranberryhatch_store::{Expect, InstanceState, ListedInstance, Op, Platform, Role, Txn};
use http::Request;
use serde_json::json;

use crate::{Folder, Process};

/// Time allowed for all processes to get ready.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Ports for processes. The system takes ports of outgoing connections from above this range,
/// so that an address stays free while its process is down.
const PORTS: (u16, u16) = (10_000, 32_000);
/// Workers in a rack.
const RACK: usize = 8;

/// Shape of a deployment.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Availability zones.
    pub zones: Vec<String>,
    /// Entry instances in each zone.
    pub entries: usize,
    /// Workers in each zone.
    pub workers: usize,
    /// Slots of a worker.
    pub slots: u32,
    /// Where entry instances send their counters.
    pub statsd: Option<SocketAddr>,
    /// Whether zones reach each other and the platform through links that can be cut.
    pub links: bool,
    /// Time after which a change of the list becomes visible, in milliseconds.
    pub list_lag_ms: u64,
}

impl Shape {
    /// Slots of all workers.
    #[must_use]
    pub const fn total_slots(&self) -> usize {
        self.zones.len() * self.workers * self.slots as usize
    }
}

/// An entry instance or an endpoint.
pub struct Member {
    /// Its process.
    pub process: Process,
    /// Its row in the list.
    pub row: ListedInstance,
}

/// A running deployment; dropping it kills its processes.
pub struct Fleet {
    /// Client of the chore.
    pub client: Client,
    /// Entry instances.
    pub entries: Vec<Member>,
    /// Endpoints.
    pub endpoints: Vec<Member>,
    /// Stand-in for the platform.
    pub platform: Process,
    /// Stand-in for the links between zones.
    pub links: Option<Process>,
    /// Folder of settings, records and logs.
    pub folder: Folder,
    /// Shape of the deployment.
    pub shape: Shape,
    // Dropped last, because the client runs on it.
    /// Runtime of the chore.
    pub runtime: Runtime,
    views: Vec<(String, SocketAddr)>,
    forwards: Vec<(String, SocketAddr, SocketAddr)>,
}

impl Fleet {
    /// Starts a deployment and waits until every entry instance is ready.
    ///
    /// # Errors
    /// When a process cannot be started or does not get ready.
    pub fn start(bin: &Path, shape: Shape, settings: &str) -> Result<Self> {
        let folder = Folder::new()?;
        let runtime = Runtime::new(4);
        let client = Client::new(runtime.executor()).connections(1_024);
        let views = shape.zones.iter().map(|zone| Ok((zone.clone(), free_addr()?)));
        let views = views.collect::<Result<Vec<_>>>()?;
        let platform = start_platform(bin, &shape, &views, folder.path())?;
        let mut fleet = Self {
            client,
            entries: Vec::new(),
            endpoints: Vec::new(),
            platform,
            links: None,
            folder,
            shape,
            runtime,
            views,
            forwards: Vec::new(),
        };
        for zone in fleet.shape.zones.clone() {
            fleet.start_endpoints(bin, &zone)?;
            fleet.start_entries(bin, &zone)?;
        }
        if fleet.shape.links {
            fleet.start_links(bin)?;
        }
        fleet.seed(settings)?;
        fleet.wait_ready()?;
        Ok(fleet)
    }

    fn start_endpoints(&mut self, bin: &Path, zone: &str) -> Result<()> {
        for number in 0..self.shape.workers {
            let (id, rack) = (format!("{zone}-w{number}"), format!("{zone}-r{}", number / RACK));
            let addr = free_addr()?;
            let mut command = Command::new(bin.join("standin-endpoint"));
            command
                .args(["--listen", &addr.to_string(), "--worker", &id, "--zone", zone])
                .args(["--rack", &rack, "--slots", &self.shape.slots.to_string(), "--record"])
                .arg(self.folder.path().join(format!("{id}.record")));
            if self.shape.links {
                command.args(["--freezable", "--report-lag-ms", "500"]);
            }
            let process = Process::start(&id, addr, command, self.folder.path())?;
            let (zone, rack) = (zone.parse()?, Some(rack.parse()?));
            let (role, state) = (Role::Endpoint, InstanceState::Live);
            let row = ListedInstance { role, id, addr, peer: None, zone, rack, state };
            self.endpoints.push(Member { process, row });
        }
        Ok(())
    }

    fn start_entries(&mut self, bin: &Path, zone: &str) -> Result<()> {
        let view = self.views.iter().find(|(name, _)| name == zone);
        let mut platform = view.context("no view")?.1;
        if self.shape.links {
            platform = self.forward(format!("platform:{zone}"), platform)?;
        }
        for number in 0..self.shape.entries {
            let id = format!("{zone}-e{number}");
            let (addr, peer) = (free_addr()?, free_addr()?);
            let config = self.folder.path().join(format!("{id}.ini"));
            let mut text = format!(
                "[instance]\nid = {id}\nzone = {zone}\nlisten = {addr}\npeer = {peer}\n\
                 [platform]\naddress = {platform}\n"
            );
            if let Some(statsd) = self.shape.statsd {
                text += &format!("[metrics]\nstatsd = {statsd}\n");
            }
            fs::write(&config, text)?;
            let mut command = Command::new(bin.join("cranberryhatch-entry"));
            command.arg("--config").arg(&config);
            let process = Process::start(&id, addr, command, self.folder.path())?;
            let zone = zone.parse()?;
            let (role, state) = (Role::Entry, InstanceState::Live);
            let row = ListedInstance { role, id, addr, peer: Some(peer), zone, rack: None, state };
            self.entries.push(Member { process, row });
        }
        Ok(())
    }

    fn forward(&mut self, name: String, target: SocketAddr) -> Result<SocketAddr> {
        let listen = free_addr()?;
        self.forwards.push((name, listen, target));
        Ok(listen)
    }

    fn start_links(&mut self, bin: &Path) -> Result<()> {
        let rows: Vec<ListedInstance> = self.rows().cloned().collect();
        for from in self.shape.zones.clone() {
            for row in rows.iter().filter(|row| row.zone.as_str() != from) {
                let name = format!("{from}>{}", row.zone);
                for target in [Some(row.addr), row.peer].into_iter().flatten() {
                    self.forward(name.clone(), target)?;
                }
            }
        }
        let control = free_addr()?;
        let mut command = Command::new(bin.join("standin-link"));
        command.args(["--control", &control.to_string()]);
        for (name, listen, target) in &self.forwards {
            command.args(["--forward", &format!("{name}={listen}={target}")]);
        }
        self.links = Some(Process::start("links", control, command, self.folder.path())?);
        Ok(())
    }

    fn rows(&self) -> impl Iterator<Item = &ListedInstance> {
        self.entries.iter().chain(&self.endpoints).map(|member| &member.row)
    }

    /// Sets the platform's list of each zone's view, with the addresses of links where it has any.
    ///
    /// # Errors
    /// When the platform does not answer.
    pub fn publish(&self) -> Result<()> {
        for (zone, _) in &self.views {
            let list: Vec<ListedInstance> =
                self.rows().map(|row| self.seen_from(zone, row)).collect();
            self.post(self.platform.addr, &format!("/control/listing/{zone}"), &list)?;
        }
        Ok(())
    }

    fn seen_from(&self, zone: &str, row: &ListedInstance) -> ListedInstance {
        let name = format!("{zone}>{}", row.zone);
        let through = |target: SocketAddr| {
            let link = self.forwards.iter().find(|(link, _, to)| *link == name && *to == target);
            link.map_or(target, |(_, listen, _)| *listen)
        };
        ListedInstance { addr: through(row.addr), peer: row.peer.map(through), ..row.clone() }
    }

    fn seed(&self, settings: &str) -> Result<()> {
        wait_until("the platform answers", || self.publish().is_ok())?;
        let ops = vec![
            Op::new("settings", "tree", Expect::Absent).put(settings.into()),
            Op::new("settings", "version", Expect::Absent).put(json!({ "from": 0 })),
        ];
        let txn = Txn { id: "seed".to_owned(), ops };
        self.runtime.block_on(self.platform().txn(&txn))?;
        Ok(())
    }

    fn wait_ready(&self) -> Result<()> {
        for entry in &self.entries {
            let ready = || self.is_ready(entry.process.addr);
            wait_until(&format!("{} is ready", entry.process.name), ready)?;
        }
        Ok(())
    }

    /// Whether an entry instance takes new work.
    #[must_use]
    pub fn is_ready(&self, addr: SocketAddr) -> bool {
        let Ok(request) = Request::get("/readyz").body(Bytes::new()) else { return false };
        let response = self.client.send_within(addr, request, Duration::from_secs(1));
        self.runtime.block_on(response).is_ok_and(|response| response.status().is_success())
    }

    /// Client of the stand-in for the platform.
    #[must_use]
    pub fn platform(&self) -> Platform {
        Platform::new(self.client.clone(), self.platform.addr)
    }

    /// Sends a JSON body and expects success.
    ///
    /// # Errors
    /// When the exchange fails or the status is no success.
    pub fn post<T: serde::Serialize + ?Sized>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<()> {
        let request = Request::post(path).body(Bytes::from(serde_json::to_vec(body)?))?;
        let response = self.client.send_within(addr, request, Duration::from_secs(2));
        let response = self.runtime.block_on(response)?;
        ensure!(response.status().is_success(), "{path}: {}", response.status());
        Ok(())
    }

    /// Stops all processes, entry instances first, and checks that they end well.
    ///
    /// # Errors
    /// When a process does not stop or ends with a failure.
    pub fn stop(&mut self) -> Result<()> {
        for member in self.entries.iter_mut().chain(&mut self.endpoints) {
            member.process.stop()?;
        }
        if let Some(links) = &mut self.links {
            links.stop()?;
        }
        self.platform.stop()
    }

    /// Stops all processes as far as they live.
    pub fn stop_all(&mut self) {
        for member in self.entries.iter_mut().chain(&mut self.endpoints) {
            // A process that a fault has ended already cannot be stopped.
            let _ = member.process.stop();
        }
        let _ = self.platform.stop();
    }
}

fn start_platform(
    bin: &Path,
    shape: &Shape,
    views: &[(String, SocketAddr)],
    folder: &Path,
) -> Result<Process> {
    let addr = free_addr()?;
    let mut command = Command::new(bin.join("standin-platform"));
    command
        .args(["--listen", &addr.to_string(), "--list-lag-ms", &shape.list_lag_ms.to_string()])
        .arg("--record")
        .arg(folder.join("platform.record"));
    for (zone, listen) in views {
        command.args(["--view", &format!("{zone}={listen}")]);
    }
    Process::start("platform", addr, command, folder)
}

/// Waits until a condition holds.
///
/// # Errors
/// When it does not hold in time.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> Result<()> {
    let limit = Instant::now() + START_LIMIT;
    while !holds() {
        ensure!(Instant::now() < limit, "waited in vain until {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn free_addr() -> Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let (low, high) = PORTS;
    let span = high - low;
    // Chores that run at the same time start at different places.
    let first = u16::try_from(std::process::id().wrapping_mul(211) % u32::from(span))?;
    for _ in 0..span {
        let step = NEXT.fetch_add(1, Ordering::Relaxed) % span;
        let offset = (u32::from(first) + u32::from(step)) % u32::from(span);
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, low + u16::try_from(offset)?));
        if TcpListener::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    anyhow::bail!("no free port")
}
