//! Guards against a second start of a task that a scheduler should know to withhold: gaps in what
//! schedulers exchange, and in what withholds a queued task.

mod common;

use std::sync::Arc;

use common::{kind_settings, listed, need};
use cranberryhatch_fleet::{
    Command, Front, Job, Member, Members, Message, Node, Outcome, Output, RUN_EXPIRY, Scheduler,
    Step, WorkerList, text_hash,
};
use cranberryhatch_schema::fleet::{
    Ask, Beat, Freed, Held, How, Room, Rooms, Run, Submission, Submissions,
};
use cranberryhatch_types::{InstanceId, Span, Time};

const NOW: Time = Time::from_ms(20_000);
const TICK: u64 = 20;

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
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

/// Reports a free worker of `o`, and one of `p` with a run of a front, of none if it is empty.
fn report(scheduler: &mut Scheduler, front: Option<&str>) {
    let mut list = WorkerList::default();
    list.replace(vec![listed("free", "a", 32_000), listed("busy", "a", 32_000)], NOW);
    let held = front.map(|front| Held {
        run: Some(Run { job: "j".to_owned(), step: 0, task: 0, run: 1 }),
        need: Some((&need(14_000)).into()),
        left_ms: 3_000,
        front: front.to_owned(),
        // Submissions of `e-2` are the later ones.
        age_ms: (!front.is_empty()).then_some(if front == "e-2" { 0 } else { 1_500 }),
    });
    for (owner, worker, held) in
        [("o", "free", Vec::new()), ("p", "busy", held.into_iter().collect())]
    {
        let worker = worker.to_owned();
        let room = Room { worker, token: 1, held, open: true, ..Room::default() };
        let rooms = Rooms { rooms: vec![room], ..Rooms::default() };
        scheduler.update_workers(&id(owner), rooms, &list, NOW);
    }
}

/// Returns the message of a scheduler that knows these submissions of the job.
fn submissions(latest: &str, age: u32, earlier: &[&str]) -> Submissions {
    let fronts = [latest].iter().chain(earlier).map(|front| (*front).to_owned()).collect();
    let submission = Submission {
        job: text_hash("j"),
        front: 0,
        age_ms: age,
        left_ms: 33_000,
        again: !earlier.is_empty(),
        earlier: (1..).take(earlier.len()).collect(),
    };
    Submissions { fronts, submissions: vec![submission] }
}

/// Schedules and returns the fronts that were granted capacity.
fn granted(scheduler: &mut Scheduler, now: Time) -> Vec<InstanceId> {
    let mut out = Output::default();
    scheduler.schedule(now, true, &mut out);
    let granted = out.commands.into_iter().filter_map(|command| match command {
        Command::Send { to, message: Message::Grant(_) } => Some(to),
        _ => None,
    });
    granted.collect()
}

/// Returns a scheduler that reaches all fronts and knows no submission.
fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::default();
    for name in ["e-1", "e-2", "o", "p"] {
        scheduler.add_reachable(&id(name));
    }
    scheduler
}

#[test]
fn message_of_another_scheduler_does_not_release_a_front_that_has_not_answered() {
    // Guards against a change of the scheduler whose last message overwrites what the new one has
    // learned from requests: the earlier front has neither answered nor been lost.
    struct Case {
        name: &'static str,
        // Fronts that ask the new scheduler before the message, with the age of their submission.
        asks: &'static [(&'static str, u32)],
        after: &'static [(&'static str, u32)],
    }
    let cases = [
        Case { name: "both asked", asks: &[("e-2", 0), ("e-1", 1_500)], after: &[] },
        Case { name: "the earlier one asked", asks: &[("e-1", 1_500)], after: &[("e-2", 0)] },
    ];
    for Case { name, asks, after } in cases {
        let mut scheduler = scheduler();
        for (front, age) in asks {
            scheduler.handle_ask(&id(front), ask(*age), NOW, &mut Output::default());
        }
        scheduler.merge_submissions(&submissions("e-2", 0, &[]), NOW);
        for (front, age) in after {
            scheduler.handle_ask(&id(front), ask(*age), NOW, &mut Output::default());
        }
        report(&mut scheduler, None);
        assert_eq!(granted(&mut scheduler, NOW), [], "{name}");
    }
}

#[test]
fn queued_task_waits_for_an_earlier_front_that_another_scheduler_names() {
    // Guards against a new scheduler that is asked before the last message of its predecessor.
    let mut scheduler = scheduler();
    scheduler.handle_ask(&id("e-2"), ask(0), NOW, &mut Output::default());
    scheduler.merge_submissions(&submissions("e-2", 0, &["e-1"]), NOW);
    report(&mut scheduler, None);
    assert_eq!(granted(&mut scheduler, NOW), []);
}

#[test]
fn queued_task_waits_for_an_unclaimed_run_of_an_owner_that_is_lost() {
    // Guards against a worker that loses its new owner too: the run goes on until its lease ends.
    let mut scheduler = scheduler();
    scheduler.handle_ask(&id("e-2"), ask(0), NOW, &mut Output::default());
    report(&mut scheduler, Some(""));
    assert_eq!(granted(&mut scheduler, NOW), [], "the run is reported");
    scheduler.remove_instance(&id("p"), &[], NOW);
    let end = NOW + RUN_EXPIRY;
    assert_eq!(granted(&mut scheduler, end - Span::from_ms(1)), [], "its owner is lost");
    assert_eq!(granted(&mut scheduler, end), [id("e-2")]);
}

#[test]
fn first_request_of_a_restarted_front_waits_for_a_reported_run() {
    // Guards against a front that is back under its name and does not know the runs of its earlier
    // process, at a scheduler that does not know its earlier submission.
    for report_first in [true, false] {
        let mut scheduler = scheduler();
        if report_first {
            report(&mut scheduler, Some("e-1"));
        }
        scheduler.handle_ask(&id("e-1"), ask(0), NOW, &mut Output::default());
        if !report_first {
            report(&mut scheduler, Some("e-1"));
        }
        let case = format!("reported first: {report_first}");
        assert_eq!(granted(&mut scheduler, NOW), [], "{case}");
        let run = Some(Run { job: "j".to_owned(), step: 0, task: 0, run: 1 });
        let (worker, how) = ("busy".to_owned(), How::Stopped.into());
        scheduler.run_ended(&Freed { run, worker, how, ..Freed::default() }, NOW);
        assert_eq!(granted(&mut scheduler, NOW), [id("e-1")], "{case}");
    }
}

#[test]
fn resubmission_at_a_restarted_front_waits_for_runs_of_its_earlier_process() {
    // Guards against a front that is back within milliseconds, while the owner of a run of its
    // earlier process is lost together with the scheduler.
    let mut scheduler = scheduler();
    scheduler.merge_submissions(&submissions("e-1", 1_500, &[]), NOW);
    scheduler.remove_reachable(&id("e-1"), NOW, NOW);
    scheduler.remove_instance(&id("e-1"), &[], NOW);
    scheduler.add_reachable(&id("e-1"));
    report(&mut scheduler, None);
    scheduler.handle_ask(&id("e-1"), ask(0), NOW, &mut Output::default());
    let end = NOW + RUN_EXPIRY;
    assert_eq!(granted(&mut scheduler, end - Span::from_ms(1)), []);
    assert_eq!(granted(&mut scheduler, end), [id("e-1")]);
}

#[test]
fn caller_that_sends_a_job_again_is_answered_at_its_own_deadline() {
    // Guards against a failure that the latest caller gets because an earlier one stopped waiting.
    let job = |arrived: Time| Job {
        name: "j".to_owned(),
        settings: Arc::new(kind_settings()),
        payload: "x".into(),
        steps: vec![Step { tasks: 1, need: need(14_000), ..Step::default() }],
        arrived,
        deadline: arrived + Span::from_ms(3_000),
    };
    let mut front = Front::new(id("me"), "a".to_owned());
    let mut out = Output::default();
    front.set_scheduler(Some(id("s")), NOW, &mut out);
    front.submit(1, job(NOW), NOW, &mut out);
    let again = NOW + Span::from_ms(1_300);
    front.submit(2, job(again), again, &mut out);
    front.tick(NOW + Span::from_ms(3_000), &mut out);
    let answer = |out: &Output| {
        out.commands.iter().find_map(|command| match command {
            Command::Answer { ticket: 2, outcome } => Some(*outcome),
            _ => None,
        })
    };
    assert_eq!(answer(&out), None::<Outcome>, "1,300 ms before its deadline");
    front.tick(again + Span::from_ms(3_000), &mut out);
    assert!(answer(&out).is_some());
}

#[test]
fn caller_of_a_job_that_ran_elsewhere_is_not_told_that_it_was_not_run() {
    // Guards against an untrue "not run": the earlier submission has a run that is not stopped
    // before the deadline of the later one.
    let scheduling = Member { joined: true, ..member(0, 500) };
    let mut front = Node::new(member(9, 100), NOW);
    let mut out = Output::default();
    front.replace_worker_list(vec![listed("busy", "a", 32_000)], 0, NOW, &mut out);
    front.link_up(scheduling.clone(), NOW, &mut out);
    let mut scheduler = scheduler();
    let (mut now, mut answer) = (NOW, None);
    let submitted = NOW + Span::from_ms(4_000);
    let deadline = submitted + Span::from_ms(1_000);
    while now <= deadline + Span::from_ms(100) {
        let beat = Beat { core: true, joined: true, next_ms: 140, ..Beat::default() };
        front.handle_message(&scheduling.id, Message::Beat(beat), now, &mut out);
        front.tick(0, now, &mut out);
        if now == submitted {
            report(&mut scheduler, Some("e-1"));
            let begun = Ask { begun: true, ..ask(1_500) };
            scheduler.handle_ask(&id("e-1"), begun, now, &mut Output::default());
            let job = Job {
                name: "j".to_owned(),
                settings: Arc::new(kind_settings()),
                payload: "x".into(),
                steps: vec![Step { tasks: 1, need: need(14_000), ..Step::default() }],
                arrived: now,
                deadline,
            };
            front.submit(1, job, now, &mut out);
        }
        let mut sent = Output::default();
        for command in std::mem::take(&mut out.commands) {
            match command {
                Command::Send { message: Message::Ask(ask), .. } => {
                    scheduler.handle_ask(&member(9, 100).id, ask, now, &mut sent);
                }
                Command::Answer { outcome, .. } => answer = Some(outcome),
                _ => {}
            }
        }
        scheduler.schedule(now, true, &mut sent);
        for command in sent.commands {
            if let Command::Send { to, message } = command
                && to == member(9, 100).id
            {
                front.handle_message(&scheduling.id, message, now, &mut out);
            }
        }
        now = now + Span::from_ms(TICK);
    }
    assert_eq!(answer, Some(Outcome::GivenUp));
}

/// Returns the members of one zone as one of them sees them, all of them admitted.
fn members(me: usize, others: &[usize], cores: u32) -> Members {
    let mut members = Members::new(member(me, cores));
    for number in others {
        members.add_peer(Member { joined: true, ..member(*number, cores) }, NOW);
    }
    members.join(NOW);
    let view = members.view();
    others.iter().for_each(|number| members.set_view(&member(*number, cores).id, view));
    members.admit_pending(NOW);
    members
}

#[test]
fn next_scheduler_is_a_standby_while_a_larger_instance_is_pending() {
    // Guards against a scheduler that knows no submission because its predecessor replicated them
    // to an instance that was not admitted yet.
    let mut before = members(0, &[1], 250);
    let after = before.scheduler().cloned();
    let (scheduler, other) = if after == Some(id("e-0")) { (0, 1) } else { (1, 0) };
    before = members(scheduler, &[other], 250);
    assert_eq!(before.standby_schedulers(), [member(other, 250).id]);
    before.add_peer(member(2, 500), NOW);
    assert_eq!(before.scheduler(), Some(&member(scheduler, 250).id), "the larger one is pending");
    // The scheduler is lost before the larger one is admitted.
    let mut next = members(other, &[scheduler], 250);
    next.add_peer(member(2, 500), NOW);
    next.remove_peer(&member(scheduler, 250).id);
    assert_eq!(next.scheduler(), Some(&member(other, 250).id));
    assert!(
        before.standby_schedulers().contains(&member(other, 250).id),
        "standby schedulers: {:?}",
        before.standby_schedulers()
    );
}

#[test]
fn next_scheduler_is_a_standby_after_the_loss_of_half_of_the_instances() {
    // Guards against a scheduler that knows no submission because its predecessor and all of its
    // standbys were lost at once, as in the soak.
    let mut unknown = Vec::new();
    for lost in 0_u32..32 {
        let is_lost = |number: &usize| lost & (1 << number) != 0;
        let all: Vec<usize> = (0..5).collect();
        let scheduler = members(0, &all[1..], 250).scheduler().cloned().expect("a scheduler");
        let me = all.iter().find(|number| member(**number, 0).id == scheduler).expect("a member");
        let others: Vec<usize> = all.iter().copied().filter(|number| number != me).collect();
        let standbys = members(*me, &others, 250).standby_schedulers();
        // A scheduler that is not lost hands over.
        if !is_lost(me) || lost.count_ones() > 3 {
            continue;
        }
        let left: Vec<usize> = all.iter().copied().filter(|number| !is_lost(number)).collect();
        let next = members(left[0], &left[1..], 250).scheduler().cloned().expect("a scheduler");
        if !standbys.contains(&next) {
            let lost: Vec<usize> = all.into_iter().filter(is_lost).collect();
            unknown.push((lost, next.to_string()));
        }
    }
    assert_eq!(unknown, [], "instances that were lost, and the next scheduler");
}

fn member(number: usize, cores: u32) -> Member {
    Member {
        id: format!("e-{number}").parse().expect("a name"),
        incarnation: 1,
        zone: "a".parse().expect("a zone"),
        cores,
        draining: false,
        core: true,
        joined: number > 0,
        version: 0,
    }
}

/// A scheduler with three peers, which records the jobs that each of them was sent while it had a
/// link.
struct Fixture {
    node: Node,
    now: Time,
    linked: Vec<InstanceId>,
    replicated: Vec<(InstanceId, u64)>,
    // Fronts of the latest submissions in these messages.
    latest: Vec<String>,
}

impl Fixture {
    fn new() -> Self {
        let mut node = Node::new(member(0, 500), NOW);
        let mut out = Output::default();
        node.replace_worker_list(vec![listed("w", "a", 32_000)], 0, NOW, &mut out);
        let mut fixture =
            Self { node, now: NOW, linked: Vec::new(), replicated: Vec::new(), latest: Vec::new() };
        (1..=3).for_each(|number| fixture.link(number));
        fixture.run(4_000);
        assert!(fixture.node.load(fixture.now).is_some(), "it schedules");
        fixture
    }

    fn link(&mut self, number: usize) {
        let mut out = Output::default();
        self.linked.push(member(number, 250).id);
        self.node.link_up(member(number, 250), self.now, &mut out);
        self.record(out);
    }

    fn unlink(&mut self, peer: &InstanceId) {
        let mut out = Output::default();
        self.linked.retain(|linked| linked != peer);
        self.node.link_down(peer, self.now, &mut out);
        self.record(out);
    }

    fn submit(&mut self, job: &str, front: &InstanceId) {
        let mut out = Output::default();
        let ask = Ask { job: job.to_owned(), ..ask(0) };
        self.node.handle_message(front, Message::Ask(ask), self.now, &mut out);
        self.record(out);
    }

    fn run(&mut self, ms: u64) {
        for _ in (0..ms).step_by(usize::try_from(TICK).expect("small")) {
            let mut out = Output::default();
            self.now = self.now + Span::from_ms(TICK);
            for peer in self.linked.clone() {
                let beat = Beat { core: true, joined: true, next_ms: 140, ..Beat::default() };
                self.node.handle_message(&peer, Message::Beat(beat), self.now, &mut out);
            }
            self.node.tick(0, self.now, &mut out);
            self.record(out);
        }
    }

    fn record(&mut self, out: Output) {
        for command in out.commands {
            let Command::Send { to, message: Message::Submissions(message) } = command else {
                continue;
            };
            let front = |submission: &Submission| {
                usize::try_from(submission.front)
                    .ok()
                    .and_then(|at| message.fronts.get(at))
                    .cloned()
            };
            self.latest.extend(message.submissions.iter().filter_map(front));
            if self.linked.contains(&to) {
                let jobs = message.submissions.iter().map(|submission| submission.job);
                self.replicated.extend(jobs.map(|job| (to.clone(), job)));
            }
        }
    }
}

#[test]
fn standby_scheduler_whose_link_is_back_gets_the_submissions_that_it_missed() {
    // Guards against a standby scheduler that does not know a submission because its link was down
    // while the submission was replicated.
    for down in [20, 60, 120, 200] {
        let mut fixture = Fixture::new();
        fixture.submit("first", &id("e-1"));
        fixture.run(300);
        let standby = fixture
            .replicated
            .iter()
            .find(|(_, job)| *job == text_hash("first"))
            .map(|(standby, _)| standby.clone())
            .expect("a standby scheduler");
        let number = (1..=3).find(|number| member(*number, 0).id == standby).expect("a peer");
        let other = fixture.linked.iter().find(|peer| **peer != standby).cloned().expect("a peer");
        // Sent on the link right before it breaks, or while it is down.
        fixture.submit("second", &other);
        fixture.unlink(&standby);
        fixture.run(down);
        fixture.link(number);
        fixture.run(1_000);
        assert!(
            fixture.replicated.contains(&(standby, text_hash("second"))),
            "link down for {down} ms"
        );
    }
}

#[test]
fn report_that_is_read_after_a_pause_does_not_make_its_submission_the_latest() {
    // Guards against the end of the latest submission: messages that a paused scheduler reads
    // belatedly carry ages, and are older than they seem.
    let mut fixture = Fixture::new();
    fixture.submit("j", &id("e-2"));
    fixture.run(20);
    let held = Held {
        run: Some(Run { job: "j".to_owned(), step: 0, task: 0, run: 1 }),
        need: Some((&need(14_000)).into()),
        left_ms: 3_000,
        front: "e-1".to_owned(),
        age_ms: Some(1_320),
    };
    let worker = "w".to_owned();
    let room = Room { worker, token: 1, held: vec![held], open: true, ..Room::default() };
    let rooms = Rooms { rooms: vec![room], ..Rooms::default() };
    // Sent right before the pause, read after it.
    fixture.now = fixture.now + Span::from_ms(2_000);
    fixture.latest.clear();
    let mut out = Output::default();
    fixture.node.handle_message(&id("e-3"), Message::Rooms(rooms), fixture.now, &mut out);
    fixture.record(out);
    fixture.run(1_000);
    let latest: Vec<&str> = fixture.latest.iter().map(String::as_str).collect();
    assert!(!latest.is_empty(), "the submissions are replicated or handed over");
    assert!(latest.iter().all(|front| *front == "e-2"), "latest submission: {latest:?}");
}
