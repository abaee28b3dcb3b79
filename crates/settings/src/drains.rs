//! Availability zones that operators have drained.

use cranberryhatch_schema::Key;
use cranberryhatch_types::ZoneId;

use crate::{Path, Tree};

/// Drained availability zones, sorted.
///
/// ```
/// use cranberryhatch_settings::{Drains, Tree};
///
/// let text = "[deployment d]\nzones.names = a b\n[zone a]\nzone.drained = on\n";
/// let drains = Drains::of(&Tree::parse(text).expect("a valid tree"));
/// let (a, b) = ("a".parse().expect("id"), "b".parse().expect("id"));
/// assert!(drains.has(&a) && !drains.has(&b));
/// assert!(drains.strands(&a, false, &[a.clone(), b.clone()]));
/// assert!(!drains.strands(&a, true, &[a.clone(), b]));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drains {
    zones: Vec<ZoneId>,
}

impl Drains {
    /// Returns the zones that a settings tree marks as drained.
    #[must_use]
    pub fn of(tree: &Tree) -> Self {
        let zones = tree.settings().iter().filter_map(|setting| match &setting.path {
            Path::Zone(zone) if setting.key == Key::ZoneDrained => Some(zone),
            _ => None,
        });
        // Settings are sorted by path, so the zones are sorted too.
        let zones = zones.filter(|zone| tree.resolve(zone, None, None).zone_drained);
        Self { zones: zones.cloned().collect() }
    }

    /// Returns the drained zones, sorted.
    #[must_use]
    pub fn zones(&self) -> &[ZoneId] {
        &self.zones
    }

    /// Returns `true` if no zone is drained.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns `true` if the zone is drained.
    #[must_use]
    pub fn has(&self, zone: &ZoneId) -> bool {
        self.zones.binary_search(zone).is_ok()
    }

    /// Returns `true` if the drains leave the instances of `zone` without any endpoint.
    ///
    /// The instances may use endpoints of their own zone and, with `cross_zone`, of all zones.
    /// `occupied` lists the zones that have endpoints. Returns `false` if there was no usable
    /// endpoint without the drains either.
    #[must_use]
    pub fn strands(&self, zone: &ZoneId, cross_zone: bool, occupied: &[ZoneId]) -> bool {
        let mut usable = occupied.iter().filter(|other| cross_zone || *other == zone).peekable();
        usable.peek().is_some() && usable.all(|other| self.has(other))
    }
}

impl Tree {
    /// Returns the availability zones of the deployment, sorted.
    #[must_use]
    pub fn zones(&self) -> Vec<ZoneId> {
        let names = self.global().zones_names;
        let mut zones: Vec<ZoneId> =
            names.split_whitespace().filter_map(|name| name.parse().ok()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the zones whose instances have no endpoint left because of the drains; `occupied`
    /// lists the zones that have endpoints.
    #[must_use]
    pub fn stranded(&self, occupied: &[ZoneId]) -> Vec<ZoneId> {
        let drains = Drains::of(self);
        if drains.is_empty() {
            return Vec::new();
        }
        let strands = |zone: &ZoneId| {
            let values = self.resolve(zone, None, None);
            drains.strands(zone, values.borrow_enabled && values.borrow_zones, occupied)
        };
        let mut zones = self.zones();
        zones.retain(strands);
        zones
    }
}
