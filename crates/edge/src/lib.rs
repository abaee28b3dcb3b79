//! I/O of instances that share workers: sockets, timers, logs and metrics around the decisions of
//! `cranberryhatch-fleet`.
//!
//! A platform takes part by implementing [`Port`]; `follow_*` keep its lists up to date.
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
mod entries;
mod follow;
mod frames;
mod journal;
mod links;
mod meters;
mod port;

pub use catalog::{Catalog, Entry};
pub use clock::Clock;
pub use cranberryhatch_schema::fleet::Hello;
pub use edge::Edge;
pub use entries::{Change, Entries, Entry as WorkerEntry, Told};
pub use follow::{follow_instances, follow_settings, follow_workers};
pub use frames::{FrameReader, encode};
pub use journal::{Journal, log_lines, start_logs};
pub use links::{LinkEvents, Links};
pub use meters::{Cause, Kind, Meters, Times};
pub use port::{DecodeError, List, LookOrder, Order, Port, Row, Rows, Started, StoreError};
