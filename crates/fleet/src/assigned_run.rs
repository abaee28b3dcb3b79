//! A run that an owner has started on one of its workers, and when it is worth restarting
//! elsewhere.

use cranberryhatch_schema::fleet::{Held as HeldMessage, Start};
use cranberryhatch_types::{InstanceId, Span, Time};

use crate::{Incarnation, Need, PendingPoll, RunKey, log_event::RestartCause};

/// Allowance for the delay of progress reports.
const STALL_SLACK: Span = Span::from_ms(50);
/// Multiple of the expected run time after which a run is checked for a stall, in thousandths.
const STALL_CHECK_PERMILLE: u64 = 1_500;
/// Multiple of the expected run time that may remain at that check, in thousandths.
///
/// Run times of a kind spread by a factor of 1.5 either way. One in a thousand tasks therefore
/// takes 3.4 times as long by itself and has 1.9 times left. On a worker that is slower by a factor
/// of four or more, at least 2.5 times are left; a run without progress never ends.
const STALL_REMAINING_PERMILLE: u64 = 2_500;

/// Share of the expected run time after which a run is checked against its latency target, in
/// thousandths.
const LATE_CHECK_PERMILLE: u64 = 300;
/// Multiple of the expected run time that a run must take in all, by its progress, to show a slow
/// worker, in thousandths; run times spread by a factor of 1.5 either way.
const SLOW_TOTAL_PERMILLE: u64 = 2_500;
/// Time from a stop to the start on another worker: up to 50 ms for the stop, the rest for
/// messages.
const RESTART_OVERHEAD: Span = Span::from_ms(80);
/// Multiple of the expected run time that is allowed for the run on another worker, in thousandths.
const ELSEWHERE_PERMILLE: u64 = 1_150;
/// A run that is overdue is expected to run on for the time by which it is overdue, divided by
/// this.
const OVERDUE_DIVISOR: u64 = 4;

/// Lifecycle stage of a run, as far as the owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStage {
    /// The start request was sent and has no response yet.
    Starting,
    /// The worker has confirmed that it runs.
    Running {
        /// Time of that confirmation.
        since: Time,
        /// Number of the last poll that was sent before the confirmation was read. Responses to
        /// polls may overtake each other, so only a later one shows that the run is gone.
        last_poll: u64,
    },
    /// The start request got no response; the run may have started or may still start.
    Unconfirmed {
        /// Number of the last poll that was sent before; a later one shows whether it runs.
        last_poll: u64,
        /// Number of the last poll that was sent before the worker accepted a stop request, or
        /// `None` if it has not. A later poll that does not list the run shows that it will never
        /// start.
        stop_accepted: Option<u64>,
    },
}

/// A run on a worker of this owner.
#[derive(Clone, Debug)]
pub struct AssignedRun {
    /// Identifies the run.
    pub run: RunKey,
    /// Instance that coordinates the job.
    pub front: InstanceId,
    /// Resources that it occupies.
    pub need: Need,
    /// Kind of the job.
    pub kind: String,
    /// Expected run time on a worker of normal speed.
    pub expected: Span,
    /// Factor by which it takes longer on this worker, in thousandths; 0 stands for 1,000.
    pub pace: u32,
    /// Time by which it has to end to meet the latency target of its job; `None` if that is
    /// impossible or unknown.
    pub due: Option<Time>,
    /// Number of earlier runs of the task that were stopped for lack of progress.
    pub stalls: u32,
    /// Number of its start among those of the front; 0 if it is unknown.
    pub start_number: u64,
    /// Number of its start request among the requests of the owner; `None` if the owner sent none.
    pub request: Option<u64>,
    /// Time at which the start request was sent.
    pub sent_at: Time,
    /// Time of this owner's latest heartbeat that the front has read while it wanted the run.
    pub seen_heartbeat: Time,
    /// When the front accepted the job, by the local clock; `None` if unknown.
    pub submitted: Option<Time>,
    /// Whether the front still wants the run, as far as is known.
    pub wanted: bool,
    /// Lifecycle stage.
    pub stage: RunStage,
    /// Time at which the last stop request was sent or became due, if the run is to be stopped.
    pub stop_requested: Option<Time>,
    /// Number of the first stop request that was sent since its start request, or since the worker
    /// has restarted. Responses to earlier ones are not about this run.
    pub first_stop: Option<u64>,
    /// Reason for stopping it to restart it elsewhere, if it is.
    pub restart_cause: Option<RestartCause>,
    /// Time of the first stop request without response, if none has been accepted since.
    pub stop_lost_at: Option<Time>,
    /// Progress in percent.
    pub percent: u32,
    /// Time at which the worker last reported it.
    pub progressed_at: Time,
    /// Whether its start request was sent to an earlier incarnation of the worker, which may have
    /// carried it out.
    pub predates_restart: bool,
    /// Whether its run time is unknown: an earlier owner started it, or its end may have been
    /// noticed late.
    pub duration_unknown: bool,
    /// Incarnation of the worker to which its start request was sent.
    pub incarnation: Incarnation,
}

impl AssignedRun {
    /// Creates a run whose start request is being sent; `None` if the request is incomplete.
    #[must_use]
    pub fn new(front: InstanceId, start: &Start, now: Time) -> Option<Self> {
        Some(Self {
            run: RunKey::from(start.run.as_ref()?),
            front,
            need: Need::from(start.need.as_ref()?),
            kind: start.kind.clone(),
            expected: Span::from_ms(start.run_ms.into()),
            pace: start.pace_permille,
            due: (start.due_ms > 0).then(|| now + Span::from_ms(start.due_ms.into())),
            stalls: start.stalls,
            start_number: start.start_number,
            request: None,
            sent_at: now,
            // The front cannot have read a heartbeat from the future.
            seen_heartbeat: Time::from_ms(start.seen_ms).min(now),
            submitted: start.age_ms.map(|age| now - Span::from_ms(age.into())),
            wanted: true,
            stage: RunStage::Starting,
            stop_requested: None,
            first_stop: None,
            restart_cause: None,
            stop_lost_at: None,
            percent: 0,
            progressed_at: now,
            predates_restart: false,
            duration_unknown: false,
            incarnation: Incarnation::UNKNOWN,
        })
    }

    /// Returns the expected run time on this worker.
    #[must_use]
    pub fn expected_here(&self) -> Span {
        match u64::from(self.pace) {
            0 => self.expected,
            pace => self.expected * pace / 1_000,
        }
    }

    /// Returns whether a front has started or claimed the run at this owner.
    #[must_use]
    pub const fn is_claimed(&self) -> bool {
        !self.kind.is_empty()
    }

    /// Returns whether this front has started or claimed the run at this owner.
    #[must_use]
    pub fn is_of(&self, front: &InstanceId) -> bool {
        self.is_claimed() && self.front == *front
    }

    /// Returns the front that has started or claimed the run at this owner, if one has.
    #[must_use]
    pub fn claimed_front(&self) -> Option<InstanceId> {
        self.is_claimed().then(|| self.front.clone())
    }

    /// Returns its entry in the report to the scheduler.
    #[must_use]
    pub fn report(&self, now: Time) -> HeldMessage {
        let left_ms = u32::try_from(self.remaining(now).as_ms()).unwrap_or(u32::MAX);
        let front = if self.is_claimed() { self.front.to_string() } else { String::new() };
        HeldMessage {
            run: Some((&self.run).into()),
            need: Some((&self.need).into()),
            left_ms,
            front,
            age_ms: self
                .submitted
                .map(|at| u32::try_from(now.since(at).as_ms()).unwrap_or(u32::MAX)),
        }
    }

    /// Returns since when the worker is known to have the run, or when its start request was sent.
    #[must_use]
    pub const fn active_since(&self) -> Time {
        match self.stage {
            RunStage::Running { since, .. } => since,
            RunStage::Starting | RunStage::Unconfirmed { .. } => self.sent_at,
        }
    }

    /// Returns the expected remaining run time, extrapolated from its progress if it has any.
    #[must_use]
    pub fn remaining(&self, now: Time) -> Span {
        let since = self.active_since();
        let ran = now.since(since);
        let total = match u64::from(self.percent.min(100)) {
            0 => self.expected_here(),
            percent => {
                let seen = self.progressed_at.since(since).as_ms() * 100 / percent;
                // A run that was found on the worker had been running before.
                Span::from_ms(seen).max(self.expected_here() / 2)
            }
        };
        let left = Span::from_ms(total.as_ms().saturating_sub(ran.as_ms()));
        // The longer a run is overdue, the longer it is expected to go on.
        left.max(Span::from_ms(ran.as_ms().saturating_sub(total.as_ms()) / OVERDUE_DIVISOR))
    }

    /// Returns whether a poll whose status does not list the run shows that it is gone.
    #[must_use]
    pub fn is_gone(&self, poll: PendingPoll) -> bool {
        match self.stage {
            RunStage::Starting => false,
            RunStage::Running { last_poll, .. } => poll.number > last_poll,
            RunStage::Unconfirmed { stop_accepted: accepted, .. } => {
                accepted.is_some_and(|last| poll.number > last)
            }
        }
    }

    /// Marks that the worker has restarted; the new incarnation does not know of accepted stop
    /// requests.
    pub const fn mark_restarted(&mut self) {
        self.predates_restart = true;
        self.duration_unknown = true;
        self.forget_stops();
    }

    /// Forgets the stop requests, which the worker may have accepted in an earlier incarnation.
    pub const fn forget_stops(&mut self) {
        self.first_stop = None;
        if let RunStage::Unconfirmed { stop_accepted: accepted, .. } = &mut self.stage {
            *accepted = None;
        }
    }

    /// Returns whether its start request may still be carried out at any time.
    #[must_use]
    pub const fn may_still_start(&self) -> bool {
        matches!(self.stage, RunStage::Starting | RunStage::Unconfirmed { stop_accepted: None, .. })
    }

    /// Returns whether its worker is slow and the job gains from a restart elsewhere: by its
    /// progress the run ends too late for the latency target, while a restarted one is expected to
    /// meet it.
    ///
    /// A run without reported progress is judged by [`Self::is_stalled`] alone.
    ///
    /// A task that was stopped before for this reason may simply be long, so it gets more time.
    #[must_use]
    pub fn gains_from_restart(&self, now: Time) -> bool {
        let (RunStage::Running { since, .. }, Some(due)) = (self.stage, self.due) else {
            return false;
        };
        let ran = now.since(since).as_ms();
        let expected = self.expected_here().as_ms().max(1);
        let patience = 1 + 2 * u64::from(self.stalls);
        if ran < expected * patience * LATE_CHECK_PERMILLE / 1_000 + STALL_SLACK.as_ms() {
            return false;
        }
        let percent = u64::from(self.percent.min(100));
        let Some(total) = (ran * 100).checked_div(percent) else { return false };
        let is_slow = total >= expected * patience * SLOW_TOTAL_PERMILLE / 1_000;
        let here = since + Span::from_ms(total);
        let elsewhere = now + RESTART_OVERHEAD + (self.expected * ELSEWHERE_PERMILLE / 1_000);
        is_slow && here > due && elsewhere <= due
    }

    /// Returns whether a restart elsewhere would be faster than waiting for the end.
    ///
    /// A task that was stopped before for this reason may simply be long, so it gets more time.
    #[must_use]
    pub fn is_stalled(&self, now: Time) -> bool {
        let RunStage::Running { since, .. } = self.stage else { return false };
        let ran = now.since(since).as_ms();
        let patience = 1 + 2 * u64::from(self.stalls);
        let expected = self.expected_here().as_ms().max(1) * patience;
        let times = |factor: u64| expected * factor / 1_000 + STALL_SLACK.as_ms();
        if ran < times(STALL_CHECK_PERMILLE) {
            return false;
        }
        let percent = u64::from(self.percent);
        let left = (ran * (100 - percent.min(100))).checked_div(percent).unwrap_or(ran * 4);
        left > times(STALL_REMAINING_PERMILLE)
    }
}
