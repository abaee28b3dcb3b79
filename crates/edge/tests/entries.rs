//! Guards against workers that an instance does not see leave because another one reads the store.

use cranberryhatch_edge::{Change, Entries, Told, WorkerEntry};
use cranberryhatch_fleet::{Life, Listed, Need};
use cranberryhatch_types::{Accels, Cores, Count, Span, Time};

const NOW: Time = Time::from_ms(10_000);
const GRACE: Time = Time::from_ms(12_500);

fn worker(name: &str, draining: bool) -> Change {
    let listed = Listed {
        id: name.parse().expect("an id"),
        service: "svc".to_owned(),
        addr: ([10, 0, 0, 1], 80).into(),
        zone: "a".to_owned(),
        labels: vec!["kind-a".to_owned()],
        room: Need { cores: Cores::new(32_000), memory: Count::new(64), accels: Accels::new(0) },
        draining,
        drained: false,
        life: Life::UNKNOWN,
    };
    Change { key: name.to_owned(), entry: WorkerEntry::Listed(listed) }
}

fn gone(name: &str) -> Change {
    Change { key: name.to_owned(), entry: WorkerEntry::Gone }
}

/// A reader and an instance that it tells, which have read the same list.
fn pair() -> (Entries, Entries) {
    let (mut reader, mut told) = (Entries::default(), Entries::default());
    for entries in [&mut reader, &mut told] {
        assert!(entries.read(true, vec![worker("v", false), worker("w", false)], 1, None));
    }
    reader.pass_on();
    (reader, told)
}

struct Case {
    name: &'static str,
    /// What the reader reads.
    read: Vec<Change>,
    /// Whether entries may be missing because the store was away.
    grace: bool,
    /// Whether the other instance sees a change.
    changed: bool,
}

#[test]
fn what_the_reader_sees_is_what_the_others_see() {
    let cases = [
        Case { name: "nothing", read: Vec::new(), grace: false, changed: false },
        Case {
            name: "a sequence number",
            read: vec![worker("w", false)],
            grace: false,
            changed: false,
        },
        Case { name: "it leaves", read: vec![worker("w", true)], grace: false, changed: true },
        Case { name: "it is gone", read: vec![gone("w")], grace: false, changed: true },
        Case { name: "it is missing", read: vec![gone("w")], grace: true, changed: false },
        Case { name: "another comes", read: vec![worker("x", false)], grace: false, changed: true },
    ];
    for Case { name, read, grace, changed } in cases {
        let (mut reader, mut told) = pair();
        reader.read(false, read, 2, grace.then_some(GRACE));
        assert_eq!(told.told(reader.pass_on()), (changed, true), "{name}");
        assert_eq!(told.list(), reader.list(), "{name}");
        assert_eq!(told.version(), Some(2), "{name}");
    }
}

#[test]
fn an_entry_that_cannot_be_read_names_no_worker_even_after_an_outage() {
    let (mut reader, _) = pair();
    let unreadable = Change { key: "w".to_owned(), entry: WorkerEntry::Unreadable };
    assert!(reader.read(false, vec![unreadable], 2, Some(GRACE)));
    assert!(!reader.contains("w"));
}

#[test]
fn an_entry_becomes_unreadable_once_until_it_can_be_read_again() {
    // Guards against damaged entries of which no line tells, and against a line for each repetition.
    let (mut reader, _) = pair();
    let damaged = |key: &str| Change { key: key.to_owned(), entry: WorkerEntry::Unreadable };
    for key in ["w", "never-seen"] {
        assert!(reader.becomes_unreadable(key), "{key}: at first");
        reader.read(false, vec![damaged(key)], 2, None);
        assert!(!reader.becomes_unreadable(key), "{key}: repeated");
        reader.read(true, vec![damaged(key), worker("v", false)], 3, None);
        assert!(!reader.becomes_unreadable(key), "{key}: in a whole list");
        reader.read(false, vec![worker(key, false)], 4, None);
        assert!(reader.becomes_unreadable(key), "{key}: after it was readable");
        reader.read(true, vec![worker("v", false)], 5, None);
        assert!(reader.becomes_unreadable(key), "{key}: after it was gone");
        reader = pair().0;
    }
}

#[test]
fn a_lost_message_shows_in_the_next_one() {
    let (mut reader, mut told) = pair();
    reader.read(false, vec![gone("w")], 2, None);
    reader.pass_on();
    reader.read(false, vec![worker("x", false)], 3, None);
    assert_eq!(told.told(reader.pass_on()), (true, false), "the lists differ");
    assert_eq!(told.version(), Some(1), "it reads the changes since then from the store");
    told.read(false, vec![gone("w"), worker("x", false)], 3, None);
    assert_eq!(told.told(reader.pass_on()), (false, true));
}

#[test]
fn an_entry_that_is_back_in_time_is_passed_on() {
    let (mut reader, mut told) = pair();
    reader.read(false, vec![gone("w")], 2, Some(GRACE));
    told.read(false, vec![gone("w")], 2, None);
    assert_eq!(told.told(reader.pass_on()), (false, false), "one of them has dropped it");
    reader.read(false, vec![worker("w", false)], 3, Some(GRACE));
    assert_eq!(told.told(reader.pass_on()), (true, true));
}

#[test]
fn an_entry_that_is_not_back_in_time_is_dropped_by_all() {
    let (mut reader, mut told) = pair();
    reader.read(false, vec![gone("w")], 2, Some(GRACE));
    assert_eq!(told.told(reader.pass_on()), (false, true));
    assert!(!reader.expire(NOW));
    assert!(reader.expire(GRACE));
    assert_eq!(told.told(reader.pass_on()), (true, true));
    assert_eq!(told.list(), reader.list());
}

#[test]
fn an_answer_of_the_store_does_not_undo_what_the_reader_told_meanwhile() {
    let (mut reader, mut told) = pair();
    reader.read(false, vec![worker("w", true)], 3, None);
    told.told(reader.pass_on());
    assert!(!told.read(false, vec![worker("w", false)], 2, None));
    assert_eq!(told.list(), reader.list());
}

#[test]
fn a_late_message_of_a_former_reader_does_not_undo_a_later_read() {
    let (mut reader, mut told) = pair();
    reader.read(false, vec![worker("w", false), worker("x", false)], 2, None);
    let late = reader.pass_on();
    told.read(false, vec![worker("w", true), gone("x")], 3, None);
    assert_eq!(told.told(late), (false, false));
    assert!(told.list().iter().any(|listed| listed.draining), "it still leaves");
}

#[test]
fn digest_of_workers_stays_the_same_in_all_builds() {
    // Guards against builds that hash the same worker differently: during a rolling update the
    // instances of a zone would never agree on the list, and all of them would read the store.
    struct Case {
        name: &'static str,
        workers: Vec<Listed>,
        digest: u64,
    }
    let plain = Listed {
        id: "w-0".parse().expect("an id"),
        service: "svc".to_owned(),
        addr: ([10, 0, 0, 1], 80).into(),
        zone: "praha-a".to_owned(),
        labels: vec!["kind-a".to_owned(), "r1-3".to_owned()],
        room: Need {
            cores: Cores::new(32_000),
            memory: Count::new(65_536),
            accels: Accels::new(2),
        },
        draining: false,
        drained: false,
        life: Life::new(1_800_000_000_000),
    };
    let leaving = Listed {
        id: "w-1".parse().expect("an id"),
        service: "a \"quoted\" service".to_owned(),
        addr: "[2001:db8::7]:65535".parse().expect("an address"),
        zone: "kladno\\c".to_owned(),
        labels: vec!["ř\n\u{200b}'".to_owned(), String::new()],
        room: Need { cores: Cores::new(1), memory: Count::new(0), accels: Accels::new(u32::MAX) },
        draining: true,
        drained: true,
        life: Life::new(u64::MAX),
    };
    let bare = Listed {
        id: "w-2".parse().expect("an id"),
        labels: Vec::new(),
        draining: true,
        life: Life::UNKNOWN,
        ..plain.clone()
    };
    let all = vec![plain.clone(), leaving.clone(), bare.clone()];
    let cases = [
        Case { name: "no workers", workers: Vec::new(), digest: 0 },
        Case { name: "all fields", workers: vec![plain], digest: 9_630_536_202_819_645_605 },
        Case {
            name: "characters that are escaped",
            workers: vec![leaving],
            digest: 15_797_155_532_748_205_627,
        },
        Case {
            name: "no labels and no known start",
            workers: vec![bare],
            digest: 14_367_083_151_559_127_460,
        },
        Case { name: "three workers", workers: all, digest: 2_901_286_739_707_875_460 },
    ];
    for Case { name, workers, digest } in cases {
        let mut reader = Entries::default();
        let put = |listed: Listed| {
            let key = listed.id.as_str().to_owned();
            Change { key, entry: WorkerEntry::Listed(listed) }
        };
        reader.read(true, workers.into_iter().map(put).collect(), 1, None);
        assert_eq!(reader.pass_on().digest, digest, "{name}");
    }
}

/// What an instance hears of the reader, and whether it still reads the store after it.
struct Hearing {
    name: &'static str,
    /// Times of messages, in milliseconds.
    heard: &'static [u64],
    /// When this process stood still.
    pause: std::ops::Range<u64>,
    at: u64,
    fresh: bool,
}

#[test]
fn the_list_is_fresh_only_while_the_reader_speaks_and_nothing_stood_still() {
    let none = 0..0;
    let cases = [
        Hearing { name: "never", heard: &[], pause: none.clone(), at: 500, fresh: false },
        Hearing { name: "just now", heard: &[500], pause: none.clone(), at: 500, fresh: true },
        Hearing { name: "lately", heard: &[500], pause: none.clone(), at: 1_480, fresh: true },
        Hearing { name: "long ago", heard: &[500], pause: none, at: 1_500, fresh: false },
        Hearing {
            name: "before a pause",
            heard: &[500],
            pause: 500..1_000,
            at: 1_000,
            fresh: false,
        },
        Hearing {
            name: "waited in a pause",
            heard: &[3_000],
            pause: 500..3_000,
            at: 3_020,
            fresh: false,
        },
        Hearing {
            name: "after a pause",
            heard: &[4_100],
            pause: 500..3_000,
            at: 4_100,
            fresh: true,
        },
    ];
    for Hearing { name, heard, pause, at, fresh } in cases {
        let mut told = Told::default();
        for now in (0..at).step_by(20).filter(|now| !pause.contains(now)) {
            if heard.contains(&now) {
                told.hear(NOW + Span::from_ms(now));
            }
            told.tick(NOW + Span::from_ms(now));
        }
        told.tick(NOW + Span::from_ms(at));
        if heard.contains(&at) {
            told.hear(NOW + Span::from_ms(at));
        }
        assert_eq!(told.is_fresh(NOW + Span::from_ms(at)), fresh, "{name}");
    }
}
