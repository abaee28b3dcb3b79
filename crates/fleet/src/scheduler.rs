//! Scheduler: grants capacity on workers to the waiting tasks of all instances.

mod superseded;
mod withheld;

use cranberryhatch_schema::fleet::{Ask, Freed, Grant, How, LostRun, Place, Refusal, Rooms};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::{
    ArrivalRates, Arrivals, Backlog, FairShare, Forecast, Incarnation, LossLedger, Need, Output,
    OverservedZones, PlacementDecision, QueuedTasks, RetrySchedule, RunBias, RunKey, RunOrigin,
    RunTimes, Submissions, Suspects, TaskKey, UnservableJob, VecMap, WorkerList, WorkerPool,
    WorkerView, backlog::latest_starts, load_shedding, log_event::LogEvent, output::Message,
    placement::Placement, placement_cache::PlacementCache, probes::Probes, run_stats::WorkerStats,
    worker_view::GrantedRun,
};
use superseded::SupersededJob;
use withheld::{WithheldTasks, expiry_on};

/// Maximum number of jobs whose first failure is remembered.
const MAX_FIRST_FAILURES: usize = 1_000;
/// Run time of the longest task of a step relative to the expected run time, in thousandths.
const LONGEST_PERMILLE: u64 = 1_150;
/// Time in which owners report their workers after an election or after more members were admitted.
/// Nothing is refused before it ends, unless all listed workers are reported.
///
/// Owners report at once, and after a restart of all instances they open their workers within 250
/// ms.
const REPORT_TIMEOUT: Span = Span::from_ms(400);
/// Share of the listed workers (nine of ten) that must be reported before a forecast includes
/// arrivals.
const MIN_REPORTED: usize = 9;
const MIN_REPORTED_OF: usize = 10;
/// Minimum time between two forecasts, which bounds their cost; requests in between are covered by
/// the next forecast.
const FORECAST_INTERVAL: Span = Span::from_ms(5);
/// Number of waiting steps that lengthen that time by a millisecond.
const STEPS_PER_MS: u64 = 200;
/// Number of steps per tick that are considered for a probe. Each check iterates over all slow
/// workers, and hundreds of steps wait in an overload.
const PROBE_BUDGET: u32 = 16;
/// Time after an election in which the estimated arrival rates are too low to rely on.
const RATES_SETTLE_TIME: Span = Span::from_ms(4_000);
/// Time from a grant to the start of the run.
const START_DELAY: Span = Span::from_ms(4);
/// Time from the end of a run until its capacity can be granted again.
const RELEASE_DELAY: Span = Span::from_ms(2);
/// Maximum age of a job that counts as a new arrival; older jobs have waited at another scheduler.
const ARRIVAL_MAX_AGE: Span = Span::from_ms(200);
/// Time in which other instances take over the workers after all of their owners were lost: the
/// timeout of an unresponsive instance, and a report.
const TAKEOVER_TIMEOUT: Span = Span::from_ms(1_000);

/// A task with a run that its front may not know, so that a further run must wait.
#[derive(Debug)]
struct Orphan {
    worker: WorkerId,
    task: TaskKey,
    // When the run has certainly ended, if the owner of the worker was lost.
    until: Option<Time>,
}

/// Waiting tasks of all instances, and the workers that owners report to this instance.
#[derive(Debug, Default)]
pub struct Scheduler {
    backlog: Backlog,
    workers: WorkerPool,
    run_times: RunTimes,
    bias: RunBias,
    arrivals: Arrivals,
    retry_schedule: RetrySchedule,
    // Statistics of workers that no owner reports at the moment.
    saved_stats: VecMap<WorkerId, WorkerStats>,
    // Owners whose reported run times were merged.
    merged_owners: Vec<InstanceId>,
    // Probes by service, for services with slow workers.
    probes: VecMap<String, Probes>,
    fair_share: FairShare,
    // Zones that have had more than their share as of the last tick.
    overserved: OverservedZones,
    // Worker on which each job first failed, to tell a faulty worker from a faulty job.
    first_failures: VecMap<String, WorkerId>,
    dirty: bool,
    // Whether capacity may have been freed since the placement cache was last cleared.
    freed: bool,
    placement_cache: PlacementCache,
    // Number of steps that may still be considered for a probe before the next tick.
    probe_budget: u32,
    // Whether tasks were added since the last forecast.
    new_requests: bool,
    // Time of the last forecast.
    forecast_at: Time,
    // When owners were last expected to report all their workers; `None` while another instance
    // schedules.
    reports_since: Option<Time>,
    // Whether all listed workers have been reported since then.
    all_reported: bool,
    // Number of listed workers.
    listed: usize,
    // When a usable worker was last known, by service.
    last_capacity: VecMap<String, Time>,
    losses: LossLedger,
    suspects: Suspects,
    submissions: Submissions,
    // Jobs whose earlier fronts may have runs.
    superseded: VecMap<String, SupersededJob>,
    // Whether they have changed since they were last reviewed.
    superseded_changed: bool,
    // Instances that are reachable, this one included; sorted.
    reachable: Vec<InstanceId>,
    // When instances that were lost lately were last heard.
    lost_fronts: VecMap<InstanceId, Time>,
    // Jobs whose earlier front counts as lost, and since when.
    released: Vec<(String, InstanceId, Time)>,
    // Instances to which the submissions are replicated, and when they last were.
    replicas: Vec<InstanceId>,
    replicated_at: Time,
    // Tasks of which another run may be active.
    withheld: Vec<WithheldTasks>,
    orphans: Vec<Orphan>,
    // Tasks that workers of lost owners held, and until when their runs may continue.
    lost_runs: Vec<(WorkerId, TaskKey, Time)>,
    // Workers of lost owners on which unknown runs may outlast the leases of these, until another
    // owner opens the worker, and until when.
    outlasting: Vec<(WorkerId, Time)>,
}

impl Scheduler {
    /// Sets the weights by which availability zones share scarce capacity; others have weight 1.
    pub fn set_weights(&mut self, weights: impl IntoIterator<Item = (String, f64)>) {
        self.fair_share = FairShare::new(weights);
    }

    /// Adds waiting tasks to the backlog, except those that already wait.
    pub fn enqueue(&mut self, front: &InstanceId, ask: Ask, now: Time) {
        self.losses.merge(&ask.lost, now);
        let tasks = self.unknown_tasks(front, &ask, now);
        if tasks.is_empty() {
            return;
        }
        let may_crash = |task: &u32| self.losses.is_suspect(&ask.job, ask.step, *task, now);
        let suspect = tasks.iter().any(may_crash);
        let need = Need::from(&ask.need.unwrap_or_default());
        let expected = self.run_times.estimate(&ask.kind, Span::from_ms(ask.declared_ms.into()));
        let longest = Span::from_ms(expected.as_ms() * LONGEST_PERMILLE / 1_000);
        let stretched = u64::from(ask.stretch).saturating_mul(longest.as_ms()) / 1_000;
        let target = stretched + u64::from(ask.slack_ms);
        let arrived = now - Span::from_ms(ask.age_ms.into());
        let deadline = now + Span::from_ms(ask.left_ms.into());
        self.workers.add_rack(&ask.rack);
        let (latest_start, useful_start) =
            latest_starts(arrived, deadline, Span::from_ms(target), longest);
        let queued = QueuedTasks {
            front: front.clone(),
            zone: ask.zone,
            job: ask.job,
            step: ask.step,
            tasks,
            kind: ask.kind,
            service: ask.service,
            priority: ask.priority,
            need,
            expected,
            latest_start,
            due: latest_start + longest,
            deadline,
            useful_start,
            label: ask.label,
            rack: ask.rack,
            spread: ask.spread,
            avoid: ask.avoid,
            begun: ask.begun,
            suspect,
            forecast: None,
        };
        if !queued.begun && ask.age_ms <= to_u32(ARRIVAL_MAX_AGE.as_ms()) {
            self.count_arrival(&queued, now);
        }
        self.backlog.add(queued, now);
        (self.dirty, self.new_requests) = (true, true);
    }

    fn count_arrival(&mut self, queued: &QueuedTasks, now: Time) {
        let tasks = u32::try_from(queued.tasks.len()).unwrap_or(u32::MAX);
        let cores = f64::from(tasks) * f64::from(queued.need.cores.get());
        let work = cores * self.bias.mean_ms(&queued.kind, queued.expected);
        self.arrivals.record(&queued.service, queued.priority, cores, work, now);
    }

    fn unknown_tasks(&self, front: &InstanceId, ask: &Ask, now: Time) -> Vec<u32> {
        let same = |w: &&QueuedTasks| w.job == ask.job && w.step == ask.step && w.front == *front;
        let known: Vec<u32> =
            self.backlog.iter().filter(same).flat_map(|w| w.tasks.iter().copied()).collect();
        let is_named =
            |task: u32| self.losses.count(&ask.job, ask.step, task, now) <= named_losses(ask, task);
        let unknown = |task: &u32| !known.contains(task) && is_named(*task);
        ask.tasks.iter().copied().filter(unknown).collect()
    }

    /// Returns the losses under the tasks of a request that the front does not name. These tasks
    /// are not queued until it does.
    #[must_use]
    pub fn unnamed_losses(&self, ask: &Ask, now: Time) -> Vec<LostRun> {
        let mut unnamed = Vec::new();
        for task in ask.tasks.iter().copied() {
            if self.losses.count(&ask.job, ask.step, task, now) > named_losses(ask, task) {
                unnamed.extend(self.losses.messages_of(&ask.job, ask.step, task, now));
            }
        }
        unnamed
    }

    /// Returns the fronts that may have runs of a job or wait for capacity for it.
    pub fn fronts_of(&self, job: &str) -> impl Iterator<Item = &InstanceId> {
        let latest = self.submissions.latest(job).map(|(front, _)| front);
        latest.into_iter().chain(self.submissions.earlier(job))
    }

    /// Removes the waiting tasks of a job.
    pub fn withdraw(&mut self, front: &InstanceId, job: &str) {
        self.backlog.remove(|queued| queued.job == job && queued.front == *front);
        self.discard_withheld(front, Some(job));
    }

    /// Removes the waiting tasks of an instance and the workers that it owned. `unanswered` are those
    /// on which runs may outlast its leases, sorted.
    pub fn remove_instance(&mut self, instance: &InstanceId, unanswered: &[WorkerId], now: Time) {
        self.backlog.remove(|queued| queued.front == *instance);
        self.discard_withheld(instance, None);
        self.record_lost_runs(instance, unanswered, now);
        for worker in self.workers.iter().filter(|worker| worker.owner == *instance) {
            self.saved_stats.insert(worker.id().clone(), *worker.stats());
        }
        self.workers.retain(|worker| worker.owner != *instance);
        let workers = &self.workers;
        for orphan in self.orphans.iter_mut().filter(|o| workers.get(&o.worker).is_none()) {
            let expiry = expiry_on(&orphan.worker, unanswered);
            orphan.until.get_or_insert(now + expiry);
        }
    }

    /// Clears all grants and waiting tasks because another instance schedules now; learned
    /// statistics are kept.
    pub fn step_down(&mut self) {
        for worker in self.workers.iter() {
            self.saved_stats.insert(worker.id().clone(), *worker.stats());
        }
        self.backlog = Backlog::default();
        self.workers.clear();
        self.first_failures = VecMap::default();
        self.probes = VecMap::default();
        self.merged_owners = Vec::new();
        self.reports_since = None;
        self.all_reported = false;
        self.superseded = VecMap::default();
        self.released = Vec::new();
        self.replicas = Vec::new();
        self.withheld = Vec::new();
        self.orphans = Vec::new();
        self.lost_runs = Vec::new();
    }

    /// Does the periodic work that does not depend on whether this instance schedules.
    pub fn tick(&mut self, now: Time) {
        self.submissions.remove_old(now);
    }

    /// Expects reports of owners that became reachable again.
    pub fn await_reports(&mut self, now: Time) {
        if self.reports_since.is_some() {
            self.reports_since = Some(now);
            self.all_reported = false;
        }
    }

    /// Releases capacity that was granted but not used, or whose use the owner refused.
    pub fn release_unused(&mut self, worker: &WorkerId, task: &TaskKey, refused: bool, now: Time) {
        for (_, probes) in self.probes.iter_mut().filter(|(_, probes)| probes.is_probing(worker)) {
            probes.finish(worker, None, now);
        }
        let known = self.workers.update(worker, |worker| {
            worker.release_grant(task);
            if refused {
                worker.learn(How::NoRoom, Span::ZERO, Span::ZERO, false, now);
            }
        });
        (self.dirty, self.freed) = (self.dirty || known.is_some(), true);
    }

    /// Applies an owner's report of its workers.
    pub fn update_workers(
        &mut self,
        owner: &InstanceId,
        rooms: Rooms,
        listing: &WorkerList,
        now: Time,
    ) {
        let mut superseded = Vec::new();
        for room in rooms.rooms {
            let Ok(id) = room.worker.parse::<WorkerId>() else { continue };
            let Some(listed) = listing.get(&id) else { continue };
            let known = self.workers.get(&id).map(|worker| worker.token);
            if known.is_some_and(|token| room.token < token) {
                continue;
            }
            let incarnation = Incarnation::new(room.born_ms);
            let reborn = self
                .workers
                .get(&id)
                .is_some_and(|worker| incarnation.is_other(worker.incarnation));
            if known.is_none() || reborn {
                let mut worker = WorkerView::new(listed.clone(), owner.clone(), room.token);
                if let Some(stats) = self.saved_stats.remove(&id) {
                    worker.restore_stats(stats, now);
                }
                self.workers.insert(worker);
            }
            let mut left = Vec::new();
            self.orphans.retain(|orphan| orphan.worker != id);
            self.worker_opened(&id);
            let standing = room.standing.map(|s| WorkerStats::from_report(&s, room.born_ms, now));
            let held = room.held.into_iter().filter_map(|held| {
                let span = Span::from_ms(held.left_ms.into());
                let key = RunKey::from(&held.run?);
                let front = held.front.parse::<InstanceId>().ok();
                let arrived = held.age_ms.map(|age| now - Span::from_ms(age.into()));
                let (job, is_unclaimed) = (&key.task.job, front.is_none());
                let origin = self.submissions.record_run(job, front, arrived, now);
                if is_unclaimed || origin == RunOrigin::Unclaimed {
                    let (worker, task) = (id.clone(), key.task.clone());
                    self.orphans.push(Orphan { worker, task, until: None });
                } else if origin == RunOrigin::NewSubmission {
                    superseded.push(job.clone());
                }
                if span > Span::ZERO {
                    left.push((key.task.clone(), span));
                }
                Some((key, Need::from(&held.need?)))
            });
            let held: Vec<_> = held.collect();
            self.workers.update(&id, |worker| {
                worker.set_listed(listed.clone());
                worker.owner = owner.clone();
                worker.token = room.token;
                worker.incarnation =
                    if incarnation.is_known() { incarnation } else { worker.incarnation };
                worker.open = room.open;
                worker.apply_report(held, now);
                for (task, left) in left {
                    worker.expect_end(&task, left, left, now);
                }
                worker.set_incarnation(room.born_ms, now);
                if let Some(standing) = standing {
                    worker.merge_reported_stats(standing, now);
                }
            });
            (self.dirty, self.freed) = (true, true);
        }
        for job in superseded {
            self.supersede(&job, now);
        }
        self.losses.merge(&rooms.lost, now);
        self.listed = listing.all().len();
        if !rooms.kinds.is_empty() && !self.merged_owners.contains(owner) {
            self.merged_owners.push(owner.clone());
            self.run_times.merge(&rooms.kinds);
        }
        self.all_reported = self.all_reported || self.has_all_reports(listing);
    }

    /// Suspends grants on the workers of unresponsive owners.
    pub fn set_silent_owners(&mut self, silent: &[InstanceId]) {
        self.workers.set_silent(|worker| silent.contains(&worker.owner));
    }

    /// Resolves the losses of workers with the current list.
    pub fn review_losses(&mut self, listing: &WorkerList, now: Time) {
        self.losses.review(listing.crashes(), now);
    }

    /// Applies a new list of workers.
    pub fn update_listing(&mut self, listing: &WorkerList) {
        self.listed = listing.all().len();
        self.saved_stats.retain(|id, _| listing.get(id).is_some());
        self.orphans.retain(|orphan| listing.get(&orphan.worker).is_some());
        self.workers.retain(|worker| match listing.get(worker.id()) {
            Some(listed) => {
                worker.set_listed(listed.clone());
                true
            }
            None => false,
        });
    }

    /// Processes the end of a run.
    pub fn run_ended(&mut self, freed: &Freed, now: Time) {
        let Some(run) = freed.run.as_ref().map(RunKey::from) else { return };
        let Ok(worker) = freed.worker.parse::<WorkerId>() else { return };
        let has_other = self.workers.get(&worker).is_some_and(|worker| worker.has_other_run(&run));
        if !has_other {
            self.orphans.retain(|orphan| orphan.worker != worker || orphan.task != run.task);
        }
        let how = freed.how();
        let took = Span::from_ms(freed.took_ms.into());
        let is_timed = !freed.kind.is_empty();
        if !matches!(how, How::Crashed | How::Lost) {
            self.suspects.clear(&run.task);
        }
        let run_known = self.workers.get(&worker).and_then(|worker| worker.granted_run(&run.task));
        let tells =
            self.run_times.is_known(&freed.kind) && run_known.is_none_or(|run| run.kind_known);
        if let (true, Some(run)) =
            (tells && how == How::Done, run_known.filter(|r| r.rack_log > 0.0))
            && let Some(worker) = self.workers.get(&worker).filter(|worker| !worker.is_slow())
        {
            let expected = Span::from_ms(freed.expected_ms.into());
            self.workers.learn_rack_slowdown(run.rack_log + worker.residual(took, expected));
        }
        if how == How::Done && is_timed {
            self.bias.learn(&freed.kind, took, Span::from_ms(freed.expected_ms.into()));
            self.learn_time(&freed.kind, &worker, &run.task, took);
        }
        let blames_worker = how == How::Failed && self.blames_worker(&run.task.job, &worker);
        let expected = Span::from_ms(freed.expected_ms.into());
        let known = self.workers.update(&worker, |worker| {
            let was_slow = worker.is_known_slow(now);
            if !has_other {
                worker.release(&run.task);
            }
            if how == How::Done && is_timed && !tells {
                worker.clear_failures();
            } else if is_timed {
                worker.learn(how, took, expected, blames_worker, now);
            }
            let recovered = was_slow && !worker.is_known_slow(now);
            let is_slow = worker.is_slow_run(took, expected);
            (worker.listed.service.clone(), worker.is_paused(now), recovered, is_slow)
        });
        let Some((service, is_paused, recovered, is_slow)) = known else { return };
        (self.dirty, self.freed) = (true, true);
        if is_paused {
            self.workers.limit_pauses(&service, now);
        }
        if let Some(probes) =
            self.probes.get_mut(&service).filter(|p| p.is_probing(&worker) || recovered)
        {
            let good = match how {
                How::Done if recovered => Some(true),
                How::Done if is_timed && is_slow => Some(false),
                How::Stalled | How::Failed => Some(false),
                _ => None,
            };
            probes.finish(&worker, good, now);
        }
    }

    /// Learns the run time of a kind, corrected for the speed of the worker and the distance to the
    /// data.
    fn learn_time(&mut self, kind: &str, worker: &WorkerId, task: &TaskKey, took: Span) {
        let worker = self.workers.get(worker);
        if worker.is_some_and(WorkerView::is_slow) {
            return;
        }
        let slowness_level = worker.map_or(0.0, |worker| worker.slowness_level().log());
        let rack_log =
            worker.and_then(|worker| worker.granted_run(task)).map_or(0.0, |run| run.rack_log);
        self.run_times.learn(kind, took, slowness_level + rack_log);
    }

    /// Returns whether the failure of a job may be the worker's fault. A job that also fails on a
    /// second worker is considered faulty itself.
    fn blames_worker(&mut self, job: &str, worker: &WorkerId) -> bool {
        match self.first_failures.get(job) {
            None => {
                if self.first_failures.len() >= MAX_FIRST_FAILURES {
                    self.first_failures = VecMap::default();
                }
                self.first_failures.insert(job.to_owned(), worker.clone());
                true
            }
            Some(first) if first == worker => false,
            Some(first) => {
                self.workers.update(first, WorkerView::retract_failure);
                false
            }
        }
    }

    /// Grants free capacity and refuses the jobs that cannot be served.
    pub fn schedule(&mut self, now: Time, tick: bool, out: &mut Output) {
        self.reports_since.get_or_insert(now);
        if tick {
            self.orphans.retain(|orphan| orphan.until.is_none_or(|until| until > now));
            self.probe_budget = PROBE_BUDGET;
        }
        if tick || self.superseded_changed {
            self.review_superseded(now, out);
        }
        if tick || self.dirty {
            self.review_withheld(now, out);
        }
        if tick || self.workers.is_stale() {
            self.workers.update_speeds(now);
            self.log_speed_changes(now, out);
        }
        if self.backlog.is_empty() || !(self.dirty || tick) {
            return;
        }
        self.dirty = false;
        if std::mem::take(&mut self.freed) || tick {
            self.placement_cache.clear();
        }
        self.backlog.demote_late(now);
        if tick {
            self.overserved = self.fair_share.overserved_zones(now);
        }
        self.backlog.defer_zones(|queued| self.overserved.contains(queued));
        self.grant(now, out);
        // Until the next tick, ends of runs only shorten the wait of jobs that are not refused yet.
        let cost = Span::from_ms(self.backlog.len() as u64 / STEPS_PER_MS);
        let new_requests =
            self.new_requests && now.since(self.forecast_at) >= FORECAST_INTERVAL + cost;
        if !(tick || new_requests) || self.backlog.is_empty() {
            return;
        }
        (self.new_requests, self.forecast_at) = (false, now);
        if self.all_reported || now.since(*self.reports_since.get_or_insert(now)) >= REPORT_TIMEOUT
        {
            self.refuse(now, out);
        }
    }

    /// Returns whether so many workers are missing that their return would change every forecast.
    /// Later arrivals may find these workers.
    fn has_partial_reports(&self) -> bool {
        let known = self.workers.iter().count();
        known * MIN_REPORTED_OF < self.listed * MIN_REPORTED
    }

    /// Returns whether all listed workers have been reported.
    fn has_all_reports(&self, listing: &WorkerList) -> bool {
        let listed = listing.all();
        !listed.is_empty() && listed.iter().all(|listed| self.workers.get(&listed.id).is_some())
    }

    /// Logs workers that became slow or recovered, and schedules probes of the slow ones.
    fn log_speed_changes(&mut self, now: Time, out: &mut Output) {
        let changed = |worker: &&WorkerView| worker.is_slow() != worker.logged_slow;
        let changed: Vec<WorkerId> =
            self.workers.iter().filter(changed).map(|worker| worker.id().clone()).collect();
        for id in changed {
            self.workers.update(&id, |worker| {
                worker.logged_slow = worker.is_slow();
                let (slow, slowness, samples) =
                    (worker.is_slow(), worker.slowness(now), worker.samples(now));
                out.log(LogEvent::SpeedChanged { worker: id.clone(), slow, slowness, samples });
            });
            let Some(worker) = self.workers.get(&id).filter(|worker| worker.is_slow()) else {
                continue;
            };
            let service = worker.listed.service.clone();
            self.probes.get_or_insert_with(service, || Probes::new(now)).schedule_soon(now);
        }
        let slow: Vec<&WorkerView> =
            self.workers.slow_workers().iter().filter_map(|id| self.workers.get(id)).collect();
        self.probes
            .retain(|service, _| slow.iter().any(|worker| worker.listed.service == *service));
    }

    fn grant(&mut self, now: Time, out: &mut Output) {
        let mut largest_free = self.workers.largest_free(now);
        let mut placement_cache = std::mem::take(&mut self.placement_cache);
        for queued in self.backlog.iter_mut() {
            if queued.need.cores > largest_free
                || !self.superseded.is_empty() && self.superseded.contains(&queued.job)
                || queued.suspect && !may_start(&self.suspects, &self.workers, queued, now)
                || placement_cache.is_full(queued)
                || placement_cache.must_wait(queued, now)
            {
                continue;
            }
            let mut places = Vec::new();
            let tasks = std::mem::take(&mut queued.tasks);
            let is_orphan = |task: &u32| {
                let orphans = self.orphans.iter().map(|orphan| &orphan.task);
                let mut of_step =
                    orphans.filter(|key| (&key.job, key.step) == (&queued.job, queued.step));
                of_step.any(|key| key.task == *task)
            };
            let (held, tasks): (Vec<u32>, Vec<u32>) = if self.orphans.is_empty() {
                (Vec::new(), tasks)
            } else {
                tasks.into_iter().partition(is_orphan)
            };
            let mut left = Vec::new();
            let known = self.run_times.is_known(&queued.kind);
            for task in tasks {
                if !left.is_empty() {
                    // All tasks of a step are alike.
                    left.push(task);
                    continue;
                }
                let probe = if places.is_empty() && self.probe_budget > 0 && !queued.suspect {
                    self.probe_budget -= 1;
                    probe(&self.workers, &mut self.probes, queued, now, out)
                } else {
                    None
                };
                let placement = match probe
                    .map_or_else(|| self.workers.decide(queued, now), PlacementDecision::Run)
                {
                    PlacementDecision::Run(placement) => placement,
                    PlacementDecision::Wait(factor) => {
                        placement_cache.add_wait(queued, factor);
                        left.push(task);
                        continue;
                    }
                    PlacementDecision::Full => {
                        placement_cache.add_full(queued);
                        left.push(task);
                        continue;
                    }
                };
                let (worker, expected) = (placement.worker, placement.expected(queued));
                places.push(Place {
                    task,
                    worker: worker.id().to_string(),
                    owner: worker.owner.to_string(),
                    run_ms: to_u32(expected.as_ms()),
                    token: worker.token,
                    due_ms: to_u32(queued.due.since(now).as_ms()),
                    pace_permille: worker.slowness_level().permille(),
                    born_ms: worker.incarnation.born_ms(),
                });
                let key = TaskKey { job: queued.job.clone(), step: queued.step, task };
                let run = GrantedRun {
                    since: now,
                    expected,
                    rack_log: placement.rack_log,
                    kind_known: known,
                    exclusive: queued.suspect,
                };
                if queued.suspect {
                    self.suspects.start(&queued.service, key.clone(), now);
                }
                let (id, is_probe) = (worker.id().clone(), probe.is_some());
                let mean = self.bias.mean(&queued.kind, queued.expected);
                self.workers.update(&id, |worker| {
                    if is_probe {
                        worker.last_probe = now;
                    }
                    worker.grant_run(key.clone(), queued.need, run);
                    worker.expect_end(&key, START_DELAY + mean + RELEASE_DELAY, mean, now);
                });
            }
            left.extend(held);
            queued.tasks = left;
            if places.is_empty() {
                continue;
            }
            queued.begun = true;
            let work = f64::from(queued.need.cores.get())
                * self.bias.mean_ms(&queued.kind, queued.expected)
                * f64::from(u32::try_from(places.len()).unwrap_or(u32::MAX));
            self.fair_share.record_grant(queued, work, now);
            let (job, step) = (queued.job.clone(), queued.step);
            let slack = queued.latest_start.since(now);
            let all = queued.forecast.filter(|_| queued.tasks.is_empty());
            let forecast = all.map(|(at, expected)| (expected, now.since(at)));
            let kind = queued.kind.clone();
            out.log(LogEvent::Granted {
                job: job.clone(),
                tasks: places.len(),
                slack,
                kind,
                forecast,
            });
            out.send(&queued.front, Message::Grant(Grant { job, step, places }));
            largest_free = self.workers.largest_free(now);
        }
        self.placement_cache = placement_cache;
        self.backlog.remove_empty();
    }

    fn refuse(&mut self, now: Time, out: &mut Output) {
        let mut services: Vec<String> =
            self.backlog.iter().map(|queued| queued.service.clone()).collect();
        services.sort();
        services.dedup();
        for service in services {
            let is_usable =
                |worker: &&WorkerView| worker.is_usable() && worker.listed.service == service;
            let workers: Vec<&WorkerView> = self.workers.iter().filter(is_usable).collect();
            let seen = self.last_capacity.get_or_insert_with(service.clone(), || Time::ZERO);
            if !workers.is_empty() {
                *seen = now;
            } else if now.since(*seen) < TAKEOVER_TIMEOUT {
                continue;
            }
            let own = self.backlog.iter().filter(|queued| queued.service == service);
            let forecast = Forecast::new(own, workers.into_iter(), now);
            let mut arrivals: Vec<_> = self.arrivals.rates(&service, now).collect();
            if self.has_partial_reports() {
                arrivals.clear();
            }
            let mean = |queued: &QueuedTasks| occupancy_ms(&self.bias, queued);
            let (backlog, schedule) = (&mut self.backlog, &mut self.retry_schedule);
            let reliable =
                self.reports_since.is_some_and(|since| now.since(since) >= RATES_SETTLE_TIME);
            let arriving = ArrivalRates { rates: &arrivals, reliable };
            let found = load_shedding::find_unservable(
                backlog, &service, forecast, arriving, mean, schedule, now,
            );
            if found.is_empty() {
                continue;
            }
            let mut jobs: Vec<&str> =
                found.iter().map(|unservable| unservable.job.as_str()).collect();
            jobs.sort_unstable();
            let is_unservable =
                |queued: &QueuedTasks| jobs.binary_search(&queued.job.as_str()).is_ok();
            let mut taken = VecMap::default();
            for queued in self.backlog.extract(is_unservable) {
                taken.insert(queued.job.clone(), queued);
            }
            for unservable in found {
                // All steps of a job are refused at once.
                let Some(queued) = taken.remove(&unservable.job) else { continue };
                self.fair_share.record_refusal(&queued, now);
                let QueuedTasks { front, kind, .. } = queued;
                let UnservableJob { job, cause, start, retry, slots, work, share } = unservable;
                let refusal = Refusal {
                    job: job.clone(),
                    retry_ms: to_u32(retry.as_ms()),
                    ahead_ms: to_u32(start.unwrap_or(Forecast::LENGTH).as_ms()),
                };
                out.send(&front, Message::Refusal(refusal));
                out.log(LogEvent::Refused { job, kind, cause, start, slots, work, share, retry });
            }
        }
    }

    /// Returns the number of waiting steps and the number of workers that accept tasks.
    #[must_use]
    pub fn load(&self, now: Time) -> (usize, usize) {
        let open = self.workers.iter().filter(|worker| worker.accepts_tasks(now)).count();
        (self.backlog.len(), open)
    }
}

/// Returns whether a task that may crash its worker may start now.
fn may_start(suspects: &Suspects, workers: &WorkerPool, queued: &QueuedTasks, now: Time) -> bool {
    let of_service = |worker: &&WorkerView| worker.listed.service == queued.service;
    suspects.may_start(&queued.service, workers.iter().filter(of_service).count(), now)
}

/// Returns the number of losses that a front names for a task.
fn named_losses(ask: &Ask, task: u32) -> usize {
    ask.lost.iter().filter(|run| run.task == task).count()
}

/// Returns the placement of a step's next task if it is to probe a slow worker.
fn probe<'a>(
    workers: &'a WorkerPool,
    probes: &mut VecMap<String, Probes>,
    queued: &QueuedTasks,
    now: Time,
    out: &mut Output,
) -> Option<Placement<'a>> {
    let probes = probes.get_mut(&queued.service).filter(|probes| probes.can_start(now))?;
    let placement = workers.probe(queued, probes.accepts_any_task(now), now)?;
    let worker = placement.worker.id().clone();
    probes.start(worker.clone(), now);
    out.log(LogEvent::Probed { worker, job: queued.job.clone() });
    Some(placement)
}

/// Returns the mean time for which a task occupies its capacity, in milliseconds.
fn occupancy_ms(bias: &RunBias, queued: &QueuedTasks) -> f64 {
    let turnover = u32::try_from((START_DELAY + RELEASE_DELAY).as_ms()).map_or(0.0, f64::from);
    bias.mean_ms(&queued.kind, queued.expected) + turnover
}

fn to_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
