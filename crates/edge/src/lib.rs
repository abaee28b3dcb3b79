//! I/O layer of an instance: runs the state machine of `cranberryhatch-fleet` with sockets, timers,
//! logs and metrics.
//!
//! A platform is supported by implementing [`Platform`]. The `follow_*` functions keep the lists
//! that the platform stores up to date.
//!
//! ```
//! use cranberryhatch_edge::{Catalog, Clock};
//!
//! assert!(Catalog::default().find("example.org", "/jobs/1").is_none());
//! assert!(Clock.now().as_ms() > 0);
//! ```

mod catalog;
mod clock;
mod edge;
mod follow;
mod frames;
mod journal;
mod links;
mod metrics;
mod platform;
mod worker_cache;

pub use catalog::{Catalog, CatalogEntry, REMOVED_RETENTION};
pub use clock::Clock;
pub use cranberryhatch_schema::fleet::Hello;
pub use edge::Edge;
pub use follow::{follow_instances, follow_settings, follow_workers};
pub use frames::{FrameReader, encode};
pub use journal::{EventLogger, init_logging, log_line_counts};
pub use links::{LinkEvents, Links};
pub use metrics::{CauseLabel, KindHistograms, KindLabel, Metrics};
pub use platform::{
    DecodeError, List, Platform, PollOptions, Row, Rows, StartResult, StoreError, WorkerRequest,
};
pub use worker_cache::{ListFreshness, WorkerCache, WorkerChange, WorkerEntry};
