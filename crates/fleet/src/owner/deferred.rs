//! Starts that are deferred until their fronts have echoed a later heartbeat.

use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use super::{Owner, send_end};
use crate::{
    AssignedRun, DeferredStart, Output,
    log_event::{LogEvent, StartRefusal},
    run_lease::RUN_LIFETIME,
};

impl Owner {
    /// Defers a start, because the lease on its worker may outlast the lifetime of the run.
    pub(super) fn defer_start(
        &mut self,
        id: &WorkerId,
        deferred: DeferredStart,
        now: Time,
        out: &mut Output,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let seen = deferred.assigned.seen_heartbeat;
        out.log(LogEvent::StartDeferred {
            run: deferred.assigned.run.clone(),
            worker: id.clone(),
            age: now.since(seen),
            excess: worker.lease_end.since(seen + RUN_LIFETIME),
            front: deferred.assigned.front.clone(),
        });
        worker.deferred.push(deferred);
    }

    /// Returns whether a start of a front waits for its next heartbeat.
    #[must_use]
    pub fn awaits_heartbeat(&self, front: &InstanceId) -> bool {
        let mut deferred = self.workers.iter().flat_map(|(_, worker)| &worker.deferred);
        deferred.any(|deferred| deferred.assigned.front == *front && deferred.assigned.wanted)
    }

    /// Returns whether a start is deferred.
    #[must_use]
    pub fn has_deferred_starts(&self) -> bool {
        self.workers.iter().any(|(_, worker)| !worker.deferred.is_empty())
    }

    /// Carries out the deferred starts whose fronts have echoed a later heartbeat, and refuses those
    /// of fronts that did not in time.
    pub fn retry_deferred_starts(&mut self, now: Time, out: &mut Output) {
        let waiting = self.workers.iter().filter(|(_, worker)| !worker.deferred.is_empty());
        let ids: Vec<WorkerId> = waiting.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            for deferred in std::mem::take(&mut worker.deferred) {
                if !deferred.assigned.wanted {
                    let cause = StartRefusal::Outdated;
                    self.refuse_start(&id, &deferred.assigned, cause, now, out);
                } else if let Some(deferred) = self.try_start(&id, deferred, now, out)
                    && let Some(worker) = self.workers.get_mut(&id)
                {
                    worker.deferred.push(deferred);
                }
            }
        }
    }

    /// Drops the deferred starts that a front no longer wants; returns whether there were any.
    pub(super) fn cancel_deferred_starts(
        &mut self,
        is_canceled: impl Fn(&WorkerId, &AssignedRun) -> bool,
        out: &mut Output,
    ) -> bool {
        let mut canceled = Vec::new();
        for (id, worker) in self.workers.iter_mut() {
            let removed =
                worker.deferred.extract_if(.., |deferred| is_canceled(id, &deferred.assigned));
            canceled.extend(removed.map(|deferred| (id.clone(), deferred.assigned)));
        }
        for (id, assigned) in &canceled {
            send_end(assigned, id.as_str(), How::NotStarted, Span::ZERO, out);
            // The scheduler pauses workers on which starts fail.
            self.report_freed(assigned, id.as_str(), How::Stopped, Span::ZERO, out);
        }
        !canceled.is_empty()
    }

    /// Refuses the deferred starts of a worker that this owner gives up.
    pub(super) fn refuse_deferred_starts(
        &mut self,
        id: &WorkerId,
        deferred: &[DeferredStart],
        now: Time,
        out: &mut Output,
    ) {
        for DeferredStart { assigned, .. } in deferred {
            self.refuse_start(id, assigned, StartRefusal::Closed, now, out);
        }
    }

    /// Marks the deferred starts of a front whose link was lost; they are refused at the next tick.
    pub(super) fn disown_deferred_starts(&mut self, front: &InstanceId) {
        let deferred = self.workers.iter_mut().flat_map(|(_, worker)| &mut worker.deferred);
        deferred
            .filter(|deferred| deferred.assigned.front == *front)
            .for_each(|deferred| deferred.assigned.wanted = false);
    }
}
