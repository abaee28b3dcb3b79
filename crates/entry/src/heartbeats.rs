//! Heartbeats to endpoints.

use std::{sync::Arc, time::Duration};

use cranberryhatch_core::Event;
use smol::Timer;

use crate::{endpoints::Endpoints, settings_store::SettingsStore, shards::Shards, tasks::Tasks};

/// Time between two heartbeats to an endpoint.
const PERIOD: Duration = Duration::from_millis(1_000);

/// Time between two looks for endpoints while none is known.
const EMPTY: Duration = Duration::from_millis(50);
/// Longest time between the heartbeats to two endpoints.
const GAP: Duration = Duration::from_millis(50);

/// Sends heartbeats to all endpoints that matter, spread over the period, until cancelled.
///
/// Each heartbeat runs on its own, so that an endpoint that does not answer delays no other one.
pub async fn beat(
    tasks: Arc<Tasks>,
    endpoints: Arc<Endpoints>,
    settings: Arc<SettingsStore>,
    shards: Arc<Shards>,
) {
    loop {
        let workers = endpoints.to_beat();
        if workers.is_empty() {
            Timer::after(EMPTY).await;
            continue;
        }
        let gap = PERIOD / u32::try_from(workers.len().max(1)).unwrap_or(u32::MAX);
        let round = Timer::after(PERIOD);
        let lease = settings.task_lease();
        for worker in workers {
            let known = worker.is_known();
            let (endpoints, shards) = (Arc::clone(&endpoints), Arc::clone(&shards));
            let one = async move {
                let event = match endpoints.heartbeat(&worker, lease).await {
                    Some(endpoint) => Event::EndpointSeen(endpoint),
                    None => Event::EndpointLost(worker.id.clone()),
                };
                shards.send_all(&event);
                worker.note_tried();
            };
            tasks.spawn(one);
            // An endpoint that has not answered yet cannot be used, so it is not kept waiting.
            if known {
                Timer::after(gap.min(GAP)).await;
            }
        }
        round.await;
    }
}
