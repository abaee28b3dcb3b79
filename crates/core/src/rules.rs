//! Settings of workers, slots and peers.

use cranberryhatch_schema::{PlacementPolicy, Values};
use cranberryhatch_types::{Ratio, Span};

/// Subset of the local settings that concerns workers, slots and peers.
#[derive(Clone, Debug)]
pub(crate) struct Rules {
    /// Lease of a slot that is lent or granted from a quota (`lease.slot`).
    pub(crate) lease: Span,
    /// Time by which a lender or owner waits longer than the lease (`lease.margin`).
    pub(crate) margin: Span,
    /// Whether slots are borrowed from other shards (`borrow.enabled`).
    pub(crate) borrow: bool,
    /// Maximum number of slots per request (`borrow.block`).
    pub(crate) block: u32,
    /// Whether slots are borrowed from other zones (`borrow.zones`).
    pub(crate) cross_zone: bool,
    /// How workers are selected for tasks (`placement.policy`).
    pub(crate) policy: PlacementPolicy,
    /// Whether adaptive concurrency limits are applied (`limits.enabled`).
    pub(crate) limits: bool,
    /// Consecutive failures after which a worker is ejected (`health.failures`).
    pub(crate) failures: u32,
    /// Time to the first probe of an ejected worker (`health.probe`).
    pub(crate) probe: Span,
    /// Maximum share of a zone's workers that may be ejected (`health.share`).
    pub(crate) share: Ratio,
    /// Time after which an endpoint that began to leave must get no new task (`leave.bound`).
    pub(crate) leave: Span,
}

impl From<&Values> for Rules {
    fn from(values: &Values) -> Self {
        Self {
            lease: values.lease_slot,
            margin: values.lease_margin,
            borrow: values.borrow_enabled,
            block: values.borrow_block.get(),
            cross_zone: values.borrow_zones,
            policy: values.placement_policy,
            limits: values.limits_enabled,
            failures: values.health_failures.get(),
            probe: values.health_probe,
            share: values.health_share,
            leave: values.leave_bound,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self::from(&Values::default())
    }
}
