//! Workers that this instance owns: it alone gives them orders.

use cranberryhatch_schema::fleet::{
    Claim, Ended, Freed, How, Room, Rooms, Run, Start, Stop, Takeover,
};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::{
    Command, End, Held, Listed, Listing, LookAnswer, Looked, Members, Need, Output, RunEnd, RunKey,
    Seen, StartAnswer, VecMap, Worker,
    held::Stage,
    members::{Owners, text_hash},
    note::{DropCause, Note},
    output::Message,
    worker::{Charge, STOP_TIME},
};

/// Time that a worker may wait for an end before it answers a look.
///
/// A quarter of the lease, so that two looks can be lost before a lease ends.
const LOOK_WAIT: Span = Span::from_ms(240);
/// Time between two looks at a worker on which nothing runs, to know that it obeys.
const IDLE_LOOK: Span = Span::from_ms(3_000);
/// Time after which a stop that did not show is sent again.
const STOP_AGAIN: Span = Span::from_ms(250);
/// Time that fronts have to claim runs that a new owner found.
const CLAIM_WAIT: Span = Span::from_ms(300);
/// Time between two tries to open a worker that does not answer.
const OPEN_AGAIN: Span = Span::from_ms(500);
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
}

impl Owner {
    /// No workers yet.
    #[must_use]
    pub fn new(me: InstanceId) -> Self {
        Self {
            me,
            workers: VecMap::default(),
            scheduler: None,
            reported: Time::ZERO,
            changed: Vec::new(),
            last_token_ms: 0,
            wall_ms: 0,
            fenced: VecMap::default(),
            strays: Vec::new(),
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
        for listed in listing.all() {
            if let Some(worker) = self.workers.get_mut(&listed.id) {
                if worker.listed != *listed {
                    worker.listed = listed.clone();
                    self.changed.push(listed.id.clone());
                }
            } else if owners.of(&listed.id, &listed.zone) == Some(&self.me)
                && !self.fenced.contains(&listed.id)
            {
                let token = self.next_token(0);
                let worker = Worker::new(listed.clone(), token, now);
                self.workers.insert(listed.id.clone(), worker);
            }
        }
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

    /// Starts a run for a front.
    pub fn start(&mut self, front: &InstanceId, start: Start, now: Time, out: &mut Output) {
        let Some(held) = Held::new(front.clone(), &start, now) else { return };
        let refuse = |owner: &Self, held: &Held, out: &mut Output| {
            send_end(held, &start.worker, How::NoRoom, Span::ZERO, out);
            owner.free(held, &start.worker, How::NoRoom, Span::ZERO, out);
        };
        let id = start.worker.parse::<WorkerId>().ok();
        let Some(worker) = id.and_then(|id| self.workers.get_mut(&id)) else {
            refuse(self, &held, out);
            return;
        };
        if worker.held.iter().any(|known| known.run == held.run) {
            return;
        }
        let others = worker.held.iter().any(|known| known.run.task == held.run.task);
        let room = worker.held.iter().fold(worker.listed.room, |room, h| room.without(&h.need));
        let takes = worker.is_open()
            && worker.token == start.token
            && worker.listed.service == start.service;
        let lease =
            if takes && !others && held.need.fits(&room) { worker.lease(now) } else { None };
        let Some(lease) = lease else {
            refuse(self, &held, out);
            return;
        };
        out.commands.push(Command::StartRun {
            worker: Box::new(worker.listed.clone()),
            token: worker.token,
            run: held.run.clone(),
            payload: start.payload,
            lease,
        });
        worker.held.push(held);
    }

    /// Takes the answer to a start.
    pub fn started(
        &mut self,
        id: &WorkerId,
        run: &RunKey,
        answer: StartAnswer,
        clock: Option<u64>,
        now: Time,
        out: &mut Output,
    ) {
        if self.stray_answered(id, run, answer, out) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        if let Some(clock) = clock {
            worker.set_clock(clock, now);
        }
        let Some(place) = worker.held.iter().position(|held| held.run == *run) else { return };
        match answer {
            StartAnswer::Started => {
                let held = &mut worker.held[place];
                held.stage = Stage::AtWork { since: now };
                if held.stopping.is_some() {
                    held.stopping = Some(now);
                    push_stop(worker, run, out);
                }
            }
            StartAnswer::Lost => {
                let until = worker.lease_end;
                let held = &mut worker.held[place];
                held.stage = Stage::Doubtful { until };
                held.stopping = Some(now);
                push_stop(worker, run, out);
            }
            StartAnswer::Fenced => {
                self.end(id, run, How::NoRoom, now, out);
                self.fenced(id, now, out);
            }
            StartAnswer::OtherLife => self.drop_worker(id, DropCause::OtherLife, now, out),
            StartAnswer::NoRoom => self.end(id, run, How::NoRoom, now, out),
            StartAnswer::Old => self.end(id, run, How::Old, now, out),
            StartAnswer::NotStarted | StartAnswer::Unsent => {
                self.end(id, run, How::NotStarted, now, out);
            }
            StartAnswer::Invalid => self.end(id, run, How::Failed, now, out),
        }
    }

    /// Stops a run for its front.
    pub fn stop(&mut self, front: &InstanceId, stop: &Stop, now: Time, out: &mut Output) {
        let Some(run) = stop.run.as_ref().map(RunKey::from) else { return };
        let id = stop.worker.parse::<WorkerId>().ok();
        let Some(worker) = id.and_then(|id| self.workers.get_mut(&id)) else { return };
        let Some(held) = worker.held.iter_mut().find(|held| held.run == run) else {
            if worker.charge == Charge::Open {
                // Starts come in order on a link, so either this one or the report of its end was lost
                // with an earlier link.
                let ended = ended_message(&run, &stop.worker, How::Stopped, Span::ZERO);
                out.send(front, Message::Ended(ended));
            }
            return;
        };
        if held.stopping.is_none() {
            held.stopping = Some(now);
            if held.stage != Stage::Starting {
                push_stop(worker, &run, out);
            }
        }
    }

    /// Takes the answer to a stop.
    pub fn stopped(&mut self, id: &WorkerId, run: &RunKey, accepted: bool, now: Time) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(held) = worker.held.iter_mut().find(|held| held.run == *run) else { return };
        if accepted && matches!(held.stage, Stage::Doubtful { .. }) {
            // The worker refuses the run from now on, and what it had started ends.
            held.stage = Stage::Doubtful { until: now + STOP_TIME };
        }
    }

    /// Stops the runs of a front that is out of reach.
    pub fn front_lost(&mut self, front: &InstanceId, now: Time, out: &mut Output) {
        for (_, worker) in self.workers.iter_mut() {
            if let Charge::Claiming { waits_for, .. } = &mut worker.charge {
                waits_for.retain(|other| other != front);
            }
            let mut stops = Vec::new();
            for held in &mut worker.held {
                if held.front == *front && held.stopping.is_none() {
                    held.stopping = Some(now);
                    if held.stage != Stage::Starting {
                        stops.push(held.run.clone());
                    }
                }
            }
            for run in stops {
                push_stop(worker, &run, out);
            }
        }
    }

    /// Takes what a worker says to a look.
    pub fn looked(&mut self, looked: Looked, members: &Members, now: Time, out: &mut Output) {
        let Looked { worker: id, token, asked, answer } = looked;
        let id = &id;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.token != token || worker.looking != Some(asked) {
            return;
        }
        worker.looking = None;
        match answer {
            LookAnswer::Seen(seen) => {
                worker.set_clock(seen.clock, now);
                worker.refusals = 0;
                if std::mem::take(&mut worker.dark) {
                    self.changed.push(id.clone());
                }
                match worker.charge {
                    Charge::Opening { .. } => self.opened(id, &seen, members, now, out),
                    Charge::Claiming { .. } | Charge::Open => self.seen(id, asked, &seen, now, out),
                }
            }
            LookAnswer::Fenced => self.fenced(id, now, out),
            LookAnswer::OtherLife => self.drop_worker(id, DropCause::OtherLife, now, out),
            LookAnswer::Lost => self.lost(id, now, out),
        }
    }

    /// A worker obeys this instance from now on.
    fn opened(
        &mut self,
        id: &WorkerId,
        seen: &Seen,
        members: &Members,
        now: Time,
        out: &mut Output,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.acked = seen.ended.iter().map(|end| end.number).max().unwrap_or(0);
        let message = Takeover {
            worker: id.to_string(),
            running: seen.running.iter().map(|running| Run::from(&running.run)).collect(),
            ended: seen.ended.iter().map(|end| found_end(id, end)).collect(),
            token: worker.token,
        };
        let peers: Vec<InstanceId> = members.peers().iter().map(|peer| peer.id.clone()).collect();
        let mut waits_for = peers.clone();
        waits_for.push(self.me.clone());
        for peer in &waits_for {
            out.send(peer, Message::Takeover(message.clone()));
        }
        if seen.running.is_empty() {
            worker.charge = Charge::Open;
            let token = worker.token;
            out.note(Note::WorkerOpened { worker: id.clone(), token, found: 0, kept: 0 });
            self.changed.push(id.clone());
            return;
        }
        let found = seen.running.len();
        worker.charge = Charge::Claiming { until: now + CLAIM_WAIT, waits_for, found };
        // Until its front claims it, a run counts as lost and is stopped in the end.
        worker.held =
            seen.running.iter().map(|running| orphan(&self.me, &running.run, now)).collect();
    }

    /// Takes a front's claim of runs that were found on a worker.
    pub fn claimed(&mut self, front: &InstanceId, claim: &Claim, now: Time, out: &mut Output) {
        let Ok(id) = claim.worker.parse::<WorkerId>() else { return };
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let Charge::Claiming { waits_for, .. } = &mut worker.charge else { return };
        waits_for.retain(|other| other != front);
        for start in &claim.runs {
            let Some(mut claimed) = Held::new(front.clone(), start, now) else { continue };
            if let Some(held) = worker.held.iter_mut().find(|held| held.run == claimed.run) {
                claimed.stage = held.stage;
                claimed.percent = held.percent;
                claimed.adopted = true;
                *held = claimed;
            }
        }
        self.settle_claims(&id, now, out);
    }

    /// Stops what nobody claimed once all fronts have answered or had time to.
    fn settle_claims(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Charge::Claiming { until, waits_for, found } = &worker.charge else { return };
        if !waits_for.is_empty() && now < *until {
            return;
        }
        let found = *found;
        let mut stops = Vec::new();
        for held in &mut worker.held {
            if held.kind.is_empty() {
                held.stopping = Some(now);
                stops.push(held.run.clone());
            }
        }
        let kept = worker.held.len() - stops.len();
        worker.charge = Charge::Open;
        let token = worker.token;
        for run in stops {
            push_stop(worker, &run, out);
        }
        out.note(Note::WorkerOpened { worker: id.clone(), token, found, kept });
        self.changed.push(id.clone());
    }

    /// Takes the state of a worker that obeys.
    fn seen(&mut self, id: &WorkerId, asked: Time, seen: &Seen, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut ends = Vec::new();
        for end in &seen.ended {
            if end.number <= worker.acked {
                continue;
            }
            worker.acked = end.number;
            ends.push((end.run.clone(), how(end.how)));
        }
        let mut stops = Vec::new();
        for running in &seen.running {
            match worker.held.iter_mut().find(|held| held.run == running.run) {
                Some(held) => {
                    held.percent = running.percent;
                    if matches!(held.stage, Stage::Doubtful { .. }) {
                        held.stage = Stage::AtWork { since: held.sent };
                    }
                }
                None => stops.push(running.run.clone()),
            }
        }
        for held in &worker.held {
            let listed = seen.running.iter().any(|running| running.run == held.run)
                || seen.ended.iter().any(|end| end.run == held.run);
            if !listed && held.is_gone(asked) {
                ends.push((held.run.clone(), How::Stopped));
            }
        }
        for run in stops {
            push_stop(worker, &run, out);
        }
        for (run, how) in ends {
            self.end(id, &run, how, now, out);
        }
        self.stop_stalled(id, now, out);
    }

    /// Stops runs that would end sooner if they were started again elsewhere.
    fn stop_stalled(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut stops = Vec::new();
        for held in &mut worker.held {
            if held.stopping.is_none() && held.is_stalled(now) {
                held.stopping = Some(now);
                held.stalled = true;
                out.note(Note::Stalled {
                    run: held.run.clone(),
                    worker: id.clone(),
                    took: now.since(held.sent),
                    expected: held.expected,
                    percent: held.percent,
                });
                stops.push(held.run.clone());
            }
        }
        for run in stops {
            push_stop(worker, &run, out);
        }
    }

    /// A look got no answer.
    fn lost(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if let Charge::Opening { at } = &mut worker.charge {
            *at = now + OPEN_AGAIN;
            return;
        }
        if !worker.dark {
            worker.dark = true;
            out.note(Note::WorkerDark {
                worker: id.clone(),
                silence: now.since(worker.answered),
                runs: worker.held.len(),
            });
            self.changed.push(id.clone());
        }
    }

    /// Another instance owns a worker now; it reports what runs there.
    fn fenced(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if matches!(worker.charge, Charge::Opening { .. }) {
            // The worker may know a token from a clock that is ahead of ours.
            worker.refusals += 1;
            worker.charge = Charge::Opening { at: now + REFUSED_PAUSE };
            let refusals = worker.refusals;
            let token = self.next_token(refusals);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.token = token;
            }
            return;
        }
        self.fenced.insert(id.clone(), now);
        self.drop_worker(id, DropCause::Fenced, now, out);
    }

    /// Whether the answer belongs to a start whose worker was given up meanwhile.
    ///
    /// If the worker refused it, nobody else reports that it never started.
    fn stray_answered(
        &mut self,
        id: &WorkerId,
        run: &RunKey,
        answer: StartAnswer,
        out: &mut Output,
    ) -> bool {
        let same = |(worker, held): &(WorkerId, Held)| worker == id && held.run == *run;
        let Some(place) = self.strays.iter().position(same) else { return false };
        let (_, held) = self.strays.swap_remove(place);
        if !matches!(answer, StartAnswer::Started | StartAnswer::Lost) {
            send_end(&held, id.as_str(), How::NoRoom, Span::ZERO, out);
        }
        true
    }

    fn drop_worker(&mut self, id: &WorkerId, cause: DropCause, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.remove(id) else { return };
        out.note(Note::WorkerDropped { worker: id.clone(), cause });
        if cause == DropCause::OtherLife {
            // The life that ran them is over.
            for held in &worker.held {
                send_end(held, id.as_str(), How::Stopped, Span::ZERO, out);
            }
        }
        if cause == DropCause::Fenced {
            let under_way = |held: &Held| held.stage == Stage::Starting;
            let strays = worker.held.iter().filter(|held| under_way(held)).cloned();
            self.strays.extend(strays.map(|held| (id.clone(), held)));
            self.strays.retain(|(_, held)| now.since(held.sent) < STRAY_LIMIT);
        } else if !matches!(worker.charge, Charge::Opening { .. }) {
            // A worker that never obeyed this instance may be another's.
            let room = Room { worker: id.to_string(), token: worker.token, ..Room::default() };
            self.report_to_scheduler(vec![room], out);
        }
    }

    /// Reports the end of a run to its front and to the scheduler.
    fn end(&mut self, id: &WorkerId, run: &RunKey, how: How, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(place) = worker.held.iter().position(|held| held.run == *run) else { return };
        let held = worker.held.remove(place);
        let how = if how == How::Stopped && held.stalled { How::Stalled } else { how };
        let took = match held.stage {
            Stage::AtWork { since } => now.since(since),
            Stage::Starting | Stage::Doubtful { .. } => now.since(held.sent),
        };
        out.note(Note::RunEnded { run: run.clone(), worker: id.clone(), how, took });
        send_end(&held, id.as_str(), how, took, out);
        self.free(&held, id.as_str(), how, took, out);
    }

    fn free(&self, held: &Held, worker: &str, how: How, took: Span, out: &mut Output) {
        let Some(scheduler) = &self.scheduler else { return };
        let freed = Freed {
            run: Some((&held.run).into()),
            worker: worker.to_owned(),
            how: how.into(),
            took_ms: to_u32(took),
            expected_ms: to_u32(held.expected),
            // The start of a run that was taken over is not known, so nothing is learnt from it.
            kind: if held.adopted { String::new() } else { held.kind.clone() },
        };
        out.send(scheduler, Message::Freed(freed));
    }

    /// Sends what is due: looks, stops, tries to open, reports.
    pub fn tick(
        &mut self,
        listing: &Listing,
        owners: &Owners,
        wall_ms: u64,
        now: Time,
        out: &mut Output,
    ) {
        self.wall_ms = wall_ms;
        let ids: Vec<WorkerId> = self.workers.iter().map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.settle_claims(id, now, out);
            self.stop_again(id, now, out);
            self.lapse(id, now, out);
            self.drop_unused(id, listing, owners, now, out);
        }
        self.look(now, out);
        self.report(now, out);
    }

    fn stop_again(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut stops = Vec::new();
        for held in &mut worker.held {
            let due = held.stopping.is_some_and(|at| now.since(at) >= STOP_AGAIN);
            if due && held.stage != Stage::Starting {
                held.stopping = Some(now);
                stops.push(held.run.clone());
            }
        }
        for run in stops {
            push_stop(worker, &run, out);
        }
    }

    /// Reports the runs of a worker that does not answer once their lease has ended.
    fn lapse(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get(id) else { return };
        if !worker.dark || now < worker.lease_end {
            return;
        }
        let runs: Vec<RunKey> = worker.held.iter().map(|held| held.run.clone()).collect();
        for run in runs {
            self.end(id, &run, How::Stopped, now, out);
        }
    }

    /// Gives up a worker that left the list, or that is another's while it does not answer here.
    fn drop_unused(
        &mut self,
        id: &WorkerId,
        listing: &Listing,
        owners: &Owners,
        now: Time,
        out: &mut Output,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        if !worker.held.is_empty() {
            return;
        }
        let unlisted = listing.get(id).is_none();
        let idle = matches!(worker.charge, Charge::Opening { .. }) || worker.dark;
        let others = owners.of(id, &worker.listed.zone).is_some_and(|owner| *owner != self.me);
        if unlisted || (idle && others && now >= worker.lease_end) {
            self.drop_worker(id, DropCause::Unlisted, now, out);
        }
    }

    /// Looks at each worker where a look is due.
    pub fn look(&mut self, now: Time, out: &mut Output) {
        for (_, worker) in self.workers.iter_mut() {
            if worker.looking.is_some() {
                continue;
            }
            let busy = !worker.held.is_empty();
            let due = match worker.charge {
                Charge::Opening { at } => now >= at,
                // A lease must not be extended for runs that nobody claims.
                Charge::Claiming { .. } => false,
                Charge::Open => busy || worker.dark || now.since(worker.looked) >= IDLE_LOOK,
            };
            if !due || (worker.dark && now.since(worker.looked) < LOOK_WAIT) {
                continue;
            }
            // A worker whose last look got no answer must be able to let the lease end.
            let leases = busy && !worker.dark && !matches!(worker.charge, Charge::Opening { .. });
            let wait = if leases { LOOK_WAIT } else { Span::ZERO };
            let lease = if leases { worker.lease(now) } else { None };
            worker.looking = Some(now);
            worker.looked = now;
            out.commands.push(Command::Look {
                worker: Box::new(worker.listed.clone()),
                token: worker.token,
                acked: worker.acked,
                lease,
                wait,
                fresh: worker.dark,
            });
        }
    }

    fn report(&mut self, now: Time, out: &mut Output) {
        let all = now.since(self.reported) >= REPORT_EVERY;
        if !all && self.changed.is_empty() {
            return;
        }
        let changed = std::mem::take(&mut self.changed);
        if all {
            self.reported = now;
        }
        let wanted = |id: &WorkerId| all || changed.contains(id);
        let rooms: Vec<Room> = self
            .workers
            .iter()
            .filter(|(id, worker)| wanted(id) && !matches!(worker.charge, Charge::Opening { .. }))
            .map(|(id, worker)| Room {
                worker: id.to_string(),
                token: worker.token,
                held: worker.held.iter().map(Held::report).collect(),
                open: worker.is_open(),
            })
            .collect();
        if !rooms.is_empty() {
            self.report_to_scheduler(rooms, out);
        }
    }

    fn report_to_scheduler(&self, rooms: Vec<Room>, out: &mut Output) {
        if let Some(scheduler) = &self.scheduler {
            out.send(scheduler, Message::Rooms(Rooms { rooms }));
        }
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

/// A run that was found on a worker and whose front is not known yet.
fn orphan(me: &InstanceId, run: &RunKey, now: Time) -> Held {
    Held {
        run: run.clone(),
        front: me.clone(),
        need: Need::default(),
        kind: String::new(),
        expected: Span::ZERO,
        stalls: 0,
        sent: now,
        stage: Stage::AtWork { since: now },
        stopping: None,
        stalled: false,
        percent: 0,
        adopted: true,
    }
}

fn push_stop(worker: &Worker, run: &RunKey, out: &mut Output) {
    out.commands.push(Command::StopRun {
        worker: Box::new(Listed::clone(&worker.listed)),
        token: worker.token,
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

fn found_end(worker: &WorkerId, end: &End) -> Ended {
    ended_message(&end.run, worker.as_str(), how(end.how), Span::ZERO)
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
