//! Processes of the project, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{Forwarder, call},
    record::Record,
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

#[cfg(target_os = "linux")]
pub const SIGCONT: i32 = 18;
#[cfg(target_os = "linux")]
pub const SIGSTOP: i32 = 19;

/// Network of a trial: loopback addresses that differ from those of other trials.
#[derive(Clone)]
pub struct Net {
    prefix: String,
    pub folder: PathBuf,
}

impl Net {
    pub fn new() -> Self {
        let pid = std::process::id();
        let prefix = format!("127.{}.{}", 30 + pid / 250 % 200, 1 + pid % 250);
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).expect("a folder");
        Self { prefix, folder }
    }

    pub fn addr(&self, host: u8, port: u16) -> SocketAddr {
        format!("{}.{host}:{port}", self.prefix).parse().expect("an address")
    }
}

/// An instance. Dropping it ends its process.
pub struct Edge {
    pub name: String,
    pub host: u8,
    net: Net,
    child: Option<Child>,
    /// Whether links from other instances come through a forwarder.
    pub forwarder: Option<Forwarder>,
}

/// Settings that differ between the instances of a trial.
pub struct Spec {
    pub name: String,
    pub zone: &'static str,
    pub host: u8,
    pub share: f64,
    /// Whether links from other instances come through a forwarder that can be cut.
    pub forwarded: bool,
}

pub const STORE_HOST: u8 = 200;
pub const STORE_PORT: u16 = 8_169;

impl Edge {
    pub fn start(net: &Net, spec: &Spec, seeds: &[u8], grace: f64) -> Self {
        let forwarder = spec
            .forwarded
            .then(|| Forwarder::start(net.addr(spec.host, 7_720), net.addr(spec.host, 7_735)));
        let mut edge = Self {
            name: spec.name.clone(),
            host: spec.host,
            net: net.clone(),
            child: None,
            forwarder,
        };
        edge.write_settings(spec, seeds, grace);
        edge.spawn();
        edge
    }

    fn write_settings(&self, spec: &Spec, seeds: &[u8], grace: f64) {
        let ip = self.net.addr(spec.host, 1).ip();
        let seeds: Vec<String> =
            seeds.iter().map(|host| format!("\"{}\"", self.net.addr(*host, 8_166))).collect();
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"edge\"\nMachineClass = \"edge\"\nServes = [\"edge\"]\n\
             Ip = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"cz-central\"\nPortRange = [7720,7735]\n\
             Seeds = [{seeds}]\nBootstrap = true\nInFaultBudget = false\nDiscovery = \"platform\"\n\
             Entry = \"vip\"\nHeartbeatMs = 1500\nOrders = \"rpc\"\n\
             [ListenAddrs]\nFrontend = \"{ip}:8161\"\nReadiness = \"{ip}:8167\"\n\
             [Limits]\nCpuShare = {share}\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\n\
             [Bounds]\nGraceS = {grace}\nContactMs = 3000\nConfigApplyMs = 2000\nHoldMaxMs = 1000\n\
             StopTimeoutMs = 50\ncancel_ms = 3000\nRetransmitMs = 1300\n\
             [platform]\nAddress = \"{store}\"\nform = \"table\"\n",
            name = spec.name,
            zone = spec.zone,
            seeds = seeds.join(","),
            share = spec.share,
            store = self.net.addr(STORE_HOST, STORE_PORT),
        );
        fs::write(self.settings_path(), text).expect("a settings file");
    }

    fn settings_path(&self) -> PathBuf {
        self.net.folder.join(format!("{}.toml", self.name))
    }

    fn spawn(&mut self) {
        let log = self.net.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new("target/release/cranberryhatch-edge");
        if self.forwarder.is_some() {
            command.arg("--links-listen").arg(self.net.addr(self.host, 7_735).to_string());
        }
        let child = command
            .env_clear()
            .env("CRANBERRYHATCH_BOOT", self.settings_path())
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the instance"));
    }

    pub fn callers(&self) -> SocketAddr {
        self.net.addr(self.host, 8_161)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: a system call on the id of a child that has not been waited for.
            unsafe { kill(i32::try_from(child.id()).expect("a process id"), signal) };
        }
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn is_ready(&self, peers: usize) -> bool {
        let timeout = Duration::from_secs(1);
        let get = |port, path| {
            call(
                self.net.addr(self.host, port),
                "GET",
                path,
                &[("host", "x".to_owned())],
                "",
                timeout,
            )
        };
        let line = format!("\ncranberryhatch_peers {peers}\n");
        matches!(get(8_167, "/-/readyz"), Ok((200, _)))
            && get(9_464, "/metrics").is_ok_and(|(_, body)| body.contains(&line))
    }

    /// Returns the scheduler that the instance has logged last.
    pub fn scheduler(&self) -> String {
        let log = fs::read_to_string(self.net.folder.join(format!("{}.log", self.name)));
        let log = log.unwrap_or_default();
        log.lines().rfind(|line| line.contains("scheduler")).unwrap_or("").to_owned()
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all instances are ready and linked to each other; returns whether they became so.
pub fn wait_until_ready(edges: &[Edge], record: &Record) -> bool {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !edges.iter().all(|edge| edge.is_ready(edges.len() - 1)) {
        if Instant::now() > deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    // Workers are taken over and the members are admitted meanwhile.
    thread::sleep(Duration::from_millis(2_500));
    record.add("ready", &format!("{} instances", edges.len()));
    true
}
