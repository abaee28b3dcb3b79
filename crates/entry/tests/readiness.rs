//! Guards against an instance that takes callers before it can serve, or never.

mod common;

use std::time::Instant;

use cranberryhatch_store::{InstanceState, ListedInstance, Role};
use cranberryhatch_types::Span;

use common::{Site, free_addr};

/// What is wrong with the list that an instance reads.
struct Case {
    guards: &'static str,
    /// Whether the list has the instance.
    listed: bool,
    /// Whether the list has a peer that nobody runs.
    absent: bool,
}

const CASES: &[Case] = &[
    Case {
        guards: "ready before the list that tells others of it is out",
        listed: false,
        absent: false,
    },
    Case { guards: "ready before a listed peer is linked", listed: true, absent: true },
];

/// Time after which an instance gives up what is missing; docs/design.md, section 5.
const LIMIT: Span = Span::from_secs(5);

fn row(id: &str, addr: std::net::SocketAddr, peer: std::net::SocketAddr) -> ListedInstance {
    ListedInstance {
        role: Role::Entry,
        id: id.to_owned(),
        addr,
        peer: Some(peer),
        zone: "z1".parse().expect("id"),
        rack: None,
        state: InstanceState::Live,
    }
}

#[test]
fn an_instance_that_others_cannot_reach_is_ready_only_after_the_limit() {
    let mut early = Vec::new();
    for case in CASES {
        let mut site = Site::new(2);
        let (addr, peer) = (free_addr(), free_addr());
        if case.listed {
            site.listing.push(row("e1", addr, peer));
        }
        if case.absent {
            site.listing.push(row("e2", free_addr(), free_addr()));
        }
        site.list();
        let start = Instant::now();
        let entry = site.start("e1", addr, peer);
        site.wait_ready(&entry);
        let waited = start.elapsed();
        if waited < LIMIT.into() {
            early.push((case.guards, waited));
        }
    }
    assert!(early.is_empty(), "{early:?}");
}

/// Keys of one instance, submitted at others as soon as all are ready, must reach the holder.
#[test]
fn holders_are_reached_as_soon_as_all_are_ready() {
    let mut site = Site::new(2);
    let entries: Vec<_> = ["e1", "e2", "e3"].map(|id| site.entry(id)).into_iter().collect();
    for entry in &entries {
        site.wait_ready(entry);
    }
    for holder in &entries {
        for (key, other) in site.keys(holder, 3).iter().zip(&entries) {
            let (status, answer) = site.submit(holder, key, 1, 1);
            assert_eq!(status, 200, "{answer}");
            let (status, answer) = site.submit(other, key, 1, 1);
            assert_eq!((status, &answer["outcome"]), (200, &"complete".into()), "{answer}");
        }
    }
}
