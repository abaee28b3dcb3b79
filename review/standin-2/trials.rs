//! The trials.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    edge::{Edge, Net, SIGCONT, SIGSTOP, STORE_HOST, STORE_PORT, Spec, wait_until_ready},
    json::{Json, map, num, text},
    net::{Mode, call},
    platform::{Store, Worker},
    record::Record,
};

const ZONES: [&str; 3] = ["praha-a", "praha-b", "kladno-c"];
/// The platform's bounds.
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP_TIMEOUT: Duration = Duration::from_millis(50);
const GRACE: f64 = 6.0;
/// Share of the orders that are carried out late, in percent.
const LATE_PERCENT: u64 = 50;
const ACK_TIMEOUT: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Length of the cut of a machine; the site files have 12 s.
const CUT: Duration = Duration::from_millis(11_500);

/// A platform with workers, and instances.
struct Bed {
    net: Net,
    record: Arc<Record>,
    store: Arc<Store>,
    edges: Vec<Edge>,
    answers: Answers,
    workers: Vec<Arc<Worker>>,
}

/// Statuses and bodies of the answers to submissions, by job.
type Answers = Arc<Mutex<BTreeMap<String, (u16, String)>>>;

impl Bed {
    /// Starts two instances and `workers` workers in each of three zones. The first instance has
    /// the largest processor, so that it schedules.
    fn start(record: &Arc<Record>, workers: u8, forwarded: &[usize]) -> Result<Self, String> {
        let net = Net::new();
        let store = Arc::new(Store::default());
        store.start(net.addr(STORE_HOST, STORE_PORT));
        put_config(&store, 7, &["/lohu930/"]);
        let mut all = Vec::new();
        for number in 0..3 * workers {
            let zone = ZONES[usize::from(number % 3)];
            let (id, rack) = (format!("w{number:02}"), format!("r{}-1", number % 3 + 1));
            let addr = net.addr(100 + number, 8_000);
            all.push(Worker::start(&id, zone, &rack, addr, &store, record));
        }
        let mut bed = Self {
            net,
            record: Arc::clone(record),
            store,
            edges: Vec::new(),
            answers: Arc::default(),
            workers: all,
        };
        for number in 0..6 {
            let spec = bed_spec(number, forwarded);
            bed.edges.push(Edge::start(&bed.net, &spec, &[1, 2, 3], GRACE));
        }
        if !wait_until_ready(&bed.edges, record) {
            return Err("the instances did not become ready".to_owned());
        }
        Ok(bed)
    }

    /// Submits a job of several steps, one task each, and returns the thread that waits for its
    /// answer.
    fn submit(&self, edge: usize, job: &str, steps: u64, ms: u64) -> JoinHandle<()> {
        let step = |number: u64| {
            let mut fields = vec![
                ("Count", num(1)),
                ("Cpu", num(14_000)),
                ("MemMb", num(64)),
                ("EstimateMs", num(ms)),
            ];
            if number > 0 {
                fields.push(("After", Json::List(vec![num(number - 1)])));
            }
            map(fields)
        };
        self.submit_steps(edge, job, (0..steps).map(step).collect(), ms)
    }

    fn submit_steps(&self, edge: usize, job: &str, steps: Vec<Json>, ms: u64) -> JoinHandle<()> {
        let body = map(vec![
            ("Spec", text(&format!("{ms} {job}"))),
            ("Preemptible", Json::Bool(true)),
            ("Steps", Json::List(steps)),
        ]);
        let (addr, name) = (self.edges[edge].callers(), self.edges[edge].name.clone());
        let (record, answers, job) =
            (Arc::clone(&self.record), Arc::clone(&self.answers), job.to_owned());
        thread::spawn(move || {
            record.add("submit", &format!("{job} to {name}"));
            let headers = [
                ("host", "nony24.example".to_owned()),
                ("deadline-ms", "30000".to_owned()),
                ("content-type", "application/json".to_owned()),
            ];
            let path = format!("/lohu930/{job}");
            let timeout = Duration::from_secs(30);
            let answer = call(addr, "POST", &path, &headers, &body.write(), timeout);
            record.add("answer", &format!("{job} from {name}: {answer:?}"));
            if let Ok(answer) = answer {
                answers.lock().expect("answers").insert(job, answer);
            }
        })
    }

    /// Submits a job of one step and returns the thread that waits for its answer.
    fn submit_wide(&self, edge: usize, job: &str, tasks: u64, ms: u64) -> JoinHandle<()> {
        let step = map(vec![
            ("Count", num(tasks)),
            ("Cpu", num(14_000)),
            ("MemMb", num(64)),
            ("EstimateMs", num(ms)),
        ]);
        self.submit_steps(edge, job, vec![step], ms)
    }

    /// Cancels a job and returns when that was acknowledged, if it was.
    fn cancel(&self, edge: usize, job: &str) -> Option<Duration> {
        let name = &self.edges[edge].name;
        self.record.add("cancel", &format!("{job} at {name}"));
        let headers = [("host", "nony24.example".to_owned())];
        let path = format!("/lohu930/{job}");
        let addr = self.edges[edge].callers();
        let answer = call(addr, "DELETE", &path, &headers, "", Duration::from_secs(2));
        self.record.add("canceled", &format!("{job} at {name}: {answer:?}"));
        let (status, _) = answer.ok()?;
        (status == 410 || (200..300).contains(&status)).then(|| self.record.now())
    }
}

/// Returns the settings of an instance of a bed.
fn bed_spec(number: usize, forwarded: &[usize]) -> Spec {
    Spec {
        name: format!("edge-{}-{}", ZONES[number % 3], number / 3 + 1),
        zone: ZONES[number % 3],
        host: u8::try_from(number + 1).expect("small"),
        share: if number == 0 { 0.5 } else { 0.25 },
        forwarded: forwarded.contains(&number),
    }
}

/// Writes a version of the config with these routes.
fn put_config(store: &Store, version: u64, prefixes: &[&str]) {
    let route = |prefix: &&str| {
        map(vec![
            ("Name", text(&format!("r-{}", prefix.trim_matches('/')))),
            ("Host", text("nony24.example")),
            ("PathPrefix", text(prefix)),
            ("Service", text("script-service")),
            ("TimeoutMs", num(40_000)),
            ("TargetLatencyMs", num(60)),
            ("Priority", num(1)),
            ("MaxAttempts", num(3)),
            ("Stretch", num(2)),
        ])
    };
    let service =
        map(vec![("Name", text("script-service")), ("EnforcesCapacity", Json::Bool(true))]);
    let config = map(vec![
        ("Version", num(version)),
        ("Routes", Json::List(prefixes.iter().map(route).collect())),
        ("Services", Json::List(vec![service])),
    ]);
    store.put("op", "config", &config);
}

impl Drop for Bed {
    fn drop(&mut self) {
        // Ends the processes first.
        self.edges.clear();
        let _ = std::fs::remove_dir_all(&self.net.folder);
    }
}

fn job_id(number: usize) -> String {
    format!("{:016x}", 0x5c0e_7a21_d94b_0000_u64 + number as u64)
}

fn sleep_until(record: &Record, at: Duration) {
    thread::sleep(at.saturating_sub(record.now()));
}

/// Jobs are cancelled right after the instance that schedules has frozen. Their tasks have to be gone
/// after a calm stretch of `cancel_ms` + `StopTimeoutMs`.
pub fn cancel_freeze(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let bed = Bed::start(record, 5, &[])?;
    // All but the instance that freezes take jobs and cancels.
    let jobs: Vec<(String, usize, usize)> =
        (0..12).map(|n| (job_id(n), 1 + n % 5, 1 + (n + 1 + n / 5) % 5)).collect();
    let waiting: Vec<_> =
        jobs.iter().map(|(job, front, _)| bed.submit(*front, job, 1, 18_000)).collect();
    thread::sleep(Duration::from_millis(1_500));
    if record.runs().len() != jobs.len() {
        return Err("not all jobs run".to_owned());
    }
    if trouble {
        record.add("freeze", &bed.edges[0].name);
        bed.edges[0].signal(SIGSTOP);
        thread::sleep(Duration::from_millis(50));
    }
    let mut canceled = Vec::new();
    for (job, front, at) in &jobs {
        if front == at {
            return Err("cancel at the front of the job".to_owned());
        }
        canceled.push((job.clone(), bed.cancel(*at, job)));
    }
    thread::sleep(Duration::from_millis(2_000));
    if trouble {
        bed.edges[0].signal(SIGCONT);
        record.add("wake", &bed.edges[0].name);
    }
    let woken = record.now();
    // Calm from `ContactMs` after the disruption.
    let due = woken + CONTACT + CANCEL + STOP_TIMEOUT;
    sleep_until(record, due + Duration::from_millis(500));
    let mut broken = Vec::new();
    for (job, acknowledged) in canceled {
        let Some(acknowledged) = acknowledged else { continue };
        let is_late = |run: &crate::record::Seen| {
            run.task.starts_with(&job) && run.until.is_none_or(|until| until > due)
        };
        for run in record.runs().into_iter().filter(is_late) {
            broken.push(format!(
                "{} still runs on {} at {:.2} s, cancelled at {:.2} s",
                run.task,
                run.worker,
                due.as_secs_f64(),
                acknowledged.as_secs_f64()
            ));
        }
    }
    for edge in &bed.edges {
        record.add("log", &format!("{}: {}", edge.name, edge.scheduler()));
    }
    drop(bed);
    for waiting in waiting {
        let _ = waiting.join();
    }
    Ok(broken)
}

/// Jobs are cancelled at an instance that is partitioned from all others. Their tasks must not be
/// started later than `cancel_ms` after that.
pub fn cancel_cut(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    // The first by name opens no links, so a forwarder before it cuts all.
    let cut = 2;
    let bed = Bed::start(record, 5, &[cut])?;
    let forwarder = bed.edges[cut].forwarder.clone().ok_or("no forwarder")?;
    let jobs: Vec<(String, usize)> = (0..6).map(|n| (job_id(n), [0, 1, 3, 4, 5][n % 5])).collect();
    let waiting: Vec<_> =
        jobs.iter().map(|(job, front)| bed.submit(*front, job, 30, 700)).collect();
    thread::sleep(Duration::from_millis(500));
    let from = record.now();
    if trouble {
        record.add("cut", &bed.edges[cut].name);
        forwarder.set(Mode::Silent);
        thread::sleep(Duration::from_millis(1_000));
    }
    let mut canceled = Vec::new();
    for (job, _) in &jobs {
        canceled.push((job.clone(), bed.cancel(cut, job)));
    }
    sleep_until(record, from + CUT);
    if trouble {
        forwarder.set(Mode::Pass);
        record.add("heal", &bed.edges[cut].name);
    }
    sleep_until(record, from + CUT + CONTACT);
    let mut broken = Vec::new();
    for (job, acknowledged) in canceled {
        let Some(acknowledged) = acknowledged else { continue };
        let is_late = |run: &crate::record::Seen| {
            run.task.starts_with(&job) && run.from > acknowledged + CANCEL
        };
        for run in record.runs().into_iter().filter(is_late) {
            broken.push(format!(
                "{} started on {} at {:.2} s, cancelled at {:.2} s",
                run.task,
                run.worker,
                run.from.as_secs_f64(),
                acknowledged.as_secs_f64()
            ));
        }
    }
    drop(bed);
    for waiting in waiting {
        let _ = waiting.join();
    }
    Ok(broken)
}

/// Jobs are cancelled while their front is partitioned from all other instances. Once it is back,
/// their tasks have to be gone after a calm stretch of `cancel_ms` + `StopTimeoutMs`.
pub fn cancel_return(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let cut = 2;
    let bed = Bed::start(record, 5, &[cut])?;
    let forwarder = bed.edges[cut].forwarder.clone().ok_or("no forwarder")?;
    let jobs: Vec<String> = (0..4).map(job_id).collect();
    let waiting: Vec<_> = jobs.iter().map(|job| bed.submit(cut, job, 1, 22_000)).collect();
    thread::sleep(Duration::from_millis(1_000));
    let from = record.now();
    if trouble {
        record.add("cut", &bed.edges[cut].name);
        forwarder.set(Mode::Silent);
        thread::sleep(Duration::from_millis(2_000));
    }
    let canceled: Vec<_> = jobs
        .iter()
        .enumerate()
        .map(|(n, job)| (job.clone(), bed.cancel([0, 1, 3, 4][n], job)))
        .collect();
    sleep_until(record, from + Duration::from_millis(5_500));
    if trouble {
        forwarder.set(Mode::Pass);
        record.add("heal", &bed.edges[cut].name);
    }
    let due = record.now() + CONTACT + CANCEL + STOP_TIMEOUT;
    sleep_until(record, due + Duration::from_millis(1_000));
    let mut broken = Vec::new();
    for (job, acknowledged) in canceled {
        let Some(acknowledged) = acknowledged else { continue };
        let is_late = |run: &crate::record::Seen| {
            run.task.starts_with(&job) && run.until.is_none_or(|until| until > due)
        };
        for run in record.runs().into_iter().filter(is_late) {
            broken.push(format!(
                "{} still runs on {} at {:.2} s, cancelled at {:.2} s",
                run.task,
                run.worker,
                due.as_secs_f64(),
                acknowledged.as_secs_f64()
            ));
        }
    }
    drop(bed);
    for waiting in waiting {
        let _ = waiting.join();
    }
    Ok(broken)
}

/// Jobs are cancelled at their own fronts after a config has removed their route. Their tasks must not
/// be started later than `cancel_ms` after the cancel was acknowledged or has waited `AckTimeoutMs`.
pub fn cancel_route(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let bed = Bed::start(record, 5, &[])?;
    put_config(&bed.store, 8, &["/lohu930/", "/pufi791/"]);
    thread::sleep(Duration::from_millis(1_000));
    let jobs: Vec<(String, usize)> = (0..6).map(|n| (job_id(n), n)).collect();
    let waiting: Vec<_> =
        jobs.iter().map(|(job, front)| bed.submit(*front, job, 30, 700)).collect();
    thread::sleep(Duration::from_millis(1_000));
    let routes: &[&str] =
        if trouble { &["/pufi791/"] } else { &["/lohu930/", "/pufi791/", "/pule252/"] };
    put_config(&bed.store, 11, routes);
    record.add("config", &format!("version 11 with {routes:?}"));
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    let first = record.now();
    // When each cancel counts: once acknowledged, or after it has waited long enough.
    let mut counts: Vec<Option<Duration>> = vec![None; jobs.len()];
    while counts.iter().any(Option::is_none) && record.now() < first + ACK_TIMEOUT {
        for (place, (job, front)) in jobs.iter().enumerate() {
            if counts[place].is_none() {
                counts[place] = bed.cancel(*front, job);
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    sleep_until(record, first + ACK_TIMEOUT + CANCEL + Duration::from_millis(3_000));
    let mut broken = Vec::new();
    for ((job, _), acknowledged) in jobs.iter().zip(counts) {
        let from = acknowledged.unwrap_or(first + ACK_TIMEOUT) + CANCEL;
        let is_late = |run: &crate::record::Seen| run.task.starts_with(job) && run.from > from;
        for run in record.runs().into_iter().filter(is_late) {
            broken.push(format!(
                "{} started on {} at {:.2} s, cancelled from {:.2} s, acknowledged: {}",
                run.task,
                run.worker,
                run.from.as_secs_f64(),
                first.as_secs_f64(),
                acknowledged.is_some()
            ));
        }
    }
    drop(bed);
    for waiting in waiting {
        let _ = waiting.join();
    }
    Ok(broken)
}

/// Workers leave half of the orders without answer and carry them out 2 s later, and the time of
/// their leases counts from their arrival. No task may run twice at a time.
pub fn late_leases(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let bed = Bed::start(record, 10, &[])?;
    let mut waiting = Vec::new();
    for round in 0..4 {
        if trouble {
            bed.workers.iter().for_each(|worker| worker.set_late(LATE_PERCENT));
            record.add("late", &format!("{LATE_PERCENT} % of the orders"));
        }
        thread::sleep(Duration::from_millis(200));
        waiting.push(bed.submit_wide(1 + round, &job_id(round), 30, 5_000));
        thread::sleep(Duration::from_millis(5_000));
        bed.workers.iter().for_each(|worker| worker.set_late(0));
        record.add("late", "ended");
        // The job ends.
        thread::sleep(Duration::from_millis(10_000));
    }
    let broken = overlaps(record);
    drop(bed);
    for waiting in waiting {
        let _ = waiting.join();
    }
    Ok(broken)
}

/// Returns the pairs of runs of one task that were at work at the same time on two workers.
fn overlaps(record: &Record) -> Vec<String> {
    let runs = record.runs();
    let mut found = Vec::new();
    for (place, a) in runs.iter().enumerate() {
        for b in &runs[place + 1..] {
            let from = a.from.max(b.from);
            let until = a.until.unwrap_or(Duration::MAX).min(b.until.unwrap_or(Duration::MAX));
            // Ends are seen up to some milliseconds late.
            if a.task == b.task && a.worker != b.worker && until > from + Duration::from_millis(20)
            {
                found.push(format!(
                    "{} on {} and {} at {:.3} s for {:.3} s",
                    a.task,
                    a.worker,
                    b.worker,
                    from.as_secs_f64(),
                    (until - from).as_secs_f64()
                ));
            }
        }
    }
    found
}
