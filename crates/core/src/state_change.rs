//! State changes of a shard that are logged.

use cranberryhatch_types::{Holder, WorkerId, ZoneId};
use strum::{Display, EnumDiscriminants, EnumString};

/// A state change of a shard.
#[derive(Clone, Debug, PartialEq, Eq, EnumDiscriminants)]
#[strum_discriminants(derive(Display, EnumString), strum(serialize_all = "kebab-case"))]
#[strum_discriminants(name(StateName), doc = "Name of a change of state.")]
pub enum StateChange {
    /// A version of the settings came into force.
    SettingsInForce(u64),
    /// Availability zones that are drained from now on; all others are not.
    ZonesDrained(Vec<ZoneId>),
    /// Whether, from now on, the drains leave the shard without any endpoint.
    Stranded(bool),
    /// A worker answered for the first time, or again.
    WorkerUp(WorkerId),
    /// A worker stopped answering.
    WorkerDown(WorkerId),
    /// A worker is leaving.
    WorkerLeaving(WorkerId),
    /// The shard stopped accepting new work.
    Draining,
    /// The holder was paused for longer than its lease and sends no starts.
    LeaseLapsed,
    /// The holder confirmed that no other instance took it over.
    LeaseHeld,
    /// Another instance took over this holder.
    Superseded,
    /// This instance took over a holder and fences it.
    TookOver(Holder),
    /// The jobs of a holder were handed over, and whether every endpoint acknowledged the fence.
    Recovered(Holder, bool),
}
