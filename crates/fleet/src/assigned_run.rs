//! A run that an owner has ordered on a worker.

use cranberryhatch_schema::fleet::{Held as HeldMessage, Start};
use cranberryhatch_types::{InstanceId, Span, Time};

use crate::{Need, PendingPoll, RunKey, log_event::RestartCause};

/// Slack in a forecast of progress, for the delay of reports.
const STALL_SLACK: Span = Span::from_ms(50);
/// Times the expected run time after which the progress of a run is judged, in thousandths.
const STALL_CHECK_PERMILLE: u64 = 1_500;
/// Times the expected run time that may be left by then, in thousandths.
///
/// Run times of a kind spread by a factor of 1.5 either way, so one in a thousand tasks takes 3.4
/// times as long by itself and has 1.9 times left; one on a worker that is four times slow or more
/// has at least 2.5 times left, and one that stands still has no end.
const STALL_REMAINING_PERMILLE: u64 = 2_500;

/// Share of the expected run time after which the progress of a run is compared with its objective, in
/// thousandths.
const LATE_CHECK_PERMILLE: u64 = 300;
/// Times the expected run time that a run takes in all, by its progress, if its worker is slow, in
/// thousandths; run times spread by a factor of 1.5 either way.
const SLOW_TOTAL_PERMILLE: u64 = 2_500;
/// Time from a stop to the start elsewhere: the stop takes 50 ms at most, messages the rest.
const RESTART_OVERHEAD: Span = Span::from_ms(80);
/// Times the expected run time that the start elsewhere may take, in thousandths.
const ELSEWHERE_PERMILLE: u64 = 1_150;
/// Divisor of the time for which a run is overdue that gives the time that it is expected to have left.
const OVERDUE_DIVISOR: u64 = 4;

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStage {
    /// The start was sent and not answered.
    Starting,
    /// The worker said that it is at work.
    Running {
        /// When that answer came.
        since: Time,
    },
    /// The start got no answer, so the run may be at work, or may be later.
    Unconfirmed {
        /// Number of the last look that was sent before; a later one shows whether it is at work.
        last_poll: u64,
        /// Number of the last look that was sent before the worker accepted a stop; none before. A later
        /// one that does not list the run shows that it never starts.
        stop_accepted: Option<u64>,
    },
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct AssignedRun {
    /// The run.
    pub run: RunKey,
    /// Instance that has the job.
    pub front: InstanceId,
    /// Room that it holds.
    pub need: Need,
    /// Kind of job.
    pub kind: String,
    /// Expected run time.
    pub expected: Span,
    /// Times that run time that a run takes on this worker, in thousandths; 0 for one.
    pub pace: u32,
    /// When it has to end for the objective of its job; none if it cannot, or that is not known.
    pub due: Option<Time>,
    /// Earlier runs of the task that were stopped for lack of progress.
    pub stalls: u32,
    /// When the start was sent.
    pub sent_at: Time,
    /// Latest sign of life of this owner that the front has read while it wanted the run.
    pub seen_heartbeat: Time,
    /// Whether the front wants the run, as far as is known.
    pub wanted: bool,
    /// What is known of it.
    pub stage: RunStage,
    /// Whether it is to be stopped, and when the stop was last sent.
    pub stop_requested: Option<Time>,
    /// Why it is stopped to be started again elsewhere, if it is.
    pub restart_cause: Option<RestartCause>,
    /// When the first stop was sent that got no answer, if none was accepted since.
    pub stop_lost_at: Option<Time>,
    /// Progress in percent.
    pub percent: u32,
    /// When the worker was last seen to say so.
    pub progressed_at: Time,
    /// Whether its start was sent to an earlier incarnation of the worker, which may have carried it out.
    pub predates_restart: bool,
    /// Whether its run time is not known: an earlier owner started it, or its end may have been seen
    /// late.
    pub duration_unknown: bool,
}

impl AssignedRun {
    /// A run whose start is being sent.
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
            sent_at: now,
            // The front cannot have read what this owner has not sent yet.
            seen_heartbeat: Time::from_ms(start.seen_ms).min(now),
            wanted: true,
            stage: RunStage::Starting,
            stop_requested: None,
            restart_cause: None,
            stop_lost_at: None,
            percent: 0,
            progressed_at: now,
            predates_restart: false,
            duration_unknown: false,
        })
    }

    /// Expected run time on this worker.
    #[must_use]
    pub fn expected_here(&self) -> Span {
        match u64::from(self.pace) {
            0 => self.expected,
            pace => self.expected * pace / 1_000,
        }
    }

    /// Whether a front has ordered or claimed it from this owner.
    #[must_use]
    pub const fn is_claimed(&self) -> bool {
        !self.kind.is_empty()
    }

    /// The report of it for the scheduler.
    #[must_use]
    pub fn report(&self, now: Time) -> HeldMessage {
        let left_ms = u32::try_from(self.remaining(now).as_ms()).unwrap_or(u32::MAX);
        HeldMessage { run: Some((&self.run).into()), need: Some((&self.need).into()), left_ms }
    }

    /// Expected time until its end, from its progress if there is any.
    #[must_use]
    pub fn remaining(&self, now: Time) -> Span {
        let since = match self.stage {
            RunStage::Running { since } => since,
            RunStage::Starting | RunStage::Unconfirmed { .. } => self.sent_at,
        };
        let ran = now.since(since);
        let total = match u64::from(self.percent.min(100)) {
            0 => self.expected_here(),
            percent => {
                let seen = self.progressed_at.since(since).as_ms() * 100 / percent;
                // A run that was found on the worker was at work before.
                Span::from_ms(seen).max(self.expected_here() / 2)
            }
        };
        let left = Span::from_ms(total.as_ms().saturating_sub(ran.as_ms()));
        // The longer a run is overdue, the longer it is expected to go on.
        left.max(Span::from_ms(ran.as_ms().saturating_sub(total.as_ms()) / OVERDUE_DIVISOR))
    }

    /// Whether a look that does not list the run shows that it is gone.
    #[must_use]
    pub fn is_gone(&self, poll: PendingPoll) -> bool {
        match self.stage {
            RunStage::Starting => false,
            RunStage::Running { since } => poll.sent_at > since,
            RunStage::Unconfirmed { stop_accepted: accepted, .. } => {
                accepted.is_some_and(|last| poll.number > last)
            }
        }
    }

    /// Takes note that its worker restarted; the new incarnation knows no stop that the earlier one accepted.
    pub const fn mark_restarted(&mut self) {
        self.predates_restart = true;
        self.duration_unknown = true;
        if let RunStage::Unconfirmed { stop_accepted: accepted, .. } = &mut self.stage {
            *accepted = None;
        }
    }

    /// Whether its start may still be carried out, at any time.
    #[must_use]
    pub const fn may_still_start(&self) -> bool {
        matches!(self.stage, RunStage::Starting | RunStage::Unconfirmed { stop_accepted: None, .. })
    }

    /// Whether its worker is slow and its job gains from a start elsewhere: by its progress the run ends
    /// too late for the objective, and one elsewhere is expected to end in time.
    ///
    /// A run that has reported_at no progress is judged by [`Self::is_stalled`] alone.
    ///
    /// A task that was stopped before for this reason may simply be long, so it gets more time.
    #[must_use]
    pub fn gains_from_restart(&self, now: Time) -> bool {
        let (RunStage::Running { since }, Some(due)) = (self.stage, self.due) else { return false };
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

    /// Whether starting again elsewhere is faster than waiting for the end.
    ///
    /// A task that was stopped before for this reason may simply be long, so it gets more time.
    #[must_use]
    pub fn is_stalled(&self, now: Time) -> bool {
        let RunStage::Running { since } = self.stage else { return false };
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
