//! What a shard wants done.

use std::sync::Arc;

use cranberryhatch_schema::peer::envelope::Body;
use cranberryhatch_types::{Holder, JobKey, ShardId, Span, TaskName, Time, WorkerId};

use crate::{Adoption, Answer, AttemptId, Counter, JobSpec, Payload, StateChange, Ticket};

/// Start of one attempt at one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its name for the endpoint.
    pub name: TaskName,
    /// Where it is to run.
    pub worker: WorkerId,
    /// Lease under which it runs.
    pub lease: Span,
    /// Time after which no answer is expected any more.
    pub timeout: Span,
    /// What the endpoint gets.
    pub payload: Payload,
}

/// Something that a shard wants done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Answer a caller.
    Reply {
        /// Request that waits.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Claim a job's key in the platform's table, and answer with `Claimed`.
    Claim(Arc<JobSpec>),
    /// Record behind that a job under an issued key was admitted, so that a successor knows of it.
    Admit(Arc<JobSpec>),
    /// Start an attempt, and answer with `StartResponse`.
    Start(Start),
    /// Ask an endpoint on a new connection about an attempt, and answer with `Settled`.
    QueryAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Its name for the endpoint.
        name: TaskName,
        /// Where it was sent.
        worker: WorkerId,
        /// When it was sent; an endpoint that remembers less cannot tell that it never started.
        sent: Time,
    },
    /// Stop attempts on a worker.
    StopTasks {
        /// The worker.
        worker: WorkerId,
        /// The attempts.
        names: Vec<TaskName>,
    },
    /// Send a message to another shard.
    Send {
        /// The receiver.
        to: ShardId,
        /// The message.
        body: Body,
    },
    /// Record the end of a job behind, unless the row of the claim's holder was taken over by
    /// another holder than this one.
    Record(Arc<JobSpec>, Answer),
    /// Remove the claim of a job that was refused as not run, with compare-and-set, unless the row
    /// of the claim's holder was taken over by another holder than this one.
    ///
    /// It takes effect after all earlier commands for this key and before all later ones, and also
    /// when the row appears only later, because the platform's answer to the claim was lost.
    Release(JobKey),
    /// Take over the row of a holder that is gone, read its unfinished jobs, answer `TookOver`.
    ///
    /// The row is kept under the name of that holder and incarnation, and this holder is appended
    /// to its `taken` by compare-and-set on the version. Claims keep the name of the holder that
    /// wrote them, so that a later successor finds them again by the same row.
    TakeOver {
        /// The holder.
        holder: Holder,
        /// Version of its row.
        version: u64,
    },
    /// Fence a holder at an endpoint, and answer with `Fenced`.
    Fence {
        /// The holder.
        holder: Holder,
        /// The endpoint.
        worker: WorkerId,
    },
    /// Hand a job of a holder that is gone to the shard of this instance that its key selects.
    Adopt(Adoption),
    /// Count something.
    Count(Counter, u64),
    /// Log a change of state.
    State(StateChange),
    /// Nothing is in flight any more after `Drain`.
    Drained,
}
