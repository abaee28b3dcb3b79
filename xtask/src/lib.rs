//! Chores of the workspace that need more than one call of cargo.
//!
//! ```
//! use std::time::Duration;
//! use xtask::soak::{FaultKind, plan};
//!
//! let steps = plan(1, Duration::from_secs(60), &[FaultKind::KillEntry]);
//! assert!(steps.iter().all(|step| step.kind == FaultKind::KillEntry));
//! ```

mod caller;
pub mod capacity;
pub mod ci;
mod cleanup;
pub mod demo;
pub mod experiment;
mod fleet;
mod folder;
pub mod fuzz;
mod operator;
mod process;
mod report;
pub mod setup;
pub mod soak;
mod statsd;

pub use caller::{Caller, Job, Target};
pub use fleet::{Fleet, Member, Shape, wait_until};
pub use folder::Folder;
pub use operator::Operator;
pub use process::Process;
pub use report::Report;
