//! Guards against a renamed variant that changes the name of a log line or of a logged value.

use cranberryhatch_fleet::{Counted, DropCause, Life, Note, OrderKind, StartAnswer};
use cranberryhatch_types::{Span, WorkerId};

#[test]
fn logged_names_stay() {
    let worker: WorkerId = "w".parse().expect("an id");
    let counted = Counted { members: 1, waited: Span::ZERO, agreed: true };
    let silence = Span::ZERO;
    let cases = [
        ("members-counted", Note::MembersCounted { counted, peers: 1 }),
        ("life-ended", Note::LifeEnded { worker: worker.clone(), life: Life::UNKNOWN, runs: 0 }),
        ("worker-dark", Note::WorkerDark { worker, silence, runs: 0 }),
    ];
    for (name, note) in cases {
        assert_eq!(<&'static str>::from(&note), name);
    }
    assert_eq!(OrderKind::Look.to_string(), "look");
    assert_eq!(DropCause::OtherLife.to_string(), "other-life");
    assert_eq!(StartAnswer::OtherLife.to_string(), "other-life");
}
