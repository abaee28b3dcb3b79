//! Names of log lines and of log values that tools outside this repository match.

use cranberryhatch_fleet::{
    DropCause, Incarnation, LogEvent, MembershipChange, RequestKind, StartResponse,
};
use cranberryhatch_types::Span;

#[test]
fn log_lines_about_members_keep_their_names() {
    let change = MembershipChange { members: 1, waited: Span::ZERO, agreed: true };
    let event = LogEvent::MembersAdmitted { change, peers: 1 };
    assert_eq!(<&'static str>::from(&event), "members-counted");
}

#[test]
fn log_lines_about_workers_keep_their_names() {
    let worker = || "w".parse().expect("an id");
    let silence = Span::ZERO;
    let events = [
        (
            LogEvent::IncarnationEnded {
                worker: worker(),
                incarnation: Incarnation::UNKNOWN,
                runs: 0,
            },
            "life-ended",
        ),
        (
            LogEvent::WorkerUnresponsive {
                worker: worker(),
                silence,
                runs: 0,
                unanswered: 0,
                over_in: silence,
            },
            "worker-dark",
        ),
    ];
    for (event, name) in events {
        assert_eq!(<&'static str>::from(&event), name, "{event:?}");
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
