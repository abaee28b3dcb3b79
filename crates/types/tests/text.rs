//! Text forms of ids, sizes, rates and times.

use std::{fmt, str::FromStr};

use cranberryhatch_types::{
    Bytes, ClaimNo, Holder, JobKey, KeyName, Rate, Ratio, ShardId, Span, TaskName, Time, WorkerId,
};

struct Case {
    name: &'static str,
    round_trip: fn(&str) -> Option<String>,
    valid: &'static [&'static str],
    invalid: &'static [&'static str],
}

fn round_trip<T: FromStr + fmt::Display>(text: &str) -> Option<String> {
    text.parse::<T>().ok().map(|value| value.to_string())
}

/// Guards against values that change when they are formatted and parsed again, and against parsers
/// that accept malformed text.
#[test]
fn valid_texts_round_trip_and_invalid_ones_are_rejected() {
    let cases = [
        Case {
            name: "span",
            round_trip: round_trip::<Span>,
            valid: &["0ms", "250ms", "10s", "5m", "24h"],
            invalid: &["", "10", "s", "1.5s", "-1s", "10 s", "1d", "99999999999999999999h"],
        },
        Case {
            name: "bytes",
            round_trip: round_trip::<Bytes>,
            valid: &["0B", "512B", "4KiB", "64MiB", "2GiB"],
            invalid: &["", "64", "64MB", "MiB", "-1B", "99999999999GiB"],
        },
        Case {
            name: "claim number",
            round_trip: round_trip::<ClaimNo>,
            valid: &["0", "7", "18446744073709551615"],
            invalid: &["", "-1", "1.5", "a", "18446744073709551616"],
        },
        Case {
            name: "rate",
            round_trip: round_trip::<Rate>,
            valid: &["300/s"],
            invalid: &["300", "/s", "3/m"],
        },
        Case {
            name: "ratio",
            round_trip: round_trip::<Ratio>,
            valid: &["0%", "2.5%", "100%"],
            invalid: &["10", "%", "2.55%", "-1%"],
        },
        Case {
            name: "time",
            round_trip: round_trip::<Time>,
            valid: &["0", "17"],
            invalid: &["", "x", "-1"],
        },
        Case {
            name: "worker",
            round_trip: round_trip::<WorkerId>,
            valid: &["praha-a-w1", "w_1.b"],
            invalid: &["", "a/b", "a b", "ž", TOO_LONG],
        },
        Case {
            name: "holder",
            round_trip: round_trip::<Holder>,
            valid: &["e1/17"],
            invalid: &["e1", "e1/", "/17", "e1/x"],
        },
        Case {
            name: "shard",
            round_trip: round_trip::<ShardId>,
            valid: &["e1/0"],
            invalid: &["e1", "e1/-1"],
        },
        Case {
            name: "key",
            round_trip: round_trip::<KeyName>,
            valid: &["17-order-1", "17~e1~3~9"],
            invalid: &[
                "",
                "order",
                "x-order",
                "17-",
                "017-order",
                "17~e1~3",
                "17~e1~03~9",
                "17~e1~3~9~1",
                "17-a/b",
            ],
        },
        Case {
            name: "job",
            round_trip: round_trip::<JobKey>,
            valid: &["kiosk/17-a"],
            invalid: &["17-a", "k i/17-a"],
        },
        Case {
            name: "task",
            round_trip: round_trip::<TaskName>,
            valid: &["kiosk/17-a/0/1", "kiosk/17~e1~3~9/1899/2"],
            invalid: &["kiosk/17-a", "kiosk/17-a/0", "kiosk/17-a/x/1"],
        },
    ];
    for case in cases {
        for valid in case.valid {
            assert_eq!((case.round_trip)(valid).as_deref(), Some(*valid), "{}", case.name);
        }
        for invalid in case.invalid {
            assert_eq!((case.round_trip)(invalid), None, "{}: {invalid:?}", case.name);
        }
    }
}

/// One character longer than the longest id.
const TOO_LONG: &str = "a23456789-123456789-123456789-123456789-123456789-123456789-12345";
