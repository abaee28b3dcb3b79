//! Comparison of a run with the ideal.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use crate::{JournalEntry, Outcome, Plan, ideal};

/// Resolution of recorded ratios, in parts of 1.
const RATIO_SCALE: f64 = 1_000.0;

/// Percentiles of a quantity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub worst: f64,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Number of jobs sent.
    pub jobs: usize,
    /// Number of tasks of these jobs.
    pub tasks: usize,
    /// Ratio of the response time of complete jobs to the ideal one.
    pub ratio: Percentiles,
    /// Response time of complete jobs in milliseconds.
    pub response: Percentiles,
    /// Number of jobs by outcome.
    pub outcomes: Vec<(String, usize)>,
    /// Number of refusals and failures by code.
    pub codes: Vec<(String, usize)>,
    /// Ratios of the response times of complete jobs to the ideal ones, sorted.
    #[serde(skip)]
    pub ratios: Vec<f64>,
}

impl Report {
    /// Compares a journal with the ideal for the same plan.
    ///
    /// `round_trips` is the time of the unavoidable round trips in microseconds.
    #[must_use]
    pub fn new(
        plan: &Plan,
        journal: &[JournalEntry],
        capacity: &[(u64, u32)],
        round_trips: u64,
    ) -> Self {
        let ideal = ideal(plan, capacity);
        let complete = || journal.iter().filter(|line| line.outcome == Outcome::Complete);
        let ratio = |line: &JournalEntry| {
            let best = ideal[line.index] * 1_000 + round_trips;
            line.response as f64 / best.max(1) as f64
        };
        let mut ratios: Vec<f64> = complete().map(ratio).collect();
        ratios.sort_by(f64::total_cmp);
        let count = |outcome| journal.iter().filter(|line| line.outcome == outcome).count();
        let outcomes = Outcome::iter()
            .map(|outcome| (outcome.to_string(), count(outcome)))
            .filter(|(_, count)| *count > 0)
            .collect();
        Self {
            jobs: plan.jobs.len(),
            tasks: plan.tasks(),
            ratio: percentiles(ratios.iter().copied()),
            response: percentiles(complete().map(|line| line.response as f64 / 1_000.0)),
            outcomes,
            codes: count_codes(journal),
            ratios,
        }
    }
}

fn percentiles(values: impl Iterator<Item = f64>) -> Percentiles {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are allowed");
    for value in values {
        // The histogram resizes itself, so every value is in range.
        let _ = histogram.record((value * RATIO_SCALE) as u64);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / RATIO_SCALE;
    Percentiles { p50: at(0.5), p99: at(0.99), worst: histogram.max() as f64 / RATIO_SCALE }
}

fn count_codes(journal: &[JournalEntry]) -> Vec<(String, usize)> {
    let mut codes: Vec<(String, usize)> = Vec::new();
    for line in journal.iter().filter(|line| !line.code.is_empty()) {
        match codes.binary_search_by(|(code, _)| code.cmp(&line.code)) {
            Ok(place) => codes[place].1 += 1,
            Err(place) => codes.insert(place, (line.code.clone(), 1)),
        }
    }
    codes
}
