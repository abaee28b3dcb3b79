//! Fair sharing of scarce capacity between availability zones, by service and priority.
//!
//! In a sustained overload in which the callers of one zone send more than others, each zone would
//! be served in proportion to what it sends. Granted work is counted by zone and decays within
//! seconds. A zone that has received more than the mean of the requesting zones gets only what the
//! others leave. Each service has its own workers, so services do not compete.

use cranberryhatch_types::{Span, Time};

use crate::{QueuedTasks, VecMap};

/// Time constant with which granted work decays, in milliseconds.
const DECAY_MS: f64 = 2_000.0;
/// Multiple of the mean above which a zone has had its share.
const TOLERANCE: f64 = 1.03;
/// Share of the most served zone's work below which a zone is left out of the mean, because it
/// requests next to nothing.
const NEGLIGIBLE_SHARE: f64 = 0.01;
/// Time for which capacity counts as scarce after a refusal.
const SHORTAGE_PERIOD: Span = Span::from_secs(2);
/// Maximum number of services, priorities and zones whose work is counted.
const MAX_KEYS: usize = 1_000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    service: String,
    priority: u32,
    zone: String,
}

impl From<&QueuedTasks> for Key {
    fn from(queued: &QueuedTasks) -> Self {
        let QueuedTasks { service, priority, zone, .. } = queued;
        Self { service: service.clone(), priority: *priority, zone: zone.clone() }
    }
}

/// Recently granted work by service, priority and zone.
#[derive(Debug, Default)]
pub struct FairShare {
    // Weights of zones; others have weight 1.
    weights: VecMap<String, f64>,
    granted: VecMap<Key, (f64, Time)>,
    // When a job was last refused, by service and priority.
    refusals: VecMap<(String, u32), Time>,
}

impl FairShare {
    /// Creates a sharing by these weights.
    #[must_use]
    pub fn new(weights: impl IntoIterator<Item = (String, f64)>) -> Self {
        let mut sharing = Self::default();
        for (zone, weight) in weights.into_iter().filter(|(_, weight)| *weight > 0.0) {
            sharing.weights.insert(zone, weight);
        }
        sharing
    }

    /// Records granted work, in thousandths of a core times milliseconds.
    pub fn record_grant(&mut self, queued: &QueuedTasks, work: f64, now: Time) {
        let key = Key::from(queued);
        if self.granted.len() >= MAX_KEYS && !self.granted.contains(&key) {
            self.granted.retain(|_, (work, at)| decayed(*work, *at, now) >= 1.0);
            if self.granted.len() >= MAX_KEYS {
                return;
            }
        }
        let entry = self.granted.get_or_insert_with(key, || (0.0, now));
        *entry = (decayed(entry.0, entry.1, now) + work, now);
    }

    /// Records that a job was refused, so that capacity for its service and priority is scarce.
    pub fn record_refusal(&mut self, queued: &QueuedTasks, now: Time) {
        if self.refusals.len() >= MAX_KEYS {
            self.refusals.retain(|_, at| now.since(*at) < SHORTAGE_PERIOD);
        }
        self.refusals.insert((queued.service.clone(), queued.priority), now);
    }

    /// Returns whether capacity for a service and priority is scarce.
    fn is_short(&self, key: &Key, now: Time) -> bool {
        let at = self.refusals.get(&(key.service.clone(), key.priority));
        at.is_some_and(|at| now.since(*at) < SHORTAGE_PERIOD)
    }

    /// Returns the work that was recently granted to a zone, divided by its weight.
    fn served(&self, key: &Key, now: Time) -> f64 {
        let weight = self.weights.get(&key.zone).copied().unwrap_or(1.0);
        self.granted.get(key).map_or(0.0, |(work, at)| decayed(*work, *at, now) / weight)
    }

    /// Returns the zones that have had more than their share of scarce capacity.
    #[must_use]
    pub fn overserved_zones(&self, now: Time) -> OverservedZones {
        if !self.refusals.iter().any(|(_, at)| now.since(*at) < SHORTAGE_PERIOD) {
            return OverservedZones::default();
        }
        let all: Vec<(&Key, f64)> =
            self.granted.iter().map(|(key, _)| (key, self.served(key, now))).collect();
        let mut overserved = Vec::new();
        let same_queue = |(a, _): &(&Key, f64), (b, _): &(&Key, f64)| {
            (&a.service, a.priority) == (&b.service, b.priority)
        };
        for zones in all.chunk_by(same_queue).filter(|zones| self.is_short(zones[0].0, now)) {
            let largest = zones.iter().map(|(_, served)| *served).fold(0.0, f64::max);
            let counted = zones.iter().filter(|(_, served)| *served > NEGLIGIBLE_SHARE * largest);
            let (sum, number) = counted.fold((0.0, 0.0), |(sum, n), (_, of)| (sum + of, n + 1.0));
            let limit = TOLERANCE * sum / f64::max(number, 1.0);
            let over = zones.iter().filter(|(_, served)| *served > limit);
            overserved.extend(over.map(|(key, _)| (*key).clone()));
        }
        OverservedZones { zones: overserved }
    }
}

/// Zones that have had more than their share.
#[derive(Debug, Default)]
pub struct OverservedZones {
    zones: Vec<Key>,
}

impl OverservedZones {
    /// Returns whether the zone of these tasks is one of them.
    #[must_use]
    pub fn contains(&self, queued: &QueuedTasks) -> bool {
        let find = |key: &Key| {
            (key.service.as_str(), key.priority, key.zone.as_str()).cmp(&(
                &queued.service,
                queued.priority,
                &queued.zone,
            ))
        };
        self.zones.binary_search_by(find).is_ok()
    }
}

fn decayed(work: f64, at: Time, now: Time) -> f64 {
    let passed = f64::from(u32::try_from(now.since(at).as_ms()).unwrap_or(u32::MAX));
    work * (-passed / DECAY_MS).exp()
}
