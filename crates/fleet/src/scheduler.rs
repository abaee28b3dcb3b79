//! Grants room on workers to waiting tasks of all instances.

use cranberryhatch_schema::fleet::{Ask, Freed, Grant, How, Place, Refusal, Rooms};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::{
    ArrivalRates, Arrivals, Backlog, FairShare, Forecast, Incarnation, Need, Output,
    OverservedZones, PlacementDecision, QueuedTasks, RetrySchedule, RunBias, RunKey, RunTimes,
    TaskKey, UnservableJob, VecMap, WorkerList, WorkerPool, WorkerView, backlog::latest_starts,
    load_shedding, log_event::LogEvent, output::Message, placement::Placement,
    placement_cache::PlacementCache, probes::Probes, run_stats::WorkerStats,
    worker_view::GrantedRun,
};

/// Largest number of jobs whose first failure is remembered.
const MAX_FIRST_FAILURES: usize = 1_000;
/// Share by which the longest task of a step outlasts the expected one, in thousandths.
const LONGEST_PERMILLE: u64 = 1_150;
/// Longest time in which owners report their workers after an election or after further members count;
/// nothing is refused before its end, unless all listed workers are known.
/// They report at once, and open their workers within 250 ms after all of them restarted.
const REPORT_TIMEOUT: Span = Span::from_ms(400);
/// Part of the listed workers that has to be known for a forecast to count arrivals: nine of ten.
const MIN_REPORTED: usize = 9;
const MIN_REPORTED_OF: usize = 10;
/// Time between two forecasts that bounds their cost; what is asked for meanwhile is judged with the next one.
const FORECAST_INTERVAL: Span = Span::from_ms(5);
/// Waiting steps that lengthen that time by a millisecond.
const STEPS_PER_MS: u64 = 200;
/// Steps that are considered for a probe from one tick to the next: each look goes through all slow workers, and an overload has
/// hundreds of steps that wait.
const PROBE_BUDGET: u32 = 16;
/// Time after an election in which the estimate of what arrives is too low to rely on.
const RATES_SETTLE_TIME: Span = Span::from_ms(4_000);
/// Time from a grant to the start of the run.
const START_DELAY: Span = Span::from_ms(4);
/// Time from the end of a run until its room can be granted again.
const RELEASE_DELAY: Span = Span::from_ms(2);
/// Age up to which a job that is asked for counts as one that arrives. Older ones waited at another scheduler.
const ARRIVAL_MAX_AGE: Span = Span::from_ms(200);
/// Time in which other instances take over the workers when all were lost with their owners: the
/// time until a silent instance counts as gone, and a report.
const TAKEOVER_TIMEOUT: Span = Span::from_ms(1_000);

/// Waiting tasks and the room of all workers whose owners report here.
#[derive(Debug, Default)]
pub struct Scheduler {
    backlog: Backlog,
    workers: WorkerPool,
    run_times: RunTimes,
    bias: RunBias,
    arrivals: Arrivals,
    retry_schedule: RetrySchedule,
    // What was learnt of workers that no owner reports now.
    saved_stats: VecMap<WorkerId, WorkerStats>,
    // Owners whose run times are counted in.
    merged_owners: Vec<InstanceId>,
    // Probes of each service that has slow workers.
    probes: VecMap<String, Probes>,
    fair_share: FairShare,
    // Zones that have had more than their share, as of the last tick.
    overserved: OverservedZones,
    // Worker on which a job first failed, to tell a bad worker from a bad job.
    first_failures: VecMap<String, WorkerId>,
    dirty: bool,
    // Whether room may have become free since steps were last found to wait for it, and these steps.
    freed: bool,
    placement_cache: PlacementCache,
    // Steps that may still be considered for a probe until the next tick.
    probe_budget: u32,
    // Whether tasks were asked for since it was last worked out what is hopeless.
    new_requests: bool,
    // When that was last worked out.
    forecast_at: Time,
    // When owners were last expected to report all their workers; none while another instance schedules.
    reports_since: Option<Time>,
    // Whether all listed workers have been reported since then.
    all_reported: bool,
    // Number of listed workers.
    listed: usize,
    // When it last knew of a worker that takes tasks, by service.
    last_capacity: VecMap<String, Time>,
}

impl Scheduler {
    /// Shares capacity that is short between availability zones by these weights; 1 for others.
    pub fn set_weights(&mut self, weights: impl IntoIterator<Item = (String, f64)>) {
        self.fair_share = FairShare::new(weights);
    }

    /// Takes tasks that wait; tasks that were asked for before are not counted twice.
    pub fn enqueue(&mut self, front: &InstanceId, ask: Ask, now: Time) {
        let tasks = self.unknown_tasks(front, &ask);
        if tasks.is_empty() {
            return;
        }
        let need = Need::from(&ask.need.unwrap_or_default());
        let expected = self.run_times.estimate(&ask.kind, Span::from_ms(ask.declared_ms.into()));
        let longest = Span::from_ms(expected.as_ms() * LONGEST_PERMILLE / 1_000);
        let stretched = u64::from(ask.stretch).saturating_mul(longest.as_ms()) / 1_000;
        let objective = stretched + u64::from(ask.slack_ms);
        let arrived = now - Span::from_ms(ask.age_ms.into());
        let deadline = now + Span::from_ms(ask.left_ms.into());
        self.workers.add_rack(&ask.rack);
        let (latest_start, useful_start) =
            latest_starts(arrived, deadline, Span::from_ms(objective), longest);
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
        let room = f64::from(tasks) * f64::from(queued.need.cores.get());
        let work = room * self.bias.mean_ms(&queued.kind, queued.expected);
        self.arrivals.record(&queued.service, queued.priority, room, work, now);
    }

    fn unknown_tasks(&self, front: &InstanceId, ask: &Ask) -> Vec<u32> {
        let same = |w: &&QueuedTasks| w.job == ask.job && w.step == ask.step && w.front == *front;
        let known: Vec<u32> =
            self.backlog.iter().filter(same).flat_map(|w| w.tasks.iter().copied()).collect();
        ask.tasks.iter().copied().filter(|task| !known.contains(task)).collect()
    }

    /// Forgets the waiting tasks of a job.
    pub fn withdraw(&mut self, front: &InstanceId, job: &str) {
        self.backlog.remove(|queued| queued.job == job && queued.front == *front);
    }

    /// Forgets the waiting tasks of an instance, and the workers that it owned.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        self.backlog.remove(|queued| queued.front == *instance);
        for worker in self.workers.iter().filter(|worker| worker.owner == *instance) {
            self.saved_stats.insert(worker.id().clone(), *worker.stats());
        }
        self.workers.retain(|worker| worker.owner != *instance);
    }

    /// Forgets what runs and waits, since another instance schedules now. What was learnt stays.
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
    }

    /// Owners that were out of reach report their workers from now on.
    pub fn await_reports(&mut self, now: Time) {
        if self.reports_since.is_some() {
            self.reports_since = Some(now);
            self.all_reported = false;
        }
    }

    /// Gives back a place that was not used, or that the owner refused.
    pub fn release_unused(&mut self, worker: &WorkerId, task: &TaskKey, refused: bool, now: Time) {
        for (_, probes) in self.probes.iter_mut().filter(|(_, probes)| probes.is_probing(worker)) {
            probes.finish(worker, None, now);
        }
        let known = self.workers.update(worker, |worker| {
            worker.release(task);
            if refused {
                worker.learn(How::NoRoom, Span::ZERO, Span::ZERO, false, now);
            }
        });
        (self.dirty, self.freed) = (self.dirty || known.is_some(), true);
    }

    /// Takes an owner's report of its workers.
    pub fn update_workers(
        &mut self,
        owner: &InstanceId,
        rooms: Rooms,
        listing: &WorkerList,
        now: Time,
    ) {
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
                .is_some_and(|worker| incarnation.is_after(worker.incarnation));
            if known.is_none() || reborn {
                let mut worker = WorkerView::new(listed.clone(), owner.clone(), room.token);
                if let Some(stats) = self.saved_stats.remove(&id) {
                    worker.restore_stats(stats, now);
                }
                self.workers.insert(worker);
            }
            let mut left = Vec::new();
            let standing = room.standing.map(|s| WorkerStats::from_report(&s, room.born_ms, now));
            let held = room.held.into_iter().filter_map(|held| {
                let span = Span::from_ms(held.left_ms.into());
                let key = RunKey::from(&held.run?);
                if span > Span::ZERO {
                    left.push((key.task.clone(), span));
                }
                Some((key.task, Need::from(&held.need?)))
            });
            let held: Vec<_> = held.collect();
            self.workers.update(&id, |worker| {
                worker.listed = listed.clone();
                worker.owner = owner.clone();
                worker.token = room.token;
                worker.incarnation =
                    if incarnation.is_known() { incarnation } else { worker.incarnation };
                worker.open = room.open;
                worker.apply_report(held, now);
                for (task, left) in left {
                    worker.expect_end(&task, left, left, now);
                }
                worker.set_life(room.born_ms, now);
                if let Some(standing) = standing {
                    worker.merge_reported_stats(standing, now);
                }
            });
            (self.dirty, self.freed) = (true, true);
        }
        self.listed = listing.all().len();
        if !rooms.kinds.is_empty() && !self.merged_owners.contains(owner) {
            self.merged_owners.push(owner.clone());
            self.run_times.merge(&rooms.kinds);
        }
        self.all_reported = self.all_reported || self.has_all_reports(listing);
    }

    /// Grants no room on the workers of owners that say nothing, for as long as they do.
    pub fn set_silent_owners(&mut self, silent: &[InstanceId]) {
        self.workers.set_silent(|worker| silent.contains(&worker.owner));
    }

    /// Takes a new list of workers.
    pub fn update_listing(&mut self, listing: &WorkerList) {
        self.listed = listing.all().len();
        self.saved_stats.retain(|id, _| listing.get(id).is_some());
        self.workers.retain(|worker| match listing.get(worker.id()) {
            Some(listed) => {
                worker.listed = listed.clone();
                true
            }
            None => false,
        });
    }

    /// Takes the end of a run.
    pub fn run_ended(&mut self, freed: &Freed, now: Time) {
        let Some(run) = freed.run.as_ref().map(RunKey::from) else { return };
        let Ok(worker) = freed.worker.parse::<WorkerId>() else { return };
        let how = freed.how();
        let took = Span::from_ms(freed.took_ms.into());
        let is_timed = !freed.kind.is_empty();
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
            worker.release(&run.task);
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

    /// Learns the run time of a kind, apart from the speed of the worker and the way to the data.
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

    /// Whether the failure of a job may be the worker's: a job that fails on a second worker is
    /// to blame itself.
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

    /// Grants what room there is and refuses what cannot be served.
    pub fn schedule(&mut self, now: Time, tick: bool, out: &mut Output) {
        self.reports_since.get_or_insert(now);
        if tick {
            self.probe_budget = PROBE_BUDGET;
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
        // Until the next tick, ends only shorten the wait of what is not refused yet.
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

    /// Whether so many workers are out of reach that their return changes every forecast: what arrives
    /// later may find them.
    fn has_partial_reports(&self) -> bool {
        let known = self.workers.iter().count();
        known * MIN_REPORTED_OF < self.listed * MIN_REPORTED
    }

    /// Whether the room of all listed workers is known.
    fn has_all_reports(&self, listing: &WorkerList) -> bool {
        let listed = listing.all();
        !listed.is_empty() && listed.iter().all(|listed| self.workers.get(&listed.id).is_some())
    }

    /// Notes workers that turned slow or recovered, and lets the first be probed.
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
                || placement_cache.is_full(queued)
                || placement_cache.must_wait(queued, now)
            {
                continue;
            }
            let mut places = Vec::new();
            let mut left = Vec::new();
            let known = self.run_times.is_known(&queued.kind);
            for task in std::mem::take(&mut queued.tasks) {
                if !left.is_empty() {
                    // The tasks of a step are alike.
                    left.push(task);
                    continue;
                }
                let probe = if places.is_empty() && self.probe_budget > 0 {
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
                });
                let key = TaskKey { job: queued.job.clone(), step: queued.step, task };
                let run = GrantedRun {
                    since: now,
                    expected,
                    rack_log: placement.rack_log,
                    kind_known: known,
                };
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
            let has_room =
                |worker: &&WorkerView| worker.is_usable() && worker.listed.service == service;
            let workers: Vec<&WorkerView> = self.workers.iter().filter(has_room).collect();
            let known = self.last_capacity.get_or_insert_with(service.clone(), || Time::ZERO);
            if !workers.is_empty() {
                *known = now;
            } else if now.since(*known) < TAKEOVER_TIMEOUT {
                continue;
            }
            let own = self.backlog.iter().filter(|queued| queued.service == service);
            let forecast = Forecast::new(own, workers.into_iter(), now);
            let mut arrivals: Vec<_> = self.arrivals.rates(&service, now).collect();
            if self.has_partial_reports() {
                arrivals.clear();
            }
            let mean = |queued: &QueuedTasks| occupancy_ms(&self.bias, queued);
            let (backlog, retry_schedule) = (&mut self.backlog, &mut self.retry_schedule);
            let reliable = self
                .reports_since
                .is_some_and(|reports_since| now.since(reports_since) >= RATES_SETTLE_TIME);
            let arriving = ArrivalRates { rates: &arrivals, reliable };
            let found = load_shedding::find_unservable(
                backlog,
                &service,
                forecast,
                arriving,
                mean,
                retry_schedule,
                now,
            );
            if found.is_empty() {
                continue;
            }
            let mut jobs: Vec<&str> =
                found.iter().map(|unservable| unservable.job.as_str()).collect();
            jobs.sort_unstable();
            let gone = |queued: &QueuedTasks| jobs.binary_search(&queued.job.as_str()).is_ok();
            let mut taken = VecMap::default();
            for queued in self.backlog.extract(gone) {
                taken.insert(queued.job.clone(), queued);
            }
            for unservable in found {
                // Several steps of a job are refused as one.
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

    /// Number of steps that wait, and of workers that take tasks.
    #[must_use]
    pub fn load(&self, now: Time) -> (usize, usize) {
        let open = self.workers.iter().filter(|worker| worker.accepts_tasks(now)).count();
        (self.backlog.len(), open)
    }
}

/// A slow worker that the next task of a step is to probe.
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

/// Mean time for which a task holds its room, in milliseconds.
fn occupancy_ms(bias: &RunBias, queued: &QueuedTasks) -> f64 {
    let turnover = u32::try_from((START_DELAY + RELEASE_DELAY).as_ms()).map_or(0.0, f64::from);
    bias.mean_ms(&queued.kind, queued.expected) + turnover
}

fn to_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
