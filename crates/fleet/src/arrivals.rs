//! Work that callers ask for, by service and priority.
//!
//! The load it answers is a lasting overload: a job that waits is overtaken by jobs of smaller
//! priority numbers that have not arrived yet, so the work ahead of it is more than what waits.

use cranberryhatch_types::Time;

use crate::VecMap;

/// Time constant of the estimate that follows a change, in milliseconds.
const FAST_MS: f64 = 200.0;
/// Time constant of the estimate that averages over single jobs, in milliseconds.
const SLOW_MS: f64 = 1_000.0;
/// Largest number of services and priorities whose arrivals are estimated.
const MAX_FLOWS: usize = 256;

/// Work that arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalRate {
    /// Room asked for, in thousandths of a core per millisecond.
    pub room: f64,
    /// Work, in thousandths of a core times milliseconds per millisecond.
    pub work: f64,
}

impl ArrivalRate {
    /// Mean run time of a task, weighted by its room, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        if self.room > 0.0 { self.work / self.room } else { 0.0 }
    }

    fn add(&mut self, room: f64, work: f64, time_ms: f64) {
        self.room += room / time_ms;
        self.work += work / time_ms;
    }

    fn decay(&mut self, factor: f64) {
        self.room *= factor;
        self.work *= factor;
    }
}

#[derive(Debug, Default)]
struct Flow {
    fast: ArrivalRate,
    slow: ArrivalRate,
    updated: Time,
}

impl Flow {
    fn decay_to(&mut self, now: Time) {
        let elapsed = ms(now, self.updated);
        self.updated = now;
        self.fast.decay((-elapsed / FAST_MS).exp());
        self.slow.decay((-elapsed / SLOW_MS).exp());
    }

    fn rate(&self, now: Time) -> ArrivalRate {
        let elapsed = ms(now, self.updated);
        let (fast, slow) = ((-elapsed / FAST_MS).exp(), (-elapsed / SLOW_MS).exp());
        let (fast, slow) = (self.fast.work * fast, self.slow.work * slow);
        // A burst that ends is forgotten before the slow estimate shows its end, and one that begins counts
        // once it lasts.
        let work = fast.min(slow);
        let mean = self.slow.mean_ms();
        ArrivalRate { room: if mean > 0.0 { work / mean } else { 0.0 }, work }
    }
}

/// Arrivals of all services and priorities.
#[derive(Debug, Default)]
pub struct Arrivals {
    flows: VecMap<(String, u32), Flow>,
}

impl Arrivals {
    /// Counts a job that has just arrived: the room of all its tasks, and their work.
    pub fn record(&mut self, service: &str, priority: u32, room: f64, work: f64, now: Time) {
        let key = (service.to_owned(), priority);
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains(&key) {
            self.flows.retain(|_, flow| now.since(flow.updated).as_ms() < 10_000);
            if self.flows.len() >= MAX_FLOWS {
                return;
            }
        }
        let flow = self.flows.get_or_insert_with(key, Flow::default);
        flow.decay_to(now);
        flow.fast.add(room, work, FAST_MS);
        flow.slow.add(room, work, SLOW_MS);
    }

    /// What arrives for a service, by priority from the smallest number on.
    pub fn rates(&self, service: &str, now: Time) -> impl Iterator<Item = (u32, ArrivalRate)> {
        let flows = self.flows.iter().filter(move |((known, _), _)| known == service);
        flows.map(move |((_, priority), flow)| (*priority, flow.rate(now)))
    }
}

fn ms(now: Time, earlier: Time) -> f64 {
    f64::from(u32::try_from(now.since(earlier).as_ms()).unwrap_or(u32::MAX))
}
