//! Kinds of job that the operator has configured, by host and path.

use std::sync::Arc;

use cranberryhatch_fleet::KindSettings;
use cranberryhatch_types::{Span, Time};

/// Time for which jobs of a kind can be cancelled after the operator has removed it.
pub const REMOVED_RETENTION: Span = Span::from_secs(600);

/// A kind of job and where callers submit it.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogEntry {
    /// Host name in the requests of callers.
    pub host: String,
    /// Prefix of the request path.
    pub path: String,
    /// Whether jobs of this kind need placement hints from another service, which is not supported.
    pub needs_hint: bool,
    /// Settings of the kind.
    pub settings: Arc<KindSettings>,
}

/// All kinds of job in one version of the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version of the settings.
    pub version: u64,
    // Sorted by host and path.
    entries: Vec<CatalogEntry>,
    // Kinds of earlier versions that this one lacks, and until when their jobs can be cancelled;
    // sorted by host and path.
    removed: Vec<(CatalogEntry, Time)>,
}

impl Catalog {
    /// Creates a catalog of these kinds.
    #[must_use]
    pub fn new(version: u64, mut entries: Vec<CatalogEntry>) -> Self {
        entries.sort_by(|a, b| (&a.host, &a.path).cmp(&(&b.host, &b.path)));
        Self { version, entries, removed: Vec::new() }
    }

    /// Returns the kind with the longest path prefix that matches, or `None`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&CatalogEntry> {
        let first = self.entries.partition_point(|entry| entry.host.as_str() < host);
        let same_host = self.entries[first..].iter().take_while(|entry| entry.host == host);
        same_host.filter(|entry| path.starts_with(&entry.path)).max_by_key(|e| e.path.len())
    }

    /// Returns the removed kind with the longest path prefix that matches, or `None`. Its jobs may
    /// still be running.
    #[must_use]
    pub fn find_removed(&self, host: &str, path: &str) -> Option<&CatalogEntry> {
        let first = self.removed.partition_point(|(entry, _)| entry.host.as_str() < host);
        let removed = self.removed[first..].iter().map(|(entry, _)| entry);
        let same_host = removed.take_while(|entry| entry.host == host);
        same_host.filter(|entry| path.starts_with(&entry.path)).max_by_key(|e| e.path.len())
    }

    /// Remembers the kinds that the former version had and this one lacks.
    pub fn keep_removed(&mut self, former: &Self, now: Time) {
        let until = now + REMOVED_RETENTION;
        let earlier = former.removed.iter().filter(|(_, until)| now < *until).cloned();
        let latest = former.entries.iter().map(|entry| (entry.clone(), until));
        let mut removed: Vec<(CatalogEntry, Time)> = latest.chain(earlier).collect();
        let key = |entry: &CatalogEntry| (entry.host.clone(), entry.path.clone());
        removed.retain(|(entry, _)| self.entries.binary_search_by_key(&key(entry), key).is_err());
        removed.sort_by_key(|(entry, _)| key(entry));
        removed.dedup_by_key(|(entry, _)| key(entry));
        self.removed = removed;
    }
}
