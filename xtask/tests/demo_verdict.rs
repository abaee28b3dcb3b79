//! Guards against a demo that prints a fault and ends well.

use xtask::demo::{Shortfall, judge};

struct Case {
    guards: &'static str,
    broken: usize,
    answers: &'static [(&'static str, usize)],
    ratio: f64,
    expect: Result<(), Shortfall>,
}

#[test]
fn a_run_that_falls_short_is_an_error() {
    let slow = |ratio| Err(Shortfall::Slow(ratio));
    let answers = |text: &str| Err(Shortfall::Answers(text.to_owned()));
    let all: &[_] = &[("complete", 332)];
    let cases = [
        Case { guards: "a good run fails", broken: 0, answers: all, ratio: 1.3, expect: Ok(()) },
        Case {
            guards: "the limit is no success",
            broken: 0,
            answers: all,
            ratio: 3.0,
            expect: Ok(()),
        },
        Case { guards: "a slow job", broken: 0, answers: all, ratio: 3.01, expect: slow(3.01) },
        Case {
            guards: "a job of 25 s",
            broken: 0,
            answers: all,
            ratio: 100.0,
            expect: slow(100.0),
        },
        Case {
            guards: "a second submission without its answer",
            broken: 0,
            answers: &[("complete", 329), ("unknown holder-unreachable", 3)],
            ratio: 1.3,
            expect: answers("3 unknown holder-unreachable"),
        },
        Case {
            guards: "a job that is still pending",
            broken: 0,
            answers: &[("complete", 331), ("pending", 1)],
            ratio: 1.3,
            expect: answers("1 pending"),
        },
        Case {
            guards: "a broken rule",
            broken: 2,
            answers: all,
            ratio: 1.3,
            expect: Err(Shortfall::Broken(2)),
        },
    ];
    for case in cases {
        let answers: Vec<_> =
            case.answers.iter().map(|(name, n)| ((*name).to_owned(), *n)).collect();
        assert_eq!(judge(case.broken, &answers, case.ratio), case.expect, "{}", case.guards);
    }
}
