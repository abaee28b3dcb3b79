//! What an instance has learnt about workers and kinds of jobs, apart from what runs now.

use cranberryhatch_schema::fleet::{How, KindTime, Standing};
use cranberryhatch_types::{Span, Time, WorkerId};

use crate::{RunTimes, VecMap, speed::SpeedEstimate};

/// Share of one order in the share of lost ones.
const LOSS_WEIGHT: f64 = 0.1;
/// Share of one run in the average slowness.
const AVERAGE_WEIGHT: f64 = 0.02;
/// Logarithm of the least slowness of a worker on which a run was stopped for lack of progress.
const STALLED_SLOWNESS: f64 = 1.4;

/// What was learnt about one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerStats {
    /// Its speed.
    pub speed: SpeedEstimate,
    /// Failures in a row that may be its own.
    pub failures: u32,
    /// Share of its orders that got no answer lately.
    pub lost_share: f64,
    /// Incarnation of the worker in Unix milliseconds; 0 if it is not known.
    pub born_ms: u64,
}

impl WorkerStats {
    /// Learns from the end of a run; `class` is the slowness of workers of its class, `guilty` tells whether
    /// a failure may be the worker's.
    pub fn learn(&mut self, how: How, sample: f64, class: f64, blames_worker: bool, now: Time) {
        match how {
            How::Done => {
                self.failures = 0;
                self.lost_share -= LOSS_WEIGHT * self.lost_share;
                self.speed.learn(sample, class, now);
            }
            How::Stalled => self.speed.learn(sample.max(class + STALLED_SLOWNESS), class, now),
            // A run that was stopped would have taken longer.
            How::Stopped if SpeedEstimate::is_overrun(sample, self.speed.estimate(class, now)) => {
                self.speed.learn(sample, class, now);
            }
            How::Failed if blames_worker => self.failures = self.failures.saturating_add(1),
            How::Unanswered => self.lost_share += LOSS_WEIGHT * (1.0 - self.lost_share),
            How::Failed
            | How::Stopped
            | How::NotStarted
            | How::NoRoom
            | How::Old
            | How::Unknown => {}
        }
    }

    /// The report of it.
    #[must_use]
    pub fn report(&self, now: Time) -> Standing {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a share")]
        let lost_share = (self.lost_share * 1_000.0) as u32;
        self.speed.report(self.failures, lost_share, now)
    }

    /// What a report tells.
    #[must_use]
    pub fn from_report(standing: &Standing, born_ms: u64, now: Time) -> Self {
        Self {
            speed: SpeedEstimate::from_report(standing, now),
            failures: standing.failures,
            lost_share: f64::from(standing.lost_permille.min(1_000)) / 1_000.0,
            born_ms,
        }
    }

    /// Whether another record is of the same incarnation of the worker, as far as is known.
    #[must_use]
    pub const fn is_same_incarnation(&self, born_ms: u64) -> bool {
        self.born_ms == 0 || born_ms == 0 || self.born_ms == born_ms
    }
}

/// What an owner has learnt: its workers, and the kinds of jobs that ran there.
#[derive(Debug, Default)]
pub struct RunStats {
    workers: VecMap<WorkerId, WorkerStats>,
    run_times: RunTimes,
    // Mean slowness of all runs, which stands for the class of a worker.
    average: f64,
}

impl RunStats {
    /// Learns from the end of a run whose time is known.
    pub fn learn(
        &mut self,
        worker: &WorkerId,
        how: How,
        kind: &str,
        took: Span,
        expected: Span,
        now: Time,
    ) {
        if how == How::Done && !self.run_times.is_known(kind) {
            return self.run_times.learn(kind, took, 0.0);
        }
        let sample = SpeedEstimate::sample(took, expected);
        let stats = self.workers.get_or_insert_with(worker.clone(), WorkerStats::default);
        stats.learn(how, sample, self.average, true, now);
        if how != How::Done {
            return;
        }
        let slowness = stats.speed.estimate(self.average, now);
        if SpeedEstimate::is_slow(slowness, self.average) {
            return;
        }
        self.run_times.learn(kind, took, slowness - self.average);
        self.average += AVERAGE_WEIGHT * (sample - self.average);
    }

    /// The report of a worker; none if nothing is known.
    #[must_use]
    pub fn report(&self, worker: &WorkerId, now: Time) -> Option<Standing> {
        self.workers.get(worker).map(|stats| stats.report(now))
    }

    /// Whether runs that ended on a worker lately took far longer than elsewhere.
    #[must_use]
    pub fn is_slow(&self, worker: &WorkerId, now: Time) -> bool {
        self.workers.get(worker).is_some_and(|stats| {
            let slowness = stats.speed.pessimistic(self.average, now);
            stats.speed.is_uncertain() || SpeedEstimate::is_slow(slowness, self.average)
        })
    }

    /// The report of all kinds.
    #[must_use]
    pub fn report_kinds(&self) -> Vec<KindTime> {
        self.run_times.report()
    }

    /// Forgets a worker whose incarnation is over.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }

    /// Keeps what is known of some workers.
    pub fn retain(&mut self, keep: impl Fn(&WorkerId) -> bool) {
        self.workers.retain(|worker, _| keep(worker));
    }
}
