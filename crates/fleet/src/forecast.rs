//! Forecast of capacity: when the tasks that wait find a placement.
//!
//! The load it answers is tasks of a third to two thirds of a worker: how many run at a time follows
//! from how many fit on each worker, not from the sum of all cores, and a task gets its slot when a
//! run ends, not when the whole work ahead is done.
//!
//! Time is divided into steps. A curve holds for each step how many slots of one size become free in
//! it. Work takes the earliest slots and gives them back when it ends.

use std::collections::VecDeque;

use cranberryhatch_types::{Span, Time};

use crate::{Need, QueuedTasks, WorkerView, arrivals::ArrivalRate};

/// Length of a step in milliseconds.
const STEP_MS: u32 = 5;
/// Largest number of steps.
const MAX_STEPS: usize = 1_000;
/// Largest number of sizes and labels with a curve of their own; jobs of further ones are not refused
/// by the forecast.
const MAX_CURVES: usize = 8;
/// Slots that are less than this, in parts of one, are not looked for.
const EPSILON: f64 = 1e-6;

/// Tasks of about the same size: jobs of one kind differ a little in what they declare.
type Class = (u32, u32, u32);

/// Classes of cores in each doubling.
const CORE_CLASSES_PER_DOUBLING: f64 = 4.0;

fn class_of(need: &Need) -> Class {
    let log = f64::from(need.cores.get().max(1)).log2() * CORE_CLASSES_PER_DOUBLING;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "at most 128")]
    let cores = log as u32;
    (cores, need.memory.get().max(1).ilog2(), need.accels.get())
}

/// A size of tasks and the label that they ask for.
#[derive(Clone, Debug)]
struct Size {
    class: Class,
    // The largest of the class that waits.
    need: Need,
    label: String,
    // Slots on all workers, whether free or not.
    slots: f64,
    // Share of the room of the service that the workers with the label have.
    share: f64,
}

impl Size {
    /// Slots of this size that a slot of another one takes up.
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
    // Slots that become free in each step and are not taken.
    free: Vec<f64>,
    // No slot is free before this step.
    first: usize,
    // A job of so many tasks, that take so many steps each, has found no start for its last task.
    // Slots only get scarcer, so larger ones find none either.
    unplaceable: Option<(f64, usize)>,
}

impl Curve {
    fn add(&mut self, step: usize, count: f64) {
        if let Some(free) = self.free.get_mut(step) {
            *free += count;
            self.first = self.first.min(step);
        }
    }

    /// The step in which the last of `count` tasks that take some steps each starts; none if that is too
    /// far away.
    fn last_start(&mut self, count: f64, steps: usize) -> Option<usize> {
        if self
            .unplaceable
            .is_some_and(|(tasks, occupancy_ms)| count >= tasks && steps >= occupancy_ms)
        {
            return None;
        }
        let mut left = count;
        // Slots that tasks of the same job give back, and when.
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

    /// Takes the earliest slots for some steps.
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

    /// Takes slots for some steps for `count` tasks that arrive in each step.
    ///
    /// A task takes the slot that became free last, so that slots which the arrivals do not need stay
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

/// Forecast for the workers of one service.
#[derive(Clone, Debug)]
pub struct Forecast {
    curves: Vec<Curve>,
}

impl Forecast {
    /// Time that it covers.
    pub const LENGTH: Span = Span::from_ms(MAX_STEPS as u64 * STEP_MS as u64);

    /// A forecast for the sizes and labels of what waits, with what runs on the workers of a service.
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
        // No start after the last useful one is asked for.
        let steps = (last + 1).min(MAX_STEPS);
        for curve in &mut curves {
            (curve.free, curve.first) = (vec![0.0; steps], steps);
        }
        let mut room = 0.0;
        let mut expected_ends = Vec::new();
        for worker in workers.filter(|worker| worker.is_usable()) {
            expected_ends.clear();
            expected_ends.extend(worker.expected_ends(now));
            expected_ends.sort_unstable_by_key(|(end, _)| *end);
            room += cores(&worker.listed.room);
            for curve in &mut curves {
                if worker.listed.has_label(&curve.size.label) {
                    curve.size.share += cores(&worker.listed.room);
                    add_worker(curve, worker, &expected_ends, now);
                }
            }
        }
        for curve in &mut curves {
            curve.size.share /= f64::max(room, 1.0);
        }
        Self { curves }
    }

    /// Whether it tells anything about a waiting task; there may be too many sizes and labels.
    #[must_use]
    pub fn covers(&self, queued: &QueuedTasks) -> bool {
        self.curve(queued).is_some()
    }

    /// Slots of the size of a waiting task on all workers that may run it.
    #[must_use]
    pub fn slots(&self, queued: &QueuedTasks) -> f64 {
        self.curve(queued).map_or(0.0, |curve| curve.size.slots)
    }

    /// Share of these slots that arrivals of `work` (thousandths of a core) need.
    #[must_use]
    pub fn load(&self, queued: &QueuedTasks, work: f64) -> f64 {
        self.curve(queued).map_or(0.0, |curve| {
            let slots = work * curve.size.share / cores(&curve.size.need);
            slots / curve.size.slots.max(1.0)
        })
    }

    /// Time for which all tasks of an entry take all these slots, in milliseconds.
    #[must_use]
    pub fn occupancy_ms(&self, queued: &QueuedTasks, mean_ms: f64) -> f64 {
        count(queued) * mean_ms / self.slots(queued).max(1.0)
    }

    fn curve(&self, queued: &QueuedTasks) -> Option<&Curve> {
        self.curves.iter().find(|curve| matches(curve, queued))
    }

    /// Expected time until the last task starts, for a mean run time in milliseconds; none if that is
    /// past the end of the forecast or there are too many sizes.
    #[must_use]
    pub fn last_start(&mut self, queued: &QueuedTasks, mean_ms: f64) -> Option<Span> {
        let curve = self.curves.iter_mut().find(|curve| matches(curve, queued))?;
        let step = curve.last_start(count(queued), steps(mean_ms))?;
        Some(Span::from_ms(step as u64 * u64::from(STEP_MS)))
    }

    /// Expected time until the first task starts, whatever the number of tasks.
    #[must_use]
    pub fn first_start(&mut self, queued: &QueuedTasks) -> Option<Span> {
        let curve = self.curves.iter_mut().find(|curve| matches(curve, queued))?;
        let step = curve.last_start(1.0, 1)?;
        Some(Span::from_ms(step as u64 * u64::from(STEP_MS)))
    }

    /// Takes slots for all tasks of an entry, of a mean run time in milliseconds.
    pub fn reserve(&mut self, queued: &QueuedTasks, mean_ms: f64) {
        let Some(own) = self.curve(queued).map(|curve| curve.size.clone()) else { return };
        for curve in &mut self.curves {
            let slots = count(queued) * curve.size.ratio(&own);
            curve.reserve(slots, steps(mean_ms));
        }
    }

    /// Takes slots for work that arrives from now on and goes first.
    pub fn reserve_arrivals(&mut self, rate: ArrivalRate) {
        let (step_ms, mean) = (f64::from(STEP_MS), steps(rate.mean_ms()));
        for curve in &mut self.curves {
            let slots = rate.room * step_ms * curve.size.share / cores(&curve.size.need);
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
/// `ends` are the expected ends of its runs in order, and the room that each gives back.
fn add_worker(curve: &mut Curve, worker: &WorkerView, expected_ends: &[(Time, Need)], now: Time) {
    let all = curve.size.need.count_in(&worker.listed.room);
    if all == 0 {
        return;
    }
    let available_at = step_at(worker.available_at(now), now);
    if worker.is_on_probation() {
        let last = expected_ends.last().map_or(0, |(end, _)| step_at(*end, now));
        curve.size.slots += 1.0;
        curve.add(last.max(available_at), 1.0);
        return;
    }
    curve.size.slots += f64::from(all);
    let mut room = *worker.free();
    let mut known = curve.size.need.count_in(&room);
    curve.add(available_at, f64::from(known));
    for (end, need) in expected_ends {
        room = room.saturating_add(need);
        let fitting = curve.size.need.count_in(&room).min(all);
        curve.add(step_at(*end, now).max(available_at), f64::from(fitting.saturating_sub(known)));
        known = known.max(fitting);
    }
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
