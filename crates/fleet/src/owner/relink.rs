//! Runs of fronts whose link broke and may be back.

use cranberryhatch_schema::fleet::{Confirm, Ended, Obeying, Relinked, Run};
use cranberryhatch_types::{InstanceId, Span, Time};

use super::{Owner, push_stop};
use crate::{Output, RunKey, held::Stage, output::Message, worker::Charge};

/// Time for which ends are kept that may have been lost with a link; a silent link is given up before.
const ENDS_KEPT: Span = Span::from_ms(3_000);
/// Time that a front whose link is back has to confirm its runs.
const CONFIRM_WAIT: Span = Span::from_ms(300);

/// What fronts may not know.
#[derive(Debug, Default)]
pub(super) struct Unsure {
    // Ends that were reported lately, the oldest first.
    ends: Vec<(Time, InstanceId, Ended)>,
    // Fronts that were told of their runs, and when.
    asked: Vec<(Time, InstanceId)>,
}

impl Unsure {
    /// Remembers a report to a front.
    pub(super) fn report(&mut self, front: &InstanceId, ended: &Ended, now: Time) {
        self.ends.push((now, front.clone(), ended.clone()));
    }

    fn forget(&mut self, now: Time) {
        let old = self.ends.partition_point(|(at, ..)| now.since(*at) >= ENDS_KEPT);
        self.ends.drain(..old);
    }
}

impl Owner {
    /// The link to a front broke: until it confirms its runs, what it says proves nothing for them.
    pub fn front_severed(&mut self, front: &InstanceId) {
        let held = self.workers.iter_mut().flat_map(|(_, worker)| &mut worker.held);
        held.filter(|held| held.front == *front).for_each(|held| held.wanted = false);
    }

    /// Tells a front whose link is back of its runs.
    pub fn relink(&mut self, front: &InstanceId, now: Time, out: &mut Output) {
        self.unsure.forget(now);
        let held = self.workers.iter().flat_map(|(_, worker)| &worker.held);
        let running = held.filter(|held| held.front == *front && held.is_claimed());
        let running: Vec<Run> = running.map(|held| Run::from(&held.run)).collect();
        let ended = self.unsure.ends.iter().filter(|(_, to, _)| to == front);
        let ended = ended.map(|(.., ended)| ended.clone()).collect();
        let open = self.workers.iter().filter(|(_, worker)| worker.charge == Charge::Open);
        let obeying =
            open.map(|(id, worker)| Obeying { worker: id.to_string(), token: worker.token });
        let obeying = obeying.collect();
        self.unsure.asked.push((now, front.clone()));
        out.send(front, Message::Relinked(Relinked { running, ended, obeying }));
    }

    /// Takes the runs that a front wants, which it had before its link broke.
    pub fn confirmed(&mut self, front: &InstanceId, confirm: &Confirm) {
        let runs: Vec<RunKey> = confirm.runs.iter().map(RunKey::from).collect();
        let held = self.workers.iter_mut().flat_map(|(_, worker)| &mut worker.held);
        let own = held.filter(|held| held.front == *front && held.stopping.is_none());
        own.filter(|held| runs.contains(&held.run)).for_each(|held| held.wanted = true);
    }

    /// Stops the runs that their fronts have not confirmed in time.
    pub(super) fn stop_unconfirmed(&mut self, now: Time, out: &mut Output) {
        self.unsure.forget(now);
        let due = self.unsure.asked.partition_point(|(at, _)| now.since(*at) >= CONFIRM_WAIT);
        let fronts: Vec<InstanceId> =
            self.unsure.asked.drain(..due).map(|(_, front)| front).collect();
        if fronts.is_empty() {
            return;
        }
        for (_, worker) in self.workers.iter_mut() {
            let mut stops = Vec::new();
            let unsure =
                worker.held.iter_mut().filter(|held| !held.wanted && held.stopping.is_none());
            for held in unsure.filter(|held| held.is_claimed() && fronts.contains(&held.front)) {
                held.stopping = Some(now);
                if held.stage != Stage::Starting {
                    stops.push(held.run.clone());
                }
            }
            for run in stops {
                push_stop(worker, &run, &self.answers, now, out);
            }
        }
    }
}
