//! Decisions of instances that share workers by size.
//!
//! Callers submit jobs of many tasks to any instance. That instance is the job's *front*; one
//! instance of all that reach each other is the *scheduler* and grants room; each worker has one
//! *owner*, which alone gives it orders. This crate does no I/O and reads no clock.
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
mod drains;
mod forecast;
mod front;
mod job;
mod learnt;
mod life;
mod listing;
mod members;
mod need;
mod node;
mod note;
mod outcome;
mod output;
mod owner;
mod pending_poll;
mod placing;
mod probes;
mod racks;
mod refusing;
mod response_times;
mod restart_budget;
mod returns;
mod roster;
mod run_key;
mod run_lease;
mod run_times;
mod scheduler;
mod sharing;
mod site;
mod sites;
mod speeds;
mod stop;
mod task_state;
mod vec_map;
mod waits;
mod worker;

pub use arrivals::{Arrivals, Rate};
pub use assigned_run::{AssignedRun, RunStage};
pub use backlog::{Backlog, Entry, Waiting, latest_starts};
pub use bias::RunBias;
pub use drains::{DrainRead, Recency, ZoneChange, ZoneDrains};
pub use forecast::Forecast;
pub use front::{Front, RUN_GONE, is_sampled};
pub use job::{Job, Policy, Step};
pub use learnt::{Learnt, Record};
pub use life::Life;
pub use listing::{Listed, Listing};
pub use members::{Counted, Member, Members, Owners, text_hash};
pub use need::Need;
pub use node::{BEAT_EVERY, Node, PEER_TIMEOUT};
pub use note::{DropCause, Note, RequestKind, Resolution, RestartCause, StartRefusal};
pub use outcome::{Outcome, Refusal};
pub use output::{
    Command, End, Lease, Message, Output, PollResponse, PollResult, RunEnd, Running, StartResponse,
    WorkerStatus,
};
pub use owner::Owner;
pub use pending_poll::PendingPoll;
pub use placing::{Choice, Worth};
pub use probes::Probes;
pub use refusing::{Arriving, Cause, Hopeless, hopeless};
pub use response_times::ResponseTimes;
pub use restart_budget::RestartBudget;
pub use returns::Returns;
pub use roster::{Known, Roster, Standing};
pub use run_key::{RunKey, TaskKey};
pub use run_lease::{LEASE, RUN_LIFETIME, lease_length};
pub use run_times::RunTimes;
pub use scheduler::Scheduler;
pub use sharing::{Above, Sharing};
pub use site::{Run, Site};
pub use sites::{Sites, Verdict};
pub use speeds::{Classes, Pace, Speed};
pub use stop::{LAST_CALLERS, Stop, Stopping};
pub use task_state::{Phase, Placed, TaskState};
pub use vec_map::VecMap;
pub use worker::{Ownership, Worker};
