//! Configuration file (INI) of an entry instance.

use std::{net::SocketAddr, str::FromStr};

use cranberryhatch_types::{InstanceId, ZoneId};
use ini::Ini;
use strum::{Display, EnumString};

use crate::tree::line_of;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
    Text,
}

/// Configuration of an entry instance, read from its own file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessConfig {
    /// Id of the instance.
    pub id: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Listen address for callers and operators.
    pub listen: SocketAddr,
    /// Listen address for other instances.
    pub peer: SocketAddr,
    /// Number of shards.
    pub shards: u32,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Format of log lines.
    pub log: LogFormat,
    /// Address of the StatsD server; `None` disables StatsD.
    pub statsd: Option<SocketAddr>,
}

/// A fault in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProcessError {
    /// The file is not valid INI.
    #[error("line {line}: not an INI file: {detail}")]
    Syntax {
        /// Line number, from 1.
        line: usize,
        /// Message of the INI parser.
        detail: String,
    },
    /// A required key is missing.
    #[error("[{section}] {key}: missing")]
    Missing {
        /// Header of the section.
        section: String,
        /// Name of the key.
        key: String,
    },
    /// The key is unknown.
    #[error("line {line}: [{section}] {key}: unknown key")]
    UnknownKey {
        /// Line number, from 1.
        line: usize,
        /// Header of the section.
        section: String,
        /// Name of the key.
        key: String,
    },
    /// A value is not valid.
    #[error("line {line}: [{section}] {key}: {detail}")]
    BadValue {
        /// Line number, from 1.
        line: usize,
        /// Header of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Description of the fault.
        detail: String,
    },
}

const KEYS: [(&str, &str); 8] = [
    ("instance", "id"),
    ("instance", "zone"),
    ("instance", "listen"),
    ("instance", "peer"),
    ("instance", "shards"),
    ("platform", "address"),
    ("log", "format"),
    ("metrics", "statsd"),
];

impl ProcessConfig {
    /// Parses and checks the text of a configuration file.
    ///
    /// # Errors
    /// Returns all faults in the text.
    pub fn parse(text: &str) -> Result<Self, Vec<ProcessError>> {
        let ini = Ini::load_from_str_noescape(text)
            .map_err(|e| vec![ProcessError::Syntax { line: e.line, detail: e.msg.to_string() }])?;
        let mut reader = Reader { text, ini: &ini, faults: Vec::new() };
        reader.check_keys();
        let id = reader.required("instance", "id");
        let zone = reader.required("instance", "zone");
        let listen = reader.required("instance", "listen");
        let peer = reader.required("instance", "peer");
        let shards = reader.optional("instance", "shards").unwrap_or(2);
        let platform = reader.required("platform", "address");
        let log = reader.optional("log", "format").unwrap_or_default();
        let statsd = reader.optional("metrics", "statsd");
        if !(1..=64).contains(&shards) {
            reader.add_bad_value("instance", "shards", "must be from 1 to 64".to_owned());
        }
        match (id, zone, listen, peer, platform) {
            (Some(id), Some(zone), Some(listen), Some(peer), Some(platform))
                if reader.faults.is_empty() =>
            {
                Ok(Self { id, zone, listen, peer, shards, platform, log, statsd })
            }
            _ => Err(reader.faults),
        }
    }
}

struct Reader<'a> {
    text: &'a str,
    ini: &'a Ini,
    faults: Vec<ProcessError>,
}

impl Reader<'_> {
    fn check_keys(&mut self) {
        for (section, properties) in self.ini {
            let section = section.unwrap_or_default();
            for (key, _) in properties {
                if !KEYS.contains(&(section, key)) {
                    let line = line_of(self.text, section, key);
                    let (section, key) = (section.to_owned(), key.to_owned());
                    self.faults.push(ProcessError::UnknownKey { line, section, key });
                }
            }
        }
    }

    fn required<T: FromStr<Err: ToString>>(&mut self, section: &str, key: &str) -> Option<T> {
        if self.ini.get_from(Some(section), key).is_none() {
            let (section, key) = (section.to_owned(), key.to_owned());
            self.faults.push(ProcessError::Missing { section, key });
            return None;
        }
        self.optional(section, key)
    }

    fn optional<T: FromStr<Err: ToString>>(&mut self, section: &str, key: &str) -> Option<T> {
        match self.ini.get_from(Some(section), key)?.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_bad_value(section, key, error.to_string());
                None
            }
        }
    }

    fn add_bad_value(&mut self, section: &str, key: &str, detail: String) {
        let line = line_of(self.text, section, key);
        let (section, key) = (section.to_owned(), key.to_owned());
        self.faults.push(ProcessError::BadValue { line, section, key, detail });
    }
}
