//! Changes of state that are worth a log line.

use cranberryhatch_types::{Holder, WorkerId, ZoneId};
use strum::{Display, EnumDiscriminants, EnumString};

/// A change of state of a shard.
#[derive(Clone, Debug, PartialEq, Eq, EnumDiscriminants)]
#[strum_discriminants(derive(Display, EnumString), strum(serialize_all = "kebab-case"))]
#[strum_discriminants(name(StateName), doc = "Name of a change of state.")]
pub enum StateChange {
    /// A version of the settings came in force.
    SettingsInForce(u64),
    /// Availability zones that are drained from now on; the others are not.
    ZonesDrained(Vec<ZoneId>),
    /// Whether the drains leave the shard without any endpoint, from now on.
    Stranded(bool),
    /// A worker was seen for the first time, or again.
    WorkerUp(WorkerId),
    /// A worker does not answer.
    WorkerDown(WorkerId),
    /// A worker is leaving.
    WorkerLeaving(WorkerId),
    /// The shard takes no new work.
    Draining,
    /// The holder was paused past its lease and sends no starts.
    LeaseLapsed,
    /// The holder knows again that nobody took it over.
    LeaseHeld,
    /// Another instance took the holder over.
    Superseded,
    /// This instance took a holder over and fences it.
    TookOver(Holder),
    /// The jobs of a holder were handed on; whether every endpoint answered the fence.
    Recovered(Holder, bool),
}
