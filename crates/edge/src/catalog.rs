//! Kinds of job that the operator's settings allow.

use std::sync::Arc;

use cranberryhatch_fleet::KindSettings;

/// One kind of job and where callers submit it.
#[derive(Clone, Debug, PartialEq)]
pub struct CatalogEntry {
    /// Host that callers name.
    pub host: String,
    /// Start of the path that callers use.
    pub path: String,
    /// Whether kinds of this service need advice from outside, which is not supported.
    pub needs_hint: bool,
    /// Settings of the kind.
    pub policy: Arc<KindSettings>,
}

/// All kinds of one version of the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version of the settings.
    pub version: u64,
    // Sorted by host and path.
    entries: Vec<CatalogEntry>,
}

impl Catalog {
    /// A catalog of these kinds.
    #[must_use]
    pub fn new(version: u64, mut entries: Vec<CatalogEntry>) -> Self {
        entries.sort_by(|a, b| (&a.host, &a.path).cmp(&(&b.host, &b.path)));
        Self { version, entries }
    }

    /// The kind with the longest path that `path` begins with.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&CatalogEntry> {
        let first = self.entries.partition_point(|entry| entry.host.as_str() < host);
        let same_host = self.entries[first..].iter().take_while(|entry| entry.host == host);
        same_host.filter(|entry| path.starts_with(&entry.path)).max_by_key(|e| e.path.len())
    }
}
