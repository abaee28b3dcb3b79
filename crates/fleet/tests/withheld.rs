//! Guards against withheld tasks that are never granted, and against an earlier front that is not
//! told that its submission is superseded.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{Command, Message, Output, RunKey, Scheduler, WorkerList};
use cranberryhatch_schema::fleet::{Ask, Freed, Held, How, LostRun, Room, Rooms, Run};
use cranberryhatch_types::{InstanceId, Span, Time};

const NOW: Time = Time::from_ms(20_000);

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn run() -> Run {
    Run { job: "j".to_owned(), step: 0, task: 0, run: 1 }
}

/// Returns the request of a front that accepted the job `age` milliseconds ago.
fn ask(age: u32) -> Ask {
    Ask {
        job: "j".to_owned(),
        tasks: vec![0],
        kind: "k".to_owned(),
        service: "svc".to_owned(),
        need: Some((&need(14_000)).into()),
        declared_ms: 100,
        age_ms: age,
        left_ms: 30_000,
        zone: "a".to_owned(),
        stretch: 1_600,
        slack_ms: 10_000,
        ..Ask::default()
    }
}

fn list() -> WorkerList {
    let mut list = WorkerList::default();
    list.replace(vec![listed("free", "a", 32_000), listed("busy", "a", 32_000)], NOW);
    list
}

/// Reports the workers of owner `o`: one is free, and one has these runs.
fn report(scheduler: &mut Scheduler, held: Vec<Held>, lost: Vec<LostRun>, now: Time) {
    let room = |worker: &str, held| Room {
        worker: worker.to_owned(),
        token: 1,
        held,
        open: true,
        ..Room::default()
    };
    let rooms = vec![room("free", Vec::new()), room("busy", held)];
    scheduler.update_workers(&id("o"), Rooms { rooms, lost, kinds: Vec::new() }, &list(), now);
}

/// Returns the instances that were told that a submission is superseded.
fn told(out: &Output) -> Vec<InstanceId> {
    let told = out.commands.iter().filter_map(|command| match command {
        Command::Send { to, message: Message::Superseded(_) } => Some(to.clone()),
        _ => None,
    });
    told.collect()
}

fn grants(out: &Output) -> usize {
    let is_grant = |c: &&Command| matches!(c, Command::Send { message: Message::Grant(_), .. });
    out.commands.iter().filter(is_grant).count()
}

/// Returns the end of a run of the task on the busy worker.
fn freed(number: u32, how: How) -> Freed {
    let (run, worker) = (Some(Run { run: number, ..run() }), "busy".to_owned());
    Freed { run, worker, how: how.into(), ..Freed::default() }
}

/// Returns the losses that a front was told.
fn losses(out: &Output, front: &str) -> usize {
    let losses = out.commands.iter().filter_map(|command| match command {
        Command::Send { to, message: Message::Losses(losses) } if *to == id(front) => {
            Some(losses.runs.len())
        }
        _ => None,
    });
    losses.sum()
}

#[test]
fn earlier_front_without_known_runs_is_told_of_a_later_submission() {
    // Guards against two submissions that both go on because no run was reported when the later
    // one asked: a grant of the earlier one may be on its way.
    struct Case {
        name: &'static str,
        earlier: &'static str,
        // The later front is told too, as it must not answer that the job has not run.
        told: Vec<InstanceId>,
    }
    let cases = [
        Case { name: "other front", earlier: "e-1", told: vec![id("e-2"), id("e-1")] },
        Case { name: "same front", earlier: "e-2", told: vec![id("e-2")] },
    ];
    for Case { name, earlier, told: expected } in cases {
        let mut scheduler = Scheduler::default();
        let mut out = Output::default();
        report(&mut scheduler, Vec::new(), Vec::new(), NOW);
        scheduler.handle_ask(&id(earlier), ask(1_000), NOW, &mut out);
        assert_eq!(told(&out), Vec::<InstanceId>::new(), "{name}: only submission");
        scheduler.handle_ask(&id("e-2"), ask(0), NOW, &mut out);
        assert_eq!(told(&out), expected, "{name}");
    }
}

#[test]
fn front_is_told_the_losses_that_a_withheld_request_does_not_name() {
    // Guards against a request that is dropped without a message: a task is queued only if its
    // request names all workers that were lost under it.
    for is_lost in [false, true] {
        let mut scheduler = Scheduler::default();
        let mut out = Output::default();
        let (run, need) = (run(), need(14_000));
        let held = Held {
            run: Some(run.clone()),
            need: Some((&need).into()),
            left_ms: 3_000,
            front: "e-1".to_owned(),
            age_ms: None,
        };
        report(&mut scheduler, vec![held.clone()], Vec::new(), NOW);
        // The front takes its run for ended, and its owner does not.
        let request = Ask { begun: true, ..ask(0) };
        scheduler.handle_ask(&id("e-1"), request.clone(), NOW, &mut out);
        scheduler.schedule(NOW, true, &mut out);
        assert_eq!((grants(&out), losses(&out, "e-1")), (0, 0), "the task is withheld");
        let at = NOW + Span::from_ms(600);
        let (job, worker) = (run.job.clone(), "busy".to_owned());
        let loss = LostRun { job, worker: worker.clone(), ..LostRun::default() };
        let lost: Vec<LostRun> = is_lost.then_some(loss).into_iter().collect();
        report(&mut scheduler, vec![held], lost.clone(), at);
        let how = if is_lost { How::Lost } else { How::Stopped };
        let freed = Freed { run: Some(run), worker, how: how.into(), ..Freed::default() };
        scheduler.run_ended(&freed, at);
        scheduler.schedule(at, true, &mut out);
        let told = losses(&out, "e-1");
        assert_eq!((grants(&out), told), (usize::from(!is_lost), lost.len()), "lost: {is_lost}");
        if is_lost {
            scheduler.handle_ask(&id("e-1"), Ask { lost, ..request }, at, &mut out);
            scheduler.schedule(at, true, &mut out);
            assert_eq!(grants(&out), 1, "the request names the losses");
        }
    }
}

#[test]
fn late_report_of_another_run_does_not_release_a_run_that_its_owner_has_reported() {
    // Guards against a second run of a task whose reservation a former owner's refusal releases.
    struct Case {
        name: &'static str,
        report: fn(&mut Scheduler),
        grants: usize,
    }
    let cases = [
        Case {
            name: "refusal of an earlier run",
            report: |scheduler| scheduler.run_ended(&freed(1, How::NoRoom), NOW),
            grants: 0,
        },
        Case {
            name: "end of an earlier run",
            report: |scheduler| scheduler.run_ended(&freed(1, How::Stopped), NOW),
            grants: 0,
        },
        Case {
            name: "refused start",
            report: |scheduler| {
                let (worker, task) = ("busy".parse().expect("an id"), RunKey::from(&run()).task);
                scheduler.release_unused(&worker, &task, true, NOW);
            },
            grants: 0,
        },
        Case {
            name: "end of the run",
            report: |scheduler| scheduler.run_ended(&freed(2, How::Stopped), NOW),
            grants: 1,
        },
    ];
    for Case { name, report: send, grants: expected } in cases {
        let mut scheduler = Scheduler::default();
        let mut out = Output::default();
        let held = Held {
            run: Some(Run { run: 2, ..run() }),
            need: Some((&need(14_000)).into()),
            left_ms: 3_000,
            front: "e-1".to_owned(),
            age_ms: None,
        };
        report(&mut scheduler, vec![held], Vec::new(), NOW);
        scheduler.handle_ask(&id("e-1"), Ask { begun: true, ..ask(0) }, NOW, &mut out);
        send(&mut scheduler);
        scheduler.schedule(NOW, true, &mut out);
        assert_eq!(grants(&out), expected, "{name}");
    }
}
