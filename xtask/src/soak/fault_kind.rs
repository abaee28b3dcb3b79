//! Kinds of faults that a long run injects.

use strum::{Display, EnumIter, EnumString};

/// A kind of fault.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// An entry instance is killed and started again.
    KillEntry,
    /// An entry instance is stopped as planned and started again.
    StopEntry,
    /// Every entry instance is stopped as planned and started again, one after the other.
    ReplaceAll,
    /// An entry instance is paused, at times for longer than its lease.
    PauseEntry,
    /// An endpoint is killed and started again.
    KillEndpoint,
    /// An endpoint is paused.
    PauseEndpoint,
    /// The open connections of an endpoint go silent for good.
    FreezeEndpoint,
    /// An endpoint answers nothing for a time.
    HangEndpoint,
    /// The tasks of an endpoint run ten times as long.
    Straggle,
    /// An endpoint fails every task.
    FailTasks,
    /// An endpoint fails every start.
    FailStarts,
    /// An endpoint is leaving, by its own word and by the list.
    Leave,
    /// A zone is cut off from the other zones.
    CutZones,
    /// A zone is cut off from the platform.
    CutPlatform,
    /// The open connections between two zones go silent for good.
    SilentZones,
    /// The open connections of a zone to the platform go silent for good.
    SilentPlatform,
    /// The platform answers nothing.
    PlatformDown,
    /// The platform answers late.
    PlatformSlow,
    /// Writes take effect, but a share of their answers is lost.
    PlatformLose,
    /// The platform refuses a share of the writes.
    PlatformRefuse,
    /// Two operators change the settings at the same time.
    Operators,
    /// A zone is drained for a time; drains of several zones overlap.
    DrainZone,
    /// Many jobs are cancelled at once by their label.
    Cancels,
    /// Many jobs arrive at once.
    Burst,
    /// Jobs that fit no worker arrive.
    NeverFits,
    /// Jobs arrive that declare a tenth or ten times their run time.
    Misdeclared,
    /// Malformed requests arrive.
    BadInput,
    /// Jobs arrive with a key that was used for another body.
    KeyReused,
    /// Jobs are submitted again at another instance while they run.
    Resubmit,
}
