//! Guards against jobs that are lost or run twice on their way through whole instances.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::AtomicBool,
    time::Duration,
};

use common::{Entry, Site, body_of, free_addr, own_key, submission};
use cranberryhatch_entry::Instance;
use cranberryhatch_store::Scan;

fn scan(table: &str) -> Scan {
    Scan { table: table.to_owned(), prefix: String::new(), after: String::new(), limit: 10 }
}

fn wait_ready(site: &Site, addr: SocketAddr) {
    common::wait_until("the instance is ready", || {
        let request = http::Request::get("/readyz").body(bytes::Bytes::new()).expect("request");
        let sent = site.client.send_within(addr, request, common::PATIENCE);
        site.runtime.block_on(sent).is_ok_and(|response| response.status().is_success())
    });
}

fn wait_claimed(site: &Site) {
    common::wait_until("a claim is stored", || {
        let rows = site.runtime.block_on(async { site.platform().scan(&scan("claims")).await });
        !rows.expect("rows").is_empty()
    });
}

/// Every task of a job must run once and give its own result, whichever instance takes the job.
#[test]
fn jobs_run_on_every_instance() {
    let mut site = Site::new(4);
    let entries: Vec<_> = ["e1", "e2", "e3"].map(|id| site.entry(id)).into_iter().collect();
    for entry in &entries {
        site.wait_ready(entry);
    }
    for entry in &entries {
        let (status, answer) = site.submit(entry, &own_key(&entry.id), 40, 5);
        assert_eq!((status, &answer["outcome"]), (200, &"complete".into()), "{answer}");
        let results = answer["results"].as_array().expect("results");
        let wanted: Vec<_> = (0..40).map(|index| format!("result {index}")).collect();
        assert!(results.iter().eq(wanted.iter()), "{results:?}");
    }
}

/// A planned stop must finish what is in flight, refuse new work at once, record the outcome and
/// remove the holder's row.
#[test]
fn a_stop_is_graceful() {
    let site = Site::new(2);
    site.list();
    let mut entry = site.start_shards("e1", free_addr(), free_addr(), 1);
    site.wait_ready(&entry);
    let (status, answer) = site.submit(&entry, &own_key("first"), 1, 1);
    assert_eq!(status, 200, "{answer}");
    let key = own_key("last");
    let (client, addr) = (site.client.clone(), entry.addr);
    let request = submission(&key, 64, 100);
    let last = site.runtime.spawn(async move {
        client.send_within(addr, request, common::PATIENCE).await.expect("response")
    });
    common::wait_until("the job runs", || {
        let path = format!("/v1/jobs/{key}");
        let request = http::Request::get(path).header("authorization", "Bearer script-token");
        let request = request.body(bytes::Bytes::new()).expect("request");
        body_of(&site.send(entry.addr, request))["outcome"] == "pending"
    });
    entry.signal();
    let last = site.runtime.block_on(last);
    assert_eq!(body_of(&last)["outcome"], "complete", "{}", body_of(&last));
    entry.stop();
    let row = site.row("claims", &format!("script/{key}")).expect("claim");
    assert_eq!(row.value["end"]["outcome"], "complete", "{}", row.value);
    let rows = site.runtime.block_on(async { site.platform().scan(&scan("holders")).await });
    let rows = rows.expect("rows");
    assert!(rows.is_empty(), "{rows:?}");
    assert!(TcpStream::connect(entry.addr).is_err(), "the listener is closed");
}

/// A job accepted right before a stop must be finished too, although the slots of its workers are
/// still guarded against an earlier owner.
#[test]
fn a_stop_right_after_a_submission_is_graceful() {
    let site = Site::new(2);
    site.list();
    let entry = site.start_shards("e1", free_addr(), free_addr(), 1);
    site.wait_ready(&entry);
    let key = own_key("early");
    let (client, addr) = (site.client.clone(), entry.addr);
    let request = submission(&key, 64, 10);
    let job = site.runtime.spawn(async move {
        client.send_within(addr, request, common::PATIENCE).await.expect("response")
    });
    common::wait_until("the claim is stored", || {
        site.row("claims", &format!("script/{key}")).is_some()
    });
    entry.signal();
    let answer = body_of(&site.runtime.block_on(job));
    assert_eq!(answer["outcome"], "complete", "{answer}");
}

/// The last instance of a zone must finish the work of each of its shards, also of one that owns
/// no worker and lives on the slots that the other shard lends.
#[test]
fn the_last_instance_of_a_zone_finishes_its_work() {
    let mut site = Site::new(1);
    let entry = site.entry("e1");
    site.wait_ready(&entry);
    let (status, answer) = site.submit(&entry, &own_key("first"), 1, 1);
    assert_eq!(status, 200, "{answer}");
    // Keys that differ in one digit select both shards; one of them owns the only worker.
    let base = own_key("last");
    let keys = [format!("{base}0"), format!("{base}1")];
    let jobs = keys.clone().map(|key| {
        let (client, addr) = (site.client.clone(), entry.addr);
        let request = submission(&key, 32, 100);
        site.runtime.spawn(async move {
            client.send_within(addr, request, 2 * common::PATIENCE).await.expect("response")
        })
    });
    for key in &keys {
        common::wait_until("the claims are stored", || {
            site.row("claims", &format!("script/{key}")).is_some()
        });
    }
    entry.signal();
    for job in jobs {
        let answer = body_of(&site.runtime.block_on(job));
        assert_eq!(answer["outcome"], "complete", "{answer}");
    }
}

/// Checks an instance that is told to stop while it still runs the job with a key.
fn while_stopping(check: impl FnOnce(&Site, &Entry, &str)) {
    let site = Site::new(1);
    site.list();
    let entry = site.start_shards("e1", free_addr(), free_addr(), 1);
    site.wait_ready(&entry);
    let key = own_key("last");
    let (client, addr) = (site.client.clone(), entry.addr);
    let request = submission(&key, 8, 3_000);
    let last = site.runtime.spawn(async move {
        client.send_within(addr, request, common::PATIENCE).await.expect("response")
    });
    wait_claimed(&site);
    entry.signal();
    common::wait_until("the instance stops", || {
        let request = http::Request::get("/readyz").body(bytes::Bytes::new()).expect("request");
        site.send(entry.addr, request).status() == 503
    });
    check(&site, &entry, &key);
    let last = body_of(&site.runtime.block_on(last));
    assert_eq!(last["outcome"], "complete", "{last}");
}

/// Callers with open connections must be refused at once, and sent to another instance.
#[test]
fn a_stopping_instance_refuses_on_open_connections_and_closes_them() {
    while_stopping(|site, entry, key| {
        let mut refused = submission(&own_key("new"), 1, 1);
        refused.headers_mut().insert("idempotency-first", "true".parse().expect("header"));
        let refused = site.send(entry.addr, refused);
        let body = body_of(&refused);
        assert_eq!((&body["outcome"], &body["code"]), (&"not-run".into(), &"draining".into()));
        let path = format!("/v1/jobs/{key}");
        let asked = http::Request::get(path).header("authorization", "Bearer script-token");
        let asked = site.send(entry.addr, asked.body(bytes::Bytes::new()).expect("request"));
        assert_eq!(body_of(&asked)["outcome"], "pending");
        for (what, response) in [("job", refused), ("question", asked)] {
            let connection = response.headers().get("connection");
            assert!(connection.is_some_and(|value| value == "close"), "{what}: {connection:?}");
        }
    });
}

/// Keys that only a stopping instance could serve must not be handed out.
#[test]
fn a_stopping_instance_hands_out_no_keys() {
    while_stopping(|site, entry, _| {
        let body = serde_json::json!({ "count": 1 });
        let keys = site.send(entry.addr, common::post("/v1/keys", "script-token", &body));
        let (status, body) = (keys.status().as_u16(), body_of(&keys));
        assert_eq!((status, &body["code"]), (503, &"draining".into()), "{body}");
    });
}

/// An instance without work must not close its doors before a balancer can see that it stops.
#[test]
fn a_stop_without_work_still_answers_open_connections() {
    let site = Site::new(1);
    site.list();
    let entry = site.start_shards("e1", free_addr(), free_addr(), 1);
    site.wait_ready(&entry);
    let mut stream = TcpStream::connect(entry.addr).expect("connection");
    stream.set_read_timeout(Some(common::PATIENCE)).expect("timeout");
    let request = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request).expect("sent");
    let mut first = [0; 15];
    stream.read_exact(&mut first).expect("answer");
    entry.signal();
    // A balancer that checks once a second has not seen the stop yet.
    std::thread::sleep(Duration::from_secs(1));
    stream.write_all(request).expect("sent");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("answers until the connection is closed");
    assert!(answers.contains("connection: close"), "{answers}");
}

/// A request whose body comes late must not delay a forced stop by waiting for its job.
#[test]
fn a_stop_that_is_forced_does_not_wait_for_late_requests() {
    let site = Site::new(1);
    site.list();
    let config = site.config("e1", free_addr(), free_addr(), 1);
    let (instance, _) = Instance::start(&config, None).expect("an instance");
    wait_ready(&site, config.listen);
    let key = own_key("late");
    let job = submission(&key, 1, 30_000);
    let (client, addr, first) = (site.client.clone(), config.listen, job.clone());
    let first = site.runtime.spawn(async move {
        client.send_within(addr, first, common::PATIENCE).await.expect("response")
    });
    wait_claimed(&site);
    let mut stream = TcpStream::connect(addr).expect("connection");
    stream.set_read_timeout(Some(common::PATIENCE)).expect("timeout");
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer script-token\r\n\
         idempotency-key: {key}\r\nexpect: 100-continue\r\ncontent-length: {}\r\n\r\n",
        job.uri(),
        job.body().len()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let mut begun = [0; 25];
    stream.read_exact(&mut begun).expect("the body is asked for");
    let late = std::thread::spawn(move || {
        common::wait_until("the listener is closed", || TcpStream::connect(addr).is_err());
        stream.write_all(job.body()).expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("answer");
        answer
    });
    instance.drain_limit(Duration::from_millis(100)).wait(&AtomicBool::new(true));
    let first = body_of(&site.runtime.block_on(first));
    assert_eq!(first["code"], "stopped", "{first}");
    let late = late.join().expect("answer");
    assert!(late.contains(r#""outcome":"pending""#), "{late}");
}

/// Jobs that are left when a stop takes too long must be ended by another instance.
#[test]
fn a_stop_that_is_forced_leaves_its_jobs_to_a_successor() {
    let mut site = Site::new(1);
    let (addr, peer) = (free_addr(), free_addr());
    let config = site.config("e1", addr, peer, 1);
    let (instance, _) = Instance::start(&config, None).expect("an instance");
    site.list();
    let key = own_key("left");
    let send = |site: &Site, addr, key: &str, run_ms| {
        let (client, request) = (site.client.clone(), submission(key, 1, run_ms));
        site.runtime.spawn(async move {
            client.send_within(addr, request, common::PATIENCE).await.expect("response")
        })
    };
    wait_ready(&site, addr);
    let first = body_of(&site.runtime.block_on(send(&site, addr, &own_key("first"), 1)));
    assert_eq!(first["outcome"], "complete", "{first}");
    let left = send(&site, addr, &key, 8_000);
    common::wait_until("the task runs", || {
        let request = http::Request::get("/v1/admin/instances");
        let request = request.header("authorization", "Bearer operator-token");
        let views = site.send(addr, request.body(bytes::Bytes::new()).expect("request"));
        body_of(&views)[0]["in_flight"] == 1
    });
    instance.drain_limit(Duration::from_millis(100)).wait(&AtomicBool::new(true));
    let left = body_of(&site.runtime.block_on(left));
    assert_eq!(left["code"], "stopped", "{left}");
    let successor = site.entry("e2");
    site.wait_ready(&successor);
    common::wait_until("the job has a final answer", || {
        let answer = body_of(&site.runtime.block_on(send(&site, successor.addr, &key, 8_000)));
        answer["outcome"] == "complete"
    });
}
