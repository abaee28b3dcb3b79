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
const MS: u64 = 1_500;
/// Cost of a place in another zone: a hop, and bytes that are paid for.
const OTHER_ZONE: u64 = 2 * MS;
/// Cost of a place away from the rack of the data, besides the longer run time.
const OTHER_RACK: u64 = 20 * MS;
/// Cost of a place on a worker on which a task of the job failed or stalled.
const AVOIDED: u64 = 100_000;
/// Cost of a place on a worker whose orders often get no answer: a quarter of a wait for it.
const RISKY: u64 = 50 * MS;
/// Cost of a place that is a tenth faster than another one that meets the objective: it is missing for a
/// task that needs it. A factor of 1.6 outweighs the room of a task of half a worker.
const SPARED: u64 = 3 * MS;
/// Cost of a place on a worker that is slow for its class: its speed is not known well.
const UNSURE: u64 = 100 * MS;
/// Cost that keeps places that miss the objective behind those that meet it.
const LATE: u64 = 1 << 40;
/// Time that must be left to the objective on a worker that is slower than the fastest class: the estimate of its
/// speed is off by some percent.
const MARGIN: Span = Span::from_ms(10);
/// Run time of a task that tells soon whether a worker has recovered.
const SHORT: Span = Span::from_ms(250);
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
    pub fn of(waiting: &QueuedTasks, factor: f64, now: Time) -> Self {
        let longest = waiting.due.since(waiting.latest_start);
        let margin = if factor > 1.0 { MARGIN } else { Span::ZERO };
        let end = now + stretched(longest, factor) + margin;
        if end <= waiting.due {
            Self::OnTime
        } else if end <= waiting.useful_start + longest {
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
    pub site: &'a WorkerView,
    /// Whether it is away from the rack of the data.
    pub away: bool,
    /// Times the expected run time that the task takes there.
    pub factor: f64,
    /// Logarithm of the part of it that is due to the rack.
    pub away_log: f64,
}

impl Placement<'_> {
    /// Run time that a worker of the fastest class would need in this place.
    #[must_use]
    pub fn expected(&self, waiting: &QueuedTasks) -> Span {
        if self.away { stretched(waiting.expected, self.away_log.exp()) } else { waiting.expected }
    }
}

/// Workers of one pace.
struct Group<I> {
    near: u64,
    away: u64,
    pace: SlownessLevel,
    sites: I,
}

/// The place that costs a task least; none when no worker has room.
///
/// The workers of each pace come in the order of their free cores, so that none after one that leaves as
/// much as the best place costs is better.
pub(crate) fn choose<'a, I: Iterator<Item = &'a WorkerView>>(
    paces: impl Iterator<Item = (SlownessLevel, I)>,
    waiting: &QueuedTasks,
    racks: &RackSlowdown,
    now: Time,
) -> Option<Placement<'a>> {
    let rack = if waiting.rack.is_empty() { 1.0 } else { racks.factor() };
    let mut groups: Vec<Group<I>> = paces
        .map(|(pace, sites)| Group {
            near: base(waiting, pace, pace.factor(), now),
            away: base(waiting, pace, pace.factor() * rack, now) + OTHER_RACK,
            pace,
            sites,
        })
        .collect();
    groups.sort_by_key(|group| group.near);
    let mut best: Option<(u64, SlownessLevel, bool, &WorkerView)> = None;
    for group in groups {
        for site in group.sites {
            let left = site.free().cores.get().saturating_sub(waiting.need.cores.get());
            if best.is_some_and(|(cost, ..)| group.near + u64::from(left) >= cost) {
                break;
            }
            if !may_run(site, waiting, now) {
                continue;
            }
            let away = !site.listed.has_label(&waiting.rack);
            let base = if away { group.away } else { group.near };
            let cost = base + u64::from(left) + extra(site, waiting);
            if best.is_none_or(|(known, ..)| cost < known) {
                best = Some((cost, group.pace, away, site));
            }
        }
    }
    best.map(|(_, pace, away, site)| Placement {
        site,
        away,
        factor: pace.factor() * if away { rack } else { 1.0 },
        away_log: if away { racks.log() } else { 0.0 },
    })
}

/// Whether a run would be worth more on a worker that has no room now but takes tasks of this kind.
pub(crate) fn is_worth_waiting<'a>(
    mut sites: impl Iterator<Item = &'a WorkerView>,
    worth: Timeliness,
    waiting: &QueuedTasks,
    racks: &RackSlowdown,
    now: Time,
) -> bool {
    let rack = racks.factor();
    sites.any(|site| {
        site.may_take(now)
            && !site.is_suspect()
            && waiting.need.fits(&site.listed.room)
            && is_suited(site, waiting)
            && Timeliness::of(waiting, factor_of(site, waiting, rack), now) < worth
            && !is_avoided(site, waiting)
    })
}

/// Whether a slow worker may be tried with a task: a short one, which tells soon, if its answer is of use
/// also where the worker is still slow. Others serve if `any`.
pub(crate) fn may_probe(site: &WorkerView, waiting: &QueuedTasks, any: bool, now: Time) -> bool {
    let is_useful =
        || Timeliness::of(waiting, site.slowness_factor(now), now) < Timeliness::TooLate;
    may_run(site, waiting, now)
        && !is_avoided(site, waiting)
        && site.listed.has_label(&waiting.rack)
        && waiting.latest_start >= now
        && (any || (waiting.expected <= SHORT && is_useful()))
}

/// The choice of a worker that is probed.
pub(crate) fn probe(site: &WorkerView) -> Placement<'_> {
    Placement { site, away: false, factor: site.pace().factor(), away_log: 0.0 }
}

fn may_run(site: &WorkerView, waiting: &QueuedTasks, now: Time) -> bool {
    waiting.need.fits(site.free())
        && site.takes_tasks(now)
        && is_suited(site, waiting)
        && (waiting.spread == 0 || site.held_of(&waiting.job, waiting.step) < waiting.spread)
}

fn is_suited(site: &WorkerView, waiting: &QueuedTasks) -> bool {
    site.listed.service == waiting.service && site.listed.has_label(&waiting.label)
}

fn is_avoided(site: &WorkerView, waiting: &QueuedTasks) -> bool {
    waiting.avoid.iter().any(|avoided| avoided == site.id().as_str())
}

fn factor_of(site: &WorkerView, waiting: &QueuedTasks, rack: f64) -> f64 {
    let near = site.listed.has_label(&waiting.rack);
    site.pace().factor() * if near { 1.0 } else { rack }
}

/// Cost of a place by its speed.
fn base(waiting: &QueuedTasks, pace: SlownessLevel, factor: f64, now: Time) -> u64 {
    let run = || stretched(waiting.expected, factor).as_ms().min(LATE / MS / 2) * MS;
    match Timeliness::of(waiting, factor, now) {
        Timeliness::OnTime => u64::from(pace.below_slowest()) * SPARED,
        Timeliness::Late => LATE + run(),
        Timeliness::TooLate => 2 * LATE + run(),
    }
}

/// Cost of a place apart from its speed and the room that it leaves.
fn extra(site: &WorkerView, waiting: &QueuedTasks) -> u64 {
    let mut cost = 0;
    if site.listed.zone != waiting.zone {
        cost += OTHER_ZONE;
    }
    if site.is_risky() {
        cost += RISKY;
    }
    if site.is_slow() {
        cost += UNSURE;
    }
    if is_avoided(site, waiting) {
        cost += AVOIDED;
    }
    cost
}

fn stretched(span: Span, factor: f64) -> Span {
    #[expect(clippy::cast_precision_loss, reason = "run times are far below 2^52 ms")]
    let ms = span.as_ms() as f64 * factor;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "not negative")]
    Span::from_ms(ms as u64)
}
