//! Measured run times of each kind of job.

use cranberryhatch_types::{Kind, Span, TeamId, Time};

/// Maximum number of kinds tracked separately; further ones share the first entry, so that invented
/// kinds use no memory.
const MAX_KINDS: usize = 1_024;
/// Number of samples before the averages are used.
const MIN_SAMPLES: u32 = 8;
/// Fixed-point scale of the averages.
const SCALE: u64 = 64;
/// Observation time before the longest run time is used. The short tasks of a large job all end
/// before its first long one does, so a number of samples alone is not sufficient.
const WARM_UP: Span = Span::from_secs(10);
/// Interval at which the longest run time decays by `1 / DECAY`.
const DECAY_PERIOD: Span = Span::from_secs(1);
const DECAY: u64 = 64;
/// Bounds of the time to the first status query about an attempt.
///
/// Below the lower bound, querying normal runs costs more than the outages found by it. The upper
/// bound makes sure that a stalled connection is noticed for a kind with a single long run.
const QUERY_BOUNDS: (Span, Span) = (Span::from_secs(2), Span::from_secs(30));
/// A status query is sent after this multiple of the longest recent run time.
const LONGEST_FACTOR: u64 = 4;
/// A status query is sent after this multiple of the declared run time; declared times are off by
/// up to a factor of ten.
const DECLARED_FACTOR: u64 = 10;

/// Index of a kind in [`RunTimes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KindNo(u32);

/// Averages of one kind, in `1 / SCALE` milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    samples: u32,
    mean: u64,
    // Mean absolute deviation.
    spread: u64,
    // Longest run time, decaying over time.
    longest: u64,
    first_seen: Time,
    last_decay: Time,
}

impl Average {
    fn observe(&mut self, now: Time, run: Span) {
        let run = run.as_ms().saturating_mul(SCALE);
        if self.samples == 0 {
            let (first_seen, last_decay) = (now, now);
            *self = Self {
                samples: 1,
                mean: run,
                spread: run / 2,
                longest: run,
                first_seen,
                last_decay,
            };
            return;
        }
        self.samples = self.samples.saturating_add(1);
        self.spread = (self.spread * 7 + run.abs_diff(self.mean)) / 8;
        self.mean = (self.mean * 15 + run) / 16;
        if now.since(self.last_decay) >= DECAY_PERIOD {
            self.last_decay = now;
            self.longest -= self.longest / DECAY;
        }
        self.longest = self.longest.max(run);
    }
}

/// Run times by team and kind.
#[derive(Debug)]
pub(crate) struct RunTimes {
    averages: Vec<Average>,
    order: Vec<((TeamId, Kind), KindNo)>,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self { averages: vec![Average::default()], order: Vec::new() }
    }
}

impl RunTimes {
    /// Returns the index of a team's kind, and adds the kind if it is new.
    pub(crate) fn kind_no(&mut self, team: &TeamId, kind: &Kind) -> KindNo {
        let pos = self.order.binary_search_by(|((t, k), _)| t.cmp(team).then_with(|| k.cmp(kind)));
        match pos {
            Ok(pos) => self.order[pos].1,
            Err(_) if self.averages.len() >= MAX_KINDS => KindNo(0),
            Err(pos) => {
                let no = KindNo(u32::try_from(self.averages.len()).unwrap_or(0));
                self.averages.push(Average::default());
                self.order.insert(pos, ((team.clone(), kind.clone()), no));
                no
            }
        }
    }

    /// Records the run time of a task.
    pub(crate) fn observe(&mut self, now: Time, no: KindNo, run: Span) {
        self.averages[no.0 as usize].observe(now, run);
    }

    /// Returns the mean run time once there are enough samples.
    pub(crate) fn mean(&self, no: KindNo) -> Option<Span> {
        let average = &self.averages[no.0 as usize];
        (average.samples >= MIN_SAMPLES).then_some(Span::from_ms(average.mean / SCALE))
    }

    /// Returns a run time that few tasks fall below, once there are enough samples.
    pub(crate) fn lower_bound(&self, no: KindNo) -> Option<Span> {
        let average = &self.averages[no.0 as usize];
        let low = average.mean.saturating_sub(2 * average.spread);
        (average.samples >= MIN_SAMPLES).then_some(Span::from_ms(low / SCALE))
    }

    /// Returns the time after which to query the status of an attempt without a response.
    pub(crate) fn first_query(&self, now: Time, no: KindNo, declared: Span) -> Span {
        let average = &self.averages[no.0 as usize];
        let longest = Span::from_ms(average.longest / SCALE) * LONGEST_FACTOR;
        let is_warm = average.samples >= MIN_SAMPLES && now.since(average.first_seen) >= WARM_UP;
        let expected = if is_warm { longest } else { longest.max(declared * DECLARED_FACTOR) };
        expected.clamp(QUERY_BOUNDS.0, QUERY_BOUNDS.1)
    }

    /// Returns the longest interval between two status queries about an attempt.
    pub(crate) const fn max_query_interval() -> Span {
        QUERY_BOUNDS.1
    }
}
