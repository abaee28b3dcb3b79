//! Placing: which worker a task goes to.
//!
//! The load it answers is a service that is four fifths full with tasks of a third to two thirds of
//! a worker: a task on the emptiest worker would break up the room that the next large task needs,
//! so each goes where it leaves least.

use cranberryhatch_types::Time;

use crate::{Site, Waiting};

/// Room that a worker in another zone must save to be chosen, in thousandths of a core.
///
/// A tenth of a small worker; a hop between zones costs a millisecond and bytes that are paid for.
const OTHER_ZONE: u32 = 3_000;
/// Like [`OTHER_ZONE`], for a worker away from the rack of the data: a run there takes twice as long
/// or more.
const OTHER_RACK: u32 = 30_000;
/// Like [`OTHER_ZONE`], for a worker on which a task of the job failed or stalled.
const AVOIDED: u32 = 100_000;

/// The worker that fits the task best; none when no worker has room.
///
/// `sites` come in the order of their free cores, so that no worker after one that leaves as much as the
/// best one costs is better.
pub(crate) fn choose<'a>(
    sites: impl Iterator<Item = &'a Site>,
    waiting: &Waiting,
    now: Time,
) -> Option<&'a Site> {
    let mut best: Option<(u32, &Site)> = None;
    for site in sites {
        let left = site.free().cores.get().saturating_sub(waiting.need.cores.get());
        if best.is_some_and(|(cost, _)| left >= cost) {
            break;
        }
        if !may_run(site, waiting, now) {
            continue;
        }
        let cost = cost(site, waiting);
        if best.is_none_or(|(known, _)| cost < known) {
            best = Some((cost, site));
        }
    }
    best.map(|(_, site)| site)
}

fn may_run(site: &Site, waiting: &Waiting, now: Time) -> bool {
    waiting.need.fits(site.free())
        && site.takes_tasks(now)
        && site.listed.service == waiting.service
        && site.listed.has_label(&waiting.label)
        && (waiting.spread == 0 || site.held_of(&waiting.job, waiting.step) < waiting.spread)
}

fn cost(site: &Site, waiting: &Waiting) -> u32 {
    let left = site.free().cores.get() - waiting.need.cores.get();
    let mut cost = left;
    if site.listed.zone != waiting.zone {
        cost += OTHER_ZONE;
    }
    if !site.listed.has_label(&waiting.rack) {
        cost += OTHER_RACK;
    }
    if waiting.avoid.iter().any(|avoided| avoided == site.id().as_str()) {
        cost += AVOIDED;
    }
    cost
}
