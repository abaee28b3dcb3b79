//! Events that are logged.

use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{InstanceId, Span, WorkerId};
use strum::{Display, IntoStaticStr};

use crate::{
    Incarnation, MembershipChange, NotRunCause, Outcome, PreviousRun, RefusalCause, RunEndCause,
    RunKey, ShutdownProgress, TaskKey, ZoneChange,
};

/// A logged event with its details; its kebab-case text form is the name of the log line.
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
        /// Time until its deadline.
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
    /// A worker crashed while it ran a task.
    TaskCrashed {
        /// The task.
        task: TaskKey,
        /// The worker.
        worker: WorkerId,
        /// Workers that have crashed under the task.
        crashes: usize,
    },
    /// A job is given up because too many workers crashed under a task.
    TaskPoisoned {
        /// The task.
        task: TaskKey,
    },
    /// The deadline of a job passed before any of its tasks ran.
    Expired {
        /// The job.
        job: String,
        /// The scheduler; none if there is no active instance.
        scheduler: Option<InstanceId>,
        /// Time since the scheduler was last heard.
        heard: Option<Span>,
        /// Time since capacity was requested from the scheduler; none if it was not.
        asked: Option<Span>,
        /// Tasks that wait for capacity or for earlier steps.
        waiting: usize,
        /// Wait that the scheduler estimated when it last refused tasks of the job.
        ahead: Option<Span>,
    },
    /// A request was rejected before it became a job.
    Rejected {
        /// Name of the job, or path of a request that names none.
        request: String,
        /// Why.
        cause: NotRunCause,
        /// Progress of the shutdown, if one has begun.
        stopping: Option<ShutdownProgress>,
    },
    /// A job was accepted during a planned shutdown.
    AdmittedStopping {
        /// The job.
        job: String,
        /// Time until its deadline.
        left: Span,
        /// Progress of the shutdown.
        stopping: ShutdownProgress,
    },
    /// The caller of a job disconnected.
    CallerGone {
        /// The job.
        job: String,
        /// Time since the job arrived.
        age: Span,
    },
    /// The caller of a job has submitted it again at another front, which has the job now.
    Superseded {
        /// The job.
        job: String,
        /// Front of the later submission.
        by: InstanceId,
        /// Time since the job arrived here.
        age: Span,
        /// Runs that may be active and are stopped.
        runs: usize,
    },
    /// The front of an earlier submission of a job has no run of it any more.
    Released {
        /// The job.
        job: String,
        /// The front.
        front: InstanceId,
        /// Time for which the tasks of the later submission were withheld for it.
        waited: Span,
        /// Why it has none.
        cause: ReleaseCause,
    },
    /// Requested tasks wait, because another run of them may be active.
    Withheld {
        /// First of the tasks.
        task: TaskKey,
        /// Number of tasks.
        tasks: usize,
        /// Front that requested capacity.
        front: InstanceId,
        /// Front of the earlier submission, if it is known and another one.
        earlier: Option<InstanceId>,
        /// Worker that holds a run of the first task.
        worker: Option<WorkerId>,
    },
    /// An unresponsive worker responds again.
    WorkerReached {
        /// The worker.
        worker: WorkerId,
        /// Time until this instance opens it, if it still owns it then.
        opens_in: Span,
    },
    /// This instance joined the core: it may hold roles and keeps links to all other core
    /// instances.
    CoreEntered {
        /// Links that it keeps open.
        links: usize,
    },
    /// Pending members were admitted and may hold roles.
    #[strum(serialize = "members-counted")]
    MembersAdmitted {
        /// Number of members, and how long they were pending.
        change: MembershipChange,
        /// Reachable peers.
        peers: usize,
    },
    /// The scheduler granted capacity.
    Granted {
        /// The job.
        job: String,
        /// Tasks that got capacity.
        tasks: usize,
        /// Time left until the latest start that meets the latency target.
        slack: Span,
        /// Kind of job.
        kind: String,
        /// Estimated and actual time from the forecast of the last task's start to this grant; none
        /// if tasks still wait or there was no forecast.
        forecast: Option<(Span, Span)>,
    },
    /// A worker became slow for its class, or recovered.
    SpeedChanged {
        /// The worker.
        worker: WorkerId,
        /// Whether it is slow now.
        slow: bool,
        /// Logarithm of the ratio of its run times to those of the fastest class, in thousandths.
        slowness: i32,
        /// Number of runs behind the estimate; older runs have less weight.
        samples: u32,
    },
    /// A task was placed on a slow worker as a probe of whether it has recovered.
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
        /// Estimated wait of its last task; none if it exceeds the forecast horizon.
        start: Option<Span>,
        /// Number of tasks of its size that can run concurrently.
        slots: u64,
        /// Time for which the backlog ahead of it occupies all these slots.
        work: Span,
        /// Share of the slots that arriving jobs of smaller priority numbers need, in thousandths.
        share: u64,
        /// Time after which the caller should retry.
        retry: Span,
    },
    /// A run ended.
    RunEnded {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        how: How,
        /// Time for which it ran.
        took: Span,
        /// Its front; none if no front has claimed it.
        front: Option<InstanceId>,
        /// Whether the front still wanted it, as far as the owner knew.
        wanted: bool,
    },
    /// A run with too little progress was stopped, to be restarted elsewhere.
    Stalled {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
        /// Time for which it ran.
        took: Span,
        /// Expected run time.
        expected: Span,
        /// Progress in percent.
        percent: u32,
        /// Why.
        cause: RestartCause,
        /// Its front; none if no front has claimed it.
        front: Option<InstanceId>,
    },
    /// This owner refused a start without a request to the worker.
    StartRefused {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
        /// Why.
        cause: StartRefusal,
        /// Age of this instance's oldest heartbeat among those last echoed by the fronts of the
        /// worker's runs; the time since the machine started if one of the runs is unclaimed.
        age: Span,
        /// Front that requested the start.
        front: InstanceId,
    },
    /// This owner deferred a start until the front has echoed a later heartbeat.
    StartDeferred {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
        /// Age of this instance's latest heartbeat that the front has echoed.
        age: Span,
        /// Time by which the lease on the worker may outlast the lifetime of the run.
        excess: Span,
        /// Front that requested the start.
        front: InstanceId,
    },
    /// The owner of a run became unreachable, so the run may end without a report.
    RunLost {
        /// The run.
        run: RunKey,
        /// The owner.
        owner: InstanceId,
        /// Whether requests of the owner may keep the run alive after its leases.
        outlasts: bool,
    },
    /// A run was started after an earlier run of its task that may have been running.
    RunRestarted {
        /// The new run.
        run: RunKey,
        /// Its worker.
        worker: WorkerId,
        /// Owner of that worker.
        owner: InstanceId,
        /// The earlier run.
        previous: Box<PreviousRun>,
        /// Time since the earlier run counted as ended.
        since: Span,
    },
    /// A run was started after the start of an earlier run of its task was refused.
    StartRetried {
        /// The new run.
        run: RunKey,
        /// Its worker.
        worker: WorkerId,
        /// Owner of that worker.
        owner: InstanceId,
        /// The earlier run.
        previous: Box<PreviousRun>,
        /// Time since the start of the earlier run was refused.
        since: Span,
    },
    /// A front gave up a run without a report of its end.
    RunExpired {
        /// The run.
        run: RunKey,
        /// Its worker.
        worker: WorkerId,
        /// Owner of that worker.
        owner: InstanceId,
        /// Time since the owner was last heard, or since the start if later; none if the owner is
        /// reachable.
        silence: Option<Span>,
        /// Time since the job was answered; none if it was not.
        closing: Option<Span>,
    },
    /// A job was submitted again to the front that has it.
    Resubmitted {
        /// The job.
        job: String,
        /// Time since it was first submitted.
        age: Span,
        /// Number of its runs that may be running.
        runs: usize,
        /// Time since the first submission was answered or its caller disconnected; none if it is
        /// still active.
        closing: Option<Span>,
    },
    /// An owner stopped the runs of a front.
    FrontRunsStopped {
        /// The front.
        front: InstanceId,
        /// Number of runs.
        runs: usize,
        /// Why.
        cause: StopCause,
    },
    /// A link to a peer came up.
    PeerUp {
        /// The peer.
        peer: InstanceId,
        /// Number of peers whose links are up.
        peers: usize,
    },
    /// A link to a peer went down.
    PeerDown {
        /// The peer.
        peer: InstanceId,
        /// Time since it was last heard.
        silence: Span,
        /// Number of peers whose links are up.
        peers: usize,
    },
    /// The scheduler changed.
    SchedulerChanged {
        /// The new scheduler; none if there is no active instance.
        scheduler: Option<InstanceId>,
        /// Number of jobs whose latest submission this instance knows.
        submissions: usize,
    },
    /// This instance became the owner of a worker.
    WorkerOpened {
        /// The worker.
        worker: WorkerId,
        /// Fencing token.
        token: u64,
        /// Number of runs that were found on it.
        found: usize,
        /// Number of these that their fronts claimed.
        kept: usize,
    },
    /// This instance is no longer the owner of a worker.
    WorkerDropped {
        /// The worker.
        worker: WorkerId,
        /// Why.
        cause: DropCause,
    },
    /// A worker restarted under the same id.
    #[strum(serialize = "life-ended")]
    IncarnationEnded {
        /// The worker.
        worker: WorkerId,
        /// Its current incarnation.
        incarnation: Incarnation,
        /// Number of runs that it had or whose starts were in flight.
        runs: usize,
    },
    /// A job is cancelled: no instance starts its tasks any more.
    JobCanceled {
        /// Name of the job.
        job: String,
        /// Instance that sent the cancel; `None` if a caller did.
        source: Option<InstanceId>,
        /// Whether this instance has the job.
        known: bool,
    },
    /// A caller was told that the cancel of a job is not confirmed: this instance does not have the job,
    /// and no other instance has confirmed the cancel.
    CancelUnconfirmed {
        /// Name of the job.
        job: String,
        /// Number of peers to which it has a link.
        peers: usize,
        /// Number of fronts of the job that have not confirmed it, as far as it knows them as the
        /// scheduler.
        fronts: usize,
    },
    /// A request for a cancelled job was answered without a run.
    CanceledBefore {
        /// Name of the job.
        job: String,
    },
    /// A worker gets no starts, since its entry in the list is of another incarnation.
    EntryOutdated {
        /// The worker.
        worker: WorkerId,
        /// Incarnation that responded last.
        incarnation: Incarnation,
        /// Incarnation that the entry names.
        listed: Incarnation,
    },
    /// The entry of the current incarnation of such a worker has been read.
    EntryCurrent {
        /// The worker.
        worker: WorkerId,
        /// Time for which it got no starts.
        held: Span,
    },
    /// A worker does not respond.
    #[strum(serialize = "worker-dark")]
    WorkerUnresponsive {
        /// The worker.
        worker: WorkerId,
        /// Time since its last response.
        silence: Span,
        /// Number of runs on it.
        runs: usize,
        /// Number of requests without response that may extend the leases of the runs.
        unanswered: usize,
        /// Time until the runs count as over if it does not respond.
        over_in: Span,
    },
    /// New settings were applied.
    Settings {
        /// Their version.
        version: u64,
        /// The previous version; 0 for none.
        before: u64,
        /// The peer that sent them; `None` if they were read from the store.
        source: Option<InstanceId>,
    },
    /// A zone was drained or restored.
    ZoneDrains {
        /// The zone.
        change: ZoneChange,
        /// Peer that reported it; none for the store.
        source: Option<InstanceId>,
    },
    /// Neither the store nor a peer reported the zone drains in time; starts resume with the known
    /// ones.
    DrainsAssumed {
        /// Known version; 0 for none.
        version: u64,
        /// Time since the start or the last pause of this process.
        waited: Span,
    },
    /// This process was paused.
    Paused {
        /// Time between the ticks before and after the pause.
        gap: Span,
    },
    /// A request to a worker got no response in time; it may have taken effect, or may do so later.
    Unanswered {
        /// The worker.
        worker: WorkerId,
        /// The request.
        request: RequestKind,
        /// The run to start or to stop.
        run: Option<RunKey>,
        /// Time spent waiting for the response.
        waited: Span,
        /// Front of the run; none if there is no run or no front has claimed it.
        front: Option<InstanceId>,
    },
    /// A run that had counted as ended without success is reported to have ended successfully.
    EndedLate {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
        /// Instance that reported the end.
        reporter: InstanceId,
        /// Why it had counted as ended.
        cause: RunEndCause,
        /// Time since then.
        since: Span,
    },
    /// A run counts as ended because a status of its worker does not list it.
    RunMissing {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
        /// How it counts as ended.
        how: How,
        /// Time since the worker was known to have the run, or since its start request was sent.
        confirmed: Span,
        /// Time since the poll was sent whose response is the status.
        polled: Span,
        /// Time on the worker's clock from the latest status before to this one.
        lead: Span,
        /// Front of the run; none if no front has claimed it.
        front: Option<InstanceId>,
    },
    /// A worker lists a run that this instance does not know; it is stopped.
    UnknownRun {
        /// The run.
        run: RunKey,
        /// The worker.
        worker: WorkerId,
        /// Time since the poll was sent whose response lists it.
        polled: Span,
        /// How this instance reported its end and how long ago, if it recently did.
        ended: Option<(How, Span)>,
    },
    /// The fate of a request without a response was resolved.
    Resolved {
        /// The worker.
        worker: WorkerId,
        /// The request.
        request: RequestKind,
        /// The run to start or to stop.
        run: Option<RunKey>,
        /// How it was resolved.
        outcome: Resolution,
        /// Time since the request was first sent.
        took: Span,
        /// Front of the run; none if there is no run or no front has claimed it.
        front: Option<InstanceId>,
    },
}

/// Why a run was stopped, to be restarted elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RestartCause {
    /// It has run much longer than expected and has much work left.
    Stalled,
    /// It would miss the job's latency target here, and meet it elsewhere.
    Late,
}

/// Why an owner stopped the runs of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StopCause {
    /// The front is unreachable.
    Unreachable,
    /// The front did not confirm the runs in time after a reconnect.
    Unconfirmed,
}

/// Kind of a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// Start a run.
    Start,
    /// Stop a run.
    Stop,
    /// Poll the worker for its runs.
    #[strum(serialize = "look")]
    Poll,
}

/// What became of a request without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Resolution {
    /// The run is running.
    Running,
    /// The run has run and ended.
    Ended,
    /// The run never ran and never will.
    NeverRan,
    /// A retry of the request got a response.
    Answered,
    /// Unknown: the worker did not respond until the request had expired.
    GivenUp,
}

/// Why an owner refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StartRefusal {
    /// The worker is not owned by this instance, or is draining, unresponsive, or not open yet.
    Closed,
    /// The worker's zone is drained.
    ZoneDrained,
    /// The entry of the worker in the list is of another incarnation than the one that responded
    /// last.
    OutdatedEntry,
    /// The zone drains are unknown since the start or the last pause of this process.
    DrainsUnknown,
    /// The capacity was granted under another fencing token.
    Token,
    /// The worker runs tasks of another service.
    Service,
    /// The worker does not have the label that the step requires.
    Label,
    /// Another run of the task is on the worker.
    OtherRun,
    /// The worker has as many tasks of the step as its limit allows.
    Spread,
    /// The worker has no free capacity.
    NoRoom,
    /// Its lease could outlast the time after which a front assumes that a run on the worker has
    /// ended.
    Outdated,
}

/// Why an owner dropped a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DropCause {
    /// Another instance has a higher token.
    Fenced,
    /// The worker's process is another incarnation.
    #[strum(serialize = "other-life")]
    OtherIncarnation,
    /// It is no longer listed and has no runs.
    Unlisted,
}

/// Why the front of an earlier submission has no run any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ReleaseCause {
    /// It has answered that its runs have ended.
    Answered,
    /// It is unreachable, and the leases of its runs have expired.
    Lost,
    /// It has not answered for longer than any front keeps an answered job.
    Unanswered,
}
