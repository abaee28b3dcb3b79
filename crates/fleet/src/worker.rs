//! A worker that this instance owns, or is about to own.

use cranberryhatch_types::{InstanceId, Span, Time};

use crate::{
    AssignedRun, Incarnation, ListedWorker, PendingPoll, ResponseTimes, RunKey,
    output::Lease,
    run_lease::{LEASE_SLACK, lease_length},
};

/// Time that a worker may wait for an end before it answers a look.
///
/// A quarter of the lease, so that two looks can be lost before a lease ends.
const POLL_WAIT: Span = Span::from_ms(240);
/// The same where orders get lost: ends are not seen while an answer is awaited that does not come. The
/// mean run time is 60 ms to 900 ms.
const LOSSY_POLL_WAIT: Span = Span::from_ms(60);
/// Shortest time for which a worker is asked to wait because a lease is short; a look costs a request.
const MIN_POLL_WAIT: Span = Span::from_ms(20);
/// Shortest lease of a start: the wait of the look that extends it, and its way.
const MIN_START_LEASE: Span = Span::from_ms(300);
/// Longest time for the answer to an order; a round trip takes 2 ms, and an instance with a small share
/// of a core reads it some ten milliseconds later.
const REQUEST_TIMEOUT: Span = Span::from_ms(200);
/// The same for a worker whose answers get lost: until then it is not known whether a task has
/// started, and it is not started elsewhere.
const LOSSY_REQUEST_TIMEOUT: Span = Span::from_ms(60);
/// Time for which a worker counts as one whose answers get lost.
const LOSSY_PERIOD: Span = Span::from_secs(3);
/// Looks in a row without answer after which a worker gets no starts.
const MISSED_POLLS_LIMIT: u32 = 4;
/// Time without an answer to any look, while looks are out, after which it gets none even so, as its
/// lease ends soon.
const SILENCE_LIMIT: Span = Span::from_ms(475);

/// How far the clock of a worker goes back at least if the worker restarted; answers that are read out of
/// order differ by less.
pub const MIN_CLOCK_RESET: Span = Span::from_ms(1_000);

/// Whether this instance is in charge of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// The worker did not answer; it is asked under no token, which takes it from nobody.
    Probing {
        /// When to ask, unless an answer is awaited.
        at: Time,
    },
    /// The worker is asked whether it obeys; the next try is due at this time.
    Opening {
        /// When to ask, unless an answer is awaited.
        at: Time,
    },
    /// The worker obeys; the fronts are asked which runs they still want.
    Claiming {
        /// When unclaimed runs are stopped.
        until: Time,
        /// Fronts that have not answered.
        waits_for: Vec<InstanceId>,
        /// Runs that were found.
        found: usize,
    },
    /// It takes starts.
    Open,
}

/// One worker.
#[derive(Debug)]
pub struct Worker {
    /// What the platform says of it.
    pub listed: ListedWorker,
    /// Fencing token.
    pub token: u64,
    /// Whether this instance is in charge.
    pub ownership: Ownership,
    /// Ends up to this number were taken note of.
    pub acked: u64,
    /// Runs on it.
    pub runs: Vec<AssignedRun>,
    /// The look that is under way.
    pub poll: Option<PendingPoll>,
    /// A further look, sent while `looking` may wait for an end.
    pub extra_poll: Option<PendingPoll>,
    /// Whether a look is wanted that is answered at once.
    pub needs_status: bool,
    /// Looks that were sent.
    pub polls_sent: u64,
    /// Looks in a row that got no answer.
    pub missed_polls: u32,
    /// When the first of them was sent.
    pub missed_since: Option<Time>,
    /// When the last look was sent.
    pub polled_at: Time,
    /// When the worker last answered.
    pub responded_at: Time,
    /// Whether it is silent: several looks in a row got no answer.
    pub silent: bool,
    /// When an order last got no answer.
    pub timed_out_at: Option<Time>,
    /// Latest time at which a lease ends that this instance gave.
    pub lease_end: Time,
    /// Incarnation that gave the last answer.
    pub incarnation: Incarnation,
    /// When an order that carries a lease was last sent.
    pub leased_at: Time,
    /// Looks at runs in a row that the worker refused for a higher token.
    pub fenced_polls: u32,
    /// The worker's clock when it answered the latest look that was read.
    pub latest_clock: u64,
    // The worker's clock and ours at the moment of its last answer.
    clock: Option<(u64, Time)>,
}

impl Worker {
    /// A worker that is to be opened.
    #[must_use]
    pub const fn new(listed: ListedWorker, token: u64, now: Time) -> Self {
        Self {
            listed,
            token,
            ownership: Ownership::Opening { at: now },
            acked: 0,
            runs: Vec::new(),
            poll: None,
            extra_poll: None,
            needs_status: false,
            polls_sent: 0,
            missed_polls: 0,
            missed_since: None,
            polled_at: Time::ZERO,
            responded_at: now,
            silent: false,
            timed_out_at: None,
            lease_end: Time::ZERO,
            incarnation: Incarnation::UNKNOWN,
            leased_at: Time::ZERO,
            fenced_polls: 0,
            latest_clock: 0,
            clock: None,
        }
    }

    /// Whether the worker has not obeyed this instance yet.
    #[must_use]
    pub const fn is_unopened(&self) -> bool {
        matches!(self.ownership, Ownership::Probing { .. } | Ownership::Opening { .. })
    }

    /// Whether it takes starts.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.ownership == Ownership::Open && !self.silent && !self.listed.draining
    }

    /// Opens a worker that restarted under a token; nothing of its earlier incarnation counts.
    pub fn reopen(&mut self, token: u64, now: Time) {
        self.token = token;
        self.ownership = Ownership::Opening { at: now };
        self.silent = false;
        self.reset_incarnation();
    }

    fn reset_incarnation(&mut self) {
        self.acked = 0;
        (self.poll, self.extra_poll) = (None, None);
        self.missed_polls = 0;
        self.missed_since = None;
        self.timed_out_at = None;
        self.fenced_polls = 0;
        self.latest_clock = 0;
        self.clock = None;
    }

    /// Takes the worker's clock from an answer.
    pub fn set_clock(&mut self, clock: u64, now: Time) {
        self.clock = Some((clock, now));
        self.responded_at = now;
    }

    /// Whether the worker's clock is known.
    #[must_use]
    pub const fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Whether an answer with this clock comes from a later incarnation than the answers before.
    #[must_use]
    pub const fn is_clock_reset(&self, clock: u64) -> bool {
        self.latest_clock.saturating_sub(clock) > MIN_CLOCK_RESET.as_ms()
    }

    /// Forgets what belongs to an earlier incarnation of a worker that obeys this instance as before.
    ///
    /// Orders under way may be carried out by the new incarnation, so their runs are kept, and the end of their
    /// leases is.
    pub fn reset_after_restart(&mut self) {
        self.reset_incarnation();
        self.needs_status = true;
        self.runs.iter_mut().for_each(AssignedRun::mark_restarted);
    }

    /// Counts a look that is sent now.
    pub fn begin_poll(&mut self, wait: Span, now: Time) -> PendingPoll {
        self.polls_sent += 1;
        self.polled_at = now;
        self.needs_status = false;
        PendingPoll { sent_at: now, number: self.polls_sent, wait }
    }

    /// Takes the look that was sent at `at` for over; none if none is under way.
    pub fn take_poll(&mut self, at: Time) -> Option<PendingPoll> {
        let is_sent = |poll: &mut PendingPoll| poll.sent_at == at;
        self.poll.take_if(is_sent).or_else(|| self.extra_poll.take_if(is_sent))
    }

    /// When the start of a run was sent.
    #[must_use]
    pub fn start_sent_at(&self, run: &RunKey) -> Option<Time> {
        self.runs.iter().find(|assigned| assigned.run == *run).map(|assigned| assigned.sent_at)
    }

    /// When the last stop of a run was sent.
    #[must_use]
    pub fn stop_sent_at(&self, run: &RunKey) -> Option<Time> {
        self.runs
            .iter()
            .find(|assigned| assigned.run == *run)
            .and_then(|assigned| assigned.stop_requested)
    }

    /// Whether it gets no starts any more after a look without answer; this process last stood still
    /// until `stood`.
    ///
    /// Time in which nothing was asked is no silence: an idle worker is looked at every few seconds.
    #[must_use]
    pub fn exceeds_silence_limit(&self, was_paused: Time, now: Time) -> bool {
        let unanswered = |from: Time| now.since(from.max(self.responded_at).max(was_paused));
        let silence = self.missed_since.map_or(Span::ZERO, unanswered);
        self.missed_polls >= MISSED_POLLS_LIMIT || silence >= SILENCE_LIMIT
    }

    /// Time that the worker may wait before it answers the next look.
    #[must_use]
    pub fn poll_wait(&self, answers: &ResponseTimes, now: Time) -> Span {
        let longest = if self.is_lossy(now) || answers.is_lossy() {
            // The sooner an end is expected, the more a lost look delays.
            let left = self.runs.iter().map(|assigned| assigned.remaining(now) / 2).min();
            left.map_or(LOSSY_POLL_WAIT, |left| left.clamp(MIN_POLL_WAIT, LOSSY_POLL_WAIT))
        } else {
            POLL_WAIT
        };
        // The next look extends the lease, so this one must be answered well before its end.
        let lease = self.lease_end.since(now + LEASE_SLACK) / 2;
        longest.min(lease.max(MIN_POLL_WAIT))
    }

    /// Time for the answer to an order.
    #[must_use]
    pub fn request_timeout(&self, answers: &ResponseTimes, now: Time) -> Span {
        answers.timeout(if self.is_lossy(now) { LOSSY_REQUEST_TIMEOUT } else { REQUEST_TIMEOUT })
    }

    fn is_lossy(&self, now: Time) -> bool {
        self.timed_out_at.is_some_and(|at| now.since(at) < LOSSY_PERIOD)
    }

    /// A lease from now on for all that runs, and a note of when it ends at the latest; none if a
    /// front may give its run up before.
    pub fn renew_lease(&mut self, now: Time) -> Option<Lease> {
        let length =
            lease_length(self.runs.iter().map(|assigned| assigned.seen_heartbeat).min(), now);
        if length > Span::ZERO { self.record_lease(length, now) } else { None }
    }

    /// The same with a further run; none if it would end before the next look extends it.
    pub fn lease_for_start(&mut self, further: &AssignedRun, now: Time) -> Option<Lease> {
        let runs = self.runs.iter().chain([further]);
        let length = lease_length(runs.map(|assigned| assigned.seen_heartbeat).min(), now);
        if length >= MIN_START_LEASE { self.record_lease(length, now) } else { None }
    }

    fn record_lease(&mut self, length: Span, now: Time) -> Option<Lease> {
        let (clock, at) = self.clock?;
        // The answer was under way for a while, so the worker's clock is ahead of this.
        let until = clock + now.since(at).as_ms() + length.as_ms();
        self.lease_end = self.lease_end.max(now + length + LEASE_SLACK);
        self.leased_at = now;
        Some(Lease { until })
    }
}
