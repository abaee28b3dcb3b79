//! Statistics of completed runs, by worker and by kind of job.

use cranberryhatch_schema::fleet::{How, KindTime, Standing};
use cranberryhatch_types::{Span, Time, WorkerId};

use crate::{RunTimes, VecMap, speed::SpeedEstimate};

/// Weight of one request in the share of lost requests.
const LOSS_WEIGHT: f64 = 0.1;
/// Weight of one run in the average slowness.
const AVERAGE_WEIGHT: f64 = 0.02;
/// Minimum logarithm of the slowness, relative to the class, that is learned from a run that was
/// stopped because it stalled.
const STALLED_SLOWNESS: f64 = 1.4;

/// Statistics of the runs of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerStats {
    /// Estimate of its speed.
    pub speed: SpeedEstimate,
    /// Consecutive failures that may be the worker's fault.
    pub failures: u32,
    /// Share of recent requests that got no response.
    pub lost_share: f64,
    /// Start of the worker's incarnation in Unix milliseconds; 0 if unknown.
    pub born_ms: u64,
}

impl WorkerStats {
    /// Learns from the end of a run; `class` is the slowness of the worker's class, and
    /// `blames_worker` tells whether a failure may be the worker's fault.
    pub fn learn(&mut self, how: How, sample: f64, class: f64, blames_worker: bool, now: Time) {
        match how {
            How::Done => {
                self.failures = 0;
                self.lost_share -= LOSS_WEIGHT * self.lost_share;
                self.speed.learn(sample, class, now);
            }
            How::Stalled => self.speed.learn(sample.max(class + STALLED_SLOWNESS), class, now),
            // A run that was stopped would have taken even longer.
            How::Stopped if SpeedEstimate::is_overrun(sample, self.speed.estimate(class, now)) => {
                self.speed.learn(sample, class, now);
            }
            How::Failed if blames_worker => self.failures = self.failures.saturating_add(1),
            How::Unanswered => self.lost_share += LOSS_WEIGHT * (1.0 - self.lost_share),
            How::Failed
            | How::Stopped
            | How::Lost
            | How::Crashed
            | How::NotStarted
            | How::NoRoom
            | How::Old
            | How::Unknown => {}
        }
    }

    /// Returns the report of these statistics to the scheduler.
    #[must_use]
    pub fn report(&self, now: Time) -> Standing {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a share")]
        let lost_share = (self.lost_share * 1_000.0) as u32;
        self.speed.report(self.failures, lost_share, now)
    }

    /// Restores statistics from a report.
    #[must_use]
    pub fn from_report(standing: &Standing, born_ms: u64, now: Time) -> Self {
        Self {
            speed: SpeedEstimate::from_report(standing, now),
            failures: standing.failures,
            lost_share: f64::from(standing.lost_permille.min(1_000)) / 1_000.0,
            born_ms,
        }
    }

    /// Returns whether these statistics are of the incarnation that started at `born_ms`; true if
    /// either start is unknown.
    #[must_use]
    pub const fn is_same_incarnation(&self, born_ms: u64) -> bool {
        self.born_ms == 0 || born_ms == 0 || self.born_ms == born_ms
    }
}

/// Statistics of an owner: its workers, and the kinds of jobs that ran there.
#[derive(Debug, Default)]
pub struct RunStats {
    workers: VecMap<WorkerId, WorkerStats>,
    run_times: RunTimes,
    // Mean slowness of all runs, used as the slowness of every worker's class.
    average: f64,
}

impl RunStats {
    /// Learns from the end of a run with a known run time.
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

    /// Returns the report of a worker, or `None` if it has no statistics.
    #[must_use]
    pub fn report(&self, worker: &WorkerId, now: Time) -> Option<Standing> {
        self.workers.get(worker).map(|stats| stats.report(now))
    }

    /// Returns whether the latest runs on a worker took far longer than elsewhere.
    #[must_use]
    pub fn is_slow(&self, worker: &WorkerId, now: Time) -> bool {
        self.workers.get(worker).is_some_and(|stats| {
            let slowness = stats.speed.pessimistic(self.average, now);
            stats.speed.is_uncertain() || SpeedEstimate::is_slow(slowness, self.average)
        })
    }

    /// Returns the report of the run times of all kinds.
    #[must_use]
    pub fn report_kinds(&self) -> Vec<KindTime> {
        self.run_times.report()
    }

    /// Removes the statistics of a worker whose incarnation has ended.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }

    /// Retains the statistics of the workers for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&WorkerId) -> bool) {
        self.workers.retain(|worker, _| keep(worker));
    }
}
