//! All workers as the scheduler sees them, and an index of their free room by pace.

use cranberryhatch_types::{Cores, Span, Time, WorkerId};

use crate::{
    QueuedTasks, VecMap, WorkerView,
    placement::{self, Placement, Timeliness},
    rack_slowdown::RackSlowdown,
    speed::{ClassSpeeds, SlownessLevel},
};

/// Time between two comparisons of workers with their class.
const COMPARE_EVERY: Span = Span::from_ms(500);
/// Part of the workers of a service that may be paused at a time, as a divisor. More than a third of them
/// have a cause in common, and the others could not carry their load.
const PAUSED_PART: usize = 3;

/// Part of the workers of a service that may be in doubt by chance, as a divisor: single runs take three times the
/// expected time by their own spread, and an overload has thousands a second.
const CHANCE_PART: usize = 8;
/// Most names of racks that are kept.
const RACKS: usize = 1_000;

/// What to do with a task.
#[derive(Clone, Copy, Debug)]
pub enum PlacementDecision<'a> {
    /// Run it here.
    Run(Placement<'a>),
    /// No worker on which it should run has room; one that has takes this many times the expected time.
    Wait(f64),
    /// No worker has room.
    Full,
}

/// Workers by id, and by the cores that are free.
///
/// ```
/// use cranberryhatch_fleet::Sites;
/// use cranberryhatch_types::{Cores, Time};
///
/// assert_eq!(Sites::default().largest(Time::ZERO), Cores::new(0));
/// ```
#[derive(Debug, Default)]
pub struct WorkerPool {
    sites: VecMap<WorkerId, WorkerView>,
    // Sorted places in `sites` of the workers of each pace, by the cores that they offer.
    by_room: VecMap<SlownessLevel, Vec<(Cores, usize)>>,
    slow: Vec<WorkerId>,
    // Names of racks, which do not make a class; sorted.
    racks: Vec<String>,
    compared: Time,
    rack: RackSlowdown,
    // Whether workers came since classes were last compared.
    stale: bool,
}

impl WorkerPool {
    /// A worker.
    #[must_use]
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerView> {
        self.sites.get(id)
    }

    /// All workers in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &WorkerView> {
        self.sites.iter().map(|(_, site)| site)
    }

    /// Adds a worker, or replaces what is known of it.
    pub fn insert(&mut self, mut site: WorkerView) {
        site.classify(&self.racks);
        self.sites.insert(site.id().clone(), site);
        self.stale = true;
        self.index();
    }

    /// Changes a worker; none if it is not known.
    pub fn change<T>(
        &mut self,
        id: &WorkerId,
        change: impl FnOnce(&mut WorkerView) -> T,
    ) -> Option<T> {
        let place = self.sites.index_of(id)?;
        let site = self.sites.value_at_mut(place)?;
        let (before, was_slow) = (key(site), site.is_slow());
        let result = change(site);
        let (after, is_slow) = (key(site), site.is_slow());
        if before != after {
            self.remove_room(place, before);
            self.note_room(place, after);
        }
        if was_slow != is_slow {
            self.note_slow(id, is_slow);
        }
        Some(result)
    }

    /// Tells for each worker whether a start for it may be lost, as its owner says nothing.
    pub fn set_silent(&mut self, is_silent: impl Fn(&WorkerView) -> bool) {
        for (_, site) in self.sites.iter_mut() {
            site.silent = is_silent(site);
        }
    }

    /// Keeps some of the workers, which may be changed.
    pub fn retain(&mut self, mut keep: impl FnMut(&mut WorkerView) -> bool) {
        self.sites.retain(|_, site| keep(site));
        for (_, site) in self.sites.iter_mut() {
            site.classify(&self.racks);
        }
        self.stale = true;
        self.index();
    }

    /// Forgets all workers; names of racks stay.
    pub fn clear(&mut self) {
        self.sites = VecMap::default();
        self.by_room = VecMap::default();
        self.slow.clear();
    }

    /// Learns that a label is the name of a rack.
    pub fn learn_rack(&mut self, rack: &str) {
        let Err(place) = self.racks.binary_search_by(|known| known.as_str().cmp(rack)) else {
            return;
        };
        if rack.is_empty() || self.racks.len() >= RACKS {
            return;
        }
        self.racks.insert(place, rack.to_owned());
        for (_, site) in self.sites.iter_mut().filter(|(_, site)| site.listed.has_label(rack)) {
            site.classify(&self.racks);
            self.stale = true;
        }
    }

    /// Works out the pace of all workers at this time.
    pub fn assess(&mut self, now: Time) {
        let compares = self.stale || now.since(self.compared) >= COMPARE_EVERY;
        let classes = compares.then(|| {
            ClassSpeeds::of(self.iter().map(|site| (site.class(), &site.record().speed)), now)
        });
        if compares {
            self.compared = now;
            self.stale = false;
        }
        // Workers in doubt and all usable ones, by service.
        let mut doubts: VecMap<String, (usize, usize)> = VecMap::default();
        for site in self.iter().filter(|site| site.is_usable()) {
            let service = &site.listed.service;
            if !doubts.contains(service) {
                doubts.insert(service.clone(), (0, 0));
            }
            if let Some((doubtful, all)) = doubts.get_mut(service) {
                *doubtful += usize::from(site.is_in_doubt(now));
                *all += 1;
            }
        }
        let mut moved = false;
        for (_, site) in self.sites.iter_mut() {
            let before = (site.pace(), site.is_slow());
            let doubts = doubts.get(&site.listed.service);
            site.set_by_chance(doubts.is_some_and(|(of, all)| of * CHANCE_PART <= *all));
            if let Some(classes) = &classes {
                site.compare(classes);
            }
            site.assess(now);
            moved |= before != (site.pace(), site.is_slow());
        }
        if moved {
            self.index();
        }
    }

    /// Learns from a run away from the rack of its data.
    pub fn learn_away(&mut self, sample: f64) {
        self.rack.learn(sample);
    }

    /// Whether workers came since their classes were last compared.
    #[must_use]
    pub const fn is_stale(&self) -> bool {
        self.stale
    }

    /// Workers that are slow for their class.
    #[must_use]
    pub fn slow(&self) -> &[WorkerId] {
        &self.slow
    }

    /// Shortens the pauses of a service of which many workers are paused: what they have in common is the
    /// cause, and the others could not carry the load.
    pub fn limit_pauses(&mut self, service: &str, now: Time) {
        let of_service = |site: &&WorkerView| site.listed.service == service && site.is_usable();
        let (mut usable, mut paused) = (0, 0);
        for site in self.iter().filter(of_service) {
            usable += 1;
            paused += usize::from(site.is_paused(now));
        }
        if paused * PAUSED_PART <= usable {
            return;
        }
        let sites = self.sites.iter_mut().map(|(_, site)| site);
        for site in sites.filter(|s| s.listed.service == service && s.is_paused(now)) {
            site.shorten_pause(now);
        }
    }

    /// Largest room of a worker that takes tasks.
    #[must_use]
    pub fn largest(&self, now: Time) -> Cores {
        let takes =
            |place: usize| self.sites.value_at(place).is_some_and(|site| site.takes_tasks(now));
        let largest = self.by_room.iter().filter_map(|(_, sites)| {
            sites.iter().rev().find(|(_, place)| takes(*place)).map(|(cores, _)| *cores)
        });
        largest.max().unwrap_or_default()
    }

    /// The place that costs a task least; none when no worker has room.
    #[must_use]
    pub fn choose(&self, waiting: &QueuedTasks, now: Time) -> Option<Placement<'_>> {
        let paces = self.by_room.iter().filter_map(|(pace, sites)| {
            let first = sites.partition_point(|(cores, _)| *cores < waiting.need.cores);
            let fitting = &sites[first..];
            let sites = fitting.iter().filter_map(|(_, place)| self.sites.value_at(*place));
            (!fitting.is_empty()).then_some((*pace, sites))
        });
        placement::choose(paces, waiting, &self.rack, now)
    }

    /// Where a task runs, or whether it waits for a worker on which it is worth more.
    #[must_use]
    pub fn place(&self, waiting: &QueuedTasks, now: Time) -> PlacementDecision<'_> {
        let Some(choice) = self.choose(waiting, now) else { return PlacementDecision::Full };
        let worth = Timeliness::of(waiting, choice.factor, now);
        let fastest = self.by_room.iter().find(|(_, sites)| !sites.is_empty());
        if fastest.is_some_and(|(pace, _)| choice.factor > pace.factor())
            && worth > Timeliness::OnTime
            && placement::is_worth_waiting(self.iter(), worth, waiting, &self.rack, now)
        {
            return PlacementDecision::Wait(choice.factor);
        }
        PlacementDecision::Run(choice)
    }

    /// A slow worker that a task may probe, also an unsuitable one if `any`; the one that was probed least
    /// lately.
    #[must_use]
    pub fn probe(&self, waiting: &QueuedTasks, any: bool, now: Time) -> Option<Placement<'_>> {
        let slow = self.slow.iter().filter_map(|id| self.get(id));
        let may = slow.filter(|site| {
            site.is_known_slow(now) && placement::may_probe(site, waiting, any, now)
        });
        may.min_by_key(|site| site.probed).map(|site| placement::probe(site))
    }

    fn index(&mut self) {
        self.by_room = VecMap::default();
        self.slow.clear();
        for ((id, site), place) in self.sites.iter().zip(0..) {
            let (pace, cores) = key(site);
            self.by_room.get_or_insert_with(pace, Vec::new).push((cores, place));
            if site.is_slow() {
                self.slow.push(id.clone());
            }
        }
        self.by_room.iter_mut().for_each(|(_, sites)| sites.sort());
    }

    fn note_slow(&mut self, id: &WorkerId, is_slow: bool) {
        match (self.slow.binary_search(id), is_slow) {
            (Ok(place), false) => {
                self.slow.remove(place);
            }
            (Err(place), true) => self.slow.insert(place, id.clone()),
            _ => {}
        }
    }

    fn remove_room(&mut self, place: usize, (pace, cores): (SlownessLevel, Cores)) {
        let Some(sites) = self.by_room.get_mut(&pace) else { return };
        if let Ok(found) = sites.binary_search(&(cores, place)) {
            sites.remove(found);
        }
    }

    fn note_room(&mut self, place: usize, (pace, cores): (SlownessLevel, Cores)) {
        let sites = self.by_room.get_or_insert_with(pace, Vec::new);
        if let Err(found) = sites.binary_search(&(cores, place)) {
            sites.insert(found, (cores, place));
        }
    }
}

/// Pace and room by which a worker is found.
fn key(site: &WorkerView) -> (SlownessLevel, Cores) {
    (site.pace(), site.offered())
}

impl FromIterator<WorkerView> for WorkerPool {
    fn from_iter<T: IntoIterator<Item = WorkerView>>(iter: T) -> Self {
        let mut sites = Self::default();
        iter.into_iter().for_each(|site| sites.insert(site));
        sites
    }
}
