//! Guards against runs of which an owner does not know whether they started and that hold their room, and
//! against refused starts without a cause in the log.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, LEASE, Life, Listing, LookAnswer, Looked, Member, Members, Message, Note, Output,
    Owner, RunKey, Running, Seen, StartAnswer, StartRefusal,
};
use cranberryhatch_schema::fleet::{Claim, Run, Start};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

const START: Time = Time::from_ms(10_000);

/// An owner with a worker that it has not opened yet.
struct Bed {
    owner: Owner,
    members: Members,
    listing: Listing,
    worker: WorkerId,
    /// Fencing token of the last look.
    token: u64,
}

impl Bed {
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
        let mut listing = Listing::default();
        listing.replace(vec![listed("w", "a", 32_000)], START);
        let mut owner = Owner::new(me.id);
        owner.assign(&listing, &members.owners(1), 0, START);
        Self { owner, members, listing, worker: "w".parse().expect("an id"), token: 0 }
    }

    /// An owner that the worker obeys and on which nothing runs.
    fn opened() -> Self {
        let mut bed = Self::new();
        bed.look(START, &mut Output::default());
        bed
    }

    fn tick(&mut self, now: Time, out: &mut Output) {
        let owners = self.members.owners(1);
        self.owner.tick(&self.listing, &owners, 0, now, out);
    }

    /// Looks at the worker, which says that nothing runs and nothing ended.
    fn look(&mut self, now: Time, out: &mut Output) {
        self.look_at(&[], true, now, out);
    }

    /// Looks at the worker, which says what runs, or nothing at all.
    fn look_at(&mut self, runs: &[RunKey], answers: bool, now: Time, out: &mut Output) {
        let mut looks = Output::default();
        self.owner.look(now, &mut looks);
        for command in looks.commands {
            let Command::Look { worker, token, .. } = command else { continue };
            self.token = token;
            let running = |run: &RunKey| Running { run: run.clone(), percent: 0 };
            let running = runs.iter().map(running).collect();
            let life = Life::UNKNOWN;
            let seen = Seen { clock: now.as_ms(), life, running, ended: Vec::new() };
            let answer = if answers { LookAnswer::Seen(Box::new(seen)) } else { LookAnswer::Lost };
            let looked = Looked { worker: worker.id, token, asked: now, answer };
            self.owner.looked(looked, &self.members, now, out);
        }
    }
}

fn ends(out: &Output) -> usize {
    let is_end =
        |command: &&Command| matches!(command, Command::Send { message: Message::Ended(_), .. });
    out.commands.iter().filter(is_end).count()
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
fn a_refused_start_says_why() {
    struct Case {
        name: &'static str,
        change: fn(&mut Start),
        cause: Option<StartRefusal>,
    }
    let cases = [
        Case { name: "as granted", change: |_| {}, cause: None },
        Case {
            name: "another's worker",
            change: |start| start.worker = "v".to_owned(),
            cause: Some(StartRefusal::Closed),
        },
        Case {
            name: "granted under another owner",
            change: |start| start.token -= 1,
            cause: Some(StartRefusal::Token),
        },
        Case {
            name: "the worker's service changed",
            change: |start| start.service = "other".to_owned(),
            cause: Some(StartRefusal::Service),
        },
        Case {
            name: "larger than the worker",
            change: |start| start.need = Some((&need(33_000)).into()),
            cause: Some(StartRefusal::NoRoom),
        },
        Case {
            name: "sent long ago",
            change: |start| start.seen_ms -= 1_000,
            cause: Some(StartRefusal::Outdated),
        },
    ];
    for Case { name, change, cause } in cases {
        let mut bed = Bed::opened();
        let mut order = start(bed.token, START);
        change(&mut order);
        let mut out = Output::default();
        bed.owner.start(&"e-2".parse().expect("a name"), order, START, &mut out);
        let found = out.commands.iter().find_map(|command| match command {
            Command::Note(Note::StartRefused { cause, .. }) => Some(*cause),
            _ => None,
        });
        assert_eq!((found, ends(&out)), (cause, usize::from(cause.is_some())), "{name}");
    }
}

#[test]
fn a_stop_that_is_sent_again_does_not_put_off_the_end_of_a_doubtful_run() {
    let mut bed = Bed::opened();
    let mut out = Output::default();
    let front: InstanceId = "e-2".parse().expect("a name");
    let order = start(bed.token, START);
    let run = RunKey::from(order.run.as_ref().expect("a run"));
    bed.owner.start(&front, order, START, &mut out);
    assert!(
        out.commands.iter().any(|command| matches!(command, Command::StartRun { .. })),
        "the run is ordered"
    );
    let worker = bed.worker.clone();
    bed.owner.started(&worker, &run, StartAnswer::Lost, None, START, &mut out);
    bed.owner.stopped(&worker, &run, true, START + Span::from_ms(10));
    // Accepted again and again, as if each answer had been lost on the way to the next look.
    for after in [60, 80, 90] {
        bed.owner.stopped(&worker, &run, true, START + Span::from_ms(after));
    }
    bed.look(START + Span::from_ms(91), &mut out);
    assert_eq!(ends(&out), 1, "80 ms after the first stop was accepted the run is gone");
}

#[test]
fn a_run_is_not_reported_as_ended_while_a_former_owners_lease_may_hold() {
    let mut bed = Bed::new();
    let mut out = Output::default();
    let front: InstanceId = "e-2".parse().expect("a name");
    let order = start(0, Time::ZERO);
    let run = RunKey::from(order.run.as_ref().expect("a run"));
    bed.look_at(std::slice::from_ref(&run), true, START, &mut out);
    // The front has read no sign of life of this owner yet, so no lease can be given.
    let claim = Claim { worker: "w".to_owned(), runs: vec![order] };
    bed.owner.claimed(&front, &claim, START, &mut out);
    let none = Claim { worker: "w".to_owned(), runs: Vec::new() };
    bed.owner.claimed(&"e-1".parse().expect("a name"), &none, START, &mut out);
    bed.look_at(&[], false, START + Span::from_ms(10), &mut out);
    let until = START + LEASE;
    bed.tick(until, &mut out);
    assert_eq!(ends(&out), 0, "the former owner's lease may hold until {until}");
    bed.tick(until + Span::from_ms(200), &mut out);
    assert_eq!(ends(&out), 1, "every lease is over");
}

#[test]
fn a_look_is_answered_well_before_a_short_lease_ends() {
    struct Case {
        name: &'static str,
        age: u64,
        longest: u64,
    }
    let cases = [
        Case { name: "full lease", age: 0, longest: 240 },
        Case { name: "the front was silent", age: 900, longest: 155 },
    ];
    for Case { name, age, longest } in cases {
        let mut bed = Bed::opened();
        let order = start(bed.token, START - Span::from_ms(age));
        let run = RunKey::from(order.run.as_ref().expect("a run"));
        let mut out = Output::default();
        bed.owner.start(&"e-2".parse().expect("a name"), order, START, &mut out);
        let (worker, clock) = (bed.worker.clone(), Some(START.as_ms()));
        bed.owner.started(&worker, &run, StartAnswer::Started, clock, START, &mut out);
        out.commands.clear();
        bed.owner.look(START, &mut out);
        let wait = out.commands.iter().find_map(|command| match command {
            Command::Look { wait, lease: Some(_), .. } => Some(wait.as_ms()),
            _ => None,
        });
        assert_eq!(wait, Some(longest), "{name}");
    }
}
