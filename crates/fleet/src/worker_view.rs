//! A worker as the scheduler sees it: its room, and how it behaves.

use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{Cores, InstanceId, Span, Time, WorkerId};

use crate::{
    Incarnation, ListedWorker, Need, TaskKey,
    members::text_hash,
    run_stats::WorkerStats,
    speed::{ClassSpeeds, SlownessLevel, SpeedEstimate},
};

/// A grant that the owner has not reported as held after this time was not used.
///
/// A start takes a few milliseconds from the grant; owners report all they hold once a second.
const UNUSED_AFTER: Span = Span::from_ms(700);
/// First pause of a worker that misbehaves; it doubles with each further time. One bad run of 60 to 900 ms
/// is no evidence for a longer one.
const PAUSE: Span = Span::from_ms(100);
/// Doublings of the pause.
const PAUSE_DOUBLINGS: u32 = 5;
/// Longest pause while many workers are paused: the cause is then not the worker.
const SHARED_PAUSE: Span = Span::from_ms(50);
/// Pause after a start that the owner or the worker refused; a new owner reports within 100 ms.
const NO_ROOM_PAUSE: Span = Span::from_ms(100);
/// Time after which a worker whose owner says nothing is expected to take tasks: the owner is heard again, or
/// another one takes the worker over.
const SILENCE_TIMEOUT: Span = Span::from_ms(200);
/// Part of its expected run time that a run has left, at least, as long as it has not ended.
const MIN_LEFT_DIVISOR: u64 = 4;
/// Run time that is left of a run of which nothing is known.
const UNKNOWN_LEFT: Span = Span::from_ms(200);
/// Time from the grant of a run in which a lost order is found and sent again. Until then a run that is
/// not over yet says nothing about its worker.
const START_DELAY: Span = Span::from_ms(150);
/// Share of lost orders from which a worker is a risk; at one in twenty, as a whole service may have,
/// ten orders lose two by chance once in ten times.
const UNRELIABLE: f64 = 0.25;
/// Logarithm that is added to the slowness of a slow worker for placing.
const SLOW_MARGIN: f64 = 0.4;
/// How much older than a report own evidence must be for the report to replace it.
const REPORT_MIN_LEAD: Span = Span::from_ms(1_000);

/// Room that a task holds or was granted.
#[derive(Clone, Debug)]
struct Reservation {
    task: TaskKey,
    need: Need,
    // When it was granted or last reported.
    at: Time,
    // Expected end, and the run time from which it follows; none if they are not known.
    end: Option<(Time, Span)>,
    run: Option<GrantedRun>,
}

/// A run that was granted here.
#[derive(Clone, Copy, Debug)]
pub struct GrantedRun {
    /// When room was granted.
    pub since: Time,
    /// Expected run time on the fastest class in this place.
    pub expected: Span,
    /// Logarithm of the part of it that is due to the place, not to the task.
    pub rack_log: f64,
    /// Whether enough is known of the kind to judge the worker by it.
    pub kind_known: bool,
}

/// One worker.
#[derive(Debug)]
pub struct WorkerView {
    /// The worker.
    pub listed: ListedWorker,
    /// Instance that owns it.
    pub owner: InstanceId,
    /// Fencing token of the owner.
    pub token: u64,
    /// Incarnation of the worker as the owner reports it.
    pub incarnation: Incarnation,
    /// Whether the owner takes starts for it.
    pub open: bool,
    /// Whether the owner has said nothing for a while, so that a start may be lost.
    pub silent: bool,
    /// When it was last probed.
    pub last_probe: Time,
    /// Whether the log says that it is slow.
    pub logged_slow: bool,
    reservations: Vec<Reservation>,
    free: Need,
    pause_count: u32,
    paused_until: Time,
    stats: WorkerStats,
    // Whether the owner has reported what it knows.
    reported: bool,
    // Number of the class, its slowness and that of the fastest class.
    class: u64,
    class_slowness: f64,
    fastest_slowness: f64,
    // Sample of the run that is furthest behind, if it shows that the worker is slower than known.
    overrun: Option<f64>,
    slowness_level: SlownessLevel,
    slow: bool,
    unconfirmed: bool,
    // Whether so few workers are in doubt that single long runs explain it.
    ignores_outliers: bool,
}

impl WorkerView {
    /// A worker on which nothing is known to run.
    #[must_use]
    pub fn new(listed: ListedWorker, owner: InstanceId, token: u64) -> Self {
        let free = listed.room;
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

    /// Id of the worker.
    #[must_use]
    pub const fn id(&self) -> &WorkerId {
        &self.listed.id
    }

    /// Room that is left.
    #[must_use]
    pub const fn free(&self) -> &Need {
        &self.free
    }

    /// Cores that a task may get now, pauses and silences aside: a worker that gets one task at a time and has
    /// it offers none.
    #[must_use]
    pub const fn offered_cores(&self) -> Cores {
        let taken = self.is_on_probation() && !self.reservations.is_empty();
        if taken || !self.is_usable() { Cores::new(0) } else { self.free.cores }
    }

    /// Speed in steps, for placing.
    #[must_use]
    pub const fn slowness_level(&self) -> SlownessLevel {
        self.slowness_level
    }

    /// Logarithm of its slowness against the fastest class, in thousandths.
    #[must_use]
    pub fn slowness(&self, now: Time) -> i32 {
        #[expect(clippy::cast_possible_truncation, reason = "logarithms of factors are below 10")]
        let milli = ((self.slowness_log(now) - self.fastest_slowness) * 1_000.0) as i32;
        milli
    }

    /// Times the run time on the fastest class that a run takes.
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

    /// Runs behind its speed, older ones counting less.
    #[must_use]
    pub fn samples(&self, now: Time) -> u32 {
        self.stats.report(now).samples
    }

    /// Whether it is slow for its class.
    #[must_use]
    pub const fn is_slow(&self) -> bool {
        self.slow
    }

    /// Whether several runs have shown that it is slow for its class.
    #[must_use]
    pub fn is_known_slow(&self, now: Time) -> bool {
        SpeedEstimate::is_slow(
            self.stats.speed.estimate(self.class_slowness, now),
            self.class_slowness,
        )
    }

    /// Whether its orders often get no answer.
    #[must_use]
    pub fn is_unreliable(&self) -> bool {
        self.stats.lost_share > UNRELIABLE
    }

    /// Class of workers that are expected to be alike.
    #[must_use]
    pub const fn class(&self) -> u64 {
        self.class
    }

    /// What was learnt about it.
    #[must_use]
    pub const fn stats(&self) -> &WorkerStats {
        &self.stats
    }

    /// Whether it may get a task now.
    #[must_use]
    pub fn accepts_tasks(&self, now: Time) -> bool {
        self.is_available(now) && (!self.is_on_probation() || self.reservations.is_empty())
    }

    /// Whether it may get a task now or when a run on it ends.
    #[must_use]
    pub fn is_available(&self, now: Time) -> bool {
        self.is_usable() && !self.silent && now >= self.paused_until
    }

    /// Whether it takes work now or after a pause.
    #[must_use]
    pub const fn is_usable(&self) -> bool {
        self.open && !self.listed.draining
    }

    /// When it is expected to take tasks.
    #[must_use]
    pub fn available_at(&self, now: Time) -> Time {
        let heard = if self.silent { now + SILENCE_TIMEOUT } else { now };
        heard.max(self.paused_until)
    }

    /// Expected ends of what it holds, and the room that each gives back.
    pub fn expected_ends(&self, now: Time) -> impl Iterator<Item = (Time, Need)> {
        self.reservations.iter().map(move |reservation| {
            let left = |(end, run): (Time, Span)| end.max(now + run / MIN_LEFT_DIVISOR);
            (reservation.end.map_or(now + UNKNOWN_LEFT, left), reservation.need)
        })
    }

    /// Learns how long a task that it holds has left, and the run time from which that follows.
    pub fn expect_end(&mut self, task: &TaskKey, left: Span, run: Span, now: Time) {
        if let Some(reservation) =
            self.reservations.iter_mut().find(|reservation| reservation.task == *task)
        {
            reservation.end.get_or_insert((now + left, run));
        }
    }

    /// Whether it gets one task at a time until one goes well.
    #[must_use]
    pub const fn is_on_probation(&self) -> bool {
        self.stats.failures > 0 || self.pause_count > 0 || self.slow || self.unconfirmed
    }

    /// Whether it is paused for what happened there.
    #[must_use]
    pub fn is_paused(&self, now: Time) -> bool {
        self.pause_count > 0 && now < self.paused_until
    }

    /// Ends a pause early, because many workers are paused at the same time.
    pub fn shorten_pause(&mut self, now: Time) {
        self.paused_until = self.paused_until.min(now + SHARED_PAUSE);
    }

    /// Tasks of one step that it holds.
    #[must_use]
    pub fn step_count(&self, job: &str, step: u32) -> u32 {
        let same = |reservation: &&Reservation| {
            reservation.task.job == job && reservation.task.step == step
        };
        u32::try_from(self.reservations.iter().filter(same).count()).unwrap_or(u32::MAX)
    }

    /// Grants room to a task.
    pub fn grant(&mut self, task: TaskKey, need: Need, now: Time) {
        self.reservations.push(Reservation { task, need, at: now, end: None, run: None });
        self.update_free();
    }

    /// Grants room to a task whose run time is to tell about the worker.
    pub fn grant_run(&mut self, task: TaskKey, need: Need, run: GrantedRun) {
        self.reservations.push(Reservation {
            task,
            need,
            at: run.since,
            end: None,
            run: Some(run),
        });
        self.update_free();
    }

    /// The run of a task that was granted here.
    #[must_use]
    pub fn granted_run(&self, task: &TaskKey) -> Option<GrantedRun> {
        self.reservations.iter().find(|reservation| reservation.task == *task)?.run
    }

    /// Gives the room of a task back.
    pub fn release(&mut self, task: &TaskKey) {
        self.reservations.retain(|reservation| reservation.task != *task);
        self.update_free();
    }

    /// Takes the owner's report of what runs; grants on their way to the owner stay.
    pub fn apply_report(&mut self, held: Vec<(TaskKey, Need)>, now: Time) {
        // The owner has said what room there is since the last refusal.
        self.paused_until = if self.pause_count == 0 { Time::ZERO } else { self.paused_until };
        let old = now - UNUSED_AFTER;
        let before = std::mem::take(&mut self.reservations);
        let on_way = |reservation: &&Reservation| {
            now.since(reservation.at) < UNUSED_AFTER
                && !held.iter().any(|(task, _)| *task == reservation.task)
        };
        self.reservations = before.iter().filter(on_way).cloned().collect();
        self.reservations.extend(held.into_iter().map(|(task, need)| {
            let known = before.iter().find(|reservation| reservation.task == task);
            let (end, run) =
                known.map_or((None, None), |reservation| (reservation.end, reservation.run));
            Reservation { task, need, at: old, end, run }
        }));
        self.update_free();
    }

    fn update_free(&mut self) {
        self.free =
            self.reservations.iter().fold(self.listed.room, |free, p| free.saturating_sub(&p.need));
    }

    /// Takes what was known of the worker before it was reported here.
    pub fn restore_stats(&mut self, stats: WorkerStats, now: Time) {
        if self.stats.is_same_incarnation(stats.born_ms) {
            self.stats.speed.merge(stats.speed, now);
            self.stats.failures = self.stats.failures.max(stats.failures);
            self.stats.lost_share = self.stats.lost_share.max(stats.lost_share);
        }
        self.update_speed(now);
    }

    /// Takes the owner's report of how the worker behaves.
    ///
    /// The first one completes what is known here; a later one counts only where it is newer, since both
    /// learn from the same runs.
    pub fn merge_reported_stats(&mut self, reported: WorkerStats, now: Time) {
        let first = !std::mem::replace(&mut self.reported, true);
        if first {
            self.restore_stats(reported, now);
        } else if reported.speed.is_newer(&self.stats.speed, REPORT_MIN_LEAD) {
            self.stats.speed = reported.speed;
            self.update_speed(now);
        }
    }

    /// Takes the incarnation of the worker; another one starts without a past.
    pub fn set_life(&mut self, born_ms: u64, now: Time) {
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

    /// Finds the class of the worker: service, size and all labels but racks.
    pub fn classify(&mut self, racks: &[String]) {
        let is_rack = |label: &&String| racks.binary_search(label).is_ok();
        let mut labels: Vec<&str> =
            self.listed.labels.iter().filter(|l| !is_rack(l)).map(String::as_str).collect();
        labels.sort_unstable();
        let room = &self.listed.room;
        self.class = text_hash(&format!(
            "{} {} {} {}",
            self.listed.service,
            room.cores.get(),
            room.accels.get(),
            labels.join(" ")
        ));
    }

    /// Whether a probe that began here has taken so long that the worker is still slow.
    #[must_use]
    pub fn has_failed_probe(&self, now: Time) -> bool {
        let probe = |run: &GrantedRun| run.kind_known && run.since == self.last_probe;
        let mut runs =
            self.reservations.iter().filter_map(|reservation| reservation.run).filter(probe);
        runs.any(|run| SpeedEstimate::indicates_slow(overrun(run, now), self.class_slowness))
    }

    /// Takes the speeds of classes.
    pub fn set_class_speeds(&mut self, classes: &ClassSpeeds) {
        self.class_slowness = classes.slowness(self.class);
        self.fastest_slowness = classes.fastest();
    }

    /// Whether several runs, or single ones that may not have ended, were far longer than expected.
    #[must_use]
    pub fn is_possibly_slow(&self, now: Time) -> bool {
        self.stats.speed.is_uncertain() || self.overrun.is_some() || self.is_known_slow(now)
    }

    /// Sets whether single long runs count as chance until more of them change the estimate.
    pub const fn set_ignores_outliers(&mut self, ignores_outliers: bool) {
        self.ignores_outliers = ignores_outliers;
    }

    /// Works out the pace from what is known at this time.
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
        // Few runs tell how slow a slow worker is, and a wrong guess costs a job its objective.
        let slowness = if self.slow { slowness + SLOW_MARGIN } else { slowness };
        let runs = self.stats.speed.weight(now);
        self.slowness_level = SlownessLevel::of(
            slowness - self.fastest_slowness,
            runs,
            self.class_slowness - self.fastest_slowness,
        );
    }

    /// Logarithm of a run time against the expected one and the known speed.
    #[must_use]
    pub fn residual(&self, took: Span, expected: Span) -> f64 {
        SpeedEstimate::sample(took, expected) - self.slowness_level.log() - self.fastest_slowness
    }

    /// Whether a run took so long that the worker is slow for its class.
    #[must_use]
    pub fn is_slow_run(&self, took: Span, expected: Span) -> bool {
        SpeedEstimate::indicates_slow(SpeedEstimate::sample(took, expected), self.class_slowness)
    }

    /// Learns from the end of a run; `guilty` tells whether a failure may be the worker's.
    pub fn learn(&mut self, how: How, took: Span, expected: Span, blames_worker: bool, now: Time) {
        let sample = SpeedEstimate::sample(took, expected);
        self.stats.learn(how, sample, self.class_slowness, blames_worker, now);
        match how {
            How::Done => self.pause_count = 0,
            How::Failed if blames_worker && self.stats.failures > 1 => self.pause(now),
            How::Stalled | How::NotStarted => self.pause(now),
            How::NoRoom => self.paused_until = self.paused_until.max(now + NO_ROOM_PAUSE),
            // A start or a stop without answer says nothing about runs on the worker.
            How::Failed | How::Stopped | How::Old | How::Unanswered | How::Unknown => {}
        }
        self.update_speed(now);
    }

    /// Learns that a run went well of which no run time was expected.
    pub const fn clear_failures(&mut self) {
        self.stats.failures = 0;
        self.pause_count = 0;
    }

    /// Takes back a failure that turned out to be the job's.
    pub const fn retract_failure(&mut self) {
        self.stats.failures = self.stats.failures.saturating_sub(1);
    }

    fn pause(&mut self, now: Time) {
        let doublings = self.pause_count.min(PAUSE_DOUBLINGS);
        self.pause_count += 1;
        self.paused_until = now + Span::from_ms(PAUSE.as_ms() << doublings);
    }
}

/// Sample of a run that is not over yet.
fn overrun(run: GrantedRun, now: Time) -> f64 {
    SpeedEstimate::sample(now.since(run.since + START_DELAY), run.expected)
}
