//! Common value types shared by all crates: times, ids, sizes, counts and rates.
//!
//! Each value type implements `Display` and `FromStr`; the text that `Display` writes parses back
//! to the same value.
//!
//! ```
//! use cranberryhatch_types::{Span, Time};
//!
//! let start = Time::from_ms(1_000);
//! let lease: Span = "10s".parse().expect("a span");
//! assert_eq!((start + lease).as_ms(), 11_000);
//! ```

mod bytes;
mod claim_no;
mod count;
mod id;
mod job_key;
mod parse_error;
mod rate;
mod ratio;
mod shard_id;
mod span;
mod task_name;
mod time;

pub use bytes::Bytes;
pub use claim_no::ClaimNo;
pub use count::{Accels, Cores, Count, Slots};
pub use id::{InstanceId, Kind, RackId, TeamId, WorkerId, ZoneId};
pub use job_key::{JobKey, KeyName};
pub use parse_error::ParseError;
pub use rate::Rate;
pub use ratio::Ratio;
pub use shard_id::{Holder, Incarnation, ShardId};
pub use span::Span;
pub use task_name::TaskName;
pub use time::Time;
