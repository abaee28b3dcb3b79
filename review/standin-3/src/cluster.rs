//! A small deployment: the store, workers, and instances as separate processes.

use std::{
    fs::File,
    io::Write,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    history::{History, Job},
    http,
    proxy::{self, Cuts},
    store::Store,
    worker::{Kind, Worker},
};

/// Program of the deploy file.
const PROGRAM: &str = "target/release/cranberryhatch-edge";
pub const HOST: &str = "nony24.example";
const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, b: u64, c: u64, d: u64) -> i32;
}

/// A route of the config.
#[derive(Clone)]
pub struct Route {
    pub name: &'static str,
    pub path: &'static str,
    pub service: &'static str,
    pub priority: u32,
}

pub struct Instance {
    pub name: String,
    pub ip: String,
    settings: PathBuf,
    log: PathBuf,
    // Where it listens for links; the forwarder in front of it has the advertised address.
    links: SocketAddr,
    process: Mutex<Option<Child>>,
}

impl Instance {
    pub fn callers(&self) -> SocketAddr {
        format!("{}:8161", self.ip).parse().expect("an address")
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.process.lock().expect("process").take() {
            unsafe { kill(child.id() as i32, SIGKILL) };
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut process = self.process.lock().expect("process");
        process.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn launch(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new(PROGRAM);
        command.env_clear();
        command.env("CRANBERRYHATCH_BOOT", &self.settings);
        command.arg("--links-listen").arg(self.links.to_string());
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("a log")).stderr(log);
        // The instance ends with this process, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        *self.process.lock().expect("process") = Some(command.spawn().expect("the program"));
    }
}

pub struct Cluster {
    pub workers: Vec<Arc<Worker>>,
    pub instances: Vec<Arc<Instance>>,
    pub history: Arc<History>,
    pub cuts: Arc<Cuts>,
    folder: PathBuf,
}

impl Cluster {
    /// Starts the store and the workers; `zones` are those of the first
    /// instances, in order. As many `spares` may be added later, in the same zones.
    pub fn new(
        folder: PathBuf,
        zones: &[&str],
        spares: usize,
        kinds: Vec<Kind>,
        routes: &[Route],
        history: Arc<History>,
    ) -> Self {
        let base = free_base();
        let listen = |ip: &str, port: u16| {
            TcpListener::bind((ip, port)).unwrap_or_else(|error| {
                eprintln!("{ip}:{port}: {error}");
                std::process::exit(2)
            })
        };
        let store = Store::start(listen(&format!("{base}.200.1"), 0));
        store.put("op", "config", Some(&config(3, routes)));
        let workers: Vec<Arc<Worker>> = kinds
            .into_iter()
            .enumerate()
            .map(|(index, kind)| {
                let listener = listen(&format!("{base}.100.{}", index + 1), 0);
                Worker::start(format!("i-{index:04}"), kind, listener, Arc::clone(&history))
            })
            .collect();
        for worker in &workers {
            worker.report_to(&store);
        }
        let zones: Vec<&str> = zones.iter().chain(&zones[..spares]).copied().collect();
        let names: Vec<String> =
            zones.iter().enumerate().map(|(i, zone)| format!("edge-{zone}-{}", i + 1)).collect();
        let cuts = Arc::new(Cuts::default());
        let mut instances = Vec::new();
        for (index, (name, zone)) in names.iter().zip(&zones).enumerate() {
            let ip = format!("{base}.{}.1", index + 1);
            let settings = folder.join(format!("{name}.toml"));
            let seed = |index: usize| format!("\"{base}.{}.1:8166\"", index + 1);
            let seeds: Vec<String> = (0..zones.len().min(3)).map(seed).collect();
            let text = settings_text(name, &ip, zone, &seeds.join(","), store.addr);
            File::create(&settings).and_then(|mut f| f.write_all(text.as_bytes())).expect("a file");
            let links = format!("{base}.{}.2:7720", index + 1).parse().expect("an address");
            proxy::forward(
                listen(&ip, 7720),
                links,
                name.clone(),
                names.clone(),
                Arc::clone(&cuts),
            );
            let log = folder.join(format!("{name}.log"));
            instances.push(Arc::new(Instance {
                name: name.clone(),
                ip,
                settings,
                log,
                links,
                process: Mutex::new(None),
            }));
        }
        Self { workers, instances, history, cuts, folder }
    }

    /// Starts the first instances and waits until they are ready and links have settled.
    pub fn start(&self, count: usize) {
        for instance in &self.instances[..count] {
            instance.launch();
        }
        let until = Instant::now() + Duration::from_secs(15);
        for instance in &self.instances[..count] {
            while !self.is_ready(instance) {
                if Instant::now() > until {
                    eprintln!("{} is not ready; see {:?}", instance.name, self.folder);
                    self.stop();
                    std::process::exit(2);
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // Traffic starts seconds after the instances.
        thread::sleep(Duration::from_secs(3));
        self.history.note("all instances are ready");
    }

    pub fn is_ready(&self, instance: &Instance) -> bool {
        let addr = format!("{}:8167", instance.ip).parse().expect("an address");
        let answer =
            http::send(addr, "GET", "/-/readyz", "Host: x\r\n", "", Duration::from_secs(1));
        answer.is_ok_and(|(status, _)| status == 200)
    }

    /// Returns the instances that have ended by themselves.
    pub fn ended(&self) -> Vec<&str> {
        let ended = self.instances.iter().filter(|instance| instance.has_ended());
        ended.map(|instance| instance.name.as_str()).collect()
    }

    pub fn stop(&self) {
        for instance in &self.instances {
            instance.kill();
        }
    }

    /// Submits a job on a new connection and waits for the answer in a thread of its own.
    pub fn submit(
        &self,
        instance: &Arc<Instance>,
        path: &str,
        name: &str,
        job: &Job,
        limit_ms: u64,
    ) -> thread::JoinHandle<u16> {
        self.history.add_job(name, job);
        let history = Arc::clone(&self.history);
        let (addr, to) = (instance.callers(), instance.name.clone());
        let (path, name, body) = (format!("{path}{name}"), name.to_owned(), job.body());
        thread::spawn(move || {
            history.note(&format!("submit {name} at {to}"));
            let headers = format!("Host: {HOST}\r\nDeadline-Ms: {limit_ms}\r\n");
            let timeout = Duration::from_millis(limit_ms);
            let answer = http::send(addr, "POST", &path, &headers, &body, timeout);
            let (status, body) = answer.unwrap_or((0, "no answer".to_owned()));
            history.answered(&name, status, &body);
            status
        })
    }

    /// Cancels a job at an instance.
    pub fn cancel(&self, instance: &Instance, path: &str, name: &str) -> u16 {
        self.history.note(&format!("cancel {name} at {}", instance.name));
        let headers = format!("Host: {HOST}\r\n");
        let path = format!("{path}{name}");
        let timeout = Duration::from_secs(4);
        let answer = http::send(instance.callers(), "DELETE", &path, &headers, "", timeout);
        let status = answer.map_or(0, |(status, _)| status);
        self.history.canceled(name, status);
        status
    }

    /// Cuts an instance off from all others.
    pub fn cut_off(&self, instance: &Instance) {
        self.history.note(&format!("cut: {} from all other instances", instance.name));
        for other in &self.instances {
            if other.name != instance.name {
                self.cuts.cut(&instance.name, &other.name);
            }
        }
    }

    pub fn heal(&self) {
        self.history.note("the cut ends");
        self.cuts.heal();
    }
}

/// Returns the first two numbers of a range of loopback addresses that no other run uses.
fn free_base() -> String {
    let first = std::process::id() % 250;
    let bases = (0..250).map(|step| format!("127.{}", (first + step) % 250 + 2));
    let mut free = bases.filter(|base| {
        let lock = TcpListener::bind((format!("{base}.250.1"), 7_719));
        // The lock is held until this process ends.
        lock.map(std::mem::forget).is_ok()
    });
    free.next().expect("free addresses")
}

fn config(version: u64, routes: &[Route]) -> String {
    let route = |route: &Route| {
        format!(
            "{{\"Name\":\"{}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{}\",\"Service\":\"{}\",\
             \"TimeoutMs\":30000,\"TargetLatencyMs\":100,\"Priority\":{},\"MaxAttempts\":3,\
             \"Stretch\":1.6}}",
            route.name, route.path, route.service, route.priority
        )
    };
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let service = |name: &&str| {
        format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"EnforcesCapacity\":true}}")
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn settings_text(name: &str, ip: &str, zone: &str, seeds: &str, store: SocketAddr) -> String {
    format!(
        "NodeName = \"{name}\"\nRole = \"edge\"\nMachineClass = \"edge\"\nServes = [\"edge\"]\n\
         Ip = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"cz-central\"\nPortRange = [7720,7735]\n\
         Seeds = [{seeds}]\nBootstrap = true\nInFaultBudget = false\nDiscovery = \"platform\"\n\
         Entry = \"vip\"\nHeartbeatMs = 1500\n\
         Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\n\
         Orders = \"rpc\"\n[Zones]\npraha-a = \"cz-central\"\npraha-b = \"cz-central\"\n\
         kladno-c = \"cz-central\"\n[ListenAddrs]\nFrontend = \"{ip}:8161\"\n\
         Readiness = \"{ip}:8167\"\nControlPlane = \"{ip}:8166\"\n[Limits]\nCpuShare = 0.25\n\
         Cores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n\
         [FaultTolerance]\nMachines = 2\nZones = 1\nRegions = 0\n[Bounds]\nSeedLagS = 3\n\
         AddrReuseS = 2\nContactMs = 3000\nAckTimeoutMs = 4000\nCatchUpS = 4\nDrainMs = 2000\n\
         GraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\n\
         MaxSkewMs = 5000\nRecoveryS = 12\nHoldMaxMs = 1000\nStopTimeoutMs = 50\ncancel_ms = 3000\n\
         visible_ms = 3000\nRetransmitMs = 1300\n[platform]\nAddress = \"{store}\"\n\
         form = \"table\"\nWritesPerS = 800\nReadsPerS = 2000\nTxMs = 5.0\nRowBytes = 65536\n\
         Across = false\nRetentionS = 20\n"
    )
}
