//! Client of the platform: table, objects and the list of instances.
//!
//! All bodies are JSON; a failed call tells whether a write may have taken effect.
//!
//! ```
//! use cranberryhatch_store::{Expect, Op};
//!
//! let op = Op::new("claims", "script/1-a", Expect::Absent).put(serde_json::json!({"n": 1}));
//! let text = serde_json::to_string(&op).expect("JSON");
//! assert_eq!(text, r#"{"table":"claims","key":"script/1-a","expect":"absent","put":{"n":1}}"#);
//! ```

mod error;
mod expect;
mod listed_instance;
mod platform;
mod settle;
mod txn;

pub use error::PlatformError;
pub use expect::Expect;
pub use listed_instance::{InstanceState, ListedInstance, Role};
pub use platform::Platform;
pub use txn::{Conflict, Op, Row, RowName, Scan, ScannedRow, Txn, TxnResult};
