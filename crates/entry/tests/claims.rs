//! Guards against claims that are lost, granted twice or left behind.

mod common;

use std::sync::Arc;

use cranberryhatch_core::{Answer, ClaimOutcome, Code, JobSpec, Outcome, TaskSpec};
use cranberryhatch_entry::claims::{Backlog, ClaimRow, EndRow, StoredJob, Want};
use cranberryhatch_types::{ClaimNo, JobKey, Span, Time};
use serde_json::json;

use common::{Site, own_key, post, submission, wait_until};

const FIRST: ClaimNo = ClaimNo::new(1);
const SECOND: ClaimNo = ClaimNo::new(2);

fn spec(key: &str, payload: &str) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        key: key.parse().expect("key"),
        digest: [7; 32],
        kind: "timing-pass".parse().expect("kind"),
        label: Some("label".to_owned()),
        idempotent: true,
        deadline: Time::from_ms(10_000),
        tasks: vec![TaskSpec {
            payload: payload.to_owned().into(),
            run: Span::from_ms(5),
            need: cranberryhatch_core::Need::default(),
        }],
    })
}

fn complete(key: &JobKey) -> Answer {
    let mut answer = Answer::new(key.clone(), Outcome::Complete);
    answer.results = vec!["one".into()];
    answer
}

fn now(ms: u64) -> Time {
    Time::from_ms(ms)
}

/// What a successor reads must be what the holder stored.
#[test]
fn a_stored_job_is_read_back() {
    let job = spec("script/1-a", "{\"say\":\"žluťoučký kůň\"}");
    let text = serde_json::to_string(&StoredJob::from(&*job)).expect("JSON");
    let stored: StoredJob = serde_json::from_str(&text).expect("stored job");
    assert_eq!(stored.into_spec(job.key.clone(), job.digest, job.deadline), *job);
}

/// A recorded answer must be whole or say that it is not kept.
#[test]
fn recorded_answers_are_whole() {
    let key: JobKey = "script/1-a".parse().expect("key");
    let answer = complete(&key);
    assert_eq!(EndRow::new(&answer, 100).answer(&key), Some(answer.clone()));
    assert_eq!(EndRow::new(&answer, 2).answer(&key), None, "too large to be kept");
    let failed = Answer::new(key.clone(), Outcome::Failed).code(Code::TaskFailed).detail("why");
    assert_eq!(EndRow::new(&failed, 0).answer(&key), Some(failed));
    for text in ["", "zz", &"g".repeat(64), &"é".repeat(32)] {
        let row = json!({ "holder": "e1/1", "digest": text, "deadline": 0 });
        let row = ClaimRow::read(&row).expect("row");
        assert_eq!(row.digest_bytes(), None, "{text:?}");
    }
}

/// A job under an issued key that ends before its admission is written needs one write, not two.
#[test]
fn admission_and_end_share_a_write() {
    let backlog = Backlog::default();
    let job = spec("script/1~e1~1~0", "{}");
    backlog.admit(&job);
    backlog.record(&job, &complete(&job.key), 100);
    let group = backlog.take(10);
    assert_eq!(group.len(), 1);
    assert!(matches!(group[0].1.want, Want::Ended(_)));
    assert!(backlog.written(&group, 5).is_empty());
    assert!(backlog.take(10).is_empty());
}

/// An end that comes while the claim is being written must be written by the next write, on the
/// version that the claim got.
#[test]
fn an_end_waits_for_the_claim() {
    let backlog = Backlog::default();
    let job = spec("script/1-a", "{}");
    assert!(backlog.claim(FIRST, &job, now(0)).is_none());
    let claim = backlog.take(10);
    backlog.record(&job, &complete(&job.key), 100);
    assert!(backlog.take(10).is_empty(), "one write of a row at a time");
    let _ = backlog.written(&claim, 5);
    let end = backlog.take(10);
    assert_eq!(end.len(), 1);
    assert_eq!(end[0].1.version, Some(5));
}

/// A claim that was given up must be removed when it takes effect later; a new claim of the same
/// key has to wait for that.
#[test]
fn a_late_claim_is_released() {
    let backlog = Backlog::default();
    let (first, second) = (spec("script/1-a", "{}"), spec("script/1-a", "{}"));
    assert!(backlog.claim(FIRST, &first, now(0)).is_none());
    let flying = backlog.take(10);
    assert_eq!(flying.len(), 1);
    assert!(backlog.give_up(now(1_000), false).is_empty(), "not yet");
    let given_up = backlog.give_up(now(60_000), false);
    assert!(matches!(given_up[..], [(_, FIRST, ClaimOutcome::Unavailable)]), "{given_up:?}");
    assert!(backlog.claim(SECOND, &second, now(60_001)).is_none());
    assert!(backlog.written(&flying, 5).is_empty(), "nobody waits for the first claim");
    let release = backlog.take(10);
    assert!(matches!(release[0].1.want, Want::Gone));
    assert_eq!(release[0].1.version, Some(5));
    assert!(backlog.written(&release, 6).is_empty());
    let again = backlog.take(10);
    assert!(matches!(again[0].1.want, Want::Open));
    assert_eq!(again[0].1.version, None);
    let granted = backlog.written(&again, 7);
    assert!(matches!(granted[..], [(_, SECOND, ClaimOutcome::Granted)]), "{granted:?}");
}

/// A claim that was given up before it was sent needs no write at all.
#[test]
fn an_unsent_claim_is_dropped() {
    let backlog = Backlog::default();
    assert!(backlog.claim(FIRST, &spec("script/1-a", "{}"), now(0)).is_none());
    assert_eq!(backlog.give_up(now(60_000), false).len(), 1);
    assert!(backlog.take(10).is_empty());
    assert_eq!(backlog.waiting(), (0, 0));
}

/// A job that did not run frees its key, but a late copy of a cancelled one must not run.
#[test]
fn refused_jobs_free_their_key() {
    struct Case {
        code: Code,
        released: bool,
        freed: bool,
    }
    let cases = [
        Case { code: Code::Deadline, released: false, freed: true },
        Case { code: Code::Cancelled, released: false, freed: false },
        Case { code: Code::Cancelled, released: true, freed: true },
    ];
    for case in cases {
        let backlog = Backlog::default();
        let job = spec("script/1-a", "{}");
        assert!(backlog.claim(FIRST, &job, now(0)).is_none());
        let claim = backlog.take(10);
        let _ = backlog.written(&claim, 5);
        backlog.record(&job, &Answer::not_run(job.key.clone(), case.code), 100);
        if case.released {
            backlog.release(&job.key);
        }
        let group = backlog.take(10);
        assert_eq!(group[0].1.want == Want::Gone, case.freed, "{}", case.code);
    }
}

/// The backlog must be bounded, and a claim beyond it refused as not run.
#[test]
fn the_backlog_is_bounded() {
    let backlog = Backlog::default();
    let mut refused = 0;
    for number in 0..30_000 {
        let job = spec(&format!("script/1-a{number}"), "{}");
        refused += usize::from(backlog.claim(FIRST, &job, now(0)).is_some());
        backlog.admit(&spec(&format!("script/1~e1~1~{number}"), "{}"));
        backlog.admit(&spec(&format!("script/2~e1~1~{number}"), "{}"));
    }
    let (claims, records) = backlog.waiting();
    assert_eq!(claims + refused, 30_000);
    assert!(refused > 0);
    assert_eq!(records as u64 + backlog.take_dropped(), 60_000);
    assert!(records < 60_000);
}

/// A claim whose answer the platform lost must be granted after reading it back, and the outcome
/// recorded.
#[test]
fn lost_answers_are_settled() {
    let mut site = Site::new(2);
    let entry = site.entry("e1");
    site.wait_ready(&entry);
    site.switch_platform(&json!({ "fault": "lose-answers" }));
    let key = own_key("a");
    let (status, answer) = site.submit(&entry, &key, 3, 5);
    assert_eq!((status, &answer["outcome"]), (200, &"complete".into()), "{answer}");
    let name = format!("script/{key}");
    wait_until("the outcome is recorded", || {
        let row = site.row("claims", &name).and_then(|row| ClaimRow::read(&row.value));
        row.and_then(|row| row.end).is_some_and(|end| end.outcome == "complete")
    });
}

/// Without the platform, issued keys must work and a caller's own key be refused as not run; the
/// late row of a claim that was given up must go.
#[test]
fn an_outage_refuses_own_keys_only() {
    let mut site = Site::new(2);
    let entry = site.entry("e1");
    site.wait_ready(&entry);
    let issued = site.keys(&entry, 2);
    site.switch_platform(&json!({ "fault": "down" }));
    let own = own_key("a");
    let response = site.send(entry.addr, submission(&own, 3, 5));
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    let body = common::body_of(&response);
    assert_eq!(body["code"], "platform-unavailable", "{body}");
    let (status, answer) = site.submit(&entry, &issued[0], 3, 5);
    assert_eq!((status, &answer["outcome"]), (200, &"complete".into()), "{answer}");
    site.switch_platform(&json!({ "fault": "up" }));
    let (status, answer) = site.submit(&entry, &issued[1], 3, 5);
    assert_eq!((status, &answer["outcome"]), (200, &"complete".into()), "{answer}");
    for key in &issued {
        let name = format!("script/{key}");
        wait_until("issued jobs are recorded", || {
            let row = site.row("claims", &name).and_then(|row| ClaimRow::read(&row.value));
            row.is_some_and(|row| row.end.is_some())
        });
    }
    // Records are written after claims, so a late claim has been written and removed before.
    wait_until("no claim is left behind", || {
        site.row("claims", &format!("script/{own}")).is_none()
    });
    let (status, answer) = site.submit(&entry, &own, 3, 5);
    assert_eq!((status, &answer["outcome"]), (200, &"complete".into()), "{answer}");
}

/// A body over `claims.inline` must be found by a successor in the object that the row names.
#[test]
fn a_large_body_goes_to_an_object() {
    let mut site = Site::new(2);
    let entry = site.entry("e1");
    site.wait_ready(&entry);
    let key = own_key("large");
    let request = {
        let tasks: Vec<_> =
            (0..200).map(|_| json!({ "payload": json!({ "run_ms": 300 }).to_string() })).collect();
        let body = json!({ "kind": "timing-pass", "tasks": tasks });
        let mut request = post("/v1/jobs", "script-token", &body);
        request.headers_mut().insert("idempotency-key", key.parse().expect("header"));
        request
    };
    let response = site.send(entry.addr, request);
    assert_eq!(response.status(), 202);
    let name = format!("script/{key}");
    let mut row = None;
    wait_until("the claim is stored", || {
        row = site.row("claims", &name).and_then(|row| ClaimRow::read(&row.value));
        row.is_some()
    });
    let row = row.expect("row");
    let object = row.object.expect("object");
    let bytes = site.runtime.block_on(async { site.platform().object(&object).await });
    let bytes = bytes.expect("platform").expect("object");
    let stored = serde_json::from_slice::<StoredJob>(&bytes[row.offset..row.offset + row.length]);
    let spec = stored.expect("job").into_spec(name.parse().expect("key"), [0; 32], Time::ZERO);
    assert_eq!(spec.tasks.len(), 200);
}
