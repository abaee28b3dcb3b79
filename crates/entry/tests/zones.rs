//! Guards against a drain of an availability zone that is not in force everywhere, not told, or that
//! ends what runs.

mod common;

use bytes::Bytes;
use http::{Request, Response};
use serde_json::Value;

use common::{Entry, Site, TREE, body_of, free_addr, own_key, submission, wait_until};

const DRAIN: &str = "[zone z1]\nzone.drained = on\n";

fn two_zones() -> String {
    TREE.replace("zones.names = z1", "zones.names = z1 z2")
}

fn get(site: &Site, entry: &Entry, path: &str) -> Response<Bytes> {
    let builder = Request::get(path).header("authorization", "Bearer operator-token");
    site.send(entry.addr, builder.body(Bytes::new()).expect("request"))
}

/// Puts a tree in force at an instance and gives the answer.
fn put(site: &Site, entry: &Entry, tree: &str) -> Value {
    let now = get(site, entry, "/v1/admin/settings");
    let request = Request::put("/v1/admin/settings")
        .header("authorization", "Bearer operator-token")
        .header("if-match", &now.headers()["etag"])
        .body(Bytes::from(tree.to_owned()))
        .expect("request");
    let response = site.send(entry.addr, request);
    assert_eq!(response.status(), 200, "{}", body_of(&response));
    body_of(&response)
}

fn zone(site: &Site, entry: &Entry, name: &str) -> Value {
    let zones = body_of(&get(site, entry, "/v1/admin/zones"));
    let own = zones.as_array().expect("zones").iter().find(|row| row["zone"] == name).cloned();
    own.unwrap_or_else(|| panic!("no zone {name} in {zones}"))
}

fn is_drained(site: &Site, entry: &Entry) -> bool {
    zone(site, entry, "z1")["drained"] == true
}

/// Submits under an issued key, which is refused as not run.
fn submit(site: &Site, entry: &Entry) -> Response<Bytes> {
    let key = site.keys(entry, 1).pop().expect("a key");
    site.send(entry.addr, submission(&key, 1, 50))
}

/// Guards against a drain of the only zone that leaves callers waiting or untold, that an instance
/// without the platform does not hear of, and that a restored zone does not get over.
#[test]
fn a_drain_of_the_only_zone_is_told_and_taken_back() {
    let mut site = Site::new(1);
    let one = site.entry("e1");
    // Nothing listens at this address: it has settings and drains from its peers only.
    let two = site.entry_in("e2", "z1", free_addr());
    let entries = [one, two];
    entries.iter().for_each(|entry| site.wait_ready(entry));
    assert_eq!(submit(&site, &entries[0]).status(), 200);
    let answer = put(&site, &entries[0], &format!("{TREE}{DRAIN}"));
    let warnings = answer["warnings"].as_array().expect("warnings");
    assert!(warnings.len() == 1 && warnings[0].as_str().is_some_and(|text| text.contains("z1")));
    for entry in &entries {
        wait_until("the drain is in force", || is_drained(&site, entry));
        let response = submit(&site, entry);
        let body = body_of(&response);
        assert_eq!(response.status(), 503, "{body}");
        assert_eq!((&body["code"], &body["outcome"]), (&"zone-drained".into(), &"not-run".into()));
        assert_eq!(response.headers()["retry-after"], "5");
    }
    let answer = put(&site, &entries[0], TREE);
    assert_eq!(answer["warnings"], Value::Array(Vec::new()));
    for entry in &entries {
        wait_until("the zone is restored", || !is_drained(&site, entry));
    }
    // The other instance knows no endpoint without the platform's list.
    assert_eq!(submit(&site, &entries[0]).status(), 200);
}

/// Guards against a drain that stops what runs in the zone, and against later tasks there while
/// another zone has room.
#[test]
fn what_runs_ends_and_other_zones_take_over() {
    let mut site = Site::without_settings(1);
    site.seed(&two_zones());
    site.add_endpoint_in(1, "z2");
    let one = site.entry("e1");
    let two = site.entry_in("e2", "z2", site.platform.addr);
    [&one, &two].into_iter().for_each(|entry| site.wait_ready(entry));
    let start = |key: &str, tasks, run_ms| {
        let (client, addr, request) =
            (site.client.clone(), one.addr, submission(key, tasks, run_ms));
        site.runtime.spawn(async move {
            client.send_within(addr, request, common::PATIENCE).await.expect("response")
        })
    };
    let in_flight = |name| zone(&site, &one, name)["in_flight"].as_u64().expect("a number");
    let first = start(&own_key("first"), 2, 3_000);
    wait_until("tasks run in the zone", || in_flight("z1") == 2);
    let answer = put(&site, &one, &format!("{}{DRAIN}", two_zones()));
    assert_eq!(answer["warnings"], Value::Array(Vec::new()));
    wait_until("the drain is in force", || is_drained(&site, &two));
    let second = start(&own_key("second"), 8, 200);
    while !second.is_finished() {
        assert!(in_flight("z1") <= 2, "a task was started in a drained zone");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    for job in [second, first] {
        let response = site.runtime.block_on(job);
        assert_eq!(response.status(), 200, "{}", body_of(&response));
    }
    wait_until("nothing runs there", || {
        let view = zone(&site, &one, "z1");
        view["running"] == 0 && view["in_flight"] == 0 && view["endpoints"] == 1
    });
}

/// Guards against an instance that starts and takes jobs into a drained zone before it knows of the
/// drain.
#[test]
fn a_new_instance_knows_the_drain_before_it_takes_jobs() {
    let mut site = Site::without_settings(1);
    site.seed(&format!("{TREE}{DRAIN}"));
    let entry = site.entry("e1");
    let mut codes = Vec::new();
    wait_until("the instance refuses for the drain", || {
        let request = submission(&own_key("early"), 1, 10);
        let sent = site.client.send_within(entry.addr, request, common::PATIENCE);
        let Ok(response) = site.runtime.block_on(sent) else { return false };
        codes.push(body_of(&response)["code"].as_str().unwrap_or_default().to_owned());
        codes.last().is_some_and(|code| code == "zone-drained")
    });
    let early = ["settings-unavailable", "platform-unavailable", "zone-drained"];
    assert!(codes.iter().all(|code| early.contains(&code.as_str())), "{codes:?}");
    assert_eq!(zone(&site, &entry, "z1")["in_flight"], 0);
}
