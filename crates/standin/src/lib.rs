//! Stand-ins for what the dispatcher does not control: the platform, the endpoints and the
//! links between processes.
//!
//! Each keeps an append-only record of what it saw, which the proofs read.
//!
//! ```
//! use cranberryhatch_store::{Expect, Op, Txn, TxnResult};
//! use cranberryhatch_standin::Table;
//!
//! let mut table = Table::default();
//! let op = Op::new("claims", "script/1-a", Expect::Absent).put(1.into());
//! let txn = Txn { id: "w1".into(), ops: vec![op] };
//! assert!(matches!(table.apply(&txn), TxnResult::Written(1)));
//! assert!(matches!(table.apply(&txn), TxnResult::Conflicts(_)));
//! ```

pub mod check;
mod endpoint;
mod fault;
mod link;
mod link_standin;
mod platform;
mod record;
mod stop;
mod table;
mod task_table;

pub use endpoint::{EndpointArgs, EndpointStandin};
pub use fault::{EndpointFault, LinkMode, PlatformFault};
pub use link::Link;
pub use link_standin::{Forward, ForwardError, LinkArgs, LinkStandin};
pub use platform::{PlatformArgs, PlatformStandin, View};
pub use record::{Entry, Happening, Record, read_record, unix_ms};
pub use stop::stop_signal;
pub use table::Table;
pub use task_table::{Admission, Fate, RETAIN_MS, TaskTable};
