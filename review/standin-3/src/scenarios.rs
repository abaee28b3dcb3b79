//! The cases.

use std::{
    path::PathBuf,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    cluster::{Cluster, Route},
    history::{History, Job, Step},
    random::Random,
    worker::Kind,
};

const PATH: &str = "/lohu930/";
const SERVICE: &str = "script-service";
/// Zones of the instances and of the workers.
const ZONES: [&str; 6] = ["praha-a", "praha-b", "kladno-c", "praha-a", "praha-b", "kladno-c"];

/// Time within which a cancel has to be confirmed.
const ACK_TIMEOUT_MS: u64 = 4_000;

/// Runs a scenario; returns whether it could be run.
pub fn run(name: &str, trouble: bool, folder: PathBuf, history: &Arc<History>) -> bool {
    // One case replaces all instances, another one needs room on workers of many owners.
    let spares = if name == "replace" { ZONES.len() } else { 0 };
    let kinds = kinds(if name == "resend" { 24 } else { ZONES.len() });
    let cluster = Cluster::new(folder, &ZONES, spares, kinds, &[route()], Arc::clone(history));
    cluster.start(ZONES.len());
    match name {
        "resend" => resend(trouble, &cluster),
        "cancel" => cancel(trouble, &cluster),
        "spread" => spread(trouble, &cluster),
        "replace" => replace(trouble, &cluster),
        _ => return false,
    }
    let ended: Vec<&str> = cluster.ended();
    for name in ended {
        history.note(&format!("{name} has ended by itself"));
    }
    cluster.stop();
    true
}

fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns workers that reject what does not fit, in the zones of the instances.
fn kinds(count: usize) -> Vec<Kind> {
    let kind = |zone: &&str| Kind {
        service: SERVICE.to_owned(),
        zone: (*zone).to_owned(),
        cpu: 32_000,
        memory: 65_536,
        labels: vec!["a".to_owned(), format!("r-{zone}")],
    };
    ZONES.iter().cycle().take(count).map(kind).collect()
}

fn route() -> Route {
    Route { name: "timing-pass", path: PATH, service: SERVICE, priority: 2 }
}

fn job(step: Step) -> Job {
    Job { spec: "x".to_owned(), service: SERVICE.to_owned(), steps: vec![step] }
}

/// The instance that schedules is killed while workers carry out orders late, and the clients of its
/// jobs send them again at other instances.
fn resend(trouble: bool, cluster: &Cluster) {
    let mut random = Random::new(1);
    let front = &cluster.instances[4];
    let step = Step { count: 18, cpu: 14_000, memory: 64, length_ms: 6_000, ..Step::default() };
    for round in 0..6u64 {
        let names = [0, 1].map(|job| format!("{:016x}", 0xb000_0000_0000_0000 + round * 2 + job));
        let submit = |name: &String| {
            let client = cluster.submit(front, PATH, name, &job(step.clone()), 9_000);
            (name.clone(), client)
        };
        let clients = names.each_ref().map(submit);
        sleep(800);
        set_late(cluster, if trouble { 500 } else { 0 });
        sleep(2_050 + random.below(300));
        if trouble {
            cluster.history.note(&format!("kill {}", front.name));
            front.kill();
            sleep(300);
            front.launch();
        }
        sleep(1_000);
        // Those whose channel broke send the job again 1.3 s after that.
        let mut again = Vec::new();
        for ((name, client), other) in clients.into_iter().zip([0, 2]) {
            if trouble && client.join().unwrap_or(0) == 0 {
                let other = &cluster.instances[other];
                again.push(cluster.submit(other, PATH, &name, &job(step.clone()), 4_000));
            }
        }
        sleep(1_500);
        set_late(cluster, 0);
        for client in again {
            let _ = client.join();
        }
        sleep(if trouble { 1_500 } else { 3_000 });
    }
}

fn set_late(cluster: &Cluster, permille: u64) {
    if permille > 0 {
        cluster.history.note("orders are carried out late");
    }
    cluster.workers.iter().for_each(|worker| worker.set_late(permille));
}

/// An instance is cut off from the others while a client waits there for a long job. The job is
/// cancelled at another instance, which confirms it.
fn cancel(trouble: bool, cluster: &Cluster) {
    let (front, other) = (&cluster.instances[4], &cluster.instances[0]);
    let step = Step { count: 200, cpu: 14_000, memory: 64, length_ms: 300, ..Step::default() };
    let name = "c000000000000001";
    let client = cluster.submit(front, PATH, name, &job(step), 25_000);
    sleep(1_000);
    if trouble {
        cluster.cut_off(front);
    }
    sleep(800);
    cluster.cancel(other, PATH, name);
    sleep(4_600);
    if trouble {
        cluster.heal();
    }
    sleep(3_000);
    let _ = client.join();
}

/// Each instance in turn is cut off from the others for half a second, while jobs wait whose tasks
/// may not share a worker.
fn spread(trouble: bool, cluster: &Cluster) {
    let mut random = Random::new(1);
    let mut clients = Vec::new();
    for round in 0..360u64 {
        let step = Step {
            count: 24 + random.below(12),
            cpu: 3_000,
            memory: 64,
            length_ms: 100 + random.below(200),
            spread: 1,
            ..Step::default()
        };
        let instance = &cluster.instances[random.below(6) as usize];
        let name = format!("{:016x}", 0xe000_0000_0000_0000 + round);
        clients.push(cluster.submit(instance, PATH, &name, &job(step), 10_000));
        sleep(150);
        if trouble && round % 15 == 10 {
            cluster.cut_off(&cluster.instances[(round / 15) as usize % 6]);
            sleep(500);
            cluster.heal();
        }
    }
    for client in clients {
        let _ = client.join();
    }
}

/// Each instance in turn is removed for good, and a new one comes at another address. Then jobs are
/// cancelled at other instances than those at which their clients wait.
fn replace(trouble: bool, cluster: &Cluster) {
    let (old, new) = cluster.instances.split_at(ZONES.len());
    if trouble {
        for (old, new) in old.iter().zip(new) {
            cluster.history.note(&format!("{} is removed for good", old.name));
            old.kill();
            sleep(2_000);
            cluster.history.note(&format!("{} is added", new.name));
            new.launch();
            sleep(4_000);
        }
    } else {
        sleep(36_000);
    }
    let present = if trouble { new } else { old };
    // Longer than ContactMs, and than the instances take to read who is registered.
    sleep(12_000);
    let step = Step { count: 60, cpu: 14_000, memory: 64, length_ms: 300, ..Step::default() };
    let mut clients = Vec::new();
    let mut unconfirmed = 0;
    for round in 0..6usize {
        let name = format!("{:016x}", 0xf000_0000_0000_0000 + round as u64);
        let front = &present[round];
        clients.push(cluster.submit(front, PATH, &name, &job(step.clone()), 20_000));
        sleep(400);
        let asked = Instant::now();
        let mut next = round;
        // The client asks another instance first, and then the next ones until one confirms.
        let is_confirmed = loop {
            next += 1;
            let status = cluster.cancel(&present[next % present.len()], PATH, &name);
            if (200..300).contains(&status) || status == 410 {
                break true;
            }
            if asked.elapsed() >= Duration::from_millis(ACK_TIMEOUT_MS) {
                break false;
            }
        };
        unconfirmed += usize::from(!is_confirmed);
    }
    for client in clients {
        let _ = client.join();
    }
    if unconfirmed >= 3 {
        let text =
            format!("{unconfirmed} of 6 cancels have no 2xx or 410 after {ACK_TIMEOUT_MS} ms");
        cluster.history.report("ACKS", &text);
    }
}
