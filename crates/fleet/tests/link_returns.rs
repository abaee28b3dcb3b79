//! Guards against a second run of a task after the link to the owner of its first run is back: the
//! owner's report says nothing of runs that were not started on the link that broke.

mod common;

use std::sync::Arc;

use common::{kind_settings, need};
use cranberryhatch_fleet::{Command, Job, Member, Message, Node, Output, Step};
use cranberryhatch_schema::fleet::{Grant, Obeying, Place, Relinked};
use cranberryhatch_types::{InstanceId, Span, Time};

const NOW: Time = Time::from_ms(20_000);

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        id: id(name),
        incarnation,
        zone: "a".parse().expect("a zone"),
        cores: 250,
        draining: false,
        core: true,
        joined: true,
        version: 0,
    }
}

/// Returns the numbers of the runs that are started.
fn starts(out: &Output) -> Vec<u32> {
    let starts = out.commands.iter().filter_map(|command| match command {
        Command::Send { message: Message::Start(start), .. } => start.run.as_ref(),
        _ => None,
    });
    starts.map(|run| run.run).collect()
}

/// Grants the task capacity on worker `w` of owner `o`, and returns the runs that are started.
fn grant(node: &mut Node, now: Time) -> Vec<u32> {
    let mut out = Output::default();
    let (worker, owner) = ("w".to_owned(), "o".to_owned());
    let place = Place { worker, owner, run_ms: 100, token: 7, ..Place::default() };
    let grant = Grant { job: "j".to_owned(), step: 0, places: vec![place] };
    node.handle_message(&id("o"), Message::Grant(grant), now, &mut out);
    starts(&out)
}

#[test]
fn report_of_a_returned_owner_ends_only_runs_that_were_started_on_the_broken_link() {
    struct Case {
        name: &'static str,
        /// Links before the report: after how many milliseconds they are up, and the incarnation
        /// of the owner.
        links: &'static [(u64, u64)],
        /// Runs that are started if the task is granted capacity again.
        starts: &'static [u32],
    }
    let cases = [
        Case { name: "started on the broken link", links: &[(20, 1)], starts: &[2] },
        Case { name: "started on an earlier link", links: &[(20, 1), (40, 1)], starts: &[] },
        Case { name: "the owner has restarted", links: &[(20, 2)], starts: &[] },
        Case {
            name: "the owner has restarted and is back again",
            links: &[(20, 2), (40, 2)],
            starts: &[],
        },
    ];
    for Case { name, links, starts } in cases {
        let mut node = Node::new(member("me", 1), NOW);
        let mut out = Output::default();
        node.link_up(member("o", 1), NOW, &mut out);
        let job = Job {
            name: "j".to_owned(),
            settings: Arc::new(kind_settings()),
            payload: "x".into(),
            steps: vec![Step { tasks: 1, need: need(14_000), ..Step::default() }],
            arrived: NOW,
            deadline: NOW + Span::from_ms(60_000),
        };
        let mut now = NOW + Span::from_ms(10);
        node.submit(1, job, now, &mut out);
        assert_eq!(grant(&mut node, now), [1], "{name}: first run");
        for (up, incarnation) in links {
            now = NOW + Span::from_ms(*up);
            node.link_down(&id("o"), now, &mut out);
            node.link_up(member("o", *incarnation), now, &mut out);
        }
        let obeying = vec![Obeying { worker: "w".to_owned(), token: 7 }];
        let relinked = Relinked { obeying, ..Relinked::default() };
        node.handle_message(&id("o"), Message::Relinked(relinked), now, &mut out);
        assert_eq!(grant(&mut node, now), starts, "{name}");
    }
}
