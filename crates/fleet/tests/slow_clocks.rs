//! Guards against runs that an owner reports as over while their worker, whose clock is slow and
//! whose timer is late, still runs them.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, Incarnation, Member, Members, Message, Output, Owner, PollResponse, PollResult,
    RunKey, StartResponse, WorkerList, WorkerStatus,
};
use cranberryhatch_schema::fleet::{Run, Start};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

const NOW: Time = Time::from_ms(20_000);
/// How much slower than the owner's clock the worker's clock runs, in percent; the platform's
/// bound.
const SLOW_CLOCK: u64 = 2;
/// Delay of the worker's timer, in milliseconds.
const TIMER_DELAY: u64 = 8;
/// Time after which the clock of a worker without runs is read again, in milliseconds.
const IDLE_POLL_INTERVAL: u64 = 3_000;

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn worker() -> WorkerId {
    "w".parse().expect("an id")
}

/// Returns the worker's clock after some milliseconds, rounded down.
fn clock(after: u64) -> u64 {
    NOW.as_ms() + after * (100 - SLOW_CLOCK) / 100
}

/// Returns after how many milliseconds at the latest a run with this lease has ended.
fn end_of(until: u64) -> u64 {
    (until.saturating_sub(NOW.as_ms()) * 100).div_ceil(100 - SLOW_CLOCK) + TIMER_DELAY
}

/// An owner of one worker.
struct Fixture {
    owner: Owner,
    members: Members,
    listing: WorkerList,
    token: u64,
    /// Latest end of all leases, by the worker's clock.
    leased: u64,
}

impl Fixture {
    fn new() -> Self {
        let me = Member {
            id: id("e-1"),
            incarnation: 1,
            zone: "a".parse().expect("a zone"),
            cores: 250,
            draining: false,
            core: true,
            joined: true,
            version: 0,
        };
        let members = Members::new(me.clone());
        let mut listing = WorkerList::default();
        listing.replace(vec![listed("w", "a", 32_000)], NOW);
        let mut owner = Owner::new(me.id);
        owner.assign(&listing, &members.owners(1), 0, NOW);
        Self { owner, members, listing, token: 0, leased: 0 }
    }

    /// Ticks, and responds to polls if the worker `responds`. Returns whether the end of a run was
    /// reported.
    fn tick(&mut self, responds: bool, after: u64) -> bool {
        let now = NOW + Span::from_ms(after);
        let mut out = Output::default();
        self.owner.tick(&self.listing, &self.members.owners(1), 0, now, &mut out);
        self.read(&out);
        let polls = out.commands.iter().filter_map(|command| match command {
            Command::Poll { token, .. } => Some(*token),
            _ => None,
        });
        for token in polls.collect::<Vec<_>>() {
            self.token = token;
            let response = if responds {
                let (clock, incarnation) = (clock(after), Incarnation::UNKNOWN);
                let status = WorkerStatus { clock, incarnation, ..WorkerStatus::default() };
                PollResponse::Status(Box::new(status))
            } else {
                PollResponse::NoResponse
            };
            let result = PollResult { worker: worker(), token, sent: now, response };
            self.owner.handle_poll_result(result, &self.members, now, &mut out);
        }
        out.commands
            .iter()
            .any(|command| matches!(command, Command::Send { message: Message::Ended(_), .. }))
    }

    /// Starts a run; the response has the worker's clock.
    fn start(&mut self, after: u64) {
        let now = NOW + Span::from_ms(after);
        let start = Start {
            run: Some(Run { job: "j".to_owned(), step: 0, task: 0, run: 1 }),
            worker: "w".to_owned(),
            service: "svc".to_owned(),
            need: Some((&need(14_000)).into()),
            run_ms: 100_000,
            kind: "k".to_owned(),
            token: self.token,
            seen_ms: now.as_ms(),
            ..Start::default()
        };
        let run = RunKey::from(start.run.as_ref().expect("a run"));
        let mut out = Output::default();
        self.owner.start(&id("e-2"), start, now, &mut out);
        self.read(&out);
        assert!(self.leased > 0, "the start is refused");
        let (clock, started) = (Some(clock(after)), StartResponse::Started);
        self.owner.handle_start_response(&worker(), &run, started, clock, now, &mut out);
    }

    /// Records the leases; the worker gets all of them.
    fn read(&mut self, out: &Output) {
        for command in &out.commands {
            let lease = match command {
                Command::Poll { lease, .. } => *lease,
                Command::StartRun { lease, .. } => Some(*lease),
                _ => None,
            };
            self.leased = self.leased.max(lease.map_or(0, |lease| lease.until));
        }
    }
}

#[test]
fn run_is_reported_as_over_only_after_its_lease_by_a_slow_clock_and_a_late_timer() {
    for started in (0..IDLE_POLL_INTERVAL).step_by(10) {
        let mut fixture = Fixture::new();
        for after in 0..=started {
            assert!(!fixture.tick(true, after));
        }
        fixture.start(started);
        let mut ticks = started + 1..started + 3_000;
        let reported = ticks.find(|after| fixture.tick(false, *after));
        let end = end_of(fixture.leased);
        let reported = reported.expect("the run is not reported as over");
        assert!(
            reported >= end,
            "started after {started} ms, over after {reported} ms, ends until {end} ms"
        );
    }
}

#[test]
fn lease_after_a_pause_of_its_owner_is_not_longer_by_a_slow_clock() {
    for pause in [0, 3_000, 6_000, 12_000, 30_000] {
        let mut fixture = Fixture::new();
        for after in 0..100 {
            assert!(!fixture.tick(true, after));
        }
        // The start is read before the response to the first poll after the pause.
        let started = 100 + pause;
        fixture.start(started);
        let mut ticks = started + 1..started + 3_000;
        let reported = ticks.find(|after| fixture.tick(false, *after));
        let (end, reported) = (end_of(fixture.leased), reported.expect("a report"));
        assert!(reported >= end, "pause of {pause} ms: over after {reported}, ends until {end} ms");
    }
}
