//! Open-loop load on entry instances, compared with an ideal dispatcher.
//!
//! A [`Plan`] holds every arrival and run time and depends only on a seed. The [`Driver`] sends it
//! without waiting for answers, [`ideal`] computes the response times of one central queue for the
//! same plan, and a [`Report`] compares both.
//!
//! ```
//! use cranberryhatch_load::{Pattern, Plan, Workload, ideal};
//!
//! let workload = Workload::new(Pattern::Steady, 384).seconds(2).seed(7);
//! let plan = Plan::generate(&workload);
//! let responses = ideal(&plan, &[(0, 384)]);
//! assert_eq!(responses.len(), plan.jobs.len());
//! ```

mod driver;
mod ideal;
mod journal;
mod pattern;
mod plan;
mod plot;
mod report;
mod workload;

pub use driver::{Driver, KeySource, Target};
pub use ideal::ideal;
pub use journal::{JournalEntry, Outcome};
pub use pattern::Pattern;
pub use plan::{Plan, PlannedJob, PlannedTask};
pub use plot::{PlotError, plot_cdf};
pub use report::{Percentiles, Report};
pub use workload::Workload;
