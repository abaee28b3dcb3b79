//! Settings tree: parsing, validation and inheritance.

use cranberryhatch_schema::{Key, Values};
use cranberryhatch_types::{Kind, TeamId, ZoneId};
use ini::Ini;

use crate::{Change, Fault, FaultKind, Path, TreeError, checks};

/// Maximum size of a tree's text, in bytes; 120 teams with ten kinds of job each need about
/// 100 KiB.
const TEXT_LIMIT: usize = 512 << 10;

/// One value set in one section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Section in which the value is set.
    pub path: Path,
    /// Key of the value.
    pub key: Key,
    /// The value as written.
    pub value: String,
}

/// A validated settings tree, sorted by path and key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    settings: Vec<Setting>,
}

impl Tree {
    /// Parses and checks the INI text of a tree.
    ///
    /// # Errors
    /// Returns a [`TreeError`] with all faults in the text and their lines.
    pub fn parse(text: &str) -> Result<Self, TreeError> {
        if text.len() > TEXT_LIMIT {
            return Err(TreeError::TooLong { size: text.len(), limit: TEXT_LIMIT });
        }
        let ini = Ini::load_from_str_noescape(text)
            .map_err(|e| TreeError::Syntax { line: e.line, detail: e.msg.to_string() })?;
        let mut tree = Self::default();
        let mut faults = Vec::new();
        for (section, properties) in &ini {
            let section = section.unwrap_or_default();
            if section.is_empty() && properties.is_empty() {
                continue;
            }
            let path: Path = match section.parse() {
                Ok(path) => path,
                Err(error) => {
                    let kind = FaultKind::BadSection(error);
                    faults.push(fault(text, section, "", kind));
                    continue;
                }
            };
            for (key, value) in properties {
                if let Err(kind) = tree.add(&path, key, value) {
                    faults.push(fault(text, section, key, kind));
                }
            }
        }
        faults.extend(
            checks::check_tree(&tree)
                .into_iter()
                .map(|(section, key, kind)| fault(text, &section, &key, kind)),
        );
        if faults.is_empty() { Ok(tree) } else { Err(TreeError::Faults(faults)) }
    }

    fn add(&mut self, path: &Path, name: &str, value: &str) -> Result<(), FaultKind> {
        let key: Key = name.parse().map_err(|_| FaultKind::UnknownKey)?;
        if matches!(path, Path::Operator(_)) && key != Key::AuthToken {
            return Err(FaultKind::UnknownKey);
        }
        if let Some(level) = path.level()
            && !key.spec().levels.contains(&level)
        {
            return Err(FaultKind::WrongLevel(level));
        }
        Values::default().set(key, value).map_err(FaultKind::BadValue)?;
        match self.position(path, key) {
            Ok(_) => Err(FaultKind::Duplicate),
            Err(index) => {
                let setting = Setting { path: path.clone(), key, value: value.to_owned() };
                self.settings.insert(index, setting);
                Ok(())
            }
        }
    }

    fn position(&self, path: &Path, key: Key) -> Result<usize, usize> {
        self.settings.binary_search_by(|s| s.path.cmp(path).then(s.key.cmp(&key)))
    }

    /// Returns all settings, sorted by path and key.
    #[must_use]
    pub fn settings(&self) -> &[Setting] {
        &self.settings
    }

    /// Returns the operators with the SHA-256 digests of their tokens.
    pub fn operators(&self) -> impl Iterator<Item = (&str, &str)> {
        self.settings.iter().filter_map(|setting| match &setting.path {
            Path::Operator(name) => Some((name.as_str(), setting.value.as_str())),
            _ => None,
        })
    }

    /// Returns the values set at the root and deployment levels.
    #[must_use]
    pub fn global(&self) -> Values {
        self.values(|path| matches!(path, Path::Root | Path::Deployment(_)))
    }

    /// Returns the values for a zone, team and kind of job; unset values are inherited from the
    /// levels above.
    #[must_use]
    pub fn resolve(&self, zone: &ZoneId, team: Option<&TeamId>, kind: Option<&Kind>) -> Values {
        self.values(|path| match path {
            Path::Root | Path::Deployment(_) => true,
            Path::Zone(z) => z == zone,
            Path::Team(t) => Some(t) == team,
            Path::Kind(t, k) => Some(t) == team && Some(k) == kind,
            Path::Operator(_) => false,
        })
    }

    // Paths are sorted from the root down, so later settings override earlier ones.
    fn values(&self, applies: impl Fn(&Path) -> bool) -> Values {
        let mut values = Values::default();
        for setting in self.settings.iter().filter(|s| applies(&s.path)) {
            let set = values.set(setting.key, &setting.value);
            debug_assert!(set.is_ok(), "checked when the tree was parsed");
        }
        values
    }

    /// Returns the value set in a section, or `None` if it is inherited.
    #[must_use]
    pub fn get(&self, path: &Path, key: Key) -> Option<&str> {
        let index = self.position(path, key).ok()?;
        Some(&self.settings[index].value)
    }

    /// Returns a copy of the tree with one value set, or removed if `value` is `None`.
    ///
    /// # Errors
    /// Returns a [`TreeError`] if the new tree has faults.
    pub fn with(&self, path: &Path, key: Key, value: Option<&str>) -> Result<Self, TreeError> {
        let mut tree = self.clone();
        match (tree.position(path, key), value) {
            (Ok(index), Some(value)) => value.clone_into(&mut tree.settings[index].value),
            (Ok(index), None) => {
                tree.settings.remove(index);
            }
            (Err(index), Some(value)) => {
                let setting = Setting { path: path.clone(), key, value: value.to_owned() };
                tree.settings.insert(index, setting);
            }
            (Err(_), None) => {}
        }
        Self::parse(&tree.to_ini())
    }

    /// Returns the changes that turn this tree into `newer`, sorted by path and key.
    #[must_use]
    pub fn diff(&self, newer: &Self) -> Vec<Change> {
        let mut changes = Vec::new();
        for old in &self.settings {
            let to = newer.get(&old.path, old.key);
            if to != Some(old.value.as_str()) {
                changes.push(Change {
                    path: old.path.clone(),
                    key: old.key,
                    from: Some(old.value.clone()),
                    to: to.map(str::to_owned),
                });
            }
        }
        let added = newer.settings.iter().filter(|s| self.get(&s.path, s.key).is_none());
        changes.extend(added.map(|s| Change {
            path: s.path.clone(),
            key: s.key,
            from: None,
            to: Some(s.value.clone()),
        }));
        changes.sort_by(|a, b| a.path.cmp(&b.path).then(a.key.cmp(&b.key)));
        changes
    }

    /// Formats the tree as INI text.
    #[must_use]
    pub fn to_ini(&self) -> String {
        let mut text = String::new();
        let mut section = None;
        for setting in &self.settings {
            if section != Some(&setting.path) {
                text += &format!("[{}]\n", setting.path);
                section = Some(&setting.path);
            }
            text += &format!("{} = {}\n", setting.key, setting.value);
        }
        text
    }
}

fn fault(text: &str, section: &str, key: &str, kind: FaultKind) -> Fault {
    let line = line_of(text, section, key);
    Fault { line, section: section.to_owned(), key: key.to_owned(), kind }
}

/// Returns the line number (from 1) of a key in its section, or of the section header if `key` is
/// empty; returns 1 if not found.
pub(crate) fn line_of(text: &str, section: &str, key: &str) -> usize {
    let mut inside = section.is_empty();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(header) = line.strip_prefix('[').and_then(|l| l.strip_suffix(']')) {
            inside = header == section;
            if inside && key.is_empty() {
                return index + 1;
            }
        } else if inside && line.split_once('=').is_some_and(|(name, _)| name.trim() == key) {
            return index + 1;
        }
    }
    1
}
