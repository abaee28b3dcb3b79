//! What workers say of their runs.

use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{Span, Time, WorkerId};

use super::{DARK_LOOK, IDLE_LOOK, Owner, PROBE_AGAIN, how, push_stop, rebirth::Age};
use crate::{
    AnswerTimes, Asked, Command, Held, Members, Output, PollResponse, PollResult, RunKey, Worker,
    WorkerState,
    held::Stage,
    log_event::{DropCause, LogEvent, OrderKind, Resolution, RestartCause},
    worker::Charge,
};

impl Owner {
    /// Takes what a worker says to a look.
    pub fn looked(&mut self, looked: PollResult, members: &Members, now: Time, out: &mut Output) {
        let PollResult { worker: id, token, asked: at, answer } = looked;
        let id = &id;
        let stood = self.stood_since(at, now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let asked = if worker.token == token { worker.take_asked(at) } else { None };
        if let Some(asked) = asked.filter(|_| answer != PollResponse::Lost) {
            let took = (asked.wait == Span::ZERO && !stood).then(|| now.since(at));
            self.answers.answered(took);
        }
        // The answer to an earlier look also tells that the worker has restarted.
        let age = match &answer {
            PollResponse::State(seen) => self.age_of(id, seen.life),
            _ => Age::Present,
        };
        if let (Age::Later, PollResponse::State(seen)) = (age, &answer) {
            self.reborn(id, seen, now, out);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(asked) = asked.filter(|_| worker.token == token && age != Age::Earlier) else {
            return;
        };
        if matches!(worker.charge, Charge::Probing { .. }) {
            return self.probed(id, asked, &answer, now, out);
        }
        match answer {
            PollResponse::State(seen) => {
                self.check_life(id, seen.clock, now, out);
                let Some(worker) = self.workers.get_mut(id) else { return };
                worker.set_clock(seen.clock, now);
                worker.refusals = 0;
                // An end that was listed after looks without answer may be older.
                let gap = stood || worker.misses > 0;
                worker.misses = 0;
                if let Some(from) = worker.missed_from.take() {
                    out.log(LogEvent::Resolved {
                        worker: id.clone(),
                        order: OrderKind::Poll,
                        run: None,
                        outcome: Resolution::Answered,
                        took: now.since(from),
                    });
                }
                if std::mem::take(&mut worker.dark) {
                    self.changed.push(id.clone());
                }
                match worker.charge {
                    Charge::Probing { .. } => {}
                    Charge::Opening { .. } => self.opened(id, &seen, members, now, out),
                    Charge::Claiming { .. } | Charge::Open => {
                        self.seen(id, asked, &seen, gap, now, out);
                    }
                }
            }
            PollResponse::Fenced => self.fenced(id, now, out),
            PollResponse::OtherIncarnation => {
                self.drop_worker(id, DropCause::OtherIncarnation, now, out)
            }
            PollResponse::Lost => self.lost(id, asked, now, out),
        }
    }

    /// Takes the state of a worker that obeys; `gap` tells whether its ends may be older than the answer.
    fn seen(
        &mut self,
        id: &WorkerId,
        asked: Asked,
        seen: &WorkerState,
        gap: bool,
        now: Time,
        out: &mut Output,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        // The worker answered another look later, and that answer was read before: it had the ends of
        // this one, and what runs may have ended since.
        let older = worker.seen_clock.saturating_sub(seen.clock);
        if older > 0 {
            return;
        }
        worker.seen_clock = seen.clock;
        let mut ends = Vec::new();
        for end in &seen.ended {
            if end.number <= worker.acked {
                continue;
            }
            worker.acked = end.number;
            ends.push((end.run.clone(), how(end.how)));
        }
        let mut stops = take_running(worker, asked, seen, now, out);
        for held in &mut worker.held {
            let listed = seen.running.iter().any(|running| running.run == held.run)
                || seen.ended.iter().any(|end| end.run == held.run);
            if listed {
                continue;
            }
            if held.is_gone(asked) {
                let how = match held.stage {
                    Stage::Doubtful { .. } if !held.outlived => How::Unanswered,
                    Stage::Doubtful { .. } | Stage::Starting | Stage::AtWork { .. } => How::Stopped,
                };
                ends.push((held.run.clone(), how));
            } else if matches!(held.stage, Stage::Doubtful { asked: last, .. } if asked.number > last)
                && held.stopping.is_none()
            {
                // It may still be started.
                held.stopping = Some(now);
                stops.push(held.run.clone());
            }
        }
        for held in &mut worker.held {
            held.mistimed |= gap && ends.iter().any(|(run, _)| *run == held.run);
        }
        for run in stops {
            push_stop(worker, &run, &self.answers, now, out);
        }
        for (run, how) in ends {
            self.end(id, &run, how, now, out);
        }
        self.stop_stalled(id, seen, now, out);
    }

    /// Starts anew with a worker whose clock shows that it restarted, where the platform tells no lives.
    pub(super) fn check_life(&mut self, id: &WorkerId, clock: u64, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.life.is_known() || !worker.is_other_life(clock) {
            return;
        }
        worker.outlive();
        let mut stops = Vec::new();
        let unproven = worker
            .held
            .iter_mut()
            .filter(|held| matches!(held.stage, Stage::Doubtful { .. }) && held.stopping.is_some());
        for held in unproven {
            // The new life may still carry out the start.
            held.stopping = Some(now);
            stops.push(held.run.clone());
        }
        for run in stops {
            push_stop(worker, &run, &self.answers, now, out);
        }
        self.run_stats.forget(id);
        self.changed.push(id.clone());
    }

    /// Stops runs that would end sooner if they were started again elsewhere.
    fn stop_stalled(&mut self, id: &WorkerId, seen: &WorkerState, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        // A run that is behind on a worker that is not slow is a long one, and would be elsewhere too.
        let is_slow = self.run_stats.is_slow(id, now);
        let mut stops = Vec::new();
        for held in &mut worker.held {
            // Progress that was not seen is no lack of progress.
            let listed = seen.running.iter().any(|running| running.run == held.run);
            if !listed || held.stopping.is_some() {
                continue;
            }
            let cause = if held.is_stalled(now) {
                Some(RestartCause::Stalled)
            } else {
                let late = is_slow && held.gains_elsewhere(now) && self.restarts.spend();
                late.then_some(RestartCause::Late)
            };
            if let Some(cause) = cause {
                held.stopping = Some(now);
                held.restart = Some(cause);
                out.log(LogEvent::Stalled {
                    run: held.run.clone(),
                    worker: id.clone(),
                    took: now.since(held.sent),
                    expected: held.expected,
                    percent: held.percent,
                    cause,
                });
                stops.push(held.run.clone());
            }
        }
        for run in stops {
            push_stop(worker, &run, &self.answers, now, out);
        }
    }

    /// A look got no answer.
    pub(super) fn lost(&mut self, id: &WorkerId, asked: Asked, now: Time, out: &mut Output) {
        let stood = self.stood_since(asked.at, now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.is_unopened() {
            worker.lost_at = Some(now);
            worker.charge = Charge::Probing { at: now + PROBE_AGAIN };
            worker.token = 0;
            return;
        }
        if !worker.dark {
            let (worker, waited) = (id.clone(), now.since(asked.at));
            out.log(LogEvent::Unanswered { worker, order: OrderKind::Poll, run: None, waited });
        }
        worker.missed_from.get_or_insert(asked.at);
        if stood {
            // The answer may have waited for this process.
            worker.misses = worker.misses.max(1);
        } else {
            self.answers.missed(worker.misses == 0);
            worker.lost_at = Some(now);
            worker.misses += 1;
        }
        let is_doubtful = |held: &Held| matches!(held.stage, Stage::Doubtful { .. });
        worker.wants_check |= worker.held.iter().any(is_doubtful);
        // A standstill may not have been noted by a tick yet.
        let stood_until = if stood { now } else { self.stood };
        if !worker.dark && worker.is_silent(stood_until, now) {
            worker.dark = true;
            out.log(LogEvent::WorkerSilent {
                worker: id.clone(),
                silence: now.since(worker.answered),
                runs: worker.held.len(),
            });
            self.changed.push(id.clone());
        }
    }

    /// Looks at each worker where a look is due.
    pub fn look(&mut self, now: Time, out: &mut Output) {
        let me = self.me.clone();
        self.seen_by(&me, now, now);
        for (_, worker) in self.workers.iter_mut() {
            if let Some(looking) = worker.looking {
                // Looks are told apart by the time at which they were sent.
                let free = worker.checking.is_none() && looking.at < now;
                if worker.wants_check && free && !worker.dark && worker.charge == Charge::Open {
                    worker.checking = Some(push_look(worker, &self.answers, true, now, out));
                }
                continue;
            }
            let busy = !worker.held.is_empty();
            let due = match worker.charge {
                Charge::Probing { at } | Charge::Opening { at } => now >= at,
                // A lease must not be extended for runs that nobody claims.
                Charge::Claiming { .. } => false,
                Charge::Open => {
                    let idle = now.since(worker.looked) >= IDLE_LOOK;
                    busy || worker.dark || worker.misses > 0 || idle
                }
            };
            let same = worker.checking.is_some_and(|checking| checking.at == now);
            if !due || same || (worker.dark && now.since(worker.looked) < DARK_LOOK) {
                continue;
            }
            let at_once = worker.wants_check || worker.misses > 0;
            worker.looking = Some(push_look(worker, &self.answers, at_once, now, out));
        }
    }
}

/// Takes what runs on a worker; runs that have to be stopped.
fn take_running(
    worker: &mut Worker,
    asked: Asked,
    seen: &WorkerState,
    now: Time,
    out: &mut Output,
) -> Vec<RunKey> {
    let mut stops = Vec::new();
    for running in &seen.running {
        let Some(held) = worker.held.iter_mut().find(|held| held.run == running.run) else {
            stops.push(running.run.clone());
            continue;
        };
        held.percent = running.percent;
        held.progressed = now;
        match held.stage {
            Stage::AtWork { .. } => continue,
            // A stop that was wanted has waited until the run is at work.
            Stage::Starting if held.stopping.is_some() => {
                held.stopping = Some(now);
                stops.push(held.run.clone());
            }
            Stage::Starting => {}
            Stage::Doubtful { .. } => out.log(LogEvent::Resolved {
                worker: worker.listed.id.clone(),
                order: OrderKind::Start,
                run: Some(held.run.clone()),
                outcome: Resolution::Running,
                took: now.since(held.sent),
            }),
        }
        // Until its start is answered, nobody knows when it was carried out.
        held.mistimed = true;
        held.stage = Stage::AtWork { since: asked.at };
    }
    stops
}

/// Sends a look; `at_once` tells whether the worker answers without waiting for an end.
fn push_look(
    worker: &mut Worker,
    answers: &AnswerTimes,
    at_once: bool,
    now: Time,
    out: &mut Output,
) -> Asked {
    // A worker that is silent must be able to let the lease end.
    let leases = !worker.held.is_empty() && !worker.dark && !worker.is_unopened();
    let lease = if leases { worker.lease(now) } else { None };
    let wait = if leases && !at_once { worker.look_wait(answers, now) } else { Span::ZERO };
    let asked = worker.ask(wait, now);
    out.commands.push(Command::Poll {
        worker: Box::new(worker.listed.clone()),
        token: worker.token,
        patience: worker.patience(answers, now),
        acked: worker.acked,
        lease,
        wait,
        fresh: worker.dark || worker.misses > 0,
    });
    asked
}
