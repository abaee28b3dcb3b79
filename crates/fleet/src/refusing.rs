//! Refusing: which waiting jobs cannot be served in time any more.
//!
//! The load it answers is a lasting overload: without it the queue grows until every job waits for
//! its whole time limit and is then refused. A job is refused when the forecast leaves its last task
//! no useful start, so that its caller learns it at once, and one that can still be of use waits.

use cranberryhatch_types::{Span, Time};

use crate::{Backlog, Forecast, Waiting, arrivals::Rate, returns::Returns};

/// Least share of the slots that callers who come back are taken to get.
const SPARE: f64 = 0.1;

/// Times the forecast wait of a job after which it still has to meet its objective.
///
/// Bursts of urgent jobs delay what waits by about as much as the forecast, which knows their mean.
const MARGIN: u64 = 2;

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
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
pub struct Hopeless {
    /// Name of the job.
    pub job: String,
    /// Why.
    pub cause: Cause,
    /// Expected wait of its last task; none if it is longer than the forecast.
    pub ahead: Option<Span>,
    /// When to come back.
    pub retry: Span,
    /// Tasks of its size that run at a time on all workers that may run it.
    pub slots: u64,
    /// Share of the slots that arrivals of smaller priority numbers need, in thousandths.
    pub share: u64,
}

/// Jobs of a service that have not begun and whose last task gets no useful start.
///
/// `arrivals` are by priority from the smallest number on, `mean_ms` is the mean run time of the tasks
/// of an entry in milliseconds.
#[must_use]
pub fn hopeless(
    backlog: &Backlog,
    service: &str,
    mut forecast: Forecast,
    arrivals: &[(u32, Rate)],
    mean_ms: impl Fn(&Waiting) -> f64,
    returns: &mut Returns,
    now: Time,
) -> Vec<Hopeless> {
    let waiting: Vec<&Waiting> =
        backlog.iter().filter(|waiting| waiting.service == service).collect();
    let mut found = Vec::new();
    let mut arrivals = Ahead { rates: arrivals, counted: 0 };
    for level in waiting.chunk_by(|a, b| a.priority == b.priority) {
        let priority = level[0].priority;
        arrivals.expect(&mut forecast, |of| of < priority);
        let mut late = Vec::new();
        for waiting in level {
            let meets = |start: Span| now + start * MARGIN <= waiting.on_time;
            if waiting.begun || forecast.last_start(waiting, mean_ms(waiting)).is_some_and(meets) {
                forecast.place(waiting, mean_ms(waiting));
            } else {
                late.push(*waiting);
            }
        }
        if late.is_empty() {
            continue;
        }
        // Jobs that can meet their objectives pass those that cannot.
        let mut waiting_only = forecast.clone();
        arrivals.expect(&mut forecast, |of| of <= priority);
        for (place, waiting) in late.into_iter().enumerate() {
            let mean = mean_ms(waiting);
            let start = forecast.last_start(waiting, mean);
            let unhindered = waiting_only.last_start(waiting, mean);
            let is_useful = |start: Span| now + start <= waiting.useful;
            // One that is late already is not refused for arrivals that may not come.
            let judged = if now > waiting.on_time { unhindered } else { start };
            let slots = forecast.slots(waiting);
            // The first one of a size without a worker may be what a worker comes back for.
            let waits_for_worker = slots <= 0.0 && place == 0 && now <= waiting.useful;
            if waits_for_worker || judged.is_some_and(is_useful) {
                forecast.place(waiting, mean);
                waiting_only.place(waiting, mean);
                continue;
            }
            let cause = if now > waiting.useful {
                Cause::Passed
            } else if slots <= 0.0 {
                Cause::NoWorker
            } else if unhindered.is_some_and(is_useful) {
                Cause::Overtaken
            } else {
                Cause::Behind
            };
            let spare = 1.0 - forecast.load(waiting, arrivals.work(|of| of <= priority));
            let work = forecast.length(waiting, mean) / spare.max(SPARE);
            let room = now + judged.unwrap_or(Forecast::LENGTH);
            let retry = returns.book(service, priority, room, whole(1_000.0 * work), now);
            let share = forecast.load(waiting, arrivals.work(|of| of < priority));
            found.push(Hopeless {
                job: waiting.job.clone(),
                cause,
                ahead: judged,
                retry,
                slots: whole(slots),
                share: whole(1_000.0 * share),
            });
        }
    }
    found
}

/// Arrivals by priority, and how many of them the forecast counts.
struct Ahead<'a> {
    rates: &'a [(u32, Rate)],
    counted: usize,
}

impl Ahead<'_> {
    /// Has the forecast count arrivals of the priorities that go first.
    fn expect(&mut self, forecast: &mut Forecast, goes_first: impl Fn(u32) -> bool) {
        while let Some((_, rate)) = self.rates.get(self.counted).filter(|(of, _)| goes_first(*of)) {
            forecast.expect(*rate);
            self.counted += 1;
        }
    }

    /// Work that arrives of some priorities.
    fn work(&self, counts: impl Fn(u32) -> bool) -> f64 {
        self.rates.iter().filter(|(of, _)| counts(*of)).map(|(_, rate)| rate.work).sum()
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "never negative")]
fn whole(value: f64) -> u64 {
    value.round() as u64
}
