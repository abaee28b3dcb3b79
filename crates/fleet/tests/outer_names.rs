//! Guards against a renamed variant that changes the name of a log line or of a logged value.

use cranberryhatch_fleet::{Counted, DropCause, Life, LogEvent, OrderKind, StartResponse};
use cranberryhatch_types::{Span, WorkerId};

#[test]
fn logged_names_stay() {
    let worker: WorkerId = "w".parse().expect("an id");
    let counted = Counted { members: 1, waited: Span::ZERO, agreed: true };
    let silence = Span::ZERO;
    let cases = [
        ("members-counted", LogEvent::MembersAdmitted { counted, peers: 1 }),
        (
            "life-ended",
            LogEvent::WorkerRestarted { worker: worker.clone(), life: Life::UNKNOWN, runs: 0 },
        ),
        ("worker-dark", LogEvent::WorkerSilent { worker, silence, runs: 0 }),
    ];
    for (name, note) in cases {
        assert_eq!(<&'static str>::from(&note), name);
    }
    assert_eq!(OrderKind::Poll.to_string(), "look");
    assert_eq!(DropCause::OtherIncarnation.to_string(), "other-life");
    assert_eq!(StartResponse::OtherIncarnation.to_string(), "other-life");
}
