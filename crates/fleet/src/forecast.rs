//! Capacity forecast: estimates when waiting tasks can start.
//!
//! Tasks need a third to two thirds of a worker. The number of concurrent tasks therefore depends
//! on how many fit on each worker and not on the sum of all cores, and a task gets a slot when a
//! run ends and not when all work ahead of it is done.
//!
//! Where the sizes of tasks differ, two tasks fit on a worker only if their sizes add up. The
//! running tasks show what fits: a run that ends makes room for others in proportion to its cores,
//! because smaller and larger tasks are paired. Counting the slots of one size on each worker would
//! miss much of the capacity and refuse jobs that can be served.
//!
//! Time is divided into steps. A curve holds the number of slots of one size that become free in
//! each step. Work reserves the earliest slots and returns them when it ends.

use std::collections::VecDeque;

use cranberryhatch_types::{Span, Time};

use crate::{Need, QueuedTasks, WorkerView, arrivals::ArrivalRate};

/// Length of a step in milliseconds.
const STEP_MS: u32 = 5;
/// Maximum number of steps.
const MAX_STEPS: usize = 1_000;
/// Maximum number of sizes and labels with a curve of their own; the forecast refuses no jobs of
/// others.
const MAX_CURVES: usize = 8;
/// Maximum ratio of the cores of a waiting task to those of a run whose place it can take. Larger
/// tasks need the places of several runs on the same worker.
const MAX_SIZE_RATIO: f64 = 3.0;
/// Fraction of a slot below which slots count as none.
const EPSILON: f64 = 1e-6;

/// Size class of tasks, since the declared needs of jobs of one kind differ a little: logarithmic
/// classes of cores and memory, and the number of accelerators.
type Class = (u32, u32, u32);

/// Number of core classes per doubling.
const CORE_CLASSES_PER_DOUBLING: f64 = 4.0;

fn class_of(need: &Need) -> Class {
    let log = f64::from(need.cores.get().max(1)).log2() * CORE_CLASSES_PER_DOUBLING;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most 128")]
    let cores = log as u32;
    (cores, need.memory.get().max(1).ilog2(), need.accels.get())
}

/// Size class and required label of tasks.
#[derive(Clone, Debug)]
struct Size {
    class: Class,
    // The largest need of the waiting tasks of this class.
    need: Need,
    label: String,
    // Slots on all workers, free or in use.
    slots: f64,
    // Share of the service's cores that belong to workers with the label.
    share: f64,
}

impl Size {
    /// Returns the number of slots of this size that a slot of another size occupies.
    fn ratio(&self, other: &Self) -> f64 {
        if self.label == other.label || other.label.is_empty() {
            if other.slots > 0.0 { self.slots / other.slots } else { 0.0 }
        } else if self.label.is_empty() {
            cores(&other.need) / cores(&self.need)
        } else {
            0.0
        }
    }
}

/// Slots of one size over time.
#[derive(Clone, Debug)]
struct Curve {
    size: Size,
    // Slots that become free in each step and are not reserved.
    free: Vec<f64>,
    // First step with a free slot.
    first: usize,
    // Number of tasks and their steps for which the last task found no start. Slots only get
    // scarcer, so larger jobs find none either.
    unplaceable: Option<(f64, usize)>,
}

impl Curve {
    fn add(&mut self, step: usize, count: f64) {
        if let Some(free) = self.free.get_mut(step) {
            *free += count;
            self.first = self.first.min(step);
        }
    }

    /// Returns the step in which the last of `count` tasks of `steps` steps each starts, or `None`
    /// if that is past the end of the forecast.
    fn last_start(&mut self, count: f64, steps: usize) -> Option<usize> {
        if self
            .unplaceable
            .is_some_and(|(tasks, occupancy_ms)| count >= tasks && steps >= occupancy_ms)
        {
            return None;
        }
        let mut left = count;
        // Slots that tasks of the same job return, and the step of the return.
        let mut returned = VecDeque::new();
        for (step, free) in self.free.iter().enumerate().skip(self.first) {
            let mut free = *free;
            while let Some((_, slots)) = returned.pop_front_if(|(at, _)| *at <= step) {
                free += slots;
            }
            if left <= free + EPSILON {
                return Some(step);
            }
            if free > EPSILON {
                returned.push_back((step + steps, free));
                left -= free;
            }
        }
        self.unplaceable = Some((count, steps));
        None
    }

    /// Reserves the earliest `count` slots for `steps` steps each.
    fn reserve(&mut self, count: f64, steps: usize) {
        let mut left = count;
        while left > EPSILON && self.first < self.free.len() {
            let step = self.first;
            let taken = left.min(self.free[step]);
            self.free[step] -= taken;
            left -= taken;
            if self.free[step] <= EPSILON {
                self.first = step + 1;
            }
            self.add(step + steps, taken);
        }
    }

    /// Reserves slots of `steps` steps each for `count` tasks that arrive in every step.
    ///
    /// A task takes the slot that became free last. Slots that the arrivals do not need thus stay
    /// free from their first step on.
    fn reserve_arrivals(&mut self, count: f64, steps: usize) {
        let mut queued = 0.0;
        let mut known: Vec<usize> = Vec::new();
        for step in 0..self.free.len() {
            queued += count;
            if self.free[step] > EPSILON {
                known.push(step);
            }
            while let Some(latest) = known.last().copied().filter(|_| queued > EPSILON) {
                let taken = f64::min(queued, self.free[latest]);
                self.free[latest] -= taken;
                queued -= taken;
                self.add(step + steps, taken);
                if self.free[latest] <= EPSILON {
                    known.pop();
                }
            }
        }
        let first = self.free.iter().position(|free| *free > EPSILON);
        self.first = first.unwrap_or(self.free.len());
    }
}

/// Capacity forecast for the workers of one service.
#[derive(Clone, Debug)]
pub struct Forecast {
    curves: Vec<Curve>,
}

impl Forecast {
    /// Time span that the forecast covers.
    pub const LENGTH: Span = Span::from_ms(MAX_STEPS as u64 * STEP_MS as u64);

    /// Creates a forecast for the sizes and labels of the waiting tasks from the runs in progress
    /// on the workers of a service.
    pub fn new<'a>(
        queued: impl Iterator<Item = &'a QueuedTasks>,
        workers: impl Iterator<Item = &'a WorkerView>,
        now: Time,
    ) -> Self {
        let mut curves: Vec<Curve> = Vec::new();
        let mut last = 0;
        for queued in queued {
            last = last.max(step_at(queued.useful_start, now));
            if let Some(curve) = curves.iter_mut().find(|curve| matches(curve, queued)) {
                curve.size.need = curve.size.need.max(&queued.need);
            } else if curves.len() < MAX_CURVES {
                curves.push(Curve {
                    size: Size {
                        class: class_of(&queued.need),
                        need: queued.need,
                        label: queued.label.clone(),
                        slots: 0.0,
                        share: 0.0,
                    },
                    free: Vec::new(),
                    first: 0,
                    unplaceable: None,
                });
            }
        }
        // Later starts than the last useful one are never looked up.
        let steps = (last + 1).min(MAX_STEPS);
        for curve in &mut curves {
            (curve.free, curve.first) = (vec![0.0; steps], steps);
        }
        let mut capacity = 0.0;
        let mut ends = Vec::new();
        for worker in workers.filter(|worker| worker.is_usable()) {
            ends.clear();
            ends.extend(worker.expected_ends(now));
            ends.sort_unstable_by_key(|(end, _)| *end);
            capacity += cores(&worker.listed.capacity);
            for curve in &mut curves {
                if worker.listed.has_label(&curve.size.label) {
                    curve.size.share += cores(&worker.listed.capacity);
                    add_worker(curve, worker, &ends, now);
                }
            }
        }
        for curve in &mut curves {
            curve.size.share /= f64::max(capacity, 1.0);
        }
        Self { curves }
    }

    /// Returns whether the forecast has a curve for these tasks; there may be too many sizes and
    /// labels.
    #[must_use]
    pub fn covers(&self, queued: &QueuedTasks) -> bool {
        self.curve(queued).is_some()
    }

    /// Returns the number of slots of this size on all workers that may run these tasks.
    #[must_use]
    pub fn slots(&self, queued: &QueuedTasks) -> f64 {
        self.curve(queued).map_or(0.0, |curve| curve.size.slots)
    }

    /// Returns the share of these slots that arriving `work` (in thousandths of a core) needs.
    #[must_use]
    pub fn load(&self, queued: &QueuedTasks, work: f64) -> f64 {
        self.curve(queued).map_or(0.0, |curve| {
            let slots = work * curve.size.share / cores(&curve.size.need);
            slots / curve.size.slots.max(1.0)
        })
    }

    /// Returns the time for which the tasks of an entry occupy all slots of their size, in
    /// milliseconds.
    #[must_use]
    pub fn occupancy_ms(&self, queued: &QueuedTasks, mean_ms: f64) -> f64 {
        count(queued) * mean_ms / self.slots(queued).max(1.0)
    }

    fn curve(&self, queued: &QueuedTasks) -> Option<&Curve> {
        self.curves.iter().find(|curve| matches(curve, queued))
    }

    /// Returns the expected time until the last task starts, for a mean run time in milliseconds.
    ///
    /// Returns `None` if that is past the end of the forecast or no curve covers the tasks.
    #[must_use]
    pub fn last_start(&mut self, queued: &QueuedTasks, mean_ms: f64) -> Option<Span> {
        let curve = self.curves.iter_mut().find(|curve| matches(curve, queued))?;
        let step = curve.last_start(count(queued), steps(mean_ms))?;
        Some(Span::from_ms(step as u64 * u64::from(STEP_MS)))
    }

    /// Returns the expected time until the first task starts, regardless of the number of tasks.
    #[must_use]
    pub fn first_start(&mut self, queued: &QueuedTasks) -> Option<Span> {
        let curve = self.curves.iter_mut().find(|curve| matches(curve, queued))?;
        let step = curve.last_start(1.0, 1)?;
        Some(Span::from_ms(step as u64 * u64::from(STEP_MS)))
    }

    /// Reserves slots for all tasks of an entry, for a mean run time in milliseconds.
    pub fn reserve(&mut self, queued: &QueuedTasks, mean_ms: f64) {
        let Some(own) = self.curve(queued).map(|curve| curve.size.clone()) else { return };
        for curve in &mut self.curves {
            let slots = count(queued) * curve.size.ratio(&own);
            curve.reserve(slots, steps(mean_ms));
        }
    }

    /// Reserves slots for future arrivals that are served first.
    pub fn reserve_arrivals(&mut self, rate: ArrivalRate) {
        let (step_ms, mean) = (f64::from(STEP_MS), steps(rate.mean_ms()));
        for curve in &mut self.curves {
            let slots = rate.cores * step_ms * curve.size.share / cores(&curve.size.need);
            if slots > EPSILON {
                curve.reserve_arrivals(slots, mean);
            }
        }
    }
}

fn matches(curve: &Curve, queued: &QueuedTasks) -> bool {
    curve.size.class == class_of(&queued.need) && curve.size.label == queued.label
}

/// Adds the slots of a worker at the times at which they become free.
///
/// `ends` holds the expected ends of its runs in order, and the resources that each run returns.
fn add_worker(curve: &mut Curve, worker: &WorkerView, ends: &[(Time, Need)], now: Time) {
    let all = curve.size.need.count_in(&worker.listed.capacity);
    if all == 0 {
        return;
    }
    let available_at = step_at(worker.available_at(now), now);
    if worker.is_on_probation() || worker.is_exclusive() {
        let last = ends.last().map_or(0, |(end, _)| step_at(*end, now));
        curve.size.slots += 1.0;
        curve.add(last.max(available_at), 1.0);
        return;
    }
    let known = curve.size.need.count_in(worker.free());
    curve.add(available_at, f64::from(known));
    if has_similar_runs(worker, &curve.size.need, ends) {
        curve.size.slots += f64::from(known);
        for (end, need) in ends {
            let slots = cores(need) / cores(&curve.size.need);
            curve.size.slots += slots;
            curve.add(step_at(*end, now).max(available_at), slots);
        }
        return;
    }
    curve.size.slots += f64::from(all);
    let (mut capacity, mut known) = (*worker.free(), known);
    for (end, need) in ends {
        capacity = capacity.saturating_add(need);
        let fitting = curve.size.need.count_in(&capacity).min(all);
        curve.add(step_at(*end, now).max(available_at), f64::from(fitting.saturating_sub(known)));
        known = known.max(fitting);
    }
}

/// Returns whether tasks of a size take the place of single runs on a worker: only cores are short,
/// and no run is so small that several have to end first.
fn has_similar_runs(worker: &WorkerView, size: &Need, ends: &[(Time, Need)]) -> bool {
    let free = worker.free();
    let is_large = |(_, run): &(Time, Need)| cores(run) * MAX_SIZE_RATIO >= cores(size);
    size.memory <= free.memory && size.accels <= free.accels && ends.iter().all(is_large)
}

fn step_at(time: Time, now: Time) -> usize {
    let steps = time.since(now).as_ms() / u64::from(STEP_MS);
    usize::try_from(steps).unwrap_or(MAX_STEPS)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
fn steps(ms: f64) -> usize {
    (ms / f64::from(STEP_MS)).round().clamp(1.0, 10.0 * 1_000.0) as usize
}

fn count(queued: &QueuedTasks) -> f64 {
    f64::from(u32::try_from(queued.tasks.len()).unwrap_or(u32::MAX))
}

fn cores(need: &Need) -> f64 {
    f64::from(need.cores.get().max(1))
}
