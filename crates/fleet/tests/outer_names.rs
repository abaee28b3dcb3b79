//! Names of log lines and of log values that tools outside this repository match.

use cranberryhatch_fleet::{DropCause, Life, Note, OrderKind, StartAnswer};
use cranberryhatch_types::Span;

#[test]
fn log_lines_about_workers_keep_their_names() {
    let worker = || "w".parse().expect("an id");
    let notes = [
        (Note::LifeEnded { worker: worker(), life: Life::UNKNOWN, runs: 0 }, "life-ended"),
        (Note::WorkerDark { worker: worker(), silence: Span::ZERO, runs: 0 }, "worker-dark"),
    ];
    for (note, name) in notes {
        assert_eq!(<&'static str>::from(&note), name, "{note:?}");
    }
}

#[test]
fn log_values_about_workers_keep_their_names() {
    let values = [
        (OrderKind::Start.to_string(), "start"),
        (OrderKind::Stop.to_string(), "stop"),
        (OrderKind::Look.to_string(), "look"),
        (DropCause::Fenced.to_string(), "fenced"),
        (DropCause::OtherLife.to_string(), "other-life"),
        (DropCause::Unlisted.to_string(), "unlisted"),
        (StartAnswer::Old.to_string(), "old"),
        (StartAnswer::OtherLife.to_string(), "other-life"),
        (StartAnswer::Lost.to_string(), "lost"),
    ];
    for (value, name) in values {
        assert_eq!(value, name);
    }
}
