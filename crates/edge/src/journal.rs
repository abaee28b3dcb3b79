//! Structured log lines of fleet events, rate-limited and written without blocking.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use cranberryhatch_fleet::{LogEvent, Outcome, VecMap, is_sampled};
use cranberryhatch_types::{InstanceId, Span, Time};
use logforth::{append, diagnostic, layout, record};

/// Maximum number of lines of one name per window; further lines are dropped and counted.
const MAX_LINES_PER_WINDOW: u32 = 60;
/// The same for the lines that tell why a task was started again, which a report of a task that ran
/// twice cannot do without.
const MAX_RESTART_LINES_PER_WINDOW: u32 = 600;
/// Every step of one job in this many is logged; all instances sample the same jobs.
const SAMPLE_ONE_IN: u64 = 16;
/// Maximum number of lines queued for standard output; further lines are dropped.
const BUFFERED_LINES: usize = 4_096;
/// Length of the rate limit's window.
const RATE_WINDOW: Span = Span::from_ms(1_000);

/// Sets up logging to standard output through a bounded queue.
pub fn init_logging() {
    let stdout = append::Stdout::default().with_layout(layout::JsonLayout::default());
    let stdout = CountingAppender { append: stdout, lines: &WRITTEN };
    let buffered = append::asynchronous::AsyncBuilder::new("log")
        .buffered_lines_limit(Some(BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    let offered = CountingAppender { append: buffered, lines: &OFFERED };
    logforth::starter_log::builder().dispatch(|dispatch| dispatch.append(offered)).apply();
}

/// Returns the number of lines queued for standard output and the number written to it.
#[must_use]
pub fn log_line_counts() -> (u64, u64) {
    (OFFERED.load(Ordering::Relaxed), WRITTEN.load(Ordering::Relaxed))
}

static OFFERED: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// Appender that counts its lines.
#[derive(Debug)]
struct CountingAppender<A> {
    append: A,
    lines: &'static AtomicU64,
}

impl<A: append::Append> append::Append for CountingAppender<A> {
    fn append(
        &self,
        record: &record::Record,
        diagnostics: &[Box<dyn diagnostic::Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let result = self.append.append(record, diagnostics);
        self.lines.fetch_add(1, Ordering::Relaxed);
        result
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        self.append.flush()
    }
}

#[derive(Default)]
struct RateWindow {
    started_at: Time,
    lines: VecMap<&'static str, LineCount>,
}

/// Lines of one name in a window.
#[derive(Default)]
struct LineCount {
    written: u32,
    dropped: u64,
}

/// Writes fleet events to the log, with sampling and a rate limit.
#[derive(Default)]
pub struct EventLogger {
    window: Mutex<RateWindow>,
}

impl EventLogger {
    /// Logs an event and returns whether the rate limit dropped it.
    ///
    /// Routine events of jobs that are not sampled are skipped and do not count as dropped.
    pub fn log(&self, event: &LogEvent, now: Time) -> bool {
        if !should_log(event) {
            return false;
        }
        let name: &'static str = event.into();
        if !self.admit(name, line_limit(event), now) {
            return true;
        }
        write(name, event);
        false
    }

    fn admit(&self, name: &'static str, limit: u32, now: Time) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(window.started_at) >= RATE_WINDOW {
            for (line, count) in window.lines.iter().filter(|(_, count)| count.dropped > 0) {
                log::warn!(line, dropped = count.dropped; "lines-dropped");
            }
            *window = RateWindow { started_at: now, lines: VecMap::default() };
        }
        let count = window.lines.get_or_insert_with(name, LineCount::default);
        let admitted = count.written < limit;
        if admitted {
            count.written += 1;
        } else {
            count.dropped += 1;
        }
        admitted
    }
}

/// Returns the maximum number of lines of an event's name per window.
const fn line_limit(event: &LogEvent) -> u32 {
    match event {
        LogEvent::RunRestarted { .. }
        | LogEvent::RunMissing { .. }
        | LogEvent::UnknownRun { .. } => MAX_RESTART_LINES_PER_WINDOW,
        _ => MAX_LINES_PER_WINDOW,
    }
}

/// Returns whether an event is rare, a failure, or about a sampled job.
fn should_log(event: &LogEvent) -> bool {
    match event {
        LogEvent::Admitted { job, .. }
        | LogEvent::Granted { job, .. }
        | LogEvent::Answered { job, outcome: Outcome::Completed, .. } => {
            is_sampled(job, SAMPLE_ONE_IN)
        }
        LogEvent::RunEnded { run, how, wanted, .. } => {
            !wanted
                || *how != cranberryhatch_schema::fleet::How::Done
                || is_sampled(&run.task.job, SAMPLE_ONE_IN)
        }
        _ => true,
    }
}

fn run_text(run: &cranberryhatch_fleet::RunKey) -> String {
    format!("{}.{}.{}#{}", run.task.job, run.task.step, run.task.task, run.run)
}

/// Returns the time in milliseconds, or -1 for `None`.
fn ms_or_none(span: Option<Span>) -> i64 {
    span.map_or(-1, |span| i64::try_from(span.as_ms()).unwrap_or(-1))
}

fn id_or_none(id: Option<&InstanceId>) -> &str {
    id.map_or("none", InstanceId::as_str)
}

fn write(name: &'static str, event: &LogEvent) {
    match event {
        LogEvent::Admitted { job, kind, tasks, left } => {
            log::info!(job, kind, tasks, left_ms = left.as_ms(); "{name}");
        }
        LogEvent::Answered { job, kind, outcome, took, queued, runs } => {
            let cause = match outcome {
                Outcome::NotRun { cause, .. } => cause.to_string(),
                _ => String::new(),
            };
            let queued_ms = ms_or_none(*queued);
            log::info!(
                job, kind, outcome = outcome.to_string(), cause, took_ms = took.as_ms(), queued_ms,
                runs;
                "{name}"
            );
        }
        LogEvent::Rejected { request, cause, stopping: Some(stopping) } => {
            let (stopping_ms, ends_ms) = (stopping.elapsed.as_ms(), stopping.remaining.as_ms());
            log::info!(request, cause = cause.to_string(), stopping_ms, ends_ms; "{name}");
        }
        LogEvent::Rejected { request, cause, stopping: None } => {
            log::info!(request, cause = cause.to_string(); "{name}");
        }
        LogEvent::AdmittedStopping { job, left, stopping } => {
            let (stopping_ms, ends_ms) = (stopping.elapsed.as_ms(), stopping.remaining.as_ms());
            log::info!(job, left_ms = left.as_ms(), stopping_ms, ends_ms; "{name}");
        }
        LogEvent::Expired { job, scheduler, heard, asked, waiting, ahead } => {
            let scheduler = scheduler.as_ref().map_or("none", |id| id.as_str());
            let (heard_ms, asked_ms) = (ms_or_none(*heard), ms_or_none(*asked));
            let ahead_ms = ms_or_none(*ahead);
            log::info!(job, scheduler, heard_ms, asked_ms, waiting, ahead_ms; "{name}");
        }
        LogEvent::CallerGone { job, age } => log::info!(job, age_ms = age.as_ms(); "{name}"),
        LogEvent::Superseded { job, by, age, runs } => {
            log::warn!(job, by = by.as_str(), age_ms = age.as_ms(), runs; "{name}");
        }
        LogEvent::Released { job, front, waited, cause } => {
            log::warn!(
                job, front = front.as_str(), waited_ms = waited.as_ms(), cause = cause.to_string();
                "{name}"
            );
        }
        LogEvent::Withheld { task, tasks, front, earlier, worker } => {
            let (job, step, number) = (task.job.as_str(), task.step, task.task);
            let earlier = earlier.as_ref().map_or("none", |id| id.as_str());
            let worker = worker.as_ref().map_or("none", |id| id.as_str());
            log::warn!(
                job, step, task = number, tasks, front = front.as_str(), earlier, worker;
                "{name}"
            );
        }
        LogEvent::Granted { job, tasks, slack, forecast, .. } => {
            let expected_ms = ms_or_none(forecast.map(|(expected, _)| expected));
            let waited_ms = ms_or_none(forecast.map(|(_, waited)| waited));
            log::info!(job, tasks, slack_ms = slack.as_ms(), expected_ms, waited_ms; "{name}");
        }
        LogEvent::Refused { job, cause, start, slots, work, share, retry, .. } => {
            let (start_ms, work_ms) = (ms_or_none(*start), work.as_ms());
            let (cause, retry_ms) = (cause.to_string(), retry.as_ms());
            log::info!(
                job, cause, start_ms, slots, work_ms, share_permille = share, retry_ms; "{name}"
            );
        }
        LogEvent::SpeedChanged { worker, slow, slowness, samples } => {
            log::info!(
                worker = worker.as_str(), slow, slowness_milli = slowness, samples; "{name}"
            );
        }
        LogEvent::Probed { worker, job } => log::info!(worker = worker.as_str(), job; "{name}"),
        LogEvent::RunEnded { run, worker, how, took, front, wanted } => {
            let (how, front) = (how.as_str_name(), id_or_none(front.as_ref()));
            log::info!(
                run = run_text(run), worker = worker.as_str(), how, took_ms = took.as_ms(), front,
                wanted;
                "{name}"
            );
        }
        LogEvent::Stalled { run, worker, took, expected, percent, cause, front } => {
            log::warn!(
                run = run_text(run), worker = worker.as_str(), took_ms = took.as_ms(),
                expected_ms = expected.as_ms(), percent, cause = cause.to_string(),
                front = id_or_none(front.as_ref());
                "{name}"
            );
        }
        LogEvent::StartRefused { run, worker, cause, age, front } => {
            log::warn!(
                run = run_text(run), worker = worker.as_str(), cause = cause.to_string(),
                age_ms = age.as_ms(), front = front.as_str();
                "{name}"
            );
        }
        LogEvent::StartDeferred { run, worker, age, excess, front } => {
            log::info!(
                run = run_text(run), worker = worker.as_str(), age_ms = age.as_ms(),
                excess_ms = excess.as_ms(), front = front.as_str();
                "{name}"
            );
        }
        LogEvent::RunRestarted { run, worker, owner, previous, since }
        | LogEvent::StartRetried { run, worker, owner, previous, since } => {
            let end = &previous.end;
            log::warn!(
                run = run_text(run), worker = worker.as_str(), owner = owner.as_str(),
                cause = end.cause.to_string(), how = end.how.as_str_name(),
                reporter = end.reporter.as_str(), reported_worker = end.worker.as_str(),
                since_ms = since.as_ms(), earlier_run = previous.run,
                earlier_worker = previous.worker.as_str(), earlier_owner = previous.owner.as_str();
                "{name}"
            );
        }
        LogEvent::RunExpired { run, worker, owner, silence, closing } => {
            let (silence_ms, closing_ms) = (ms_or_none(*silence), ms_or_none(*closing));
            log::warn!(
                run = run_text(run), worker = worker.as_str(), owner = owner.as_str(), silence_ms,
                closing_ms;
                "{name}"
            );
        }
        LogEvent::Resubmitted { job, age, runs, closing } => {
            log::warn!(job, age_ms = age.as_ms(), runs, closing_ms = ms_or_none(*closing); "{name}");
        }
        LogEvent::FrontRunsStopped { front, runs, cause } => {
            log::warn!(front = front.as_str(), runs, cause = cause.to_string(); "{name}");
        }
        LogEvent::RunLost { run, owner, outlasts } => {
            log::warn!(run = run_text(run), owner = owner.as_str(), outlasts; "{name}");
        }
        LogEvent::PeerUp { peer, peers } => log::info!(peer = peer.as_str(), peers; "{name}"),
        LogEvent::PeerDown { peer, silence, peers } => {
            log::warn!(peer = peer.as_str(), silence_ms = silence.as_ms(), peers; "{name}");
        }
        LogEvent::SchedulerChanged { scheduler, submissions } => {
            let scheduler = scheduler.as_ref().map_or("none", |id| id.as_str());
            log::info!(scheduler, submissions; "{name}");
        }
        LogEvent::WorkerOpened { worker, token, found, kept } => {
            log::info!(worker = worker.as_str(), token, found, kept; "{name}");
        }
        LogEvent::WorkerReached { worker, opens_in } => {
            log::info!(worker = worker.as_str(), opens_in_ms = opens_in.as_ms(); "{name}");
        }
        LogEvent::CoreEntered { links } => log::info!(links; "{name}"),
        LogEvent::MembersAdmitted { change, peers } => {
            let (waited_ms, agreed) = (change.waited.as_ms(), change.agreed);
            log::info!(members = change.members, waited_ms, agreed, peers; "{name}");
        }
        LogEvent::WorkerDropped { worker, cause } => {
            log::info!(worker = worker.as_str(), cause = cause.to_string(); "{name}");
        }
        LogEvent::TaskCrashed { task, worker, crashes } => {
            let (job, step, number) = (task.job.as_str(), task.step, task.task);
            log::warn!(job, step, task = number, worker = worker.as_str(), crashes; "{name}");
        }
        LogEvent::TaskPoisoned { task } => {
            let (job, step, number) = (task.job.as_str(), task.step, task.task);
            log::warn!(job, step, task = number; "{name}");
        }
        LogEvent::IncarnationEnded { worker, incarnation, runs } => {
            log::warn!(worker = worker.as_str(), born_ms = incarnation.born_ms(), runs; "{name}");
        }
        LogEvent::JobCanceled { job, source, known } => {
            let source = source.as_ref().map_or("caller", |peer| peer.as_str());
            log::info!(job, source, known; "{name}");
        }
        LogEvent::CancelUnconfirmed { job, peers, fronts } => {
            log::warn!(job, peers, fronts; "{name}");
        }
        LogEvent::CanceledBefore { job } => log::info!(job; "{name}"),
        LogEvent::EntryOutdated { worker, incarnation, listed } => {
            let (born_ms, listed_ms) = (incarnation.born_ms(), listed.born_ms());
            log::warn!(worker = worker.as_str(), born_ms, listed_ms; "{name}");
        }
        LogEvent::EntryCurrent { worker, held } => {
            log::info!(worker = worker.as_str(), held_ms = held.as_ms(); "{name}");
        }
        LogEvent::WorkerUnresponsive { worker, silence, runs, unanswered, over_in } => {
            let (silence_ms, over_ms) = (silence.as_ms(), over_in.as_ms());
            log::warn!(worker = worker.as_str(), silence_ms, runs, unanswered, over_ms; "{name}");
        }
        LogEvent::ZoneDrains { change, source } => {
            let source = source.as_ref().map_or("store", |peer| peer.as_str());
            let (zone, version, drained) = (change.zone.as_str(), change.version, change.drained);
            log::warn!(zone, drained, version, source; "{name}");
        }
        LogEvent::DrainsAssumed { version, waited } => {
            log::warn!(version, waited_ms = waited.as_ms(); "{name}");
        }
        LogEvent::Settings { version, before, source } => {
            let source = source.as_ref().map_or("store", |peer| peer.as_str());
            log::info!(version, before, source; "{name}");
        }
        LogEvent::Paused { gap } => log::warn!(gap_ms = gap.as_ms(); "{name}"),
        LogEvent::Unanswered { worker, request, run, waited, front } => {
            let run = run.as_ref().map_or_else(|| "none".to_owned(), run_text);
            log::info!(
                worker = worker.as_str(), order = request.to_string(), run,
                waited_ms = waited.as_ms(), front = id_or_none(front.as_ref());
                "{name}"
            );
        }
        LogEvent::EndedLate { run, worker, reporter, cause, since } => {
            log::warn!(
                run = run_text(run), worker = worker.as_str(), reporter = reporter.as_str(),
                cause = cause.to_string(), since_ms = since.as_ms();
                "{name}"
            );
        }
        LogEvent::RunMissing { run, worker, how, confirmed, polled, lead, front } => {
            log::warn!(
                run = run_text(run), worker = worker.as_str(), how = how.as_str_name(),
                confirmed_ms = confirmed.as_ms(), polled_ms = polled.as_ms(),
                lead_ms = lead.as_ms(), front = id_or_none(front.as_ref());
                "{name}"
            );
        }
        LogEvent::UnknownRun { run, worker, polled, ended } => {
            let how = ended.map_or("none", |(how, _)| how.as_str_name());
            let ended_ms = ms_or_none(ended.map(|(_, ago)| ago));
            log::warn!(
                run = run_text(run), worker = worker.as_str(), polled_ms = polled.as_ms(), how,
                ended_ms;
                "{name}"
            );
        }
        LogEvent::Resolved { worker, request, run, outcome, took, front } => {
            let run = run.as_ref().map_or_else(|| "none".to_owned(), run_text);
            log::info!(
                worker = worker.as_str(), order = request.to_string(), run,
                outcome = outcome.to_string(), took_ms = took.as_ms(),
                front = id_or_none(front.as_ref());
                "{name}"
            );
        }
    }
}
