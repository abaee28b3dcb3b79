//! Model of an endpoint: slots, dedupe by attempt name, settle, fence, leases and faults.

use cranberryhatch_core::{AttemptId, AttemptStatus, FencedTask, NotRun, Start, StartResponse};
use cranberryhatch_types::{Holder, Span, TaskName, Time, WorkerId, ZoneId};

/// Who waits for the answer to a start: instance, its life, attempt.
pub type Asker = (usize, u64, AttemptId);

/// State of a task at the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Run {
    Running { until: Time },
    Done,
    Failed(&'static str),
}

/// A task that was started.
#[derive(Clone, Debug)]
pub struct Task {
    pub name: TaskName,
    pub holder: Holder,
    pub payload: String,
    pub run: Run,
    pub lease: Time,
    /// Who waits, and until when.
    pub asker: Option<(Asker, Time)>,
}

impl Task {
    fn settlement(&self) -> AttemptStatus {
        match &self.run {
            Run::Running { .. } => AttemptStatus::Running,
            Run::Done => AttemptStatus::Done(result_of(&self.payload).into()),
            Run::Failed(detail) => AttemptStatus::Failed((*detail).to_owned()),
        }
    }
}

/// The result that a payload leads to.
pub fn result_of(payload: &str) -> String {
    format!("result of {payload}")
}

/// An endpoint.
#[derive(Debug)]
pub struct EndpointModel {
    pub id: WorkerId,
    pub zone: ZoneId,
    pub slots: u32,
    pub dead: bool,
    /// Says that it is leaving, and refuses starts when `strict`.
    pub leaving: bool,
    pub strict: bool,
    pub fail_starts: bool,
    pub fail_tasks: bool,
    pub slow: bool,
    pub tasks: Vec<Task>,
    never: Vec<TaskName>,
    fences: Vec<Holder>,
}

impl EndpointModel {
    pub fn new(id: WorkerId, zone: ZoneId, slots: u32) -> Self {
        Self {
            id,
            zone,
            slots,
            dead: false,
            leaving: false,
            strict: true,
            fail_starts: false,
            fail_tasks: false,
            slow: false,
            tasks: Vec::new(),
            never: Vec::new(),
            fences: Vec::new(),
        }
    }

    pub fn running(&self) -> u32 {
        let running = |task: &&Task| matches!(task.run, Run::Running { .. });
        u32::try_from(self.tasks.iter().filter(running).count()).expect("few tasks")
    }

    fn is_fenced(&self, holder: &Holder) -> bool {
        self.fences.iter().any(|fence| {
            fence.instance == holder.instance && fence.incarnation >= holder.incarnation
        })
    }

    /// Takes a start; answers at once only when the task does not run.
    pub fn start(
        &mut self,
        now: Time,
        holder: &Holder,
        start: &Start,
        run: Span,
        asker: Option<Asker>,
    ) -> Option<StartResponse> {
        let refuse = |reason| Some(StartResponse::NotRun(reason));
        if self.is_fenced(holder) || self.never.contains(&start.name) {
            return refuse(NotRun::Fenced);
        }
        if self.tasks.iter().any(|task| task.name == start.name) {
            return Some(StartResponse::Duplicate);
        }
        if self.leaving && self.strict {
            return refuse(NotRun::Leaving);
        }
        if self.fail_starts {
            return refuse(NotRun::StartFailed);
        }
        if self.running() >= self.slots {
            return refuse(NotRun::Busy);
        }
        let run = if self.slow { run * 20 } else { run };
        self.tasks.push(Task {
            name: start.name.clone(),
            holder: holder.clone(),
            payload: String::from_utf8_lossy(&start.payload).into_owned(),
            run: Run::Running { until: now + run },
            lease: now + start.lease,
            asker: asker.map(|asker| (asker, now + start.timeout)),
        });
        None
    }

    /// Says what became of an attempt, and promises that an unknown one never starts.
    pub fn settle(&mut self, name: &TaskName) -> AttemptStatus {
        match self.tasks.iter().find(|task| task.name == *name) {
            Some(task) => task.settlement(),
            None => {
                self.never.push(name.clone());
                AttemptStatus::NeverStarted
            }
        }
    }

    /// Fences a holder and lists its tasks; the sender adopts their leases.
    pub fn fence(&mut self, now: Time, holder: &Holder, sender: &Holder) -> Vec<FencedTask> {
        self.fences.push(holder.clone());
        let worker = &self.id;
        let own = |task: &&mut Task| {
            task.holder.instance == holder.instance && task.holder.incarnation <= holder.incarnation
        };
        let list = |task: &mut Task| {
            let (name, worker) = (task.name.clone(), worker.clone());
            let known = FencedTask { name, worker, state: task.settlement() };
            task.holder = sender.clone();
            task.lease = task.lease.max(now + Span::from_secs(10));
            known
        };
        self.tasks.iter_mut().filter(own).map(list).collect()
    }

    /// Renews the leases of a holder's tasks.
    pub fn renew(&mut self, now: Time, holder: &Holder, lease: Span) {
        let own = |task: &&mut Task| task.holder == *holder;
        self.tasks.iter_mut().filter(own).for_each(|task| task.lease = now + lease);
    }

    /// Stops attempts.
    pub fn stop(&mut self, names: &[TaskName]) {
        let running = |task: &&mut Task| matches!(task.run, Run::Running { .. });
        for task in self.tasks.iter_mut().filter(running) {
            if names.contains(&task.name) {
                task.run = Run::Failed("stopped");
            }
        }
    }

    /// Ends tasks whose time or lease is over; returns the answers that are due.
    pub fn advance(&mut self, now: Time) -> Vec<(Asker, StartResponse)> {
        let mut answers = Vec::new();
        for task in &mut self.tasks {
            if let Run::Running { until } = task.run {
                if until <= now && !self.fail_tasks {
                    task.run = Run::Done;
                } else if until <= now {
                    task.run = Run::Failed("broken");
                } else if task.lease <= now {
                    task.run = Run::Failed("lease lapsed");
                }
            }
            let Some((asker, until)) = task.asker else { continue };
            let answer = match task.settlement() {
                AttemptStatus::Done(result) => StartResponse::Done(result),
                AttemptStatus::Failed(detail) => StartResponse::Failed(detail),
                _ if until <= now => StartResponse::Lost,
                _ => continue,
            };
            task.asker = None;
            answers.push((asker, answer));
        }
        answers
    }

    /// Dies with everything it runs; returns who waited.
    pub fn kill(&mut self) -> Vec<Asker> {
        self.dead = true;
        let askers = self.tasks.iter_mut().filter_map(|task| Some(task.asker.take()?.0)).collect();
        self.tasks.clear();
        askers
    }
}
