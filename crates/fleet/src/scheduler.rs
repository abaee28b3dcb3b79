//! Grants room on workers to waiting tasks of all instances.

use cranberryhatch_schema::fleet::{Ask, Freed, Grant, How, Place, Refusal, Rooms};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::{
    Backlog, Life, Listing, Need, Output, RunKey, RunTimes, Site, Sites, TaskKey, VecMap, Waiting,
    backlog::latest_starts, note::Note, output::Message, refusing,
};

/// Largest number of jobs whose first failure is remembered.
const SUSPECTS: usize = 1_000;
/// Share by which the longest task of a step outlasts the expected one, in thousandths.
const LONGEST: u64 = 1_150;
/// Longest time in which owners report their workers after an election or after further members count;
/// nothing is refused before its end, unless all listed workers are known.
/// They report at once, and open their workers within 250 ms after all of them restarted.
const REPORTS: Span = Span::from_ms(400);
/// Time in which other instances take over the workers when all were lost with their owners: the
/// time until a silent instance counts as gone, and a report.
const TAKEOVERS: Span = Span::from_ms(1_000);

/// Waiting tasks and the room of all workers whose owners report here.
#[derive(Debug, Default)]
pub struct Scheduler {
    backlog: Backlog,
    sites: Sites,
    times: RunTimes,
    // Worker on which a job first failed, to tell a bad worker from a bad job.
    suspects: VecMap<String, WorkerId>,
    dirty: bool,
    // When owners were last expected to report all their workers; none while another instance schedules.
    since: Option<Time>,
    // Whether all listed workers have been reported since then.
    complete: bool,
    // When it last knew of a worker that takes tasks.
    room_known: Time,
}

impl Scheduler {
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
        let born = now - Span::from_ms(ask.age_ms.into());
        let limit = now + Span::from_ms(ask.left_ms.into());
        let (on_time, useful) = latest_starts(born, limit, Span::from_ms(objective), longest);
        let waiting = Waiting {
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
            on_time,
            due: on_time + longest,
            useful,
            label: ask.label,
            rack: ask.rack,
            spread: ask.spread,
            avoid: ask.avoid,
            begun: ask.begun,
        };
        self.backlog.add(waiting, now);
        self.dirty = true;
    }

    fn unknown_tasks(&self, front: &InstanceId, ask: &Ask) -> Vec<u32> {
        let same = |w: &&Waiting| w.job == ask.job && w.step == ask.step && w.front == *front;
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
        self.sites.retain(|site| site.owner != *instance);
    }

    /// Forgets everything but run times: another instance schedules now.
    pub fn resign(&mut self) {
        self.backlog = Backlog::default();
        self.sites = Sites::default();
        self.suspects = VecMap::default();
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
        let known = self.sites.change(worker, |site| {
            site.release(task);
            if refused {
                site.learn(How::NoRoom, Span::ZERO, Span::ZERO, false, now);
            }
        });
        self.dirty |= known.is_some();
    }

    /// Takes an owner's report of its workers.
    pub fn rooms(&mut self, owner: &InstanceId, rooms: Rooms, listing: &Listing, now: Time) {
        for room in rooms.rooms {
            let Ok(id) = room.worker.parse::<WorkerId>() else { continue };
            let Some(listed) = listing.get(&id) else { continue };
            let known = self.sites.get(&id).map(|site| site.token);
            if known.is_some_and(|token| room.token < token) {
                continue;
            }
            let life = Life::new(room.born_ms);
            let reborn = self.sites.get(&id).is_some_and(|site| life.is_after(site.life));
            if known.is_none() || reborn {
                self.sites.insert(Site::new(listed.clone(), owner.clone(), room.token));
            }
            let held = room.held.into_iter().filter_map(|held| {
                let key = RunKey::from(&held.run?);
                Some((key.task, Need::from(&held.need?)))
            });
            let held = held.collect();
            self.sites.change(&id, |site| {
                site.listed = listed.clone();
                site.owner = owner.clone();
                site.token = room.token;
                site.life = if life.is_known() { life } else { site.life };
                site.open = room.open;
                site.report(held, now);
            });
            self.dirty = true;
        }
        self.complete = self.complete || self.knows(listing);
    }

    /// Grants no room on the workers of owners that say nothing, for as long as they do.
    pub fn mute(&mut self, silent: &[InstanceId]) {
        self.sites.set_silent(|site| silent.contains(&site.owner));
    }

    /// Takes a new list of workers.
    pub fn listed(&mut self, listing: &Listing) {
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
        if how == How::Done && !freed.kind.is_empty() {
            self.times.learn(&freed.kind, took);
        }
        let guilty = how == How::Failed && self.suspect(&run.task.job, &worker);
        let expected = Span::from_ms(freed.expected_ms.into());
        let known = self.sites.change(&worker, |site| {
            site.release(&run.task);
            if !freed.kind.is_empty() {
                site.learn(how, took, expected, guilty, now);
            }
        });
        self.dirty |= known.is_some();
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
                self.sites.change(first, Site::acquit);
                false
            }
        }
    }

    /// Grants what room there is and refuses what cannot be served.
    pub fn run(&mut self, now: Time, tick: bool, out: &mut Output) {
        self.since.get_or_insert(now);
        if self.backlog.is_empty() || !(self.dirty || tick) {
            return;
        }
        self.dirty = false;
        self.backlog.age(now);
        self.grant(now, out);
        if self.complete || now.since(*self.since.get_or_insert(now)) >= REPORTS {
            self.refuse(now, out);
        }
    }

    /// Whether the room of all listed workers is known.
    fn knows(&self, listing: &Listing) -> bool {
        let listed = listing.all();
        !listed.is_empty() && listed.iter().all(|listed| self.sites.get(&listed.id).is_some())
    }

    fn grant(&mut self, now: Time, out: &mut Output) {
        let mut largest = self.sites.largest(now);
        for waiting in self.backlog.iter_mut() {
            if waiting.need.cores > largest {
                continue;
            }
            let mut places = Vec::new();
            let mut left = Vec::new();
            for task in std::mem::take(&mut waiting.tasks) {
                let Some(site) = self.sites.choose(waiting, now) else {
                    left.push(task);
                    continue;
                };
                places.push(Place {
                    task,
                    worker: site.id().to_string(),
                    owner: site.owner.to_string(),
                    run_ms: to_u32(waiting.expected.as_ms()),
                    token: site.token,
                    due_ms: to_u32(waiting.due.since(now).as_ms()),
                });
                let key = TaskKey { job: waiting.job.clone(), step: waiting.step, task };
                let id = site.id().clone();
                self.sites.change(&id, |site| site.grant(key, waiting.need, now));
            }
            waiting.tasks = left;
            if places.is_empty() {
                continue;
            }
            waiting.begun = true;
            let (job, step) = (waiting.job.clone(), waiting.step);
            let slack = waiting.on_time.since(now);
            out.note(Note::Granted { job: job.clone(), tasks: places.len(), slack });
            out.send(&waiting.front, Message::Grant(Grant { job, step, places }));
            largest = self.sites.largest(now);
        }
        self.backlog.compact();
    }

    fn refuse(&mut self, now: Time, out: &mut Output) {
        let mut services: Vec<String> =
            self.backlog.iter().map(|waiting| waiting.service.clone()).collect();
        services.sort();
        services.dedup();
        for service in services {
            let cores = self.cores(&service);
            if cores > 0 {
                self.room_known = now;
            } else if now.since(self.room_known) < TAKEOVERS {
                continue;
            }
            for hopeless in refusing::hopeless(&self.backlog, &service, cores, now) {
                let gone = |waiting: &Waiting| waiting.job == hopeless.job;
                let Some(front) = self.backlog.iter().find(|w| gone(w)).map(|w| w.front.clone())
                else {
                    continue;
                };
                self.backlog.remove(gone);
                let refusal = Refusal {
                    job: hopeless.job,
                    retry_ms: to_u32(hopeless.retry.as_ms()),
                    ahead_ms: to_u32(hopeless.ahead.as_ms()),
                };
                out.send(&front, Message::Refusal(refusal));
            }
        }
    }

    /// Room of all workers of a service that take work, in thousandths of a core.
    fn cores(&self, service: &str) -> u64 {
        let usable = |site: &&Site| site.is_usable() && site.listed.service == service;
        let sites = self.sites.iter().filter(usable);
        sites.map(|site| u64::from(site.listed.room.cores.get()) / site.caution()).sum()
    }

    /// Number of steps that wait, and of workers that take tasks.
    #[must_use]
    pub fn load(&self, now: Time) -> (usize, usize) {
        let open = self.sites.iter().filter(|site| site.takes_tasks(now)).count();
        (self.backlog.len(), open)
    }
}

fn to_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
