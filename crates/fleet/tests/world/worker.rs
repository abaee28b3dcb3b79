//! A simulated worker that leases runs and accepts requests with the highest token only.

use cranberryhatch_fleet::{
    End, Incarnation, ListedWorker, Need, PollResponse, RunEnd, RunKey, Running, StartResponse,
    TaskKey, WorkerStatus,
};
use cranberryhatch_types::WorkerId;

/// Longest lease that a worker grants, in milliseconds of its clock.
const LEASE_MAX: u64 = 1_000;

/// Start time that the first incarnation of a worker reports.
pub const FIRST_BORN: u64 = 1_000_000;

/// Time that a stop takes, in milliseconds: the platform's bound.
const STOP_TIME: u64 = 50;

/// An active run.
#[derive(Clone, Debug)]
pub struct WorkerRun {
    pub run: RunKey,
    pub need: Need,
    pub since: u64,
    pub until: u64,
    pub fails: bool,
    /// Whether it ends with a crash of the worker.
    pub crashes: bool,
    /// Time at which an accepted stop request ends it.
    pub stopped: Option<u64>,
}

/// A simulated worker; times are those of the simulation unless stated otherwise.
#[derive(Debug)]
pub struct FakeWorker {
    pub listed: ListedWorker,
    pub up: bool,
    pub token: u64,
    pub runs: Vec<WorkerRun>,
    pub ended: Vec<End>,
    pub hangs: bool,
    /// Whether a run has crashed its process.
    pub crashed: bool,
    /// Ids that it had before crashes.
    pub former_ids: Vec<WorkerId>,
    /// Whether it rejects starts that exceed its capacity.
    pub guards: bool,
    /// Time of the last change of its capacity.
    pub resized_at: u64,
    /// Whether leases count from the arrival of the request that carries them.
    pub lease_from_arrival: bool,
    /// Time from the end of the lease until its timer ends the runs.
    pub timer_delay: u64,
    /// All runs that ended successfully.
    pub done: Vec<RunKey>,
    /// Time by which the time of day of its machine has been set back.
    pub set_back: u64,
    // Speed of its clock in thousandths.
    rate: u64,
    // Reading of its clock at time 0 of the simulation; a restart resets it.
    clock_offset: u64,
    started_at: u64,
    born: u64,
    lease_until: u64,
    next_end: u64,
    tombstones: Vec<(TaskKey, u32)>,
}

impl FakeWorker {
    pub fn new(listed: ListedWorker, rate: u64) -> Self {
        Self {
            listed,
            up: true,
            token: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            hangs: false,
            crashed: false,
            former_ids: Vec::new(),
            guards: true,
            resized_at: 0,
            lease_from_arrival: false,
            timer_delay: 0,
            done: Vec::new(),
            set_back: 0,
            rate,
            clock_offset: 7_000,
            started_at: 1,
            born: FIRST_BORN,
            lease_until: 0,
            next_end: 1,
            tombstones: Vec::new(),
        }
    }

    pub fn clock(&self, now: u64) -> u64 {
        self.clock_offset + now * self.rate / 1_000 - self.clock_delay()
    }

    const fn clock_delay(&self) -> u64 {
        // The clock of a later incarnation starts at 0.
        if self.started_at > 1 { self.started_at * self.rate / 1_000 } else { 0 }
    }

    /// Ends its process and all its runs.
    pub fn stop_process(&mut self) {
        self.up = false;
        self.runs.clear();
    }

    /// Restarts it under the same id without its earlier state; `now` identifies the incarnation.
    pub fn restart_process(&mut self, now: u64) {
        self.up = true;
        self.clock_offset = 0;
        self.started_at = now;
        self.born = FIRST_BORN + now - self.set_back;
        self.token = 0;
        self.lease_until = 0;
        self.next_end = 1;
        self.ended.clear();
        self.tombstones.clear();
    }

    /// Number of the last end of this incarnation.
    pub const fn last_end(&self) -> u64 {
        self.next_end - 1
    }

    pub const fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.born)
    }

    /// Ends the runs that are due by `now`.
    pub fn advance(&mut self, now: u64) {
        let clock = self.clock(now);
        let expired = clock >= self.lease_until + self.timer_delay;
        self.crashed |= self.runs.iter().any(|run| run.crashes && run.until <= now);
        if self.crashed {
            return;
        }
        for run in std::mem::take(&mut self.runs) {
            if !self.hangs && run.until <= now {
                let how = if run.fails { RunEnd::Failed } else { RunEnd::Done };
                self.end(run.run, how);
            } else if expired || run.stopped.is_some_and(|at| at <= now) {
                self.end(run.run, RunEnd::Stopped);
            } else {
                self.runs.push(run);
            }
        }
    }

    fn end(&mut self, run: RunKey, how: RunEnd) {
        self.add_tombstone(&run);
        if how == RunEnd::Done {
            self.done.push(run.clone());
        }
        self.ended.push(End { number: self.next_end, run, how });
        self.next_end += 1;
    }

    fn add_tombstone(&mut self, run: &RunKey) {
        match self.tombstones.iter_mut().find(|(task, _)| *task == run.task) {
            Some((_, highest)) => *highest = run.run.max(*highest),
            None => self.tombstones.push((run.task.clone(), run.run)),
        }
    }

    fn accept_token(&mut self, token: u64) -> bool {
        self.token = self.token.max(token);
        token == self.token
    }

    /// Returns the end of the lease of a request that was sent at `sent`.
    fn lease_end(&self, until: u64, sent: u64, now: u64) -> u64 {
        until + if self.lease_from_arrival { self.clock(now) - self.clock(sent) } else { 0 }
    }

    fn extend(&mut self, until: u64, now: u64) {
        let until = until.min(self.clock(now) + LEASE_MAX);
        self.lease_until = self.lease_until.max(until);
    }

    pub fn poll(
        &mut self,
        token: u64,
        acked: u64,
        lease: Option<u64>,
        sent: u64,
        now: u64,
    ) -> PollResponse {
        self.advance(now);
        if !self.accept_token(token) {
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
        let seen = WorkerStatus {
            clock: self.clock(now),
            incarnation: self.incarnation(),
            running: running.collect(),
            ended: self.ended.clone(),
        };
        PollResponse::Status(Box::new(seen))
    }

    pub fn start(
        &mut self,
        token: u64,
        work: WorkerRun,
        lease: u64,
        sent: u64,
        now: u64,
    ) -> StartResponse {
        self.advance(now);
        let lease = self.lease_end(lease, sent, now);
        if !self.accept_token(token) {
            return StartResponse::Fenced;
        }
        if lease <= self.clock(now) {
            return StartResponse::NotStarted;
        }
        if self.runs.iter().any(|run| run.run == work.run) {
            return StartResponse::Started;
        }
        self.extend(lease, now);
        let tombstone = self.tombstones.iter().find(|(task, _)| *task == work.run.task);
        if tombstone.is_some_and(|(_, highest)| work.run.run <= *highest) {
            return StartResponse::Superseded;
        }
        let free =
            self.runs.iter().fold(self.listed.capacity, |free, run| free.saturating_sub(&run.need));
        if self.guards && !work.need.fits(&free) {
            return StartResponse::NoRoom;
        }
        self.runs.push(work);
        StartResponse::Started
    }

    pub fn stop(&mut self, token: u64, run: &RunKey, now: u64) -> bool {
        self.advance(now);
        if !self.accept_token(token) {
            return false;
        }
        match self.runs.iter_mut().find(|running| running.run == *run) {
            Some(running) => {
                running.stopped.get_or_insert(now + STOP_TIME);
            }
            None => self.add_tombstone(run),
        }
        true
    }
}
