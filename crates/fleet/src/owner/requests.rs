//! Start and stop requests of the fronts, and the responses of workers to them.

use cranberryhatch_schema::fleet::{Ended, How, Start, Stop};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use super::{
    LOST_STOP_RETRY_DELAY, Owner, STOP_RETRY_DELAY, push_stop, restart::IncarnationOrder, send_end,
};
use crate::{
    AssignedRun, Command, DeferredStart, Incarnation, LeasedRequest, Output, ResponseTimes, RunKey,
    StartResponse, WorkerStatus,
    assigned_run::RunStage,
    log_event::{DropCause, LogEvent, RequestKind, Resolution, StartRefusal, StopCause},
    output::{Lease, Message},
    worker::{Ownership, Worker},
};

/// Why a run is not started now.
enum Obstacle {
    /// The start is refused.
    Refused(StartRefusal),
    /// The lease on the worker may outlast the lifetime of the run.
    Outlasted,
}

impl From<StartRefusal> for Obstacle {
    fn from(cause: StartRefusal) -> Self {
        Self::Refused(cause)
    }
}

impl Owner {
    /// Starts a run for a front.
    pub fn start(&mut self, front: &InstanceId, start: Start, now: Time, out: &mut Output) {
        let Some(assigned) = AssignedRun::new(front.clone(), &start, now) else { return };
        self.heartbeat_seen(front, assigned.seen_heartbeat, now);
        let Ok(id) = start.worker.parse::<WorkerId>() else {
            return send_end(&assigned, &start.worker, How::NotStarted, Span::ZERO, out);
        };
        // Run numbers start anew with each submission, so another front may have an equal run.
        let is_known = |worker: &Worker| {
            worker.all_runs().any(|known| {
                known.run == assigned.run
                    && known.is_of(front)
                    && known.start_number == assigned.start_number
            })
        };
        if self.workers.get(&id).is_some_and(is_known) {
            return;
        }
        if let Some(deferred) = self.try_start(&id, DeferredStart { assigned, start }, now, out) {
            self.defer_start(&id, deferred, now, out);
        }
    }

    /// Starts or refuses a run, or returns it if it has to be deferred.
    pub(super) fn try_start(
        &mut self,
        id: &WorkerId,
        deferred: DeferredStart,
        now: Time,
        out: &mut Output,
    ) -> Option<DeferredStart> {
        let response_times = self.response_times;
        self.requests_sent += 1;
        let number = self.requests_sent;
        let DeferredStart { mut assigned, start } = deferred;
        let (lease, worker) = match self.reserve(id, &assigned, &start, number, now) {
            Ok(placed) => placed,
            Err(Obstacle::Outlasted) => return Some(DeferredStart { assigned, start }),
            Err(Obstacle::Refused(cause)) => {
                self.refuse_start(id, &assigned, cause, now, out);
                return None;
            }
        };
        out.commands.push(Command::StartRun {
            number,
            worker: Box::new(worker.listed.clone()),
            token: worker.token,
            timeout: worker.request_timeout(&response_times, now),
            run: assigned.run.clone(),
            payload: start.payload,
            lease,
        });
        assigned.incarnation = worker.incarnation;
        assigned.request = Some(number);
        assigned.sent_at = now;
        worker.runs.push(assigned);
        self.restarts.earn();
        None
    }

    /// Checks that a run can start on a worker and returns the lease for the start request with this
    /// number.
    fn reserve(
        &mut self,
        id: &WorkerId,
        assigned: &AssignedRun,
        start: &Start,
        number: u64,
        now: Time,
    ) -> Result<(Lease, &mut Worker), Obstacle> {
        let worker = self.workers.get_mut(id).ok_or(StartRefusal::Closed)?;
        if worker.listed.drained {
            return Err(StartRefusal::ZoneDrained.into());
        }
        if !self.starts_allowed {
            return Err(StartRefusal::DrainsUnknown.into());
        }
        if !worker.is_described() {
            return Err(StartRefusal::OutdatedEntry.into());
        }
        if !worker.is_open() {
            return Err(StartRefusal::Closed.into());
        }
        if worker.token != start.token {
            return Err(StartRefusal::Token.into());
        }
        if worker.listed.service != start.service {
            return Err(StartRefusal::Service.into());
        }
        if !worker.listed.has_label(&start.label) {
            return Err(StartRefusal::Label.into());
        }
        if worker.all_runs().any(|known| known.run.task == assigned.run.task) {
            return Err(StartRefusal::OtherRun.into());
        }
        // Two instances may schedule at a time, and neither knows what the other one grants.
        if start.spread > 0 && worker.step_count(&assigned.run.task) >= start.spread {
            return Err(StartRefusal::Spread.into());
        }
        if !assigned.need.fits(&worker.free()) {
            return Err(StartRefusal::NoRoom.into());
        }
        if worker.is_outdated(assigned, now) {
            return Err(StartRefusal::Outdated.into());
        }
        if worker.outlasts(assigned) {
            return Err(Obstacle::Outlasted);
        }
        let lease = worker.lease_for_start(assigned, number, now).ok_or(StartRefusal::Outdated)?;
        Ok((lease, worker))
    }

    pub(super) fn refuse_start(
        &mut self,
        id: &WorkerId,
        assigned: &AssignedRun,
        cause: StartRefusal,
        now: Time,
        out: &mut Output,
    ) {
        let runs = self.workers.get(id).map(|worker| worker.runs.as_slice()).unwrap_or_default();
        let oldest = runs
            .iter()
            .chain([assigned])
            .map(|assigned| assigned.seen_heartbeat)
            .min()
            .unwrap_or(now);
        let (run, age) = (assigned.run.clone(), now.since(oldest));
        let front = assigned.front.clone();
        out.log(LogEvent::StartRefused { run, worker: id.clone(), cause, age, front });
        // The scheduler knows reservations by task, and another run keeps its own. A front returns
        // the grant of a start without room.
        if runs.iter().any(|known| known.run.task == assigned.run.task) {
            return send_end(assigned, id.as_str(), How::NotStarted, Span::ZERO, out);
        }
        send_end(assigned, id.as_str(), How::NoRoom, Span::ZERO, out);
        self.report_freed(assigned, id.as_str(), How::NoRoom, Span::ZERO, out);
    }

    /// Records that a front has read a heartbeat that this owner sent at `at`.
    pub fn heartbeat_seen(&mut self, front: &InstanceId, at: Time, now: Time) {
        for (_, worker) in self.workers.iter_mut() {
            let deferred = worker.deferred.iter_mut().map(|deferred| &mut deferred.assigned);
            for assigned in worker
                .runs
                .iter_mut()
                .chain(deferred)
                .filter(|assigned| assigned.wanted && assigned.front == *front)
            {
                assigned.seen_heartbeat = assigned.seen_heartbeat.max(at.min(now));
            }
        }
    }

    /// Handles the response to the earliest unanswered start request for a run on a worker whose
    /// incarnation is unknown.
    pub fn handle_start_response(
        &mut self,
        id: &WorkerId,
        run: &RunKey,
        response: StartResponse,
        clock: Option<u64>,
        now: Time,
        out: &mut Output,
    ) {
        let abandoned = self.abandoned_starts.iter().filter(|(worker, _)| worker == id);
        let worker = self.workers.get(id);
        let kept = worker.into_iter().flat_map(|worker| &worker.runs);
        let mut sent = abandoned.map(|(_, assigned)| assigned).chain(kept);
        let Some(number) =
            sent.find(|assigned| assigned.run == *run).and_then(|assigned| assigned.request)
        else {
            return;
        };
        self.handle_start_response_from(
            id,
            number,
            response,
            clock.map(|clock| (clock, Incarnation::UNKNOWN)),
            now,
            out,
        );
    }

    /// Handles the response to the start request with this number; `from` is the clock and the
    /// incarnation of the worker.
    pub fn handle_start_response_from(
        &mut self,
        id: &WorkerId,
        number: u64,
        response: StartResponse,
        from: Option<(u64, Incarnation)>,
        now: Time,
        out: &mut Output,
    ) {
        if self.handle_abandoned_response(number, response, out) {
            return;
        }
        let started = self.workers.get(id).and_then(|worker| worker.run_of_request(number));
        let run = started.map(|assigned| assigned.run.clone());
        let sent = started.map(|assigned| assigned.sent_at);
        let was_paused = sent.is_some_and(|sent| self.paused_since(sent, now));
        let incarnation = from.map_or(Incarnation::UNKNOWN, |(_, incarnation)| incarnation);
        let order = if incarnation.is_known() {
            self.compare_started(id, number, incarnation, now)
        } else {
            IncarnationOrder::Current
        };
        match order {
            IncarnationOrder::Current => {}
            IncarnationOrder::Earlier if response == StartResponse::Started => {
                // The run ended with that incarnation.
                let draining = self.workers.get(id).is_some_and(|worker| worker.listed.draining);
                let how = if draining { How::Stopped } else { How::Crashed };
                return run.into_iter().for_each(|run| self.end(id, &run, how, now, out));
            }
            IncarnationOrder::Unordered if response == StartResponse::Started => {
                return self.hold_unordered(id, number, now, out);
            }
            IncarnationOrder::Earlier | IncarnationOrder::Unordered => {}
            IncarnationOrder::Later => self.handle_restart(id, &WorkerStatus::default(), now, out),
        }
        let worker = self.workers.get(id);
        if response == StartResponse::Fenced && worker.is_some_and(Worker::is_unopened) {
            // The worker has restarted and already accepts the token under which it is opened
            // again.
            return run.into_iter().for_each(|run| self.end(id, &run, How::NoRoom, now, out));
        }
        // Leases would be too long by the clock of an earlier incarnation.
        let is_current = matches!(order, IncarnationOrder::Current | IncarnationOrder::Later)
            && (incarnation.is_known()
                || worker.is_none_or(|worker| !worker.incarnation.is_known()));
        let clock = from.filter(|_| is_current).map(|(clock, _)| clock);
        if let Some(clock) = clock {
            self.check_clock(id, clock, now, out);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        if response != StartResponse::NoResponse {
            worker.unanswered.remove(LeasedRequest::Start(number));
        }
        let predates_restart =
            worker.run_of_request(number).is_some_and(|assigned| assigned.predates_restart);
        // The response to a request that was sent before a restart may come from either
        // incarnation. If this response is what shows the restart, no other clock is known.
        if let Some(clock) = clock.filter(|_| !predates_restart || !worker.has_clock()) {
            worker.set_clock(clock, now);
        }
        if !matches!(response, StartResponse::NoResponse | StartResponse::Unsent) {
            self.response_times
                .record_response(sent.filter(|_| !was_paused).map(|sent| now.since(sent)));
        }
        let is_started = |assigned: &AssignedRun| assigned.request == Some(number);
        let Some(index) = worker.runs.iter().position(is_started) else { return };
        let run = &worker.runs[index].run.clone();
        match response {
            StartResponse::Started => {
                let last_poll = worker.polls_sent;
                let assigned = &mut worker.runs[index];
                assigned.stage = RunStage::Running { since: now, last_poll };
                assigned.duration_unknown = was_paused;
                if assigned.stop_requested.is_some() {
                    assigned.stop_requested = Some(now);
                    push_stop(worker, run, &self.response_times, &mut self.requests_sent, now, out);
                }
            }
            StartResponse::NoResponse => {
                if !was_paused {
                    self.response_times.record_timeout(worker.missed_polls == 0);
                    worker.timed_out_at = Some(now);
                }
                let last_poll = worker.polls_sent;
                let assigned = &mut worker.runs[index];
                let waited = now.since(assigned.sent_at);
                let (worker_id, request) = (id.clone(), RequestKind::Start);
                let run = Some(run.clone());
                let front = assigned.claimed_front();
                out.log(LogEvent::Unanswered {
                    worker: worker_id,
                    request,
                    run: run.clone(),
                    waited,
                    front: front.clone(),
                });
                if assigned.stage != RunStage::Starting {
                    // A poll has shown that it runs.
                    let (worker, outcome) = (id.clone(), Resolution::Running);
                    return out.log(LogEvent::Resolved {
                        worker,
                        request,
                        run,
                        outcome,
                        took: waited,
                        front,
                    });
                }
                assigned.stage = RunStage::Unconfirmed { last_poll, stop_accepted: None };
                assigned.duration_unknown = true;
                let unwanted = assigned.stop_requested.is_some();
                worker.needs_status = true;
                if let (true, Some(run)) = (unwanted, run) {
                    worker.runs[index].stop_requested = Some(now);
                    push_stop(
                        worker,
                        &run,
                        &self.response_times,
                        &mut self.requests_sent,
                        now,
                        out,
                    );
                }
            }
            StartResponse::Fenced => {
                self.end(id, run, How::NoRoom, now, out);
                self.handle_fenced(id, now, out);
            }
            StartResponse::OtherIncarnation => {
                self.drop_worker(id, DropCause::OtherIncarnation, now, out);
            }
            StartResponse::NoRoom => self.end(id, run, How::NoRoom, now, out),
            StartResponse::Superseded => self.end(id, run, How::Old, now, out),
            StartResponse::NotStarted | StartResponse::Unsent => {
                self.end(id, run, How::NotStarted, now, out);
            }
            StartResponse::Invalid => self.end(id, run, How::Failed, now, out),
        }
    }

    /// Stops a run for its front.
    pub fn stop(&mut self, front: &InstanceId, stop: &Stop, now: Time, out: &mut Output) {
        let Some(run) = stop.run.as_ref().map(RunKey::from) else { return };
        let is_stopped = |id: &WorkerId, assigned: &AssignedRun| {
            assigned.run == run && assigned.front == *front && id.as_str() == stop.worker
        };
        if self.cancel_deferred_starts(is_stopped, out) {
            return;
        }
        let id = stop.worker.parse::<WorkerId>().ok();
        let Some(worker) = id.and_then(|id| self.workers.get_mut(&id)) else { return };
        // An equal run may be one of another front.
        let is_run = |assigned: &&mut AssignedRun| {
            assigned.run == run && (assigned.is_of(front) || !assigned.is_claimed())
        };
        let Some(assigned) = worker.runs.iter_mut().find(is_run) else {
            let is_of_another = worker.runs.iter().any(|assigned| assigned.run == run);
            if worker.ownership == Ownership::Open || is_of_another {
                // Start requests arrive in order on a link, so either this run's start request or
                // the report of its end was lost with an earlier link.
                let ended = Ended {
                    run: Some((&run).into()),
                    worker: stop.worker.clone(),
                    how: How::Stopped.into(),
                    took_ms: 0,
                    start_number: stop.start_number,
                };
                out.send(front, Message::Ended(ended));
            }
            return;
        };
        assigned.wanted = false;
        if assigned.stop_requested.is_none() {
            assigned.stop_requested = Some(now);
            if assigned.stage != RunStage::Starting {
                push_stop(worker, &run, &self.response_times, &mut self.requests_sent, now, out);
            }
        }
    }

    /// Stops the runs of a job that a front has, since a later submission has superseded its own.
    pub fn stop_superseded(&mut self, job: &str, front: &InstanceId, now: Time, out: &mut Output) {
        let is_superseded = |_: &WorkerId, assigned: &AssignedRun| {
            assigned.run.task.job == job && assigned.front == *front
        };
        self.cancel_deferred_starts(is_superseded, out);
        for (_, worker) in self.workers.iter_mut() {
            // An unclaimed run may be one of the later submission.
            let of_job =
                |assigned: &&mut AssignedRun| assigned.run.task.job == job && assigned.is_of(front);
            let mut stops = Vec::new();
            for assigned in worker.runs.iter_mut().filter(of_job) {
                assigned.wanted = false;
                if assigned.stop_requested.is_none() {
                    assigned.stop_requested = Some(now);
                    if assigned.stage != RunStage::Starting {
                        stops.push(assigned.run.clone());
                    }
                }
            }
            for run in stops {
                push_stop(worker, &run, &self.response_times, &mut self.requests_sent, now, out);
            }
        }
    }

    /// Handles the response to a stop request for a run that a worker has now.
    pub fn handle_stop_response(
        &mut self,
        id: &WorkerId,
        run: &RunKey,
        accepted: bool,
        now: Time,
        out: &mut Output,
    ) {
        let runs = self.workers.get(id).map(|worker| worker.runs.as_slice()).unwrap_or_default();
        let sent = runs.iter().find(|assigned| assigned.run == *run);
        if let Some(number) = sent.and_then(|assigned| assigned.first_stop) {
            self.handle_stop_response_to(id, run, number, accepted, now, out);
        }
    }

    /// Handles the response to the stop request with this number.
    pub fn handle_stop_response_to(
        &mut self,
        id: &WorkerId,
        run: &RunKey,
        number: u64,
        accepted: bool,
        now: Time,
        out: &mut Output,
    ) {
        let sent = self.workers.get(id).and_then(|worker| worker.stop_sent_at(run));
        let was_paused = sent.is_some_and(|sent| self.paused_since(sent, now));
        let Some(worker) = self.workers.get_mut(id) else { return };
        if accepted {
            self.response_times.record_response(None);
        } else if !was_paused {
            self.response_times.record_timeout(worker.missed_polls == 0);
            worker.timed_out_at = Some(now);
        }
        let last_poll = worker.polls_sent;
        // An equal run of another submission, or the worker before a restart, may have been stopped.
        let is_stopped = |assigned: &&mut AssignedRun| {
            assigned.run == *run && assigned.first_stop.is_some_and(|first| number >= first)
        };
        let Some(assigned) = worker.runs.iter_mut().find(is_stopped) else { return };
        let (worker_id, request) = (id.clone(), RequestKind::Stop);
        if !accepted {
            let waited = sent.map_or(Span::ZERO, |sent| now.since(sent));
            assigned.stop_lost_at.get_or_insert(now - waited);
            out.log(LogEvent::Unanswered {
                worker: worker_id,
                request,
                run: Some(run.clone()),
                waited,
                front: assigned.claimed_front(),
            });
            // A stop that was rejected, rather than lost, is retried after a delay, not as fast as
            // the worker rejects it.
            let pause = if waited < ResponseTimes::MIN_TIMEOUT {
                LOST_STOP_RETRY_DELAY
            } else {
                Span::ZERO
            };
            assigned.stop_requested = Some(now + pause - STOP_RETRY_DELAY);
            return self.resend_stops(id, now, out);
        }
        if let Some(from) = assigned.stop_lost_at.take() {
            let (run, outcome) = (Some(run.clone()), Resolution::Answered);
            let (took, front) = (now.since(from), assigned.claimed_front());
            out.log(LogEvent::Resolved { worker: worker_id, request, run, outcome, took, front });
        }
        if let RunStage::Unconfirmed { stop_accepted: accepted, .. } = &mut assigned.stage {
            // From now on the worker rejects the run. A repeated stop request must not postpone
            // that.
            accepted.get_or_insert(last_poll);
            worker.needs_status = true;
        }
    }

    /// Stops the runs of a front that is unreachable.
    pub fn front_unreachable(&mut self, front: &InstanceId, now: Time, out: &mut Output) {
        self.disown_deferred_starts(front);
        let mut stopped = 0;
        for (_, worker) in self.workers.iter_mut() {
            if let Ownership::Claiming { pending_fronts, .. } = &mut worker.ownership {
                pending_fronts.retain(|other| other != front);
            }
            let mut stops = Vec::new();
            for assigned in worker.runs.iter_mut().filter(|assigned| assigned.front == *front) {
                assigned.wanted = false;
                if assigned.stop_requested.is_none() {
                    stopped += 1;
                    assigned.stop_requested = Some(now);
                    if assigned.stage != RunStage::Starting {
                        stops.push(assigned.run.clone());
                    }
                }
            }
            for run in stops {
                push_stop(worker, &run, &self.response_times, &mut self.requests_sent, now, out);
            }
        }
        if stopped > 0 {
            let (front, cause) = (front.clone(), StopCause::Unreachable);
            out.log(LogEvent::FrontRunsStopped { front, runs: stopped, cause });
        }
    }

    /// Handles the response to a start request whose worker has been dropped since; returns whether
    /// there was such a request.
    ///
    /// If the worker rejected the run, no one else reports that it never started.
    pub(super) fn handle_abandoned_response(
        &mut self,
        number: u64,
        response: StartResponse,
        out: &mut Output,
    ) -> bool {
        let is_started = |(_, assigned): &(WorkerId, AssignedRun)| assigned.request == Some(number);
        let Some(index) = self.abandoned_starts.iter().position(is_started) else { return false };
        let (id, assigned) = self.abandoned_starts.swap_remove(index);
        if !matches!(response, StartResponse::Started | StartResponse::NoResponse) {
            send_end(&assigned, id.as_str(), How::NoRoom, Span::ZERO, out);
        }
        true
    }
}
