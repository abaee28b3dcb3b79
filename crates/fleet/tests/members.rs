//! Guards against roles that change with each link, and against members that are never admitted.

use cranberryhatch_fleet::{Member, Members, MembershipChange};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

const START: Time = Time::from_ms(10_000);

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

/// Returns a member; the admitted one with the most cores is the scheduler.
fn member(name: &str, cores: u32, joined: bool) -> Member {
    let zone = "a".parse().expect("a zone");
    Member {
        id: id(name),
        incarnation: 1,
        zone,
        cores,
        draining: false,
        core: true,
        joined,
        version: 0,
    }
}

/// Returns the members of an instance that has joined and admitted itself and a peer.
fn settled() -> Members {
    let mut members = Members::new(member("me", 200, false));
    members.add_peer(member("old", 100, true), START);
    members.join(START);
    let view = members.view();
    members.set_view(&id("old"), view);
    assert!(members.admit_pending(START).is_some());
    members
}

fn scheduler(members: &Members) -> String {
    members.scheduler().map(ToString::to_string).unwrap_or_default()
}

struct Case {
    name: &'static str,
    /// Peers that announce the same view.
    agree: &'static [&'static str],
    /// Whether the new peer has joined.
    joined: bool,
    /// Time since it connected, or since all views agree, in milliseconds.
    after: u64,
    /// The scheduler then; the new peer is the largest.
    scheduler: &'static str,
}

#[test]
fn new_peer_is_admitted_when_all_views_agree_or_after_a_timeout() {
    let all: &[_] = &["old", "new"];
    let cases = [
        Case { name: "all agree", agree: all, joined: true, after: 0, scheduler: "new" },
        Case { name: "only it agrees", agree: &["new"], joined: true, after: 0, scheduler: "me" },
        Case { name: "not yet", agree: &["old"], joined: true, after: 1_000, scheduler: "me" },
        Case { name: "never agreed", agree: &[], joined: true, after: 1_200, scheduler: "new" },
        Case { name: "it has not joined", agree: all, joined: false, after: 60, scheduler: "me" },
    ];
    for Case { name, agree, joined, after, scheduler: expected } in cases {
        let mut members = settled();
        members.add_peer(member("new", 300, joined), START);
        let view = members.view();
        agree.iter().for_each(|peer| members.set_view(&id(peer), view));
        members.admit_pending(START);
        members.admit_pending(START + Span::from_ms(after));
        assert_eq!(scheduler(&members), expected, "{name}");
    }
}

#[test]
fn members_that_join_together_are_admitted_together() {
    let mut members = settled();
    members.add_peer(member("new", 300, false), START);
    let view = members.view();
    ["old", "new"].iter().for_each(|peer| members.set_view(&id(peer), view));
    assert_eq!(members.admit_pending(START), None, "one may join soon");
    let joined = START + Span::from_ms(40);
    members.update_peer(&id("new"), true, true, joined);
    assert_eq!(members.admit_pending(joined), None, "the others may not know that it joined");
    let view = members.view();
    ["old", "new"].iter().for_each(|peer| members.set_view(&id(peer), view));
    let change = MembershipChange { members: 1, waited: Span::ZERO, agreed: true };
    assert_eq!(members.admit_pending(joined), Some(change));
    assert_eq!(scheduler(&members), "new");
}

#[test]
fn instance_that_lost_all_peers_admits_new_ones_at_once() {
    let mut members = settled();
    members.remove_peer(&id("old"));
    assert_eq!(scheduler(&members), "me");
    members.add_peer(member("new", 300, true), START);
    members.add_peer(member("newer", 400, true), START);
    assert_eq!(scheduler(&members), "newer", "no view agrees yet");
}

#[test]
fn unresponsive_member_schedules_only_if_all_are_unresponsive() {
    let mut members = settled();
    members.set_unresponsive(vec![id("me")]);
    assert_eq!(scheduler(&members), "old");
    members.set_unresponsive(vec![id("old"), id("me")]);
    assert_eq!(scheduler(&members), "me");
}

/// Returns the number of workers that each owner has, of 2,000.
fn shares(members: &Members) -> Vec<(String, usize)> {
    const WORKERS: usize = 2_000;
    let owners = members.owners(WORKERS);
    let mut shares: Vec<(String, usize)> = Vec::new();
    for number in 0..WORKERS {
        let worker: WorkerId = format!("w-{number}").parse().expect("an id");
        let owner = owners.of(&worker, "a").expect("an owner").to_string();
        match shares.iter_mut().find(|(known, _)| *known == owner) {
            Some((_, count)) => *count += 1,
            None => shares.push((owner, 1)),
        }
    }
    shares.sort();
    shares
}

#[test]
fn owners_have_workers_in_proportion_to_their_processor_shares() {
    let mut members = settled();
    members.add_peer(member("new", 300, true), START);
    let view = members.view();
    ["old", "new"].iter().for_each(|peer| members.set_view(&id(peer), view));
    assert!(members.admit_pending(START).is_some());
    // "me", "new" and "old" have 200, 300 and 100.
    for ((name, count), fair) in shares(&members).into_iter().zip([667_usize, 1_000, 333]) {
        assert!(count.abs_diff(fair) <= fair / 5, "{name}: {count}, and {fair} in proportion");
    }
}

#[test]
fn loss_of_an_owner_moves_only_its_workers() {
    let mut members = settled();
    members.add_peer(member("new", 300, true), START);
    let view = members.view();
    ["old", "new"].iter().for_each(|peer| members.set_view(&id(peer), view));
    assert!(members.admit_pending(START).is_some());
    let before = members.owners(2_000);
    members.remove_peer(&id("new"));
    let after = members.owners(2_000);
    for number in 0..2_000 {
        let worker: WorkerId = format!("w-{number}").parse().expect("an id");
        let had = before.of(&worker, "a").expect("an owner");
        if had.as_str() != "new" {
            assert_eq!(after.of(&worker, "a"), Some(had), "{worker}");
        }
    }
}
