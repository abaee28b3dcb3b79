//! Cases of the holder's lease.

use cranberryhatch_core::{Command, Event, HolderLease, Identity};
use cranberryhatch_schema::peer::{Heartbeat, TakeoverReply, envelope::Body};
use cranberryhatch_types::{Holder, Incarnation, ShardId, Time};

enum Step {
    Tick,
    Renewed { sent: u64 },
    Superseded,
    Platform(bool),
    Beat(&'static str),
    BeatFrom { peer: &'static str, zone: &'static str },
    Reply { peer: &'static str, request: u64, taken: bool },
}

use Step::{Beat, BeatFrom, Platform, Renewed, Reply, Superseded, Tick};

struct Case {
    name: &'static str,
    steps: &'static [(u64, Step)],
    may_send: bool,
    superseded: bool,
    /// Peers that were asked whether they took over, in the order of the questions.
    asked: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "a fresh holder sends before its first renewal",
        steps: &[(50_000, Tick)],
        may_send: true,
        superseded: false,
        asked: &[],
    },
    Case {
        name: "a pause of exactly the lease keeps it",
        steps: &[(0, Tick), (10_000, Tick)],
        may_send: true,
        superseded: false,
        asked: &[],
    },
    Case {
        name: "a pause longer than the lease stops sending",
        steps: &[(0, Tick), (10_001, Tick), (10_011, Tick)],
        may_send: false,
        superseded: false,
        asked: &[],
    },
    Case {
        name: "a cut-off holder that runs goes on",
        steps: &[
            (0, Renewed { sent: 0 }),
            (5_000, Platform(false)),
            (12_000, Tick),
            (20_000, Tick),
            (29_000, Tick),
        ],
        may_send: true,
        superseded: false,
        asked: &[],
    },
    Case {
        name: "a renewal sent after the pause restores the lease",
        steps: &[(0, Tick), (15_000, Tick), (15_010, Renewed { sent: 15_001 })],
        may_send: true,
        superseded: false,
        asked: &[],
    },
    Case {
        name: "a renewal sent before the pause and answered after it does not",
        steps: &[(0, Tick), (15_000, Tick), (15_010, Renewed { sent: 5_000 })],
        may_send: false,
        superseded: false,
        asked: &[],
    },
    Case {
        name: "a renewal that is the first event after the pause does not when it is old",
        steps: &[(0, Tick), (15_000, Renewed { sent: 0 })],
        may_send: false,
        superseded: false,
        asked: &[],
    },
    Case {
        name: "peers are not asked while the platform answers",
        steps: &[(0, Beat("b")), (15_000, Tick), (15_010, Beat("b")), (18_000, Tick)],
        may_send: false,
        superseded: false,
        asked: &[],
    },
    Case {
        name: "a denial of every live zone peer restores the lease after the peers had their time",
        steps: &[
            (0, Platform(false)),
            (15_000, Beat("b")),
            (15_010, Reply { peer: "b", request: 1, taken: false }),
            (16_999, Beat("b")),
            (17_000, Tick),
        ],
        may_send: true,
        superseded: false,
        asked: &["b"],
    },
    Case {
        name: "one silent live peer withholds the lease",
        steps: &[
            (0, Platform(false)),
            (15_000, Beat("b")),
            (15_000, Beat("c")),
            (15_010, Reply { peer: "b", request: 1, taken: false }),
            (16_900, Beat("c")),
            (17_001, Tick),
        ],
        may_send: false,
        superseded: false,
        asked: &["b", "c"],
    },
    Case {
        name: "a peer heard before the pause and silent since is not waited for",
        steps: &[(0, Beat("b")), (0, Platform(false)), (15_000, Tick), (17_000, Tick)],
        may_send: true,
        superseded: false,
        asked: &[],
    },
    Case {
        name: "a denial of an earlier pause does not count",
        steps: &[
            (0, Platform(false)),
            (15_000, Beat("b")),
            (15_010, Reply { peer: "b", request: 1, taken: false }),
            (30_000, Beat("b")),
            (30_010, Reply { peer: "b", request: 1, taken: false }),
            (32_000, Beat("b")),
        ],
        may_send: false,
        superseded: false,
        asked: &["b", "b", "b"],
    },
    Case {
        name: "peers of other zones are not asked",
        steps: &[
            (0, Platform(false)),
            (15_000, BeatFrom { peer: "x", zone: "praha-b" }),
            (17_000, BeatFrom { peer: "x", zone: "praha-b" }),
        ],
        may_send: true,
        superseded: false,
        asked: &[],
    },
    Case {
        name: "a peer that took over ends the holder",
        steps: &[
            (0, Platform(false)),
            (15_000, Beat("b")),
            (15_010, Reply { peer: "b", request: 1, taken: true }),
            (15_020, Renewed { sent: 15_015 }),
        ],
        may_send: false,
        superseded: true,
        asked: &["b"],
    },
    Case {
        name: "a superseded holder never sends again",
        steps: &[(0, Superseded), (10, Renewed { sent: 5 }), (20_000, Tick)],
        may_send: false,
        superseded: true,
        asked: &[],
    },
];

fn lease() -> HolderLease {
    let holder =
        Holder { instance: "a".parse().expect("valid text"), incarnation: Incarnation::new(1) };
    let shard = ShardId { instance: holder.instance.clone(), shard: 0 };
    HolderLease::new(&Identity {
        shard,
        holder,
        zone: "praha-a".parse().expect("valid text"),
        shards: 1,
    })
}

fn peer(id: &str, body: Body) -> Event {
    let from = ShardId { instance: id.parse().expect("valid text"), shard: 0 };
    Event::Peer { from, incarnation: Incarnation::new(1), body }
}

fn event(step: &Step) -> Event {
    let beat = |zone: &str| {
        Body::Heartbeat(Heartbeat { zone: zone.to_owned(), shards: 1, ..Heartbeat::default() })
    };
    match step {
        Tick => Event::Tick,
        Renewed { sent } => Event::Renewed(Time::from_ms(*sent)),
        Superseded => Event::Superseded,
        Platform(reachable) => Event::Platform { reachable: *reachable },
        Beat(id) => peer(id, beat("praha-a")),
        BeatFrom { peer: id, zone } => peer(id, beat(zone)),
        Reply { peer: id, request, taken } => {
            let reply = TakeoverReply { request: *request, taken: *taken };
            peer(id, Body::TakeoverReply(reply))
        }
    }
}

// Guards against a paused holder that sends after a takeover, and against a cut-off holder that
// stops serving.
#[test]
fn lease_decides_who_may_send() {
    for case in CASES {
        let mut lease = lease();
        let mut out = Vec::new();
        let mut news = 0;
        for (at, step) in case.steps {
            news += u32::from(lease.handle(Time::from_ms(*at), &event(step), &mut out));
        }
        let asked = out.iter().filter_map(|command| match command {
            Command::Send { to, body: Body::TakeoverAsk(_) } => Some(to.instance.as_str()),
            _ => None,
        });
        assert_eq!(lease.may_send(), case.may_send, "{}", case.name);
        assert_eq!(lease.is_superseded(), case.superseded, "{}", case.name);
        assert_eq!(news, u32::from(case.superseded), "{}: told once", case.name);
        assert_eq!(asked.collect::<Vec<_>>(), case.asked, "{}", case.name);
    }
}

// Guards against a not-run answer of a holder whose successor may have started the job.
#[test]
fn only_a_renewed_holder_is_sole() {
    struct Sole {
        name: &'static str,
        steps: &'static [(u64, Step)],
        at: u64,
        sole: bool,
    }
    let cases = [
        Sole { name: "a fresh holder", steps: &[(500, Tick)], at: 10_500, sole: true },
        Sole { name: "never renewed", steps: &[(500, Tick)], at: 10_501, sole: false },
        Sole {
            name: "counted from the sending of the renewal",
            steps: &[(0, Tick), (9_000, Renewed { sent: 7_000 })],
            at: 17_000,
            sole: true,
        },
        Sole {
            name: "cut off for longer than the lease",
            steps: &[(0, Tick), (9_000, Renewed { sent: 7_000 })],
            at: 17_001,
            sole: false,
        },
        Sole {
            name: "an old renewal does not shorten a newer one",
            steps: &[(0, Tick), (9_000, Renewed { sent: 8_500 }), (9_100, Renewed { sent: 5_000 })],
            at: 18_500,
            sole: true,
        },
        Sole {
            name: "paused past the lease",
            steps: &[(0, Tick), (15_000, Tick)],
            at: 15_000,
            sole: false,
        },
        Sole { name: "superseded", steps: &[(0, Superseded)], at: 1, sole: false },
    ];
    for Sole { name, steps, at, sole } in cases {
        let mut lease = lease();
        let mut out = Vec::new();
        for (at, step) in steps {
            lease.handle(Time::from_ms(*at), &event(step), &mut out);
        }
        assert_eq!(lease.is_exclusive(Time::from_ms(at)), sole, "{name}");
    }
}
