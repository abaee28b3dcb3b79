//! Levels of the settings tree.

use strum::{Display, EnumIter, EnumString};

/// A level of the settings tree, from the top down; each inherits from the one above.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Level {
    /// All deployments.
    Root,
    /// One deployment.
    Deployment,
    /// One availability zone.
    Zone,
    /// One team.
    Team,
    /// One kind of job of a team.
    Kind,
}
