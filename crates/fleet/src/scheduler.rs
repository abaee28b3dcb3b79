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
const SUSPECTS: usize = 1_000;
/// Share by which the longest task of a step outlasts the expected one, in thousandths.
const LONGEST: u64 = 1_150;
/// Longest time in which owners report their workers after an election or after further members count;
/// nothing is refused before its end, unless all listed workers are known.
/// They report at once, and open their workers within 250 ms after all of them restarted.
const REPORTS: Span = Span::from_ms(400);
/// Part of the listed workers that has to be known for a forecast to count arrivals: nine of ten.
const KNOWN: usize = 9;
const KNOWN_OF: usize = 10;
/// Time between two forecasts that bounds their cost; what is asked for meanwhile is judged with the next one.
const JUDGE_EVERY: Span = Span::from_ms(5);
/// Waiting steps that lengthen that time by a millisecond.
const JUDGED_PER_MS: u64 = 200;
/// Steps that are considered for a probe from one tick to the next: each look goes through all slow workers, and an overload has
/// hundreds of steps that wait.
const PROBE_TRIES: u32 = 16;
/// Time after an election in which the estimate of what arrives is too low to rely on.
const SETTLED: Span = Span::from_ms(4_000);
/// Time from a grant to the start of the run.
const START: Span = Span::from_ms(4);
/// Time from the end of a run until its room can be granted again.
const END: Span = Span::from_ms(2);
/// Age up to which a job that is asked for counts as one that arrives. Older ones waited at another scheduler.
const ARRIVING: Span = Span::from_ms(200);
/// Time in which other instances take over the workers when all were lost with their owners: the
/// time until a silent instance counts as gone, and a report.
const TAKEOVERS: Span = Span::from_ms(1_000);

/// Waiting tasks and the room of all workers whose owners report here.
#[derive(Debug, Default)]
pub struct Scheduler {
    backlog: Backlog,
    sites: WorkerPool,
    times: RunTimes,
    bias: RunBias,
    arrivals: Arrivals,
    returns: RetrySchedule,
    // What was learnt of workers that no owner reports now.
    records: VecMap<WorkerId, WorkerStats>,
    // Owners whose run times are counted in.
    counted: Vec<InstanceId>,
    // Probes of each service that has slow workers.
    probes: VecMap<String, Probes>,
    sharing: FairShare,
    // Zones that have had more than their share, as of the last tick.
    above: OverservedZones,
    // Worker on which a job first failed, to tell a bad worker from a bad job.
    suspects: VecMap<String, WorkerId>,
    dirty: bool,
    // Whether room may have become free since steps were last found to wait for it, and these steps.
    freed: bool,
    waits: PlacementCache,
    // Steps that may still be considered for a probe until the next tick.
    tries: u32,
    // Whether tasks were asked for since it was last worked out what is hopeless.
    asked: bool,
    // When that was last worked out.
    judged: Time,
    // When owners were last expected to report all their workers; none while another instance schedules.
    since: Option<Time>,
    // Whether all listed workers have been reported since then.
    complete: bool,
    // Number of listed workers.
    listed: usize,
    // When it last knew of a worker that takes tasks, by service.
    room_known: VecMap<String, Time>,
}

impl Scheduler {
    /// Shares capacity that is short between availability zones by these weights; 1 for others.
    pub fn weigh(&mut self, weights: impl IntoIterator<Item = (String, f64)>) {
        self.sharing = FairShare::new(weights);
    }

    /// Takes tasks that wait; tasks that were asked for before are not counted twice.
    pub fn ask(&mut self, front: &InstanceId, ask: Ask, now: Time) {
        let tasks = self.unknown_tasks(front, &ask);
        if tasks.is_empty() {
            return;
        }
        let need = Need::from(&ask.need.unwrap_or_default());
        let expected = self.times.expect(&ask.kind, Span::from_ms(ask.declared_ms.into()));
        let longest = Span::from_ms(expected.as_ms() * LONGEST / 1_000);
        let stretched = u64::from(ask.stretch).saturating_mul(longest.as_ms()) / 1_000;
        let objective = stretched + u64::from(ask.slack_ms);
        let arrived = now - Span::from_ms(ask.age_ms.into());
        let deadline = now + Span::from_ms(ask.left_ms.into());
        self.sites.learn_rack(&ask.rack);
        let (latest_start, useful_start) =
            latest_starts(arrived, deadline, Span::from_ms(objective), longest);
        let waiting = QueuedTasks {
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
        if !waiting.begun && ask.age_ms <= to_u32(ARRIVING.as_ms()) {
            self.count_arrival(&waiting, now);
        }
        self.backlog.add(waiting, now);
        (self.dirty, self.asked) = (true, true);
    }

    fn count_arrival(&mut self, waiting: &QueuedTasks, now: Time) {
        let tasks = u32::try_from(waiting.tasks.len()).unwrap_or(u32::MAX);
        let room = f64::from(tasks) * f64::from(waiting.need.cores.get());
        let work = room * self.bias.mean_ms(&waiting.kind, waiting.expected);
        self.arrivals.count(&waiting.service, waiting.priority, room, work, now);
    }

    fn unknown_tasks(&self, front: &InstanceId, ask: &Ask) -> Vec<u32> {
        let same = |w: &&QueuedTasks| w.job == ask.job && w.step == ask.step && w.front == *front;
        let known: Vec<u32> =
            self.backlog.iter().filter(same).flat_map(|w| w.tasks.iter().copied()).collect();
        ask.tasks.iter().copied().filter(|task| !known.contains(task)).collect()
    }

    /// Forgets the waiting tasks of a job.
    pub fn withdraw(&mut self, front: &InstanceId, job: &str) {
        self.backlog.remove(|waiting| waiting.job == job && waiting.front == *front);
    }

    /// Forgets the waiting tasks of an instance, and the workers that it owned.
    pub fn lose(&mut self, instance: &InstanceId) {
        self.backlog.remove(|waiting| waiting.front == *instance);
        for site in self.sites.iter().filter(|site| site.owner == *instance) {
            self.records.insert(site.id().clone(), *site.record());
        }
        self.sites.retain(|site| site.owner != *instance);
    }

    /// Forgets what runs and waits, since another instance schedules now. What was learnt stays.
    pub fn resign(&mut self) {
        for site in self.sites.iter() {
            self.records.insert(site.id().clone(), *site.record());
        }
        self.backlog = Backlog::default();
        self.sites.clear();
        self.suspects = VecMap::default();
        self.probes = VecMap::default();
        self.counted = Vec::new();
        self.since = None;
        self.complete = false;
    }

    /// Owners that were out of reach report their workers from now on.
    pub fn await_reports(&mut self, now: Time) {
        if self.since.is_some() {
            self.since = Some(now);
            self.complete = false;
        }
    }

    /// Gives back a place that was not used, or that the owner refused.
    pub fn unused(&mut self, worker: &WorkerId, task: &TaskKey, refused: bool, now: Time) {
        for (_, probes) in self.probes.iter_mut().filter(|(_, probes)| probes.is_open(worker)) {
            probes.ended(worker, None, now);
        }
        let known = self.sites.change(worker, |site| {
            site.release(task);
            if refused {
                site.learn(How::NoRoom, Span::ZERO, Span::ZERO, false, now);
            }
        });
        (self.dirty, self.freed) = (self.dirty || known.is_some(), true);
    }

    /// Takes an owner's report of its workers.
    pub fn rooms(&mut self, owner: &InstanceId, rooms: Rooms, listing: &WorkerList, now: Time) {
        for room in rooms.rooms {
            let Ok(id) = room.worker.parse::<WorkerId>() else { continue };
            let Some(listed) = listing.get(&id) else { continue };
            let known = self.sites.get(&id).map(|site| site.token);
            if known.is_some_and(|token| room.token < token) {
                continue;
            }
            let incarnation = Incarnation::new(room.born_ms);
            let reborn =
                self.sites.get(&id).is_some_and(|site| incarnation.is_after(site.incarnation));
            if known.is_none() || reborn {
                let mut site = WorkerView::new(listed.clone(), owner.clone(), room.token);
                if let Some(record) = self.records.remove(&id) {
                    site.restore(record, now);
                }
                self.sites.insert(site);
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
            self.sites.change(&id, |site| {
                site.listed = listed.clone();
                site.owner = owner.clone();
                site.token = room.token;
                site.incarnation =
                    if incarnation.is_known() { incarnation } else { site.incarnation };
                site.open = room.open;
                site.report(held, now);
                for (task, left) in left {
                    site.expect_end(&task, left, left, now);
                }
                site.set_life(room.born_ms, now);
                if let Some(standing) = standing {
                    site.restore_report(standing, now);
                }
            });
            (self.dirty, self.freed) = (true, true);
        }
        self.listed = listing.all().len();
        if !rooms.kinds.is_empty() && !self.counted.contains(owner) {
            self.counted.push(owner.clone());
            self.times.merge(&rooms.kinds);
        }
        self.complete = self.complete || self.knows(listing);
    }

    /// Grants no room on the workers of owners that say nothing, for as long as they do.
    pub fn mute(&mut self, silent: &[InstanceId]) {
        self.sites.set_silent(|site| silent.contains(&site.owner));
    }

    /// Takes a new list of workers.
    pub fn listed(&mut self, listing: &WorkerList) {
        self.listed = listing.all().len();
        self.records.retain(|id, _| listing.get(id).is_some());
        self.sites.retain(|site| match listing.get(site.id()) {
            Some(listed) => {
                site.listed = listed.clone();
                true
            }
            None => false,
        });
    }

    /// Takes the end of a run.
    pub fn freed(&mut self, freed: &Freed, now: Time) {
        let Some(run) = freed.run.as_ref().map(RunKey::from) else { return };
        let Ok(worker) = freed.worker.parse::<WorkerId>() else { return };
        let how = freed.how();
        let took = Span::from_ms(freed.took_ms.into());
        let is_timed = !freed.kind.is_empty();
        let run_known = self.sites.get(&worker).and_then(|site| site.run_of(&run.task));
        let tells = self.times.knows(&freed.kind) && run_known.is_none_or(|run| run.known);
        if let (true, Some(run)) = (tells && how == How::Done, run_known.filter(|r| r.away > 0.0))
            && let Some(site) = self.sites.get(&worker).filter(|site| !site.is_slow())
        {
            let expected = Span::from_ms(freed.expected_ms.into());
            self.sites.learn_away(run.away + site.surprise(took, expected));
        }
        if how == How::Done && is_timed {
            self.bias.learn(&freed.kind, took, Span::from_ms(freed.expected_ms.into()));
            self.learn_time(&freed.kind, &worker, &run.task, took);
        }
        let guilty = how == How::Failed && self.suspect(&run.task.job, &worker);
        let expected = Span::from_ms(freed.expected_ms.into());
        let known = self.sites.change(&worker, |site| {
            let was_slow = site.is_known_slow(now);
            site.release(&run.task);
            if how == How::Done && is_timed && !tells {
                site.acquit_all();
            } else if is_timed {
                site.learn(how, took, expected, guilty, now);
            }
            let recovered = was_slow && !site.is_known_slow(now);
            let is_slow = site.is_slow_run(took, expected);
            (site.listed.service.clone(), site.is_paused(now), recovered, is_slow)
        });
        let Some((service, is_paused, recovered, is_slow)) = known else { return };
        (self.dirty, self.freed) = (true, true);
        if is_paused {
            self.sites.limit_pauses(&service, now);
        }
        if let Some(probes) =
            self.probes.get_mut(&service).filter(|p| p.is_open(&worker) || recovered)
        {
            let good = match how {
                How::Done if recovered => Some(true),
                How::Done if is_timed && is_slow => Some(false),
                How::Stalled | How::Failed => Some(false),
                _ => None,
            };
            probes.ended(&worker, good, now);
        }
    }

    /// Learns the run time of a kind, apart from the speed of the worker and the way to the data.
    fn learn_time(&mut self, kind: &str, worker: &WorkerId, task: &TaskKey, took: Span) {
        let site = self.sites.get(worker);
        if site.is_some_and(WorkerView::is_slow) {
            return;
        }
        let pace = site.map_or(0.0, |site| site.pace().log());
        let away = site.and_then(|site| site.run_of(task)).map_or(0.0, |run| run.away);
        self.times.learn(kind, took, pace + away);
    }

    /// Whether the failure of a job may be the worker's: a job that fails on a second worker is
    /// to blame itself.
    fn suspect(&mut self, job: &str, worker: &WorkerId) -> bool {
        match self.suspects.get(job) {
            None => {
                if self.suspects.len() >= SUSPECTS {
                    self.suspects = VecMap::default();
                }
                self.suspects.insert(job.to_owned(), worker.clone());
                true
            }
            Some(first) if first == worker => false,
            Some(first) => {
                self.sites.change(first, WorkerView::acquit);
                false
            }
        }
    }

    /// Grants what room there is and refuses what cannot be served.
    pub fn run(&mut self, now: Time, tick: bool, out: &mut Output) {
        self.since.get_or_insert(now);
        if tick {
            self.tries = PROBE_TRIES;
        }
        if tick || self.sites.is_stale() {
            self.sites.assess(now);
            self.watch_slow(now, out);
        }
        if self.backlog.is_empty() || !(self.dirty || tick) {
            return;
        }
        self.dirty = false;
        if std::mem::take(&mut self.freed) || tick {
            self.waits.clear();
        }
        self.backlog.age(now);
        if tick {
            self.above = self.sharing.above(now);
        }
        self.backlog.share(|waiting| self.above.contains(waiting));
        self.grant(now, out);
        // Until the next tick, ends only shorten the wait of what is not refused yet.
        let cost = Span::from_ms(self.backlog.len() as u64 / JUDGED_PER_MS);
        let asked = self.asked && now.since(self.judged) >= JUDGE_EVERY + cost;
        if !(tick || asked) || self.backlog.is_empty() {
            return;
        }
        (self.asked, self.judged) = (false, now);
        if self.complete || now.since(*self.since.get_or_insert(now)) >= REPORTS {
            self.refuse(now, out);
        }
    }

    /// Whether so many workers are out of reach that their return changes every forecast: what arrives
    /// later may find them.
    fn is_cut_off(&self) -> bool {
        let known = self.sites.iter().count();
        known * KNOWN_OF < self.listed * KNOWN
    }

    /// Whether the room of all listed workers is known.
    fn knows(&self, listing: &WorkerList) -> bool {
        let listed = listing.all();
        !listed.is_empty() && listed.iter().all(|listed| self.sites.get(&listed.id).is_some())
    }

    /// Notes workers that turned slow or recovered, and lets the first be probed.
    fn watch_slow(&mut self, now: Time, out: &mut Output) {
        let changed = |site: &&WorkerView| site.is_slow() != site.noted_slow;
        let changed: Vec<WorkerId> =
            self.sites.iter().filter(changed).map(|site| site.id().clone()).collect();
        for id in changed {
            self.sites.change(&id, |site| {
                site.noted_slow = site.is_slow();
                let (slow, slowness, samples) =
                    (site.is_slow(), site.slowness(now), site.samples(now));
                out.log(LogEvent::SpeedChanged { worker: id.clone(), slow, slowness, samples });
            });
            let Some(site) = self.sites.get(&id).filter(|site| site.is_slow()) else { continue };
            let service = site.listed.service.clone();
            self.probes.get_or_insert_with(service, || Probes::new(now)).hasten(now);
        }
        let slow: Vec<&WorkerView> =
            self.sites.slow().iter().filter_map(|id| self.sites.get(id)).collect();
        self.probes.retain(|service, _| slow.iter().any(|site| site.listed.service == *service));
    }

    fn grant(&mut self, now: Time, out: &mut Output) {
        let mut largest = self.sites.largest(now);
        let mut waits = std::mem::take(&mut self.waits);
        for waiting in self.backlog.iter_mut() {
            if waiting.need.cores > largest || waits.is_full(waiting) || waits.holds(waiting, now) {
                continue;
            }
            let mut places = Vec::new();
            let mut left = Vec::new();
            let known = self.times.knows(&waiting.kind);
            for task in std::mem::take(&mut waiting.tasks) {
                if !left.is_empty() {
                    // The tasks of a step are alike.
                    left.push(task);
                    continue;
                }
                let probe = if places.is_empty() && self.tries > 0 {
                    self.tries -= 1;
                    probe(&self.sites, &mut self.probes, waiting, now, out)
                } else {
                    None
                };
                let choice = match probe
                    .map_or_else(|| self.sites.place(waiting, now), PlacementDecision::Run)
                {
                    PlacementDecision::Run(choice) => choice,
                    PlacementDecision::Wait(factor) => {
                        waits.add(waiting, factor);
                        left.push(task);
                        continue;
                    }
                    PlacementDecision::Full => {
                        waits.add_full(waiting);
                        left.push(task);
                        continue;
                    }
                };
                let (site, expected) = (choice.site, choice.expected(waiting));
                places.push(Place {
                    task,
                    worker: site.id().to_string(),
                    owner: site.owner.to_string(),
                    run_ms: to_u32(expected.as_ms()),
                    token: site.token,
                    due_ms: to_u32(waiting.due.since(now).as_ms()),
                    pace_permille: site.pace().permille(),
                });
                let key = TaskKey { job: waiting.job.clone(), step: waiting.step, task };
                let run = GrantedRun { since: now, expected, away: choice.away_log, known };
                let (id, is_probe) = (site.id().clone(), probe.is_some());
                let mean = self.bias.mean(&waiting.kind, waiting.expected);
                self.sites.change(&id, |site| {
                    if is_probe {
                        site.probed = now;
                    }
                    site.grant_run(key.clone(), waiting.need, run);
                    site.expect_end(&key, START + mean + END, mean, now);
                });
            }
            waiting.tasks = left;
            if places.is_empty() {
                continue;
            }
            waiting.begun = true;
            let work = f64::from(waiting.need.cores.get())
                * self.bias.mean_ms(&waiting.kind, waiting.expected)
                * f64::from(u32::try_from(places.len()).unwrap_or(u32::MAX));
            self.sharing.count(waiting, work, now);
            let (job, step) = (waiting.job.clone(), waiting.step);
            let slack = waiting.latest_start.since(now);
            let all = waiting.forecast.filter(|_| waiting.tasks.is_empty());
            let forecast = all.map(|(at, expected)| (expected, now.since(at)));
            let kind = waiting.kind.clone();
            out.log(LogEvent::Granted {
                job: job.clone(),
                tasks: places.len(),
                slack,
                kind,
                forecast,
            });
            out.send(&waiting.front, Message::Grant(Grant { job, step, places }));
            largest = self.sites.largest(now);
        }
        self.waits = waits;
        self.backlog.compact();
    }

    fn refuse(&mut self, now: Time, out: &mut Output) {
        let mut services: Vec<String> =
            self.backlog.iter().map(|waiting| waiting.service.clone()).collect();
        services.sort();
        services.dedup();
        for service in services {
            let has_room = |site: &&WorkerView| site.is_usable() && site.listed.service == service;
            let sites: Vec<&WorkerView> = self.sites.iter().filter(has_room).collect();
            let known = self.room_known.get_or_insert_with(service.clone(), || Time::ZERO);
            if !sites.is_empty() {
                *known = now;
            } else if now.since(*known) < TAKEOVERS {
                continue;
            }
            let own = self.backlog.iter().filter(|waiting| waiting.service == service);
            let forecast = Forecast::new(own, sites.into_iter(), now);
            let mut arrivals: Vec<_> = self.arrivals.of(&service, now).collect();
            if self.is_cut_off() {
                arrivals.clear();
            }
            let mean = |waiting: &QueuedTasks| held_ms(&self.bias, waiting);
            let (backlog, returns) = (&mut self.backlog, &mut self.returns);
            let settled = self.since.is_some_and(|since| now.since(since) >= SETTLED);
            let arriving = ArrivalRates { rates: &arrivals, settled };
            let found = load_shedding::find_unservable(
                backlog, &service, forecast, arriving, mean, returns, now,
            );
            if found.is_empty() {
                continue;
            }
            let mut jobs: Vec<&str> = found.iter().map(|hopeless| hopeless.job.as_str()).collect();
            jobs.sort_unstable();
            let gone = |waiting: &QueuedTasks| jobs.binary_search(&waiting.job.as_str()).is_ok();
            let mut taken = VecMap::default();
            for waiting in self.backlog.take(gone) {
                taken.insert(waiting.job.clone(), waiting);
            }
            for hopeless in found {
                // Several steps of a job are refused as one.
                let Some(waiting) = taken.remove(&hopeless.job) else { continue };
                self.sharing.refused(&waiting, now);
                let QueuedTasks { front, kind, .. } = waiting;
                let UnservableJob { job, cause, start, retry, slots, work, share } = hopeless;
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
        let open = self.sites.iter().filter(|site| site.takes_tasks(now)).count();
        (self.backlog.len(), open)
    }
}

/// A slow worker that the next task of a step is to probe.
fn probe<'a>(
    sites: &'a WorkerPool,
    probes: &mut VecMap<String, Probes>,
    waiting: &QueuedTasks,
    now: Time,
    out: &mut Output,
) -> Option<Placement<'a>> {
    let probes = probes.get_mut(&waiting.service).filter(|probes| probes.may_begin(now))?;
    let choice = sites.probe(waiting, probes.is_overdue(now), now)?;
    let worker = choice.site.id().clone();
    probes.begin(worker.clone(), now);
    out.log(LogEvent::Probed { worker, job: waiting.job.clone() });
    Some(choice)
}

/// Mean time for which a task holds its room, in milliseconds.
fn held_ms(bias: &RunBias, waiting: &QueuedTasks) -> f64 {
    let turnover = u32::try_from((START + END).as_ms()).map_or(0.0, f64::from);
    bias.mean_ms(&waiting.kind, waiting.expected) + turnover
}

fn to_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
