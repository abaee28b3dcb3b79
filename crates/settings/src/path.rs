//! Paths of sections in the settings tree.

use std::{fmt, str::FromStr};

use cranberryhatch_schema::Level;
use cranberryhatch_types::{Kind, ParseError, TeamId, ZoneId};

/// Path of a section in the settings tree; its text is the section header, such as `team script`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Path {
    /// All deployments.
    Root,
    /// One deployment.
    Deployment(String),
    /// One availability zone.
    Zone(ZoneId),
    /// One team.
    Team(TeamId),
    /// One kind of job of a team.
    Kind(TeamId, Kind),
    /// One operator; only the operator's token can be set here.
    Operator(String),
}

impl Path {
    /// Returns the level of the section, or `None` for an operator.
    #[must_use]
    pub const fn level(&self) -> Option<Level> {
        match self {
            Self::Root => Some(Level::Root),
            Self::Deployment(_) => Some(Level::Deployment),
            Self::Zone(_) => Some(Level::Zone),
            Self::Team(_) => Some(Level::Team),
            Self::Kind(..) => Some(Level::Kind),
            Self::Operator(_) => None,
        }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Root => f.write_str("root"),
            Self::Deployment(name) => write!(f, "deployment {name}"),
            Self::Zone(zone) => write!(f, "zone {zone}"),
            Self::Team(team) => write!(f, "team {team}"),
            Self::Kind(team, kind) => write!(f, "kind {team}/{kind}"),
            Self::Operator(name) => write!(f, "operator {name}"),
        }
    }
}

impl FromStr for Path {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let bad = || ParseError::BadForm {
            what: "section",
            text: text.to_owned(),
            expected: "root, deployment NAME, zone ZONE, team TEAM, kind TEAM/KIND or operator NAME",
        };
        if text == "root" {
            return Ok(Self::Root);
        }
        let (level, name) = text.split_once(' ').ok_or_else(bad)?;
        match level {
            "deployment" => Ok(Self::Deployment(name.parse::<ZoneId>()?.to_string())),
            "zone" => Ok(Self::Zone(name.parse()?)),
            "team" => Ok(Self::Team(name.parse()?)),
            "kind" => {
                let (team, kind) = name.split_once('/').ok_or_else(bad)?;
                Ok(Self::Kind(team.parse()?, kind.parse()?))
            }
            "operator" => Ok(Self::Operator(name.parse::<TeamId>()?.to_string())),
            _ => Err(bad()),
        }
    }
}
