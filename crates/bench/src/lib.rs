//! Benchmarks of the costs of a shard by size, with fitted lines.
//!
//! ```
//! use cranberryhatch_bench::Series;
//!
//! let series = Series::new("cost", "workers", "ns").point(1.0, 12.0).point(2.0, 14.0).point(3.0, 16.0);
//! let line = series.fit();
//! assert!((line.slope - 2.0).abs() < 1e-9);
//! assert!((line.at(10.0) - 30.0).abs() < 1e-9);
//! ```

mod grants;
mod line;
mod memory;
mod rig;
mod series;
mod slopes;

pub use line::Line;
pub use memory::resident_bytes;
pub use rig::Rig;
pub use series::Series;
pub use slopes::{decisions_per_second, measure};
