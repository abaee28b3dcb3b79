//! Run times learnt for each kind of job.

use cranberryhatch_schema::fleet::KindTime;
use cranberryhatch_types::Span;

use crate::VecMap;

/// Share of a new sample in the learnt run time.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Most samples behind a mean, the reciprocal of their share.
const MAX_SAMPLES: u32 = 20;
/// Largest logarithm of a run time that a report may name; an hour has 15.1.
const LOG_LIMIT_MILLI: i32 = 22_000;

/// Fewest runs from which the run time of a kind counts as known.
const MIN_KNOWN_SAMPLES: u32 = 5;

/// Mean of the logarithm of the run time in milliseconds.
#[derive(Clone, Copy, Debug)]
struct KindMean {
    log: f64,
    samples: u32,
    // Mean of the logarithm of declared run times.
    declared: Option<f64>,
}

/// Learnt run times.
///
/// Declared run times are off by factors in both directions, and so is the average of a kind for a
/// single job; the geometric mean of both is off by less than either. What all jobs of a kind declare
/// too much or too little is left out, so that only the difference between its jobs counts.
#[derive(Debug, Default)]
pub struct RunTimes {
    kinds: VecMap<String, KindMean>,
}

impl RunTimes {
    /// Learns from a run that ended successfully on a place where runs take `slowness` (a logarithm)
    /// longer than on the fastest class of workers.
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

    /// Run time to expect of a job that has just come.
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

    /// Whether enough runs of a kind ended to judge a worker by one.
    #[must_use]
    pub fn is_known(&self, kind: &str) -> bool {
        self.kinds.get(kind).is_some_and(|mean| mean.samples >= MIN_KNOWN_SAMPLES)
    }

    /// The report of all kinds.
    #[must_use]
    pub fn report(&self) -> Vec<KindTime> {
        let kinds = self.kinds.iter().map(|(kind, mean)| KindTime {
            kind: kind.clone(),
            log_milli: to_milli(mean.log),
            samples: mean.samples,
        });
        kinds.collect()
    }

    /// Takes what an owner has learnt from runs that are not known here, each mean by its samples.
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
