//! Metrics in the Prometheus text format.

use std::sync::atomic::AtomicU64;

use cranberryhatch_types::Span;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

use crate::log_line_counts;

/// Upper bounds of histogram buckets, in seconds.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Label of a counter that is split by cause or outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabel {
    /// Cause or outcome.
    pub cause: String,
}

/// Label of a histogram that is split by kind of job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Name of the kind in the settings.
    pub kind: String,
}

/// Histograms of times, one for each kind of job.
pub type KindHistograms = Family<KindLabel, Histogram, fn() -> Histogram>;

fn new_histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

/// Metrics of an instance.
pub struct Metrics {
    registry: Registry,
    /// Answers to callers by outcome; for jobs that were not run, by cause.
    pub answers: Family<CauseLabel, Counter>,
    /// Ended runs on the workers that this instance owns, by how they ended.
    pub runs: Family<CauseLabel, Counter>,
    /// Start requests that this instance rejected as the owner, by cause.
    pub refused_starts: Family<CauseLabel, Counter>,
    /// Start requests that this instance deferred as the owner until the front echoed a heartbeat.
    pub deferred_starts: Counter,
    /// Jobs that this instance rejected as the scheduler, by cause.
    pub refusals: Family<CauseLabel, Counter>,
    /// Absolute error of the forecast queueing time of the last task of a job.
    pub forecast_error: KindHistograms,
    /// Workers that this instance stopped owning, by cause; `fenced` means that another instance
    /// took over.
    pub dropped_workers: Family<CauseLabel, Counter>,
    /// Owned workers whose process restarted under the same id.
    pub worker_restarts: Counter,
    /// Time for which an own worker got no starts because its entry was of another incarnation.
    pub outdated_entries: Histogram,
    /// Workers that crashed under tasks of this instance's callers; a worker counts for each task.
    pub task_crashes: Counter,
    /// Jobs given up because too many workers crashed under a task.
    pub poisoned_jobs: Counter,
    /// Jobs closed because their callers have submitted them again at another front.
    pub superseded_jobs: Counter,
    /// Tasks that waited at the scheduler because another run of them could be active.
    pub withheld_tasks: Counter,
    /// Runs found on a newly owned worker and stopped because no front claimed them.
    pub unclaimed_runs: Counter,
    /// Time from when a member became reachable until it was admitted to roles.
    pub admission_time: Histogram,
    /// Log lines dropped by the rate limit.
    pub dropped_lines: Counter,
    /// Log lines handed to the standard output writer.
    pub offered_lines: Gauge<u64, AtomicU64>,
    /// Log lines written; a lasting difference to `offered_lines` was lost because standard output
    /// was not read.
    pub written_lines: Gauge<u64, AtomicU64>,
    /// Failed calls to the platform's store, by list.
    pub store_failures: Family<CauseLabel, Counter>,
    /// Rows left out of reads of the platform's store because their key could not be decoded, by
    /// list.
    pub unreadable_rows: Family<CauseLabel, Counter>,
    /// Time from the arrival of a job to its answer.
    pub answer_time: KindHistograms,
    /// Time from the arrival of a job to the start of its first task.
    pub queue_time: KindHistograms,
    /// Run time of tasks on owned workers.
    pub run_time: Histogram,
    /// Delay of the tick timer; large values mean that the process lacks CPU time.
    pub loop_lag: Histogram,
    /// Unfinished jobs that callers submitted to this instance.
    pub jobs: Gauge<u64, AtomicU64>,
    /// Runs assigned to owned workers.
    pub assigned_runs: Gauge<u64, AtomicU64>,
    /// Owned workers that accept starts.
    pub open_workers: Gauge<u64, AtomicU64>,
    /// Longest time since the last response of an owned worker, in milliseconds.
    pub worker_silence_ms: Gauge<u64, AtomicU64>,
    /// Time since the shutdown request in milliseconds; 0 if there was none.
    pub stopping_ms: Gauge<u64, AtomicU64>,
    /// Jobs accepted after the shutdown request.
    pub admitted_stopping: Counter,
    /// Number of drained zones, whose workers get no new tasks.
    pub drained_zones: Gauge<u64, AtomicU64>,
    /// Number of peers with a working link.
    pub peers: Gauge<u64, AtomicU64>,
    /// Version of the current settings.
    pub settings_version: Gauge<u64, AtomicU64>,
    /// Versions of the settings that were applied, by source: `store` or `peer`.
    pub settings_sources: Family<CauseLabel, Counter>,
    /// Time since the worker list was last read or confirmed, in milliseconds.
    pub worker_list_age_ms: Gauge<u64, AtomicU64>,
    /// Requests to workers without a response in time, by kind of request.
    pub unanswered_requests: Family<CauseLabel, Counter>,
    /// Requests without a response whose outcome became known later, by outcome.
    pub resolved_requests: Family<CauseLabel, Counter>,
    /// Time until the outcome of a request without a response became known, by kind of request.
    pub unanswered_time: KindHistograms,
    /// Runs stopped to be restarted on another worker, by cause.
    pub run_restarts: Family<CauseLabel, Counter>,
    /// Runs started after an earlier run of their task that may have been running, by the evidence
    /// of its end.
    pub restarted_runs: Family<CauseLabel, Counter>,
    /// Runs that count as ended because their worker did not list them, by how they count.
    pub missing_runs: Family<CauseLabel, Counter>,
    /// Runs that a worker listed and this instance did not know, by how it had reported their end;
    /// `none` if it had not.
    pub unknown_runs: Family<CauseLabel, Counter>,
    /// Jobs submitted again to this instance while it had them.
    pub resubmitted_jobs: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("cranberryhatch"),
            answers: Family::default(),
            runs: Family::default(),
            refused_starts: Family::default(),
            deferred_starts: Counter::default(),
            refusals: Family::default(),
            forecast_error: Family::new_with_constructor(new_histogram),
            dropped_workers: Family::default(),
            worker_restarts: Counter::default(),
            outdated_entries: new_histogram(),
            task_crashes: Counter::default(),
            poisoned_jobs: Counter::default(),
            superseded_jobs: Counter::default(),
            withheld_tasks: Counter::default(),
            unclaimed_runs: Counter::default(),
            admission_time: new_histogram(),
            dropped_lines: Counter::default(),
            offered_lines: Gauge::default(),
            written_lines: Gauge::default(),
            store_failures: Family::default(),
            unreadable_rows: Family::default(),
            answer_time: Family::new_with_constructor(new_histogram),
            queue_time: Family::new_with_constructor(new_histogram),
            run_time: new_histogram(),
            loop_lag: new_histogram(),
            jobs: Gauge::default(),
            assigned_runs: Gauge::default(),
            open_workers: Gauge::default(),
            worker_silence_ms: Gauge::default(),
            stopping_ms: Gauge::default(),
            admitted_stopping: Counter::default(),
            drained_zones: Gauge::default(),
            peers: Gauge::default(),
            settings_version: Gauge::default(),
            settings_sources: Family::default(),
            worker_list_age_ms: Gauge::default(),
            unanswered_requests: Family::default(),
            resolved_requests: Family::default(),
            unanswered_time: Family::new_with_constructor(new_histogram),
            run_restarts: Family::default(),
            restarted_runs: Family::default(),
            missing_runs: Family::default(),
            unknown_runs: Family::default(),
            resubmitted_jobs: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("answers", "Answers to callers", self.answers.clone());
        r.register("refused_starts", "Starts refused by an owner", self.refused_starts.clone());
        r.register("deferred_starts", "Starts deferred by an owner", self.deferred_starts.clone());
        r.register("refusals", "Jobs refused by the scheduler", self.refusals.clone());
        r.register(
            "forecast_error_seconds",
            "Forecast wait to actual",
            self.forecast_error.clone(),
        );
        r.register("runs", "Ends of runs", self.runs.clone());
        r.register("dropped_workers", "Workers given up", self.dropped_workers.clone());
        r.register("ended_lives", "Own workers that restarted", self.worker_restarts.clone());
        r.register(
            "outdated_entry_seconds",
            "Waits for the entry of a restarted worker",
            self.outdated_entries.clone(),
        );
        r.register("task_crashes", "Crashes of workers under tasks", self.task_crashes.clone());
        r.register("poisoned_jobs", "Jobs given up for crashes", self.poisoned_jobs.clone());
        r.register(
            "superseded_jobs",
            "Jobs submitted again elsewhere",
            self.superseded_jobs.clone(),
        );
        r.register("withheld_tasks", "Tasks with another active run", self.withheld_tasks.clone());
        r.register("unclaimed_runs", "Runs that no front claimed", self.unclaimed_runs.clone());
        r.register("counting_seconds", "Up to counted as a member", self.admission_time.clone());
        r.register("dropped_lines", "Log lines dropped", self.dropped_lines.clone());
        r.register("offered_lines", "Log lines to be written", self.offered_lines.clone());
        r.register("written_lines", "Log lines written", self.written_lines.clone());
        r.register("store_failures", "Failed calls to the store", self.store_failures.clone());
        r.register("unreadable_rows", "Rows without a usable key", self.unreadable_rows.clone());
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
        r.register("settings_sources", "Settings applied", self.settings_sources.clone());
        r.register(
            "worker_list_age_ms",
            "Age of the list of workers",
            self.worker_list_age_ms.clone(),
        );
        r.register("restarts", "Runs started again elsewhere", self.run_restarts.clone());
        r.register("restarted_runs", "Runs after an earlier run", self.restarted_runs.clone());
        r.register("missing_runs", "Runs that a worker did not list", self.missing_runs.clone());
        r.register("unknown_runs", "Runs that no owner knew", self.unknown_runs.clone());
        r.register("resubmitted_jobs", "Jobs submitted again", self.resubmitted_jobs.clone());
        r.register("unanswered_orders", "Orders without answer", self.unanswered_requests.clone());
        r.register("resolved_orders", "Orders that were resolved", self.resolved_requests.clone());
        r.register(
            "unanswered_seconds",
            "Order without answer to its resolution",
            self.unanswered_time.clone(),
        );
    }

    /// Increments the counter of a cause or outcome.
    pub fn count(family: &Family<CauseLabel, Counter>, cause: &impl ToString) {
        family.get_or_create(&CauseLabel { cause: cause.to_string() }).inc();
    }

    /// Adds a time to the histogram of a kind.
    pub fn observe_kind(times: &KindHistograms, kind: &str, span: Span) {
        Self::observe(&times.get_or_create(&KindLabel { kind: kind.to_owned() }), span);
    }

    /// Adds a time to a histogram.
    pub fn observe(histogram: &Histogram, span: Span) {
        let ms = u32::try_from(span.as_ms()).unwrap_or(u32::MAX);
        histogram.observe(f64::from(ms) / 1_000.0);
    }

    /// Returns all metrics in the Prometheus text format.
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
