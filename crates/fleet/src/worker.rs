//! A worker that this instance owns or is about to own, and its leases.

use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{InstanceId, Span, Time};

use crate::{
    AssignedRun, DeferredStart, Incarnation, LeasedRequest, ListedWorker, Need, PendingPoll,
    ResponseTimes, RunKey, TaskKey, UnansweredLeases,
    assigned_run::RunStage,
    output::Lease,
    run_lease::{LEASE, LEASE_SLACK, RUN_LIFETIME, earliest_clock, lease_length},
};

/// Time for which a worker may hold a poll open until a run ends.
///
/// This is a quarter of the lease, so that two polls can be lost before a lease expires.
const POLL_WAIT: Span = Span::from_ms(240);
/// The same while requests get lost, since no ends are seen while a response is awaited that never
/// arrives. Mean run times are 60 ms to 900 ms.
const LOSSY_POLL_WAIT: Span = Span::from_ms(60);
/// Shortest time for which a worker holds a poll open when its lease is short; every poll costs a
/// request.
const MIN_POLL_WAIT: Span = Span::from_ms(20);
/// Shortest lease of a new run: covers the hold time and the round trip of the poll that extends
/// it.
const MIN_START_LEASE: Span = Span::from_ms(300);
/// Longest response timeout of a request; a round trip takes 2 ms, and an instance with a small CPU
/// share reads the response some ten milliseconds later.
const REQUEST_TIMEOUT: Span = Span::from_ms(200);
/// The same for a worker whose responses get lost: until the timeout it is unknown whether a task
/// has started, and the task cannot be started elsewhere.
const LOSSY_REQUEST_TIMEOUT: Span = Span::from_ms(60);
/// Time for which a worker counts as losing responses after a request timed out.
const LOSSY_PERIOD: Span = Span::from_secs(3);
/// Number of consecutive missed polls after which a worker gets no new runs.
const MISSED_POLLS_LIMIT: u32 = 4;
/// Time without a response to any poll, while polls are pending, after which a worker gets no new
/// runs either, since its lease is about to expire.
const SILENCE_LIMIT: Span = Span::from_ms(475);

/// Smallest backward jump of a worker's clock that shows a restart; responses that are read out of
/// order differ by less.
pub const MIN_CLOCK_RESET: Span = Span::from_ms(1_000);

/// Progress of this instance in taking ownership of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// The worker does not respond. It is polled without a token, so that it is not taken from
    /// another owner.
    Probing {
        /// Time of the next poll, unless one is pending.
        at: Time,
    },
    /// The worker is polled with a new token until it accepts it.
    Opening {
        /// Time of the next poll, unless one is pending.
        at: Time,
    },
    /// The worker has accepted the token; the fronts are asked which of its runs they still want.
    Claiming {
        /// Time at which unclaimed runs are stopped.
        until: Time,
        /// Fronts that have not answered.
        pending_fronts: Vec<InstanceId>,
        /// Number of runs that were found.
        found: usize,
    },
    /// The worker takes new runs.
    Open,
}

/// State of one worker.
#[derive(Debug)]
pub struct Worker {
    /// Attributes from the platform's list.
    pub listed: ListedWorker,
    /// Fencing token of this instance for the worker.
    pub token: u64,
    /// Progress in taking ownership.
    pub ownership: Ownership,
    /// Number of the last end that was processed.
    pub acked: u64,
    /// Runs on the worker.
    pub runs: Vec<AssignedRun>,
    /// Starts that wait for a later heartbeat of their fronts.
    pub deferred: Vec<DeferredStart>,
    /// The pending poll.
    pub poll: Option<PendingPoll>,
    /// A second poll, sent while the worker may be holding `poll` open.
    pub extra_poll: Option<PendingPoll>,
    /// Time at which the last poll was sent whose response no longer counts, although the token
    /// does. Polls are identified by the time, so the next one is sent later.
    pub forgotten_poll: Option<Time>,
    /// Whether a poll should be sent that the worker does not hold open.
    pub needs_status: bool,
    /// Number of polls that were sent.
    pub polls_sent: u64,
    /// Number of consecutive missed polls.
    pub missed_polls: u32,
    /// Time at which the first of them was sent.
    pub missed_since: Option<Time>,
    /// Time at which the last poll was sent.
    pub polled_at: Time,
    /// Time of the last response.
    pub responded_at: Time,
    /// Whether the worker is unresponsive: several consecutive polls were missed.
    pub unresponsive: bool,
    /// Whether it has refused connections since its last response.
    pub refuses: bool,
    /// Time of the last request that got no response.
    pub timed_out_at: Option<Time>,
    /// Latest end of all leases that this instance or an earlier owner may have given, if each
    /// request is carried out at once or never.
    pub lease_end: Time,
    /// Requests that may extend the lease later.
    pub unanswered: UnansweredLeases,
    /// Latest incarnation that has sent a response.
    pub incarnation: Incarnation,
    /// Time at which its first response was read.
    pub incarnation_since: Time,
    /// Time since which the entry is known to be of another incarnation.
    pub outdated_since: Option<Time>,
    /// Time at which the last request with a lease was sent.
    pub leased_at: Time,
    /// Number of consecutive polls that the worker rejected because it knows a higher token.
    pub fenced_polls: u32,
    /// Clock of the worker in the newest status that was read.
    pub latest_clock: u64,
    // Clock of the worker, and the local time, at the last response.
    clock: Option<(u64, Time)>,
}

impl Worker {
    /// Creates a worker that is to be opened.
    #[must_use]
    pub const fn new(listed: ListedWorker, token: u64, now: Time) -> Self {
        Self {
            listed,
            token,
            ownership: Ownership::Opening { at: now },
            acked: 0,
            runs: Vec::new(),
            deferred: Vec::new(),
            poll: None,
            extra_poll: None,
            forgotten_poll: None,
            needs_status: false,
            polls_sent: 0,
            missed_polls: 0,
            missed_since: None,
            polled_at: Time::ZERO,
            responded_at: now,
            unresponsive: false,
            refuses: false,
            timed_out_at: None,
            lease_end: Time::ZERO,
            unanswered: UnansweredLeases::new(),
            incarnation: Incarnation::UNKNOWN,
            incarnation_since: Time::ZERO,
            outdated_since: None,
            leased_at: Time::ZERO,
            fenced_polls: 0,
            latest_clock: 0,
            clock: None,
        }
    }

    /// Returns whether the worker has not accepted a token of this instance yet.
    #[must_use]
    pub const fn is_unopened(&self) -> bool {
        matches!(self.ownership, Ownership::Probing { .. } | Ownership::Opening { .. })
    }

    /// Returns whether the worker takes new runs.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.ownership == Ownership::Open
            && !self.unresponsive
            && !self.listed.draining
            && self.is_described()
    }

    /// Returns whether the listed attributes are those of the incarnation that responded last.
    #[must_use]
    pub const fn is_described(&self) -> bool {
        self.listed.describes(self.incarnation)
    }

    /// Returns the run that is the most likely cause if the worker has crashed.
    #[must_use]
    pub fn likely_cause(&self) -> Option<RunKey> {
        likely_cause(self.runs.iter())
    }

    /// Returns how a run ended that was lost with the worker, where `cause` is the likely cause of a
    /// crash. A draining worker leaves without a crash.
    #[must_use]
    pub fn loss_of(&self, run: &RunKey, cause: Option<&RunKey>) -> How {
        loss_of(self.listed.draining, run, cause)
    }

    /// Opens a restarted worker again with a new token and resets what is known of its earlier
    /// incarnation.
    pub fn reopen(&mut self, token: u64, now: Time) {
        self.token = token;
        self.ownership = Ownership::Opening { at: now };
        self.unresponsive = false;
        self.reset_incarnation();
        self.forgotten_poll = None;
    }

    fn reset_incarnation(&mut self) {
        self.acked = 0;
        self.forget_poll();
        self.poll = self.extra_poll.take();
        self.forget_poll();
        self.missed_polls = 0;
        self.missed_since = None;
        self.timed_out_at = None;
        self.fenced_polls = 0;
        self.latest_clock = 0;
        self.clock = None;
    }

    /// Records the worker's clock from a response.
    pub fn set_clock(&mut self, clock: u64, now: Time) {
        self.clock = Some((clock, now));
        self.responded_at = now;
        self.refuses = false;
    }

    /// Returns whether the worker's clock is known.
    #[must_use]
    pub const fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Returns whether a response with this clock comes from a later incarnation than earlier ones.
    #[must_use]
    pub const fn is_clock_reset(&self, clock: u64) -> bool {
        self.latest_clock.saturating_sub(clock) > MIN_CLOCK_RESET.as_ms()
    }

    /// Resets what belongs to the earlier incarnation of a worker that still accepts the token.
    ///
    /// Requests in flight may be carried out by the new incarnation, so their runs are kept, and so
    /// is the end of their leases.
    pub fn reset_after_restart(&mut self) {
        self.reset_incarnation();
        self.needs_status = true;
        self.runs.iter_mut().for_each(AssignedRun::mark_restarted);
    }

    /// Sets the incarnation, whose first response is read now.
    pub const fn set_incarnation(&mut self, incarnation: Incarnation, now: Time) {
        self.incarnation = incarnation;
        self.incarnation_since = now;
    }

    /// Counts a poll that is sent now and returns it.
    pub fn begin_poll(&mut self, wait: Span, now: Time) -> PendingPoll {
        self.polls_sent += 1;
        self.polled_at = now;
        self.needs_status = false;
        PendingPoll { sent_at: now, number: self.polls_sent, wait }
    }

    /// Forgets the pending poll, so that another one is sent.
    pub fn forget_poll(&mut self) {
        let sent = self.poll.take().map(|poll| poll.sent_at);
        self.forgotten_poll = self.forgotten_poll.max(sent);
    }

    /// Removes and returns the pending poll that was sent at `at`, if there is one.
    pub fn take_poll(&mut self, at: Time) -> Option<PendingPoll> {
        let is_sent = |poll: &mut PendingPoll| poll.sent_at == at;
        self.poll.take_if(is_sent).or_else(|| self.extra_poll.take_if(is_sent))
    }

    /// Returns the run whose start request has this number.
    ///
    /// Runs of several submissions of a job may be equal, so a run does not identify its request.
    #[must_use]
    pub fn run_of_request(&self, number: u64) -> Option<&AssignedRun> {
        self.runs.iter().find(|assigned| assigned.request == Some(number))
    }

    /// Returns when the last stop request of a run was sent.
    #[must_use]
    pub fn stop_sent_at(&self, run: &RunKey) -> Option<Time> {
        self.runs
            .iter()
            .find(|assigned| assigned.run == *run)
            .and_then(|assigned| assigned.stop_requested)
    }

    /// Returns whether the worker becomes unresponsive after a missed poll. `paused_until` is the
    /// end of this process's last pause.
    ///
    /// Time without pending polls does not count: an idle worker is polled only every few seconds.
    #[must_use]
    pub fn exceeds_silence_limit(&self, paused_until: Time, now: Time) -> bool {
        let unanswered = |from: Time| now.since(from.max(self.responded_at).max(paused_until));
        let silence = self.missed_since.map_or(Span::ZERO, unanswered);
        self.missed_polls >= MISSED_POLLS_LIMIT || silence >= SILENCE_LIMIT
    }

    /// Returns for how long the worker may hold the next poll open.
    #[must_use]
    pub fn poll_wait(&self, response_times: &ResponseTimes, now: Time) -> Span {
        let longest = if self.is_lossy(now) || response_times.is_lossy() {
            // The sooner an end is expected, the more a lost poll would delay it.
            let left = self.runs.iter().map(|assigned| assigned.remaining(now) / 2).min();
            left.map_or(LOSSY_POLL_WAIT, |left| left.clamp(MIN_POLL_WAIT, LOSSY_POLL_WAIT))
        } else {
            POLL_WAIT
        };
        // The next poll extends the lease, so this one must return well before the lease expires.
        let lease = self.lease_end.since(now + LEASE_SLACK) / 2;
        longest.min(lease.max(MIN_POLL_WAIT))
    }

    /// Returns the response timeout of a request.
    #[must_use]
    pub fn request_timeout(&self, response_times: &ResponseTimes, now: Time) -> Span {
        response_times.timeout(if self.is_lossy(now) {
            LOSSY_REQUEST_TIMEOUT
        } else {
            REQUEST_TIMEOUT
        })
    }

    fn is_lossy(&self, now: Time) -> bool {
        self.timed_out_at.is_some_and(|at| now.since(at) < LOSSY_PERIOD)
    }

    /// Returns all runs, also those whose start is deferred.
    pub fn all_runs(&self) -> impl Iterator<Item = &AssignedRun> {
        self.runs.iter().chain(self.deferred.iter().map(|deferred| &deferred.assigned))
    }

    /// Returns how many runs are of the step of a task, also those whose start is deferred or whose
    /// response is missing.
    #[must_use]
    pub fn step_count(&self, task: &TaskKey) -> u32 {
        let is_of_step = |assigned: &&AssignedRun| {
            let known = &assigned.run.task;
            (&known.job, known.step) == (&task.job, task.step)
        };
        u32::try_from(self.all_runs().filter(is_of_step).count()).unwrap_or(u32::MAX)
    }

    /// Returns the capacity that no run holds.
    #[must_use]
    pub fn free(&self) -> Need {
        self.all_runs().fold(self.listed.capacity, |free, run| free.saturating_sub(&run.need))
    }

    /// Returns the oldest heartbeat among those that the fronts of the runs have read last.
    ///
    /// Those of deferred starts are included, since leases never shorten: otherwise each poll would
    /// extend the lease past the lifetime of the runs that wait to be started.
    fn oldest_heartbeat(&self) -> Option<Time> {
        self.all_runs().map(|assigned| assigned.seen_heartbeat).min()
    }

    /// Returns a lease from now on for all runs, which the next poll carries, and records its latest
    /// end, or `None` if a front may give up its run before.
    pub fn renew_lease(&mut self, now: Time) -> Option<Lease> {
        let length = lease_length(self.oldest_heartbeat(), now);
        let request = LeasedRequest::Poll(self.polls_sent + 1);
        if length > Span::ZERO { self.record_lease(length, request, now) } else { None }
    }

    /// Returns whether a lease for all runs and a new one would expire before the next poll extends
    /// it.
    #[must_use]
    pub fn is_outdated(&self, further: &AssignedRun, now: Time) -> bool {
        self.start_lease_length(further, now) < MIN_START_LEASE
    }

    /// Returns whether the lease that the worker already has may outlast the lifetime of a new run;
    /// leases never shorten.
    #[must_use]
    pub fn outlasts(&self, further: &AssignedRun) -> bool {
        self.lease_end > further.seen_heartbeat + RUN_LIFETIME
    }

    /// Returns a lease for all runs and a new one, which the start with this number carries, and
    /// records its latest end, or `None` if the worker's clock is unknown.
    pub fn lease_for_start(
        &mut self,
        further: &AssignedRun,
        number: u64,
        now: Time,
    ) -> Option<Lease> {
        let length = self.start_lease_length(further, now);
        self.record_lease(length, LeasedRequest::Start(number), now)
    }

    fn start_lease_length(&self, further: &AssignedRun, now: Time) -> Span {
        let seen = further.seen_heartbeat;
        lease_length(Some(self.oldest_heartbeat().map_or(seen, |oldest| oldest.min(seen))), now)
    }

    fn record_lease(&mut self, length: Span, request: LeasedRequest, now: Time) -> Option<Lease> {
        let (clock, at) = self.clock?;
        let until = earliest_clock(clock, now.since(at)).saturating_add(length.as_ms());
        self.lease_end = self.lease_end.max(now + length + LEASE_SLACK);
        self.leased_at = now;
        self.unanswered.add(request, now);
        Some(Lease { until })
    }

    /// Records that the worker has runs now: a late request may have just given them a lease.
    pub fn record_late_lease(&mut self, now: Time) {
        if self.unanswered.may_have_arrived(now) {
            self.lease_end = self.lease_end.max(now + LEASE + LEASE_SLACK);
        }
    }

    /// Returns the time by which the runs that the worker has now are over if it gets no further
    /// lease.
    #[must_use]
    pub fn runs_end(&self) -> Time {
        self.unanswered.latest_end(self.lease_end)
    }
}

/// Returns how a run ended that was lost with a worker; see [`Worker::loss_of`].
pub(crate) fn loss_of(draining: bool, run: &RunKey, cause: Option<&RunKey>) -> How {
    match (draining, cause == Some(run)) {
        (true, _) => How::Stopped,
        (false, true) => How::Crashed,
        (false, false) => How::Lost,
    }
}

/// Returns which of several runs is the most likely cause of a crash: the one that started last. A
/// run without confirmation may not have started.
pub(crate) fn likely_cause<'a>(runs: impl Iterator<Item = &'a AssignedRun>) -> Option<RunKey> {
    let running = runs.filter(|run| matches!(run.stage, RunStage::Running { .. }));
    running.max_by_key(|run| run.sent_at).map(|run| run.run.clone())
}
