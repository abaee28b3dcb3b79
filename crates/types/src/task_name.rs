//! Names of task attempts, as sent to endpoints.

use std::{fmt, str::FromStr};

use crate::{JobKey, ParseError};

/// One attempt at one task, written `team/name/index/attempt`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// Key of the job.
    pub job: JobKey,
    /// Index of the task in the job, from 0.
    pub index: u32,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.index, self.attempt)
    }
}

impl FromStr for TaskName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let invalid = || ParseError::BadForm {
            what: "task name",
            text: text.chars().take(200).collect(),
            expected: "team/key/index/attempt",
        };
        let mut parts = text.rsplitn(3, '/');
        let (Some(attempt), Some(index), Some(job)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(invalid());
        };
        Ok(Self {
            job: job.parse()?,
            index: index.parse().map_err(|_| invalid())?,
            attempt: attempt.parse().map_err(|_| invalid())?,
        })
    }
}
