//! Run times seen of each kind of job.

use cranberryhatch_types::{Kind, Span, TeamId, Time};

/// Kinds observed apart; further ones share the first entry, so that made-up kinds use no memory.
const MAX_KINDS: usize = 1_024;
/// Observations after which run times are relied on.
const MIN_SAMPLES: u32 = 8;
/// Fixed-point scale of averages.
const SCALE: u64 = 64;
/// Time of observation after which the longest run time is relied on. The short tasks of a large
/// job are all seen before its first long one ends, so a number of runs proves nothing.
const WARM_UP: Span = Span::from_secs(10);
/// Time after which the longest run time falls by `1 / FALL`.
const DECAY_PERIOD: Span = Span::from_secs(1);
const DECAY: u64 = 64;
/// Bounds of the time to the first question about an attempt.
///
/// Shorter than the lower bound, a question about a normal run costs more than the silence that it
/// would find; the upper bound keeps a silent connection from going unnoticed for a kind with a
/// single long run.
const QUERY_BOUNDS: (Span, Span) = (Span::from_secs(2), Span::from_secs(30));
/// Multiple of the longest recent run time after which a question is asked.
const LONGEST_FACTOR: u64 = 4;
/// Multiple of the declared run time after which a question is asked; declared times are off by up
/// to ten times.
const DECLARED_FACTOR: u64 = 10;

/// Number of a kind in [`RunTimes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KindNo(u32);

/// Averages of one kind, in `1 / SCALE` milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    samples: u32,
    mean: u64,
    spread: u64,
    longest: u64,
    first_seen: Time,
    decayed: Time,
}

impl Average {
    fn observe(&mut self, now: Time, run: Span) {
        let run = run.as_ms().saturating_mul(SCALE);
        if self.samples == 0 {
            let (first_seen, decayed) = (now, now);
            *self =
                Self { samples: 1, mean: run, spread: run / 2, longest: run, first_seen, decayed };
            return;
        }
        self.samples = self.samples.saturating_add(1);
        self.spread = (self.spread * 7 + run.abs_diff(self.mean)) / 8;
        self.mean = (self.mean * 15 + run) / 16;
        if now.since(self.decayed) >= DECAY_PERIOD {
            self.decayed = now;
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
    /// Number of a kind of a team.
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

    /// Takes the run time of a task.
    pub(crate) fn observe(&mut self, now: Time, no: KindNo, run: Span) {
        self.averages[no.0 as usize].observe(now, run);
    }

    /// Mean run time, once enough runs were seen.
    pub(crate) fn mean(&self, no: KindNo) -> Option<Span> {
        let average = &self.averages[no.0 as usize];
        (average.samples >= MIN_SAMPLES).then_some(Span::from_ms(average.mean / SCALE))
    }

    /// Run time that few tasks stay under, or none while too few runs were seen.
    pub(crate) fn lower_bound(&self, no: KindNo) -> Option<Span> {
        let average = &self.averages[no.0 as usize];
        let low = average.mean.saturating_sub(2 * average.spread);
        (average.samples >= MIN_SAMPLES).then_some(Span::from_ms(low / SCALE))
    }

    /// Time after which to ask about an attempt without answer.
    pub(crate) fn first_query(&self, now: Time, no: KindNo, declared: Span) -> Span {
        let average = &self.averages[no.0 as usize];
        let longest = Span::from_ms(average.longest / SCALE) * LONGEST_FACTOR;
        let is_warm = average.samples >= MIN_SAMPLES && now.since(average.first_seen) >= WARM_UP;
        let expected = if is_warm { longest } else { longest.max(declared * DECLARED_FACTOR) };
        expected.clamp(QUERY_BOUNDS.0, QUERY_BOUNDS.1)
    }

    /// The longest time between two questions about an attempt.
    pub(crate) const fn max_query_interval() -> Span {
        QUERY_BOUNDS.1
    }
}
