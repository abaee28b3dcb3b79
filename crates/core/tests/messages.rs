//! What one shard says to its peers, and what it makes of repeated and late messages.

mod fleet;

use cranberryhatch_core::{Cluster, Command, Endpoint, Event, Listing, Need, SlotOutcome};
use cranberryhatch_schema::peer::{Borrow, Heartbeat, Lend, Return, envelope::Body};
use cranberryhatch_types::{Incarnation, ShardId};
use fleet::{at, endpoint, identity, settings, team, zone};

/// One shard, with what it sent to each peer.
struct Bed {
    cluster: Cluster,
    out: Vec<Command>,
    now: u64,
}

impl Bed {
    fn new(text: &str) -> Self {
        let me = identity("entry-0", 1, zone(0), 0, 1);
        let mut bed = Self { cluster: Cluster::new(me), out: Vec::new(), now: 0 };
        bed.tell(&settings(1, text, zone(0)));
        bed
    }

    // With one worker of 4 slots whose earlier leases have lapsed.
    fn with_worker() -> Self {
        let mut bed = Self::new("");
        bed.worker_seen();
        bed.pass(3_000);
        bed.worker_seen();
        bed.out.clear();
        bed
    }

    fn worker_seen(&mut self) {
        let asked = at(self.now);
        let seen = Endpoint { heartbeat_sent: asked, ..endpoint("worker-0", zone(0), "rack-0", 4) };
        self.tell(&Event::EndpointSeen(seen));
    }

    fn tell(&mut self, event: &Event) {
        self.cluster.handle(at(self.now), event, &mut self.out);
    }

    fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = end.min(self.now + 10);
            self.tell(&Event::Tick);
        }
    }

    fn say(&mut self, peer: &str, body: Body) {
        let from: ShardId = peer.parse().expect("a shard");
        self.tell(&Event::Peer { from, incarnation: Incarnation::new(1), body });
    }

    fn beat(&mut self, peer: &str, zone: &str, idle: u32) {
        let beat = Heartbeat { zone: zone.to_owned(), shards: 1, idle, ..Heartbeat::default() };
        self.say(peer, Body::Heartbeat(beat));
        self.out.clear();
    }

    fn demand(&mut self, count: u32) {
        let waiting = [(team("script"), count)];
        let waiting = if count == 0 { &[][..] } else { &waiting[..] };
        self.cluster.set_demand(at(self.now), waiting, &mut self.out);
    }

    fn take(&mut self) -> Option<cranberryhatch_core::Slot> {
        self.cluster.acquire(at(self.now), &team("script"), &Need::default()).ok()
    }

    // Takes what was sent, but for heartbeats.
    fn sent(&mut self) -> Vec<(String, Body)> {
        let sent = std::mem::take(&mut self.out).into_iter().filter_map(|command| match command {
            Command::Send { body: Body::Heartbeat(_), .. } => None,
            Command::Send { to, body } => Some((to.to_string(), body)),
            _ => None,
        });
        sent.collect()
    }

    fn borrows(&mut self) -> Vec<(String, u64, u32)> {
        let sent = self.sent().into_iter().filter_map(|(to, body)| match body {
            Body::Borrow(borrow) => Some((to, borrow.request, borrow.slots)),
            _ => None,
        });
        sent.collect()
    }

    fn returns(&mut self) -> Vec<Return> {
        let sent = self.sent().into_iter().filter_map(|(_, body)| match body {
            Body::Return(back) => Some(back),
            _ => None,
        });
        sent.collect()
    }

    fn lends(&mut self) -> Vec<Lend> {
        let sent = self.sent().into_iter().filter_map(|(_, body)| match body {
            Body::Lend(lend) => Some(lend),
            _ => None,
        });
        sent.collect()
    }
}

fn lend(loan: u64, request: u64, slots: u32) -> Body {
    Body::Lend(Lend {
        loan,
        request,
        worker: "worker-9".to_owned(),
        slots,
        lease_ms: 2_000,
        zone: "zone-0".to_owned(),
        rack: "rack-9".to_owned(),
        cores_milli: 32_000,
        memory: 1 << 36,
        accels: 1,
        idle: 0,
    })
}

fn ask(request: u64, slots: u32) -> Body {
    Body::Borrow(Borrow { request, slots, queued: slots, ..Borrow::default() })
}

const fn back(loan: u64, kept: u32, request: u64) -> Body {
    Body::Return(Return { loan, kept, request, queued: 0 })
}

#[test]
fn idle_peers_are_asked_at_once_in_blocks_and_the_own_zone_first() {
    struct Case {
        text: &'static str,
        waiting: u32,
        asked: &'static [(&'static str, u32)],
    }
    // Guards against a backlog that waits for a tick or for one peer after the other, and against
    // settings without effect.
    let cases = [
        Case { text: "", waiting: 5, asked: &[("entry-1/0", 5)] },
        Case {
            text: "",
            waiting: 24,
            asked: &[("entry-1/0", 16), ("entry-1/0", 4), ("entry-2/0", 4)],
        },
        Case {
            text: "borrow.block = 8\n",
            waiting: 20,
            asked: &[("entry-1/0", 8), ("entry-1/0", 8), ("entry-1/0", 4)],
        },
        Case {
            text: "",
            waiting: 32,
            asked: &[("entry-1/0", 16), ("entry-1/0", 4), ("entry-2/0", 6), ("entry-3/0", 6)],
        },
        Case {
            text: "borrow.zones = off\n",
            waiting: 26,
            asked: &[("entry-1/0", 16), ("entry-1/0", 4), ("entry-2/0", 6)],
        },
        Case { text: "borrow.enabled = off\n", waiting: 20, asked: &[] },
    ];
    for case in cases {
        let mut bed = Bed::new(&format!("[deployment test]\n{}", case.text));
        bed.beat("entry-1/0", "zone-0", 20);
        bed.beat("entry-2/0", "zone-0", 6);
        bed.beat("entry-3/0", "zone-1", 50);
        bed.demand(case.waiting);
        let asked = bed.borrows();
        let asked: Vec<_> = asked.iter().map(|(to, _, slots)| (to.as_str(), *slots)).collect();
        assert_eq!(asked, case.asked, "{:?} with {} waiting", case.text, case.waiting);
        bed.demand(case.waiting);
        assert_eq!(bed.borrows(), [], "what is on its way is not asked for again");
    }
}

#[test]
fn a_request_is_withdrawn_when_nothing_waits() {
    // Guards against slots that are lent to a shard that no longer needs them.
    let mut bed = Bed::new("");
    bed.beat("entry-1/0", "zone-0", 0);
    bed.demand(3);
    assert_eq!(bed.borrows(), [("entry-1/0".to_owned(), 1, 3)]);
    bed.demand(0);
    bed.pass(10);
    assert_eq!(bed.borrows(), [("entry-1/0".to_owned(), 2, 0)]);
    bed.pass(100);
    assert_eq!(bed.borrows(), []);
}

#[test]
fn idle_borrowed_slots_go_back_at_once_and_used_ones_are_renewed() {
    // Guards against loans that are held without need, and against tasks whose slots lapse at the
    // lender while they run.
    let mut bed = Bed::new("");
    bed.beat("entry-1/0", "zone-0", 4);
    bed.demand(4);
    bed.say("entry-1/0", lend(7, 1, 4));
    let slots: Vec<_> = std::iter::from_fn(|| bed.take()).collect();
    assert_eq!(slots.len(), 4);
    bed.demand(0);
    assert_eq!(bed.returns(), [], "all slots are in use");
    bed.cluster.release(at(bed.now), &team("script"), slots[0], SlotOutcome::Done);
    bed.demand(0);
    assert_eq!(bed.returns(), [Return { loan: 7, kept: 3, request: 0, queued: 0 }]);
    bed.pass(1_000);
    let renewals = bed.returns();
    assert_eq!(renewals.len(), 1, "{renewals:?}");
    assert!(renewals[0].kept == 3 && renewals[0].request > 0, "{renewals:?}");
    for slot in &slots[1..] {
        bed.cluster.release(at(bed.now), &team("script"), *slot, SlotOutcome::Done);
    }
    bed.demand(0);
    assert_eq!(bed.returns(), [Return { loan: 7, kept: 0, request: 0, queued: 0 }]);
}

#[test]
fn repeated_and_late_loans_give_no_slots() {
    struct Case {
        name: &'static str,
        late: u64,
        body: Body,
        refused: usize,
    }
    // Guards against a loan that its lender counts as returned or lapsed and that is used again.
    let cases = [
        Case { name: "repeated after its return", late: 0, body: lend(7, 1, 4), refused: 0 },
        Case { name: "repeated after its lease", late: 2_100, body: lend(7, 1, 4), refused: 1 },
        Case { name: "delivered after its lease", late: 2_100, body: lend(8, 1, 4), refused: 1 },
        Case { name: "answers no request", late: 0, body: lend(8, 99, 4), refused: 1 },
        Case { name: "lowers an unknown loan", late: 0, body: lend(8, 0, 4), refused: 0 },
    ];
    for case in cases {
        let mut bed = Bed::new("");
        bed.beat("entry-1/0", "zone-0", 4);
        bed.demand(4);
        bed.say("entry-1/0", lend(7, 1, 4));
        assert_eq!(bed.cluster.free(), 4, "{}", case.name);
        bed.demand(0);
        assert_eq!(bed.cluster.free(), 0, "{}", case.name);
        bed.pass(case.late);
        bed.sent();
        bed.say("entry-1/0", case.body);
        assert_eq!(bed.cluster.free(), 0, "{}", case.name);
        assert_eq!(bed.returns().len(), case.refused, "{}", case.name);
    }
}

#[test]
fn a_loan_ends_for_its_borrower_a_lease_after_the_request() {
    // Guards against a borrower that counts the lease from the receipt of a late message.
    let mut bed = Bed::new("");
    bed.beat("entry-1/0", "zone-0", 4);
    bed.demand(4);
    bed.now = 900;
    bed.say("entry-1/0", lend(7, 1, 4));
    bed.now = 1_999;
    let slot = bed.take();
    assert!(slot.is_some());
    bed.now = 2_000;
    assert_eq!(bed.take(), None);
}

#[test]
fn a_recalled_loan_gives_no_more_slots() {
    // Guards against a lender whose own tasks wait until the borrower's backlog ends.
    let mut bed = Bed::new("");
    bed.beat("entry-1/0", "zone-0", 4);
    bed.demand(9);
    bed.say("entry-1/0", lend(7, 1, 4));
    let slot = bed.take().expect("a slot");
    bed.say("entry-1/0", lend(7, 0, 1));
    assert_eq!(bed.take(), None);
    bed.cluster.release(at(bed.now), &team("script"), slot, SlotOutcome::Done);
    assert!(bed.take().is_some());
    // A repeated older message does not raise it again.
    bed.say("entry-1/0", lend(7, 1, 4));
    assert_eq!(bed.take(), None);
}

#[test]
fn a_request_is_met_once() {
    // Guards against slots that are lent twice because a request was doubled on its way.
    let mut bed = Bed::with_worker();
    bed.say("entry-1/0", ask(5, 2));
    bed.say("entry-1/0", ask(5, 2));
    bed.say("entry-1/0", ask(4, 2));
    let lends = bed.lends();
    assert_eq!(lends.len(), 1);
    assert_eq!((lends[0].request, lends[0].slots, lends[0].idle), (5, 2, 2));
    assert_eq!(bed.cluster.lent(), 2);
}

#[test]
fn a_loan_comes_back_when_it_is_returned_or_lapses() {
    struct Case {
        name: &'static str,
        messages: Vec<Body>,
        after: u64,
        free: u32,
    }
    // Guards against slots that are lost with a message, and against slots that the lender uses while
    // the borrower still may: its lease of 2 s and the margin of 1 s.
    let cases = [
        Case { name: "lent", messages: vec![], after: 0, free: 0 },
        Case { name: "returned in part", messages: vec![back(1, 3, 0)], after: 0, free: 1 },
        Case {
            name: "returned twice",
            messages: vec![back(1, 3, 0), back(1, 3, 0)],
            after: 0,
            free: 1,
        },
        Case {
            name: "late message after a later one",
            messages: vec![back(1, 0, 0), back(1, 3, 9)],
            after: 0,
            free: 4,
        },
        Case { name: "before the lapse", messages: vec![], after: 2_980, free: 0 },
        Case { name: "another's loan", messages: vec![back(2, 0, 0)], after: 0, free: 0 },
        Case { name: "renewed", messages: vec![back(1, 4, 9)], after: 2_980, free: 0 },
    ];
    for case in cases {
        let mut bed = Bed::with_worker();
        bed.say("entry-1/0", ask(1, 4));
        assert_eq!(bed.cluster.lent(), 4);
        for message in case.messages {
            bed.say("entry-1/0", message);
        }
        bed.pass(case.after);
        assert_eq!(bed.cluster.free(), case.free, "{}", case.name);
    }
    let mut bed = Bed::with_worker();
    bed.say("entry-1/0", ask(1, 4));
    bed.pass(3_000);
    assert_eq!(bed.cluster.lent(), 0, "lapsed");
    bed.worker_seen();
    assert_eq!(bed.cluster.free(), 4);
}

#[test]
fn an_unmet_request_is_remembered_and_met_when_a_slot_comes_free() {
    // Guards against a borrower that has to ask again and again, and against old requests that are
    // met after the borrower has given up.
    let mut bed = Bed::with_worker();
    let slots: Vec<_> = std::iter::from_fn(|| bed.take()).collect();
    bed.say("entry-1/0", ask(1, 2));
    assert_eq!(bed.lends(), []);
    bed.cluster.release(at(bed.now), &team("script"), slots[0], SlotOutcome::Done);
    bed.demand(0);
    assert_eq!(bed.lends().len(), 1);
    bed.pass(1_000);
    bed.sent();
    bed.cluster.release(at(bed.now), &team("script"), slots[1], SlotOutcome::Done);
    bed.demand(0);
    assert_eq!(bed.lends(), []);
}

#[test]
fn a_worker_that_leaves_is_recalled_at_once() {
    // Guards against tasks that a borrower sends to a leaving endpoint until its loan ends.
    let mut bed = Bed::with_worker();
    bed.say("entry-1/0", ask(1, 4));
    bed.sent();
    let mut leaving = endpoint("worker-0", zone(0), "rack-0", 4);
    leaving.leaving = true;
    bed.tell(&Event::EndpointSeen(leaving));
    let lends = bed.lends();
    assert_eq!((lends[0].loan, lends[0].slots, lends[0].request), (1, 0, 0));
    bed.say("entry-1/0", back(1, 4, 9));
    assert_eq!(bed.lends(), [], "it is not renewed");
}

#[test]
fn a_loan_of_a_worker_that_the_list_calls_leaving_gives_no_slots() {
    // Guards against work for a leaving endpoint that the borrower first hears of in a late loan.
    let mut bed = Bed::new("");
    bed.tell(&Event::Listed(std::sync::Arc::new(vec![Listing::Endpoint {
        id: "worker-9".parse().expect("a worker"),
        addr: "127.0.0.1:1".parse().expect("an address"),
        zone: zone(0),
        rack: "rack-9".parse().expect("a rack"),
        leaving: true,
    }])));
    bed.beat("entry-1/0", "zone-0", 4);
    bed.demand(4);
    bed.say("entry-1/0", lend(7, 1, 4));
    assert_eq!((bed.cluster.free(), bed.take()), (0, None));
}

#[test]
fn a_stopping_shard_lends_nothing() {
    // Guards against loans that outlive their lender.
    let mut bed = Bed::with_worker();
    bed.beat("entry-1/0", "zone-0", 0);
    bed.tell(&Event::Drain);
    let told = bed.out.iter().any(|command| {
        matches!(command, Command::Send { body: Body::Heartbeat(beat), .. } if beat.draining)
    });
    assert!(told, "peers are told at once");
    bed.sent();
    bed.say("entry-1/0", ask(1, 4));
    assert_eq!(bed.lends(), []);
}
