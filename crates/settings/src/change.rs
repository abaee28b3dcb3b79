//! Differences between two settings trees.

use std::fmt;

use cranberryhatch_schema::Key;

use crate::Path;

/// One value that differs between two trees.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Section in which the value is set.
    pub path: Path,
    /// Key of the value.
    pub key: Key,
    /// Value in the older tree, or `None` if it was not set.
    pub from: Option<String>,
    /// Value in the newer tree, or `None` if it is no longer set.
    pub to: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "inherited".to_owned());
        write!(f, "[{}] {}: {} -> {}", self.path, self.key, text(&self.from), text(&self.to))
    }
}
