//! Guards against second runs of a task beside its first, one way to a second start a test.

mod common;
mod world;

use std::sync::Arc;

use common::{kind_settings, listed, need};
use cranberryhatch_fleet::{
    Command, Front, Incarnation, Job, LEASE, Member, Members, Message, Outcome, Output, Owner,
    OwnerRequests, PollResponse, PollResult, RUN_EXPIRY, RUN_LIFETIME, RunKey, Running, Step,
    WorkerList, WorkerStatus,
};
use cranberryhatch_schema::fleet::{Ended, Grant, How, Place, Run, Start, Takeover};
use cranberryhatch_types::{InstanceId, Span, Time};
use world::World;

const NOW: Time = Time::from_ms(20_000);
/// How much slower than the instance's clock a worker's clock may run, in percent.
const SLOW_CLOCK: u64 = 2;
/// Age of the oldest reading of a worker's clock that is used to compute the end of a lease, in
/// milliseconds.
const CLOCK_AGE: u64 = 3_000;

/// Run time of tasks that outlast the time after which a caller sends its job again.
const LONG_RUN: u64 = 4_000;

#[test]
fn job_resubmitted_while_its_half_open_front_lives_does_not_run_twice_at_once() {
    for seed in 1..=20 {
        let mut world = World::new(seed, 2, 4, 4);
        let request = world.request(1, 1, 14_000, LONG_RUN, false);
        world.run_until(world.now + 100);
        world.break_caller(request);
        world.run_until(world.now + 12_000);
        let [first, second] = world.requests[request].attempts.as_slice() else {
            panic!("seed {seed}: not submitted again");
        };
        assert_ne!(first.node, second.node, "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.requests[request].outcome, Some(Outcome::Completed), "seed {seed}");
    }
}

/// Submits a job, breaks its caller's connection on the caller's side, lets a fault happen between
/// the two submissions, and returns the violations.
fn resubmit_across(seed: u64, delay: u64, fault: impl Fn(&mut World, usize)) -> Vec<String> {
    let mut world = World::new(seed, 3, 6, 12);
    let request = world.request(1, 1, 14_000, LONG_RUN, false);
    world.run_until(world.now + 100);
    world.break_caller(request);
    world.run_until(world.now + delay);
    fault(&mut world, request);
    world.run_until(world.now + 12_000);
    assert!(world.requests[request].attempts.len() > 1, "seed {seed}: not submitted again");
    world.violations
}

fn scheduler_of(world: &World) -> usize {
    (0..world.instances.len()).find(|node| world.schedules(*node)).expect("a scheduler")
}

#[test]
fn job_resubmitted_to_a_new_scheduler_does_not_run_twice_at_once() {
    // Guards against a scheduler that does not know the submissions that its predecessor compared.
    struct Case {
        name: &'static str,
        fault: fn(&mut World, usize),
    }
    let cases = [
        Case {
            name: "the scheduler is killed",
            fault: |world, _| world.kill(scheduler_of(world), false, 5_000),
        },
        Case {
            name: "the scheduler loses power",
            fault: |world, _| world.kill(scheduler_of(world), true, 5_000),
        },
        Case {
            name: "the scheduler is paused",
            fault: |world, _| world.pause(scheduler_of(world), 2_000),
        },
        Case {
            name: "the scheduler drains",
            fault: |world, _| world.drain(scheduler_of(world), 6_000),
        },
        Case {
            name: "the scheduler and the front are killed",
            fault: |world, request| {
                let front = world.requests[request].attempts[0].node;
                world.kill(scheduler_of(world), false, 5_000);
                world.kill(front, false, 5_000);
            },
        },
        Case {
            name: "the front loses power",
            fault: |world, request| {
                world.kill(world.requests[request].attempts[0].node, true, 5_000);
            },
        },
        Case {
            name: "the front is paused",
            fault: |world, request| world.pause(world.requests[request].attempts[0].node, 2_000),
        },
    ];
    let mut failed = Vec::new();
    for Case { name, fault } in cases {
        for seed in 1..=12 {
            for delay in [200, 600, 900, 1_200, 1_290] {
                let violations = resubmit_across(seed, delay, fault);
                if !violations.is_empty() {
                    failed.push(format!("{name}, seed {seed}, {delay} ms: {violations:?}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{} failed:\n{}", failed.len(), failed.join("\n"));
}

#[test]
fn job_resubmitted_at_its_front_joins_its_runs() {
    for seed in 1..=20 {
        let mut world = World::new(seed, 1, 1, 4);
        let request = world.request(1, 1, 14_000, LONG_RUN, false);
        world.run_until(world.now + 100);
        world.break_caller(request);
        world.run_until(world.now + 12_000);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.starts.len(), 1, "seed {seed}: starts");
    }
}

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn run(job: &str) -> Run {
    Run { job: job.to_owned(), step: 0, task: 0, run: 1 }
}

/// Returns a front with one run, which owner `o` started on worker `w`.
fn placed() -> Front {
    let mut out = Output::default();
    let mut front = Front::new(id("me"), "a".to_owned());
    front.set_scheduler(Some(id("s")), NOW, &mut out);
    let step = Step { tasks: 1, need: need(14_000), ..Step::default() };
    let job = Job {
        name: "j".to_owned(),
        settings: Arc::new(kind_settings()),
        payload: "x".into(),
        steps: vec![step],
        arrived: NOW,
        deadline: NOW + Span::from_ms(60_000),
    };
    front.submit(1, job, NOW, &mut out);
    let (worker, owner) = ("w".to_owned(), "o".to_owned());
    let place = Place { worker, owner, run_ms: 100, token: 7, ..Place::default() };
    let grant = Grant { job: "j".to_owned(), step: 0, places: vec![place] };
    front.granted(&id("s"), grant, |_| Some(NOW), NOW, &mut out);
    front
}

fn asks(out: &Output) -> usize {
    let is_ask =
        |command: &&Command| matches!(command, Command::Send { message: Message::Ask(_), .. });
    out.commands.iter().filter(is_ask).count()
}

fn yields(out: &Output) -> usize {
    let is_yield =
        |command: &&Command| matches!(command, Command::Send { message: Message::Yielded(_), .. });
    out.commands.iter().filter(is_yield).count()
}

#[test]
fn superseded_front_answers_once_its_runs_have_ended() {
    let age = Span::from_ms(500);
    let later = NOW + Span::from_ms(2_000);
    let superseded = |front: &mut Front, job: &str| {
        let mut out = Output::default();
        front.superseded(&id("s"), job, &id("e-2"), age, later, &mut out);
        out
    };
    let mut front = placed();
    assert_eq!(yields(&superseded(&mut front, "other")), 1, "a job that it does not have");
    for _ in 0..2 {
        assert_eq!(yields(&superseded(&mut front, "j")), 0, "its run may be active");
    }
    let (worker, how) = ("w".to_owned(), How::Stopped.into());
    let ended = Ended { run: Some(run("j")), worker, how, took_ms: 9, ..Ended::default() };
    let mut out = Output::default();
    front.ended(&id("o"), &ended, later, &mut out);
    assert_eq!((yields(&out), asks(&out)), (1, 0));
    assert_eq!(yields(&superseded(&mut front, "j")), 1, "the first answer may be lost");
}

#[test]
fn front_to_which_a_caller_returns_keeps_its_job() {
    // Guards against a submission in between, at another front, that ends the latest one.
    let mut front = placed();
    let at = NOW + Span::from_ms(2_600);
    let job = Job {
        name: "j".to_owned(),
        settings: Arc::new(kind_settings()),
        payload: "x".into(),
        steps: vec![Step { tasks: 1, need: need(14_000), ..Step::default() }],
        arrived: at,
        deadline: at + Span::from_ms(60_000),
    };
    let mut out = Output::default();
    front.submit(2, job, at, &mut out);
    assert_eq!(asks(&out), 1, "the scheduler is not told");
    let mut out = Output::default();
    let now = at + Span::from_ms(10);
    front.superseded(&id("s"), "j", &id("e-2"), Span::from_ms(1_310), now, &mut out);
    assert_eq!((yields(&out), asks(&out)), (0, 1), "it does not claim the job");
    assert!(front.has_started("j").is_some(), "it has closed the job");
}

#[test]
fn end_of_an_equal_run_on_another_worker_starts_no_second_run() {
    // Guards against ends of runs that an earlier process of the same front had started.
    for how in [How::Stopped, How::Lost, How::Failed, How::NoRoom, How::Old, How::Unanswered] {
        for (worker, expected) in [("v", 0), ("w", 1)] {
            let mut front = placed();
            let mut out = Output::default();
            let (run, worker) = (Some(run("j")), worker.to_owned());
            let ended = Ended {
                run,
                worker: worker.clone(),
                how: how.into(),
                took_ms: 9,
                ..Ended::default()
            };
            front.ended(&id("o"), &ended, NOW, &mut out);
            assert_eq!(asks(&out), expected, "{how:?} on {worker}");
        }
    }
}

#[test]
fn expired_run_is_not_claimed_from_a_new_owner() {
    let expiry = RUN_EXPIRY.as_ms();
    for (after, claims) in [(expiry - 1, 1), (expiry, 0)] {
        let mut front = placed();
        let mut out = Output::default();
        let at = NOW + Span::from_ms(after);
        front.owner_unreachable(&id("o"), &OwnerRequests::default(), NOW, &mut out);
        front.tick(at, &mut out);
        let found = Takeover {
            worker: "w".to_owned(),
            running: vec![run("j")],
            ended: Vec::new(),
            token: 8,
            born_ms: 0,
        };
        front.takeover(&id("p"), &found, at, at, &mut out);
        let claimed = out.commands.iter().find_map(|command| match command {
            Command::Send { message: Message::Claim(claim), .. } => Some(claim.runs.len()),
            _ => None,
        });
        assert_eq!((claimed, asks(&out)), (Some(claims), 1 - claims), "after {after}");
    }
}

/// An owner of one worker whose clock shows the same time.
struct Bench {
    owner: Owner,
    members: Members,
    listing: WorkerList,
    /// Tokens of the polls.
    tokens: Vec<u64>,
    /// Latest end of all leases that were given, by the worker's clock.
    leased: u64,
    /// Number of start and stop requests.
    starts: usize,
    stops: usize,
}

impl Bench {
    fn new(name: &str) -> Self {
        let me = Member {
            id: id(name),
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
        Self { owner, members, listing, tokens: Vec::new(), leased: 0, starts: 0, stops: 0 }
    }

    /// Ticks, and answers the polls with the runs that the worker lists.
    fn tick(&mut self, running: &[Run], now: Time) {
        let mut out = Output::default();
        let owners = self.members.owners(1);
        self.owner.tick(&self.listing, &owners, 0, now, &mut out);
        let polls = self.read(out);
        for token in polls {
            let running = running.iter().map(RunKey::from);
            let status = WorkerStatus {
                clock: now.as_ms(),
                incarnation: Incarnation::UNKNOWN,
                running: running.map(|run| Running { run, percent: 0 }).collect(),
                ended: Vec::new(),
            };
            let response = PollResponse::Status(Box::new(status));
            let worker = "w".parse().expect("an id");
            let result = PollResult { worker, token, sent: now, response };
            let mut out = Output::default();
            self.owner.handle_poll_result(result, &self.members, now, &mut out);
            self.read(out);
        }
    }

    fn start(&mut self, front: &str, job: &str, seen: Time, now: Time) {
        let request = Start {
            run: Some(run(job)),
            worker: "w".to_owned(),
            service: "svc".to_owned(),
            need: Some((&need(14_000)).into()),
            run_ms: 100,
            kind: "k".to_owned(),
            token: self.tokens.last().copied().unwrap_or_default(),
            seen_ms: seen.as_ms(),
            ..Start::default()
        };
        let mut out = Output::default();
        self.owner.start(&id(front), request, now, &mut out);
        self.read(out);
    }

    /// Records the requests and returns the tokens of the polls.
    fn read(&mut self, out: Output) -> Vec<u64> {
        let mut polls = Vec::new();
        for command in out.commands {
            let lease = match command {
                Command::Poll { token, lease, .. } => {
                    polls.push(token);
                    lease
                }
                Command::StartRun { lease, .. } => {
                    self.starts += 1;
                    Some(lease)
                }
                Command::StopRun { .. } => {
                    self.stops += 1;
                    None
                }
                _ => None,
            };
            self.leased = self.leased.max(lease.map_or(0, |lease| lease.until));
        }
        self.tokens.extend(&polls);
        polls
    }
}

#[test]
fn start_beside_a_longer_lease_ends_within_its_lifetime() {
    // Guards against a start of a lost front that waited on a slow link: leases never shorten.
    for age in 0..=RUN_LIFETIME.as_ms() {
        let mut bench = Bench::new("e-1");
        bench.tick(&[], NOW);
        bench.start("f-1", "i", NOW, NOW);
        let starts = bench.starts;
        let seen = NOW - Span::from_ms(age);
        bench.start("f-2", "j", seen, NOW);
        let leased = Time::from_ms(bench.leased).since(NOW);
        let kept = longest(leased) <= RUN_LIFETIME.as_ms() - age;
        assert!(bench.starts == starts || kept, "heartbeat {age} ms ago");
    }
}

/// Returns for how long a lease given at `NOW` may last by the slowest clock, in milliseconds.
fn longest(lease: Span) -> u64 {
    ((CLOCK_AGE + lease.as_ms()) * 100).div_ceil(100 - SLOW_CLOCK) - CLOCK_AGE
}

#[test]
fn start_after_a_takeover_ends_within_its_lifetime() {
    // Guards against the former owner's lease on a worker without runs: leases never shorten.
    for age in 0..=RUN_LIFETIME.as_ms() {
        let mut bench = Bench::new("e-1");
        bench.tick(&[], NOW);
        let seen = NOW - Span::from_ms(age);
        bench.start("f-2", "j", seen, NOW);
        let kept = longest(LEASE) <= RUN_LIFETIME.as_ms() - age;
        assert!(bench.starts == 0 || kept, "heartbeat {age} ms ago");
    }
}

#[test]
fn unclaimed_run_gets_no_lease_from_a_new_owner() {
    let mut bench = Bench::new("e-1");
    for after in (0..=1_000).step_by(20) {
        bench.tick(&[run("j")], NOW + Span::from_ms(after));
    }
    assert_eq!(bench.leased, 0, "a lease until {}", bench.leased);
    assert!(bench.stops > 0, "it is not stopped");
}

#[test]
fn owners_with_equal_clocks_have_different_tokens() {
    let tokens = ["e-1", "e-2"].map(|name| {
        let mut bench = Bench::new(name);
        bench.tick(&[], NOW);
        bench.tokens
    });
    assert_ne!(tokens[0], tokens[1], "the worker would accept both");
}

#[test]
fn run_on_a_cut_off_worker_with_a_late_timer_ends_before_its_restart() {
    // The clocks of the workers are slow by up to 2 % and were last read up to 3 s ago.
    const TIMER_DELAY: u64 = 8;
    for seed in 1..=60 {
        let mut world = World::new(seed, 1, 2, 4);
        world.workers.iter_mut().for_each(|worker| worker.timer_delay = TIMER_DELAY);
        world.run_until(world.now + 50 * seed);
        world.request(1, 1, 14_000, LONG_RUN, false);
        world.run_until(world.now + 60);
        let busy = world.workers.iter().position(|worker| !worker.runs.is_empty());
        world.cut_worker(busy.expect("a run"), 10_000);
        world.run_until(world.now + 2_500);
        assert!(world.starts.len() > 1, "seed {seed}: not started elsewhere");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
    }
}
