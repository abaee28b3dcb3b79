//! Placing: which worker a task goes to.
//!
//! The load it answers is a service that is four fifths full with tasks of a third to two thirds of
//! a worker: a task on the emptiest worker would break up the room that the next large task needs,
//! so each goes where it leaves least. Where workers differ in speed, or a task's data is near some of
//! them only, a place counts first by whether the task meets its objective there.

use cranberryhatch_types::{Span, Time};

use crate::{QueuedTasks, WorkerView, rack_slowdown::RackSlowdown, speed::SlownessLevel};

/// Units of cost in a millisecond.
///
/// A thousandth of a core that is left over costs one unit: the run of a larger task that finds no room is
/// put off, and a hop between zones (2 ms) is worth as much as a tenth of a small worker (3 cores).
const COST_PER_MS: u64 = 1_500;
/// Cost of a place in another zone: a hop, and bytes that are paid for.
const OTHER_ZONE_COST: u64 = 2 * COST_PER_MS;
/// Cost of a place away from the rack of the data, besides the longer run time.
const OTHER_RACK_COST: u64 = 20 * COST_PER_MS;
/// Cost of a place on a worker on which a task of the job failed or stalled.
const AVOIDED_COST: u64 = 100_000;
/// Cost of a place on a worker whose orders often get no answer: a quarter of a wait for it.
const UNRELIABLE_COST: u64 = 50 * COST_PER_MS;
/// Cost of a place that is a tenth faster than another one that meets the objective: it is missing for a
/// task that needs it. A factor of 1.6 outweighs the room of a task of half a worker.
const FASTER_LEVEL_COST: u64 = 3 * COST_PER_MS;
/// Cost of a place on a worker that is slow for its class: its speed is not known well.
const SLOW_WORKER_COST: u64 = 100 * COST_PER_MS;
/// Cost that keeps places that miss the objective behind those that meet it.
const LATE_COST: u64 = 1 << 40;
/// Time that must be left to the objective on a worker that is slower than the fastest class: the estimate of its
/// speed is off by some percent.
const SLOWER_CLASS_MARGIN: Span = Span::from_ms(10);
/// Run time of a task that tells soon whether a worker has recovered.
const MAX_PROBE_RUN: Span = Span::from_ms(250);
/// What a run that starts now is worth to its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It ends within the objective.
    OnTime,
    /// It ends while the answer is still of some use.
    Late,
    /// It ends too late for any use.
    TooLate,
}

impl Timeliness {
    /// The worth of a run that takes `factor` times as long as expected.
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

/// A place for a task.
#[derive(Clone, Copy, Debug)]
pub struct Placement<'a> {
    /// The worker.
    pub worker: &'a WorkerView,
    /// Whether it is away from the rack of the data.
    pub off_rack: bool,
    /// Times the expected run time that the task takes there.
    pub factor: f64,
    /// Logarithm of the part of it that is due to the rack.
    pub rack_log: f64,
}

impl Placement<'_> {
    /// Run time that a worker of the fastest class would need in this place.
    #[must_use]
    pub fn expected(&self, queued: &QueuedTasks) -> Span {
        if self.off_rack { scaled(queued.expected, self.rack_log.exp()) } else { queued.expected }
    }
}

/// Workers of one pace.
struct Group<I> {
    near_cost: u64,
    off_rack_cost: u64,
    level: SlownessLevel,
    workers: I,
}

/// The place that costs a task least; none when no worker has room.
///
/// The workers of each pace come in the order of their free cores, so that none after one that leaves as
/// much as the best place costs is better.
pub(crate) fn best_placement<'a, I: Iterator<Item = &'a WorkerView>>(
    levels: impl Iterator<Item = (SlownessLevel, I)>,
    queued: &QueuedTasks,
    rack_slowdown: &RackSlowdown,
    now: Time,
) -> Option<Placement<'a>> {
    let rack = if queued.rack.is_empty() { 1.0 } else { rack_slowdown.factor() };
    let mut groups: Vec<Group<I>> = levels
        .map(|(level, workers)| Group {
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

/// Whether a run would be worth more on a worker that has no room now but takes tasks of this kind.
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
            && queued.need.fits(&worker.listed.room)
            && is_suited(worker, queued)
            && Timeliness::of(queued, slowdown(worker, queued, rack), now) < timeliness
            && !is_avoided(worker, queued)
    })
}

/// Whether a slow worker may be tried with a task: a short one, which tells soon, if its answer is of use
/// also where the worker is still slow. Others serve if `any`.
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

/// The choice of a worker that is probed.
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

/// Cost of a place by its speed.
fn speed_cost(queued: &QueuedTasks, level: SlownessLevel, factor: f64, now: Time) -> u64 {
    let run =
        || scaled(queued.expected, factor).as_ms().min(LATE_COST / COST_PER_MS / 2) * COST_PER_MS;
    match Timeliness::of(queued, factor, now) {
        Timeliness::OnTime => u64::from(level.steps_below_slowest()) * FASTER_LEVEL_COST,
        Timeliness::Late => LATE_COST + run(),
        Timeliness::TooLate => 2 * LATE_COST + run(),
    }
}

/// Cost of a place apart from its speed and the room that it leaves.
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
