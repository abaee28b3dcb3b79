//! What the decisions ask the process to do.

use bytes::Bytes;
use cranberryhatch_schema::fleet::frame::Body;
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::{Incarnation, ListedWorker, Outcome, RunKey, log_event::LogEvent};

/// A message to another instance.
pub type Message = Body;

/// Lease that a request to a worker carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// End of the lease on the worker's clock, in milliseconds.
    pub until: u64,
}

/// Something to do; none of it blocks.
#[derive(Debug)]
pub enum Command {
    /// Answer a caller.
    Answer {
        /// The caller's request.
        ticket: u64,
        /// The answer.
        outcome: Outcome,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Keep links open to these peers and to no others that do not ask for it.
    SetLinks {
        /// The peers, sorted.
        peers: Vec<InstanceId>,
    },
    /// Close the link to a peer that is silent, and open a new one.
    ResetLink {
        /// The peer.
        peer: InstanceId,
    },
    /// Ask a worker what runs and what ended.
    Poll {
        /// The worker.
        worker: Box<ListedWorker>,
        /// Fencing token.
        token: u64,
        /// Time for the answer, beyond the time that the worker may wait.
        timeout: Span,
        /// Ends up to this number are acknowledged.
        acked: u64,
        /// Extends the lease of all that runs, if set.
        lease: Option<Lease>,
        /// Time that the worker may wait for an end.
        wait: Span,
        /// Use a new connection, because an open one may have gone silent.
        new_connection: bool,
    },
    /// Start a run on a worker.
    StartRun {
        /// The worker.
        worker: Box<ListedWorker>,
        /// Fencing token.
        token: u64,
        /// Time for the answer, beyond the time that the worker may wait.
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
        /// The worker.
        worker: Box<ListedWorker>,
        /// Fencing token.
        token: u64,
        /// Time for the answer, beyond the time that the worker may wait.
        timeout: Span,
        /// The run.
        run: RunKey,
    },
    /// Take newer settings into force.
    ApplySettings {
        /// Their version.
        version: u64,
        /// The settings as the operator wrote them.
        body: Bytes,
    },
    /// Log a decision.
    Log(LogEvent),
}

/// Collects commands.
#[derive(Debug, Default)]
pub struct Output {
    /// Commands in the order in which they were decided.
    pub commands: Vec<Command>,
}

impl Output {
    /// Sends a message, to a peer or to this instance itself.
    pub fn send(&mut self, to: &InstanceId, message: Message) {
        self.commands.push(Command::Send { to: to.clone(), message });
    }

    /// Answers a caller.
    pub fn answer(&mut self, ticket: u64, outcome: Outcome) {
        self.commands.push(Command::Answer { ticket, outcome });
    }

    /// Logs a decision.
    pub fn log(&mut self, event: LogEvent) {
        self.commands.push(Command::Log(event));
    }
}

/// A look that was answered, or that was given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollResult {
    /// The worker.
    pub worker: WorkerId,
    /// Fencing token that the look carried.
    pub token: u64,
    /// When it was sent.
    pub sent: Time,
    /// The answer.
    pub response: PollResponse,
}

/// What a worker says to [`Command::Poll`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PollResponse {
    /// What runs and what ended.
    Status(Box<WorkerStatus>),
    /// Another instance has a higher token.
    Fenced,
    /// The worker's process is another incarnation.
    OtherIncarnation,
    /// No answer; what the request asked for may have been done.
    NoResponse,
}

/// State of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerStatus {
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// Incarnation of the worker that answered.
    pub incarnation: Incarnation,
    /// Runs at work.
    pub running: Vec<Running>,
    /// Ends that were not acknowledged.
    pub ended: Vec<End>,
}

/// A run at work.
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
    /// Number of the end in this incarnation of the worker.
    pub number: u64,
    /// The run.
    pub run: RunKey,
    /// How it ended.
    pub how: RunEnd,
}

/// How a worker says that a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Successfully.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, or its lease ended.
    Stopped,
}

/// What a worker says to [`Command::StartRun`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StartResponse {
    /// The run is at work.
    Started,
    /// There is no room.
    NoRoom,
    /// A run that is as high was stopped or ended there.
    #[strum(serialize = "old")]
    Superseded,
    /// It was not started: the worker is unhealthy, or the lease had ended.
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
    /// No answer; it may be at work, now or later.
    #[strum(serialize = "lost")]
    NoResponse,
}
