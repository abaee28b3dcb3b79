//! Speed estimates of workers and of their classes, learned from run times.
//!
//! They serve a fleet whose workers differ by class, and in which workers slow down and recover.
//! Run times vary by a factor of 1.5 in either direction, so a single run says little about a small
//! difference and much about a large one. Changes are detected by a cumulative sum (CUSUM) of
//! deviations.

use cranberryhatch_schema::fleet::Standing;
use cranberryhatch_types::{Span, Time};

use crate::VecMap;

/// Deviation from the estimate, as a logarithm, that does not count as evidence of a change.
const CUSUM_ALLOWANCE: f64 = 0.5;
/// Cumulative sum from which the speed of a worker is uncertain. A single run of an unchanged
/// worker reaches it in less than 1 % of cases.
const CUSUM_UNCERTAIN: f64 = 0.6;
/// Cumulative sum from which the speed counts as changed: two runs that took five times as long, or
/// three that took three times as long.
const CUSUM_CHANGED: f64 = 1.4;
/// Deviation of a run in progress, as a logarithm, from which it counts as evidence of a slowdown.
const OVERRUN: f64 = 0.9;
/// Deviation from the class, as a logarithm, from which a worker counts as slow.
const SLOW_THRESHOLD: f64 = 0.7;
/// Maximum absolute value of a sample, as a logarithm.
const SAMPLE_LIMIT: f64 = 2.5;
/// Deviation of a run from the class, as a logarithm, below which a slow worker may have recovered.
/// One in 400 runs of a worker that is still five times slower is below it, and nine in ten runs of
/// a worker that has recovered.
const RECOVERED_THRESHOLD: f64 = 0.45;
/// Maximum weight of past samples, which lets the estimate follow a change.
const MAX_WEIGHT: f64 = 16.0;
/// Weight of the class in the estimate of a worker, in samples.
const CLASS_WEIGHT: f64 = 2.0;
/// Weight of an estimate right after a detected change, in samples; it outweighs the class.
const CHANGED_WEIGHT: f64 = 8.0;
/// Time in which past samples lose half of their weight.
const WEIGHT_HALF_LIFE: Span = Span::from_secs(60);
/// Time for which runs that made the speed uncertain are used as the estimate.
const UNCERTAIN_PERIOD: Span = Span::from_ms(1_500);
/// Difference between two slowness levels, as a logarithm.
const LEVEL_STEP: f64 = 0.1;
/// Deviation of a worker from its class, as a logarithm, that can occur by chance with any number
/// of runs. It is also the step between the levels of workers that deviate by more.
const CHANCE_DEVIATION: f64 = 0.3;
/// Deviation that the variation of run times adds for a single run; it shrinks with the square root
/// of the number of runs.
const RUN_SPREAD: f64 = 0.4;
/// Deviation of a class from the fastest class, as a logarithm, that can occur by chance.
const CLASS_CHANCE_DEVIATION: f64 = 0.15;
/// Minimum number of measured workers of a class.
const CLASS_MIN_WORKERS: usize = 3;
/// Minimum share of the measured workers that the fastest class must have, as a divisor.
const FASTEST_SHARE_DIVISOR: usize = 10;
/// Fastest slowness level.
const LEVEL_MIN: i8 = -20;
/// Slowest slowness level.
const LEVEL_MAX: i8 = 25;

/// Slowness of a worker in steps of about a tenth; 0 is the fastest class, and larger levels are
/// slower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlownessLevel(i8);

impl SlownessLevel {
    /// Returns the level for the slowness of a worker, measured by some runs, and that of its
    /// class, both relative to the fastest class.
    ///
    /// All workers of a class have the same level, except those that deviate by more than chance,
    /// which get one of a few levels.
    #[must_use]
    pub fn of(worker: f64, runs: f64, class: f64) -> Self {
        let class = if class.abs() < CLASS_CHANCE_DEVIATION { 0.0 } else { class };
        let apart = worker - class;
        let chance = CHANCE_DEVIATION + RUN_SPREAD / runs.max(1.0).sqrt();
        let apart = if apart.abs() < chance {
            0.0
        } else {
            (apart / CHANCE_DEVIATION).ceil() * CHANCE_DEVIATION
        };
        let steps = ((class + apart) / LEVEL_STEP).round();
        #[expect(clippy::cast_possible_truncation, reason = "clamped")]
        Self(steps.clamp(f64::from(LEVEL_MIN), f64::from(LEVEL_MAX)) as i8)
    }

    /// Returns the number of steps between this level and the slowest one.
    #[must_use]
    pub fn steps_below_slowest(self) -> u32 {
        u32::from(LEVEL_MAX.saturating_sub(self.0).unsigned_abs())
    }

    /// Returns the logarithm of the slowness.
    #[must_use]
    pub fn log(self) -> f64 {
        f64::from(self.0) * LEVEL_STEP
    }

    /// Returns the run time as a multiple of the expected run time, in thousandths.
    #[must_use]
    pub fn permille(self) -> u32 {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
        let permille = (self.factor() * 1_000.0).clamp(1.0, 100_000.0) as u32;
        permille
    }

    /// Returns the run time as a multiple of the expected run time.
    #[must_use]
    pub fn factor(self) -> f64 {
        if self.0 == 0 { 1.0 } else { self.log().exp() }
    }
}

/// Speed of one worker, learned from its runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedEstimate {
    // Mean logarithm of actual relative to expected run times.
    mean: f64,
    // Weight of the samples behind the mean, in samples; older ones weigh less.
    weight: f64,
    // CUSUM of the deviations above the estimate, and the sum and number of the samples in it.
    cusum: f64,
    recent_sum: f64,
    recent_count: f64,
    // Whether a single fast run made the worker count as recovered and no further run has confirmed
    // it.
    on_trial: bool,
    updated: Time,
}

impl SpeedEstimate {
    /// Returns the logarithm of the run time relative to the expected one.
    #[must_use]
    pub fn sample(took: Span, expected: Span) -> f64 {
        let ratio = ms(took).max(1.0) / ms(expected).max(1.0);
        ratio.ln().clamp(-SAMPLE_LIMIT, SAMPLE_LIMIT)
    }

    /// Learns from a completed run; `class` is the slowness of the worker's class.
    pub fn learn(&mut self, sample: f64, class: f64, now: Time) {
        let estimate = self.estimate(class, now);
        let deviation = sample - estimate;
        self.weight = self.weight(now);
        self.updated = now;
        if Self::is_slow(estimate, class) && sample - class < RECOVERED_THRESHOLD {
            // One fast run on a slow worker makes it usable again at once. If the worker is still
            // slow, the next runs soon show it.
            (self.mean, self.weight) = (sample.max(class), 1.0);
            self.on_trial = true;
            return self.reset_cusum();
        }
        self.on_trial &= sample - class >= RECOVERED_THRESHOLD;
        // A run near the estimate ends the uncertainty, because a worker that has slowed down has
        // no such run.
        let cusum = if deviation < CUSUM_ALLOWANCE / 2.0 {
            0.0
        } else {
            self.cusum + deviation - CUSUM_ALLOWANCE
        };
        self.cusum = cusum.max(0.0);
        if self.cusum > 0.0 {
            self.recent_sum += sample;
            self.recent_count += 1.0;
        } else {
            self.reset_cusum();
        }
        if self.cusum >= CUSUM_CHANGED {
            (self.mean, self.weight) = (self.recent_sum / self.recent_count, CHANGED_WEIGHT);
            self.reset_cusum();
        } else if !self.is_uncertain() {
            self.mean = (self.mean * self.weight + sample) / (self.weight + 1.0);
            self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        }
    }

    const fn reset_cusum(&mut self) {
        (self.cusum, self.recent_sum, self.recent_count) = (0.0, 0.0, 0.0);
    }

    /// Returns the logarithm of the slowness, with the class as the prior.
    #[must_use]
    pub fn estimate(&self, class: f64, now: Time) -> f64 {
        let weight = self.weight(now);
        (class * CLASS_WEIGHT + self.mean * weight) / (CLASS_WEIGHT + weight)
    }

    /// Returns the estimate, or the mean of the latest runs if they are slower and make it
    /// uncertain.
    #[must_use]
    pub fn pessimistic(&self, class: f64, now: Time) -> f64 {
        let estimate = self.estimate(class, now);
        if self.is_uncertain() && now.since(self.updated) < UNCERTAIN_PERIOD {
            estimate.max(self.recent_sum / self.recent_count)
        } else {
            estimate
        }
    }

    /// Returns whether the latest runs were far slower than the estimate, but too few to be sure.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.cusum >= CUSUM_UNCERTAIN
    }

    /// Returns whether further runs have confirmed the last detected change.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.weight > CHANGED_WEIGHT
    }

    /// Returns whether the worker counts as recovered after a single fast run.
    #[must_use]
    pub const fn is_on_trial(&self) -> bool {
        self.on_trial
    }

    /// Returns whether a slowness is far above that of a class.
    #[must_use]
    pub fn is_slow(slowness: f64, class: f64) -> bool {
        slowness - class > SLOW_THRESHOLD
    }

    /// Returns whether a single run is so slow for a class that its worker counts as slow. A worker
    /// that is not slow has such a run in less than 1 % of cases.
    #[must_use]
    pub fn indicates_slow(sample: f64, class: f64) -> bool {
        sample - class >= CUSUM_ALLOWANCE + CUSUM_UNCERTAIN
    }

    /// Returns whether a run in progress shows that the worker is slower than estimated.
    #[must_use]
    pub fn is_overrun(sample: f64, estimate: f64) -> bool {
        sample - estimate >= OVERRUN
    }

    /// Returns the weight of the samples behind the estimate at time `now`.
    #[must_use]
    pub fn weight(&self, now: Time) -> f64 {
        let age = now.since(self.updated);
        if age < WEIGHT_HALF_LIFE / 8 {
            return self.weight;
        }
        self.weight * 0.5_f64.powf(ms(age) / ms(WEIGHT_HALF_LIFE))
    }

    /// Returns the mean of the samples.
    #[must_use]
    pub const fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the report of this estimate to the scheduler.
    #[must_use]
    pub fn report(&self, failures: u32, lost_permille: u32, now: Time) -> Standing {
        // A single sample that is far too slow represents an uncertain speed.
        let (log, samples) = if self.is_uncertain() {
            (self.recent_sum / self.recent_count, 1)
        } else {
            (self.mean, to_count(self.weight))
        };
        Standing {
            slowness_milli: to_milli(log),
            samples,
            failures,
            lost_permille,
            age_ms: u32::try_from(now.since(self.updated).as_ms()).unwrap_or(u32::MAX),
        }
    }

    /// Restores an estimate from a report.
    #[must_use]
    pub fn from_report(standing: &Standing, now: Time) -> Self {
        let limit = to_milli(SAMPLE_LIMIT);
        let log = f64::from(standing.slowness_milli.clamp(-limit, limit)) / 1_000.0;
        let updated = now - Span::from_ms(standing.age_ms.into());
        if standing.samples == 1 && log - CUSUM_ALLOWANCE >= CUSUM_UNCERTAIN {
            let cusum = log - CUSUM_ALLOWANCE;
            return Self { cusum, recent_sum: log, recent_count: 1.0, updated, ..Self::default() };
        }
        let weight = f64::from(standing.samples).min(MAX_WEIGHT);
        // A report of one sample also represents a worker that counts as recovered after a single
        // run.
        Self { mean: log, weight, updated, on_trial: standing.samples == 1, ..Self::default() }
    }

    /// Returns whether the last run of this estimate ended more than `ahead` after that of another
    /// one.
    #[must_use]
    pub fn is_newer(&self, other: &Self, ahead: Span) -> bool {
        self.weight > 0.0 && self.updated > other.updated + ahead
    }

    /// Replaces this estimate by another one of the same worker that is based on more evidence.
    ///
    /// They are not added up, because both may come from the same runs.
    pub fn merge(&mut self, other: Self, now: Time) {
        if other.weight(now) >= self.weight(now) + 1.0
            || (self.weight < 1.0 && other.is_uncertain())
        {
            *self = other;
        }
    }
}

/// Slowness of each class of workers: the median of its workers.
#[derive(Debug, Default)]
pub struct ClassSpeeds {
    by_class: VecMap<u64, f64>,
    overall: f64,
    fastest: f64,
}

impl ClassSpeeds {
    /// Computes the slowness of each class from the class and the speed of each worker.
    #[must_use]
    pub fn of<'a>(workers: impl Iterator<Item = (u64, &'a SpeedEstimate)>, now: Time) -> Self {
        let measured = workers.filter(|(_, speed)| speed.weight(now) >= 1.0);
        let mut measured: Vec<(u64, f64)> =
            measured.map(|(class, speed)| (class, speed.mean)).collect();
        measured.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let mut by_class = VecMap::default();
        let mut fastest: Option<f64> = None;
        for class in measured.chunk_by(|a, b| a.0 == b.0) {
            if class.len() < CLASS_MIN_WORKERS {
                continue;
            }
            let (number, median) = class[class.len() / 2];
            by_class.insert(number, median);
            if class.len() * FASTEST_SHARE_DIVISOR >= measured.len() {
                fastest = Some(fastest.map_or(median, |known| known.min(median)));
            }
        }
        measured.sort_by(|a, b| a.1.total_cmp(&b.1));
        let overall = measured.get(measured.len() / 2).map_or(0.0, |(_, mean)| *mean);
        Self { by_class, overall, fastest: fastest.unwrap_or(overall) }
    }

    /// Returns the slowness of a class, or the median of all workers if too few of the class are
    /// measured.
    #[must_use]
    pub fn slowness(&self, class: u64) -> f64 {
        self.by_class.get(&class).copied().unwrap_or(self.overall)
    }

    /// Returns the slowness of the fastest class, the reference of expected run times.
    ///
    /// It is not known on which workers users measure their latency targets; with the fastest class
    /// as the reference, no late job is considered timely. Declared run times that are too short or
    /// too long make all workers look slow or fast, so speeds are relative to this class.
    #[must_use]
    pub const fn fastest(&self) -> f64 {
        self.fastest
    }
}

fn ms(span: Span) -> f64 {
    f64::from(u32::try_from(span.as_ms()).unwrap_or(u32::MAX))
}

fn to_milli(log: f64) -> i32 {
    #[expect(clippy::cast_possible_truncation, reason = "logarithms of run times are below 30")]
    let milli = (log * 1_000.0) as i32;
    milli
}

fn to_count(weight: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "at most MAX_WEIGHT"
    )]
    let count = weight.round() as u32;
    count
}
