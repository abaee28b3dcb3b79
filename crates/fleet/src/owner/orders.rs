//! Orders of the fronts: starts and stops, and what workers answer to them.

use cranberryhatch_schema::fleet::{How, Start, Stop};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use super::{LOST_STOP_AGAIN, Owner, STOP_AGAIN, ended_message, push_stop, rebirth::Age, send_end};
use crate::{
    AnswerTimes, Command, Held, Life, Output, RunKey, StartResponse, WorkerState,
    held::Stage,
    log_event::{DropCause, LogEvent, OrderKind, Resolution, StartRefusal},
    output::{Lease, Message},
    worker::{Charge, Worker},
};

impl Owner {
    /// Starts a run for a front.
    pub fn start(&mut self, front: &InstanceId, start: Start, now: Time, out: &mut Output) {
        let Some(held) = Held::new(front.clone(), &start, now) else { return };
        self.seen_by(front, held.seen, now);
        let Ok(id) = start.worker.parse::<WorkerId>() else {
            return send_end(&held, &start.worker, How::NotStarted, Span::ZERO, out);
        };
        let known = self.workers.get(&id).map(|worker| worker.held.as_slice()).unwrap_or_default();
        if known.iter().any(|known| known.run == held.run) {
            return;
        }
        let answers = self.answers;
        let (lease, worker) = match self.place(&id, &held, &start, now) {
            Ok(placed) => placed,
            Err(cause) => return self.refuse(&id, &held, cause, now, out),
        };
        out.commands.push(Command::StartRun {
            worker: Box::new(worker.listed.clone()),
            token: worker.token,
            patience: worker.patience(&answers, now),
            run: held.run.clone(),
            payload: start.payload,
            lease,
        });
        worker.held.push(held);
        self.restarts.earn();
    }

    /// A lease for a run on a worker, if there is room for it.
    fn place(
        &mut self,
        id: &WorkerId,
        held: &Held,
        start: &Start,
        now: Time,
    ) -> Result<(Lease, &mut Worker), StartRefusal> {
        let worker = self.workers.get_mut(id).ok_or(StartRefusal::Closed)?;
        let room =
            worker.held.iter().fold(worker.listed.room, |room, h| room.saturating_sub(&h.need));
        if worker.listed.drained {
            return Err(StartRefusal::ZoneDrained);
        }
        if !self.starts_allowed {
            return Err(StartRefusal::DrainsUnknown);
        }
        if !worker.is_open() {
            return Err(StartRefusal::Closed);
        }
        if worker.token != start.token {
            return Err(StartRefusal::Token);
        }
        if worker.listed.service != start.service {
            return Err(StartRefusal::Service);
        }
        if worker.held.iter().any(|known| known.run.task == held.run.task) {
            return Err(StartRefusal::OtherRun);
        }
        if !held.need.fits(&room) {
            return Err(StartRefusal::NoRoom);
        }
        let lease = worker.lease_with(held, now).ok_or(StartRefusal::Outdated)?;
        Ok((lease, worker))
    }

    fn refuse(
        &mut self,
        id: &WorkerId,
        held: &Held,
        cause: StartRefusal,
        now: Time,
        out: &mut Output,
    ) {
        let runs = self.workers.get(id).map(|worker| worker.held.as_slice()).unwrap_or_default();
        let oldest = runs.iter().chain([held]).map(|held| held.seen).min().unwrap_or(now);
        let (run, age) = (held.run.clone(), now.since(oldest));
        out.log(LogEvent::StartRefused { run, worker: id.clone(), cause, age });
        send_end(held, id.as_str(), How::NoRoom, Span::ZERO, out);
        self.free(held, id.as_str(), How::NoRoom, Span::ZERO, out);
    }

    /// Learns that a front has read a sign of life that this owner sent at `at`.
    pub fn seen_by(&mut self, front: &InstanceId, at: Time, now: Time) {
        for (_, worker) in self.workers.iter_mut() {
            for held in worker.held.iter_mut().filter(|held| held.wanted && held.front == *front) {
                held.seen = held.seen.max(at.min(now));
            }
        }
    }

    /// Takes the answer to a start.
    pub fn started(
        &mut self,
        id: &WorkerId,
        run: &RunKey,
        answer: StartResponse,
        clock: Option<u64>,
        now: Time,
        out: &mut Output,
    ) {
        self.started_in(id, run, answer, clock.map(|clock| (clock, Life::UNKNOWN)), now, out);
    }

    /// Takes the answer to a start, with the clock and the life of the worker that gave it.
    pub fn started_in(
        &mut self,
        id: &WorkerId,
        run: &RunKey,
        answer: StartResponse,
        from: Option<(u64, Life)>,
        now: Time,
        out: &mut Output,
    ) {
        if self.stray_answered(id, run, answer, out) {
            return;
        }
        let sent = self.workers.get(id).and_then(|worker| worker.sent_at(run));
        let stood = sent.is_some_and(|sent| self.stood_since(sent, now));
        let life = from.map_or(Life::UNKNOWN, |(_, life)| life);
        let age = if life.is_known() { self.age_of(id, life) } else { Age::Present };
        match age {
            Age::Present => {}
            Age::Earlier if answer == StartResponse::Started => {
                // It ended with that life.
                return self.end(id, run, How::Stopped, now, out);
            }
            Age::Earlier => {}
            Age::Later => self.reborn(id, &WorkerState::default(), now, out),
        }
        let worker = self.workers.get(id);
        if answer == StartResponse::Fenced && worker.is_some_and(Worker::is_unopened) {
            // The worker restarted and obeys the token under which it is opened again.
            return self.end(id, run, How::NoRoom, now, out);
        }
        // The clock of an earlier life would make leases long.
        let is_present = age != Age::Earlier
            && (life.is_known() || worker.is_none_or(|worker| !worker.life.is_known()));
        let clock = from.filter(|_| is_present).map(|(clock, _)| clock);
        if let Some(clock) = clock {
            self.check_life(id, clock, now, out);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let outlived = worker.held.iter().any(|held| held.run == *run && held.outlived);
        // The answer to a start that was sent before a restart may come from either life; after a restart
        // that this answer shows, no other clock is known.
        if let Some(clock) = clock.filter(|_| !outlived || !worker.has_clock()) {
            worker.set_clock(clock, now);
        }
        if !matches!(answer, StartResponse::Lost | StartResponse::Unsent) {
            self.answers.answered(sent.filter(|_| !stood).map(|sent| now.since(sent)));
        }
        let Some(place) = worker.held.iter().position(|held| held.run == *run) else { return };
        match answer {
            StartResponse::Started => {
                let held = &mut worker.held[place];
                held.stage = Stage::AtWork { since: now };
                held.mistimed = stood;
                if held.stopping.is_some() {
                    held.stopping = Some(now);
                    push_stop(worker, run, &self.answers, now, out);
                }
            }
            StartResponse::Lost => {
                if !stood {
                    self.answers.missed(worker.misses == 0);
                    worker.lost_at = Some(now);
                }
                let asked = worker.looks;
                let held = &mut worker.held[place];
                let waited = now.since(held.sent);
                let (worker_id, order) = (id.clone(), OrderKind::Start);
                let run = Some(run.clone());
                out.log(LogEvent::Unanswered {
                    worker: worker_id,
                    order,
                    run: run.clone(),
                    waited,
                });
                if held.stage != Stage::Starting {
                    // A look showed it at work.
                    let (worker, outcome) = (id.clone(), Resolution::Running);
                    return out.log(LogEvent::Resolved {
                        worker,
                        order,
                        run,
                        outcome,
                        took: waited,
                    });
                }
                held.stage = Stage::Doubtful { asked, accepted: None };
                held.mistimed = true;
                let unwanted = held.stopping.is_some();
                worker.wants_check = true;
                if let (true, Some(run)) = (unwanted, run) {
                    worker.held[place].stopping = Some(now);
                    push_stop(worker, &run, &self.answers, now, out);
                }
            }
            StartResponse::Fenced => {
                self.end(id, run, How::NoRoom, now, out);
                self.fenced(id, now, out);
            }
            StartResponse::OtherIncarnation => {
                self.drop_worker(id, DropCause::OtherIncarnation, now, out)
            }
            StartResponse::NoRoom => self.end(id, run, How::NoRoom, now, out),
            StartResponse::Old => self.end(id, run, How::Old, now, out),
            StartResponse::NotStarted | StartResponse::Unsent => {
                self.end(id, run, How::NotStarted, now, out);
            }
            StartResponse::Invalid => self.end(id, run, How::Failed, now, out),
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
        held.wanted = false;
        if held.stopping.is_none() {
            held.stopping = Some(now);
            if held.stage != Stage::Starting {
                push_stop(worker, &run, &self.answers, now, out);
            }
        }
    }

    /// Takes the answer to a stop.
    pub fn stopped(
        &mut self,
        id: &WorkerId,
        run: &RunKey,
        accepted: bool,
        now: Time,
        out: &mut Output,
    ) {
        let sent = self.workers.get(id).and_then(|worker| worker.stop_sent_at(run));
        let stood = sent.is_some_and(|sent| self.stood_since(sent, now));
        let Some(worker) = self.workers.get_mut(id) else { return };
        if accepted {
            self.answers.answered(None);
        } else if !stood {
            self.answers.missed(worker.misses == 0);
            worker.lost_at = Some(now);
        }
        let looks = worker.looks;
        let Some(held) = worker.held.iter_mut().find(|held| held.run == *run) else { return };
        let (worker_id, order) = (id.clone(), OrderKind::Stop);
        if !accepted {
            let waited = sent.map_or(Span::ZERO, |sent| now.since(sent));
            held.stop_lost.get_or_insert(now - waited);
            out.log(LogEvent::Unanswered {
                worker: worker_id,
                order,
                run: Some(run.clone()),
                waited,
            });
            // One that was refused and not lost is not sent again at the pace of the refusals.
            let pause = if waited < AnswerTimes::LEAST { LOST_STOP_AGAIN } else { Span::ZERO };
            held.stopping = Some(now + pause - STOP_AGAIN);
            return self.stop_again(id, now, out);
        }
        if let Some(from) = held.stop_lost.take() {
            let (run, outcome) = (Some(run.clone()), Resolution::Answered);
            let took = now.since(from);
            out.log(LogEvent::Resolved { worker: worker_id, order, run, outcome, took });
        }
        if let Stage::Doubtful { accepted, .. } = &mut held.stage {
            // The worker refuses the run from now on. A stop that is sent again must not put that off.
            accepted.get_or_insert(looks);
            worker.wants_check = true;
        }
    }

    /// Stops the runs of a front that is out of reach.
    pub fn front_lost(&mut self, front: &InstanceId, now: Time, out: &mut Output) {
        for (_, worker) in self.workers.iter_mut() {
            if let Charge::Claiming { waits_for, .. } = &mut worker.charge {
                waits_for.retain(|other| other != front);
            }
            let mut stops = Vec::new();
            for held in worker.held.iter_mut().filter(|held| held.front == *front) {
                held.wanted = false;
                if held.stopping.is_none() {
                    held.stopping = Some(now);
                    if held.stage != Stage::Starting {
                        stops.push(held.run.clone());
                    }
                }
            }
            for run in stops {
                push_stop(worker, &run, &self.answers, now, out);
            }
        }
    }

    /// Whether the answer belongs to a start whose worker was given up meanwhile.
    ///
    /// If the worker refused it, nobody else reports that it never started.
    pub(super) fn stray_answered(
        &mut self,
        id: &WorkerId,
        run: &RunKey,
        answer: StartResponse,
        out: &mut Output,
    ) -> bool {
        let same = |(worker, held): &(WorkerId, Held)| worker == id && held.run == *run;
        let Some(place) = self.strays.iter().position(same) else { return false };
        let (_, held) = self.strays.swap_remove(place);
        if !matches!(answer, StartResponse::Started | StartResponse::Lost) {
            send_end(&held, id.as_str(), How::NoRoom, Span::ZERO, out);
        }
        true
    }
}
