//! Guards against two lives of an instance that work under the same holder.

mod common;

use cranberryhatch_entry::{
    clock::Clock,
    lease::{INCARNATIONS, LeaseRow, TABLE, next_incarnation},
};
use cranberryhatch_store::{Expect, Op, Scan, ScannedRow, Txn};
use cranberryhatch_types::Incarnation;
use serde::Deserialize;

use common::{Site, own_key, wait_until};

fn rows(site: &Site) -> Vec<ScannedRow> {
    let scan =
        Scan { table: TABLE.to_owned(), prefix: String::new(), after: String::new(), limit: 10 };
    site.runtime.block_on(async { site.platform().scan(&scan).await }).expect("rows")
}

/// A life that was taken over must end, and the instance go on under a larger incarnation.
#[test]
fn a_life_that_was_taken_over_ends() {
    let mut site = Site::new(1);
    let entry = site.entry("e1");
    site.wait_ready(&entry);
    wait_until("the row is stored", || rows(&site).len() == 1);
    let mut first = 0;
    wait_until("the row is taken over", || {
        // The holder may renew its row between the read and the write.
        let row = rows(&site).remove(0);
        let mut value = LeaseRow::deserialize(&row.row.value).expect("lease");
        first = value.incarnation.get();
        value.taken.push("e9/1".parse().expect("holder"));
        let value = serde_json::to_value(value).expect("JSON");
        let op = Op::new(TABLE, row.key, Expect::Version(row.row.version)).put(value);
        let txn = Txn { id: format!("take/{}", row.row.version), ops: vec![op] };
        let result = site.runtime.block_on(async { site.platform().txn(&txn).await });
        matches!(result, Ok(cranberryhatch_store::TxnResult::Written(_)))
    });
    wait_until("a new life has begun", || {
        rows(&site).iter().any(|row| {
            let value = LeaseRow::deserialize(&row.row.value).expect("lease");
            value.incarnation.get() > first && value.taken.is_empty()
        })
    });
    site.wait_ready(&entry);
    let (status, answer) = site.submit(&entry, &own_key("a"), 2, 5);
    assert_eq!(status, 200, "{answer}");
    let issued = site.keys(&entry, 1).remove(0);
    let incarnation: u64 = issued.split('~').nth(2).expect("part").parse().expect("number");
    assert!(incarnation > first, "keys belong to the new life");
}

/// An incarnation must grow although the wall clock stepped back.
#[test]
fn incarnations_grow_when_the_clock_steps_back() {
    let site = Site::new(0);
    let future = Clock::start().wall().as_ms() + 1_000_000_000;
    let op = Op::new(INCARNATIONS, "e1", Expect::Absent).put(future.into());
    let txn = Txn { id: "seed-life".to_owned(), ops: vec![op] };
    site.runtime.block_on(async { site.platform().txn(&txn).await }).expect("written");
    let next = |instance: &str, last| {
        let id = instance.parse().expect("id");
        let clock = Clock::start();
        site.runtime.block_on(async { next_incarnation(&site.platform(), &id, clock, last).await })
    };
    assert_eq!(next("e1", None), Incarnation::new(future + 1));
    let last = Incarnation::new(future + 5);
    assert_eq!(next("e1", Some(last)), Incarnation::new(future + 6));
    assert!(next("e2", None) < Incarnation::new(future));
}
