//! Workers that this instance owns; only the owner of a worker sends requests to it.

mod deferred;
mod polls;
mod reconnect;
mod requests;
mod restart;
mod takeover;
mod tick;

use cranberryhatch_schema::fleet::{Ended, Freed, How, KindTime, Room, Rooms, Takeover};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use reconnect::Reconnects;

use crate::{
    AssignedRun, Command, ListedWorker, LossLedger, Output, ResponseTimes, RestartBudget, RunEnd,
    RunKey, RunStats, VecMap, Worker, WorkerList,
    assigned_run::RunStage,
    log_event::{LogEvent, RequestKind, Resolution, RestartCause},
    members::{Owners, text_hash},
    output::Message,
    worker::Ownership,
};

/// Interval between polls of an unresponsive worker; a round trip takes 2 ms.
const UNRESPONSIVE_POLL_INTERVAL: Span = Span::from_ms(100);
/// Interval between polls of a worker without runs, which check that it still accepts the token.
const IDLE_POLL_INTERVAL: Span = Span::from_ms(3_000);
/// Delay before an accepted stop request is sent again if the run has not ended.
const STOP_RETRY_DELAY: Span = Span::from_ms(250);
/// Delay before a rejected stop request is sent again; a round trip takes 2 ms.
const LOST_STOP_RETRY_DELAY: Span = Span::from_ms(60);
/// Time after which a request without response can no longer take effect: the longest delay that
/// was observed, plus one second.
const LATE_REQUEST_LIMIT: Span = Span::from_secs(13);
/// Gap between two ticks that counts as a pause of this process; ticks come every 20 ms.
const PAUSE_THRESHOLD: Span = Span::from_ms(60);
/// Time that fronts have to claim the runs that a new owner has found.
const CLAIM_TIMEOUT: Span = Span::from_ms(300);
/// Interval between polls, without a fencing token, of a worker that does not respond.
const PROBE_INTERVAL: Span = Span::from_ms(300);
/// Delay from the first response of a worker that had been unreachable until it is opened. The
/// network path to the instances near it is back as well; their links are established and the
/// membership is updated in the meantime.
const REOPEN_DELAY: Span = Span::from_ms(1_000);
/// Interval between reports of all workers to the scheduler.
const REPORT_INTERVAL: Span = Span::from_ms(1_000);
/// Time for which this instance does not try to open a worker that another instance has taken over.
///
/// Otherwise, two instances that both believe they own a worker would take it from each other in
/// turns.
const FENCED_BACKOFF: Span = Span::from_ms(2_000);
/// Time for which the response to a start request is awaited after its worker was dropped.
const ABANDONED_START_TIMEOUT: Span = Span::from_ms(2_000);
/// Number of low bits of a fencing token that identify the instance.
const TOKEN_ID_BITS: u32 = 10;
/// Epoch of the timestamps in fencing tokens, 2024-01-01 in Unix milliseconds; it keeps tokens
/// below 2^53.
const TOKEN_EPOCH_MS: u64 = 1_704_067_200_000;
/// Base amount by which a rejected token is raised, in milliseconds; clocks differ by seconds.
const TOKEN_RAISE_MS: u64 = 1_000;
/// Maximum number of times that the amount doubles; the largest is over an hour.
const MAX_TOKEN_DOUBLINGS: u32 = 12;
/// Delay before another attempt to open a worker that knows a higher token.
const FENCED_RETRY_DELAY: Span = Span::from_ms(40);

/// The workers that this instance owns and their runs.
#[derive(Debug)]
pub struct Owner {
    me: InstanceId,
    peers: Vec<InstanceId>,
    workers: VecMap<WorkerId, Worker>,
    scheduler: Option<InstanceId>,
    reported_at: Time,
    // Workers whose changes have not been reported to the scheduler.
    unreported: Vec<WorkerId>,
    // Latest timestamp seen in a token; tokens stay monotonic even if the clock is set back.
    last_token_ms: u64,
    // Unix time at the last tick.
    wall_ms: u64,
    // Workers that another instance has taken over, with the time.
    fenced_at: VecMap<WorkerId, Time>,
    // Number of start and stop requests that were sent, which identifies their responses.
    requests_sent: u64,
    // Start requests that were in flight when their worker was dropped.
    abandoned_starts: Vec<(WorkerId, AssignedRun)>,
    // Opened workers without runs that have not been announced to the fronts.
    opened_idle: Vec<Takeover>,
    reconnects: Reconnects,
    // Whether the zone drains are known; no run is started otherwise.
    starts_allowed: bool,
    response_times: ResponseTimes,
    restarts: RestartBudget,
    // Time of the last tick, and the end of the last gap between ticks.
    last_tick: Option<Time>,
    paused_until: Time,
    run_stats: RunStats,
    // Workers that were lost under runs, and when the scheduler was last told of them.
    losses: LossLedger,
    losses_reported_at: Time,
    losses_changed: bool,
}

impl Owner {
    /// Creates an owner without workers.
    #[must_use]
    pub fn new(me: InstanceId) -> Self {
        Self {
            me,
            peers: Vec::new(),
            workers: VecMap::default(),
            scheduler: None,
            reported_at: Time::ZERO,
            unreported: Vec::new(),
            last_token_ms: 0,
            wall_ms: 0,
            fenced_at: VecMap::default(),
            requests_sent: 0,
            abandoned_starts: Vec::new(),
            opened_idle: Vec::new(),
            reconnects: Reconnects::default(),
            starts_allowed: true,
            response_times: ResponseTimes::default(),
            restarts: RestartBudget::default(),
            last_tick: None,
            paused_until: Time::ZERO,
            run_stats: RunStats::default(),
            losses: LossLedger::default(),
            losses_reported_at: Time::ZERO,
            losses_changed: false,
        }
    }

    /// Returns a token that is higher than all earlier ones and unique to this instance.
    fn next_token(&mut self, rejections: u32) -> u64 {
        let raise = match rejections {
            0 => 0,
            n => TOKEN_RAISE_MS << n.min(MAX_TOKEN_DOUBLINGS),
        };
        let ms = self.wall_ms.saturating_sub(TOKEN_EPOCH_MS) + raise;
        self.last_token_ms = ms.max(self.last_token_ms + 1);
        (self.last_token_ms << TOKEN_ID_BITS)
            | (text_hash(self.me.as_str()) & ((1 << TOKEN_ID_BITS) - 1))
    }

    /// Starts to open the workers that this instance should own and updates those that it has.
    pub fn assign(&mut self, list: &WorkerList, owners: &Owners, wall_ms: u64, now: Time) {
        self.wall_ms = wall_ms;
        self.fenced_at.retain(|_, at| now.since(*at) < FENCED_BACKOFF);
        self.update_listed(list);
        self.run_stats.retain(|id| list.get(id).is_some());
        for listed in list.all() {
            if self.workers.contains(&listed.id) {
                continue;
            }
            if owners.of(&listed.id, &listed.zone) == Some(&self.me)
                && !self.fenced_at.contains(&listed.id)
            {
                let token = self.next_token(0);
                let worker = Worker::new(listed.clone(), token, now);
                self.workers.insert(listed.id.clone(), worker);
            }
        }
    }

    /// Updates the listed attributes of the workers that this instance has.
    pub fn update_listed(&mut self, list: &WorkerList) {
        for (id, worker) in self.workers.iter_mut() {
            let Some(listed) = list.get(id) else {
                worker.listed.drained = list.is_zone_drained(&worker.listed.zone);
                continue;
            };
            if worker.listed != *listed {
                let is_new = listed.incarnation != worker.listed.incarnation;
                if is_new && listed.incarnation.is_other(worker.incarnation) {
                    // The worker may have restarted, so it is polled at once.
                    worker.polled_at = Time::ZERO;
                    worker.forget_poll();
                }
                worker.listed = listed.clone();
                self.unreported.push(id.clone());
            }
        }
    }

    /// Sets whether start requests are accepted; they are refused while the zone drains are
    /// unknown.
    pub const fn allow_starts(&mut self, allowed: bool) {
        self.starts_allowed = allowed;
    }

    /// Records the token of another owner, so that the next token of this instance is higher.
    pub fn observe_token(&mut self, token: u64) {
        self.last_token_ms = self.last_token_ms.max(token >> TOKEN_ID_BITS);
    }

    /// Sets the scheduler to which workers are reported from now on.
    pub fn set_scheduler(&mut self, scheduler: Option<InstanceId>) {
        self.scheduler = scheduler;
        self.reported_at = Time::ZERO;
        self.losses_reported_at = Time::ZERO;
    }

    /// Sets the instances that are reachable.
    pub fn set_peers(&mut self, peers: Vec<InstanceId>) {
        self.peers = peers;
    }

    /// Sends the end of a run to its front, or to all instances if no front has claimed the run:
    /// the claim may still be on its way, or the front may only be waiting for the end.
    fn notify_end(
        &self,
        assigned: &AssignedRun,
        worker: &str,
        how: How,
        took: Span,
        out: &mut Output,
    ) {
        if !assigned.is_claimed() {
            for peer in &self.peers {
                out.send(peer, Message::Ended(end_of(assigned, worker, how, took)));
            }
        }
        send_end(assigned, worker, how, took, out);
    }

    /// Removes a run that has ended and reports the end to its front and to the scheduler.
    fn end(&mut self, id: &WorkerId, run: &RunKey, how: How, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(index) = worker.runs.iter().position(|assigned| assigned.run == *run) else {
            return;
        };
        let assigned = worker.runs.remove(index);
        let restart = assigned.restart_cause.filter(|_| how == How::Stopped);
        let how = if restart.is_some() { How::Stalled } else { how };
        let took = now.since(assigned.active_since());
        if matches!(assigned.stage, RunStage::Unconfirmed { .. }) {
            let outcome = match how {
                How::Unanswered => Resolution::NeverRan,
                _ if worker.unresponsive => Resolution::GivenUp,
                _ => Resolution::Ended,
            };
            out.log(LogEvent::Resolved {
                worker: id.clone(),
                request: RequestKind::Start,
                run: Some(run.clone()),
                outcome,
                took: now.since(assigned.sent_at),
                front: assigned.claimed_front(),
            });
        }
        out.log(LogEvent::RunEnded {
            run: run.clone(),
            worker: id.clone(),
            how,
            took,
            front: assigned.claimed_front(),
            wanted: assigned.wanted,
        });
        self.record_loss(id, &assigned, how, now);
        self.reconnects.record_end(
            &assigned.front,
            &end_of(&assigned, id.as_str(), how, took),
            now,
        );
        self.notify_end(&assigned, id.as_str(), how, took, out);
        if !assigned.duration_unknown {
            self.run_stats.learn(id, how, &assigned.kind, took, assigned.expected, now);
        }
        // The scheduler pauses a worker on which a run stalled; it must not do so if the run was
        // only too late for its job.
        let how = if restart == Some(RestartCause::Late) { How::Stopped } else { how };
        self.report_freed(&assigned, id.as_str(), how, took, out);
    }

    fn record_loss(&mut self, id: &WorkerId, assigned: &AssignedRun, how: How, now: Time) {
        if matches!(how, How::Lost | How::Crashed) {
            let (task, incarnation) = (&assigned.run.task, assigned.incarnation);
            self.losses.record(task, id, incarnation, how == How::Crashed, now);
            self.losses_changed = true;
        }
    }

    fn report_freed(
        &self,
        assigned: &AssignedRun,
        worker: &str,
        how: How,
        took: Span,
        out: &mut Output,
    ) {
        let Some(scheduler) = &self.scheduler else { return };
        let freed = Freed {
            run: Some((&assigned.run).into()),
            worker: worker.to_owned(),
            how: how.into(),
            // If the duration is unknown, the scheduler must not learn from it.
            took_ms: to_u32(if assigned.duration_unknown { assigned.expected } else { took }),
            expected_ms: to_u32(assigned.expected),
            kind: if assigned.duration_unknown { String::new() } else { assigned.kind.clone() },
        };
        out.send(scheduler, Message::Freed(freed));
    }

    fn report_to_scheduler(
        &mut self,
        rooms: Vec<Room>,
        kinds: Vec<KindTime>,
        now: Time,
        out: &mut Output,
    ) {
        let Some(scheduler) = &self.scheduler else { return };
        let lost = self.losses.messages_since(self.losses_reported_at, now);
        self.losses_reported_at = now;
        out.send(scheduler, Message::Rooms(Rooms { rooms, kinds, lost }));
    }

    /// Returns the workers on which runs may outlast this instance's leases, or start after them, if
    /// it is lost now.
    #[must_use]
    pub fn unanswered_workers(&self, now: Time) -> Vec<String> {
        let outlasts = |worker: &Worker| {
            worker.unanswered.may_outlast_owner(now)
                || !worker.deferred.is_empty()
                || worker.runs.iter().any(AssignedRun::may_still_start)
        };
        let workers = self.workers.iter().filter(|(_, worker)| outlasts(worker));
        workers.map(|(id, _)| id.to_string()).collect()
    }

    /// Returns the longest time since an open worker last responded, which is when its lease was
    /// last extended.
    #[must_use]
    pub fn longest_silence(&self, now: Time) -> Span {
        let open = self.workers.iter().filter(|(_, worker)| worker.ownership == Ownership::Open);
        open.map(|(_, worker)| now.since(worker.responded_at)).max().unwrap_or(Span::ZERO)
    }

    /// Returns the number of open workers and of all workers that this instance has.
    #[must_use]
    pub fn worker_counts(&self) -> (usize, usize) {
        let open = self.workers.iter().filter(|(_, worker)| worker.is_open()).count();
        (open, self.workers.len())
    }

    /// Returns the fronts of the runs on all workers, also of deferred starts, sorted.
    #[must_use]
    pub fn fronts(&self) -> Vec<InstanceId> {
        let assigned = self.workers.iter().flat_map(|(_, worker)| worker.all_runs());
        let mut fronts: Vec<InstanceId> = assigned.map(|assigned| assigned.front.clone()).collect();
        fronts.sort();
        fronts.dedup();
        fronts
    }

    /// Returns the number of runs on all workers, including deferred starts.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.workers.iter().map(|(_, worker)| worker.all_runs().count()).sum()
    }
}

fn push_stop(
    worker: &mut Worker,
    run: &RunKey,
    response_times: &ResponseTimes,
    requests_sent: &mut u64,
    now: Time,
    out: &mut Output,
) {
    *requests_sent += 1;
    let number = *requests_sent;
    if let Some(assigned) = worker.runs.iter_mut().find(|assigned| assigned.run == *run) {
        assigned.first_stop.get_or_insert(number);
    }
    out.commands.push(Command::StopRun {
        number,
        worker: Box::new(ListedWorker::clone(&worker.listed)),
        token: worker.token,
        timeout: worker.request_timeout(response_times, now),
        run: run.clone(),
    });
}

const fn wire_end(end: RunEnd) -> How {
    match end {
        RunEnd::Done => How::Done,
        RunEnd::Failed => How::Failed,
        RunEnd::Stopped => How::Stopped,
    }
}

fn end_of(assigned: &AssignedRun, worker: &str, how: How, took: Span) -> Ended {
    Ended {
        run: Some((&assigned.run).into()),
        worker: worker.to_owned(),
        how: how.into(),
        took_ms: to_u32(took),
        start_number: assigned.start_number,
    }
}

fn send_end(assigned: &AssignedRun, worker: &str, how: How, took: Span, out: &mut Output) {
    out.send(&assigned.front, Message::Ended(end_of(assigned, worker, how, took)));
}

fn to_u32(span: Span) -> u32 {
    u32::try_from(span.as_ms()).unwrap_or(u32::MAX)
}
