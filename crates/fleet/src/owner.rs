//! Workers that this instance owns: it alone gives them orders.

mod due;
mod looks;
mod orders;
mod rebirth;
mod relink;
mod takeover;

use cranberryhatch_schema::fleet::{Ended, Freed, How, KindTime, Room, Rooms, Takeover};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use relink::Unsure;

use crate::{
    AnswerTimes, Command, Held, Listed, Listing, Output, RestartBudget, RunEnd, RunKey, RunStats,
    VecMap, Worker,
    held::Stage,
    log_event::{LogEvent, OrderKind, Resolution, RestartCause},
    members::{Owners, text_hash},
    output::Message,
    worker::Charge,
};

/// Time between two looks at a worker that does not answer; a round trip takes 2 ms.
const DARK_LOOK: Span = Span::from_ms(100);
/// Time between two looks at a worker on which nothing runs, to know that it obeys.
const IDLE_LOOK: Span = Span::from_ms(3_000);
/// Time after which a stop that was accepted and does not show is sent again.
const STOP_AGAIN: Span = Span::from_ms(250);
/// Time after which a stop that was refused is sent again; a round trip takes 2 ms.
const LOST_STOP_AGAIN: Span = Span::from_ms(60);
/// Longest time after which an order without answer was seen to be carried out, and a second.
const LATE_LIMIT: Span = Span::from_secs(13);
/// Time between two ticks from which this process stood still; ticks come every 20 ms.
const STANDSTILL: Span = Span::from_ms(60);
/// Time that fronts have to claim runs that a new owner found.
const CLAIM_WAIT: Span = Span::from_ms(300);
/// Time between two looks under no token at a worker that does not answer.
const PROBE_AGAIN: Span = Span::from_ms(300);
/// Time from the first answer of a worker that did not answer before until it is opened: the way to
/// the instances behind it is back too, and links to them come up and are counted.
const REUNION: Span = Span::from_ms(1_000);
/// Time between two reports of all workers to the scheduler.
const REPORT_EVERY: Span = Span::from_ms(1_000);
/// Time for which a worker that another instance took is left alone.
///
/// Two instances that both believe that they own a worker would otherwise take turns.
const FENCED_PAUSE: Span = Span::from_ms(2_000);
/// Longest time that the answer to a start is awaited after its worker was given up.
const STRAY_LIMIT: Span = Span::from_ms(2_000);
/// Bits of a token that tell instances apart.
const TOKEN_BITS: u32 = 10;
/// Start of the time in tokens, 2024-01-01 in Unix milliseconds, so that tokens stay below 2^53.
const TOKEN_EPOCH_MS: u64 = 1_704_067_200_000;
/// First step by which a refused token is raised, in milliseconds; clocks differ by seconds.
const TOKEN_STEP_MS: u64 = 1_000;
/// Doublings of the step; the last one is over an hour.
const TOKEN_DOUBLINGS: u32 = 12;
/// Time between two tries to open a worker that knows a higher token.
const REFUSED_PAUSE: Span = Span::from_ms(40);

/// All workers of this instance.
#[derive(Debug)]
pub struct Owner {
    me: InstanceId,
    peers: Vec<InstanceId>,
    workers: VecMap<WorkerId, Worker>,
    scheduler: Option<InstanceId>,
    reported: Time,
    // Workers whose state the scheduler does not know yet.
    changed: Vec<WorkerId>,
    // Largest time in a token that is known, so that tokens never go back with the clock.
    last_token_ms: u64,
    // Unix time at the last tick.
    wall_ms: u64,
    // Workers that another instance took, and when.
    fenced: VecMap<WorkerId, Time>,
    // Starts that were under way when their worker was given up.
    strays: Vec<(WorkerId, Held)>,
    // Opened workers that run nothing, of which the fronts do not know yet.
    found_idle: Vec<Takeover>,
    unsure: Unsure,
    // Whether the zone drains are known, without which nothing is started.
    starts_allowed: bool,
    answers: AnswerTimes,
    restarts: RestartBudget,
    // When the last tick was, and when a gap between two ticks last ended.
    ticked: Option<Time>,
    stood: Time,
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
            reported: Time::ZERO,
            changed: Vec::new(),
            last_token_ms: 0,
            wall_ms: 0,
            fenced: VecMap::default(),
            strays: Vec::new(),
            found_idle: Vec::new(),
            unsure: Unsure::default(),
            starts_allowed: true,
            answers: AnswerTimes::default(),
            restarts: RestartBudget::default(),
            ticked: None,
            stood: Time::ZERO,
            run_stats: RunStats::default(),
        }
    }

    /// A token that is higher than all before, and that no other instance uses.
    fn next_token(&mut self, refusals: u32) -> u64 {
        let raise = match refusals {
            0 => 0,
            n => TOKEN_STEP_MS << n.min(TOKEN_DOUBLINGS),
        };
        let ms = self.wall_ms.saturating_sub(TOKEN_EPOCH_MS) + raise;
        self.last_token_ms = ms.max(self.last_token_ms + 1);
        (self.last_token_ms << TOKEN_BITS) | (text_hash(self.me.as_str()) & ((1 << TOKEN_BITS) - 1))
    }

    /// Opens the workers that are this instance's by the list and the members, and takes over
    /// what the list says of the others.
    pub fn assign(&mut self, listing: &Listing, owners: &Owners, wall_ms: u64, now: Time) {
        self.wall_ms = wall_ms;
        self.fenced.retain(|_, at| now.since(*at) < FENCED_PAUSE);
        self.relist(listing);
        self.run_stats.retain(|id| listing.get(id).is_some());
        for listed in listing.all() {
            if self.workers.contains(&listed.id) {
                continue;
            }
            if owners.of(&listed.id, &listed.zone) == Some(&self.me)
                && !self.fenced.contains(&listed.id)
            {
                let token = self.next_token(0);
                let worker = Worker::new(listed.clone(), token, now);
                self.workers.insert(listed.id.clone(), worker);
            }
        }
    }

    /// Takes what the list says of the workers that it has.
    pub fn relist(&mut self, listing: &Listing) {
        for (id, worker) in self.workers.iter_mut() {
            let Some(listed) = listing.get(id) else {
                worker.listed.drained = listing.is_zone_drained(&worker.listed.zone);
                continue;
            };
            if worker.listed != *listed {
                if listed.life.is_after(worker.life) {
                    // The worker may have restarted.
                    worker.looked = Time::ZERO;
                    worker.looking = None;
                }
                worker.listed = listed.clone();
                self.changed.push(id.clone());
            }
        }
    }

    /// Whether starts are carried out; they are refused while the zone drains are not known.
    pub const fn allow_starts(&mut self, allowed: bool) {
        self.starts_allowed = allowed;
    }

    /// Learns the token of another owner, so that the next one of this instance is higher.
    pub fn learn_token(&mut self, token: u64) {
        self.last_token_ms = self.last_token_ms.max(token >> TOKEN_BITS);
    }

    /// Reports to another scheduler from now on.
    pub fn follow(&mut self, scheduler: Option<InstanceId>) {
        self.scheduler = scheduler;
        self.reported = Time::ZERO;
    }

    /// Learns which instances are in reach.
    pub fn meet(&mut self, peers: Vec<InstanceId>) {
        self.peers = peers;
    }

    /// Tells the front of a run that it ended; all instances if no front has claimed it, since the
    /// claim may come late, or the front may only wait for the end.
    fn tell_end(&self, held: &Held, worker: &str, how: How, took: Span, out: &mut Output) {
        if !held.is_claimed() {
            for peer in &self.peers {
                out.send(peer, Message::Ended(ended_message(&held.run, worker, how, took)));
            }
        }
        send_end(held, worker, how, took, out);
    }

    /// Reports the end of a run to its front and to the scheduler.
    fn end(&mut self, id: &WorkerId, run: &RunKey, how: How, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(place) = worker.held.iter().position(|held| held.run == *run) else { return };
        let held = worker.held.remove(place);
        let restart = held.restart.filter(|_| how == How::Stopped);
        let how = if restart.is_some() { How::Stalled } else { how };
        let took = match held.stage {
            Stage::AtWork { since } => now.since(since),
            Stage::Starting | Stage::Doubtful { .. } => now.since(held.sent),
        };
        if matches!(held.stage, Stage::Doubtful { .. }) {
            let outcome = match how {
                How::Unanswered => Resolution::NeverRan,
                _ if worker.dark => Resolution::GivenUp,
                _ => Resolution::Ended,
            };
            out.log(LogEvent::Resolved {
                worker: id.clone(),
                order: OrderKind::Start,
                run: Some(run.clone()),
                outcome,
                took: now.since(held.sent),
            });
        }
        out.log(LogEvent::RunEnded { run: run.clone(), worker: id.clone(), how, took });
        self.unsure.report(&held.front, &ended_message(&held.run, id.as_str(), how, took), now);
        self.tell_end(&held, id.as_str(), how, took, out);
        if !held.mistimed {
            self.run_stats.learn(id, how, &held.kind, took, held.expected, now);
        }
        // The scheduler pauses a worker on which a run stalled; one that is late for its job is no reason.
        let how = if restart == Some(RestartCause::Late) { How::Stopped } else { how };
        self.free(&held, id.as_str(), how, took, out);
    }

    fn free(&self, held: &Held, worker: &str, how: How, took: Span, out: &mut Output) {
        let Some(scheduler) = &self.scheduler else { return };
        let freed = Freed {
            run: Some((&held.run).into()),
            worker: worker.to_owned(),
            how: how.into(),
            // Nothing is learnt from a time that is not the run time.
            took_ms: to_u32(if held.mistimed { held.expected } else { took }),
            expected_ms: to_u32(held.expected),
            kind: if held.mistimed { String::new() } else { held.kind.clone() },
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
    pub fn silence(&self, now: Time) -> Span {
        let open = self.workers.iter().filter(|(_, worker)| worker.charge == Charge::Open);
        open.map(|(_, worker)| now.since(worker.answered)).max().unwrap_or(Span::ZERO)
    }

    /// Number of workers that are open, and of all that this instance has.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let open = self.workers.iter().filter(|(_, worker)| worker.is_open()).count();
        (open, self.workers.len())
    }

    /// Fronts of the runs on all workers, sorted.
    #[must_use]
    pub fn fronts(&self) -> Vec<InstanceId> {
        let held = self.workers.iter().flat_map(|(_, worker)| &worker.held);
        let mut fronts: Vec<InstanceId> = held.map(|held| held.front.clone()).collect();
        fronts.sort();
        fronts.dedup();
        fronts
    }

    /// Number of runs on all workers.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.workers.iter().map(|(_, worker)| worker.held.len()).sum()
    }
}

fn push_stop(worker: &Worker, run: &RunKey, answers: &AnswerTimes, now: Time, out: &mut Output) {
    out.commands.push(Command::StopRun {
        worker: Box::new(Listed::clone(&worker.listed)),
        token: worker.token,
        patience: worker.patience(answers, now),
        run: run.clone(),
    });
}

const fn how(end: RunEnd) -> How {
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

fn send_end(held: &Held, worker: &str, how: How, took: Span, out: &mut Output) {
    out.send(&held.front, Message::Ended(ended_message(&held.run, worker, how, took)));
}

fn to_u32(span: Span) -> u32 {
    u32::try_from(span.as_ms()).unwrap_or(u32::MAX)
}
