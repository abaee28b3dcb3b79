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

mod answer_times;
mod arrivals;
mod asked;
mod backlog;
mod bias;
mod drains;
mod forecast;
mod front;
mod held;
mod job;
mod learnt;
mod life;
mod listing;
mod log_event;
mod members;
mod need;
mod node;
mod outcome;
mod output;
mod owner;
mod placing;
mod probes;
mod racks;
mod refusing;
mod restart_budget;
mod returns;
mod roster;
mod run_key;
mod run_life;
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

pub use answer_times::AnswerTimes;
pub use arrivals::{Arrivals, Rate};
pub use asked::Asked;
pub use backlog::{Backlog, Entry, Waiting, latest_starts};
pub use bias::RunBias;
pub use drains::{DrainRead, Recency, ZoneChange, ZoneDrains};
pub use forecast::Forecast;
pub use front::{Front, RUN_GONE, is_sampled};
pub use held::{Held, Stage};
pub use job::{Job, Policy, Step};
pub use learnt::{Learnt, Record};
pub use life::Life;
pub use listing::{Listed, Listing};
pub use log_event::{DropCause, LogEvent, OrderKind, Resolution, RestartCause, StartRefusal};
pub use members::{Counted, Member, Members, Owners, text_hash};
pub use need::Need;
pub use node::{BEAT_EVERY, Node, PEER_TIMEOUT};
pub use outcome::{NotRunCause, Outcome};
pub use output::{
    Command, End, Lease, Message, Output, PollResponse, PollResult, RunEnd, Running, StartResponse,
    WorkerState,
};
pub use owner::Owner;
pub use placing::{Choice, Worth};
pub use probes::Probes;
pub use refusing::{Arriving, Cause, Hopeless, hopeless};
pub use restart_budget::RestartBudget;
pub use returns::Returns;
pub use roster::{Known, Roster, Standing};
pub use run_key::{RunKey, TaskKey};
pub use run_life::{LEASE, RUN_LIFE, lease_length};
pub use run_times::RunTimes;
pub use scheduler::Scheduler;
pub use sharing::{Above, Sharing};
pub use site::{Run, Site};
pub use sites::{Sites, Verdict};
pub use speeds::{Classes, Pace, Speed};
pub use stop::{LAST_CALLERS, Stop, Stopping};
pub use task_state::{Phase, Placed, TaskState};
pub use vec_map::VecMap;
pub use worker::{Charge, Worker};
