//! What workers say of their runs.

use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{Span, Time, WorkerId};

use super::{DARK_LOOK, IDLE_LOOK, Owner, PROBE_AGAIN, how, push_stop, rebirth::Age};
use crate::{
    Command, LookAnswer, Looked, Members, Output, Seen,
    held::Stage,
    note::{DropCause, Note},
    worker::Charge,
};

impl Owner {
    /// Takes what a worker says to a look.
    pub fn looked(&mut self, looked: Looked, members: &Members, now: Time, out: &mut Output) {
        let Looked { worker: id, token, asked, answer } = looked;
        let id = &id;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let awaited = worker.token == token && worker.looking == Some(asked);
        if awaited {
            worker.looking = None;
        }
        // The answer to an earlier look also tells that the worker has restarted.
        let age = match &answer {
            LookAnswer::Seen(seen) => self.age_of(id, seen.life),
            _ => Age::Present,
        };
        if let (Age::Later, LookAnswer::Seen(seen)) = (age, &answer) {
            self.reborn(id, seen, now, out);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !awaited || worker.token != token || age == Age::Earlier {
            return;
        }
        if matches!(worker.charge, Charge::Probing { .. }) {
            return self.probed(id, &answer, now, out);
        }
        match answer {
            LookAnswer::Seen(seen) => {
                worker.set_clock(seen.clock, now);
                worker.refusals = 0;
                if std::mem::take(&mut worker.dark) {
                    self.changed.push(id.clone());
                }
                match worker.charge {
                    Charge::Probing { .. } => {}
                    Charge::Opening { .. } => self.opened(id, &seen, members, now, out),
                    Charge::Claiming { .. } | Charge::Open => self.seen(id, asked, &seen, now, out),
                }
            }
            LookAnswer::Fenced => self.fenced(id, now, out),
            LookAnswer::OtherLife => self.drop_worker(id, DropCause::OtherLife, now, out),
            LookAnswer::Lost => self.lost(id, now, out),
        }
    }

    /// Takes the state of a worker that obeys.
    pub(super) fn seen(
        &mut self,
        id: &WorkerId,
        asked: Time,
        seen: &Seen,
        now: Time,
        out: &mut Output,
    ) {
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
            push_stop(worker, &run, now, out);
        }
        for (run, how) in ends {
            self.end(id, &run, how, now, out);
        }
        self.stop_stalled(id, now, out);
    }

    /// Stops runs that would end sooner if they were started again elsewhere.
    pub(super) fn stop_stalled(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
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
            push_stop(worker, &run, now, out);
        }
    }

    /// A look got no answer.
    pub(super) fn lost(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.lost_at = Some(now);
        if worker.is_unopened() {
            worker.charge = Charge::Probing { at: now + PROBE_AGAIN };
            worker.token = 0;
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

    /// Looks at each worker where a look is due.
    pub fn look(&mut self, now: Time, out: &mut Output) {
        let me = self.me.clone();
        self.seen_by(&me, now, now);
        for (_, worker) in self.workers.iter_mut() {
            if worker.looking.is_some() {
                continue;
            }
            let busy = !worker.held.is_empty();
            let due = match worker.charge {
                Charge::Probing { at } | Charge::Opening { at } => now >= at,
                // A lease must not be extended for runs that nobody claims.
                Charge::Claiming { .. } => false,
                Charge::Open => busy || worker.dark || now.since(worker.looked) >= IDLE_LOOK,
            };
            if !due || (worker.dark && now.since(worker.looked) < DARK_LOOK) {
                continue;
            }
            // A worker whose last look got no answer must be able to let the lease end.
            let leases = busy && !worker.dark && !worker.is_unopened();
            let lease = if leases { worker.lease(now) } else { None };
            let wait = if leases { worker.look_wait(now) } else { Span::ZERO };
            worker.looking = Some(now);
            worker.looked = now;
            out.commands.push(Command::Look {
                worker: Box::new(worker.listed.clone()),
                token: worker.token,
                patience: worker.patience(now),
                acked: worker.acked,
                lease,
                wait,
                fresh: worker.dark,
            });
        }
    }
}
