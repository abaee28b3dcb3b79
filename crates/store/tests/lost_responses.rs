//! Guards against writes that get lost, take effect twice or are reported wrongly when responses of
//! the platform are lost.

use std::{sync::Arc, time::Duration};

use async_channel::Sender;
use bytes::Bytes;
use clap::Parser;
use cranberryhatch_http::{Client, Runtime, Server};
use cranberryhatch_standin::{PlatformArgs, PlatformStandin};
use cranberryhatch_store::{Expect, Op, Platform, Txn, TxnResult};
use http::{Request, Response};
use serde_json::json;
use smol::{Task, net::TcpListener};

/// Timeout of a call, after which its response counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit of retries, so that a failing test ends.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

struct Fixture {
    standin: Arc<PlatformStandin>,
    platform: Platform,
    stop: Option<Sender<()>>,
    serving: Option<Task<()>>,
    runtime: Runtime,
}

impl Fixture {
    fn new() -> Self {
        let runtime = Runtime::new(2);
        let args = ["platform", "--listen", "127.0.0.1:0", "--write-ms", "0"];
        let standin = PlatformStandin::new(&PlatformArgs::parse_from(args)).expect("platform");
        let standin = Arc::new(standin);
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("listener");
        let addr = listener.local_addr().expect("address");
        let (stop, stopped) = async_channel::bounded(1);
        let serve = Arc::clone(&standin);
        let server = Server::new(move |request| {
            let standin = Arc::clone(&serve);
            async move { standin.answer("", request).await }
        });
        let serving = runtime.spawn(server.serve(runtime.executor(), listener, stopped));
        let client = Client::new(runtime.executor());
        let platform = Platform::new(client, addr).timeout(CALL_TIMEOUT);
        Self { standin, platform, stop: Some(stop), serving: Some(serving), runtime }
    }

    fn set_fault(&self, fault: &str) {
        let body = Bytes::from(json!({ "fault": fault }).to_string());
        let request = Request::post("/control/switch").body(body).expect("request");
        let response: Response<Bytes> = self.runtime.block_on(self.standin.answer("", request));
        assert!(response.status().is_success(), "{fault}");
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(serving) = self.serving.take() {
            self.runtime.block_on(serving.cancel());
        }
    }
}

fn claim(id: &str, key: &str, value: u64) -> Txn {
    let op = Op::new("claims", key, Expect::Absent).put(value.into());
    Txn { id: id.to_owned(), ops: vec![op] }
}

/// Guards against a write that took effect but is reported as failed because its response was lost.
#[test]
fn write_with_lost_response_is_confirmed_by_reading_back() {
    let fixture = Fixture::new();
    fixture.set_fault("lose-answers");
    let written = fixture.runtime.block_on(fixture.platform.attempt(&claim("w1", "a", 1)));
    let Ok(TxnResult::Written(version)) = written else { panic!("{written:?}") };
    let row = fixture.runtime.block_on(fixture.platform.read(&[("claims".into(), "a".into())]));
    assert_eq!(row.expect("rows")[0].as_ref().map(|row| row.version), Some(version));
}

/// Guards against a retry that conflicts with its own earlier attempt or takes effect twice, and
/// against mistaking the row of another transaction for its own.
#[test]
fn retry_is_distinguished_from_a_conflict() {
    let fixture = Fixture::new();
    let first = fixture.runtime.block_on(fixture.platform.attempt(&claim("w1", "a", 1)));
    let again = fixture.runtime.block_on(fixture.platform.attempt(&claim("w1", "a", 1)));
    assert_eq!(first.expect("written"), again.expect("written"));
    let other = fixture.runtime.block_on(fixture.platform.attempt(&claim("w2", "a", 2)));
    let Ok(TxnResult::Conflicts(conflicts)) = other else { panic!("{other:?}") };
    assert_eq!(conflicts[0].row.as_ref().map(|row| row.write.as_str()), Some("w1"));
}

/// Guards against mistaking the row of another transaction for its own after a lost response.
#[test]
fn conflict_with_lost_response_is_not_reported_as_written() {
    let fixture = Fixture::new();
    let first = fixture.runtime.block_on(fixture.platform.attempt(&claim("w1", "a", 1)));
    assert!(matches!(first, Ok(TxnResult::Written(_))));
    fixture.set_fault("lose-answers");
    let lost = fixture.runtime.block_on(fixture.platform.attempt(&claim("w2", "a", 2)));
    assert!(lost.is_err(), "nothing proves that w2 took effect: {lost:?}");
    fixture.set_fault("up");
    let other =
        fixture.runtime.block_on(fixture.platform.write(&claim("w2", "a", 2), TEST_TIMEOUT));
    assert!(matches!(other, Ok(TxnResult::Conflicts(_))), "{other:?}");
}

/// Guards against a write that gives up during an outage instead of retrying with the same id.
#[test]
fn write_is_retried_through_an_outage() {
    let fixture = Fixture::new();
    for fault in ["down", "refuse"] {
        fixture.set_fault(fault);
        let txn = claim(fault, fault, 1);
        let write = fixture.platform.write(&txn, TEST_TIMEOUT);
        let recovery = async {
            // Long enough for at least one attempt to fail; the result does not depend on it.
            smol::Timer::after(CALL_TIMEOUT).await;
            let body = Bytes::from(json!({ "fault": "up" }).to_string());
            let request = Request::post("/control/switch").body(body).expect("request");
            fixture.standin.answer("", request).await;
        };
        let (written, _) = fixture.runtime.block_on(smol::future::zip(write, recovery));
        assert!(matches!(written, Ok(TxnResult::Written(_))), "{fault}: {written:?}");
    }
}
