//! Polls: how an owner learns the state of its workers.

use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{Span, Time, WorkerId};

use super::{
    IDLE_POLL_INTERVAL, Owner, PROBE_INTERVAL, UNRESPONSIVE_POLL_INTERVAL, push_stop,
    restart::IncarnationOrder, wire_end,
};
use crate::{
    AssignedRun, Command, LeasedRequest, Members, Output, PendingPoll, PollResponse, PollResult,
    ResponseTimes, RunKey, Worker, WorkerStatus,
    assigned_run::RunStage,
    log_event::{DropCause, LogEvent, RequestKind, Resolution, RestartCause},
    worker::{Ownership, likely_cause, loss_of},
};

/// Maximum number of ends in a status; a worker lists further ones once these are acknowledged.
const MAX_LISTED_ENDS: usize = 500;

impl Owner {
    /// Handles the result of a poll.
    pub fn handle_poll_result(
        &mut self,
        result: PollResult,
        members: &Members,
        now: Time,
        out: &mut Output,
    ) {
        let PollResult { worker: id, token, sent: at, response } = result;
        let id = &id;
        let was_paused = self.paused_since(at, now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let poll = if worker.token == token { worker.take_poll(at) } else { None };
        if let Some(poll) = poll.filter(|_| !response.is_missing()) {
            worker.unanswered.remove(LeasedRequest::Poll(poll.number));
            let took = (poll.wait == Span::ZERO && !was_paused).then(|| now.since(at));
            self.response_times.record_response(took);
        }
        // A late response to an earlier poll can show as well that the worker has restarted.
        let order = match &response {
            PollResponse::Status(status) => self.compare_polled(id, status.incarnation, at, now),
            _ => IncarnationOrder::Current,
        };
        if let (IncarnationOrder::Later, PollResponse::Status(status)) = (order, &response) {
            self.handle_restart(id, status, now, out);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        if order == IncarnationOrder::Unordered {
            // A poll that is sent from now on tells which incarnation is the later one.
            worker.polled_at = Time::ZERO;
            return;
        }
        let Some(poll) = poll.filter(|_| worker.token == token) else { return };
        if matches!(worker.ownership, Ownership::Probing { .. }) {
            return self.handle_probe_response(id, poll, &response, now, out);
        }
        match response {
            PollResponse::Status(status) => {
                self.check_clock(id, status.clock, now, out);
                let Some(worker) = self.workers.get_mut(id) else { return };
                worker.set_clock(status.clock, now);
                worker.fenced_polls = 0;
                // An end that is reported after missed polls may have happened earlier.
                let gap = was_paused || worker.missed_polls > 0;
                worker.missed_polls = 0;
                if let Some(from) = worker.missed_since.take() {
                    out.log(LogEvent::Resolved {
                        worker: id.clone(),
                        request: RequestKind::Poll,
                        run: None,
                        outcome: Resolution::Answered,
                        took: now.since(from),
                        front: None,
                    });
                }
                if std::mem::take(&mut worker.unresponsive) {
                    self.unreported.push(id.clone());
                }
                match worker.ownership {
                    Ownership::Probing { .. } => {}
                    Ownership::Opening { .. } => self.handle_opened(id, &status, members, now, out),
                    Ownership::Claiming { .. } | Ownership::Open => {
                        self.handle_status(id, poll, &status, gap, now, out);
                    }
                }
            }
            PollResponse::Fenced => self.handle_fenced(id, now, out),
            PollResponse::OtherIncarnation => {
                self.drop_worker(id, DropCause::OtherIncarnation, now, out);
            }
            PollResponse::NoResponse => self.handle_missing_response(id, poll, now, out),
            PollResponse::Refused => {
                // After its lease, a run has ended whatever became of the worker.
                worker.refuses |= now < worker.lease_end;
                self.handle_missing_response(id, poll, now, out);
            }
        }
    }

    /// Applies the status of a worker that accepts the token. `gap` is whether its ends may be
    /// older than this response.
    fn handle_status(
        &mut self,
        id: &WorkerId,
        poll: PendingPoll,
        status: &WorkerStatus,
        gap: bool,
        now: Time,
        out: &mut Output,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        // A response to a later poll was read before this one. It had the same ends, and runs that
        // are listed here may have ended since.
        let older = worker.latest_clock.saturating_sub(status.clock);
        if older > 0 {
            return;
        }
        let lead = Span::from_ms(status.clock.saturating_sub(worker.latest_clock));
        worker.latest_clock = status.clock;
        if !status.running.is_empty() {
            worker.record_late_lease(now);
        }
        let mut ends = Vec::new();
        for end in &status.ended {
            if end.number <= worker.acked {
                continue;
            }
            worker.acked = end.number;
            ends.push((end.run.clone(), wire_end(end.how)));
        }
        for running in &status.running {
            if worker.runs.iter().all(|assigned| assigned.run != running.run) {
                out.log(LogEvent::UnknownRun {
                    run: running.run.clone(),
                    worker: id.clone(),
                    polled: now.since(poll.sent_at),
                    ended: self.reconnects.recent_end(id, &running.run, now),
                });
            }
        }
        let mut stops = update_running(worker, poll, status, now, out);
        let is_listed = |run: &RunKey| {
            status.running.iter().any(|running| running.run == *run)
                || status.ended.iter().any(|end| end.run == *run)
        };
        let ended_before =
            |assigned: &&AssignedRun| assigned.predates_restart && !is_listed(&assigned.run);
        let cause = likely_cause(worker.runs.iter().filter(ended_before));
        let draining = worker.listed.draining;
        let may_list_more = status.ended.len() >= MAX_LISTED_ENDS;
        for assigned in &mut worker.runs {
            if may_list_more || is_listed(&assigned.run) {
                continue;
            }
            if assigned.is_gone(poll) {
                let how = match assigned.stage {
                    RunStage::Unconfirmed { .. } if !assigned.predates_restart => How::Unanswered,
                    RunStage::Running { .. } if assigned.predates_restart => {
                        loss_of(draining, &assigned.run, cause.as_ref())
                    }
                    RunStage::Unconfirmed { .. }
                    | RunStage::Starting
                    | RunStage::Running { .. } => How::Stopped,
                };
                out.log(LogEvent::RunMissing {
                    run: assigned.run.clone(),
                    worker: id.clone(),
                    how,
                    confirmed: now.since(assigned.active_since()),
                    polled: now.since(poll.sent_at),
                    lead,
                    front: assigned.claimed_front(),
                });
                ends.push((assigned.run.clone(), how));
            } else if matches!(assigned.stage, RunStage::Unconfirmed { last_poll: last, .. } if poll.number > last)
                && assigned.stop_requested.is_none()
            {
                // The start request may still be carried out.
                assigned.stop_requested = Some(now);
                stops.push(assigned.run.clone());
            }
        }
        for assigned in &mut worker.runs {
            assigned.duration_unknown |= gap && ends.iter().any(|(run, _)| *run == assigned.run);
        }
        for run in stops {
            push_stop(worker, &run, &self.response_times, &mut self.requests_sent, now, out);
        }
        for (run, how) in ends {
            self.end(id, &run, how, now, out);
        }
        self.stop_stalled(id, status, now, out);
    }

    /// Detects a restart by the worker's clock, on platforms that do not report incarnations.
    pub(super) fn check_clock(&mut self, id: &WorkerId, clock: u64, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.incarnation.is_known() || !worker.is_clock_reset(clock) {
            return;
        }
        worker.reset_after_restart();
        let mut stops = Vec::new();
        let unconfirmed = worker.runs.iter_mut().filter(|assigned| {
            matches!(assigned.stage, RunStage::Unconfirmed { .. })
                && assigned.stop_requested.is_some()
        });
        for assigned in unconfirmed {
            // The new incarnation may still carry out the start request.
            assigned.stop_requested = Some(now);
            stops.push(assigned.run.clone());
        }
        for run in stops {
            push_stop(worker, &run, &self.response_times, &mut self.requests_sent, now, out);
        }
        self.run_stats.forget(id);
        self.unreported.push(id.clone());
    }

    /// Stops runs that would end sooner if they were restarted on another worker.
    fn stop_stalled(&mut self, id: &WorkerId, status: &WorkerStatus, now: Time, out: &mut Output) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        // A run that is behind on a worker of normal speed is a long one and would take as long
        // elsewhere.
        let is_slow = self.run_stats.is_slow(id, now);
        let mut stops = Vec::new();
        for assigned in &mut worker.runs {
            // A run that is missing from the status may have made progress.
            let listed = status.running.iter().any(|running| running.run == assigned.run);
            if !listed || assigned.stop_requested.is_some() {
                continue;
            }
            let cause = if assigned.is_stalled(now) {
                Some(RestartCause::Stalled)
            } else {
                let late = is_slow && assigned.gains_from_restart(now) && self.restarts.spend();
                late.then_some(RestartCause::Late)
            };
            if let Some(cause) = cause {
                assigned.stop_requested = Some(now);
                assigned.restart_cause = Some(cause);
                out.log(LogEvent::Stalled {
                    run: assigned.run.clone(),
                    worker: id.clone(),
                    took: now.since(assigned.sent_at),
                    expected: assigned.expected,
                    percent: assigned.percent,
                    cause,
                    front: assigned.claimed_front(),
                });
                stops.push(assigned.run.clone());
            }
        }
        for run in stops {
            push_stop(worker, &run, &self.response_times, &mut self.requests_sent, now, out);
        }
    }

    /// Handles a poll that got no response.
    pub(super) fn handle_missing_response(
        &mut self,
        id: &WorkerId,
        poll: PendingPoll,
        now: Time,
        out: &mut Output,
    ) {
        let was_paused = self.paused_since(poll.sent_at, now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.is_unopened() {
            worker.timed_out_at = Some(now);
            worker.ownership = Ownership::Probing { at: now + PROBE_INTERVAL };
            worker.token = 0;
            return;
        }
        if !worker.unresponsive {
            let (worker, waited) = (id.clone(), now.since(poll.sent_at));
            out.log(LogEvent::Unanswered {
                worker,
                request: RequestKind::Poll,
                run: None,
                waited,
                front: None,
            });
        }
        worker.missed_since.get_or_insert(poll.sent_at);
        if was_paused {
            // The response may have been waiting while this process was paused.
            worker.missed_polls = worker.missed_polls.max(1);
        } else {
            self.response_times.record_timeout(worker.missed_polls == 0);
            worker.timed_out_at = Some(now);
            worker.missed_polls += 1;
        }
        let is_unconfirmed =
            |assigned: &AssignedRun| matches!(assigned.stage, RunStage::Unconfirmed { .. });
        worker.needs_status |= worker.runs.iter().any(is_unconfirmed);
        // The pause may not have been noticed by a tick yet.
        let paused_until = if was_paused { now } else { self.paused_until };
        if !worker.unresponsive && worker.exceeds_silence_limit(paused_until, now) {
            worker.unresponsive = true;
            out.log(LogEvent::WorkerUnresponsive {
                worker: id.clone(),
                silence: now.since(worker.responded_at),
                runs: worker.runs.len(),
                unanswered: worker.unanswered.len(),
                over_in: worker.runs_end().since(now),
            });
            self.unreported.push(id.clone());
        }
    }

    /// Polls each worker that is due.
    pub fn send_polls(&mut self, now: Time, out: &mut Output) {
        let me = self.me.clone();
        self.heartbeat_seen(&me, now, now);
        for (_, worker) in self.workers.iter_mut() {
            if let Some(pending) = worker.poll {
                // Polls of a worker are identified by the time at which they were sent.
                let free = worker.extra_poll.is_none() && pending.sent_at < now;
                if worker.needs_status
                    && free
                    && !worker.unresponsive
                    && worker.ownership == Ownership::Open
                {
                    worker.extra_poll =
                        Some(push_poll(worker, &self.response_times, true, now, out));
                }
                continue;
            }
            let busy = !worker.runs.is_empty();
            let due = match worker.ownership {
                Ownership::Probing { at } | Ownership::Opening { at } => now >= at,
                // The lease must not be extended for runs that no front claims.
                Ownership::Claiming { .. } => false,
                Ownership::Open => {
                    let idle = now.since(worker.polled_at) >= IDLE_POLL_INTERVAL;
                    busy || worker.unresponsive || worker.missed_polls > 0 || idle
                }
            };
            let same = worker.extra_poll.is_some_and(|poll| poll.sent_at == now)
                || worker.forgotten_poll == Some(now);
            if !due
                || same
                || (worker.unresponsive && now.since(worker.polled_at) < UNRESPONSIVE_POLL_INTERVAL)
            {
                continue;
            }
            let at_once = worker.needs_status || worker.missed_polls > 0;
            worker.poll = Some(push_poll(worker, &self.response_times, at_once, now, out));
        }
    }
}

/// Updates the runs that a worker reports and returns those that have to be stopped.
fn update_running(
    worker: &mut Worker,
    poll: PendingPoll,
    status: &WorkerStatus,
    now: Time,
    out: &mut Output,
) -> Vec<RunKey> {
    let mut stops = Vec::new();
    for running in &status.running {
        let Some(assigned) = worker.runs.iter_mut().find(|assigned| assigned.run == running.run)
        else {
            stops.push(running.run.clone());
            continue;
        };
        if let Some(number) = assigned.request {
            worker.unanswered.remove(LeasedRequest::Start(number));
        }
        assigned.percent = running.percent;
        assigned.progressed_at = now;
        match assigned.stage {
            RunStage::Running { .. } => continue,
            // The stop was requested before the start request got its response.
            RunStage::Starting if assigned.stop_requested.is_some() => {
                assigned.stop_requested = Some(now);
                stops.push(assigned.run.clone());
            }
            RunStage::Starting => {}
            RunStage::Unconfirmed { .. } => out.log(LogEvent::Resolved {
                worker: worker.listed.id.clone(),
                request: RequestKind::Start,
                run: Some(assigned.run.clone()),
                outcome: Resolution::Running,
                took: now.since(assigned.sent_at),
                front: assigned.claimed_front(),
            }),
        }
        // Without a response to the start request, the time at which the run started is unknown.
        assigned.duration_unknown = true;
        assigned.stage = RunStage::Running { since: poll.sent_at, last_poll: worker.polls_sent };
    }
    stops
}

/// Sends a poll. `at_once` is whether the worker should respond without waiting for a run to end.
fn push_poll(
    worker: &mut Worker,
    response_times: &ResponseTimes,
    at_once: bool,
    now: Time,
    out: &mut Output,
) -> PendingPoll {
    // Once a worker is unresponsive, its lease must be allowed to expire.
    let leases = !worker.runs.is_empty() && !worker.unresponsive && !worker.is_unopened();
    let lease = if leases { worker.renew_lease(now) } else { None };
    let wait = if leases && !at_once { worker.poll_wait(response_times, now) } else { Span::ZERO };
    let poll = worker.begin_poll(wait, now);
    out.commands.push(Command::Poll {
        worker: Box::new(worker.listed.clone()),
        token: worker.token,
        timeout: worker.request_timeout(response_times, now),
        acked: worker.acked,
        lease,
        wait,
        new_connection: worker.unresponsive || worker.missed_polls > 0,
    });
    poll
}
