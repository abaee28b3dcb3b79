//! The settings that an instance currently applies.

use std::sync::{Arc, Mutex, PoisonError};

use cranberryhatch_schema::Values;
use cranberryhatch_types::{Kind, TeamId, ZoneId};

use crate::{Drains, Tree};

/// A version of the settings tree, with a cache of resolved values.
#[derive(Debug)]
pub struct ActiveSettings {
    version: u64,
    tree: Tree,
    zone: ZoneId,
    local: Arc<Values>,
    drains: Drains,
    cache: Mutex<Vec<CacheEntry>>,
}

type CacheEntry = ((TeamId, Kind), Arc<Values>);

/// Maximum number of cached entries; requests with unknown kinds of job must not grow the cache
/// without limit.
const CACHE_LIMIT: usize = 4_096;

impl ActiveSettings {
    /// Creates the settings of an instance in `zone` from a tree and its version.
    #[must_use]
    pub fn new(version: u64, tree: Tree, zone: ZoneId) -> Self {
        let local = Arc::new(tree.resolve(&zone, None, None));
        let drains = Drains::of(&tree);
        Self { version, tree, zone, local, drains, cache: Mutex::default() }
    }

    /// Returns the version of the tree.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the settings tree.
    #[must_use]
    pub const fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns the values of the instance's zone, without a team or kind of job.
    #[must_use]
    pub const fn local(&self) -> &Arc<Values> {
        &self.local
    }

    /// Returns the drained availability zones.
    #[must_use]
    pub const fn drains(&self) -> &Drains {
        &self.drains
    }

    /// Returns the values for a team's kind of job.
    #[must_use]
    pub fn of(&self, team: &TeamId, kind: &Kind) -> Arc<Values> {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        let order = |entry: &CacheEntry| entry.0.0.cmp(team).then_with(|| entry.0.1.cmp(kind));
        match cache.binary_search_by(order) {
            Ok(index) => Arc::clone(&cache[index].1),
            Err(index) => {
                let values = Arc::new(self.tree.resolve(&self.zone, Some(team), Some(kind)));
                if cache.len() < CACHE_LIMIT {
                    cache.insert(index, ((team.clone(), kind.clone()), Arc::clone(&values)));
                }
                values
            }
        }
    }
}
