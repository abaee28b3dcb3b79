//! Guards against callers that wait for their whole time limit in an overload, and against refusals
//! of jobs that could have been served.

mod common;

use common::{listed, need, waiting};
use cranberryhatch_fleet::{
    Backlog, Command, Listing, Message, Output, Scheduler, Waiting, hopeless,
};
use cranberryhatch_schema::fleet::{Ask, Room, Rooms};
use cranberryhatch_types::Time;

struct Case {
    name: &'static str,
    queued: Vec<Waiting>,
    cores: u64,
    now: u64,
    refused: &'static [&'static str],
}

/// Jobs of two tasks of 14 cores and 100 ms each, so 2,800 core-milliseconds.
fn jobs(count: usize, useful: u64) -> Vec<Waiting> {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    names.iter().take(count).map(|name| waiting(name, useful / 2, useful)).collect()
}

#[test]
fn a_job_is_refused_when_the_work_ahead_leaves_no_useful_start() {
    let cases = [
        Case { name: "nothing waits", queued: vec![], cores: 32_000, now: 0, refused: &[] },
        Case {
            name: "two jobs on one worker: the second waits 103 ms of its 150",
            queued: jobs(2, 150),
            cores: 32_000,
            now: 0,
            refused: &[],
        },
        Case {
            name: "five jobs on one worker: the third waits 206 ms of 150; all behind it too",
            queued: jobs(5, 150),
            cores: 32_000,
            now: 0,
            refused: &["c", "d", "e"],
        },
        Case {
            name: "five jobs on four workers",
            queued: jobs(5, 150),
            cores: 128_000,
            now: 0,
            refused: &[],
        },
        Case { name: "no worker at all", queued: jobs(1, 150), cores: 0, now: 0, refused: &[] },
        Case {
            name: "the last useful start has passed",
            queued: jobs(1, 150),
            cores: 32_000,
            now: 151,
            refused: &["a"],
        },
        Case {
            name: "a job that has begun is never refused",
            queued: vec![Waiting { begun: true, ..waiting("a", 10, 20) }],
            cores: 32_000,
            now: 100,
            refused: &[],
        },
    ];
    for Case { name, queued, cores, now, refused } in cases {
        let mut backlog = Backlog::default();
        for waiting in queued {
            backlog.add(waiting, Time::ZERO);
        }
        let found = hopeless(&backlog, "svc", cores, Time::from_ms(now));
        let names: Vec<&str> = found.iter().map(|hopeless| hopeless.job.as_str()).collect();
        assert_eq!(names, refused, "{name}");
        for hopeless in &found {
            assert!(hopeless.retry >= hopeless.ahead, "{name}: comes back before there is room");
        }
    }
}

/// Load: all instances have just restarted, and callers have sent five times what the workers can
/// run within the callers' limit.
fn plays_a_restart_under_overload(late: bool) {
    let front = "e-1".parse().expect("a name");
    let mut listing = Listing::default();
    let listed = vec![listed("w-1", "a", 32_000), listed("w-2", "b", 32_000)];
    listing.replace(listed, Time::ZERO);
    let mut scheduler = Scheduler::default();
    let mut refused_after = |reported: &[&str], ms: u64| {
        let now = Time::from_ms(ms);
        let room = |id: &&str| Room {
            worker: (*id).into(),
            token: 1,
            held: vec![],
            open: true,
            ..Room::default()
        };
        let rooms = reported.iter().map(room).collect();
        scheduler.rooms(&front, Rooms { rooms, kinds: Vec::new() }, &listing, now);
        if ms == 0 {
            for job in 0..100 {
                let ask = Ask {
                    job: format!("{job:016x}"),
                    tasks: vec![0, 1],
                    service: "svc".into(),
                    need: Some((&need(14_000)).into()),
                    declared_ms: 100,
                    left_ms: 2_000,
                    stretch: 1_600,
                    slack_ms: 60,
                    ..Ask::default()
                };
                scheduler.ask(&front, ask, now);
            }
        }
        let mut out = Output::default();
        scheduler.run(now, true, &mut out);
        let refusal = |command: &&Command| {
            matches!(command, Command::Send { message: Message::Refusal(_), .. })
        };
        out.commands.iter().filter(refusal).count()
    };
    assert_eq!(refused_after(&["w-1"], 0), 0, "other owners may still report");
    assert_eq!(refused_after(&["w-1"], 300), 0, "other owners may still report");
    if late {
        assert!(refused_after(&["w-1"], 500) >= 60, "half a second is enough to know the room");
    } else {
        assert!(refused_after(&["w-1", "w-2"], 310) >= 60, "all rooms are known");
    }
}

#[test]
fn a_new_scheduler_tells_callers_soon_that_they_cannot_be_served() {
    // Guards against callers of an overload that are held for a second after an election and then
    // refused, and against refusals before the owners have reported their workers.
    plays_a_restart_under_overload(true);
}

#[test]
fn a_new_scheduler_that_knows_all_workers_does_not_wait_to_refuse() {
    plays_a_restart_under_overload(false);
}
