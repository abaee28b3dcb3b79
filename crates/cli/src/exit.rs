//! Exit codes.

/// How the command ended; the codes are part of the interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It did what was asked.
    Success,
    /// A file could not be read or written.
    Local,
    /// The job was not run.
    NotRun,
    /// The job failed.
    Failed,
    /// The job may have run.
    Unknown,
    /// No instance answers.
    Unreachable,
    /// A check or a token was refused.
    Refused,
    /// Somebody else changed the settings first.
    Conflict,
    /// The job has not ended.
    Pending,
}

impl Exit {
    /// The code for the shell; 2 is left to wrong usage.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Local => 1,
            Self::NotRun => 3,
            Self::Failed => 4,
            Self::Unknown => 5,
            Self::Unreachable => 6,
            Self::Refused => 7,
            Self::Conflict => 8,
            Self::Pending => 9,
        }
    }

    /// The code for a job's outcome by name.
    #[must_use]
    pub fn of_outcome(outcome: &str) -> Self {
        match outcome {
            "complete" => Self::Success,
            "not-run" => Self::NotRun,
            "failed" => Self::Failed,
            "pending" => Self::Pending,
            _ => Self::Unknown,
        }
    }
}
