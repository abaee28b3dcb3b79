//! Guards against a slow instance that takes late answers for lost ones, and against lost orders that are
//! awaited for much longer than answers take.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{AssignedRun, ResponseTimes, Worker};
use cranberryhatch_schema::fleet::{Run, Start};
use cranberryhatch_types::{Span, Time};
use quickcheck::{Gen, QuickCheck};

const MOST: Span = Span::from_ms(200);

struct Case {
    name: &'static str,
    /// Times of answers in milliseconds; none for an order without answer.
    orders: Vec<Option<u64>>,
    least: u64,
    most: u64,
}

#[test]
fn the_time_for_an_answer_follows_the_answers() {
    let answers = |count: usize, ms: &[u64]| -> Vec<Option<u64>> {
        ms.iter().cycle().take(count).map(|ms| Some(*ms)).collect()
    };
    let cases = [
        Case { name: "nothing known", orders: Vec::new(), least: 200, most: 200 },
        Case { name: "near workers", orders: answers(50, &[0, 1]), least: 30, most: 30 },
        Case {
            name: "an instance that reads answers late",
            orders: answers(50, &[20, 60]),
            least: 61,
            most: 200,
        },
        Case {
            name: "one order in five is lost",
            orders: answers(50, &[2]).into_iter().flat_map(|ms| [ms, ms, ms, ms, None]).collect(),
            least: 30,
            most: 30,
        },
        Case {
            name: "no order is answered any more",
            orders: [answers(50, &[2]), vec![None; 8]].concat(),
            least: 200,
            most: 200,
        },
        Case {
            name: "one answer is no sign that the time is long enough",
            orders: [answers(50, &[2]), vec![None; 8], answers(1, &[2])].concat(),
            least: 200,
            most: 200,
        },
        Case {
            name: "answers are back",
            orders: [answers(50, &[2]), vec![None; 8], answers(8, &[2])].concat(),
            least: 30,
            most: 30,
        },
        Case { name: "slower than the bound", orders: answers(50, &[900]), least: 200, most: 200 },
    ];
    for Case { name, orders, least, most } in cases {
        let mut times = ResponseTimes::default();
        for order in orders {
            match order {
                Some(ms) => times.record_response(Some(Span::from_ms(ms))),
                None => times.record_timeout(true),
            }
        }
        let timeout = times.timeout(MOST).as_ms();
        assert!((least..=most).contains(&timeout), "{name}: {timeout} ms");
    }
}

/// Orders of an instance: every `period`-th answer takes `late` ms and is not seen if that is longer than
/// the time for an answer, the others take 2 ms. Returns the share that was not seen of the last half, in
/// thousandths, and the longest time for an answer among them.
fn play(period: usize, late: Option<u64>, orders: usize) -> (usize, u64) {
    let mut times = ResponseTimes::default();
    (0..50).for_each(|_| times.record_response(Some(Span::from_ms(2))));
    let (mut unseen, mut longest) = (0, 0);
    for order in 1..=orders {
        let timeout = times.timeout(MOST);
        let took = if order % period == 0 { late } else { Some(2) };
        let took = took.map(Span::from_ms).filter(|took| *took <= timeout);
        match took {
            Some(took) => times.record_response(Some(took)),
            None => times.record_timeout(true),
        }
        if order > orders / 2 {
            unseen += usize::from(took.is_none());
            longest = longest.max(timeout.as_ms());
        }
    }
    (unseen * 2_000 / orders, longest)
}

#[test]
fn late_answers_are_told_from_lost_ones() {
    // Guards against an instance half of whose answers come late and are never seen, and against one that
    // awaits lost orders for long.
    struct Case {
        name: &'static str,
        period: usize,
        late: Option<u64>,
        /// Largest share of answers that are not seen in the end, in thousandths.
        unseen: usize,
        longest: u64,
    }
    let cases = [
        Case { name: "half come late", period: 2, late: Some(80), unseen: 50, longest: 200 },
        Case { name: "half come very late", period: 2, late: Some(150), unseen: 50, longest: 200 },
        Case { name: "8 % are lost", period: 12, late: None, unseen: 90, longest: 30 },
        Case { name: "a fifth is lost", period: 5, late: None, unseen: 200, longest: 30 },
    ];
    for Case { name, period, late, unseen, longest } in cases {
        let found = play(period, late, 2_000);
        assert!(found.0 <= unseen && found.1 <= longest, "{name}: {found:?}");
    }
}

/// Size of the generator, and its seed.
const SIZE: usize = 100;
const SEED: u64 = 20_261_204;

#[test]
fn looks_wait_as_long_as_before_while_nothing_gets_lost() {
    // Guards against looks that cost more where no order gets lost.
    fn as_before(runs: Vec<(u16, u16, u8)>, lease: u16, answers: Vec<u8>) -> bool {
        let now = Time::from_ms(100_000);
        let mut times = ResponseTimes::default();
        answers.into_iter().for_each(|ms| times.record_response(Some(Span::from_ms(ms.into()))));
        let mut worker = Worker::new(listed("w", "a", 32_000), 1, now);
        worker.lease_end = now + Span::from_ms(u64::from(lease) % 1_100);
        for ((run_ms, age, percent), task) in runs.into_iter().zip(0..) {
            let run = Run { job: "j".to_owned(), step: 0, task, run: 1 };
            let start = Start {
                run: Some(run),
                need: Some((&need(1_000)).into()),
                run_ms: run_ms.into(),
                ..Start::default()
            };
            let sent = now - Span::from_ms(age.into());
            let front = "e-1".parse().expect("a name");
            let mut run = AssignedRun::new(front, &start, sent).expect("a start");
            run.percent = u32::from(percent) % 101;
            worker.runs.push(run);
        }
        // The rule before orders were resolved by further looks.
        let before = (worker.lease_end.since(now).as_ms().saturating_sub(90) / 2).clamp(20, 240);
        worker.poll_wait(&times, now) == Span::from_ms(before)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(500)
        .quickcheck(as_before as fn(Vec<(u16, u16, u8)>, u16, Vec<u8>) -> bool);
}
