//! Guards against metrics that a collector cannot parse or that lack a label an operator needs.

use cranberryhatch_edge::Metrics;
use cranberryhatch_fleet::{NotRunCause, RequestKind, Resolution, RunEndCause, StartRefusal};
use cranberryhatch_types::Span;

#[test]
fn histograms_are_labelled_by_kind_and_counters_by_cause() {
    let metrics = Metrics::default();
    Metrics::observe_kind(&metrics.queue_time, "thumbnail", Span::from_ms(30));
    Metrics::observe_kind(&metrics.queue_time, "render", Span::from_ms(700));
    Metrics::count(&metrics.answers, &NotRunCause::Overload);
    Metrics::count(&metrics.answers, &NotRunCause::UnknownKind);
    Metrics::count(&metrics.refused_starts, &StartRefusal::Outdated);
    Metrics::count(&metrics.unanswered_requests, &RequestKind::Start);
    Metrics::count(&metrics.resolved_requests, &Resolution::NeverRan);
    Metrics::observe_kind(&metrics.unanswered_time, "start", Span::from_ms(70));
    Metrics::count(&metrics.restarted_runs, &RunEndCause::TakeoverMissing);
    metrics.resubmitted_jobs.inc();
    metrics.deferred_starts.inc();
    let text = metrics.text();
    let lines = [
        "cranberryhatch_restarted_runs_total{cause=\"takeover-missing\"} 1",
        "cranberryhatch_resubmitted_jobs_total 1",
        "cranberryhatch_deferred_starts_total 1",
        "cranberryhatch_unanswered_orders_total{cause=\"start\"} 1",
        "cranberryhatch_resolved_orders_total{cause=\"never-ran\"} 1",
        "cranberryhatch_unanswered_seconds_bucket{le=\"0.1\",kind=\"start\"} 1",
        "cranberryhatch_refused_starts_total{cause=\"outdated\"} 1",
        "cranberryhatch_worker_silence_ms 0",
        "cranberryhatch_queue_seconds_bucket{le=\"0.05\",kind=\"thumbnail\"} 1",
        "cranberryhatch_queue_seconds_bucket{le=\"0.05\",kind=\"render\"} 0",
        "cranberryhatch_queue_seconds_count{kind=\"render\"} 1",
        "cranberryhatch_answers_total{cause=\"overload\"} 1",
        "cranberryhatch_answers_total{cause=\"unknown-kind\"} 1",
        "cranberryhatch_offered_lines 0",
        "cranberryhatch_written_lines 0",
    ];
    for line in lines {
        assert!(text.lines().any(|found| found == line), "no line {line} in\n{text}");
    }
}
