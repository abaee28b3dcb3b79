//! What happens to a shard.

use std::sync::Arc;

use cranberryhatch_schema::peer::envelope::Body;
use cranberryhatch_settings::InForce;
use cranberryhatch_types::{Holder, Incarnation, JobKey, ShardId, TeamId, Time, WorkerId};

use crate::{
    Adoption, Answer, AttemptId, AttemptStatus, Digest, Endpoint, FencedTask, HolderRow, JobSpec,
    Listing, StartResponse, Ticket,
};

/// A caller's submission.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// Request that waits for the reply.
    pub ticket: Ticket,
    /// Unix time of arrival, to judge the age of the key.
    pub wall: Time,
    /// When a pending answer is to be given.
    pub until: Time,
    /// Whether the caller says that it never sent this key before.
    ///
    /// A job under an own key that was sent before may run at another instance, so without the
    /// claim a refusal cannot say that it was not run.
    pub first: bool,
    /// The job.
    pub job: Arc<JobSpec>,
}

/// Result of claiming a key in the platform's table.
#[derive(Clone, Debug)]
pub enum ClaimOutcome {
    /// The key is claimed for this holder.
    Granted,
    /// The key was claimed before.
    Held {
        /// By whom.
        holder: Holder,
        /// For which body.
        digest: Digest,
        /// The final answer, if recorded.
        answer: Option<Box<Answer>>,
    },
    /// The platform did not answer; the claim may still take effect.
    Unavailable,
}

/// Something that a shard is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job.
    Submit(JobSubmission),
    /// A caller asks for the answer, and waits for it until a point in time.
    Wait {
        /// Request that waits for the reply.
        ticket: Ticket,
        /// The job.
        key: JobKey,
        /// When a pending answer is to be given.
        until: Time,
    },
    /// A caller cancels a job.
    Cancel {
        /// Request that waits for the reply.
        ticket: Ticket,
        /// The job.
        key: JobKey,
    },
    /// A caller cancels all jobs of a team with a label.
    CancelLabel {
        /// The team.
        team: TeamId,
        /// The label.
        label: String,
    },
    /// The caller of a request went away and waits for no reply any more.
    CallerDisconnected {
        /// The request.
        ticket: Ticket,
    },
    /// The platform's table answered a claim.
    Claimed {
        /// The job.
        key: JobKey,
        /// The result.
        outcome: ClaimOutcome,
    },
    /// An endpoint answered a start, or did not.
    StartResponse {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        response: StartResponse,
    },
    /// An endpoint was asked what became of an attempt.
    AttemptStatus {
        /// The attempt.
        attempt: AttemptId,
        /// Its answer.
        status: AttemptStatus,
    },
    /// An endpoint answered a heartbeat.
    EndpointSeen(Endpoint),
    /// An endpoint does not answer heartbeats.
    EndpointLost(WorkerId),
    /// The platform's list was read.
    Listed(Arc<Vec<Listing>>),
    /// Another shard sent a message.
    Peer {
        /// The sender.
        from: ShardId,
        /// Its life.
        incarnation: Incarnation,
        /// The message.
        body: Body,
    },
    /// A version of the settings is known.
    Settings(Arc<InForce>),
    /// The holder's lease was renewed by a write sent at this time.
    Renewed(Time),
    /// The holders' rows were read from the platform's table.
    HoldersRead(Arc<Vec<HolderRow>>),
    /// A holder's row was taken over, or not.
    TookOver {
        /// The holder that is gone.
        holder: Holder,
        /// Unfinished jobs that its own claims name, also those that an earlier successor ran;
        /// none when another instance was first or the platform failed.
        jobs: Option<Vec<Arc<JobSpec>>>,
    },
    /// An endpoint was asked to fence a holder.
    Fenced {
        /// The holder.
        holder: Holder,
        /// The endpoint.
        worker: WorkerId,
        /// The holder's tasks there; none when the endpoint did not answer.
        tasks: Option<Vec<FencedTask>>,
        /// Unix time since when the endpoint remembers attempts; what it started before a restart
        /// it does not know.
        since: Time,
    },
    /// A job of a holder that is gone is handed to this shard.
    Adopt(Adoption),
    /// This holder's own row was taken over by another instance.
    Superseded,
    /// The platform answers, or does not.
    Platform {
        /// Whether it answers.
        reachable: bool,
    },
    /// The instance is to stop.
    Drain,
    /// Time has passed.
    Tick,
}
