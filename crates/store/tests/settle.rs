//! Guards against writes that are lost, doubled or misreported when the platform's answers are lost.

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

/// Time after which an answer counts as lost.
const SHORT: Duration = Duration::from_millis(200);
/// Time that ends a test that would never end.
const PATIENCE: Duration = Duration::from_secs(60);

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
        let platform = Platform::new(client, addr).timeout(SHORT);
        Self { standin, platform, stop: Some(stop), serving: Some(serving), runtime }
    }

    fn switch(&self, fault: &str) {
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

/// A write that took effect must be reported as written although its answer was lost.
#[test]
fn a_lost_answer_is_read_back() {
    let site = Fixture::new();
    site.switch("lose-answers");
    let written = site.runtime.block_on(site.platform.attempt(&claim("w1", "a", 1)));
    let Ok(TxnResult::Written(version)) = written else { panic!("{written:?}") };
    let row = site.runtime.block_on(site.platform.read(&[("claims".into(), "a".into())]));
    assert_eq!(row.expect("rows")[0].as_ref().map(|row| row.version), Some(version));
}

/// The same write sent again must neither conflict with itself nor take effect twice, and the write
/// of another must not pass for the own one.
#[test]
fn a_repetition_is_told_from_a_conflict() {
    let site = Fixture::new();
    let first = site.runtime.block_on(site.platform.attempt(&claim("w1", "a", 1)));
    let again = site.runtime.block_on(site.platform.attempt(&claim("w1", "a", 1)));
    assert_eq!(first.expect("written"), again.expect("written"));
    let other = site.runtime.block_on(site.platform.attempt(&claim("w2", "a", 2)));
    let Ok(TxnResult::Conflicts(conflicts)) = other else { panic!("{other:?}") };
    assert_eq!(conflicts[0].row.as_ref().map(|row| row.write.as_str()), Some("w1"));
}

/// Another's row must not pass for the own one when the own answer was lost.
#[test]
fn a_lost_conflict_is_no_write() {
    let site = Fixture::new();
    let first = site.runtime.block_on(site.platform.attempt(&claim("w1", "a", 1)));
    assert!(matches!(first, Ok(TxnResult::Written(_))));
    site.switch("lose-answers");
    let lost = site.runtime.block_on(site.platform.attempt(&claim("w2", "a", 2)));
    assert!(lost.is_err(), "nothing proves that w2 took effect: {lost:?}");
    site.switch("up");
    let other = site.runtime.block_on(site.platform.write(&claim("w2", "a", 2), PATIENCE));
    assert!(matches!(other, Ok(TxnResult::Conflicts(_))), "{other:?}");
}

/// A write must go on with the same id until the platform is back.
#[test]
fn a_write_goes_on_through_an_outage() {
    let site = Fixture::new();
    for fault in ["down", "refuse"] {
        site.switch(fault);
        let txn = claim(fault, fault, 1);
        let write = site.platform.write(&txn, PATIENCE);
        let repair = async {
            // Long enough for at least one attempt to fail; the result does not depend on it.
            smol::Timer::after(SHORT).await;
            let body = Bytes::from(json!({ "fault": "up" }).to_string());
            let request = Request::post("/control/switch").body(body).expect("request");
            site.standin.answer("", request).await;
        };
        let (written, _) = site.runtime.block_on(smol::future::zip(write, repair));
        assert!(matches!(written, Ok(TxnResult::Written(_))), "{fault}: {written:?}");
    }
}
