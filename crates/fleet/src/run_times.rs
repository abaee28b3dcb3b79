//! Run times learned for each kind of job.

use cranberryhatch_schema::fleet::KindTime;
use cranberryhatch_types::Span;

use crate::VecMap;

/// Minimum weight of a new sample in the learned run time.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Maximum number of samples behind a mean, the reciprocal of their weight.
const MAX_SAMPLES: u32 = 20;
/// Maximum logarithm of a run time in milliseconds that a report may contain, in thousandths; an
/// hour has 15.1.
const LOG_LIMIT_MILLI: i32 = 22_000;

/// Minimum number of runs from which the run time of a kind is known.
const MIN_KNOWN_SAMPLES: u32 = 5;

/// Mean logarithm of the run time in milliseconds.
#[derive(Clone, Copy, Debug)]
struct KindMean {
    log: f64,
    samples: u32,
    // Mean logarithm of the declared run times.
    declared: Option<f64>,
}

/// Learned run times by kind.
///
/// Declared run times are off by factors in both directions, and the mean of a kind is off as much
/// for a single job; the geometric mean of both is off by less than either. An error that all jobs
/// of a kind share is removed, so that only the difference between its jobs counts.
#[derive(Debug, Default)]
pub struct RunTimes {
    kinds: VecMap<String, KindMean>,
}

impl RunTimes {
    /// Learns from a run that ended successfully; `slowness` is the logarithm of its expected
    /// slowdown relative to the fastest class of workers.
    pub fn learn(&mut self, kind: &str, took: Span, slowness: f64) {
        let sample = log_ms(took) - slowness;
        match self.kinds.get_mut(kind) {
            Some(mean) => {
                let share = (1.0 / f64::from(mean.samples + 1)).max(SAMPLE_WEIGHT);
                mean.log += share * (sample - mean.log);
                mean.samples = (mean.samples + 1).min(MAX_SAMPLES);
            }
            None => {
                self.kinds
                    .insert(kind.to_owned(), KindMean { log: sample, samples: 1, declared: None });
            }
        }
    }

    /// Returns the expected run time of a new job.
    #[must_use]
    pub fn estimate(&mut self, kind: &str, declared: Span) -> Span {
        let Some(mean) = self.kinds.get_mut(kind) else { return declared.max(Span::from_ms(1)) };
        if declared.as_ms() == 0 {
            return exp_ms(mean.log);
        }
        let log = log_ms(declared);
        let usual = mean.declared.get_or_insert(log);
        *usual += SAMPLE_WEIGHT * (log - *usual);
        exp_ms(mean.log + (log - *usual) / 2.0)
    }

    /// Returns whether enough runs of a kind have ended to judge a worker by a single run.
    #[must_use]
    pub fn is_known(&self, kind: &str) -> bool {
        self.kinds.get(kind).is_some_and(|mean| mean.samples >= MIN_KNOWN_SAMPLES)
    }

    /// Returns the report of all kinds.
    #[must_use]
    pub fn report(&self) -> Vec<KindTime> {
        let kinds = self.kinds.iter().map(|(kind, mean)| KindTime {
            kind: kind.clone(),
            log_milli: to_milli(mean.log),
            samples: mean.samples,
        });
        kinds.collect()
    }

    /// Merges an owner's report of runs that are not known here, with each mean weighted by its
    /// samples.
    pub fn merge(&mut self, reported: &[KindTime]) {
        for KindTime { kind, log_milli, samples } in reported {
            if kind.is_empty() || *samples == 0 {
                continue;
            }
            let log = f64::from((*log_milli).clamp(0, LOG_LIMIT_MILLI)) / 1_000.0;
            let samples = (*samples).min(MAX_SAMPLES);
            let mean = self.kinds.get_or_insert_with(kind.clone(), || KindMean {
                log,
                samples: 0,
                declared: None,
            });
            let both = f64::from(mean.samples + samples);
            mean.log += (log - mean.log) * f64::from(samples) / both;
            mean.samples = (mean.samples + samples).min(MAX_SAMPLES);
        }
    }
}

fn log_ms(span: Span) -> f64 {
    let ms = u32::try_from(span.as_ms().max(1)).unwrap_or(u32::MAX);
    f64::from(ms).ln()
}

fn exp_ms(log: f64) -> Span {
    let ms = log.exp().clamp(1.0, f64::from(u32::MAX));
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped above")]
    Span::from_ms(ms as u64)
}

fn to_milli(log: f64) -> i32 {
    #[expect(clippy::cast_possible_truncation, reason = "logarithms of milliseconds are below 30")]
    let milli = (log * 1_000.0) as i32;
    milli
}
