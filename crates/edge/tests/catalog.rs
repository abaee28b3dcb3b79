//! Guards against jobs that cannot be cancelled because their kind has been removed.

use std::sync::Arc;

use cranberryhatch_edge::{Catalog, CatalogEntry, REMOVED_RETENTION};
use cranberryhatch_fleet::KindSettings;
use cranberryhatch_types::{Span, Time};

const NOW: Time = Time::from_ms(1_000);

fn entry(path: &str) -> CatalogEntry {
    let settings = KindSettings {
        kind: path.to_owned(),
        service: "svc".to_owned(),
        priority: 0,
        attempts: 2,
        stretch: 1_600,
        slack: Span::from_ms(60),
        timeout: Span::from_ms(1_500),
    };
    CatalogEntry {
        host: "h".to_owned(),
        path: path.to_owned(),
        needs_hint: false,
        settings: Arc::new(settings),
    }
}

/// Applies versions of the settings one after another and returns the last one.
fn applied(versions: &[(Span, &[&str])]) -> Catalog {
    let mut current = Catalog::default();
    for (version, (after, paths)) in (1..).zip(versions) {
        let mut next = Catalog::new(version, paths.iter().map(|path| entry(path)).collect());
        next.keep_removed(&current, NOW + *after);
        current = next;
    }
    current
}

#[test]
fn removed_kind_is_found_for_as_long_as_its_jobs_may_run() {
    struct Case {
        name: &'static str,
        versions: Vec<(Span, &'static [&'static str])>,
        host: &'static str,
        removed: bool,
    }
    let both: (Span, &'static [&'static str]) = (Span::ZERO, &["/a/", "/b/"]);
    let second = Span::from_secs(1);
    let late = Span::from_ms(second.as_ms() + REMOVED_RETENTION.as_ms());
    let cases = [
        Case { name: "in force", versions: vec![both], host: "h", removed: false },
        Case {
            name: "removed",
            versions: vec![both, (second, &["/b/"])],
            host: "h",
            removed: true,
        },
        Case {
            name: "another host",
            versions: vec![both, (second, &["/b/"])],
            host: "g",
            removed: false,
        },
        Case {
            name: "changed again",
            versions: vec![both, (second, &["/b/"]), (second + second, &["/c/"])],
            host: "h",
            removed: true,
        },
        Case {
            name: "added again",
            versions: vec![both, (second, &["/b/"]), (second + second, &["/a/"])],
            host: "h",
            removed: false,
        },
        Case {
            name: "long ago",
            versions: vec![both, (second, &["/b/"]), (late, &["/b/", "/c/"])],
            host: "h",
            removed: false,
        },
    ];
    for Case { name, versions, host, removed } in cases {
        let found = applied(&versions).find_removed(host, "/a/00").map(|entry| entry.path.clone());
        assert_eq!(found, removed.then(|| "/a/".to_owned()), "{name}");
    }
}
