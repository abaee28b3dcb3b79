//! Arrival rates of work, by service and priority.
//!
//! In a sustained overload, future jobs of higher priority overtake a waiting job. The work ahead
//! of it is therefore more than the work that waits.

use cranberryhatch_types::Time;

use crate::VecMap;

/// Time constant of the estimate that follows changes, in milliseconds.
const FAST_MS: f64 = 200.0;
/// Time constant of the estimate that averages over single jobs, in milliseconds.
const SLOW_MS: f64 = 1_000.0;
/// Maximum number of services and priorities with an estimate.
const MAX_FLOWS: usize = 256;

/// Rate at which work arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalRate {
    /// Requested capacity, in thousandths of a core per millisecond.
    pub cores: f64,
    /// Work, in thousandths of a core times milliseconds per millisecond.
    pub work: f64,
}

impl ArrivalRate {
    /// Returns the mean run time of tasks, weighted by their cores, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        if self.cores > 0.0 { self.work / self.cores } else { 0.0 }
    }

    fn add(&mut self, cores: f64, work: f64, time_ms: f64) {
        self.cores += cores / time_ms;
        self.work += work / time_ms;
    }

    fn decay(&mut self, factor: f64) {
        self.cores *= factor;
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
        // The smaller estimate forgets a burst that has ended before the slow one does, and counts
        // a new burst only once it lasts.
        let work = fast.min(slow);
        let mean = self.slow.mean_ms();
        ArrivalRate { cores: if mean > 0.0 { work / mean } else { 0.0 }, work }
    }
}

/// Arrival rates of all services and priorities.
#[derive(Debug, Default)]
pub struct Arrivals {
    flows: VecMap<(String, u32), Flow>,
}

impl Arrivals {
    /// Records a job that has just arrived: the cores of all its tasks, and their work.
    pub fn record(&mut self, service: &str, priority: u32, cores: f64, work: f64, now: Time) {
        let key = (service.to_owned(), priority);
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains(&key) {
            self.flows.retain(|_, flow| now.since(flow.updated).as_ms() < 10_000);
            if self.flows.len() >= MAX_FLOWS {
                return;
            }
        }
        let flow = self.flows.get_or_insert_with(key, Flow::default);
        flow.decay_to(now);
        flow.fast.add(cores, work, FAST_MS);
        flow.slow.add(cores, work, SLOW_MS);
    }

    /// Returns the arrival rates of a service, in order of the priority number.
    pub fn rates(&self, service: &str, now: Time) -> impl Iterator<Item = (u32, ArrivalRate)> {
        let flows = self.flows.iter().filter(move |((known, _), _)| known == service);
        flows.map(move |((_, priority), flow)| (*priority, flow.rate(now)))
    }
}

fn ms(now: Time, earlier: Time) -> f64 {
    f64::from(u32::try_from(now.since(earlier).as_ms()).unwrap_or(u32::MAX))
}
