//! Guards against runs that hold capacity forever because their owner does not know whether they
//! started, and against refused start requests whose cause is not logged.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, End, Incarnation, LEASE, LogEvent, Member, Members, Message, Output, Owner,
    PollResponse, PollResult, RunEnd, RunKey, Running, StartRefusal, StartResponse, WorkerList,
    WorkerStatus,
};
use cranberryhatch_schema::fleet::{Claim, How, Run, Start};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

const START: Time = Time::from_ms(10_000);

/// An owner with one worker that it has not opened yet.
struct Fixture {
    owner: Owner,
    members: Members,
    listing: WorkerList,
    worker: WorkerId,
    /// Fencing token of the last poll.
    token: u64,
}

impl Fixture {
    fn new() -> Self {
        let me = Member {
            id: "e-1".parse().expect("a name"),
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
        listing.replace(vec![listed("w", "a", 32_000)], START);
        let mut owner = Owner::new(me.id);
        owner.assign(&listing, &members.owners(1), 0, START);
        Self { owner, members, listing, worker: "w".parse().expect("an id"), token: 0 }
    }

    /// Creates an owner that has opened its worker, which has no runs.
    fn opened() -> Self {
        let mut fixture = Self::new();
        fixture.poll(START, &mut Output::default());
        fixture
    }

    fn tick(&mut self, now: Time, out: &mut Output) {
        let owners = self.members.owners(1);
        self.owner.tick(&self.listing, &owners, 0, now, out);
    }

    /// Polls the worker, which reports no runs and no ends.
    fn poll(&mut self, now: Time, out: &mut Output) {
        self.poll_runs(&[], true, now, out);
    }

    /// Lets some runs end on time and then some that take five times as long; returns the time of
    /// the last end.
    fn slow_down(&mut self) -> Time {
        let mut now = START;
        let mut out = Output::default();
        for number in 1..=16 {
            let mut request = start(self.token, now);
            request.run = Some(Run { job: format!("s{number}"), step: 0, task: 0, run: 1 });
            let run = RunKey::from(request.run.as_ref().expect("a run"));
            let worker = self.worker.clone();
            self.owner.start(&"e-2".parse().expect("a name"), request, now, &mut out);
            self.owner.handle_start_response(
                &worker,
                &run,
                StartResponse::Started,
                None,
                now,
                &mut out,
            );
            now = now + Span::from_ms(if number <= 8 { 100 } else { 500 });
            let ended = vec![End { number, run, how: RunEnd::Done }];
            let (clock, incarnation) = (now.as_ms(), Incarnation::UNKNOWN);
            let seen = WorkerStatus { clock, incarnation, running: Vec::new(), ended };
            self.poll_with(&PollResponse::Status(Box::new(seen)), now, &mut out);
        }
        now
    }

    /// Polls the worker, which reports these runs or does not respond.
    fn poll_runs(&mut self, runs: &[RunKey], responds: bool, now: Time, out: &mut Output) {
        let running = |run: &RunKey| Running { run: run.clone(), percent: 0 };
        let running = runs.iter().map(running).collect();
        let seen = WorkerStatus {
            clock: now.as_ms(),
            incarnation: Incarnation::UNKNOWN,
            running,
            ended: Vec::new(),
        };
        let response =
            if responds { PollResponse::Status(Box::new(seen)) } else { PollResponse::NoResponse };
        self.poll_with(&response, now, out);
    }

    /// Polls the worker if a poll is due and gives this response.
    fn poll_with(&mut self, response: &PollResponse, now: Time, out: &mut Output) {
        for (token, _) in self.send_polls(now) {
            self.token = token;
            self.respond(response.clone(), now, now, out);
        }
    }

    /// Sends the polls that are due and returns their tokens and hold times in milliseconds.
    fn send_polls(&mut self, now: Time) -> Vec<(u64, u64)> {
        let mut polls = Output::default();
        self.owner.send_polls(now, &mut polls);
        let poll = |command: &Command| match command {
            Command::Poll { token, wait, .. } => Some((*token, wait.as_ms())),
            _ => None,
        };
        polls.commands.iter().filter_map(poll).collect()
    }

    /// Responds to a poll.
    fn respond(&mut self, response: PollResponse, sent: Time, now: Time, out: &mut Output) {
        let result = PollResult { worker: self.worker.clone(), token: self.token, sent, response };
        self.owner.handle_poll_result(result, &self.members, now, out);
    }

    /// Creates a worker with one run whose start request got this response.
    fn with_run(response: StartResponse, out: &mut Output) -> (Self, RunKey) {
        let mut fixture = Self::opened();
        let request = start(fixture.token, START);
        let run = RunKey::from(request.run.as_ref().expect("a run"));
        fixture.owner.start(&"e-2".parse().expect("a name"), request, START, out);
        fixture.owner.handle_start_response(
            &fixture.worker.clone(),
            &run,
            response,
            None,
            START,
            out,
        );
        (fixture, run)
    }
}

fn ends(out: &Output) -> usize {
    let is_end =
        |command: &&Command| matches!(command, Command::Send { message: Message::Ended(_), .. });
    out.commands.iter().filter(is_end).count()
}

/// Returns how runs ended.
fn how(out: &Output) -> Vec<How> {
    let how = |command: &Command| match command {
        Command::Send { message: Message::Ended(ended), .. } => Some(ended.how()),
        _ => None,
    };
    out.commands.iter().filter_map(how).collect()
}

fn start(token: u64, seen: Time) -> Start {
    Start {
        run: Some(Run { job: "j".to_owned(), step: 0, task: 0, run: 1 }),
        worker: "w".to_owned(),
        service: "svc".to_owned(),
        need: Some((&need(14_000)).into()),
        run_ms: 100,
        token,
        seen_ms: seen.as_ms(),
        ..Start::default()
    }
}

#[test]
fn refused_start_request_logs_its_cause() {
    struct Case {
        name: &'static str,
        change: fn(&mut Start),
        cause: Option<StartRefusal>,
    }
    let cases = [
        Case { name: "matches the grant", change: |_| {}, cause: None },
        Case {
            name: "worker of another owner",
            change: |start| start.worker = "v".to_owned(),
            cause: Some(StartRefusal::Closed),
        },
        Case {
            name: "granted with an earlier token",
            change: |start| start.token -= 1,
            cause: Some(StartRefusal::Token),
        },
        Case {
            name: "the worker's service changed",
            change: |start| start.service = "other".to_owned(),
            cause: Some(StartRefusal::Service),
        },
        Case {
            name: "the worker's labels changed",
            change: |start| start.label = "other".to_owned(),
            cause: Some(StartRefusal::Label),
        },
        Case {
            name: "exceeds the capacity of the worker",
            change: |start| start.need = Some((&need(33_000)).into()),
            cause: Some(StartRefusal::NoRoom),
        },
        Case {
            name: "heartbeat is too old",
            change: |start| start.seen_ms -= 1_000,
            cause: Some(StartRefusal::Outdated),
        },
    ];
    for Case { name, change, cause } in cases {
        let mut fixture = Fixture::opened();
        let mut request = start(fixture.token, START);
        change(&mut request);
        let mut out = Output::default();
        fixture.owner.start(&"e-2".parse().expect("a name"), request, START, &mut out);
        let found = out.commands.iter().find_map(|command| match command {
            Command::Log(LogEvent::StartRefused { cause, .. }) => Some(*cause),
            _ => None,
        });
        assert_eq!((found, ends(&out)), (cause, usize::from(cause.is_some())), "{name}");
    }
}

#[test]
fn repeated_stop_does_not_delay_the_end_of_an_unconfirmed_run() {
    let mut fixture = Fixture::opened();
    let mut out = Output::default();
    let front: InstanceId = "e-2".parse().expect("a name");
    let request = start(fixture.token, START);
    let run = RunKey::from(request.run.as_ref().expect("a run"));
    fixture.owner.start(&front, request, START, &mut out);
    assert!(
        out.commands.iter().any(|command| matches!(command, Command::StartRun { .. })),
        "a start request is sent"
    );
    let worker = fixture.worker.clone();
    fixture.owner.handle_start_response(
        &worker,
        &run,
        StartResponse::NoResponse,
        None,
        START,
        &mut out,
    );
    // A poll that was sent before the stop was accepted proves nothing.
    fixture.poll(START + Span::from_ms(1), &mut out);
    assert_eq!(ends(&out), 0, "the start may still be carried out");
    // Accepted several times, as if each response had been lost until the next poll.
    for after in [10, 60, 80, 90] {
        fixture.owner.handle_stop_response(
            &worker,
            &run,
            true,
            START + Span::from_ms(after),
            &mut out,
        );
    }
    fixture.poll(START + Span::from_ms(91), &mut out);
    assert_eq!(how(&out), [How::Unanswered], "the first poll after the stop shows that it is gone");
}

#[test]
fn run_is_not_reported_as_ended_before_the_lease_of_its_former_owner_expires() {
    let mut fixture = Fixture::new();
    let mut out = Output::default();
    let front: InstanceId = "e-2".parse().expect("a name");
    let request = start(0, Time::ZERO);
    let run = RunKey::from(request.run.as_ref().expect("a run"));
    fixture.poll_runs(std::slice::from_ref(&run), true, START, &mut out);
    // The front has not read a heartbeat of this owner yet, so no lease can be given.
    let claim = Claim { worker: "w".to_owned(), runs: vec![request] };
    fixture.owner.handle_claim(&front, &claim, START, &mut out);
    let none = Claim { worker: "w".to_owned(), runs: Vec::new() };
    fixture.owner.handle_claim(&"e-1".parse().expect("a name"), &none, START, &mut out);
    // Several missed polls in a row make the worker unresponsive.
    for after in 1..=4 {
        fixture.poll_runs(&[], false, START + Span::from_ms(10 * after), &mut out);
    }
    let until = START + LEASE;
    fixture.tick(until, &mut out);
    assert_eq!(ends(&out), 0, "the former owner's lease may hold until {until}");
    fixture.tick(until + Span::from_ms(200), &mut out);
    assert_eq!(ends(&out), 1, "every lease has expired");
}

#[test]
fn poll_hold_time_is_shorter_than_a_short_lease() {
    struct Case {
        name: &'static str,
        age: u64,
        longest: u64,
    }
    let cases = [
        Case { name: "full lease", age: 0, longest: 240 },
        Case { name: "the front was unresponsive", age: 900, longest: 155 },
    ];
    // A start with an old heartbeat is deferred while a former owner's lease may last.
    let now = START + Span::from_ms(2_000);
    for Case { name, age, longest } in cases {
        let mut fixture = Fixture::opened();
        let request = start(fixture.token, now - Span::from_ms(age));
        let run = RunKey::from(request.run.as_ref().expect("a run"));
        let mut out = Output::default();
        fixture.owner.start(&"e-2".parse().expect("a name"), request, now, &mut out);
        let (worker, clock) = (fixture.worker.clone(), Some(now.as_ms()));
        fixture.owner.handle_start_response(
            &worker,
            &run,
            StartResponse::Started,
            clock,
            now,
            &mut out,
        );
        out.commands.clear();
        fixture.owner.send_polls(now, &mut out);
        let wait = out.commands.iter().find_map(|command| match command {
            Command::Poll { wait, lease: Some(_), .. } => Some(wait.as_ms()),
            _ => None,
        });
        assert_eq!(wait, Some(longest), "{name}");
    }
}

fn stops(out: &Output) -> usize {
    let is_stop = |command: &&Command| matches!(command, Command::StopRun { .. });
    out.commands.iter().filter(is_stop).count()
}

/// Creates the status of a worker with one run.
fn seen(run: &RunKey, clock: u64, running: bool, ended: Option<RunEnd>) -> PollResponse {
    let running = running.then(|| Running { run: run.clone(), percent: 0 });
    let ended = ended.map(|how| End { number: 1, run: run.clone(), how });
    let (running, ended) = (running.into_iter().collect(), ended.into_iter().collect());
    PollResponse::Status(Box::new(WorkerStatus {
        clock,
        incarnation: Incarnation::UNKNOWN,
        running,
        ended,
    }))
}

#[test]
fn unconfirmed_start_is_resolved_by_polls_and_a_stop() {
    // Guards against runs that are stopped although they are active, runs that count as gone
    // although they may still start, and "never ran" for a run that did run.
    #[derive(Clone, Copy)]
    enum Event {
        Running,
        Missing,
        Ended(RunEnd),
        NoResponse,
        Stopped(bool),
    }
    use Event::{Ended, Missing, NoResponse, Running, Stopped};
    struct Case {
        name: &'static str,
        events: &'static [Event],
        ends: &'static [How],
        stops: usize,
    }
    let cases = [
        Case { name: "running", events: &[Running, Running], ends: &[], stops: 0 },
        Case { name: "ended", events: &[Ended(RunEnd::Done)], ends: &[How::Done], stops: 0 },
        Case { name: "missing", events: &[Missing], ends: &[], stops: 1 },
        Case { name: "stop in flight", events: &[Missing, Missing], ends: &[], stops: 1 },
        Case { name: "stop lost", events: &[Missing, Stopped(false)], ends: &[], stops: 2 },
        Case {
            name: "stop lost, still missing",
            events: &[Missing, Stopped(false), Missing],
            ends: &[],
            stops: 2,
        },
        Case { name: "stop accepted", events: &[Missing, Stopped(true)], ends: &[], stops: 1 },
        Case {
            name: "never ran",
            events: &[Missing, Stopped(true), Missing],
            ends: &[How::Unanswered],
            stops: 1,
        },
        Case {
            name: "started between the poll and the stop",
            events: &[Missing, Stopped(true), Running, Ended(RunEnd::Stopped)],
            ends: &[How::Stopped],
            stops: 1,
        },
        Case { name: "a poll is lost too", events: &[NoResponse, Running], ends: &[], stops: 0 },
        Case {
            name: "the last poll is lost",
            events: &[Missing, Stopped(true), NoResponse, Missing],
            ends: &[How::Unanswered],
            stops: 1,
        },
    ];
    for Case { name, events, ends, stops: expected } in cases {
        let mut out = Output::default();
        let (mut fixture, run) = Fixture::with_run(StartResponse::NoResponse, &mut out);
        for (event, ms) in events.iter().zip(1..) {
            let now = START + Span::from_ms(100 * ms);
            let response = match event {
                Running => seen(&run, now.as_ms(), true, None),
                Missing => seen(&run, now.as_ms(), false, None),
                Ended(how) => seen(&run, now.as_ms(), false, Some(*how)),
                NoResponse => PollResponse::NoResponse,
                Stopped(accepted) => {
                    let worker = fixture.worker.clone();
                    fixture.owner.handle_stop_response(&worker, &run, *accepted, now, &mut out);
                    continue;
                }
            };
            fixture.poll_with(&response, now, &mut out);
        }
        assert_eq!((how(&out).as_slice(), stops(&out)), (ends, expected), "{name}");
    }
}

#[test]
fn unconfirmed_start_is_polled_at_once_while_another_poll_is_held_open() {
    // Guards against a poll that is held open and delays what has to be known at once.
    let mut out = Output::default();
    let (mut fixture, run) = Fixture::with_run(StartResponse::Started, &mut out);
    let wait = |polls: Vec<(u64, u64)>| polls.iter().map(|(_, wait)| *wait).collect::<Vec<_>>();
    assert_eq!(wait(fixture.send_polls(START)), [240], "no losses");
    let mut request = start(fixture.token, START);
    let second = Run { job: "j".to_owned(), step: 0, task: 1, run: 1 };
    request.run = Some(second.clone());
    fixture.owner.start(&"e-2".parse().expect("a name"), request, START, &mut out);
    let (worker, now) = (fixture.worker.clone(), START + Span::from_ms(30));
    fixture.owner.handle_start_response(
        &worker,
        &RunKey::from(&second),
        StartResponse::NoResponse,
        None,
        now,
        &mut out,
    );
    assert_eq!(wait(fixture.send_polls(now)), [0], "in addition to the one that is held open");
    assert_eq!(
        wait(fixture.send_polls(now + Span::from_ms(1))),
        [0; 0],
        "only one additional poll"
    );
    // The later poll gets its response first; the run that the earlier response lists has ended
    // since.
    let ended = seen(&run, 50, false, Some(RunEnd::Done));
    fixture.respond(ended, now, START + Span::from_ms(40), &mut out);
    let before = stops(&out);
    fixture.respond(seen(&run, 40, true, None), START, START + Span::from_ms(41), &mut out);
    assert_eq!((how(&out), stops(&out)), (vec![How::Done], before), "an older response is ignored");
}

#[test]
fn worker_is_closed_after_several_missed_polls() {
    struct Case {
        name: &'static str,
        answers: &'static [bool],
        closed: bool,
    }
    let cases = [
        Case { name: "one", answers: &[false], closed: false },
        Case { name: "three", answers: &[false; 3], closed: false },
        Case { name: "four", answers: &[false; 4], closed: true },
        Case { name: "not in a row", answers: &[false, false, true, false, false], closed: false },
        Case {
            name: "responds again",
            answers: &[false, false, false, false, true],
            closed: false,
        },
    ];
    for Case { name, answers, closed } in cases {
        let mut out = Output::default();
        let (mut fixture, run) = Fixture::with_run(StartResponse::Started, &mut out);
        let mut now = START;
        for answers in answers {
            // A poll is repeated at once; at an unresponsive worker, after 100 ms.
            now = now + Span::from_ms(100);
            fixture.poll_runs(std::slice::from_ref(&run), *answers, now, &mut out);
        }
        assert_eq!(fixture.owner.worker_counts(), (usize::from(!closed), 1), "{name}");
    }
}

#[test]
fn worker_is_unresponsive_only_while_polls_get_no_response() {
    // Guards against workers that become unresponsive by a single lost poll because no poll was
    // sent for seconds or because this process was paused.
    struct Case {
        name: &'static str,
        busy: bool,
        /// Time at which the first lost poll is sent, and times at which the losses are noticed.
        sent: u64,
        lost: &'static [u64],
        /// Period without ticks.
        pause: std::ops::Range<u64>,
        closed: bool,
    }
    let case =
        |name, busy, sent, lost, pause, closed| Case { name, busy, sent, lost, pause, closed };
    let cases = [
        case("half of a lease", true, 0, &[440, 500], 0..0, true),
        case("less than half of a lease", true, 0, &[300, 460], 0..0, false),
        case("no poll was sent", false, 3_000, &[3_060], 0..0, false),
        case("idle, polled for half of a lease", false, 3_000, &[3_200, 3_480], 0..0, true),
        case("paused while a poll was pending", true, 0, &[620], 20..600, false),
        case("paused between two polls", true, 0, &[60, 660], 60..600, false),
        case("unresponsive after a pause", true, 0, &[620, 1_120], 20..600, true),
    ];
    for Case { name, busy, sent, lost, pause, closed } in cases {
        let mut fixture = Fixture::opened();
        if busy {
            (fixture, _) = Fixture::with_run(StartResponse::Started, &mut Output::default());
        }
        let mut sent_at = None;
        let last = lost.last().copied().unwrap_or_default();
        for after in (0..=last).step_by(20) {
            let now = START + Span::from_ms(after);
            let mut out = Output::default();
            if let (Some(at), true) = (sent_at, lost.contains(&after)) {
                sent_at = None;
                fixture.respond(PollResponse::NoResponse, at, now, &mut out);
            }
            if !pause.contains(&after) {
                fixture.tick(now, &mut out);
            }
            for command in &out.commands {
                if let Command::Poll { token, .. } = command {
                    assert!(after >= sent, "{name}: a poll at {after} ms");
                    (fixture.token, sent_at) = (*token, sent_at.or(Some(now)));
                }
            }
        }
        assert_eq!(fixture.owner.worker_counts(), (usize::from(!closed), 1), "{name}");
    }
}

#[test]
fn unconfirmed_start_outlasts_its_lease() {
    // Guards against a second run on workers where the lease of a run counts from the arrival of
    // its start request.
    let mut out = Output::default();
    let (mut fixture, _) = Fixture::with_run(StartResponse::NoResponse, &mut out);
    for after in 1..=4 {
        fixture.poll_runs(&[], false, START + Span::from_ms(100 * after), &mut out);
    }
    // The last of the polls carried a lease too.
    let last = START + Span::from_ms(400);
    fixture.tick(last + Span::from_ms(12_999), &mut out);
    assert_eq!(ends(&out), 0, "no stop was accepted");
    fixture.tick(last + Span::from_secs(13), &mut out);
    assert_eq!(how(&out), [How::Lost], "no request takes effect that late");
}

#[test]
fn run_of_a_silent_worker_outlasts_the_polls_that_may_still_extend_its_lease() {
    // Guards against a second run while a poll that got no response is carried out late, and
    // against runs of a worker that loses power which are kept for longer than its last lease.
    struct Case {
        name: &'static str,
        /// Polls before the worker falls silent: the time in milliseconds, and whether it responds.
        polls: &'static [(u64, bool)],
        /// Number of leases by which the end is postponed: one for each lost poll, the last four
        /// included, if an earlier one can arrive in time.
        leases: u64,
    }
    let cases = [
        Case { name: "power loss", polls: &[(3_000, true)], leases: 0 },
        Case { name: "earlier loss", polls: &[(1_000, false), (3_000, true)], leases: 5 },
        Case {
            name: "two earlier losses",
            polls: &[(900, false), (1_000, false), (3_000, true)],
            leases: 6,
        },
        Case { name: "recent loss", polls: &[(2_900, false), (3_000, true)], leases: 0 },
    ];
    for case in cases {
        let mut out = Output::default();
        let (mut fixture, run) = Fixture::with_run(StartResponse::Started, &mut out);
        let front: InstanceId = "e-2".parse().expect("a name");
        let at = |ms: u64| START + Span::from_ms(ms);
        for (sent, responds) in case.polls {
            fixture.owner.heartbeat_seen(&front, at(*sent), at(*sent));
            fixture.poll_runs(std::slice::from_ref(&run), *responds, at(*sent), &mut out);
        }
        for sent in [3_240, 3_300, 3_400, 3_500] {
            fixture.owner.heartbeat_seen(&front, at(sent), at(sent));
            fixture.poll_runs(&[], false, at(sent), &mut out);
        }
        assert_eq!(fixture.owner.worker_counts(), (0, 1), "{}: the worker is silent", case.name);
        let end = at(3_500) + LEASE + Span::from_ms(90) + Span::from_ms(1_040 * case.leases);
        fixture.tick(end - Span::from_ms(1), &mut out);
        assert_eq!(ends(&out), 0, "{}", case.name);
        fixture.tick(end, &mut out);
        assert_eq!(how(&out), [How::Lost], "{}", case.name);
    }
}

#[test]
fn run_that_a_late_start_began_outlasts_the_lease_that_it_got_then() {
    // Guards against a second run where the lease of a late start counts from its arrival, and its
    // worker falls silent before another lease.
    let mut out = Output::default();
    let (mut fixture, run) = Fixture::with_run(StartResponse::NoResponse, &mut out);
    let at = |ms: u64| START + Span::from_ms(ms);
    fixture.poll_runs(&[], true, at(100), &mut out);
    for sent in [2_400, 2_500, 2_600, 2_700] {
        fixture.poll_runs(&[], false, at(sent), &mut out);
    }
    fixture.poll_runs(std::slice::from_ref(&run), true, at(2_800), &mut out);
    for sent in [2_900, 3_000, 3_100, 3_200] {
        fixture.poll_runs(&[], false, at(sent), &mut out);
    }
    assert_eq!(fixture.owner.worker_counts(), (0, 1), "the worker is silent");
    let end = at(2_800) + LEASE + Span::from_ms(90);
    fixture.tick(end - Span::from_ms(1), &mut out);
    assert_eq!(ends(&out), 0, "the start may have been carried out just before the poll");
    fixture.tick(end, &mut out);
    assert_eq!(how(&out), [How::Lost]);
}

#[test]
fn workers_whose_requests_may_act_after_the_loss_of_their_owner_are_named() {
    // Guards against fronts that start a run again while a late request of its lost owner may start
    // it, or extend its lease.
    struct Case {
        name: &'static str,
        start: Option<StartResponse>,
        /// Time of a poll after the start that gets no response, in milliseconds.
        lost: Option<u64>,
        /// Time of the heartbeat.
        at: u64,
        named: bool,
    }
    let usual =
        Case { name: "", start: Some(StartResponse::Started), lost: None, at: 100, named: false };
    let cases = [
        Case { name: "idle", start: None, ..usual },
        Case { name: "start answered", ..usual },
        Case {
            name: "start unanswered",
            start: Some(StartResponse::NoResponse),
            named: true,
            ..usual
        },
        Case { name: "recent poll", lost: Some(100), at: 799, ..usual },
        Case {
            name: "poll that may arrive in time",
            lost: Some(100),
            at: 800,
            named: true,
            ..usual
        },
    ];
    for case in cases {
        let mut out = Output::default();
        let mut fixture = match case.start {
            Some(response) => Fixture::with_run(response, &mut out).0,
            None => Fixture::opened(),
        };
        if let Some(sent) = case.lost {
            fixture.poll_runs(&[], false, START + Span::from_ms(sent), &mut out);
        }
        let named = fixture.owner.unanswered_workers(START + Span::from_ms(case.at));
        assert_eq!(!named.is_empty(), case.named, "{}", case.name);
    }
}

#[test]
fn responses_unread_during_a_pause_do_not_count_as_lost() {
    // Guards against workers that become unresponsive because the instance itself was paused.
    struct Case {
        name: &'static str,
        /// Times of the ticks after the start, in milliseconds.
        ticks: &'static [u64],
        closed: bool,
    }
    let cases = [
        Case { name: "ticks on time", ticks: &[0, 20, 40, 60, 80, 100, 120], closed: true },
        Case { name: "no tick for 100 ms", ticks: &[0], closed: false },
    ];
    for Case { name, ticks, closed } in cases {
        let mut out = Output::default();
        let (mut fixture, _) = Fixture::with_run(StartResponse::Started, &mut out);
        fixture.send_polls(START);
        for after in ticks {
            fixture.tick(START + Span::from_ms(*after), &mut out);
        }
        fixture.respond(PollResponse::NoResponse, START, START + Span::from_ms(100), &mut out);
        for after in 101..=103 {
            fixture.poll_with(&PollResponse::NoResponse, START + Span::from_ms(after), &mut out);
        }
        assert_eq!(fixture.owner.worker_counts(), (usize::from(!closed), 1), "{name}");
    }
}

#[test]
fn run_stopped_for_its_latency_target_does_not_pause_its_worker() {
    // Guards against workers that are paused as stalled only because a job is short of time.
    struct Case {
        name: &'static str,
        slow: bool,
        after: u64,
        percent: u32,
        due_ms: u32,
        front: &'static [How],
        scheduler: &'static [How],
    }
    let case = |name, slow, after, percent, due_ms, front, scheduler| Case {
        name,
        slow,
        after,
        percent,
        due_ms,
        front,
        scheduler,
    };
    let cases = [
        case("a long run on a worker of normal speed", false, 240, 10, 1_000, &[], &[]),
        case("late", true, 240, 10, 1_000, &[How::Stalled], &[How::Stopped]),
        case("no progress reported yet", true, 240, 0, 1_000, &[], &[]),
        case("overdue without progress", false, 900, 0, 1_000, &[How::Stalled], &[How::Stalled]),
    ];
    for Case { name, slow, after, percent, due_ms, front, scheduler } in cases {
        let mut fixture = Fixture::opened();
        let begin = if slow { fixture.slow_down() } else { START };
        fixture.owner.set_scheduler(Some("e-3".parse().expect("a name")));
        let mut out = Output::default();
        let worker = fixture.worker.clone();
        let mut runs = Vec::new();
        // Ten starts earn one restart.
        for task in 0..10 {
            let mut request = start(fixture.token, begin);
            request.run = Some(Run { job: "j".to_owned(), step: 0, task, run: 1 });
            request.need = Some((&need(1_000)).into());
            (request.run_ms, request.due_ms) = if task == 0 { (500, due_ms) } else { (10_000, 0) };
            let run = RunKey::from(request.run.as_ref().expect("a run"));
            fixture.owner.start(&"e-2".parse().expect("a name"), request, begin, &mut out);
            fixture.owner.handle_start_response(
                &worker,
                &run,
                StartResponse::Started,
                None,
                begin,
                &mut out,
            );
            runs.push(run);
        }
        let now = begin + Span::from_ms(after);
        let running = |run: &RunKey| Running { run: run.clone(), percent };
        let running = runs.iter().map(running).collect();
        let (clock, incarnation, ended) = (now.as_ms(), Incarnation::UNKNOWN, Vec::new());
        let listed = WorkerStatus { clock, incarnation, running, ended };
        fixture.poll_with(&PollResponse::Status(Box::new(listed)), now, &mut out);
        assert_eq!(stops(&out), front.len(), "{name}");
        let running = |run: &RunKey| Running { run: run.clone(), percent };
        let stopped = if front.is_empty() { 0 } else { 1 };
        let end = End { number: 100, run: runs[0].clone(), how: RunEnd::Stopped };
        let listed = WorkerStatus {
            incarnation: Incarnation::UNKNOWN,
            clock: now.as_ms() + 20,
            running: runs.iter().skip(stopped).map(running).collect(),
            ended: vec![end].into_iter().take(stopped).collect(),
        };
        let now = now + Span::from_ms(20);
        fixture.poll_with(&PollResponse::Status(Box::new(listed)), now, &mut out);
        let freed = |command: &Command| match command {
            Command::Send { message: Message::Freed(freed), .. } => Some(freed.how()),
            _ => None,
        };
        let freed: Vec<How> = out.commands.iter().filter_map(freed).collect();
        assert_eq!((how(&out).as_slice(), freed.as_slice()), (front, scheduler), "{name}");
    }
}

#[test]
fn run_of_an_earlier_incarnation_is_not_reported_as_never_run() {
    // Guards against "never ran" for a run that the worker's earlier incarnation carried out, and
    // against requests that use the end numbers and the clock of that incarnation.
    let mut out = Output::default();
    let (mut fixture, run) = Fixture::with_run(StartResponse::NoResponse, &mut out);
    let worker = fixture.worker.clone();
    let at = |ms: u64| START + Span::from_ms(ms);
    let numbered = Run { job: "k".to_owned(), step: 0, task: 0, run: 1 };
    let ended = |number: u64, run: &RunKey, clock: u64| {
        let end = End { number, run: run.clone(), how: RunEnd::Done };
        PollResponse::Status(Box::new(WorkerStatus {
            clock,
            incarnation: Incarnation::UNKNOWN,
            running: Vec::new(),
            ended: vec![end],
        }))
    };
    fixture.poll_with(&ended(7, &RunKey::from(&numbered), at(100).as_ms()), at(100), &mut out);
    fixture.owner.handle_stop_response(&worker, &run, true, at(200), &mut out);
    fixture.poll_with(&seen(&run, 50, false, None), at(300), &mut out);
    assert_eq!(how(&out), [], "the start may still be carried out in the new incarnation");
    assert_eq!(stops(&out), 2, "the new incarnation does not know of the stop");
    // The new incarnation accepts the stop request and does not list the run.
    fixture.owner.handle_stop_response(&worker, &run, true, at(310), &mut out);
    let mut polls = Output::default();
    fixture.owner.send_polls(at(320), &mut polls);
    let acked = polls.commands.iter().find_map(|command| match command {
        Command::Poll { acked, .. } => Some(*acked),
        _ => None,
    });
    assert_eq!(acked, Some(0), "ends are numbered from 1 again");
    fixture.respond(seen(&run, 70, false, None), at(320), at(320), &mut out);
    assert_eq!(how(&out), [How::Stopped], "it may have run in the earlier incarnation");
}

#[test]
fn new_incarnation_ends_the_runs_of_the_earlier_one() {
    // Guards against runs that stay assigned after their worker has restarted, and against leases
    // that are computed with the clock of the earlier incarnation.
    struct Case {
        name: &'static str,
        /// Clock of the worker in the response to a second start request; `None` if a poll shows
        /// the new incarnation.
        started: Option<u64>,
    }
    let cases = [
        Case { name: "a poll shows it", started: None },
        Case { name: "a start response shows it", started: Some(30) },
    ];
    for Case { name, started } in cases {
        let mut out = Output::default();
        let (mut fixture, run) = Fixture::with_run(StartResponse::Started, &mut out);
        let at = |ms: u64| START + Span::from_ms(ms);
        fixture.poll_runs(std::slice::from_ref(&run), true, at(10), &mut out);
        let second = Run { job: "j".to_owned(), step: 0, task: 1, run: 1 };
        let second = RunKey::from(&second);
        if started.is_some() {
            let mut request = start(fixture.token, at(10));
            request.run = Some(Run { job: "j".to_owned(), step: 0, task: 1, run: 1 });
            fixture.owner.start(&"e-2".parse().expect("a name"), request, at(10), &mut out);
            let worker = fixture.worker.clone();
            fixture.owner.handle_start_response(
                &worker,
                &second,
                StartResponse::Started,
                started,
                at(30),
                &mut out,
            );
        }
        let mut polls = Output::default();
        fixture.owner.send_polls(at(40), &mut polls);
        let lease = polls.commands.iter().find_map(|command| match command {
            Command::Poll { lease, .. } => lease.as_ref().map(|lease| lease.until),
            _ => None,
        });
        let is_new = lease.is_some_and(|until| until < at(0).as_ms());
        assert_eq!(is_new, started.is_some(), "{name}: lease until {lease:?}");
        fixture.respond(seen(&second, 40, started.is_some(), None), at(40), at(40), &mut out);
        assert_eq!(how(&out), [How::Crashed], "{name}");
        assert_eq!(fixture.owner.run_count(), usize::from(started.is_some()), "{name}");
    }
}

#[test]
fn run_whose_end_is_not_listed_yet_does_not_count_as_gone() {
    // Guards against a run that is done and counts as stopped: a worker lists 500 ends at a time.
    let mut out = Output::default();
    let (mut fixture, run) = Fixture::with_run(StartResponse::Started, &mut out);
    let at = |ms: u64| START + Span::from_ms(ms);
    let other = RunKey::from(&Run { job: "k".to_owned(), step: 0, task: 0, run: 1 });
    let status = |clock: Time, ended: Vec<End>| {
        let status = WorkerStatus { clock: clock.as_ms(), ended, ..WorkerStatus::default() };
        PollResponse::Status(Box::new(status))
    };
    let end = |number: u64, run: &RunKey| End { number, run: run.clone(), how: RunEnd::Done };
    let first = (1..=500).map(|number| end(number, &other)).collect();
    fixture.poll_with(&status(at(10), first), at(10), &mut out);
    assert_eq!(how(&out), [], "further ends may follow");
    fixture.poll_with(&status(at(20), vec![end(501, &run)]), at(20), &mut out);
    assert_eq!(how(&out), [How::Done]);
}

#[test]
fn unconfirmed_start_is_kept_until_the_last_lease_cannot_take_effect() {
    // Guards against a second run where a delayed poll renews the lease of a run that started late.
    let mut out = Output::default();
    let (mut fixture, _) = Fixture::with_run(StartResponse::NoResponse, &mut out);
    let front: InstanceId = "e-2".parse().expect("a name");
    let leased = START + Span::from_ms(6_000);
    fixture.owner.heartbeat_seen(&front, leased, leased);
    for after in 0..4 {
        fixture.poll_runs(&[], false, leased + Span::from_ms(100 * after), &mut out);
    }
    assert_eq!(fixture.owner.worker_counts(), (0, 1), "the worker is unresponsive");
    let last = leased + Span::from_ms(300);
    fixture.tick(last + Span::from_ms(12_900), &mut out);
    assert_eq!(ends(&out), 0, "the last poll may have renewed the lease");
    fixture.tick(last + Span::from_secs(13), &mut out);
    assert_eq!(how(&out), [How::Lost], "no request takes effect that late");
}

#[test]
fn only_the_run_that_started_last_is_reported_as_the_cause_of_a_crash() {
    struct Case {
        name: &'static str,
        response: PollResponse,
        // Time of the first of these responses, in milliseconds after the start.
        from: u64,
        draining: bool,
        ends: [How; 2],
    }
    let refused = PollResponse::Refused;
    let cases = [
        Case {
            name: "crash",
            response: refused.clone(),
            from: 70,
            draining: false,
            ends: [How::Lost, How::Crashed],
        },
        Case {
            name: "crash after the lease, as an owner that was paused sees it",
            response: refused.clone(),
            from: 1_400,
            draining: false,
            ends: [How::Lost; 2],
        },
        Case {
            name: "cut",
            response: PollResponse::NoResponse,
            from: 70,
            draining: false,
            ends: [How::Lost; 2],
        },
        Case {
            name: "drained",
            response: refused,
            from: 70,
            draining: true,
            ends: [How::Stopped; 2],
        },
    ];
    for Case { name, response, from, draining, ends } in cases {
        let mut out = Output::default();
        let (mut fixture, first) = Fixture::with_run(StartResponse::Started, &mut out);
        let at = |ms: u64| START + Span::from_ms(ms);
        let mut request = start(fixture.token, at(50));
        request.run = Some(Run { job: "j".to_owned(), step: 0, task: 1, run: 1 });
        let second = RunKey::from(request.run.as_ref().expect("a run"));
        let (worker, front) = (fixture.worker.clone(), "e-2".parse().expect("a name"));
        fixture.owner.start(&front, request, at(50), &mut out);
        let started = StartResponse::Started;
        fixture.owner.handle_start_response(&worker, &second, started, None, at(50), &mut out);
        fixture.poll_runs(&[first, second], true, at(60), &mut out);
        let mut listed = listed("w", "a", 32_000);
        listed.draining = draining;
        fixture.listing.replace(vec![listed], at(60));
        fixture.owner.update_listed(&fixture.listing);
        for after in 0..4 {
            fixture.poll_with(&response, at(from + 10 * after), &mut out);
        }
        out.commands.clear();
        fixture.tick(at(1_500), &mut out);
        assert_eq!(how(&out), ends, "{name}");
    }
}

#[test]
fn status_read_before_a_start_in_the_same_millisecond_does_not_end_the_run() {
    let mut fixture = Fixture::opened();
    let mut out = Output::default();
    let front: InstanceId = "e-2".parse().expect("a name");
    let worker = fixture.worker.clone();
    let request = |task: u32, now: Time, token| {
        let mut request = start(token, now);
        request.run = Some(Run { job: "j".to_owned(), step: 0, task, run: 1 });
        let run = RunKey::from(request.run.as_ref().expect("a run"));
        (request, run)
    };
    let (a, run_a) = request(1, START, fixture.token);
    fixture.owner.start(&front, a, START, &mut out);
    fixture.owner.handle_start_response(
        &worker,
        &run_a,
        StartResponse::Started,
        None,
        START,
        &mut out,
    );
    let t1 = START + Span::from_ms(1);
    assert_eq!(fixture.send_polls(t1).len(), 1);
    let t2 = START + Span::from_ms(2);
    let (b, run_b) = request(2, t2, fixture.token);
    fixture.owner.start(&front, b, t2, &mut out);
    let t3 = START + Span::from_ms(32);
    fixture.owner.handle_start_response(
        &worker,
        &run_b,
        StartResponse::NoResponse,
        None,
        t3,
        &mut out,
    );
    assert_eq!(fixture.send_polls(t3).len(), 1);
    // In one millisecond: the second poll, the start, and the end of a run, which answers the first.
    let clock = (START + Span::from_ms(33)).as_ms();
    let status = |running: &[&RunKey], ended: Vec<End>| {
        let running =
            running.iter().map(|run| Running { run: (*run).clone(), percent: 0 }).collect();
        PollResponse::Status(Box::new(WorkerStatus {
            clock,
            incarnation: Incarnation::UNKNOWN,
            running,
            ended,
        }))
    };
    let t4 = START + Span::from_ms(34);
    let ended = vec![End { number: 1, run: run_a.clone(), how: RunEnd::Done }];
    fixture.respond(status(&[&run_b], ended), t1, t4, &mut out);
    fixture.respond(status(&[&run_a], Vec::new()), t3, START + Span::from_ms(35), &mut out);
    assert_eq!(how(&out), [How::Done], "the second run goes on");
}

#[test]
fn largest_clock_of_a_worker_does_not_overflow_the_end_of_a_lease() {
    let mut fixture = Fixture::new();
    let (clock, incarnation) = (u64::MAX, Incarnation::UNKNOWN);
    let seen = WorkerStatus { clock, incarnation, running: Vec::new(), ended: Vec::new() };
    fixture.poll_with(&PollResponse::Status(Box::new(seen)), START, &mut Output::default());
    let now = START + Span::from_ms(50);
    let mut out = Output::default();
    fixture.owner.start(&"e-2".parse().expect("a name"), start(fixture.token, now), now, &mut out);
    let until = out.commands.iter().find_map(|command| match command {
        Command::StartRun { lease, .. } => Some(lease.until),
        _ => None,
    });
    assert_eq!(until, Some(u64::MAX));
}
