//! Cases of jobs taken over from holders that are gone.

mod support;

use std::sync::Arc;

use cranberryhatch_core::{
    Adoption, AttemptStatus, Code, Command, Event, FencedTask, Outcome, Start, StartResponse,
};
use cranberryhatch_types::TaskName;
use support::{Rig, issued, job, key, questions, starts};

/// The holder that is gone.
const GONE: &str = "praha-a-2/3";

/// What an endpoint says of an attempt: index, number, state.
type Told = (u32, u32, State);

#[derive(Clone, Copy, PartialEq)]
enum State {
    Done,
    Failed,
    Running,
    Never,
    Unreachable,
}

struct Case {
    guards: &'static str,
    tasks: usize,
    told: &'static [Told],
    whole: bool,
    /// Tasks that start at once.
    starts: &'static [u32],
    /// Attempts that are asked about.
    asked: usize,
    expect: Option<(Outcome, Option<Code>)>,
}

const CASES: &[Case] = &[
    Case {
        guards: "results that endpoints have are lost",
        tasks: 2,
        told: &[(0, 1, State::Done), (1, 1, State::Done)],
        whole: false,
        starts: &[],
        asked: 0,
        expect: Some((Outcome::Complete, None)),
    },
    Case {
        guards: "tasks that certainly did not start are given up",
        tasks: 2,
        told: &[(0, 1, State::Done)],
        whole: true,
        starts: &[1],
        asked: 0,
        expect: None,
    },
    Case {
        guards: "a task that an unseen endpoint may have run is started again",
        tasks: 2,
        told: &[(0, 1, State::Done)],
        whole: false,
        starts: &[],
        asked: 0,
        expect: Some((Outcome::Unknown, Some(Code::HolderLost))),
    },
    Case {
        guards: "a task that runs is started again, or not asked about",
        tasks: 3,
        told: &[(0, 1, State::Done), (1, 2, State::Running)],
        whole: true,
        starts: &[2],
        asked: 1,
        expect: None,
    },
    Case {
        guards: "a task that runs makes the job fail when no endpoint is missing for the others",
        tasks: 1,
        told: &[(0, 1, State::Running)],
        whole: false,
        starts: &[],
        asked: 1,
        expect: None,
    },
    Case {
        guards: "an attempt that an endpoint could not tell about is started again",
        tasks: 1,
        told: &[(0, 1, State::Unreachable)],
        whole: true,
        starts: &[],
        asked: 1,
        expect: None,
    },
    Case {
        guards: "a job goes on although one of its tasks failed",
        tasks: 2,
        told: &[(0, 1, State::Failed), (1, 1, State::Done)],
        whole: true,
        starts: &[],
        asked: 0,
        expect: Some((Outcome::Failed, Some(Code::TaskFailed))),
    },
    Case {
        guards: "the result of one attempt is dropped for an earlier one that never started",
        tasks: 1,
        told: &[(0, 1, State::Never), (0, 2, State::Done), (0, 3, State::Never)],
        whole: true,
        starts: &[],
        asked: 0,
        expect: Some((Outcome::Complete, None)),
    },
    Case {
        guards: "a task that never started is not started although its job began",
        tasks: 2,
        told: &[(0, 1, State::Never), (1, 1, State::Done)],
        whole: true,
        starts: &[0],
        asked: 0,
        expect: None,
    },
    Case {
        guards: "a job starts after its former holder may have answered that it did not run",
        tasks: 2,
        told: &[],
        whole: true,
        starts: &[],
        asked: 0,
        expect: Some((Outcome::NotRun, Some(Code::HolderLost))),
    },
    Case {
        guards: "an attempt that was refused for good counts as a start",
        tasks: 1,
        told: &[(0, 1, State::Never)],
        whole: true,
        starts: &[],
        asked: 0,
        expect: Some((Outcome::NotRun, Some(Code::HolderLost))),
    },
];

fn adoption(case: &Case) -> Adoption {
    let spec = job(&issued(GONE, 1), case.tasks);
    let task = |(index, attempt, state): &Told| FencedTask {
        name: TaskName { job: spec.key.clone(), index: *index, attempt: *attempt },
        worker: "w2".parse().expect("a worker"),
        state: match state {
            State::Done => AttemptStatus::Done(format!("result {index}").into()),
            State::Failed => AttemptStatus::Failed("no".to_owned()),
            State::Running => AttemptStatus::Running,
            State::Never => AttemptStatus::NeverStarted,
            State::Unreachable => AttemptStatus::Unreachable,
        },
    };
    let tasks = case.told.iter().map(task).collect();
    Adoption { tasks, all_answered: case.whole, job: Arc::new(spec) }
}

#[test]
fn jobs_of_a_holder_that_is_gone_are_taken_over() {
    for case in CASES {
        let mut rig = Rig::new("");
        rig.worker("w1", 8);
        let adoption = adoption(case);
        let spec = Arc::clone(&adoption.job);
        let out = rig.event(Event::Adopt(adoption.clone())).to_vec();
        let started = starts(&out);
        let indexes: Vec<_> = started.iter().map(|start| start.name.index).collect();
        assert_eq!(indexes, case.starts, "{}", case.guards);
        assert_eq!(questions(&out).len(), case.asked, "{}", case.guards);
        let highest = case.told.iter().map(|(_, attempt, _)| *attempt).max().unwrap_or(0);
        let higher = |start: &Start| start.name.attempt > highest;
        assert!(started.iter().all(higher), "{}", case.guards);
        // The same adoption once more starts nothing.
        assert!(starts(rig.event(Event::Adopt(adoption))).is_empty(), "{}", case.guards);
        // A caller that asks here, where the job now is, gets its answer.
        let ticket = rig.wait(&spec.key, 0);
        let expect = case.expect.unwrap_or((Outcome::Pending, None));
        assert_eq!(rig.verdict(ticket), Some(expect), "{}", case.guards);
    }
}

#[test]
fn an_adopted_task_that_runs_brings_its_result() {
    // Guards against a task that runs under another holder's start and whose result is lost.
    let case = &CASES[3];
    let mut rig = Rig::new("");
    rig.worker("w1", 8);
    let spec = Arc::clone(&adoption(case).job);
    let out = rig.event(Event::Adopt(adoption(case))).to_vec();
    let (asked, name) = questions(&out)[0].clone();
    assert_eq!((name.index, name.attempt), (1, 2));
    let worker = out.iter().find_map(|command| match command {
        Command::QueryAttempt { worker, .. } => Some(worker.to_string()),
        _ => None,
    });
    assert_eq!(worker.as_deref(), Some("w2"));
    let ticket = rig.wait(&spec.key, 5_000);
    rig.settle(asked, AttemptStatus::Running);
    let again = questions(&rig.pass(200));
    assert_eq!(again.len(), 1);
    rig.settle(asked, AttemptStatus::Done("late".into()));
    rig.answer(starts(&out)[0].attempt, StartResponse::Done("last".into()));
    let answer = rig.reply(ticket).expect("an answer");
    assert_eq!(answer.results, ["result 0", "late", "last"]);
}

#[test]
fn an_adopted_task_on_a_lost_worker_ends_the_job() {
    // Guards against a job that waits for its deadline, and against a second start.
    let mut rig = Rig::new("[root]\nlease.task=5s\nlease.margin=1s\n");
    rig.worker("w1", 8);
    let case = &CASES[4];
    let spec = Arc::clone(&adoption(case).job);
    let out = rig.event(Event::Adopt(adoption(case))).to_vec();
    let ticket = rig.wait(&spec.key, 20_000);
    let asked = questions(&out)[0].0;
    let mut verdict = None;
    for _ in 0..100 {
        rig.settle(asked, AttemptStatus::Unreachable);
        verdict = verdict.or(rig.verdict(ticket));
        assert!(starts(&rig.out).is_empty());
        rig.pass(100);
    }
    assert_eq!(verdict, Some((Outcome::Unknown, Some(Code::WorkerLost))));
}

#[test]
fn an_own_job_is_not_replaced_by_an_adoption() {
    // Guards against a second start of a job that runs here.
    let mut rig = Rig::new("");
    rig.worker("w1", 8);
    rig.run(&job(&key("a"), 1));
    let adoption =
        Adoption { job: Arc::new(job(&key("a"), 1)), tasks: Vec::new(), all_answered: true };
    assert!(starts(rig.event(Event::Adopt(adoption))).is_empty());
}

#[test]
fn a_key_that_came_to_nothing_here_is_adopted_from_its_later_holder() {
    // Guards against a job without outcome: refused here, then submitted to an instance that died.
    let mut rig = Rig::new("");
    rig.worker("w1", 8);
    let spec = job(&key("a"), 2);
    rig.submit(&spec);
    rig.claimed(&key("a"), cranberryhatch_core::ClaimOutcome::Unavailable);
    let done = FencedTask {
        name: TaskName { job: key("a"), index: 0, attempt: 1 },
        worker: "w2".parse().expect("a worker"),
        state: AttemptStatus::Done("result".into()),
    };
    let adoption = Adoption { job: Arc::new(spec), tasks: vec![done], all_answered: true };
    assert_eq!(starts(rig.event(Event::Adopt(adoption))).len(), 1);
}
