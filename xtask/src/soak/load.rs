//! Callers of a long run: steady arrivals that do not wait for answers.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use cranberryhatch_standin::{check::Reply, unix_ms};
use smol::{Executor, Task, Timer};

use crate::{Caller, Job, Target};

/// Longest wait in one request, in milliseconds.
const WAIT_MS: u64 = 20_000;
/// Deadline of jobs, in milliseconds.
const DEADLINE_MS: u64 = 15_000;
/// Shortest and longest time before a caller tries again, in milliseconds.
const BACK_MS: std::ops::Range<u64> = 100..600;
/// Cores that no worker has, in thousandths.
const TOO_MANY_CORES: u64 = 1_000_000;
/// Jobs of a burst.
const BURST: usize = 40;
/// Label of jobs that are cancelled together.
const LABEL: &str = "wave";

/// What is special about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Twist {
    /// Nothing.
    Plain,
    /// It is submitted again elsewhere while it runs.
    Resubmitted,
    /// It has a label and is cancelled.
    Labelled,
    /// It fits no worker.
    NeverFits,
    /// Its key is used again for another body while it runs.
    KeyReused,
    /// It declares another run time than it has.
    Misdeclared,
}

/// Callers of a long run.
pub struct Load {
    caller: Caller,
    targets: Vec<Target>,
    executor: Arc<Executor<'static>>,
    seed: u64,
    tasks: Mutex<Vec<Task<()>>>,
    given_up: AtomicBool,
}

impl Load {
    /// Callers that have sent nothing yet.
    #[must_use]
    pub fn new(
        caller: Caller,
        targets: Vec<Target>,
        executor: Arc<Executor<'static>>,
        seed: u64,
    ) -> Arc<Self> {
        Arc::new(Self {
            caller,
            targets,
            executor,
            seed,
            tasks: Mutex::default(),
            given_up: AtomicBool::new(false),
        })
    }

    fn target(&self, rng: &mut fastrand::Rng) -> Target {
        self.targets[rng.usize(0..self.targets.len())].clone()
    }

    /// Sends jobs at a rate until `end`, whether or not earlier ones were answered.
    pub async fn arrive(self: Arc<Self>, rate: u32, end: Instant) {
        let gap = Duration::from_secs(1) / rate.max(1);
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let mut next = Instant::now();
        while next < end {
            Timer::at(next).await;
            self.launch(Twist::Plain, rng.fork());
            // Uniform gaps of the right mean are irregular enough.
            next += gap.mul_f64(rng.f64() * 2.0);
        }
    }

    /// Sends a burst of jobs of one kind; `number` tells bursts apart.
    pub fn burst(self: &Arc<Self>, twist: Twist, number: usize) {
        // Bursts draw from a sequence of their own, however they fall between the arrivals.
        let mut rng = fastrand::Rng::with_seed(self.seed ^ ((number as u64 + 1) << 32));
        for _ in 0..BURST {
            self.launch(twist, rng.fork());
        }
    }

    /// Sends malformed requests to all instances.
    pub fn bad_input(self: &Arc<Self>, number: usize) {
        for index in 0..BURST {
            let load = Arc::clone(self);
            self.keep(self.executor.spawn(async move {
                let to = &load.targets[index % load.targets.len()];
                load.caller.bad_input(to, number + index).await;
            }));
        }
    }

    /// Cancels the labelled jobs.
    pub fn cancel_wave(self: &Arc<Self>) {
        for index in 0..self.targets.len() {
            let load = Arc::clone(self);
            self.keep(self.executor.spawn(async move {
                load.caller.cancel_label(&load.targets[index], LABEL).await;
            }));
        }
    }

    fn launch(self: &Arc<Self>, twist: Twist, rng: fastrand::Rng) {
        let load = Arc::clone(self);
        self.keep(self.executor.spawn(async move { load.one(twist, rng).await }));
    }

    fn keep(&self, task: Task<()>) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// Waits until every job has a final answer or the time is over.
    pub async fn finish(&self, limit: Duration) {
        let end = Instant::now() + limit;
        loop {
            let open = {
                let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
                tasks.retain(|task| !task.is_finished());
                tasks.len()
            };
            if open == 0 {
                return;
            }
            if Instant::now() > end {
                self.given_up.store(true, Ordering::Relaxed);
                return;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
    }

    async fn one(&self, twist: Twist, mut rng: fastrand::Rng) {
        let (mut job, own) = draw_job(&mut rng);
        match twist {
            Twist::NeverFits => job.cores = TOO_MANY_CORES,
            Twist::Misdeclared => job.declared = if own { 10 } else { 1_000 },
            Twist::Labelled => job.label = Some(LABEL.to_owned()),
            Twist::Plain | Twist::Resubmitted | Twist::KeyReused => {}
        }
        let first = self.target(&mut rng);
        if !own && let Some(key) = self.caller.key(&first).await {
            job.key = key;
        }
        let mut other = rng.fork();
        let again = async {
            if matches!(twist, Twist::Resubmitted | Twist::KeyReused) {
                let job = if twist == Twist::KeyReused { other_body(&job) } else { job.clone() };
                Timer::after(Duration::from_millis(other.u64(0..200))).await;
                self.until_final(self.target(&mut other), &job, &mut other).await;
            }
        };
        smol::future::zip(self.until_final(first, &job, &mut rng), again).await;
    }

    /// Submits a job until it has a final answer.
    async fn until_final(&self, mut to: Target, job: &Job, rng: &mut fastrand::Rng) {
        while !self.given_up.load(Ordering::Relaxed) {
            let mut call = self.caller.submit(&to, job, WAIT_MS).await;
            if call.reply == Reply::Pending {
                call = self.caller.wait(&to, job, WAIT_MS).await;
            }
            if call.reply.is_final() {
                return;
            }
            Timer::after(Duration::from_millis(rng.u64(BACK_MS))).await;
            to = self.target(rng);
        }
    }
}

/// A job under the same key with one task more.
fn other_body(job: &Job) -> Job {
    let mut other = job.clone();
    other.body += 1;
    other.runs.push(1);
    other
}

/// A random job, and whether it has the caller's own key.
fn draw_job(rng: &mut fastrand::Rng) -> (Job, bool) {
    let count = if rng.u8(0..10) < 7 { 1 } else { rng.usize(2..30) };
    let run = |rng: &mut fastrand::Rng| match rng.u8(0..100) {
        0 => rng.u64(1_000..3_000),
        _ => rng.u64(20..250),
    };
    let runs = (0..count).map(|_| run(rng)).collect();
    let key = format!("{}-{:016x}", unix_ms(), rng.u64(..));
    let (idempotent, own) = (rng.bool(), rng.bool());
    (Job { idempotent, deadline: DEADLINE_MS, ..Job::new(key, runs) }, own)
}
