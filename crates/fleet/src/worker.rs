//! A worker that this instance owns, or is about to own.

use cranberryhatch_types::{InstanceId, Span, Time};

use crate::{
    AnswerTimes, Asked, Held, Life, Listed, RunKey,
    output::Lease,
    run_life::{LEASE_SLACK, lease_length},
};

/// Time that a worker may wait for an end before it answers a look.
///
/// A quarter of the lease, so that two looks can be lost before a lease ends.
const LOOK_WAIT: Span = Span::from_ms(240);
/// The same where orders get lost: ends are not seen while an answer is awaited that does not come. The
/// mean run time is 60 ms to 900 ms.
const LOSSY_LOOK_WAIT: Span = Span::from_ms(60);
/// Shortest time for which a worker is asked to wait because a lease is short; a look costs a request.
const LOOK_WAIT_MIN: Span = Span::from_ms(20);
/// Shortest lease of a start: the wait of the look that extends it, and its way.
const START_LEASE: Span = Span::from_ms(300);
/// Longest time for the answer to an order; a round trip takes 2 ms, and an instance with a small share
/// of a core reads it some ten milliseconds later.
const PATIENCE: Span = Span::from_ms(200);
/// The same for a worker whose answers get lost: until then it is not known whether a task has
/// started, and it is not started elsewhere.
const LOSSY_PATIENCE: Span = Span::from_ms(60);
/// Time for which a worker counts as one whose answers get lost.
const LOSSY_FOR: Span = Span::from_secs(3);
/// Looks in a row without answer after which a worker gets no starts.
const MISSES_LIMIT: u32 = 4;
/// Time without an answer to any look, while looks are out, after which it gets none even so, as its
/// lease ends soon.
const SILENCE_LIMIT: Span = Span::from_ms(475);

/// How far the clock of a worker goes back at least if the worker restarted; answers that are read out of
/// order differ by less.
pub const CLOCK_BACK: Span = Span::from_ms(1_000);

/// Whether this instance is in charge of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Charge {
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
    pub listed: Listed,
    /// Fencing token.
    pub token: u64,
    /// Whether this instance is in charge.
    pub charge: Charge,
    /// Ends up to this number were taken note of.
    pub acked: u64,
    /// Runs on it.
    pub held: Vec<Held>,
    /// The look that is under way.
    pub looking: Option<Asked>,
    /// A further look, sent while `looking` may wait for an end.
    pub checking: Option<Asked>,
    /// Whether a look is wanted that is answered at once.
    pub wants_check: bool,
    /// Looks that were sent.
    pub looks: u64,
    /// Looks in a row that got no answer.
    pub misses: u32,
    /// When the first of them was sent.
    pub missed_from: Option<Time>,
    /// When the last look was sent.
    pub looked: Time,
    /// When the worker last answered.
    pub answered: Time,
    /// Whether it is silent: several looks in a row got no answer.
    pub dark: bool,
    /// When an order last got no answer.
    pub lost_at: Option<Time>,
    /// Latest time at which a lease ends that this instance gave.
    pub lease_end: Time,
    /// Life that gave the last answer.
    pub life: Life,
    /// When an order that carries a lease was last sent.
    pub leased: Time,
    /// Looks at runs in a row that the worker refused for a higher token.
    pub refusals: u32,
    /// The worker's clock when it answered the latest look that was read.
    pub seen_clock: u64,
    // The worker's clock and ours at the moment of its last answer.
    clock: Option<(u64, Time)>,
}

impl Worker {
    /// A worker that is to be opened.
    #[must_use]
    pub const fn new(listed: Listed, token: u64, now: Time) -> Self {
        Self {
            listed,
            token,
            charge: Charge::Opening { at: now },
            acked: 0,
            held: Vec::new(),
            looking: None,
            checking: None,
            wants_check: false,
            looks: 0,
            misses: 0,
            missed_from: None,
            looked: Time::ZERO,
            answered: now,
            dark: false,
            lost_at: None,
            lease_end: Time::ZERO,
            life: Life::UNKNOWN,
            leased: Time::ZERO,
            refusals: 0,
            seen_clock: 0,
            clock: None,
        }
    }

    /// Whether the worker has not obeyed this instance yet.
    #[must_use]
    pub const fn is_unopened(&self) -> bool {
        matches!(self.charge, Charge::Probing { .. } | Charge::Opening { .. })
    }

    /// Whether it takes starts.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.charge == Charge::Open && !self.dark && !self.listed.draining
    }

    /// Opens a worker that restarted under a token; nothing of its earlier life counts.
    pub fn restart(&mut self, token: u64, now: Time) {
        self.token = token;
        self.charge = Charge::Opening { at: now };
        self.dark = false;
        self.forget_life();
    }

    fn forget_life(&mut self) {
        self.acked = 0;
        (self.looking, self.checking) = (None, None);
        self.misses = 0;
        self.missed_from = None;
        self.lost_at = None;
        self.refusals = 0;
        self.seen_clock = 0;
        self.clock = None;
    }

    /// Takes the worker's clock from an answer.
    pub fn set_clock(&mut self, clock: u64, now: Time) {
        self.clock = Some((clock, now));
        self.answered = now;
    }

    /// Whether the worker's clock is known.
    #[must_use]
    pub const fn has_clock(&self) -> bool {
        self.clock.is_some()
    }

    /// Whether an answer with this clock comes from a later life than the answers before.
    #[must_use]
    pub const fn is_other_life(&self, clock: u64) -> bool {
        self.seen_clock.saturating_sub(clock) > CLOCK_BACK.as_ms()
    }

    /// Forgets what belongs to an earlier life of a worker that obeys this instance as before.
    ///
    /// Orders under way may be carried out by the new life, so their runs are kept, and the end of their
    /// leases is.
    pub fn outlive(&mut self) {
        self.forget_life();
        self.wants_check = true;
        self.held.iter_mut().for_each(Held::outlive);
    }

    /// Counts a look that is sent now.
    pub fn ask(&mut self, wait: Span, now: Time) -> Asked {
        self.looks += 1;
        self.looked = now;
        self.wants_check = false;
        Asked { at: now, number: self.looks, wait }
    }

    /// Takes the look that was sent at `at` for over; none if none is under way.
    pub fn take_asked(&mut self, at: Time) -> Option<Asked> {
        let is_sent = |asked: &mut Asked| asked.at == at;
        self.looking.take_if(is_sent).or_else(|| self.checking.take_if(is_sent))
    }

    /// When the start of a run was sent.
    #[must_use]
    pub fn sent_at(&self, run: &RunKey) -> Option<Time> {
        self.held.iter().find(|held| held.run == *run).map(|held| held.sent)
    }

    /// When the last stop of a run was sent.
    #[must_use]
    pub fn stop_sent_at(&self, run: &RunKey) -> Option<Time> {
        self.held.iter().find(|held| held.run == *run).and_then(|held| held.stopping)
    }

    /// Whether it gets no starts any more after a look without answer; this process last stood still
    /// until `stood`.
    ///
    /// Time in which nothing was asked is no silence: an idle worker is looked at every few seconds.
    #[must_use]
    pub fn is_silent(&self, stood: Time, now: Time) -> bool {
        let unanswered = |from: Time| now.since(from.max(self.answered).max(stood));
        let silence = self.missed_from.map_or(Span::ZERO, unanswered);
        self.misses >= MISSES_LIMIT || silence >= SILENCE_LIMIT
    }

    /// Time that the worker may wait before it answers the next look.
    #[must_use]
    pub fn look_wait(&self, answers: &AnswerTimes, now: Time) -> Span {
        let longest = if self.is_lossy(now) || answers.is_lossy() {
            // The sooner an end is expected, the more a lost look delays.
            let left = self.held.iter().map(|held| held.left(now) / 2).min();
            left.map_or(LOSSY_LOOK_WAIT, |left| left.clamp(LOOK_WAIT_MIN, LOSSY_LOOK_WAIT))
        } else {
            LOOK_WAIT
        };
        // The next look extends the lease, so this one must be answered well before its end.
        let lease = self.lease_end.since(now + LEASE_SLACK) / 2;
        longest.min(lease.max(LOOK_WAIT_MIN))
    }

    /// Time for the answer to an order.
    #[must_use]
    pub fn patience(&self, answers: &AnswerTimes, now: Time) -> Span {
        answers.timeout(if self.is_lossy(now) { LOSSY_PATIENCE } else { PATIENCE })
    }

    fn is_lossy(&self, now: Time) -> bool {
        self.lost_at.is_some_and(|at| now.since(at) < LOSSY_FOR)
    }

    /// A lease from now on for all that runs, and a note of when it ends at the latest; none if a
    /// front may give its run up before.
    pub fn lease(&mut self, now: Time) -> Option<Lease> {
        let length = lease_length(self.held.iter().map(|held| held.seen).min(), now);
        if length > Span::ZERO { self.lease_for(length, now) } else { None }
    }

    /// The same with a further run; none if it would end before the next look extends it.
    pub fn lease_with(&mut self, further: &Held, now: Time) -> Option<Lease> {
        let runs = self.held.iter().chain([further]);
        let length = lease_length(runs.map(|held| held.seen).min(), now);
        if length >= START_LEASE { self.lease_for(length, now) } else { None }
    }

    fn lease_for(&mut self, length: Span, now: Time) -> Option<Lease> {
        let (clock, at) = self.clock?;
        // The answer was under way for a while, so the worker's clock is ahead of this.
        let until = clock + now.since(at).as_ms() + length.as_ms();
        self.lease_end = self.lease_end.max(now + length + LEASE_SLACK);
        self.leased = now;
        Some(Lease { until })
    }
}
