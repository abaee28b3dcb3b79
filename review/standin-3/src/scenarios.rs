//! The cases.

use std::{path::PathBuf, sync::Arc, thread, time::Duration};

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

/// Runs a scenario; returns whether it could be run.
pub fn run(name: &str, trouble: bool, folder: PathBuf, history: &Arc<History>) -> bool {
    let cluster = Cluster::new(folder, &ZONES, kinds(), &[route()], Arc::clone(history));
    cluster.start();
    match name {
        "cancel" => cancel(trouble, &cluster),
        "spread" => spread(trouble, &cluster),
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

/// Returns one worker for each instance, which rejects what does not fit.
fn kinds() -> Vec<Kind> {
    let kind = |zone: &&str| Kind {
        service: SERVICE.to_owned(),
        zone: (*zone).to_owned(),
        cpu: 32_000,
        memory: 65_536,
        labels: vec!["a".to_owned(), format!("r-{zone}")],
    };
    ZONES.iter().map(kind).collect()
}

fn route() -> Route {
    Route { name: "timing-pass", path: PATH, service: SERVICE, priority: 2 }
}

fn job(step: Step) -> Job {
    Job { spec: "x".to_owned(), service: SERVICE.to_owned(), steps: vec![step] }
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
    sleep(4_700);
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
