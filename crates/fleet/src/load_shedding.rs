//! Refusing: which waiting jobs cannot be served in time any more.
//!
//! The load it answers is a lasting overload: without it the queue grows until every job waits for
//! its whole time limit and is then refused. A job is refused when the forecast leaves its last task
//! no useful start, so that its caller learns it at once, and one that can still be of use waits.

use cranberryhatch_types::{Span, Time};

use crate::{
    Backlog, BacklogEntry, Forecast, QueuedTasks, arrivals::ArrivalRate,
    retry_schedule::RetrySchedule,
};

/// Time within which room counts as there.
const IMMEDIATE: Span = Span::from_ms(50);
/// Least share of the slots that arrivals of smaller priority numbers are taken to leave.
const MIN_SPARE_SHARE: f64 = 0.1;
/// Largest part of what is left that is kept for other arrivals of the priority; callers who come back
/// get the rest.
const MAX_SAME_PRIORITY_SHARE: f64 = 0.5;

/// Times the forecast wait of a job after which it still has to meet its objective.
///
/// Urgent jobs come in bursts, and the forecast knows only their mean. One that would not meet its
/// objective may still be of use.
const WAIT_MARGIN: u64 = 3;

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalCause {
    /// What runs and waits before it leaves its last task no useful start.
    Behind,
    /// It cannot meet its objective, and what arrives from now on goes first.
    Overtaken,
    /// Its last useful start has passed.
    Passed,
    /// No worker may run it.
    NoWorker,
}

/// A job that cannot be served in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnservableJob {
    /// Name of the job.
    pub job: String,
    /// Why.
    pub cause: RefusalCause,
    /// Expected wait of its last task; none if it is longer than the forecast.
    pub start: Option<Span>,
    /// When to come back.
    pub retry: Span,
    /// Tasks of its size that run at a time on all workers that may run it.
    pub slots: u64,
    /// Time for which what waits before it takes all of these.
    pub work: Span,
    /// Share of the slots that arrivals of smaller priority numbers need, in thousandths.
    pub share: u64,
}

/// What arrives for a service.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalRates<'a> {
    /// Rates by priority, from the smallest number on.
    pub rates: &'a [(u32, ArrivalRate)],
    /// Whether they have been watched for long enough to tell that the workers can carry them.
    pub reliable: bool,
}

/// Jobs of a service that have not begun and whose last task gets no useful start.
///
/// `mean_ms` is the mean run time of the tasks
/// of an entry in milliseconds.
#[must_use]
pub fn find_unservable(
    backlog: &mut Backlog,
    service: &str,
    mut forecast: Forecast,
    arrivals: ArrivalRates<'_>,
    mean_ms: impl Fn(&QueuedTasks) -> f64,
    returns: &mut RetrySchedule,
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
            // The margin is for what is ahead; with its own tasks in it, small jobs would fill the queue up
            // to their limit, which is always past that of large ones.
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
        // Jobs that can meet their objectives pass those that cannot, and those of zones that have had their
        // share.
        let mut queued_only = forecast.clone();
        let arriving = arrivals.work(|of| of <= priority);
        arrivals.reserve_up_to(&mut forecast, |of| of <= priority);
        for (place, entry) in late.into_iter().enumerate() {
            let queued = &mut entry.queued;
            let mean = mean_ms(queued);
            let start = forecast.last_start(queued, mean);
            let without_arrivals = queued_only.last_start(queued, mean);
            // A queue of arrivals that the slots can carry drains, so that one which waits gets its turn. One that
            // was told to wait, or that waits alone, is not refused for arrivals that may not come either.
            let drains = reliable && forecast.load(queued, arriving) < 1.0;
            let expected_start =
                if drains || entry.retained || is_alone { without_arrivals } else { start };
            // Where room comes at once, an answer that is of no more use hurts nobody, and its caller still waits.
            let end = Span::from_ms(rounded(mean));
            let is_useful = |start: Span| {
                let ends = now + start + end <= queued.deadline;
                now + start <= queued.useful_start || (start <= IMMEDIATE && ends)
            };
            let slots = forecast.slots(queued);
            // The first one of a size without a worker may be what a worker comes back for.
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
            let room = now + without_arrivals.unwrap_or(Forecast::LENGTH);
            let retry = returns.reserve(service, priority, room, rounded(1_000.0 * work), now);
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

/// Arrivals by priority, and how many of them the forecast counts.
struct ExpectedArrivals<'a> {
    rates: &'a [(u32, ArrivalRate)],
    applied: usize,
}

impl ExpectedArrivals<'_> {
    /// Has the forecast count arrivals of the priorities that go first.
    fn reserve_up_to(&mut self, forecast: &mut Forecast, goes_first: impl Fn(u32) -> bool) {
        while let Some((_, rate)) = self.rates.get(self.applied).filter(|(of, _)| goes_first(*of)) {
            forecast.reserve_arrivals(*rate);
            self.applied += 1;
        }
    }

    /// Work that arrives of some priorities.
    fn work(&self, counts: impl Fn(u32) -> bool) -> f64 {
        self.rates.iter().filter(|(of, _)| counts(*of)).map(|(_, rate)| rate.work).sum()
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "never negative")]
fn rounded(value: f64) -> u64 {
    value.round() as u64
}
