//! How an instance takes over a worker, and how it gives a worker up.

use cranberryhatch_schema::fleet::{Claim, Ended, How, Room, Run, Takeover, Takeovers};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use super::{
    ABANDONED_START_TIMEOUT, CLAIM_TIMEOUT, FENCED_RETRY_DELAY, Owner, REOPEN_DELAY, end_of,
    push_stop, wire_end,
};
use crate::{
    AssignedRun, End, Incarnation, Members, Need, Output, PendingPoll, PollResponse, RunKey,
    WorkerStatus,
    assigned_run::RunStage,
    log_event::{DropCause, LogEvent},
    output::Message,
    run_lease::{LEASE, LEASE_SLACK},
    worker::Ownership,
};

impl Owner {
    /// Handles the result of a poll without a token, which is sent to an unreachable worker.
    pub(super) fn handle_probe_response(
        &mut self,
        id: &WorkerId,
        poll: PendingPoll,
        response: &PollResponse,
        now: Time,
        out: &mut Output,
    ) {
        match response {
            PollResponse::OtherIncarnation => {
                self.drop_worker(id, DropCause::OtherIncarnation, now, out);
            }
            PollResponse::NoResponse | PollResponse::Refused => {
                self.handle_missing_response(id, poll, now, out);
            }
            PollResponse::Status(_) | PollResponse::Fenced => {
                let token = self.next_token(0);
                let Some(worker) = self.workers.get_mut(id) else { return };
                worker.token = token;
                worker.ownership = Ownership::Opening { at: now + REOPEN_DELAY };
                out.log(LogEvent::WorkerReached { worker: id.clone(), opens_in: REOPEN_DELAY });
            }
        }
    }

    /// Takes charge of a worker that has accepted the token.
    pub(super) fn handle_opened(
        &mut self,
        id: &WorkerId,
        status: &WorkerStatus,
        members: &Members,
        now: Time,
        out: &mut Output,
    ) {
        self.resolve_restarted(id, status, now, out);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.unanswered.clear();
        worker.latest_clock = status.clock;
        worker.acked = status.ended.iter().map(|end| end.number).max().unwrap_or(0);
        let message = Takeover {
            worker: id.to_string(),
            running: status.running.iter().map(|running| Run::from(&running.run)).collect(),
            ended: status.ended.iter().map(|end| takeover_end(id, end)).collect(),
            token: worker.token,
            born_ms: status.incarnation.born_ms(),
        };
        // The worker may still have a lease from the previous owner, which also applies to new runs.
        let former_lease_end = now + LEASE + LEASE_SLACK;
        if status.running.is_empty() {
            // Requests under earlier tokens can no longer extend it.
            worker.lease_end = former_lease_end;
            self.opened_idle.push(message);
            worker.ownership = Ownership::Open;
            let token = worker.token;
            out.log(LogEvent::WorkerOpened { worker: id.clone(), token, found: 0, kept: 0 });
            self.unreported.push(id.clone());
            return;
        }
        let mut pending_fronts: Vec<InstanceId> =
            members.peers().iter().map(|peer| peer.id.clone()).collect();
        pending_fronts.push(self.me.clone());
        for peer in &pending_fronts {
            out.send(peer, Message::Takeover(message.clone()));
        }
        worker.lease_end = worker.lease_end.max(former_lease_end);
        let found = status.running.len();
        worker.ownership =
            Ownership::Claiming { until: now + CLAIM_TIMEOUT, pending_fronts, found };
        // The scheduler withholds further runs of these tasks.
        self.unreported.push(id.clone());
        // A run that no front claims counts as orphaned and is stopped in the end.
        for running in &status.running {
            if worker.runs.iter().all(|assigned| assigned.run != running.run) {
                let last_poll = worker.polls_sent;
                let incarnation = status.incarnation;
                worker.runs.push(orphaned_run(&self.me, &running.run, incarnation, last_poll, now));
            }
        }
    }

    /// Announces to all instances the workers that were opened since the last tick and have no
    /// runs, so that they know that runs of earlier owners have ended there.
    ///
    /// This is one message for all workers, since hundreds of workers open within a few ticks when
    /// the whole system starts.
    pub(super) fn send_idle_takeovers(&mut self, out: &mut Output) {
        if self.opened_idle.is_empty() {
            return;
        }
        let takeovers = Takeovers { found: std::mem::take(&mut self.opened_idle) };
        for peer in self.peers.iter().chain([&self.me]) {
            out.send(peer, Message::Takeovers(takeovers.clone()));
        }
    }

    /// Handles a front's claim of the runs that were found on a worker.
    pub fn handle_claim(&mut self, front: &InstanceId, claim: &Claim, now: Time, out: &mut Output) {
        let Ok(id) = claim.worker.parse::<WorkerId>() else { return };
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let Ownership::Claiming { pending_fronts, .. } = &mut worker.ownership else { return };
        pending_fronts.retain(|other| other != front);
        for start in &claim.runs {
            let Some(mut claimed) = AssignedRun::new(front.clone(), start, now) else { continue };
            if let Some(assigned) =
                worker.runs.iter_mut().find(|assigned| assigned.run == claimed.run)
            {
                if assigned.is_claimed() && assigned.front != *front {
                    // The start of an equal run was refused, and the refusal was lost.
                    let ended = end_of(&claimed, &claim.worker, How::Stopped, Span::ZERO);
                    out.send(front, Message::Ended(ended));
                    continue;
                }
                claimed.stage = assigned.stage;
                claimed.request = assigned.request;
                claimed.first_stop = assigned.first_stop;
                claimed.percent = assigned.percent;
                claimed.incarnation = assigned.incarnation;
                claimed.duration_unknown = true;
                *assigned = claimed;
            }
        }
        self.resolve_claims(&id, now, out);
    }

    /// Stops the runs that no front has claimed, once all fronts have answered or the timeout has
    /// passed.
    pub(super) fn resolve_claims(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Ownership::Claiming { until, pending_fronts, found } = &worker.ownership else {
            return;
        };
        if !pending_fronts.is_empty() && now < *until {
            return;
        }
        let found = *found;
        let mut stops = Vec::new();
        for assigned in &mut worker.runs {
            if !assigned.is_claimed() {
                assigned.stop_requested = Some(now);
                stops.push(assigned.run.clone());
            }
        }
        let kept = worker.runs.len() - stops.len();
        worker.ownership = Ownership::Open;
        let token = worker.token;
        for run in stops {
            push_stop(worker, &run, &self.response_times, &mut self.requests_sent, now, out);
        }
        out.log(LogEvent::WorkerOpened { worker: id.clone(), token, found, kept });
        self.unreported.push(id.clone());
    }

    /// Handles a worker that knows a higher token: another instance owns it and reports its runs.
    pub(super) fn handle_fenced(&mut self, id: &WorkerId, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.is_unopened() {
            // The token may come from a clock that is ahead of this instance's clock.
            worker.fenced_polls += 1;
            worker.ownership = Ownership::Opening { at: now + FENCED_RETRY_DELAY };
            let rejections = worker.fenced_polls;
            let token = self.next_token(rejections);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.token = token;
            }
            return;
        }
        self.fenced_at.insert(id.clone(), now);
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
        self.refuse_deferred_starts(id, &worker.deferred, now, out);
        if cause == DropCause::OtherIncarnation {
            // Its runs ended with that incarnation.
            self.run_stats.forget(id);
            let cause = worker.likely_cause();
            for assigned in &worker.runs {
                let how = worker.loss_of(&assigned.run, cause.as_ref());
                self.record_loss(id, assigned, how, now);
                self.notify_end(assigned, id.as_str(), how, Span::ZERO, out);
            }
        }
        if cause == DropCause::Fenced {
            let in_flight = |assigned: &AssignedRun| assigned.stage == RunStage::Starting;
            let abandoned_starts =
                worker.runs.iter().filter(|assigned| in_flight(assigned)).cloned();
            self.abandoned_starts.extend(abandoned_starts.map(|assigned| (id.clone(), assigned)));
            self.abandoned_starts
                .retain(|(_, assigned)| now.since(assigned.sent_at) < ABANDONED_START_TIMEOUT);
        } else if !worker.is_unopened() {
            // A worker that never accepted this instance's token may be owned by another instance.
            let room = Room { worker: id.to_string(), token: worker.token, ..Room::default() };
            self.report_to_scheduler(vec![room], Vec::new(), now, out);
        }
    }
}

/// Creates the entry of a run that was found on a worker and whose front is not known yet.
fn orphaned_run(
    me: &InstanceId,
    run: &RunKey,
    incarnation: Incarnation,
    last_poll: u64,
    now: Time,
) -> AssignedRun {
    AssignedRun {
        run: run.clone(),
        front: me.clone(),
        need: Need::default(),
        kind: String::new(),
        expected: Span::ZERO,
        pace: 0,
        due: None,
        stalls: 0,
        start_number: 0,
        request: None,
        sent_at: now,
        seen_heartbeat: Time::ZERO,
        submitted: None,
        wanted: false,
        stage: RunStage::Running { since: now, last_poll },
        stop_requested: None,
        first_stop: None,
        restart_cause: None,
        stop_lost_at: None,
        percent: 0,
        progressed_at: now,
        predates_restart: false,
        duration_unknown: true,
        incarnation,
    }
}

fn takeover_end(worker: &WorkerId, end: &End) -> Ended {
    Ended {
        run: Some((&end.run).into()),
        worker: worker.to_string(),
        how: wire_end(end.how).into(),
        ..Ended::default()
    }
}
