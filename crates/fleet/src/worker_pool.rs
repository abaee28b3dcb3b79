//! All workers known to the scheduler, with an index of their free cores by slowness level.

use cranberryhatch_types::{Cores, Span, Time, WorkerId};

use crate::{
    QueuedTasks, VecMap, WorkerView,
    placement::{self, Placement, Timeliness},
    rack_slowdown::RackSlowdown,
    speed::{ClassSpeeds, SlownessLevel},
};

/// Time between two comparisons of workers with their classes.
const COMPARE_INTERVAL: Span = Span::from_ms(500);
/// Maximum share of the workers of a service that may be paused at a time, as a divisor. If more
/// are paused, their faults have a common cause, and the other workers could not carry the load.
const PAUSED_MAX_DIVISOR: usize = 3;

/// Maximum share of the workers of a service whose long runs count as chance, as a divisor. Single
/// runs take three times the expected time by their natural variation, and an overload has
/// thousands of runs per second.
const CHANCE_MAX_DIVISOR: usize = 8;
/// Maximum number of known rack names.
const MAX_RACKS: usize = 1_000;

/// Result of the placement of a task.
#[derive(Clone, Copy, Debug)]
pub enum PlacementDecision<'a> {
    /// Run the task on this worker.
    Run(Placement<'a>),
    /// Wait for a better worker; the best worker with free capacity takes this many times the
    /// expected run time.
    Wait(f64),
    /// No worker has free capacity.
    Full,
}

/// Workers by id, indexed by free cores.
///
/// ```
/// use cranberryhatch_fleet::WorkerPool;
/// use cranberryhatch_types::{Cores, Time};
///
/// assert_eq!(WorkerPool::default().largest_free(Time::ZERO), Cores::new(0));
/// ```
#[derive(Debug, Default)]
pub struct WorkerPool {
    workers: VecMap<WorkerId, WorkerView>,
    // Free cores and index in `workers` of the workers of each level, sorted.
    by_cores: VecMap<SlownessLevel, Vec<(Cores, usize)>>,
    slow_workers: Vec<WorkerId>,
    // Sorted names of racks, labels that do not affect the class of a worker.
    racks: Vec<String>,
    compared_at: Time,
    rack_slowdown: RackSlowdown,
    // Whether workers were added since classes were last compared.
    stale: bool,
}

impl WorkerPool {
    /// Returns a worker.
    #[must_use]
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerView> {
        self.workers.get(id)
    }

    /// Returns all workers in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerView> {
        self.workers.iter().map(|(_, worker)| worker)
    }

    /// Adds or replaces a worker.
    pub fn insert(&mut self, mut worker: WorkerView) {
        worker.classify(&self.racks);
        self.workers.insert(worker.id().clone(), worker);
        self.stale = true;
        self.rebuild_index();
    }

    /// Updates a worker and returns the result of `update`, or `None` if the worker is unknown.
    pub fn update<T>(
        &mut self,
        id: &WorkerId,
        update: impl FnOnce(&mut WorkerView) -> T,
    ) -> Option<T> {
        let index = self.workers.index_of(id)?;
        let worker = self.workers.value_at_mut(index)?;
        let (before, was_slow) = (key(worker), worker.is_slow());
        let result = update(worker);
        let (after, is_slow) = (key(worker), worker.is_slow());
        if before != after {
            self.remove_from_index(index, before);
            self.add_to_index(index, after);
        }
        if was_slow != is_slow {
            self.update_slow_index(id, is_slow);
        }
        Some(result)
    }

    /// Sets for each worker whether its owner is unresponsive, so that a start may be lost.
    pub fn set_silent(&mut self, is_silent: impl Fn(&WorkerView) -> bool) {
        for (_, worker) in self.workers.iter_mut() {
            worker.silent = is_silent(worker);
        }
    }

    /// Retains the workers for which `keep` returns true; `keep` may change them.
    pub fn retain(&mut self, mut keep: impl FnMut(&mut WorkerView) -> bool) {
        self.workers.retain(|_, worker| keep(worker));
        for (_, worker) in self.workers.iter_mut() {
            worker.classify(&self.racks);
        }
        self.stale = true;
        self.rebuild_index();
    }

    /// Removes all workers, but keeps the names of racks.
    pub fn clear(&mut self) {
        self.workers = VecMap::default();
        self.by_cores = VecMap::default();
        self.slow_workers.clear();
    }

    /// Records that a label is the name of a rack.
    pub fn add_rack(&mut self, rack: &str) {
        let Err(index) = self.racks.binary_search_by(|known| known.as_str().cmp(rack)) else {
            return;
        };
        if rack.is_empty() || self.racks.len() >= MAX_RACKS {
            return;
        }
        self.racks.insert(index, rack.to_owned());
        for (_, worker) in
            self.workers.iter_mut().filter(|(_, worker)| worker.listed.has_label(rack))
        {
            worker.classify(&self.racks);
            self.stale = true;
        }
    }

    /// Updates the slowness levels of all workers.
    pub fn update_speeds(&mut self, now: Time) {
        let compares = self.stale || now.since(self.compared_at) >= COMPARE_INTERVAL;
        let classes = compares.then(|| {
            ClassSpeeds::of(self.iter().map(|worker| (worker.class(), &worker.stats().speed)), now)
        });
        if compares {
            self.compared_at = now;
            self.stale = false;
        }
        // Number of possibly slow workers and of all usable ones, by service.
        let mut possibly_slow: VecMap<String, (usize, usize)> = VecMap::default();
        for worker in self.iter().filter(|worker| worker.is_usable()) {
            let service = &worker.listed.service;
            if !possibly_slow.contains(service) {
                possibly_slow.insert(service.clone(), (0, 0));
            }
            if let Some((slow, all)) = possibly_slow.get_mut(service) {
                *slow += usize::from(worker.is_possibly_slow(now));
                *all += 1;
            }
        }
        let mut moved = false;
        for (_, worker) in self.workers.iter_mut() {
            let before = (worker.slowness_level(), worker.is_slow());
            let possibly_slow = possibly_slow.get(&worker.listed.service);
            worker.set_ignores_outliers(
                possibly_slow.is_some_and(|(of, all)| of * CHANCE_MAX_DIVISOR <= *all),
            );
            if let Some(classes) = &classes {
                worker.set_class_speeds(classes);
            }
            worker.update_speed(now);
            moved |= before != (worker.slowness_level(), worker.is_slow());
        }
        if moved {
            self.rebuild_index();
        }
    }

    /// Learns from a run outside the rack of its data.
    pub fn learn_rack_slowdown(&mut self, sample: f64) {
        self.rack_slowdown.learn(sample);
    }

    /// Returns whether workers were added since classes were last compared.
    #[must_use]
    pub const fn is_stale(&self) -> bool {
        self.stale
    }

    /// Returns the workers that are slow for their class.
    #[must_use]
    pub fn slow_workers(&self) -> &[WorkerId] {
        &self.slow_workers
    }

    /// Shortens the pauses of a service if many of its workers are paused, because their faults
    /// have a common cause and the other workers could not carry the load.
    pub fn limit_pauses(&mut self, service: &str, now: Time) {
        let of_service =
            |worker: &&WorkerView| worker.listed.service == service && worker.is_usable();
        let (mut usable, mut paused) = (0, 0);
        for worker in self.iter().filter(of_service) {
            usable += 1;
            paused += usize::from(worker.is_paused(now));
        }
        if paused * PAUSED_MAX_DIVISOR <= usable {
            return;
        }
        let workers = self.workers.iter_mut().map(|(_, worker)| worker);
        for worker in workers.filter(|s| s.listed.service == service && s.is_paused(now)) {
            worker.shorten_pause(now);
        }
    }

    /// Returns the largest number of free cores of a worker that accepts tasks.
    #[must_use]
    pub fn largest_free(&self, now: Time) -> Cores {
        let takes = |index: usize| {
            self.workers.value_at(index).is_some_and(|worker| worker.accepts_tasks(now))
        };
        let largest_free = self.by_cores.iter().filter_map(|(_, workers)| {
            workers.iter().rev().find(|(_, index)| takes(*index)).map(|(cores, _)| *cores)
        });
        largest_free.max().unwrap_or_default()
    }

    /// Returns the placement with the lowest cost, or `None` if no worker has capacity.
    #[must_use]
    pub fn best_placement(&self, queued: &QueuedTasks, now: Time) -> Option<Placement<'_>> {
        // A task that may crash its worker takes other tasks with it.
        let idle = queued.suspect.then(|| self.best_of(queued, WorkerView::is_idle, now)).flatten();
        idle.or_else(|| self.best_of(queued, |_| true, now))
    }

    fn best_of(
        &self,
        queued: &QueuedTasks,
        is_candidate: impl Fn(&WorkerView) -> bool + Copy,
        now: Time,
    ) -> Option<Placement<'_>> {
        let levels = self.by_cores.iter().filter_map(|(slowness_level, workers)| {
            let first = workers.partition_point(|(cores, _)| *cores < queued.need.cores);
            let fitting = &workers[first..];
            let workers = fitting.iter().filter_map(|(_, index)| self.workers.value_at(*index));
            let workers = workers.filter(move |worker| is_candidate(worker));
            (!fitting.is_empty()).then_some((*slowness_level, workers))
        });
        placement::best_placement(levels, queued, &self.rack_slowdown, now)
    }

    /// Decides where a task runs, or whether it waits for a worker that yields a better timeliness.
    #[must_use]
    pub fn decide(&self, queued: &QueuedTasks, now: Time) -> PlacementDecision<'_> {
        let Some(placement) = self.best_placement(queued, now) else {
            return PlacementDecision::Full;
        };
        let timeliness = Timeliness::of(queued, placement.factor, now);
        let fastest = self.by_cores.iter().find(|(_, workers)| !workers.is_empty());
        if fastest.is_some_and(|(slowness_level, _)| placement.factor > slowness_level.factor())
            && timeliness > Timeliness::OnTime
            && placement::is_worth_waiting(
                self.iter(),
                timeliness,
                queued,
                &self.rack_slowdown,
                now,
            )
        {
            return PlacementDecision::Wait(placement.factor);
        }
        PlacementDecision::Run(placement)
    }

    /// Returns the slow worker that a task can probe, also with an unsuitable task if `any`; the
    /// worker whose last probe is the oldest comes first.
    #[must_use]
    pub fn probe(&self, queued: &QueuedTasks, any: bool, now: Time) -> Option<Placement<'_>> {
        let slow = self.slow_workers.iter().filter_map(|id| self.get(id));
        let candidates = slow.filter(|worker| {
            worker.is_known_slow(now) && placement::can_probe(worker, queued, any, now)
        });
        candidates
            .min_by_key(|worker| worker.last_probe)
            .map(|worker| placement::probe_placement(worker))
    }

    fn rebuild_index(&mut self) {
        self.by_cores = VecMap::default();
        self.slow_workers.clear();
        for ((id, worker), index) in self.workers.iter().zip(0..) {
            let (slowness_level, cores) = key(worker);
            self.by_cores.get_or_insert_with(slowness_level, Vec::new).push((cores, index));
            if worker.is_slow() {
                self.slow_workers.push(id.clone());
            }
        }
        self.by_cores.iter_mut().for_each(|(_, workers)| workers.sort());
    }

    fn update_slow_index(&mut self, id: &WorkerId, is_slow: bool) {
        match (self.slow_workers.binary_search(id), is_slow) {
            (Ok(index), false) => {
                self.slow_workers.remove(index);
            }
            (Err(index), true) => self.slow_workers.insert(index, id.clone()),
            _ => {}
        }
    }

    fn remove_from_index(&mut self, index: usize, (slowness_level, cores): (SlownessLevel, Cores)) {
        let Some(workers) = self.by_cores.get_mut(&slowness_level) else { return };
        if let Ok(found) = workers.binary_search(&(cores, index)) {
            workers.remove(found);
        }
    }

    fn add_to_index(&mut self, index: usize, (slowness_level, cores): (SlownessLevel, Cores)) {
        let workers = self.by_cores.get_or_insert_with(slowness_level, Vec::new);
        if let Err(found) = workers.binary_search(&(cores, index)) {
            workers.insert(found, (cores, index));
        }
    }
}

/// Returns the level and the cores by which a worker is indexed.
fn key(worker: &WorkerView) -> (SlownessLevel, Cores) {
    (worker.slowness_level(), worker.offered_cores())
}

impl FromIterator<WorkerView> for WorkerPool {
    fn from_iter<T: IntoIterator<Item = WorkerView>>(iter: T) -> Self {
        let mut workers = Self::default();
        iter.into_iter().for_each(|worker| workers.insert(worker));
        workers
    }
}
