//! Guards against a slow instance that takes late responses for lost ones, and against waiting for
//! lost requests much longer than responses take.

mod common;

use common::{listed, need};
use cranberryhatch_fleet::{AssignedRun, ResponseTimes, Worker};
use cranberryhatch_schema::fleet::{Run, Start};
use cranberryhatch_types::{Span, Time};
use quickcheck::{Gen, QuickCheck};

const MOST: Span = Span::from_ms(200);

struct Case {
    name: &'static str,
    /// Response times in milliseconds; `None` for a request without response.
    requests: Vec<Option<u64>>,
    least: u64,
    most: u64,
}

#[test]
fn timeout_follows_response_times() {
    let responses = |count: usize, ms: &[u64]| -> Vec<Option<u64>> {
        ms.iter().cycle().take(count).map(|ms| Some(*ms)).collect()
    };
    let cases = [
        Case { name: "nothing known", requests: Vec::new(), least: 200, most: 200 },
        Case { name: "nearby workers", requests: responses(50, &[0, 1]), least: 30, most: 30 },
        Case {
            name: "an instance that reads responses late",
            requests: responses(50, &[20, 60]),
            least: 61,
            most: 200,
        },
        Case {
            name: "one request in five is lost",
            requests: responses(50, &[2])
                .into_iter()
                .flat_map(|ms| [ms, ms, ms, ms, None])
                .collect(),
            least: 30,
            most: 30,
        },
        Case {
            name: "no request gets a response any more",
            requests: [responses(50, &[2]), vec![None; 8]].concat(),
            least: 200,
            most: 200,
        },
        Case {
            name: "a single response does not reset the timeout",
            requests: [responses(50, &[2]), vec![None; 8], responses(1, &[2])].concat(),
            least: 200,
            most: 200,
        },
        Case {
            name: "several responses reset the timeout",
            requests: [responses(50, &[2]), vec![None; 8], responses(8, &[2])].concat(),
            least: 30,
            most: 30,
        },
        Case {
            name: "slower than the bound",
            requests: responses(50, &[900]),
            least: 200,
            most: 200,
        },
    ];
    for Case { name, requests, least, most } in cases {
        let mut times = ResponseTimes::default();
        for request in requests {
            match request {
                Some(ms) => times.record_response(Some(Span::from_ms(ms))),
                None => times.record_timeout(true),
            }
        }
        let timeout = times.timeout(MOST).as_ms();
        assert!((least..=most).contains(&timeout), "{name}: {timeout} ms");
    }
}

/// Simulates the requests of an instance: every `period`-th response takes `late` ms and is not
/// seen if that is longer than the timeout, the others take 2 ms. Returns the share of responses
/// that were not seen in the second half, in thousandths, and the longest timeout in it.
fn simulate(period: usize, late: Option<u64>, requests: usize) -> (usize, u64) {
    let mut times = ResponseTimes::default();
    (0..50).for_each(|_| times.record_response(Some(Span::from_ms(2))));
    let (mut unseen, mut longest) = (0, 0);
    for request in 1..=requests {
        let timeout = times.timeout(MOST);
        let took = if request % period == 0 { late } else { Some(2) };
        let took = took.map(Span::from_ms).filter(|took| *took <= timeout);
        match took {
            Some(took) => times.record_response(Some(took)),
            None => times.record_timeout(true),
        }
        if request > requests / 2 {
            unseen += usize::from(took.is_none());
            longest = longest.max(timeout.as_ms());
        }
    }
    (unseen * 2_000 / requests, longest)
}

#[test]
fn late_responses_are_distinguished_from_lost_ones() {
    // Guards against an instance that never sees half of its responses because they are late, and
    // against one that waits long for lost requests.
    struct Case {
        name: &'static str,
        period: usize,
        late: Option<u64>,
        /// Largest share of responses that are not seen in the end, in thousandths.
        unseen: usize,
        longest: u64,
    }
    let cases = [
        Case { name: "half are late", period: 2, late: Some(80), unseen: 50, longest: 200 },
        Case { name: "half are very late", period: 2, late: Some(150), unseen: 50, longest: 200 },
        Case { name: "8 % are lost", period: 12, late: None, unseen: 90, longest: 30 },
        Case { name: "a fifth is lost", period: 5, late: None, unseen: 200, longest: 30 },
    ];
    for Case { name, period, late, unseen, longest } in cases {
        let found = simulate(period, late, 2_000);
        assert!(found.0 <= unseen && found.1 <= longest, "{name}: {found:?}");
    }
}

/// Size and seed of the generator.
const SIZE: usize = 100;
const SEED: u64 = 20_261_204;

#[test]
fn poll_hold_time_is_unchanged_while_nothing_gets_lost() {
    // Guards against a higher cost of polling while no request gets lost.
    fn is_unchanged(runs: Vec<(u16, u16, u8)>, lease: u16, responses: Vec<u8>) -> bool {
        let now = Time::from_ms(100_000);
        let mut times = ResponseTimes::default();
        responses.into_iter().for_each(|ms| times.record_response(Some(Span::from_ms(ms.into()))));
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
        // The hold time of a poll without losses.
        let before = (worker.lease_end.since(now).as_ms().saturating_sub(90) / 2).clamp(20, 240);
        worker.poll_wait(&times, now) == Span::from_ms(before)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(500)
        .quickcheck(is_unchanged as fn(Vec<(u16, u16, u8)>, u16, Vec<u8>) -> bool);
}
