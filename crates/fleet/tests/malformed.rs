//! Guards against a malformed message from a peer that crashes the process.
//!
//! `MALFORMED_SEEDS=1..500 cargo test -p cranberryhatch-fleet --test malformed range` runs more seeds.

mod common;

use bytes::Bytes;
use common::{kind_settings, listed, need};
use cranberryhatch_fleet::{Job, Member, Message, Node, Output, Step, text_hash};
use cranberryhatch_schema::fleet::{
    Ask, Beat, CanceledJob, Cancels, Claim, Confirm, Drains, Ended, Entry, Frame, Freed, Grant,
    Held, KindTime, Listed, Losses, LostRun, Need as Size, Obeying, Place, Refusal, Relinked, Room,
    Rooms, Run, Settings, Standing, Start, Stop, Submission, Submissions, Superseded, Takeover,
    Takeovers, Unused, Withdraw, Workers, Yielded,
};
use cranberryhatch_types::{InstanceId, Span, Time};
use prost::Message as _;

const START: Time = Time::from_ms(10_000);
const WALL: u64 = 1_800_000_000_000;
const MESSAGES: u64 = 2_000;

fn member(name: &str, joined: bool) -> Member {
    Member {
        id: name.parse().expect("a name"),
        incarnation: 1,
        zone: "a".parse().expect("a zone"),
        cores: 250,
        draining: false,
        core: true,
        joined,
        version: 0,
    }
}

fn job() -> Job {
    Job {
        name: "j".to_owned(),
        settings: std::sync::Arc::new(kind_settings()),
        payload: "x".into(),
        steps: vec![Step { tasks: 2, need: need(14_000), ..Step::default() }],
        arrived: START,
        deadline: START + Span::from_secs(60),
    }
}

/// Returns one message of each kind about the job and the worker of the test; some numbers are
/// replaced by the smallest or the largest one.
fn corpus(rng: &mut fastrand::Rng) -> Vec<Message> {
    let rng = std::cell::RefCell::new(rng);
    let any = |usual: u64, largest: u64| match rng.borrow_mut().usize(0..6) {
        0 => 0,
        1 => largest,
        _ => usual,
    };
    let small = |usual: u32| {
        let drawn = any(usual.into(), u32::MAX.into());
        u32::try_from(drawn).expect("at most the largest")
    };
    let large = |usual: u64| any(usual, u64::MAX);
    let run = || Some(Run { job: "j".to_owned(), step: small(0), task: small(0), run: small(1) });
    let worker = || "w".to_owned();
    let need = || Some(Size { cores: small(14_000), memory: small(64), accels: small(0) });
    let job = || "j".to_owned();
    let ended = Ended { run: run(), worker: worker(), how: 1, took_ms: small(5), start_number: 1 };
    let start = Start {
        run: run(),
        worker: worker(),
        service: "svc".to_owned(),
        need: need(),
        run_ms: small(100),
        payload: "x".to_owned(),
        kind: "k".to_owned(),
        stalls: small(1),
        token: large(7),
        seen_ms: large(9_990),
        due_ms: small(160),
        pace_permille: small(1_600),
        age_ms: Some(small(40)),
        start_number: 1,
        label: String::new(),
        spread: small(1),
    };
    let takeover = Takeover {
        worker: worker(),
        running: run().into_iter().collect(),
        ended: vec![ended.clone()],
        token: large(9),
        born_ms: 0,
    };
    let lost = LostRun {
        job: job(),
        step: small(0),
        task: small(0),
        worker: worker(),
        born_ms: large(1_700_000_000_000),
        crashed: true,
        age_ms: small(50),
        refused: true,
    };
    let ask = Ask {
        lost: vec![lost.clone()],
        job: job(),
        tasks: vec![0, small(1)],
        age_ms: small(5),
        kind: "k".to_owned(),
        service: "svc".to_owned(),
        need: need(),
        declared_ms: small(100),
        left_ms: small(1_500),
        stretch: small(1_600),
        slack_ms: small(60),
        spread: small(1),
        zone: "a".to_owned(),
        ..Ask::default()
    };
    let place = Place {
        task: small(0),
        worker: worker(),
        owner: "p".to_owned(),
        run_ms: small(100),
        token: large(7),
        due_ms: small(160),
        pace_permille: small(1_600),
        born_ms: 0,
    };
    let standing = Standing {
        slowness_milli: -300,
        samples: small(4),
        failures: small(1),
        lost_permille: small(50),
        age_ms: small(900),
    };
    let held = Held {
        run: run(),
        need: need(),
        left_ms: small(50),
        front: "e-1".to_owned(),
        age_ms: Some(small(40)),
    };
    let room = Room {
        worker: worker(),
        token: large(8),
        held: vec![held],
        open: true,
        standing: Some(standing),
        born_ms: large(1_700_000_000_000),
    };
    let superseded =
        Superseded { job: job(), front: "e-1".to_owned(), by: "e-2".to_owned(), age_ms: small(20) };
    let submission = Submission {
        job: large(text_hash("j")),
        front: small(1),
        age_ms: small(20),
        left_ms: small(5_000),
        again: true,
        earlier: vec![small(0)],
    };
    let kind = KindTime { kind: "k".to_owned(), log_milli: 4_600, samples: small(20) };
    let entry = Entry { id: worker(), listed: Some(Listed::default()) };
    vec![
        Message::Beat(Beat {
            version: large(1),
            joined: true,
            next_ms: small(140),
            sent_ms: large(9_990),
            ..Beat::default()
        }),
        Message::Settings(Settings { version: large(1), body: b"{}".to_vec() }),
        Message::Ask(ask),
        Message::Grant(Grant { job: job(), step: 0, places: vec![place] }),
        Message::Refusal(Refusal { job: job(), retry_ms: small(100), ahead_ms: small(100) }),
        Message::Withdraw(Withdraw { job: job() }),
        Message::Unused(Unused {
            worker: worker(),
            job: job(),
            refused: true,
            ..Unused::default()
        }),
        Message::Start(start.clone()),
        Message::Stop(Stop { run: run(), worker: worker(), start_number: 1 }),
        Message::Ended(ended.clone()),
        Message::Takeover(takeover.clone()),
        Message::Takeovers(Takeovers { found: vec![takeover] }),
        Message::Claim(Claim { worker: worker(), runs: vec![start] }),
        Message::Relinked(Relinked {
            running: run().into_iter().collect(),
            ended: vec![ended.clone()],
            obeying: vec![Obeying { worker: worker(), token: large(7) }],
        }),
        Message::Confirm(Confirm { runs: run().into_iter().collect() }),
        Message::Rooms(Rooms { rooms: vec![room], kinds: vec![kind], lost: vec![lost.clone()] }),
        Message::Losses(Losses { runs: vec![lost] }),
        Message::Superseded(superseded),
        Message::Yielded(Yielded { job: job() }),
        Message::Cancels(Cancels {
            jobs: vec![CanceledJob { job: job(), left_ms: u32::MAX }],
            confirm: true,
            notice: false,
        }),
        Message::Submissions(Submissions {
            fronts: vec!["e-1".to_owned(), "e-2".to_owned()],
            submissions: vec![submission],
        }),
        Message::Drains(Drains { version: large(5), zones: vec!["a".to_owned()] }),
        Message::Freed(Freed { run: run(), worker: worker(), how: 1, ..Freed::default() }),
        Message::Workers(Workers { version: large(2), digest: large(3), changes: vec![entry] }),
    ]
}

/// Corrupts the bytes of a frame by replacing, removing or inserting some, often the largest
/// number.
fn corrupt(rng: &mut fastrand::Rng, mut bytes: Vec<u8>) -> Vec<u8> {
    const LARGEST: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];
    for _ in 0..rng.usize(1..4) {
        let place = rng.usize(0..=bytes.len());
        let end = (place + rng.usize(0..3)).min(bytes.len());
        match rng.usize(0..3) {
            0 => drop(bytes.splice(place..end, [rng.u8(..)])),
            1 => drop(bytes.splice(place..end, [])),
            _ => drop(bytes.splice(place..end, LARGEST)),
        }
    }
    bytes
}

/// Feeds corrupted messages from a peer to an instance that schedules, owns a worker and has a job.
fn run_seed(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut node = Node::new(member("me", false), START);
    let mut out = Output::default();
    node.apply_settings(1, Bytes::from_static(b"{}"), START, &mut out);
    node.replace_worker_list(vec![listed("w", "a", 32_000)], WALL, START, &mut out);
    let peer: InstanceId = "p".parse().expect("a name");
    node.link_up(member("p", true), START, &mut out);
    node.submit(1, job(), START, &mut out);
    let (mut decoded, mut scheduled) = (0, false);
    for number in 0..MESSAGES {
        let now = START + Span::from_ms(number);
        let mut messages = corpus(&mut rng);
        let body = Some(messages.swap_remove(rng.usize(0..messages.len())));
        let mut bytes = Frame { body }.encode_to_vec();
        if rng.bool() {
            bytes = corrupt(&mut rng, bytes);
        }
        let Ok(Frame { body: Some(message) }) = Frame::decode(bytes.as_slice()) else { continue };
        decoded += 1;
        node.handle_message(&peer, message, now, &mut out);
        node.process_pending(now, false, &mut out);
        if number % 20 == 0 {
            node.tick(WALL + number, now, &mut out);
            scheduled |= node.load(now).is_some();
        }
        out.commands.clear();
    }
    assert!(
        decoded > MESSAGES / 3 && scheduled,
        "seed {seed}: {decoded} messages could be decoded"
    );
}

#[test]
fn corrupted_messages_do_not_crash_the_process() {
    for seed in 1..=20 {
        println!("seed {seed}");
        run_seed(seed);
    }
}

#[test]
fn corrupted_messages_of_a_seed_range_do_not_crash_the_process() {
    let Ok(range) = std::env::var("MALFORMED_SEEDS") else { return };
    let (first, last) = range.split_once("..").expect("a range, as 1..500");
    for seed in first.parse().expect("a number")..last.parse().expect("a number") {
        println!("seed {seed}");
        run_seed(seed);
    }
}
