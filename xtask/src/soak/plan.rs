//! Faults of a run, all from one seed.

use std::time::Duration;

use crate::soak::FaultKind;

/// Time before the first fault.
const CALM: Duration = Duration::from_secs(1);
/// Shortest and longest time between the starts of two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 300..1_500;
/// Shortest and longest time that most faults last, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 500..6_000;
/// The same for pauses, which must at times be longer than the lease of a holder.
const PAUSE_MS: std::ops::Range<u64> = 500..14_000;

/// Entry instances of a run.
pub const INSTANCES: usize = 9;
/// Time between the stops of two instances when all are replaced.
const REPLACE_GAP: Duration = Duration::from_secs(2);

/// A planned fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it starts, from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// Its kind.
    pub kind: FaultKind,
    /// Number from which the target is chosen.
    pub pick: usize,
}

/// Plans the faults of a run; the same seed gives the same plan.
#[must_use]
pub fn plan(seed: u64, length: Duration, kinds: &[FaultKind]) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut steps = Vec::new();
    let mut at = CALM;
    // Each kind comes once before any comes again, so that a short run has many kinds.
    let mut round = Vec::new();
    while at < length && !kinds.is_empty() {
        if round.is_empty() {
            round = kinds.to_vec();
            rng.shuffle(&mut round);
        }
        let Some(kind) = round.pop() else { break };
        let lasts = if kind == FaultKind::PauseEntry { PAUSE_MS } else { LASTS_MS };
        let lasts = Duration::from_millis(rng.u64(lasts));
        let pick = rng.usize(0..1_000);
        if kind == FaultKind::ReplaceAll {
            steps.extend(replacement(at, length));
        } else {
            steps.push(Step { at, lasts: lasts.min(length - at), kind, pick });
        }
        at += Duration::from_millis(rng.u64(GAP_MS));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Stops of all entry instances, one after the other, as far as the run is long enough.
fn replacement(at: Duration, length: Duration) -> impl Iterator<Item = Step> {
    let step = move |pick: usize| {
        let at = at + REPLACE_GAP * u32::try_from(pick).unwrap_or_default();
        Step { at, lasts: Duration::ZERO, kind: FaultKind::ReplaceAll, pick }
    };
    (0..INSTANCES).map(step).filter(move |step| step.at <= length)
}
