//! Guards against a story that leaves out lines, mixes jobs up or hides that clocks differ.

use std::{path::PathBuf, process::Command};

fn line(time: &str, message: &str, kvs: &str) -> String {
    format!(
        "{{\"timestamp\":\"2026-01-01T00:00:{time}Z\",\"message\":\"{message}\",\"kvs\":{{{kvs}}}}}"
    )
}

/// Writes logs and returns what the command says of job `a1`.
fn explain(name: &str, logs: &[(&str, Vec<String>)]) -> String {
    let folder = std::env::temp_dir().join(format!("explain-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let files: Vec<PathBuf> = logs
        .iter()
        .map(|(instance, lines)| {
            let file = folder.join(format!("{instance}.log"));
            std::fs::write(&file, lines.join("\n")).expect("a log");
            file
        })
        .collect();
    let output = Command::new(env!("CARGO_BIN_EXE_cranberryhatch"))
        .args(["explain", "a1", "--log"])
        .args(&files)
        .output()
        .expect("the command");
    std::fs::remove_dir_all(&folder).expect("the folder");
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn the_story_of_a_job_is_told_in_order_with_what_happened_around_it() {
    let front = vec![
        line("01.000", "admitted", r#""job":"a1""#),
        line("01.100", "admitted", r#""job":"b2""#),
        "not a line of ours".to_owned(),
        line("01.500", "answered", r#""job":"a1","outcome":"given-up""#),
    ];
    let owner = vec![
        line("01.200", "worker-dark", r#""worker":"w-1","runs":1"#),
        line("01.300", "run-ended", r#""run":"a1.0.1#1","how":"HOW_STOPPED""#),
        line("09.000", "worker-dark", r#""worker":"w-2","runs":1"#),
    ];
    let story = explain("order", &[("e-1", front), ("e-2", owner)]);
    let told: Vec<&str> = story
        .lines()
        .map(|line| {
            line.split_whitespace()
                .find(|w| w.contains('-') && !w.starts_with(['e', '2']))
                .unwrap_or("")
        })
        .collect();
    assert_eq!(story.lines().count(), 4, "{story}");
    assert!(told.contains(&"worker-dark") && told.contains(&"run-ended"), "{story}");
    assert!(!story.contains("b2") && !story.contains("w-2"), "{story}");
}

#[test]
fn clocks_that_differ_are_named() {
    let front = vec![line("05.000", "admitted", r#""job":"a1""#)];
    let scheduler = vec![line("03.000", "granted", r#""job":"a1""#)];
    let story = explain("clocks", &[("e-1", front), ("e-2", scheduler)]);
    assert!(story.contains("the clock of e-1 is at least 2000 ms ahead of that of e-2"), "{story}");
}

#[test]
fn a_request_that_became_no_job_is_found_by_its_name_or_path() {
    let front = vec![
        line("01.000", "rejected", r#""request":"a1","cause":"stopping""#),
        line("02.000", "rejected", r#""request":"/jobs/a1","cause":"no-settings""#),
        line("03.000", "rejected", r#""request":"/jobs/b2","cause":"no-settings""#),
    ];
    let story = explain("rejected", &[("e-1", front)]);
    assert_eq!(story.lines().filter(|line| line.starts_with('*')).count(), 2, "{story}");
}

#[test]
fn a_job_without_lines_is_said_so() {
    let story = explain("none", &[("e-1", vec![line("01.000", "admitted", r#""job":"b2""#)])]);
    assert!(story.starts_with("no line about a1"), "{story}");
}

#[test]
fn a_job_with_two_fronts_is_pointed_out() {
    let first = vec![line("01.000", "admitted", r#""job":"a1""#)];
    let owner = vec![
        line("02.500", "run-ended", r#""run":"a1.0.0#1","front":"e-2""#),
        line("02.600", "run-ended", r#""run":"a1.0.1#1","front":"none""#),
    ];
    let story = explain("fronts", &[("e-1", first.clone()), ("e-3", owner)]);
    assert!(story.contains("submitted at 2 instances: e-1, e-2\n"), "{story}");
    let restarted = line("01.400", "run-restarted", r#""run":"a1.0.0#2","cause":"expired""#);
    let alone = explain("front", &[("e-1", [first, vec![restarted]].concat())]);
    assert!(alone.contains("run-restarted") && !alone.contains("submitted at"), "{alone}");
}
