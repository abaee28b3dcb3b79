//! Guards against long tasks that are stopped again and again, and against runs on workers that
//! stand still that are waited for.

mod common;

use cranberryhatch_fleet::{Held, Stage};
use cranberryhatch_schema::fleet::{Need, Run, Start};
use cranberryhatch_types::Time;

struct Case {
    name: &'static str,
    ran: u64,
    percent: u32,
    stalls: u32,
    stalled: bool,
}

#[test]
fn a_run_is_stopped_only_when_another_worker_would_be_faster() {
    // Tasks that are expected to run 500 ms.
    let cases = [
        Case { name: "on time", ran: 400, percent: 80, stalls: 0, stalled: false },
        Case {
            name: "no progress, not judged yet",
            ran: 700,
            percent: 0,
            stalls: 0,
            stalled: false,
        },
        Case { name: "no progress", ran: 900, percent: 0, stalls: 0, stalled: true },
        Case {
            name: "half done, long by itself",
            ran: 900,
            percent: 51,
            stalls: 0,
            stalled: false,
        },
        Case { name: "3.4 times as long", ran: 850, percent: 50, stalls: 0, stalled: false },
        Case { name: "six times slow", ran: 850, percent: 28, stalls: 0, stalled: true },
        Case { name: "slow after a stop", ran: 850, percent: 28, stalls: 1, stalled: false },
        Case { name: "no progress after a stop", ran: 2_400, percent: 0, stalls: 1, stalled: true },
    ];
    for Case { name, ran, percent, stalls, stalled } in cases {
        let run = Run { job: "j".to_owned(), step: 0, task: 0, run: 1 };
        let start = Start {
            run: Some(run),
            need: Some(Need::default()),
            run_ms: 500,
            stalls,
            ..Start::default()
        };
        let front = "e-1".parse().expect("a name");
        let mut held = Held::new(front, &start, Time::ZERO).expect("a start");
        held.stage = Stage::AtWork { since: Time::ZERO };
        held.percent = percent;
        assert_eq!(held.is_stalled(Time::from_ms(ran)), stalled, "{name}");
    }
}
