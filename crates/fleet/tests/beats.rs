//! Guards against peers that time out although both sides are running.

mod common;

use common::listed;
use cranberryhatch_fleet::{Command, Member, Message, Node, Output};
use cranberryhatch_schema::fleet::Beat;
use cranberryhatch_types::{InstanceId, Span, Time};

const START: u64 = 10_000;
const TICK: u64 = 20;
/// Peers of one zone; some of them own no worker.
const PEERS: usize = 5;

fn member(number: usize, cores: u32) -> Member {
    Member {
        id: format!("e-{number}").parse().expect("a name"),
        incarnation: 1,
        zone: "a".parse().expect("a zone"),
        cores,
        draining: false,
        core: true,
        joined: number > 0,
        version: 0,
    }
}

/// Simulates an instance that owns workers until it shuts down `drained` ms after the start;
/// returns the heartbeats that were later than announced.
fn late_heartbeats(drained: u64) -> Vec<String> {
    let mut node = Node::new(member(0, 500), Time::from_ms(START));
    let mut out = Output::default();
    node.replace_worker_list(vec![listed("w", "a", 32_000)], 0, Time::from_ms(START), &mut out);
    let peers: Vec<Member> = (1..=PEERS).map(|number| member(number, 250)).collect();
    for peer in &peers {
        node.link_up(peer.clone(), Time::from_ms(START), &mut out);
    }
    let mut last: Vec<Option<(u64, u64)>> = vec![None; PEERS];
    let mut late = Vec::new();
    for at in (START..START + 4_000).step_by(20) {
        let now = Time::from_ms(at);
        for peer in &peers {
            let beat = Beat { core: true, joined: true, next_ms: 140, ..Beat::default() };
            node.handle_message(&peer.id, Message::Beat(beat), now, &mut out);
        }
        if at == START + drained {
            node.begin_shutdown(Span::from_secs(30), now, &mut out);
        }
        node.tick(0, now, &mut out);
        for command in out.commands.drain(..) {
            let Command::Send { to, message: Message::Beat(beat) } = command else { continue };
            let place = peers.iter().position(|peer| peer.id == to).expect("a peer");
            if let Some((sent, announced)) = last[place].replace((at, beat.next_ms.into()))
                && at - sent > announced + TICK
            {
                late.push(format!("{to}: {} ms after one that announced {announced}", at - sent));
            }
        }
    }
    assert!(last.iter().all(Option::is_some), "heartbeats to all");
    late
}

#[test]
fn instance_that_gives_up_its_roles_keeps_the_announced_heartbeat_interval() {
    for drained in (1_000..2_000).step_by(20) {
        assert_eq!(late_heartbeats(drained), Vec::<String>::new(), "shutdown after {drained} ms");
    }
}

#[test]
fn instance_without_roles_sends_few_heartbeats() {
    // Guards against heartbeats between all instances as frequent as roles need them.
    let mut node = Node::new(member(0, 100), Time::from_ms(START));
    let mut out = Output::default();
    let peers: Vec<InstanceId> = (1..=PEERS).map(|number| member(number, 250).id).collect();
    for number in 1..=PEERS {
        node.link_up(member(number, 250), Time::from_ms(START), &mut out);
    }
    let mut count = vec![0; PEERS];
    for at in (START..START + 7_000).step_by(20) {
        for peer in &peers {
            let beat = Beat { core: true, joined: true, next_ms: 140, ..Beat::default() };
            node.handle_message(peer, Message::Beat(beat), Time::from_ms(at), &mut out);
        }
        node.tick(0, Time::from_ms(at), &mut out);
        for command in out.commands.drain(..) {
            let Command::Send { to, message: Message::Beat(_) } = command else { continue };
            count[peers.iter().position(|peer| *peer == to).expect("a peer")] += 1;
        }
    }
    let few = count.iter().filter(|count| **count <= 12).count();
    assert!(few > 0, "to each peer: {count:?}");
}
