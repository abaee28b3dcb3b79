//! Builders of test data.

#![allow(dead_code, reason = "each test file uses a part")]

use cranberryhatch_fleet::{
    Incarnation, KindSettings, ListedWorker, Need, QueuedTasks, WorkerView,
};
use cranberryhatch_types::{Accels, Cores, Count, Span, Time};

/// Returns resources with these thousandths of a core, and memory that is never the limit.
pub fn need(cores: u32) -> Need {
    Need { cores: Cores::new(cores), memory: Count::new(64), accels: Accels::new(0) }
}

/// Returns the settings of the kind of job `k`.
pub fn kind_settings() -> KindSettings {
    KindSettings {
        kind: "k".to_owned(),
        service: "svc".to_owned(),
        priority: 0,
        attempts: 2,
        stretch: 1_600,
        slack: Span::from_ms(60),
        timeout: Span::from_ms(1_500),
    }
}

/// Returns two queued tasks of 14 cores and 100 ms; the latest starts are in milliseconds.
pub fn queued(job: &str, latest_start: u64, useful_start: u64) -> QueuedTasks {
    QueuedTasks {
        front: "e-1".parse().expect("a name"),
        zone: "a".to_owned(),
        job: job.to_owned(),
        step: 0,
        tasks: vec![0, 1],
        kind: "k".to_owned(),
        service: "svc".to_owned(),
        priority: 1,
        need: need(14_000),
        expected: Span::from_ms(100),
        latest_start: Time::from_ms(latest_start),
        due: Time::from_ms(latest_start + 100),
        deadline: Time::from_ms(useful_start + 100),
        useful_start: Time::from_ms(useful_start),
        label: String::new(),
        rack: String::new(),
        spread: 0,
        avoid: Vec::new(),
        begun: false,
        suspect: false,
        forecast: None,
    }
}

/// Returns the work of queued tasks.
pub fn work(queued: &QueuedTasks) -> u64 {
    queued.work()
}

/// Returns a listed worker.
pub fn listed(id: &str, zone: &str, cores: u32) -> ListedWorker {
    let mut capacity = need(cores);
    capacity.memory = Count::new(65_536);
    ListedWorker {
        id: id.parse().expect("an id"),
        service: "svc".to_owned(),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: zone.to_owned(),
        labels: vec!["a".to_owned(), format!("rack-{zone}")],
        capacity,
        draining: false,
        drained: false,
        incarnation: Incarnation::UNKNOWN,
    }
}

/// Returns the view of an open worker.
pub fn worker_view(id: &str, zone: &str, cores: u32) -> WorkerView {
    let mut worker = WorkerView::new(listed(id, zone, cores), "e-1".parse().expect("a name"), 1);
    worker.open = true;
    worker
}
