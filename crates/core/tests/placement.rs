//! Placement, limits, health and leaving, on one shard that owns all workers.

mod fleet;

use cranberryhatch_core::{
    Blocked, Cluster, Command, Endpoint, Event, Listing, Need, Slot, SlotOutcome,
};
use cranberryhatch_types::{Accels, Cores, Time};
use fleet::{at, endpoint, identity, settings, team, zone};

/// Time between two heartbeats that the workers answer.
const BEAT: u64 = 1_000;

/// One shard with workers of 4 slots, two in each rack.
struct Bed {
    cluster: Cluster,
    out: Vec<Command>,
    workers: usize,
    // Worker 0 says that it is leaving.
    leaves: bool,
    now: u64,
}

impl Bed {
    fn new(workers: usize, text: &str) -> Self {
        let me = identity("entry-0", 1, zone(0), 0, 1);
        let mut bed =
            Self { cluster: Cluster::new(me), out: Vec::new(), workers, leaves: false, now: 0 };
        bed.tell(&settings(1, text, zone(0)));
        bed.beat();
        bed
    }

    fn tell(&mut self, event: &Event) {
        self.cluster.handle(at(self.now), event, &mut self.out);
    }

    fn beat(&mut self) {
        for worker in 0..self.workers {
            let (name, rack) = (format!("worker-{worker}"), format!("rack-{}", worker / 2));
            let asked = at(self.now);
            let leaving = self.leaves && worker == 0;
            let seen =
                Endpoint { heartbeat_sent: asked, leaving, ..endpoint(&name, zone(0), &rack, 4) };
            self.tell(&Event::EndpointSeen(seen));
        }
    }

    fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now = end.min(self.now + 10);
            if self.now.is_multiple_of(BEAT) {
                self.beat();
            }
            self.tell(&Event::Tick);
        }
    }

    fn take(&mut self) -> Option<Slot> {
        self.cluster.acquire(at(self.now), &team("script"), &Need::default()).ok()
    }

    fn give(&mut self, slot: Slot, signal: SlotOutcome) {
        self.cluster.release(at(self.now), &team("script"), slot, signal);
    }

    fn name(&self, slot: Slot) -> String {
        self.cluster.worker(slot.worker).to_string()
    }

    // Takes all slots and gives how many there are on each worker.
    fn fill(&mut self) -> (Vec<Slot>, Vec<usize>) {
        let slots: Vec<_> = std::iter::from_fn(|| self.take()).collect();
        let count = |worker: usize| {
            let name = format!("worker-{worker}");
            slots.iter().filter(|slot| self.name(**slot) == name).count()
        };
        let counts = (0..self.workers).map(count).collect();
        (slots, counts)
    }
}

#[test]
fn each_policy_uses_all_slots_and_spreads() {
    struct Case {
        policy: &'static str,
        // Workers used by the first 8 of 32 tasks, at least.
        spread: usize,
    }
    // Guards against a policy that leaves slots idle or fills one worker while others are empty.
    let cases = [
        Case { policy: "most-free", spread: 8 },
        Case { policy: "round-robin", spread: 8 },
        Case { policy: "two-choices", spread: 5 },
        Case { policy: "random", spread: 4 },
    ];
    for case in cases {
        let text = format!("[deployment test]\nplacement.policy = {}\n", case.policy);
        let mut bed = Bed::new(8, &text);
        let first: Vec<_> = (0..8).filter_map(|_| bed.take()).collect();
        let mut names: Vec<_> = first.iter().map(|slot| bed.name(*slot)).collect();
        names.sort();
        names.dedup();
        assert!(names.len() >= case.spread, "{}: {names:?}", case.policy);
        assert_eq!(bed.fill().0.len(), 24, "{}", case.policy);
        let none = bed.cluster.acquire(at(0), &team("script"), &Need::default());
        assert_eq!(none, Err(Blocked::NoSlot));
    }
}

#[test]
fn tasks_spread_over_racks() {
    // Guards against tasks of one job that all are lost with one rack: four tasks over four racks of
    // two workers each.
    let mut bed = Bed::new(8, "");
    let slots: Vec<_> = (0..4).filter_map(|_| bed.take()).collect();
    let mut racks: Vec<_> = slots.iter().map(|slot| slot.worker.0 / 2).collect();
    racks.sort_unstable();
    racks.dedup();
    assert_eq!(racks.len(), 4);
}

#[test]
fn a_task_goes_only_where_it_fits() {
    // Guards against a task on a worker without the accelerator that it needs.
    let mut bed = Bed::new(1, "");
    let mut big = endpoint("worker-big", zone(0), "rack-9", 2);
    big.accels = Accels::new(4);
    bed.tell(&Event::EndpointSeen(big));
    let need = Need { accels: Accels::new(2), ..Need::default() };
    for _ in 0..2 {
        let slot = bed.cluster.acquire(at(0), &team("script"), &need).expect("a slot");
        assert_eq!(bed.name(slot), "worker-big");
    }
    let none = bed.cluster.acquire(at(0), &team("script"), &need);
    assert_eq!(none, Err(Blocked::NoSlot));
    assert!(bed.cluster.ever_fits(&need));
    let never = Need { cores: Cores::new(64_000), ..Need::default() };
    assert!(!bed.cluster.ever_fits(&never));
}

// Runs tasks on all free slots in rounds of 50 ms; the run time on worker 0 is multiplied.
fn rounds(bed: &mut Bed, count: usize, slow: u64) -> usize {
    let mut running: Vec<(u64, Slot)> = Vec::new();
    let mut on_first = 0;
    for _ in 0..count {
        while let Some(slot) = bed.take() {
            let first = bed.name(slot) == "worker-0";
            on_first += usize::from(first);
            running.push((bed.now + if first { 50 * slow } else { 50 }, slot));
        }
        bed.pass(50);
        let now = bed.now;
        let (done, left): (Vec<_>, _) = running.into_iter().partition(|(end, _)| *end <= now);
        running = left;
        for (_, slot) in done {
            bed.give(slot, SlotOutcome::Done);
        }
    }
    for (_, slot) in running {
        bed.give(slot, SlotOutcome::Unknown);
    }
    on_first
}

#[test]
fn a_straggler_gets_fewer_tasks_and_recovers() {
    struct Case {
        limits: &'static str,
        slots: usize,
    }
    // Guards against a worker that is ten times slower and still holds as many tasks as others.
    let cases = [Case { limits: "on", slots: 1 }, Case { limits: "off", slots: 4 }];
    for case in cases {
        let mut bed =
            Bed::new(6, &format!("[deployment test]\nlimits.enabled = {}\n", case.limits));
        rounds(&mut bed, 100, 10);
        let (slots, counts) = bed.fill();
        assert_eq!(counts[0], case.slots, "limits {}: {counts:?}", case.limits);
        assert!(counts[1..].iter().all(|count| *count == 4), "{counts:?}");
        slots.into_iter().for_each(|slot| bed.give(slot, SlotOutcome::Unknown));
        rounds(&mut bed, 100, 1);
        let (_, counts) = bed.fill();
        assert_eq!(counts[0], 4, "it has all slots again once it is as quick as others");
    }
}

#[test]
fn busy_answers_lower_the_limit() {
    // Guards against starts that are refused again and again by an endpoint whose slots others use.
    let mut bed = Bed::new(2, "");
    let mut refused = 0;
    for _ in 0..100 {
        let (slots, _) = bed.fill();
        bed.pass(10);
        for slot in slots {
            let first = bed.name(slot) == "worker-0";
            refused += usize::from(first);
            bed.give(slot, if first { SlotOutcome::Busy } else { SlotOutcome::Done });
        }
    }
    assert!(refused < 20, "{refused} starts refused in one second");
    bed.pass(500);
    assert_eq!(bed.fill().1, [1, 4]);
}

#[test]
fn a_worker_that_fails_everything_is_ejected_and_probed() {
    // Guards against a failing worker that attracts tasks because its slots come free at once, and
    // against one that is never tried again. Probes come after 5, 10 and 20 s.
    let mut bed = Bed::new(8, "");
    let mut failed = Vec::new();
    while bed.now < 40_000 {
        let slots: Vec<_> = (0..24).filter_map(|_| bed.take()).collect();
        bed.pass(10);
        for slot in slots {
            let first = bed.name(slot) == "worker-0";
            if first {
                failed.push(bed.now);
            }
            bed.give(slot, if first { SlotOutcome::Failed } else { SlotOutcome::Done });
        }
    }
    println!("failures at {failed:?} ms");
    let early = failed.iter().filter(|time| **time < 5_000).count();
    assert!(early <= 6, "{early} tasks failed before the first probe");
    assert_eq!(failed.len() - early, 3, "probes: {failed:?}");
    bed.pass(60_000);
    for _ in 0..2 {
        let (slots, _) = bed.fill();
        slots.into_iter().for_each(|slot| bed.give(slot, SlotOutcome::Done));
    }
    assert_eq!(bed.fill().1[0], 4, "it is back after a probe succeeded");
}

#[test]
fn a_failing_worker_is_not_filled_again_while_it_is_suspect() {
    // Guards against a worker that fails at once and gets every task because only its slots come free:
    // of the four tasks on it the third one ejects it, and no other task follows the first failure.
    let mut bed = Bed::new(4, "");
    let (slots, _) = bed.fill();
    let mut on_first: Vec<_> = slots.into_iter().filter(|s| bed.name(*s) == "worker-0").collect();
    let mut failed = 0;
    while let Some(slot) = on_first.pop() {
        bed.pass(10);
        bed.give(slot, SlotOutcome::Failed);
        failed += 1;
        on_first.extend(bed.take());
    }
    assert_eq!(failed, 4);
}

#[test]
fn at_most_the_set_share_is_ejected() {
    struct Case {
        share: &'static str,
        ejected: usize,
    }
    // Guards against a job whose tasks all fail taking all workers out.
    let cases = [
        Case { share: "25%", ejected: 2 },
        Case { share: "50%", ejected: 4 },
        Case { share: "0%", ejected: 0 },
    ];
    for case in cases {
        let text = format!("[deployment test]\nhealth.share = {}\n", case.share);
        let mut bed = Bed::new(8, &text);
        for _ in 0..20 {
            let (slots, _) = bed.fill();
            slots.into_iter().for_each(|slot| bed.give(slot, SlotOutcome::Failed));
        }
        let (_, counts) = bed.fill();
        let ejected = counts.iter().filter(|count| **count == 0).count();
        assert_eq!(ejected, case.ejected, "share {}: {counts:?}", case.share);
    }
}

#[test]
fn a_leaving_worker_gets_nothing_new() {
    // Guards against work for an endpoint after it, its answer to a start, or the list says that it
    // is leaving, and against a late heartbeat that takes the word back.
    let says = |bed: &mut Bed| {
        let mut endpoint = endpoint("worker-0", zone(0), "rack-0", 4);
        endpoint.leaving = true;
        bed.tell(&Event::EndpointSeen(endpoint));
    };
    let answers = |bed: &mut Bed| {
        let (slots, _) = bed.fill();
        for slot in slots {
            let first = bed.name(slot) == "worker-0";
            bed.give(slot, if first { SlotOutcome::Leaving } else { SlotOutcome::Done });
        }
    };
    let lists = |bed: &mut Bed| {
        let listing = Listing::Endpoint {
            id: "worker-0".parse().expect("a valid text"),
            addr: "127.0.0.1:1".parse().expect("a valid text"),
            zone: zone(0),
            rack: "rack-0".parse().expect("a valid text"),
            leaving: true,
        };
        bed.tell(&Event::Listed(std::sync::Arc::new(vec![listing])));
    };
    let ways: [&dyn Fn(&mut Bed); 3] = [&says, &answers, &lists];
    for way in ways {
        let mut bed = Bed::new(2, "");
        way(&mut bed);
        bed.beat();
        let (slots, counts) = bed.fill();
        assert_eq!(counts, [0, 4]);
        slots.into_iter().for_each(|slot| bed.give(slot, SlotOutcome::Done));
        bed.leaves = true;
        bed.pass(3_000);
        assert_eq!(bed.fill().1, [0, 4], "after the bound");
    }
}

#[test]
fn a_worker_that_stays_after_all_gets_work_again() {
    // Guards against a worker that is lost to the zone for good once it said that it leaves.
    let mut bed = Bed::new(2, "");
    let mut says = endpoint("worker-0", zone(0), "rack-0", 4);
    says.leaving = true;
    bed.tell(&Event::EndpointSeen(says.clone()));
    assert_eq!(bed.fill().1, [0, 4]);
    says.leaving = false;
    says.heartbeat_sent = Time::NEVER;
    bed.tell(&Event::EndpointSeen(says));
    assert_eq!(bed.fill().1, [4, 0], "only slots of the worker that is back are free");
}

#[test]
fn a_worker_that_does_not_answer_gets_nothing_until_it_is_back() {
    // Guards against work for a worker that is gone, and against one that stays out after a restart.
    let mut bed = Bed::new(2, "");
    bed.tell(&Event::EndpointLost("worker-1".parse().expect("a valid text")));
    let (slots, counts) = bed.fill();
    assert_eq!(counts, [4, 0]);
    slots.into_iter().for_each(|slot| bed.give(slot, SlotOutcome::Done));
    bed.beat();
    assert_eq!(bed.fill().1, [4, 4]);
}

#[test]
fn a_worker_silent_for_longer_than_the_bound_gets_nothing() {
    // Guards against starts at an endpoint that began to leave while all answers to heartbeats were
    // held up, so that neither a loss nor the leaving was reported (long-fuzz, seed 0/86).
    let bound = 3_000;
    let mut bed = Bed::new(2, "");
    let silent = 1;
    bed.workers = silent;
    bed.pass(bound);
    let (slots, counts) = bed.fill();
    assert_eq!((counts[0], slots.len()), (4, 8), "within the bound both are used");
    slots.into_iter().for_each(|slot| bed.give(slot, SlotOutcome::Done));
    bed.pass(10);
    assert_eq!(bed.fill().0.len(), 4, "only the worker that answered is used");
    bed.workers = 2;
    bed.beat();
    assert_eq!(bed.fill().0.len(), 4, "the worker is used again once it answers");
}
