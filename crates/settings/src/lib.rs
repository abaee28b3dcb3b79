//! Configuration file of a process, and the settings tree that all instances share.
//!
//! ```
//! use cranberryhatch_settings::Tree;
//!
//! let tree = Tree::parse(
//!     "[root]\nquota.weight = 5\n[team script]\nquota.weight = 20\n[kind script/preview]\nretry.lapsed = on\n",
//! )
//! .expect("a valid tree");
//! let team = "script".parse().expect("id");
//! let kind = "preview".parse().expect("id");
//! let zone = "praha-a".parse().expect("id");
//! let values = tree.resolve(&zone, Some(&team), Some(&kind));
//! assert_eq!(values.quota_weight.get(), 20);
//! assert!(values.retry_lapsed);
//! ```

mod active_settings;
mod change;
mod checks;
mod drains;
mod path;
mod process;
mod tree;
mod tree_error;

pub use active_settings::ActiveSettings;
pub use change::Change;
pub use drains::Drains;
pub use path::Path;
pub use process::{LogFormat, ProcessConfig, ProcessError};
pub use tree::{Setting, Tree};
pub use tree_error::{Fault, FaultKind, TreeError};
