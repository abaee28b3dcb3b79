//! Settings with a fixed set of named values.

use strum::{Display, EnumIter, EnumString};

/// Policy by which a worker is chosen among those that fit a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacementPolicy {
    /// The worker with the most free slots, spread over racks.
    #[default]
    MostFree,
    /// A random worker.
    Random,
    /// The next worker in order.
    RoundRobin,
    /// The one with more free slots of two random workers.
    TwoChoices,
}
