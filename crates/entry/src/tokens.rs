//! Bearer tokens of teams and operators.

use cranberryhatch_schema::Key;
use cranberryhatch_settings::{Path, Tree};
use cranberryhatch_types::TeamId;
use sha2::{Digest, Sha256};

/// Tokens of one version of the settings, sorted by their SHA-256 in hexadecimal.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    teams: Vec<(String, TeamId)>,
    operators: Vec<(String, String)>,
}

impl Tokens {
    /// Collects the tokens of a tree.
    #[must_use]
    pub fn of(tree: &Tree) -> Self {
        let team = |setting: &cranberryhatch_settings::Setting| match &setting.path {
            Path::Team(team) if setting.key == Key::AuthToken && !setting.value.is_empty() => {
                Some((setting.value.to_ascii_lowercase(), team.clone()))
            }
            _ => None,
        };
        let operator = |(name, token): (&str, &str)| {
            (!token.is_empty()).then(|| (token.to_ascii_lowercase(), name.to_owned()))
        };
        let mut teams: Vec<_> = tree.settings().iter().filter_map(team).collect();
        let mut operators: Vec<_> = tree.operators().filter_map(operator).collect();
        teams.sort();
        operators.sort();
        Self { teams, operators }
    }

    /// Teams that have a token.
    #[must_use]
    pub fn team_ids(&self) -> Vec<TeamId> {
        let mut ids: Vec<_> = self.teams.iter().map(|(_, team)| team.clone()).collect();
        ids.sort();
        ids.dedup();
        ids
    }

    /// The team with a token.
    #[must_use]
    pub fn team(&self, token: &str) -> Option<&TeamId> {
        let digest = digest(token);
        let place = self.teams.binary_search_by(|(known, _)| known.cmp(&digest));
        place.ok().map(|place| &self.teams[place].1)
    }

    /// The operator with a token.
    #[must_use]
    pub fn operator(&self, token: &str) -> Option<&str> {
        let digest = digest(token);
        let place = self.operators.binary_search_by(|(known, _)| known.cmp(&digest));
        place.ok().map(|place| self.operators[place].1.as_str())
    }
}

fn digest(token: &str) -> String {
    hex(&Sha256::digest(token.as_bytes()))
}

/// Bytes in hexadecimal.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
