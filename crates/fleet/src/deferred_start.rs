//! A start that waits until its front has read a later heartbeat of the owner.

use cranberryhatch_schema::fleet::Start;

use crate::AssignedRun;

/// A start whose run could outlast its front, because the worker already has a lease that ends
/// later than the lifetime of the run.
///
/// The owner sends its front a heartbeat and starts the run once the front has echoed it.
#[derive(Clone, Debug)]
pub struct DeferredStart {
    /// The run.
    pub assigned: AssignedRun,
    /// Request of the front.
    pub start: Start,
}
