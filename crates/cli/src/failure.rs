//! Failures of a command.

use cranberryhatch_http::{ClientError, Problem};
use cranberryhatch_settings::TreeError;
use cranberryhatch_types::{ParseError, ZoneId};

use crate::exit::Exit;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No address of an instance was given.
    #[error("no entry instance given: use --server or CRANBERRYHATCH_SERVER")]
    NoServer,
    /// No token was given.
    #[error("no token given: use --token or CRANBERRYHATCH_TOKEN")]
    NoToken,
    /// No instance took the request.
    #[error("no entry instance answers: {0}")]
    Unreachable(ClientError),
    /// The exchange broke off after the request may have been processed.
    #[error("{0}; the request may have been processed: ask with the same key before trying again")]
    Lost(ClientError),
    /// The instance refused the request.
    #[error("{}: {}", .0.code, .0.detail)]
    Problem(Problem),
    /// The answer is not of the expected shape.
    #[error("the answer cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The answer does not tell the version of the tree.
    #[error("the answer has no version of the settings tree")]
    NoVersion,
    /// The request could not be built.
    #[error("the request cannot be built: {0}")]
    BadRequest(#[from] http::Error),
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The output could not be written.
    #[error("write the output: {0}")]
    Output(#[from] std::io::Error),
    /// A place, id or value is not valid.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// No such key.
    #[error("no setting {0}; see docs/OPERATIONS.md for all")]
    UnknownKey(String),
    /// The deployment has no such availability zone.
    #[error("the deployment's zones.names has no zone {0}")]
    UnknownZone(ZoneId),
    /// The tree has faults.
    #[error("{}", faults(.0))]
    Tree(TreeError),
}

impl Failure {
    /// Exit code for this failure.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Unreachable(_) => Exit::Unreachable,
            Self::Lost(_) => Exit::Unknown,
            Self::Problem(problem) if problem.code == "version-conflict" => Exit::Conflict,
            Self::Problem(problem) if problem.status >= 500 => Exit::NotRun,
            Self::Problem(_)
            | Self::Tree(_)
            | Self::Parse(_)
            | Self::UnknownKey(_)
            | Self::UnknownZone(_) => Exit::Refused,
            Self::NoServer
            | Self::NoToken
            | Self::Unreadable(_)
            | Self::NoVersion
            | Self::BadRequest(_)
            | Self::File { .. }
            | Self::Output(_) => Exit::Local,
        }
    }
}

impl From<TreeError> for Failure {
    fn from(error: TreeError) -> Self {
        Self::Tree(error)
    }
}

fn faults(error: &TreeError) -> String {
    match error {
        TreeError::Faults(faults) => {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            lines.join("\n")
        }
        other => other.to_string(),
    }
}
