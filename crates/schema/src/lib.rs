//! Messages between instances and the keys of the settings tree, generated from the schema.
//!
//! `cargo xtask generate` writes the modules below `generated` from `proto/peer.proto` and
//! `settings.ini`; they are committed, and CI checks that generating them again changes nothing.
//!
//! ```
//! use cranberryhatch_schema::{Key, Values};
//!
//! let mut values = Values::default();
//! values.set(Key::LeaseTask, "5s").expect("in range");
//! assert_eq!(values.lease_task.as_ms(), 5_000);
//! assert!(values.set(Key::LeaseTask, "5").is_err());
//! ```

mod choice;
mod generated;
mod key_spec;
mod level;
mod set_error;

pub use choice::PlacementPolicy;
pub use generated::{keys::Key, values::Values};
pub use key_spec::{KeySpec, ValueType};
pub use level::Level;
pub use set_error::SetError;

/// Messages between instances that share workers.
pub use generated::fleet;
/// Messages between entry instances.
pub use generated::peer;
