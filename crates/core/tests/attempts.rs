//! Cases of starts, their answers, and questions about attempts.

mod support;

use cranberryhatch_core::{
    AttemptStatus, Code, Command, Counter, Event, JobSpec, NotRun, Outcome, StartResponse,
};
use cranberryhatch_types::Span;
use support::{Rig, counted, job, key, questions, records, result, starts, stops};

/// What an endpoint says, in order; time passes between.
#[derive(Clone, Copy)]
enum Step {
    Done,
    Failed,
    Refuse(NotRun),
    Lost,
    Duplicate,
    /// Answers no heartbeat from now on.
    Silent,
    SettleDone,
    SettleFailed,
    SettleRunning,
    SettleNever,
    SettleUnreachable,
    Pass(u64),
}

use Step::{
    Done, Duplicate, Failed, Lost, Pass, Refuse, SettleDone, SettleFailed, SettleNever,
    SettleRunning, SettleUnreachable, Silent,
};

struct Case {
    guards: &'static str,
    settings: &'static str,
    idempotent: bool,
    steps: &'static [Step],
    /// Starts in all.
    starts: usize,
    /// The answer, or none while the job runs.
    expect: Option<(Outcome, Option<Code>)>,
}

const COMPLETE: Option<(Outcome, Option<Code>)> = Some((Outcome::Complete, None));
const LOST: Option<(Outcome, Option<Code>)> = Some((Outcome::Unknown, Some(Code::WorkerLost)));

const CASES: &[Case] = &[
    Case {
        guards: "a result is not taken",
        settings: "",
        idempotent: false,
        steps: &[Done],
        starts: 1,
        expect: COMPLETE,
    },
    Case {
        guards: "a task that ran and failed is started again",
        settings: "",
        idempotent: true,
        steps: &[Failed, Pass(5_000)],
        starts: 1,
        expect: Some((Outcome::Failed, Some(Code::TaskFailed))),
    },
    Case {
        guards: "a refused start is given up although it certainly did not run",
        settings: "",
        idempotent: false,
        steps: &[Refuse(NotRun::StartFailed), Done],
        starts: 2,
        expect: COMPLETE,
    },
    Case {
        guards: "a leaving endpoint delays a task",
        settings: "",
        idempotent: false,
        steps: &[Refuse(NotRun::Leaving)],
        starts: 2,
        expect: None,
    },
    Case {
        guards: "a busy endpoint is asked again at once, in a loop",
        settings: "",
        idempotent: false,
        steps: &[Refuse(NotRun::Busy)],
        starts: 1,
        expect: None,
    },
    Case {
        guards: "a task refused as busy is never sent again",
        settings: "",
        idempotent: false,
        steps: &[Refuse(NotRun::Busy), Pass(20), Done],
        starts: 2,
        expect: COMPLETE,
    },
    Case {
        guards: "a short queue at endpoints uses up the attempts of a job",
        settings: "[root]\nretry.attempts=2\n",
        idempotent: false,
        steps: &[
            Refuse(NotRun::Busy),
            Pass(20),
            Refuse(NotRun::Busy),
            Pass(40),
            Refuse(NotRun::Busy),
            Pass(80),
            Done,
        ],
        starts: 4,
        expect: COMPLETE,
    },
    Case {
        guards: "a task that cannot be started is tried without end",
        settings: "[root]\nretry.attempts=2\n",
        idempotent: false,
        steps: &[Refuse(NotRun::StartFailed), Refuse(NotRun::StartFailed), Pass(5_000)],
        starts: 2,
        expect: Some((Outcome::NotRun, Some(Code::RetriesExhausted))),
    },
    Case {
        guards: "retries are sent although none are allowed",
        settings: "[root]\nretry.ratio=0%\n",
        idempotent: false,
        steps: &[Refuse(NotRun::StartFailed), Pass(5_000)],
        starts: 1,
        expect: Some((Outcome::NotRun, Some(Code::RetriesExhausted))),
    },
    Case {
        guards: "a lost answer is taken as proof that the task did not run",
        settings: "",
        idempotent: true,
        steps: &[Lost, Pass(5_000)],
        starts: 1,
        expect: None,
    },
    Case {
        guards: "the result of a task whose answer was lost is not fetched",
        settings: "",
        idempotent: false,
        steps: &[Lost, SettleDone],
        starts: 1,
        expect: COMPLETE,
    },
    Case {
        guards: "the failure of a task whose answer was lost is not seen",
        settings: "",
        idempotent: false,
        steps: &[Lost, SettleFailed],
        starts: 1,
        expect: Some((Outcome::Failed, Some(Code::TaskFailed))),
    },
    Case {
        guards: "a task that never started is not sent again",
        settings: "",
        idempotent: false,
        steps: &[Lost, SettleNever, Done],
        starts: 2,
        expect: COMPLETE,
    },
    Case {
        guards: "a task that runs is sent again",
        settings: "",
        idempotent: true,
        steps: &[Lost, SettleRunning, Pass(200), SettleRunning, Pass(500), SettleDone],
        starts: 1,
        expect: COMPLETE,
    },
    Case {
        guards: "a duplicate answer causes a second start",
        settings: "",
        idempotent: true,
        steps: &[Duplicate, Pass(2_000)],
        starts: 1,
        expect: None,
    },
    Case {
        guards: "an endpoint that lost its memory makes a task that started run twice",
        settings: "",
        idempotent: false,
        steps: &[Duplicate, SettleNever, Pass(2_000)],
        starts: 1,
        expect: LOST,
    },
    Case {
        guards: "an endpoint that was restarted makes a task that ran on it run twice",
        settings: "",
        idempotent: false,
        steps: &[Lost, SettleRunning, Pass(200), SettleNever, Pass(2_000)],
        starts: 1,
        expect: LOST,
    },
    Case {
        guards: "a job is given up before the lease has lapsed",
        settings: "[root]\nlease.task=5s\nlease.margin=1s\n",
        idempotent: false,
        steps: &[Lost, SettleUnreachable, Pass(5_900), SettleUnreachable],
        starts: 1,
        expect: None,
    },
    Case {
        guards: "a caller waits for its deadline although the worker is lost",
        settings: "[root]\nlease.task=5s\nlease.margin=1s\n",
        idempotent: false,
        steps: &[Lost, SettleUnreachable, Silent, Pass(6_000), SettleUnreachable],
        starts: 1,
        expect: LOST,
    },
    Case {
        guards: "a task that may have run is sent again although that is switched off",
        settings: "[root]\nlease.task=5s\nlease.margin=1s\n",
        idempotent: true,
        steps: &[Lost, SettleUnreachable, Silent, Pass(6_000), SettleUnreachable],
        starts: 1,
        expect: LOST,
    },
    Case {
        guards: "an idempotent task is not sent again after its lease",
        settings: "[root]\nlease.task=5s\nlease.margin=1s\nretry.lapsed=on\n",
        idempotent: true,
        steps: &[Lost, SettleUnreachable, Silent, Pass(6_000), SettleUnreachable, Done],
        starts: 2,
        expect: COMPLETE,
    },
    Case {
        guards: "a task that must run at most once is sent again after its lease",
        settings: "[root]\nlease.task=5s\nlease.margin=1s\nretry.lapsed=on\n",
        idempotent: false,
        steps: &[Lost, SettleUnreachable, Silent, Pass(6_000), SettleUnreachable],
        starts: 1,
        expect: LOST,
    },
    Case {
        guards: "an attempt that was settled as never started, with the answer lost, ends its job",
        settings: "",
        idempotent: false,
        steps: &[
            Pass(2_500),
            SettleUnreachable,
            Pass(2_500),
            Refuse(NotRun::Fenced),
            Pass(50),
            Done,
        ],
        starts: 2,
        expect: COMPLETE,
    },
    Case {
        guards: "a holder that was taken over starts a task that its successor may start",
        settings: "",
        idempotent: true,
        steps: &[Refuse(NotRun::Fenced), Pass(5_000)],
        starts: 1,
        expect: Some((Outcome::Unknown, Some(Code::HolderLost))),
    },
];

#[test]
fn answers_decide_about_attempts() {
    for case in CASES {
        let mut rig = Rig::new(case.settings);
        rig.worker("w1", 4);
        rig.worker("w2", 4);
        let spec = JobSpec { idempotent: case.idempotent, ..job(&key("a"), 1) };
        let (ticket, mut started) = rig.run(&spec);
        let mut verdict = None;
        for step in case.steps {
            let attempt = started.last().expect("a start").attempt;
            let done = || result(attempt);
            match *step {
                Done => rig.done(attempt),
                Failed => rig.answer(attempt, StartResponse::Failed("no".to_owned())),
                Refuse(reason) => rig.refuse(attempt, reason),
                Lost => rig.answer(attempt, StartResponse::Lost),
                Duplicate => rig.answer(attempt, StartResponse::Duplicate),
                SettleDone => rig.settle(attempt, AttemptStatus::Done(done())),
                SettleFailed => rig.settle(attempt, AttemptStatus::Failed("no".to_owned())),
                SettleRunning => rig.settle(attempt, AttemptStatus::Running),
                SettleNever => rig.settle(attempt, AttemptStatus::NeverStarted),
                SettleUnreachable => rig.settle(attempt, AttemptStatus::Unreachable),
                Silent => rig.silence(started.last().expect("a start").worker.as_str()),
                Pass(ms) => drop(rig.pass(ms)),
            }
            started.extend(starts(&rig.out));
            verdict = verdict.or(rig.verdict(ticket));
        }
        assert_eq!(started.len(), case.starts, "{}", case.guards);
        assert_eq!(verdict, case.expect, "{}", case.guards);
        let mut numbers: Vec<_> = started.iter().map(|start| start.name.attempt).collect();
        numbers.dedup();
        assert_eq!(numbers.len(), started.len(), "attempts have their own numbers");
    }
}

#[test]
fn a_normal_run_is_not_asked_about() {
    // Guards against questions that are wasted messages: run times up to the longest seen.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let mut asked = 0;
    for round in 0..50_u64 {
        let mut spec = job(&key(&format!("a-{round}")), 1);
        spec.deadline = rig.now + Span::from_secs(30);
        let (_, started) = rig.run(&spec);
        asked += counted(&rig.pass(50 + (round % 10) * 200), Counter::TasksSettled);
        rig.done(started[0].attempt);
    }
    assert_eq!(asked, 0);
}

#[test]
fn a_silent_connection_is_found() {
    // Guards against a caller that waits for its deadline because one connection went silent.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let (ticket, started) = rig.run(&job(&key("a"), 1));
    let asked = questions(&rig.pass(3_000));
    assert_eq!(asked.len(), 1, "one question is under way at a time");
    rig.settle(started[0].attempt, AttemptStatus::Done(result(started[0].attempt)));
    assert_eq!(rig.verdict(ticket), Some((Outcome::Complete, None)));
    // The start's own answer arrives after all, and changes nothing.
    rig.done(started[0].attempt);
    assert_eq!(counted(&rig.out, Counter::AnswersLate), 1);
}

#[test]
fn a_worker_that_restarted_cannot_deny_a_start() {
    // Guards against a second start: the worker ran the task, restarted, and knows nothing of it.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    rig.worker("w2", 1);
    let (ticket, started) = rig.run(&job(&key("a"), 1));
    let attempt = started[0].attempt;
    rig.event(Event::StartResponse { attempt, response: StartResponse::Lost });
    rig.settle(attempt, AttemptStatus::Forgotten);
    assert_eq!(rig.verdict(ticket), Some((Outcome::Unknown, Some(Code::WorkerLost))));
    assert!(starts(&rig.out).is_empty());
}

#[test]
fn questions_about_a_long_run_become_rare() {
    // Guards against a stream of questions about one long task.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let (_, started) = rig.run(&job(&key("a"), 1));
    let mut asked = 0;
    for _ in 0..290 {
        let questions = questions(&rig.pass(100)).len();
        asked += questions;
        if questions > 0 {
            rig.settle(started[0].attempt, AttemptStatus::Running);
        }
        rig.worker("w1", 1);
    }
    assert!((2..=4).contains(&asked), "{asked} questions in 29 s");
}

#[test]
fn a_lost_worker_has_its_attempts_asked_about_once() {
    // Guards against waiting for the next question, and against one for each failed heartbeat.
    let mut rig = Rig::new("");
    rig.worker("w1", 4);
    rig.run(&job(&key("a"), 3));
    let lost = || Event::EndpointLost("w1".parse().expect("a worker"));
    let first = questions(rig.event(lost())).len();
    let second = questions(rig.event(lost())).len();
    assert_eq!((first, second), (3, 0));
}

#[test]
fn the_retry_budget_bounds_retries() {
    // Guards against a storm of retries when every worker refuses every start.
    let mut rig = Rig::new("[root]\nretry.attempts=100\nretry.ratio=10%\n");
    rig.worker("w1", 200);
    let (_, mut open) = rig.run(&job(&key("a"), 100));
    let mut retries = 0;
    for _ in 0..200 {
        let refused = std::mem::take(&mut open);
        for start in refused {
            rig.refuse(start.attempt, NotRun::StartFailed);
            open.extend(starts(&rig.out));
        }
        let passed = rig.pass(10);
        open.extend(starts(&passed));
        retries += open.len();
    }
    // 10 at once, a tenth of the retries themselves, and one a second for 2 s; the 100 first starts
    // found the budget full.
    assert!((12..=14).contains(&retries), "{retries} retries");
}

#[test]
fn an_ended_job_keeps_its_slot_until_the_attempt_ends() {
    // Guards against more tasks on a worker than it has slots.
    let mut rig = Rig::new("");
    rig.worker("w1", 1);
    let (_, started) = rig.run(&job(&key("a"), 1));
    rig.cancel(&key("a"));
    assert_eq!(stops(&rig.out), vec![("w1".parse().expect("a worker"), 1)]);
    let (_, second) = rig.run(&job(&key("b"), 1));
    assert!(second.is_empty(), "the slot is still in use");
    rig.answer(started[0].attempt, StartResponse::Failed("stopped".to_owned()));
    assert_eq!(starts(&rig.out).len(), 1);
    assert_eq!(records(&rig.out), 0, "the job has ended before");
}

#[test]
fn results_keep_the_order_of_tasks() {
    // Guards against mixed-up results when answers arrive in another order.
    let mut rig = Rig::new("");
    rig.worker("w1", 8);
    let (ticket, started) = rig.run(&job(&key("a"), 5));
    for start in started.iter().rev() {
        rig.done(start.attempt);
    }
    let results = rig.reply(ticket).expect("an answer").results;
    let expect: Vec<_> = started.iter().map(|start| result(start.attempt)).collect();
    assert_eq!(results, expect);
    assert!(rig.out.iter().any(|command| matches!(command, Command::Record(..))));
}
