//! State machine of one instance: combines the front, the owner, and the scheduler.

mod absent;
mod cancel;
mod contact;
mod drained;
mod link;

use absent::AbsentPeers;
use bytes::Bytes;
use cancel::UnconfirmedCancel;
use contact::{AnnouncedState, BrokenLink, PeerLink};
use cranberryhatch_schema::fleet::{
    Ask, Beat, Cancels, Losses, Settings, Superseded, Takeover, Workers, frame::Body,
};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::{
    CanceledJobs, Command, DrainFreshness, Front, Incarnation, InstanceInfo, Job, ListedWorker,
    Member, Members, NotRunCause, Outcome, Output, Owner, Owners, PollResult, RUN_EXPIRY, RunKey,
    Scheduler, Shutdown, ShutdownProgress, StartResponse, TaskKey, Topology, VecMap, WorkerList,
    ZoneDrains, log_event::LogEvent, version_history::VersionHistory,
};

/// Heartbeat interval between two instances of which one runs tasks or schedules for the other.
pub const HEARTBEAT_INTERVAL: Span = Span::from_ms(140);
/// Heartbeats that may be missing in a row before a peer is unreachable.
const MISSED_HEARTBEATS: u64 = 4;
/// Silence after which a peer at [`HEARTBEAT_INTERVAL`] is unreachable.
pub const PEER_TIMEOUT: Span = Span::from_ms(600);
/// Interval between two assignments of workers to owners.
const ASSIGN_INTERVAL: Span = Span::from_ms(500);
/// Time in which an instance takes no further workers after it lost most of its peers at once or
/// was paused: it is more likely that it was isolated than that all others have failed.
const ISOLATION_HOLD: Span = Span::from_ms(800);
/// Gap between two ticks from which this process counts as paused.
const PAUSE_THRESHOLD: Span = Span::from_ms(400);
/// Time in which a peer normally gets a version of the settings or drains from the store; a peer
/// that lacks a version for longer gets the newest one from this instance.
const SETTINGS_GRACE: Span = Span::from_ms(250);

/// An instance: the front of its callers' jobs, the owner of its workers, and the scheduler if
/// elected.
///
/// It does no I/O. Every method takes the current time and appends the resulting commands to an
/// [`Output`].
#[derive(Debug)]
pub struct Node {
    members: Members,
    listing: WorkerList,
    front: Front,
    owner: Owner,
    scheduler: Scheduler,
    canceled: CanceledJobs,
    // Cancels that the instances that may have the job have not confirmed yet.
    unconfirmed: Vec<UnconfirmedCancel>,
    // The instance that schedules.
    elected: Option<InstanceId>,
    links: VecMap<InstanceId, PeerLink>,
    // Members whose link broke and is not up again yet.
    broken_links: VecMap<InstanceId, BrokenLink>,
    // Peers without a link.
    absent: AbsentPeers,
    // Workers of each peer on which runs may outlast its leases, sorted, as of its last heartbeat.
    unanswered: VecMap<InstanceId, Vec<WorkerId>>,
    owners: Owners,
    settings: (u64, Bytes),
    settings_history: VersionHistory,
    // When the first settings were applied.
    first_settings_at: Time,
    drains: ZoneDrains,
    drains_history: VersionHistory,
    drain_freshness: DrainFreshness,
    started: Time,
    // State and view of the members that the last heartbeats announced.
    announced: AnnouncedState,
    announced_view: u64,
    topology: Topology,
    // When the links were last reviewed; zero if the topology has changed since.
    reviewed_at: Time,
    assigned_at: Time,
    // End of the time in which this instance takes no further workers.
    hold_until: Time,
    // End of the time in which this instance does not schedule after a pause.
    resting_until: Time,
    ticked_at: Time,
    shutdown: Option<Shutdown>,
    // Whether the shutdown is over and all callers have their answers.
    stopped: bool,
}

impl Node {
    /// Creates an instance whose process has just started.
    #[must_use]
    pub fn new(me: Member, now: Time) -> Self {
        let front = Front::new(me.id.clone(), me.zone.to_string());
        let owner = Owner::new(me.id.clone());
        let topology = Topology::new(InstanceInfo::from(&me));
        let mut scheduler = Scheduler::default();
        scheduler.add_reachable(&me.id);
        Self {
            members: Members::new(me),
            listing: WorkerList::default(),
            front,
            owner,
            scheduler,
            canceled: CanceledJobs::default(),
            unconfirmed: Vec::new(),
            elected: None,
            links: VecMap::default(),
            broken_links: VecMap::default(),
            absent: AbsentPeers::default(),
            unanswered: VecMap::default(),
            owners: Owners::default(),
            settings: (0, Bytes::new()),
            settings_history: VersionHistory::default(),
            first_settings_at: now,
            drains: ZoneDrains::default(),
            drains_history: VersionHistory::default(),
            drain_freshness: DrainFreshness::new(now),
            started: now,
            announced: AnnouncedState::default(),
            announced_view: 0,
            topology,
            reviewed_at: Time::ZERO,
            assigned_at: Time::ZERO,
            hold_until: Time::ZERO,
            resting_until: Time::ZERO,
            ticked_at: now,
            shutdown: None,
            stopped: false,
        }
    }

    /// Submits a caller's job; refuses it if it cannot be finished before a planned shutdown, or if
    /// all its workers are in drained zones.
    ///
    /// `ticket` identifies the caller's request in [`Command::Answer`].
    pub fn submit(&mut self, ticket: u64, job: Job, now: Time, out: &mut Output) {
        if self.canceled.contains(&job.name, now) {
            // The cancelled job was answered as failed.
            out.log(LogEvent::CanceledBefore { job: job.name });
            return out.answer(ticket, Outcome::Failed);
        }
        let stopping = self.shutdown_progress(now);
        // A known job may be running: its caller has resubmitted it.
        let known = self.front.contains(&job.name);
        if !known && self.shutdown.is_some_and(|shutdown| !shutdown.accepts(&job, now)) {
            let cause = NotRunCause::Stopping;
            out.log(LogEvent::Rejected { request: job.name, cause, stopping });
            // The caller can resubmit the job to another instance at once.
            return out.answer(ticket, Outcome::NotRun { cause, retry: Span::ZERO });
        }
        if let Some(outcome) = self.drained_outcome(&job).filter(|_| !known) {
            let cause = NotRunCause::Drained;
            out.log(LogEvent::Rejected { request: job.name, cause, stopping });
            return out.answer(ticket, outcome);
        }
        if let Some(stopping) = stopping {
            let left = job.deadline.since(now);
            out.log(LogEvent::AdmittedStopping { job: job.name.clone(), left, stopping });
        }
        self.front.submit(ticket, job, now, out);
        self.process_pending(now, false, out);
    }

    /// Handles a caller that disconnected before its answer.
    pub fn caller_gone(&mut self, ticket: u64, now: Time, out: &mut Output) {
        self.front.caller_gone(ticket, now, out);
        self.process_pending(now, false, out);
    }

    fn update_owner_peers(&mut self) {
        let peers = self.members.peers().iter();
        self.owner.set_peers(peers.map(|peer| peer.id.clone()).collect());
    }

    /// Handles a message from a peer.
    pub fn handle_message(
        &mut self,
        from: &InstanceId,
        message: Body,
        now: Time,
        out: &mut Output,
    ) {
        if let Some(link) = self.links.get_mut(from) {
            link.heard_at = now;
            if matches!(message, Body::Start(_)) {
                // Runs of the peer end soon after its last heartbeat, so the shorter timeout
                // applies.
                link.busy_since = Some(now);
            }
        }
        self.dispatch_message(from, message, now, out);
    }

    fn dispatch_message(&mut self, from: &InstanceId, message: Body, now: Time, out: &mut Output) {
        match message {
            // The process handles these messages itself.
            Body::Hello(_) | Body::Workers(_) => {}
            Body::Drains(drains) => self.handle_drains(from, drains, now, out),
            Body::Beat(beat) => self.handle_heartbeat(from, &beat, now, out),
            Body::Settings(settings) => {
                let source = Some(from.clone());
                self.replace_settings(settings.version, settings.body.into(), source, now, out);
            }
            Body::Ask(ask) => self.handle_ask(from, ask, now, out),
            Body::Superseded(superseded) => self.handle_superseded(from, &superseded, now, out),
            Body::Yielded(yielded) => self.scheduler.handle_yielded(from, &yielded.job, now),
            // The ages in messages that are read after a pause do not include it.
            Body::Submissions(submissions) if !self.was_paused(now) => {
                self.scheduler.merge_submissions(&submissions, now);
            }
            Body::Submissions(_) => {}
            Body::Cancels(cancels) => self.handle_cancels(from, &cancels, now, out),
            Body::Losses(losses) => self.front.merge_losses(&losses, now),
            Body::Withdraw(withdraw) => self.scheduler.withdraw(from, &withdraw.job),
            Body::Unused(unused) => {
                if let Ok(worker) = unused.worker.parse::<WorkerId>() {
                    let (job, step, task) = (unused.job, unused.step, unused.task);
                    let task = TaskKey { job, step, task };
                    self.scheduler.release_unused(&worker, &task, unused.refused, now);
                }
            }
            Body::Rooms(mut rooms) => {
                if self.was_paused(now) {
                    let held = rooms.rooms.iter_mut().flat_map(|room| &mut room.held);
                    held.for_each(|held| held.age_ms = None);
                }
                self.scheduler.update_workers(from, rooms, &self.listing, now);
            }
            Body::Freed(freed) => self.scheduler.run_ended(&freed, now),
            Body::Grant(grant) => {
                let (me, links) = (&self.members.me().id, &self.links);
                let heartbeat = |id: &InstanceId| last_heartbeat(me, links, id, now);
                self.front.granted(from, grant, heartbeat, now, out);
            }
            Body::Refusal(refusal) => self.front.refused(&refusal, now, out),
            Body::Ended(ended) => self.front.ended(from, &ended, now, out),
            Body::Takeover(found) => self.takeover(from, &found, now, out),
            Body::Takeovers(takeovers) => {
                for found in &takeovers.found {
                    self.takeover(from, found, now, out);
                }
            }
            Body::Start(start) => {
                self.owner.allow_starts(self.can_start(now));
                self.owner.start(from, start, now, out);
                self.request_echo(from, now, out);
            }
            Body::Stop(stop) => self.owner.stop(from, &stop, now, out),
            Body::Claim(claim) => self.owner.handle_claim(from, &claim, now, out),
            Body::Relinked(relinked) => {
                // The report covers only runs that were started on the link that broke.
                if let Some(since) = self.links.get(from).and_then(|link| link.previous_up) {
                    self.front.relinked(from, &relinked, since, now, out);
                }
            }
            Body::Confirm(confirm) => self.owner.handle_confirm(from, &confirm),
        }
    }

    fn handle_ask(&mut self, front: &InstanceId, ask: Ask, now: Time, out: &mut Output) {
        if let Some(cancels) = self.canceled.message_of(&ask.job, now) {
            let cancels = Cancels { notice: true, ..cancels };
            return out.send(front, Body::Cancels(cancels));
        }
        let runs = self.scheduler.unnamed_losses(&ask, now);
        self.scheduler.handle_ask(front, ask, now, out);
        if !runs.is_empty() {
            out.send(front, Body::Losses(Losses { runs }));
        }
    }

    fn handle_superseded(
        &mut self,
        from: &InstanceId,
        superseded: &Superseded,
        now: Time,
        out: &mut Output,
    ) {
        let Ok(front) = superseded.front.parse::<InstanceId>() else { return };
        let Ok(by) = superseded.by.parse::<InstanceId>() else { return };
        if by == self.members.me().id {
            self.front.set_submitted_before(&superseded.job);
        }
        if by == front {
            return;
        }
        self.owner.stop_superseded(&superseded.job, &front, now, out);
        // An earlier process of this front may have runs until their leases expire.
        let is_known = self.front.contains(&superseded.job);
        if front != self.members.me().id || !is_known && now.since(self.started) < RUN_EXPIRY {
            return;
        }
        let age = Span::from_ms(superseded.age_ms.into());
        self.front.superseded(from, &superseded.job, &by, age, now, out);
    }

    fn takeover(&mut self, from: &InstanceId, found: &Takeover, now: Time, out: &mut Output) {
        self.owner.observe_token(found.token);
        // Runs that were found there are known to the scheduler only with the owner's report.
        if let (true, Ok(worker)) = (found.running.is_empty(), found.worker.parse::<WorkerId>()) {
            self.scheduler.worker_opened(&worker);
        }
        let me = &self.members.me().id;
        let seen = last_heartbeat(me, &self.links, from, now).unwrap_or(Time::ZERO);
        self.front.takeover(from, found, seen, now, out);
    }

    /// Delivers messages that this instance sent to itself, schedules, and sends polls that are
    /// due.
    ///
    /// Capacity is granted once for all events since the last call. `tick` marks a periodic call.
    pub fn process_pending(&mut self, now: Time, tick: bool, out: &mut Output) {
        let mut tick = tick;
        loop {
            self.deliver_to_self(now, out);
            if self.is_scheduler() && self.can_start(now) {
                self.scheduler.schedule(now, std::mem::take(&mut tick), out);
            }
            let me = &self.members.me().id;
            let own = |command: &Command| matches!(command, Command::Send { to, .. } if to == me);
            if !out.commands.iter().any(own) {
                break;
            }
        }
        self.owner.send_polls(now, out);
    }

    fn deliver_to_self(&mut self, now: Time, out: &mut Output) {
        let me = self.members.me().id.clone();
        let mut place = 0;
        while place < out.commands.len() {
            if !matches!(&out.commands[place], Command::Send { to, .. } if *to == me) {
                place += 1;
                continue;
            }
            if let Command::Send { message, .. } = out.commands.remove(place) {
                self.dispatch_message(&me, message, now, out);
            }
        }
    }

    fn handle_heartbeat(&mut self, from: &InstanceId, beat: &Beat, now: Time, out: &mut Output) {
        if let Some(link) = self.links.get_mut(from) {
            let limit = u64::from(beat.next_ms) * MISSED_HEARTBEATS;
            link.timeout = Span::from_ms(limit).max(PEER_TIMEOUT);
            link.heartbeat = Time::from_ms(beat.sent_ms);
            link.resting = beat.rests;
        }
        self.set_unanswered_workers(from, &beat.unanswered);
        self.owner.heartbeat_seen(from, Time::from_ms(beat.seen_ms), now);
        self.retry_deferred_starts(now, out);
        if beat.echo {
            self.send_heartbeat(from, now, out);
        }
        self.compare_drains(from, beat.drains, Time::from_ms(beat.seen_ms), now, out);
        self.members.set_view(from, beat.view);
        let Some(peer) = self.members.peer_mut(from) else { return };
        let changed = (peer.draining, peer.joined) != (beat.draining, beat.joined);
        peer.draining = beat.draining;
        peer.version = beat.version;
        self.members.update_peer(from, beat.core, beat.joined, now);
        if beat.version < self.settings_history.settled(SETTINGS_GRACE, now) {
            let (version, body) = (self.settings.0, self.settings.1.to_vec());
            out.send(from, Body::Settings(Settings { version, body }));
        }
        if changed {
            self.update_roles(now, out);
        }
    }

    /// Applies settings read from the store if they are newer than the current ones.
    pub fn apply_settings(&mut self, version: u64, body: Bytes, now: Time, out: &mut Output) {
        self.replace_settings(version, body, None, now, out);
    }

    /// Applies settings that are newer than the current ones. `source` is the peer that sent them;
    /// `None` for the store.
    fn replace_settings(
        &mut self,
        version: u64,
        body: Bytes,
        source: Option<InstanceId>,
        now: Time,
        out: &mut Output,
    ) {
        let before = self.settings.0;
        if version <= before {
            return;
        }
        self.settings = (version, body.clone());
        self.settings_history.record(version, now);
        if before == 0 {
            self.first_settings_at = now;
        }
        self.members.me_mut().version = version;
        out.log(LogEvent::Settings { version, before, source });
        out.commands.push(Command::ApplySettings { version, body });
    }

    /// Replaces the worker list, which was read at the wall clock time `wall_ms`.
    pub fn replace_worker_list(
        &mut self,
        workers: Vec<ListedWorker>,
        wall_ms: u64,
        now: Time,
        out: &mut Output,
    ) {
        self.listing.replace(workers, now);
        self.apply_worker_list();
        self.assign_workers(wall_ms, now);
        self.process_pending(now, false, out);
    }

    /// Replaces the list of registered instances.
    pub fn replace_instances(&mut self, instances: Vec<InstanceInfo>) {
        let linked = self.members.peers().iter().map(InstanceInfo::from);
        self.topology.replace_registered(instances, linked);
        self.reviewed_at = Time::ZERO;
    }

    /// Returns whether this instance is the zone reader, which reads the platform's lists for all
    /// instances of its zone, or does not know which instance is.
    #[must_use]
    pub fn is_zone_reader(&self) -> bool {
        self.members.zone_reader().is_none_or(|reader| *reader == self.members.me().id)
    }

    /// Sends changes of the worker list to the peers of this zone, if this instance is its reader.
    pub fn broadcast_worker_list(&self, workers: &Workers, out: &mut Output) {
        let me = self.members.me();
        if self.members.zone_reader() != Some(&me.id) {
            return;
        }
        let zone_peers = self.members.peers().iter().filter(|peer| peer.zone == me.zone);
        zone_peers.for_each(|peer| out.send(&peer.id, Body::Workers(workers.clone())));
    }

    fn assign_workers(&mut self, wall_ms: u64, now: Time) {
        self.assigned_at = now;
        self.owners = self.members.owners(self.listing.all().len());
        if self.members.is_admitted() && now >= self.hold_until {
            self.owner.assign(&self.listing, &self.owners, wall_ms, now);
        }
    }

    /// Updates the roles of this instance after the members changed.
    fn update_roles(&mut self, now: Time, out: &mut Output) {
        // The next tick assigns the workers.
        self.assigned_at = Time::ZERO;
        let elected = self.members.scheduler().cloned();
        if elected == self.elected {
            return;
        }
        let submissions = self.scheduler.known_submissions();
        out.log(LogEvent::SchedulerChanged { scheduler: elected.clone(), submissions });
        if self.is_scheduler() && !self.was_paused(now) {
            self.scheduler.hand_over(elected.as_ref(), now, out);
        }
        self.elected.clone_from(&elected);
        if !self.is_scheduler() {
            self.scheduler.step_down();
        }
        self.owner.set_scheduler(elected.clone());
        self.front.set_scheduler(elected, now, out);
        self.send_cancels(now, out);
    }

    fn is_scheduler(&self) -> bool {
        self.elected.as_ref() == Some(&self.members.me().id)
    }

    /// Handles the result of a poll.
    pub fn handle_poll_result(&mut self, result: PollResult, now: Time, out: &mut Output) {
        self.owner.handle_poll_result(result, &self.members, now, out);
        self.process_pending(now, false, out);
    }

    /// Handles the response to the earliest unanswered start request for a run, with the worker's
    /// clock in milliseconds if known.
    pub fn handle_start_response(
        &mut self,
        worker: &WorkerId,
        run: &RunKey,
        answer: StartResponse,
        clock: Option<u64>,
        now: Time,
        out: &mut Output,
    ) {
        self.owner.handle_start_response(worker, run, answer, clock, now, out);
        self.process_pending(now, false, out);
    }

    /// Handles the response to the start request with this number, with the clock and the incarnation
    /// of the worker.
    pub fn handle_start_response_from(
        &mut self,
        worker: &WorkerId,
        number: u64,
        answer: StartResponse,
        from: Option<(u64, Incarnation)>,
        now: Time,
        out: &mut Output,
    ) {
        self.owner.handle_start_response_from(worker, number, answer, from, now, out);
        self.process_pending(now, false, out);
    }

    /// Handles the response to the stop request with this number.
    pub fn handle_stop_response_to(
        &mut self,
        worker: &WorkerId,
        run: &RunKey,
        number: u64,
        accepted: bool,
        now: Time,
        out: &mut Output,
    ) {
        self.owner.handle_stop_response_to(worker, run, number, accepted, now, out);
        self.process_pending(now, false, out);
    }

    /// Begins a planned shutdown: this instance gives up its roles, and answers the remaining jobs
    /// before the end of the grace period.
    pub fn begin_shutdown(&mut self, grace: Span, now: Time, out: &mut Output) {
        self.members.me_mut().draining = true;
        self.shutdown.get_or_insert_with(|| Shutdown::new(grace, now));
        self.send_heartbeats(now, out);
        self.update_roles(now, out);
        self.process_pending(now, false, out);
    }

    /// Runs the periodic work; to be called every few milliseconds.
    pub fn tick(&mut self, wall_ms: u64, now: Time, out: &mut Output) {
        let gap = now.since(self.ticked_at);
        self.ticked_at = now;
        if gap >= PAUSE_THRESHOLD {
            out.log(LogEvent::Paused { gap });
            self.hold_until = now + ISOLATION_HOLD;
        }
        self.review_drains(gap >= PAUSE_THRESHOLD, now, out);
        self.check_peers(now, out);
        self.review_links(now, out);
        self.check_silence(gap, now, out);
        self.admit_members(now, out);
        self.join(now, out);
        if now.since(self.assigned_at) >= ASSIGN_INTERVAL {
            self.assign_workers(wall_ms, now);
        }
        let scheduler = self.elected.as_ref().and_then(|elected| self.links.get(elected));
        self.front.set_scheduler_heard(scheduler.map(|scheduler| scheduler.heard_at));
        self.front.tick(now, out);
        self.front.review_losses(&self.listing, now, out);
        self.scheduler.review_losses(&self.listing, now);
        self.scheduler.tick(now);
        self.canceled.remove_old(now);
        self.time_out_cancels(now, out);
        if self.is_scheduler() {
            self.scheduler.replicate(&self.members.standby_schedulers(), now, out);
        }
        if self.shutdown.is_some_and(|shutdown| shutdown.is_over(now)) {
            self.front.end_all(now, out);
            self.stopped = true;
        }
        // A heartbeat extends the leases of this instance's runs, so jobs past their deadline end
        // first.
        self.send_heartbeats(now, out);
        self.retry_deferred_starts(now, out);
        self.owner.tick(&self.listing, &self.owners, wall_ms, now, out);
        self.process_pending(now, true, out);
    }

    /// Returns whether callers should be routed to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.members.me().draining && self.settings.0 > 0 && self.elected.is_some()
    }

    /// Returns whether a planned shutdown has begun.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.members.me().draining
    }

    /// Returns the planned shutdown, if one has begun.
    #[must_use]
    pub const fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown
    }

    /// Returns the progress of the planned shutdown, if one has begun.
    #[must_use]
    pub fn shutdown_progress(&self, now: Time) -> Option<ShutdownProgress> {
        self.shutdown.map(|shutdown| shutdown.progress(now))
    }

    /// Returns whether the process may exit: no jobs and runs are left, or the grace period is
    /// over.
    #[must_use]
    pub fn is_stopped(&self, now: Time) -> bool {
        let idle = self.front.is_empty() && self.owner.run_count() == 0;
        self.stopped || idle && self.shutdown.is_some_and(|shutdown| !shutdown.expects_callers(now))
    }

    /// Returns the version of the current settings; 0 for none.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.settings.0
    }

    /// Returns the front: the jobs of this instance's callers.
    #[must_use]
    pub const fn front(&self) -> &Front {
        &self.front
    }

    /// Returns the owner: the workers of this instance and their runs.
    #[must_use]
    pub const fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Returns the members: this instance and its peers.
    #[must_use]
    pub const fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the numbers of queued steps and of workers that accept tasks, if this instance
    /// schedules.
    #[must_use]
    pub fn load(&self, now: Time) -> Option<(usize, usize)> {
        self.is_scheduler().then(|| self.scheduler.load(now))
    }
}

/// Returns the sending time, by its own clock, of the last heartbeat that was received from an
/// instance; none if it is unreachable.
fn last_heartbeat(
    me: &InstanceId,
    links: &VecMap<InstanceId, PeerLink>,
    id: &InstanceId,
    now: Time,
) -> Option<Time> {
    if me == id { Some(now) } else { links.get(id).map(|link| link.heartbeat) }
}
