//! What clients and workers have seen, and the rules that it must keep.

use std::{
    collections::HashMap,
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::worker::Kind;

/// Time from the acknowledgement of a cancel after which nothing of the job may start.
pub const CANCEL_MS: u64 = 3_000;

/// A step of a job.
#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub memory: u64,
    pub length_ms: u64,
    pub after: Vec<usize>,
    pub label: String,
    pub spread: u64,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub spec: String,
    pub service: String,
    pub steps: Vec<Step>,
}

impl Job {
    /// Returns the body of its submission.
    pub fn body(&self) -> String {
        let steps: Vec<String> = self.steps.iter().map(step_text).collect();
        format!(
            "{{\"Spec\":\"{}\",\"Preemptible\":true,\"Steps\":[{}]}}",
            self.spec,
            steps.join(",")
        )
    }
}

fn step_text(step: &Step) -> String {
    let mut text = format!(
        "{{\"Count\":{},\"Cpu\":{},\"MemMb\":{},\"EstimateMs\":{}",
        step.count, step.cpu, step.memory, step.length_ms
    );
    if !step.after.is_empty() {
        let after: Vec<String> = step.after.iter().map(usize::to_string).collect();
        text += &format!(",\"After\":[{}]", after.join(","));
    }
    if !step.label.is_empty() {
        text += &format!(",\"Requires\":\"{}\"", step.label);
    }
    if step.spread > 0 {
        text += &format!(",\"AntiAffinity\":{}", step.spread);
    }
    text + "}"
}

struct Record {
    job: Job,
    canceled_at: Option<Instant>,
    // Answers to the attempts to hand it in; 0 for none.
    answers: Vec<u16>,
    starts: u64,
}

struct Active {
    worker: String,
    task: String,
    run: u64,
}

#[derive(Default)]
struct State {
    jobs: HashMap<String, Record>,
    active: Vec<Active>,
    done: HashMap<String, u64>,
    violations: Vec<(String, String)>,
}

pub struct History {
    state: Mutex<State>,
    file: Mutex<File>,
    started: Instant,
}

impl History {
    pub fn new(file: File) -> Self {
        Self { state: Mutex::default(), file: Mutex::new(file), started: Instant::now() }
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let at = self.started.elapsed().as_millis();
        let _ = writeln!(self.file.lock().expect("file"), "{at:>6} {line}");
    }

    /// Records a job, unless it was handed in before.
    pub fn add_job(&self, name: &str, job: &Job) {
        let new = || Record { job: job.clone(), canceled_at: None, answers: Vec::new(), starts: 0 };
        self.state.lock().expect("state").jobs.entry(name.to_owned()).or_insert_with(new);
    }

    /// Records the answer to a submission.
    pub fn answered(&self, name: &str, status: u16, body: &str) {
        self.note(&format!("answer {name} {status} {body}"));
        let mut state = self.state.lock().expect("state");
        let Some(record) = state.jobs.get_mut(name) else { return };
        record.answers.push(status);
        if status != 200 || !body.contains("completed") {
            return;
        }
        let steps = record.job.steps.clone();
        for (index, step) in steps.iter().enumerate() {
            for task in 0..step.count {
                let task = format!("{name}.0.{index}.{task}");
                if !state.done.contains_key(&task) {
                    self.violate(&mut state, "MIXED", &format!("{task} has not ended done"));
                }
            }
        }
    }

    /// Records that a cancel was acknowledged.
    pub fn canceled(&self, name: &str, status: u16) {
        self.note(&format!("cancel of {name} answered {status}"));
        if !(200..300).contains(&status) && status != 410 {
            return;
        }
        if let Some(record) = self.state.lock().expect("state").jobs.get_mut(name) {
            record.canceled_at.get_or_insert(Instant::now());
        }
    }

    pub fn length_of(&self, task: &str) -> Duration {
        let state = self.state.lock().expect("state");
        let length = step_of(&state, task).map_or(100, |step| step.length_ms);
        Duration::from_millis(length)
    }

    /// Returns whether a task fits on a worker beside others.
    pub fn fits(&self, task: &str, running: &[String], kind: &Kind) -> bool {
        let state = self.state.lock().expect("state");
        let (cpu, memory) = total(&state, task, running);
        cpu <= kind.cpu && memory <= kind.memory
    }

    /// Records a start and checks the rules on starts.
    pub fn begin(
        &self,
        worker: &str,
        kind: &Kind,
        task: &str,
        run: u64,
        spec: &str,
        running: &[String],
    ) {
        self.note(&format!("begin {task} run {run} on {worker} beside {}", running.len()));
        let mut state = self.state.lock().expect("state");
        let place = format!("{task} run {run} on {worker}");
        let name = task.split('.').next().unwrap_or_default();
        let Some(record) = state.jobs.get_mut(name) else {
            return self.violate(&mut state, "UNASKED", &format!("{place}: no such job"));
        };
        record.starts += 1;
        let (job, canceled_at) = (record.job.clone(), record.canceled_at);
        if job.spec != spec {
            self.violate(&mut state, "UNASKED", &format!("{place}: another Spec"));
        }
        if let Some(at) = canceled_at {
            let since = at.elapsed().as_millis();
            if since > u128::from(CANCEL_MS) {
                let text = format!("{place}: {since} ms after its cancel was acknowledged");
                self.violate(&mut state, "UNASKED", &text);
            }
        }
        let twin = state.active.iter().find(|active| active.task == task);
        if let Some(Active { worker, run, .. }) = twin {
            let text = format!("{place}, while run {run} is active on {worker}");
            self.violate(&mut state, "TWICE", &text);
        }
        let index = number_of(task, 2);
        match job.steps.get(index) {
            Some(step) if (number_of(task, 3) as u64) < step.count => {
                if !step.label.is_empty() && !kind.labels.contains(&step.label) {
                    self.violate(&mut state, "ROUTE", &format!("{place}: no {}", step.label));
                }
                if job.service != kind.service {
                    self.violate(&mut state, "ROUTE", &format!("{place}: {}", kind.service));
                }
                let prefix = format!("{name}.0.{index}.");
                let beside = running.iter().filter(|other| other.starts_with(&prefix)).count();
                if step.spread > 0 && beside as u64 >= step.spread {
                    let text = format!("{place}: {beside} of its step are there");
                    self.violate(&mut state, "ROUTE", &text);
                }
                for earlier in step.after.clone() {
                    let count = job.steps[earlier].count;
                    let missing = (0..count)
                        .map(|task| format!("{name}.0.{earlier}.{task}"))
                        .find(|task| !state.done.contains_key(task));
                    if let Some(missing) = missing {
                        let text = format!("{place} before {missing} has ended");
                        self.violate(&mut state, "ORDER", &text);
                    }
                }
            }
            _ => self.violate(&mut state, "UNASKED", &format!("{place}: no such task")),
        }
        let (worker, task) = (worker.to_owned(), task.to_owned());
        state.active.push(Active { worker, task, run });
    }

    /// Records the end of a run.
    pub fn end(&self, worker: &str, task: &str, run: u64, how: &str) {
        self.note(&format!("end {task} run {run} on {worker} {how}"));
        let mut state = self.state.lock().expect("state");
        state.active.retain(|a| a.worker != worker || a.task != task || a.run != run);
        if how == "done" {
            *state.done.entry(task.to_owned()).or_insert(0) += 1;
        }
    }

    fn violate(&self, state: &mut State, rule: &str, text: &str) {
        self.note(&format!("BROKEN {rule}: {text}"));
        state.violations.push((rule.to_owned(), text.to_owned()));
    }

    /// Records a violation that the case itself has seen.
    pub fn report(&self, rule: &str, text: &str) {
        self.violate(&mut self.state.lock().expect("state"), rule, text);
    }

    /// Checks what holds at the end; returns the broken rules and a summary.
    pub fn finish(&self) -> (Vec<(String, String)>, String) {
        let mut state = self.state.lock().expect("state");
        let is_rejected = |status: &u16| matches!(status, 429 | 503 | 404);
        let refused: Vec<String> = state
            .jobs
            .iter()
            .filter(|(_, record)| {
                record.starts > 0
                    && !record.answers.is_empty()
                    && record.answers.iter().all(is_rejected)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in refused {
            self.violate(&mut state, "REFUSED", &format!("{name} was rejected and has run"));
        }
        let mut answers: Vec<(u16, u64)> = Vec::new();
        for status in state.jobs.values().flat_map(|record| &record.answers) {
            match answers.iter_mut().find(|(known, _)| known == status) {
                Some((_, count)) => *count += 1,
                None => answers.push((*status, 1)),
            }
        }
        answers.sort_unstable();
        let starts: u64 = state.jobs.values().map(|record| record.starts).sum();
        let summary =
            format!("{} jobs, answers {answers:?} (0: none), {starts} starts", state.jobs.len());
        (state.violations.clone(), summary)
    }
}

fn number_of(task: &str, index: usize) -> usize {
    task.split('.').nth(index).and_then(|text| text.parse().ok()).unwrap_or(usize::MAX)
}

fn step_of<'a>(state: &'a State, task: &str) -> Option<&'a Step> {
    let record = state.jobs.get(task.split('.').next()?)?;
    record.job.steps.get(number_of(task, 2))
}

fn total(state: &State, task: &str, running: &[String]) -> (u64, u64) {
    let tasks = running.iter().map(String::as_str).chain([task]);
    let steps = tasks.filter_map(|task| step_of(state, task));
    steps.fold((0, 0), |(cpu, memory), step| (cpu + step.cpu, memory + step.memory))
}
