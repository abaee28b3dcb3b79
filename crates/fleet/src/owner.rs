//! Workers that this instance owns: it alone gives them orders.

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
    AssignedRun, Command, ListedWorker, Output, ResponseTimes, RestartBudget, RunEnd, RunKey,
    RunStats, VecMap, Worker, WorkerList,
    assigned_run::RunStage,
    log_event::{LogEvent, RequestKind, Resolution, RestartCause},
    members::{Owners, text_hash},
    output::Message,
    worker::Ownership,
};

/// Time between two looks at a worker that does not answer; a round trip takes 2 ms.
const SILENT_POLL_INTERVAL: Span = Span::from_ms(100);
/// Time between two looks at a worker on which nothing runs, to know that it obeys.
const IDLE_POLL_INTERVAL: Span = Span::from_ms(3_000);
/// Time after which a stop that was accepted and does not show is sent again.
const STOP_RETRY_DELAY: Span = Span::from_ms(250);
/// Time after which a stop that was refused is sent again; a round trip takes 2 ms.
const LOST_STOP_RETRY_DELAY: Span = Span::from_ms(60);
/// Longest time after which an order without answer was seen to be carried out, and a second.
const LATE_REQUEST_LIMIT: Span = Span::from_secs(13);
/// Time between two ticks from which this process stood still; ticks come every 20 ms.
const PAUSE_THRESHOLD: Span = Span::from_ms(60);
/// Time that fronts have to claim runs that a new owner found.
const CLAIM_TIMEOUT: Span = Span::from_ms(300);
/// Time between two looks under no token at a worker that does not answer.
const PROBE_INTERVAL: Span = Span::from_ms(300);
/// Time from the first answer of a worker that did not answer before until it is opened: the way to
/// the instances behind it is back too, and links to them come up and are counted.
const REOPEN_DELAY: Span = Span::from_ms(1_000);
/// Time between two reports of all workers to the scheduler.
const REPORT_INTERVAL: Span = Span::from_ms(1_000);
/// Time for which a worker that another instance took is left alone.
///
/// Two instances that both believe that they own a worker would otherwise take turns.
const FENCED_BACKOFF: Span = Span::from_ms(2_000);
/// Longest time that the answer to a start is awaited after its worker was given up.
const ABANDONED_START_TIMEOUT: Span = Span::from_ms(2_000);
/// Bits of a token that tell instances apart.
const TOKEN_ID_BITS: u32 = 10;
/// Start of the time in tokens, 2024-01-01 in Unix milliseconds, so that tokens stay below 2^53.
const TOKEN_EPOCH_MS: u64 = 1_704_067_200_000;
/// First step by which a refused token is raised, in milliseconds; clocks differ by seconds.
const TOKEN_RAISE_MS: u64 = 1_000;
/// Doublings of the step; the last one is over an hour.
const MAX_TOKEN_DOUBLINGS: u32 = 12;
/// Time between two tries to open a worker that knows a higher token.
const FENCED_RETRY_DELAY: Span = Span::from_ms(40);

/// All workers of this instance.
#[derive(Debug)]
pub struct Owner {
    me: InstanceId,
    peers: Vec<InstanceId>,
    workers: VecMap<WorkerId, Worker>,
    scheduler: Option<InstanceId>,
    reported_at: Time,
    // Workers whose state the scheduler does not know yet.
    unreported: Vec<WorkerId>,
    // Largest time in a token that is known, so that tokens never go back with the clock.
    last_token_ms: u64,
    // Unix time at the last tick.
    wall_ms: u64,
    // Workers that another instance took, and when.
    fenced_at: VecMap<WorkerId, Time>,
    // Starts that were under way when their worker was given up.
    abandoned_starts: Vec<(WorkerId, AssignedRun)>,
    // Opened workers that run nothing, of which the fronts do not know yet.
    opened_idle: Vec<Takeover>,
    reconnects: Reconnects,
    // Whether the zone drains are known, without which nothing is started.
    starts_allowed: bool,
    response_times: ResponseTimes,
    restarts: RestartBudget,
    // When the last tick was, and when a gap between two ticks last ended.
    last_tick: Option<Time>,
    paused_until: Time,
    run_stats: RunStats,
}

impl Owner {
    /// No workers yet.
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
            abandoned_starts: Vec::new(),
            opened_idle: Vec::new(),
            reconnects: Reconnects::default(),
            starts_allowed: true,
            response_times: ResponseTimes::default(),
            restarts: RestartBudget::default(),
            last_tick: None,
            paused_until: Time::ZERO,
            run_stats: RunStats::default(),
        }
    }

    /// A token that is higher than all before, and that no other instance uses.
    fn next_token(&mut self, refusals: u32) -> u64 {
        let raise = match refusals {
            0 => 0,
            n => TOKEN_RAISE_MS << n.min(MAX_TOKEN_DOUBLINGS),
        };
        let ms = self.wall_ms.saturating_sub(TOKEN_EPOCH_MS) + raise;
        self.last_token_ms = ms.max(self.last_token_ms + 1);
        (self.last_token_ms << TOKEN_ID_BITS)
            | (text_hash(self.me.as_str()) & ((1 << TOKEN_ID_BITS) - 1))
    }

    /// Opens the workers that are this instance's by the list and the members, and takes over
    /// what the list says of the others.
    pub fn assign(&mut self, listing: &WorkerList, owners: &Owners, wall_ms: u64, now: Time) {
        self.wall_ms = wall_ms;
        self.fenced_at.retain(|_, at| now.since(*at) < FENCED_BACKOFF);
        self.update_listed(listing);
        self.run_stats.retain(|id| listing.get(id).is_some());
        for listed in listing.all() {
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

    /// Takes what the list says of the workers that it has.
    pub fn update_listed(&mut self, listing: &WorkerList) {
        for (id, worker) in self.workers.iter_mut() {
            let Some(listed) = listing.get(id) else {
                worker.listed.drained = listing.is_zone_drained(&worker.listed.zone);
                continue;
            };
            if worker.listed != *listed {
                if listed.incarnation.is_after(worker.incarnation) {
                    // The worker may have restarted.
                    worker.polled_at = Time::ZERO;
                    worker.poll = None;
                }
                worker.listed = listed.clone();
                self.unreported.push(id.clone());
            }
        }
    }

    /// Whether starts are carried out; they are refused while the zone drains are not known.
    pub const fn allow_starts(&mut self, allowed: bool) {
        self.starts_allowed = allowed;
    }

    /// Learns the token of another owner, so that the next one of this instance is higher.
    pub fn observe_token(&mut self, token: u64) {
        self.last_token_ms = self.last_token_ms.max(token >> TOKEN_ID_BITS);
    }

    /// Reports to another scheduler from now on.
    pub fn set_scheduler(&mut self, scheduler: Option<InstanceId>) {
        self.scheduler = scheduler;
        self.reported_at = Time::ZERO;
    }

    /// Learns which instances are in reach.
    pub fn set_peers(&mut self, peers: Vec<InstanceId>) {
        self.peers = peers;
    }

    /// Tells the front of a run that it ended; all instances if no front has claimed it, since the
    /// claim may come late, or the front may only wait for the end.
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
                out.send(peer, Message::Ended(ended_message(&assigned.run, worker, how, took)));
            }
        }
        send_end(assigned, worker, how, took, out);
    }

    /// Reports the end of a run to its front and to the scheduler.
    fn end(&mut self, id: &WorkerId, run: &RunKey, how: How, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(place) = worker.runs.iter().position(|assigned| assigned.run == *run) else {
            return;
        };
        let assigned = worker.runs.remove(place);
        let restart = assigned.restart_cause.filter(|_| how == How::Stopped);
        let how = if restart.is_some() { How::Stalled } else { how };
        let took = match assigned.stage {
            RunStage::Running { since } => now.since(since),
            RunStage::Starting | RunStage::Unconfirmed { .. } => now.since(assigned.sent_at),
        };
        if matches!(assigned.stage, RunStage::Unconfirmed { .. }) {
            let outcome = match how {
                How::Unanswered => Resolution::NeverRan,
                _ if worker.silent => Resolution::GivenUp,
                _ => Resolution::Ended,
            };
            out.log(LogEvent::Resolved {
                worker: id.clone(),
                request: RequestKind::Start,
                run: Some(run.clone()),
                outcome,
                took: now.since(assigned.sent_at),
            });
        }
        out.log(LogEvent::RunEnded { run: run.clone(), worker: id.clone(), how, took });
        self.reconnects.record_end(
            &assigned.front,
            &ended_message(&assigned.run, id.as_str(), how, took),
            now,
        );
        self.notify_end(&assigned, id.as_str(), how, took, out);
        if !assigned.duration_unknown {
            self.run_stats.learn(id, how, &assigned.kind, took, assigned.expected, now);
        }
        // The scheduler pauses a worker on which a run stalled; one that is late for its job is no reason.
        let how = if restart == Some(RestartCause::Late) { How::Stopped } else { how };
        self.report_freed(&assigned, id.as_str(), how, took, out);
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
            // Nothing is learnt from a time that is not the run time.
            took_ms: to_u32(if assigned.duration_unknown { assigned.expected } else { took }),
            expected_ms: to_u32(assigned.expected),
            kind: if assigned.duration_unknown { String::new() } else { assigned.kind.clone() },
        };
        out.send(scheduler, Message::Freed(freed));
    }

    fn report_to_scheduler(&self, rooms: Vec<Room>, kinds: Vec<KindTime>, out: &mut Output) {
        if let Some(scheduler) = &self.scheduler {
            out.send(scheduler, Message::Rooms(Rooms { rooms, kinds }));
        }
    }

    /// Longest time since an open worker last answered, which is when its lease was last extended.
    #[must_use]
    pub fn longest_silence(&self, now: Time) -> Span {
        let open = self.workers.iter().filter(|(_, worker)| worker.ownership == Ownership::Open);
        open.map(|(_, worker)| now.since(worker.responded_at)).max().unwrap_or(Span::ZERO)
    }

    /// Number of workers that are open, and of all that this instance has.
    #[must_use]
    pub fn worker_counts(&self) -> (usize, usize) {
        let open = self.workers.iter().filter(|(_, worker)| worker.is_open()).count();
        (open, self.workers.len())
    }

    /// Fronts of the runs on all workers, sorted.
    #[must_use]
    pub fn fronts(&self) -> Vec<InstanceId> {
        let assigned = self.workers.iter().flat_map(|(_, worker)| &worker.runs);
        let mut fronts: Vec<InstanceId> = assigned.map(|assigned| assigned.front.clone()).collect();
        fronts.sort();
        fronts.dedup();
        fronts
    }

    /// Number of runs on all workers.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.workers.iter().map(|(_, worker)| worker.runs.len()).sum()
    }
}

fn push_stop(worker: &Worker, run: &RunKey, answers: &ResponseTimes, now: Time, out: &mut Output) {
    out.commands.push(Command::StopRun {
        worker: Box::new(ListedWorker::clone(&worker.listed)),
        token: worker.token,
        patience: worker.request_timeout(answers, now),
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

fn ended_message(run: &RunKey, worker: &str, how: How, took: Span) -> Ended {
    Ended {
        run: Some(run.into()),
        worker: worker.to_owned(),
        how: how.into(),
        took_ms: to_u32(took),
    }
}

fn send_end(assigned: &AssignedRun, worker: &str, how: How, took: Span, out: &mut Output) {
    out.send(&assigned.front, Message::Ended(ended_message(&assigned.run, worker, how, took)));
}

fn to_u32(span: Span) -> u32 {
    u32::try_from(span.as_ms()).unwrap_or(u32::MAX)
}
