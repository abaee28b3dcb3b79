//! State machines of the instances that run tasks on shared workers.
//!
//! Callers submit jobs of many tasks to any instance, which becomes the job's *front*. One instance
//! of all that are connected is the *scheduler* and grants capacity on workers. Each worker has one
//! *owner*, the only instance that sends it requests. This crate does no I/O and reads no clock.
//!
//! ```
//! use cranberryhatch_fleet::{Member, Node, Output};
//! use cranberryhatch_types::Time;
//!
//! let me = Member {
//!     id: "edge-1".parse().expect("a name"),
//!     incarnation: 1,
//!     zone: "a".parse().expect("a zone"),
//!     cores: 250,
//!     draining: false,
//!     core: false,
//!     joined: false,
//!     version: 0,
//! };
//! let mut node = Node::new(me, Time::ZERO);
//! let mut out = Output::default();
//! node.tick(1_800_000_000_000, Time::from_ms(20), &mut out);
//! assert!(!node.is_ready());
//! ```

mod arrivals;
mod assigned_run;
mod backlog;
mod bias;
mod canceled_jobs;
mod deferred_start;
mod drains;
mod fair_share;
mod forecast;
mod front;
mod incarnation;
mod job;
mod load_shedding;
mod log_event;
mod loss_ledger;
mod members;
mod need;
mod node;
mod outcome;
mod output;
mod owner;
mod owner_requests;
mod pending_poll;
mod placement;
mod placement_cache;
mod previous_run;
mod probes;
mod rack_slowdown;
mod response_times;
mod restart_budget;
mod retry_schedule;
mod run_key;
mod run_lease;
mod run_stats;
mod run_times;
mod scheduler;
mod shutdown;
mod speed;
mod submissions;
mod suspects;
mod task_state;
mod topology;
mod unanswered_leases;
mod vec_map;
mod version_history;
mod worker;
mod worker_crashes;
mod worker_list;
mod worker_pool;
mod worker_view;

pub use arrivals::{ArrivalRate, Arrivals};
pub use assigned_run::{AssignedRun, RunStage};
pub use backlog::{Backlog, BacklogEntry, QueuedTasks, latest_starts};
pub use bias::RunBias;
pub use canceled_jobs::{CANCEL_RETENTION, CanceledJobs};
pub use deferred_start::DeferredStart;
pub use drains::{DrainFreshness, DrainRead, ZoneChange, ZoneDrains};
pub use fair_share::{FairShare, OverservedZones};
pub use forecast::Forecast;
pub use front::{Front, OUTLASTING_EXPIRY, RUN_EXPIRY, is_sampled};
pub use incarnation::Incarnation;
pub use job::{Job, KindSettings, Step};
pub use load_shedding::{ArrivalRates, RefusalCause, UnservableJob, find_unservable};
pub use log_event::{
    DropCause, LogEvent, ReleaseCause, RequestKind, Resolution, RestartCause, StartRefusal,
    StopCause,
};
pub use loss_ledger::{CRASH_LIMIT, LossLedger, SILENT_CRASH_LIMIT, Verdict};
pub use members::{Member, Members, MembershipChange, Owners, text_hash};
pub use need::Need;
pub use node::{HEARTBEAT_INTERVAL, Node, PEER_TIMEOUT};
pub use outcome::{CancelOutcome, NotRunCause, Outcome};
pub use output::{
    Command, End, Lease, Message, Output, PollResponse, PollResult, RunEnd, Running, StartResponse,
    WorkerStatus,
};
pub use owner::Owner;
pub use owner_requests::OwnerRequests;
pub use pending_poll::PendingPoll;
pub use placement::{Placement, Timeliness};
pub use previous_run::{EndReport, PreviousRun, RunEndCause};
pub use probes::Probes;
pub use response_times::ResponseTimes;
pub use restart_budget::RestartBudget;
pub use retry_schedule::RetrySchedule;
pub use run_key::{RunKey, TaskKey};
pub use run_lease::{LEASE, RUN_LIFETIME, lease_length};
pub use run_stats::{RunStats, WorkerStats};
pub use run_times::RunTimes;
pub use scheduler::Scheduler;
pub use shutdown::{ACCEPT_PERIOD, Shutdown, ShutdownProgress};
pub use speed::{ClassSpeeds, SlownessLevel, SpeedEstimate};
pub use submissions::{RunOrigin, Submission, SubmissionOrder, Submissions};
pub use suspects::Suspects;
pub use task_state::{Phase, Placed, TaskState};
pub use topology::{InstanceInfo, LinkPlan, Topology};
pub use unanswered_leases::{LeasedRequest, MAX_LATE_DELAY, MIN_LATE_DELAY, UnansweredLeases};
pub use vec_map::VecMap;
pub use worker::{Ownership, Worker};
pub use worker_crashes::WorkerCrashes;
pub use worker_list::{ListedWorker, WorkerList};
pub use worker_pool::{PlacementDecision, WorkerPool};
pub use worker_view::{GrantedRun, WorkerView};
