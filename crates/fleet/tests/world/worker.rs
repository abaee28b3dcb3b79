//! A worker that leases runs and obeys the highest token.

use cranberryhatch_fleet::{
    End, Life, Listed, Need, PollResponse, RunEnd, RunKey, Running, StartResponse, TaskKey,
    WorkerState,
};

/// Longest lease that a worker grants, in milliseconds of its clock.
const LEASE_MAX: u64 = 1_000;

/// Time that a stop takes, in milliseconds: the platform's bound.
const STOP_TIME: u64 = 50;

/// A run at work.
#[derive(Clone, Debug)]
pub struct AtWork {
    pub run: RunKey,
    pub need: Need,
    pub since: u64,
    pub until: u64,
    pub fails: bool,
    /// When a stop that was accepted ends it.
    pub stopped: Option<u64>,
}

/// One life of a worker; times are those of the world unless stated otherwise.
#[derive(Debug)]
pub struct FakeWorker {
    pub listed: Listed,
    pub up: bool,
    pub token: u64,
    pub runs: Vec<AtWork>,
    pub ended: Vec<End>,
    pub hangs: bool,
    /// Whether leases count from the arrival of the order that gives them.
    pub from_arrival: bool,
    /// All runs that ended successfully.
    pub done: Vec<RunKey>,
    // Speed of its clock in thousandths.
    rate: u64,
    // What it shows at time 0 of the world; a restart sets it back.
    clock_from: u64,
    born: u64,
    lease_until: u64,
    next_end: u64,
    tombs: Vec<(TaskKey, u32)>,
}

impl FakeWorker {
    pub fn new(listed: Listed, rate: u64) -> Self {
        Self {
            listed,
            up: true,
            token: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            hangs: false,
            from_arrival: false,
            done: Vec::new(),
            rate,
            clock_from: 7_000,
            born: 1,
            lease_until: 0,
            next_end: 1,
            tombs: Vec::new(),
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        self.clock_from + now * self.rate / 1_000 - self.behind()
    }

    const fn behind(&self) -> u64 {
        // The clock of a later life begins at 0 when it is born.
        if self.born > 1 { self.born * self.rate / 1_000 } else { 0 }
    }

    /// Ends its process and with it all that runs.
    pub fn end_life(&mut self) {
        self.up = false;
        self.runs.clear();
    }

    /// Starts it again under its id, without anything that it knew; `now` names the life.
    pub fn begin_life(&mut self, now: u64) {
        self.up = true;
        self.clock_from = 0;
        self.born = now;
        self.token = 0;
        self.lease_until = 0;
        self.next_end = 1;
        self.ended.clear();
        self.tombs.clear();
    }

    /// Number of the last end of this life.
    pub const fn last_end(&self) -> u64 {
        self.next_end - 1
    }

    pub const fn life(&self) -> Life {
        Life::new(self.born)
    }

    /// Ends what is due by `now`.
    pub fn advance(&mut self, now: u64) {
        let clock = self.clock(now);
        let lapsed = clock >= self.lease_until;
        for run in std::mem::take(&mut self.runs) {
            if !self.hangs && run.until <= now {
                let how = if run.fails { RunEnd::Failed } else { RunEnd::Done };
                self.end(run.run, how);
            } else if lapsed || run.stopped.is_some_and(|at| at <= now) {
                self.end(run.run, RunEnd::Stopped);
            } else {
                self.runs.push(run);
            }
        }
    }

    fn end(&mut self, run: RunKey, how: RunEnd) {
        self.bury(&run);
        if how == RunEnd::Done {
            self.done.push(run.clone());
        }
        self.ended.push(End { number: self.next_end, run, how });
        self.next_end += 1;
    }

    fn bury(&mut self, run: &RunKey) {
        match self.tombs.iter_mut().find(|(task, _)| *task == run.task) {
            Some((_, highest)) => *highest = run.run.max(*highest),
            None => self.tombs.push((run.task.clone(), run.run)),
        }
    }

    fn obeys(&mut self, token: u64) -> bool {
        self.token = self.token.max(token);
        token == self.token
    }

    /// End of the lease that an order gives which was sent at `sent`.
    fn lease_end(&self, until: u64, sent: u64, now: u64) -> u64 {
        until + if self.from_arrival { self.clock(now) - self.clock(sent) } else { 0 }
    }

    fn extend(&mut self, until: u64, now: u64) {
        let until = until.min(self.clock(now) + LEASE_MAX);
        self.lease_until = self.lease_until.max(until);
    }

    pub fn look(
        &mut self,
        token: u64,
        acked: u64,
        lease: Option<u64>,
        sent: u64,
        now: u64,
    ) -> PollResponse {
        self.advance(now);
        if !self.obeys(token) {
            return PollResponse::Fenced;
        }
        if let Some(until) = lease {
            self.extend(self.lease_end(until, sent, now), now);
        }
        self.ended.retain(|end| end.number > acked);
        let running = self.runs.iter().map(|run| {
            let length = (run.until - run.since).max(1);
            let percent = if self.hangs { 0 } else { (now - run.since) * 100 / length };
            Running { run: run.run.clone(), percent: u32::try_from(percent).unwrap_or(100) }
        });
        let seen = WorkerState {
            clock: self.clock(now),
            life: self.life(),
            running: running.collect(),
            ended: self.ended.clone(),
        };
        PollResponse::State(Box::new(seen))
    }

    pub fn start(
        &mut self,
        token: u64,
        work: AtWork,
        lease: u64,
        sent: u64,
        now: u64,
    ) -> StartResponse {
        self.advance(now);
        let lease = self.lease_end(lease, sent, now);
        if !self.obeys(token) {
            return StartResponse::Fenced;
        }
        if lease <= self.clock(now) {
            return StartResponse::NotStarted;
        }
        if self.runs.iter().any(|run| run.run == work.run) {
            return StartResponse::Started;
        }
        self.extend(lease, now);
        let tomb = self.tombs.iter().find(|(task, _)| *task == work.run.task);
        if tomb.is_some_and(|(_, highest)| work.run.run <= *highest) {
            return StartResponse::Old;
        }
        let free =
            self.runs.iter().fold(self.listed.room, |free, run| free.saturating_sub(&run.need));
        if !work.need.fits(&free) {
            return StartResponse::NoRoom;
        }
        self.runs.push(work);
        StartResponse::Started
    }

    pub fn stop(&mut self, token: u64, run: &RunKey, now: u64) -> bool {
        self.advance(now);
        if !self.obeys(token) {
            return false;
        }
        match self.runs.iter_mut().find(|at_work| at_work.run == *run) {
            Some(at_work) => {
                at_work.stopped.get_or_insert(now + STOP_TIME);
            }
            None => self.bury(run),
        }
        true
    }
}
