//! Guards against runs that count as over while a request without response may still extend their
//! lease, and against runs of lost workers that are kept without need.

use cranberryhatch_fleet::{LeasedRequest, UnansweredLeases};
use cranberryhatch_types::{Span, Time};

const START: Time = Time::from_ms(100_000);
/// End of the last lease, in milliseconds after the start.
const END: u64 = 1_040;
/// Longest lease by which a late request extends the former one.
const LEASE: u64 = 1_040;

const fn at(ms: i64) -> Time {
    Time::from_ms(START.as_ms().strict_add_signed(ms))
}

struct Case {
    name: &'static str,
    /// Times at which polls without response were sent, in milliseconds after the start.
    sent: &'static [i64],
    /// Time by which runs are over.
    end: u64,
}

const CASES: [Case; 8] = [
    Case { name: "no request", sent: &[], end: END },
    Case {
        name: "power loss: requests of the last lease arrive after its end",
        sent: &[-500, -400, -300, -200, -100, 0],
        end: END,
    },
    Case { name: "request that arrives at the end", sent: &[-960], end: END + LEASE },
    Case { name: "request that arrives after the end", sent: &[-959], end: END },
    Case { name: "request that may arrive late", sent: &[-5_000], end: END + LEASE },
    Case {
        name: "chain: the first request lets the second one arrive in time",
        sent: &[-960, 0],
        end: END + 2 * LEASE,
    },
    Case {
        name: "request that arrives before the end at the latest",
        sent: &[-11_500],
        end: 500 + LEASE,
    },
    Case {
        name: "request that has arrived long before, and one that has not",
        sent: &[-12_000, -2_000],
        end: END + LEASE,
    },
];

#[test]
fn requests_without_response_extend_the_last_lease_by_as_much_as_they_can() {
    for case in &CASES {
        let mut unanswered = UnansweredLeases::new();
        for (number, sent) in (1..).zip(case.sent) {
            unanswered.add(LeasedRequest::Poll(number), at(*sent));
        }
        let end = unanswered.latest_end(START + Span::from_ms(END));
        assert_eq!(end, START + Span::from_ms(case.end), "{}", case.name);
    }
}

#[test]
fn only_requests_that_may_still_be_carried_out_are_kept() {
    let mut unanswered = UnansweredLeases::new();
    unanswered.add(LeasedRequest::Poll(1), START);
    unanswered.add(LeasedRequest::Start(1), START);
    unanswered.remove(LeasedRequest::Poll(1));
    assert_eq!(unanswered.len(), 1, "the other request has the same number");
    unanswered.add(LeasedRequest::Poll(2), START + Span::from_secs(12));
    assert_eq!(unanswered.len(), 2, "the platform's bound has not passed");
    unanswered.add(LeasedRequest::Poll(3), START + Span::from_ms(12_001));
    assert_eq!(unanswered.len(), 2, "a request that can no longer arrive is forgotten");
    unanswered.clear();
    assert!(unanswered.is_empty(), "the worker has accepted a higher token");
}
