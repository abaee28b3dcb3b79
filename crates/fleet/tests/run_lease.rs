//! Guards against leases that outlast the time after which a front starts a run again.

use cranberryhatch_fleet::{LEASE, RUN_EXPIRY, RUN_LIFETIME, lease_length};
use cranberryhatch_types::{Span, Time};

/// Time after which a caller that lost its instance sends its job to another one: the platform's
/// bound.
const RESEND: Span = Span::from_ms(1_300);
/// How much slower than the instance's clock a worker's clock may run, in percent: the platform's
/// bound.
const SLOW_CLOCK: u64 = 2;
/// Age of the oldest reading of a worker's clock that is used to compute the end of a lease, in
/// milliseconds.
const CLOCK_AGE: u64 = 3_000;
const NOW: Time = Time::from_ms(100_000);

#[test]
fn no_run_outlasts_the_delay_of_a_restart_or_resubmission() {
    assert!(RUN_LIFETIME <= RUN_EXPIRY && RUN_LIFETIME <= RESEND);
    for age in 0..=2 * RUN_EXPIRY.as_ms() {
        let length = lease_length(Some(NOW - Span::from_ms(age)), NOW).as_ms();
        let by_its_clock = CLOCK_AGE + length;
        let longest = (by_its_clock * 100).div_ceil(100 - SLOW_CLOCK) - CLOCK_AGE;
        assert!(length == 0 || age + longest <= RUN_LIFETIME.as_ms(), "heartbeat {age} ms ago");
    }
}

#[test]
fn lease_length_is_limited_by_the_age_of_the_last_heartbeat() {
    struct Case {
        name: &'static str,
        age: Option<u64>,
        length: u64,
    }
    let full = LEASE.as_ms();
    let cases = [
        Case { name: "nothing runs", age: None, length: full },
        Case { name: "heartbeat just read", age: Some(0), length: full },
        Case { name: "age of two heartbeats on slow links", age: Some(260), length: full },
        Case { name: "the front was unresponsive", age: Some(600), length: 610 },
        Case { name: "the owner was paused", age: Some(1_500), length: 0 },
        Case { name: "no heartbeat was read", age: Some(100_000), length: 0 },
    ];
    for Case { name, age, length } in cases {
        let seen = age.map(|age| NOW - Span::from_ms(age));
        assert_eq!(lease_length(seen, NOW).as_ms(), length, "{name}");
    }
}
