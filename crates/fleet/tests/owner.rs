//! Guards against runs of which an owner does not know whether they started and that hold their room.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{
    Command, Listing, LookAnswer, Looked, Member, Members, Message, Output, Owner, RunKey, Seen,
    StartAnswer,
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

#[test]
fn a_stop_that_is_sent_again_does_not_put_off_the_end_of_a_doubtful_run() {
    let mut bed = Bed::new();
    let mut out = Output::default();
    let run = Run { job: "j".to_owned(), step: 0, task: 0, run: 1 };
    let front: InstanceId = "e-2".parse().expect("a name");
    let start = Start {
        run: Some(run.clone()),
        worker: "w".to_owned(),
        service: "svc".to_owned(),
        need: Some((&need(14_000)).into()),
        run_ms: 100,
        token: bed.token,
        seen_ms: START.as_ms(),
        ..Start::default()
    };
    bed.owner.start(&front, start, START, &mut out);
    assert!(
        out.commands.iter().any(|command| matches!(command, Command::StartRun { .. })),
        "the run is ordered"
    );
    let (run, worker) = (RunKey::from(&run), bed.worker.clone());
    bed.owner.started(&worker, &run, StartAnswer::Lost, None, START, &mut out);
    bed.owner.stopped(&worker, &run, true, START + Span::from_ms(10));
    // Accepted again and again, as if each answer had been lost on the way to the next look.
    for after in [60, 80, 90] {
        bed.owner.stopped(&worker, &run, true, START + Span::from_ms(after));
    }
    bed.look(START + Span::from_ms(91), &mut out);
    assert_eq!(ends(&out), 1, "80 ms after the first stop was accepted the run is gone");
}
