//! Guards against duties that change with each link, and against members that never count.

use cranberryhatch_fleet::{Member, Members, MembershipChange};
use cranberryhatch_types::{InstanceId, Span, Time, WorkerId};

const START: Time = Time::from_ms(10_000);

fn id(name: &str) -> InstanceId {
    name.parse().expect("a name")
}

/// A member that schedules if it counts: the one with the most cores does.
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

/// An instance that has joined and counts itself and a peer.
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
    /// Which peers say that they see the same.
    agree: &'static [&'static str],
    /// Whether the new peer has joined.
    joined: bool,
    /// Time since it came up, or since all agree.
    after: u64,
    /// Who schedules then; the new peer is the largest.
    scheduler: &'static str,
}

#[test]
fn a_peer_that_comes_up_counts_when_all_agree_or_have_had_the_time_to() {
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
fn members_that_join_together_are_counted_together() {
    let mut members = settled();
    members.add_peer(member("new", 300, false), START);
    let view = members.view();
    ["old", "new"].iter().for_each(|peer| members.set_view(&id(peer), view));
    assert_eq!(members.admit_pending(START), None, "one may join in a moment");
    let joined = START + Span::from_ms(40);
    members.update_peer(&id("new"), true, true, joined);
    assert_eq!(members.admit_pending(joined), None, "the others may not know that it joined");
    let view = members.view();
    ["old", "new"].iter().for_each(|peer| members.set_view(&id(peer), view));
    let counted = MembershipChange { members: 1, waited: Span::ZERO, agreed: true };
    assert_eq!(members.admit_pending(joined), Some(counted));
    assert_eq!(scheduler(&members), "new");
}

#[test]
fn an_instance_that_comes_back_alone_follows_the_others_at_once() {
    let mut members = settled();
    members.remove_peer(&id("old"));
    assert_eq!(scheduler(&members), "me");
    members.add_peer(member("new", 300, true), START);
    members.add_peer(member("newer", 400, true), START);
    assert_eq!(scheduler(&members), "newer", "nobody has agreed yet");
}

#[test]
fn a_quiet_member_schedules_only_if_all_are_quiet() {
    let mut members = settled();
    members.set_unresponsive(vec![id("me")]);
    assert_eq!(scheduler(&members), "old");
    members.set_unresponsive(vec![id("old"), id("me")]);
    assert_eq!(scheduler(&members), "me");
}

/// Workers that each of these owners has, of 2,000.
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
fn owners_have_workers_in_proportion_to_their_processors() {
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
fn a_lost_owner_moves_only_its_own_workers() {
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
