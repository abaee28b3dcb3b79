//! Counters and histograms as text that common collectors read.

use std::sync::atomic::AtomicU64;

use cranberryhatch_types::Span;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::log_line_counts;

/// Upper bounds of the buckets of run times and waits, in seconds.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Label of a counter that is split by what happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabel {
    /// What happened.
    pub cause: String,
}

/// Label of a histogram that is split by kind of job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Name of the kind in the settings.
    pub kind: String,
}

/// Times by kind of job.
pub type KindHistograms = Family<KindLabel, Histogram, fn() -> Histogram>;

fn times() -> Histogram {
    Histogram::new(BUCKETS)
}

/// All metrics of an instance.
pub struct Metrics {
    registry: Registry,
    /// Answers to callers, by outcome, those of jobs that have not run by cause.
    pub answers: Family<CauseLabel, Counter>,
    /// Ends of runs on the workers of this instance, by how they ended.
    pub runs: Family<CauseLabel, Counter>,
    /// Starts that this instance refused as an owner, by cause.
    pub refused_starts: Family<CauseLabel, Counter>,
    /// Jobs that this instance refused as the scheduler, by cause.
    pub refusals: Family<CauseLabel, Counter>,
    /// Difference between the wait that was forecast for the last task of a job and the actual one.
    pub forecast_error: KindHistograms,
    /// Workers that this instance gave up, by cause; `fenced` are those that another instance took.
    pub dropped_workers: Family<CauseLabel, Counter>,
    /// Workers of this instance that restarted under the id that they had.
    pub worker_restarts: Counter,
    /// Runs that were found on a new worker and stopped, as no front claimed them.
    pub unclaimed_runs: Counter,
    /// Time for which members were up without counting for duties.
    pub admission_time: Histogram,
    /// Log lines that were dropped to bound their volume.
    pub dropped_lines: Counter,
    /// Log lines handed to the writer of standard output.
    pub offered_lines: Gauge<u64, AtomicU64>,
    /// Log lines that were written; a lasting difference was lost, as nobody read them.
    pub written_lines: Gauge<u64, AtomicU64>,
    /// Calls to the platform's store that failed, by list.
    pub store_failures: Family<CauseLabel, Counter>,
    /// Time from a job's arrival to its answer.
    pub answer_time: KindHistograms,
    /// Time from a job's arrival to its first start.
    pub queue_time: KindHistograms,
    /// Run time of tasks.
    pub run_time: Histogram,
    /// Delay of the timer of this process, which shows a lack of processor time.
    pub loop_lag: Histogram,
    /// Jobs of the callers of this instance.
    pub jobs: Gauge<u64, AtomicU64>,
    /// Runs on the workers of this instance.
    pub assigned_runs: Gauge<u64, AtomicU64>,
    /// Workers of this instance that take starts.
    pub open_workers: Gauge<u64, AtomicU64>,
    /// Longest time since an own worker last answered.
    pub worker_silence_ms: Gauge<u64, AtomicU64>,
    /// Time since the request to stop; 0 without one.
    pub stopping_ms: Gauge<u64, AtomicU64>,
    /// Jobs taken after the request to stop.
    pub admitted_stopping: Counter,
    /// Zones whose workers get no new tasks.
    pub drained_zones: Gauge<u64, AtomicU64>,
    /// Peers whose links are up.
    pub peers: Gauge<u64, AtomicU64>,
    /// Version of the settings in force.
    pub settings_version: Gauge<u64, AtomicU64>,
    /// Time since the list of workers was last read.
    pub worker_list_age_ms: Gauge<u64, AtomicU64>,
    /// Orders to workers that got no answer in time, by kind of order.
    pub unanswered_requests: Family<CauseLabel, Counter>,
    /// Orders without answer of which it is known what became of them, by that.
    pub resolved_requests: Family<CauseLabel, Counter>,
    /// Time from an order without answer until it was known what became of it, by kind of order.
    pub unanswered_time: KindHistograms,
    /// Runs that were stopped to be started again elsewhere, by cause.
    pub run_restarts: Family<CauseLabel, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut meters = Self {
            registry: Registry::with_prefix("cranberryhatch"),
            answers: Family::default(),
            runs: Family::default(),
            refused_starts: Family::default(),
            refusals: Family::default(),
            forecast_error: Family::new_with_constructor(times),
            dropped_workers: Family::default(),
            worker_restarts: Counter::default(),
            unclaimed_runs: Counter::default(),
            admission_time: times(),
            dropped_lines: Counter::default(),
            offered_lines: Gauge::default(),
            written_lines: Gauge::default(),
            store_failures: Family::default(),
            answer_time: Family::new_with_constructor(times),
            queue_time: Family::new_with_constructor(times),
            run_time: times(),
            loop_lag: times(),
            jobs: Gauge::default(),
            assigned_runs: Gauge::default(),
            open_workers: Gauge::default(),
            worker_silence_ms: Gauge::default(),
            stopping_ms: Gauge::default(),
            admitted_stopping: Counter::default(),
            drained_zones: Gauge::default(),
            peers: Gauge::default(),
            settings_version: Gauge::default(),
            worker_list_age_ms: Gauge::default(),
            unanswered_requests: Family::default(),
            resolved_requests: Family::default(),
            unanswered_time: Family::new_with_constructor(times),
            run_restarts: Family::default(),
        };
        meters.register();
        meters
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("answers", "Answers to callers", self.answers.clone());
        r.register("refused_starts", "Starts refused by an owner", self.refused_starts.clone());
        r.register("refusals", "Jobs refused by the scheduler", self.refusals.clone());
        r.register(
            "forecast_error_seconds",
            "Forecast wait to actual",
            self.forecast_error.clone(),
        );
        r.register("runs", "Ends of runs", self.runs.clone());
        r.register("dropped_workers", "Workers given up", self.dropped_workers.clone());
        r.register("ended_lives", "Own workers that restarted", self.worker_restarts.clone());
        r.register("unclaimed_runs", "Runs that no front claimed", self.unclaimed_runs.clone());
        r.register("counting_seconds", "Up to counted as a member", self.admission_time.clone());
        r.register("dropped_lines", "Log lines dropped", self.dropped_lines.clone());
        r.register("offered_lines", "Log lines to be written", self.offered_lines.clone());
        r.register("written_lines", "Log lines written", self.written_lines.clone());
        r.register("store_failures", "Failed calls to the store", self.store_failures.clone());
        r.register("answer_seconds", "Arrival to answer", self.answer_time.clone());
        r.register("queue_seconds", "Arrival to first start", self.queue_time.clone());
        r.register("run_seconds", "Run time of tasks", self.run_time.clone());
        r.register("loop_lag_seconds", "Delay of the timer", self.loop_lag.clone());
        r.register("jobs", "Jobs of callers", self.jobs.clone());
        r.register("held_runs", "Runs on own workers", self.assigned_runs.clone());
        r.register("open_workers", "Own workers that take starts", self.open_workers.clone());
        r.register(
            "worker_silence_ms",
            "Longest time since an own worker last answered",
            self.worker_silence_ms.clone(),
        );
        r.register("stopping_ms", "Time since the request to stop", self.stopping_ms.clone());
        r.register(
            "admitted_stopping",
            "Jobs taken after the request to stop",
            self.admitted_stopping.clone(),
        );
        r.register("drained_zones", "Zones that are drained", self.drained_zones.clone());
        r.register("peers", "Peers in reach", self.peers.clone());
        r.register("settings_version", "Settings in force", self.settings_version.clone());
        r.register(
            "worker_list_age_ms",
            "Age of the list of workers",
            self.worker_list_age_ms.clone(),
        );
        r.register("restarts", "Runs started again elsewhere", self.run_restarts.clone());
        r.register("unanswered_orders", "Orders without answer", self.unanswered_requests.clone());
        r.register("resolved_orders", "Orders that were resolved", self.resolved_requests.clone());
        r.register(
            "unanswered_seconds",
            "Order without answer to its resolution",
            self.unanswered_time.clone(),
        );
    }

    /// Counts one of a family.
    pub fn count(family: &Family<CauseLabel, Counter>, cause: &impl ToString) {
        family.get_or_create(&CauseLabel { cause: cause.to_string() }).inc();
    }

    /// Adds to the histogram of a kind of job.
    pub fn observe_kind(times: &KindHistograms, kind: &str, span: Span) {
        Self::observe(&times.get_or_create(&KindLabel { kind: kind.to_owned() }), span);
    }

    /// Adds to a histogram.
    pub fn observe(histogram: &Histogram, span: Span) {
        let ms = u32::try_from(span.as_ms()).unwrap_or(u32::MAX);
        histogram.observe(f64::from(ms) / 1_000.0);
    }

    /// All metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let (offered, written) = log_line_counts();
        self.offered_lines.set(offered);
        self.written_lines.set(written);
        let mut text = String::new();
        // Formatting into a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
