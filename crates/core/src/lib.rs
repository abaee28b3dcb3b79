//! Decision logic of the dispatcher, free of I/O, threads and system time.
//!
//! A [`Dispatcher`] is one shard: a state machine that handles an [`Event`] at a given time and
//! appends the resulting [`Command`]s to a buffer. The same code runs in the entry instance, in the
//! benchmarks and in the model-based fuzz tests.
//!
//! ```
//! use cranberryhatch_core::{Dispatcher, Event, Identity};
//! use cranberryhatch_types::{Holder, Incarnation, ShardId, Time};
//!
//! let holder = Holder { instance: "praha-a-1".parse().unwrap(), incarnation: Incarnation::new(1) };
//! let shard = ShardId { instance: holder.instance.clone(), shard: 0 };
//! let identity = Identity { shard, holder, zone: "praha-a".parse().unwrap(), shards: 1 };
//! let mut dispatcher = Dispatcher::new(identity);
//! let mut out = Vec::new();
//! dispatcher.handle(Time::ZERO, Event::Tick, &mut out);
//! assert!(out.is_empty());
//! ```

mod abandoned;
mod admission;
mod adoption;
mod answer;
mod attempt;
mod attempts;
mod borrowing;
mod chunk_map;
mod claim;
mod claims;
mod cluster;
mod command;
mod contacts;
mod context;
mod counter;
mod dispatcher;
mod ending;
mod endpoint;
mod event;
mod forward;
mod health;
mod holder_lease;
mod ids;
mod invariant;
mod job;
mod job_spec;
mod job_table;
mod key_hash;
mod lending;
mod limit;
mod loan;
mod membership;
mod part_grants;
mod peer;
mod pool;
mod prerequisite;
mod queue;
mod quota;
mod random;
mod recovery;
mod recovery_types;
mod rendezvous;
mod retention;
mod retries;
mod retry_budget;
mod rules;
mod run_times;
mod slab_map;
mod start_response;
mod state_change;
mod stranded;
mod succession;
mod takeover;
mod timers;
mod waiters;
mod waiting;
mod watch;

pub use answer::{Answer, Code, Outcome};
pub use chunk_map::ChunkMap;
pub use cluster::{Blocked, Cluster};
pub use command::{Command, Start};
pub use counter::Counter;
pub use dispatcher::{Dispatcher, Identity};
pub use endpoint::{Endpoint, Listing};
pub use event::{ClaimOutcome, Event, JobSubmission};
pub use holder_lease::HolderLease;
pub use ids::{AttemptId, JobNo, Payload, Ticket};
pub use job_spec::{Digest, JobSpec, Need, TaskSpec};
pub use pool::{Pool, Slot, SlotOutcome, WorkerNo};
pub use prerequisite::Prerequisite;
pub use queue::{FairQueue, LaneNo, Pick, QueueEntry};
pub use recovery::Recovery;
pub use recovery_types::{Adoption, FencedTask, HolderRow};
pub use slab_map::SlabMap;
pub use start_response::{AttemptStatus, NotRun, StartResponse};
pub use state_change::{StateChange, StateName};
