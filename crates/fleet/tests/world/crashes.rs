//! Crashes of workers under the tasks that they run.

use cranberryhatch_fleet::TaskKey;
use cranberryhatch_types::{Time, WorkerId};

use super::{EventKind, World};

/// Time after which a crashed worker is back.
const DOWN_TIME: u64 = 3_000;

/// A worker that crashed under a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    pub task: TaskKey,
    pub worker: usize,
    pub at: u64,
    /// Number of runs that had started by then in the whole system.
    pub starts: usize,
}

impl World {
    /// Submits a job whose first task crashes each worker that runs it.
    pub fn poisoned_request(&mut self, name: u64, tasks: u32, cores: u32, run_ms: u64) -> usize {
        let request = self.request(name, tasks, cores, run_ms, false);
        self.requests[request].poisoned = Some(0);
        request
    }

    /// Ends the processes of workers that a run has crashed.
    pub(super) fn crash_workers(&mut self) {
        for worker in 0..self.workers.len() {
            if !std::mem::take(&mut self.workers[worker].crashed) || !self.workers[worker].up {
                continue;
            }
            self.record_crash(worker);
            self.workers[worker].stop_process();
            let kind = if self.keeps_ids {
                EventKind::RestartWorker { worker, listed: true }
            } else {
                EventKind::ReplaceWorker { worker }
            };
            self.schedule(self.now + DOWN_TIME, kind);
        }
    }

    pub(super) fn record_crash(&mut self, worker: usize) {
        let (at, starts) = (self.now, self.starts.len());
        let runs = &self.workers[worker].runs;
        let crash = |task: TaskKey| Crash { task, worker, at, starts };
        self.crashes.extend(runs.iter().map(|run| crash(run.run.task.clone())));
    }

    /// Starts the successor of a crashed worker: another id at the same address.
    pub(super) fn replace_worker(&mut self, worker: usize) {
        let now = self.now;
        let fake = &mut self.workers[worker];
        fake.restart_process(now);
        let id = format!("w-{worker}-{now}").parse().expect("an id");
        fake.former_ids.push(std::mem::replace(&mut fake.listed.id, id));
        fake.listed.incarnation = fake.incarnation();
        self.publish_workers();
    }

    /// Returns the worker that runs at the address of a crashed one, if an instance reaches it.
    pub(super) fn successor_of(&mut self, node: usize, id: &WorkerId) -> Option<usize> {
        let place = self.workers.iter().position(|worker| worker.former_ids.contains(id))?;
        let present = self.workers[place].listed.id.clone();
        self.reach(node, &present).is_some().then_some(place)
    }

    /// Returns whether a worker whose process has ended refuses the connections of an instance.
    pub(super) fn refuses(&mut self, node: usize, id: &WorkerId) -> bool {
        let Some(place) = self.workers.iter().position(|worker| worker.listed.id == *id) else {
            return false;
        };
        let was_up = std::mem::replace(&mut self.workers[place].up, true);
        let is_reachable = self.reach(node, id).is_some();
        self.workers[place].up = was_up;
        is_reachable && !was_up
    }

    /// Returns whether two workers have crashed under one task of a job.
    pub(super) fn has_crashed_two_workers(&self, job: &str) -> bool {
        let crashes = self.crashes.iter().filter(|crash| crash.task.job == job);
        let count = |task: &TaskKey| self.crashes.iter().filter(|c| c.task == *task).count();
        crashes.map(|crash| count(&crash.task)).max().is_some_and(|most| most >= 2)
    }

    /// Returns the instance that last sent a start request to a worker, if it runs.
    pub fn owners_of(&self, worker: usize) -> Vec<usize> {
        let last = self.sent_starts.iter().rev().find(|start| start.worker == worker);
        last.map(|start| start.node).into_iter().collect()
    }

    /// Returns whether an instance schedules.
    pub fn schedules(&self, node: usize) -> bool {
        let node = self.instances[node].node.as_ref();
        node.is_some_and(|node| node.load(Time::ZERO).is_some())
    }

    /// Returns the number of starts of a task after the third worker has crashed under it.
    pub fn starts_after_third_crash(&self, task: &TaskKey) -> usize {
        let Some(third) = self.crashes.iter().filter(|crash| crash.task == *task).nth(2) else {
            return 0;
        };
        self.starts[third.starts..].iter().filter(|run| run.task == *task).count()
    }
}
