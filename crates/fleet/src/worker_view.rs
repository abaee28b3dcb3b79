//! The scheduler's view of a worker: its capacity, its speed and its reliability.

use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{Cores, InstanceId, Span, Time, WorkerId};

use crate::{
    Incarnation, ListedWorker, Need, PEER_TIMEOUT, RUN_LIFETIME, RunKey, TaskKey,
    members::text_hash,
    run_stats::WorkerStats,
    speed::{ClassSpeeds, SlownessLevel, SpeedEstimate},
};

/// Time after which a grant counts as unused if the owner has not reported its run.
///
/// A run starts within a few milliseconds of the grant, and owners report all runs once a second.
const UNUSED_AFTER: Span = Span::from_ms(700);
/// Time after a grant from which a report without its run shows that it never starts.
///
/// A grant that takes longer than [`PEER_TIMEOUT`] to reach its front is lost with the link, and
/// owners refuse a start [`RUN_LIFETIME`] after the heartbeat that its front has read.
const START_EXPIRY: Span = Span::from_ms(PEER_TIMEOUT.as_ms() + RUN_LIFETIME.as_ms());
/// First pause of a worker after a fault, doubled with each further one. A single bad run of 60 to
/// 900 ms does not justify a longer pause.
const PAUSE: Span = Span::from_ms(100);
/// Maximum number of doublings of the pause.
const PAUSE_DOUBLINGS: u32 = 5;
/// Maximum pause while many workers are paused, when the cause is not a single worker.
const SHARED_PAUSE: Span = Span::from_ms(50);
/// Pause after the owner or the worker refused a start; a new owner reports within 100 ms.
const REJECTED_PAUSE: Span = Span::from_ms(100);
/// Expected time until a worker with an unresponsive owner accepts tasks again, because its owner
/// responds or another instance takes the worker over.
const SILENCE_TIMEOUT: Span = Span::from_ms(200);
/// Minimum share of its expected run time that a run in progress has left, as a divisor.
const MIN_LEFT_DIVISOR: u64 = 4;
/// Assumed remaining time of a run without an estimate.
const UNKNOWN_LEFT: Span = Span::from_ms(200);
/// Time in which a lost start request is detected and sent again. Until then, a run in progress
/// says nothing about its worker.
const START_DELAY: Span = Span::from_ms(150);
/// Share of lost requests from which a worker counts as unreliable. At a loss rate of one in
/// twenty, which can affect a whole service, two of ten requests are lost by chance in 10 % of
/// cases.
const UNRELIABLE: f64 = 0.25;
/// Added to the logarithm of a slow worker's slowness for placement.
const SLOW_MARGIN: f64 = 0.4;
/// Minimum time by which a report must be newer than the scheduler's own samples to replace them.
const REPORT_MIN_LEAD: Span = Span::from_ms(1_000);

/// Capacity that a task holds or was granted.
#[derive(Clone, Debug)]
struct Reservation {
    task: TaskKey,
    need: Need,
    // When it was granted or last reported.
    at: Time,
    // Expected end and the run time from which it was derived; `None` if unknown.
    end: Option<(Time, Span)>,
    run: Option<GrantedRun>,
    // Number of the run that the owner has reported, if it has.
    reported: Option<u32>,
}

/// A run that this scheduler granted.
#[derive(Clone, Copy, Debug)]
pub struct GrantedRun {
    /// When capacity was granted.
    pub since: Time,
    /// Expected run time on the fastest class at the same distance from the data.
    pub expected: Span,
    /// Logarithm of the slowdown due to the distance from the data.
    pub rack_log: f64,
    /// Whether enough runs of the kind are known to judge the worker by this one.
    pub kind_known: bool,
    /// Whether nothing else may start on the worker meanwhile, because the task may crash it.
    pub exclusive: bool,
}

/// The scheduler's state of one worker.
#[derive(Debug)]
pub struct WorkerView {
    /// The worker as listed by the platform.
    pub listed: ListedWorker,
    /// Instance that owns the worker.
    pub owner: InstanceId,
    /// Fencing token of the owner.
    pub token: u64,
    /// Incarnation of the worker as reported by the owner.
    pub incarnation: Incarnation,
    /// Whether the owner accepts starts on the worker.
    pub open: bool,
    /// Whether the owner is unresponsive, so that a start may be lost.
    pub silent: bool,
    /// When the worker was last probed.
    pub last_probe: Time,
    /// Whether the worker was last logged as slow.
    pub logged_slow: bool,
    reservations: Vec<Reservation>,
    // Tasks of unused grants that may still start here, and when they were granted.
    unused: Vec<(TaskKey, Time)>,
    // Whether one of the reservations is exclusive.
    exclusive: bool,
    free: Need,
    pause_count: u32,
    paused_until: Time,
    stats: WorkerStats,
    // Whether the owner has reported its statistics.
    reported: bool,
    // Id of the class, its slowness, and that of the fastest class.
    class: u64,
    class_slowness: f64,
    fastest_slowness: f64,
    // Sample of the most overdue run, if it shows that the worker is slower than estimated.
    overrun: Option<f64>,
    slowness_level: SlownessLevel,
    slow: bool,
    unconfirmed: bool,
    // Whether so few workers have long runs that single ones count as chance.
    ignores_outliers: bool,
}

impl WorkerView {
    /// Creates the view of a worker without known runs.
    #[must_use]
    pub fn new(listed: ListedWorker, owner: InstanceId, token: u64) -> Self {
        let free = listed.capacity;
        Self {
            listed,
            owner,
            token,
            incarnation: Incarnation::UNKNOWN,
            open: false,
            silent: false,
            last_probe: Time::ZERO,
            logged_slow: false,
            reservations: Vec::new(),
            unused: Vec::new(),
            exclusive: false,
            free,
            pause_count: 0,
            paused_until: Time::ZERO,
            stats: WorkerStats::default(),
            reported: false,
            class: 0,
            class_slowness: 0.0,
            fastest_slowness: 0.0,
            overrun: None,
            slowness_level: SlownessLevel::default(),
            slow: false,
            unconfirmed: false,
            ignores_outliers: false,
        }
    }

    /// Returns the id of the worker.
    #[must_use]
    pub const fn id(&self) -> &WorkerId {
        &self.listed.id
    }

    /// Sets the worker as the platform lists it; its capacity may have changed.
    pub fn set_listed(&mut self, listed: ListedWorker) {
        self.listed = listed;
        self.update_free();
    }

    /// Returns the free capacity.
    #[must_use]
    pub const fn free(&self) -> &Need {
        &self.free
    }

    /// Returns the cores that a task can get, regardless of pauses and of an unresponsive owner. A
    /// worker on probation that already has a task offers none.
    #[must_use]
    pub const fn offered_cores(&self) -> Cores {
        let taken = self.is_on_probation() && !self.reservations.is_empty() || self.exclusive;
        if taken || !self.is_usable() { Cores::new(0) } else { self.free.cores }
    }

    /// Returns the quantized slowness, which is used for placement.
    #[must_use]
    pub const fn slowness_level(&self) -> SlownessLevel {
        self.slowness_level
    }

    /// Returns the logarithm of the slowness relative to the fastest class, in thousandths.
    #[must_use]
    pub fn slowness(&self, now: Time) -> i32 {
        #[expect(clippy::cast_possible_truncation, reason = "logarithms of factors are below 10")]
        let milli = ((self.slowness_log(now) - self.fastest_slowness) * 1_000.0) as i32;
        milli
    }

    /// Returns the run time as a multiple of that on the fastest class.
    #[must_use]
    pub fn slowness_factor(&self, now: Time) -> f64 {
        (self.slowness_log(now) - self.fastest_slowness).exp()
    }

    fn slowness_log(&self, now: Time) -> f64 {
        if self.ignores_outliers {
            let speed = &self.stats.speed;
            let known = speed.estimate(self.class_slowness, now);
            let is_chance =
                SpeedEstimate::is_slow(known, self.class_slowness) && !speed.is_confirmed();
            return if is_chance { self.class_slowness } else { known };
        }
        let pessimistic = self.stats.speed.pessimistic(self.class_slowness, now);
        self.overrun.map_or(pessimistic, |overrun| pessimistic.max(overrun))
    }

    /// Returns the weight of the runs behind the speed estimate, in samples; older runs weigh less.
    #[must_use]
    pub fn samples(&self, now: Time) -> u32 {
        self.stats.report(now).samples
    }

    /// Returns whether the worker is slow for its class.
    #[must_use]
    pub const fn is_slow(&self) -> bool {
        self.slow
    }

    /// Returns whether several runs have shown that the worker is slow for its class.
    #[must_use]
    pub fn is_known_slow(&self, now: Time) -> bool {
        SpeedEstimate::is_slow(
            self.stats.speed.estimate(self.class_slowness, now),
            self.class_slowness,
        )
    }

    /// Returns whether requests to the worker often get no response.
    #[must_use]
    pub fn is_unreliable(&self) -> bool {
        self.stats.lost_share > UNRELIABLE
    }

    /// Returns the class, which comprises workers that are expected to be alike.
    #[must_use]
    pub const fn class(&self) -> u64 {
        self.class
    }

    /// Returns the statistics of the worker's runs.
    #[must_use]
    pub const fn stats(&self) -> &WorkerStats {
        &self.stats
    }

    /// Returns whether the worker can be granted a task now.
    #[must_use]
    pub fn accepts_tasks(&self, now: Time) -> bool {
        self.is_available(now)
            && (!self.is_on_probation() || self.reservations.is_empty())
            && !self.exclusive
    }

    /// Returns whether the worker can be granted a task now or as soon as one of its runs ends.
    #[must_use]
    pub fn is_available(&self, now: Time) -> bool {
        self.is_usable() && !self.silent && now >= self.paused_until
    }

    /// Returns whether the worker accepts work now or after a pause, and its attributes are known.
    #[must_use]
    pub const fn is_usable(&self) -> bool {
        self.open && !self.listed.draining && self.listed.describes(self.incarnation)
    }

    /// Returns when the worker is expected to accept tasks.
    #[must_use]
    pub fn available_at(&self, now: Time) -> Time {
        let heard = if self.silent { now + SILENCE_TIMEOUT } else { now };
        heard.max(self.paused_until)
    }

    /// Returns the expected ends of the reservations and the resources that each end frees.
    pub fn expected_ends(&self, now: Time) -> impl Iterator<Item = (Time, Need)> {
        self.reservations.iter().map(move |reservation| {
            let left = |(end, run): (Time, Span)| end.max(now + run / MIN_LEFT_DIVISOR);
            (reservation.end.map_or(now + UNKNOWN_LEFT, left), reservation.need)
        })
    }

    /// Sets the expected remaining time of a task, unless it is known, and the run time from which
    /// it was derived.
    pub fn expect_end(&mut self, task: &TaskKey, left: Span, run: Span, now: Time) {
        if let Some(reservation) =
            self.reservations.iter_mut().find(|reservation| reservation.task == *task)
        {
            reservation.end.get_or_insert((now + left, run));
        }
    }

    /// Returns whether the worker is on probation: it gets one task at a time until a run succeeds.
    #[must_use]
    pub const fn is_on_probation(&self) -> bool {
        self.stats.failures > 0 || self.pause_count > 0 || self.slow || self.unconfirmed
    }

    /// Returns whether the worker is paused because of faults.
    #[must_use]
    pub fn is_paused(&self, now: Time) -> bool {
        self.pause_count > 0 && now < self.paused_until
    }

    /// Shortens the pause because many workers are paused at the same time.
    pub fn shorten_pause(&mut self, now: Time) {
        self.paused_until = self.paused_until.min(now + SHARED_PAUSE);
    }

    /// Returns whether a task that may crash the worker runs there, and nothing else may start.
    #[must_use]
    pub const fn is_exclusive(&self) -> bool {
        self.exclusive
    }

    /// Returns whether the worker holds no task.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Returns the number of tasks of a step that the worker holds.
    #[must_use]
    pub fn step_count(&self, job: &str, step: u32) -> u32 {
        let same = |reservation: &&Reservation| {
            reservation.task.job == job && reservation.task.step == step
        };
        u32::try_from(self.reservations.iter().filter(same).count()).unwrap_or(u32::MAX)
    }

    /// Reserves capacity for a task.
    pub fn grant(&mut self, task: TaskKey, need: Need, now: Time) {
        let reported = None;
        self.reservations.push(Reservation { task, need, at: now, end: None, run: None, reported });
        self.update_free();
    }

    /// Reserves capacity for a run that the scheduler has granted.
    pub fn grant_run(&mut self, task: TaskKey, need: Need, run: GrantedRun) {
        self.reservations.push(Reservation {
            task,
            need,
            at: run.since,
            end: None,
            run: Some(run),
            reported: None,
        });
        self.update_free();
    }

    /// Returns the run of a task if this scheduler granted it.
    #[must_use]
    pub fn granted_run(&self, task: &TaskKey) -> Option<GrantedRun> {
        self.reservations.iter().find(|reservation| reservation.task == *task)?.run
    }

    /// Returns whether the owner has reported a run of a task, or whether the task was granted
    /// capacity here if `grants`.
    #[must_use]
    pub fn holds(&self, task: &TaskKey, grants: bool) -> bool {
        let holds = |reservation: &Reservation| {
            (grants || reservation.reported.is_some()) && reservation.task == *task
        };
        self.reservations.iter().any(holds)
            || grants && self.unused.iter().any(|(unused, _)| unused == task)
    }

    /// Returns the tasks that hold capacity or were granted it, also those whose grant counts as
    /// unused but may still be used.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskKey> {
        let unused = self.unused.iter().map(|(task, _)| task);
        self.reservations.iter().map(|reservation| &reservation.task).chain(unused)
    }

    /// Releases the capacity of a task.
    pub fn release(&mut self, task: &TaskKey) {
        self.reservations.retain(|reservation| reservation.task != *task);
        self.unused.retain(|(unused, _)| unused != task);
        self.update_free();
    }

    /// Returns whether the owner has reported another run of the same task, so that an end of this
    /// one is one that a former owner reports late.
    #[must_use]
    pub fn has_other_run(&self, run: &RunKey) -> bool {
        let is_other = |reservation: &Reservation| {
            reservation.task == run.task && reservation.reported.is_some_and(|own| own != run.run)
        };
        self.reservations.iter().any(is_other)
    }

    /// Releases the capacity that was granted to a task and not used, unless the owner has reported
    /// a run of it.
    pub fn release_grant(&mut self, task: &TaskKey) {
        if !self.holds(task, false) {
            self.release(task);
        }
    }

    /// Applies the owner's report of the runs on the worker, and keeps recent grants that have not
    /// reached the owner yet.
    pub fn apply_report(&mut self, held: Vec<(RunKey, Need)>, now: Time) {
        // The report includes the capacity that is free since the last refusal.
        self.paused_until = if self.pause_count == 0 { Time::ZERO } else { self.paused_until };
        let old = now - UNUSED_AFTER;
        let before = std::mem::take(&mut self.reservations);
        let on_way = |reservation: &&Reservation| {
            now.since(reservation.at) < UNUSED_AFTER
                && !held.iter().any(|(run, _)| run.task == reservation.task)
        };
        self.reservations = before.iter().filter(on_way).cloned().collect();
        let unused = before
            .iter()
            .filter(|reservation| reservation.reported.is_none() && !on_way(reservation));
        self.unused.extend(unused.map(|reservation| (reservation.task.clone(), reservation.at)));
        self.unused.retain(|(task, granted_at)| {
            now.since(*granted_at) < START_EXPIRY
                && !held.iter().any(|(held, _)| held.task == *task)
        });
        self.reservations.extend(held.into_iter().map(|(RunKey { task, run: number }, need)| {
            let known = before.iter().find(|reservation| reservation.task == task);
            let (end, run) =
                known.map_or((None, None), |reservation| (reservation.end, reservation.run));
            Reservation { task, need, at: old, end, run, reported: Some(number) }
        }));
        self.update_free();
    }

    fn update_free(&mut self) {
        self.free = self
            .reservations
            .iter()
            .fold(self.listed.capacity, |free, p| free.saturating_sub(&p.need));
        let is_exclusive = |reservation: &Reservation| reservation.run.is_some_and(|r| r.exclusive);
        self.exclusive = self.reservations.iter().any(is_exclusive);
    }

    /// Merges statistics of the worker from before it was reported to this scheduler.
    pub fn restore_stats(&mut self, stats: WorkerStats, now: Time) {
        if self.stats.is_same_incarnation(stats.born_ms) {
            self.stats.speed.merge(stats.speed, now);
            self.stats.failures = self.stats.failures.max(stats.failures);
            self.stats.lost_share = self.stats.lost_share.max(stats.lost_share);
        }
        self.update_speed(now);
    }

    /// Merges the owner's statistics of the worker.
    ///
    /// The first report complements the scheduler's own statistics. A later one is used only if it
    /// is newer, because both learn from the same runs.
    pub fn merge_reported_stats(&mut self, reported: WorkerStats, now: Time) {
        let first = !std::mem::replace(&mut self.reported, true);
        if first {
            self.restore_stats(reported, now);
        } else if reported.speed.is_newer(&self.stats.speed, REPORT_MIN_LEAD) {
            self.stats.speed = reported.speed;
            self.update_speed(now);
        }
    }

    /// Sets the incarnation of the worker; a new incarnation starts without statistics.
    pub fn set_incarnation(&mut self, born_ms: u64, now: Time) {
        if !self.stats.is_same_incarnation(born_ms) {
            self.stats = WorkerStats::default();
            self.pause_count = 0;
            self.paused_until = Time::ZERO;
            self.reported = false;
        }
        if born_ms != 0 {
            self.stats.born_ms = born_ms;
        }
        self.update_speed(now);
    }

    /// Determines the class of the worker from its service, its size and all labels except racks.
    pub fn classify(&mut self, racks: &[String]) {
        let is_rack = |label: &&String| racks.binary_search(label).is_ok();
        let mut labels: Vec<&str> =
            self.listed.labels.iter().filter(|l| !is_rack(l)).map(String::as_str).collect();
        labels.sort_unstable();
        let capacity = &self.listed.capacity;
        self.class = text_hash(&format!(
            "{} {} {} {}",
            self.listed.service,
            capacity.cores.get(),
            capacity.accels.get(),
            labels.join(" ")
        ));
    }

    /// Returns whether a probe on the worker has taken so long that the worker is still slow.
    #[must_use]
    pub fn has_failed_probe(&self, now: Time) -> bool {
        let probe = |run: &GrantedRun| run.kind_known && run.since == self.last_probe;
        let mut runs =
            self.reservations.iter().filter_map(|reservation| reservation.run).filter(probe);
        runs.any(|run| SpeedEstimate::indicates_slow(overrun(run, now), self.class_slowness))
    }

    /// Applies the current speeds of all classes.
    pub fn set_class_speeds(&mut self, classes: &ClassSpeeds) {
        self.class_slowness = classes.slowness(self.class);
        self.fastest_slowness = classes.fastest();
    }

    /// Returns whether runs that ended or are in progress took far longer than expected.
    #[must_use]
    pub fn is_possibly_slow(&self, now: Time) -> bool {
        self.stats.speed.is_uncertain() || self.overrun.is_some() || self.is_known_slow(now)
    }

    /// Sets whether single long runs count as chance until further ones change the estimate.
    pub const fn set_ignores_outliers(&mut self, ignores_outliers: bool) {
        self.ignores_outliers = ignores_outliers;
    }

    /// Updates the slowness level from all that is known at time `now`.
    pub fn update_speed(&mut self, now: Time) {
        let known = self.stats.speed.estimate(self.class_slowness, now);
        let runs = self
            .reservations
            .iter()
            .filter_map(|reservation| reservation.run)
            .filter(|run| run.kind_known);
        let samples =
            runs.map(|run| SpeedEstimate::sample(now.since(run.since + START_DELAY), run.expected));
        let furthest = samples.fold(f64::MIN, f64::max);
        self.overrun = SpeedEstimate::is_overrun(furthest, known).then_some(furthest);
        let slowness = self.slowness_log(now);
        self.slow = SpeedEstimate::is_slow(slowness, self.class_slowness);
        let speed = &self.stats.speed;
        self.unconfirmed = !self.ignores_outliers && (speed.is_uncertain() || speed.is_on_trial());
        // Few runs tell how slow a slow worker is, and an underestimate makes a job miss its
        // latency target.
        let slowness = if self.slow { slowness + SLOW_MARGIN } else { slowness };
        let runs = self.stats.speed.weight(now);
        self.slowness_level = SlownessLevel::of(
            slowness - self.fastest_slowness,
            runs,
            self.class_slowness - self.fastest_slowness,
        );
    }

    /// Returns the logarithm of a run time relative to the run time expected on this worker.
    #[must_use]
    pub fn residual(&self, took: Span, expected: Span) -> f64 {
        SpeedEstimate::sample(took, expected) - self.slowness_level.log() - self.fastest_slowness
    }

    /// Returns whether a run took so long that the worker counts as slow for its class.
    #[must_use]
    pub fn is_slow_run(&self, took: Span, expected: Span) -> bool {
        SpeedEstimate::indicates_slow(SpeedEstimate::sample(took, expected), self.class_slowness)
    }

    /// Learns from the end of a run; `blames_worker` tells whether a failure may be the worker's
    /// fault.
    pub fn learn(&mut self, how: How, took: Span, expected: Span, blames_worker: bool, now: Time) {
        let sample = SpeedEstimate::sample(took, expected);
        self.stats.learn(how, sample, self.class_slowness, blames_worker, now);
        match how {
            How::Done => self.pause_count = 0,
            How::Failed if blames_worker && self.stats.failures > 1 => self.pause(now),
            How::Stalled | How::NotStarted => self.pause(now),
            How::NoRoom => self.paused_until = self.paused_until.max(now + REJECTED_PAUSE),
            // A start or stop request without a response says nothing about the runs on the worker.
            How::Failed
            | How::Stopped
            | How::Lost
            | How::Crashed
            | How::Old
            | How::Unanswered
            | How::Unknown => {}
        }
        self.update_speed(now);
    }

    /// Clears the failures and pauses after the success of a run without an expected run time.
    pub const fn clear_failures(&mut self) {
        self.stats.failures = 0;
        self.pause_count = 0;
    }

    /// Retracts a failure that turned out to be the job's fault.
    pub const fn retract_failure(&mut self) {
        self.stats.failures = self.stats.failures.saturating_sub(1);
    }

    fn pause(&mut self, now: Time) {
        let doublings = self.pause_count.min(PAUSE_DOUBLINGS);
        self.pause_count += 1;
        self.paused_until = now + Span::from_ms(PAUSE.as_ms() << doublings);
    }
}

/// Returns the sample of a run in progress.
fn overrun(run: GrantedRun, now: Time) -> f64 {
    SpeedEstimate::sample(now.since(run.since + START_DELAY), run.expected)
}
