//! Injects faults into a running deployment and ends them.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Result;
use cranberryhatch_standin::{
    EndpointFault, LinkMode, PlatformFault,
    check::{Journal, Note},
    unix_ms,
};
use cranberryhatch_store::{InstanceState, ListedInstance};
use serde_json::json;

use crate::{
    Fleet,
    soak::{FaultKind, Load, Operators, Step, Twist},
};

/// Delay of the answers of a slow platform, in milliseconds.
const SLOW_MS: u64 = 800;
/// Time allowed for a planned stop, beyond the time that the fault lasts.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Share of the writes that faults of the platform hit, in percent.
const SHARE: u8 = 30;

/// Injects faults into a running deployment and ends them.
pub struct Injector<'a> {
    /// The deployment.
    pub fleet: &'a mut Fleet,
    /// Callers.
    pub load: Arc<Load>,
    /// Operators.
    pub operators: Operators,
    /// Journal, for the times in which an instance could not be reached.
    pub journal: Arc<Journal>,
    /// Faults in force.
    pub active: Vec<Active>,
    /// Faults injected, by kind.
    pub counts: BTreeMap<FaultKind, usize>,
    /// What went wrong while injecting.
    pub problems: Vec<String>,
}

/// A fault in force.
pub struct Active {
    kind: FaultKind,
    target: String,
    index: usize,
    end: Instant,
    from_ms: u64,
}

impl Injector<'_> {
    /// Runs the whole plan.
    pub fn run(&mut self, start: Instant, steps: &[Step]) {
        for step in steps {
            let at = start + step.at;
            loop {
                self.end_due();
                self.check();
                let now = Instant::now();
                if now >= at {
                    break;
                }
                std::thread::sleep((at - now).min(Duration::from_millis(20)));
            }
            self.begin(step);
        }
    }

    /// Ends the faults whose time has come.
    pub fn end_due(&mut self) {
        let now = Instant::now();
        let mut place = 0;
        while place < self.active.len() {
            if self.active[place].end > now || !self.may_end(place) {
                place += 1;
                continue;
            }
            let fault = self.active.remove(place);
            let ended = self.end(&fault);
            self.note(&fault.target, fault.kind, ended);
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        while !self.active.is_empty() {
            for fault in &mut self.active {
                fault.end = Instant::now();
            }
            self.end_due();
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Whether a fault can end: a planned stop takes as long as the work in flight.
    fn may_end(&mut self, place: usize) -> bool {
        let (kind, index) = (self.active[place].kind, self.active[place].index);
        if !matches!(kind, FaultKind::StopEntry | FaultKind::ReplaceAll) {
            return true;
        }
        let process = &mut self.fleet.entries[index].process;
        match process.has_ended() {
            Ok(true) => true,
            Ok(false) if Instant::now() > self.active[place].end + STOP_LIMIT => {
                process.kill();
                self.problems.push(format!("{} did not stop", process.name));
                true
            }
            Ok(false) => false,
            Err(error) => {
                self.problems.push(format!("planned stop: {error}"));
                true
            }
        }
    }

    /// Notes processes that ended by themselves.
    fn check(&mut self) {
        let busy: Vec<&str> = self.active.iter().map(|fault| fault.target.as_str()).collect();
        for member in self.fleet.entries.iter_mut().chain(&mut self.fleet.endpoints) {
            if !busy.contains(&member.process.name.as_str())
                && let Err(error) = member.process.check()
            {
                self.problems.push(error.to_string());
            }
        }
    }

    fn note(&mut self, target: &str, kind: FaultKind, done: Result<()>) {
        if let Err(error) = done {
            self.problems.push(format!("{kind} at {target}: {error}"));
        }
    }

    fn begin(&mut self, step: &Step) {
        let (target, index) = self.target(step);
        let busy = |fault: &Active| fault.target == target;
        if !target.is_empty() && self.active.iter().any(busy) {
            return;
        }
        let done = self.inject(step, &target, index);
        let failed = done.is_err();
        self.note(&target, step.kind, done);
        if failed {
            return;
        }
        *self.counts.entry(step.kind).or_insert(0) += 1;
        if !target.is_empty() {
            let (kind, end) = (step.kind, Instant::now() + step.lasts);
            self.active.push(Active { kind, target, index, end, from_ms: unix_ms() });
        }
    }

    /// Name and index of the target; no name for a fault that needs no end.
    fn target(&self, step: &Step) -> (String, usize) {
        let entry = step.pick % self.fleet.entries.len();
        let endpoint = step.pick % self.fleet.endpoints.len();
        let zone = step.pick % self.fleet.shape.zones.len();
        match step.kind {
            FaultKind::KillEntry
            | FaultKind::StopEntry
            | FaultKind::ReplaceAll
            | FaultKind::PauseEntry => (self.fleet.entries[entry].process.name.clone(), entry),
            FaultKind::KillEndpoint
            | FaultKind::PauseEndpoint
            | FaultKind::FreezeEndpoint
            | FaultKind::HangEndpoint
            | FaultKind::Straggle
            | FaultKind::FailTasks
            | FaultKind::FailStarts
            | FaultKind::Leave => (self.fleet.endpoints[endpoint].process.name.clone(), endpoint),
            FaultKind::CutZones | FaultKind::SilentZones => {
                (format!("zones of {}", self.fleet.shape.zones[zone]), zone)
            }
            FaultKind::DrainZone => (format!("drain of {}", self.fleet.shape.zones[zone]), zone),
            FaultKind::CutPlatform | FaultKind::SilentPlatform => {
                (format!("platform:{}", self.fleet.shape.zones[zone]), zone)
            }
            FaultKind::PlatformDown
            | FaultKind::PlatformSlow
            | FaultKind::PlatformLose
            | FaultKind::PlatformRefuse => ("platform".to_owned(), 0),
            FaultKind::Operators
            | FaultKind::Cancels
            | FaultKind::Burst
            | FaultKind::NeverFits
            | FaultKind::Misdeclared
            | FaultKind::BadInput
            | FaultKind::KeyReused
            | FaultKind::Resubmit => (String::new(), 0),
        }
    }

    fn inject(&mut self, step: &Step, target: &str, index: usize) -> Result<()> {
        match step.kind {
            FaultKind::KillEntry => self.fleet.entries[index].process.kill(),
            FaultKind::StopEntry | FaultKind::ReplaceAll => {
                self.fleet.entries[index].process.signal("TERM")?;
            }
            FaultKind::PauseEntry => self.fleet.entries[index].process.signal("STOP")?,
            FaultKind::KillEndpoint => self.fleet.endpoints[index].process.kill(),
            FaultKind::PauseEndpoint => self.fleet.endpoints[index].process.signal("STOP")?,
            FaultKind::FreezeEndpoint => self.endpoint(index, EndpointFault::Freeze)?,
            FaultKind::HangEndpoint => self.endpoint(index, EndpointFault::Hang)?,
            FaultKind::Straggle => self.endpoint(index, EndpointFault::Straggle)?,
            FaultKind::FailTasks => self.endpoint(index, EndpointFault::FailTasks)?,
            FaultKind::FailStarts => self.endpoint(index, EndpointFault::FailStarts)?,
            FaultKind::Leave => self.leave(index)?,
            FaultKind::CutZones => self.zones(index, LinkMode::Cut)?,
            FaultKind::SilentZones => self.zones(index, LinkMode::Silent)?,
            FaultKind::CutPlatform => self.link(target, LinkMode::Cut)?,
            FaultKind::SilentPlatform => self.link(target, LinkMode::Silent)?,
            FaultKind::PlatformDown => self.platform(PlatformFault::Down)?,
            FaultKind::PlatformSlow => self.platform(PlatformFault::Slow)?,
            FaultKind::PlatformLose => self.platform(PlatformFault::LoseAnswers)?,
            FaultKind::PlatformRefuse => self.platform(PlatformFault::Refuse)?,
            FaultKind::Operators => self.operators.race(&self.load_targets(step.pick), step.pick),
            FaultKind::DrainZone => self.drain_zone(index, true),
            FaultKind::Cancels => {
                self.load.burst(Twist::Labelled, step.pick);
                self.load.cancel_wave();
            }
            FaultKind::Burst => self.load.burst(Twist::Plain, step.pick),
            FaultKind::NeverFits => self.load.burst(Twist::NeverFits, step.pick),
            FaultKind::Misdeclared => self.load.burst(Twist::Misdeclared, step.pick),
            FaultKind::BadInput => self.load.bad_input(step.pick),
            FaultKind::KeyReused => self.load.burst(Twist::KeyReused, step.pick),
            FaultKind::Resubmit => self.load.burst(Twist::Resubmitted, step.pick),
        }
        Ok(())
    }

    fn end(&mut self, fault: &Active) -> Result<()> {
        let index = fault.index;
        match fault.kind {
            FaultKind::KillEntry => {
                self.fleet.entries[index].process.restart()?;
                self.isolated(fault);
            }
            FaultKind::StopEntry | FaultKind::ReplaceAll => {
                let (instance, from) = (fault.target.clone(), fault.from_ms);
                self.journal.append(&Note::Stopped { instance, from, to: unix_ms() });
                self.fleet.entries[index].process.restart()?;
                self.isolated(fault);
            }
            FaultKind::PauseEntry => {
                self.fleet.entries[index].process.signal("CONT")?;
                self.isolated(fault);
            }
            FaultKind::KillEndpoint => self.fleet.endpoints[index].process.restart()?,
            FaultKind::PauseEndpoint => self.fleet.endpoints[index].process.signal("CONT")?,
            FaultKind::HangEndpoint
            | FaultKind::Straggle
            | FaultKind::FailTasks
            | FaultKind::FailStarts => self.endpoint(index, EndpointFault::Up)?,
            FaultKind::Leave => {
                self.endpoint(index, EndpointFault::Up)?;
                self.fleet.endpoints[index].row.state = InstanceState::Live;
                self.fleet.publish()?;
            }
            FaultKind::CutZones => {
                self.zones(index, LinkMode::Pass)?;
                self.isolated_zone(fault);
            }
            FaultKind::DrainZone => self.drain_zone(index, false),
            FaultKind::CutPlatform => {
                let zone = self.fleet.shape.zones[index].clone();
                self.cut_off(fault, |row| row.zone.as_str() == zone);
                self.link(&fault.target, LinkMode::Pass)?;
                self.isolated_zone(fault);
            }
            FaultKind::PlatformDown => {
                self.cut_off(fault, |_| true);
                self.platform(PlatformFault::Up)?;
            }
            FaultKind::PlatformSlow | FaultKind::PlatformLose | FaultKind::PlatformRefuse => {
                self.platform(PlatformFault::Up)?;
            }
            _ => {}
        }
        Ok(())
    }

    fn endpoint(&self, index: usize, fault: EndpointFault) -> Result<()> {
        let addr = self.fleet.endpoints[index].process.addr;
        // Connections from before a freeze are silent for the chore as well.
        self.fleet.client.close_idle(addr);
        self.fleet.post(addr, "/control/switch", &json!({ "fault": fault }))
    }

    fn leave(&mut self, index: usize) -> Result<()> {
        self.endpoint(index, EndpointFault::Leave)?;
        self.fleet.endpoints[index].row.state = InstanceState::Leaving;
        self.fleet.publish()
    }

    fn platform(&self, fault: PlatformFault) -> Result<()> {
        let switch = json!({ "fault": fault, "ms": SLOW_MS, "share": SHARE });
        self.fleet.post(self.fleet.platform.addr, "/control/switch", &switch)
    }

    fn link(&self, name: &str, mode: LinkMode) -> Result<()> {
        let Some(links) = &self.fleet.links else { anyhow::bail!("no links") };
        self.fleet.post(links.addr, "/control/switch", &json!({ "link": name, "mode": mode }))
    }

    /// Switches the links of a zone to and from all others.
    fn zones(&self, index: usize, mode: LinkMode) -> Result<()> {
        let zones = &self.fleet.shape.zones;
        for other in zones.iter().filter(|other| **other != zones[index]) {
            self.link(&format!("{}>{other}", zones[index]), mode)?;
            self.link(&format!("{other}>{}", zones[index]), mode)?;
        }
        Ok(())
    }

    fn drain_zone(&self, index: usize, drained: bool) {
        let targets = self.load_targets(index);
        self.operators.drain(targets, &self.fleet.shape.zones[index], drained);
    }

    fn isolated(&self, fault: &Active) {
        let instance = fault.target.clone();
        self.journal.append(&Note::Isolated { instance, from: fault.from_ms, to: unix_ms() });
    }

    /// Notes that entry instances could not reach the platform.
    fn cut_off(&self, fault: &Active, is_hit: impl Fn(&ListedInstance) -> bool) {
        for entry in self.fleet.entries.iter().filter(|entry| is_hit(&entry.row)) {
            let instance = entry.process.name.clone();
            self.journal.append(&Note::CutOff { instance, from: fault.from_ms, to: unix_ms() });
        }
    }

    /// A zone is isolated while it is cut off from the platform and from the other zones.
    fn isolated_zone(&self, ended: &Active) {
        let other = match ended.kind {
            FaultKind::CutZones => FaultKind::CutPlatform,
            _ => FaultKind::CutZones,
        };
        let both = self.active.iter().find(|f| f.kind == other && f.index == ended.index);
        let Some(both) = both else { return };
        let zone = &self.fleet.shape.zones[ended.index];
        for entry in self.fleet.entries.iter().filter(|entry| entry.row.zone.as_str() == zone) {
            let from = ended.from_ms.max(both.from_ms);
            let instance = entry.process.name.clone();
            self.journal.append(&Note::Isolated { instance, from, to: unix_ms() });
        }
    }

    fn load_targets(&self, pick: usize) -> Vec<crate::Target> {
        let count = self.fleet.entries.len();
        let target = |index: usize| {
            let process = &self.fleet.entries[index % count].process;
            crate::Target { name: process.name.clone(), addr: process.addr }
        };
        vec![target(pick), target(pick + 1)]
    }
}
