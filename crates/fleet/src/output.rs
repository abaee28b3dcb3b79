//! Commands to the process, and the responses of workers.

use bytes::Bytes;
use cranberryhatch_schema::fleet::frame::Body;
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::{CancelOutcome, Incarnation, ListedWorker, Outcome, RunKey, log_event::LogEvent};

/// Body of a message to another instance.
pub type Message = Body;

/// Lease of runs that a request to a worker carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// End of the lease on the worker's clock, in milliseconds.
    pub until: u64,
}

/// Command to the process; carrying it out must not block the decisions.
#[derive(Debug)]
pub enum Command {
    /// Answer a caller.
    Answer {
        /// Identifies the caller's request, as passed to [`Node::submit`](crate::Node::submit).
        ticket: u64,
        /// The answer.
        outcome: Outcome,
    },
    /// Answer a caller who cancels a job.
    AnswerCancel {
        /// Identifies the caller's request, as passed to [`Node::cancel`](crate::Node::cancel).
        ticket: u64,
        /// The answer.
        outcome: CancelOutcome,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Keep links open to these peers, and close others unless the peer wants them.
    SetLinks {
        /// The peers, sorted.
        peers: Vec<InstanceId>,
    },
    /// Close the link to a peer that has timed out, and open a new one.
    ResetLink {
        /// The peer.
        peer: InstanceId,
    },
    /// Poll a worker for its running and ended runs.
    Poll {
        /// The worker.
        worker: Box<ListedWorker>,
        /// Fencing token.
        token: u64,
        /// Response timeout, in addition to the time that the worker may wait.
        timeout: Span,
        /// Number up to which ended runs are acknowledged.
        acked: u64,
        /// New lease of all running runs, if set.
        lease: Option<Lease>,
        /// Time that the worker may wait for a run to end (long poll).
        wait: Span,
        /// Whether to use a new connection, because an open one may be dead.
        new_connection: bool,
    },
    /// Start a run on a worker, but not on another incarnation than its entry names.
    StartRun {
        /// Number of the request, which its response is to name.
        number: u64,
        /// The worker.
        worker: Box<ListedWorker>,
        /// Fencing token.
        token: u64,
        /// Response timeout, in addition to the time that the worker may wait.
        timeout: Span,
        /// The run.
        run: RunKey,
        /// Payload of the job.
        payload: String,
        /// Lease of the run.
        lease: Lease,
    },
    /// Stop a run on a worker.
    StopRun {
        /// Number of the request, which its response is to name.
        number: u64,
        /// The worker.
        worker: Box<ListedWorker>,
        /// Fencing token.
        token: u64,
        /// Response timeout, in addition to the time that the worker may wait.
        timeout: Span,
        /// The run.
        run: RunKey,
    },
    /// Apply newer settings.
    ApplySettings {
        /// Their version.
        version: u64,
        /// The settings as the operator wrote them.
        body: Bytes,
    },
    /// Log an event.
    Log(LogEvent),
}

/// Commands that a call on a [`Node`](crate::Node) produced.
#[derive(Debug, Default)]
pub struct Output {
    /// The commands, in the order in which they are to be carried out.
    pub commands: Vec<Command>,
}

impl Output {
    /// Adds a command to send a message to a peer, or to this instance itself.
    pub fn send(&mut self, to: &InstanceId, message: Message) {
        self.commands.push(Command::Send { to: to.clone(), message });
    }

    /// Adds a command to answer a caller.
    pub fn answer(&mut self, ticket: u64, outcome: Outcome) {
        self.commands.push(Command::Answer { ticket, outcome });
    }

    /// Adds a command to log an event.
    pub fn log(&mut self, event: LogEvent) {
        self.commands.push(Command::Log(event));
    }
}

/// Result of a poll: the worker's response, or a timeout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollResult {
    /// The worker.
    pub worker: WorkerId,
    /// Fencing token that the poll carried.
    pub token: u64,
    /// When the poll was sent.
    pub sent: Time,
    /// The response.
    pub response: PollResponse,
}

/// Response of a worker to [`Command::Poll`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollResponse {
    /// Runs of the worker.
    Status(Box<WorkerStatus>),
    /// Another instance has a higher token.
    Fenced,
    /// The worker's process is another incarnation.
    OtherIncarnation,
    /// No response; the request may have taken effect.
    NoResponse,
    /// The connection was refused: as far as the network tells, the worker's process has ended.
    Refused,
}

impl PollResponse {
    /// Returns whether the worker did not respond.
    #[must_use]
    pub const fn is_missing(&self) -> bool {
        matches!(self, Self::NoResponse | Self::Refused)
    }
}

/// Status of a worker, from a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerStatus {
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// Incarnation of the worker that responded.
    pub incarnation: Incarnation,
    /// Runs that are running.
    pub running: Vec<Running>,
    /// Ended runs that were not acknowledged yet.
    pub ended: Vec<End>,
}

/// A run that is running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// The run.
    pub run: RunKey,
    /// Progress in percent.
    pub percent: u32,
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Sequence number of the end within this incarnation of the worker.
    pub number: u64,
    /// The run.
    pub run: RunKey,
    /// How the run ended.
    pub how: RunEnd,
}

/// How a run ended, as the worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Successfully.
    Done,
    /// The task failed.
    Failed,
    /// It was stopped, or its lease expired.
    Stopped,
}

/// Response of a worker to [`Command::StartRun`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StartResponse {
    /// The run is running.
    Started,
    /// The worker has no free capacity for it.
    NoRoom,
    /// A run of the task with the same or a higher number was stopped or ended there.
    #[strum(serialize = "old")]
    Superseded,
    /// It was not started: the worker is unhealthy, or the lease had expired.
    NotStarted,
    /// The request is not valid.
    Invalid,
    /// Another instance has a higher token.
    Fenced,
    /// The worker's process is another incarnation.
    #[strum(serialize = "other-life")]
    OtherIncarnation,
    /// The request certainly did not reach the worker.
    Unsent,
    /// No response; the run may be running, now or later.
    #[strum(serialize = "lost")]
    NoResponse,
}
