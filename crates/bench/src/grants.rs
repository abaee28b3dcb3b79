//! Cost of placing a task on workers that instances share.

use std::time::Instant;

use cranberryhatch_fleet::{
    Incarnation, ListedWorker, Need, QueuedTasks, TaskKey, WorkerPool, WorkerView,
};
use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{Accels, Cores, Count, Span, Time};

use crate::Series;

/// Number of grants per point.
const GRANTS: u32 = 20_000;
/// Cores of a task in thousandths, half of a worker.
const TASK: u32 = 16_000;
/// Share of the workers that run a task throughout, in tenths.
const BUSY: u32 = 8;
const NOW: Time = Time::from_ms(10_000);

/// Number of updates of all speeds per point.
const UPDATES: u32 = 200;
/// Run times on each class of workers in milliseconds, where 100 ms are expected.
const CLASSES: [u64; 3] = [100, 160, 270];
/// Number of runs per worker, enough to know its speed.
const RUNS: u32 = 16;

/// Measures a grant and the end of an earlier run by the number of workers.
pub(crate) fn grant_over_workers() -> Series {
    costs("grant of room to a task, and its end", |number| worker_view(number, 100))
}

/// Measures the same on workers of three classes.
pub(crate) fn grant_over_classes() -> Series {
    costs("grant on workers of three speeds, and its end", |number| {
        worker_view(number, CLASSES[number as usize % CLASSES.len()])
    })
}

/// Measures an update of the speeds of all workers.
pub(crate) fn assess_over_workers() -> Series {
    let cost = |workers: u32| {
        let mut pool: WorkerPool = (0..workers).map(|number| worker_view(number, 100)).collect();
        let begin = Instant::now();
        (0..UPDATES).for_each(|_| pool.update_speeds(NOW));
        begin.elapsed().as_secs_f64() * 1e9 / f64::from(UPDATES)
    };
    [48, 350, 1_100, 3_000].into_iter().fold(
        Series::new("look at the speeds of all workers", "workers", "ns"),
        |series, workers| series.point(f64::from(workers), cost(workers)),
    )
}

fn costs(name: &str, worker: impl Fn(u32) -> WorkerView) -> Series {
    let cost = |workers| grant_cost(workers, &worker);
    [48, 350, 1_100, 3_000]
        .into_iter()
        .fold(Series::new(name, "workers", "ns"), |series, workers| {
            series.point(f64::from(workers), cost(workers))
        })
}

fn grant_cost(workers: u32, worker: impl Fn(u32) -> WorkerView) -> f64 {
    let mut pool: WorkerPool = (0..workers).map(worker).collect();
    pool.update_speeds(NOW);
    let queued = queued();
    let mut held = std::collections::VecDeque::new();
    let mut begin = Instant::now();
    let filling = workers * BUSY / 10;
    for number in 0..filling + GRANTS {
        if number == filling {
            begin = Instant::now();
        }
        let Some(placement) = pool.best_placement(&queued, NOW) else { break };
        let (id, key) = (placement.worker.id().clone(), task(number));
        // The sizes differ a little, and so does the free capacity.
        let need = need(TASK - number % 997);
        pool.update(&id, |worker| worker.grant(key.clone(), need, NOW));
        held.push_back((id, key));
        if held.len() > filling as usize
            && let Some((id, key)) = held.pop_front()
        {
            pool.update(&id, |worker| worker.release(&key));
        }
    }
    begin.elapsed().as_secs_f64() * 1e9 / f64::from(GRANTS)
}

fn need(cores: u32) -> Need {
    Need { cores: Cores::new(cores), memory: Count::new(64), accels: Accels::new(0) }
}

fn task(task: u32) -> TaskKey {
    TaskKey { job: "00000000000000aa".to_owned(), step: 0, task }
}

fn worker_view(number: u32, took: u64) -> WorkerView {
    let listed = ListedWorker {
        id: format!("w-{number:04}").parse().expect("an id"),
        service: "svc".to_owned(),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: format!("z{}", number % 5),
        labels: vec![format!("class-{took}")],
        capacity: Need { memory: Count::new(65_536), ..need(2 * TASK) },
        draining: false,
        drained: false,
        incarnation: Incarnation::UNKNOWN,
    };
    let mut worker = WorkerView::new(listed, "e-1".parse().expect("a name"), 1);
    worker.open = true;
    for _ in 0..RUNS {
        worker.learn(How::Done, Span::from_ms(took), Span::from_ms(100), false, NOW);
    }
    worker
}

fn queued() -> QueuedTasks {
    QueuedTasks {
        front: "e-1".parse().expect("a name"),
        zone: "z0".to_owned(),
        job: "00000000000000ab".to_owned(),
        step: 0,
        tasks: vec![0],
        kind: "k".to_owned(),
        service: "svc".to_owned(),
        priority: 0,
        need: need(TASK),
        expected: Span::from_ms(100),
        latest_start: NOW,
        due: NOW + Span::from_ms(100),
        deadline: NOW + Span::from_ms(100),
        useful_start: NOW,
        label: String::new(),
        rack: String::new(),
        spread: 0,
        avoid: Vec::new(),
        begun: false,
        suspect: false,
        forecast: None,
    }
}
