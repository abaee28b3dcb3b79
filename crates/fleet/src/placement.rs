//! Placement: chooses the worker for each task.
//!
//! The policy suits a service that is 80 % loaded with tasks that need a third to two thirds of a
//! worker. Placing a task on the emptiest worker would fragment the capacity that the next large
//! task needs, so each task goes to the worker with the least capacity left over (best fit). Where
//! workers differ in speed, or only some of them are near a task's data, workers on which the task
//! meets its latency target come first.

use cranberryhatch_types::{Span, Time};

use crate::{QueuedTasks, WorkerView, rack_slowdown::RackSlowdown, speed::SlownessLevel};

/// Cost units per millisecond.
///
/// Each thousandth of a core that is left over costs one unit, because leftover capacity that is
/// too small delays the run of a larger task. A hop between zones (2 ms) costs as much as a tenth
/// of a small worker (3 cores).
const COST_PER_MS: u64 = 1_500;
/// Cost of a worker in another zone: an extra network hop and billed traffic.
const OTHER_ZONE_COST: u64 = 2 * COST_PER_MS;
/// Cost of a worker outside the rack of the data, in addition to the longer run time.
const OTHER_RACK_COST: u64 = 20 * COST_PER_MS;
/// Cost of a worker on which a task of the job failed or stalled.
const AVOIDED_COST: u64 = 100_000;
/// Cost of a worker whose requests often get no response, a quarter of the delay that a lost
/// request causes.
const UNRELIABLE_COST: u64 = 50 * COST_PER_MS;
/// Cost of each slowness level (a tenth) by which a worker is faster than necessary to meet the
/// latency target, because a task that needs the speed may miss it. A factor of 1.6 outweighs the
/// capacity of a task that needs half a worker.
const FASTER_LEVEL_COST: u64 = 3 * COST_PER_MS;
/// Cost of a worker that is slow for its class, because its speed is uncertain.
const SLOW_WORKER_COST: u64 = 100 * COST_PER_MS;
/// Cost that orders workers that miss the latency target after those that meet it.
const LATE_COST: u64 = 1 << 40;
/// Time to spare before the latency target that is required on a worker slower than the fastest
/// class, because its speed estimate is off by a few percent.
const SLOWER_CLASS_MARGIN: Span = Span::from_ms(10);
/// Longest expected run time of a probe, so that it soon shows whether a worker has recovered.
const MAX_PROBE_RUN: Span = Span::from_ms(250);
/// How useful the result of a run that starts now is to its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The run ends within the latency target.
    OnTime,
    /// The run ends late, but while its result is still useful.
    Late,
    /// The run ends when its result is no longer useful.
    TooLate,
}

impl Timeliness {
    /// Returns the timeliness of a run that takes `factor` times the expected run time.
    #[must_use]
    pub fn of(queued: &QueuedTasks, factor: f64, now: Time) -> Self {
        let longest = queued.due.since(queued.latest_start);
        let margin = if factor > 1.0 { SLOWER_CLASS_MARGIN } else { Span::ZERO };
        let end = now + scaled(longest, factor) + margin;
        if end <= queued.due {
            Self::OnTime
        } else if end <= queued.useful_start + longest {
            Self::Late
        } else {
            Self::TooLate
        }
    }
}

/// A worker chosen for a task.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// The chosen worker.
    pub worker: &'a WorkerView,
    /// Whether the worker is outside the rack of the task's data.
    pub off_rack: bool,
    /// Run time on this worker as a multiple of the expected run time.
    pub factor: f64,
    /// Logarithm of the share of `factor` that is due to the rack.
    pub rack_log: f64,
}

impl Placement<'_> {
    /// Returns the expected run time on a worker of the fastest class at the same distance from the
    /// data.
    #[must_use]
    pub fn expected(&self, queued: &QueuedTasks) -> Span {
        if self.off_rack { scaled(queued.expected, self.rack_log.exp()) } else { queued.expected }
    }
}

/// Workers of one slowness level.
struct LevelGroup<I> {
    near_cost: u64,
    off_rack_cost: u64,
    level: SlownessLevel,
    workers: I,
}

/// Returns the placement with the lowest cost, or `None` if no worker has capacity.
///
/// The workers of each level are sorted by free cores, so the search of a level ends at the first
/// worker whose leftover capacity alone costs as much as the best placement.
pub(crate) fn best_placement<'a, I: Iterator<Item = &'a WorkerView>>(
    levels: impl Iterator<Item = (SlownessLevel, I)>,
    queued: &QueuedTasks,
    rack_slowdown: &RackSlowdown,
    now: Time,
) -> Option<Placement<'a>> {
    let rack = if queued.rack.is_empty() { 1.0 } else { rack_slowdown.factor() };
    let mut groups: Vec<LevelGroup<I>> = levels
        .map(|(level, workers)| LevelGroup {
            near_cost: speed_cost(queued, level, level.factor(), now),
            off_rack_cost: speed_cost(queued, level, level.factor() * rack, now) + OTHER_RACK_COST,
            level,
            workers,
        })
        .collect();
    groups.sort_by_key(|group| group.near_cost);
    let mut best: Option<(u64, SlownessLevel, bool, &WorkerView)> = None;
    for group in groups {
        for worker in group.workers {
            let left = worker.free().cores.get().saturating_sub(queued.need.cores.get());
            if best.is_some_and(|(cost, ..)| group.near_cost + u64::from(left) >= cost) {
                break;
            }
            if !can_run(worker, queued, now) {
                continue;
            }
            let off_rack = !worker.listed.has_label(&queued.rack);
            let speed_cost = if off_rack { group.off_rack_cost } else { group.near_cost };
            let cost = speed_cost + u64::from(left) + other_costs(worker, queued);
            if best.is_none_or(|(known, ..)| cost < known) {
                best = Some((cost, group.level, off_rack, worker));
            }
        }
    }
    best.map(|(_, level, off_rack, worker)| Placement {
        worker,
        off_rack,
        factor: level.factor() * if off_rack { rack } else { 1.0 },
        rack_log: if off_rack { rack_slowdown.log() } else { 0.0 },
    })
}

/// Returns whether a worker that is busy now but runs tasks of this kind would yield a better
/// timeliness.
pub(crate) fn is_worth_waiting<'a>(
    mut workers: impl Iterator<Item = &'a WorkerView>,
    timeliness: Timeliness,
    queued: &QueuedTasks,
    rack_slowdown: &RackSlowdown,
    now: Time,
) -> bool {
    let rack = rack_slowdown.factor();
    workers.any(|worker| {
        worker.is_available(now)
            && !worker.is_on_probation()
            && queued.need.fits(&worker.listed.capacity)
            && is_suited(worker, queued)
            && Timeliness::of(queued, slowdown(worker, queued, rack), now) < timeliness
            && !is_avoided(worker, queued)
    })
}

/// Returns whether a slow worker can be probed with a task.
///
/// A probe is a short task, which soon shows the worker's speed, and whose result is still useful
/// if the worker is still slow. With `any_task`, tasks that do not meet these two conditions
/// qualify, too.
pub(crate) fn can_probe(
    worker: &WorkerView,
    queued: &QueuedTasks,
    any_task: bool,
    now: Time,
) -> bool {
    let is_useful =
        || Timeliness::of(queued, worker.slowness_factor(now), now) < Timeliness::TooLate;
    can_run(worker, queued, now)
        && !is_avoided(worker, queued)
        && worker.listed.has_label(&queued.rack)
        && queued.latest_start >= now
        && (any_task || (queued.expected <= MAX_PROBE_RUN && is_useful()))
}

/// Returns the placement of a probe on a worker.
pub(crate) fn probe_placement(worker: &WorkerView) -> Placement<'_> {
    Placement { worker, off_rack: false, factor: worker.slowness_level().factor(), rack_log: 0.0 }
}

fn can_run(worker: &WorkerView, queued: &QueuedTasks, now: Time) -> bool {
    queued.need.fits(worker.free())
        && worker.accepts_tasks(now)
        && is_suited(worker, queued)
        && (queued.spread == 0 || worker.step_count(&queued.job, queued.step) < queued.spread)
}

fn is_suited(worker: &WorkerView, queued: &QueuedTasks) -> bool {
    worker.listed.service == queued.service && worker.listed.has_label(&queued.label)
}

fn is_avoided(worker: &WorkerView, queued: &QueuedTasks) -> bool {
    queued.avoid.iter().any(|avoided| avoided == worker.id().as_str())
}

fn slowdown(worker: &WorkerView, queued: &QueuedTasks, rack: f64) -> f64 {
    let near = worker.listed.has_label(&queued.rack);
    worker.slowness_level().factor() * if near { 1.0 } else { rack }
}

/// Returns the cost of a worker that is due to its speed.
fn speed_cost(queued: &QueuedTasks, level: SlownessLevel, factor: f64, now: Time) -> u64 {
    let run =
        || scaled(queued.expected, factor).as_ms().min(LATE_COST / COST_PER_MS / 2) * COST_PER_MS;
    match Timeliness::of(queued, factor, now) {
        Timeliness::OnTime => u64::from(level.steps_below_slowest()) * FASTER_LEVEL_COST,
        Timeliness::Late => LATE_COST + run(),
        Timeliness::TooLate => 2 * LATE_COST + run(),
    }
}

/// Returns the cost of a worker apart from its speed and its leftover capacity.
fn other_costs(worker: &WorkerView, queued: &QueuedTasks) -> u64 {
    let mut cost = 0;
    if worker.listed.zone != queued.zone {
        cost += OTHER_ZONE_COST;
    }
    if worker.is_unreliable() {
        cost += UNRELIABLE_COST;
    }
    if worker.is_slow() {
        cost += SLOW_WORKER_COST;
    }
    if is_avoided(worker, queued) {
        cost += AVOIDED_COST;
    }
    cost
}

fn scaled(span: Span, factor: f64) -> Span {
    #[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 ms")]
    let ms = span.as_ms() as f64 * factor;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative")]
    Span::from_ms(ms as u64)
}
