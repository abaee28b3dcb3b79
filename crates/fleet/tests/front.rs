//! Guards against a second run of a task whose first run may still be running.

mod common;

use std::sync::Arc;

use common::{kind_settings, need};
use cranberryhatch_fleet::{
    ACCEPT_PERIOD, Command, Front, Job, LogEvent, Member, Message, Node, NotRunCause, Outcome,
    Output, OwnerRequests, RUN_EXPIRY, Step,
};
use cranberryhatch_schema::fleet::{
    Beat, Ended, Grant, How, Obeying, Place, Refusal, Relinked, Run, Takeover,
};
use cranberryhatch_types::{InstanceId, Span, Time};

const SENT: Time = Time::from_ms(10_000);
/// Time from a shutdown request until the process is killed.
const GRACE: Span = Span::from_secs(6);

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn job(limit: u64) -> Job {
    let step = Step { tasks: 1, need: need(14_000), ..Step::default() };
    Job {
        name: "j".to_owned(),
        settings: Arc::new(kind_settings()),
        payload: "x".into(),
        steps: vec![step],
        arrived: SENT,
        deadline: SENT + Span::from_ms(limit),
    }
}

/// Returns a front that has requested capacity for its only task.
fn waiting(out: &mut Output) -> Front {
    let mut front = Front::new(id("me"), "a".to_owned());
    front.set_scheduler(Some(id("s")), SENT, out);
    front.submit(1, job(60_000), SENT, out);
    front
}

/// Returns a front that started its only task at `SENT` on worker `w` of owner `o` under token 7.
fn placed(out: &mut Output) -> Front {
    let mut front = waiting(out);
    grant(&mut front, 7, SENT, out);
    out.commands.clear();
    front
}

fn grant(front: &mut Front, token: u64, now: Time, out: &mut Output) {
    let (worker, owner) = ("w".to_owned(), "o".to_owned());
    let place = Place { task: 0, worker, owner, run_ms: 100, token, due_ms: 0, ..Place::default() };
    let grant = Grant { job: "j".to_owned(), step: 0, places: vec![place] };
    front.granted(&id("s"), grant, |_| Some(now), now, out);
}

/// Grants capacity at an owner that the front cannot reach.
fn grant_unreachable(front: &mut Front, now: Time, out: &mut Output) {
    let place = Place { worker: "w".to_owned(), owner: "o".to_owned(), ..Place::default() };
    let grant = Grant { job: "j".to_owned(), step: 0, places: vec![place] };
    front.granted(&id("s"), grant, |_| None, now, out);
}

fn asks(out: &Output) -> usize {
    let is_ask =
        |command: &&Command| matches!(command, Command::Send { message: Message::Ask(_), .. });
    out.commands.iter().filter(is_ask).count()
}

fn member(name: &str, joined: bool) -> Member {
    Member {
        id: id(name),
        incarnation: 1,
        zone: "a".parse().expect("a zone"),
        cores: 250,
        draining: false,
        core: true,
        joined,
        version: 0,
    }
}

fn expired(out: Output) -> Option<LogEvent> {
    out.commands.into_iter().find_map(|command| match command {
        Command::Log(note @ LogEvent::Expired { .. }) => Some(note),
        _ => None,
    })
}

fn run() -> Run {
    Run { job: "j".to_owned(), step: 0, task: 0, run: 1 }
}

#[test]
fn grant_at_unreachable_owner_is_returned_and_requested_again() {
    let mut out = Output::default();
    let mut front = waiting(&mut out);
    out.commands.clear();
    grant_unreachable(&mut front, SENT, &mut out);
    assert_eq!(asks(&out), 1);
    let returned = out.commands.iter().any(|command| {
        let Command::Send { message: Message::Unused(unused), .. } = command else { return false };
        // Otherwise the same capacity would be granted again at once.
        unused.refused
    });
    assert!(returned);
}

/// Report of an owner about the run after a reconnect, and the expected reaction.
struct Relink {
    name: &'static str,
    running: bool,
    ended: bool,
    /// When the previous link had come up, in milliseconds.
    up: u64,
    /// Whether the owner found the run in a takeover, and the claim may be lost.
    found: bool,
    /// Fencing token of the owner at the worker.
    token: u64,
    confirmed: bool,
    asked: bool,
}

#[test]
fn run_after_reconnect_is_confirmed_or_ended_per_owner_report() {
    let before = SENT.as_ms() - 1;
    let usual = Relink {
        name: "",
        running: false,
        ended: false,
        up: before,
        found: false,
        token: 7,
        confirmed: false,
        asked: false,
    };
    let cases = [
        Relink { name: "it is running", running: true, confirmed: true, ..usual },
        Relink { name: "it ended", ended: true, asked: true, ..usual },
        Relink { name: "its start was lost", asked: true, ..usual },
        Relink { name: "it was started on an earlier link", up: before + 2, ..usual },
        Relink { name: "its claim may be lost", found: true, token: 8, ..usual },
        Relink { name: "its worker has another owner", token: 9, ..usual },
    ];
    for Relink { name, running, ended, up, found, token, confirmed, asked } in cases {
        let mut out = Output::default();
        let mut front = placed(&mut out);
        if found {
            let found = Takeover {
                worker: "w".to_owned(),
                running: vec![run()],
                ended: Vec::new(),
                token: 8,
                born_ms: 0,
            };
            front.takeover(&id("o"), &found, SENT, SENT, &mut out);
        }
        front.owner_unreachable(&id("o"), &OwnerRequests::default(), SENT, &mut out);
        out.commands.clear();
        let end = Ended {
            run: Some(run()),
            worker: "w".to_owned(),
            how: How::Stopped.into(),
            took_ms: 5,
            ..Ended::default()
        };
        let relinked = Relinked {
            running: running.then(run).into_iter().collect(),
            ended: ended.then_some(end).into_iter().collect(),
            obeying: vec![Obeying { worker: "w".to_owned(), token }],
        };
        front.relinked(&id("o"), &relinked, Time::from_ms(up), SENT, &mut out);
        let is_confirm = |command: &Command| {
            matches!(command, Command::Send { message: Message::Confirm(_), .. })
        };
        assert_eq!(out.commands.iter().any(is_confirm), confirmed, "{name}: confirmed");
        assert_eq!(asks(&out) > 0, asked, "{name}: asked again");
    }
}

#[test]
fn lost_run_expires_from_the_later_of_its_start_and_the_owners_last_message() {
    struct Case {
        name: &'static str,
        heard: u64,
        gone: u64,
    }
    let ms = RUN_EXPIRY.as_ms();
    let cases = [
        Case { name: "silent since before the start", heard: 7_000, gone: 10_000 + ms },
        Case { name: "heard after the start", heard: 10_400, gone: 10_400 + ms },
    ];
    for Case { name, heard, gone } in cases {
        let mut out = Output::default();
        let mut front = placed(&mut out);
        front.owner_unreachable(
            &id("o"),
            &OwnerRequests::default(),
            Time::from_ms(heard),
            &mut out,
        );
        front.tick(Time::from_ms(gone - 1), &mut out);
        assert_eq!(asks(&out), 0, "{name}: requested again too soon");
        front.tick(Time::from_ms(gone), &mut out);
        assert_eq!(asks(&out), 1, "{name}: not requested again");
    }
}

#[test]
fn takeover_report_ends_a_run_only_with_a_newer_token() {
    struct Case {
        name: &'static str,
        token: u64,
        running: bool,
        asks: usize,
    }
    let cases = [
        Case { name: "an earlier owner reports late", token: 6, running: false, asks: 0 },
        Case { name: "the same owner", token: 7, running: false, asks: 0 },
        Case { name: "a later owner does not find it", token: 8, running: false, asks: 1 },
        Case { name: "a later owner finds it", token: 8, running: true, asks: 0 },
    ];
    for Case { name, token, running, asks: expected } in cases {
        let mut out = Output::default();
        let mut front = placed(&mut out);
        let running = if running { vec![run()] } else { Vec::new() };
        let found =
            Takeover { worker: "w".to_owned(), running, ended: Vec::new(), token, born_ms: 0 };
        front.takeover(&id("p"), &found, SENT, SENT, &mut out);
        assert_eq!(asks(&out), expected, "{name}");
    }
}

#[test]
fn end_inferred_by_a_previous_owner_starts_no_second_run() {
    struct Case {
        name: &'static str,
        from: &'static str,
        how: How,
        asks: usize,
        answered: bool,
    }
    let case = |name, from, how| Case { name, from, how, asks: 0, answered: false };
    let cases = [
        case("the previous owner's lease has expired", "o", How::Stopped),
        case("the previous owner's start was refused", "o", How::NoRoom),
        Case { asks: 1, ..case("the current owner saw its end", "p", How::Stopped) },
        Case {
            answered: true,
            ..case("the worker reported it to the previous owner", "o", How::Done)
        },
    ];
    for Case { name, from, how, asks: expected, answered } in cases {
        let mut out = Output::default();
        let mut front = placed(&mut out);
        let running = vec![run()];
        let found =
            Takeover { worker: "w".to_owned(), running, ended: Vec::new(), token: 8, born_ms: 0 };
        front.takeover(&id("p"), &found, SENT, SENT, &mut out);
        let ended = Ended {
            run: Some(run()),
            worker: "w".to_owned(),
            how: how.into(),
            took_ms: 9,
            ..Ended::default()
        };
        front.ended(&id(from), &ended, SENT, &mut out);
        assert_eq!(asks(&out), expected, "{name}");
        let is_answer = |command: &Command| matches!(command, Command::Answer { .. });
        assert_eq!(out.commands.iter().any(is_answer), answered, "{name}");
    }
}

#[test]
fn end_of_an_earlier_submissions_run_on_another_worker_starts_no_second_run() {
    struct Case {
        name: &'static str,
        from: &'static str,
        how: How,
    }
    let cases = [
        Case { name: "stopped, reported by the owner of both", from: "o", how: How::Stopped },
        Case { name: "lost, reported by the owner of both", from: "o", how: How::Lost },
        Case { name: "done, reported by the owner of both", from: "o", how: How::Done },
        Case { name: "failed, reported by another owner", from: "p", how: How::Failed },
        Case { name: "done, reported by another owner", from: "p", how: How::Done },
    ];
    for Case { name, from, how } in cases {
        let mut out = Output::default();
        let mut front = placed(&mut out);
        let worker = "another".to_owned();
        let ended =
            Ended { run: Some(run()), worker, how: how.into(), took_ms: 9, ..Ended::default() };
        front.ended(&id(from), &ended, SENT, &mut out);
        assert!(out.commands.is_empty(), "{name}: {:?}", out.commands);

        front.owner_unreachable(&id("o"), &OwnerRequests::default(), SENT, &mut out);
        out.commands.clear();
        let relinked = Relinked { running: Vec::new(), ended: vec![ended], obeying: Vec::new() };
        front.relinked(&id("o"), &relinked, SENT, SENT, &mut out);
        assert!(out.commands.is_empty(), "{name}, after a reconnect: {:?}", out.commands);
    }
}

#[test]
fn run_ends_determine_the_job_outcome() {
    struct Case {
        name: &'static str,
        ends: Vec<How>,
        answer: Option<Outcome>,
    }
    let cases = [
        Case { name: "done", ends: vec![How::Done], answer: Some(Outcome::Completed) },
        Case { name: "failed once of two", ends: vec![How::Failed], answer: None },
        Case { name: "failed twice", ends: vec![How::Failed; 2], answer: Some(Outcome::Failed) },
        Case { name: "stopped often is no failure", ends: vec![How::Stopped; 5], answer: None },
        Case { name: "no room is no failure", ends: vec![How::NoRoom; 5], answer: None },
    ];
    for Case { name, ends, answer } in cases {
        let mut out = Output::default();
        let mut front = placed(&mut out);
        for (how, number) in ends.into_iter().zip(1..) {
            let run = Run { run: number, ..run() };
            let ended = Ended {
                run: Some(run),
                worker: "w".to_owned(),
                how: how.into(),
                took_ms: 9,
                ..Ended::default()
            };
            front.ended(&id("o"), &ended, SENT, &mut out);
            grant(&mut front, 7, SENT, &mut out);
        }
        let found = out.commands.iter().find_map(|command| match command {
            Command::Answer { outcome, .. } => Some(*outcome),
            _ => None,
        });
        assert_eq!(found, answer, "{name}");
    }
}

#[test]
fn refused_start_is_reported_to_the_scheduler_before_the_next_request() {
    let mut out = Output::default();
    let mut front = placed(&mut out);
    let ended = Ended {
        run: Some(run()),
        worker: "w".to_owned(),
        how: How::NoRoom.into(),
        took_ms: 0,
        ..Ended::default()
    };
    front.ended(&id("o"), &ended, SENT, &mut out);
    let sent: Vec<&str> = out
        .commands
        .iter()
        .filter_map(|command| match command {
            Command::Send { message: Message::Unused(unused), .. } if unused.refused => {
                Some("refused")
            }
            Command::Send { message: Message::Ask(_), .. } => Some("ask"),
            _ => None,
        })
        .collect();
    assert_eq!(sent, ["refused", "ask"], "otherwise the same capacity is granted again at once");
}

#[test]
fn expired_job_is_answered_at_once_with_the_correct_outcome() {
    struct Case {
        name: &'static str,
        begun: bool,
        not_run: bool,
    }
    let cases = [
        Case { name: "nothing was started", begun: false, not_run: true },
        Case { name: "a run may be running", begun: true, not_run: false },
    ];
    for Case { name, begun, not_run } in cases {
        let mut out = Output::default();
        let mut front = Front::new(id("me"), "a".to_owned());
        front.set_scheduler(Some(id("s")), SENT, &mut out);
        front.submit(1, job(500), SENT, &mut out);
        if begun {
            grant(&mut front, 7, SENT, &mut out);
        }
        front.tick(SENT + Span::from_ms(500), &mut out);
        let found = out.commands.iter().find_map(|command| match command {
            Command::Answer { outcome, .. } => Some(*outcome),
            _ => None,
        });
        let is_not_run = matches!(found, Some(Outcome::NotRun { .. }));
        assert!(found.is_some(), "{name}: no answer");
        assert_eq!(is_not_run, not_run, "{name}");
    }
}

#[test]
fn stopping_instance_refuses_jobs_after_the_accept_period() {
    // Guards against a job that is accepted on an open connection shortly before the process exits,
    // so that its caller gets no answer.
    let mut node = Node::new(member("e-1", false), SENT);
    let mut answers = |ticket: u64, after: Span| {
        let mut out = Output::default();
        let job = Job { name: format!("{ticket}"), ..job(20_000) };
        node.submit(ticket, job, SENT + after, &mut out);
        let answer = out.commands.into_iter().find_map(|command| match command {
            Command::Answer { outcome, .. } => Some(outcome),
            _ => None,
        });
        node.begin_shutdown(GRACE, SENT, &mut Output::default());
        answer
    };
    let (cause, retry) = (NotRunCause::Stopping, Span::ZERO);
    assert_eq!(answers(1, Span::ZERO), None, "before the shutdown request");
    assert_eq!(
        answers(2, Span::from_ms(ACCEPT_PERIOD.as_ms() - 1)),
        None,
        "the load balancer may still route it here"
    );
    assert_eq!(answers(3, ACCEPT_PERIOD), Some(Outcome::NotRun { cause, retry }));
}

#[test]
fn expired_event_names_the_scheduler_and_its_estimate() {
    struct Case {
        name: &'static str,
        follows: Vec<(Option<&'static str>, u64)>,
        refused: bool,
        expected: (Option<&'static str>, Option<u64>, Option<u64>),
    }
    let case = |name, follows, expected| Case { name, follows, refused: false, expected };
    let cases = [
        case("no scheduler", vec![], (None, None, None)),
        case("requested at once", vec![(Some("s"), 0)], (Some("s"), Some(500), None)),
        case("requested late", vec![(Some("s"), 400)], (Some("s"), Some(100), None)),
        case(
            "requested from another",
            vec![(Some("s"), 0), (Some("t"), 300)],
            (Some("t"), Some(200), None),
        ),
        case("scheduler is gone", vec![(Some("s"), 0), (None, 300)], (None, None, None)),
        Case {
            refused: true,
            ..case("refused", vec![(Some("s"), 0)], (Some("s"), Some(100), Some(70)))
        },
    ];
    for Case { name, follows, refused, expected: (scheduler, asked, ahead) } in cases {
        let mut out = Output::default();
        let mut front = Front::new(id("me"), "a".to_owned());
        front.submit(1, job(500), SENT, &mut out);
        for (scheduler, after) in follows {
            front.set_scheduler(scheduler.map(id), SENT + Span::from_ms(after), &mut out);
        }
        if refused {
            let at = SENT + Span::from_ms(400);
            grant(&mut front, 7, at, &mut out);
            let refusal = Refusal { job: "j".to_owned(), retry_ms: 100, ahead_ms: 70 };
            front.refused(&refusal, at, &mut out);
            let how = How::NotStarted.into();
            let ended = Ended {
                run: Some(run()),
                worker: "w".to_owned(),
                how,
                took_ms: 0,
                ..Ended::default()
            };
            front.ended(&id("o"), &ended, at, &mut out);
        }
        front.tick(SENT + Span::from_ms(500), &mut out);
        let expected = LogEvent::Expired {
            job: "j".to_owned(),
            scheduler: scheduler.map(id),
            heard: None,
            asked: asked.map(Span::from_ms),
            waiting: 1,
            ahead: ahead.map(Span::from_ms),
        };
        assert_eq!(expired(out), Some(expected), "{name}");
    }
}

#[test]
fn expired_event_has_the_silence_of_the_scheduler() {
    let peer = id("p");
    let mut node = Node::new(member("e-1", false), SENT);
    let mut out = Output::default();
    node.link_up(member("p", true), SENT, &mut out);
    node.submit(1, job(500), SENT, &mut out);
    let beat = Beat { joined: true, next_ms: 140, ..Beat::default() };
    node.handle_message(&peer, Message::Beat(beat), SENT + Span::from_ms(200), &mut out);
    for after in (20..=500).step_by(20) {
        node.tick(0, SENT + Span::from_ms(after), &mut out);
    }
    let expected = LogEvent::Expired {
        job: "j".to_owned(),
        scheduler: Some(peer),
        heard: Some(Span::from_ms(300)),
        asked: Some(Span::from_ms(500)),
        waiting: 1,
        ahead: None,
    };
    assert_eq!(expired(out), Some(expected));
}

#[test]
fn front_paused_past_a_deadline_stops_runs_before_the_next_heartbeat() {
    let peer = id("p");
    let mut node = Node::new(member("e-1", false), SENT);
    let mut out = Output::default();
    node.link_up(member("p", true), SENT, &mut out);
    node.submit(1, job(500), SENT, &mut out);
    let place = Place {
        task: 0,
        worker: "w".to_owned(),
        owner: "p".to_owned(),
        run_ms: 100,
        token: 7,
        due_ms: 0,
        ..Place::default()
    };
    let grant = Grant { job: "j".to_owned(), step: 0, places: vec![place] };
    node.handle_message(&peer, Message::Grant(grant), SENT, &mut out);
    out.commands.clear();
    let after = SENT + Span::from_ms(550);
    let beat = Beat { joined: true, next_ms: 140, sent_ms: 77, ..Beat::default() };
    node.handle_message(&peer, Message::Beat(beat), after, &mut out);
    node.tick(0, after, &mut out);
    let place = |wanted: fn(&Message) -> bool| {
        let is_sent = |c: &Command| matches!(c, Command::Send { message, .. } if wanted(message));
        out.commands.iter().position(is_sent).expect("sent")
    };
    let stop = place(|message| matches!(message, Message::Stop(_)));
    let heartbeat = place(|message| matches!(message, Message::Beat(beat) if beat.seen_ms == 77));
    assert!(stop < heartbeat, "the run is stopped before a newer heartbeat is echoed");
}

#[test]
fn expired_job_claims_no_run() {
    for (after, claims) in [(59_999, 1), (60_000, 0)] {
        let mut out = Output::default();
        let mut front = placed(&mut out);
        let running = vec![run()];
        let found =
            Takeover { worker: "w".to_owned(), running, ended: Vec::new(), token: 8, born_ms: 0 };
        front.takeover(&id("p"), &found, SENT, SENT + Span::from_ms(after), &mut out);
        let claimed = out.commands.iter().find_map(|command| match command {
            Command::Send { message: Message::Claim(claim), .. } => Some(claim.runs.len()),
            _ => None,
        });
        assert_eq!(claimed, Some(claims), "after {after} ms");
    }
}

#[test]
fn resubmitted_job_is_answered_when_its_instance_ends() {
    let mut out = Output::default();
    let mut front = placed(&mut out);
    front.caller_gone(1, SENT, &mut out);
    front.submit(2, job(60_000), SENT, &mut out);
    out.commands.clear();
    front.end_all(SENT, &mut out);
    let answered = out
        .commands
        .iter()
        .any(|command| matches!(command, Command::Answer { ticket: 2, outcome: Outcome::GivenUp }));
    assert!(answered, "it waits for the runs of the first submission");
}

#[test]
fn job_resubmitted_while_its_runs_end_is_answered_at_its_deadline() {
    let mut out = Output::default();
    let mut front = placed(&mut out);
    front.caller_gone(1, SENT, &mut out);
    front.submit(2, job(3_000), SENT, &mut out);
    front.tick(SENT + Span::from_ms(3_000), &mut out);
    let is_answer = |command: &&Command| {
        matches!(command, Command::Answer { ticket: 2, outcome: Outcome::GivenUp })
    };
    assert_eq!(out.commands.iter().filter(is_answer).count(), 1);
}

#[test]
fn cancelled_job_that_was_resubmitted_is_not_started_once_its_runs_have_ended() {
    let mut out = Output::default();
    let mut front = placed(&mut out);
    front.caller_gone(1, SENT, &mut out);
    front.submit(2, job(60_000), SENT, &mut out);
    out.commands.clear();
    front.cancel("j", SENT, &mut out);
    let is_answer = |command: &&Command| {
        matches!(command, Command::Answer { ticket: 2, outcome: Outcome::Failed })
    };
    assert_eq!(out.commands.iter().filter(is_answer).count(), 1);
    let ended = Ended {
        run: Some(run()),
        worker: "w".to_owned(),
        how: How::Stopped.into(),
        ..Ended::default()
    };
    front.ended(&id("o"), &ended, SENT, &mut out);
    assert!(front.is_empty(), "the later submission begins");
}
