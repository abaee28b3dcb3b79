//! Guards against an owner that takes the runs of two fronts for one: run numbers start anew with
//! each submission of a job, so two fronts may have equal runs of a task.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, Incarnation, Member, Members, Message, Output, Owner, PollResponse, PollResult,
    RunKey, Running, StartResponse, WorkerList, WorkerStatus,
};
use cranberryhatch_schema::fleet::{Claim, Confirm, How, Run, Start, Stop};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

const NOW: Time = Time::from_ms(20_000);
/// Name of the owner, whose instance may also be a front.
const ME: &str = "e-1";
/// Front of the earlier submission, whose run is on the worker.
const EARLIER: &str = "e-2";
/// Front of the later submission.
const LATER: &str = "e-3";

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn worker() -> WorkerId {
    "w".parse().expect("an id")
}

fn run() -> Run {
    Run { job: "j".to_owned(), step: 0, task: 0, run: 1 }
}

/// An owner of one worker, whose clock shows the same time.
struct Fixture {
    owner: Owner,
    members: Members,
    listing: WorkerList,
    token: u64,
    now: Time,
}

impl Fixture {
    /// Creates an owner that has opened its worker, on which it has found these runs.
    fn new(found: &[Run]) -> Self {
        let member = |name: &str| Member {
            id: id(name),
            incarnation: 1,
            zone: "a".parse().expect("a zone"),
            cores: 250,
            draining: false,
            core: true,
            joined: true,
            version: 0,
        };
        let mut members = Members::new(member(ME));
        [EARLIER, LATER].iter().for_each(|name| members.add_peer(member(name), NOW));
        let mut listing = WorkerList::default();
        listing.replace(vec![listed("w", "a", 32_000)], NOW);
        let mut owner = Owner::new(id(ME));
        let owners = Members::new(member(ME)).owners(1);
        owner.assign(&listing, &owners, 0, NOW);
        owner.set_scheduler(Some(id("s")));
        owner.set_peers(vec![id(EARLIER), id(LATER)]);
        let mut fixture = Self { owner, members, listing, token: 0, now: NOW };
        fixture.poll(found, &mut Output::default());
        fixture
    }

    /// Creates an owner with a run of the earlier front.
    fn with_run() -> Self {
        let mut fixture = Self::new(&[]);
        let out = fixture.start(EARLIER);
        assert_eq!(Seen::of(&out), Seen { starts: 1, ..Seen::default() }, "the first start");
        let mut out = Output::default();
        let (run, response) = (RunKey::from(&run()), StartResponse::Started);
        fixture.owner.handle_start_response(&worker(), &run, response, None, NOW, &mut out);
        fixture
    }

    /// Polls the worker, which lists these runs.
    fn poll(&mut self, running: &[Run], out: &mut Output) {
        let mut polls = Output::default();
        self.owner.send_polls(self.now, &mut polls);
        for command in polls.commands {
            let Command::Poll { token, .. } = command else { continue };
            self.token = token;
            let running =
                running.iter().map(|run| Running { run: RunKey::from(run), percent: 0 }).collect();
            let status = WorkerStatus {
                clock: self.now.as_ms(),
                incarnation: Incarnation::UNKNOWN,
                running,
                ended: Vec::new(),
            };
            let response = PollResponse::Status(Box::new(status));
            let result = PollResult { worker: worker(), token, sent: self.now, response };
            self.owner.handle_poll_result(result, &self.members, self.now, out);
        }
    }

    fn request(&self) -> Start {
        Start {
            run: Some(run()),
            worker: "w".to_owned(),
            service: "svc".to_owned(),
            need: Some((&need(14_000)).into()),
            run_ms: 5_000,
            kind: "k".to_owned(),
            token: self.token,
            seen_ms: self.now.as_ms(),
            ..Start::default()
        }
    }

    fn start(&mut self, front: &str) -> Output {
        self.start_run(front, run())
    }

    fn start_run(&mut self, front: &str, run: Run) -> Output {
        let mut out = Output::default();
        let request = Start { run: Some(run), ..self.request() };
        self.owner.start(&id(front), request, self.now, &mut out);
        out
    }

    fn drain_worker(&mut self) {
        let mut worker = listed("w", "a", 32_000);
        worker.draining = true;
        self.listing.replace(vec![worker], self.now);
        self.owner.update_listed(&self.listing);
    }

    fn stop(&mut self, front: &str) -> Output {
        let mut out = Output::default();
        let stop = Stop { run: Some(run()), worker: "w".to_owned(), ..Stop::default() };
        self.owner.stop(&id(front), &stop, self.now, &mut out);
        out
    }

    fn claim(&mut self, front: &str, runs: Vec<Start>) -> Output {
        let mut out = Output::default();
        let claim = Claim { worker: "w".to_owned(), runs };
        self.owner.handle_claim(&id(front), &claim, self.now, &mut out);
        out
    }

    /// Lets `ms` milliseconds pass without a response of the worker, and ticks.
    fn tick_after(&mut self, ms: u64) -> Output {
        let mut out = Output::default();
        self.now = self.now + Span::from_ms(ms);
        let owners = self.members.owners(1);
        self.owner.tick(&self.listing, &owners, 0, self.now, &mut out);
        out
    }
}

/// What the owner did.
#[derive(Debug, Default, PartialEq, Eq)]
struct Seen {
    /// Start and stop requests to the worker.
    starts: usize,
    stops: usize,
    /// Ends that were reported to fronts.
    ends: Vec<(InstanceId, How)>,
    /// Ends that were reported to the scheduler.
    freed: usize,
}

impl Seen {
    fn of(out: &Output) -> Self {
        let mut seen = Self::default();
        for command in &out.commands {
            match command {
                Command::StartRun { .. } => seen.starts += 1,
                Command::StopRun { .. } => seen.stops += 1,
                Command::Send { to, message: Message::Ended(ended) } => {
                    seen.ends.push((to.clone(), ended.how()));
                }
                Command::Send { message: Message::Freed(_), .. } => seen.freed += 1,
                _ => {}
            }
        }
        seen
    }
}

#[test]
fn refused_start_keeps_the_capacity_of_another_run_of_its_task() {
    // Guards against a task that is granted again while its run is on the worker: the scheduler
    // knows reservations by task, and a front returns the grant of a start without room.
    struct Case {
        name: &'static str,
        task: u32,
        draining: bool,
        seen: Seen,
    }
    let refused = |how, freed| Seen { ends: vec![(id(LATER), how)], freed, ..Seen::default() };
    let cases = [
        Case { name: "other run", task: 0, draining: false, seen: refused(How::NotStarted, 0) },
        Case {
            name: "other run on a draining worker",
            task: 0,
            draining: true,
            seen: refused(How::NotStarted, 0),
        },
        Case {
            name: "other task on a draining worker",
            task: 1,
            draining: true,
            seen: refused(How::NoRoom, 1),
        },
    ];
    for Case { name, task, draining, seen } in cases {
        let mut fixture = Fixture::with_run();
        if draining {
            fixture.drain_worker();
        }
        let out = fixture.start_run(LATER, Run { task, run: 2, ..run() });
        assert_eq!(Seen::of(&out), seen, "{name}");
    }
}

#[test]
fn equal_start_of_another_front_is_refused() {
    // Guards against a front that waits for the end of a run that it does not have.
    struct Case {
        name: &'static str,
        front: &'static str,
        found: bool,
        stopped: bool,
        ends: Vec<(InstanceId, How)>,
    }
    let refused = |name| vec![(id(name), How::NotStarted)];
    let cases = [
        Case {
            name: "repeated by the same front",
            front: EARLIER,
            found: false,
            stopped: false,
            ends: Vec::new(),
        },
        Case {
            name: "other front",
            front: LATER,
            found: false,
            stopped: false,
            ends: refused(LATER),
        },
        Case {
            name: "other front, the run is being stopped",
            front: LATER,
            found: false,
            stopped: true,
            ends: refused(LATER),
        },
        Case {
            name: "front of the owner's instance, the run is unclaimed",
            front: ME,
            found: true,
            stopped: true,
            ends: refused(ME),
        },
    ];
    for Case { name, front, found, stopped, ends } in cases {
        let mut fixture = if found { Fixture::new(&[run()]) } else { Fixture::with_run() };
        // Unclaimed runs are stopped after a time-out.
        let out = if found { fixture.tick_after(300) } else { Output::default() };
        let stop = if stopped && !found { fixture.stop(EARLIER) } else { out };
        assert_eq!(Seen::of(&stop).stops, usize::from(stopped), "{name}: stops");
        let out = fixture.start(front);
        assert_eq!(Seen::of(&out), Seen { ends, ..Seen::default() }, "{name}");
        assert_eq!(fixture.owner.run_count(), 1, "{name}: runs");
    }
}

#[test]
fn stop_of_another_front_does_not_end_the_run() {
    struct Case {
        name: &'static str,
        front: &'static str,
        found: bool,
        claimed: bool,
        seen: Seen,
    }
    let stopped = || Seen { stops: 1, ..Seen::default() };
    let unknown = || Seen { ends: vec![(id(LATER), How::Stopped)], ..Seen::default() };
    let cases = [
        Case { name: "its front", front: EARLIER, found: false, claimed: false, seen: stopped() },
        Case { name: "other front", front: LATER, found: false, claimed: false, seen: unknown() },
        Case {
            name: "the run is unclaimed",
            front: LATER,
            found: true,
            claimed: false,
            seen: stopped(),
        },
        Case {
            name: "other front, further claims are awaited",
            front: LATER,
            found: true,
            claimed: true,
            seen: unknown(),
        },
    ];
    for Case { name, front, found, claimed, seen } in cases {
        let mut fixture = if found { Fixture::new(&[run()]) } else { Fixture::with_run() };
        if claimed {
            let request = fixture.request();
            fixture.claim(EARLIER, vec![request]);
        }
        assert_eq!(Seen::of(&fixture.stop(front)), seen, "{name}");
    }
}

#[test]
fn superseded_submission_of_the_owners_instance_keeps_unclaimed_runs_of_other_fronts() {
    let mut fixture = Fixture::new(&[run()]);
    let mut out = Output::default();
    fixture.owner.stop_superseded("j", &id(ME), NOW, &mut out);
    assert_eq!(Seen::of(&out), Seen::default(), "the run may be one of the later submission");
    let request = fixture.request();
    fixture.claim(LATER, vec![request]);
    fixture.claim(ME, Vec::new());
    fixture.claim(EARLIER, Vec::new());
    fixture.owner.stop_superseded("j", &id(ME), NOW, &mut out);
    assert_eq!(Seen::of(&out), Seen::default(), "it is one of the later submission");
    fixture.owner.stop_superseded("j", &id(LATER), NOW, &mut out);
    assert_eq!(Seen::of(&out).stops, 1, "it is superseded too");
}

#[test]
fn run_is_given_to_the_first_front_that_claims_it() {
    // Guards against a front that waits for the end of a run that another front has claimed since.
    let mut fixture = Fixture::new(&[run()]);
    let request = fixture.request();
    let first = fixture.claim(EARLIER, vec![request.clone()]);
    assert_eq!(Seen::of(&first), Seen::default());
    let repeated = fixture.claim(EARLIER, vec![request.clone()]);
    assert_eq!(Seen::of(&repeated), Seen::default());
    let second = fixture.claim(LATER, vec![request]);
    let ends = vec![(id(LATER), How::Stopped)];
    assert_eq!(Seen::of(&second), Seen { ends, ..Seen::default() });
    fixture.claim(ME, Vec::new());
    assert_eq!(fixture.owner.fronts(), [id(EARLIER)]);
}

#[test]
fn run_is_confirmed_by_its_own_front_only() {
    for (front, stops) in [(EARLIER, 0), (LATER, 1)] {
        let mut fixture = Fixture::with_run();
        fixture.owner.front_link_lost(&id(EARLIER));
        let mut out = Output::default();
        fixture.owner.front_reconnected(&id(EARLIER), NOW, &mut out);
        fixture.owner.handle_confirm(&id(front), &Confirm { runs: vec![run()] });
        assert_eq!(Seen::of(&fixture.tick_after(300)).stops, stops, "confirmed by {front}");
    }
}

#[test]
fn report_after_a_reconnect_lists_the_fronts_own_runs_only() {
    let mut fixture = Fixture::with_run();
    for (front, runs) in [(EARLIER, 1), (LATER, 0)] {
        let mut out = Output::default();
        fixture.owner.front_reconnected(&id(front), NOW, &mut out);
        let listed = out.commands.iter().find_map(|command| match command {
            Command::Send { message: Message::Relinked(relinked), .. } => {
                Some(relinked.running.len())
            }
            _ => None,
        });
        assert_eq!(listed, Some(runs), "{front}");
    }
}
