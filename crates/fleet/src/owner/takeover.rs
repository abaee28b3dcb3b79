//! How a worker comes to this instance, and how it goes.

use cranberryhatch_schema::fleet::{Claim, Ended, How, Room, Run, Takeover, Takeovers};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use super::{
    CLAIM_WAIT, Owner, REFUSED_PAUSE, REUNION, STRAY_LIMIT, ended_message, how, push_stop,
};
use crate::{
    Asked, End, Held, Members, Need, Output, PollResponse, RunKey, WorkerState,
    held::Stage,
    log_event::{DropCause, LogEvent},
    output::Message,
    run_life::{LEASE, LEASE_SLACK},
    worker::Charge,
};

impl Owner {
    /// A worker that was out of reach answered, or did not again.
    pub(super) fn probed(
        &mut self,
        id: &WorkerId,
        asked: Asked,
        answer: &PollResponse,
        now: Time,
        out: &mut Output,
    ) {
        match answer {
            PollResponse::OtherIncarnation => {
                self.drop_worker(id, DropCause::OtherIncarnation, now, out)
            }
            PollResponse::Lost => self.lost(id, asked, now, out),
            PollResponse::State(_) | PollResponse::Fenced => {
                let token = self.next_token(0);
                let Some(worker) = self.workers.get_mut(id) else { return };
                worker.token = token;
                worker.charge = Charge::Opening { at: now + REUNION };
                out.log(LogEvent::WorkerReached { worker: id.clone(), opens_in: REUNION });
            }
        }
    }

    /// A worker obeys this instance from now on.
    pub(super) fn opened(
        &mut self,
        id: &WorkerId,
        seen: &WorkerState,
        members: &Members,
        now: Time,
        out: &mut Output,
    ) {
        self.settle_reborn(id, seen, now, out);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.seen_clock = seen.clock;
        worker.acked = seen.ended.iter().map(|end| end.number).max().unwrap_or(0);
        let message = Takeover {
            worker: id.to_string(),
            running: seen.running.iter().map(|running| Run::from(&running.run)).collect(),
            ended: seen.ended.iter().map(|end| found_end(id, end)).collect(),
            token: worker.token,
        };
        if seen.running.is_empty() {
            self.found_idle.push(message);
            worker.charge = Charge::Open;
            let token = worker.token;
            out.log(LogEvent::WorkerOpened { worker: id.clone(), token, found: 0, kept: 0 });
            self.changed.push(id.clone());
            return;
        }
        let mut waits_for: Vec<InstanceId> =
            members.peers().iter().map(|peer| peer.id.clone()).collect();
        waits_for.push(self.me.clone());
        for peer in &waits_for {
            out.send(peer, Message::Takeover(message.clone()));
        }
        let found = seen.running.len();
        worker.charge = Charge::Claiming { until: now + CLAIM_WAIT, waits_for, found };
        // What runs may still have a lease of the earlier owner.
        worker.lease_end = worker.lease_end.max(now + LEASE + LEASE_SLACK);
        // Until its front claims it, a run counts as lost and is stopped in the end.
        for running in &seen.running {
            if worker.held.iter().all(|held| held.run != running.run) {
                worker.held.push(orphan(&self.me, &running.run, now));
            }
        }
    }

    /// Tells all instances of the workers that were opened since the last tick and run nothing: starts of
    /// earlier owners do not run there any more.
    ///
    /// They come in one message: a start of all opens hundreds of workers within a few ticks.
    pub(super) fn tell_idle(&mut self, out: &mut Output) {
        if self.found_idle.is_empty() {
            return;
        }
        let takeovers = Takeovers { found: std::mem::take(&mut self.found_idle) };
        for peer in self.peers.iter().chain([&self.me]) {
            out.send(peer, Message::Takeovers(takeovers.clone()));
        }
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
                claimed.mistimed = true;
                *held = claimed;
            }
        }
        self.settle_claims(&id, now, out);
    }

    /// Stops what nobody claimed once all fronts have answered or had time to.
    pub(super) fn settle_claims(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Charge::Claiming { until, waits_for, found } = &worker.charge else { return };
        if !waits_for.is_empty() && now < *until {
            return;
        }
        let found = *found;
        let mut stops = Vec::new();
        for held in &mut worker.held {
            if !held.is_claimed() {
                held.stopping = Some(now);
                stops.push(held.run.clone());
            }
        }
        let kept = worker.held.len() - stops.len();
        worker.charge = Charge::Open;
        let token = worker.token;
        for run in stops {
            push_stop(worker, &run, &self.answers, now, out);
        }
        out.log(LogEvent::WorkerOpened { worker: id.clone(), token, found, kept });
        self.changed.push(id.clone());
    }

    /// Another instance owns a worker now; it reports what runs there.
    pub(super) fn fenced(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.is_unopened() {
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

    pub(super) fn drop_worker(
        &mut self,
        id: &WorkerId,
        cause: DropCause,
        now: Time,
        out: &mut Output,
    ) {
        let Some(worker) = self.workers.remove(id) else { return };
        out.log(LogEvent::WorkerDropped { worker: id.clone(), cause });
        if cause == DropCause::OtherIncarnation {
            // The life that ran them is over.
            self.run_stats.forget(id);
            for held in &worker.held {
                self.tell_end(held, id.as_str(), How::Stopped, Span::ZERO, out);
            }
        }
        if cause == DropCause::Fenced {
            let under_way = |held: &Held| held.stage == Stage::Starting;
            let strays = worker.held.iter().filter(|held| under_way(held)).cloned();
            self.strays.extend(strays.map(|held| (id.clone(), held)));
            self.strays.retain(|(_, held)| now.since(held.sent) < STRAY_LIMIT);
        } else if !worker.is_unopened() {
            // A worker that never obeyed this instance may be another's.
            let room = Room { worker: id.to_string(), token: worker.token, ..Room::default() };
            self.report_to_scheduler(vec![room], Vec::new(), out);
        }
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
        pace: 0,
        due: None,
        stalls: 0,
        sent: now,
        seen: Time::ZERO,
        wanted: false,
        stage: Stage::AtWork { since: now },
        stopping: None,
        restart: None,
        stop_lost: None,
        percent: 0,
        progressed: now,
        outlived: false,
        mistimed: true,
    }
}

fn found_end(worker: &WorkerId, end: &End) -> Ended {
    ended_message(&end.run, worker.as_str(), how(end.how), Span::ZERO)
}
