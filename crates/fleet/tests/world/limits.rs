//! Steps that limit on which workers their tasks run, and cuts between two instances that schedule.

use cranberryhatch_fleet::{KindSettings, RunKey, Step};
use cranberryhatch_types::{Count, Span, WorkerId};

use super::{EventKind, WorkerRun, World, need, policy};

/// A label that every other worker has.
pub const LABEL: &str = "l";
/// Memory of a worker in MB.
const MEMORY: u32 = 65_536;
/// Constant part of the latency target of limited jobs.
const PATIENT_SLACK: Span = Span::from_ms(5_000);

impl World {
    /// Gives every other worker the label, and all of them memory for several tasks.
    pub fn label_workers(&mut self) {
        for worker in &mut self.workers {
            worker.listed.capacity.memory = Count::new(MEMORY);
        }
        for worker in self.workers.iter_mut().step_by(2) {
            worker.listed.labels = vec![LABEL.to_owned()];
        }
        self.publish_workers();
    }

    /// Submits a job whose tasks need a worker with the label, if it is not empty, and run beside at
    /// most `spread - 1` others, if it is not 0.
    pub fn request_limited(
        &mut self,
        name: u64,
        tasks: u32,
        run_ms: u64,
        spread: u32,
        label: &str,
    ) -> usize {
        let (need, declared) = (need(3_000), Span::from_ms(run_ms));
        let label = label.to_owned();
        let step = Step { tasks, need, declared, spread, label, ..Step::default() };
        // With the usual target, most jobs whose tasks wait for each other would be refused.
        let settings = KindSettings { slack: PATIENT_SLACK, ..policy("k") };
        self.request_step(name, step, settings, false)
    }

    /// Holds back all messages from and to an instance for a while; its links stay up.
    pub fn cut_instance(&mut self, node: usize, span: u64) {
        if !self.cut_instances.contains(&node) {
            self.cut_instances.push(node);
            self.schedule(self.now + span, EventKind::HealInstance { node });
        }
    }

    pub(super) fn is_held_back(&self, kind: &EventKind) -> bool {
        let EventKind::Deliver { from, to, .. } = kind else { return false };
        self.cut_instances.iter().any(|cut| cut == from || cut == to)
    }

    pub(super) fn heal_instance(&mut self, node: usize) {
        self.cut_instances.retain(|cut| *cut != node);
        // Those that another cut holds back are held again.
        for message in std::mem::take(&mut self.held_messages) {
            self.dispatch(message);
        }
    }

    /// Checks that a started run is within the limits of its step.
    pub(super) fn check_limits(&mut self, worker: &WorkerId, run: &RunKey) {
        let Some(worker) = self.workers.iter().find(|known| known.listed.id == *worker) else {
            return;
        };
        let request = self.requests.iter().find(|known| known.job.name == run.task.job);
        let Some(step) = request.and_then(|known| known.job.steps.get(run.task.step as usize))
        else {
            return;
        };
        let of_step = |known: &&WorkerRun| {
            (&known.run.task.job, known.run.task.step) == (&run.task.job, run.task.step)
        };
        let count = worker.runs.iter().filter(of_step).count();
        let id = &worker.listed.id;
        if step.spread > 0 && count > step.spread as usize {
            self.violations.push(format!(
                "{}: {run:?} is one of {count} of its step on {id}, the limit is {}",
                self.now, step.spread
            ));
        }
        if !worker.listed.has_label(&step.label) {
            let violation = format!("{}: {run:?} starts on {id} without its label", self.now);
            self.violations.push(violation);
        }
    }
}
