//! Runs whose owner became unreachable or was replaced.

use cranberryhatch_schema::fleet::{Claim, Confirm, How, Relinked, Run, Takeover};
use cranberryhatch_types::{InstanceId, Time};

use super::{Front, start_message};
use crate::{
    EndReport, Incarnation, Output, OwnerRequests, RunEndCause, RunKey, TaskKey,
    log_event::LogEvent, output::Message, task_state::Phase,
};

impl Front {
    /// Marks the runs of an unreachable owner, which was last heard at `heard`. `requests` are
    /// those that may extend its runs.
    pub fn owner_unreachable(
        &mut self,
        owner: &InstanceId,
        requests: &OwnerRequests,
        heard: Time,
        out: &mut Output,
    ) {
        for (name, active) in self.jobs.iter_mut() {
            for (tasks, step) in active.steps.iter_mut().zip(0..) {
                for (state, task) in tasks.iter_mut().zip(0..) {
                    if state.mark_lost(owner, requests, heard) {
                        let key = TaskKey { job: name.clone(), step, task };
                        let run = RunKey { task: key, run: state.run };
                        let (owner, outlasts) = (owner.clone(), state.outlasts_owner());
                        out.log(LogEvent::RunLost { run, owner, outlasts });
                    }
                }
            }
        }
    }

    /// Handles an owner's report after a reconnect: the state of the runs that were started on the
    /// previous link, which had come up at `since`.
    ///
    /// A start that the owner does not know was lost with that link, and cannot arrive later:
    /// messages of a broken link are never handled on a later one.
    pub fn relinked(
        &mut self,
        from: &InstanceId,
        relinked: &Relinked,
        since: Time,
        now: Time,
        out: &mut Output,
    ) {
        let running: Vec<RunKey> = relinked.running.iter().map(RunKey::from).collect();
        let mut kept = Vec::new();
        let mut ends = Vec::new();
        for (_, active) in self.jobs.iter_mut() {
            let wanted = active.closing_since.is_none() && now < active.job.deadline;
            let keys: Vec<TaskKey> = active.placed().map(|(key, _)| key).collect();
            for key in keys {
                let Some(state) = active.task(&key) else { continue };
                let run = RunKey { task: key, run: state.run };
                let Phase::Placed(place) = &mut state.phase else { continue };
                if place.owner != *from || place.lost_since.is_none() {
                    continue;
                }
                if running.contains(&run) {
                    place.claimed = false;
                    if wanted {
                        place.lost_since = None;
                        kept.push(Run::from(&run));
                    }
                    continue;
                }
                let said = relinked.ended.iter().find(|ended| {
                    ended.worker == place.worker.as_str()
                        && (ended.start_number == 0 || ended.start_number == place.start_number)
                        && ended.run.as_ref().is_some_and(|known| RunKey::from(known) == run)
                });
                // The run may still be running if the claim of a run that the owner found was lost,
                // or if the worker has accepted another owner.
                let is_owned = relinked.obeying.iter().any(|obeying| {
                    obeying.worker == place.worker.as_str() && obeying.token == place.token
                });
                if said.is_none() && (place.claimed || place.requested_at < since || !is_owned) {
                    continue;
                }
                let (cause, how) = match said {
                    Some(ended) => (RunEndCause::ReconnectEnded, ended.how()),
                    None => (RunEndCause::ReconnectMissing, How::Stopped),
                };
                let (reporter, worker) = (from.clone(), place.worker.to_string());
                ends.push((run, EndReport { cause, how, reporter, worker }));
            }
        }
        if !kept.is_empty() {
            out.send(from, Message::Confirm(Confirm { runs: kept }));
        }
        for (run, end) in ends {
            self.end_run(&run, end, now, out);
        }
    }

    /// Handles a new owner's report of the runs on a worker, and claims those that are still
    /// wanted.
    ///
    /// `seen` is the last heartbeat received from that owner.
    pub fn takeover(
        &mut self,
        from: &InstanceId,
        found: &Takeover,
        seen: Time,
        now: Time,
        out: &mut Output,
    ) {
        let running: Vec<RunKey> = found.running.iter().map(RunKey::from).collect();
        let mut ends = Vec::new();
        let mut claims = Vec::new();
        for (_, active) in self.jobs.iter_mut() {
            let wanted = active.closing_since.is_none() && now < active.job.deadline;
            let job = active.job.clone();
            let keys: Vec<TaskKey> = active.placed().map(|(key, _)| key).collect();
            for key in keys {
                let Some(state) = active.task(&key) else { continue };
                let Phase::Placed(place) = &mut state.phase else { continue };
                // The report of a previous owner may arrive after that of the current one.
                if place.worker.as_str() != found.worker || place.token >= found.token {
                    continue;
                }
                let run = RunKey { task: key.clone(), run: state.run };
                if running.contains(&run) {
                    place.owner = from.clone();
                    place.token = found.token;
                    place.lost_since = None;
                    place.claimed = true;
                    if wanted {
                        claims.extend(start_message(&job, &key, state, seen, now));
                    }
                    continue;
                }
                let said = found.ended.iter().find(|ended| {
                    ended.run.as_ref().is_some_and(|known| RunKey::from(known) == run)
                });
                // The worker accepts requests of the new owner only, so a run that is not there
                // cannot start any more. It may have run and ended without its report reaching this
                // front.
                let has_restarted = Incarnation::new(found.born_ms).is_other(place.incarnation);
                // The worker may have restarted after the run had ended.
                let loss = if has_restarted { How::Lost } else { How::Stopped };
                let (cause, how) = match said {
                    Some(ended) => (RunEndCause::TakeoverEnded, ended.how()),
                    None => (RunEndCause::TakeoverMissing, loss),
                };
                let (reporter, worker) = (from.clone(), found.worker.clone());
                ends.push((run, EndReport { cause, how, reporter, worker }));
            }
        }
        if !running.is_empty() {
            let claim = Claim { worker: found.worker.clone(), runs: claims };
            out.send(from, Message::Claim(claim));
        }
        for (run, end) in ends {
            self.end_run(&run, end, now, out);
        }
        for ended in &found.ended {
            let Some(run) = ended.run.as_ref().map(RunKey::from) else { continue };
            self.ended_late(from, &run, ended, now, out);
        }
    }
}
