//! Guards against a slow instance that takes late answers for lost ones, and against lost orders that are
//! awaited for much longer than answers take.

use cranberryhatch_fleet::AnswerTimes;
use cranberryhatch_types::Span;

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
            name: "answers are back",
            orders: [answers(50, &[2]), vec![None; 8], answers(1, &[2])].concat(),
            least: 30,
            most: 30,
        },
        Case { name: "slower than the bound", orders: answers(50, &[900]), least: 200, most: 200 },
    ];
    for Case { name, orders, least, most } in cases {
        let mut times = AnswerTimes::default();
        for order in orders {
            match order {
                Some(ms) => times.answered(Some(Span::from_ms(ms))),
                None => times.missed(true),
            }
        }
        let timeout = times.timeout(MOST).as_ms();
        assert!((least..=most).contains(&timeout), "{name}: {timeout} ms");
    }
}
