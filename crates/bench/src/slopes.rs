//! The measured quantities.

use std::time::Instant;

use cranberryhatch_core::Event;
use cranberryhatch_schema::peer::{Envelope, Heartbeat, envelope::Body};
use cranberryhatch_settings::Tree;
use cranberryhatch_types::{Incarnation, ShardId};
use prost::Message;

use crate::{
    Rig, Series,
    grants::{assess_over_workers, grant_over_classes, grant_over_workers},
    resident_bytes,
};

/// Number of tasks started per point.
const TASKS: u64 = 100_000;
/// Number of tasks of a job in the measurements of starts.
const JOB: usize = 100;
/// Number of rounds of heartbeats per point.
const ROUNDS: u32 = 2_000;

/// Measures every quantity.
#[must_use]
pub fn measure() -> Vec<Series> {
    // First, because later measurements reuse memory that earlier ones have freed.
    let memory = memory_over_tasks();
    vec![
        memory,
        start_over_workers(),
        start_over_teams(),
        tick_over_tasks(),
        beat_over_workers(),
        beat_over_peers(),
        tree_time_over_teams(),
        tree_bytes_over_teams(),
        envelope_bytes_over_shards(),
        grant_over_workers(),
        grant_over_classes(),
        assess_over_workers(),
    ]
}

/// Returns the number of task starts and responses per second of one shard on one core.
#[must_use]
pub fn decisions_per_second(workers: u32, teams: u32) -> f64 {
    1e9 / start_cost(workers, teams)
}

// A start takes two events: a share of a submission or an earlier response, and its own response.
fn start_cost(workers: u32, teams: u32) -> f64 {
    let mut rig = Rig::new(workers);
    let mut done = 0;
    let mut team = 0;
    let begin = Instant::now();
    while done < TASKS {
        while rig.in_flight() < workers as usize * 8 {
            rig.submit(team % teams, JOB);
            team += 1;
        }
        done += rig.in_flight() as u64;
        rig.answer();
    }
    nanos(begin) / done as f64
}

fn start_over_workers() -> Series {
    let series = Series::new("start and answer of a task", "workers", "ns");
    [8, 16, 48, 116, 232]
        .into_iter()
        .fold(series, |series, workers| series.point(f64::from(workers), start_cost(workers, 4)))
}

fn start_over_teams() -> Series {
    let series = Series::new("start and answer of a task", "teams", "ns");
    [1, 10, 40, 120]
        .into_iter()
        .fold(series, |series, teams| series.point(f64::from(teams), start_cost(48, teams)))
}

fn memory_over_tasks() -> Series {
    let series = Series::new("resident memory", "queued tasks", "bytes");
    let before = resident_bytes();
    let mut rig = Rig::new(1);
    let mut series = series;
    let mut queued = 0;
    for goal in [25_000, 50_000, 75_000, 100_000] {
        while queued < goal {
            rig.submit(0, JOB);
            queued += JOB;
        }
        let bytes = resident_bytes().saturating_sub(before);
        series = series.point(goal as f64, bytes as f64);
    }
    series
}

fn tick_over_tasks() -> Series {
    let series = Series::new("tick", "queued tasks", "ns");
    let mut rig = Rig::new(1);
    let mut queued = 0;
    [1_000, 10_000, 50_000, 100_000].into_iter().fold(series, |series, goal| {
        while queued < goal {
            rig.submit(0, JOB);
            queued += JOB;
        }
        let begin = Instant::now();
        (0..ROUNDS).for_each(|_| rig.tick());
        series.point(goal as f64, nanos(begin) / f64::from(ROUNDS))
    })
}

fn beat_over_workers() -> Series {
    let series = Series::new("one round of endpoint heartbeats", "workers", "ns");
    [8, 16, 48, 116, 232].into_iter().fold(series, |series, workers| {
        let mut rig = Rig::new(workers);
        let begin = Instant::now();
        (0..200).for_each(|_| rig.see(workers));
        series.point(f64::from(workers), nanos(begin) / 200.0)
    })
}

fn heartbeat() -> Heartbeat {
    Heartbeat { zone: "z1".to_owned(), shards: 2, version: 1, idle: 3, ..Heartbeat::default() }
}

fn beat_over_peers() -> Series {
    let series = Series::new("one round of peer heartbeats", "peer shards", "ns");
    [8, 16, 45, 90].into_iter().fold(series, |series, peers| {
        let mut rig = Rig::new(116);
        let round = |rig: &mut Rig| {
            for peer in 0..peers {
                let instance = format!("p{peer}").parse().expect("an id");
                rig.handle(Event::Peer {
                    from: ShardId { instance, shard: 0 },
                    incarnation: Incarnation::new(1),
                    body: Body::Heartbeat(heartbeat()),
                });
            }
        };
        round(&mut rig);
        let begin = Instant::now();
        (0..200).for_each(|_| round(&mut rig));
        series.point(f64::from(peers), nanos(begin) / 200.0)
    })
}

fn tree_text(teams: u32) -> String {
    let team = |team| {
        format!(
            "[team t{team}]\nauth.token = {team:064x}\nquota.slots = 100\nquota.weight = 5\n\
             [kind t{team}/preview]\ndeadline.default = 10s\n"
        )
    };
    (0..teams).map(team).collect()
}

fn tree_time_over_teams() -> Series {
    let series = Series::new("parse and check of the settings tree", "teams", "ns");
    [10, 40, 120, 240].into_iter().fold(series, |series, teams| {
        let text = tree_text(teams);
        let begin = Instant::now();
        for _ in 0..20 {
            let tree = Tree::parse(&text).expect("a valid tree");
            assert!(!tree.settings().is_empty());
        }
        series.point(f64::from(teams), nanos(begin) / 20.0)
    })
}

fn tree_bytes_over_teams() -> Series {
    let series = Series::new("text of the settings tree", "teams", "bytes");
    [10, 40, 120, 240]
        .into_iter()
        .fold(series, |series, teams| series.point(f64::from(teams), tree_text(teams).len() as f64))
}

fn envelope_bytes_over_shards() -> Series {
    let series = Series::new("peer heartbeats of an instance", "shards", "bytes");
    [1, 2, 4, 8].into_iter().fold(series, |series, shards| {
        let size: usize = (0..shards)
            .map(|shard| {
                Envelope {
                    instance: "praha-a-e1".to_owned(),
                    incarnation: 1_700_000_000_000,
                    from_shard: shard,
                    body: Some(Body::Heartbeat(heartbeat())),
                    ..Envelope::default()
                }
                .encoded_len()
            })
            .sum();
        series.point(f64::from(shards), size as f64)
    })
}

fn nanos(begin: Instant) -> f64 {
    begin.elapsed().as_nanos() as f64
}
