//! How fast workers are, learnt from run times.
//!
//! The load it answers is a fleet whose workers differ by class, and workers that turn slow and recover.
//! Run times spread by a factor of 1.5 either way, so one run says little about a small difference and
//! much about a large one.

use cranberryhatch_schema::fleet::Standing;
use cranberryhatch_types::{Span, Time};

use crate::VecMap;

/// Logarithm above the estimate that a run may have without counting as evidence of a change.
const CUSUM_ALLOWANCE: f64 = 0.5;
/// Sum of what is above it from which a worker is in doubt; a single run by itself comes there less than once
/// in a hundred times.
const CUSUM_UNCERTAIN: f64 = 0.6;
/// Sum from which a worker has changed: two runs that took five times as long, or three that took three times.
const CUSUM_CHANGED: f64 = 1.4;
/// Logarithm above the estimate from which a run that is not over yet counts as evidence.
const OVERRUN: f64 = 0.9;
/// Logarithm of the slowness against its class from which a worker is slow.
const SLOW_THRESHOLD: f64 = 0.7;
/// Largest logarithm of one sample.
const SAMPLE_LIMIT: f64 = 2.5;
/// Logarithm of a run against its class below which a slow worker may have recovered: a worker that is still
/// five times slower has one such run in four hundred, one that has recovered has nine of ten.
const RECOVERED_THRESHOLD: f64 = 0.45;
/// Most samples behind an estimate, so that it follows a change.
const MAX_WEIGHT: f64 = 16.0;
/// Weight of the class in the estimate of a worker, in samples.
const CLASS_WEIGHT: f64 = 2.0;
/// Weight of an estimate right after a change, in samples: it outweighs the class.
const CHANGED_WEIGHT: f64 = 8.0;
/// Time in which evidence loses half of its weight.
const WEIGHT_HALF_LIFE: Span = Span::from_secs(60);
/// Time for which runs that put a worker in doubt count as its speed.
const UNCERTAIN_PERIOD: Span = Span::from_ms(1_500);
/// Logarithm between two paces.
const LEVEL_STEP: f64 = 0.1;
/// Logarithm by which a worker may differ from its class by chance, however many runs are known; also the
/// step between paces of workers that differ by more.
const CHANCE_DEVIATION: f64 = 0.3;
/// What a single run adds to it, the spread of run times; more runs add less by the root of their number.
const RUN_SPREAD: f64 = 0.4;
/// Logarithm by which a class may differ from the fastest one by chance.
const CLASS_CHANCE_DEVIATION: f64 = 0.15;
/// Fewest workers that make a class.
const CLASS_MIN_WORKERS: usize = 3;
/// Part of the workers that the fastest class must have, as a divisor.
const FASTEST_SHARE_DIVISOR: usize = 10;
/// Fastest pace.
const LEVEL_MIN: i8 = -20;
/// Slowest pace.
const LEVEL_MAX: i8 = 25;

/// Speed in steps of a tenth; a larger number is slower, 0 is the fastest class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlownessLevel(i8);

impl SlownessLevel {
    /// The pace for the slowness of a worker, known from some runs, and of its class, both against the fastest
    /// class.
    ///
    /// Workers of a class have one pace, unless one differs by more than chance; these get few paces.
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

    /// Steps between this pace and the slowest one.
    #[must_use]
    pub fn steps_below_slowest(self) -> u32 {
        u32::from(LEVEL_MAX.saturating_sub(self.0).unsigned_abs())
    }

    /// Logarithm of the slowness.
    #[must_use]
    pub fn log(self) -> f64 {
        f64::from(self.0) * LEVEL_STEP
    }

    /// Times the expected run time that a run takes, in thousandths.
    #[must_use]
    pub fn permille(self) -> u32 {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
        let permille = (self.factor() * 1_000.0).clamp(1.0, 100_000.0) as u32;
        permille
    }

    /// Times the expected run time that a run takes.
    #[must_use]
    pub fn factor(self) -> f64 {
        if self.0 == 0 { 1.0 } else { self.log().exp() }
    }
}

/// What was learnt of the speed of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedEstimate {
    // Mean of the logarithm of actual against expected run time.
    mean: f64,
    // Samples behind it, older ones counting less.
    weight: f64,
    // Cumulative sum of what recent samples were above the estimate, their sum and their number.
    cusum: f64,
    recent_sum: f64,
    recent_count: f64,
    // Whether one task in time made it count as recovered, and none has confirmed it.
    on_trial: bool,
    updated: Time,
}

impl SpeedEstimate {
    /// Logarithm of one run against the expected time.
    #[must_use]
    pub fn sample(took: Span, expected: Span) -> f64 {
        let ratio = ms(took).max(1.0) / ms(expected).max(1.0);
        ratio.ln().clamp(-SAMPLE_LIMIT, SAMPLE_LIMIT)
    }

    /// Learns from a run that ended; `class` is the slowness of the workers of its class.
    pub fn learn(&mut self, sample: f64, class: f64, now: Time) {
        let estimate = self.estimate(class, now);
        let deviation = sample - estimate;
        self.weight = self.weight(now);
        self.updated = now;
        if Self::is_slow(estimate, class) && sample - class < RECOVERED_THRESHOLD {
            // One task in time on a slow worker: it is used again at once, and if it is still slow, that
            // shows soon.
            (self.mean, self.weight) = (sample.max(class), 1.0);
            self.on_trial = true;
            return self.reset_cusum();
        }
        self.on_trial &= sample - class >= RECOVERED_THRESHOLD;
        // A run of about the known speed ends the doubt: a worker that has turned slow has none.
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

    /// Logarithm of the slowness, with the class as the prior.
    #[must_use]
    pub fn estimate(&self, class: f64, now: Time) -> f64 {
        let weight = self.weight(now);
        (class * CLASS_WEIGHT + self.mean * weight) / (CLASS_WEIGHT + weight)
    }

    /// The estimate, or the mean of the last runs where they put it in doubt.
    #[must_use]
    pub fn pessimistic(&self, class: f64, now: Time) -> f64 {
        let estimate = self.estimate(class, now);
        if self.is_uncertain() && now.since(self.updated) < UNCERTAIN_PERIOD {
            estimate.max(self.recent_sum / self.recent_count)
        } else {
            estimate
        }
    }

    /// Whether the last runs were far slower than known, too few to be sure.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.cusum >= CUSUM_UNCERTAIN
    }

    /// Whether further runs have followed the ones that last changed it.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.weight > CHANGED_WEIGHT
    }

    /// Whether it counts as recovered by a single task.
    #[must_use]
    pub const fn is_on_trial(&self) -> bool {
        self.on_trial
    }

    /// Whether a slowness is far above that of a class.
    #[must_use]
    pub fn is_slow(slowness: f64, class: f64) -> bool {
        slowness - class > SLOW_THRESHOLD
    }

    /// Whether a single run is so far above a class that its worker is slow: a worker that is not has such a
    /// run less than once in a hundred times.
    #[must_use]
    pub fn indicates_slow(sample: f64, class: f64) -> bool {
        sample - class >= CUSUM_ALLOWANCE + CUSUM_UNCERTAIN
    }

    /// Whether a run that is not over yet shows that the worker is slower than known.
    #[must_use]
    pub fn is_overrun(sample: f64, estimate: f64) -> bool {
        sample - estimate >= OVERRUN
    }

    /// Samples behind the estimate at this time.
    #[must_use]
    pub fn weight(&self, now: Time) -> f64 {
        let age = now.since(self.updated);
        if age < WEIGHT_HALF_LIFE / 8 {
            return self.weight;
        }
        self.weight * 0.5_f64.powf(ms(age) / ms(WEIGHT_HALF_LIFE))
    }

    /// Mean of the samples.
    #[must_use]
    pub const fn mean(&self) -> f64 {
        self.mean
    }

    /// The report of it.
    #[must_use]
    pub fn report(&self, failures: u32, lost_permille: u32, now: Time) -> Standing {
        // A single sample that is far too slow stands for a worker in doubt.
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

    /// What a report tells.
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
        // A worker that counts as recovered by a single task has one sample, too.
        Self { mean: log, weight, updated, on_trial: standing.samples == 1, ..Self::default() }
    }

    /// Whether it saw a run that ended later than all that another estimate saw, by more than `ahead`.
    #[must_use]
    pub fn is_newer(&self, other: &Self, ahead: Span) -> bool {
        self.weight > 0.0 && self.updated > other.updated + ahead
    }

    /// Takes another estimate of the same worker if more evidence stands behind it.
    ///
    /// Both may come from the same runs, so they are not added.
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
    /// The classes of workers, from the class and the speed of each.
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

    /// Slowness of a class; the median of all workers where too few are known.
    #[must_use]
    pub fn slowness(&self, class: u64) -> f64 {
        self.by_class.get(&class).copied().unwrap_or(self.overall)
    }

    /// Slowness of the fastest class, to which expected run times refer.
    ///
    /// Nothing tells on which workers the users measure their objectives; with the fastest ones a job is
    /// not taken for timely that is late. Declared run times that are too short or too long make all
    /// workers look slow or fast, so speeds count from here.
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
