//! Kinds of job that the operator has configured, by host and path.

use std::sync::Arc;

use cranberryhatch_fleet::KindSettings;

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
}

impl Catalog {
    /// Creates a catalog of these kinds.
    #[must_use]
    pub fn new(version: u64, mut entries: Vec<CatalogEntry>) -> Self {
        entries.sort_by(|a, b| (&a.host, &a.path).cmp(&(&b.host, &b.path)));
        Self { version, entries }
    }

    /// Returns the kind with the longest path prefix that matches, or `None`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&CatalogEntry> {
        let first = self.entries.partition_point(|entry| entry.host.as_str() < host);
        let same_host = self.entries[first..].iter().take_while(|entry| entry.host == host);
        same_host.filter(|entry| path.starts_with(&entry.path)).max_by_key(|e| e.path.len())
    }
}
