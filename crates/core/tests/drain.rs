//! Drained availability zones: placing, refusals, retries and loans.

mod fleet;
mod support;

use std::sync::Arc;

use cranberryhatch_core::{
    Blocked, Cluster, Code, Command, Counter, Event, Listing, Need, NotRun, Outcome, SlotOutcome,
    StateChange,
};
use cranberryhatch_schema::peer::{Borrow, Heartbeat, Lend, envelope::Body};
use cranberryhatch_types::{Incarnation, ShardId, Span, Time};
use fleet::{at, endpoint, identity, settings, team, zone};
use support::{Rig, counted, issued, job, sent, starts};

/// Two zones, one of them the own one.
const ZONES: &str = "[deployment test]\nzones.names = praha-a praha-b\n";
const OWN: &str = "[zone praha-a]\nzone.drained = on\n";
const FAR: &str = "[zone praha-b]\nzone.drained = on\n";

/// A row of the list: an endpoint in a zone, and whether it is leaving.
fn row(index: usize, (zone, leaving): (&str, bool)) -> Listing {
    Listing::Endpoint {
        id: format!("listed-{index}").parse().expect("a worker"),
        addr: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.parse().expect("a zone"),
        rack: "rack".parse().expect("a rack"),
        leaving,
    }
}

fn listed(rows: &[(&str, bool)]) -> Event {
    let rows = rows.iter().copied().enumerate();
    Event::Listed(Arc::new(rows.map(|(index, entry)| row(index, entry)).collect()))
}

fn beat(zone: &str, idle: u32) -> Body {
    Body::Heartbeat(Heartbeat { zone: zone.to_owned(), shards: 1, idle, ..Heartbeat::default() })
}

#[derive(Debug, PartialEq, Eq)]
enum Fate {
    Starts,
    Waits,
    Refused,
}

struct Case {
    guards: &'static str,
    tree: &'static [&'static str],
    /// Endpoints in the list, if it was read.
    list: Option<&'static [(&'static str, bool)]>,
    /// Zone of an instance that was heard.
    peer: Option<&'static str>,
    fate: Fate,
}

const CASES: &[Case] = &[
    Case {
        guards: "a drain of another zone stops the own one",
        tree: &[FAR],
        list: Some(&[("praha-a", false), ("praha-b", false)]),
        peer: None,
        fate: Fate::Starts,
    },
    Case {
        guards: "a task is started in a drained zone",
        tree: &[OWN],
        list: Some(&[("praha-a", false), ("praha-b", false)]),
        peer: None,
        fate: Fate::Waits,
    },
    Case {
        guards: "a drain that is withdrawn stays in force",
        tree: &["[zone praha-a]\nzone.drained = off\n"],
        list: Some(&[("praha-a", false)]),
        peer: None,
        fate: Fate::Starts,
    },
    Case {
        guards: "a job that no endpoint may run waits for its deadline",
        tree: &[OWN],
        list: Some(&[("praha-a", false)]),
        peer: None,
        fate: Fate::Refused,
    },
    Case {
        guards: "of two drains that overlap only one counts",
        tree: &[OWN, FAR],
        list: Some(&[("praha-a", false), ("praha-b", false)]),
        peer: None,
        fate: Fate::Refused,
    },
    Case {
        guards: "endpoints that leave count as capacity",
        tree: &[OWN],
        list: Some(&[("praha-a", false), ("praha-b", true)]),
        peer: None,
        fate: Fate::Refused,
    },
    Case {
        guards: "endpoints that the settings keep out of reach count as capacity",
        tree: &[OWN, "[root]\nborrow.zones = off\n"],
        list: Some(&[("praha-a", false), ("praha-b", false)]),
        peer: None,
        fate: Fate::Refused,
    },
    Case {
        guards: "without the list an instance that nobody can lend to refuses nothing",
        tree: &[OWN],
        list: None,
        peer: None,
        fate: Fate::Refused,
    },
    Case {
        guards: "without the list jobs are refused that another zone could run",
        tree: &[OWN],
        list: None,
        peer: Some("praha-b"),
        fate: Fate::Waits,
    },
    Case {
        guards: "a drain is named as the cause where no endpoint is known at all",
        tree: &[FAR],
        list: Some(&[]),
        peer: None,
        fate: Fate::Starts,
    },
];

fn rig(tree: &[&str]) -> Rig {
    let mut rig = Rig::new(ZONES);
    rig.worker("w1", 4);
    rig.pass(4_000);
    rig.settings(&format!("{ZONES}{}", tree.concat()));
    rig
}

#[test]
fn jobs_start_wait_or_are_refused() {
    for case in CASES {
        let mut rig = rig(case.tree);
        if let Some(list) = case.list {
            rig.event(listed(list));
        }
        if let Some(zone) = case.peer {
            rig.peer("peer-1/1", beat(zone, 0));
        }
        let (ticket, begun) = rig.run(&job(&issued(support::HOLDER, 1), 2));
        let answer = rig.reply(ticket);
        let fate = match (begun.len(), &answer) {
            (2, None) => Fate::Starts,
            (0, None) => Fate::Waits,
            (0, Some(_)) => Fate::Refused,
            _ => panic!("{}: {begun:?} {answer:?}", case.guards),
        };
        assert_eq!(fate, case.fate, "guards against: {}", case.guards);
        if let Some(answer) = answer {
            let verdict = (answer.outcome, answer.code);
            assert_eq!(verdict, (Outcome::NotRun, Some(Code::ZoneDrained)), "{}", case.guards);
            assert!(answer.retry_after.is_some_and(|retry| retry >= Span::from_secs(1)));
            assert_eq!(counted(&rig.out, Counter::JobsRefusedDrained), 1);
        }
        assert_eq!(counted(&rig.out, Counter::InvariantsBroken), 0);
    }
}

/// Guards against an own key whose refusal claims more than this instance can know.
#[test]
fn a_key_that_may_run_elsewhere_is_refused_as_unknown() {
    let mut rig = rig(&[OWN]);
    let ticket = rig.resubmit(&job(&support::key("k"), 1));
    assert_eq!(rig.verdict(ticket), Some((Outcome::Unknown, Some(Code::ZoneDrained))));
}

/// Guards against a drain that ends or forgets what runs, keeps waiting callers in doubt, or stays
/// after its end.
#[test]
fn what_runs_ends_and_what_waits_is_refused() {
    let mut rig = rig(&[]);
    let (first, begun) = rig.run(&job(&issued(support::HOLDER, 1), 5));
    assert_eq!(begun.len(), 4);
    let (second, none) = rig.run(&job(&issued(support::HOLDER, 2), 1));
    assert!(none.is_empty());
    rig.settings(&format!("{ZONES}{OWN}"));
    assert_eq!(rig.verdict(second), Some((Outcome::NotRun, Some(Code::ZoneDrained))));
    assert!(rig.reply(first).is_none(), "a job of which tasks run goes on");
    assert!(support::stops(&rig.out).is_empty(), "running tasks end by themselves");
    let told = |command: &Command| matches!(command, Command::State(StateChange::Stranded(true)));
    assert!(rig.out.iter().any(told));
    for start in &begun {
        rig.done(start.attempt);
        assert!(starts(&rig.out).is_empty(), "a freed slot of a drained zone is used");
    }
    assert!(starts(&rig.pass(2_000)).is_empty());
    rig.settings(ZONES);
    let last = starts(&rig.out);
    assert_eq!(last.len(), 1, "a restored zone is used at once");
    rig.done(last[0].attempt);
    assert_eq!(rig.verdict(first), Some((Outcome::Complete, None)));
}

/// Guards against an attempt after the first that goes to a drained zone.
#[test]
fn retries_do_not_go_there() {
    for reason in [NotRun::Busy, NotRun::StartFailed, NotRun::Unreachable] {
        let mut rig = rig(&[]);
        let list = [("praha-a", false), ("praha-b", false)];
        rig.event(listed(&list));
        let (_, begun) = rig.run(&job(&issued(support::HOLDER, 1), 1));
        rig.settings(&format!("{ZONES}{OWN}"));
        rig.refuse(begun[0].attempt, reason);
        let mut again = starts(&rig.out);
        again.extend(starts(&rig.pass(3_000)));
        assert!(again.is_empty(), "{reason:?}");
        rig.settings(ZONES);
        let mut again = starts(&rig.out);
        again.extend(starts(&rig.pass(1_000)));
        assert_eq!(again.len(), 1, "{reason:?}");
    }
}

const PLAIN: &str = fleet::PLAIN;
const FIRST: &str = "[zone zone-0]\nzone.drained = on\n";
const SECOND: &str = "[zone zone-1]\nzone.drained = on\n";

/// One shard in `zone-0` and a peer in `zone-1`.
struct Pair {
    cluster: Cluster,
    peer: ShardId,
    out: Vec<Command>,
    now: u64,
    version: u64,
}

impl Pair {
    fn new() -> Self {
        let cluster = Cluster::new(identity("entry-0", 1, zone(0), 0, 1));
        let peer = identity("entry-1", 1, zone(1), 0, 1).shard;
        let mut pair = Self { cluster, peer, out: Vec::new(), now: 0, version: 0 };
        pair.force("");
        pair
    }

    fn tell(&mut self, event: &Event) {
        self.cluster.handle(at(self.now), event, &mut self.out);
    }

    fn hear(&mut self, body: Body) {
        let from = self.peer.clone();
        self.tell(&Event::Peer { from, incarnation: Incarnation::new(1), body });
    }

    fn force(&mut self, extra: &str) {
        self.version += 1;
        self.tell(&settings(self.version, &format!("{PLAIN}{extra}"), zone(0)));
    }

    // Lets leases of earlier owners lapse while an own worker of 4 slots and the peer answer.
    fn warm(&mut self, idle: u32) {
        while self.now < 5_000 {
            self.now += 500;
            let asked: Time = at(self.now);
            let seen = cranberryhatch_core::Endpoint {
                heartbeat_sent: asked,
                ..endpoint("worker-0", zone(0), "rack-0", 4)
            };
            self.tell(&Event::EndpointSeen(seen));
            self.hear(beat("zone-1", idle));
            self.tell(&Event::Tick);
        }
        self.out.clear();
    }

    fn lends(&self) -> Vec<Lend> {
        let lend = |(_, body)| match body {
            Body::Lend(lend) => Some(lend),
            _ => None,
        };
        sent(&self.out).into_iter().filter_map(lend).collect()
    }

    /// Loans given back, with the slots kept.
    fn returns(&self) -> Vec<(u64, u32)> {
        let back = |(_, body)| match body {
            Body::Return(back) => Some((back.loan, back.kept)),
            _ => None,
        };
        sent(&self.out).into_iter().filter_map(back).collect()
    }

    fn borrows(&self) -> Vec<Borrow> {
        let borrow = |(_, body)| match body {
            Body::Borrow(borrow) => Some(borrow),
            _ => None,
        };
        sent(&self.out).into_iter().filter_map(borrow).collect()
    }
}

/// Guards against a drained zone whose slots others go on using, or get again.
#[test]
fn a_lender_recalls_its_loans_and_lends_no_more() {
    let mut pair = Pair::new();
    pair.warm(0);
    let ask = |request| Borrow { request, slots: 2, queued: 2, ..Borrow::default() };
    pair.hear(Body::Borrow(ask(1)));
    let lent = pair.lends();
    assert_eq!(lent.iter().map(|lend| lend.slots).sum::<u32>(), 2, "{lent:?}");
    pair.out.clear();
    pair.force(FIRST);
    let recalled = pair.lends();
    assert_eq!(recalled.len(), lent.len());
    assert!(recalled.iter().all(|lend| lend.slots == 0), "{recalled:?}");
    pair.out.clear();
    pair.hear(Body::Borrow(ask(2)));
    assert!(pair.lends().is_empty(), "a slot of a drained zone is lent");
    pair.force("");
    pair.hear(Body::Borrow(ask(3)));
    assert!(!pair.lends().is_empty(), "a restored zone lends nothing");
}

/// Guards against starts on a loan in a drained zone whose lender has not heard of the drain, and
/// against requests to such a lender.
#[test]
fn a_borrower_gives_loans_of_a_drained_zone_back() {
    let mut pair = Pair::new();
    pair.warm(8);
    let script = team("script");
    let own: Vec<_> =
        std::iter::from_fn(|| pair.cluster.acquire(at(pair.now), &script, &Need::default()).ok())
            .collect();
    assert_eq!(own.len(), 4);
    let now = at(pair.now);
    pair.cluster.set_demand(now, &[(script.clone(), 3)], &mut pair.out);
    let request = pair.borrows().first().expect("a request").request;
    let lend = |loan, request| Lend {
        loan,
        request,
        worker: "worker-1".to_owned(),
        slots: 2,
        lease_ms: 2_000,
        zone: "zone-1".to_owned(),
        rack: "rack-1".to_owned(),
        cores_milli: 32_000,
        ..Lend::default()
    };
    pair.hear(Body::Lend(lend(7, request)));
    let used = pair.cluster.acquire(now, &script, &Need::default()).expect("a borrowed slot");
    pair.out.clear();
    pair.force(SECOND);
    assert_eq!(pair.returns(), [(7, 1)], "the idle slot goes back, the one in use stays");
    let none = pair.cluster.acquire(now, &script, &Need::default());
    assert_eq!(none, Err(Blocked::NoSlot));
    pair.hear(beat("zone-1", 8));
    pair.cluster.set_demand(now, &[(script.clone(), 9)], &mut pair.out);
    assert!(pair.borrows().is_empty(), "slots of a drained zone are asked for");
    pair.out.clear();
    // A loan that was on its way when the drain came in force.
    pair.hear(Body::Lend(lend(8, request)));
    assert_eq!(pair.returns(), [(8, 0)]);
    pair.out.clear();
    pair.cluster.release(now, &script, used, SlotOutcome::Done);
    pair.cluster.set_demand(now, &[(script, 9)], &mut pair.out);
    assert_eq!(pair.returns(), [(7, 0)]);
    assert_eq!(counted(&pair.out, Counter::InvariantsBroken), 0);
}
