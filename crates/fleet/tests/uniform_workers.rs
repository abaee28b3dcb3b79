//! Guards against workers that count as slow, or stay idle, because tasks queue.

mod common;
mod simulation;

use cranberryhatch_fleet::LogEvent;
use simulation::{Kind, SimWorker, Simulation, sim_workers};

const ZONES: [&str; 3] = ["a", "b", "c"];
const CORES: u32 = 16_000;
/// Start and end of the overload.
const OVERLOAD: (u64, u64) = (2_000, 6_000);

fn workers() -> Vec<SimWorker> {
    let mut workers = sim_workers("small", 230, 32_000, &ZONES);
    workers.extend(sim_workers("large", 120, 48_000, &ZONES));
    workers
}

fn kinds() -> Vec<Kind> {
    let kind = |name, priority, tasks, mean, declared, rate| Kind {
        name,
        priority,
        tasks,
        cores: CORES,
        mean,
        declared,
        rack: "",
        zones: ZONES.iter().map(|zone| (*zone, 1.0)).collect(),
        rates: vec![(500, rate), (OVERLOAD.0, 2.2 * rate), (OVERLOAD.1, rate)],
    };
    vec![
        kind("urgent", 0, 8, 60.0, 50, 206.0),
        kind("middle", 1, 2, 200.0, 280, 600.0),
        kind("long", 2, 4, 900.0, 700, 37.5),
    ]
}

#[test]
fn overload_of_uniform_workers_makes_none_slow_and_leaves_none_idle() {
    let mut simulation = Simulation::new(1, workers(), kinds(), OVERLOAD.1);
    let (mut idle, mut samples) = (0, 0);
    for ms in (OVERLOAD.0 + 500..OVERLOAD.1).step_by(50) {
        simulation.run_until(ms);
        idle += simulation.idle(CORES);
        samples += 1;
    }
    let slow = simulation
        .log_events
        .iter()
        .filter(|(_, note)| matches!(note, LogEvent::SpeedChanged { .. }));
    let slow = slow.count();
    println!("{slow} changes of speed, {idle} idle in {samples} samples");
    assert_eq!(slow, 0, "workers that count as slow");
    assert_eq!(idle, 0, "idle slots in {samples} samples");
}
