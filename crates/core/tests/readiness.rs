//! Cases of what a shard that has just started still waits for.

mod fleet;

use std::sync::Arc;

use cranberryhatch_core::{Cluster, Command, Event, Listing, Prerequisite};
use cranberryhatch_schema::peer::{Heartbeat, envelope::Body};
use cranberryhatch_types::{Incarnation, Time};
use fleet::{PLAIN, endpoint, identity, settings, zone};

/// A peer in the list.
#[derive(Clone, Copy)]
struct Peer {
    leaving: bool,
    /// Slots borrowed by its last heartbeat, if it sent any.
    borrowed: Option<u32>,
}

struct Case {
    guards: &'static str,
    settings: bool,
    /// Whether the list has the own instance.
    listed: bool,
    peer: Option<Peer>,
    expect: &'static [Prerequisite],
}

const HEARD: Peer = Peer { leaving: false, borrowed: Some(0) };
const SILENT: Peer = Peer { leaving: false, borrowed: None };

const CASES: &[Case] = &[
    Case {
        guards: "an instance alone in its list never serves",
        settings: true,
        listed: true,
        peer: None,
        expect: &[],
    },
    Case {
        guards: "work is taken under rules that are not known",
        settings: false,
        listed: true,
        peer: None,
        expect: &[Prerequisite::Settings],
    },
    Case {
        guards: "callers come before others can know of the instance",
        settings: true,
        listed: false,
        peer: None,
        expect: &[Prerequisite::List],
    },
    Case {
        guards: "callers come before a listed peer can reach the instance",
        settings: true,
        listed: true,
        peer: Some(SILENT),
        expect: &[Prerequisite::Peers],
    },
    Case {
        guards: "a peer that stops or is gone already is waited for",
        settings: true,
        listed: true,
        peer: Some(Peer { leaving: true, borrowed: None }),
        expect: &[],
    },
    Case {
        guards: "peers that are heard are waited for all the same",
        settings: true,
        listed: true,
        peer: Some(HEARD),
        expect: &[],
    },
    Case {
        guards: "a restart under load waits for the leases of others",
        settings: true,
        listed: true,
        peer: Some(Peer { borrowed: Some(3), ..HEARD }),
        expect: &[],
    },
];

/// A shard that has read its list and hears its worker and peer at a time.
fn hear(cluster: &mut Cluster, case: &Case, at: u64) -> Vec<Command> {
    let mut out = Vec::new();
    let mut tell = |event: &Event| cluster.handle(Time::from_ms(at), event, &mut out);
    if case.settings {
        tell(&settings(1, PLAIN, zone(0)));
    }
    let addr = "127.0.0.1:1".parse().expect("a valid text");
    let entry = |id: &str, leaving| Listing::Entry {
        id: id.parse().expect("a valid text"),
        peer: addr,
        zone: zone(0),
        leaving,
    };
    let me = case.listed.then(|| entry("entry-0", false));
    let peer = case.peer.map(|peer| entry("entry-1", peer.leaving));
    tell(&Event::Listed(Arc::new(me.into_iter().chain(peer).collect())));
    // One of several workers belongs to this shard whatever the hash of its name.
    for number in 0..16 {
        let mut worker = endpoint(&format!("worker-{number}"), zone(0), "rack-0", 8);
        worker.heartbeat_sent = Time::from_ms(at);
        tell(&Event::EndpointSeen(worker));
    }
    if let Some(borrowed) = case.peer.and_then(|peer| peer.borrowed) {
        let beat =
            Heartbeat { zone: zone(0).to_string(), shards: 1, borrowed, ..Heartbeat::default() };
        let from = "entry-1/0".parse().expect("a valid text");
        let incarnation = Incarnation::new(1);
        tell(&Event::Peer { from, incarnation, body: Body::Heartbeat(beat) });
    }
    tell(&Event::Tick);
    out
}

#[test]
fn what_a_new_shard_lacks_is_told() {
    for case in CASES {
        let mut cluster = Cluster::new(identity("entry-0", 1, zone(0), 0, 1));
        hear(&mut cluster, case, 0);
        hear(&mut cluster, case, 500);
        assert_eq!(cluster.missing(), case.expect, "{}", case.guards);
    }
}

/// A worker that was gained a moment ago may be lent by an earlier owner still.
#[test]
fn workers_that_were_just_gained_are_missing() {
    let peer = Some(HEARD);
    let case = Case { guards: "", settings: true, listed: true, peer, expect: &[] };
    let mut cluster = Cluster::new(identity("entry-0", 1, zone(0), 0, 1));
    hear(&mut cluster, &case, 0);
    assert_eq!(cluster.missing(), [Prerequisite::Workers]);
    hear(&mut cluster, &case, 500);
    assert_eq!(cluster.missing(), []);
}

/// A peer that hears of idle slots with the next heartbeat only has no slots to ask for until then.
#[test]
fn peers_know_the_idle_slots_of_an_instance_that_can_serve() {
    let peer = Some(HEARD);
    let case = Case { guards: "", settings: true, listed: true, peer, expect: &[] };
    let mut cluster = Cluster::new(identity("entry-0", 1, zone(0), 0, 1));
    hear(&mut cluster, &case, 0);
    // Less than the time between two heartbeats.
    let out = hear(&mut cluster, &case, 200);
    assert_eq!(cluster.missing(), []);
    let idle = out.iter().find_map(|command| match command {
        Command::Send { to, body: Body::Heartbeat(beat) } if to.to_string() == "entry-1/0" => {
            Some(beat.idle)
        }
        _ => None,
    });
    assert!(idle.is_some_and(|idle| idle > 0), "{idle:?}");
}
