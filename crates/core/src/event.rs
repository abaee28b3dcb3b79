//! Events that a shard handles.

use std::sync::Arc;

use cranberryhatch_schema::peer::envelope::Body;
use cranberryhatch_settings::ActiveSettings;
use cranberryhatch_types::{ClaimNo, Holder, Incarnation, JobKey, ShardId, TeamId, Time, WorkerId};

use crate::{
    Adoption, Answer, AttemptId, AttemptStatus, Digest, Endpoint, FencedTask, HolderRow, JobSpec,
    Listing, StartResponse, Ticket,
};

/// A caller's submission.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// The caller's request, which waits for the reply.
    pub ticket: Ticket,
    /// Unix time of arrival, for checking the age of the key.
    pub wall: Time,
    /// When to reply that the job is still pending.
    pub until: Time,
    /// Whether the caller states that it has never sent this key before.
    ///
    /// A job under a key chosen by the caller that was sent before may be running at another
    /// instance. Without the claim, a refusal then cannot state that the job was not run.
    pub first: bool,
    /// The submitted job.
    pub job: Arc<JobSpec>,
}

/// Result of claiming a key in the platform's table.
#[derive(Clone, Debug)]
pub enum ClaimOutcome {
    /// The key is claimed for this holder.
    Granted,
    /// The key was already claimed.
    Held {
        /// The holder that claimed it.
        holder: Holder,
        /// Digest of the body for which it was claimed.
        digest: Digest,
        /// The final answer, if one is recorded.
        answer: Option<Box<Answer>>,
    },
    /// The platform did not respond; the claim may still take effect.
    Unavailable,
}

/// An event that a shard handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submits a job.
    Submit(JobSubmission),
    /// A caller requests the answer and waits for it until a given time.
    Wait {
        /// The request that waits for the reply.
        ticket: Ticket,
        /// Key of the job.
        key: JobKey,
        /// When to reply that the job is still pending.
        until: Time,
    },
    /// A caller cancels a job.
    Cancel {
        /// The request that waits for the reply.
        ticket: Ticket,
        /// Key of the job.
        key: JobKey,
    },
    /// A caller cancels all jobs of a team with a label.
    CancelLabel {
        /// The team.
        team: TeamId,
        /// The label.
        label: String,
    },
    /// The caller of a request disconnected and no longer waits for a reply.
    CallerDisconnected {
        /// The request.
        ticket: Ticket,
    },
    /// The platform responded to a claim.
    Claimed {
        /// Key of the job.
        key: JobKey,
        /// Number of the claim that is answered.
        number: ClaimNo,
        /// The result.
        outcome: ClaimOutcome,
    },
    /// An endpoint responded to a start, or the response was lost.
    StartResponse {
        /// The attempt.
        attempt: AttemptId,
        /// The response.
        response: StartResponse,
    },
    /// A status query about an attempt was answered or failed.
    AttemptStatus {
        /// The attempt.
        attempt: AttemptId,
        /// The reported status.
        status: AttemptStatus,
    },
    /// An endpoint answered a heartbeat.
    EndpointSeen(Endpoint),
    /// An endpoint stopped answering heartbeats.
    EndpointLost(WorkerId),
    /// The platform's list of instances and endpoints was read.
    Listed(Arc<Vec<Listing>>),
    /// Another shard sent a message.
    Peer {
        /// The sender.
        from: ShardId,
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// The message.
        body: Body,
    },
    /// A version of the settings was received.
    Settings(Arc<ActiveSettings>),
    /// The holder's lease was renewed by a write sent at this time.
    Renewed(Time),
    /// The rows of the table of holders were read from the platform.
    HoldersRead(Arc<Vec<HolderRow>>),
    /// An attempt to take over a holder's row succeeded or failed.
    TookOver {
        /// The lost holder.
        holder: Holder,
        /// Unfinished jobs that its own claims name, including those that an earlier successor ran;
        /// `None` if another instance was first or the platform failed.
        jobs: Option<Vec<Arc<JobSpec>>>,
    },
    /// An endpoint responded to a request to fence a holder, or did not.
    Fenced {
        /// The holder.
        holder: Holder,
        /// The endpoint.
        worker: WorkerId,
        /// The holder's tasks there; `None` if the endpoint did not respond.
        tasks: Option<Vec<FencedTask>>,
        /// Unix time since when the endpoint has records of attempts; it doesn't know what it
        /// started before a restart.
        since: Time,
    },
    /// A job of a lost holder is handed over to this shard.
    Adopt(Adoption),
    /// This holder's own row was taken over by another instance.
    Superseded,
    /// The platform became reachable or unreachable.
    Platform {
        /// Whether it is reachable.
        reachable: bool,
    },
    /// The instance is about to stop.
    Drain,
    /// Periodic timer tick.
    Tick,
}
