//! A worker as the scheduler sees it: its room, and how it behaves.

use cranberryhatch_schema::fleet::How;
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

use crate::{Life, Listed, Need, TaskKey};

/// A grant that the owner has not reported as held after this time was not used.
///
/// A start takes a few milliseconds from the grant; owners report all they hold once a second.
const UNUSED_AFTER: Span = Span::from_ms(700);
/// First pause of a worker that misbehaves; it doubles with each further time.
const PAUSE: Span = Span::from_ms(400);
/// Doublings of the pause.
const PAUSE_DOUBLINGS: u32 = 3;
/// Pause after a start that the owner or the worker refused; a new owner reports within 100 ms.
const NO_ROOM_PAUSE: Span = Span::from_ms(100);
/// Logarithm of the slowness from which a worker gets one task at a time.
const SLOW: f64 = 0.7;
/// Share of a new sample in the learnt slowness.
const SAMPLE_SHARE: f64 = 0.25;
/// Largest logarithm of slowness of one sample.
const SAMPLE_LIMIT: f64 = 2.5;

/// Room that a task holds or was granted.
#[derive(Clone, Debug)]
struct Place {
    task: TaskKey,
    need: Need,
    at: Time,
}

/// One worker.
#[derive(Debug)]
pub struct Site {
    /// The worker.
    pub listed: Listed,
    /// Instance that owns it.
    pub owner: InstanceId,
    /// Fencing token of the owner.
    pub token: u64,
    /// Life of the worker as the owner reports it.
    pub life: Life,
    /// Whether the owner takes starts for it.
    pub open: bool,
    /// Whether the owner has said nothing for a while, so that a start may be lost.
    pub silent: bool,
    places: Vec<Place>,
    free: Need,
    failures: u32,
    pauses: u32,
    paused_until: Time,
    slowness: f64,
}

impl Site {
    /// A worker on which nothing is known to run.
    #[must_use]
    pub fn new(listed: Listed, owner: InstanceId, token: u64) -> Self {
        let free = listed.room;
        Self {
            listed,
            owner,
            token,
            life: Life::UNKNOWN,
            open: false,
            silent: false,
            places: Vec::new(),
            free,
            failures: 0,
            pauses: 0,
            paused_until: Time::ZERO,
            slowness: 0.0,
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

    /// Whether it may get a task now.
    #[must_use]
    pub fn takes_tasks(&self, now: Time) -> bool {
        let usable = self.is_usable() && !self.silent && now >= self.paused_until;
        usable && (!self.is_suspect() || self.places.is_empty())
    }

    /// Whether it takes work now or after a pause.
    #[must_use]
    pub const fn is_usable(&self) -> bool {
        self.open && !self.listed.draining
    }

    /// Divisor of its room in forecasts: a worker that misbehaves gets one task at a time.
    #[must_use]
    pub const fn caution(&self) -> u64 {
        if self.is_suspect() { 4 } else { 1 }
    }

    /// Whether it gets one task at a time until one goes well.
    const fn is_suspect(&self) -> bool {
        self.failures > 0 || self.pauses > 0 || self.slowness > SLOW
    }

    /// Tasks of one step that it holds.
    #[must_use]
    pub fn held_of(&self, job: &str, step: u32) -> u32 {
        let same = |place: &&Place| place.task.job == job && place.task.step == step;
        u32::try_from(self.places.iter().filter(same).count()).unwrap_or(u32::MAX)
    }

    /// Grants room to a task.
    pub fn grant(&mut self, task: TaskKey, need: Need, now: Time) {
        self.places.push(Place { task, need, at: now });
        self.recount();
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
        let known = |task: &TaskKey| held.iter().any(|(other, _)| other == task);
        self.places.retain(|place| now.since(place.at) < UNUSED_AFTER && !known(&place.task));
        let old = now - UNUSED_AFTER;
        self.places.extend(held.into_iter().map(|(task, need)| Place { task, need, at: old }));
        self.recount();
    }

    fn recount(&mut self) {
        self.free = self.places.iter().fold(self.listed.room, |free, p| free.without(&p.need));
    }

    /// Learns from the end of a run; `guilty` tells whether a failure may be the worker's.
    pub fn learn(&mut self, how: How, took: Span, expected: Span, guilty: bool, now: Time) {
        match how {
            How::Done => {
                self.failures = 0;
                self.pauses = 0;
                let ratio = ms(took) / ms(expected).max(1.0);
                let sample = ratio.max(0.1).ln().clamp(-SAMPLE_LIMIT, SAMPLE_LIMIT);
                self.slowness += SAMPLE_SHARE * (sample - self.slowness);
            }
            How::Failed if guilty => {
                self.failures += 1;
                if self.failures > 1 {
                    self.pause(now);
                }
            }
            How::Stalled | How::NotStarted => self.pause(now),
            How::NoRoom => self.paused_until = self.paused_until.max(now + NO_ROOM_PAUSE),
            How::Failed | How::Stopped | How::Old | How::Unanswered | How::Unknown => {}
        }
    }

    /// Takes back a failure that turned out to be the job's.
    pub const fn acquit(&mut self) {
        self.failures = self.failures.saturating_sub(1);
    }

    fn pause(&mut self, now: Time) {
        let doublings = self.pauses.min(PAUSE_DOUBLINGS);
        self.pauses += 1;
        self.paused_until = now + Span::from_ms(PAUSE.as_ms() << doublings);
    }
}

fn ms(span: Span) -> f64 {
    f64::from(u32::try_from(span.as_ms()).unwrap_or(u32::MAX))
}
