//! Guards against instances that keep outdated settings while other instances have newer ones.

use bytes::Bytes;
use cranberryhatch_fleet::{Command, Member, Message, Node, Output};
use cranberryhatch_schema::fleet::Beat;
use cranberryhatch_types::Time;

const START: u64 = 10_000;
const TICK: u64 = 20;
/// Heartbeat interval of a peer that holds no roles.
const HEARTBEAT: u64 = 1_400;
/// Time in which settings must be in force at an instance that cannot read the store.
const IN_FORCE: u64 = 2_000;

fn member(name: &str) -> Member {
    Member {
        id: name.parse().expect("a name"),
        incarnation: 1,
        zone: "a".parse().expect("a zone"),
        cores: 250,
        draining: false,
        core: true,
        joined: true,
        version: 0,
    }
}

/// An instance that reads new settings from the store at an interval, and its peer.
struct Changes {
    interval: u64,
    /// Delay with which the peer gets each version; none if it cannot read the store.
    peer_delay: Option<u64>,
}

/// Result of 12 s of changes.
struct Outcome {
    /// Longest time for which a version newer than the peer's was known.
    longest_lag: u64,
    /// Settings that were sent to the peer.
    sent: usize,
}

impl Changes {
    fn play(&self) -> Outcome {
        let mut node = Node::new(member("e-1"), Time::from_ms(START));
        let mut out = Output::default();
        let peer = member("e-2");
        node.link_up(peer.clone(), Time::from_ms(START), &mut out);
        let (mut known, mut longest_lag, mut sent) = (1, 0, 0);
        let version_at = |at: u64| 1 + (at - START) / self.interval;
        for at in (START..START + 12_000).step_by(usize::try_from(TICK).expect("small")) {
            let now = Time::from_ms(at);
            node.apply_settings(version_at(at), Bytes::from_static(b"{}"), now, &mut out);
            if let Some(delay) = self.peer_delay {
                known = version_at((at - delay.min(at - START)).max(START)).max(known);
            }
            if (at - START).is_multiple_of(HEARTBEAT) {
                let beat = Beat { version: known, core: true, next_ms: 1_400, ..Beat::default() };
                node.handle_message(&peer.id, Message::Beat(beat), now, &mut out);
            }
            node.tick(0, now, &mut out);
            for command in out.commands.drain(..) {
                if let Command::Send { message: Message::Settings(settings), .. } = command {
                    known = known.max(settings.version);
                    sent += 1;
                }
            }
            // The first version that the peer lacks was read at this time.
            let lacks_since = START + known * self.interval;
            longest_lag = longest_lag.max((at + TICK).saturating_sub(lacks_since));
        }
        Outcome { longest_lag, sent }
    }
}

#[test]
fn peer_without_store_gets_settings_although_they_change_all_the_time() {
    for interval in [5_000, 1_000, 330, 200, 100] {
        let outcome = Changes { interval, peer_delay: None }.play();
        let lag = outcome.longest_lag;
        assert!(lag <= IN_FORCE, "changes every {interval} ms: {lag} ms behind");
    }
}

#[test]
fn peer_that_reads_the_store_itself_is_sent_no_settings() {
    for interval in [100, 330, 1_000] {
        let outcome = Changes { interval, peer_delay: Some(100) }.play();
        assert_eq!(outcome.sent, 0, "changes every {interval} ms");
    }
}
