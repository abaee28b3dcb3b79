//! Settings of workers, slots and peers.

use cranberryhatch_schema::{PlacementPolicy, Values};
use cranberryhatch_types::{Ratio, Span};

/// Subset of the local settings that concerns workers, slots and peers.
#[derive(Clone, Debug)]
pub(crate) struct Rules {
    pub(crate) lease: Span,
    pub(crate) margin: Span,
    pub(crate) borrow: bool,
    pub(crate) block: u32,
    pub(crate) cross_zone: bool,
    pub(crate) policy: PlacementPolicy,
    pub(crate) limits: bool,
    pub(crate) failures: u32,
    pub(crate) probe: Span,
    pub(crate) share: Ratio,
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
