//! Guards against instances that miss changes of workers because another one reads the store.

use cranberryhatch_edge::{ListFreshness, WorkerCache, WorkerChange, WorkerEntry};
use cranberryhatch_fleet::{Incarnation, ListedWorker, Need};
use cranberryhatch_types::{Accels, Cores, Count, Span, Time};

const NOW: Time = Time::from_ms(10_000);
const GRACE: Time = Time::from_ms(12_500);

fn worker(name: &str, draining: bool) -> WorkerChange {
    let listed = ListedWorker {
        id: name.parse().expect("an id"),
        service: "svc".to_owned(),
        addr: ([10, 0, 0, 1], 80).into(),
        zone: "a".to_owned(),
        labels: vec!["kind-a".to_owned()],
        capacity: Need {
            cores: Cores::new(32_000),
            memory: Count::new(64),
            accels: Accels::new(0),
        },
        draining,
        drained: false,
        incarnation: Incarnation::UNKNOWN,
    };
    WorkerChange { key: name.to_owned(), entry: WorkerEntry::Listed(listed) }
}

fn removed(name: &str) -> WorkerChange {
    WorkerChange { key: name.to_owned(), entry: WorkerEntry::Removed }
}

/// Returns the copies of a zone reader and of another instance, after the same complete read.
fn pair() -> (WorkerCache, WorkerCache) {
    let (mut reader, mut follower) = (WorkerCache::default(), WorkerCache::default());
    for cache in [&mut reader, &mut follower] {
        assert!(cache.apply_read(true, vec![worker("v", false), worker("w", false)], 1, None));
    }
    reader.take_update();
    (reader, follower)
}

struct Case {
    name: &'static str,
    /// Changes that the zone reader reads.
    read: Vec<WorkerChange>,
    /// Whether missing entries are kept for a while because the store was unavailable.
    grace: bool,
    /// Whether the update changes a worker of the other instance.
    changed: bool,
}

#[test]
fn changes_read_by_the_zone_reader_reach_the_other_instances() {
    let cases = [
        Case { name: "no change", read: Vec::new(), grace: false, changed: false },
        Case {
            name: "unchanged entry",
            read: vec![worker("w", false)],
            grace: false,
            changed: false,
        },
        Case { name: "draining", read: vec![worker("w", true)], grace: false, changed: true },
        Case { name: "removed", read: vec![removed("w")], grace: false, changed: true },
        Case {
            name: "missing after an outage",
            read: vec![removed("w")],
            grace: true,
            changed: false,
        },
        Case { name: "new worker", read: vec![worker("x", false)], grace: false, changed: true },
    ];
    for Case { name, read, grace, changed } in cases {
        let (mut reader, mut follower) = pair();
        reader.apply_read(false, read, 2, grace.then_some(GRACE));
        assert_eq!(follower.apply_update(reader.take_update()), (changed, true), "{name}");
        assert_eq!(follower.list(), reader.list(), "{name}");
        assert_eq!(follower.version(), Some(2), "{name}");
    }
}

#[test]
fn malformed_entry_removes_its_worker_even_after_an_outage() {
    let (mut reader, _) = pair();
    let malformed = WorkerChange { key: "w".to_owned(), entry: WorkerEntry::Malformed };
    assert!(reader.apply_read(false, vec![malformed], 2, Some(GRACE)));
    assert!(!reader.contains("w"));
}

#[test]
fn malformed_entry_is_reported_once_until_it_is_valid_again() {
    // Guards against malformed entries without a log line, and against a line for each time that
    // the same entry is read.
    let (mut reader, _) = pair();
    let malformed = |key: &str| WorkerChange { key: key.to_owned(), entry: WorkerEntry::Malformed };
    for key in ["w", "never-seen"] {
        assert!(reader.mark_malformed(key), "{key}: first read");
        reader.apply_read(false, vec![malformed(key)], 2, None);
        assert!(!reader.mark_malformed(key), "{key}: read again");
        reader.apply_read(true, vec![malformed(key), worker("v", false)], 3, None);
        assert!(!reader.mark_malformed(key), "{key}: in a complete list");
        reader.apply_read(false, vec![worker(key, false)], 4, None);
        assert!(reader.mark_malformed(key), "{key}: after it was valid");
        reader.apply_read(true, vec![worker("v", false)], 5, None);
        assert!(reader.mark_malformed(key), "{key}: after it was removed");
        reader = pair().0;
    }
}

#[test]
fn lost_update_is_detected_with_the_next_one() {
    let (mut reader, mut follower) = pair();
    reader.apply_read(false, vec![removed("w")], 2, None);
    reader.take_update();
    reader.apply_read(false, vec![worker("x", false)], 3, None);
    assert_eq!(follower.apply_update(reader.take_update()), (true, false), "the lists differ");
    assert_eq!(follower.version(), Some(1), "changes since then are read from the store");
    follower.apply_read(false, vec![removed("w"), worker("x", false)], 3, None);
    assert_eq!(follower.apply_update(reader.take_update()), (false, true));
}

#[test]
fn entry_that_reappears_within_the_grace_period_is_sent_again() {
    let (mut reader, mut follower) = pair();
    reader.apply_read(false, vec![removed("w")], 2, Some(GRACE));
    follower.apply_read(false, vec![removed("w")], 2, None);
    assert_eq!(
        follower.apply_update(reader.take_update()),
        (false, false),
        "only one of them has removed it"
    );
    reader.apply_read(false, vec![worker("w", false)], 3, Some(GRACE));
    assert_eq!(follower.apply_update(reader.take_update()), (true, true));
}

#[test]
fn entry_that_stays_missing_is_removed_on_all_instances() {
    let (mut reader, mut follower) = pair();
    reader.apply_read(false, vec![removed("w")], 2, Some(GRACE));
    assert_eq!(follower.apply_update(reader.take_update()), (false, true));
    assert!(!reader.expire(NOW));
    assert!(reader.expire(GRACE));
    assert_eq!(follower.apply_update(reader.take_update()), (true, true));
    assert_eq!(follower.list(), reader.list());
}

#[test]
fn stale_store_response_does_not_undo_a_later_update() {
    let (mut reader, mut follower) = pair();
    reader.apply_read(false, vec![worker("w", true)], 3, None);
    follower.apply_update(reader.take_update());
    assert!(!follower.apply_read(false, vec![worker("w", false)], 2, None));
    assert_eq!(follower.list(), reader.list());
}

#[test]
fn stale_update_of_a_former_reader_does_not_undo_a_later_read() {
    let (mut reader, mut follower) = pair();
    reader.apply_read(false, vec![worker("w", false), worker("x", false)], 2, None);
    let late = reader.take_update();
    follower.apply_read(false, vec![worker("w", true), removed("x")], 3, None);
    assert_eq!(follower.apply_update(late), (false, false));
    assert!(follower.list().iter().any(|listed| listed.draining), "still draining");
}

#[test]
fn digest_of_workers_is_the_same_in_all_builds() {
    // Guards against builds that hash the same worker differently: during a rolling update the
    // copies of a zone would never match, and all instances would read the store.
    struct Case {
        name: &'static str,
        workers: Vec<ListedWorker>,
        digest: u64,
    }
    let plain = ListedWorker {
        id: "w-0".parse().expect("an id"),
        service: "svc".to_owned(),
        addr: ([10, 0, 0, 1], 80).into(),
        zone: "praha-a".to_owned(),
        labels: vec!["kind-a".to_owned(), "r1-3".to_owned()],
        capacity: Need {
            cores: Cores::new(32_000),
            memory: Count::new(65_536),
            accels: Accels::new(2),
        },
        draining: false,
        drained: false,
        incarnation: Incarnation::new(1_800_000_000_000),
    };
    let leaving = ListedWorker {
        id: "w-1".parse().expect("an id"),
        service: "a \"quoted\" service".to_owned(),
        addr: "[2001:db8::7]:65535".parse().expect("an address"),
        zone: "kladno\\c".to_owned(),
        labels: vec!["ř\n\u{200b}'".to_owned(), String::new()],
        capacity: Need {
            cores: Cores::new(1),
            memory: Count::new(0),
            accels: Accels::new(u32::MAX),
        },
        draining: true,
        drained: true,
        incarnation: Incarnation::new(u64::MAX),
    };
    let bare = ListedWorker {
        id: "w-2".parse().expect("an id"),
        labels: Vec::new(),
        draining: true,
        incarnation: Incarnation::UNKNOWN,
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
        let mut reader = WorkerCache::default();
        let put = |listed: ListedWorker| {
            let key = listed.id.as_str().to_owned();
            WorkerChange { key, entry: WorkerEntry::Listed(listed) }
        };
        reader.apply_read(true, workers.into_iter().map(put).collect(), 1, None);
        assert_eq!(reader.take_update().digest, digest, "{name}");
    }
}

/// Messages of the zone reader, and whether the local copy counts as fresh afterwards.
struct FreshnessCase {
    name: &'static str,
    /// Times of confirmations, in milliseconds.
    confirmed: &'static [u64],
    /// Time in which this process is paused.
    pause: std::ops::Range<u64>,
    /// Time of the check.
    at: u64,
    is_fresh_after: bool,
}

#[test]
fn copy_is_fresh_only_after_a_recent_confirmation_without_a_pause() {
    let none = 0..0;
    let cases = [
        FreshnessCase {
            name: "never",
            confirmed: &[],
            pause: none.clone(),
            at: 500,
            is_fresh_after: false,
        },
        FreshnessCase {
            name: "just now",
            confirmed: &[500],
            pause: none.clone(),
            at: 500,
            is_fresh_after: true,
        },
        FreshnessCase {
            name: "recently",
            confirmed: &[500],
            pause: none.clone(),
            at: 1_480,
            is_fresh_after: true,
        },
        FreshnessCase {
            name: "long ago",
            confirmed: &[500],
            pause: none,
            at: 1_500,
            is_fresh_after: false,
        },
        FreshnessCase {
            name: "before a pause",
            confirmed: &[500],
            pause: 500..1_000,
            at: 1_000,
            is_fresh_after: false,
        },
        FreshnessCase {
            name: "waited in the socket during a pause",
            confirmed: &[3_000],
            pause: 500..3_000,
            at: 3_020,
            is_fresh_after: false,
        },
        FreshnessCase {
            name: "after a pause",
            confirmed: &[4_100],
            pause: 500..3_000,
            at: 4_100,
            is_fresh_after: true,
        },
    ];
    for FreshnessCase { name, confirmed, pause, at, is_fresh_after } in cases {
        let mut freshness = ListFreshness::default();
        for now in (0..at).step_by(20).filter(|now| !pause.contains(now)) {
            if confirmed.contains(&now) {
                freshness.confirm(NOW + Span::from_ms(now));
            }
            freshness.tick(NOW + Span::from_ms(now));
        }
        freshness.tick(NOW + Span::from_ms(at));
        if confirmed.contains(&at) {
            freshness.confirm(NOW + Span::from_ms(at));
        }
        assert_eq!(freshness.is_fresh(NOW + Span::from_ms(at)), is_fresh_after, "{name}");
    }
}
