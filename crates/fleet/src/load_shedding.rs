//! Load shedding: finds the waiting jobs that can no longer be served in time.
//!
//! Without it, the queue grows in a sustained overload until every job waits for its whole deadline
//! and is refused in the end. A job is refused as soon as the forecast leaves its last task no
//! useful start, so that its caller learns it at once; jobs that can still be useful keep waiting.

use cranberryhatch_types::{Span, Time};

use crate::{
    Backlog, BacklogEntry, Forecast, QueuedTasks, arrivals::ArrivalRate,
    retry_schedule::RetrySchedule,
};

/// Wait up to which capacity counts as available at once.
const IMMEDIATE: Span = Span::from_ms(50);
/// Minimum share of the slots that is assumed to be left by arrivals of higher priority.
const MIN_SPARE_SHARE: f64 = 0.1;
/// Maximum share of the remaining slots that is set aside for new arrivals of the same priority;
/// retrying callers get the rest.
const MAX_SAME_PRIORITY_SHARE: f64 = 0.5;

/// Factor by which the forecast wait of a job is multiplied before it is compared with its latency
/// target.
///
/// Urgent jobs arrive in bursts, and the forecast knows only their mean rate. A job that would miss
/// its target can still be useful.
const WAIT_MARGIN: u64 = 3;

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalCause {
    /// Running and waiting work ahead of the job leaves its last task no useful start.
    Behind,
    /// The job cannot meet its latency target, and future arrivals are served before it.
    Overtaken,
    /// The last useful start of the job has passed.
    Passed,
    /// No worker can run the job.
    NoWorker,
}

/// A job that cannot be served in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnservableJob {
    /// Name of the job.
    pub job: String,
    /// Why it is refused.
    pub cause: RefusalCause,
    /// Expected wait of its last task; `None` if that is past the end of the forecast.
    pub start: Option<Span>,
    /// Time after which the caller should retry.
    pub retry: Span,
    /// Number of its tasks that can run at a time on all workers that may run them.
    pub slots: u64,
    /// Time for which the waiting work ahead of it occupies all of these slots.
    pub work: Span,
    /// Share of the slots that arrivals of higher priority need, in thousandths.
    pub share: u64,
}

/// Arrival rates of a service.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalRates<'a> {
    /// Rates by priority, in order of the priority number.
    pub rates: &'a [(u32, ArrivalRate)],
    /// Whether the rates were measured for long enough to tell whether the workers can carry them.
    pub reliable: bool,
}

/// Returns the jobs of a service that have not started and whose last task has no useful start, and
/// marks the other entries as retained.
///
/// `mean_ms` returns the mean run time of the tasks of an entry in milliseconds.
#[must_use]
pub fn find_unservable(
    backlog: &mut Backlog,
    service: &str,
    mut forecast: Forecast,
    arrivals: ArrivalRates<'_>,
    mean_ms: impl Fn(&QueuedTasks) -> f64,
    schedule: &mut RetrySchedule,
    now: Time,
) -> Vec<UnservableJob> {
    let mut entries: Vec<&mut BacklogEntry> = backlog.service_entries_mut(service).collect();
    let is_alone = entries.len() == 1;
    let mut found = Vec::new();
    let mut ahead = 0.0;
    let reliable = arrivals.reliable;
    let mut arrivals = ExpectedArrivals { rates: arrivals.rates, applied: 0 };
    let same =
        |a: &&mut BacklogEntry, b: &&mut BacklogEntry| a.queued.priority == b.queued.priority;
    for group in entries.chunk_by_mut(same) {
        let priority = group[0].queued.priority;
        arrivals.reserve_up_to(&mut forecast, |of| of < priority);
        let mut late: Vec<&mut BacklogEntry> = Vec::new();
        for entry in group {
            let queued = &mut entry.queued;
            if now <= queued.useful_start && !forecast.covers(queued) {
                continue;
            }
            let mean = mean_ms(queued);
            // The margin applies to the work ahead of the job. If it also covered the job's own
            // tasks, small jobs would fill the queue up to the wait at which they are refused,
            // which is always longer than that of large jobs.
            let meets = |start: Span, margin| now + start * margin <= queued.latest_start;
            let first = forecast.first_start(queued).filter(|first| meets(*first, WAIT_MARGIN));
            let last = forecast.last_start(queued, mean).filter(|last| meets(*last, 1));
            let in_time = !entry.deferred && first.is_some();
            if let Some(last) = last.filter(|_| in_time || queued.begun) {
                queued.forecast.get_or_insert((now, last));
            } else if !queued.begun {
                late.push(entry);
                continue;
            }
            ahead += forecast.occupancy_ms(queued, mean);
            forecast.reserve(queued, mean);
            entry.retained = true;
        }
        if late.is_empty() {
            continue;
        }
        // Jobs that can meet their latency targets are served before those that cannot, and before
        // those of zones that have had their share.
        let mut queued_only = forecast.clone();
        let arriving = arrivals.work(|of| of <= priority);
        arrivals.reserve_up_to(&mut forecast, |of| of <= priority);
        for (place, entry) in late.into_iter().enumerate() {
            let queued = &mut entry.queued;
            let mean = mean_ms(queued);
            let start = forecast.last_start(queued, mean);
            let without_arrivals = queued_only.last_start(queued, mean);
            // If the slots can carry the arrivals, the queue drains and every waiting job gets its
            // turn. A job that was retained before or that waits alone is not refused because of
            // future arrivals, which may not come.
            let drains = reliable && forecast.load(queued, arriving) < 1.0;
            let expected_start =
                if drains || entry.retained || is_alone { without_arrivals } else { start };
            // If capacity is available at once, running the job does no harm even if its answer is
            // late, and its caller is still waiting.
            let end = Span::from_ms(rounded(mean));
            let is_useful = |start: Span| {
                let ends = now + start + end <= queued.deadline;
                now + start <= queued.useful_start || (start <= IMMEDIATE && ends)
            };
            let slots = forecast.slots(queued);
            // The first entry of a size without workers keeps waiting, because a worker may come
            // back for it.
            let waits_for_worker = slots <= 0.0 && place == 0 && now <= queued.useful_start;
            if waits_for_worker || expected_start.is_some_and(is_useful) {
                ahead += forecast.occupancy_ms(queued, mean);
                forecast.reserve(queued, mean);
                queued_only.reserve(queued, mean);
                if let Some(start) = expected_start {
                    queued.forecast.get_or_insert((now, start));
                }
                entry.retained = true;
                continue;
            }
            let cause = if now > queued.useful_start {
                RefusalCause::Passed
            } else if slots <= 0.0 {
                RefusalCause::NoWorker
            } else if without_arrivals.is_some_and(is_useful) {
                RefusalCause::Overtaken
            } else {
                RefusalCause::Behind
            };
            let urgent_load = forecast.load(queued, arrivals.work(|of| of < priority));
            let same_load = forecast.load(queued, arrivals.work(|of| of == priority));
            let spare = (1.0 - urgent_load).max(MIN_SPARE_SHARE)
                * (1.0 - same_load.min(MAX_SAME_PRIORITY_SHARE));
            let work = forecast.occupancy_ms(queued, mean) / spare;
            let capacity_at = now + without_arrivals.unwrap_or(Forecast::LENGTH);
            let retry =
                schedule.reserve(service, priority, capacity_at, rounded(1_000.0 * work), now);
            found.push(UnservableJob {
                job: queued.job.clone(),
                cause,
                start: expected_start.or(without_arrivals),
                retry,
                slots: rounded(slots),
                work: Span::from_ms(rounded(ahead)),
                share: rounded(1_000.0 * urgent_load),
            });
        }
    }
    found
}

/// Arrival rates by priority, and how many of them the forecast already includes.
struct ExpectedArrivals<'a> {
    rates: &'a [(u32, ArrivalRate)],
    applied: usize,
}

impl ExpectedArrivals<'_> {
    /// Adds the arrivals of all priorities that are served first to the forecast.
    fn reserve_up_to(&mut self, forecast: &mut Forecast, goes_first: impl Fn(u32) -> bool) {
        while let Some((_, rate)) = self.rates.get(self.applied).filter(|(of, _)| goes_first(*of)) {
            forecast.reserve_arrivals(*rate);
            self.applied += 1;
        }
    }

    /// Returns the arriving work of the priorities for which `counts` returns true.
    fn work(&self, counts: impl Fn(u32) -> bool) -> f64 {
        self.rates.iter().filter(|(of, _)| counts(*of)).map(|(_, rate)| rate.work).sum()
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "never negative")]
fn rounded(value: f64) -> u64 {
    value.round() as u64
}
