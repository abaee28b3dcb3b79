//! Refusing: which waiting jobs cannot be served in time any more.
//!
//! The load it answers is a lasting overload: without it the queue grows until every job waits for
//! its whole time limit and is then refused. A job is refused as soon as the work ahead of it leaves
//! no useful start, so that its caller learns it at once, and one that can still be of use waits.

use cranberryhatch_types::{Span, Time};

use crate::Backlog;

/// Share of all cores that does work when everything is busy, in thousandths.
///
/// Two tasks of 14 cores fill 28 of 32 cores of a worker.
const PACKED: u64 = 850;
/// Shortest time that a refused caller is asked to stay away.
const RETRY_MIN: Span = Span::from_ms(100);

/// A job that cannot be served in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hopeless {
    /// Name of the job.
    pub job: String,
    /// Expected wait of the job.
    pub ahead: Span,
    /// When to come back.
    pub retry: Span,
}

/// Jobs that have not begun and that the work ahead of them leaves no useful start.
///
/// `cores` is the room of all usable workers of a service in thousandths of a core.
#[must_use]
pub fn hopeless(backlog: &Backlog, service: &str, cores: u64, now: Time) -> Vec<Hopeless> {
    let mut found = Vec::new();
    let mut ahead_work = 0u64;
    for waiting in backlog.iter().filter(|waiting| waiting.service == service) {
        let ahead = wait_for(ahead_work, cores);
        if !waiting.begun && now + ahead > waiting.useful {
            let retry = ahead.max(RETRY_MIN);
            found.push(Hopeless { job: waiting.job.clone(), ahead, retry });
        } else {
            ahead_work = ahead_work.saturating_add(waiting.work());
        }
    }
    found
}

/// Time until `work` has been handed to workers of `cores`.
fn wait_for(work: u64, cores: u64) -> Span {
    if work == 0 {
        return Span::ZERO;
    }
    let rate = cores * PACKED / 1_000;
    // Without any worker nothing is served; a minute is past every time limit.
    work.checked_div(rate).map_or(Span::from_secs(60), Span::from_ms)
}
