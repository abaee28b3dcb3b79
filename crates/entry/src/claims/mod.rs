//! Claims of keys and records of jobs in the platform's table.

mod backlog;
mod entry;
mod row;
mod stored_job;
mod writer;

pub use backlog::{Backlog, Notice};
pub use entry::{Entry, Want};
pub use row::{ClaimRow, EndRow};
pub use stored_job::StoredJob;
pub use writer::Writer;
pub(crate) use writer::shard_time;

/// Table of claims.
pub const TABLE: &str = "claims";
