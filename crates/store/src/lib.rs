//! Client for the platform's tables, object store and instance list.
//!
//! Requests and responses have JSON bodies, except for objects, which are plain bytes. The error of
//! a failed call tells whether a write may have taken effect.
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
mod txn;
mod write;

pub use error::PlatformError;
pub use expect::Expect;
pub use listed_instance::{InstanceState, ListedInstance, Role};
pub use platform::Platform;
pub use txn::{Conflict, Op, Row, RowName, Scan, ScannedRow, Txn, TxnResult};
