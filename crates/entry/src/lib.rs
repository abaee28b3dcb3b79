//! Entry instance: everything around the core that exchanges, stores and waits.
//!
//! An instance is run from the settings file of its process:
//!
//! ```no_run
//! use std::sync::{Arc, atomic::AtomicBool};
//!
//! use cranberryhatch_entry::Instance;
//! use cranberryhatch_settings::ProcessConfig;
//!
//! let text = "[instance]\nid = e0\nzone = praha-a\nlisten = 127.0.0.1:8080\n\
//!     peer = 127.0.0.1:8081\n[platform]\naddress = 127.0.0.1:8082\n";
//! let config = ProcessConfig::parse(text).expect("a valid file");
//! let stop = Arc::new(AtomicBool::new(false));
//! Instance::run(&config, &stop).expect("an instance that ends well");
//! ```

pub mod api;
pub mod claims;
pub mod clock;
pub mod effects;
pub mod endpoints;
pub mod heartbeats;
mod instance;
pub mod lease;
pub mod peers;
pub mod reach;
pub mod readiness;
pub mod replies;
pub mod settings_store;
pub mod shards;
pub mod takeover;
pub mod tasks;
pub mod telemetry;
pub mod tokens;
pub mod watch;

pub use instance::{End, Instance};
