//! Commands that a shard issues.

use std::sync::Arc;

use cranberryhatch_schema::peer::envelope::Body;
use cranberryhatch_types::{ClaimNo, Holder, JobKey, ShardId, Span, TaskName, Time, WorkerId};

use crate::{Adoption, Answer, AttemptId, Counter, JobSpec, Payload, StateChange, Ticket};

/// Start request for one attempt at a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The attempt.
    pub attempt: AttemptId,
    /// Name of the attempt, as known to the endpoint.
    pub name: TaskName,
    /// The worker on which it is to run.
    pub worker: WorkerId,
    /// Lease under which it runs.
    pub lease: Span,
    /// Time after which no response is expected any more.
    pub timeout: Span,
    /// Input of the task.
    pub payload: Payload,
}

/// A command that a shard issues.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an answer to a caller.
    Reply {
        /// The caller's request.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Claim a job's key in the platform's table; the result arrives as
    /// [`Event::Claimed`](crate::Event::Claimed) with the same number.
    Claim(ClaimNo, Arc<JobSpec>),
    /// Record asynchronously that a job under an issued key was admitted, so that a successor knows
    /// of it.
    Admit(Arc<JobSpec>),
    /// Start an attempt; the result arrives as
    /// [`Event::StartResponse`](crate::Event::StartResponse).
    Start(Start),
    /// Query the status of an attempt on a new connection; the result arrives as
    /// [`Event::AttemptStatus`](crate::Event::AttemptStatus).
    QueryAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Name of the attempt, as known to the endpoint.
        name: TaskName,
        /// The worker to which it was sent.
        worker: WorkerId,
        /// When it was sent. An endpoint whose records begin later cannot tell that it never
        /// started.
        sent: Time,
    },
    /// Stop attempts on a worker.
    StopTasks {
        /// The worker.
        worker: WorkerId,
        /// Names of the attempts.
        names: Vec<TaskName>,
    },
    /// Send a message to another shard.
    Send {
        /// The receiving shard.
        to: ShardId,
        /// The message.
        body: Body,
    },
    /// Record asynchronously how a job ended, unless the row of the claim's holder was taken over
    /// by another holder than this one.
    Record(Arc<JobSpec>, Answer),
    /// Remove the claim of a job that was refused as not run, by compare-and-set, unless the row of
    /// the claim's holder was taken over by another holder than this one.
    ///
    /// It takes effect after all earlier commands for this key and before all later ones, even if
    /// the row appears only later because the platform's response to the claim was lost.
    Release(JobKey),
    /// Take over the row of a lost holder and read its unfinished jobs; the result arrives as
    /// [`Event::TookOver`](crate::Event::TookOver).
    ///
    /// The row stays under the name of the lost holder and incarnation, and this holder is appended
    /// to its successors by compare-and-set on the version. Claims keep the name of the holder that
    /// wrote them, so that a later successor finds them by the same row.
    TakeOver {
        /// The lost holder.
        holder: Holder,
        /// Version of its row.
        version: u64,
    },
    /// Fence a holder at an endpoint; the result arrives as
    /// [`Event::Fenced`](crate::Event::Fenced).
    Fence {
        /// The holder.
        holder: Holder,
        /// The endpoint.
        worker: WorkerId,
    },
    /// Hand over a job of a lost holder to the shard of this instance that its key selects.
    Adopt(Adoption),
    /// Increase a counter.
    Count(Counter, u64),
    /// Log a state change.
    State(StateChange),
    /// Report that nothing is in flight any more after [`Event::Drain`](crate::Event::Drain).
    Drained,
}
