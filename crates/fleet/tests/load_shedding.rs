//! Guards against callers that wait until their deadline in an overload, and against refusals of
//! jobs that could have been served.

mod common;

use common::{listed, need, queued, worker_view};
use cranberryhatch_fleet::{
    ArrivalRate, ArrivalRates, Backlog, Command, Forecast, ListedWorker, Message, Output,
    QueuedTasks, RetrySchedule, Scheduler, TaskKey, UnservableJob, WorkerList, WorkerView,
    find_unservable,
};
use cranberryhatch_schema::fleet::{Ask, Room, Rooms};
use cranberryhatch_types::{Count, Span, Time};

struct Case {
    name: &'static str,
    queued: Vec<QueuedTasks>,
    workers: Vec<WorkerView>,
    /// Capacity requested by jobs of priority 0, in thousandths of a core.
    urgent: f64,
    now: u64,
    refused: &'static [&'static str],
}

/// Creates idle workers of 32 cores with two slots each.
fn idle(count: usize) -> Vec<WorkerView> {
    (0..count).map(|number| worker_view(&format!("w-{number}"), "a", 32_000)).collect()
}

/// Creates workers of 32 cores with two running tasks that have `left` ms left.
fn busy(count: usize, left: u64) -> Vec<WorkerView> {
    running(count, &[(14_000, left), (14_000, left)])
}

/// Creates workers of 32 cores whose running tasks have these cores and ms left.
fn running(count: usize, runs: &[(u32, u64)]) -> Vec<WorkerView> {
    let run = |mut worker: WorkerView| {
        for (task, (cores, left)) in (0..).zip(runs) {
            let key = TaskKey { job: "other".to_owned(), step: 0, task };
            worker.grant(key.clone(), need(*cores), Time::ZERO);
            worker.expect_end(&key, Span::from_ms(*left), Span::from_ms(100), Time::ZERO);
        }
        worker
    };
    idle(count).into_iter().map(run).collect()
}

/// Creates a job of one task that has to start within 150 ms.
fn single(cores: u32) -> Vec<QueuedTasks> {
    vec![QueuedTasks { need: need(cores), tasks: vec![0], ..queued("a", 75, 150) }]
}

fn labelled(job: &str, label: &str) -> QueuedTasks {
    QueuedTasks { label: label.to_owned(), ..queued(job, 75, 150) }
}

fn refused(
    queued: Vec<QueuedTasks>,
    workers: &[WorkerView],
    urgent: f64,
    now: u64,
) -> Vec<UnservableJob> {
    let mut backlog = Backlog::default();
    for queued in queued {
        backlog.add(queued, Time::ZERO);
    }
    let now = Time::from_ms(now);
    let forecast = Forecast::new(backlog.iter(), workers.iter(), now);
    let arrivals = [(0, ArrivalRate { cores: urgent / 100.0, work: urgent })];
    let arriving = ArrivalRates { rates: &arrivals, reliable: true };
    find_unservable(
        &mut backlog,
        "svc",
        forecast,
        arriving,
        |_| 100.0,
        &mut RetrySchedule::default(),
        now,
    )
}

/// Creates jobs of two tasks of 14 cores and 100 ms each, so 2,800 core-milliseconds.
fn jobs(count: usize, useful_start: u64) -> Vec<QueuedTasks> {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    names.iter().take(count).map(|name| queued(name, useful_start / 2, useful_start)).collect()
}

#[test]
fn late_job_runs_if_capacity_is_available_at_once() {
    // Guards against refusals on idle workers, as after a start of all instances, while the caller
    // still waits.
    let late = |limit| QueuedTasks { deadline: Time::from_ms(limit), ..queued("a", 50, 100) };
    for (name, limit, expected) in [("time is left", 400, 0), ("the caller leaves earlier", 250, 1)]
    {
        let found = refused(vec![late(limit)], &idle(1), 0.0, 200);
        assert_eq!(found.len(), expected, "{name}: {found:?}");
    }
}

#[test]
fn jobs_of_many_sizes_are_not_refused_while_capacity_is_free() {
    // Guards against refusals of sizes for which the forecast has no curve of its own. Jobs of one
    // kind declare memory that differs from job to job.
    let queued = (0..40u32).map(|number| {
        let mut need = need(13_000 + 50 * number);
        need.memory = Count::new(1 << (number % 12));
        let name = format!("job-{number}");
        QueuedTasks { need, ..queued(&name, 500, 1_000) }
    });
    let found = refused(queued.collect(), &idle(40), 0.0, 0);
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn a_job_is_refused_when_the_work_ahead_leaves_no_useful_start() {
    let cases = [
        Case {
            name: "nothing waits",
            queued: vec![],
            workers: idle(1),
            urgent: 0.0,
            now: 0,
            refused: &[],
        },
        Case {
            name: "two jobs on one worker: the second waits 100 ms of its 150",
            queued: jobs(2, 150),
            workers: idle(1),
            urgent: 0.0,
            now: 0,
            refused: &[],
        },
        Case {
            name: "five jobs on one worker: from the third on, they wait 200 ms of 150",
            queued: jobs(5, 150),
            workers: idle(1),
            urgent: 0.0,
            now: 0,
            refused: &["c", "d", "e"],
        },
        Case {
            name: "five jobs on four workers",
            queued: jobs(5, 150),
            workers: idle(4),
            urgent: 0.0,
            now: 0,
            refused: &[],
        },
        Case {
            name: "no worker at all",
            queued: jobs(1, 150),
            workers: vec![],
            urgent: 0.0,
            now: 0,
            refused: &[],
        },
        Case {
            name: "no worker at all: all jobs after the first",
            queued: jobs(3, 150),
            workers: vec![],
            urgent: 0.0,
            now: 0,
            refused: &["b", "c"],
        },
        Case {
            name: "the last useful start has passed",
            queued: jobs(1, 150),
            workers: idle(1),
            urgent: 0.0,
            now: 151,
            refused: &["a"],
        },
        Case {
            name: "a job that has started is never refused",
            queued: vec![QueuedTasks { begun: true, ..queued("a", 10, 20) }],
            workers: idle(1),
            urgent: 0.0,
            now: 100,
            refused: &[],
        },
        Case {
            name: "the running tasks end in time",
            queued: jobs(1, 150),
            workers: busy(1, 120),
            urgent: 0.0,
            now: 0,
            refused: &[],
        },
        Case {
            name: "the running tasks end too late",
            queued: jobs(1, 150),
            workers: busy(1, 180),
            urgent: 0.0,
            now: 0,
            refused: &["a"],
        },
        Case {
            name: "the first task has a useful start, the last one has none",
            queued: vec![QueuedTasks { tasks: vec![0, 1, 2, 3, 4], ..queued("a", 75, 150) }],
            workers: idle(1),
            urgent: 0.0,
            now: 0,
            refused: &["a"],
        },
        Case {
            name: "urgent arrivals take all capacity that becomes free",
            queued: jobs(1, 150),
            workers: busy(1, 50),
            urgent: 56_000.0,
            now: 0,
            refused: &["a"],
        },
        Case {
            name: "urgent arrivals leave half of the capacity",
            queued: jobs(1, 300),
            workers: busy(2, 50),
            urgent: 28_000.0,
            now: 0,
            refused: &[],
        },
        Case {
            name: "32 cores have one slot of 20 cores, not 1.6",
            queued: vec![
                QueuedTasks { need: need(20_000), ..queued("a", 75, 150) },
                QueuedTasks { need: need(20_000), ..queued("b", 76, 250) },
            ],
            workers: idle(1),
            urgent: 0.0,
            now: 0,
            refused: &["b"],
        },
        Case {
            name: "two tasks of 15 cores on each of two workers make room for a task of 18",
            queued: single(18_000),
            workers: running(2, &[(15_000, 50), (15_000, 180)]),
            urgent: 0.0,
            now: 0,
            refused: &[],
        },
        Case {
            name: "a task of 28 cores starts when four of 7 on the same worker have ended",
            queued: single(28_000),
            workers: running(2, &[(7_000, 50), (7_000, 50), (7_000, 180), (7_000, 180)]),
            urgent: 0.0,
            now: 0,
            refused: &["a"],
        },
        Case {
            name: "only workers with the label count",
            queued: vec![labelled("a", "rack-b"), labelled("b", "rack-b"), labelled("c", "rack-b")],
            workers: vec![worker_view("w", "b", 32_000), worker_view("v", "a", 64_000)],
            urgent: 0.0,
            now: 0,
            refused: &["c"],
        },
    ];
    for Case { name, queued, workers, urgent, now, refused: expected } in cases {
        let found = refused(queued, &workers, urgent, now);
        let names: Vec<&str> = found.iter().map(|job| job.job.as_str()).collect();
        assert_eq!(names, expected, "{name}");
        for job in &found {
            let capacity_at = job.start.unwrap_or(Span::from_secs(2));
            assert!(job.retry >= capacity_at, "{name}: the retry comes before there is capacity");
        }
    }
}

/// All instances have just restarted, and callers have sent five times what the workers can run
/// before the deadlines.
fn check_restart_under_overload(late: bool) {
    let front = "e-1".parse().expect("a name");
    let mut listing = WorkerList::default();
    let listed = vec![listed("w-1", "a", 32_000), listed("w-2", "b", 32_000)];
    listing.replace(listed, Time::ZERO);
    let mut scheduler = Scheduler::default();
    let mut refused_after = |reported: &[&str], ms: u64| {
        let now = Time::from_ms(ms);
        let room = |id: &&str| Room {
            worker: (*id).into(),
            token: 1,
            held: vec![],
            open: true,
            ..Room::default()
        };
        let rooms = reported.iter().map(room).collect();
        scheduler.update_workers(
            &front,
            Rooms { rooms, kinds: Vec::new(), lost: Vec::new() },
            &listing,
            now,
        );
        if ms == 0 {
            for job in 0..100 {
                let ask = Ask {
                    job: format!("{job:016x}"),
                    tasks: vec![0, 1],
                    service: "svc".into(),
                    need: Some((&need(14_000)).into()),
                    declared_ms: 100,
                    left_ms: 2_000,
                    stretch: 1_600,
                    slack_ms: 60,
                    ..Ask::default()
                };
                scheduler.enqueue(&front, ask, now);
            }
        }
        let mut out = Output::default();
        scheduler.schedule(now, true, &mut out);
        let refusal = |command: &&Command| {
            matches!(command, Command::Send { message: Message::Refusal(_), .. })
        };
        out.commands.iter().filter(refusal).count()
    };
    assert_eq!(refused_after(&["w-1"], 0), 0, "other owners may still report");
    assert_eq!(refused_after(&["w-1"], 300), 0, "other owners may still report");
    if late {
        assert!(refused_after(&["w-1"], 500) >= 60, "the report timeout has passed");
    } else {
        assert!(refused_after(&["w-1", "w-2"], 310) >= 60, "all workers are reported");
    }
}

#[test]
fn new_scheduler_refuses_unservable_jobs_after_the_report_timeout() {
    // Guards against callers that wait for a second after an election and are then refused, and
    // against refusals before the owners have reported their workers.
    check_restart_under_overload(true);
}

#[test]
fn new_scheduler_refuses_at_once_if_all_workers_are_reported() {
    check_restart_under_overload(false);
}

#[test]
fn no_job_is_refused_while_a_suitable_worker_has_capacity() {
    // Guards against refusals by wrong forecasts while capacity is free.
    for seed in 1..=200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let front = "e-1".parse().expect("a name");
        let workers = (0..rng.usize(1..12)).map(|number| {
            let zone = ["a", "b"][number % 2];
            let mut worker = listed(&format!("w-{number}"), zone, 16_000 * rng.u32(1..4));
            worker.draining = rng.u8(0..6) == 0;
            worker
        });
        let workers: Vec<_> = workers.collect();
        let mut free: Vec<u32> = workers.iter().map(|worker| worker.capacity.cores.get()).collect();
        let mut listing = WorkerList::default();
        listing.replace(workers.clone(), Time::ZERO);
        let mut scheduler = Scheduler::default();
        let room = |id: String| Room { worker: id, token: 1, open: true, ..Room::default() };
        let rooms = workers.iter().map(|worker| room(worker.id.to_string())).collect();
        scheduler.update_workers(
            &front,
            Rooms { rooms, kinds: Vec::new(), lost: Vec::new() },
            &listing,
            Time::ZERO,
        );
        let mut asked = Vec::new();
        let mut now = 0;
        for step in 0..60 {
            now += rng.u64(0..40);
            for job in 0..rng.u32(0..5) {
                let cores = 1_000 * rng.u32(1..40);
                let label = ["", "", "rack-a", "rack-b"][rng.usize(0..4)];
                let ask = Ask {
                    job: format!("{step}-{job}"),
                    tasks: (0..rng.u32(1..6)).collect(),
                    priority: rng.u32(0..3),
                    service: "svc".into(),
                    need: Some((&need(cores)).into()),
                    declared_ms: rng.u32(1..1_000),
                    left_ms: rng.u32(1..3_000),
                    label: label.into(),
                    stretch: 1_600,
                    slack_ms: 60,
                    ..Ask::default()
                };
                asked.push((ask.job.clone(), cores, label));
                scheduler.enqueue(&front, ask, Time::from_ms(now));
            }
            let mut out = Output::default();
            scheduler.schedule(Time::from_ms(now), rng.bool(), &mut out);
            let cores_of = |job: &str| asked.iter().find(|(name, ..)| name == job).expect("asked");
            for command in &out.commands {
                let Command::Send { message, .. } = command else { continue };
                if let Message::Grant(grant) = message {
                    for place in &grant.places {
                        let same = |id: &&ListedWorker| id.id.as_str() == place.worker;
                        let worker = workers.iter().position(|id| same(&id)).expect("a worker");
                        free[worker] -= cores_of(&grant.job).1;
                    }
                }
            }
            for command in &out.commands {
                let Command::Send { message: Message::Refusal(refusal), .. } = command else {
                    continue;
                };
                let (_, cores, label) = cores_of(&refusal.job);
                let has_room = |(worker, free): (&ListedWorker, &u32)| {
                    !worker.draining && worker.has_label(label) && free >= cores
                };
                let idle =
                    workers.iter().zip(&free).find(|(worker, free)| has_room((worker, free)));
                assert!(idle.is_none(), "seed {seed}, {now} ms: {refusal:?} with {idle:?}");
            }
        }
    }
}
