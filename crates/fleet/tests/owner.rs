//! Guards against runs of which an owner does not know whether they started and that hold their room, and
//! against refused starts without a cause in the log.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, Listing, LookAnswer, Looked, Member, Members, Message, Note, Output, Owner, RunKey,
    Seen, StartAnswer, StartRefusal,
};
use cranberryhatch_schema::fleet::{Run, Start};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

const START: Time = Time::from_ms(10_000);

/// An owner with a worker on which nothing runs.
struct Bed {
    owner: Owner,
    members: Members,
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
            joined: true,
            version: 0,
        };
        let members = Members::new(me.clone());
        let mut listing = Listing::default();
        listing.replace(vec![listed("w", "a", 32_000)], START);
        let mut owner = Owner::new(me.id);
        owner.assign(&listing, &members.owners(1), 0, START);
        let mut bed = Self { owner, members, worker: "w".parse().expect("an id"), token: 0 };
        bed.look(START, &mut Output::default());
        bed
    }

    /// Looks at the worker, which says that nothing runs and nothing ended.
    fn look(&mut self, now: Time, out: &mut Output) {
        let mut looks = Output::default();
        self.owner.look(now, &mut looks);
        for command in looks.commands {
            let Command::Look { worker, token, .. } = command else { continue };
            self.token = token;
            let seen = Seen { clock: now.as_ms(), ..Seen::default() };
            let answer = LookAnswer::Seen(Box::new(seen));
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
        let mut bed = Bed::new();
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
    let mut bed = Bed::new();
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
