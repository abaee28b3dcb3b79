//! Cases of the recovery of holders that are gone.

use std::sync::Arc;

use cranberryhatch_core::{
    AttemptStatus, Command, Event, FencedTask, HolderRow, Identity, JobSpec, Listing, Need,
    Recovery, TaskSpec,
};
use cranberryhatch_schema::peer::{Heartbeat, TakeoverAsk, envelope::Body};
use cranberryhatch_settings::{ActiveSettings, Tree};
use cranberryhatch_types::{Holder, Incarnation, ShardId, Span, TaskName, Time};

const ZONE: &str = "praha-a";

enum Step {
    /// Rows as holder, renewals, version, and the holders that took it over.
    Rows(&'static [(&'static str, u64, u64, &'static [&'static str])]),
    /// Ticks every 100 ms up to now, and reads the same rows again each second.
    Pass,
    /// Ticks every 100 ms up to now, without reading rows.
    Unread,
    Beat(&'static str),
    Listed(&'static [&'static str]),
    TookOver(&'static str, Option<&'static [&'static str]>),
    /// Answer of an endpoint, with the tasks it knows as done.
    Fenced(&'static str, &'static str, Option<&'static [&'static str]>),
    /// Answer of an endpoint that restarted a moment ago and knows no task.
    Restarted(&'static str, &'static str),
    Ask(&'static str),
}

use Step::{Ask, Beat, Fenced, Listed, Pass, Restarted, Rows, TookOver, Unread};

struct Case {
    name: &'static str,
    steps: &'static [(u64, Step)],
    /// Commands as text, in their order.
    expect: &'static [&'static str],
}

const DEAD: &[(&str, u64, u64, &[&str])] = &[("b/1", 3, 7, &[])];

const CASES: &[Case] = &[
    Case {
        name: "a silent holder is taken over after lease and margin, not before",
        steps: &[(0, Rows(DEAD)), (10_900, Pass), (11_000, Pass)],
        expect: &["11000 take over b/1 at 7"],
    },
    Case {
        name: "a renewal begins the wait anew",
        steps: &[
            (0, Rows(DEAD)),
            (9_000, Pass),
            (9_000, Rows(&[("b/1", 4, 8, &[])])),
            (19_900, Pass),
        ],
        expect: &[],
    },
    Case {
        name: "a heartbeat without renewal begins the wait anew",
        steps: &[(0, Rows(DEAD)), (9_000, Pass), (9_000, Beat("b/1")), (19_900, Pass)],
        expect: &[],
    },
    Case {
        name: "a heartbeat of a later life is no life of the earlier one, whom it precedes in trying",
        steps: &[
            (0, Rows(DEAD)),
            (10_900, Pass),
            (10_900, Beat("b/2")),
            (11_900, Pass),
            (12_000, Pass),
        ],
        expect: &["12000 take over b/1 at 7"],
    },
    Case {
        name: "a stale life of the same instance is taken over like any other",
        steps: &[
            (0, Rows(&[("a/0", 1, 2, &[])])),
            (10_900, Pass),
            (10_900, Beat("c/1")),
            (11_000, Pass),
        ],
        expect: &["11000 take over a/0 at 2"],
    },
    Case {
        name: "a holder of another zone, and the own row, are left alone",
        steps: &[(0, Rows(&[("far/1", 1, 1, &[]), ("a/1", 1, 1, &[])])), (30_000, Pass)],
        expect: &[],
    },
    Case {
        name: "a pause of the watcher itself is no silence of the holder",
        steps: &[(0, Rows(DEAD)), (60_000, Rows(DEAD)), (70_900, Pass)],
        expect: &[],
    },
    Case {
        name: "no takeover on rows that were read long ago",
        steps: &[(0, Rows(DEAD)), (7_000, Pass), (30_000, Unread)],
        expect: &[],
    },
    Case {
        name: "a failed takeover is tried again after a while",
        steps: &[(0, Rows(DEAD)), (11_000, Pass), (11_010, TookOver("b/1", None)), (13_000, Pass)],
        expect: &["11000 take over b/1 at 7", "13000 take over b/1 at 7"],
    },
    Case {
        name: "a row that another live instance took over is left alone",
        steps: &[
            (0, Rows(&[("b/1", 3, 8, &["c/1"]), ("c/1", 1, 1, &[])])),
            (9_000, Pass),
            (9_000, Rows(&[("b/1", 3, 8, &["c/1"]), ("c/1", 2, 2, &[])])),
            (19_900, Pass),
        ],
        expect: &[],
    },
    Case {
        name: "when the successor is gone too, both rows are taken over",
        steps: &[(0, Rows(&[("b/1", 3, 8, &["c/1"]), ("c/1", 1, 1, &[])])), (11_000, Pass)],
        expect: &["11000 take over b/1 at 8", "11000 take over c/1 at 1"],
    },
    Case {
        name: "a write that landed although its answer was lost is read again",
        steps: &[
            (0, Rows(DEAD)),
            (11_000, Pass),
            (11_010, TookOver("b/1", None)),
            (11_500, Rows(&[("b/1", 3, 9, &["a/1"])])),
            (13_000, Pass),
        ],
        expect: &["11000 take over b/1 at 7", "13000 take over b/1 at 9"],
    },
    Case {
        name: "every endpoint answers: the jobs are whole, with the tasks known",
        steps: &[
            (0, Listed(&["w1", "w2"])),
            (0, Rows(&[])),
            (10, Rows(DEAD)),
            (11_100, Pass),
            (11_110, TookOver("b/1", Some(&["1-j", "2-k"]))),
            (11_120, Fenced("b/1", "w1", Some(&["script/1-j/0/1"]))),
            (11_130, Fenced("b/1", "w2", Some(&[]))),
        ],
        expect: &[
            "11100 take over b/1 at 7",
            "11110 fence b/1 at w1",
            "11110 fence b/1 at w2",
            "11130 adopt script/1-j whole=true script/1-j/0/1",
            "11130 adopt script/2-k whole=true",
        ],
    },
    Case {
        name: "an endpoint that never answers is asked four times, and the jobs are not whole",
        steps: &[
            (0, Listed(&["w1", "w2"])),
            (0, Rows(&[])),
            (10, Rows(DEAD)),
            (11_100, Pass),
            (11_100, TookOver("b/1", Some(&["1-j"]))),
            (11_200, Fenced("b/1", "w1", Some(&[]))),
            (11_200, Fenced("b/1", "w2", None)),
            (30_000, Pass),
        ],
        expect: &[
            "11100 take over b/1 at 7",
            "11100 fence b/1 at w1",
            "11100 fence b/1 at w2",
            "11700 fence b/1 at w2",
            "13700 fence b/1 at w2",
            "15700 fence b/1 at w2",
            "17200 adopt script/1-j whole=false",
        ],
    },
    Case {
        name: "an endpoint that restarted may have forgotten tasks, so the jobs are not whole",
        steps: &[
            (0, Listed(&["w1"])),
            (0, Rows(&[])),
            (10, Rows(DEAD)),
            (11_100, Pass),
            (11_100, TookOver("b/1", Some(&["1-j"]))),
            (11_200, Restarted("b/1", "w1")),
        ],
        expect: &[
            "11100 take over b/1 at 7",
            "11100 fence b/1 at w1",
            "11200 adopt script/1-j whole=false",
        ],
    },
    Case {
        name: "an endpoint that left the list is fenced as well",
        steps: &[
            (0, Listed(&["w1", "w2"])),
            (0, Rows(DEAD)),
            (5_000, Pass),
            (5_000, Listed(&["w1"])),
            (11_100, Pass),
            (11_100, TookOver("b/1", Some(&["1-j"]))),
        ],
        expect: &["11000 take over b/1 at 7", "11100 fence b/1 at w1", "11100 fence b/1 at w2"],
    },
    Case {
        name: "a job older than this instance's list is not whole: a lost endpoint may be unknown",
        steps: &[
            (0, Rows(DEAD)),
            (0, Listed(&["w1"])),
            (11_000, Pass),
            (11_000, TookOver("b/1", Some(&["1-j"]))),
            (11_000, Fenced("b/1", "w1", Some(&[]))),
        ],
        expect: &[
            "11000 take over b/1 at 7",
            "11000 fence b/1 at w1",
            "11000 adopt script/1-j whole=false",
        ],
    },
    Case {
        name: "tasks that an earlier successor sent are known too",
        steps: &[
            (0, Listed(&["w1"])),
            (0, Rows(&[])),
            (10, Rows(&[("b/1", 3, 8, &["c/1"]), ("c/1", 1, 1, &[])])),
            (11_100, Pass),
            (11_100, TookOver("b/1", Some(&["1-j"]))),
            (11_110, Fenced("b/1", "w1", Some(&["script/1-j/0/1"]))),
            (11_120, Fenced("c/1", "w1", Some(&["script/1-j/1/1"]))),
        ],
        expect: &[
            "11100 take over b/1 at 8",
            "11100 take over c/1 at 1",
            "11100 fence b/1 at w1",
            "11100 fence c/1 at w1",
            "11120 adopt script/1-j whole=true script/1-j/0/1 script/1-j/1/1",
        ],
    },
    Case {
        name: "an endpoint that joins after the recovery is fenced once",
        steps: &[
            (0, Listed(&["w1"])),
            (0, Rows(DEAD)),
            (11_000, Pass),
            (11_000, TookOver("b/1", Some(&[]))),
            (11_000, Fenced("b/1", "w1", Some(&[]))),
            (11_010, Listed(&["w1", "w2"])),
            (11_020, Listed(&["w1", "w2"])),
        ],
        expect: &["11000 take over b/1 at 7", "11000 fence b/1 at w1", "11010 fence b/1 at w2"],
    },
    Case {
        name: "an asker that was taken over is told so, another one not",
        steps: &[
            (0, Rows(DEAD)),
            (11_000, Pass),
            (11_010, TookOver("b/1", Some(&[]))),
            (11_020, Ask("b/1")),
            (11_030, Ask("c/1")),
        ],
        expect: &[
            "11000 take over b/1 at 7",
            "11020 tell b taken=true",
            "11030 tell c taken=false",
        ],
    },
    Case {
        name: "no answer while the result of the takeover is open, nor after a lost one",
        steps: &[
            (0, Rows(DEAD)),
            (11_000, Pass),
            (11_020, Ask("b/1")),
            (11_030, TookOver("b/1", None)),
            (11_040, Ask("b/1")),
        ],
        expect: &["11000 take over b/1 at 7"],
    },
    Case {
        name: "a lost takeover that can no longer land is denied",
        steps: &[
            (0, Rows(DEAD)),
            (11_000, Pass),
            (11_030, TookOver("b/1", None)),
            (11_050, Rows(&[("b/1", 4, 8, &[])])),
            (11_060, Ask("b/1")),
        ],
        expect: &["11000 take over b/1 at 7", "11060 tell b taken=false"],
    },
];

fn holder(text: &str) -> Holder {
    text.parse().expect("valid text")
}

fn shard(holder: &Holder) -> ShardId {
    ShardId { instance: holder.instance.clone(), shard: 0 }
}

fn rows(rows: &[(&str, u64, u64, &[&str])]) -> Event {
    let row = |(text, renewals, version, taken): &(&str, u64, u64, &[&str])| HolderRow {
        holder: holder(text),
        renewals: *renewals,
        zone: if text.starts_with("far") { "praha-b" } else { ZONE }.parse().expect("valid text"),
        version: *version,
        successors: taken.iter().map(|text| holder(text)).collect(),
    };
    Event::HoldersRead(Arc::new(rows.iter().map(row).collect()))
}

fn job(name: &str) -> Arc<JobSpec> {
    let payload = name.to_owned().into();
    Arc::new(JobSpec {
        key: format!("script/{name}").parse().expect("valid text"),
        digest: [0; 32],
        kind: "voice".parse().expect("valid text"),
        label: None,
        idempotent: false,
        deadline: Time::from_ms(60_000),
        tasks: vec![TaskSpec { payload, run: Span::from_ms(100), need: Need::default() }],
    })
}

fn done(name: &str) -> FencedTask {
    let name: TaskName = name.parse().expect("valid text");
    let worker = "w1".parse().expect("a worker");
    FencedTask { state: AttemptStatus::Done(name.to_string().into()), worker, name }
}

fn event(step: &Step) -> Event {
    let peer = |from: &str, body| {
        let holder = holder(from);
        Event::Peer { from: shard(&holder), incarnation: holder.incarnation, body }
    };
    match step {
        Rows(list) => rows(list),
        Pass | Unread => Event::Tick,
        Beat(from) => {
            let beat = Heartbeat { zone: ZONE.to_owned(), shards: 1, ..Heartbeat::default() };
            peer(from, Body::Heartbeat(beat))
        }
        Listed(ids) => {
            let listing = |id: &&str| Listing::Endpoint {
                id: id.parse().expect("valid text"),
                addr: "127.0.0.1:1".parse().expect("valid text"),
                zone: ZONE.parse().expect("valid text"),
                rack: "r1".parse().expect("valid text"),
                leaving: false,
            };
            Event::Listed(Arc::new(ids.iter().map(listing).collect()))
        }
        TookOver(gone, jobs) => Event::TookOver {
            holder: holder(gone),
            jobs: jobs.map(|names| names.iter().map(|name| job(name)).collect()),
        },
        Fenced(gone, worker, tasks) => Event::Fenced {
            holder: holder(gone),
            worker: worker.parse().expect("valid text"),
            tasks: tasks.map(|names| names.iter().map(|name| done(name)).collect()),
            since: Time::ZERO,
        },
        Restarted(gone, worker) => Event::Fenced {
            holder: holder(gone),
            worker: worker.parse().expect("valid text"),
            tasks: Some(Vec::new()),
            since: Time::from_ms(1_000_000),
        },
        Ask(from) => peer(from, Body::TakeoverAsk(TakeoverAsk { request: 1 })),
    }
}

fn text(now: Time, command: &Command) -> Option<String> {
    let what = match command {
        Command::TakeOver { holder, version } => format!("take over {holder} at {version}"),
        Command::Fence { holder, worker } => format!("fence {holder} at {worker}"),
        Command::Adopt(adoption) => {
            let names = adoption.tasks.iter().map(|task| format!(" {}", task.name));
            let names: String = names.collect();
            format!("adopt {} whole={}{names}", adoption.job.key, adoption.all_answered)
        }
        Command::Send { to, body: Body::TakeoverReply(reply) } => {
            format!("tell {} taken={}", to.instance, reply.taken)
        }
        _ => return None,
    };
    Some(format!("{now} {what}"))
}

fn run(shard_index: u32, may_send: bool, steps: &[(u64, Step)]) -> Vec<String> {
    let me =
        Holder { instance: "a".parse().expect("valid text"), incarnation: Incarnation::new(1) };
    let shard = ShardId { instance: me.instance.clone(), shard: shard_index };
    let identity =
        Identity { shard, holder: me, zone: ZONE.parse().expect("valid text"), shards: 2 };
    let mut recovery = Recovery::new(identity);
    let mut seen = Vec::new();
    let mut handle = |now, event: &Event| {
        let mut out = Vec::new();
        recovery.handle(now, event, may_send, &mut out);
        seen.extend(out.iter().filter_map(|command| text(now, command)));
    };
    let settings = ActiveSettings::new(1, Tree::default(), ZONE.parse().expect("valid text"));
    handle(Time::ZERO, &Event::Settings(Arc::new(settings)));
    let mut at = 0;
    let mut last = None;
    for (until, step) in steps {
        if matches!(step, Pass | Unread) {
            while at < *until {
                at = (at / 100 + 1) * 100;
                if let (Some(rows), 0, Pass) = (&last, at % 1_000, step) {
                    handle(Time::from_ms(at), rows);
                }
                handle(Time::from_ms(at), &Event::Tick);
            }
        }
        at = *until;
        let event = event(step);
        handle(Time::from_ms(at), &event);
        if matches!(step, Rows(_)) {
            last = Some(event);
        }
    }
    seen
}

// Guards against takeovers of live holders, against holders that nobody takes over, and against
// adoptions that claim more than the endpoints have said.
#[test]
fn coordinator_recovers_holders_that_are_gone() {
    for case in CASES {
        assert_eq!(run(0, true, case.steps), case.expect, "{}", case.name);
    }
}

// Guards against a takeover by each shard, and by a holder that may be taken over itself.
#[test]
fn only_shard_0_of_a_holder_with_lease_takes_over() {
    struct Refusal {
        shard: u32,
        may_send: bool,
    }
    let refusals = [Refusal { shard: 1, may_send: true }, Refusal { shard: 0, may_send: false }];
    for Refusal { shard, may_send } in refusals {
        let seen = run(shard, may_send, &[(0, Rows(DEAD)), (20_000, Pass)]);
        assert!(seen.is_empty(), "shard {shard}, may_send {may_send}: {seen:?}");
    }
}

// Guards against a death that makes every peer of the zone write and fence.
#[test]
fn peers_try_in_turn() {
    let mut tries = Vec::new();
    for me in ["a", "c", "d"] {
        let life = Incarnation::new(1);
        let holder = Holder { instance: me.parse().expect("valid text"), incarnation: life };
        let identity = Identity {
            shard: shard(&holder),
            holder,
            zone: ZONE.parse().expect("valid text"),
            shards: 1,
        };
        let mut recovery = Recovery::new(identity);
        for at in (0..20_000).step_by(100) {
            let mut out = Vec::new();
            let now = Time::from_ms(at);
            for peer in ["a/1", "c/1", "d/1"] {
                recovery.handle(now, &event(&Beat(peer)), true, &mut out);
            }
            recovery.handle(now, &rows(DEAD), true, &mut out);
            if out.iter().any(|command| matches!(command, Command::TakeOver { .. })) {
                tries.push(at);
                break;
            }
        }
    }
    tries.sort_unstable();
    assert_eq!(tries, [11_000, 12_000, 13_000]);
}
