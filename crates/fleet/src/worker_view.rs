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
const SILENCE: Span = Span::from_ms(200);
/// Part of its expected run time that a run has left, at least, as long as it has not ended.
const LEFT_PARTS: u64 = 4;
/// Run time that is left of a run of which nothing is known.
const UNKNOWN_LEFT: Span = Span::from_ms(200);
/// Time from the grant of a run in which a lost order is found and sent again. Until then a run that is
/// not over yet says nothing about its worker.
const ORDER_TIME: Span = Span::from_ms(150);
/// Share of lost orders from which a worker is a risk; at one in twenty, as a whole service may have,
/// ten orders lose two by chance once in ten times.
const RISKY: f64 = 0.25;
/// Logarithm that is added to the slowness of a slow worker for placing.
const SLOW_MARGIN: f64 = 0.4;
/// How much older than a report own evidence must be for the report to replace it.
const REPORT_AHEAD: Span = Span::from_ms(1_000);

/// Room that a task holds or was granted.
#[derive(Clone, Debug)]
struct Place {
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
    pub away: f64,
    /// Whether enough is known of the kind to judge the worker by it.
    pub known: bool,
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
    pub probed: Time,
    /// Whether the log says that it is slow.
    pub noted_slow: bool,
    places: Vec<Place>,
    free: Need,
    pauses: u32,
    paused_until: Time,
    record: WorkerStats,
    // Whether the owner has reported what it knows.
    reported: bool,
    // Number of the class, its slowness and that of the fastest class.
    class: u64,
    prior: f64,
    fastest: f64,
    // Sample of the run that is furthest behind, if it shows that the worker is slower than known.
    overdue: Option<f64>,
    pace: SlownessLevel,
    slow: bool,
    doubtful: bool,
    // Whether so few workers are in doubt that single long runs explain it.
    by_chance: bool,
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
            probed: Time::ZERO,
            noted_slow: false,
            places: Vec::new(),
            free,
            pauses: 0,
            paused_until: Time::ZERO,
            record: WorkerStats::default(),
            reported: false,
            class: 0,
            prior: 0.0,
            fastest: 0.0,
            overdue: None,
            pace: SlownessLevel::default(),
            slow: false,
            doubtful: false,
            by_chance: false,
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
    pub const fn offered(&self) -> Cores {
        let taken = self.is_suspect() && !self.places.is_empty();
        if taken || !self.is_usable() { Cores::new(0) } else { self.free.cores }
    }

    /// Speed in steps, for placing.
    #[must_use]
    pub const fn pace(&self) -> SlownessLevel {
        self.pace
    }

    /// Logarithm of its slowness against the fastest class, in thousandths.
    #[must_use]
    pub fn slowness(&self, now: Time) -> i32 {
        #[expect(clippy::cast_possible_truncation, reason = "logarithms of factors are below 10")]
        let milli = ((self.slowness_log(now) - self.fastest) * 1_000.0) as i32;
        milli
    }

    /// Times the run time on the fastest class that a run takes.
    #[must_use]
    pub fn slowness_factor(&self, now: Time) -> f64 {
        (self.slowness_log(now) - self.fastest).exp()
    }

    fn slowness_log(&self, now: Time) -> f64 {
        if self.by_chance {
            let speed = &self.record.speed;
            let known = speed.estimate(self.prior, now);
            let is_chance = SpeedEstimate::is_slow(known, self.prior) && !speed.is_confirmed();
            return if is_chance { self.prior } else { known };
        }
        let cautious = self.record.speed.cautious(self.prior, now);
        self.overdue.map_or(cautious, |overdue| cautious.max(overdue))
    }

    /// Runs behind its speed, older ones counting less.
    #[must_use]
    pub fn samples(&self, now: Time) -> u32 {
        self.record.report(now).samples
    }

    /// Whether it is slow for its class.
    #[must_use]
    pub const fn is_slow(&self) -> bool {
        self.slow
    }

    /// Whether several runs have shown that it is slow for its class.
    #[must_use]
    pub fn is_known_slow(&self, now: Time) -> bool {
        SpeedEstimate::is_slow(self.record.speed.estimate(self.prior, now), self.prior)
    }

    /// Whether its orders often get no answer.
    #[must_use]
    pub fn is_risky(&self) -> bool {
        self.record.lost > RISKY
    }

    /// Class of workers that are expected to be alike.
    #[must_use]
    pub const fn class(&self) -> u64 {
        self.class
    }

    /// What was learnt about it.
    #[must_use]
    pub const fn record(&self) -> &WorkerStats {
        &self.record
    }

    /// Whether it may get a task now.
    #[must_use]
    pub fn takes_tasks(&self, now: Time) -> bool {
        self.may_take(now) && (!self.is_suspect() || self.places.is_empty())
    }

    /// Whether it may get a task now or when a run on it ends.
    #[must_use]
    pub fn may_take(&self, now: Time) -> bool {
        self.is_usable() && !self.silent && now >= self.paused_until
    }

    /// Whether it takes work now or after a pause.
    #[must_use]
    pub const fn is_usable(&self) -> bool {
        self.open && !self.listed.draining
    }

    /// When it is expected to take tasks.
    #[must_use]
    pub fn opens(&self, now: Time) -> Time {
        let heard = if self.silent { now + SILENCE } else { now };
        heard.max(self.paused_until)
    }

    /// Expected ends of what it holds, and the room that each gives back.
    pub fn ends(&self, now: Time) -> impl Iterator<Item = (Time, Need)> {
        self.places.iter().map(move |place| {
            let left = |(end, run): (Time, Span)| end.max(now + run / LEFT_PARTS);
            (place.end.map_or(now + UNKNOWN_LEFT, left), place.need)
        })
    }

    /// Learns how long a task that it holds has left, and the run time from which that follows.
    pub fn expect_end(&mut self, task: &TaskKey, left: Span, run: Span, now: Time) {
        if let Some(place) = self.places.iter_mut().find(|place| place.task == *task) {
            place.end.get_or_insert((now + left, run));
        }
    }

    /// Whether it gets one task at a time until one goes well.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.record.failures > 0 || self.pauses > 0 || self.slow || self.doubtful
    }

    /// Whether it is paused for what happened there.
    #[must_use]
    pub fn is_paused(&self, now: Time) -> bool {
        self.pauses > 0 && now < self.paused_until
    }

    /// Ends a pause early, because many workers are paused at the same time.
    pub fn shorten_pause(&mut self, now: Time) {
        self.paused_until = self.paused_until.min(now + SHARED_PAUSE);
    }

    /// Tasks of one step that it holds.
    #[must_use]
    pub fn held_of(&self, job: &str, step: u32) -> u32 {
        let same = |place: &&Place| place.task.job == job && place.task.step == step;
        u32::try_from(self.places.iter().filter(same).count()).unwrap_or(u32::MAX)
    }

    /// Grants room to a task.
    pub fn grant(&mut self, task: TaskKey, need: Need, now: Time) {
        self.places.push(Place { task, need, at: now, end: None, run: None });
        self.recount();
    }

    /// Grants room to a task whose run time is to tell about the worker.
    pub fn grant_run(&mut self, task: TaskKey, need: Need, run: GrantedRun) {
        self.places.push(Place { task, need, at: run.since, end: None, run: Some(run) });
        self.recount();
    }

    /// The run of a task that was granted here.
    #[must_use]
    pub fn run_of(&self, task: &TaskKey) -> Option<GrantedRun> {
        self.places.iter().find(|place| place.task == *task)?.run
    }

    /// Gives the room of a task back.
    pub fn release(&mut self, task: &TaskKey) {
        self.places.retain(|place| place.task != *task);
        self.recount();
    }

    /// Takes the owner's report of what runs; grants on their way to the owner stay.
    pub fn report(&mut self, held: Vec<(TaskKey, Need)>, now: Time) {
        // The owner has said what room there is since the last refusal.
        self.paused_until = if self.pauses == 0 { Time::ZERO } else { self.paused_until };
        let old = now - UNUSED_AFTER;
        let before = std::mem::take(&mut self.places);
        let on_way = |place: &&Place| {
            now.since(place.at) < UNUSED_AFTER && !held.iter().any(|(task, _)| *task == place.task)
        };
        self.places = before.iter().filter(on_way).cloned().collect();
        self.places.extend(held.into_iter().map(|(task, need)| {
            let known = before.iter().find(|place| place.task == task);
            let (end, run) = known.map_or((None, None), |place| (place.end, place.run));
            Place { task, need, at: old, end, run }
        }));
        self.recount();
    }

    fn recount(&mut self) {
        self.free = self.places.iter().fold(self.listed.room, |free, p| free.without(&p.need));
    }

    /// Takes what was known of the worker before it was reported here.
    pub fn restore(&mut self, record: WorkerStats, now: Time) {
        if self.record.is_life(record.born_ms) {
            self.record.speed.merge(record.speed, now);
            self.record.failures = self.record.failures.max(record.failures);
            self.record.lost = self.record.lost.max(record.lost);
        }
        self.assess(now);
    }

    /// Takes the owner's report of how the worker behaves.
    ///
    /// The first one completes what is known here; a later one counts only where it is newer, since both
    /// learn from the same runs.
    pub fn restore_report(&mut self, reported: WorkerStats, now: Time) {
        let first = !std::mem::replace(&mut self.reported, true);
        if first {
            self.restore(reported, now);
        } else if reported.speed.is_newer(&self.record.speed, REPORT_AHEAD) {
            self.record.speed = reported.speed;
            self.assess(now);
        }
    }

    /// Takes the incarnation of the worker; another one starts without a past.
    pub fn set_life(&mut self, born_ms: u64, now: Time) {
        if !self.record.is_life(born_ms) {
            self.record = WorkerStats::default();
            self.pauses = 0;
            self.paused_until = Time::ZERO;
            self.reported = false;
        }
        if born_ms != 0 {
            self.record.born_ms = born_ms;
        }
        self.assess(now);
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
        let probe = |run: &GrantedRun| run.known && run.since == self.probed;
        let mut runs = self.places.iter().filter_map(|place| place.run).filter(probe);
        runs.any(|run| SpeedEstimate::shows_slow(overdue(run, now), self.prior))
    }

    /// Takes the speeds of classes.
    pub fn compare(&mut self, classes: &ClassSpeeds) {
        self.prior = classes.slowness(self.class);
        self.fastest = classes.fastest();
    }

    /// Whether several runs, or single ones that may not have ended, were far longer than expected.
    #[must_use]
    pub fn is_in_doubt(&self, now: Time) -> bool {
        self.record.speed.is_doubtful() || self.overdue.is_some() || self.is_known_slow(now)
    }

    /// Sets whether single long runs count as chance until more of them change the estimate.
    pub const fn set_by_chance(&mut self, by_chance: bool) {
        self.by_chance = by_chance;
    }

    /// Works out the pace from what is known at this time.
    pub fn assess(&mut self, now: Time) {
        let known = self.record.speed.estimate(self.prior, now);
        let runs = self.places.iter().filter_map(|place| place.run).filter(|run| run.known);
        let samples =
            runs.map(|run| SpeedEstimate::sample(now.since(run.since + ORDER_TIME), run.expected));
        let furthest = samples.fold(f64::MIN, f64::max);
        self.overdue = SpeedEstimate::is_overdue(furthest, known).then_some(furthest);
        let slowness = self.slowness_log(now);
        self.slow = SpeedEstimate::is_slow(slowness, self.prior);
        let speed = &self.record.speed;
        self.doubtful = !self.by_chance && (speed.is_doubtful() || speed.is_on_trial());
        // Few runs tell how slow a slow worker is, and a wrong guess costs a job its objective.
        let slowness = if self.slow { slowness + SLOW_MARGIN } else { slowness };
        let runs = self.record.speed.weight(now);
        self.pace = SlownessLevel::of(slowness - self.fastest, runs, self.prior - self.fastest);
    }

    /// Logarithm of a run time against the expected one and the known speed.
    #[must_use]
    pub fn surprise(&self, took: Span, expected: Span) -> f64 {
        SpeedEstimate::sample(took, expected) - self.pace.log() - self.fastest
    }

    /// Whether a run took so long that the worker is slow for its class.
    #[must_use]
    pub fn is_slow_run(&self, took: Span, expected: Span) -> bool {
        SpeedEstimate::shows_slow(SpeedEstimate::sample(took, expected), self.prior)
    }

    /// Learns from the end of a run; `guilty` tells whether a failure may be the worker's.
    pub fn learn(&mut self, how: How, took: Span, expected: Span, guilty: bool, now: Time) {
        let sample = SpeedEstimate::sample(took, expected);
        self.record.learn(how, sample, self.prior, guilty, now);
        match how {
            How::Done => self.pauses = 0,
            How::Failed if guilty && self.record.failures > 1 => self.pause(now),
            How::Stalled | How::NotStarted => self.pause(now),
            How::NoRoom => self.paused_until = self.paused_until.max(now + NO_ROOM_PAUSE),
            // A start or a stop without answer says nothing about runs on the worker.
            How::Failed | How::Stopped | How::Old | How::Unanswered | How::Unknown => {}
        }
        self.assess(now);
    }

    /// Learns that a run went well of which no run time was expected.
    pub const fn acquit_all(&mut self) {
        self.record.failures = 0;
        self.pauses = 0;
    }

    /// Takes back a failure that turned out to be the job's.
    pub const fn acquit(&mut self) {
        self.record.failures = self.record.failures.saturating_sub(1);
    }

    fn pause(&mut self, now: Time) {
        let doublings = self.pauses.min(PAUSE_DOUBLINGS);
        self.pauses += 1;
        self.paused_until = now + Span::from_ms(PAUSE.as_ms() << doublings);
    }
}

/// Sample of a run that is not over yet.
fn overdue(run: GrantedRun, now: Time) -> f64 {
    SpeedEstimate::sample(now.since(run.since + ORDER_TIME), run.expected)
}
