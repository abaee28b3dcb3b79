//! All decisions of one instance.

mod contact;
mod drained;
mod link;

use bytes::Bytes;
use contact::{Heard, Said, Severed};
use cranberryhatch_schema::fleet::{Beat, Settings, Takeover, Workers, frame::Body};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::{
    Command, DrainFreshness, Front, Incarnation, InstanceInfo, Job, ListedWorker, Member, Members,
    NotRunCause, Outcome, Output, Owner, Owners, PollResult, RunKey, Scheduler, Shutdown,
    ShutdownProgress, StartResponse, TaskKey, Topology, VecMap, WorkerList, ZoneDrains,
    log_event::LogEvent,
};

/// Time between two signs of life where one side has duties for the other.
pub const HEARTBEAT_INTERVAL: Span = Span::from_ms(140);
/// Signs of life in a row that may be missing or late before a peer counts as out of reach.
const BEATS_MISSED: u64 = 4;
/// Silence after which a peer with duties counts as out of reach.
pub const PEER_TIMEOUT: Span = Span::from_ms(600);
/// Time between two checks which workers this instance should own.
const ASSIGN_EVERY: Span = Span::from_ms(500);
/// Time without new duties after most peers were lost at once: it is more likely that this instance
/// is cut off or was paused than that all others are gone.
const DOUBT: Span = Span::from_ms(800);
/// Gap between two ticks that counts as a pause of this process.
const PAUSE: Span = Span::from_ms(400);
/// Time after which a peer with older settings gets them from here; it usually has them by then.
const SETTINGS_GRACE: Span = Span::from_ms(250);

/// Decisions of one instance: callers' jobs, its workers, and room if it schedules.
///
/// It does no I/O. Every method takes the time and leaves what is to be done in the output.
#[derive(Debug)]
pub struct Node {
    members: Members,
    listing: WorkerList,
    front: Front,
    owner: Owner,
    scheduler: Scheduler,
    elected: Option<InstanceId>,
    heard: VecMap<InstanceId, Heard>,
    // Peers whose link broke lately.
    severed: VecMap<InstanceId, Severed>,
    owners: Owners,
    settings: (u64, Bytes),
    settings_at: Time,
    // When it first had settings.
    settled_at: Time,
    drains: ZoneDrains,
    // When the drains that are known were learnt.
    drains_at: Time,
    drain_freshness: DrainFreshness,
    started: Time,
    // What the last signs of life said of this instance, and of the instances in reach.
    said: Said,
    view_said: u64,
    topology: Topology,
    // When the topology was last reviewed; zero if it changed since.
    reviewed: Time,
    assigned_at: Time,
    doubt_until: Time,
    // Until when this instance does not schedule after a pause.
    rests_until: Time,
    ticked: Time,
    stop: Option<Shutdown>,
    // Whether the stop is over and all callers have their answers.
    stopped: bool,
}

impl Node {
    /// An instance that has just started.
    #[must_use]
    pub fn new(me: Member, now: Time) -> Self {
        let front = Front::new(me.id.clone(), me.zone.to_string());
        let owner = Owner::new(me.id.clone());
        let topology = Topology::new(InstanceInfo::from(&me));
        Self {
            members: Members::new(me),
            listing: WorkerList::default(),
            front,
            owner,
            scheduler: Scheduler::default(),
            elected: None,
            heard: VecMap::default(),
            severed: VecMap::default(),
            owners: Owners::default(),
            settings: (0, Bytes::new()),
            settings_at: now,
            settled_at: now,
            drains: ZoneDrains::default(),
            drains_at: now,
            drain_freshness: DrainFreshness::new(now),
            started: now,
            said: Said::default(),
            view_said: 0,
            topology,
            reviewed: Time::ZERO,
            assigned_at: Time::ZERO,
            doubt_until: Time::ZERO,
            rests_until: Time::ZERO,
            ticked: now,
            stop: None,
            stopped: false,
        }
    }

    /// Takes a caller's job, unless this instance is about to end.
    pub fn submit(&mut self, ticket: u64, job: Job, now: Time, out: &mut Output) {
        let stopping = self.stopping(now);
        // A job that is known here may be at work: its caller has sent it again.
        let known = self.front.knows(&job.name);
        if !known && self.stop.is_some_and(|stop| !stop.takes(&job, now)) {
            let cause = NotRunCause::Stopping;
            out.log(LogEvent::Rejected { request: job.name, cause, stopping });
            // Other instances take the job at once.
            return out.answer(ticket, Outcome::NotRun { cause, retry: Span::ZERO });
        }
        if let Some(outcome) = self.refuse_drained(&job).filter(|_| !known) {
            let cause = NotRunCause::Drained;
            out.log(LogEvent::Rejected { request: job.name, cause, stopping });
            return out.answer(ticket, outcome);
        }
        if let Some(stopping) = stopping {
            let left = job.deadline.since(now);
            out.log(LogEvent::AdmittedStopping { job: job.name.clone(), left, stopping });
        }
        self.front.submit(ticket, job, now, out);
        self.settle(now, false, out);
    }

    /// A caller went away before its answer.
    pub fn caller_gone(&mut self, ticket: u64, now: Time, out: &mut Output) {
        self.front.caller_gone(ticket, now, out);
        self.settle(now, false, out);
    }

    /// Cancels a job; whether it was known here.
    pub fn cancel(&mut self, job: &str, now: Time, out: &mut Output) -> bool {
        let known = self.front.cancel(job, now, out);
        self.settle(now, false, out);
        known
    }

    fn meet(&mut self) {
        let peers = self.members.peers().iter();
        self.owner.set_peers(peers.map(|peer| peer.id.clone()).collect());
    }

    /// Takes a message of a peer whose link is up.
    pub fn message(&mut self, from: &InstanceId, message: Body, now: Time, out: &mut Output) {
        if let Some(heard) = self.heard.get_mut(from) {
            heard.at = now;
            if matches!(message, Body::Start(_)) {
                // What this instance does for the peer ends soon after the peer's last sign of life.
                heard.busy = Some(now);
            }
        }
        self.take(from, message, now, out);
    }

    fn take(&mut self, from: &InstanceId, message: Body, now: Time, out: &mut Output) {
        match message {
            // The process takes the list of workers itself.
            Body::Hello(_) | Body::Workers(_) => {}
            Body::Drains(drains) => self.drains_of(from, drains, now, out),
            Body::Beat(beat) => self.beat_of(from, &beat, now, out),
            Body::Settings(settings) => {
                self.settings(settings.version, settings.body.into(), now, out);
            }
            Body::Ask(ask) => self.scheduler.enqueue(from, ask, now),
            Body::Withdraw(withdraw) => self.scheduler.withdraw(from, &withdraw.job),
            Body::Unused(unused) => {
                if let Ok(worker) = unused.worker.parse::<WorkerId>() {
                    let (job, step, task) = (unused.job, unused.step, unused.task);
                    let task = TaskKey { job, step, task };
                    self.scheduler.release_unused(&worker, &task, unused.refused, now);
                }
            }
            Body::Rooms(rooms) => self.scheduler.update_workers(from, rooms, &self.listing, now),
            Body::Freed(freed) => self.scheduler.run_ended(&freed, now),
            Body::Grant(grant) => {
                let (me, heard) = (&self.members.me().id, &self.heard);
                let sign = |id: &InstanceId| sign_of(me, heard, id, now);
                self.front.granted(from, grant, sign, now, out);
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
                self.owner.allow_starts(self.may_start(now));
                self.owner.start(from, start, now, out);
            }
            Body::Stop(stop) => self.owner.stop(from, &stop, now, out),
            Body::Claim(claim) => self.owner.handle_claim(from, &claim, now, out),
            Body::Relinked(relinked) => {
                // Only runs that were ordered on the link that broke can be told of.
                if let Some(since) = self.heard.get(from).and_then(|heard| heard.before) {
                    self.front.relinked(from, &relinked, since, now, out);
                }
            }
            Body::Confirm(confirm) => self.owner.handle_confirm(from, &confirm),
        }
    }

    fn takeover(&mut self, from: &InstanceId, found: &Takeover, now: Time, out: &mut Output) {
        self.owner.observe_token(found.token);
        let me = &self.members.me().id;
        let seen = sign_of(me, &self.heard, from, now).unwrap_or(Time::ZERO);
        self.front.takeover(from, found, seen, now, out);
    }

    /// Handles what this instance sends to itself, and grants room once for all that happened.
    pub fn settle(&mut self, now: Time, tick: bool, out: &mut Output) {
        let mut tick = tick;
        loop {
            self.deliver_own(now, out);
            if self.is_scheduler() && self.may_start(now) {
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

    fn deliver_own(&mut self, now: Time, out: &mut Output) {
        let me = self.members.me().id.clone();
        let mut place = 0;
        while place < out.commands.len() {
            if !matches!(&out.commands[place], Command::Send { to, .. } if *to == me) {
                place += 1;
                continue;
            }
            if let Command::Send { message, .. } = out.commands.remove(place) {
                self.take(&me, message, now, out);
            }
        }
    }

    fn beat_of(&mut self, from: &InstanceId, beat: &Beat, now: Time, out: &mut Output) {
        if let Some(heard) = self.heard.get_mut(from) {
            let limit = u64::from(beat.next_ms) * BEATS_MISSED;
            heard.limit = Span::from_ms(limit).max(PEER_TIMEOUT);
            heard.sign = Time::from_ms(beat.sent_ms);
            heard.rests = beat.rests;
        }
        self.owner.heartbeat_seen(from, Time::from_ms(beat.seen_ms), now);
        self.compare_drains(from, beat.drains, Time::from_ms(beat.seen_ms), now, out);
        self.members.sees(from, beat.view);
        let Some(peer) = self.members.peer_mut(from) else { return };
        let changed = (peer.draining, peer.joined) != (beat.draining, beat.joined);
        peer.draining = beat.draining;
        peer.version = beat.version;
        self.members.peer_joined(from, beat.core, beat.joined, now);
        if beat.version < self.settings.0 && now.since(self.settings_at) >= SETTINGS_GRACE {
            let (version, body) = (self.settings.0, self.settings.1.to_vec());
            out.send(from, Body::Settings(Settings { version, body }));
        }
        if changed {
            self.duties(now, out);
        }
    }

    /// Takes settings; older ones than those in force are dropped.
    pub fn settings(&mut self, version: u64, body: Bytes, now: Time, out: &mut Output) {
        let before = self.settings.0;
        if version <= before {
            return;
        }
        self.settings = (version, body.clone());
        self.settings_at = now;
        if before == 0 {
            self.settled_at = now;
        }
        self.members.me_mut().version = version;
        out.log(LogEvent::Settings { version, before });
        out.commands.push(Command::Adopt { version, body });
    }

    /// Takes a list of workers that was read from the platform.
    pub fn listed(
        &mut self,
        workers: Vec<ListedWorker>,
        wall_ms: u64,
        now: Time,
        out: &mut Output,
    ) {
        self.listing.replace(workers, now);
        self.relist();
        self.assign(wall_ms, now);
        self.settle(now, false, out);
    }

    /// Learns which instances are registered.
    pub fn registered(&mut self, instances: Vec<InstanceInfo>) {
        let linked = self.members.peers().iter().map(InstanceInfo::from);
        self.topology.replace(instances, linked);
        self.reviewed = Time::ZERO;
    }

    /// Whether this instance reads the platform's list of workers for its zone, or does not know who does.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.members.reader().is_none_or(|reader| *reader == self.members.me().id)
    }

    /// Passes changes of the list of workers on to the instances of this one's zone, if it reads for them.
    pub fn pass_on(&self, workers: &Workers, out: &mut Output) {
        let me = self.members.me();
        if self.members.reader() != Some(&me.id) {
            return;
        }
        let near = self.members.peers().iter().filter(|peer| peer.zone == me.zone);
        near.for_each(|peer| out.send(&peer.id, Body::Workers(workers.clone())));
    }

    fn assign(&mut self, wall_ms: u64, now: Time) {
        self.assigned_at = now;
        self.owners = self.members.owners(self.listing.all().len());
        if self.members.counts_me() && now >= self.doubt_until {
            self.owner.assign(&self.listing, &self.owners, wall_ms, now);
        }
    }

    /// Works out the duties anew after the members changed.
    fn duties(&mut self, now: Time, out: &mut Output) {
        // Workers are assigned with the next tick.
        self.assigned_at = Time::ZERO;
        let elected = self.members.scheduler().cloned();
        if elected == self.elected {
            return;
        }
        out.log(LogEvent::SchedulerChanged { scheduler: elected.clone() });
        self.elected.clone_from(&elected);
        if !self.is_scheduler() {
            self.scheduler.step_down();
        }
        self.owner.set_scheduler(elected.clone());
        self.front.follow(elected, now, out);
    }

    fn is_scheduler(&self) -> bool {
        self.elected.as_ref() == Some(&self.members.me().id)
    }

    /// Takes what a worker says to a look.
    pub fn looked(&mut self, looked: PollResult, now: Time, out: &mut Output) {
        self.owner.handle_poll_result(looked, &self.members, now, out);
        self.settle(now, false, out);
    }

    /// Takes what a worker says to a start.
    pub fn started(
        &mut self,
        worker: &WorkerId,
        run: &RunKey,
        answer: StartResponse,
        clock: Option<u64>,
        now: Time,
        out: &mut Output,
    ) {
        let from = clock.map(|clock| (clock, Incarnation::UNKNOWN));
        self.started_in(worker, run, answer, from, now, out);
    }

    /// Takes what a worker says to a start, with the clock and the life of the worker.
    pub fn started_in(
        &mut self,
        worker: &WorkerId,
        run: &RunKey,
        answer: StartResponse,
        from: Option<(u64, Incarnation)>,
        now: Time,
        out: &mut Output,
    ) {
        self.owner.handle_start_response_from(worker, run, answer, from, now, out);
        self.settle(now, false, out);
    }

    /// Takes what a worker says to a stop.
    pub fn stopped(
        &mut self,
        worker: &WorkerId,
        run: &RunKey,
        accepted: bool,
        now: Time,
        out: &mut Output,
    ) {
        self.owner.handle_stop_response(worker, run, accepted, now, out);
        self.settle(now, false, out);
    }

    /// This instance is asked to stop and has a grace period: it takes no duties any more, and answers
    /// the jobs that are left before the end.
    pub fn drain(&mut self, grace: Span, now: Time, out: &mut Output) {
        self.members.me_mut().draining = true;
        self.stop.get_or_insert_with(|| Shutdown::new(grace, now));
        self.send_beats(now, out);
        self.duties(now, out);
        self.settle(now, false, out);
    }

    /// Does what is due by the time.
    pub fn tick(&mut self, wall_ms: u64, now: Time, out: &mut Output) {
        let gap = now.since(self.ticked);
        self.ticked = now;
        if gap >= PAUSE {
            out.log(LogEvent::Paused { gap });
            self.doubt_until = now + DOUBT;
        }
        self.review_drains(gap >= PAUSE, now, out);
        self.check_peers(now, out);
        self.review(now, out);
        self.watch_silences(gap, now, out);
        self.count_members(now, out);
        self.join(now, out);
        if now.since(self.assigned_at) >= ASSIGN_EVERY {
            self.assign(wall_ms, now);
        }
        let scheduler = self.elected.as_ref().and_then(|elected| self.heard.get(elected));
        self.front.hear(scheduler.map(|scheduler| scheduler.at));
        self.front.tick(now, out);
        if self.stop.is_some_and(|stop| stop.is_over(now)) {
            self.front.end_all(now, out);
            self.stopped = true;
        }
        // They prove that this instance wants its runs, so jobs that are over are ended before.
        self.send_beats(now, out);
        self.owner.tick(&self.listing, &self.owners, wall_ms, now, out);
        self.settle(now, true, out);
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.members.me().draining && self.settings.0 > 0 && self.elected.is_some()
    }

    /// Whether it is stopping.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.members.me().draining
    }

    /// The request to stop, if there was one.
    #[must_use]
    pub const fn stop(&self) -> Option<Shutdown> {
        self.stop
    }

    /// How far the stop has come; none without a request to stop.
    #[must_use]
    pub fn stopping(&self, now: Time) -> Option<ShutdownProgress> {
        self.stop.map(|stop| stop.progress(now))
    }

    /// Whether the process may end: nothing is left to do for callers and other instances, or there is
    /// no time left for it.
    #[must_use]
    pub fn is_stopped(&self, now: Time) -> bool {
        let idle = self.front.is_empty() && self.owner.run_count() == 0;
        self.stopped || idle && self.stop.is_some_and(|stop| !stop.expects_callers(now))
    }

    /// Version of the settings in force; 0 for none.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.settings.0
    }

    /// Jobs of the callers of this instance.
    #[must_use]
    pub const fn front(&self) -> &Front {
        &self.front
    }

    /// Workers of this instance.
    #[must_use]
    pub const fn owner(&self) -> &Owner {
        &self.owner
    }

    /// This instance and its peers.
    #[must_use]
    pub const fn members(&self) -> &Members {
        &self.members
    }

    /// Steps that wait and workers that take tasks, if this instance schedules.
    #[must_use]
    pub fn load(&self, now: Time) -> Option<(usize, usize)> {
        self.is_scheduler().then(|| self.scheduler.load(now))
    }
}

/// Latest sign of life that was read from an instance, by its own clock; none if it is out of reach.
fn sign_of(
    me: &InstanceId,
    heard: &VecMap<InstanceId, Heard>,
    id: &InstanceId,
    now: Time,
) -> Option<Time> {
    if me == id { Some(now) } else { heard.get(id).map(|heard| heard.sign) }
}
