//! Names of log lines and of log values that tools outside this repository match.

use cranberryhatch_fleet::{DropCause, Life, Note, RequestKind, StartResponse};
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
        (RequestKind::Start.to_string(), "start"),
        (RequestKind::Stop.to_string(), "stop"),
        (RequestKind::Poll.to_string(), "look"),
        (DropCause::Fenced.to_string(), "fenced"),
        (DropCause::OtherIncarnation.to_string(), "other-life"),
        (DropCause::Unlisted.to_string(), "unlisted"),
        (StartResponse::Superseded.to_string(), "old"),
        (StartResponse::OtherIncarnation.to_string(), "other-life"),
        (StartResponse::NoResponse.to_string(), "lost"),
    ];
    for (value, name) in values {
        assert_eq!(value, name);
    }
}
