//! Decisions worth a log line.

use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{InstanceId, Span, WorkerId};
use strum::IntoStaticStr;

use crate::{
    Incarnation, MembershipChange, NotRunCause, Outcome, RefusalCause, RunKey, ShutdownProgress,
    ZoneChange,
};

/// A decision with the inputs that led to it; the name of the variant is the name of the log line.
#[derive(Clone, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LogEvent {
    /// A job was admitted.
    Admitted {
        /// The job.
        job: String,
        /// Kind of job.
        kind: String,
        /// Number of tasks.
        tasks: u32,
        /// Time until its limit.
        left: Span,
    },
    /// A job got its answer.
    Answered {
        /// The job.
        job: String,
        /// Kind of job.
        kind: String,
        /// The answer.
        outcome: Outcome,
        /// Time since it arrived.
        took: Span,
        /// Time from its arrival to its first start; none if nothing started.
        queued: Option<Span>,
        /// Runs that were started.
        runs: u32,
    },
    /// The time limit of a job passed before any of its tasks was at work.
    Expired {
        /// The job.
        job: String,
        /// The instance that grants room; none if no instance takes duties.
        scheduler: Option<InstanceId>,
        /// Time since that instance was last heard.
        heard: Option<Span>,
        /// Time since that instance was asked for room; none if it was not.
        asked: Option<Span>,
        /// Tasks that wait for room or for earlier steps.
        waiting: usize,
        /// Wait that it expected when it last refused more tasks of the job.
        ahead: Option<Span>,
    },
    /// A request was rejected before it became a job.
    Rejected {
        /// Name of the job, or path of a request that names none.
        request: String,
        /// Why.
        cause: NotRunCause,
        /// How far the stop has come, if that is the cause.
        stopping: Option<ShutdownProgress>,
    },
    /// A job was taken after the request to stop.
    AdmittedStopping {
        /// The job.
        job: String,
        /// Time until its limit.
        left: Span,
        /// How far the stop has come.
        stopping: ShutdownProgress,
    },
    /// The caller of a job went away.
    CallerGone {
        /// The job.
        job: String,
        /// Time since the job arrived.
        age: Span,
    },
    /// A worker that did not answer can be reached again.
    WorkerReached {
        /// The worker.
        worker: WorkerId,
        /// Time until it is opened, if it is this instance's then.
        opens_in: Span,
    },
    /// This instance belongs to the core from now on: it takes duties and is linked to all.
    CoreEntered {
        /// Links that it keeps open.
        links: usize,
    },
    /// Members that came up or joined count for duties from now on.
    #[strum(serialize = "members-counted")]
    MembersAdmitted {
        /// Which, and why now.
        change: MembershipChange,
        /// Peers in reach.
        peers: usize,
    },
    /// The scheduler granted room.
    Granted {
        /// The job.
        job: String,
        /// Tasks that got room.
        tasks: usize,
        /// Time left until the latest start that meets the objective.
        slack: Span,
        /// Kind of job.
        kind: String,
        /// Expected and actual time from the forecast of its last start to this grant; none if tasks still
        /// wait or nothing was forecast.
        forecast: Option<(Span, Span)>,
    },
    /// A worker turned slow for its class, or recovered.
    SpeedChanged {
        /// The worker.
        worker: WorkerId,
        /// Whether it is slow now.
        slow: bool,
        /// Logarithm of its run times against those of the fastest class, in thousandths.
        slowness: i32,
        /// Runs behind it, older ones counting less.
        samples: u32,
    },
    /// A task was given to a slow worker to see whether it has recovered.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: String,
    },
    /// The scheduler refused a job.
    Refused {
        /// The job.
        job: String,
        /// Kind of job.
        kind: String,
        /// Why.
        cause: RefusalCause,
        /// Expected wait of its last task; none if it is longer than the forecast.
        start: Option<Span>,
        /// Tasks of its size that run at a time.
        slots: u64,
        /// Time for which what waits before it takes all of these.
        work: Span,
        /// Share of the slots that arrivals of smaller priority numbers need, in thousandths.
        share: u64,
        /// When to come back.
        retry: Span,
    },
    /// A run ended.
    RunEnded {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
        /// How.
        how: How,
        /// Time that it ran.
        took: Span,
    },
    /// A run was stopped because it made too little progress, to be started again elsewhere.
    Stalled {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
        /// Time that it ran.
        took: Span,
        /// Expected run time.
        expected: Span,
        /// Progress in percent.
        percent: u32,
        /// Why.
        cause: RestartCause,
    },
    /// This owner refused a start before the worker was asked.
    StartRefused {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
        /// Why.
        cause: StartRefusal,
        /// Age of the oldest sign of life of this instance that a front of a run on the worker last
        /// read; the time since the machine started for a run that nobody claimed.
        age: Span,
    },
    /// A run is no longer known to end, because its owner was lost.
    RunLost {
        /// The run.
        run: RunKey,
        /// The owner.
        owner: InstanceId,
    },
    /// A link to a peer came up.
    PeerUp {
        /// The peer.
        peer: InstanceId,
        /// Peers that are up.
        peers: usize,
    },
    /// A link to a peer went down.
    PeerDown {
        /// The peer.
        peer: InstanceId,
        /// Time since it was last heard.
        silence: Span,
        /// Peers that are up.
        peers: usize,
    },
    /// Another instance schedules.
    SchedulerChanged {
        /// The new scheduler; none if no instance takes duties.
        scheduler: Option<InstanceId>,
    },
    /// A worker is owned by this instance.
    WorkerOpened {
        /// The worker.
        worker: WorkerId,
        /// Fencing token.
        token: u64,
        /// Runs that were found on it.
        found: usize,
        /// Runs that their fronts still want.
        kept: usize,
    },
    /// A worker is no longer owned by this instance.
    WorkerDropped {
        /// The worker.
        worker: WorkerId,
        /// Why.
        cause: DropCause,
    },
    /// A worker has restarted under the id that it had.
    #[strum(serialize = "life-ended")]
    IncarnationEnded {
        /// The worker.
        worker: WorkerId,
        /// Its incarnation now.
        incarnation: Incarnation,
        /// Runs that it had or that were under way to it.
        runs: usize,
    },
    /// A worker does not answer.
    #[strum(serialize = "worker-dark")]
    WorkerUnresponsive {
        /// The worker.
        worker: WorkerId,
        /// Time since its last answer.
        silence: Span,
        /// Runs on it.
        runs: usize,
    },
    /// Settings came into force.
    Settings {
        /// Their version.
        version: u64,
        /// The version before; 0 for none.
        before: u64,
    },
    /// A zone was drained or restored.
    ZoneDrains {
        /// The zone.
        change: ZoneChange,
        /// Peer that told of it; none if the store did.
        source: Option<InstanceId>,
    },
    /// Neither the store nor a peer told the zone drains in time; starts go on with those that are known.
    DrainsAssumed {
        /// Version that is known; 0 for none.
        version: u64,
        /// Time since the start or the last pause of this process.
        waited: Span,
    },
    /// This process was paused.
    Paused {
        /// How long.
        gap: Span,
    },
    /// An order to a worker got no answer in time; it may have been carried out, or may be later.
    Unanswered {
        /// The worker.
        worker: WorkerId,
        /// The order.
        request: RequestKind,
        /// The run to start or to stop.
        run: Option<RunKey>,
        /// Time for which the answer was awaited.
        waited: Span,
    },
    /// It is known what became of an order without answer.
    Resolved {
        /// The worker.
        worker: WorkerId,
        /// The order.
        request: RequestKind,
        /// The run to start or to stop.
        run: Option<RunKey>,
        /// What became of it.
        outcome: Resolution,
        /// Time since the order was sent first.
        took: Span,
    },
}

/// Why a run was stopped to be started again elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RestartCause {
    /// It runs for much longer than expected and has much left.
    Stalled,
    /// It would miss the objective of its job here, and meet it elsewhere.
    Late,
}

/// An order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// To start a run.
    Start,
    /// To stop a run.
    Stop,
    /// To say what runs.
    #[strum(serialize = "look")]
    Poll,
}

/// What became of an order without answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Resolution {
    /// The run is at work.
    Running,
    /// The run was at work and ended.
    Ended,
    /// The run never was at work, and never will be.
    NeverRan,
    /// The same order was answered when it was sent again.
    Answered,
    /// Not known: its worker was silent until the order could not be carried out any more.
    GivenUp,
}

/// Why an owner refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StartRefusal {
    /// The worker is not this instance's, or is leaving, silent or not opened yet.
    Closed,
    /// The worker's zone is drained.
    ZoneDrained,
    /// This instance has not learnt the zone drains since its start or last pause.
    DrainsUnknown,
    /// The room was granted under another fencing token.
    Token,
    /// The worker runs tasks of another service.
    Service,
    /// Another run of the task is on the worker.
    OtherRun,
    /// The worker's room is taken.
    NoRoom,
    /// The lease that it needs could outlast the time after which a front gives a run on the worker up.
    Outdated,
}

/// Why a worker was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DropCause {
    /// Another instance has a higher token.
    Fenced,
    /// The worker's process is another incarnation.
    #[strum(serialize = "other-life")]
    OtherIncarnation,
    /// It is not listed any more and nothing runs on it.
    Unlisted,
}
