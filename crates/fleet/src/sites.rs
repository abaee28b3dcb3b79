//! All workers as the scheduler sees them, and an index of their free room.

use cranberryhatch_types::{Cores, Time, WorkerId};

use crate::{Site, VecMap, Waiting, placing};

/// Workers by id, and by the cores that are free.
///
/// ```
/// use cranberryhatch_fleet::Sites;
/// use cranberryhatch_types::{Cores, Time};
///
/// assert_eq!(Sites::default().largest(Time::ZERO), Cores::new(0));
/// ```
#[derive(Debug, Default)]
pub struct Sites {
    sites: VecMap<WorkerId, Site>,
    // Sorted.
    by_room: Vec<(Cores, WorkerId)>,
}

impl Sites {
    /// A worker.
    #[must_use]
    pub fn get(&self, id: &WorkerId) -> Option<&Site> {
        self.sites.get(id)
    }

    /// All workers in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Site> {
        self.sites.iter().map(|(_, site)| site)
    }

    /// Adds a worker, or replaces what is known of it.
    pub fn insert(&mut self, site: Site) {
        let id = site.id().clone();
        self.forget_room(&id);
        self.note_room(&id, site.free().cores);
        self.sites.insert(id, site);
    }

    /// Changes a worker; none if it is not known.
    pub fn change<T>(&mut self, id: &WorkerId, change: impl FnOnce(&mut Site) -> T) -> Option<T> {
        let site = self.sites.get_mut(id)?;
        let before = site.free().cores;
        let result = change(site);
        let after = site.free().cores;
        if before != after {
            self.remove_room(id, before);
            self.note_room(id, after);
        }
        Some(result)
    }

    /// Tells for each worker whether a start for it may be lost, as its owner says nothing.
    pub fn set_silent(&mut self, is_silent: impl Fn(&Site) -> bool) {
        for (_, site) in self.sites.iter_mut() {
            site.silent = is_silent(site);
        }
    }

    /// Keeps some of the workers, which may be changed.
    pub fn retain(&mut self, mut keep: impl FnMut(&mut Site) -> bool) {
        self.sites.retain(|_, site| keep(site));
        self.by_room = self.iter().map(|site| (site.free().cores, site.id().clone())).collect();
        self.by_room.sort();
    }

    /// Largest room of a worker that takes tasks.
    #[must_use]
    pub fn largest(&self, now: Time) -> Cores {
        let takes = |id: &WorkerId| self.get(id).is_some_and(|site| site.takes_tasks(now));
        let largest = self.by_room.iter().rev().find(|(_, id)| takes(id));
        largest.map(|(cores, _)| *cores).unwrap_or_default()
    }

    /// The worker that fits a task best; none when no worker has room.
    #[must_use]
    pub fn choose(&self, waiting: &Waiting, now: Time) -> Option<&Site> {
        let first = self.by_room.partition_point(|(cores, _)| *cores < waiting.need.cores);
        placing::choose(
            self.by_room[first..].iter().filter_map(|(_, id)| self.get(id)),
            waiting,
            now,
        )
    }

    fn forget_room(&mut self, id: &WorkerId) {
        if let Some(cores) = self.sites.get(id).map(|site| site.free().cores) {
            self.remove_room(id, cores);
        }
    }

    fn remove_room(&mut self, id: &WorkerId, cores: Cores) {
        let place = self.by_room.binary_search_by(|(room, known)| (room, known).cmp(&(&cores, id)));
        if let Ok(place) = place {
            self.by_room.remove(place);
        }
    }

    fn note_room(&mut self, id: &WorkerId, cores: Cores) {
        let place = self.by_room.binary_search_by(|(room, known)| (room, known).cmp(&(&cores, id)));
        if let Err(place) = place {
            self.by_room.insert(place, (cores, id.clone()));
        }
    }
}

impl FromIterator<Site> for Sites {
    fn from_iter<T: IntoIterator<Item = Site>>(iter: T) -> Self {
        let mut sites = Self::default();
        iter.into_iter().for_each(|site| sites.insert(site));
        sites
    }
}
