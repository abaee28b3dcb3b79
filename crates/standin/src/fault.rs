//! Faults that a stand-in can be switched to.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// Fault of the platform stand-in.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PlatformFault {
    /// None.
    #[default]
    Up,
    /// It does not answer.
    Down,
    /// It answers late.
    Slow,
    /// A share of the writes take effect, but their answers are lost.
    LoseAnswers,
    /// A share of the writes is refused and takes no effect.
    Refuse,
}

/// Fault of an endpoint stand-in.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointFault {
    /// None.
    #[default]
    Up,
    /// Every task runs and fails.
    FailTasks,
    /// No task can be started.
    FailStarts,
    /// Tasks run ten times as long.
    Straggle,
    /// It says that it is leaving and refuses new work.
    Leave,
    /// Nothing is answered; tasks that run go on.
    Hang,
    /// Open connections go silent for good; new ones work. This is no lasting state.
    Freeze,
}

impl EndpointFault {
    /// The code with which it refuses every start, if it does.
    #[must_use]
    pub const fn refusal(self) -> Option<&'static str> {
        match self {
            Self::Leave => Some("leaving"),
            Self::FailStarts => Some("start-failed"),
            Self::Up | Self::FailTasks | Self::Straggle | Self::Hang | Self::Freeze => None,
        }
    }
}

/// What a link does with the bytes of its connections.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LinkMode {
    /// Forwards them.
    #[default]
    Pass,
    /// Closes open connections and refuses new ones.
    Cut,
    /// Open connections go silent for good; new ones are forwarded.
    Silent,
    /// Loses what clients send; what servers send is forwarded. Connections that lost bytes stay
    /// silent in that direction.
    LoseRequests,
    /// Loses what servers send; what clients send is forwarded. Connections that lost bytes stay
    /// silent in that direction.
    LoseAnswers,
}
