//! Tests of the configuration file of an instance.

use cranberryhatch_settings::{LogFormat, ProcessConfig, ProcessError};

const VALID: &str = "[instance]\nid = e1\nzone = praha-a\nlisten = 127.0.0.1:7001\n\
                    peer = 127.0.0.1:7101\n[platform]\naddress = 127.0.0.1:7000\n";

/// Guards against a process that starts with a different address or zone than its file sets.
#[test]
fn valid_file_is_parsed() {
    let config = ProcessConfig::parse(VALID).unwrap();
    assert_eq!(config.id.as_str(), "e1");
    assert_eq!(config.zone.as_str(), "praha-a");
    assert_eq!(config.listen.port(), 7001);
    assert_eq!((config.shards, config.log, config.statsd), (2, LogFormat::Json, None));
}

struct BadFile {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    line: Option<usize>,
}

/// Guards against a fault that is ignored or reported without its line.
#[test]
fn faults_name_their_line() {
    let cases = [
        BadFile { name: "bad address", from: "7001", to: "70010000", line: Some(4) },
        BadFile { name: "bad zone", from: "praha-a", to: "praha a", line: Some(3) },
        BadFile { name: "unknown key", from: "id =", to: "idd =", line: Some(2) },
        BadFile { name: "missing key", from: "id = e1\n", to: "", line: None },
        BadFile { name: "shards", from: "id = e1\n", to: "id = e1\nshards = 0\n", line: Some(3) },
    ];
    for case in cases {
        let text = VALID.replace(case.from, case.to);
        let faults = ProcessConfig::parse(&text).expect_err(case.name);
        let line = match &faults[0] {
            ProcessError::Syntax { line, .. }
            | ProcessError::UnknownKey { line, .. }
            | ProcessError::BadValue { line, .. } => Some(*line),
            ProcessError::Missing { .. } => None,
        };
        assert_eq!(line, case.line, "{}: {faults:?}", case.name);
    }
}

/// Guards against a check that reports only the first fault.
#[test]
fn every_fault_is_listed() {
    let faults = ProcessConfig::parse("[instance]\nid = a b\nsize = 3\n").unwrap_err();
    assert_eq!(faults.len(), 6, "{faults:?}");
}
